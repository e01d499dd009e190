"""Takes a claim before a call that may not be repeated, and settles it after."""

from collections.abc import Iterator

import attrs

from geraniumhall_core.claims import Claim, ClaimStatus
from geraniumhall_core.effects import CallPlatform
from geraniumhall_core.platform import DeleteObject, PutObject
from geraniumhall_core.purposes import SettleClaim, TakeClaim
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import Phase, RequestRecord
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict


def needs_claim(record: RequestRecord) -> bool:
    """Tell whether the request must be claimed before it is sent."""
    return not record.repeatable and record.request.idempotency_key is not None


def take_claim(state: DaemonState, record: RequestRecord) -> CallPlatform:
    """Return the effect that creates the request's claim."""
    record.phase = Phase.CLAIMING
    request_id = record.request.request_id
    record.claim = Claim(
        host=state.policy.host,
        incarnation=state.policy.incarnation,
        request_id=request_id,
    )
    key = name_claim(record)
    message = PutObject(key, record.claim, if_version=0)
    return CallPlatform(purpose=TakeClaim(request_id, key), message=message)


def settle_claim(record: RequestRecord) -> Iterator[Effect]:
    """Mark a claim as done; release it if the call certainly did not run.

    A claim whose request may have run stays open for good.
    """
    if record.claim is None or record.claim_version == 0:
        return
    if record.verdict is Verdict.MAY_HAVE_RUN:
        return
    key = name_claim(record)
    message: PutObject | DeleteObject
    if record.verdict is Verdict.RAN:
        done = attrs.evolve(record.claim, status=ClaimStatus.DONE)
        message = PutObject(key, done, record.claim_version)
    else:
        message = DeleteObject(key, record.claim_version)
    yield CallPlatform(purpose=SettleClaim(), message=message)


def name_claim(record: RequestRecord) -> ObjectKey:
    """Return the key of the claim object for a request's idempotency key."""
    name = f"{record.workspace}.{record.entry}.{record.request.idempotency_key}"
    return ObjectKey("claim", name)
