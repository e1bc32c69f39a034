"""Records how far a request of a client has arrived."""

from tornado import iostream

from quincecrank import clock as clocks
from quincecrank.budgets import connection_budget


class RequestProgress:
    """Progress of the request that is read on a connection.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    is_waiting : bool
        Whether the head of the request has not been read yet.
    is_read : bool
        Whether the request has been read completely.
    arrived_ms : int
        Time at which the head was read; 0 before.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.is_waiting = True
        self.is_read = False
        self.arrived_ms = 0
        self._awaited_since_ms = self._last_byte_ms = clock.now_ms()
        self._head_bytes = 0

    def waiting(
        self, stream: iostream.IOStream, now_ms: int
    ) -> connection_budget.Waiting | None:
        """Return what the connection waits for; None if the request was read."""
        if self.is_read:
            return None
        wait = connection_budget.Wait.BODY
        if self.is_waiting:
            self._observe_head(stream._read_buffer_size, now_ms)
            wait = connection_budget.Wait.REQUEST
            if self._head_bytes:
                wait = connection_budget.Wait.HEAD
        return connection_budget.Waiting(
            wait, self._last_byte_ms, self._awaited_since_ms, id(stream)
        )

    def record_head(self) -> None:
        """Record that the head was read, so that the body is awaited."""
        self.is_waiting = False
        self._awaited_since_ms = self._last_byte_ms = self._clock.now_ms()
        self.arrived_ms = self._awaited_since_ms

    def record_body_bytes(self) -> None:
        """Record that bytes of the body were read."""
        self._last_byte_ms = self._clock.now_ms()

    def _observe_head(self, read_bytes: int, now_ms: int) -> None:
        """Record how much of the head has arrived."""
        if read_bytes == self._head_bytes:
            return
        if not self._head_bytes:
            self._awaited_since_ms = now_ms
        self._head_bytes = read_bytes
        self._last_byte_ms = now_ms
