"""Registries, which decorators fill; all behaviour that varies is in one.

A registry maps a key, such as an event type or a policy name, to the one object
that implements it::

    POLICIES: Registry[str, RoutingPolicy] = Registry("routing policy")

    @POLICIES.register("round_robin")
    def choose_round_robin(view, request): ...

    POLICIES.find("round_robin")
"""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import attrs

K = TypeVar("K")
V = TypeVar("V")
W = TypeVar("W")


class DuplicateEntryError(ValueError):
    """Raised when a key is registered twice."""


class UnknownEntryError(LookupError):
    """Raised when a key is not registered."""


@attrs.define
class Registry(Generic[K, V]):
    """Map keys to implementations; each key may be registered once."""

    kind: str
    _entries: dict[K, V] = attrs.field(factory=dict, init=False)

    def register(self, *keys: K) -> Callable[[W], W]:
        """Return a decorator that registers its target under each of `keys`.

        Raises `DuplicateEntryError` if a key is already registered.
        """

        def decorate(target: W) -> W:
            for key in keys:
                if key in self._entries:
                    raise DuplicateEntryError(f"{self.kind} {key!r} registered twice")
                self._entries[key] = target  # type: ignore[assignment]
            return target

        return decorate

    def find(self, key: K) -> V:
        """Return the object registered under `key`.

        Raises `UnknownEntryError` if there is none.
        """
        try:
            return self._entries[key]
        except KeyError:
            known = ", ".join(sorted(str(k) for k in self._entries))
            raise UnknownEntryError(
                f"unknown {self.kind} {key!r}; known are: {known}"
            ) from None

    def __contains__(self, key: K) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[K]:
        return iter(self._entries)
