"""Parts of prompts: what is known of one part, as stored, told and kept by a host.

All times are in seconds on the own host's clock and are never compared with those of
another host.
"""

from collections.abc import Iterable
from re import compile as compile_pattern

import attrs
from xxhash import xxh3_128_hexdigest

from geraniumhall_core.records import RECORD_KINDS
from geraniumhall_core.requests import CallerRequest
from geraniumhall_core.revisions import NO_REVISION, Revision

PART_KIND = "part"
FORGET_SECONDS = 60.0
FORGET_HOLD_SECONDS = 7200.0  # longer than any hold, so that it can be tried
MAX_HOLD_SECONDS = 3600.0
MAX_CRASHES = 16  # of one part
PLAIN_NAME = compile_pattern(r"[0-9A-Za-z_-]{1,64}")


@attrs.frozen
class CrashId:
    """An engine that ended, by its name and the start of its process."""

    server: str
    incarnation: int


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


@attrs.frozen(kw_only=True)
class SuspectedPart:
    """A part that a crash is the first evidence against; see `PartCrash`."""

    part: str
    position: int = 0
    follows: bool = False
    was_sound: bool = False


@attrs.frozen(kw_only=True)
class CrashReport:
    """A crash that `host` saw and parts that it is the first evidence against.

    It is for other hosts; merging it twice does no harm.
    """

    host: str
    server: str
    incarnation: int
    suspects: tuple[SuspectedPart, ...]

    @classmethod
    def from_crashes(cls, crashes: list[tuple[str, PartCrash]]) -> "CrashReport":
        """Return the report of one crash that counts against at least one part."""
        _, crash = crashes[0]
        return cls(
            host=crash.host,
            server=crash.server,
            incarnation=crash.incarnation,
            suspects=tuple(
                SuspectedPart(
                    part=part,
                    position=item.position,
                    follows=item.follows,
                    was_sound=item.was_sound,
                )
                for part, item in crashes
            ),
        )

    @property
    def crash_id(self) -> CrashId:
        """The engine that ended."""
        return CrashId(self.server, self.incarnation)

    def build_crash(self, suspect: SuspectedPart) -> PartCrash:
        """Return the crash as evidence against one of the parts."""
        return PartCrash(
            server=self.server,
            incarnation=self.incarnation,
            host=self.host,
            position=suspect.position,
            follows=suspect.follows,
            was_sound=suspect.was_sound,
        )


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
    version: Revision = NO_REVISION
    stored_hold: int = 0
    is_dirty: bool = False
    is_writing: bool = False
    next_write_at: float = float("-inf")

    def add_crash(self, crash: PartCrash, now: float) -> bool:
        """Add a crash; return whether it was new.

        Of too many, one that follows another takes the place of one that doesn't, since
        only the first of those counts.
        """
        known = self.crashes.get(crash.crash_id)
        if crash.crash_id in self.refuted:
            return False
        if known is not None and (known.follows or not crash.follows):
            return False
        if known is None and len(self.crashes) >= MAX_CRASHES:
            replaced = self._find_replaceable() if crash.follows else None
            if replaced is None:
                return False
            del self.crashes[replaced]
        if not self.crashes:
            self.suspected_at = now
        self.crashes[crash.crash_id] = crash
        self.heard_at = self.changed_at = now
        return True

    @property
    def is_first_evidence(self) -> bool:
        """Whether a single crash is all that is known."""
        return len(self.crashes) == 1 and not (
            self.hold or self.refuted or self.released
        )

    @property
    def is_minor(self) -> bool:
        """Whether at most one crash is known, and neither held nor stored."""
        is_stored = self.is_writing or self.version.number > 0
        return self.hold is None and not is_stored and len(self.crashes) < 2

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
        return lifetime if is_own or not self.version.number else 2 * lifetime

    def forget(self, now: float) -> None:
        """Clear everything that is known."""
        number = self.hold.number if self.hold else 0
        self.clear(list(self.crashes), number, now)

    def record_stored(self, version: Revision, record: PartRecord | None) -> None:
        """Record what the store holds; None if there is no record any more."""
        self.version = version if record is not None else Revision(version.era)
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

    def _find_replaceable(self) -> CrashId | None:
        """Return the latest crash that doesn't follow another, if there are several."""
        unordered = [key for key, crash in self.crashes.items() if not crash.follows]
        return unordered[-1] if len(unordered) > 1 else None


def list_shared_parts(request: CallerRequest) -> tuple[str, ...]:
    """Return the names of a request's parts but the last, which is its own."""
    return tuple(dict.fromkeys(map(name_part, request.list_part_ids()[:-1])))


def name_part(part_id: str) -> str:
    """Return the name of a part in logs and records: its id, or a hash of an odd one.

    Ids come from callers; one that is long or has other characters than letters,
    digits, hyphen and underscore is not used as it is.
    """
    if PLAIN_NAME.fullmatch(part_id):
        return part_id
    return xxh3_128_hexdigest(part_id.encode())
