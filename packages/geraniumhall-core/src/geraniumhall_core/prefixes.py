"""Prefix caches of engines, as far as a host can infer them.

An engine keeps the prompt parts that it has prefilled until its memory runs out,
and then drops the least recently used ones. A host knows which prompts it sent to
which engine, and the other hosts report theirs. From these uses it infers what each
engine holds. The inference only guides placement: a part that is missing after all
is prefilled again.

Other requests that run there take memory too, so a part that was not used for some time
may be gone. How likely it is still held is bounded from both sides: the engine needs at
least the larger, and at most the sum, of what was used since and of what runs there.
"""

from collections import OrderedDict
from collections.abc import Sequence
from math import log

import attrs
from xxhash import xxh32_intdigest

from geraniumhall_core.requests import PromptPart

BLOCK_TOKENS = 16  # the least memory that an engine uses for a part
FORGET_INTERVAL_SECONDS = 1.0
USE_HALF_LIFE_SECONDS = 5.0  # of a use of a shared part, in the rate of its uses
# Until then an engine may still be reading a part, or have exported it.
SETTLED_AFTER_SECONDS = 0.5
MAX_PARTS = 98_304  # of all engines, about 350 bytes each
DROPPED_FRACTION = 1 / 16  # of an engine's parts, so that few searches are needed
MIN_USES = 0.05  # a part with fewer recent uses counts as not used


@attrs.frozen
class PartUse:
    """A prompt part as hosts report it; `key` is a hash of the part's id."""

    key: int
    tokens: int

    @classmethod
    def from_part(cls, part: PromptPart) -> "PartUse":
        """Return the use of a part of a caller's prompt."""
        return cls(xxh32_intdigest(part.id), part.tokens)


@attrs.frozen
class PromptUse:
    """A prompt that was sent to an engine, as its parts in order."""

    server: str
    parts: tuple[PartUse, ...]


@attrs.frozen
class KeptTokens:
    """The expected tokens of a prompt's leading parts that an engine still holds.

    `settled` are those that it has held for so long that others can fetch them.
    """

    held: float = 0.0
    settled: float = 0.0


NOTHING_KEPT = KeptTokens()


@attrs.define
class EngineCache:
    """The parts that one incarnation of an engine is assumed to hold.

    `tokens_by_key` is in order of use, the least recent first. It holds at most
    `capacity` tokens. `added_tokens` counts the tokens of all uses, and `marks` has its
    value as of the last use of each part. `first_uses` has the time of the first use of
    each part, in seconds on the host's clock.
    """

    incarnation: int
    capacity: int
    tokens_by_key: OrderedDict[int, int] = attrs.field(factory=OrderedDict)
    used_tokens: int = 0
    added_tokens: int = 0
    marks: dict[int, int] = attrs.field(factory=dict)
    first_uses: dict[int, float] = attrs.field(factory=dict)

    def add_use(self, parts: Sequence[PartUse], now: float = 0.0) -> None:
        """Record that the engine prefills a prompt, and drop what no longer fits."""
        for part in parts:
            tokens = max(part.tokens, BLOCK_TOKENS)
            self.used_tokens += tokens - self.tokens_by_key.pop(part.key, 0)
            self.tokens_by_key[part.key] = tokens
            self.added_tokens += tokens
            self.marks[part.key] = self.added_tokens
            self.first_uses.setdefault(part.key, now)
        while self.used_tokens > self.capacity:
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the least recently used part."""
        key, tokens = self.tokens_by_key.popitem(last=False)
        del self.marks[key], self.first_uses[key]
        self.used_tokens -= tokens

    def count_cached(self, parts: Sequence[PartUse]) -> int:
        """Return the tokens of a prompt's leading parts that the engine holds."""
        total = 0
        for part in parts:
            if part.key not in self.tokens_by_key:
                break
            total += part.tokens
        return total

    def estimate_kept(
        self, parts: Sequence[PartUse], running_tokens: float, now: float = 0.0
    ) -> KeptTokens:
        """Return what the engine is expected to hold of a prompt's leading parts.

        Running requests take `running_tokens` of its memory.
        """
        held, settled, chance = 0.0, 0.0, 1.0
        is_settled = True
        for part in parts:
            mark = self.marks.get(part.key)
            if mark is None:
                break
            newer = min(self.added_tokens - mark, self.used_tokens)
            needed = running_tokens + newer
            if needed > self.capacity:
                least = max(running_tokens, newer)
                left = max(0.0, self.capacity - least) / (needed - least)
                chance = min(chance, left)
            held += part.tokens * chance
            age = now - self.first_uses[part.key]
            is_settled = is_settled and age >= SETTLED_AFTER_SECONDS
            settled += part.tokens * chance * is_settled
        return KeptTokens(held, settled)


@attrs.define
class PartUses:
    """The recent uses of a shared part; `count` is as of `counted_at` seconds."""

    count: float = 0.0
    counted_at: float = 0.0

    def add(self, now: float) -> None:
        """Count one use."""
        self.count = self.compute_count(now) + 1
        self.counted_at = now

    def compute_count(self, now: float) -> float:
        """Return the count, in which each use halves every half-life."""
        return self.count * 0.5 ** ((now - self.counted_at) / USE_HALF_LIFE_SECONDS)


@attrs.define
class PrefixCaches:
    """The inferred caches of all engines by server.

    `unreported` holds this host's uses since its last report to other hosts.
    `shared_uses` counts the uses of each part that is the last shared one of a prompt.
    All engines together have at most `MAX_PARTS` parts here, since callers may name
    parts of a single token; `part_count` is how many they have.
    """

    engines: dict[str, EngineCache] = attrs.field(factory=dict)
    forget_at: float = float("-inf")
    unreported: list[PromptUse] = attrs.field(factory=list)
    shared_uses: dict[int, PartUses] = attrs.field(factory=dict)
    part_count: int = 0

    def add_use(
        self, use: PromptUse, incarnation: int, capacity: int, now: float = 0.0
    ) -> None:
        """Record a prompt sent to an engine; a new incarnation starts empty.

        `capacity` is in tokens, and `now` in seconds on the host's clock.
        """
        if len(use.parts) > 1:
            uses = self.shared_uses.setdefault(use.parts[-2].key, PartUses())
            uses.add(now)
        cache = self.engines.get(use.server)
        if cache is None or cache.incarnation != incarnation:
            self.remove_engine(use.server)
            cache = EngineCache(incarnation, capacity)
            self.engines[use.server] = cache
        self.part_count -= len(cache.tokens_by_key)
        cache.add_use(use.parts, now)
        self.part_count += len(cache.tokens_by_key)
        while self.part_count > MAX_PARTS:
            self._drop_parts()

    def remove_engine(self, server: str) -> None:
        """Forget an engine, if it is known."""
        cache = self.engines.pop(server, None)
        if cache is not None:
            self.part_count -= len(cache.tokens_by_key)

    def _drop_parts(self) -> None:
        """Drop the oldest parts of the engine that has the most."""
        largest = max(self.engines.values(), key=lambda item: len(item.tokens_by_key))
        dropped = max(1, int(len(largest.tokens_by_key) * DROPPED_FRACTION))
        for _ in range(dropped):
            largest.drop_oldest()
        self.part_count -= dropped

    def count_cached(
        self, server: str, incarnation: int, parts: Sequence[PartUse]
    ) -> int:
        """Return the tokens of leading parts that an engine is assumed to hold."""
        cache = self.engines.get(server)
        if cache is None or cache.incarnation != incarnation:
            return 0
        return cache.count_cached(parts)

    def estimate_kept(
        self,
        server: str,
        incarnation: int,
        parts: Sequence[PartUse],
        running_tokens: float,
        now: float = 0.0,
    ) -> KeptTokens:
        """Return what an engine is expected to hold of a prompt's leading parts."""
        cache = self.engines.get(server)
        if cache is None or cache.incarnation != incarnation:
            return NOTHING_KEPT
        return cache.estimate_kept(parts, running_tokens, now)

    def compute_use_rate(self, parts: Sequence[PartUse], now: float) -> float:
        """Return how often a prompt's last shared part is used, in uses a second."""
        if len(parts) < 2 or parts[-2].key not in self.shared_uses:
            return 0.0
        count = self.shared_uses[parts[-2].key].compute_count(now)
        return count * log(2) / USE_HALF_LIFE_SECONDS

    def forget_unused(self, now: float) -> None:
        """Drop the counts of shared parts that are not used any more, now and then."""
        if now < self.forget_at:
            return
        self.forget_at = now + FORGET_INTERVAL_SECONDS
        for key, uses in list(self.shared_uses.items()):
            if uses.compute_count(now) < MIN_USES:
                del self.shared_uses[key]

    def take_unreported(self) -> tuple[PromptUse, ...]:
        """Return this host's uses since the last call."""
        uses, self.unreported = tuple(self.unreported), []
        return uses
