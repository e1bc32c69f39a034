"""Builders of the budgets of a process and the limits of its listeners."""

from quincecrank.budgets import bounded_server, process_budgets


def make_budgets() -> process_budgets.ProcessBudgets:
    """Return the budgets of a usual VM."""
    return process_budgets.ProcessBudgets(222, 1_535)


def make_listener(max_connections: int = 1_000) -> bounded_server.ListenerLimits:
    """Return the limits of a listener for callers whose handlers account for bodies."""
    return bounded_server.ListenerLimits(
        "callers", max_connections, 0, takes_short_requests=False
    )
