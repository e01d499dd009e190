"""Client of the admin API for the command line."""

import os
from json import loads
from typing import Any

import attrs
import trio

from geraniumhall_net.client import (
    ClientPool,
    ConnectFailedError,
    ExchangeFailedError,
    build_json_request,
    fetch_response,
)
from geraniumhall_wire.openai_front import Header

TIMEOUT_SECONDS = 15.0
TOKEN_VARIABLE = "GERANIUMHALL_TOKEN"
ADDRESS_VARIABLE = "GERANIUMHALL_ADMIN"
DEFAULT_ADDRESS = "127.0.0.1:8081"


@attrs.frozen
class AdminResponse:
    """Status code and JSON value of a response, and the version in its ETag."""

    status: int
    data: Any
    version: int | None


class UnreachableError(ConnectionError):
    """Raised when the admin API sent no complete response."""


def call_admin(
    address: str,
    method: str,
    target: str,
    data: Any = None,
    expected_version: int | None = None,
) -> AdminResponse:
    """Make one call and return the response; raises `UnreachableError`.

    A write with an `expected_version` is refused if the record is at another
    version; zero means that there must be no record.
    """
    return trio.run(_call, address, method, target, data, expected_version)


async def _call(
    address: str, method: str, target: str, data: Any, expected_version: int | None
) -> AdminResponse:
    request = build_json_request(method, target, data)
    headers = (*request.headers, *_build_headers(expected_version))
    request = attrs.evolve(request, headers=headers)
    pool = ClientPool()
    try:
        response = await fetch_response(pool, address, request, TIMEOUT_SECONDS)
    except (ConnectFailedError, ExchangeFailedError) as error:
        raise UnreachableError(str(error)) from error
    finally:
        await pool.close_idle()
    tag = (response.head.find(b"etag") or b"").strip(b'"')
    version = int(tag) if tag.isdigit() else None
    return AdminResponse(response.head.status, loads(response.body), version)


def _build_headers(expected_version: int | None) -> list[Header]:
    headers: list[Header] = []
    token = os.environ.get(TOKEN_VARIABLE)
    if token:
        headers.append((b"authorization", f"Bearer {token}".encode()))
    if expected_version == 0:
        headers.append((b"if-none-match", b"*"))
    elif expected_version is not None:
        headers.append((b"if-match", f'"{expected_version}"'.encode()))
    return headers
