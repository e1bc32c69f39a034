"""Links that a process dials to agents.

One task per peer dials, performs the handshake, runs the link until it ends and dials
again after a delay.  An agent is refused if its fencing number is lower than one seen
before for the same backend server.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Final

from tornado import iostream, tcpclient

from quincecrank import clock as clocks
from quincecrank import ids, logs, peer_link, vm_list, wire

DIAL_TIMEOUT_MS: Final = 2_000
REDIAL_MIN_MS: Final = 50
REDIAL_MAX_MS: Final = 1_000

_LOG: Final = logs.logger("peer-pool")


class PeerPool:
    """Aggregate of the links that this process dials.

    Parameters
    ----------
    own : callable
        Returns the identity of this process, read at each handshake.
    linked, unlinked : callable
        Called when a link is established and when it has ended.

    Attributes
    ----------
    handler : LinkHandler
        Handles the packets of the links; set before the first call of `set_peers`.
    links_by_name : dict
        Established links by the name of the peer's VM.
    """

    handler: peer_link.LinkHandler

    def __init__(
        self,
        own: Callable[[], wire.PeerIdentity],
        fleet_secret: bytes,
        limits: peer_link.HeartbeatLimits,
        clock: clocks.Clock,
        linked: Callable[[peer_link.PeerLink], None],
        unlinked: Callable[[peer_link.PeerLink], None],
    ) -> None:
        self._own = own
        self._fleet_secret = fleet_secret
        self._limits = limits
        self._clock = clock
        self._linked = linked
        self._unlinked = unlinked
        self._vms_by_name: dict[ids.VmName, vm_list.Vm] = {}
        self._tasks_by_name: dict[ids.VmName, asyncio.Task[None]] = {}
        self._max_fencing_number_by_server: dict[
            ids.BackendServerName, ids.FencingNumber
        ] = {}
        self._jitter = random.Random()
        self.links_by_name: dict[ids.VmName, peer_link.PeerLink] = {}

    def set_peers(self, vms: Iterable[vm_list.Vm]) -> None:
        """Maintain links to `vms` and dial no other peers.

        An established link to another VM stays until the peer closes it, so that a VM
        missing from a list interrupts no request.  A VM whose address or port has
        changed is dialled again.
        """
        peers_by_name = {vm.name: vm for vm in vms}
        for name in set(self._tasks_by_name) - set(peers_by_name):
            self._vms_by_name.pop(name, None)
            if name not in self.links_by_name:
                self._drop(name)
        for name, vm in peers_by_name.items():
            previous = self._vms_by_name.get(name)
            moved = previous is not None and (previous.address, previous.port) != (
                vm.address,
                vm.port,
            )
            if moved:
                self._drop(name)
            self._vms_by_name[name] = vm
            if name not in self._tasks_by_name:
                task = asyncio.ensure_future(self._maintain_link(name))
                self._tasks_by_name[name] = task

    def close(self) -> None:
        """End all links."""
        for name in tuple(self._tasks_by_name):
            self._drop(name)

    def _drop(self, name: ids.VmName) -> None:
        self._tasks_by_name.pop(name).cancel()
        self._vms_by_name.pop(name, None)
        link = self.links_by_name.get(name)
        if link is not None:
            link.close()

    async def _maintain_link(self, name: ids.VmName) -> None:
        delay_ms = REDIAL_MIN_MS
        while name in self._vms_by_name:
            started_ms = self._clock.now_ms()
            reason = await self._link_once(self._vms_by_name[name])
            _LOG.info("link ended", peer=name, reason=reason)
            if self._clock.now_ms() - started_ms > self._limits.silence_ms:
                delay_ms = REDIAL_MIN_MS
            await self._clock.sleep(delay_ms * self._jitter.uniform(0.5, 1.0))
            delay_ms = min(2 * delay_ms, REDIAL_MAX_MS)
        self._tasks_by_name.pop(name, None)

    async def _link_once(self, vm: vm_list.Vm) -> str:
        try:
            connection = await self._dial(vm)
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            return f"dial failed: {error}"
        except wire.WireError as error:
            return str(error)
        refusal = self._check(vm, connection.peer)
        if refusal:
            connection.close()
            return refusal
        link = peer_link.PeerLink(connection, self.handler, self._limits, self._clock)
        self.links_by_name[vm.name] = link
        self._linked(link)
        try:
            return await link.run()
        finally:
            link.close()
            if self.links_by_name.get(vm.name) is link:
                del self.links_by_name[vm.name]
            self._unlinked(link)

    async def _dial(self, vm: vm_list.Vm) -> wire.Connection:
        timeout_s = DIAL_TIMEOUT_MS / clocks.MS_PER_SECOND
        stream = await tcpclient.TCPClient().connect(
            vm.address,
            vm.port,
            max_buffer_size=wire.MAX_UNSENT_BYTES,
            timeout=timeout_s,
        )
        stream.set_nodelay(True)
        return await wire.handshake_within(
            stream,
            self._own(),
            self._fleet_secret,
            dialled=True,
            timeout_ms=DIAL_TIMEOUT_MS,
        )

    def _check(self, vm: vm_list.Vm, peer: wire.PeerIdentity) -> str:
        """Return why the peer that answered for `vm` is refused, else empty."""
        if peer.role is not wire.PeerRole.AGENT:
            return f"peer is no agent but {peer.role.value}"
        if vm.backend_server and peer.backend_server != vm.backend_server:
            return f"peer serves {peer.backend_server}, not {vm.backend_server}"
        if not peer.fencing_number:
            return self._check_unregistered(peer)
        return self.check_fence(peer)

    def check_fence(self, peer: wire.PeerIdentity) -> str:
        """Record the fencing number of a peer, or return why the peer is refused.

        Returns
        -------
        str
            Reason for refusing an agent that a newer one has replaced, empty if the
            peer is accepted.
        """
        if peer.role is not wire.PeerRole.AGENT or not peer.fencing_number:
            return ""
        newest = self._max_fencing_number_by_server.get(peer.backend_server, 0)
        if peer.fencing_number < newest:
            return f"agent has fencing number {peer.fencing_number}, not {newest}"
        self._max_fencing_number_by_server[peer.backend_server] = peer.fencing_number
        return ""

    def _check_unregistered(self, peer: wire.PeerIdentity) -> str:
        """Return why an agent without a fencing number is refused, else empty.

        It has not been able to register yet and is accepted if no other agent of its
        backend server is linked.
        """
        for link in self.links_by_name.values():
            if link.peer.backend_server == peer.backend_server and not link.closed:
                return f"agent has no fencing number and {link.peer.name} serves"
        return ""
