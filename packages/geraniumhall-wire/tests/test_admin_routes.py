"""Tests of calls to the admin API."""

import unittest

from geraniumhall_wire.admin_answers import AdminRefusal
from geraniumhall_wire.admin_routes import NewKey, parse_admin_call
from geraniumhall_wire.heads import RequestHead

CALLS = (
    (b"POST", b"/admin/v1/placement"),
    (b"POST", b"/admin/v1/keys"),
    (b"PUT", b"/admin/v1/catalogue/server/s1"),
)
BODIES = (b"[" * 100_000, b"9" * 100_000, b"\xff", b"", b"null", b'"x"')


class BodyTest(unittest.TestCase):
    """A body that is no record is refused with a reason."""

    def test_unusable_bodies(self) -> None:
        """Neither depth, length nor type of its JSON raises an exception."""
        for method, target in CALLS:
            headers = ((b"if-none-match", b"*"),)
            head = RequestHead(method=method, target=target, headers=headers)
            for body in BODIES:
                with self.subTest(target=target, body=body[:9]):
                    found = parse_admin_call(head, body, NewKey("k", "s", "x"))
                    assert isinstance(found, AdminRefusal)
                    self.assertIn(found.status, (400, 422))


if __name__ == "__main__":
    unittest.main()
