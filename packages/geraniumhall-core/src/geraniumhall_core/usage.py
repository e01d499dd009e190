"""Usage by window and workspace, from the host's count to the sealed figures.

Each process writes its counts of a window as one part, with a sequence number
that never repeats. The holder of the usage lease adds the parts up and seals
the window by one conditional write that names the parts it took in. A process
compares its counts with the seal and carries what was not taken in over to
the current window. So every count enters one sealed window, and figures are
only ever reported from a seal.

Parts are merged by sequence, which is idempotent, and added up above that,
which is not; the layers are kept apart as in "Co-habitation of Semi-lattices
and Rings (CRDTs and Incremental View Maintenance)".
"""

import attrs

from geraniumhall_core.records import RECORD_KINDS


@attrs.frozen
class UsageFigures:
    """What a workspace used of one entry."""

    requests: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0

    def __add__(self, other: "UsageFigures") -> "UsageFigures":
        return UsageFigures(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.generated_tokens + other.generated_tokens,
        )

    def __sub__(self, other: "UsageFigures") -> "UsageFigures":
        return UsageFigures(
            self.requests - other.requests,
            self.prompt_tokens - other.prompt_tokens,
            self.generated_tokens - other.generated_tokens,
        )


NO_USAGE = UsageFigures()


@attrs.frozen
class UsageLine:
    """The figures of one workspace and entry."""

    workspace: str
    entry: str
    figures: UsageFigures


@RECORD_KINDS.register("usage_part")
@attrs.frozen(kw_only=True)
class UsagePart:
    """What one process counted in a window so far."""

    window: int
    host: str
    incarnation: int
    sequence: int
    lines: tuple[UsageLine, ...]


@attrs.frozen
class SealedPart:
    """A part that a seal took in, as it was at that sequence number."""

    host: str
    incarnation: int
    sequence: int


@RECORD_KINDS.register("usage_seal")
@attrs.frozen(kw_only=True)
class UsageSeal:
    """The final figures of a window."""

    window: int
    term: int
    parts: tuple[SealedPart, ...]
    lines: tuple[UsageLine, ...]
    is_reported: bool = False

    def find_sequence(self, host: str, incarnation: int) -> int | None:
        """Return the sequence number taken in of a process, or None."""
        for part in self.parts:
            if (part.host, part.incarnation) == (host, incarnation):
                return part.sequence
        return None


UsageKey = tuple[str, str]
UsageTable = dict[UsageKey, UsageFigures]


@attrs.define
class OpenWindow:
    """A window that this process has counts in.

    `written` holds the counts of each part that was sent, by sequence; the
    part `confirmed` certainly took effect.
    """

    table: UsageTable = attrs.field(factory=dict)
    written: dict[int, UsageTable] = attrs.field(factory=dict)
    confirmed: int = 0
    version: int = 0
    is_calling: bool = False
    next_call_at: float = float("-inf")

    @property
    def is_written(self) -> bool:
        """Whether a part that took effect holds all counts."""
        return self.written.get(self.confirmed) == self.table


@attrs.define
class UsageLedger:
    """Counts of this process; `window_seconds` is the window's length."""

    window_seconds: float
    windows: dict[int, OpenWindow] = attrs.field(factory=dict)
    sequence: int = 0

    def find_window(self, wall_time: float) -> int:
        """Return the number of the window at a time since the epoch."""
        return int(wall_time // self.window_seconds)

    def find_end(self, window: int) -> float:
        """Return when a window ends, in seconds since the epoch."""
        return (window + 1) * self.window_seconds

    def add(self, wall_time: float, key: UsageKey, figures: UsageFigures) -> None:
        """Count usage of a workspace and entry."""
        number = self.find_window(wall_time)
        table = self.windows.setdefault(number, OpenWindow()).table
        table[key] = table.get(key, NO_USAGE) + figures

    def start_part(self, window: int) -> int:
        """Remember the counts of a part that is being sent; return its number."""
        self.sequence += 1
        opened = self.windows[window]
        opened.written[self.sequence] = dict(opened.table)
        return self.sequence

    def settle(self, window: int, sequence: int | None) -> UsageTable:
        """Close a sealed window; return the counts that it did not take in."""
        opened = self.windows.pop(window)
        sealed = opened.written.get(sequence, {}) if sequence is not None else {}
        left = {
            key: figures - sealed.get(key, NO_USAGE)
            for key, figures in opened.table.items()
        }
        return {key: figures for key, figures in left.items() if figures != NO_USAGE}


@attrs.define
class SealingState:
    """What the holder of the usage lease is doing."""

    is_calling: bool = False
    next_listing_at: float = float("-inf")
    pending_reports: list[UsageLine] = attrs.field(factory=list)
    seal: UsageSeal | None = None
    seal_version: int = 0


def list_lines(table: UsageTable) -> tuple[UsageLine, ...]:
    """Return a table as lines in order."""
    return tuple(
        UsageLine(workspace, entry, figures)
        for (workspace, entry), figures in sorted(table.items())
    )


def add_parts(parts: list[UsagePart]) -> tuple[UsageLine, ...]:
    """Return the sum of parts as lines in order."""
    table: UsageTable = {}
    for part in parts:
        for line in part.lines:
            key = (line.workspace, line.entry)
            table[key] = table.get(key, NO_USAGE) + line.figures
    return list_lines(table)


def sum_by_workspace(lines: tuple[UsageLine, ...]) -> list[UsageLine]:
    """Return one line for each workspace, over all entries."""
    table: UsageTable = {}
    for line in lines:
        key = (line.workspace, "")
        table[key] = table.get(key, NO_USAGE) + line.figures
    return list(list_lines(table))
