"""Stream of a client's connection.

Invariant
    Reading a head takes time in proportion to its length, however many pieces it
    arrives in, and heads of many lines share the event loop as `head_budget` says.
    What the stream reads ahead is at most `READ_BYTES`, except for connections that
    have a large receive buffer, and for heads, which count as held bytes.  What it
    drops of rejected requests is bounded as `linger_budget` says.

Load pattern: hundreds of callers send heads of many kilobytes in pieces of a few bytes.
The HTTP library's stream searches all that has arrived of a head at each piece.  A
thousand callers send bodies, of each of which the library reads 64 KB ahead, and go on
after they were rejected.
"""

import socket
from collections.abc import Awaitable, Callable
from typing import Final

from tornado import http1connection, httputil, iostream

from quincecrank import arrived_bytes
from quincecrank import clock as clocks
from quincecrank.budgets import (
    byte_budget,
    connection_budget,
    linger_budget,
    process_budgets,
)

CloseReason = connection_budget.CloseReason

ObserveClose = Callable[[connection_budget.CloseReason, bool], None]
"""Called at each close by this process, with whether bytes had arrived unread."""

READ_BYTES: Final = 4 * 1024
"""Most bytes of a read on a connection with a base receive buffer."""

LARGE_READ_BYTES: Final = 64 * 1024
"""Most bytes of a read on a connection with a large one."""

HEAD_END_BYTES: Final = 4
"""Longest end of a head: two line ends."""


class BoundedStream(iostream.IOStream):
    """Stream whose bytes count in the budgets of its process.

    It searches each byte of a head about once.

    Parameters
    ----------
    budgets : ProcessBudgets
        Budgets of the process.
    observe_close : callable
        Called when this process closes the connection for a budget.
    clock : Clock
        Source of time.

    Attributes
    ----------
    is_rejected : bool
        Whether the rest of the present request is dropped.
    """

    reads_all = False
    """Whether a step reads all that has arrived."""

    def __init__(
        self,
        connection: socket.socket,
        budgets: process_budgets.ProcessBudgets,
        observe_close: ObserveClose,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(connection, read_chunk_size=READ_BYTES)
        self._budgets = budgets
        self._observe_close = observe_close
        self._clock = clock
        self._searched_bytes = 0
        self._head_account = byte_budget.Account(budgets.bytes)
        self._held_head_bytes = 0
        self._lingering: linger_budget.Lingering | None = None
        self._exchange: http1connection.HTTP1Connection | None = None
        self._has_asked_to_enlarge = False
        self._may_read = True
        self.is_rejected = False

    @property
    def is_discarding(self) -> bool:
        """Whether what arrives is dropped, as its request has been answered."""
        exchange = self._exchange
        if exchange is None or exchange._read_finished:
            return False
        return self.is_rejected or exchange._write_finished

    def begin_request(self, exchange: http1connection.HTTP1Connection) -> None:
        """Begin to read a request, and release the head of the one before it."""
        self._head_account.release(byte_budget.Holder.CALLERS, self._held_head_bytes)
        self._held_head_bytes = 0
        self._end_lingering()
        self._exchange, self.is_rejected = exchange, False
        self._has_asked_to_enlarge = False

    def expect_bytes(self, count: int) -> None:
        """Get a large receive buffer, if there is one, for bytes that are due.

        It is asked for once in a request.
        """
        if count <= READ_BYTES or self._has_asked_to_enlarge:
            return
        self._has_asked_to_enlarge = True
        is_large = self._budgets.receive.try_enlarge(self)
        self.read_chunk_size = LARGE_READ_BYTES if is_large else READ_BYTES
        if not is_large:
            budget = self._budgets.receive.budget
            self._budgets.bound_log.write(
                "no large receive buffer",
                used=budget.large,
                limit=budget.limit,
                base_bytes=budget.base_bytes,
                refusals=budget.refusals,
            )

    def close_fd(self) -> None:
        """Release what the connection holds and close the descriptor."""
        self._budgets.receive.release(self)
        self._head_account.close()
        self._end_lingering()
        super().close_fd()

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a head, as `IOStream.read_until_regex`, and wait until its turn."""
        self._searched_bytes = 0
        return self._wait_for_turn(super().read_until_regex(regex, max_bytes))

    async def _wait_for_turn(self, read: Awaitable[bytes]) -> bytes:
        head = await read
        if await self._budgets.head_turns.wait(head.count(b"\n")):
            if not self.closed() and arrived_bytes.is_reset(self):
                # The caller has left: nobody would get the answer.
                self.close()
            self._check_closed()
        return head

    def _read_to_buffer_loop(self) -> int | None:
        """Read once, so that a step of the event loop reads as much of each head."""
        self._may_read = True
        return super()._read_to_buffer_loop()

    def _read_to_buffer(self) -> int | None:
        """Read what has arrived, and close the connection if it may not be kept."""
        if not self._may_read:
            return 0
        self._may_read = self.reads_all
        count = super()._read_to_buffer()
        if not count or self.closed():
            return count
        reason = None
        if self.is_discarding:
            reason = None if self._may_drop(count) else CloseReason.REJECTED
        elif self._read_regex is not None and not self._hold_head():
            reason = CloseReason.MEMORY
        if reason is None:
            return count
        self._observe_close(reason, False)
        self._log_close(reason)
        self.close()
        # The stream may live until the next garbage collection.
        self._read_buffer.clear()
        self._read_buffer_size = 0
        return 0

    def _log_close(self, reason: connection_budget.CloseReason) -> None:
        """Log what was used of the budgets when the connection was closed for one."""
        held, linger = self._budgets.bytes, self._budgets.linger
        holder = byte_budget.Holder.CALLERS
        self._budgets.bound_log.write(
            f"connection closed for {reason.value}",
            used=held.held_by_holder[holder],
            limit=held.limit_by_holder[holder],
            rejections=held.rejections_by_holder[holder],
            lingering=linger.connections,
            lingering_closes=linger.closes,
        )

    def _hold_head(self) -> bool:
        """Account for what has arrived of a head; return False if it has no memory."""
        added = self._read_buffer_size - READ_BYTES - self._held_head_bytes
        if added <= 0:
            return True
        if not self._head_account.try_hold(byte_budget.Holder.CALLERS, added):
            return False
        self._held_head_bytes += added
        return True

    def _may_drop(self, count: int) -> bool:
        """Account for dropped bytes; return whether more may be dropped."""
        linger, now_ms = self._budgets.linger, self._clock.now_ms()
        if self._lingering is None:
            self._lingering = linger.begin(now_ms)
            self.read_chunk_size = LARGE_READ_BYTES
        if self._lingering is None:
            return False
        return linger.may_drop(self._lingering, count, now_ms)

    def _end_lingering(self) -> None:
        if self._lingering is not None:
            self._lingering = None
            self.read_chunk_size = READ_BYTES
            self._budgets.linger.end()

    def _find_read_pos(self) -> int | None:
        """Return where the bytes end that complete the present read; or None."""
        if self._read_regex is None:
            return super()._find_read_pos()
        begin = max(0, self._searched_bytes - HEAD_END_BYTES + 1)
        found = self._read_regex.search(self._read_buffer, begin)
        if found is None:
            self.expect_bytes(self._read_buffer_size)
        self._searched_bytes = self._read_buffer_size
        end = self._read_buffer_size if found is None else found.end()
        self._check_max_bytes(self._read_regex, end)
        return None if found is None else end


class BoundedSslStream(BoundedStream, iostream.SSLIOStream):
    """The same for a connection with TLS."""

    reads_all = True
    """What the TLS library has read ahead wakes no event loop."""


def begin_request(connection: http1connection.HTTP1Connection) -> None:
    """Let a stream know the request that is read on it."""
    if isinstance(connection.stream, BoundedStream):
        connection.stream.begin_request(connection)


def discard_rest(connection: http1connection.HTTP1Connection) -> None:
    """Drop the rest of a request, as far as the budget allows."""
    if isinstance(connection.stream, BoundedStream):
        connection.stream.is_rejected = True


def expect_body(stream: iostream.IOStream, headers: httputil.HTTPHeaders) -> None:
    """Prepare a client's stream for the body that a head announces."""
    if not isinstance(stream, BoundedStream):
        return
    if "Transfer-Encoding" in headers:
        stream.expect_bytes(LARGE_READ_BYTES)
    else:
        stream.expect_bytes(declared_bytes(headers))


def declared_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return the declared length of a body; 0 if it is malformed.

    The library answers a malformed length with 400.
    """
    try:
        return max(0, int(headers.get("Content-Length", "0")))
    except ValueError:
        return 0
