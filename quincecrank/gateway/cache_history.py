"""Cache changes of holders, as gateways pass them on to each other.

Terms
-----
holder
    An engine or a store that holds KV cache.
position
    The point in a holder's sequence of changes up to which a gateway has applied
    them: the holder's epoch and its own number of the next change.  It means the same
    at every gateway.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
from collections.abc import Iterable, Mapping
from typing import Any, Final

from tornado import web

from quincecrank import clock as clocks
from quincecrank import json_text
from quincecrank.gateway import cache_part_index, fleet_state, prompts
from quincecrank.platform import engines

MAX_RETAINED_CHANGES: Final = 256
"""Changes of a holder that are retained for peers: many times what it makes between
two calls.  A peer that is further behind gets the holder's complete content."""

_BAD_REQUEST: Final = 400
_UNAVAILABLE: Final = 503

PEER_WAIT_MS: Final = 500
"""Longest time that a peer's call waits for the first change."""


@dataclasses.dataclass(frozen=True, slots=True)
class HolderPosition:
    """Point up to which a holder's changes are applied; by default none are."""

    epoch: int = 0
    next_number: int = 0


class HolderHistory:
    """Aggregate of a holder's newest changes, one group for each answer of the holder.

    A peer at a position inside an answer gets the complete answer again.  Each change
    states what is cached after it, so applying changes twice in order is harmless.

    Parameters
    ----------
    position : HolderPosition
        Position of the holder at which the history starts.
    """

    def __init__(self, position: HolderPosition) -> None:
        self.position = position
        self._start = position
        self._answers: collections.deque[engines.CacheEvents] = collections.deque()
        self._retained_changes = 0

    def append(self, events: engines.CacheEvents) -> None:
        """Add the answer to an event call; restart after a gap or a new epoch."""
        has_restarted = events.has_gap or events.epoch != self.position.epoch
        self.position = HolderPosition(events.epoch, events.next_number)
        if has_restarted:
            self._answers.clear()
            self._retained_changes = 0
            self._start = self.position
            return
        if events.changes:
            self._answers.append(events)
            self._retained_changes += len(events.changes)
        while self._retained_changes > MAX_RETAINED_CHANGES:
            oldest = self._answers.popleft()
            self._retained_changes -= len(oldest.changes)
            self._start = HolderPosition(events.epoch, oldest.next_number)

    def changes_after(
        self, position: HolderPosition
    ) -> tuple[cache_part_index.CacheChange, ...] | None:
        """Return the changes after a position; None if they are not retained."""
        if (
            position.epoch != self._start.epoch
            or not self._start.next_number
            <= position.next_number
            <= self.position.next_number
        ):
            return None
        return tuple(
            change
            for answer in self._answers
            if answer.next_number > position.next_number
            for change in answer.changes
        )


class CacheHistories:
    """Histories of all holders that this gateway reads itself.

    Parameters
    ----------
    fleet : FleetState
        Provides the holders' content and clocks.
    """

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        self._fleet = fleet
        self._history_by_holder: dict[cache_part_index.HolderName, HolderHistory] = {}
        self._changed = asyncio.Event()

    def __len__(self) -> int:
        return len(self._history_by_holder)

    def start_holder(
        self, holder: cache_part_index.HolderName, position: HolderPosition
    ) -> None:
        """Start the history of a holder at a position."""
        self._history_by_holder[holder] = HolderHistory(position)

    def append(
        self, holder: cache_part_index.HolderName, events: engines.CacheEvents
    ) -> None:
        """Add an answer of a holder after it was applied to the cache index."""
        if holder not in self._history_by_holder:
            self.start_holder(holder, HolderPosition())
        self._history_by_holder[holder].append(events)
        if events.changes or events.has_gap:
            self._changed.set()
            self._changed = asyncio.Event()

    def drop(self, holder: cache_part_index.HolderName) -> None:
        """Remove a holder that does not answer or is no longer read."""
        self._history_by_holder.pop(holder, None)

    def updates_after(
        self, position_by_holder: Mapping[cache_part_index.HolderName, HolderPosition]
    ) -> "CacheUpdates":
        """Return the changes that a peer at these positions lacks."""
        unknown = tuple(
            holder
            for holder in position_by_holder
            if holder not in self._history_by_holder
        )
        events_by_holder = {}
        for holder, position in position_by_holder.items():
            history = self._history_by_holder.get(holder)
            if history is not None and history.position != position:
                events_by_holder[holder] = self._events(holder, history, position)
        return CacheUpdates(events_by_holder, unknown)

    async def wait_for_change(self) -> None:
        """Return after the next change of any holder, or after `PEER_WAIT_MS`."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._changed.wait(), PEER_WAIT_MS / clocks.MS_PER_SECOND
            )

    def _events(
        self,
        holder: cache_part_index.HolderName,
        history: HolderHistory,
        position: HolderPosition,
    ) -> engines.CacheEvents:
        """Return the changes after a position, or the holder's complete content."""
        changes = history.changes_after(position)
        has_gap = changes is None
        if changes is None:
            changes = self._fleet.cache_index.snapshot(holder)
        return engines.CacheEvents(
            history.position.epoch,
            history.position.next_number,
            has_gap,
            changes,
            self._fleet.holder_clock_ms(holder) or 0,
            is_full_listing=has_gap
            and self._fleet.cache_index.is_fully_tracked(holder),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CacheUpdates:
    """Cache changes of many holders that one gateway sends to another.

    Attributes
    ----------
    unknown : tuple of HolderName
        Requested holders that the sender does not read, or that do not answer the
        sender.
    """

    events_by_holder: Mapping[cache_part_index.HolderName, engines.CacheEvents]
    unknown: tuple[cache_part_index.HolderName, ...]


class CacheHandler(web.RequestHandler):
    """`POST /cache`: changes of many holders after the positions in the body."""

    def initialize(self, histories: CacheHistories) -> None:
        """Set the histories to answer from."""
        self._histories = histories

    async def post(self) -> None:
        """Answer with the changes that the peer lacks; wait first if there are none."""
        try:
            position_by_holder = decode_positions(self.request.body)
        except (ValueError, TypeError) as error:
            self.set_status(_BAD_REQUEST, str(error))
            return
        if not len(self._histories):
            self.set_status(_UNAVAILABLE, "reads no holders")
            return
        updates = self._histories.updates_after(position_by_holder)
        if not updates.events_by_holder and not updates.unknown:
            await self._histories.wait_for_change()
            updates = self._histories.updates_after(position_by_holder)
        self.finish(encode_updates(updates))


def encode_positions(
    position_by_holder: Mapping[cache_part_index.HolderName, HolderPosition],
) -> bytes:
    """Return positions as a document for a peer."""
    return json.dumps(
        [
            [holder, position.epoch, position.next_number]
            for holder, position in position_by_holder.items()
        ]
    ).encode()


def decode_positions(
    document: bytes,
) -> dict[cache_part_index.HolderName, HolderPosition]:
    """Return the positions of a peer's document.

    Raises
    ------
    ValueError, TypeError
        If it has another form.
    """
    return {
        cache_part_index.HolderName(str(holder)): HolderPosition(
            int(epoch), int(number)
        )
        for holder, epoch, number in json_text.parse(document)
    }


def encode_updates(updates: CacheUpdates) -> bytes:
    """Return updates as a document for a peer."""
    document = {
        "unknown": updates.unknown,
        "holders": [
            {
                "name": holder,
                "epoch": events.epoch,
                "next": events.next_number,
                "gap": events.has_gap,
                "whole": events.is_full_listing,
                "clock_ms": events.holder_clock_ms,
                "changes": [
                    [each.part_key.salt, each.part_key.part_id, each.tokens]
                    for each in events.changes
                ],
            }
            for holder, events in updates.events_by_holder.items()
        ],
    }
    return json.dumps(document).encode()


def decode_updates(document: bytes) -> CacheUpdates:
    """Return the updates of a peer's document.

    Raises
    ------
    ValueError, KeyError, TypeError
        If it has another form.
    """
    decoded: dict[str, Any] = json_text.parse(document)
    return CacheUpdates(
        {
            cache_part_index.HolderName(str(each["name"])): engines.CacheEvents(
                epoch=int(each["epoch"]),
                next_number=int(each["next"]),
                has_gap=bool(each["gap"]),
                changes=tuple(_changes(each["changes"])),
                holder_clock_ms=int(each["clock_ms"]),
                is_full_listing=bool(each.get("whole", False)),
            )
            for each in decoded["holders"]
        },
        tuple(cache_part_index.HolderName(str(each)) for each in decoded["unknown"]),
    )


def _changes(rows: Iterable[Any]) -> Iterable[cache_part_index.CacheChange]:
    for salt, part_id, tokens in rows:
        yield cache_part_index.CacheChange(
            cache_part_index.PartKey(
                cache_part_index.CacheSalt(salt), prompts.PartId(part_id)
            ),
            int(tokens),
        )
