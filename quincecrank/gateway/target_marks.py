"""Bounds the ages of target versions that were set just before all gateways ended.

Load pattern: all gateways are killed within milliseconds after an operator has set a
new target version, before any of them has stored its time, see `target_times`.  Without
an age its deadline would count as passed, and replicas with outdated weights would get
no requests until they have loaded the new ones.

So one gateway writes a mark a few times a second, with the store time before the write.
The versions of rows increase over all tables, so a target version whose row has a later
position than a mark was set after it.

Terms
-----
mark
    A row with a store time; its position is later than that time.
undated target
    A target version of the first full read, so without an age.
"""

import json
from collections.abc import Collection
from typing import Final

from quincecrank import checked_values, json_text, store_rows
from quincecrank import clock as clocks
from quincecrank.gateway import (
    decision_log,
    deployment,
    fleet_state,
    peers,
    store_clock,
    tables,
)

KEY_PREFIX: Final = "target-mark:"

MARK_MS: Final = 400
"""Interval of the marks; an age is recorded as that much longer at most."""

MARK_COUNT: Final = 2
"""Rows that are written in turn: a target version that was set just before the newest
mark, and had not reached its writer, is later than the one before."""

MAX_ERROR_LENGTH: Final = 200

TargetKey = tuple[deployment.ModelName, int]

_LOG: Final = decision_log.logger("target-marks")


def encode(era: int, store_ms: int) -> str:
    """Return the text of a mark."""
    return json.dumps({"era": era, "storeMs": store_ms})


def decode(text: str) -> tuple[int, int]:
    """Return the era and the store time of a mark.

    Raises
    ------
    ValueError
        If the text is malformed.
    """
    try:
        document = json_text.parse(text)
        era = checked_values.count(document["era"], store_rows.MAX_ERA)
        return era, checked_values.count(document["storeMs"])
    except (KeyError, TypeError) as error:
        raise ValueError(repr(error)) from error


class TargetMarks:
    """Writes marks, and records ages of undated targets by them.

    Parameters
    ----------
    peer_directory : PeerDirectory
        The live gateways; the one ranked first writes.

    Notes
    -----
    Invariant: a recorded age is never shorter than the time since the row of the target
    version was written.  `date_targets` is called before `write_if_due`, so no mark is
    replaced that an undated target needs.

    A writer may lack a target version that was set before its mark.  If it lacks it for
    longer than `MARK_COUNT` marks, and all gateways end, the age stays unknown.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        peer_directory: peers.PeerDirectory,
        store: tables.TableStore,
        clock_of_store: store_clock.StoreClock,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._peers = peer_directory
        self._store = store
        self._store_clock = clock_of_store
        self._clock = clock
        self._position_by_undated: dict[TargetKey, store_rows.Position] = {}
        self._due_ms = clock.now_ms()
        self._number = 0

    def add_undated(
        self,
        model: deployment.ModelName,
        version: int,
        position: store_rows.Position,
    ) -> None:
        """Add a target version of the first full read, with the position of its row."""
        self._position_by_undated[model, version] = position

    async def date_targets(self, era: int, stored: Collection[TargetKey]) -> None:
        """Record the longest ages of the undated targets, as far as marks show them.

        Parameters
        ----------
        stored : collection of TargetKey
            Target versions that a gateway has stored, with or without a time; their
            rows may have been written again since.

        Raises
        ------
        StoreUnavailableError
            If the store gave no valid answer; the next call tries again.
        """
        ages_ms = {
            (each.model, each.version): each.age_ms
            for each in self._fleet.target_versions.to_publish(self._clock.now_ms())
        }
        undated = {
            target: position
            for target, position in self._position_by_undated.items()
            if ages_ms.get(target) is None
            and target not in stored
            and position.era == era
        }
        considered = tuple(self._position_by_undated)
        if undated:
            rows = await self._store.read_all(tables.TableName.STREAMS)
            for (model, version), position in undated.items():
                self._date(model, version, position, rows.rows)
        for target in considered:
            del self._position_by_undated[target]

    def _date(
        self,
        model: deployment.ModelName,
        version: int,
        position: store_rows.Position,
        rows: tuple[store_rows.Row, ...],
    ) -> None:
        store_ms = max(
            (
                marked_ms
                for row in rows
                if row.position < position
                for marked_ms in _marked_ms(row, position.era)
            ),
            default=None,
        )
        if store_ms is None:
            return
        now_ms = self._clock.now_ms()
        age_ms = self._store_clock.longest_age_ms(store_ms, now_ms)
        if age_ms is not None:
            self._fleet.target_versions.record_target(model, version, now_ms, age_ms)
            _LOG.info("target dated", model=model, version=version, age_ms=age_ms)

    async def write_if_due(self, era: int) -> None:
        """Write the next mark if it is due and up to this gateway.

        Raises
        ------
        StoreUnavailableError
            If the store gave no valid answer.
        """
        now_ms = self._clock.now_ms()
        # Without a configuration the operator's rows have not been read yet.
        if now_ms < self._due_ms or self._fleet.configuration is None:
            return
        if self._peers.first_ranked(KEY_PREFIX, 1) != (self._peers.own_name,):
            return
        store_ms = self._store_clock.earliest_store_ms(now_ms)
        if store_ms is None:
            return
        self._due_ms = now_ms + MARK_MS
        self._number = (self._number + 1) % MARK_COUNT
        # Whichever write is done last, its time precedes its position.
        await self._store.write(
            tables.TableName.STREAMS,
            f"{KEY_PREFIX}{self._number}",
            encode(era, store_ms),
            None,
        )


def _marked_ms(row: store_rows.Row, era: int) -> tuple[int, ...]:
    """Return the store time of a mark of an era; nothing for other rows."""
    if row.is_removed or not row.key.startswith(KEY_PREFIX):
        return ()
    try:
        marked_era, store_ms = decode(row.text)
    except ValueError as error:
        _LOG.error(
            "invalid row ignored",
            table="streams",
            key=row.key[: checked_values.MAX_NAME_BYTES],
            error=str(error)[:MAX_ERROR_LENGTH],
        )
        return ()
    return (store_ms,) if marked_era == era else ()
