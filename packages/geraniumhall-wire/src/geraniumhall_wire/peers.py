"""MessagePack encoding of the datagrams between hosts.

A datagram is a list of the format version, the name of the message type and
the message's fields, in the order in which its class declares them. Each
message type has a name and a decoder registered under it.
"""

from collections.abc import Callable
from typing import Any

import attrs
from msgpack import packb, unpackb
from msgpack.exceptions import UnpackException
from msgpack.fallback import Unpacker

from geraniumhall_core.copies import CopyAnswer, CopyQuery
from geraniumhall_core.loans import Loan, LoanRequest
from geraniumhall_core.notices import Incarnation
from geraniumhall_core.parts import (
    PLAIN_NAME,
    CrashId,
    CrashReport,
    PartCrash,
    PartHold,
    PartReport,
    SuspectedPart,
)
from geraniumhall_core.peers import PeerMessage
from geraniumhall_core.prefixes import PartUse, PromptUse
from geraniumhall_core.registry import Registry
from geraniumhall_core.reports import LoadReport, ServerWork
from geraniumhall_core.restrictions import (
    Grant,
    GrantRequest,
    LimitStatement,
    ReportedLimit,
    RestrictionReport,
)
from geraniumhall_core.speeds import MAX_EVENT_MICROS, MAX_PREFILL_PERCENT, SpeedSample
from geraniumhall_core.summaries import WorkSummary
from geraniumhall_wire.converter import FieldViolation, InvalidDataError
from geraniumhall_wire.copies import (
    decode_copy_answer,
    decode_copy_query,
    encode_copy_answer,
    encode_copy_query,
)
from geraniumhall_wire.notices import MAX_REQUEST_LIMIT

FORMAT_VERSION = 4
MESSAGE_NAMES = {
    LoadReport: "load",
    LoanRequest: "ask",
    Loan: "loan",
    PartReport: "part",
    CrashReport: "crash",
    RestrictionReport: "limits",
    GrantRequest: "ask_token",
    Grant: "token",
    WorkSummary: "sum",
    CopyQuery: "ask_copy",
    CopyAnswer: "copy",
}
FIELD_ENCODERS: dict[type, Callable[[Any], Any]] = {
    CopyQuery: encode_copy_query,
    CopyAnswer: encode_copy_answer,
}

MAX_NUMBER = 2**53  # of a statement; hosts count on from what they have heard
DECODING_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
    UnpackException,
)

MessageDecoder = Callable[[list[Any]], PeerMessage]
MESSAGE_DECODERS: Registry[str, MessageDecoder] = Registry("peer message decoder")


def encode_peer_message(message: PeerMessage) -> bytes:
    """Encode a message as a datagram."""
    fields = FIELD_ENCODERS.get(type(message), attrs.astuple)(message)
    return packb([FORMAT_VERSION, MESSAGE_NAMES[type(message)], *fields])


def decode_peer_message(data: bytes) -> PeerMessage:
    """Decode a datagram, or raise `InvalidDataError`."""
    try:
        return _decode_parts(unpackb(data))
    except DECODING_ERRORS as error:
        raise _build_error(error) from error


def decode_question(data: bytes, sender: str) -> RestrictionReport:
    """Decode the question of a sender that may be no host, or raise `InvalidDataError`.

    It asks for the restrictions of servers, and for an answer to its own address; what
    it states is left out. The decoder in Python is slower, but the compiled one doesn't
    free lists that are nested too deeply.
    """
    unpacker = Unpacker(max_buffer_size=len(data))
    try:
        unpacker.feed(data)
        message = _decode_parts(unpacker.unpack())
        if not isinstance(message, RestrictionReport) or message.address != sender:
            raise ValueError("expected a question for restrictions")
    except DECODING_ERRORS as error:
        raise _build_error(error) from error
    return RestrictionReport(host=message.host, address=message.address)


def _decode_parts(parts: Any) -> PeerMessage:
    version, name, *fields = parts
    if version != FORMAT_VERSION:
        raise ValueError(f"format version {version!r}, expected {FORMAT_VERSION}")
    return MESSAGE_DECODERS.find(name)(fields)


def _build_error(error: Exception) -> InvalidDataError:
    return InvalidDataError((FieldViolation("$", f"invalid peer message: {error}"),))


MESSAGE_DECODERS.register("ask_copy")(decode_copy_query)
MESSAGE_DECODERS.register("copy")(decode_copy_answer)


@MESSAGE_DECODERS.register("load")
def decode_load_report(fields: list[Any]) -> LoadReport:
    """Decode a load report."""
    host, incarnation, sequence, work, uses, speeds = fields
    return LoadReport(
        host=str(host),
        incarnation=int(incarnation),
        sequence=int(sequence),
        work=_decode_work(work),
        uses=tuple(_decode_use(server, parts) for server, parts in uses),
        speeds=tuple(_decode_speed(*sample) for sample in speeds),
    )


@MESSAGE_DECODERS.register("sum")
def decode_work_summary(fields: list[Any]) -> WorkSummary:
    """Decode a part of a summary of hosts' work."""
    host, incarnation, sequence, domain, hosts, index, count, *sums = fields
    work, uses, speeds = sums
    return WorkSummary(
        host=str(host),
        incarnation=int(incarnation),
        sequence=int(sequence),
        failure_domain=str(domain),
        hosts=_parse_tokens(hosts),
        index=_parse_tokens(index),
        count=_parse_tokens(count),
        work=_decode_work(work),
        uses=tuple(_decode_use(server, parts) for server, parts in uses),
        speeds=tuple(_decode_speed(*sample) for sample in speeds),
    )


@MESSAGE_DECODERS.register("ask")
def decode_loan_request(fields: list[Any]) -> LoanRequest:
    """Decode a request to borrow tokens."""
    host, address, workspace, amount, number = fields
    return LoanRequest(
        host=str(host),
        address=str(address),
        workspace=str(workspace),
        amount=_parse_amount(amount),
        number=int(number),
    )


@MESSAGE_DECODERS.register("loan")
def decode_loan(fields: list[Any]) -> Loan:
    """Decode a loan of tokens."""
    host, workspace, amount, number = fields
    return Loan(
        host=str(host),
        workspace=str(workspace),
        amount=_parse_amount(amount),
        number=int(number),
    )


@MESSAGE_DECODERS.register("part")
def decode_part_report(fields: list[Any]) -> PartReport:
    """Decode a report on a prompt part."""
    host, part, crashes, hold, refuted, released = fields
    return PartReport(
        host=str(host),
        part=_parse_part(part),
        crashes=tuple(_decode_crash(*crash) for crash in crashes),
        hold=None if hold is None else _decode_hold(*hold),
        refuted=tuple(CrashId(str(server), int(born)) for server, born in refuted),
        released=int(released),
    )


@MESSAGE_DECODERS.register("crash")
def decode_crash_report(fields: list[Any]) -> CrashReport:
    """Decode a report on an engine that ended and the parts that are suspected."""
    host, server, incarnation, suspects = fields
    return CrashReport(
        host=str(host),
        server=str(server),
        incarnation=int(incarnation),
        suspects=tuple(_decode_suspect(*suspect) for suspect in suspects),
    )


@MESSAGE_DECODERS.register("limits")
def decode_restriction_report(fields: list[Any]) -> RestrictionReport:
    """Decode a report on the restrictions of servers."""
    host, limits, leaving, address = fields
    return RestrictionReport(
        host=str(host),
        limits=tuple(_decode_limit(*limit) for limit in limits),
        leaving=tuple(_decode_incarnation(*server) for server in leaving),
        address=str(address),
    )


@MESSAGE_DECODERS.register("ask_token")
def decode_grant_request(fields: list[Any]) -> GrantRequest:
    """Decode a request for a token of a limited server."""
    host, address, servers, number = fields
    return GrantRequest(
        host=str(host),
        address=str(address),
        servers=tuple(_decode_incarnation(*server) for server in servers),
        number=int(number),
    )


@MESSAGE_DECODERS.register("token")
def decode_grant(fields: list[Any]) -> Grant:
    """Decode a token of a limited server, or that there is none."""
    host, source, number = fields
    granted = None if source is None else _decode_incarnation(*source)
    return Grant(host=str(host), source=granted, number=int(number))


def _decode_incarnation(server: Any, started_at: Any) -> Incarnation:
    return Incarnation(str(server), int(started_at))


def _decode_limit(statement: Any, age: Any) -> ReportedLimit:
    source, rate, number, host = statement
    decoded = LimitStatement(
        source=_decode_incarnation(*source),
        rate=None if rate is None else _parse_rate(rate),
        number=_parse_number(number),
        host=str(host),
    )
    return ReportedLimit(decoded, _parse_amount(age))


def _decode_crash(
    server: Any,
    incarnation: Any,
    host: Any,
    position: Any,
    follows: Any,
    was_sound: Any,
) -> PartCrash:
    return PartCrash(
        server=str(server),
        incarnation=int(incarnation),
        host=str(host),
        position=int(position),
        follows=bool(follows),
        was_sound=bool(was_sound),
    )


def _decode_suspect(
    part: Any, position: Any, follows: Any, was_sound: Any
) -> SuspectedPart:
    return SuspectedPart(
        part=_parse_part(part),
        position=int(position),
        follows=bool(follows),
        was_sound=bool(was_sound),
    )


def _parse_part(name: Any) -> str:
    if not PLAIN_NAME.fullmatch(name):
        raise ValueError(f"part name {name!r}, expected letters and digits")
    return name


def _decode_hold(number: Any, seconds: Any, source: Any, trial_host: Any) -> PartHold:
    return PartHold(
        number=int(number),
        seconds=None if seconds is None else _parse_amount(seconds),
        source=str(source),
        trial_host=str(trial_host),
    )


def _decode_work(work: Any) -> tuple[ServerWork, ...]:
    return tuple(
        ServerWork(str(server), int(requests), int(prompt), int(memory))
        for server, requests, prompt, memory in work
    )


def _decode_use(server: Any, parts: Any) -> PromptUse:
    uses = tuple(PartUse(int(key), _parse_tokens(tokens)) for key, tokens in parts)
    return PromptUse(str(server), uses)


def _decode_speed(
    server: Any, prefill_percent: Any, event_micros: Any, has_failed: Any
) -> SpeedSample:
    percent, micros = int(prefill_percent), int(event_micros)
    if not 0 <= percent <= MAX_PREFILL_PERCENT:
        raise ValueError(f"prefill rate {percent!r}, expected a percentage")
    if not 0 <= micros <= MAX_EVENT_MICROS:
        raise ValueError(f"time between events {micros!r}, expected microseconds")
    return SpeedSample(str(server), percent, micros, bool(has_failed))


def _parse_tokens(value: Any) -> int:
    tokens = int(value)
    if tokens < 0:
        raise ValueError(f"token count {tokens!r}, expected a number >= 0")
    return tokens


def _parse_rate(value: Any) -> float:
    rate = _parse_amount(value)
    if rate > MAX_REQUEST_LIMIT:
        raise ValueError(f"limit {rate!r}, expected at most {MAX_REQUEST_LIMIT:.0f}")
    return rate


def _parse_number(value: Any) -> int:
    number = int(value)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"number {number!r}, expected 0 to {MAX_NUMBER}")
    return number


def _parse_amount(value: Any) -> float:
    amount = float(value)
    if not 0.0 <= amount < float("inf"):
        raise ValueError(f"amount {amount!r}, expected a finite number >= 0")
    return amount
