"""Work under way at each backend server, from this gateway and from its peers.

Load pattern: engines are nearly full, and one gets room for a long prompt.  Every
gateway has such a prompt waiting.  If the peers learned of each other's choices with
the periodic reports only, all would send theirs to the same engine.  So a change of
some size is told at once; a report repeats all loads and makes up for lost messages.
"""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Final

from quincecrank import ids
from quincecrank.gateway import servers

PEER_EXPIRY_MS: Final = 1_000
"""Age at which a peer's load report no longer counts: several report intervals."""


MIN_TOLD_TOKENS: Final = 2_048
"""Size from which the start or end of a request is told at once: two pieces in which
engines compute prompts, so that smaller ones hardly delay another."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work at one backend server.

    Attributes
    ----------
    requests : int
        Requests under way.
    memory_tokens : int
        Engine memory that they are expected to need.
    prefill_tokens : int
        Prompt tokens that are still to be computed.
    """

    requests: int = 0
    memory_tokens: int = 0
    prefill_tokens: int = 0

    def plus(self, other: "Load") -> "Load":
        """Return the sum of two loads."""
        return Load(
            self.requests + other.requests,
            self.memory_tokens + other.memory_tokens,
            self.prefill_tokens + other.prefill_tokens,
        )


@dataclasses.dataclass(slots=True)
class _Run:
    memory_tokens: int
    prefill_tokens: int


LoadTeller = Callable[[servers.ServerId, Load], None]


def tell_nobody(server_id: servers.ServerId, load: Load) -> None:
    """Stand in for the peers of a gateway that has none."""


class Loads:
    """Aggregate of the work that this gateway and its peers have sent out.

    Attributes
    ----------
    tell : callable
        Gets this gateway's load of one server after a change that peers must know
        of at once.
    """

    def __init__(self) -> None:
        self.tell: LoadTeller = tell_nobody
        self._runs_by_server: dict[servers.ServerId, dict[ids.RequestId, _Run]] = {}
        self._reported_ms_by_peer: dict[ids.VmName, int] = {}
        self._peer_loads_by_server: dict[servers.ServerId, dict[ids.VmName, Load]] = {}

    def started(
        self,
        server_id: servers.ServerId,
        request_id: ids.RequestId,
        memory_tokens: int,
        prefill_tokens: int,
    ) -> None:
        """Count a request that is about to be sent."""
        runs = self._runs_by_server.setdefault(server_id, {})
        runs[request_id] = _Run(memory_tokens, prefill_tokens)
        self._tell_change(server_id, memory_tokens)

    def prompt_computed(
        self, server_id: servers.ServerId, request_id: ids.RequestId
    ) -> None:
        """Record the first event of an answer."""
        run = self._runs_by_server.get(server_id, {}).get(request_id)
        if run is not None and run.prefill_tokens:
            computed_tokens = run.prefill_tokens
            run.prefill_tokens = 0
            self._tell_change(server_id, computed_tokens)

    def ended(self, server_id: servers.ServerId, request_id: ids.RequestId) -> None:
        """Count a request out."""
        runs = self._runs_by_server.get(server_id, {})
        run = runs.pop(request_id, None)
        if not runs:
            self._runs_by_server.pop(server_id, None)
        if run is not None:
            self._tell_change(server_id, run.memory_tokens)

    def peer_reported(
        self,
        peer: ids.VmName,
        load_by_server: Mapping[servers.ServerId, Load],
        now_ms: int,
    ) -> None:
        """Take the load report of a peer."""
        self._reported_ms_by_peer[peer] = now_ms
        for load_by_peer in self._peer_loads_by_server.values():
            load_by_peer.pop(peer, None)
        for server_id, load in load_by_server.items():
            self._peer_loads_by_server.setdefault(server_id, {})[peer] = load

    def peer_changed(
        self, peer: ids.VmName, server_id: servers.ServerId, load: Load
    ) -> None:
        """Take a peer's new load of one server; counts until its next report.

        Changes of a peer whose reports do not arrive are not used, as nothing would
        correct them.
        """
        if peer in self._reported_ms_by_peer:
            self._peer_loads_by_server.setdefault(server_id, {})[peer] = load

    def own(self) -> dict[servers.ServerId, Load]:
        """Return this gateway's work by backend server."""
        return {server: self._own(server) for server in self._runs_by_server}

    def of(self, server_id: servers.ServerId, now_ms: int) -> Load:
        """Return all known work at a backend server."""
        total = self._own(server_id)
        for peer, load in self._peer_loads_by_server.get(server_id, {}).items():
            if now_ms - self._reported_ms_by_peer[peer] < PEER_EXPIRY_MS:
                total = total.plus(load)
        return total

    def forget_server(self, server_id: servers.ServerId) -> None:
        """Forget what peers have sent to a server that has left."""
        self._peer_loads_by_server.pop(server_id, None)

    def _tell_change(self, server_id: servers.ServerId, tokens: int) -> None:
        if tokens >= MIN_TOLD_TOKENS:
            self.tell(server_id, self._own(server_id))

    def _own(self, server_id: servers.ServerId) -> Load:
        runs = self._runs_by_server.get(server_id, {}).values()
        return Load(
            len(runs),
            sum(run.memory_tokens for run in runs),
            sum(run.prefill_tokens for run in runs),
        )
