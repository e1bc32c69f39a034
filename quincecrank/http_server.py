"""Starts the HTTP listeners of an entry with their size and time limits and TLS."""

import socket
import ssl
from collections.abc import Iterable
from typing import Final

from tornado import httpserver, web

from quincecrank import clock as clocks
from quincecrank import settings, status_server

MAX_READ_BYTES: Final = 1 << 40
"""Limit of the HTTP parser; handlers refuse far smaller bodies with a problem."""

MAX_HEADER_BYTES: Final = 32 * 1024


def serve(
    rules: Iterable[status_server.Rule],
    tls: settings.Tls | None,
    limits: settings.Limits,
    bound: socket.socket,
) -> httpserver.HTTPServer:
    """Serve HTTP on a bound socket, with TLS if the settings have it.

    A connection is closed when its caller sends the headers or the body too slowly,
    and when it is idle for longer than `limits.header_timeout_ms`.
    """
    server = httpserver.HTTPServer(
        web.Application(list(rules), log_function=_no_log),
        ssl_options=_tls_context(tls),
        max_body_size=MAX_READ_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        idle_connection_timeout=limits.header_timeout_ms / clocks.MS_PER_SECOND,
        body_timeout=limits.body_timeout_ms / clocks.MS_PER_SECOND,
    )
    server.add_socket(bound)
    return server


def _tls_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def _no_log(handler: web.RequestHandler) -> None:
    """Replace tornado's access log; the handlers log requests themselves."""
