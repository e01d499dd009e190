"""Usage by window and workspace, from each host's counts to sealed figures.

Each process publishes its counts of the latest windows in its host record. The
holder of the control lease sums them and seals the window by one conditional
write. Only sealed figures are reported, so every report of a window is the same,
no matter which host sends it and how often.
"""

import attrs

from geraniumhall_core.records import RECORD_KINDS

WINDOWS_KEPT = 6
SEALS_KEPT = 6


@attrs.frozen
class UsageFigures:
    """The requests and tokens that a workspace used."""

    requests: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0

    def __add__(self, other: "UsageFigures") -> "UsageFigures":
        return UsageFigures(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.generated_tokens + other.generated_tokens,
        )


NO_USAGE = UsageFigures()


@attrs.frozen
class UsageLine:
    """The usage figures of one workspace."""

    workspace: str
    figures: UsageFigures


@attrs.frozen
class WindowUsage:
    """The usage figures of one window, one line for each workspace."""

    window: int
    lines: tuple[UsageLine, ...]


@RECORD_KINDS.register("seals")
@attrs.frozen(kw_only=True)
class UsageSeals:
    """The sealed figures of the latest windows, oldest first.

    `era` is that of the store in which they were written.
    """

    windows: tuple[WindowUsage, ...] = ()
    era: int = 0

    @property
    def last_window(self) -> int | None:
        """The number of the newest sealed window, None without one."""
        return self.windows[-1].window if self.windows else None

    def add(self, window: WindowUsage, era: int = 0) -> "UsageSeals":
        """Return the seals with `window` appended, at most `SEALS_KEPT` of them."""
        return UsageSeals(windows=(*self.windows, window)[-SEALS_KEPT:], era=era)

    def merge(self, later: "UsageSeals") -> "UsageSeals":
        """Return these seals with the windows of `later` that they lack."""
        windows = {w.window: w for w in (*later.windows, *self.windows)}
        latest = sorted(windows)[-SEALS_KEPT:]
        return UsageSeals(windows=tuple(windows[n] for n in latest), era=self.era)


UsageTable = dict[str, UsageFigures]


@attrs.define
class UsageLedger:
    """Usage counts of this process by window, each `window_seconds` long.

    Windows up to `last_sealed` are final, and their counts are dropped. `seals` are
    the newest that were read.
    """

    window_seconds: float
    windows: dict[int, UsageTable] = attrs.field(factory=dict)
    last_sealed: int = -1
    seals: UsageSeals = UsageSeals()

    def compute_window(self, wall_time: float) -> int:
        """Return the number of the window at `wall_time` seconds since the epoch."""
        return int(wall_time // self.window_seconds)

    def compute_window_end(self, window: int) -> float:
        """Return the end of a window, in seconds since the epoch."""
        return (window + 1) * self.window_seconds

    def add(self, wall_time: float, workspace: str, figures: UsageFigures) -> None:
        """Add usage of a workspace at `wall_time` seconds since the epoch."""
        self._add_to_window(self.compute_window(wall_time), workspace, figures)

    def restore(self, windows: tuple[WindowUsage, ...]) -> None:
        """Add the counts that an earlier process on this host had published."""
        for window in windows:
            for line in window.lines:
                self._add_to_window(window.window, line.workspace, line.figures)

    def discard_sealed(self, window: int) -> None:
        """Drop the counts of windows up to `window`, whose figures are final."""
        self.last_sealed = max(self.last_sealed, window)
        for number in [n for n in self.windows if n <= self.last_sealed]:
            del self.windows[number]

    def observe_seals(self, seals: UsageSeals) -> None:
        """Remember the seals, and drop the counts of their windows.

        Seals that the store has lost in a rewind are remembered too.
        """
        self.seals = seals.merge(self.seals)
        if seals.last_window is not None:
            self.discard_sealed(seals.last_window)

    def list_windows(self) -> tuple[WindowUsage, ...]:
        """Return the latest `WINDOWS_KEPT` windows, oldest first; drop older ones."""
        for number in sorted(self.windows)[:-WINDOWS_KEPT]:
            del self.windows[number]
        return tuple(
            WindowUsage(number, _list_lines(table))
            for number, table in sorted(self.windows.items())
        )

    def _add_to_window(
        self, window: int, workspace: str, figures: UsageFigures
    ) -> None:
        table = self.windows.setdefault(window, {})
        table[workspace] = table.get(workspace, NO_USAGE) + figures


def sum_windows(parts: list[WindowUsage], window: int) -> WindowUsage:
    """Return the sum of those of `parts` that belong to a window."""
    table: UsageTable = {}
    for part in parts:
        if part.window != window:
            continue
        for line in part.lines:
            known = table.get(line.workspace, NO_USAGE)
            table[line.workspace] = known + line.figures
    return WindowUsage(window, _list_lines(table))


def _list_lines(table: UsageTable) -> tuple[UsageLine, ...]:
    return tuple(UsageLine(name, figures) for name, figures in sorted(table.items()))
