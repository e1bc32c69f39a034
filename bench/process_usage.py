"""Processor time and memory of a process, read from /proc."""

import os
import pathlib
from typing import Final

_TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
_BYTES_PER_KIB: Final = 1024
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12


def processor_seconds(pid: int) -> float:
    """Return the user and system time of a process since its start, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The second field, the process name, is in parentheses and may contain spaces;
    # the fields below are counted from its closing parenthesis.
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_SECOND


def private_bytes(pid: int) -> int:
    """Return the resident memory of a process that maps no file, in bytes.

    Raises
    ------
    ValueError
        If the kernel does not report it.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * _BYTES_PER_KIB
    raise ValueError(f"/proc/{pid}/status has no RssAnon line")
