"""A small HTTP/1.1 layer on asyncio streams, for the stand-ins of the review."""

import asyncio
import itertools
from urllib.parse import parse_qs, unquote, urlsplit

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request"}


class Message:
    """A request or a response; header names are in lower case."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])

    @property
    def method(self):
        return self.start.split(" ", 1)[0]

    @property
    def target(self):
        return self.start.split(" ", 2)[1]

    @property
    def path(self):
        return unquote(urlsplit(self.target).path)

    @property
    def query(self):
        return {k: v[0] for k, v in parse_qs(urlsplit(self.target).query).items()}


async def read_head(reader):
    """Return the start line and headers, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Return the next message with its whole body."""
    start, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(start, headers, body)


def encode_request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_response(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def serve(handler, host, port=0):
    """Serve each connection with `handler(message, writer)`; return server and address."""

    async def run(reader, writer):
        try:
            while True:
                await handler(await read_message(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, host, port, backlog=1024)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


COUNTER = itertools.count(1)
