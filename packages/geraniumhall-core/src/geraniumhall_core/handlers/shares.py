"""Shares of workspaces' limits on this host, as the catalogue gives them."""

from geraniumhall_core.limits import Share, TokenBucket
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.state import DaemonState

NO_SHARE = Share(0.0, 0.0)


def resize_buckets(
    state: DaemonState, changed: tuple[ObjectKey, ...], now: float, is_first: bool
) -> None:
    """Bring the buckets of changed workspaces in line with the catalogue.

    An increase waits until every daemon has the change or has stopped
    trusting its copy. A workspace that appears while this daemon is up to
    date is new everywhere, so nobody holds an older share of it; after the
    first listing that can't be known.
    """
    for key in changed:
        if key.kind == "workspace":
            _resize_bucket(state, key.name, now, is_first)


def find_raise_time(state: DaemonState, now: float) -> float:
    """Return when a share that increases now comes into force.

    A daemon without a listener for peers is the only one.
    """
    delay = state.policy.share_delay if state.peering.address else 0.0
    return now + delay


def _resize_bucket(state: DaemonState, name: str, now: float, is_first: bool) -> None:
    share = find_share(state, name, state.policy.host)
    raise_at = find_raise_time(state, now)
    bucket = state.buckets.get(name)
    if bucket is None:
        is_new = not is_first
        bucket = TokenBucket(share if is_new else NO_SHARE, now)
        state.buckets[name] = bucket
    bucket.resize(share, now, raise_at)


def find_share(state: DaemonState, name: str, host: str) -> Share:
    """Return a host's equal part of a workspace's rate and burst."""
    workspace = state.catalogue.workspaces.get(name)
    if workspace is None or host not in workspace.hosts:
        return NO_SHARE
    parts = len(workspace.hosts)
    return Share(workspace.rate / parts, workspace.burst / parts)
