"""Keeps one authenticated connection alive: heartbeats, silence and calls.

A link has one task that reads packets and one that beats.  The peer's silence for
longer than the limit ends the link, whatever the TCP connection says: something
between the two ends may have lost track of it.  Whoever dialled dials again.
"""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol, TypeVar

from tornado import iostream

from quincecrank import clock as clocks
from quincecrank import configuration, logs, rpc, wire

Reply = TypeVar("Reply", bound=configuration.FrozenModel)

MAX_ERROR_CHARACTERS: Final = 500

_LOG: Final = logs.logger("peer-link")


@dataclasses.dataclass(frozen=True)
class HeartbeatLimits:
    """How often a link beats and how long it bears silence, in milliseconds."""

    interval_ms: int
    silence_ms: int


class LinkOwner(Protocol):
    """What a process does with the packets of its links."""

    def make_heartbeat(self) -> Any:
        """Return the next heartbeat packet to send."""

    def heartbeat_received(self, link: "PeerLink", heartbeat: Any) -> None:
        """Take the peer's heartbeat; must not keep the reader."""

    def packet_received(self, link: "PeerLink", packet: Any) -> None:
        """Take an open, cancel, frames or goodbye packet; must not keep the reader."""

    async def answer_call(
        self, peer: wire.PeerIdentity, method: rpc.Method, body: bytes
    ) -> configuration.FrozenModel:
        """Return the reply to a peer's call; raises `rpc.CallError`."""


class PeerLink:
    """One live connection to a peer.

    Attributes
    ----------
    peer : PeerIdentity
        Who is at the other end, as proved by the handshake.
    """

    def __init__(
        self,
        connection: wire.Connection,
        owner: LinkOwner,
        limits: HeartbeatLimits,
        clock: clocks.Clock,
    ) -> None:
        self.peer = connection.peer
        self._connection = connection
        self._owner = owner
        self._limits = limits
        self._clock = clock
        self._received_ms = clock.now_ms()
        self._call_numbers = itertools.count(1)
        self._replies_by_call: dict[int, asyncio.Future[bytes]] = {}
        self._answers: set[asyncio.Task[None]] = set()
        self._ended = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Tell whether the link has ended."""
        return self._connection.closed

    def send(self, packet: Any) -> None:
        """Queue one packet; does nothing on an ended link."""
        self._connection.send(packet)

    def beat(self) -> None:
        """Send a heartbeat now, because what it says has changed."""
        self.send(self._owner.make_heartbeat())

    async def close_gracefully(self) -> None:
        """Say goodbye and go on reading until the peer has closed the link.

        What the peer sent before it knew is still answered, with a refusal as the
        case may be.  A peer that does not close in time is cut off.
        """
        packet = wire.new_packet()
        packet.goodbye = None
        self.send(packet)
        timeout_s = self._limits.silence_ms / clocks.MS_PER_SECOND
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._ended.wait(), timeout_s)
        self._connection.close()

    def close(self) -> None:
        """End the link at once."""
        self._connection.close()

    async def run(self) -> str:
        """Serve the link until it ends and return the reason."""
        beats = asyncio.ensure_future(self._beat())
        try:
            while True:
                payload = await self._connection.receive()
                self._received_ms = self._clock.now_ms()
                self._dispatch(payload)
        except iostream.StreamClosedError:
            return "connection closed"
        except wire.WireError as error:
            _LOG.warning("peer refused", peer=self.peer.name, reason=str(error))
            return str(error)
        except Exception:
            _LOG.exception("link failed", peer=self.peer.name)
            return "this process failed while it took a packet"
        finally:
            beats.cancel()
            self._ended.set()
            self._connection.close()
            self._fail_calls()
            for answer in tuple(self._answers):
                answer.cancel()

    async def call(
        self,
        method: rpc.Method,
        request: configuration.FrozenModel,
        reply: type[Reply],
        timeout_ms: int,
    ) -> Reply:
        """Send a call and return the peer's reply.

        Raises
        ------
        CallError
            If the peer answers with an error, the link ends, or `timeout_ms`
            passes; the call may have taken effect.
        """
        number = next(self._call_numbers)
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._replies_by_call[number] = future
        packet = wire.new_packet()
        call = packet.init("call")
        call.call = number
        call.method = method.value
        call.body = request.model_dump_json(exclude_defaults=True).encode()
        self.send(packet)
        try:
            if self.closed:
                raise rpc.CallError("the link has ended")
            body = await asyncio.wait_for(future, timeout_ms / clocks.MS_PER_SECOND)
            return reply.model_validate_json(body)
        except TimeoutError:
            raise rpc.CallError(f"no reply within {timeout_ms} ms") from None
        except ValueError as error:
            raise rpc.CallError(f"malformed reply: {error}") from error
        finally:
            self._replies_by_call.pop(number, None)

    async def _beat(self) -> None:
        while True:
            self.beat()
            await self._clock.sleep(self._limits.interval_ms)
            silent_ms = self._clock.now_ms() - self._received_ms
            if silent_ms > self._limits.silence_ms:
                _LOG.warning("peer is silent", peer=self.peer.name, silent_ms=silent_ms)
                self._connection.close()
                return

    def _dispatch(self, payload: bytes) -> None:
        try:
            with wire.decode(payload) as packet:
                self._take(packet)
        except wire.MALFORMED_ERRORS as error:
            raise wire.WireError(f"packet is malformed: {error}") from error

    def _take(self, packet: Any) -> None:
        match packet.which():
            case "heartbeat":
                self._owner.heartbeat_received(self, packet.heartbeat)
            case "call":
                self._start_answer(packet.call)
            case "reply":
                self._take_reply(packet.reply)
            case "hello" | "proof":
                raise wire.WireError("handshake packet after the handshake")
            case _:
                self._owner.packet_received(self, packet)

    def _start_answer(self, call: Any) -> None:
        pending = self._answer(int(call.call), str(call.method), bytes(call.body))
        task = asyncio.ensure_future(pending)
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    async def _answer(self, number: int, method: str, body: bytes) -> None:
        packet = wire.new_packet()
        reply = packet.init("reply")
        reply.call = number
        try:
            known = rpc.Method(method)
            answer = await self._owner.answer_call(self.peer, known, body)
            reply.body = answer.model_dump_json(exclude_defaults=True).encode()
        except (rpc.CallError, ValueError) as error:
            reply.error = str(error)[:MAX_ERROR_CHARACTERS] or "call failed"
        except Exception:
            _LOG.exception("call failed", peer=self.peer.name, method=method)
            reply.error = "the call failed; see the log of the peer"
        self.send(packet)

    def _take_reply(self, reply: Any) -> None:
        future = self._replies_by_call.get(reply.call)
        if future is None or future.done():
            return
        if reply.error:
            future.set_exception(rpc.CallError(str(reply.error)))
        else:
            future.set_result(bytes(reply.body))

    def _fail_calls(self) -> None:
        for future in self._replies_by_call.values():
            if not future.done():
                future.set_exception(rpc.CallError("the link has ended"))


async def repeat(
    action: Callable[[], Awaitable[None]], interval_ms: int, clock: clocks.Clock
) -> None:
    """Run `action` again and again, `interval_ms` milliseconds between two runs."""
    while True:
        await action()
        await clock.sleep(interval_ms)
