"""Prefix caches of engines, as far as a host can infer them.

An engine keeps the prompt parts that it has prefilled until its memory runs out,
and then drops the least recently used ones. A host knows which prompts it sent to
which engine, and the other hosts report theirs. From these uses it infers what each
engine holds. The inference only guides placement: a part that is missing after all
is prefilled again.
"""

from collections import OrderedDict
from collections.abc import Sequence

import attrs
from xxhash import xxh32_intdigest

from geraniumhall_core.requests import PromptPart

BLOCK_TOKENS = 16  # the least memory that an engine uses for a part


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


@attrs.define
class EngineCache:
    """The parts that one incarnation of an engine is assumed to hold.

    `tokens_by_key` is in order of use, the least recent first. It holds at most
    `capacity` tokens.
    """

    incarnation: int
    capacity: int
    tokens_by_key: OrderedDict[int, int] = attrs.field(factory=OrderedDict)
    used_tokens: int = 0

    def add_use(self, parts: Sequence[PartUse]) -> None:
        """Record that the engine prefills a prompt, and drop what no longer fits."""
        for part in parts:
            tokens = max(part.tokens, BLOCK_TOKENS)
            self.used_tokens += tokens - self.tokens_by_key.pop(part.key, 0)
            self.tokens_by_key[part.key] = tokens
        while self.used_tokens > self.capacity:
            _, tokens = self.tokens_by_key.popitem(last=False)
            self.used_tokens -= tokens

    def count_cached(self, parts: Sequence[PartUse]) -> int:
        """Return the tokens of a prompt's leading parts that the engine holds."""
        total = 0
        for part in parts:
            if part.key not in self.tokens_by_key:
                break
            total += part.tokens
        return total


@attrs.define
class PrefixCaches:
    """The inferred caches of all engines by server.

    `unreported` holds this host's uses since its last report to other hosts.
    """

    engines: dict[str, EngineCache] = attrs.field(factory=dict)
    unreported: list[PromptUse] = attrs.field(factory=list)

    def add_use(self, use: PromptUse, incarnation: int, capacity: int) -> None:
        """Record a prompt sent to an engine; a new incarnation starts empty.

        `capacity` is in tokens.
        """
        cache = self.engines.get(use.server)
        if cache is None or cache.incarnation != incarnation:
            cache = EngineCache(incarnation, capacity)
            self.engines[use.server] = cache
        cache.add_use(use.parts)

    def count_cached(
        self, server: str, incarnation: int, parts: Sequence[PartUse]
    ) -> int:
        """Return the tokens of leading parts that an engine is assumed to hold."""
        cache = self.engines.get(server)
        if cache is None or cache.incarnation != incarnation:
            return 0
        return cache.count_cached(parts)

    def take_unreported(self) -> tuple[PromptUse, ...]:
        """Return this host's uses since the last call."""
        uses, self.unreported = tuple(self.unreported), []
        return uses
