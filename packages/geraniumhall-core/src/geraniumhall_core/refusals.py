"""Refusals: the ways to refuse a request, each with a reason and a verdict.

Refusals are values, not exceptions. A front end maps the code to its own status
(HTTP 404, a gRPC status); the reason is for people.
"""

import attrs

from geraniumhall_core.verdict import Verdict


@attrs.frozen
class Refusal:
    """The refusal of one request.

    `retry_after` is in seconds, or None if no time can be given.
    """

    code: str
    reason: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after: float | None = None

    def with_reason(self, reason: str) -> "Refusal":
        """Return the refusal with a more specific reason."""
        return attrs.evolve(self, reason=reason)

    def with_verdict(self, verdict: Verdict) -> "Refusal":
        """Return the refusal with another verdict."""
        return attrs.evolve(self, verdict=verdict)

    def with_retry_after(self, seconds: float) -> "Refusal":
        """Return the refusal with the time to wait before a retry, in seconds."""
        return attrs.evolve(self, retry_after=seconds)


MALFORMED = Refusal("malformed", "the request could not be parsed")
BODY_TOO_LARGE = Refusal("body_too_large", "the request body is over the limit")
HEAD_TOO_LARGE = Refusal("head_too_large", "the request head is over the limit")
REQUEST_TIMEOUT = Refusal("request_timeout", "the request did not arrive in time")
METHOD_NOT_ALLOWED = Refusal("method_not_allowed", "the method is not allowed here")
UNKNOWN_ROUTE = Refusal("unknown_route", "no catalogue entry has this path")
UNKNOWN_MODEL = Refusal("unknown_model", "no catalogue entry has this model")
KEY_MISSING = Refusal("key_missing", "the route needs a key and none was sent")
KEY_UNKNOWN = Refusal("key_unknown", "the key is unknown or withdrawn")
NOT_PERMITTED = Refusal("not_permitted", "the entry is not open to this workspace")
CATALOGUE_STALE = Refusal(
    "catalogue_stale", "the host can't confirm that its keys and limits are in force"
)
RATE_EXCEEDED = Refusal("rate_exceeded", "the workspace is over its rate")
OVERLOADED = Refusal("overloaded", "the queue for this entry is full")
MEMORY_SHORT = Refusal(
    "memory_short", "the host has no memory left for the request", retry_after=1.0
)
DEADLINE_EXCEEDED = Refusal("deadline_exceeded", "the deadline passed")
DRAINING = Refusal("draining", "the host is being drained")
NO_SERVER = Refusal("no_backend_server", "no backend server can take the request")
SERVERS_RESTRICTED = Refusal(
    "servers_restricted", "the backend servers take no request of this host now"
)
PART_HELD = Refusal("part_held", "requests with a part of this prompt crash servers")
UPSTREAM_FAILED = Refusal(
    "upstream_failed",
    "the backend server failed before the answer was whole",
    Verdict.MAY_HAVE_RUN,
)
