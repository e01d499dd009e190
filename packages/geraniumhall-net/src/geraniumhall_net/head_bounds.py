"""A bound on the fields of response heads, checked before they are parsed.

The parser bounds the bytes of a head only while it is incomplete, and a field without a
value takes a hundred times its four bytes as an object::

    bound = HeadBound()
    if bound.feed(data):
        parser.receive_data(data)
"""

import attrs

MAX_HEAD_FIELDS = 512
INFORMATIONAL = b" 1"  # how what follows the version in such a status line begins
VERSION_BYTES = len(b"HTTP/1.1")


@attrs.define
class HeadBound:
    """Counts the lines of the heads before a response's body, as they arrive.

    Heads of informational responses may precede the final one.
    """

    max_fields: int = MAX_HEAD_FIELDS
    _lines: int = attrs.field(default=0, init=False)
    _rest: bytes = attrs.field(default=b"", init=False)  # of a line without its end
    _is_informational: bool = attrs.field(default=False, init=False)
    _has_ended: bool = attrs.field(default=False, init=False)

    def feed(self, data: bytes) -> bool:
        """Count the lines in the next bytes; return False beyond the bound."""
        if self._has_ended:
            return True
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if not line.strip(b"\r") and self._lines:
                self._lines, self._has_ended = 0, not self._is_informational
            else:
                self._count(line)
            if self._has_ended:
                self._rest = b""
                return True
            if self._lines > self.max_fields + 1:
                return False
        return True

    def _count(self, line: bytes) -> None:
        if not self._lines:
            self._is_informational = line[VERSION_BYTES:].startswith(INFORMATIONAL)
        self._lines += 1
