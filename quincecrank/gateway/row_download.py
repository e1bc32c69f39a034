"""Downloads a document of a peer in a thread, with blocking calls.

Load pattern: the event loop of an overloaded gateway takes several hundred milliseconds
for an iteration, and an asynchronous HTTP call needs some ten of them.  It ends at its
time limit then, although the peer has answered at once.  A thread gets its turn
between the steps of the event loop, so that only the result waits for an iteration.
"""

import socket
import time
from typing import Final

from quincecrank import clock as clocks
from quincecrank.gateway import peer_calls

MAX_HEAD_BYTES: Final = 64 * 1024
"""Longest head of an answer."""

_RECEIVE_BYTES: Final = 64 * 1024
_HEAD_END: Final = b"\r\n\r\n"
_OK: Final = "200"


def download(ip: str, port: int, target: str, limit_ms: int) -> bytes:
    """Return the document at `target` of a peer; blocks for at most `limit_ms`.

    Raises
    ------
    PeerCallError
        If the call fails or takes longer, or if the document exceeds a limit of
        `peer_calls`.
    """
    try:
        answer = _exchange(ip, port, target, limit_ms / clocks.MS_PER_SECOND)
    except OSError as error:
        raise peer_calls.PeerCallError(repr(error)) from error
    head, end, body = answer.partition(_HEAD_END)
    lines = head.decode("latin-1").split("\r\n")
    status = lines[0].split(" ")[1:2]
    if not end or status != [_OK]:
        raise peer_calls.PeerCallError(f"answered {lines[0][:80]!r}")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    if headers.get("content-length") != str(len(body)):
        raise peer_calls.PeerCallError(f"truncated after {len(body)} bytes")
    if headers.get("content-encoding") != "gzip":
        return body
    return peer_calls.decompressed(body)


def _exchange(ip: str, port: int, target: str, limit_s: float) -> bytes:
    """Send a request and return all bytes of the answer."""
    end_s = time.monotonic() + limit_s
    with socket.create_connection((ip, port), timeout=limit_s) as connection:
        # The peer closes the connection after its answer.
        connection.sendall(
            f"GET {target} HTTP/1.0\r\nHost: {ip}\r\n"
            "Accept-Encoding: gzip\r\n\r\n".encode()
        )
        received = bytearray()
        while True:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                raise TimeoutError("not complete in time")
            connection.settimeout(left_s)
            part = connection.recv(_RECEIVE_BYTES)
            if not part:
                return bytes(received)
            received += part
            _check_length(received)


def _check_length(received: bytearray) -> None:
    if len(received) > peer_calls.MAX_SENT_BYTES + MAX_HEAD_BYTES:
        raise peer_calls.PeerCallError("answer exceeds the limit")
    if len(received) > MAX_HEAD_BYTES and _HEAD_END not in received[:MAX_HEAD_BYTES]:
        raise peer_calls.PeerCallError("head exceeds the limit")
