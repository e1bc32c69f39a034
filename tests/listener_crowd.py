"""A crowd of clients beyond the limits at any listener, as a process of its own.

`python -m tests.listener_crowd KIND IP PORT PATH CLIENTS` opens the connections,
sends what the kind says, prints a line, and keeps what is still open until it is ended.
It reads no answers.

Load pattern: many bodies at once, announced or in chunks of any size, which stop
just before their end; and connections on which nothing is sent.
"""

import asyncio
import contextlib
import dataclasses
import sys
from collections.abc import Iterator
from typing import Final

from standins import platform_fleet

HOST: Final = "desk.example"
SEND_LIMIT_S: Final = 10.0
"""Time after which a connection whose bytes are not taken is kept as it is."""

PIECE_BYTES: Final = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What each connection of a crowd sends; nothing if it has no bytes.

    Attributes
    ----------
    body_bytes : int
        Bytes of the body that are sent; its end is not.
    chunk_bytes : int
        Bytes of a chunk; 0 for a body without chunks.
    declared_bytes : int
        Announced length of a body without chunks.
    head_bytes : int
        Bytes of a head without its end, which is sent instead of a body.
    asks : bool
        Whether a complete request within the limits is sent; its answer is not read.
    pause_s : float
        Time between two clients.
    """

    body_bytes: int = 0
    chunk_bytes: int = 0
    declared_bytes: int = 0
    head_bytes: int = 0
    asks: bool = False
    pause_s: float = 0.0


KIND_BY_NAME: Final = {
    "idle": Kind(),
    "announced .99 MB": Kind(980_000, declared_bytes=990_000),
    "announced 4.1 MB": Kind(4_000_000, declared_bytes=4_100_000),
    "announced 90 MB": Kind(89_999_999, declared_bytes=90_000_000),
    "chunks of 16 KB": Kind(980_000, 16_384),
    "50 MB in chunks of 16 KB": Kind(50_000_000, 16_384),
    "chunks of 16 bytes": Kind(300_000, 16),
    "chunks of 1 byte": Kind(120_000, 1),
    ".4 MB in chunks of 1 byte": Kind(400_000, 1),
    "4 MB in chunks of 16 bytes": Kind(4_000_000, 16),
    "heads of 60 KB": Kind(head_bytes=60_000),
    "heads of 30 KB": Kind(head_bytes=30_000),
    "answers": Kind(asks=True, pause_s=0.02),
}


def _head(kind: Kind, path: str, number: int) -> bytes:
    length = f"Content-Length: {kind.declared_bytes}"
    if kind.chunk_bytes:
        length = "Transfer-Encoding: chunked"
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: crowd-{number}\r\n{length}\r\n\r\n"
    ).encode()


def _pieces(kind: Kind, path: str, number: int) -> Iterator[bytes]:
    """Generate what a client sends, in the pieces in which it sends them."""
    if kind.head_bytes:
        line = b"Filler: %b\r\n" % (b"x" * 1_000)
        yield _head(kind, path, number)[:-2]
        yield line * (kind.head_bytes // len(line))
        return
    if kind.asks:
        headers = platform_fleet.caller_headers(f"crowd-{number}")
        lines = (f"{name}: {value}\r\n" for name, value in headers.items())
        yield f"GET {path} HTTP/1.1\r\n{''.join(lines)}\r\n".encode()
        return
    if not kind.body_bytes:
        return
    yield _head(kind, path, number)
    if not kind.chunk_bytes:
        unit = b"x" * PIECE_BYTES
        size = kind.body_bytes
    else:
        chunk = b"%x\r\n%b\r\n" % (kind.chunk_bytes, b"x" * kind.chunk_bytes)
        unit = chunk * max(1, PIECE_BYTES // len(chunk))
        size = len(chunk) * (kind.body_bytes // kind.chunk_bytes)
    for _ in range(size // len(unit)):
        yield unit
    yield unit[: size % len(unit)]


async def _send(
    kind: Kind, number: int, ip: str, port: int, path: str
) -> asyncio.StreamWriter:
    """Send what one client sends; return its connection, which stays open."""
    await asyncio.sleep(number * kind.pause_s)
    _reader, writer = await asyncio.open_connection(ip, port)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_LIMIT_S):
            for piece in _pieces(kind, path, number):
                writer.write(piece)
                await writer.drain()
    return writer


async def main() -> None:
    """Run the crowd that the arguments name, until this process is ended."""
    name, ip, port, path, clients = sys.argv[1:]
    sent = (
        _send(KIND_BY_NAME[name], number, ip, int(port), path)
        for number in range(int(clients))
    )
    opened = await asyncio.gather(*sent, return_exceptions=True)
    print("sent", flush=True)
    await asyncio.Event().wait()
    del opened


if __name__ == "__main__":
    asyncio.run(main())
