"""Serves `/metrics`, `/healthz` and `/readyz` of a process."""

import socket
from collections.abc import Callable
from typing import Final

import prometheus_client
from tornado import httpserver, web

MAX_BODY_BYTES: Final = 64 * 1024
IDLE_TIMEOUT_S: Final = 60.0


@web.stream_request_body
class DiscardingHandler(web.RequestHandler):
    """Base of handlers that take no body; a body sent anyway is not buffered."""

    def data_received(self, chunk: bytes) -> None:
        """Discard a part of the body."""


class MetricsHandler(DiscardingHandler):
    """Answers with all metrics in the Prometheus text format."""

    def initialize(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Store the registry whose metrics are shown."""
        self._registry = registry

    def get(self) -> None:
        """Answer with the current metrics."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(prometheus_client.generate_latest(self._registry))


class HealthHandler(DiscardingHandler):
    """Answers with status 200 while the process runs."""

    def get(self) -> None:
        """Answer that the process is alive."""
        self.finish("ok\n")


class ReadyHandler(DiscardingHandler):
    """Answers whether requests may be sent to the process."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Store the function that returns whether the process is ready."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer with the readiness; the status code is 503 while not ready."""
        if self._is_ready():
            self.finish("ready\n")
            return
        self.set_status(503)
        self.finish("not ready\n")


Rule = tuple[str, type[web.RequestHandler], dict[str, object]]


def rules(
    registry: prometheus_client.CollectorRegistry, is_ready: Callable[[], bool]
) -> list[Rule]:
    """Return the routing rules of the three paths."""
    return [
        (r"/metrics", MetricsHandler, {"registry": registry}),
        (r"/healthz", HealthHandler, {}),
        (r"/readyz", ReadyHandler, {"is_ready": is_ready}),
    ]


def start(
    bound: socket.socket,
    registry: prometheus_client.CollectorRegistry,
    is_ready: Callable[[], bool],
) -> httpserver.HTTPServer:
    """Serve the three paths on a bound socket."""
    application = web.Application(rules(registry, is_ready), log_function=_no_log)
    server = httpserver.HTTPServer(
        application,
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=IDLE_TIMEOUT_S,
    )
    server.add_socket(bound)
    return server


def _no_log(handler: web.RequestHandler) -> None:
    """Replace tornado's access log, so that probes are not logged."""
