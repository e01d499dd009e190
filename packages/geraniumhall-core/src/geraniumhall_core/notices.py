"""What backend servers state of themselves in the heads of their answers."""

import attrs


@attrs.frozen
class Incarnation:
    """One process of a backend server, by its name and start.

    `started_at` is in milliseconds since the epoch, by the server's own clock.
    """

    server: str
    started_at: int


@attrs.frozen(kw_only=True)
class ServerNotice:
    """What a server states of itself in one answer.

    `request_limit` is the requests a second that it takes from all hosts together. A
    server that `is_leaving` takes no further requests. After `retry_after` seconds it
    takes requests of this host again. With `is_answer` the server has served the
    request, so a limit that is not stated is not in force. `invalid` describes the
    fields that could not be decoded; they count as not stated.
    """

    request_limit: float | None = None
    is_leaving: bool = False
    retry_after: float | None = None
    is_answer: bool = True
    invalid: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ReceivedNotice:
    """A notice and the attempt whose answer carried it.

    `sent_at` is when the attempt was sent, in seconds on the host's clock.
    """

    source: Incarnation
    sent_at: float
    notice: ServerNotice
