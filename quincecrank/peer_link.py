"""A link: one authenticated connection with heartbeats, a timeout and calls.

A link has one task that reads packets and one that sends heartbeats.  It ends when the
peer has been silent for longer than the limit, even if the TCP connection appears to be
open: a device on the network path may have dropped the state of the connection.  The
end that dialled dials again.
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

MAX_READ_STEPS: Final = 16
"""Steps of the event loop in which what has arrived is read before a link is ended."""

_LOG: Final = logs.logger("peer-link")


@dataclasses.dataclass(frozen=True)
class HeartbeatLimits:
    """Heartbeat interval and the longest silence of a peer, in milliseconds."""

    interval_ms: int
    silence_ms: int


class LinkHandler(Protocol):
    """Handles the packets of the links of a process.

    The methods for received packets run in the reader task and must not block.
    """

    def make_heartbeat(self) -> Any:
        """Return the next heartbeat packet to send."""

    def heartbeat_received(self, link: "PeerLink", heartbeat: Any) -> None:
        """Handle a heartbeat of the peer."""

    def packet_received(self, link: "PeerLink", packet: Any) -> None:
        """Handle an open, cancel, frames or goodbye packet."""

    async def answer_call(
        self, peer: wire.PeerIdentity, method: rpc.Method, body: bytes
    ) -> configuration.FrozenModel:
        """Return the reply to a peer's call.

        The text of an `rpc.CallError` or a `ValueError` is sent to the peer.
        """


class PeerLink:
    """One live connection to a peer.

    Attributes
    ----------
    peer : PeerIdentity
        Identity of the peer, authenticated by the handshake.
    """

    def __init__(
        self,
        connection: wire.Connection,
        owner: LinkHandler,
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
        self._pending_replies_by_call: dict[int, asyncio.Future[bytes]] = {}
        self._answer_tasks: set[asyncio.Task[None]] = set()
        self._ended = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""
        return self._connection.closed

    def send(self, packet: Any) -> None:
        """Queue one packet; does nothing on an ended link."""
        self._connection.send(packet)

    def send_heartbeat(self) -> None:
        """Send a heartbeat now, because its content has changed."""
        self.send(self._owner.make_heartbeat())

    async def close_gracefully(self) -> None:
        """Send a goodbye and read on until the peer has closed the link.

        Packets that the peer sent before it received the goodbye are still answered,
        if need be with a refusal.  The link is closed if the peer has not closed it
        within the silence limit.
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
        """Serve the link until it ends and return the reason.

        Calls that await a reply fail, and answers to the peer's calls are cancelled.
        """
        heartbeat_task = asyncio.ensure_future(self._send_heartbeats())
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
            return "this process failed to handle a packet"
        finally:
            heartbeat_task.cancel()
            self._ended.set()
            self._connection.close()
            self._fail_calls()
            for answer in tuple(self._answer_tasks):
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
        self._pending_replies_by_call[number] = future
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
            self._pending_replies_by_call.pop(number, None)

    async def _send_heartbeats(self) -> None:
        while True:
            self.send_heartbeat()
            await self._clock.sleep(self._limits.interval_ms)
            if self._silent_ms > self._limits.silence_ms:
                await self._read_arrived()
            silent_ms = self._silent_ms
            if silent_ms > self._limits.silence_ms:
                _LOG.warning("peer is silent", peer=self.peer.name, silent_ms=silent_ms)
                self._connection.close()
                return

    @property
    def _silent_ms(self) -> int:
        return self._clock.now_ms() - self._received_ms

    async def _read_arrived(self) -> None:
        """Let the reader task handle what has arrived.

        After a standstill of the process, timers run before sockets are read.
        """
        for _ in range(MAX_READ_STEPS):
            if not self._connection.has_arrived:
                return
            await asyncio.sleep(0)

    def _dispatch(self, payload: bytes) -> None:
        try:
            with wire.decode(payload) as packet:
                self._handle_packet(packet)
        except wire.MALFORMED_ERRORS as error:
            raise wire.WireError(f"packet is malformed: {error}") from error

    def _handle_packet(self, packet: Any) -> None:
        match packet.which():
            case "heartbeat":
                self._owner.heartbeat_received(self, packet.heartbeat)
            case "call":
                self._start_answer(packet.call)
            case "reply":
                self._handle_reply(packet.reply)
            case "hello" | "proof":
                raise wire.WireError("handshake packet after the handshake")
            case _:
                self._owner.packet_received(self, packet)

    def _start_answer(self, call: Any) -> None:
        pending = self._answer(int(call.call), str(call.method), bytes(call.body))
        task = asyncio.ensure_future(pending)
        self._answer_tasks.add(task)
        task.add_done_callback(self._answer_tasks.discard)

    async def _answer(self, number: int, method: str, body: bytes) -> None:
        packet = wire.new_packet()
        reply = packet.init("reply")
        reply.call = number
        try:
            parsed_method = rpc.Method(method)
            answer = await self._owner.answer_call(self.peer, parsed_method, body)
            reply.body = answer.model_dump_json(exclude_defaults=True).encode()
        except (rpc.CallError, ValueError) as error:
            reply.error = str(error)[:MAX_ERROR_CHARACTERS] or "call failed"
        except Exception:
            _LOG.exception("call failed", peer=self.peer.name, method=method)
            reply.error = "the call failed; see the log of the peer"
        self.send(packet)

    def _handle_reply(self, reply: Any) -> None:
        future = self._pending_replies_by_call.get(reply.call)
        if future is None or future.done():
            return
        if reply.error:
            future.set_exception(rpc.CallError(str(reply.error)))
        else:
            future.set_result(bytes(reply.body))

    def _fail_calls(self) -> None:
        for future in self._pending_replies_by_call.values():
            if not future.done():
                future.set_exception(rpc.CallError("the link has ended"))


async def run_periodically(
    action: Callable[[], Awaitable[None]], interval_ms: int, clock: clocks.Clock
) -> None:
    """Run `action` periodically, with `interval_ms` milliseconds between two runs."""
    while True:
        await action()
        await clock.sleep(interval_ms)
