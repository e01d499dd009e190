"""Pieces of messages that are sent one after the other."""

from collections.abc import Iterable, Iterator

JOINED_BYTES = 65536  # at most, copied to be sent in one piece


def join_small(pieces: Iterable[bytes]) -> Iterator[bytes]:
    """Join neighbouring pieces of up to `JOINED_BYTES`; larger ones aren't copied."""
    joined: list[bytes] = []
    size = 0
    for piece in pieces:
        if joined and size + len(piece) > JOINED_BYTES:
            yield b"".join(joined)
            joined, size = [], 0
        if piece:
            joined.append(piece)
            size += len(piece)
    if joined:
        yield b"".join(joined)
