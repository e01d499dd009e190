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
from collections.abc import Iterable

import attrs
from xxhash import xxh3_64_intdigest

from geraniumhall_core.holding import Suspicion
from geraniumhall_core.parts import CrashId, PartState

PROVEN_SECONDS = 0.25  # of writing, after which a part did no harm
SOUND_SECONDS = 10.0
RECENT_SECONDS = 10.0
MAX_PARTS = 4096
MAX_RECENT = 1024
MAX_SOUND_PARTS = 4096
FORWARD_RATE = 32.0  # reports of other hosts, a second
FORWARD_BURST = 64.0


@attrs.frozen
class BrokenRequest:
    """A request that broke off while it was about to write or had just begun.

    `parts` are the names of its shared parts, in order. `sent_at` is in seconds on the
    host's clock.
    """

    request_id: str
    parts: tuple[str, ...]
    sent_at: float


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

    `dropped` counts the parts that were dropped for others since it was last read.
    `sound_at` holds when an answer was last seen to go on, the least recent first.
    `recent` holds when crashes became known. `forwards` are the reports of other hosts
    that may be passed on, as of `forwarded_at`. Times are in seconds on the host's
    clock.
    """

    parts: dict[str, PartState] = attrs.field(factory=dict)
    sound_at: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    undecided: list[UndecidedCrash] = attrs.field(factory=list)
    recent: dict[CrashId, float] = attrs.field(factory=dict)
    dropped: int = 0
    forwards: float = FORWARD_BURST
    forwarded_at: float = 0.0

    def get_part(self, part: str, now: float) -> PartState:
        """Return a part's state, created on first use; another one may be dropped."""
        known = self.parts.get(part)
        if known is None:
            known = PartState(changed_at=now)
            if len(self.parts) >= MAX_PARTS:
                del self.parts[self._choose_dropped()]
                self.dropped += 1
            self.parts[part] = known
        return known

    def order_suspects(
        self, host: str, crash_id: CrashId, parts: Iterable[str]
    ) -> list[str]:
        """Return parts in the order in which `host` is to record a crash against them.

        Known ones come first, so that they aren't dropped for the others. These follow
        in an order that differs between crashes and hosts, so that no place in a prompt
        is always among those that are dropped.
        """
        seed = xxh3_64_intdigest(f"{host}/{crash_id.server}/{crash_id.incarnation}")

        def rank(part: str) -> tuple[bool, int]:
            return part not in self.parts, xxh3_64_intdigest(part, seed)

        return sorted(parts, key=rank)

    def take_dropped(self) -> int:
        """Return the number of parts that were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def count_stored_suspects(self) -> int:
        """Return the number of parts that aren't held and have a record."""
        return sum(
            known.hold is None and (known.is_writing or known.version.number > 0)
            for known in self.parts.values()
        )

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

    def _choose_dropped(self) -> str:
        """Return the earliest part with little evidence, else one that isn't held."""
        for part, known in self.parts.items():
            if known.is_minor:
                return part
        unheld = (part for part, known in self.parts.items() if known.hold is None)
        return next(unheld, next(iter(self.parts)))
