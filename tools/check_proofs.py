"""Mutation tests: check that tests of the promises fail without the mechanisms.

A promise is a property that must always hold. Each mutation removes one
mechanism behind a promise from a copy of the packages, by replacing a piece of
source, and its tests must then fail. The exit code is 1 if a mutation survives
or its source is not found exactly once.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
CORE = "packages/geraniumhall-core/src/geraniumhall_core"
WIRE = "packages/geraniumhall-wire/src/geraniumhall_wire"
NET = "packages/geraniumhall-net/src/geraniumhall_net"
DAEMON = "packages/geraniumhall-daemon/src/geraniumhall_daemon"
PLATFORM = "platform/src/geraniumhall_platform"
WORKERS = 3


@attrs.frozen
class Mutation:
    """The removal of one mechanism: `old` is replaced with `new` in `file`.

    `promise` is the number of the promise, `tests` a pattern for run_tests.py.
    """

    promise: int
    name: str
    file: str
    old: str
    new: str
    tests: str


MUTATIONS = (
    Mutation(
        8,
        "a repeated listing restores the host's own record again",
        f"{CORE}/handlers/feeds.py",
        "if purpose.feed is Feed.RECORDS and not feed.has_synced:",
        "if purpose.feed is Feed.RECORDS and not feed.revision:",
        "test_feeds",
    ),
    Mutation(
        9,
        "rates that were not confirmed are discarded",
        f"{CORE}/state.py",
        "for rates in self.unconfirmed:",
        "for rates in self.unconfirmed[-1:]:",
        "test_limits",
    ),
    Mutation(
        9,
        "records are dated by when they were read",
        f"{CORE}/handlers/feeds.py",
        "    since = feed.confirmed_at\n",
        "    since = event.at\n",
        "test_feeds",
    ),
    Mutation(
        10,
        "a host's connections are not limited",
        f"{CORE}/state.py",
        "return share is None or self.get_load(server).outstanding < share",
        "return True",
        "test_attempts",
    ),
    Mutation(
        8,
        "a host that reaches the store again publishes when it is due only",
        f"{CORE}/handlers/feeds.py",
        "state.publishing.next_call_at = event.at",
        "pass",
        "test_feeds",
    ),
    Mutation(
        6,
        "an early answer confirms the copy as of the end of the wait",
        f"{CORE}/handlers/feeds.py",
        "return ended_at if is_empty and event.at >= ended_at else event.called_at",
        "return ended_at if is_empty else event.called_at",
        "test_feeds",
    ),
    Mutation(
        13,
        "deletions are deferred after every lost call",
        f"{CORE}/handlers/feeds.py",
        "if outage >= state.policy.min_lapse_outage:",
        "if True:",
        "test_feeds",
    ),
    Mutation(
        13,
        "the grace of deferred deletions restarts with every answer",
        f"{CORE}/handlers/feeds.py",
        "if event.at < state.platform_up_since:",
        "if True:",
        "test_feeds",
    ),
    Mutation(
        1,
        "a different order may always follow",
        f"{CORE}/orders.py",
        "return intent is None or intent.is_answered or checks_fencing",
        "return True",
        "test_orders",
    ),
    Mutation(
        1,
        "an accepted repeat clears an earlier doubt",
        f"{CORE}/handlers/orders.py",
        "order.doubtful_tokens.add(event.intent.fencing_token)",
        "pass",
        "test_orders",
    ),
    Mutation(
        3,
        "orders carry no rising token",
        f"{CORE}/orders.py",
        "return max(term * FENCING_TOKENS_PER_TERM, lowest)",
        "return 0",
        "test_orders",
    ),
    Mutation(
        7,
        "a restarted holder of unchecked duties does not wait",
        f"{CORE}/handlers/leases.py",
        "is_predecessor = record.host == policy.host and policy.checks_fencing",
        "is_predecessor = record.host == policy.host",
        "test_duties",
    ),
    Mutation(
        7,
        "the lease is released while a duty call is in flight",
        f"{CORE}/handlers/leases.py",
        "is_waiting = lease.is_calling or _awaits_duty_answer(state)",
        "is_waiting = lease.is_calling",
        "test_scaling",
    ),
    Mutation(
        7,
        "usage reports outlive the lease",
        f"{CORE}/handlers/usage.py",
        "return attrs.evolve(call, expires_at=compute_authority_end(state))",
        "return call",
        "test_duties",
    ),
    Mutation(
        7,
        "scale requests outlive the lease",
        f"{CORE}/handlers/scaling.py",
        "expires_at=compute_authority_end(state)",
        "expires_at=None",
        "test_scaling",
    ),
    Mutation(
        7,
        "an expired call goes on after a suspension",
        f"{DAEMON}/expiries.py",
        "        if now >= expires_at:\n",
        "        if False:\n",
        "test_expiries",
    ),
    Mutation(
        10,
        "the id that an answer echoes is not compared",
        f"{DAEMON}/relays.py",
        "if kind is ResponseKind.FOREIGN:",
        "if False:",
        "test_late_answers",
    ),
    Mutation(
        10,
        "a connection with unread input is used again",
        f"{NET}/client.py",
        "return idle <= limit and connection.has_no_input",
        "return idle <= limit",
        "test_late_answers",
    ),
    Mutation(
        10,
        "a reset counts as the end of an answer without a length",
        f"{NET}/client.py",
        'raise ExchangeFailedError(f"receiving failed: {error}") from error',
        'data = b""',
        "test_broken_answers",
    ),
    Mutation(
        10,
        "a body without end is read on",
        f"{NET}/client.py",
        "            if size > MAX_FETCHED_BYTES:\n",
        "            if False:\n",
        "test_endless",
    ),
    Mutation(
        7,
        "an abandoned call is not taken back",
        f"{NET}/client.py",
        "await pool.abort(address, connection)",
        "await pool.discard(address, connection)",
        "test_client",
    ),
    Mutation(
        3,
        "a successor does not wait for the lease to end",
        f"{CORE}/handlers/leases.py",
        "waited >= policy.lease_ttl + policy.lease_margin",
        "waited >= 0",
        "test_authority",
    ),
    Mutation(
        3,
        "a lease counts from the last write sent",
        f"{CORE}/leases.py",
        'self.written_at.get(record.renewal, float("-inf"))',
        "max(self.written_at.values())",
        "test_leases",
    ),
    Mutation(
        4,
        "any secret is accepted for a key",
        f"{CORE}/handlers/admission.py",
        "if key is None or not key.accepts(credential):",
        "if key is None:",
        "test_admission",
    ),
    Mutation(
        4,
        "any workspace may use any entry",
        f"{CORE}/handlers/admission.py",
        "if entry.permits(key.workspace)",
        "if True",
        "test_admission",
    ),
    Mutation(
        4,
        "reserved headers of callers are passed on",
        f"{PLATFORM}/front.py",
        "if item[0] not in RESERVED_HEADERS",
        "if True",
        "test_front",
    ),
    Mutation(
        5,
        "key headers are passed upstream",
        f"{WIRE}/openai_front.py",
        "if item[0] not in KEY_HEADERS and",
        "if",
        "test_caller",
    ),
    Mutation(
        5,
        "keys outside the key headers are not detected",
        f"{WIRE}/openai_front.py",
        "if _contains_key(head, body, key):",
        "if False:",
        "test_caller",
    ),
    Mutation(
        6,
        "a stale copy of the catalogue is used",
        f"{CORE}/handlers/admission.py",
        "if state.compute_catalogue_age(now) > state.policy.stale_after:",
        "if False:",
        "test_admission",
    ),
    Mutation(
        6,
        "one confirmed feed counts for both",
        f"{CORE}/state.py",
        "return now - min(feed.confirmed_at for feed in followed)",
        "return now - max(feed.confirmed_at for feed in followed)",
        "test_feeds",
    ),
    Mutation(
        7,
        "a host without the lease scales servers",
        f"{CORE}/handlers/scaling.py",
        "    if find_held_term(state, now) is None:\n"
        "        state.scale_requests.clear()\n"
        "        return\n"
        "    term = find_duty_term(state, now)\n",
        "    term: int | None = 1\n",
        "test_scaling",
    ),
    Mutation(
        7,
        "a fenced holder continues",
        f"{CORE}/handlers/scaling.py",
        "    if isinstance(event.answer, DutyFenced):",
        "    if False:",
        "test_scaling",
    ),
    Mutation(
        8,
        "a window does not wait for late hosts",
        f"{CORE}/handlers/usage.py",
        "return first if is_late or _have_hosts_published(state, end) else None",
        "return first",
        "test_authority",
    ),
    Mutation(
        8,
        "a restarted process loses its host's counts",
        f"{CORE}/handlers/publishing.py",
        "            state.usage.restore(item.record.usage)\n",
        "",
        "test_authority",
    ),
    Mutation(
        9,
        "an increase of demand takes effect at once",
        f"{CORE}/limits.py",
        "return min(entry.rates.get(workspace, 0.0) for entry in [*older, *recent])",
        "return self.entries[-1].rates.get(workspace, 0.0)",
        "test_limits",
    ),
    Mutation(
        9,
        "a loan is not taken from the lender's bucket",
        f"{CORE}/handlers/borrowing.py",
        "        bucket.tokens -= lent\n",
        "",
        "test_borrowing",
    ),
    Mutation(
        9,
        "a host that is cut off from the store lends",
        f"{CORE}/handlers/borrowing.py",
        "if bucket is not None and is_fresh:",
        "if bucket is not None:",
        "test_borrowing",
    ),
    Mutation(
        9,
        "a new process starts with a full bucket",
        f"{CORE}/handlers/limits.py",
        "initial = share.burst if state.has_buckets else 0.0",
        "initial = share.burst",
        "test_feeds",
    ),
    Mutation(
        10,
        "a stream without its end counts as complete",
        f"{WIRE}/scanners.py",
        "is_complete = self.tail.rstrip().endswith(STREAM_END)",
        "is_complete = True",
        "test_relays",
    ),
    Mutation(
        10,
        "the echoed attempt id is not checked",
        f"{WIRE}/openai_front.py",
        "if echoed is not None and echoed != attempt.attempt_id.encode():",
        "if False:",
        "test_relays",
    ),
    Mutation(
        10,
        "an answer without the replica's stamp is accepted",
        f"{PLATFORM}/front.py",
        "if not is_stamped or",
        "if",
        "test_front",
    ),
    Mutation(
        11,
        "every failure is reported as not run",
        f"{DAEMON}/relays.py",
        "verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN",
        "verdict = Verdict.NOT_RUN",
        "test_relays",
    ),
    Mutation(
        11,
        "a request that may have run is refused as not run",
        f"{PLATFORM}/front.py",
        "if refusal.verdict is Verdict.NOT_RUN:",
        "if True:",
        "test_front",
    ),
    Mutation(
        12,
        "a call that must not be repeated is retried",
        f"{CORE}/handlers/attempts.py",
        "if not record.repeatable and record.verdict is not Verdict.NOT_RUN:",
        "if False:",
        "test_attempts",
    ),
    Mutation(
        13,
        "a leaving server remains a candidate",
        f"{CORE}/catalogue.py",
        "if not server.leaving:",
        "if True:",
        "test_catalogue",
    ),
    Mutation(
        13,
        "a server that was leaving is kept after an outage",
        f"{CORE}/handlers/feeds.py",
        "known is not None and not known.leaving",
        "known is not None",
        "test_feeds",
    ),
    Mutation(
        14,
        "a stop resets the connections that wait to be accepted",
        f"{NET}/listener.py",
        "while self._has_waiting_connection():",
        "while False:",
        "test_listener",
    ),
    Mutation(
        14,
        "a drain does not wait for open requests",
        f"{CORE}/handlers/lifecycle.py",
        "is_idle = not state.requests and not state.publishing.is_calling",
        "is_idle = True",
        "test_scenarios",
    ),
    Mutation(
        15,
        "an older version replaces a newer one",
        f"{CORE}/catalogue.py",
        "if catalogue.versions.get(item.key, 0) >= item.version:",
        "if False:",
        "test_catalogue",
    ),
)


@attrs.frozen
class MutationResult:
    """Whether a mutation was killed, and the tests that failed or the reason."""

    mutation: Mutation
    is_killed: bool
    detail: str


def main() -> int:
    """Run all mutations, or those whose name contains the first argument."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [m for m in MUTATIONS if pattern in m.name]
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(try_mutation, chosen))
    for result in results:
        word = "killed" if result.is_killed else "SURVIVED"
        mutation = result.mutation
        print(f"{mutation.promise:>2}  {word:11}  {mutation.name}: {result.detail}")
    survived = sum(not result.is_killed for result in results)
    print(f"{len(results) - survived} mutations killed, {survived} survived")
    return 1 if survived else 0


def try_mutation(mutation: Mutation) -> MutationResult:
    """Run a mutation's tests on a changed copy of the packages."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("packages", "platform", "tools"):
            shutil.copytree(ROOT / part, copy / part, ignore=_ignore_built)
        file = copy / mutation.file
        source = file.read_text()
        if source.count(mutation.old) != 1:
            return MutationResult(mutation, False, "its source must occur once")
        file.write_text(source.replace(mutation.old, mutation.new))
        return _run_tests(mutation, copy)


def _run_tests(mutation: Mutation, copy: Path) -> MutationResult:
    sources = sorted(str(path) for path in copy.glob("packages/*/src"))
    sources.append(str(copy / "platform/src"))
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sources)}
    command = [sys.executable, str(copy / "tools/run_tests.py"), mutation.tests]
    result = subprocess.run(
        command, capture_output=True, text=True, env=environment, check=False
    )
    failed = {
        line.split()[1]
        for line in result.stderr.splitlines()
        if line.startswith(("FAIL: ", "ERROR: "))
    }
    detail = ", ".join(sorted(failed)) or "no test failed"
    return MutationResult(mutation, bool(failed) and result.returncode != 0, detail)


def _ignore_built(folder: str, names: list[str]) -> set[str]:
    return {n for n in names if n.endswith((".egg-info", "__pycache__"))}


if __name__ == "__main__":
    sys.exit(main())
