"""Follows the KV cache of engines and cache stores through their cache events.

Load pattern: every gateway needs the changes of every holder, and a holder accepts
only a few event calls at once from all callers together.  So a few gateways, which
all gateways choose alike, read the holders; each of the others asks one of these for
all holders in one call.  The number of calls in a fleet grows with its gateways plus
its holders, not with their product.

Terms
-----
holder
    An engine or a store that holds KV cache.
reader
    A gateway that reads the cache events of the holders itself.
complete
    Said of an engine of which this gateway knows all cached prompt parts, not only
    those that changed since it began to follow the engine; "fully tracked" in the
    cache index.
"""

import asyncio
import dataclasses
import random
from collections.abc import Mapping
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, rendezvous, tasks
from quincecrank.gateway import (
    cache_history,
    cache_listing,
    cache_part_index,
    decision_log,
    fleet_state,
    peer_calls,
    peers,
    servers,
)
from quincecrank.platform import engines

MIN_READERS: Final = 4
"""Fewest readers of the holders; three of them may fail at once."""

GATEWAYS_PER_READER: Final = 6
"""Number of live gateways per reader.  The changes of a large fleet's holders are some
60 kB/s before compression, and the smallest VMs have links of 600 kB/s."""

RESERVED_CALLS: Final = 4
"""Event calls of a holder left free for gateways that rank the peers differently
for a moment, and for calls that have ended at one side only."""

PAUSE_MS: Final = 300
"""Pause between calls, which bounds them to a few a second for each holder.  Events
of a holder are late by a third of this time anyway."""

RETRY_MS: Final = 300
"""Pause after a failed call."""

CHECK_MS: Final = 250
"""Interval at which followers are started and stopped."""

COMPLETE_REQUEST_INTERVAL_MS: Final = 1_000
"""Interval at which a gateway that is no reader asks a reader for the complete content
of incomplete engines."""

PEER_CALL_TIMEOUT_MS: Final = 1_000
"""Limit of a call to a peer: twice the time for which the peer waits for a change."""

READER_TIMEOUT_MS: Final = 2_500
"""Time without an answer from any reader after which holders count as unknown."""

_RANKING_KEY: Final = "cache-readers"

_LOG: Final = decision_log.logger("cache-followers")


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """An engine or a store that is followed.

    Attributes
    ----------
    max_event_calls : int
        Event calls that it accepts at once from all callers.
    is_engine : bool
        Whether it can be listed.  A store's list may or may not contain parts that
        are still being written, so stores are not listed.
    """

    name: cache_part_index.HolderName
    address: str
    max_event_calls: int
    is_engine: bool


class CacheFollowers:
    """Keeps the cache index current from the holders, or from a reader.

    Parameters
    ----------
    fleet : FleetState
        Lists the holders, and stores what they hold.
    peer_directory : PeerDirectory
        The live gateways.
    engine_calls : FleetEngineClient
        Lists the cached parts of engines.

    Attributes
    ----------
    histories : CacheHistories
        Recent changes of the holders that this gateway reads, for its peers.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        peer_directory: peers.PeerDirectory,
        engine_calls: engines.FleetEngineClient,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._peers = peer_directory
        self._engine_calls = engine_calls
        self._listing_planner = cache_listing.CacheListingPlanner(fleet.own_settings.vm)
        self._clock = clock
        self._background = tasks.BackgroundTasks()
        self._task_by_holder: dict[Holder, asyncio.Task[None]] = {}
        self._position_by_holder: dict[
            cache_part_index.HolderName, cache_history.HolderPosition
        ] = {}
        self._calls = peer_calls.PeerCalls(
            fleet.own_settings.peer_port, PEER_CALL_TIMEOUT_MS
        )
        self._last_answer_ms = clock.now_ms()
        self._complete_requested_ms = clock.now_ms()
        self._failed_peer: ids.VmName | None = None
        self.histories = cache_history.CacheHistories(fleet)

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the holders itself."""
        return self._reads(self._holders())

    @property
    def followed_count(self) -> int:
        """Number of holders that this gateway reads, on a connection each."""
        return len(self._task_by_holder)

    async def run(self) -> None:
        """Start and stop followers as holders come and go; never returns."""
        self._background.start(self._follow_reader())
        self._background.start(self._complete_engines())
        while True:
            present = self._holders()
            self._mark_others_unknown({holder.name for holder in present})
            to_follow = set(present) if self._reads(present) else set()
            for holder in set(self._task_by_holder) - to_follow:
                self._task_by_holder.pop(holder).cancel()
                self.histories.drop(holder.name)
            for holder in to_follow - set(self._task_by_holder):
                task = self._background.start(self._follow(holder))
                self._task_by_holder[holder] = task
            await self._clock.sleep(CHECK_MS)

    def _holders(self) -> tuple[Holder, ...]:
        current = self._fleet.configuration
        if current is None:
            return ()
        stores = tuple(
            Holder(
                cache_part_index.HolderName(store.name),
                store.address,
                store.max_event_calls,
                is_engine=False,
            )
            for store in current.stores_by_name.values()
        )
        replicas = tuple(
            Holder(
                cache_part_index.HolderName(entry.server_id),
                entry.address,
                service.engine.max_event_calls,
                is_engine=True,
            )
            for service in current.services_by_name.values()
            if service.engine is not None
            for entry in self._fleet.registry.ready_entries(service.name)
        )
        return stores + replicas

    def _readers(self, holders: tuple[Holder, ...]) -> tuple[ids.VmName, ...]:
        """Return the gateways that read the holders.

        There are at most as many as the smallest `max_event_calls` of the holders less
        `RESERVED_CALLS`, but at least one.
        """
        gateway_count = 1 + len(self._peers.live_members())
        fewest_calls = min((each.max_event_calls for each in holders), default=0)
        desired = max(MIN_READERS, gateway_count // GATEWAYS_PER_READER)
        count = max(1, min(desired, fewest_calls - RESERVED_CALLS))
        return self._peers.first_ranked(_RANKING_KEY, count)

    def _reads(self, holders: tuple[Holder, ...]) -> bool:
        return self._fleet.own_settings.vm in self._readers(holders)

    async def _follow(self, holder: Holder) -> None:
        """Read the events of a holder until the task is cancelled."""
        channel = engines.CacheEventReader(holder.address, self._clock)
        self.histories.start_holder(holder.name, self._position(holder.name))
        try:
            while True:
                position = self._position(holder.name)
                try:
                    events = await channel.events(position.next_number)
                except engines.EngineCallError as error:
                    self._mark_unknown(holder.name, str(error))
                    await self._clock.sleep(RETRY_MS)
                    continue
                if position.next_number and events.epoch != position.epoch:
                    # After a restart the holder numbers its changes from the start.
                    self._mark_unknown(holder.name, "restarted")
                    continue
                self._apply(holder.name, events)
                if events.is_leaving:
                    self._mark_leaving(holder.name)
                self.histories.append(holder.name, events)
                await self._clock.sleep(PAUSE_MS)
        finally:
            channel.close()

    def _mark_leaving(self, name: cache_part_index.HolderName) -> None:
        entry = self._fleet.registry.find(servers.ServerId(name))
        if entry is not None:
            self._fleet.mark_leaving(entry.incarnation, is_direct=True)

    async def _complete_engines(self) -> None:
        """Obtain the complete content of incomplete engines; never returns."""
        while True:
            await self._clock.sleep(cache_listing.STEP_MS)
            incomplete = {
                each.name: each
                for each in self._task_by_holder
                if each.is_engine
                and self._fleet.cache_index.is_tracked(each.name)
                and not self._fleet.cache_index.is_fully_tracked(each.name)
            }
            readers = self._readers(self._holders()) if incomplete else ()
            if incomplete and self._fleet.own_settings.vm not in readers:
                continue
            step = self._listing_planner.plan(incomplete, readers, self._clock.now_ms())
            if step.to_ask:
                await self._fetch_complete(step.to_ask, readers)
            for name in step.to_list:
                if not self._fleet.cache_index.is_fully_tracked(name):
                    await self._list(incomplete[name])

    async def _fetch_complete(
        self,
        incomplete: tuple[cache_part_index.HolderName, ...],
        readers: tuple[ids.VmName, ...],
    ) -> None:
        """Ask another reader for engines; apply their content if it is complete there.

        The reader is drawn at random.
        """
        others = [each for each in readers if each != self._fleet.own_settings.vm]
        start_by_holder = {name: cache_history.HolderPosition() for name in incomplete}
        updates = await self._request_updates(random.choice(others), start_by_holder)
        for name, events in updates.events_by_holder.items() if updates else ():
            if events.is_full_listing:
                self._apply_complete(name, events, "peer")

    async def _list(self, holder: Holder) -> None:
        try:
            held = await self._engine_calls.list_cached_parts(holder.address)
        except engines.EngineCallError as error:
            _LOG.warning("engine listing failed", holder=holder.name, error=str(error))
            return
        self._apply_complete(holder.name, held, "engine")

    def _apply_complete(
        self, name: cache_part_index.HolderName, held: engines.CacheEvents, origin: str
    ) -> None:
        """Apply the complete content of an engine.

        It replaces the engine's parts in the index, as every complete list is marked
        as a gap.  It is ignored if the engine has restarted meanwhile or is no longer
        read here.
        An event call in flight may repeat changes that the content includes already;
        applying them again in order gives the same result.
        """
        is_read = any(each.name == name for each in self._task_by_holder)
        if not is_read or self._fleet.cache_index.epoch_of(name) != held.epoch:
            return
        _LOG.info(
            "holder content complete",
            holder=name,
            parts=len(held.changes),
            origin=origin,
        )
        self._apply(name, held)
        self.histories.append(name, held)

    async def _follow_reader(self) -> None:
        """Ask a reader for changes of all holders while this gateway reads none.

        If no reader answers for `READER_TIMEOUT_MS`, all holders become unknown.
        """
        while True:
            holders = self._holders()
            if not holders or self._reads(holders):
                self._last_answer_ms = self._clock.now_ms()
                await self._clock.sleep(PAUSE_MS)
                continue
            reader = self._choose_reader(holders)
            positions = self._positions_to_ask(holders)
            updates = await self._request_updates(reader, positions) if reader else None
            self._failed_peer = reader if updates is None else None
            if updates is not None:
                self._last_answer_ms = self._clock.now_ms()
                self._apply_updates(updates)
                await self._clock.sleep(PAUSE_MS)
                continue
            if self._clock.now_ms() - self._last_answer_ms > READER_TIMEOUT_MS:
                for holder in holders:
                    self._mark_unknown(holder.name, "no reader answers")
            await self._clock.sleep(RETRY_MS)

    def _positions_to_ask(
        self, holders: tuple[Holder, ...]
    ) -> dict[cache_part_index.HolderName, cache_history.HolderPosition]:
        """Return the position of each holder after which changes are asked for.

        Incomplete engines are asked for from the start at intervals.  A reader may have
        listed one meanwhile, but does not report the listed parts to a gateway at the
        same position.
        """
        now_ms = self._clock.now_ms()
        asks_for_complete = (
            now_ms - self._complete_requested_ms >= COMPLETE_REQUEST_INTERVAL_MS
        )
        if asks_for_complete:
            self._complete_requested_ms = now_ms
        return {
            each.name: (
                cache_history.HolderPosition()
                if asks_for_complete
                and each.is_engine
                and not self._fleet.cache_index.is_fully_tracked(each.name)
                else self._position(each.name)
            )
            for each in holders
        }

    def _choose_reader(self, holders: tuple[Holder, ...]) -> ids.VmName | None:
        """Return the reader to ask; None if there is none.

        It stays the same until a call to it fails.
        """
        own = self._fleet.own_settings.vm
        readers = self._readers(holders)
        ranked = rendezvous.ranked(own, readers, len(readers))
        answering = [each for each in ranked if each != self._failed_peer]
        return next(iter(answering or ranked), None)

    async def _request_updates(
        self,
        reader: ids.VmName,
        position_by_holder: Mapping[
            cache_part_index.HolderName, cache_history.HolderPosition
        ],
    ) -> cache_history.CacheUpdates | None:
        """Return a reader's changes after the given positions; None if it fails."""
        ip = self._peers.ip_of(reader)
        if ip is None:
            return None
        body = cache_history.encode_positions(position_by_holder)
        try:
            document = await self._calls.post(ip, "/cache", body)
            return cache_history.decode_updates(document)
        except (
            peer_calls.PeerCallError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            _LOG.warning("reader gave no cache events", peer=reader, error=repr(error))
            return None

    def _apply_updates(self, updates: cache_history.CacheUpdates) -> None:
        for name in updates.unknown:
            self._mark_unknown(name, "unknown to the reader")
        for name, events in updates.events_by_holder.items():
            self._apply(name, events)

    def _apply(
        self, name: cache_part_index.HolderName, events: engines.CacheEvents
    ) -> None:
        position = self._position(name)
        if events.epoch != position.epoch or events.has_gap:
            # Changes are missing, so the index restarts with this answer's content.
            _LOG.info(
                "holder read anew", holder=name, epoch=events.epoch, gap=events.has_gap
            )
            now_ms = self._clock.now_ms()
            self._fleet.cache_index.reset(
                name, events.epoch, now_ms, is_fully_tracked=events.is_full_listing
            )
        if events.holder_clock_ms:
            offset_ms = events.holder_clock_ms - self._clock.now_ms()
            self._fleet.clock_offset_ms_by_holder[name] = offset_ms
        self._fleet.cache_index.apply(name, events.changes)
        self._position_by_holder[name] = cache_history.HolderPosition(
            events.epoch, events.next_number
        )

    def _position(
        self, name: cache_part_index.HolderName
    ) -> cache_history.HolderPosition:
        return self._position_by_holder.get(name, cache_history.HolderPosition())

    def _mark_unknown(self, name: cache_part_index.HolderName, reason: str) -> None:
        if self._position_by_holder.pop(name, None) is not None:
            _LOG.warning("holder content unknown", holder=name, reason=reason)
        self._fleet.cache_index.remove(name)
        self.histories.drop(name)

    def _mark_others_unknown(self, present: set[cache_part_index.HolderName]) -> None:
        for name in set(self._position_by_holder) - present:
            self._mark_unknown(name, "no longer a holder")
