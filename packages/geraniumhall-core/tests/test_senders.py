"""Tests of what is read of datagrams, by their senders."""

import unittest

from geraniumhall_core.senders import (
    LIST_SECONDS,
    MAX_QUESTION_BYTES,
    QUESTIONS,
    SenderScreen,
    SenderVerdict,
)

HOST = "10.0.0.1:7601"
STRANGER = "10.0.0.9:7601"


class SenderTest(unittest.TestCase):
    """Hosts are heard, and others may only ask."""

    def setUp(self) -> None:
        """Prepare a screen that knows one host."""
        self.screen = SenderScreen()
        self.screen.list_hosts([HOST], now=1.0)

    def test_known_host_is_heard(self) -> None:
        """Neither the size nor the number of its messages is limited."""
        verdicts = {self.screen.judge(HOST, 60_000, 1.0) for _ in range(1000)}
        self.assertEqual(verdicts, {SenderVerdict.MESSAGE})

    def test_other_port_is_another_sender(self) -> None:
        """A process on a host's machine isn't the host."""
        verdict = self.screen.judge("10.0.0.1:9999", 60_000, 1.0)
        self.assertEqual(verdict, SenderVerdict.NOTHING)

    def test_strangers_may_ask_at_a_rate(self) -> None:
        """All of them share it, and it is refilled."""
        asked = [self.screen.judge(STRANGER, 100, 1.0) for _ in range(1000)]
        self.assertEqual(asked.count(SenderVerdict.QUESTION), QUESTIONS.burst)
        later = [self.screen.judge(STRANGER, 100, 2.0) for _ in range(1000)]
        self.assertEqual(later.count(SenderVerdict.QUESTION), QUESTIONS.rate)

    def test_question_is_short(self) -> None:
        """A longer datagram of a stranger isn't read."""
        verdict = self.screen.judge(STRANGER, MAX_QUESTION_BYTES + 1, 1.0)
        self.assertEqual(verdict, SenderVerdict.NOTHING)

    def test_addresses_are_listed_at_intervals(self) -> None:
        """A flood of datagrams doesn't cause a look at the records for each."""
        self.assertFalse(self.screen.is_due(1.0 + LIST_SECONDS / 2))
        self.assertTrue(self.screen.is_due(1.0 + 2 * LIST_SECONDS))


if __name__ == "__main__":
    unittest.main()
