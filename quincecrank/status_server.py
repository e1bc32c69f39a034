"""Serves `/metrics`, `/healthz` and `/readyz` of a process."""

import socket
from collections.abc import Callable, Iterable
from typing import Any, Final

import prometheus_client
from tornado import netutil, web

from quincecrank import clock as clocks
from quincecrank.budgets import bounded_server, connection_budget, process_budgets

MAX_BODY_BYTES: Final = 64 * 1024
IDLE_TIMEOUT_S: Final = 60.0


@web.stream_request_body
class DiscardingHandler(web.RequestHandler):
    """Base of handlers that take no body; a body sent anyway is not buffered."""

    _discarded_bytes = 0

    def prepare(self) -> None:
        """Reject a method that the path does not have, without reading the body."""
        method = (self.request.method or "").lower()
        handled = getattr(type(self), method, None)
        if handled is getattr(web.RequestHandler, method, None):
            self.send_error(405)

    def data_received(self, chunk: bytes) -> None:
        """Discard a part of the body; reject the request if it is long."""
        self._discarded_bytes += len(chunk)
        if self._discarded_bytes > MAX_BODY_BYTES and not self._finished:
            self.set_header("Connection", "close")
            self.send_error(413)


class NotFoundHandler(DiscardingHandler):
    """Answers every path that a listener does not have."""

    def prepare(self) -> None:
        """Reject every method."""
        self.send_error(404)


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
    budgets: process_budgets.ProcessBudgets,
    clock: clocks.Clock,
) -> bounded_server.BoundedServer:
    """Serve the three paths on a bound socket."""
    fraction = connection_budget.METRICS_FRACTION
    return serve(bound, rules(registry, is_ready), "metrics", budgets, fraction, clock)


def serve(
    bound: socket.socket,
    handled: Iterable[Rule],
    name: str,
    budgets: process_budgets.ProcessBudgets,
    fraction: float,
    clock: clocks.Clock,
    *,
    max_body_bytes: int = MAX_BODY_BYTES,
    **options: Any,
) -> bounded_server.BoundedServer:
    """Serve HTTP calls of other processes on a bound socket.

    Parameters
    ----------
    handled : iterable of Rule
        Routing rules.
    name : str
        Name of the listener in the log and the metrics.
    fraction : float
        Its part of the reserved descriptors.
    max_body_bytes : int
        Largest body that a handler gets.
    **options : Any
        Further settings of the application.
    """
    application = web.Application(
        list(handled),
        log_function=_no_log,
        default_handler_class=NotFoundHandler,
        **options,
    )
    server = bounded_server.BoundedServer(
        application,
        listener=bounded_server.ListenerLimits(
            name, budgets.descriptors.side_connections(fraction), max_body_bytes
        ),
        budgets=budgets,
        clock=clock,
        max_body_size=max_body_bytes,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=IDLE_TIMEOUT_S,
    )
    server.add_socket(bound)
    budgets.listeners.append(server)
    return server


def bind(ip: str, port: int) -> socket.socket:
    """Return a socket that listens for calls of other processes."""
    return netutil.bind_sockets(port, ip, backlog=process_budgets.SIDE_BACKLOG)[0]


def _no_log(handler: web.RequestHandler) -> None:
    """Replace tornado's access log, so that probes are not logged."""
