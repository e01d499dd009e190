"""How the C library allocates large blocks.

By default glibc raises the size from which a block is mapped apart with each such block
that is freed, up to 32 MiB. Later bodies and buffers then come from the heap, which
can't shrink while a small block above them is in use. With a fixed size, memory that
was held for callers is returned to the system once they have left; see mallopt(3).
"""

import ctypes

from geraniumhall_daemon.logs import write_log

M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 128 * 2**10  # and more; reads are smaller, so they cost no mapping


def map_large_blocks() -> None:
    """Map blocks of `MAPPED_BYTES` and more apart, also after such ones were freed."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        write_log("info", "allocator_not_configured", {"reason": str(error)})
        return
    if mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES) != 1:
        write_log("info", "allocator_not_configured", {"reason": "mallopt failed"})
