"""Makes the C library return freed memory to the system.

By default the library raises the size from which a block is mapped by itself whenever
such a block is freed.  Long answers then lie between small objects, and the memory of
many that were held at once stays with the process after they were freed.
"""

import ctypes
from typing import Final

MAPPED_BLOCK_BYTES: Final = 128 * 1024
"""Size from which a block is mapped by itself; the library's initial one."""

_M_MMAP_THRESHOLD: Final = -3


def trim() -> None:
    """Return the unused pages of small blocks to the system."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (AttributeError, OSError):
        return


def return_freed_blocks() -> bool:
    """Fix the size of mapped blocks; return False if the C library can't."""
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(set_option(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
