"""Accepts the links of entries and other agents, and bounds those without a proof.

Invariant
    Connections whose peer has not proved that it knows the fleet secret are bounded in
    number, so that they take neither the descriptors of links and calls nor, by what
    they send, the memory of the process.

Load pattern: strangers open hundreds of connections and send nothing, or a part of a
handshake, until its time limit; they open new ones at once.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from tornado import iostream, tcpserver

from quincecrank import clock as clocks
from quincecrank import logs, wire
from quincecrank.budgets import bound_log, connection_budget, process_budgets

BACKLOG: Final = 128
"""Connections that wait to be accepted."""

SYSTEM_BUFFER_BYTES: Final = 128 * 1024
"""What the system receives of a connection of which nothing is read.  Links have the
system's buffers, as many requests share one."""

Handshake = Callable[[iostream.IOStream], Awaitable[wire.Connection | None]]
"""Performs the handshake; returns None if the peer is refused."""

_LOG: Final = logs.logger("link-server")


def max_unproven(budgets: process_budgets.ProcessBudgets) -> int:
    """Return how many connections may wait for the proof of their peer."""
    share = int(budgets.descriptors.limit * connection_budget.UNPROVEN_FRACTION)
    by_memory = budgets.bytes.unread_limit // SYSTEM_BUFFER_BYTES - BACKLOG
    return max(connection_budget.MIN_SIDE_CONNECTIONS, min(share, by_memory))


class LinkServer(tcpserver.TCPServer):
    """Server of the port for links.

    Parameters
    ----------
    handshake : callable
        Performs the handshake of a connection.
    serve : callable
        Serves a link until it ends.
    limit : int
        Most connections without a proof.

    Attributes
    ----------
    max_connections, closes : int
        The limit, and connections closed for it.
    """

    name = "links"

    def __init__(
        self,
        handshake: Handshake,
        serve: Callable[[wire.Connection], Awaitable[None]],
        limit: int,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(max_buffer_size=wire.MAX_UNSENT_BYTES)
        self._handshake = handshake
        self._serve = serve
        self.max_connections = limit
        self.closes = 0
        # In the order in which they were accepted.
        self._unproven: dict[iostream.IOStream, None] = {}
        self._bound_log = bound_log.BoundLog(_LOG, clock)

    @property
    def open_count(self) -> int:
        """Number of connections without a proof."""
        return len(self._unproven)

    async def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Serve one accepted connection until it ends."""
        stream.set_nodelay(True)
        if len(self._unproven) >= self.max_connections:
            self._close_oldest()
        self._unproven[stream] = None
        try:
            connection = await self._handshake(stream)
        finally:
            self._unproven.pop(stream, None)
        if connection is not None:
            await self._serve(connection)

    def _close_oldest(self) -> None:
        """Close the connection that has waited longest for its peer's proof."""
        oldest = next(iter(self._unproven))
        del self._unproven[oldest]
        oldest.close()
        self.closes += 1
        self._bound_log.write(
            "connection closed",
            listener=self.name,
            reason="no proof",
            limit=self.max_connections,
            closes=self.closes,
        )
