"""Tells what the system has received and the process has not read yet.

A decision to close a connection, or to use it again, must not depend on how late the
event loop runs.
"""

import array
import fcntl
import select
import socket
import termios
from typing import Any

from tornado import iostream


def has_unread(stream: iostream.IOStream) -> bool:
    """Return whether bytes, or the end of an open connection, have arrived unread."""
    poll = select.poll()
    poll.register(stream.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def is_reset(stream: iostream.IOStream) -> bool:
    """Return whether the peer of an open stream takes no more bytes.

    What it sent before may still be unread.
    """
    poll = select.poll()
    poll.register(stream.fileno(), 0)
    return bool(poll.poll(0))


def awaits_bytes(stream: iostream.IOStream) -> bool:
    """Return whether a reader of an open stream waits and nothing for it has arrived.

    What the stream has read reaches its reader some steps of the event loop later.
    """
    return stream.reading() and not has_unread(stream)


def unread_bytes(stream: iostream.IOStream) -> int:
    """Return the number of bytes that have arrived and were not handed to a reader."""
    return stream._read_buffer_size + _queued_bytes(stream, termios.FIONREAD)


def unsent_bytes(stream: iostream.IOStream) -> int:
    """Return the number of written bytes that the peer of an open stream lacks.

    It is the number of those that it has not acknowledged; 0 if the stream is closed.
    """
    if stream.closed():
        # A closed stream has no buffer.
        return 0
    return len(stream._write_buffer) + _queued_bytes(stream, termios.TIOCOUTQ)


def _queued_bytes(stream: iostream.IOStream, request: int) -> int:
    """Return the length of a queue of the system; 0 if it is not known."""
    if stream.closed():
        return 0
    length = array.array("i", [0])
    try:
        fcntl.ioctl(stream.fileno(), request, length)
    except OSError:
        return 0
    return length[0]


def accept_waiting(bound: socket.socket) -> list[tuple[socket.socket, Any]]:
    """Accept the connections that the system has completed on a listening socket.

    Returns each non-blocking socket with its address; none if `bound` is closed.
    """
    accepted: list[tuple[socket.socket, Any]] = []
    while True:
        try:
            connection, address = bound.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            return accepted
        connection.setblocking(False)
        accepted.append((connection, address))
