"""Tests of the state dump."""

import unittest
from json import dumps, loads

import trio.testing
from session import KEY_RECORD, SECRET, Session, build_chat, run_session

from geraniumhall_daemon.admin import serve_operator
from geraniumhall_daemon.daemon import RecentHistory
from geraniumhall_net.client import ClientConnection, build_json_request


class DumpTest(unittest.TestCase):
    """A dump holds the state and the recent steps, without secrets."""

    def setUp(self) -> None:
        """Serve a request and read the dump through the admin API."""

        async def test(session: Session) -> None:
            session.daemon.recorder = RecentHistory()
            await session.call(build_chat())
            client_stream, server_stream = trio.testing.memory_stream_pair()
            session.nursery.start_soon(serve_operator, session.daemon, server_stream)
            operator = ClientConnection.from_stream(client_stream, "daemon")
            request = build_json_request("GET", "/admin/v1/dump", None)
            await operator.send_request(request)
            await operator.read_head()
            self.dump = loads(await operator.read_body())

        run_session(test)

    def test_state_is_there(self) -> None:
        """The state includes the counters."""
        counters = self.dump["state"]["counters"]
        self.assertEqual(counters["requests.completed"], 1)

    def test_last_steps_are_there(self) -> None:
        """The recent steps include the request's events."""
        events = [event["type"] for event, _ in self.dump["recent"]]
        self.assertIn("RequestArrived", events)

    def test_no_secrets(self) -> None:
        """The dump holds neither keys nor their hashes and salts."""
        text = dumps(self.dump)
        for secret in (SECRET, KEY_RECORD.hashed, "salt"):
            self.assertNotIn(secret, text)
