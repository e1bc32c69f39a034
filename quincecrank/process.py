"""What every program of the project does around its pipeline.

`serve` runs a program until SIGTERM or SIGINT and then lets it leave gracefully.
"""

import asyncio
import signal
import socket
import sys
from collections.abc import Callable
from typing import Final, Protocol, TypeVar

import expression
from tornado import httpclient, netutil

from quincecrank import findings, settings

Loaded = TypeVar("Loaded")

MAX_HTTP_CLIENTS: Final = 1024


class Program(Protocol):
    """A program with a start, and an end that waits for running work."""

    async def start(self) -> None:
        """Open listeners and begin to serve."""

    async def stop(self) -> None:
        """Refuse new work, wait for the running requests, close everything."""


def load_or_exit(
    load: Callable[[str], expression.Result[Loaded, findings.Findings]], path: str
) -> Loaded:
    """Return the settings at `path`, or print every finding and exit with 1."""
    result = load(path)
    if result.is_ok():
        return result.ok
    print(result.error, file=sys.stderr)
    sys.exit(1)


def serve(make_program: Callable[[], Program]) -> None:
    """Run a program until it is told to end."""
    asyncio.run(_serve(make_program))


async def _serve(make_program: Callable[[], Program]) -> None:
    httpclient.AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_HTTP_CLIENTS
    )
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    program = make_program()
    await program.start()
    await ended.wait()
    await program.stop()


def bind(listener: settings.PlainListener, *, reuse_port: bool) -> socket.socket:
    """Return a listening socket for `listener`."""
    sockets = netutil.bind_sockets(
        listener.port, listener.address, reuse_port=reuse_port
    )
    return sockets[0]


def announce_port(bound: socket.socket, listener: str = "") -> None:
    """Print the line that tells a launcher which port was chosen.

    Parameters
    ----------
    listener : str
        Name of a further listener; empty for the program's main one.
    """
    prefix = f"{listener} " if listener else ""
    print(f"{prefix}listening {bound.getsockname()[1]}", flush=True)
