"""HTTP message heads and requests, independent of any connection."""

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
        # End-to-end in HTTP, but not copied with the other headers:
        b"host",
        b"content-length",
        b"expect",
    }
)


@attrs.frozen
class Head:
    """The headers of a request or response; names are in lower case."""

    headers: tuple[Header, ...]

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return next((value for key, value in self.headers if key == name), None)

    def find_all(self, name: bytes) -> tuple[bytes, ...]:
        """Return all values of a header, in order."""
        return tuple(value for key, value in self.headers if key == name)

    def select_end_to_end(self) -> tuple[Header, ...]:
        """Return the end-to-end headers: all but the hop-by-hop ones.

        Headers that the ``connection`` header names are hop-by-hop too.
        """
        named = self.find(b"connection") or b""
        extra = {token.strip().lower() for token in named.split(b",")}
        return tuple(
            header
            for header in self.headers
            if header[0] not in HOP_BY_HOP_HEADERS and header[0] not in extra
        )


@attrs.frozen(kw_only=True)
class RequestHead(Head):
    """The head of an HTTP request."""

    method: bytes
    target: bytes

    @property
    def path(self) -> str:
        """The path of the request target, without the query."""
        return self.target.split(b"?", 1)[0].decode("ascii", "replace")


@attrs.frozen(kw_only=True)
class ResponseHead(Head):
    """The head of an HTTP response."""

    status: int


@attrs.frozen
class UpstreamRequest:
    """A request to a backend server or the platform, without connection headers."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
