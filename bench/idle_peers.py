"""Agents without a backend server: they send heartbeats and accept no work."""

import asyncio
from typing import Any

from tornado import iostream, netutil, tcpserver

from quincecrank import clock as clocks
from quincecrank import configuration, ids, peer_link, rpc, wire


class IdleAgent(tcpserver.TCPServer):
    """Agent that accepts links from entries; implements `peer_link.LinkHandler`.

    Attributes
    ----------
    links : int
        Links that are open now.
    port : int
        Port on 127.0.0.1.
    """

    def __init__(
        self,
        vm: ids.VmName,
        deployment: ids.DeploymentName,
        fleet_secret: bytes,
        limits: peer_link.HeartbeatLimits,
    ) -> None:
        super().__init__()
        self.links = 0
        self._fleet_secret = fleet_secret
        self._limits = limits
        self._identity = wire.PeerIdentity(
            role=wire.PeerRole.AGENT,
            name=vm,
            incarnation=ids.Incarnation(ids.random_id("i-")),
            data_centre=ids.DataCentre("dc-1"),
            fencing_number=ids.FencingNumber(1),
            backend_server=ids.BackendServerName(f"backend-{vm}"),
            deployment=deployment,
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.port: int = sockets[0].getsockname()[1]
        self.add_sockets(sockets)

    @property
    def vm(self) -> ids.VmName:
        """Return the name of the VM."""
        return self._identity.name

    @property
    def backend_server(self) -> ids.BackendServerName:
        """Return the name of the backend server, which does not exist."""
        return self._identity.backend_server

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        """Serve one link until it ends."""
        try:
            connection = await wire.handshake_within(
                stream,
                self._identity,
                self._fleet_secret,
                dialled=False,
                timeout_ms=5_000,
            )
        except (wire.WireError, iostream.StreamClosedError):
            return
        self.links += 1
        link = peer_link.PeerLink(connection, self, self._limits, clocks.SystemClock())
        try:
            await link.run()
        except asyncio.CancelledError:
            pass
        finally:
            self.links -= 1

    def make_heartbeat(self) -> Any:
        """Return a heartbeat that declares a healthy agent that accepts no work."""
        packet = wire.new_packet()
        heartbeat = packet.init("heartbeat")
        load = heartbeat.init("load")
        load.accepting = False
        load.healthy = True
        return packet

    def heartbeat_received(self, link: peer_link.PeerLink, heartbeat: Any) -> None:
        """Ignore the peer's heartbeat."""

    def packet_received(self, link: peer_link.PeerLink, packet: Any) -> None:
        """Raise `wire.WireError`: no other packets are expected."""
        raise wire.WireError("an idle agent accepts no work")

    async def answer_call(
        self, peer: wire.PeerIdentity, method: rpc.Method, body: bytes
    ) -> configuration.FrozenModel:
        """Raise `rpc.CallError`: every call is refused."""
        raise rpc.CallError("an idle agent accepts no calls")
