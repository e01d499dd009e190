"""Decoders of header values in which servers state limits and times."""

from collections.abc import Sequence
from datetime import UTC
from email.utils import parsedate_to_datetime
from functools import partial
from math import isfinite
from typing import Any

import attrs

from geraniumhall_core.notices import ServerNotice
from geraniumhall_wire.heads import ResponseHead

STATUS_UNAVAILABLE = 503
MAX_REQUEST_LIMIT = 1e6  # requests a second
MAX_VALUE_LENGTH = 64  # characters; a longer value is not decoded
MAX_LOGGED_LENGTH = 40


@attrs.frozen
class InvalidNoticeError(ValueError):
    """Raised when a header value can't be decoded; `reason` names the value."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@attrs.frozen
class NoticeHeaders:
    """The headers in which a protocol's servers state what `ServerNotice` holds."""

    request_limit: bytes
    is_leaving: bytes
    retry_after: bytes = b"retry-after"

    @property
    def names(self) -> frozenset[bytes]:
        """The names of all headers."""
        return frozenset(attrs.astuple(self))

    def decode(self, head: ResponseHead, is_answer: bool, now: float) -> ServerNotice:
        """Decode the notice in a head; `now` is in seconds since the epoch.

        A time to wait counts with status 503 only.
        """
        limits = head.find_all(self.request_limit)
        flags = head.find_all(self.is_leaving)
        waits = head.find_all(self.retry_after)
        if head.status != STATUS_UNAVAILABLE:
            waits = ()
        fields: dict[str, Any] = {}
        invalid: list[str] = []
        for name, decode in (
            ("request_limit", partial(parse_request_limit, limits)),
            ("is_leaving", partial(parse_flag, flags)),
            ("retry_after", partial(parse_retry_after, waits, now)),
        ):
            try:
                fields[name] = decode()
            except InvalidNoticeError as error:
                invalid.append(f"{name}: {error}")
        return ServerNotice(**fields, is_answer=is_answer, invalid=tuple(invalid))


def parse_request_limit(values: Sequence[bytes]) -> float | None:
    """Return a limit in requests a second, or None if there is no value.

    Of several values the smallest applies. Raises `InvalidNoticeError` if a value is
    not a decimal number from zero to `MAX_REQUEST_LIMIT`::

        parse_request_limit([b"2.5"])  # 2.5
    """
    return min((_parse_limit(value) for value in values), default=None)


def parse_retry_after(values: Sequence[bytes], now: float) -> float | None:
    """Return the seconds to wait, or None if there is no value.

    A value is a number of seconds or an HTTP date (RFC 9110, section 10.2.3), which is
    compared with `now`, in seconds since the epoch. Of several values the longest time
    applies. Raises `InvalidNoticeError`.
    """
    return max((_parse_wait(value, now) for value in values), default=None)


def parse_flag(values: Sequence[bytes]) -> bool:
    """Return whether a header states ``1``; raises `InvalidNoticeError` for others."""
    for value in values:
        if value.strip() != b"1":
            raise InvalidNoticeError(f"{_shorten(value)}, expected 1")
    return bool(values)


def _parse_limit(value: bytes) -> float:
    limit = _parse_decimal(value)
    if limit is None or limit > MAX_REQUEST_LIMIT:
        expected = f"a decimal number up to {MAX_REQUEST_LIMIT:.0f}"
        raise InvalidNoticeError(f"{_shorten(value)}, expected {expected}")
    return limit


def _parse_wait(value: bytes, now: float) -> float:
    seconds = _parse_decimal(value)
    if seconds is not None:
        return seconds
    try:
        date = parsedate_to_datetime(value.decode("latin-1")[:MAX_VALUE_LENGTH])
        date = date if date.tzinfo else date.replace(tzinfo=UTC)
        return max(0.0, date.timestamp() - now)
    except (ValueError, TypeError, OverflowError) as error:
        raise InvalidNoticeError(
            f"{_shorten(value)}, expected seconds or an HTTP date"
        ) from error


def _parse_decimal(value: bytes) -> float | None:
    """Return a number that is written with ASCII digits and at most one point."""
    text = value.strip()
    digits = text.replace(b".", b"", 1)
    if not digits.isdigit() or len(text) > MAX_VALUE_LENGTH:
        return None
    number = float(text)
    return number if isfinite(number) else None


def _shorten(value: bytes) -> str:
    return repr(value[:MAX_LOGGED_LENGTH])
