"""Follows what engines and kept-cache stores keep, through their cache events.

Load pattern: every gateway wants the changes of every holder, and a holder takes a few
event calls at once from all callers together.  So a few gateways, on which all agree,
read the holders; each of the others asks one of these for all holders in one call.  The
calls of a fleet grow with its gateways plus its holders, not with their product.
"""

import asyncio
import dataclasses
import random
from collections.abc import Mapping
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, rendezvous, tasks
from quincecrank.gateway import (
    cache_completion,
    cache_directory,
    cache_history,
    decision_log,
    knowledge,
    peer_calls,
    peers,
    servers,
)
from quincecrank.platform import engines

MIN_READERS: Final = 4
"""Gateways that read the holders: three may be lost at once."""

GATEWAYS_PER_READER: Final = 6
"""Gateways for each reader: the changes of a large fleet's holders are some 60 kB/s
before compression, and the smallest machines have links of 600 kB/s."""

RESERVED_CALLS: Final = 4
"""Event calls of a holder left free for gateways that rank the peers differently
for a moment, and for calls that ended at one side only."""

PAUSE_MS: Final = 300
"""Pause between calls, which bounds them to a few a second for each holder; events
are late by a third of it anyway."""

RETRY_MS: Final = 300

CHECK_MS: Final = 250
"""Interval at which followers are started and ended."""

WHOLE_INTERVAL_MS: Final = 1_000
"""Interval at which everything is asked for of engines that are not known whole."""

PEER_TIMEOUT_MS: Final = 1_000
"""Limit of a call to a peer: the longest wait of its answer, and as much again."""

PEER_SILENCE_MS: Final = 2_500
"""Time without an answer of any reader after which holders count as unknown."""

_RANKING_KEY: Final = "cache-readers"

_LOG: Final = decision_log.logger("cache-followers")


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """An engine or a store that is followed.

    Attributes
    ----------
    max_event_calls : int
        Event calls that it takes at once.
    is_engine : bool
        Whether it can be listed: of a store's list it is not known whether it tells
        parts that are being written.
    """

    name: cache_directory.HolderName
    address: str
    max_event_calls: int
    is_engine: bool


class CacheFollowers:
    """Reads the holders, or asks a gateway that does.

    Parameters
    ----------
    known : Knowledge
        Names the holders, and takes what they hold.
    directory : PeerTables
        The live gateways.
    engine_calls : EngineCalls
        Lists engines.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        directory: peers.PeerTables,
        engine_calls: engines.EngineCalls,
        clock: clocks.Clock,
    ) -> None:
        self._known = known
        self._peers = directory
        self._engine_calls = engine_calls
        self._completion = cache_completion.CacheCompletion(known.facts.vm)
        self._clock = clock
        self._background = tasks.BackgroundTasks()
        self._task_by_holder: dict[Holder, asyncio.Task[None]] = {}
        self._position_by_holder: dict[
            cache_directory.HolderName, cache_history.Position
        ] = {}
        self._calls = peer_calls.PeerCalls(known.facts.peer_port, PEER_TIMEOUT_MS)
        self._answered_ms = clock.now_ms()
        self._asked_for_whole_ms = clock.now_ms()
        self._failed_peer: ids.VmName | None = None
        self.histories = cache_history.Histories(known)

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the holders itself."""
        return self._reads(self._holders())

    async def run(self) -> None:
        """Start and end followers as holders come and go."""
        self._background.start(self._ask_peers())
        self._background.start(self._complete())
        while True:
            present = self._holders()
            self._forget_all_but({holder.name for holder in present})
            wanted = set(present) if self._reads(present) else set()
            for holder in set(self._task_by_holder) - wanted:
                self._task_by_holder.pop(holder).cancel()
                self.histories.drop(holder.name)
            for holder in wanted - set(self._task_by_holder):
                task = self._background.start(self._follow(holder))
                self._task_by_holder[holder] = task
            await self._clock.sleep(CHECK_MS)

    def _holders(self) -> tuple[Holder, ...]:
        current = self._known.current
        if current is None:
            return ()
        stores = tuple(
            Holder(
                cache_directory.HolderName(store.name),
                store.address,
                store.max_event_calls,
                is_engine=False,
            )
            for store in current.stores_by_name.values()
        )
        replicas = tuple(
            Holder(
                cache_directory.HolderName(entry.server_id),
                entry.address,
                service.engine.max_event_calls,
                is_engine=True,
            )
            for service in current.services_by_name.values()
            if service.engine is not None
            for entry in self._known.registry.ready(service.name)
        )
        return stores + replicas

    def _readers(self, holders: tuple[Holder, ...]) -> tuple[ids.VmName, ...]:
        """Return the gateways that read the holders."""
        gateways = 1 + len(self._peers.live_members())
        fewest = min((each.max_event_calls for each in holders), default=0)
        wanted = max(MIN_READERS, gateways // GATEWAYS_PER_READER)
        count = max(1, min(wanted, fewest - RESERVED_CALLS))
        return self._peers.first_ranked(_RANKING_KEY, count)

    def _reads(self, holders: tuple[Holder, ...]) -> bool:
        return self._known.facts.vm in self._readers(holders)

    async def _follow(self, holder: Holder) -> None:
        """Read a holder until it leaves or this gateway is no reader any more."""
        channel = engines.EventChannel(holder.address, self._clock)
        self.histories.begin(holder.name, self._position(holder.name))
        try:
            while True:
                position = self._position(holder.name)
                try:
                    events = await channel.events(position.next_number)
                except engines.EngineCallError as error:
                    self._lose(holder.name, str(error))
                    await self._clock.sleep(RETRY_MS)
                    continue
                if position.next_number and events.epoch != position.epoch:
                    # It has started anew; the numbers of its changes, too.
                    self._lose(holder.name, "started anew")
                    continue
                self._take(holder.name, events)
                if events.is_leaving:
                    self._server_leaves(holder.name)
                self.histories.append(holder.name, events)
                await self._clock.sleep(PAUSE_MS)
        finally:
            channel.close()

    def _server_leaves(self, name: cache_directory.HolderName) -> None:
        entry = self._known.registry.find(servers.ServerId(name))
        if entry is not None:
            self._known.server_leaves(entry.incarnation, is_own=True)

    async def _complete(self) -> None:
        """Learn all that engines hold of which changes were lost."""
        while True:
            await self._clock.sleep(cache_completion.STEP_MS)
            lacking = {
                each.name: each
                for each in self._task_by_holder
                if each.is_engine
                and self._known.directory.is_known(each.name)
                and not self._known.directory.is_whole(each.name)
            }
            readers = self._readers(self._holders()) if lacking else ()
            if lacking and self._known.facts.vm not in readers:
                continue
            step = self._completion.plan(lacking, readers, self._clock.now_ms())
            if step.to_ask:
                await self._ask_for_whole(step.to_ask, readers)
            for name in step.to_list:
                if not self._known.directory.is_whole(name):
                    await self._list(lacking[name])

    async def _ask_for_whole(
        self,
        lacking: tuple[cache_directory.HolderName, ...],
        readers: tuple[ids.VmName, ...],
    ) -> None:
        """Take from another reader the engines that it knows whole."""
        others = [each for each in readers if each != self._known.facts.vm]
        unknown = {name: cache_history.Position() for name in lacking}
        news = await self._ask(random.choice(others), unknown)
        for name, events in news.events_by_holder.items() if news else ():
            if events.is_whole:
                self._take_whole(name, events, "peer")

    async def _list(self, holder: Holder) -> None:
        try:
            held = await self._engine_calls.list_held(holder.address)
        except engines.EngineCallError as error:
            _LOG.warning("engine not listed", holder=holder.name, error=str(error))
            return
        self._take_whole(holder.name, held, "engine")

    def _take_whole(
        self, name: cache_directory.HolderName, held: engines.CacheEvents, origin: str
    ) -> None:
        """Take all that an engine holds.

        Not if it has started anew meanwhile, or is not read here any more.  An event
        call that is under way repeats changes from before; taken in order they do no
        harm.
        """
        is_read = any(each.name == name for each in self._task_by_holder)
        if not is_read or self._known.directory.epoch_of(name) != held.epoch:
            return
        _LOG.info(
            "holder known whole", holder=name, parts=len(held.changes), origin=origin
        )
        self._take(name, held)
        self.histories.append(name, held)

    async def _ask_peers(self) -> None:
        """Ask a reader for all holders while this gateway reads none."""
        while True:
            holders = self._holders()
            if not holders or self._reads(holders):
                self._answered_ms = self._clock.now_ms()
                await self._clock.sleep(PAUSE_MS)
                continue
            reader = self._choose_reader(holders)
            positions = self._positions_to_ask(holders)
            news = await self._ask(reader, positions) if reader else None
            self._failed_peer = reader if news is None else None
            if news is not None:
                self._answered_ms = self._clock.now_ms()
                self._take_news(news)
                await self._clock.sleep(PAUSE_MS)
                continue
            if self._clock.now_ms() - self._answered_ms > PEER_SILENCE_MS:
                for holder in holders:
                    self._lose(holder.name, "no reader answers")
            await self._clock.sleep(RETRY_MS)

    def _positions_to_ask(
        self, holders: tuple[Holder, ...]
    ) -> dict[cache_directory.HolderName, cache_history.Position]:
        """Return from where on to ask for changes.

        Of engines that are not known whole everything is asked for now and then: a
        reader that has listed one meanwhile has no changes to tell.
        """
        now_ms = self._clock.now_ms()
        asks_for_whole = now_ms - self._asked_for_whole_ms >= WHOLE_INTERVAL_MS
        if asks_for_whole:
            self._asked_for_whole_ms = now_ms
        return {
            each.name: (
                cache_history.Position()
                if asks_for_whole
                and each.is_engine
                and not self._known.directory.is_whole(each.name)
                else self._position(each.name)
            )
            for each in holders
        }

    def _choose_reader(self, holders: tuple[Holder, ...]) -> ids.VmName | None:
        """Return the reader to ask: always the same one, until it fails."""
        own = self._known.facts.vm
        readers = self._readers(holders)
        ranked = rendezvous.ranked(own, readers, len(readers))
        answering = [each for each in ranked if each != self._failed_peer]
        return next(iter(answering or ranked), None)

    async def _ask(
        self,
        reader: ids.VmName,
        position_by_holder: Mapping[cache_directory.HolderName, cache_history.Position],
    ) -> cache_history.CacheNews | None:
        """Return what a reader knows beyond positions; None if it fails."""
        ip = self._peers.ip_of(reader)
        if ip is None:
            return None
        body = cache_history.encode_positions(position_by_holder)
        try:
            document = await self._calls.post(ip, "/cache", body)
            return cache_history.decode_news(document)
        except (
            peer_calls.PeerCallError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            _LOG.warning("reader gave no cache events", peer=reader, error=repr(error))
            return None

    def _take_news(self, news: cache_history.CacheNews) -> None:
        for name in news.unknown:
            self._lose(name, "not known to the reader")
        for name, events in news.events_by_holder.items():
            self._take(name, events)

    def _take(
        self, name: cache_directory.HolderName, events: engines.CacheEvents
    ) -> None:
        position = self._position(name)
        if events.epoch != position.epoch or events.has_gap:
            # What is held is not known any more, unless the answer tells it all.
            _LOG.info(
                "holder read anew", holder=name, epoch=events.epoch, gap=events.has_gap
            )
            now_ms = self._clock.now_ms()
            self._known.directory.restart(
                name, events.epoch, now_ms, is_whole=events.is_whole
            )
        if events.clock_ms:
            offset_ms = events.clock_ms - self._clock.now_ms()
            self._known.clock_offset_ms_by_holder[name] = offset_ms
        self._known.directory.apply(name, events.changes)
        self._position_by_holder[name] = cache_history.Position(
            events.epoch, events.next_number
        )

    def _position(self, name: cache_directory.HolderName) -> cache_history.Position:
        return self._position_by_holder.get(name, cache_history.Position())

    def _lose(self, name: cache_directory.HolderName, reason: str) -> None:
        if self._position_by_holder.pop(name, None) is not None:
            _LOG.warning("holder lost", holder=name, reason=reason)
        self._known.directory.forget(name)
        self.histories.drop(name)

    def _forget_all_but(self, present: set[cache_directory.HolderName]) -> None:
        for name in set(self._position_by_holder) - present:
            self._lose(name, "not a holder any more")
