"""Parts of prompts that may crash engines: evidence, suspicion and holds.

A part that crashes each engine that begins to generate from it is known in the
literature as a query of death or poison pill. The remedy is a circuit breaker keyed
by content: after a few crashes the requests with the part are refused, and a single
trial shows later whether they may run again.

When an engine ends, the parts of the requests that were about to begin, or had just
begun, are suspected; the last part of a prompt is the request's own and never is. A
request that begins and goes on proves its parts sound. All times are in seconds on
the own host's clock and are never compared with those of another host.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from re import compile as compile_pattern

import attrs
from xxhash import xxh3_128_hexdigest

from geraniumhall_core.records import RECORD_KINDS
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import CallerRequest

PART_KIND = "part"
PROVEN_SECONDS = 0.25  # of writing, after which a part did no harm
SOUND_SECONDS = 10.0
FORGET_SECONDS = 60.0
FORGET_HOLD_SECONDS = 7200.0  # longer than any hold, so that it can be tried
MAX_HOLD_SECONDS = 3600.0
CRASHES_TO_HOLD = 2
CRASHES_TO_HOLD_DOUBTFUL = 3
RECENT_SECONDS = 10.0
MAX_PARTS = 256
MAX_SHARED_PARTS = 32  # of one prompt, the latest
MAX_RECENT = 1024
MAX_SOUND_PARTS = 4096
MAX_CRASHES = 16  # of one part
FORWARD_RATE = 32.0  # reports of other hosts, a second
FORWARD_BURST = 64.0
PLAIN_NAME = compile_pattern(r"[0-9A-Za-z_-]{1,64}")


@attrs.frozen
class CrashId:
    """An engine that ended, by its name and the start of its process."""

    server: str
    incarnation: int


@attrs.frozen
class BrokenRequest:
    """A request that broke off while it was about to write or had just begun.

    `parts` are the names of its shared parts, in order. `sent_at` is in seconds on the
    host's clock.
    """

    request_id: str
    parts: tuple[str, ...]
    sent_at: float


@attrs.frozen(kw_only=True)
class PartCrash:
    """A crash of an engine while a request with the part was about to write.

    `host` saw it. `position` is that of the part in the prompt. With `follows` the
    request was sent after that host had heard of an earlier crash under the part, so
    that both can't have had one common cause. With `was_sound` the host had seen an
    answer on the part shortly before.
    """

    server: str
    incarnation: int
    host: str
    position: int = 0
    follows: bool = False
    was_sound: bool = False

    @property
    def crash_id(self) -> CrashId:
        """The engine that ended."""
        return CrashId(self.server, self.incarnation)


@attrs.frozen(kw_only=True)
class PartHold:
    """A hold of a part; a later one has a greater `number`.

    After `seconds` one request may try the part; the hold of an operator has None
    and stays until it is released. `trial_host` is the host that made the last
    trial. `source` is "crashes" or "operator".
    """

    number: int = 1
    seconds: float | None = None
    source: str = "operator"
    trial_host: str = ""

    def extend(self, host: str) -> "PartHold":
        """Return the hold that applies while and after `host` tries the part."""
        seconds = min(MAX_HOLD_SECONDS, 2 * (self.seconds or 0.0))
        return attrs.evolve(
            self, number=self.number + 1, seconds=seconds, trial_host=host
        )


@RECORD_KINDS.register(PART_KIND)
@attrs.frozen(kw_only=True)
class PartRecord:
    """What is known against a part, as stored for all hosts."""

    crashes: tuple[PartCrash, ...] = ()
    hold: PartHold | None = None


@attrs.frozen(kw_only=True)
class PartReport:
    """What a host knows of a part, for other hosts; merging it twice does no harm.

    `refuted` are crashes that the part did not cause; holds up to number `released`
    have ended.
    """

    host: str
    part: str
    crashes: tuple[PartCrash, ...] = ()
    hold: PartHold | None = None
    refuted: tuple[CrashId, ...] = ()
    released: int = 0


@attrs.define
class PartState:
    """What this host knows of one part.

    `crashes` are those that nothing speaks against. `suspected_at` is when the first
    one became known, `heard_at` when the newest one did, `held_at` when the hold did,
    and `changed_at` when anything did. All are in seconds on this host's clock.
    `version` is that of the stored record and `stored_hold` the number of its hold;
    with `is_dirty` the record has to be written.
    """

    crashes: dict[CrashId, PartCrash] = attrs.field(factory=dict)
    refuted: dict[CrashId, None] = attrs.field(factory=dict)
    hold: PartHold | None = None
    released: int = 0
    suspected_at: float = float("inf")
    heard_at: float = float("-inf")
    held_at: float = float("-inf")
    changed_at: float = float("-inf")
    version: int = 0
    stored_hold: int = 0
    is_dirty: bool = False
    is_writing: bool = False
    next_write_at: float = float("-inf")

    def add_crash(self, crash: PartCrash, now: float) -> bool:
        """Add a crash; return whether it was new."""
        known = self.crashes.get(crash.crash_id)
        if crash.crash_id in self.refuted or len(self.crashes) >= MAX_CRASHES:
            return False
        if known is not None and (known.follows or not crash.follows):
            return False
        if not self.crashes:
            self.suspected_at = now
        self.crashes[crash.crash_id] = crash
        self.heard_at = self.changed_at = now
        return True

    def set_hold(self, hold: PartHold, now: float) -> bool:
        """Adopt a hold; return whether it is newer than what is known."""
        known = self.hold.number if self.hold else 0
        if hold.number <= max(known, self.released):
            return False
        self.hold = hold
        self.held_at = self.changed_at = now
        return True

    def clear(self, crashes: Iterable[CrashId], released: int, now: float) -> bool:
        """Refute crashes and end holds up to `released`; return whether this is new."""
        refuted = [item for item in crashes if item not in self.refuted]
        ends_hold = self.hold is not None and self.hold.number <= released
        if not refuted and not ends_hold and released <= self.released:
            return False
        for crash_id in refuted:
            self.refuted[crash_id] = None
        while len(self.refuted) > MAX_CRASHES:
            del self.refuted[next(iter(self.refuted))]
        self.crashes = {
            crash_id: crash
            for crash_id, crash in self.crashes.items()
            if crash_id not in self.refuted
        }
        self.released = max(self.released, released)
        if ends_hold:
            self.hold = None
        if not self.crashes:
            self.suspected_at = float("inf")
        self.changed_at = now
        return True

    def merge(self, report: PartReport, now: float) -> bool:
        """Merge another host's knowledge; return whether anything was new."""
        is_new = self.clear(report.refuted, report.released, now)
        for crash in report.crashes:
            is_new = self.add_crash(crash, now) or is_new
        if report.hold is not None:
            is_new = self.set_hold(report.hold, now) or is_new
        return is_new

    def count_crashes(self, explained: set[CrashId]) -> int:
        """Return the number of crashes that can't have had one common cause.

        Those that are `explained` by another part are left out.
        """
        open_crashes = [
            crash
            for crash_id, crash in self.crashes.items()
            if crash_id not in explained
        ]
        following = sum(crash.follows for crash in open_crashes)
        return following + (following < len(open_crashes))

    def get_wait(self, now: float) -> float | None:
        """Return the seconds until a trial, None if only an operator ends the hold."""
        if self.hold is None:
            return 0.0
        if self.hold.seconds is None:
            return None
        return max(0.0, self.held_at + self.hold.seconds - now)

    def get_lifetime(self, host: str) -> float:
        """Return the seconds after which `host` forgets what did not change."""
        if self.hold is not None and self.hold.seconds is None:
            return float("inf")
        lifetime = FORGET_SECONDS if self.hold is None else FORGET_HOLD_SECONDS
        is_own = any(crash.host == host for crash in self.crashes.values())
        return lifetime if is_own or not self.version else 2 * lifetime

    def forget(self, now: float) -> None:
        """Clear everything that is known."""
        number = self.hold.number if self.hold else 0
        self.clear(list(self.crashes), number, now)

    def record_stored(self, version: int, record: PartRecord | None) -> None:
        """Record what the store holds; None if there is no record any more."""
        self.version = version if record is not None else 0
        if record is not None and record.hold is not None:
            self.stored_hold = record.hold.number

    def build_record(self) -> PartRecord | None:
        """Return what is to be stored, or None if nothing is held against the part."""
        if not self.crashes and self.hold is None:
            return None
        return PartRecord(crashes=tuple(self.crashes.values()), hold=self.hold)

    def build_report(self, host: str, part: str) -> PartReport:
        """Return what is to be told to other hosts."""
        return PartReport(
            host=host,
            part=part,
            crashes=tuple(self.crashes.values()),
            hold=self.hold,
            refuted=tuple(self.refuted),
            released=self.released,
        )


@attrs.frozen(kw_only=True)
class Suspicion:
    """A part under suspicion, as a holding policy sees it.

    `crashes` is from `PartState.count_crashes`. `position` is that in the prompt.
    `was_sound` is true if an answer on the part was seen shortly before a crash.
    `recent` counts the recent crashes of all engines.
    """

    part: str
    position: int
    crashes: int
    was_sound: bool
    recent: int = 0

    @property
    def is_doubtful(self) -> bool:
        """Whether answers, or many crashes without the part, speak against it."""
        return self.was_sound or self.recent > 2 * self.crashes


HoldPolicy = Callable[[list[Suspicion]], Suspicion | None]
HOLD_POLICIES: Registry[str, HoldPolicy] = Registry("hold policy")


@HOLD_POLICIES.register("never")
def hold_nothing(suspicions: list[Suspicion]) -> Suspicion | None:
    """Hold no part: the baseline."""
    return None


@HOLD_POLICIES.register("repeated_crash")
def choose_repeated_crash(suspicions: list[Suspicion]) -> Suspicion | None:
    """Hold the part under which engines crash one after the other.

    It answers the load in which requests with one part come at all hosts, among sound
    ones that share their other parts (test_quarantine). Of several parts it takes one
    that no answer was seen on, then the one with most crashes, then the latest in its
    prompt: fewer sound requests share it.
    """
    guilty = [
        item
        for item in suspicions
        if item.crashes
        >= (CRASHES_TO_HOLD_DOUBTFUL if item.is_doubtful else CRASHES_TO_HOLD)
    ]
    return max(
        guilty,
        key=lambda item: (not item.was_sound, item.crashes, item.position, item.part),
        default=None,
    )


@attrs.frozen
class UndecidedCrash:
    """A crash for which a part may be held once all hosts have reported it.

    `decide_at` is in seconds on the host's clock.
    """

    crash_id: CrashId
    decide_at: float


@attrs.define
class Quarantine:
    """The parts that this host has evidence on, at most `MAX_PARTS`.

    `sound_at` holds when an answer was last seen to go on, the least recent first.
    `recent` holds when crashes became known. `forwards` are the reports of other hosts
    that may be passed on, as of `forwarded_at`. Times are in seconds on the host's
    clock.
    """

    parts: dict[str, PartState] = attrs.field(factory=dict)
    sound_at: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    undecided: list[UndecidedCrash] = attrs.field(factory=list)
    recent: dict[CrashId, float] = attrs.field(factory=dict)
    forwards: float = FORWARD_BURST
    forwarded_at: float = 0.0

    def get_part(self, part: str, now: float) -> PartState:
        """Return a part's state, created on first use; an idle one may be dropped."""
        known = self.parts.get(part)
        if known is None:
            known = self.parts[part] = PartState(changed_at=now)
            while len(self.parts) > MAX_PARTS:
                del self.parts[min(self.parts, key=self._rank_for_removal)]
        return known

    def record_crashes(self, crashes: Iterable[CrashId], now: float) -> None:
        """Record that crashes became known, and forget those that are not recent."""
        for crash_id in crashes:
            if len(self.recent) < MAX_RECENT:
                self.recent.setdefault(crash_id, now)
        self.recent = {
            crash_id: known_at
            for crash_id, known_at in self.recent.items()
            if now - known_at <= RECENT_SECONDS
        }

    def record_sound(self, part: str, now: float) -> None:
        """Record that an answer on the part began and went on."""
        self.sound_at[part] = now
        self.sound_at.move_to_end(part)
        if len(self.sound_at) > MAX_SOUND_PARTS:
            self.sound_at.popitem(last=False)

    def was_sound(self, part: str, now: float) -> bool:
        """Return whether an answer on the part was seen recently."""
        return now - self.sound_at.get(part, float("-inf")) <= SOUND_SECONDS

    def is_held(self, part: str) -> bool:
        """Return whether requests with the part are refused."""
        known = self.parts.get(part)
        return known is not None and known.hold is not None

    def count_held(self) -> int:
        """Return the number of held parts."""
        return sum(known.hold is not None for known in self.parts.values())

    def list_held(self, parts: Iterable[str]) -> list[str]:
        """Return those of the parts that are held."""
        return [part for part in parts if self.is_held(part)]

    def list_suspicions(self, crash_id: CrashId) -> list[Suspicion]:
        """Return the parts that a crash is held against, unless a held part is.

        Crashes that a held part explains are not held against others.
        """
        held = [known for known in self.parts.values() if known.hold is not None]
        explained = {crash_id for known in held for crash_id in known.crashes}
        if crash_id in explained:
            return []
        recent = len(self.recent.keys() - explained)
        suspicions = []
        for part, known in self.parts.items():
            crash = known.crashes.get(crash_id)
            if crash is not None:
                crashes = known.count_crashes(explained)
                was_sound = any(item.was_sound for item in known.crashes.values())
                item = Suspicion(
                    part=part,
                    position=crash.position,
                    crashes=crashes,
                    was_sound=was_sound,
                    recent=recent,
                )
                suspicions.append(item)
        return suspicions

    def take_due(self, now: float) -> list[CrashId]:
        """Return the crashes that are to be decided, which then are not any more."""
        due = [item.crash_id for item in self.undecided if item.decide_at <= now]
        self.undecided = [item for item in self.undecided if item.decide_at > now]
        return due

    def list_outdated(self, host: str, now: float) -> list[str]:
        """Return the parts whose knowledge is old, for `host` to remove.

        A host that saw one of the crashes removes it first, others if it did not.
        """
        return [
            part
            for part, known in self.parts.items()
            if now - known.changed_at > known.get_lifetime(host)
        ]

    def take_forward(self, now: float) -> bool:
        """Return whether another host's report may be passed on.

        When many engines end at once, hosts would otherwise flood each other with
        suspects; the store tells them of what is not passed on.
        """
        elapsed, self.forwarded_at = now - self.forwarded_at, now
        refill = min(FORWARD_BURST, elapsed * FORWARD_RATE)
        self.forwards = min(FORWARD_BURST, self.forwards + refill)
        if self.forwards < 1:
            return False
        self.forwards -= 1
        return True

    def _rank_for_removal(self, part: str) -> tuple[bool, float]:
        known = self.parts[part]
        return known.hold is not None, known.changed_at


def list_shared_parts(request: CallerRequest) -> tuple[str, ...]:
    """Return the names of a request's parts but the last, which is its own.

    Of a long prompt only the latest `MAX_SHARED_PARTS` are returned: fewer requests
    share them than the first ones.
    """
    shared = request.parts[:-1][-MAX_SHARED_PARTS:]
    return tuple(dict.fromkeys(name_part(part.id) for part in shared))


def name_part(part_id: str) -> str:
    """Return the name of a part in logs and records: its id, or a hash of an odd one.

    Ids come from callers; one that is long or has other characters than letters,
    digits, hyphen and underscore is not used as it is.
    """
    if PLAIN_NAME.fullmatch(part_id):
        return part_id
    return xxh3_128_hexdigest(part_id.encode())
