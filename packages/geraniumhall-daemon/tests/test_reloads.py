"""Tests of settings that change while the daemon runs."""

import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import trio
import trio.testing
from session import SETTINGS, Session, build_chat, run_session

from geraniumhall_daemon.main import watch_signals
from geraniumhall_daemon.reloads import SettingsFile


class ReloadTest(unittest.TestCase):
    """Changed settings apply from the next decision on."""

    def setUp(self) -> None:
        """Write the session's settings to a file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "h1.yaml"
        self.path.write_text(SETTINGS)
        self.file = SettingsFile(str(self.path))

    def reload(self, session: Session, text: str) -> None:
        """Load the file, change it and reload it."""
        assert session.daemon is not None
        self.file.reload(session.daemon)
        self.path.write_text(text)
        self.file.reload(session.daemon)

    def test_new_policy_is_in_force(self) -> None:
        """The reducer uses the new settings, and requests are served."""

        async def test(session: Session) -> None:
            assert session.daemon is not None
            self.reload(session, SETTINGS + "retries: {max_attempts: 7}\n")
            self.assertEqual(session.daemon.state.policy.max_attempts, 7)
            self.assertEqual((await session.call(build_chat()))[0].status, 200)

        run_session(test)

    def test_signal_reads_the_settings_again(self) -> None:
        """SIGHUP applies the changed settings without stopping the daemon."""

        async def test(session: Session) -> None:
            assert session.daemon is not None
            self.reload(session, SETTINGS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_signals, session.daemon, self.file)
                await trio.testing.wait_all_tasks_blocked()
                self.path.write_text(SETTINGS + "retries: {max_attempts: 7}\n")
                signal.raise_signal(signal.SIGHUP)
                await trio.testing.wait_all_tasks_blocked(0.01)
                nursery.cancel_scope.cancel()
            self.assertEqual(session.daemon.state.policy.max_attempts, 7)

        run_session(test)

    def test_faulty_settings_change_nothing(self) -> None:
        """After an invalid file the daemon keeps serving with its old settings."""

        async def test(session: Session) -> None:
            assert session.daemon is not None
            before = session.daemon.state.policy
            self.reload(session, SETTINGS + "retries: {max_attempts: none}\n")
            self.assertIs(session.daemon.state.policy, before)
            self.assertEqual((await session.call(build_chat()))[0].status, 200)

        run_session(test)

    def test_missing_file_changes_nothing(self) -> None:
        """A settings file that is missing leaves the settings unchanged."""

        async def test(session: Session) -> None:
            assert session.daemon is not None
            before = session.daemon.state.policy
            self.path.unlink()
            self.file.reload(session.daemon)
            self.assertIs(session.daemon.state.policy, before)

        run_session(test)


START = """
import os, runpy, signal, sys

class SignalAtImport:
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            for number in (signal.SIGHUP, signal.SIGUSR1):
                os.kill(os.getpid(), number)

sys.meta_path.insert(0, SignalAtImport())
sys.argv = ["geraniumhalld", "--settings", sys.argv[1]]
runpy.run_module("geraniumhall_daemon", run_name="__main__", alter_sys=True)
"""
EXIT_START_FAILED = 1
START_SECONDS = 60


class EarlySignalTest(unittest.TestCase):
    """Signals that arrive while the process starts don't end it."""

    # Guards against a process that ended by itself when its settings were changed.
    def test_signals_during_the_import_are_ignored(self) -> None:
        """The process goes on to read its settings, which are missing here."""
        ended = subprocess.run(
            [sys.executable, "-c", START, "/nowhere/h1.yaml"],
            capture_output=True,
            check=False,
            timeout=START_SECONDS,
        )
        self.assertEqual(ended.returncode, EXIT_START_FAILED, ended.stderr)
        self.assertIn(b"/nowhere/h1.yaml", ended.stderr)
