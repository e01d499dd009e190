"""Tests of settings files."""

import unittest

from geraniumhall_wire.settings import Settings, SettingsError

HOST = "host: {name: riga-1, failure_domain: riga-a}\n"


def read_error(text: str) -> str:
    """Return the error message for an invalid file."""
    try:
        Settings.from_text(text, "riga-1.yaml")
    except SettingsError as error:
        return str(error)
    raise AssertionError("the settings were accepted")


class SettingsTest(unittest.TestCase):
    """A violation names the file, the field's path and what was expected."""

    def test_defaults(self) -> None:
        """Only the host's name and failure domain are required."""
        settings = Settings.from_text(HOST)
        self.assertEqual(settings.catalogue.revocation_bound, 5.0)

    def test_units_are_read(self) -> None:
        """Durations and sizes are parsed with their units."""
        text = HOST + "callers: {read_timeout: 250ms, max_body: 2MiB}"
        callers = Settings.from_text(text).callers
        self.assertEqual((callers.read_timeout, callers.max_body), (0.25, 2 * 2**20))

    def test_violations(self) -> None:
        """Each kind of violation has its own message."""
        cases = {
            HOST + "callers: {read_timeout: 5}": (
                "riga-1.yaml: $.callers.read_timeout: missing unit"
            ),
            HOST + "callers: {reed_timeout: 5s}": (
                "riga-1.yaml: $.callers: unknown field reed_timeout; expected one of"
            ),
            HOST + "callers: {max_connections: many}": (
                "riga-1.yaml: $.callers.max_connections: expected int, got 'many'"
            ),
            HOST + "callers: {listen: here}": (
                "riga-1.yaml: $.callers.listen: expected an address"
            ),
            HOST + "hosts: {publish_interval: 0s}": "'publish_interval' must be > 0",
            HOST + "routing: {policy: best}": "unknown routing policy 'best'",
            "host: {name: riga-1}": "$.host.failure_domain: required field missing",
            "": "riga-1.yaml: $: expected a mapping",
            "[": "riga-1.yaml: $: not YAML",
            HOST + "platform: {seed: {engine: {}}}": (
                "$.platform.seed.engine: unknown kind of record"
            ),
            HOST + "platform: {seed: {workspace: {w: {rate: x}}}}": (
                "$.platform.seed.workspace.w.rate: expected float"
            ),
        }
        for text, expected in cases.items():
            with self.subTest(text=text):
                self.assertIn(expected, read_error(text))

    def test_missing_file(self) -> None:
        """A missing file raises `SettingsError`."""
        with self.assertRaises(SettingsError):
            Settings.from_file("no-such-file.yaml")
