"""One shard of the directory, the index of which holders have which KV blocks.

Terms
-----
chain
    The blocks of one prompt in order; each key depends on all preceding blocks.
root
    Key of the first block of a chain.  The records of all blocks of a chain are
    stored together.
block record
    The holders of one block.
responsible agents
    The `SHARD_COPIES` agents that rank highest for a root; each stores the block
    records of its chain.
holder
    An engine, identified by backend server and incarnation, or one tier of a store
    VM.
copy
    A block stored in a tier.
directory agents
    The agents of a deployment among which the responsible ones are chosen.

A shard is soft state: it is rebuilt from announcements, may be wrong at any time and
is bounded.  When it is full, it evicts the least recently used root.
"""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence, Set
from typing import Final

from quincecrank import chain_view, ids, rendezvous, sealed_block

SHARD_COPIES: Final = 2
"""Number of responsible agents of one root."""

DEFAULT_MAX_BLOCKS: Final = 200_000
"""Maximum number of block records in one shard."""

_INTERNED_SLACK: Final = 64
"""Unused interned tuples are removed when there are more tuples than two per block
record plus this number."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineHolder:
    """An engine that holds a block in its memory."""

    server: ids.BackendServerName
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class StoreHolder:
    """One tier of a store VM that has a copy of a block.

    Attributes
    ----------
    write_id : str
        The part of the object's name that cannot be derived from the chain.
    """

    store: ids.VmName
    incarnation: ids.Incarnation
    tier: ids.TierName
    write_id: str


Holder = EngineHolder | StoreHolder


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Blocks of one chain at one holder; `announce` adds, `withdraw` removes them.

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
    """Return the responsible agents of `root`, preferred one first."""
    return rendezvous.ranked(root, agents, SHARD_COPIES)


class _Chain:
    """Holders of the blocks of one root; keys are bytes to save memory."""

    __slots__ = ("holders_by_key",)

    def __init__(self) -> None:
        self.holders_by_key: dict[bytes, tuple[Holder, ...]] = {}


class DirectoryShard:
    """Aggregate of the chains that one agent stores.

    Parameters
    ----------
    max_blocks : int
        Maximum number of block records.
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
        """Return the number of block records."""
        return self._block_count

    @property
    def root_count(self) -> int:
        """Number of roots."""
        return len(self._chains_by_root)

    def announce(self, announcement: Announcement) -> None:
        """Record that the holder has the blocks."""
        if not announcement.keys:
            return
        root = bytes.fromhex(announcement.root)
        chain = self._chains_by_root.setdefault(root, _Chain())
        self._chains_by_root.move_to_end(root)
        for key_text in announcement.keys:
            key = bytes.fromhex(key_text)
            holders = chain.holders_by_key.get(key)
            if holders is None:
                self._block_count += 1
            elif announcement.holder in holders:
                continue
            chain.holders_by_key[key] = self._intern(
                (*(holders or ()), announcement.holder)
            )
        self._evict()

    def withdraw(self, announcement: Announcement) -> None:
        """Record that the holder no longer has the blocks."""
        root = bytes.fromhex(announcement.root)
        chain = self._chains_by_root.get(root)
        if chain is None:
            return
        for key_text in announcement.keys:
            self._remove(chain, bytes.fromhex(key_text), {announcement.holder})
        self._drop_empty([root])

    def withdraw_engine(
        self, server: ids.BackendServerName, current: ids.Incarnation | None
    ) -> int:
        """Remove a backend server as holder, except its incarnation `current`.

        Returns
        -------
        int
            Number of blocks from which a holder was removed.
        """
        removed_holders = {
            holder
            for holder in self._all_holders()
            if isinstance(holder, EngineHolder)
            and holder.server == server
            and holder.incarnation != current
        }
        self._doubtful -= removed_holders
        return self._remove_holders(removed_holders)

    def withdraw_store(self, store: ids.VmName, current: ids.Incarnation | None) -> int:
        """Remove the copies of a store VM, except those of incarnation `current`.

        Returns
        -------
        int
            Number of blocks from which a copy was removed.
        """
        removed_holders = {
            holder
            for holder in self._all_holders()
            if isinstance(holder, StoreHolder)
            and holder.store == store
            and holder.incarnation != current
        }
        return self._remove_holders(removed_holders)

    def mark_doubtful(self, holder: EngineHolder) -> None:
        """Record that cache events of `holder` were missed."""
        self._doubtful.add(holder)

    def replace_engine(
        self, holder: EngineHolder, announcements: Iterable[Announcement]
    ) -> None:
        """Replace everything recorded for `holder` by the content of a snapshot."""
        self._remove_holders({holder})
        self._doubtful.discard(holder)
        for announcement in announcements:
            self.announce(announcement)

    def lookup(self, keys: Sequence[ids.BlockKey]) -> chain_view.ChainView:
        """Return the holders of the blocks `keys` of one chain, its root first.

        Marks the root as recently used.
        """
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
        """Yield the copies that one tier of a store VM has, by root."""
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

    def _all_holders(self) -> set[Holder]:
        return {holder for holders in self._interned for holder in holders}

    def _remove_holders(self, removed_holders: Set[Holder]) -> int:
        if not removed_holders:
            return 0
        count = 0
        for chain in self._chains_by_root.values():
            for key in tuple(chain.holders_by_key):
                count += self._remove(chain, key, removed_holders)
        self._drop_empty(tuple(self._chains_by_root))
        self._sweep_interned()
        return count

    def _remove(self, chain: _Chain, key: bytes, removed_holders: Set[Holder]) -> bool:
        holders = chain.holders_by_key.get(key, ())
        remaining = tuple(holder for holder in holders if holder not in removed_holders)
        if len(remaining) == len(holders):
            return False
        if remaining:
            chain.holders_by_key[key] = self._intern(remaining)
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
