"""Starts the HTTP listeners of an entry with their size and time limits and TLS."""

import socket
import ssl
from collections.abc import Callable, Iterable
from typing import Any, Final

from tornado import web

from quincecrank import arrived_bytes, settings, status_server
from quincecrank import clock as clocks
from quincecrank.budgets import bounded_server, process_budgets

MAX_READ_BYTES: Final = 1 << 40
"""Limit of the HTTP parser; handlers refuse far smaller bodies with a problem."""

MAX_HEADER_BYTES: Final = 32 * 1024

STOP_POLL_MS: Final = 20

MAX_CLOSE_MS: Final = 2_000
"""Time after the last open request in which callers must complete what they send."""

MAX_COUNTED_MS: Final = 200
"""Longest time between two polls that counts towards `MAX_CLOSE_MS`: what arrives while
the process stands still lies unread."""


class Server(bounded_server.BoundedServer):
    """A server that ends without closing a connection on which a request arrived."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server; called by the library with its arguments."""
        super().initialize(*args, **kwargs)
        self._bound: list[socket.socket] = []

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on bound sockets."""
        bound = list(sockets)
        self._bound += bound
        super().add_sockets(bound)

    async def close_gracefully(
        self, is_busy: Callable[[], bool], clock: clocks.Clock
    ) -> None:
        """Accept no more connections, and close them once nothing has arrived on them.

        Parameters
        ----------
        is_busy : callable
            Returns whether requests are being served; until they are not, connections
            stay open.
        """
        self._accept_waiting()
        self.stop()
        left_ms = MAX_CLOSE_MS
        while True:
            if is_busy():
                left_ms = MAX_CLOSE_MS
            elif not self._close_idle() or left_ms <= 0:
                break
            polled_ms = clock.now_ms()
            await clock.sleep(STOP_POLL_MS)
            left_ms -= min(clock.now_ms() - polled_ms, MAX_COUNTED_MS)
        await self.close_all_connections()

    def _accept_waiting(self) -> None:
        """Accept the connections that the system has completed."""
        for bound in self._bound:
            for accepted, address in arrived_bytes.accept_waiting(bound):
                self._handle_connection(accepted, address)

    def _close_idle(self) -> bool:
        """Close idle connections; return whether one is still open."""
        for connection, receiver in tuple(self.receiver_by_connection.items()):
            stream = connection.stream
            if not receiver.progress.is_waiting or stream.closed():
                continue
            if arrived_bytes.awaits_bytes(stream) and not arrived_bytes.unread_bytes(
                stream
            ):
                stream.close()
        return any(not each.stream.closed() for each in self._connections)


def serve(
    rules: Iterable[status_server.Rule],
    tls: settings.Tls | None,
    limits: settings.Limits,
    bound: socket.socket,
    listener: bounded_server.ListenerLimits,
    budgets: process_budgets.ProcessBudgets,
    clock: clocks.Clock,
) -> Server:
    """Serve HTTP on a bound socket, with TLS if the settings have it.

    A connection is closed when its caller sends the headers or the body too slowly,
    and when it is idle for longer than `limits.header_timeout_ms`.
    """
    server = Server(
        web.Application(list(rules), log_function=_no_log),
        listener=listener,
        budgets=budgets,
        clock=clock,
        ssl_options=_tls_context(tls),
        max_body_size=MAX_READ_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        idle_connection_timeout=limits.header_timeout_ms / clocks.MS_PER_SECOND,
        body_timeout=limits.body_timeout_ms / clocks.MS_PER_SECOND,
    )
    server.add_socket(bound)
    budgets.listeners.append(server)
    return server


def _tls_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def _no_log(handler: web.RequestHandler) -> None:
    """Replace tornado's access log; the handlers log requests themselves."""
