"""Builders of states and events for tests of the daemon's reducer."""

from typing import Any

from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    EntryLimits,
    ServiceClass,
    ServiceWeight,
    Workspace,
)
from geraniumhall_core.events import AttemptEnded, PlatformAnswered, RequestArrived
from geraniumhall_core.handlers import REDUCER
from geraniumhall_core.handlers.limits import refresh_buckets
from geraniumhall_core.keys import Credential, KeyRecord, parse_key
from geraniumhall_core.platform import Feed, Listing
from geraniumhall_core.policy import Policy
from geraniumhall_core.purposes import FollowFeed
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect, Event
from geraniumhall_core.requests import (
    AttemptOutcome,
    CallerRequest,
    ModelTarget,
    PathTarget,
)
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

SECRET = "s" * 40
DRAWS = (0.25, 0.75)
LISTED_AT = 1.0
NOW = 2.0


def build_records(**changes: Any) -> dict[ObjectKey, Any]:
    """Return a small catalogue, in which `changes` set some fields.

    It has two workspaces with a key each, a model entry and an entry that is open
    to all on two servers, and a service entry on two others.
    """
    limits = changes.get("limits", EntryLimits())
    return {
        ObjectKey("workspace", "audit"): Workspace(
            rate=changes.get("rate", 1e6), burst=changes.get("burst", 1e6)
        ),
        ObjectKey("workspace", "other"): Workspace(rate=1e6, burst=1e6),
        ObjectKey("entry", "draft"): CatalogueEntry(
            owner="audit",
            service_class=ServiceClass.MODEL,
            repeatable=True,
            limits=limits,
        ),
        ObjectKey("entry", "filing"): CatalogueEntry(
            owner="audit", service_class=ServiceClass.SERVICE, path="/filings"
        ),
        ObjectKey("entry", "open"): CatalogueEntry(
            owner="audit", service_class=ServiceClass.MODEL, open_to_all=True
        ),
        ObjectKey("key", "k1"): KeyRecord.from_secret("audit", "salt", SECRET),
        ObjectKey("key", "k2"): KeyRecord.from_secret("other", "salt", SECRET),
        ObjectKey("server", "e1"): build_server("draft", "open"),
        ObjectKey("server", "e2"): build_server("draft", "open"),
        ObjectKey("server", "s1"): build_server("filing"),
        ObjectKey("server", "s2"): build_server("filing"),
    }


def build_server(*entries: str, **changes: Any) -> BackendServer:
    """Return a backend server that serves `entries`."""
    return BackendServer(
        address="10.0.0.1:80", failure_domain="a", entries=entries, **changes
    )


def build_open_entry(
    service_class: ServiceClass, path: str, service: str
) -> CatalogueEntry:
    """Return an entry that is open to all and is served by one service."""
    return CatalogueEntry(
        owner="audit",
        service_class=service_class,
        path=path,
        open_to_all=True,
        services=(ServiceWeight(service, 1.0),),
    )


def build_service_entry(**fields: Any) -> CatalogueEntry:
    """Return an entry for a plain service that all workspaces may use."""
    return CatalogueEntry(
        owner="", service_class=ServiceClass.SERVICE, shared=True, **fields
    )


def build_listing(records: dict[ObjectKey, Any], revision: int = 100) -> Listing:
    """Return a listing of records with versions counted from one."""
    objects = [
        VersionedRecord(key, Revision(number=version), record)
        for version, (key, record) in enumerate(records.items(), 1)
    ]
    return Listing(Revision(number=revision), tuple(objects))


def build_state(**changes: Any) -> DaemonState:
    """Return the state of host h1 with full buckets and `build_records`' catalogue."""
    policy = Policy(
        host="h1", failure_domain="a", incarnation=1, **changes.pop("policy", {})
    )
    state = DaemonState.from_policy(policy)
    listing = build_listing(build_records(**changes))
    apply_feed_answer(state, Feed.CONFIGURATION, Listing(listing.revision, ()))
    apply_feed_answer(state, Feed.SERVERS, Listing(listing.revision, ()))
    apply_feed_answer(state, Feed.RECORDS, listing)
    refresh_buckets(state, LISTED_AT)
    for bucket in state.buckets.values():
        bucket.tokens = bucket.share.burst
    return state


def apply_feed_answer(
    state: DaemonState, feed: Feed, answer: Any, at: float = LISTED_AT
) -> tuple[Effect, ...]:
    """Apply an answer to a call that reads a feed."""
    return reduce(state, build_answer(FollowFeed(feed), answer, at=at))


def build_answer(purpose: Any, answer: Any, at: float = NOW) -> PlatformAnswered:
    """Return the event of an answer of the platform."""
    return PlatformAnswered(
        at=at, called_at=at, wall_time=at, purpose=purpose, answer=answer, draws=DRAWS
    )


def build_credential(key_id: str = "k1", secret: str = SECRET) -> Credential:
    """Return the credential of the key with this id and secret."""
    credential = parse_key(f"gh_{key_id}_{secret}")
    assert credential is not None
    return credential


def build_arrival(
    request_id: str = "r1",
    target: ModelTarget | PathTarget | str = "draft",
    at: float = NOW,
    **fields: Any,
) -> RequestArrived:
    """Return the event of a request; a string as `target` is the name of a model."""
    if isinstance(target, str):
        target = ModelTarget(target)
    fields.setdefault("credential", build_credential())
    request = CallerRequest(request_id=request_id, target=target, **fields)
    return RequestArrived(at=at, request=request, draws=DRAWS)


def build_attempt_end(
    effect: Any,
    outcome: AttemptOutcome,
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
    at: float = NOW,
    **fields: Any,
) -> AttemptEnded:
    """Return the event that ends the attempt of a `RelayRequest`."""
    return AttemptEnded(
        at=at,
        request_id=effect.request_id,
        attempt_id=effect.attempt_id,
        outcome=outcome,
        verdict=verdict,
        wall_time=at,
        draws=DRAWS,
        **fields,
    )


def reduce(state: DaemonState, event: Event) -> tuple[Effect, ...]:
    """Apply one event and return its effects."""
    return REDUCER.reduce(state, event)


def find_effect(effects: tuple[Effect, ...], kind: type) -> Any:
    """Return the only effect of a type; fail if there is not exactly one."""
    found = [effect for effect in effects if isinstance(effect, kind)]
    assert len(found) == 1, effects
    return found[0]
