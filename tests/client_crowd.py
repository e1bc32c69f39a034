"""A crowd of callers beyond the limits, as a process of its own.

`python -m tests.client_crowd KIND IP PORT` opens the connections of a kind, sends what
they send, prints a line, and keeps what is still open until it is ended.  It reads no
answers.

Load pattern: bodies far beyond the limits, announced or not, and many bodies in large
or very small chunks, most of which stop just before their end.
"""

import asyncio
import contextlib
import dataclasses
import sys
from typing import Final

HOST: Final = "desk.example"
SEND_LIMIT_S: Final = 10.0
"""Time after which a connection whose bytes are not taken is kept as it is."""

PIECE_BYTES: Final = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What each connection of a crowd sends.

    Attributes
    ----------
    callers : int
        Connections, opened at once.
    body_bytes : int
        Bytes of the body, or of the head if `is_head`.
    chunk_bytes : int
        Bytes of a chunk; 0 for a body without chunks.
    declared_bytes : int
        Announced length of a body without chunks.
    is_head : bool
        Whether only a head is sent: in pieces of `chunk_bytes` and without its end, or
        at once and complete if that is 0.
    """

    callers: int
    body_bytes: int
    chunk_bytes: int = 0
    declared_bytes: int = 0
    is_head: bool = False


KIND_BY_NAME: Final = {
    "chunks of 16 bytes": Kind(200, 300_000, 16),
    "chunks of 1 byte": Kind(200, 50_000, 1),
    "large chunks": Kind(100, 3_000_000, 65_536),
    "large chunks within the limit": Kind(100, 900_000, 65_536),
    "announced": Kind(100, 3_000_000, declared_bytes=2_000_000_000),
    "announced 50 MB": Kind(100, 3_000_000, declared_bytes=50_000_000),
    "announced within the limit": Kind(100, 900_000, declared_bytes=950_000),
    "heads in pieces": Kind(200, 60_000, 7, is_head=True),
    "heads of many lines": Kind(200, 60_000, is_head=True),
}

COMPLETE_EACH: Final = 10
"""One of so many callers sends the end of its body; the others stop just before it."""


def _head(kind: Kind, number: int) -> bytes:
    length = f"Content-Length: {kind.declared_bytes}"
    if kind.chunk_bytes:
        length = "Transfer-Encoding: chunked"
    return (
        f"POST /record/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: crowd-{number}\r\n{length}\r\n\r\n"
    ).encode()


def _pieces(kind: Kind, number: int) -> tuple[bytes, ...]:
    """Return what a caller sends, in the pieces in which it sends them."""
    if kind.is_head and not kind.chunk_bytes:
        line = b"a:\n"
        lines = line * (kind.body_bytes // len(line))
        return (_head(kind, number)[:-2] + lines + b"\r\n",)
    if kind.is_head:
        start = _head(kind, number)[:-2]
        line = b"a: b\r\n"
        whole = start + line * (kind.body_bytes // len(line))
        size = kind.chunk_bytes
        return tuple(whole[at : at + size] for at in range(0, len(whole), size))
    if kind.chunk_bytes:
        chunk = b"%x\r\n%b\r\n" % (kind.chunk_bytes, b"x" * kind.chunk_bytes)
        whole = chunk * (kind.body_bytes // kind.chunk_bytes)
        if number % COMPLETE_EACH == 0:
            whole += b"0\r\n\r\n"
    else:
        whole = b"x" * kind.body_bytes
    whole = _head(kind, number) + whole
    return tuple(
        whole[at : at + PIECE_BYTES] for at in range(0, len(whole), PIECE_BYTES)
    )


async def _send(kind: Kind, number: int, ip: str, port: int) -> asyncio.StreamWriter:
    """Send what one caller sends; return its connection, which stays open."""
    _reader, writer = await asyncio.open_connection(ip, port)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_LIMIT_S):
            for piece in _pieces(kind, number):
                writer.write(piece)
                await writer.drain()
                if kind.is_head:
                    # Each piece is a segment of its own.
                    await asyncio.sleep(0)
    return writer


async def main() -> None:
    """Run the crowd that the arguments name, until this process is ended."""
    kind, ip, port = KIND_BY_NAME[sys.argv[1]], sys.argv[2], int(sys.argv[3])
    sent = (_send(kind, number, ip, port) for number in range(kind.callers))
    opened = await asyncio.gather(*sent, return_exceptions=True)
    print("sent", flush=True)
    await asyncio.Event().wait()
    del opened


if __name__ == "__main__":
    asyncio.run(main())
