"""Tests of usage under a confirmation policy that spares calls, simulated."""

import unittest

from copies import (
    REQUEST_SECONDS,
    USAGE_BOUND_SECONDS,
    WINDOW_SECONDS,
    build_cluster,
    list_reports,
    send_requests,
)


class UsageTest(unittest.TestCase):
    """Usage is reported whole and in time, with fewer calls."""

    def test_windows_are_whole_and_in_time(self) -> None:
        """Every window has the requests of all hosts within its bound."""
        cluster = build_cluster("sparing")
        cluster.run_for(10.0)
        send_requests(cluster, 30.0)
        cluster.run_for(15.0)
        reports = list_reports(cluster)
        for window in range(2, 8):
            at, requests = reports[window]
            end = (window + 1) * WINDOW_SECONDS
            self.assertLessEqual(at, end + USAGE_BOUND_SECONDS)
            self.assertAlmostEqual(requests, WINDOW_SECONDS / REQUEST_SECONDS, delta=2)

    def test_holder_that_ends_is_replaced_in_time(self) -> None:
        """A candidate that reads old answers takes the lease, and no window is late."""
        cluster = build_cluster("sparing")
        cluster.run_for(10.0)
        send_requests(cluster, 10.0)
        holder = max(cluster.delivered_duties, key=lambda duty: duty.at).message.host
        cluster.kill(holder)
        cluster.run_for(25.0)
        reports = list_reports(cluster)
        for window in range(2, 7):
            end = (window + 1) * WINDOW_SECONDS
            self.assertLessEqual(reports[window][0], end + USAGE_BOUND_SECONDS)


if __name__ == "__main__":
    unittest.main()
