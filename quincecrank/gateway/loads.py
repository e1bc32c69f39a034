"""Work under way at each backend server, from this gateway and from its peers."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from quincecrank import ids
from quincecrank.gateway import servers

PEER_EXPIRY_MS: Final = 1_000
"""Age at which a peer's load report no longer counts: several report intervals."""


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


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    received_ms: int
    load_by_server: Mapping[servers.ServerId, Load]


class Loads:
    """Aggregate of the work that this gateway and its peers have sent out."""

    def __init__(self) -> None:
        self._runs_by_server: dict[servers.ServerId, dict[ids.RequestId, _Run]] = {}
        self._report_by_peer: dict[ids.VmName, _PeerReport] = {}

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

    def prompt_computed(
        self, server_id: servers.ServerId, request_id: ids.RequestId
    ) -> None:
        """Record the first event of an answer."""
        run = self._runs_by_server.get(server_id, {}).get(request_id)
        if run is not None:
            run.prefill_tokens = 0

    def ended(self, server_id: servers.ServerId, request_id: ids.RequestId) -> None:
        """Count a request out."""
        runs = self._runs_by_server.get(server_id, {})
        runs.pop(request_id, None)
        if not runs:
            self._runs_by_server.pop(server_id, None)

    def peer_reported(
        self,
        peer: ids.VmName,
        load_by_server: Mapping[servers.ServerId, Load],
        now_ms: int,
    ) -> None:
        """Take the load report of a peer."""
        self._report_by_peer[peer] = _PeerReport(now_ms, dict(load_by_server))

    def own(self) -> dict[servers.ServerId, Load]:
        """Return this gateway's work by backend server."""
        return {server: self._own(server) for server in self._runs_by_server}

    def of(self, server_id: servers.ServerId, now_ms: int) -> Load:
        """Return all known work at a backend server."""
        total = self._own(server_id)
        for report in self._report_by_peer.values():
            if now_ms - report.received_ms < PEER_EXPIRY_MS:
                total = total.plus(report.load_by_server.get(server_id, Load()))
        return total

    def _own(self, server_id: servers.ServerId) -> Load:
        runs = self._runs_by_server.get(server_id, {}).values()
        return Load(
            len(runs),
            sum(run.memory_tokens for run in runs),
            sum(run.prefill_tokens for run in runs),
        )
