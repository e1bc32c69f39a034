"""Metrics of the budgets, the same for every kind of process."""

from collections.abc import Iterator

from prometheus_client import core, registry

from quincecrank.budgets import process_budgets


class BudgetCollector(registry.Collector):
    """Reads the budgets of a process when its metrics are read."""

    def __init__(self, budgets: process_budgets.ProcessBudgets) -> None:
        self._budgets = budgets

    def collect(self) -> Iterator[core.Metric]:
        """Return the metrics; the names of listeners are those of the log."""
        held = core.GaugeMetricFamily(
            "quince_held_bytes",
            "Bytes that are held for callers and for servers, and their limits",
            labels=("holder", "what"),
        )
        rejections = core.CounterMetricFamily(
            "quince_held_bytes_rejections",
            "Times that bytes were not held for lack of memory",
            labels=("holder",),
        )
        budget = self._budgets.bytes
        for holder, limit in budget.limit_by_holder.items():
            name = holder.value
            held.add_metric((name, "used"), budget.held_by_holder[holder])
            held.add_metric((name, "limit"), limit)
            rejections.add_metric((name,), budget.rejections_by_holder[holder])
        yield held
        yield rejections
        yield from self._collect_buffers()
        yield from self._collect_listeners()

    def _collect_buffers(self) -> Iterator[core.Metric]:
        receive, linger = self._budgets.receive.budget, self._budgets.linger
        large = core.GaugeMetricFamily(
            "quince_large_receive_buffers",
            "Connections with a large receive buffer, and their limit",
            labels=("what",),
        )
        large.add_metric(("used",), receive.large)
        large.add_metric(("limit",), receive.limit)
        yield large
        yield core.GaugeMetricFamily(
            "quince_base_receive_buffer_bytes",
            "Size of the receive buffer of each connection",
            value=receive.base_bytes,
        )
        yield core.CounterMetricFamily(
            "quince_large_receive_buffer_refusals",
            "Times that a connection got no large receive buffer",
            value=receive.refusals,
        )
        yield core.GaugeMetricFamily(
            "quince_lingering_connections",
            "Connections whose rejected request is read and dropped",
            value=linger.connections,
        )
        yield core.CounterMetricFamily(
            "quince_lingering_closes",
            "Connections closed because a rejected request went on",
            value=linger.closes,
        )

    def _collect_listeners(self) -> Iterator[core.Metric]:
        connections = core.GaugeMetricFamily(
            "quince_listener_connections",
            "Connections of a listener with a number of its own, and their limit",
            labels=("listener", "what"),
        )
        closes = core.CounterMetricFamily(
            "quince_listener_closes",
            "Connections of a listener that were closed or refused for a bound",
            labels=("listener",),
        )
        for listener in self._budgets.listeners:
            connections.add_metric((listener.name, "used"), listener.open_count)
            connections.add_metric((listener.name, "limit"), listener.max_connections)
            closes.add_metric((listener.name,), listener.closes)
        yield connections
        yield closes
