"""Sends an agent's cache announcements to the directory agents.

The directory of a deployment is spread over a few of its agents, chosen by rendezvous
hashing, so that no agent needs links to all others.  Changes are collected for
`FLUSH_INTERVAL_MS` and sent to the agents responsible for each root.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from quincecrank import clock as clocks
from quincecrank import directory, ids, logs, peer_link, rpc

FLUSH_INTERVAL_MS: Final = 100
CALL_TIMEOUT_MS: Final = 1_000
"""Timeout of one announcement; agents are called one after another, so it also delays
those that follow."""

_LOG: Final = logs.logger("directory-client")


@dataclasses.dataclass(frozen=True)
class _ChainAtHolder:
    """A chain, named by its root, at one holder."""

    root: ids.BlockKey
    holder: directory.Holder


class _PendingChanges:
    """Pending changes for one directory agent; the last change of a block wins."""

    def __init__(self) -> None:
        self._held_by_chain: dict[_ChainAtHolder, dict[ids.BlockKey, bool]] = {}
        self.doubtful: set[directory.EngineHolder] = set()
        self.snapshot_of: directory.EngineHolder | None = None

    def add(self, item: directory.Announcement, *, held: bool) -> None:
        """Record that a holder has blocks, or no longer has them."""
        chain = _ChainAtHolder(item.root, item.holder)
        held_by_key = self._held_by_chain.setdefault(chain, {})
        held_by_key.update(dict.fromkeys(item.keys, held))

    def start_snapshot(self, holder: directory.EngineHolder) -> None:
        """Drop the pending changes of `holder`; a snapshot of its blocks follows.

        A pending report that the holder is doubtful is not dropped.
        """
        self.snapshot_of = holder
        for chain in tuple(self._held_by_chain):
            if chain.holder == holder:
                del self._held_by_chain[chain]

    def _items(self, *, held: bool) -> tuple[directory.Announcement, ...]:
        items = []
        for chain, held_by_key in self._held_by_chain.items():
            keys = tuple(key for key, value in held_by_key.items() if value is held)
            if keys:
                items.append(directory.Announcement(chain.root, keys, chain.holder))
        return tuple(items)

    def request(self) -> rpc.AnnounceRequest:
        """Return the request that sends these changes."""
        return rpc.AnnounceRequest(
            announced=self._items(held=True),
            withdrawn=self._items(held=False),
            doubtful=tuple(self.doubtful),
            snapshot_of=self.snapshot_of,
        )


class Announcer:
    """Collects changes of cached blocks and sends them to the directory agents.

    Changes for an agent that cannot be reached are dropped.  The next snapshot of an
    engine repeats all of them, the next listing of a store only announced copies.

    Parameters
    ----------
    directory_agents : callable
        Returns the current directory agents.
    own_vm : VmName
        VM of this agent.
    links : mapping
        Links by VM; changes for the agent `own_vm` go to `local` instead.
    local : callable
        Applies changes to the shard of this process.
    """

    def __init__(
        self,
        own_vm: ids.VmName,
        directory_agents: Callable[[], tuple[ids.VmName, ...]],
        links: Mapping[ids.VmName, peer_link.PeerLink],
        local: Callable[[rpc.AnnounceRequest], None],
        clock: clocks.Clock,
    ) -> None:
        self._own_vm = own_vm
        self._agents = directory_agents
        self._links = links
        self._local = local
        self._clock = clock
        self._pending_by_agent: dict[ids.VmName, _PendingChanges] = {}

    def announce(self, announcements: Iterable[directory.Announcement]) -> None:
        """Queue blocks that a holder has."""
        for item in announcements:
            for agent in self._responsible_agents(item.root):
                self._pending(agent).add(item, held=True)

    def withdraw(self, announcements: Iterable[directory.Announcement]) -> None:
        """Queue blocks that a holder no longer has."""
        for item in announcements:
            for agent in self._responsible_agents(item.root):
                self._pending(agent).add(item, held=False)

    def mark_doubtful(self, holder: directory.EngineHolder) -> None:
        """Queue the report that cache events of `holder` were missed."""
        for agent in self._agents():
            self._pending(agent).doubtful.add(holder)

    def announce_snapshot(
        self,
        holder: directory.EngineHolder,
        announcements: Iterable[directory.Announcement],
    ) -> None:
        """Queue all blocks of `holder`, replacing what was announced before."""
        for agent in self._agents():
            self._pending(agent).start_snapshot(holder)
        self.announce(announcements)

    async def flush(self) -> None:
        """Send the queued changes."""
        pending_by_agent = self._pending_by_agent
        self._pending_by_agent = {}
        for agent, pending in pending_by_agent.items():
            await self._send(agent, pending.request())

    def _responsible_agents(self, root: ids.BlockKey) -> tuple[ids.VmName, ...]:
        return directory.responsible_agents(root, self._agents())

    def _pending(self, agent: ids.VmName) -> _PendingChanges:
        return self._pending_by_agent.setdefault(agent, _PendingChanges())

    async def _send(self, agent: ids.VmName, request: rpc.AnnounceRequest) -> None:
        if agent == self._own_vm:
            self._local(request)
            return
        link = self._links.get(agent)
        if link is None:
            return
        try:
            await link.call(
                rpc.Method.DIRECTORY_ANNOUNCE, request, rpc.Empty, CALL_TIMEOUT_MS
            )
        except rpc.CallError as error:
            _LOG.info("announcement failed", peer=agent, reason=str(error))
