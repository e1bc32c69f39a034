"""The budgets of one process, which all of its listeners share."""

from typing import Final, Protocol

from quincecrank import clock as clocks
from quincecrank import logs
from quincecrank.budgets import (
    bound_log,
    byte_budget,
    chunk_reader,
    connection_budget,
    head_turns,
    linger_budget,
    receive_budget,
    receive_buffers,
)

CALLERS_BACKLOG: Final = 512
"""Connections of callers that wait to be accepted: those of removed gateways and
entries come at once."""

SIDE_BACKLOG: Final = 32
"""Connections of each other listener that wait to be accepted."""

MAX_SIDE_LISTENERS: Final = 3


_LOG: Final = logs.logger("budgets")


class Listener(Protocol):
    """A listener with a number of connections, for the metrics."""

    @property
    def name(self) -> str:
        """Name of the listener."""

    @property
    def max_connections(self) -> int:
        """Most open connections."""

    @property
    def open_count(self) -> int:
        """Number of open connections."""

    @property
    def closes(self) -> int:
        """Number of connections that were closed or refused for a bound."""


class ProcessBudgets:
    """Budgets of one process.

    Parameters
    ----------
    memory_mb : int
        Memory that the process may use.
    max_descriptors : int
        Descriptors that the process may have open.

    Attributes
    ----------
    bytes : ByteBudget
        Bytes that are held for others.
    descriptors : DescriptorBudget
        Descriptors of connections.
    receive : ReceiveBuffers
        Bytes that the system holds unread.
    chunk_reader : ChunkReader
        Reads the bodies in chunks.
    head_turns : HeadTurns
        Heads of many lines that wait to be parsed.
    linger : LingerBudget
        What is read of rejected requests.
    bound_log : BoundLog
        Log of the bounds that connections reach.
    listeners : list of Listener
        Listeners with a number of connections of their own.
    """

    def __init__(self, memory_mb: int, max_descriptors: int) -> None:
        self.bytes = byte_budget.ByteBudget(memory_mb)
        self.descriptors = connection_budget.DescriptorBudget(max_descriptors)
        backlog = CALLERS_BACKLOG + MAX_SIDE_LISTENERS * SIDE_BACKLOG
        self.receive = receive_buffers.ReceiveBuffers(
            receive_budget.ReceiveBudget(
                self.bytes.unread_limit,
                self.descriptors.limit + self.descriptors.reserve + backlog,
            )
        )
        self.chunk_reader = chunk_reader.ChunkReader()
        self.head_turns = head_turns.HeadTurns()
        self.listeners: list[Listener] = []
        self.bound_log = bound_log.BoundLog(_LOG, clocks.SystemClock())
        self.linger = linger_budget.LingerBudget()
