"""Watches what a process holds while others send to it.

Unread bytes are those that the system has received for a connection of the process's
listeners and that the process has not read, those of connections included that it has
not accepted yet.  They are no part of its resident memory.
"""

import dataclasses
import ipaddress
import os
import pathlib
import resource
import threading
from collections.abc import Iterable
from typing import Final

SAMPLE_S: Final = 0.05
_PAGE_BYTES: Final = resource.getpagesize()
_LISTENING: Final = "0A"
_SOCKETS: Final = pathlib.Path("/proc/net/tcp")


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a listener."""

    ip: str
    port: int

    @property
    def system_text(self) -> str:
        """The address as the system's list of sockets has it."""
        packed = int(ipaddress.IPv4Address(self.ip)).to_bytes(4, "little")
        return f"{packed.hex().upper()}:{self.port:04X}"


class ResourceWatch:
    """Samples memory, unread bytes and descriptors of a process until it is ended.

    Parameters
    ----------
    pid : int
        The process.
    listeners : iterable of Address
        Its listeners.

    Attributes
    ----------
    most_bytes : int
        Most resident and unread bytes together.
    most_resident, most_unread : int
        Most bytes of each.
    most_descriptors : int
        Most open descriptors.
    """

    def __init__(self, pid: int, listeners: Iterable[Address]) -> None:
        self._folder = pathlib.Path(f"/proc/{pid}")
        self._addresses = {listener.system_text for listener in listeners}
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.most_bytes = 0
        self.most_resident = 0
        self.most_unread = 0
        self.most_descriptors = 0
        self._thread.start()

    def end(self) -> None:
        """End the watch."""
        self._ended.set()
        self._thread.join()

    def __str__(self) -> str:
        """Return the figures in megabytes, for a failed check."""
        sizes = (self.most_bytes, self.most_resident, self.most_unread)
        both, resident, unread = (size / 1024**2 for size in sizes)
        return (
            f"{both:.0f} MB: resident {resident:.0f}, unread {unread:.0f} at most; "
            f"{self.most_descriptors} descriptors"
        )

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_S):
            try:
                pages = int((self._folder / "statm").read_text().split()[1])
                descriptors = len(os.listdir(self._folder / "fd"))
            except OSError:
                return
            resident, unread = pages * _PAGE_BYTES, self._unread_bytes()
            self.most_bytes = max(self.most_bytes, resident + unread)
            self.most_resident = max(self.most_resident, resident)
            self.most_unread = max(self.most_unread, unread)
            self.most_descriptors = max(self.most_descriptors, descriptors)

    def _unread_bytes(self) -> int:
        unread = 0
        for line in _SOCKETS.read_text().splitlines()[1:]:
            _number, local, _remote, state, queues = line.split()[:5]
            if local in self._addresses and state != _LISTENING:
                unread += int(queues.partition(":")[2], 16)
        return unread
