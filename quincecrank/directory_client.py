"""Finds the directory agents of a prompt and sends them news.

The directory of a deployment is spread over a few of its agents, chosen by rendezvous
hash, so that no agent needs links to all others.  News is gathered for a short while
and sent to the agents responsible for each root.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from quincecrank import clock as clocks
from quincecrank import directory, ids, logs, peer_link, rpc

FLUSH_INTERVAL_MS: Final = 100
CALL_TIMEOUT_MS: Final = 1_000

_LOG: Final = logs.logger("directory-client")


@dataclasses.dataclass(frozen=True)
class _Chain:
    """Blocks of one root at one holder."""

    root: ids.BlockKey
    holder: directory.Holder


class _News:
    """What one directory agent is to be told; the last news of a block counts."""

    def __init__(self) -> None:
        self._held_by_key: dict[_Chain, dict[ids.BlockKey, bool]] = {}
        self.doubtful: set[directory.EngineHolder] = set()
        self.snapshot_of: directory.EngineHolder | None = None

    def add(self, item: directory.Announcement, *, held: bool) -> None:
        """Take news that a holder has blocks, or no longer has them."""
        chain = _Chain(item.root, item.holder)
        held_by_key = self._held_by_key.setdefault(chain, {})
        held_by_key.update(dict.fromkeys(item.keys, held))

    def start_snapshot(self, holder: directory.EngineHolder) -> None:
        """Drop the news of `holder`, all of whose blocks are announced next."""
        self.snapshot_of = holder
        for chain in tuple(self._held_by_key):
            if chain.holder == holder:
                del self._held_by_key[chain]

    def _items(self, *, held: bool) -> tuple[directory.Announcement, ...]:
        items = []
        for chain, held_by_key in self._held_by_key.items():
            keys = tuple(key for key, value in held_by_key.items() if value is held)
            if keys:
                items.append(directory.Announcement(chain.root, keys, chain.holder))
        return tuple(items)

    def request(self) -> rpc.AnnounceRequest:
        """Return the call's request."""
        return rpc.AnnounceRequest(
            announced=self._items(held=True),
            withdrawn=self._items(held=False),
            doubtful=tuple(self.doubtful),
            snapshot_of=self.snapshot_of,
        )


class Announcer:
    """Gathers news and sends it to the directory agents.

    News is lost when an agent cannot be reached; the next snapshot repeats it.

    Parameters
    ----------
    agents : callable
        Returns the present directory agents.
    links : mapping
        Links by VM; the own agent's news is taken by `local`.
    local : callable
        Takes the news for the shard of this process.
    """

    def __init__(
        self,
        own: ids.VmName,
        agents: Callable[[], tuple[ids.VmName, ...]],
        links: Mapping[ids.VmName, peer_link.PeerLink],
        local: Callable[[rpc.AnnounceRequest], None],
        clock: clocks.Clock,
    ) -> None:
        self._own = own
        self._agents = agents
        self._links = links
        self._local = local
        self._clock = clock
        self._news_by_agent: dict[ids.VmName, _News] = {}

    def announce(self, news: Iterable[directory.Announcement]) -> None:
        """Queue blocks that a holder has."""
        for item in news:
            for agent in self._responsible(item.root):
                self._news(agent).add(item, held=True)

    def withdraw(self, news: Iterable[directory.Announcement]) -> None:
        """Queue blocks that a holder no longer has."""
        for item in news:
            for agent in self._responsible(item.root):
                self._news(agent).add(item, held=False)

    def doubtful(self, holder: directory.EngineHolder) -> None:
        """Queue the news that events of `holder` were lost."""
        for agent in self._agents():
            self._news(agent).doubtful.add(holder)

    def snapshot(
        self,
        holder: directory.EngineHolder,
        announcements: Iterable[directory.Announcement],
    ) -> None:
        """Queue all that `holder` has, in place of what was announced before."""
        for agent in self._agents():
            self._news(agent).start_snapshot(holder)
        self.announce(announcements)

    async def flush(self) -> None:
        """Send the queued news."""
        news_by_agent = self._news_by_agent
        self._news_by_agent = {}
        for agent, news in news_by_agent.items():
            await self._send(agent, news.request())

    def _responsible(self, root: ids.BlockKey) -> tuple[ids.VmName, ...]:
        return directory.responsible_agents(root, self._agents())

    def _news(self, agent: ids.VmName) -> _News:
        return self._news_by_agent.setdefault(agent, _News())

    async def _send(self, agent: ids.VmName, request: rpc.AnnounceRequest) -> None:
        if agent == self._own:
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
            _LOG.info("announcement lost", peer=agent, reason=str(error))
