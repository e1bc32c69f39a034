"""What every program of the project does around its pipeline.

`run_program` checks the settings, sets up the log, runs the program until SIGTERM or
SIGINT and then lets it leave gracefully.
"""

import asyncio
import contextlib
import signal
import socket
import sys
from collections.abc import Callable
from typing import Final, Protocol, TypeVar

import expression
from tornado import httpclient, netutil

from quincecrank import findings, logs, settings

Loaded = TypeVar("Loaded", settings.EntrySettings, settings.AgentSettings)

MAX_HTTP_CLIENTS: Final = 1024


class Program(Protocol):
    """A program with a start, and an end that waits for running work."""

    async def start(self) -> None:
        """Open listeners and begin to serve."""

    async def stop(self) -> None:
        """Refuse new work, wait for the running requests, close everything."""


def run_program(
    load: Callable[[str], expression.Result[Loaded, findings.Findings]],
    settings_file: str,
    make_program: Callable[[Loaded], Program],
) -> None:
    """Run a program by its settings until it is told to end.

    Every finding in the settings is printed, and the process exits with 1, before
    anything is started.
    """
    result = load(settings_file)
    if result.is_error():
        print(result.error, file=sys.stderr)
        sys.exit(1)
    known = result.ok
    logs.configure(
        as_json=known.logging.format is settings.LogFormat.JSON,
        level=known.logging.level.value,
        vm=known.vm_name,
    )
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(_serve(lambda: make_program(known)))


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
