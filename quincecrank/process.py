"""Start and graceful shutdown, shared by all programs of the project.

`run_program` validates the settings, configures logging, runs the program until
SIGTERM or SIGINT and then shuts it down gracefully.
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
    """A program that starts, and stops once its running requests have ended."""

    async def start(self) -> None:
        """Open the listeners and begin to serve."""

    async def stop(self) -> None:
        """Refuse new work, wait for the running requests, close everything."""


def run_program(
    load: Callable[[str], expression.Result[Loaded, findings.Findings]],
    settings_file: str,
    make_program: Callable[[Loaded], Program],
) -> None:
    """Run a program with its settings until SIGTERM or SIGINT.

    If the settings have mistakes, all findings are printed to standard error and the
    process exits with status 1 before anything is started.
    """
    result = load(settings_file)
    if result.is_error():
        print(result.error, file=sys.stderr)
        sys.exit(1)
    own_settings = result.ok
    logs.configure(
        as_json=own_settings.logging.format is settings.LogFormat.JSON,
        level=own_settings.logging.level.value,
        vm=own_settings.vm_name,
    )
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(_serve(lambda: make_program(own_settings)))


async def _serve(make_program: Callable[[], Program]) -> None:
    httpclient.AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_HTTP_CLIENTS
    )
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    program = make_program()
    await program.start()
    await stop_requested.wait()
    await program.stop()


def bind(listener: settings.PlainListener, *, reuse_port: bool) -> socket.socket:
    """Return a listening socket; with `reuse_port` other processes may share it."""
    sockets = netutil.bind_sockets(
        listener.port, listener.address, reuse_port=reuse_port
    )
    return sockets[0]


def announce_port(bound: socket.socket, listener: str = "") -> None:
    """Print the port of a listening socket, for the program that started this one.

    Parameters
    ----------
    listener : str
        Name of an additional listener; empty for the program's main one.
    """
    prefix = f"{listener} " if listener else ""
    print(f"{prefix}listening {bound.getsockname()[1]}", flush=True)
