"""Follows what engines and kept-cache stores keep, through their cache events.

A holder takes a few event calls at once from all callers together.  While there
are more gateways than that, the first ones in a ranking that all gateways agree on
ask the holder, and the others ask one of these.
"""

import asyncio
import collections
import dataclasses
import json
from collections.abc import Callable
from typing import Any, Final

from tornado import httpclient, simple_httpclient, web

from quincecrank import clock as clocks
from quincecrank import ids, rendezvous, tasks
from quincecrank.gateway import (
    cache_directory,
    decision_log,
    knowledge,
    peers,
    prompts,
)
from quincecrank.platform import engines

PAUSE_MS: Final = 300
"""Pause between calls, which bounds them to a few a second for each holder; events
are late by a third of it anyway."""

RETRY_MS: Final = 300
CHECK_MS: Final = 250
"""Interval at which followers are started and ended."""

RESERVED_CALLS: Final = 4
"""Event calls of a holder left free for gateways that rank the peers differently
for a moment, and for calls that ended at one side only."""

KEPT_EVENTS: Final = 4_000
"""Changes of a holder kept for peers; the holders keep as many."""

RELAY_TIMEOUT_S: Final = 2.5

_LOG: Final = decision_log.logger("cache-followers")


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """An engine or a store that is followed.

    Attributes
    ----------
    max_event_calls : int
        Event calls that it takes at once.
    """

    name: cache_directory.HolderName
    address: str
    max_event_calls: int


class HolderHistory:
    """Aggregate of the newest changes of one holder, as they are passed to peers."""

    def __init__(self) -> None:
        self.epoch = 0
        self.next_number = 0
        self.clock_ms = 0
        self.changed = asyncio.Event()
        self._changes: collections.deque[cache_directory.CacheChange] = (
            collections.deque(maxlen=KEPT_EVENTS)
        )

    def restart(self, epoch: int) -> None:
        """Begin anew with a holder that has nothing."""
        self.epoch = epoch
        self.next_number = 0
        self._changes.clear()
        self._notify()

    def append(self, changes: tuple[cache_directory.CacheChange, ...]) -> None:
        """Add changes."""
        self._changes.extend(changes)
        self.next_number += len(changes)
        if changes:
            self._notify()

    def since(self, number: int) -> engines.CacheEvents:
        """Return the changes from a number on."""
        first = self.next_number - len(self._changes)
        skipped = max(0, number - first)
        changes = tuple(self._changes)[skipped:]
        has_gap = number < first
        return engines.CacheEvents(
            self.epoch, self.next_number, has_gap, changes, self.clock_ms
        )

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class CacheFollowers:
    """Runs one task for each holder.

    Parameters
    ----------
    known : Knowledge
        Names the holders, and takes what they hold.
    directory : PeerTables
        The live gateways, among which the holders are shared.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        directory: peers.PeerTables,
        clock: clocks.Clock,
    ) -> None:
        self._known = known
        self._peers = directory
        self._clock = clock
        self._background = tasks.BackgroundTasks()
        self._task_by_holder: dict[Holder, asyncio.Task[None]] = {}
        self._history_by_holder: dict[cache_directory.HolderName, HolderHistory] = {}
        self._client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)

    async def run(self) -> None:
        """Start and end followers as holders come and go."""
        while True:
            present = set(self._holders())
            for holder in set(self._task_by_holder) - present:
                self._task_by_holder.pop(holder).cancel()
                self._lose(holder.name)
            for holder in present - set(self._task_by_holder):
                task = self._background.start(self._follow(holder))
                self._task_by_holder[holder] = task
            await self._clock.sleep(CHECK_MS)

    def history(self, name: str) -> HolderHistory | None:
        """Return the changes of a holder that this gateway asks itself."""
        history = self._history_by_holder.get(cache_directory.HolderName(name))
        return history if history and history.epoch else None

    def _holders(self) -> tuple[Holder, ...]:
        current = self._known.current
        if current is None:
            return ()
        stores = tuple(
            Holder(
                cache_directory.HolderName(store.name),
                store.address,
                store.max_event_calls,
            )
            for store in current.stores_by_name.values()
        )
        replicas = tuple(
            Holder(
                cache_directory.HolderName(entry.server_id),
                entry.address,
                service.engine.max_event_calls,
            )
            for service in current.services_by_name.values()
            if service.engine is not None
            for entry in self._known.registry.ready(service.name)
        )
        return stores + replicas

    async def _follow(self, holder: Holder) -> None:
        channel = engines.EventChannel(holder.address, self._clock)
        try:
            await self._follow_over(channel, holder)
        finally:
            channel.close()

    async def _follow_over(self, channel: engines.EventChannel, holder: Holder) -> None:
        history = HolderHistory()
        self._history_by_holder[holder.name] = history
        epoch = 0
        number = 0
        while True:
            try:
                events = await self._ask(channel, holder, epoch, number)
            except engines.EngineCallError as error:
                if epoch:
                    _LOG.warning("holder lost", holder=holder.name, error=str(error))
                self._lose(holder.name)
                epoch = number = 0
                await self._clock.sleep(RETRY_MS)
                continue
            if events.epoch != epoch or events.has_gap:
                # What is held is not known any more; later events build it up.
                _LOG.info(
                    "holder read anew",
                    holder=holder.name,
                    epoch=events.epoch,
                    gap=events.has_gap,
                )
                self._known.directory.restart(
                    holder.name, events.epoch, self._clock.now_ms()
                )
                history.restart(events.epoch)
            epoch, number = events.epoch, events.next_number
            if events.clock_ms:
                self._known.clock_offset_ms_by_holder[holder.name] = (
                    events.clock_ms - self._clock.now_ms()
                )
            self._known.directory.apply(holder.name, events.changes)
            history.clock_ms = events.clock_ms
            history.append(events.changes)
            await self._clock.sleep(PAUSE_MS)

    async def _ask(
        self, channel: engines.EventChannel, holder: Holder, epoch: int, number: int
    ) -> engines.CacheEvents:
        askers = self._askers(holder)
        if self._known.facts.vm in askers:
            return await channel.events(number)
        ip = self._peers.ip_of(askers[0]) if askers else None
        if ip is None:
            raise engines.EngineCallError("no peer follows the holder")
        return await self._ask_peer(ip, holder.name, epoch, number)

    def _askers(self, holder: Holder) -> tuple[ids.VmName, ...]:
        """Return the gateways that ask a holder themselves."""
        gateways = [self._known.facts.vm, *self._peers.live_members()]
        count = max(1, holder.max_event_calls - RESERVED_CALLS)
        return rendezvous.ranked(holder.name, gateways, count)

    async def _ask_peer(
        self, ip: str, name: str, epoch: int, number: int
    ) -> engines.CacheEvents:
        port = self._known.facts.peer_port
        request = httpclient.HTTPRequest(
            f"http://{ip}:{port}/cache/{name}?epoch={epoch}&since={number}",
            connect_timeout=RELAY_TIMEOUT_S,
            request_timeout=RELAY_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request)
            return decode_events(response.body)
        except (OSError, httpclient.HTTPError, ValueError, KeyError) as error:
            raise engines.EngineCallError(f"peer {ip}: {error!r}") from error

    def _lose(self, name: cache_directory.HolderName) -> None:
        self._known.directory.forget(name)
        history = self._history_by_holder.get(name)
        if history is not None:
            history.restart(0)


class CacheHandler(web.RequestHandler):
    """`GET /cache/HOLDER`: changes of a holder, for peers."""

    def initialize(self, find: Callable[[str], HolderHistory | None]) -> None:
        """Keep the reader of histories."""
        self._find = find

    async def get(self, name: str) -> None:
        """Answer with the changes from a number on, after a wait if there are none."""
        history = self._find(name)
        if history is None:
            self.set_status(404)
            return
        since = int(self.get_query_argument("since", "0"))
        if int(self.get_query_argument("epoch", "0")) != history.epoch:
            since = 0
        elif since >= history.next_number:
            try:
                timeout_s = engines.EVENTS_WAIT_MS / clocks.MS_PER_SECOND
                await asyncio.wait_for(history.changed.wait(), timeout_s)
            except TimeoutError:
                pass  # No change is an answer, too.
        self.finish(encode_events(history.since(since)))


def encode_events(events: engines.CacheEvents) -> bytes:
    """Return events as a document for peers."""
    document = {
        "epoch": events.epoch,
        "next": events.next_number,
        "gap": events.has_gap,
        "clock_ms": events.clock_ms,
        "changes": [
            [each.part.salt, each.part.part_id, each.tokens, each.is_removal]
            for each in events.changes
        ],
    }
    return json.dumps(document).encode()


def decode_events(document: bytes) -> engines.CacheEvents:
    """Return the events of a peer's document.

    Raises
    ------
    ValueError, KeyError
        If it has another form.
    """
    decoded: dict[str, Any] = json.loads(document)
    return engines.CacheEvents(
        epoch=int(decoded["epoch"]),
        next_number=int(decoded["next"]),
        has_gap=bool(decoded["gap"]),
        changes=tuple(
            cache_directory.CacheChange(
                cache_directory.PartKey(
                    cache_directory.CacheSalt(salt), prompts.PartId(part_id)
                ),
                int(tokens),
                bool(is_removal),
            )
            for salt, part_id, tokens, is_removal in decoded["changes"]
        ),
        clock_ms=int(decoded["clock_ms"]),
    )
