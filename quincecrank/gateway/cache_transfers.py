"""Plans the transfers of KV cache: which prompt parts an engine fetches and saves.

Load pattern: long shared parts return after engines have evicted them.  Moving a
part over a link takes a tenth of the time of computing it again.  So the longest
prefix of a prompt that the holders have together is fetched, and each shared part is
saved once to a store that has capacity for it.

Terms
-----
managed store
    KV cache store that evicts nothing: its parts stay until gateways remove them.
"""

import dataclasses
from collections.abc import Sequence
from typing import Final

from quincecrank import ids, rendezvous
from quincecrank.gateway import cache_part_index, prompts

MAX_FILL_FRACTION: Final = 0.92
"""Fraction of a managed store that is filled; the rest is for concurrent saves."""

PENDING_SAVE_MS: Final = 3_000
"""Time for which a requested save counts as pending, until the store reports the
part."""

MIN_STORE_AGE_MS: Final = 5_000
"""Time after the start of a managed store before parts are saved there.  Other gateways
learn of a restart after an event call and a peer's call, which together take that long.
Until then they may fetch parts that the store held before the restart, and must not
read such a part while it is written again."""

MIN_SAVED_TOKENS: Final = 64
"""Smaller parts are computed faster than transferred."""

BITS_PER_BYTE: Final = 8

REMOTE_TRANSFER_RATIO: Final = 2.0
"""Ratio of the time of a transfer between data centres to one within a data centre."""


@dataclasses.dataclass(frozen=True, slots=True)
class Transfers:
    """The transfers planned for a prompt.

    Attributes
    ----------
    fetch_from, save_to : tuple of str or None
        Addresses by part of the prompt; None for a part without a source or that is
        not saved.  `fetch_from` also names sources of parts that the engine is assumed
        to hold; `save_to` is empty if nothing is saved.
    fetched_tokens : int
        Tokens that the engine fetches and so need not compute.
    expected_ms : float
        Estimated time of the fetch.
    """

    fetch_from: tuple[str | None, ...] = ()
    save_to: tuple[str | None, ...] = ()
    fetched_tokens: int = 0
    expected_ms: float = 0.0


NO_TRANSFERS: Final = Transfers()


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A live holder that an engine may fetch from.

    Attributes
    ----------
    link_mbps : float
        Bandwidth of the slower of the two links, holder's and engine's.
    delay_ms : float
        Time until the first byte.
    is_store : bool
        Whether it is a KV cache store, where parts may also be saved.
    capacity_tokens : int
        Tokens that it can hold.
    is_managed : bool
        Whether it is a managed store.
    weights_version : int or None
        Version of an engine's weights; only engines of one version exchange parts.
    tracked_for_ms : int
        Time since this gateway learned of a store's start; 0 for an engine.
    data_centre : DataCentre or None
        Data centre of the holder, if it is known.
    """

    holder: cache_part_index.HolderName
    address: str
    link_mbps: float
    delay_ms: float
    is_store: bool
    capacity_tokens: int
    is_managed: bool
    weights_version: int | None = None
    tracked_for_ms: int = 0
    data_centre: ids.DataCentre | None = None

    def transfer_ms(self, tokens: int, token_bytes: int) -> float:
        """Return the time to transfer the KV cache of `tokens`."""
        bits = tokens * token_bytes * BITS_PER_BYTE
        return self.delay_ms + bits / (self.link_mbps * 1_000)


class PendingSaves:
    """The saves that this gateway requested within the last `PENDING_SAVE_MS`."""

    def __init__(self) -> None:
        self._save_by_key: dict[
            cache_part_index.PartKey, tuple[cache_part_index.HolderName, int, int]
        ] = {}
        """Store, tokens and time of the request."""

    def record_save(
        self,
        key: cache_part_index.PartKey,
        holder: cache_part_index.HolderName,
        tokens: int,
        now_ms: int,
    ) -> None:
        """Record that a save of a part to a store was requested."""
        self._save_by_key[key] = (holder, tokens, now_ms)

    def is_pending(self, key: cache_part_index.PartKey, now_ms: int) -> bool:
        """Return whether a save of a part is pending."""
        save = self._save_by_key.get(key)
        return save is not None and now_ms - save[2] < PENDING_SAVE_MS

    def pending_tokens(self, holder: cache_part_index.HolderName, now_ms: int) -> int:
        """Return the tokens of all pending saves to a store."""
        self._save_by_key = {
            key: save
            for key, save in self._save_by_key.items()
            if now_ms - save[2] < PENDING_SAVE_MS
        }
        return sum(
            tokens for to, tokens, _ in self._save_by_key.values() if to == holder
        )


def plan_fetch(
    parts: Sequence[prompts.PromptPart],
    held_parts: int,
    salt: cache_part_index.CacheSalt,
    sources: Sequence[Source],
    cache_index: cache_part_index.CacheIndex,
    token_bytes: int,
    data_centre: ids.DataCentre | None = None,
) -> Transfers:
    """Return from where to fetch the parts of a prompt.

    The engine is assumed to hold the first `held_parts` parts but may have evicted
    them, so addresses are given for these as well; an engine does not fetch a part that
    it holds.  A part can be used only if all parts before it are there, so the fetch
    ends at the first part that neither the engine nor a source holds.  Stores are
    preferred to engines, which evict at any time.

    Parameters
    ----------
    data_centre : DataCentre or None
        Data centre of the engine; None if all transfers count as equally fast.
    """

    def transfer_ms(source: Source, tokens: int) -> float:
        is_remote = None not in (data_centre, source.data_centre) and (
            data_centre != source.data_centre
        )
        ratio = REMOTE_TRANSFER_RATIO if is_remote else 1.0
        return source.transfer_ms(tokens, token_bytes) * ratio

    addresses: list[str | None] = [None] * len(parts)
    fetched_tokens = 0
    expected_ms = 0.0
    for index, part in enumerate(parts):
        holders = [
            each for each in sources if cache_index.holds(each.holder, salt, part)
        ]
        if holders:
            nearest = min(
                holders,
                key=lambda each: (
                    not each.is_store,
                    transfer_ms(each, part.tokens),
                ),
            )
            addresses[index] = nearest.address
        if index < held_parts:
            continue
        if not holders:
            break
        fetched_tokens += part.tokens
        expected_ms += transfer_ms(nearest, part.tokens)
    return Transfers(tuple(addresses), (), fetched_tokens, expected_ms)


def plan_save(
    prompt: prompts.Prompt,
    salt: cache_part_index.CacheSalt,
    stores: Sequence[Source],
    cache_index: cache_part_index.CacheIndex,
    pending_saves: PendingSaves,
    now_ms: int,
) -> tuple[str | None, ...]:
    """Choose a store for each shared part that no store holds yet.

    Returns the addresses by part of the prompt; empty if nothing is saved.
    The first part of a prompt is shared by the most prompts, so it goes to the
    store with the fastest link; the others go to the store with the largest capacity.
    Records the saves in `pending_saves`.
    """
    addresses: list[str | None] = [None] * len(prompt.parts)
    for index, part in enumerate(prompt.shared_parts):
        key = cache_part_index.PartKey(salt, part.part_id)
        if part.tokens < MIN_SAVED_TOKENS or pending_saves.is_pending(key, now_ms):
            continue
        if any(cache_index.holds(each.holder, salt, part) for each in stores):
            continue
        store = _choose_store(part, index, stores, cache_index, pending_saves, now_ms)
        if store is None:
            continue
        addresses[index] = store.address
        pending_saves.record_save(key, store.holder, part.tokens, now_ms)
    return tuple(addresses) if any(addresses) else ()


def _choose_store(
    part: prompts.PromptPart,
    index: int,
    stores: Sequence[Source],
    cache_index: cache_part_index.CacheIndex,
    pending_saves: PendingSaves,
    now_ms: int,
) -> Source | None:
    """Return the store to save a part to; None if none has enough free space."""
    free_tokens_by_holder = {
        each.holder: _free_tokens(each, cache_index, pending_saves, now_ms)
        for each in stores
    }
    eligible = [
        each
        for each in stores
        if free_tokens_by_holder[each.holder] >= part.tokens
        and (not each.is_managed or each.tracked_for_ms >= MIN_STORE_AGE_MS)
    ]
    if not eligible:
        return None
    if index == 0:
        fastest = max(each.link_mbps for each in eligible)
        eligible = [each for each in eligible if each.link_mbps == fastest]
    else:
        largest = max(each.capacity_tokens for each in eligible)
        eligible = [each for each in eligible if each.capacity_tokens == largest]
    name = rendezvous.ranked(part.part_id, [each.holder for each in eligible], 1)[0]
    return next(each for each in eligible if each.holder == name)


def _free_tokens(
    store: Source,
    cache_index: cache_part_index.CacheIndex,
    pending_saves: PendingSaves,
    now_ms: int,
) -> float:
    if not store.is_managed:
        return store.capacity_tokens
    used = cache_index.tokens_held(store.holder)
    used += pending_saves.pending_tokens(store.holder, now_ms)
    return store.capacity_tokens * MAX_FILL_FRACTION - used
