"""Whether a backend server takes a request of this host now.

Everything that sends a request asks `is_open` first and `take_request` as it sends:
first attempts and retries, prefill and decode, trials of held parts, orders, and
releases of KV caches. Probes open a connection without a request.
"""

from geraniumhall_core.admin import LimitStatus
from geraniumhall_core.catalogue import BackendServer
from geraniumhall_core.confirmations import compute_sparing_interval
from geraniumhall_core.limits import Share
from geraniumhall_core.notices import Incarnation
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.places import PLACE_POLICIES, PlaceQuery
from geraniumhall_core.platform import Feed
from geraniumhall_core.refusals import SERVERS_RESTRICTED, Refusal
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.restrictions import ServerRestrictions
from geraniumhall_core.returns import RETURN_POLICIES
from geraniumhall_core.sharing import MIN_RATE, SHARING_POLICIES, SharingQuery
from geraniumhall_core.state import DaemonState

MEMBERSHIP_TTL_SECONDS = 0.25
HANDOVER_MARGIN_SECONDS = 1.0  # for reading records, beyond the interval of writing
STALE_FRACTION = 0.5  # of the silence after which a host counts as down
DEFAULT_RETRY_SECONDS = 0.5  # another host may have a share
UNCONFIRMED_SECONDS = 30.0
MAX_NAMED_SERVERS = 4  # in a reason


def is_open(state: DaemonState, name: str, now: float) -> bool:
    """Return whether this host may send a request to a backend server now."""
    if is_leaving(state, name):
        return False
    known = _find_restrictions(state, name)
    if known is None:
        return True
    if now < known.closed_until:
        return False
    if known.rate is None:
        return True
    return refresh_share(state, name, known, now).has_token(now)


def is_leaving(state: DaemonState, name: str) -> bool:
    """Return whether a server leaves, by the store or by its own answers.

    Nothing is sent to it any more, until a new process is listed under its name.
    """
    server = state.catalogue.servers.get(name)
    known = _find_restrictions(state, name)
    is_listed = server is not None and server.leaving
    return is_listed or (known is not None and known.is_leaving)


def is_place_for(
    state: DaemonState, name: str, record: RequestRecord, now: float
) -> bool:
    """Return whether a request may use an open server while others are open too."""
    known = _find_restrictions(state, name)
    if known is None or known.rate is None or known.bucket is None or known.grants:
        return True
    view = state.restrictions
    query = PlaceQuery(
        prompt_tokens=record.request.prompt_tokens,
        mean_prompt_tokens=view.mean_prompt_tokens.get(record.service, 0.0),
        tokens=known.bucket.tokens,
        burst=known.bucket.share.burst,
    )
    return PLACE_POLICIES.find(state.policy.places)(query)


def take_request(state: DaemonState, name: str, now: float) -> bool:
    """Count a request that is sent to a server; return False if that is closed."""
    if not is_open(state, name, now):
        return False
    known = _find_restrictions(state, name)
    if known is not None and known.rate is not None:
        known.take_token(now)
    return True


def describe_closed(
    state: DaemonState, record: RequestRecord, now: float, draw: float
) -> Refusal | None:
    """Return the refusal of a request whose servers are all closed to this host.

    Return None if a server that can answer it and that it has not tried is open.
    """
    servers = state.catalogue.servers
    names = [
        name
        for name in state.catalogue.servers_by_service.get(record.service, ())
        if name not in record.tried_servers
        and servers[name].role is not ServerRole.PREFILL
    ]
    closed = [name for name in names if not is_open(state, name, now)]
    if not closed or len(closed) < len(names):
        return None
    waits = [compute_wait(state, name, now) for name in closed]
    wait = min((w for w in waits if w is not None), default=DEFAULT_RETRY_SECONDS)
    wait = RETURN_POLICIES.find(state.policy.returns)(wait, draw)
    named = closed[:MAX_NAMED_SERVERS]
    reasons = [_describe_server(state, name, now) for name in named]
    reason = f"no server of {record.service!r} is open to this host: "
    reason += ", ".join(reasons)
    if len(closed) > len(named):
        reason += f" and {len(closed) - len(named)} more"
    return SERVERS_RESTRICTED.with_reason(reason).with_retry_after(wait)


def list_holders(
    state: DaemonState, record: RequestRecord, now: float
) -> dict[str, list[Incarnation]]:
    """Return the other hosts with shares of limited servers that may take a request.

    Engines in the prefill role are left out, because they don't answer it.
    """
    holders: dict[str, list[Incarnation]] = {}
    for name in state.catalogue.servers_by_service.get(record.service, ()):
        server = state.catalogue.servers[name]
        known = _find_restrictions(state, name)
        if known is None or known.rate is None or name in record.tried_servers:
            continue
        if server.role is ServerRole.PREFILL or now < known.closed_until:
            continue
        if is_leaving(state, name):
            continue
        for host in refresh_share(state, name, known, now).holders:
            if host != state.policy.host:
                holders.setdefault(host, []).append(identify(name, server))
    return holders


def compute_wait(state: DaemonState, name: str, now: float) -> float | None:
    """Return the seconds until a server takes a request of this host, None if never."""
    if is_leaving(state, name):
        return None
    known = _find_restrictions(state, name)
    if known is None:
        return 0.0
    closed = max(0.0, known.closed_until - now)
    if known.rate is None:
        return closed
    bucket = refresh_share(state, name, known, now).bucket
    wait = None if bucket is None else bucket.seconds_until(1.0)
    if bucket is None or wait is None:
        return None
    return max(closed, wait + max(0.0, bucket.updated_at - now))


def describe_limit(state: DaemonState, name: str, now: float) -> LimitStatus | None:
    """Return a server's limit for operators, or None if it has none."""
    known = _find_restrictions(state, name)
    if known is None or known.rate is None or known.statement is None:
        return None
    refresh_share(state, name, known, now)
    share = known.bucket.share.rate if known.bucket else 0.0
    return LimitStatus(
        rate=known.rate,
        own_rate=round(share, 3),
        hosts=known.holders,
        seen_by=known.statement.host,
        learned_from=known.learned_from,
        age=round(now - max(known.learned_at, known.confirmed_at), 3),
    )


def compute_closed_seconds(state: DaemonState, name: str, now: float) -> float:
    """Return for how long a server has asked this host for nothing more."""
    known = _find_restrictions(state, name)
    return round(max(0.0, known.closed_until - now), 3) if known else 0.0


def refresh_share(
    state: DaemonState, name: str, known: ServerRestrictions, now: float
) -> ServerRestrictions:
    """Recompute this host's share if the limit or the hosts have changed.

    If no answer confirms a limit for long, hosts without a share try the server now and
    then: those with a share may have no requests, or be unable to tell of the end.
    """
    assert known.rate is not None
    membership = state.restrictions.membership
    refresh_membership(state, now)
    settled_at = membership.changed_at + compute_handover_seconds(state)
    known_at = max(known.learned_at, known.confirmed_at)
    is_doubtful = now - known_at > UNCONFIRMED_SECONDS
    is_settled = now >= settled_at
    policy = state.policy.sharing
    shared_for = (known.rate, membership.hosts, is_settled, is_doubtful, policy)
    if known.shared_for != shared_for:
        known.shared_for = shared_for
        query = SharingQuery(server=name, rate=known.rate, hosts=membership.hosts)
        shares = SHARING_POLICIES.find(policy)(query)
        known.holders = tuple(shares)
        share = shares.get(state.policy.host)
        if share is None and is_doubtful:
            known.bucket = None
            share = Share(MIN_RATE / max(1, len(membership.hosts)), 1.0)
        known.set_share(share, max(now, settled_at), is_settled)
    if known.bucket is not None:
        known.bucket.refill(now)
    return known


def refresh_membership(state: DaemonState, now: float) -> None:
    """Read which hosts share limits.

    A host that does not reach the store keeps the hosts that it knew: it can't tell
    which of the others still run. One that is being drained gives its shares up once
    the others may have taken them over, if there are any.
    """
    membership = state.restrictions.membership
    if now - membership.read_at < MEMBERSHIP_TTL_SECONDS:
        return
    age = now - state.feeds[Feed.RECORDS].confirmed_at
    if membership.hosts and age > state.policy.host_silence * STALE_FRACTION:
        return
    hosts = set(state.list_live_hosts(now))
    requested_at = state.drain.requested_at
    is_staying = requested_at is None
    if requested_at is not None:
        is_staying = now - requested_at < compute_handover_seconds(state)
    if is_staying or not hosts:
        hosts.add(state.policy.host)
    membership.update(tuple(sorted(hosts)), now)


def compute_handover_seconds(state: DaemonState) -> float:
    """Return how long a host waits before it uses a share that another one had.

    By then every host that reaches the store has read of the change.
    """
    interval = state.policy.publish_interval * state.interval_factor
    if state.confirmation_plan.is_sparing:
        interval = max(interval, compute_sparing_interval(state.policy.usage_window))
    return interval + HANDOVER_MARGIN_SECONDS


def identify(name: str, server: BackendServer) -> Incarnation:
    """Return the incarnation of a listed server."""
    return Incarnation(name, server.started_at)


def _find_restrictions(state: DaemonState, name: str) -> ServerRestrictions | None:
    server = state.catalogue.servers.get(name)
    if server is None or not state.restrictions.servers:
        return None
    return state.restrictions.servers.get(identify(name, server))


def _describe_server(state: DaemonState, name: str, now: float) -> str:
    if is_leaving(state, name):
        return f"{name} is leaving"
    known = _find_restrictions(state, name)
    assert known is not None
    if now < known.closed_until:
        return f"{name} wants nothing for {known.closed_until - now:.1f} s"
    share = known.bucket.share.rate if known.bucket else 0.0
    return f"{name} takes {known.rate:.3g} requests a second, {share:.3g} of this host"
