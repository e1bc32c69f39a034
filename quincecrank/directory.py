"""One shard of the directory: where the blocks of some prefixes are.

Terms
-----
root
    Key of the first block of a chain.  A chain's whole entry is kept by the
    `SHARD_COPIES` agents that rank highest for its root.
holder
    An engine, known by backend server and incarnation, or a copy in a store.

A shard is soft state: it is rebuilt by announcements, may be wrong at any time and
is bounded.  When it is full, the least recently used root leaves.
"""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence, Set
from typing import Final

from quincecrank import chain_view, ids, rendezvous, sealed_block

SHARD_COPIES: Final = 2
"""Agents that keep the entry of one root."""

DEFAULT_MAX_BLOCKS: Final = 200_000
"""Blocks that one shard keeps."""

_INTERNED_SLACK: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class EngineHolder:
    """An engine that holds a block in its memory."""

    server: ids.BackendServerName
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class StoreHolder:
    """A store VM that keeps a copy of a block.

    Attributes
    ----------
    write_id : str
        The part of the object's name that is not known from the chain.
    """

    store: ids.VmName
    incarnation: ids.Incarnation
    tier: ids.TierName
    write_id: str


Holder = EngineHolder | StoreHolder


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """News that `holder` has or no longer has blocks of one root.

    Attributes
    ----------
    keys : tuple of BlockKey
        Keys of the blocks, in any order.
    """

    root: ids.BlockKey
    keys: tuple[ids.BlockKey, ...]
    holder: Holder


@dataclasses.dataclass(frozen=True, slots=True)
class StoredChain:
    """Copies of the blocks of one root in one tier of a store VM."""

    root: ids.BlockKey
    holders_by_key: Mapping[ids.BlockKey, StoreHolder]


def responsible_agents(
    root: ids.BlockKey, agents: Iterable[ids.VmName]
) -> tuple[ids.VmName, ...]:
    """Return the agents that keep the entry of `root`, preferred one first."""
    return rendezvous.ranked(root, agents, SHARD_COPIES)


class _Chain:
    """Holders of the blocks below one root, in compact form."""

    __slots__ = ("holders_by_key",)

    def __init__(self) -> None:
        self.holders_by_key: dict[bytes, tuple[Holder, ...]] = {}


class DirectoryShard:
    """Aggregate of the roots that one agent keeps.

    Parameters
    ----------
    max_blocks : int
        Bound on the number of block entries.
    """

    def __init__(self, max_blocks: int = DEFAULT_MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._block_count = 0
        self._chains_by_root: collections.OrderedDict[bytes, _Chain] = (
            collections.OrderedDict()
        )
        self._interned: dict[tuple[Holder, ...], tuple[Holder, ...]] = {}
        self._doubtful: set[EngineHolder] = set()

    def __len__(self) -> int:
        """Return the number of block entries."""
        return self._block_count

    @property
    def root_count(self) -> int:
        """Number of roots."""
        return len(self._chains_by_root)

    def announce(self, news: Announcement) -> None:
        """Record that the holder has the blocks."""
        if not news.keys:
            return
        root = bytes.fromhex(news.root)
        chain = self._chains_by_root.setdefault(root, _Chain())
        self._chains_by_root.move_to_end(root)
        for key_text in news.keys:
            key = bytes.fromhex(key_text)
            holders = chain.holders_by_key.get(key)
            if holders is None:
                self._block_count += 1
            elif news.holder in holders:
                continue
            chain.holders_by_key[key] = self._intern((*(holders or ()), news.holder))
        self._evict()

    def withdraw(self, news: Announcement) -> None:
        """Record that the holder no longer has the blocks."""
        root = bytes.fromhex(news.root)
        chain = self._chains_by_root.get(root)
        if chain is None:
            return
        for key_text in news.keys:
            self._remove(chain, bytes.fromhex(key_text), {news.holder})
        self._drop_empty([root])

    def withdraw_engine(
        self, server: ids.BackendServerName, current: ids.Incarnation | None
    ) -> int:
        """Forget all of a backend server but what `current` holds; return how much."""
        gone = {
            holder
            for holder in self._known_holders()
            if isinstance(holder, EngineHolder)
            and holder.server == server
            and holder.incarnation != current
        }
        self._doubtful -= gone
        return self._withdraw_holders(gone)

    def withdraw_store(self, store: ids.VmName, current: ids.Incarnation | None) -> int:
        """Forget all copies of a store VM but those of incarnation `current`."""
        gone = {
            holder
            for holder in self._known_holders()
            if isinstance(holder, StoreHolder)
            and holder.store == store
            and holder.incarnation != current
        }
        return self._withdraw_holders(gone)

    def mark_doubtful(self, holder: EngineHolder) -> None:
        """Record that cache events of `holder` were lost."""
        self._doubtful.add(holder)

    def replace_engine(
        self, holder: EngineHolder, announcements: Iterable[Announcement]
    ) -> None:
        """Replace all that `holder` is known to hold by the content of a snapshot."""
        self._withdraw_holders({holder})
        self._doubtful.discard(holder)
        for news in announcements:
            self.announce(news)

    def lookup(self, keys: Sequence[ids.BlockKey]) -> chain_view.ChainView:
        """Return the holders of the blocks `keys` of one prompt."""
        if not keys:
            return chain_view.empty(0)
        root = bytes.fromhex(keys[0])
        chain = self._chains_by_root.get(root)
        if chain is None:
            return chain_view.empty(len(keys))
        self._chains_by_root.move_to_end(root)
        held: dict[ids.BackendServerName, set[int]] = {}
        doubtful: set[ids.BackendServerName] = set()
        copies: list[chain_view.StoredBlock] = []
        for index, key in enumerate(keys):
            for holder in chain.holders_by_key.get(bytes.fromhex(key), ()):
                if isinstance(holder, StoreHolder):
                    copies.append(_stored_block(keys[0], index, key, holder))
                    continue
                held.setdefault(holder.server, set()).add(index)
                if holder in self._doubtful:
                    doubtful.add(holder.server)
        held_by_server = {name: frozenset(indexes) for name, indexes in held.items()}
        return chain_view.ChainView(
            len(keys), held_by_server, frozenset(doubtful), tuple(copies)
        )

    def stored_chains(
        self, store: ids.VmName, tier: ids.TierName
    ) -> Iterator[StoredChain]:
        """Yield the copies that one tier of a store VM keeps, by root."""
        for root, chain in self._chains_by_root.items():
            holders_by_key = {
                ids.BlockKey(key.hex()): holder
                for key, holders in chain.holders_by_key.items()
                for holder in holders
                if isinstance(holder, StoreHolder)
                and (holder.store, holder.tier) == (store, tier)
            }
            if holders_by_key:
                yield StoredChain(ids.BlockKey(root.hex()), holders_by_key)

    def _intern(self, holders: tuple[Holder, ...]) -> tuple[Holder, ...]:
        return self._interned.setdefault(holders, holders)

    def _known_holders(self) -> set[Holder]:
        return {holder for holders in self._interned for holder in holders}

    def _withdraw_holders(self, gone: Set[Holder]) -> int:
        if not gone:
            return 0
        removed = 0
        for chain in self._chains_by_root.values():
            for key in tuple(chain.holders_by_key):
                removed += self._remove(chain, key, gone)
        self._drop_empty(tuple(self._chains_by_root))
        self._sweep_interned()
        return removed

    def _remove(self, chain: _Chain, key: bytes, gone: Set[Holder]) -> bool:
        holders = chain.holders_by_key.get(key, ())
        left = tuple(holder for holder in holders if holder not in gone)
        if len(left) == len(holders):
            return False
        if left:
            chain.holders_by_key[key] = self._intern(left)
        else:
            del chain.holders_by_key[key]
            self._block_count -= 1
        return True

    def _drop_empty(self, roots: Iterable[bytes]) -> None:
        for root in roots:
            if not self._chains_by_root[root].holders_by_key:
                del self._chains_by_root[root]

    def _evict(self) -> None:
        while self._block_count > self._max_blocks:
            _, chain = self._chains_by_root.popitem(last=False)
            self._block_count -= len(chain.holders_by_key)
        if len(self._interned) > 2 * self._block_count + _INTERNED_SLACK:
            self._sweep_interned()

    def _sweep_interned(self) -> None:
        self._interned = {
            holders: holders
            for chain in self._chains_by_root.values()
            for holders in chain.holders_by_key.values()
        }


def _stored_block(
    root: ids.BlockKey, index: int, key: ids.BlockKey, holder: StoreHolder
) -> chain_view.StoredBlock:
    name = sealed_block.BlockName(root, key, holder.write_id)
    return chain_view.StoredBlock(index, holder.store, name.object_name(), holder.tier)
