"""Load of each backend server, from this gateway's requests and from its peers'.

Load pattern: engines are nearly full, one gets capacity for a long prompt, and every
gateway has such a prompt in its queue.  With periodic load reports alone, all gateways
would send theirs to the same engine before they learn of each other's choice.  So the
peers are notified at once of a change of `MIN_NOTIFIED_TOKENS` or more.  A periodic
report repeats all loads, which makes up for lost messages.
"""

import dataclasses
import math
from collections.abc import Callable, Mapping
from typing import Final

from quincecrank import ids
from quincecrank.gateway import servers

CHANGE_SMOOTHING: Final = 0.2
"""Weight of a new report in the unseen work of its sender: a second or two of
reports."""

CHANGE_DELAY_MS: Final = 20.0
"""Time after which a change of load that a peer sends at once has been read here: small
gateways read datagrams between the steps of other work."""

CHANGE_DECAY_MS: Final = 1_000.0
"""Time over which the rate of changes is averaged."""

PEER_EXPIRY_MS: Final = 1_000
"""Age from which a peer's load report no longer counts: several report intervals."""

MIN_NOTIFIED_TOKENS: Final = 2_048
"""Size from which peers are notified at once of a change: expected memory at the start
and end of a request, computed tokens at the end of its prompt computation.  It is two
of the chunks in which engines compute prompts; smaller ones hardly delay another."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one backend server.

    Attributes
    ----------
    requests : int
        Requests in flight.
    memory_tokens : int
        Engine memory that they are expected to need.
    backlog_tokens : int
        Prompt tokens that are still to be computed.
    """

    requests: int = 0
    memory_tokens: int = 0
    backlog_tokens: int = 0

    def add(self, other: "Load") -> "Load":
        """Return the sum of two loads."""
        return Load(
            self.requests + other.requests,
            self.memory_tokens + other.memory_tokens,
            self.backlog_tokens + other.backlog_tokens,
        )


_NO_LOAD: Final = Load()


@dataclasses.dataclass(slots=True)
class _RunningRequest:
    memory_tokens: int
    missing_tokens: int


@dataclasses.dataclass(slots=True)
class _Sum:
    """Sum of loads that is updated at each change, as reads are far more frequent."""

    requests: int = 0
    memory_tokens: int = 0
    backlog_tokens: int = 0

    def replace(self, before: Load, after: Load) -> None:
        self.requests += after.requests - before.requests
        self.memory_tokens += after.memory_tokens - before.memory_tokens
        self.backlog_tokens += after.backlog_tokens - before.backlog_tokens

    def load(self) -> Load:
        return Load(self.requests, self.memory_tokens, self.backlog_tokens)


LoadChangeListener = Callable[[servers.ServerId, Load], None]


def ignore_load_change(server_id: servers.ServerId, load: Load) -> None:
    """Do nothing: the listener of a gateway without peers."""


class Loads:
    """The requests in flight that this gateway and its peers have sent.

    Attributes
    ----------
    notify_peers : callable
        Called with a server and this gateway's load of it after a change of which the
        peers must be notified at once.
    """

    def __init__(self) -> None:
        self.notify_peers: LoadChangeListener = ignore_load_change
        self._running_by_server: dict[
            servers.ServerId, dict[ids.RequestId, _RunningRequest]
        ] = {}
        self._own_by_server: dict[servers.ServerId, _Sum] = {}
        self._reported_ms_by_peer: dict[ids.VmName, int] = {}
        self._loads_by_peer: dict[ids.VmName, dict[servers.ServerId, Load]] = {}
        # Sums of the live peers' loads, and no live peer's report is older than this.
        self._live_peers: set[ids.VmName] = set()
        self._peers_by_server: dict[servers.ServerId, _Sum] = {}
        self._oldest_report_ms = 0
        # Mean square, by report, of the changes of backlog that it was the first to
        # show.
        self._unseen_by_peer: dict[ids.VmName, float] = {}
        self._unseen_sum = 0.0
        # Squares of the changes that arrived at once, with exponential decay.
        self._changes_sum = 0.0
        self._changes_ms = 0

    def record_start(
        self,
        server_id: servers.ServerId,
        request_id: ids.RequestId,
        memory_tokens: int,
        missing_tokens: int,
    ) -> None:
        """Add a request that is about to be sent to a server."""
        running_by_id = self._running_by_server.setdefault(server_id, {})
        own = self._own_by_server.setdefault(server_id, _Sum())
        replaced = running_by_id.get(request_id)
        if replaced is not None:
            before = Load(1, replaced.memory_tokens, replaced.missing_tokens)
            own.replace(before, _NO_LOAD)
        running_by_id[request_id] = _RunningRequest(memory_tokens, missing_tokens)
        own.replace(_NO_LOAD, Load(1, memory_tokens, missing_tokens))
        self._notify_if_large(server_id, memory_tokens)

    def record_prefill_end(
        self, server_id: servers.ServerId, request_id: ids.RequestId
    ) -> None:
        """Record the first event of an answer, which ends its prompt computation.

        Without effect for an unknown request or a repeated call.
        """
        running = self._running_by_server.get(server_id, {}).get(request_id)
        if running is not None and running.missing_tokens:
            computed_tokens = running.missing_tokens
            running.missing_tokens = 0
            self._own_by_server[server_id].backlog_tokens -= computed_tokens
            self._notify_if_large(server_id, computed_tokens)

    def record_end(
        self, server_id: servers.ServerId, request_id: ids.RequestId
    ) -> None:
        """Remove a request; without effect if it is unknown."""
        running_by_id = self._running_by_server.get(server_id, {})
        running = running_by_id.pop(request_id, None)
        if running is not None:
            ended = Load(1, running.memory_tokens, running.missing_tokens)
            self._own_by_server[server_id].replace(ended, _NO_LOAD)
        if not running_by_id:
            self._running_by_server.pop(server_id, None)
            self._own_by_server.pop(server_id, None)
        if running is not None:
            self._notify_if_large(server_id, running.memory_tokens)

    def apply_peer_report(
        self,
        peer: ids.VmName,
        load_by_server: Mapping[servers.ServerId, Load],
        now_ms: int,
    ) -> None:
        """Replace all loads of a peer by those of its report."""
        self._expire_peers(now_ms)
        # Loads of a silent peer are not in the sums.
        known = self._loads_by_peer[peer] if peer in self._live_peers else {}
        self._live_peers.add(peer)
        self._reported_ms_by_peer[peer] = now_ms
        self._oldest_report_ms = min(self._oldest_report_ms, now_ms)
        square = 0
        for server_id, load in known.items():
            if server_id not in load_by_server:
                self._peers_by_server[server_id].replace(load, _NO_LOAD)
                square += load.backlog_tokens**2
        for server_id, load in load_by_server.items():
            total = self._peers_by_server.get(server_id)
            if total is None:
                total = self._peers_by_server.setdefault(server_id, _Sum())
            before = known.get(server_id, _NO_LOAD)
            total.replace(before, load)
            square += (load.backlog_tokens - before.backlog_tokens) ** 2
        self._loads_by_peer[peer] = dict(load_by_server)
        self._record_unseen(peer, square)
        self._decay_changes(now_ms)

    def apply_peer_change(
        self, peer: ids.VmName, server_id: servers.ServerId, load: Load
    ) -> None:
        """Replace a peer's load of one server until its next report.

        Ignored if no report of the peer has arrived, as nothing would correct the
        change.
        """
        known = self._loads_by_peer.get(peer)
        if known is None:
            return
        if peer in self._live_peers:
            peers = self._peers_by_server.setdefault(server_id, _Sum())
            before = known.get(server_id, _NO_LOAD)
            peers.replace(before, load)
            self._changes_sum += (load.backlog_tokens - before.backlog_tokens) ** 2
        known[server_id] = load

    def own_load_by_server(self) -> dict[servers.ServerId, Load]:
        """Return the load from this gateway's requests by backend server."""
        return {server: self._own(server) for server in self._running_by_server}

    def total_load(self, server_id: servers.ServerId, now_ms: int) -> Load:
        """Return the load of a backend server from this gateway and its live peers."""
        if now_ms - PEER_EXPIRY_MS >= self._oldest_report_ms:
            self._expire_peers(now_ms)
        own = self._own_by_server.get(server_id)
        peers = self._peers_by_server.get(server_id)
        if own is None or peers is None:
            either = own or peers
            return Load() if either is None else either.load()
        return Load(
            own.requests + peers.requests,
            own.memory_tokens + peers.memory_tokens,
            own.backlog_tokens + peers.backlog_tokens,
        )

    def unseen_tokens(self, server_count: int) -> float:
        """Return the standard deviation of the unseen backlog of one server.

        Each live peer starts and completes work between two reports, of which half is
        unseen on average, and changes that are sent at once are read a little later.

        Parameters
        ----------
        server_count : int
            Servers over which the peers' work is spread.
        """
        under_way = self._changes_sum * CHANGE_DELAY_MS / CHANGE_DECAY_MS
        variance = max(0.0, self._unseen_sum) / 2 + under_way
        return math.sqrt(variance / max(1, server_count))

    def remove_server(self, server_id: servers.ServerId) -> None:
        """Discard the loads that peers reported for a server; own requests stay."""
        self._peers_by_server.pop(server_id, None)
        for load_by_server in self._loads_by_peer.values():
            load_by_server.pop(server_id, None)

    def _record_unseen(self, peer: ids.VmName, square: float) -> None:
        before = self._unseen_by_peer.get(peer, 0.0)
        self._unseen_by_peer[peer] = before + CHANGE_SMOOTHING * (square - before)
        self._unseen_sum += self._unseen_by_peer[peer] - before

    def _decay_changes(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._changes_ms)
        self._changes_sum *= math.exp(-elapsed_ms / CHANGE_DECAY_MS)
        self._changes_ms = now_ms

    def _expire_peers(self, now_ms: int) -> None:
        """Take the loads of peers that have become silent out of the sums."""
        oldest_ms = now_ms - PEER_EXPIRY_MS
        if oldest_ms < self._oldest_report_ms:
            return
        for peer in tuple(self._live_peers):
            if self._reported_ms_by_peer[peer] > oldest_ms:
                continue
            self._live_peers.remove(peer)
            self._unseen_sum -= self._unseen_by_peer.pop(peer, 0.0)
            for server_id, load in self._loads_by_peer[peer].items():
                self._peers_by_server[server_id].replace(load, _NO_LOAD)
        self._oldest_report_ms = min(
            (self._reported_ms_by_peer[each] for each in self._live_peers),
            default=now_ms,
        )

    def _notify_if_large(self, server_id: servers.ServerId, tokens: int) -> None:
        if tokens >= MIN_NOTIFIED_TOKENS:
            self.notify_peers(server_id, self._own(server_id))

    def _own(self, server_id: servers.ServerId) -> Load:
        own = self._own_by_server.get(server_id)
        return Load() if own is None else own.load()
