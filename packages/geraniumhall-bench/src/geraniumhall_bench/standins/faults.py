"""Faults that can be injected into a stand-in's replies."""

import attrs

from geraniumhall_bench.standins.model import REPLY_FAULTS, Reply
from geraniumhall_wire.openai_front import ATTEMPT_HEADER, NOTICE_HEADERS

STATUS_UNAVAILABLE = 503
LIMIT_HEADER = NOTICE_HEADERS.request_limit
LEAVING_HEADER = NOTICE_HEADERS.is_leaving


@REPLY_FAULTS.register("slow")
def delay_reply(reply: Reply, amount: float) -> Reply:
    """Delay the reply by `amount` seconds."""
    return attrs.evolve(reply, delay=reply.delay + amount)


@REPLY_FAULTS.register("down")
def refuse_call(reply: Reply, amount: float) -> Reply:
    """Reply with status 503, although the call has taken effect."""
    return attrs.evolve(reply, status=STATUS_UNAVAILABLE, chunks=(b"{}",))


@REPLY_FAULTS.register("silent")
def stay_silent(reply: Reply, amount: float) -> Reply:
    """Send nothing and keep the connection open."""
    return attrs.evolve(reply, chunks=(), is_silent=True)


@REPLY_FAULTS.register("lose_reply")
def lose_reply(reply: Reply, amount: float) -> Reply:
    """Close the connection without a reply, after the call has taken effect."""
    return attrs.evolve(reply, chunks=(), is_cut=True)


@REPLY_FAULTS.register("crash")
def crash_midway(reply: Reply, amount: float) -> Reply:
    """Close the connection after `amount` chunks."""
    return attrs.evolve(reply, chunks=reply.chunks[: int(amount)], is_cut=True)


@REPLY_FAULTS.register("stall")
def stall_midway(reply: Reply, amount: float) -> Reply:
    """Send `amount` chunks, then nothing more, and keep the connection open."""
    return attrs.evolve(reply, chunks=reply.chunks[: int(amount)], is_silent=True)


@REPLY_FAULTS.register("unfinished")
def omit_last_chunk(reply: Reply, amount: float) -> Reply:
    """Omit the last chunk, but end the HTTP response properly."""
    return attrs.evolve(reply, chunks=reply.chunks[:-1])


@REPLY_FAULTS.register("limit")
def name_limit(reply: Reply, amount: float) -> Reply:
    """Name a limit of `amount` requests a second."""
    limit = (LIMIT_HEADER, str(amount).encode())
    return attrs.evolve(reply, headers=(*reply.headers, limit))


@REPLY_FAULTS.register("leaving")
def announce_leaving(reply: Reply, amount: float) -> Reply:
    """Say that the server is leaving."""
    return attrs.evolve(reply, headers=(*reply.headers, (LEAVING_HEADER, b"1")))


@REPLY_FAULTS.register("closed")
def ask_to_wait(reply: Reply, amount: float) -> Reply:
    """Reply with status 503 and ask to wait for `amount` seconds."""
    wait = (b"retry-after", str(amount).encode())
    headers = (*reply.headers, wait)
    return attrs.evolve(
        reply, status=STATUS_UNAVAILABLE, headers=headers, chunks=(b"{}",)
    )


@REPLY_FAULTS.register("crossed")
def answer_for_other_attempt(reply: Reply, amount: float) -> Reply:
    """Replace the attempt id that the reply echoes with another one."""
    headers = [item for item in reply.headers if item[0] != ATTEMPT_HEADER]
    headers.append((ATTEMPT_HEADER, b"another-attempt"))
    return attrs.evolve(reply, headers=tuple(headers))
