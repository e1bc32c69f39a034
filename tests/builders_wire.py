"""Builders of peers, their handshakes and links, over socket pairs."""

import asyncio
import dataclasses
import socket
import unittest
from typing import Any, Final

from tornado import iostream, netutil, tcpserver

from quincecrank import clock as clocks
from quincecrank import (
    configuration,
    ids,
    peer_link,
    rpc,
    stream_messages,
    vm_list,
    wire,
)

SECRET: Final = b"a secret of the fleet, for tests"
TIMEOUT_MS: Final = 5_000
SHORT_TIMEOUT_MS: Final = 100
LENGTH_BYTES: Final = 4
HEADER_BYTES: Final = 20
LIMITS: Final = peer_link.HeartbeatLimits(interval_ms=60_000, silence_ms=120_000)


def identity(
    role: wire.PeerRole = wire.PeerRole.AGENT,
    name: str = "vm-1",
    fencing_number: int = 1,
    backend_server: str = "lekhak-1",
) -> wire.PeerIdentity:
    """Return the identity that a peer declares."""
    return wire.PeerIdentity(
        role=role,
        name=ids.VmName(name),
        incarnation=ids.Incarnation("i-1"),
        data_centre=ids.DataCentre("dc-1"),
        fencing_number=ids.FencingNumber(fencing_number),
        backend_server=ids.BackendServerName(backend_server),
        deployment=ids.DeploymentName("lekhak"),
    )


ENTRY: Final = identity(wire.PeerRole.ENTRY, "entry-1", 0, "")
AGENT: Final = identity()


def stream_pair(
    test: unittest.TestCase,
) -> tuple[iostream.IOStream, iostream.IOStream]:
    """Return the two ends of a connection, which are closed after the test."""
    first, second = (iostream.IOStream(end) for end in socket.socketpair())
    test.addCleanup(first.close)
    test.addCleanup(second.close)
    return first, second


async def connection_pair(
    test: unittest.TestCase,
) -> tuple[wire.Connection, wire.Connection]:
    """Return both ends of an authenticated connection, the dialler's first."""
    dialled, accepted = stream_pair(test)
    first, second = await asyncio.gather(
        dial(dialled, TIMEOUT_MS), accept(accepted, TIMEOUT_MS)
    )
    return first, second


async def dial(stream: iostream.IOStream, timeout_ms: int) -> wire.Connection:
    """Return the dialler's end after its handshake."""
    return await wire.handshake_within(
        stream, ENTRY, SECRET, dialled=True, timeout_ms=timeout_ms
    )


async def accept(stream: iostream.IOStream, timeout_ms: int) -> wire.Connection:
    """Return the listener's end after its handshake."""
    return await wire.handshake_within(
        stream, AGENT, SECRET, dialled=False, timeout_ms=timeout_ms
    )


def packed(payload: bytes) -> bytes:
    """Return a handshake packet as it is sent, with its length."""
    return len(payload).to_bytes(LENGTH_BYTES, "little") + payload


async def read_packed(stream: iostream.IOStream) -> bytes:
    """Return the next handshake packet with its length."""
    length = await stream.read_bytes(LENGTH_BYTES)
    return length + await stream.read_bytes(int.from_bytes(length, "little"))


async def read_sealed(stream: iostream.IOStream) -> bytes:
    """Return the next authenticated packet with its length and tag."""
    header = await stream.read_bytes(HEADER_BYTES)
    length = int.from_bytes(header[:LENGTH_BYTES], "little")
    return header + await stream.read_bytes(length)


def heartbeat(version: int = 1) -> Any:
    """Return a heartbeat packet."""
    packet = wire.new_packet()
    packet.init("heartbeat").configurationVersion = version
    return packet


def order(
    work: stream_messages.Completion | stream_messages.PlainCall,
) -> stream_messages.StreamOrder:
    """Return an order on stream 1."""
    return stream_messages.StreamOrder(
        stream=1,
        request_id=ids.RequestId("r-1"),
        attempt_id=ids.AttemptId("a-1"),
        account=ids.AccountName("newsroom-1"),
        deployment=ids.DeploymentName("lekhak"),
        configuration_version=ids.ConfigurationVersion(1),
        remaining_ms=1_000,
        priority=0,
        idempotency_key="",
        fingerprint="00",
        idempotent=True,
        work=work,
    )


def completion(prompt: bytes = b"a question") -> stream_messages.Completion:
    """Return a short prompt without blocks."""
    return stream_messages.Completion(
        model="lekhak",
        prompt=prompt,
        max_tokens=1,
        weight_version=ids.WeightVersion("v1"),
        adapter=ids.AdapterName(""),
        cache_salt="",
        block_keys=(),
        chat=False,
        streamed=True,
    )


@dataclasses.dataclass
class RecordingOwner:
    """`peer_link.LinkHandler` that records what it receives."""

    heartbeats: list[int] = dataclasses.field(default_factory=list)
    packets: list[str] = dataclasses.field(default_factory=list)
    calls: list[bytes] = dataclasses.field(default_factory=list)

    def make_heartbeat(self) -> Any:
        """Return a heartbeat."""
        return heartbeat()

    def heartbeat_received(self, link: peer_link.PeerLink, heartbeat: Any) -> None:
        """Record the configuration version."""
        self.heartbeats.append(int(heartbeat.configurationVersion))

    def packet_received(self, link: peer_link.PeerLink, packet: Any) -> None:
        """Record the kind of the packet; decode an order completely first."""
        kind = str(packet.which())
        if kind == "open":
            stream_messages.decode_order(packet.open)
        self.packets.append(kind)

    async def answer_call(
        self, peer: wire.PeerIdentity, method: rpc.Method, body: bytes
    ) -> configuration.FrozenModel:
        """Record the body; raise `KeyError` if it is ``bug``."""
        self.calls.append(body)
        if body == b"bug":
            raise KeyError("a bug in the owner")
        return rpc.Empty()


def link_of(
    connection: wire.Connection, owner: peer_link.LinkHandler
) -> peer_link.PeerLink:
    """Return a link over a connection."""
    return peer_link.PeerLink(connection, owner, LIMITS, clocks.SystemClock())


class NullSink:
    """`attempt.AnswerSink` that drops everything."""

    def handle_head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Drop it."""

    def handle_body(self, data: bytes) -> None:
        """Drop it."""


class Listener(tcpserver.TCPServer):
    """Accepts one connection, performs the handshake and waits for the end.

    Attributes
    ----------
    ended : asyncio.Event
        Set when the peer has closed the connection.
    """

    def __init__(self, shown: wire.PeerIdentity) -> None:
        super().__init__()
        self.ended = asyncio.Event()
        self._shown = shown
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self._port = int(sockets[0].getsockname()[1])
        self.add_sockets(sockets)

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        """Perform the handshake and wait for the end of the connection."""
        connection = await wire.handshake_within(
            stream, self._shown, SECRET, dialled=False, timeout_ms=TIMEOUT_MS
        )
        try:
            while True:
                await connection.receive()
        except iostream.StreamClosedError:
            self.ended.set()

    def vm(self) -> vm_list.Vm:
        """Return the listener as the VM list shows it."""
        return vm_list.Vm(
            name=self._shown.name,
            address="127.0.0.1",
            port=self._port,
            data_centre=self._shown.data_centre,
            state=vm_list.VmState.LIVE,
            role=vm_list.VmRole.AGENT,
            backend_server=self._shown.backend_server,
            deployment=self._shown.deployment,
        )


class Payload:
    """Raw bytes that `wire.Connection.send` accepts as a packet."""

    def __init__(self, payload: bytes) -> None:
        self._payload = payload

    def to_bytes(self) -> bytes:
        """Return the payload."""
        return self._payload
