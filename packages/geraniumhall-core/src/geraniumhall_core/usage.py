"""Usage counted on one host, by window and workspace."""

import attrs


@attrs.define
class UsageFigures:
    """What a workspace used of one entry in one window."""

    requests: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0


@attrs.frozen(order=True)
class UsageKey:
    """A window, by its number since the epoch, and what it is counted for."""

    window: int
    workspace: str
    entry: str


@attrs.define
class UsageLedger:
    """Figures of this host process; `window_seconds` is the window's length."""

    window_seconds: float
    figures: dict[UsageKey, UsageFigures] = attrs.field(factory=dict)

    def add(
        self,
        wall_time: float,
        workspace: str,
        entry: str,
        prompt_tokens: int,
        generated_tokens: int,
    ) -> None:
        """Count one request that ended at `wall_time` seconds since the epoch."""
        window = int(wall_time // self.window_seconds)
        key = UsageKey(window, workspace, entry)
        figures = self.figures.setdefault(key, UsageFigures())
        figures.requests += 1
        figures.prompt_tokens += prompt_tokens
        figures.generated_tokens += generated_tokens
