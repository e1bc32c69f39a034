"""A fleet with a relay in front of every agent and every backend server."""

import asyncio
import pathlib
import threading
from collections.abc import Callable

from quincecrank import clock as clocks
from standins import launcher, local_fleet, relay
from tests import builders_fleet


class RelayThread:
    """A relay in a thread of its own, for synchronous tests; ended by `close`.

    Attributes
    ----------
    port : int
        Port on which the relay listens.
    """

    def __init__(self, target_port: int) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._relay = relay.Relay(target_port)
        asyncio.run_coroutine_threadsafe(self._relay.start(), self._loop).result()
        self.port = self._relay.port

    @property
    def relayed_bytes(self) -> int:
        """Return the number of bytes forwarded so far."""
        return self._relay.relayed_bytes

    def silence(
        self,
        directions: frozenset[relay.Direction] = relay.BOTH_DIRECTIONS,
        also_new: bool = False,
    ) -> None:
        """Drop all further bytes of the open connections, without closing them."""
        self._run_in_loop(lambda: self._relay.silence(directions, also_new))

    def heal(self) -> None:
        """Relay new connections again and reset all open ones."""
        self._run_in_loop(self._relay.heal)
        self._run_in_loop(self._relay.cut)

    def refuse(self, *, is_refusing: bool) -> None:
        """Reset the open connections, and new ones while `is_refusing` is set."""
        self._relay.is_refusing = is_refusing
        self._run_in_loop(self._relay.cut)

    def limit(self, bytes_per_second: int) -> None:
        """Limit the bandwidth of each connection; 0 ends the limit."""
        self._relay.bytes_per_second = bytes_per_second

    def delay(self, delay_ms: int) -> None:
        """Delay every chunk of bytes."""
        self._relay.delay_ms = delay_ms

    def close(self) -> None:
        """Stop the relay and its thread."""
        asyncio.run_coroutine_threadsafe(self._relay.stop(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run_in_loop(self, action: Callable[[], None]) -> None:
        async def act() -> None:
            action()

        asyncio.run_coroutine_threadsafe(act(), self._loop).result()


class RelayedFleet(builders_fleet.ObservedFleet):
    """A fleet whose connections to agents and backend servers can be disturbed.

    Attributes
    ----------
    agent_relays_by_server, backend_relays_by_server : dict
        Relays in front of the agents and of the backend servers.
    """

    def __init__(self, spec: local_fleet.FleetSpec, folder: pathlib.Path) -> None:
        super().__init__(spec, folder)
        self.agent_relays_by_server: dict[str, RelayThread] = {}
        self.backend_relays_by_server: dict[str, RelayThread] = {}

    def start_agent(self, name: str) -> launcher.Process:
        """Start an agent that connects to its backend server through a relay."""
        replica = self.replicas_by_name[name]
        if name not in self.backend_relays_by_server:
            created = RelayThread(replica.backend.port)
            self.backend_relays_by_server[name] = created
            replica.url = f"http://{local_fleet.ADDRESS}:{created.port}"
        return super().start_agent(name)

    def list_vm(
        self,
        name: str,
        role: str,
        port: int,
        *,
        state: str = "live",
        backend_server: str = "",
        deployment: str = "",
        data_centre: str = "dc-1",
    ) -> None:
        """Add a VM to the platform's list, an agent with its relay's port."""
        if role == "agent":
            old = self.agent_relays_by_server.pop(backend_server, None)
            if old is not None:
                old.close()
            created = RelayThread(port)
            self.agent_relays_by_server[backend_server] = created
            port = created.port
        super().list_vm(
            name,
            role,
            port,
            state=state,
            backend_server=backend_server,
            deployment=deployment,
            data_centre=data_centre,
        )

    def relays(self) -> list[RelayThread]:
        """Return all relays."""
        return [
            *self.agent_relays_by_server.values(),
            *self.backend_relays_by_server.values(),
        ]

    def close(self) -> None:
        """End all processes and relays."""
        super().close()
        for each in self.relays():
            each.close()


def heartbeats_s(heartbeats: int) -> float:
    """Return the duration of this many heartbeat intervals, in seconds."""
    return heartbeats * builders_fleet.HEARTBEAT["interval_ms"] / clocks.MS_PER_SECOND
