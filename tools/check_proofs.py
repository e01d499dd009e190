"""Show that the tests of the promises fail without the mechanisms they test.

Each mutation takes one mechanism out of a copy of the packages by replacing a
piece of source. The tests named with it must then fail. A mutation that no
test notices, or whose source is not found, makes the run fail.
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
DAEMON = "packages/geraniumhall-daemon/src/geraniumhall_daemon"
WORKERS = 3


@attrs.frozen
class Mutation:
    """One mechanism taken out: `old` becomes `new` in a file."""

    promise: int
    name: str
    file: str
    old: str
    new: str
    tests: str


MUTATIONS = (
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
        "return max(term * TOKENS_PER_TERM, lowest)",
        "return 0",
        "test_orders",
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
        "any secret fits a key",
        f"{CORE}/handlers/admission.py",
        "if key is None or not key.accepts(proof):",
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
        5,
        "key headers go upstream",
        f"{WIRE}/caller.py",
        "if name not in HOP_HEADERS and name not in KEY_HEADERS and",
        "if name not in HOP_HEADERS and",
        "test_caller",
    ),
    Mutation(
        5,
        "keys elsewhere are not looked for",
        f"{WIRE}/caller.py",
        "if _holds_key(head, body, key):",
        "if False:",
        "test_caller",
    ),
    Mutation(
        6,
        "an old copy of the catalogue is trusted",
        f"{CORE}/handlers/catalogue.py",
        "if now - state.catalogue.confirmed_at <= state.policy.stale_after:",
        "if True:",
        "test_hosts",
    ),
    Mutation(
        6,
        "a daemon takes edits before all know of it",
        f"{CORE}/handlers/membership_view.py",
        "return not list_unjoined_hosts(state)",
        "return True",
        "test_hosts",
    ),
    Mutation(
        6,
        "a copy without old deletions answers with changes",
        f"{CORE}/handlers/membership.py",
        "is_full = message.revision < catalogue.complete_since",
        "is_full = False",
        "test_hosts",
    ),
    Mutation(
        6,
        "a daemon that was removed confirms edits",
        f"{CORE}/handlers/edits.py",
        "if not isinstance(answer, ObjectFound) or answer.object.version != version:",
        "if False:",
        "test_hosts",
    ),
    Mutation(
        6,
        "a deletion is judged before it is applied",
        f"{CORE}/handlers/edits.py",
        "if is_gone and not is_applied and purpose.attempt < MAX_READ_BACKS:",
        "if False:",
        "test_hosts",
    ),
    Mutation(
        6,
        "a host that is heard is removed",
        f"{CORE}/handlers/housekeeping.py",
        " and not _is_heard(state, host, since):",
        ":",
        "test_hosts",
    ),
    Mutation(
        7,
        "an order for servers is sent without its record",
        f"{CORE}/handlers/purchases.py",
        "if term is not None and isinstance(event.answer, Written):",
        "if term is not None:",
        "test_orders",
    ),
    Mutation(
        7,
        "an open order for servers is counted anew",
        f"{CORE}/handlers/purchases.py",
        "if last.status is PurchaseStatus.OPEN:",
        "if False:",
        "test_orders",
    ),
    Mutation(
        8,
        "a part whose write failed counts as written",
        f"{CORE}/usage.py",
        "return self.written.get(self.confirmed) == self.table",
        "return bool(self.written)",
        "test_authority",
    ),
    Mutation(
        8,
        "counts that a seal lacks are dropped",
        f"{CORE}/handlers/usage.py",
        "for key, figures in left.items():",
        "for key, figures in ():",
        "test_authority",
    ),
    Mutation(
        8,
        "a seal overwrites an earlier one",
        f"{CORE}/handlers/sealing.py",
        "if item.record.window not in sealed\n        and",
        "if",
        "test_authority",
    ),
    Mutation(
        9,
        "a new process starts with its share of the burst",
        f"{CORE}/handlers/shares.py",
        "bucket = TokenBucket(share if is_new else NO_SHARE, now)",
        "bucket = TokenBucket(share, now, share.burst if is_first else 0.0)",
        "test_rates",
    ),
    Mutation(
        9,
        "a loan leaves no empty room",
        f"{CORE}/limits.py",
        "self.loans.append(Loan(now + LOAN_SECONDS, given))",
        "pass",
        "test_limits",
    ),
    Mutation(
        9,
        "a larger share is in force at once",
        f"{CORE}/handlers/shares.py",
        "delay = state.policy.share_delay if state.peering.address else 0.0",
        "delay = 0.0",
        "test_rates",
    ),
    Mutation(
        10,
        "a stream without its end is whole",
        f"{WIRE}/answers.py",
        "is_whole = self.tail.rstrip().endswith(STREAM_END)",
        "is_whole = True",
        "test_relays",
    ),
    Mutation(
        10,
        "the attempt's id is not compared",
        f"{DAEMON}/relays.py",
        "if echoed is not None and echoed != self.effect.attempt_id.encode():",
        "if False:",
        "test_relays",
    ),
    Mutation(
        11,
        "every failure says not run",
        f"{DAEMON}/relays.py",
        "verdict = Verdict.MAY_HAVE_RUN if self.is_sent else Verdict.NOT_RUN",
        "verdict = Verdict.NOT_RUN",
        "test_relays",
    ),
    Mutation(
        12,
        "an unrepeatable call is retried",
        f"{CORE}/handlers/attempts.py",
        "if not record.repeatable and record.verdict is not Verdict.NOT_RUN:",
        "if False:",
        "test_attempts",
    ),
    Mutation(
        12,
        "a claim without a reply counts as taken",
        f"{CORE}/handlers/claim_answers.py",
        "yield CallPlatform(purpose=confirm, message=GetObject(purpose.key))",
        "yield from _proceed(state, record, 1, event)",
        "test_claims",
    ),
    Mutation(
        13,
        "a leaving server stays a candidate",
        f"{CORE}/catalogue.py",
        "if server.leaving:",
        "if False:",
        "test_catalogue",
    ),
    Mutation(
        14,
        "a planned stop does not wait for requests",
        f"{CORE}/handlers/lifecycle.py",
        "if not drain.is_handing_over and not state.requests:",
        "if not drain.is_handing_over:",
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
class Verdict:
    """Whether the tests noticed a mutation, and which of them did."""

    mutation: Mutation
    is_noticed: bool
    detail: str


def main() -> int:
    """Try every mutation, or those whose name holds the argument."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [m for m in MUTATIONS if pattern in m.name]
    with ThreadPoolExecutor(WORKERS) as pool:
        verdicts = list(pool.map(try_mutation, chosen))
    for verdict in verdicts:
        word = "noticed" if verdict.is_noticed else "NOT NOTICED"
        mutation = verdict.mutation
        print(f"{mutation.promise:>2}  {word:11}  {mutation.name}: {verdict.detail}")
    missed = sum(not verdict.is_noticed for verdict in verdicts)
    print(f"{len(verdicts) - missed} mutations noticed, {missed} not")
    return 1 if missed else 0


def try_mutation(mutation: Mutation) -> Verdict:
    """Run the mutation's tests on a changed copy."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("packages", "tools"):
            shutil.copytree(ROOT / part, copy / part, ignore=_ignore_built)
        file = copy / mutation.file
        source = file.read_text()
        if source.count(mutation.old) != 1:
            return Verdict(mutation, False, "its source was not found once")
        file.write_text(source.replace(mutation.old, mutation.new))
        return _run_tests(mutation, copy)


def _run_tests(mutation: Mutation, copy: Path) -> Verdict:
    sources = sorted(str(path) for path in copy.glob("packages/*/src"))
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
    detail = ", ".join(sorted(failed)) or "all tests pass"
    return Verdict(mutation, bool(failed) and result.returncode != 0, detail)


def _ignore_built(folder: str, names: list[str]) -> set[str]:
    return {n for n in names if n.endswith((".egg-info", "__pycache__"))}


if __name__ == "__main__":
    sys.exit(main())
