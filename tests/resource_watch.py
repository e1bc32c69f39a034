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
    most_resident, most_unread, most_unsent : int
        Most bytes of each; unsent ones are those of answers that clients have not
        taken.
    most_bytes_with_unsent : int
        Most resident, unread and unsent bytes together.
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
        self.most_unsent = 0
        self.most_bytes_with_unsent = 0
        self.most_descriptors = 0
        self._thread.start()

    def end(self) -> None:
        """End the watch."""
        self._ended.set()
        self._thread.join()

    def __str__(self) -> str:
        """Return the figures in megabytes, for a failed check."""
        sizes = (
            self.most_bytes,
            self.most_resident,
            self.most_unread,
            self.most_unsent,
        )
        both, resident, unread, unsent = (size / 1024**2 for size in sizes)
        return (
            f"{both:.0f} MB: resident {resident:.0f}, unread {unread:.0f} at most; "
            f"unsent {unsent:.0f}; {self.most_descriptors} descriptors"
        )

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_S):
            try:
                pages = int((self._folder / "statm").read_text().split()[1])
                descriptors = len(os.listdir(self._folder / "fd"))
            except OSError:
                return
            resident = pages * _PAGE_BYTES
            unread, unsent = self._queued_bytes()
            self.most_bytes = max(self.most_bytes, resident + unread)
            self.most_resident = max(self.most_resident, resident)
            self.most_unread = max(self.most_unread, unread)
            self.most_unsent = max(self.most_unsent, unsent)
            with_unsent = resident + unread + unsent
            self.most_bytes_with_unsent = max(self.most_bytes_with_unsent, with_unsent)
            self.most_descriptors = max(self.most_descriptors, descriptors)

    def _queued_bytes(self) -> tuple[int, int]:
        """Return the unread and the unsent bytes of the listeners' connections."""
        unread = unsent = 0
        for line in _SOCKETS.read_text().splitlines()[1:]:
            _number, local, _remote, state, queues = line.split()[:5]
            if local in self._addresses and state != _LISTENING:
                sending, receiving = queues.split(":")
                unread += int(receiving, 16)
                unsent += int(sending, 16)
        return unread, unsent
