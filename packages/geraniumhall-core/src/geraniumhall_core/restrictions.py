"""Restrictions that backend servers place on requests, as one host knows them.

A server may say that it is leaving: then it takes nothing any more, from any host. It
may ask this host to wait, which says nothing of other hosts and is not told to them.

A server may name a limit: the requests a second that it takes from all hosts together.
A host learns it from an answer or from another host. Statements are ordered by a number
that grows along with what a host has heard (a Lamport clock, 1978), because the clocks
of two hosts can't be compared. An answer may have been sent before what the host knows
already, so it lifts or raises a limit only if its request was sent afterwards.

A limit falls to few hosts, each with a token bucket: see `sharing`. A host whose
request finds no server open asks some of them for a token. A token leaves the bucket
before it is sent, and lapses soon, so a lost message loses tokens but creates none.
"""

import attrs

from geraniumhall_core.limits import Share, TokenBucket
from geraniumhall_core.notices import Incarnation
from geraniumhall_core.places import MEAN_WEIGHT

EQUAL_FRACTION = 0.05  # limits that differ by less count as equal
MAX_SERVERS = 8192
FORGET_SECONDS = (
    120.0  # after which an ended limit, or that of a lost server, is dropped
)


@attrs.frozen(kw_only=True)
class LimitStatement:
    """A server's limit in requests a second, as `host` saw it; None if it has ended.

    Of two statements on a server the one with the greater `order` is newer.
    """

    source: Incarnation
    rate: float | None
    number: int
    host: str

    @property
    def order(self) -> tuple[int, str]:
        """The key by which newer statements compare greater."""
        return (self.number, self.host)


@attrs.frozen
class ReportedLimit:
    """A statement for other hosts, last confirmed `age` seconds before the report."""

    statement: LimitStatement
    age: float


@attrs.frozen(kw_only=True)
class RestrictionReport:
    """What a host knows of restrictions, for other hosts; merging it twice is harmless.

    `leaving` are servers that leave. The receiver sends what it knows to `address`,
    unless that is empty.
    """

    host: str
    limits: tuple[ReportedLimit, ...] = ()
    leaving: tuple[Incarnation, ...] = ()
    address: str = ""


@attrs.frozen(kw_only=True)
class GrantRequest:
    """A request for one token of any of the `servers`, in the round `number`."""

    host: str
    address: str
    servers: tuple[Incarnation, ...]
    number: int


@attrs.frozen(kw_only=True)
class Grant:
    """One token of a server for a round; with `source` None the host has none."""

    host: str
    source: Incarnation | None
    number: int


@attrs.define
class GrantRound:
    """A request that waits for a token, until `ends_at` seconds on the host's clock.

    `service` is that of the request. `asked_host` has not answered yet; those in
    `others`, with the servers that they have shares of, may be asked next.
    """

    request_id: str
    service: str
    ends_at: float
    asked_host: str = ""
    others: list[tuple[str, tuple[Incarnation, ...]]] = attrs.field(factory=list)


@attrs.define
class ServerRestrictions:
    """The restrictions of one incarnation of a server.

    `statement` is the newest known one. It was adopted at `learned_at` from the host
    `learned_from`, and an answer confirmed it at `confirmed_at`. `bucket` holds this
    host's share of the limit, None if it has no share, and `holders` are the hosts
    that have one, as computed for `shared_for`. `grants` holds until when tokens of
    other hosts may be used. Until `closed_until` the server takes nothing of this host,
    and from `left_at` on nothing at all. All times are in seconds on the host's clock.
    """

    statement: LimitStatement | None = None
    learned_at: float = float("-inf")
    learned_from: str = ""
    confirmed_at: float = float("-inf")
    bucket: TokenBucket | None = None
    holders: tuple[str, ...] = ()
    grants: list[float] = attrs.field(factory=list)
    shared_for: tuple[object, ...] = ()
    closed_until: float = float("-inf")
    left_at: float = float("inf")

    @property
    def is_leaving(self) -> bool:
        """Whether the server has said that it leaves."""
        return self.left_at != float("inf")

    @property
    def rate(self) -> float | None:
        """The limit in requests a second over all hosts, None if there is none."""
        return self.statement.rate if self.statement else None

    def adopt(self, statement: LimitStatement, source: str, now: float) -> bool:
        """Adopt a statement that `source` made; return whether it is newer."""
        if self.statement is not None and statement.order <= self.statement.order:
            return False
        self.statement = statement
        self.learned_at = now
        self.learned_from = source
        return True

    def confirm(self, at: float) -> None:
        """Record that the statement held at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def equals(self, rate: float | None) -> bool:
        """Return whether a stated limit equals the known one, within a small part."""
        if rate is None or self.rate is None:
            return rate is self.rate
        return abs(rate - self.rate) <= EQUAL_FRACTION * self.rate

    def is_contradicted(self, rate: float | None, sent_at: float) -> bool:
        """Return whether an answer to a request sent at `sent_at` replaces the limit.

        A lower limit always does. The end of a limit and a higher one do only if the
        answer is surely newer than all that is known.
        """
        if self.equals(rate):
            return False
        is_lower = self.rate is None or (rate is not None and rate < self.rate)
        return is_lower or sent_at > max(self.learned_at, self.confirmed_at)

    def has_token(self, now: float) -> bool:
        """Return whether this host may send a request under the limit."""
        self.grants = [until for until in self.grants if until > now]
        if self.grants:
            return True
        return self.bucket is not None and self.bucket.seconds_until(1.0) == 0.0

    def take_token(self, now: float) -> None:
        """Use a token, of those that lapse first."""
        if self.has_token(now) and self.grants:
            self.grants.remove(min(self.grants))
        elif self.bucket is not None:
            self.bucket.try_spend(1.0, now)

    def set_share(self, share: Share | None, start: float, is_settled: bool) -> None:
        """Change this host's share of the limit; a new one begins empty at `start`.

        Unless the set of hosts is settled a share doesn't grow, since other hosts may
        still use theirs.
        """
        if share is None:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = TokenBucket(share, start)
        elif is_settled or share.rate <= self.bucket.share.rate:
            self.bucket.resize(share, max(start, self.bucket.updated_at))


@attrs.define
class Membership:
    """The hosts among which limits are shared, this one included.

    It was read at `read_at` and changed last at `changed_at`, in seconds on the host's
    clock.
    """

    hosts: tuple[str, ...] = ()
    read_at: float = float("-inf")
    changed_at: float = float("-inf")

    def update(self, hosts: tuple[str, ...], now: float) -> None:
        """Replace the hosts."""
        self.read_at = now
        if hosts != self.hosts:
            self.hosts = hosts
            self.changed_at = now


@attrs.define
class RestrictionsView:
    """The restrictions of all servers, and what other hosts have to be told.

    `unreported` holds the servers of which other hosts may not know the newest
    statement. Reports were last sent at `reported_at`; the next exchange with another
    host is due at `next_exchange_at`. `rounds` holds the requests that wait for a token
    by number; no round is started for a service before its time in `backoff_until`.
    `mean_prompt_tokens` is that of recent requests, by service.
    """

    servers: dict[Incarnation, ServerRestrictions] = attrs.field(factory=dict)
    invalid: dict[Incarnation, str] = attrs.field(factory=dict)
    membership: Membership = attrs.field(factory=Membership)
    unreported: dict[Incarnation, None] = attrs.field(factory=dict)
    reported_at: float = float("-inf")
    next_exchange_at: float = float("-inf")
    rounds: dict[int, GrantRound] = attrs.field(factory=dict)
    round_number: int = 0
    backoff_until: dict[str, float] = attrs.field(factory=dict)
    mean_prompt_tokens: dict[str, float] = attrs.field(factory=dict)

    def record_prompt(self, service: str, tokens: int) -> None:
        """Add a request to the mean of its service."""
        mean = self.mean_prompt_tokens.get(service, float(tokens))
        self.mean_prompt_tokens[service] = mean + MEAN_WEIGHT * (tokens - mean)

    def open_server(self, source: Incarnation) -> ServerRestrictions:
        """Return a server's restrictions, created on first use."""
        known = self.servers.get(source)
        if known is None:
            if len(self.servers) >= MAX_SERVERS:
                del self.servers[next(iter(self.servers))]
            known = self.servers[source] = ServerRestrictions()
        return known

    def count_limited(self) -> int:
        """Return the number of servers with a limit in force."""
        return sum(known.rate is not None for known in self.servers.values())

    def count_leaving(self) -> int:
        """Return the number of servers that have said that they leave."""
        return sum(known.is_leaving for known in self.servers.values())

    def list_leaving(self, sources: list[Incarnation]) -> tuple[Incarnation, ...]:
        """Return those of the servers that leave, for a report."""
        return tuple(
            source
            for source in sources
            if source in self.servers and self.servers[source].is_leaving
        )

    def build_limits(self, sources: list[Incarnation], now: float) -> tuple:
        """Return the statements on servers for a report, with their ages."""
        reported = []
        for source in sources:
            known = self.servers.get(source)
            if known is not None and known.statement is not None:
                age = max(0.0, now - known.confirmed_at)
                reported.append(ReportedLimit(known.statement, round(age, 3)))
        return tuple(reported)

    def forget(self, current: set[Incarnation], now: float) -> None:
        """Drop what is old: ended limits, and servers that are not in `current`."""
        for source, known in list(self.servers.items()):
            is_restricted = known.rate is not None or known.is_leaving
            is_needed = now < known.closed_until or (
                source in current and is_restricted
            )
            last_change = known.learned_at
            if known.is_leaving:
                last_change = max(last_change, known.left_at)
            if not is_needed and now - last_change > FORGET_SECONDS:
                del self.servers[source]
                self.invalid.pop(source, None)
