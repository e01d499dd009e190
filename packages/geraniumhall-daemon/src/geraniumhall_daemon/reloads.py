"""Reload of the settings file while the daemon runs."""

from pathlib import Path

import attrs

from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.logs import write_log
from geraniumhall_wire.settings import Settings, SettingsError


@attrs.define(eq=False)
class SettingsFile:
    """A settings file and its text as last read."""

    path: str
    text: str | None = None

    def reload(self, daemon: Daemon) -> None:
        """Apply the file if it has changed; log and ignore invalid settings."""
        text = self._read()
        if text is None or text == self.text:
            return
        is_first = self.text is None
        self.text = text
        try:
            settings = Settings.from_text(text, self.path)
        except SettingsError as error:
            write_log("error", "settings_unusable", {"reason": str(error)})
            return
        if not is_first or settings != daemon.settings:
            daemon.change_settings(settings)

    def _read(self) -> str | None:
        try:
            return Path(self.path).read_text()
        except (OSError, ValueError) as error:
            write_log("error", "settings_unreadable", {"reason": str(error)})
            return None
