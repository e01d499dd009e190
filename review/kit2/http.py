"""A small HTTP/1.1 for stand-ins, over asyncio streams."""

import asyncio
import socket
import struct


class BrokenMessage(Exception):
    """Raised when a message ends early or can't be parsed."""


async def read_head(reader):
    """Return the start line and the headers as a list; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessage("the head ended early") from error
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise BrokenMessage(str(error)) from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def find(headers, name, default=None):
    """Return the first value of a header."""
    return next((value for key, value in headers if key == name), default)


async def read_body(reader, headers, until_end=False):
    """Return a whole body; raises `BrokenMessage` if it ends early."""
    try:
        if "chunked" in find(headers, "transfer-encoding", ""):
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return b"".join(parts)
                parts.append(chunk[:-2])
        length = find(headers, "content-length")
        if length is not None:
            return await reader.readexactly(int(length))
        return await reader.read(-1) if until_end else b""
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenMessage(f"the body ended early: {error!r}") from error


def build_head(start, headers):
    """Return the bytes of a head."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def build_response(status, headers, body=b""):
    """Return the bytes of a response with a length."""
    length = [("Content-Length", str(len(body)))]
    return build_head(f"HTTP/1.1 {status} X", [*headers, *length]) + body


def reset(writer):
    """Close a connection with a TCP reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
    writer.transport.abort()


class Answer:
    """What a client got: a status and body, and whether the answer was whole."""

    def __init__(self, status=0, headers=(), body=b"", whole=False, error=""):
        self.status, self.headers, self.body = status, list(headers), body
        self.whole, self.error = whole, error

    def __str__(self):
        if not self.status:
            return f"no answer ({self.error})"
        end = "whole" if self.whole else f"cut ({self.error})"
        stamp = find(self.headers, "x-server-stamp", "none")
        return f"{self.status}, stamp {stamp}, body {end}"


async def call(address, method, target, headers, body=b"", timeout=10.0):
    """Send one request on a new connection and return the `Answer`."""
    host, port = address.rsplit(":", 1)
    answer = Answer(error="timeout")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            sent = list(headers)
            if all(name.lower() != "host" for name, _ in headers):
                sent.insert(0, ("Host", address))
            if body or method in ("POST", "PUT"):
                sent.append(("Content-Length", str(len(body))))
            writer.write(build_head(f"{method} {target} HTTP/1.1", sent) + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                answer.error = "closed"
                return answer
            answer.status = int(head[0].split(" ")[1])
            answer.headers = head[1]
            answer.error = "cut"
            answer.body = await read_body(reader, head[1], until_end=True)
            answer.whole = True
    except TimeoutError:
        pass
    except (OSError, BrokenMessage) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    return answer
