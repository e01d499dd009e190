"""Faults that a stand-in can be told to show."""

import attrs

from geraniumhall_bench.standins.model import REPLY_FAULTS, Reply
from geraniumhall_wire.openai_front import ATTEMPT_HEADER

STATUS_UNAVAILABLE = 503


@REPLY_FAULTS.register("slow")
def delay_reply(reply: Reply, amount: float) -> Reply:
    """Answer `amount` seconds late."""
    return attrs.evolve(reply, delay=reply.delay + amount)


@REPLY_FAULTS.register("down")
def refuse_call(reply: Reply, amount: float) -> Reply:
    """Answer with 503, although the call may have taken effect."""
    return attrs.evolve(reply, status=STATUS_UNAVAILABLE, chunks=(b"{}",))


@REPLY_FAULTS.register("silent")
def stay_silent(reply: Reply, amount: float) -> Reply:
    """Never answer, on a connection that stays open."""
    return attrs.evolve(reply, chunks=(), is_silent=True)


@REPLY_FAULTS.register("lose_reply")
def lose_reply(reply: Reply, amount: float) -> Reply:
    """Take the call and close the connection without an answer."""
    return attrs.evolve(reply, chunks=(), is_cut=True)


@REPLY_FAULTS.register("crash")
def crash_midway(reply: Reply, amount: float) -> Reply:
    """Close the connection after `amount` chunks."""
    return attrs.evolve(reply, chunks=reply.chunks[: int(amount)], is_cut=True)


@REPLY_FAULTS.register("stall")
def stall_midway(reply: Reply, amount: float) -> Reply:
    """Send `amount` chunks and then nothing, on a connection that stays open."""
    return attrs.evolve(reply, chunks=reply.chunks[: int(amount)], is_silent=True)


@REPLY_FAULTS.register("unfinished")
def omit_last_chunk(reply: Reply, amount: float) -> Reply:
    """Leave the last chunk out, but end the answer properly."""
    return attrs.evolve(reply, chunks=reply.chunks[:-1])


@REPLY_FAULTS.register("crossed")
def answer_for_other_attempt(reply: Reply, amount: float) -> Reply:
    """Answer in the name of another attempt."""
    headers = [item for item in reply.headers if item[0] != ATTEMPT_HEADER]
    headers.append((ATTEMPT_HEADER, b"another-attempt"))
    return attrs.evolve(reply, headers=tuple(headers))
