"""Recorded locations of the KV blocks of one prompt; hints that may be outdated."""

import dataclasses
from collections.abc import Mapping

from quincecrank import ids


@dataclasses.dataclass(frozen=True, slots=True)
class StoredBlock:
    """A copy of a block that a store VM holds.

    Attributes
    ----------
    index : int
        Position of the block in the prompt, from 0.
    store : VmName
        Store VM that holds the copy.
    object_name : ObjectName
        Name of the sealed object.
    tier : TierName
        Tier that holds the copy, and whose link a restore uses.
    """

    index: int
    store: ids.VmName
    object_name: ids.ObjectName
    tier: ids.TierName


@dataclasses.dataclass(frozen=True, slots=True)
class ChainView:
    """Holders of the complete blocks of one prompt.

    Attributes
    ----------
    block_count : int
        Number of complete blocks of the prompt.
    held_by_server : mapping of BackendServerName to frozenset of int
        Indexes of the blocks in each engine's memory.
    doubtful : frozenset of BackendServerName
        Backend servers whose cache events had a gap that no snapshot has closed.
        The name of this field goes over the wire, in the replies to directory lookups.
    copies : tuple of StoredBlock
        Copies in stores, ordered by index; a block may have several.
    """

    block_count: int
    held_by_server: Mapping[ids.BackendServerName, frozenset[int]] = dataclasses.field(
        default_factory=dict
    )
    doubtful: frozenset[ids.BackendServerName] = frozenset()
    copies: tuple[StoredBlock, ...] = ()

    def held_prefix(self, server: ids.BackendServerName) -> int:
        """Return how many consecutive blocks `server` holds, from the first one."""
        held = self.held_by_server.get(server, frozenset())
        count = 0
        while count in held:
            count += 1
        return count

    def copies_by_index(self) -> dict[int, list[StoredBlock]]:
        """Return the copies of each block that has at least one, by index."""
        by_index: dict[int, list[StoredBlock]] = {}
        for copy in self.copies:
            by_index.setdefault(copy.index, []).append(copy)
        return by_index


def empty(block_count: int) -> ChainView:
    """Return the view of a prompt without holders."""
    return ChainView(block_count)
