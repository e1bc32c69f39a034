"""Reads callers' bodies in chunks, at the cost that `chunk_budget` allows.

The HTTP library decodes a chunk in three reads of its stream, and lets each body go on
for 256 chunks before the event loop does anything else, whatever the number of bodies.

Terms
-----
turn
    What is decoded of one body before the next one that waits.
"""

import asyncio
import collections
import dataclasses
from typing import Protocol

from tornado import http1connection, httputil, iostream

from quincecrank import arrived_bytes
from quincecrank.budgets import chunk_budget, chunk_decoder


class BodyReceiver(Protocol):
    """What receives a body; also a delegate of the HTTP library."""

    @property
    def is_rejected(self) -> bool:
        """Whether the request is answered, and the rest of its body discarded."""

    def reject_for_chunks(self, cost: chunk_budget.BodyCost) -> None:
        """Reject the request as not run."""

    def close_for_chunks(self) -> None:
        """Close the connection of a rejected request."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Turn:
    """A turn that a body waits for.

    Attributes
    ----------
    allowed : Future
        Its cost.
    is_rejected : bool
        Whether the request is rejected, so that the body is discarded.
    """

    allowed: asyncio.Future[int]
    is_rejected: bool


class ChunkReader:
    """Reads the bodies of all connections of a listener.

    Attributes
    ----------
    budget : ChunkBudget
        What one step of the event loop may decode.
    """

    def __init__(self) -> None:
        self.budget = chunk_budget.ChunkBudget()
        self._waiting: collections.deque[_Turn] = collections.deque()
        self._waiting_rejected = 0
        self._is_step_due = False

    @property
    def waiting_bodies(self) -> int:
        """Number of bodies that wait for a turn and whose request is not rejected."""
        return len(self._waiting) - self._waiting_rejected

    def attach(
        self, connection: http1connection.HTTP1Connection, receiver: BodyReceiver
    ) -> None:
        """Read a body in chunks on a connection instead of the HTTP library."""

        async def read(delegate: httputil.HTTPMessageDelegate) -> None:
            await self._read(connection, receiver, delegate)

        # The library has no other hook between a stream and its messages.
        connection._read_chunked_body = read  # type: ignore[method-assign]

    async def _read(
        self,
        connection: http1connection.HTTP1Connection,
        receiver: BodyReceiver,
        delegate: httputil.HTTPMessageDelegate,
    ) -> None:
        stream = connection.stream
        decoder = chunk_decoder.ChunkDecoder()
        while not decoder.has_ended:
            if not decoder.has_more:
                size = stream.read_chunk_size
                decoder.feed(await stream.read_bytes(size, partial=True))
            allowed = await self._next_turn(stream, receiver)
            self._check(decoder.cost, receiver)
            try:
                data, cost = decoder.decode(allowed)
            except chunk_decoder.MalformedChunkError as error:
                raise httputil.HTTPInputError(str(error)) from error
            self.budget.return_unused(allowed - cost)
            if decoder.announced_bytes > connection._max_body_size:
                raise httputil.HTTPInputError("chunked body too large")
            if data:
                await connection._deliver_body(delegate, data)
        _return_to_stream(stream, decoder.rest)

    def _check(self, cost: chunk_budget.BodyCost, receiver: BodyReceiver) -> None:
        """Reject a request, or close its connection, if its chunks cost too much."""
        may_reject = not receiver.is_rejected
        if may_reject and not self.budget.may_go_on(cost, self.waiting_bodies):
            receiver.reject_for_chunks(cost)
        if receiver.is_rejected and cost.discarded_from is None:
            cost.discarded_from = cost.chunks
        if not self.budget.may_discard(cost):
            receiver.close_for_chunks()
            raise iostream.StreamClosedError

    async def _next_turn(
        self, stream: iostream.IOStream, receiver: BodyReceiver
    ) -> int:
        """Return the cost that a body may take; wait until there is some.

        Raises
        ------
        StreamClosedError
            If the caller has left meanwhile, so that nobody would get the answer.
        """
        self._begin_next_step()
        if not self._waiting and (allowed := self.budget.take_turn()):
            return allowed
        turn = _Turn(asyncio.get_running_loop().create_future(), receiver.is_rejected)
        self._waiting.append(turn)
        self._waiting_rejected += turn.is_rejected
        allowed = await turn.allowed
        if not stream.closed() and arrived_bytes.is_reset(stream):
            stream.close()
        if stream.closed():
            self.budget.return_unused(allowed)
            raise iostream.StreamClosedError
        return allowed

    def _begin_next_step(self) -> None:
        """Begin the budget of the event loop's next step, unless it is due already."""
        if not self._is_step_due:
            self._is_step_due = True
            asyncio.get_running_loop().call_soon(self._begin_step)

    def _begin_step(self) -> None:
        """Give turns to the bodies that wait, those that have waited longest first."""
        self._is_step_due = False
        self.budget.begin_step()
        while self._waiting and (allowed := self.budget.take_turn()):
            turn = self._waiting.popleft()
            self._waiting_rejected -= turn.is_rejected
            if turn.allowed.cancelled():
                self.budget.return_unused(allowed)
            else:
                turn.allowed.set_result(allowed)
        if self._waiting:
            self._begin_next_step()


def _return_to_stream(stream: iostream.IOStream, rest: bytes) -> None:
    """Put back what was read beyond a body: the next request of the connection."""
    stream._read_buffer[:0] = rest
    stream._read_buffer_size += len(rest)
