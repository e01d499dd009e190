"""Tests of the summaries that collectors make of the work of other hosts."""

import unittest
from random import Random

from geraniumhall_core.prefixes import PartUse, PromptUse
from geraniumhall_core.reports import ServerWork
from geraniumhall_core.server_load import ForeignWork
from geraniumhall_core.summaries import (
    CollectingState,
    Member,
    Summary,
    SummaryView,
    WorkSummary,
    rank_collectors,
    report_to_collectors,
    report_to_sample,
)


def build_member(host: str, domain: str = "a", link_rate: float = 0.0) -> Member:
    """Return a host that listens."""
    return Member(
        host=host, address=f"{host}:7", failure_domain=domain, link_rate=link_rate
    )


def build_summary(servers: int, requests: int = 1) -> Summary:
    """Return a summary with the same work at each server."""
    work = {f"e{n}": ForeignWork(requests, 100, 1000) for n in range(servers)}
    return Summary(hosts=5, work=work)


def split(summary: Summary, sequence: int = 1, host: str = "h1") -> list[WorkSummary]:
    """Return the messages of a summary of all hosts."""
    return list(summary.split(host, 1, sequence, ""))


class ReceiverTest(unittest.TestCase):
    """The policies choose who gets a host's reports."""

    def test_hosts_of_a_domain_agree_on_the_collectors(self) -> None:
        """Each host reports to the same two hosts of its domain, if it is neither."""
        members = [build_member(f"h{n}", "ab"[n % 2]) for n in range(20)]
        domain = [item for item in members if item.failure_domain == "a"]
        collectors = set(rank_collectors(domain)[:2])
        for own in domain:
            others = [item for item in members if item != own]
            with self.subTest(own.host):
                receivers = set(report_to_collectors(own, others).receivers)
                self.assertEqual(receivers, collectors - {own})

    def test_hosts_with_fast_links_collect(self) -> None:
        """A collector sends to its whole domain, so thin links come last."""
        members = [build_member(f"h{n}", link_rate=5.0) for n in range(8)]
        members += [build_member("fast", link_rate=100.0)]
        self.assertEqual(rank_collectors(members)[0].host, "fast")

    def test_sample_does_not_grow_with_the_hosts(self) -> None:
        """The baseline reports to sixteen hosts of however many."""
        others = [build_member(f"h{n}") for n in range(200)]
        plan = report_to_sample(build_member("own"), others)
        self.assertEqual(len(plan.receivers), 16)


class SummaryViewTest(unittest.TestCase):
    """A view holds the newest parts of one collector's summary."""

    def test_parts_add_up_to_the_summary(self) -> None:
        """A summary of more servers than a part holds arrives whole."""
        summary = build_summary(90)
        view = SummaryView()
        parts = split(summary)
        self.assertGreater(len(parts), 1)
        Random(1).shuffle(parts)
        for part in parts:
            view.update(part, 1.0)
        self.assertEqual(view.totals, summary.work)

    def test_a_lost_part_counts_no_server_twice(self) -> None:
        """Where a part is lost, its servers keep their earlier work."""
        view = SummaryView()
        for part in split(build_summary(90, requests=1), 1):
            view.update(part, 1.0)
        for part in split(build_summary(90, requests=2), 2)[1:]:
            view.update(part, 1.2)
        self.assertEqual(len(view.totals), 90)
        self.assertEqual({work.requests for work in view.totals.values()}, {1, 2})

    def test_an_older_summary_is_ignored(self) -> None:
        """A datagram that was overtaken changes nothing."""
        view = SummaryView()
        for sequence, requests in ((2, 7), (1, 3)):
            view.update(split(build_summary(1, requests), sequence)[0], 1.0)
        self.assertEqual(view.totals["e0"].requests, 7)

    def test_servers_without_work_are_dropped(self) -> None:
        """A server that the newest summary leaves out has no work."""
        view = SummaryView()
        for sequence, servers in ((1, 90), (2, 0)):
            for part in split(build_summary(servers), sequence):
                view.update(part, 1.0)
        self.assertEqual(view.totals, {})

    def test_another_collector_replaces_the_summary(self) -> None:
        """The sums of two collectors are not added."""
        view = SummaryView()
        view.update(split(build_summary(1, 3), 9, "h1")[0], 1.0)
        view.update(split(build_summary(1, 4), 1, "h2")[0], 1.1)
        self.assertEqual(view.totals["e0"].requests, 4)

    def test_each_use_is_in_one_part(self) -> None:
        """Prompts are told once, however many parts a summary has."""
        uses = tuple(PromptUse("e1", (PartUse(n, 10),)) for n in range(40))
        parts = split(Summary(hosts=1, work={}, uses=uses))
        self.assertEqual(
            sorted(u.parts[0].key for p in parts for u in p.uses), [*range(40)]
        )


class EstimateTest(unittest.TestCase):
    """A host takes its own work off the sum of all hosts."""

    def test_own_work_is_not_foreign(self) -> None:
        """What this host told its collectors is part of the sum."""
        collecting = CollectingState()
        summary = Summary(hosts=3, work={"e1": ForeignWork(5, 900, 7000)})
        collecting.total.update(split(summary)[0], 1.0)
        collecting.reported = {"e1": ForeignWork(2, 400, 3000)}
        self.assertEqual(collecting.estimate_work("e1"), ForeignWork(3, 500, 4000))

    def test_work_that_ended_meanwhile_makes_no_negative_sum(self) -> None:
        """A report that the collector had not read yet lowers the sum to zero."""
        collecting = CollectingState()
        collecting.total.update(split(Summary(hosts=3, work={}))[0], 1.0)
        collecting.reported = {"e1": ForeignWork(2, 400, 3000)}
        self.assertEqual(collecting.estimate_work("e1"), ForeignWork(0, 0, 0))


class RowTest(unittest.TestCase):
    """Rows are whole numbers."""

    def test_estimates_are_rounded(self) -> None:
        """Work that is an estimate is told in whole requests and tokens."""
        summary = Summary(hosts=1, work={"e1": ForeignWork(1.6, 10.4, 20.5)})
        self.assertEqual(split(summary)[0].work, (ServerWork("e1", 2, 10, 20),))


if __name__ == "__main__":
    unittest.main()
