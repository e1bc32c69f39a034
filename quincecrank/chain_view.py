"""What is known of where the blocks of one prompt are; always a hint."""

import dataclasses
from collections.abc import Mapping

from quincecrank import ids


@dataclasses.dataclass(frozen=True, slots=True)
class StoredBlock:
    """A copy of a block that a store VM keeps.

    Attributes
    ----------
    index : int
        Position in the prompt.
    store : VmName
        Store VM that keeps the copy.
    object_name : ObjectName
        Name of the sealed object.
    tier : TierName
        Tier that keeps the copy, and whose link a restore takes.
    """

    index: int
    store: ids.VmName
    object_name: ids.ObjectName
    tier: ids.TierName


@dataclasses.dataclass(frozen=True, slots=True)
class ChainView:
    """Holders of the whole blocks of one prompt.

    Attributes
    ----------
    block_count : int
        Number of whole blocks of the prompt.
    held_by_server : mapping of BackendServerName to frozenset of int
        Indexes of the blocks in each engine's memory.
    doubtful : frozenset of BackendServerName
        Backend servers whose cache events had a gap that no snapshot has closed.
    copies : tuple of StoredBlock
        Copies in stores, ascending by index; an index may have several.
    """

    block_count: int
    held_by_server: Mapping[ids.BackendServerName, frozenset[int]] = dataclasses.field(
        default_factory=dict
    )
    doubtful: frozenset[ids.BackendServerName] = frozenset()
    copies: tuple[StoredBlock, ...] = ()

    def held_prefix(self, server: ids.BackendServerName) -> int:
        """Return how many blocks `server` holds without a hole, from the first."""
        held = self.held_by_server.get(server, frozenset())
        count = 0
        while count in held:
            count += 1
        return count

    def copies_by_index(self) -> dict[int, list[StoredBlock]]:
        """Return the copies of each block that has any."""
        by_index: dict[int, list[StoredBlock]] = {}
        for copy in self.copies:
            by_index.setdefault(copy.index, []).append(copy)
        return by_index


def empty(block_count: int) -> ChainView:
    """Return the view of a prompt of which nothing is known."""
    return ChainView(block_count)
