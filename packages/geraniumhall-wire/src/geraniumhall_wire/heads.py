"""Heads and requests of HTTP, apart from any connection."""

import attrs

Header = tuple[bytes, bytes]

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"expect",
    }
)


@attrs.frozen
class Head:
    """The headers of a request or an answer; names are lower case."""

    headers: tuple[Header, ...]

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return next((value for key, value in self.headers if key == name), None)

    def select_end_to_end(self) -> tuple[Header, ...]:
        """Return the headers that don't concern one connection only."""
        named = self.find(b"connection") or b""
        extra = {token.strip().lower() for token in named.split(b",")}
        return tuple(
            (name, value)
            for name, value in self.headers
            if name not in HOP_BY_HOP_HEADERS and name not in extra
        )


@attrs.frozen(kw_only=True)
class RequestHead(Head):
    """The head of a request."""

    method: bytes
    target: bytes

    @property
    def path(self) -> str:
        """The target's path, without the query."""
        return self.target.split(b"?", 1)[0].decode("ascii", "replace")


@attrs.frozen(kw_only=True)
class ResponseHead(Head):
    """The head of an answer."""

    status: int


@attrs.frozen
class UpstreamRequest:
    """A request to a server, whole but for what a connection adds."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
