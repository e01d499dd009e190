"""Index of catalogue entries by virtual host and path prefix."""

from collections.abc import Mapping
from typing import Protocol

import attrs


class HasPath(Protocol):
    """An entry with a virtual host and a path; an empty path is not indexed."""

    @property
    def host(self) -> str:
        """The virtual host, or an empty string."""

    @property
    def path(self) -> str:
        """The path, which is a prefix of others if it ends with a slash."""


@attrs.frozen
class PathIndex:
    """Names of entries by virtual host and path.

    A path that ends with a slash matches every path that it begins, as text: slashes
    that follow each other are not folded. Any other path matches itself and the paths
    below it. `longest` is the length of the longest path::

        PathIndex.from_entries(entries).find("a.example", "/orders//17")
    """

    names: dict[tuple[str, str], str] = attrs.field(factory=dict)
    longest: int = 0

    @classmethod
    def from_entries(cls, entries: Mapping[str, HasPath]) -> "PathIndex":
        """Index entries by name; of two with the same path the later one is found."""
        names = {}
        for name, entry in entries.items():
            if entry.path and not entry.path.endswith("/"):
                names[(entry.host, entry.path)] = name
                names[(entry.host, entry.path + "/")] = name
            elif entry.path:
                names[(entry.host, entry.path)] = name
        return cls(names, max((len(path) for _, path in names), default=0))

    def find(self, host: str, path: str) -> str | None:
        """Return the name of the entry with the longest matching path, if any.

        Only what lies within the longest indexed path is taken apart, so that the
        cost does not grow with the length of `path`.
        """
        name = self.names.get((host, path))
        slash = path.rfind("/", 0, self.longest)
        while name is None and slash >= 0:
            name = self.names.get((host, path[: slash + 1]))
            slash = path.rfind("/", 0, slash)
        return name
