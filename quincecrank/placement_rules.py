"""Which blocks of a prompt are written to which tier after a run."""

import secrets
from collections.abc import Sequence

from quincecrank import chain_view, configuration, ids, rendezvous, sealed_block

_WRITE_ID_BYTES = 9


def blocks_to_keep(
    keys: tuple[ids.BlockKey, ...],
    chain: chain_view.ChainView,
    tiers: Sequence[configuration.Tier],
) -> tuple[chain_view.StoredBlock, ...]:
    """Return the copies to write: one of each block that no store keeps.

    Parameters
    ----------
    tiers : sequence of Tier
        Tiers of the deployment, preferred one first.
    """
    copied = {copy.index for copy in chain.copies}
    places = [(tier, store) for tier in tiers[:1] for store in tier.stores]
    if not places:
        return ()
    store_names = [store for _, store in places]
    tier = places[0][0]
    return tuple(
        chain_view.StoredBlock(
            index=index,
            store=rendezvous.ranked(key, store_names, 1)[0],
            object_name=_new_name(keys[0], key),
            tier=tier.name,
        )
        for index, key in enumerate(keys)
        if index not in copied
    )


def _new_name(root: ids.BlockKey, key: ids.BlockKey) -> ids.ObjectName:
    write_id = secrets.token_hex(_WRITE_ID_BYTES)
    return sealed_block.BlockName(root, key, write_id).object_name()
