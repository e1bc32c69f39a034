"""Times of the target versions of model weights, kept in the store.

Load pattern: all gateways are killed shortly after an operator has set a new target
version.  Those that start read the version, but not when it was set.  If they took its
deadline as passed, replicas with outdated weights would get no requests until they have
loaded the new ones, and streams that only these replicas can continue would be lost.

So one gateway writes the times of the target versions to a row of the gateways' table,
on the store's clock.  A target version without a known time counts as set long ago,
unless `target_marks` bounds its age.

Terms
-----
store time
    Milliseconds on the store's clock, see `store_clock`.
"""

import dataclasses
import json
import random
from typing import Any, Final

from quincecrank import checked_values, json_text, store_rows
from quincecrank import clock as clocks
from quincecrank.gateway import (
    decision_log,
    deployment,
    fleet_state,
    peers,
    store_clock,
    tables,
    target_marks,
)

ROW_KEY: Final = "target-times"

CHECK_MS: Final = 100
"""Interval of the checks whether the row must be written."""

RETRY_MS: Final = 1_000
"""Pause after a failed write."""

FALLBACK_DELAY_MS: Final = 300
"""Shortest time after which a gateway writes the row that the gateway ranked first has
not written; at most twice that."""

MAX_ERROR_LENGTH: Final = 200

_LOG: Final = decision_log.logger("target-times")


class RowError(Exception):
    """The text of the row is malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTimes:
    """Content of the row.

    Attributes
    ----------
    era : int
        Era of the store's clock; times of another era are not comparable.
    store_ms_by_target : dict
        Store time of each target version, by model and version; None if it is not
        known, so that a later version's time does not stand for this one's.
    """

    era: int
    store_ms_by_target: dict[target_marks.TargetKey, int | None]


def encode(times: StoredTimes) -> str:
    """Return the text of the row."""
    targets = [
        {"model": model, "version": version, "storeMs": store_ms}
        for (model, version), store_ms in sorted(times.store_ms_by_target.items())
    ]
    return json.dumps({"era": times.era, "targets": targets})


def decode(text: str) -> StoredTimes:
    """Decode the row.

    Raises
    ------
    RowError
        If it is malformed.
    """
    try:
        document = json_text.parse(text)
        return StoredTimes(
            checked_values.count(document["era"], store_rows.MAX_ERA),
            dict(map(_target, document["targets"])),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RowError(repr(error)) from error


def _target(document: dict[str, Any]) -> tuple[target_marks.TargetKey, int | None]:
    model = deployment.ModelName(checked_values.name(document["model"]))
    version = checked_values.count(document["version"])
    store_ms = document["storeMs"]
    if store_ms is not None:
        checked_values.count(store_ms)
    return (model, version), store_ms


class TargetTimes:
    """Writes the row, and records the times in it.

    Parameters
    ----------
    fleet : FleetState
        Its `target_versions` are written and completed.
    peer_directory : PeerDirectory
        The live gateways; the one ranked first writes.
    clock_of_store : StoreClock
        Converts the times.
    marks : TargetMarks, optional
        Dates target versions without a stored time.

    Notes
    -----
    Invariant: a recorded age is never shorter than the time since the target version
    was received, as each conversion errs towards the longer age.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        peer_directory: peers.PeerDirectory,
        store: tables.TableStore,
        clock_of_store: store_clock.StoreClock,
        clock: clocks.Clock,
        marks: target_marks.TargetMarks | None = None,
    ) -> None:
        self._fleet = fleet
        self._peers = peer_directory
        self._store = store
        self._store_clock = clock_of_store
        self._clock = clock
        self._marks = marks
        self._position: store_rows.Position | None = None
        self._stored: StoredTimes | None = None
        self._due_ms: int | None = None

    async def run(self) -> None:
        """Write the row when it is due; never returns."""
        while True:
            await self._clock.sleep(CHECK_MS)
            try:
                await self.write_if_due()
            except store_rows.StoreUnavailableError as error:
                _LOG.warning("times of targets not stored", reason=str(error))
                await self._clock.sleep(RETRY_MS)

    def handle_full_read(self, era: int) -> None:
        """Forget the row: all rows are applied next, maybe of a restored store."""
        self._position = store_rows.Position(era, 0)
        self._stored = None

    def apply_rows(self, rows: tuple[store_rows.Row, ...]) -> None:
        """Apply changed rows of the members table; other rows are ignored."""
        for row in rows:
            if row.key == ROW_KEY:
                self._apply_row(row)

    async def write_if_due(self) -> None:
        """Write the row if it lacks a target version, or a time that is known here.

        Raises
        ------
        StoreUnavailableError
            If the store gave no valid answer.
        """
        position = self._position
        if position is None or not self._store_clock.is_known:
            return
        era = position.era
        self._record_times(era)
        if self._marks is not None:
            await self._marks.date_targets(era, self._stored_of_era(era).keys())
        wanted = self._times_to_write(era)
        if wanted is None:
            self._due_ms = None
            if self._marks is not None:
                await self._marks.write_if_due(era)
            return
        now_ms = self._clock.now_ms()
        is_first = self._peers.first_ranked(ROW_KEY, 1) == (self._peers.own_name,)
        if self._due_ms is None:
            delay_ms = random.uniform(FALLBACK_DELAY_MS, 2 * FALLBACK_DELAY_MS)
            self._due_ms = round(now_ms + delay_ms)
        if not is_first and now_ms < self._due_ms:
            return
        text = encode(wanted)
        result = await self._store.write(
            tables.TableName.MEMBERS, ROW_KEY, text, position
        )
        if result.is_applied:
            self._apply_row(store_rows.Row(ROW_KEY, text, result.position))
        else:
            # The change has not reached this gateway yet.
            is_removed = result.position.version == 0
            self._apply_row(
                store_rows.Row(ROW_KEY, result.text, result.position, is_removed)
            )

    def _times_to_write(self, era: int) -> StoredTimes | None:
        """Return the content that the row should have; None if it need not change."""
        now_ms = self._clock.now_ms()
        stored = self._stored_of_era(era)
        times: dict[target_marks.TargetKey, int | None] = {}
        is_due = False
        for target in self._fleet.target_versions.to_publish(now_ms):
            key = target.model, target.version
            times[key] = stored.get(key)
            if times[key] is None and target.age_ms is not None:
                times[key] = self._store_clock.earliest_store_ms(now_ms - target.age_ms)
            is_due |= key not in stored or times[key] != stored[key]
        return StoredTimes(era, times) if is_due else None

    def _stored_of_era(self, era: int) -> dict[target_marks.TargetKey, int | None]:
        if self._stored is None or self._stored.era != era:
            return {}
        return self._stored.store_ms_by_target

    def _apply_row(self, row: store_rows.Row) -> None:
        """Record the times of a row; a malformed or removed one is written again."""
        if self._position is not None and row.position < self._position:
            return
        self._position = row.position
        self._stored = None
        if row.is_removed:
            self._position = store_rows.Position(row.position.era, 0)
            return
        try:
            self._stored = decode(row.text)
        except RowError as error:
            _LOG.error(
                "invalid row ignored",
                table="members",
                key=row.key,
                error=str(error)[:MAX_ERROR_LENGTH],
            )
            return
        self._record_times(row.position.era)

    def _record_times(self, era: int) -> None:
        """Record the stored times of target versions whose age is not known here.

        The peers' reports keep known ages up to date.  Versions above the operator's
        are left out: only the operator sets target versions.
        """
        now_ms = self._clock.now_ms()
        versions = self._fleet.target_versions
        age_by_target = {
            (each.model, each.version): each.age_ms
            for each in versions.to_publish(now_ms)
        }
        for target, store_ms in self._stored_of_era(era).items():
            model, version = target
            if version > (versions.target_version(model) or 0):
                continue
            age_ms = None
            if store_ms is not None:
                age_ms = self._store_clock.longest_age_ms(store_ms, now_ms)
            is_missing = target not in age_by_target
            if is_missing or (age_by_target[target] is None and age_ms is not None):
                versions.record_target(model, version, now_ms, age_ms)
                _LOG.info(
                    "time of a target read", model=model, version=version, age_ms=age_ms
                )
