"""Monitors an engine's cache events and announces the blocks to the directory.

Events arrive late and some are missing.  After a gap in their sequence the engine's
records in the directory are marked as doubtful; after a gap, after a restart of the
engine and at least every `SNAPSHOT_INTERVAL_MS` they are replaced by a snapshot of the
engine's keys.  A stale record costs time, never correctness.
"""

import asyncio
from typing import Final

from quincecrank import (
    block_keys,
    directory,
    directory_client,
    engine_client,
    engine_messages,
    ids,
    logs,
)
from quincecrank import clock as clocks

EVENT_WAIT_MS: Final = 1_000
"""Time for which the engine holds an event call open without events."""

RETRY_INTERVAL_MS: Final = 500
SNAPSHOT_INTERVAL_MS: Final = 30_000
"""Longest time between two snapshots."""

_LOG: Final = logs.logger("cache-watch")


class CacheMonitor:
    """Announces the cached blocks of one engine to the directory."""

    def __init__(
        self,
        engine: engine_client.EngineClient,
        server: ids.BackendServerName,
        announcer: directory_client.Announcer,
        clock: clocks.Clock,
    ) -> None:
        self._engine = engine
        self._server = server
        self._announcer = announcer
        self._clock = clock
        # No engine has an empty incarnation, so the first batch causes a snapshot.
        self._incarnation = ids.Incarnation("")
        self._sequence = 0
        self._snapshot_ms = 0

    async def watch(self) -> None:
        """Read the events until cancelled; retry after a failure of the engine."""
        while True:
            try:
                await self._monitor_once()
            except engine_messages.EngineError:
                await self._clock.sleep(RETRY_INTERVAL_MS)

    async def _monitor_once(self) -> None:
        batch = await self._engine.events(self._sequence, EVENT_WAIT_MS)
        age_ms = self._clock.now_ms() - self._snapshot_ms
        if batch.incarnation != self._incarnation or age_ms >= SNAPSHOT_INTERVAL_MS:
            await self._take_snapshot()
            return
        expected = self._sequence + 1
        for event in batch.events:
            if event.sequence != expected:
                _LOG.info("cache events missed", expected=expected, got=event.sequence)
                self._announcer.mark_doubtful(self._holder())
                await self._take_snapshot()
                return
            expected += 1
        if batch.events:
            self._sequence = batch.events[-1].sequence
            self._announce(batch.events)
        else:
            # Lets other tasks run even if the engine answers without waiting.
            await asyncio.sleep(0)

    async def _take_snapshot(self) -> None:
        snapshot = await self._engine.keys()
        self._incarnation = snapshot.incarnation
        self._sequence = snapshot.sequence
        self._snapshot_ms = self._clock.now_ms()
        announcements = self._announcements(snapshot.keys)
        self._announcer.announce_snapshot(self._holder(), announcements)

    def _announce(self, events: tuple[engine_messages.EngineEvent, ...]) -> None:
        kind_by_key = {event.key: event.kind for event in events}
        stored = engine_messages.CacheChange.STORED
        added = tuple(k for k, kind in kind_by_key.items() if kind is stored)
        removed = tuple(k for k, kind in kind_by_key.items() if kind is not stored)
        self._announcer.announce(self._announcements(added))
        self._announcer.withdraw(self._announcements(removed))

    def _announcements(
        self, names: tuple[ids.BlockKey, ...]
    ) -> tuple[directory.Announcement, ...]:
        keys_by_root: dict[ids.BlockKey, list[ids.BlockKey]] = {}
        for name in names:
            parts = block_keys.split_engine_name(name)
            if parts is not None:
                keys_by_root.setdefault(parts[0], []).append(parts[1])
        holder = self._holder()
        return tuple(
            directory.Announcement(root, tuple(keys), holder)
            for root, keys in keys_by_root.items()
        )

    def schedule_full_announcement(self) -> None:
        """Announce all blocks after the next read of events.

        Needed when the directory agents change, since roots move to other shards.
        """
        self._snapshot_ms = self._clock.now_ms() - SNAPSHOT_INTERVAL_MS

    def _holder(self) -> directory.EngineHolder:
        return directory.EngineHolder(self._server, self._incarnation)
