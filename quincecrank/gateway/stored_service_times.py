"""Service times in the store, for gateways that start when no other one is left.

Load pattern: all gateways end at once under load.  Those that start know no service
times and have no peer that publishes any.  By their priors they accept requests that
can't be on time, and place them badly, until dozens of answers have arrived.

So one gateway writes the times to a row of the gateways' table, seldom, and all read it
with their first full read.  The row is advice: what a gateway has learned and what
live peers publish take precedence, and a row of an earlier era of the store is used.
"""

import json
import math
from collections.abc import Mapping
from typing import Any, Final

from quincecrank import checked_values, json_text, store_rows
from quincecrank import clock as clocks
from quincecrank.gateway import decision_log, peers, service_times, tables

ROW_KEY: Final = "service-times"

MIN_WRITE_INTERVAL_MS: Final = 5_000
"""Shortest time from one change of the row to the next, whichever gateway writes."""

MIN_CHANGE: Final = 0.1
"""Relative change of an estimate at which the row is written again."""

CHECK_MS: Final = 1_000
"""Interval of the checks whether the row must be written, and pause after a failure."""

MAX_SERVICES: Final = 64

MAX_ERROR_LENGTH: Final = 200

_REFERENCE_WORKS: Final = (
    service_times.Work(),
    service_times.Work(missing_tokens=10_000),
    service_times.Work(missing_tokens=1_000, backlog_tokens=20_000),
    service_times.Work(missing_tokens=1_000, running=32, transfer_ms=50.0),
)
"""Works whose estimates are compared.  Single coefficients vary more than any estimate
when the answers hardly depend on them."""

_LOG: Final = decision_log.logger("service-times")

TimesByService = Mapping[str, service_times.Times]


class RowError(Exception):
    """The text of the row is malformed."""


def encode(times_by_service: TimesByService) -> str:
    """Return the text of the row."""
    services = [
        {
            "service": service,
            "baseMs": round(times.base_ms, 3),
            "tokenMs": round(times.token_ms, 6),
            "backlogTokenMs": round(times.backlog_token_ms, 6),
            "runningMs": round(times.running_ms, 4),
            "transferRatio": round(times.transfer_ratio, 4),
            "spreadMs": round(times.spread_ms, 3),
            "answers": round(times.answers, 1),
        }
        for service, times in sorted(times_by_service.items())
    ]
    return json.dumps({"services": services})


def decode(text: str) -> dict[str, service_times.Times]:
    """Decode the row.

    Raises
    ------
    RowError
        If it is malformed.
    """
    try:
        services = json_text.parse(text)["services"]
        if len(services) > MAX_SERVICES:
            raise ValueError(f"{len(services)} services")
        return dict(map(_times, services))
    except (KeyError, TypeError, ValueError) as error:
        raise RowError(repr(error)) from error


def _times(document: dict[str, Any]) -> tuple[str, service_times.Times]:
    times = service_times.Times(
        base_ms=_number(document["baseMs"]),
        token_ms=_number(document["tokenMs"]),
        backlog_token_ms=_number(document["backlogTokenMs"]),
        running_ms=_number(document["runningMs"]),
        transfer_ratio=_number(document["transferRatio"]),
        spread_ms=_number(document["spreadMs"]),
        answers=_number(document["answers"]),
    )
    if times.base_ms > service_times.MAX_OBSERVED_MS:
        raise ValueError(f"no service takes {times.base_ms} ms")
    return checked_values.name(document["service"]), times


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("no number")
    if not 0 <= value < math.inf:
        raise ValueError(f"no service time can be {value}")
    return float(value)


def is_changed(stored: TimesByService, now: TimesByService) -> bool:
    """Return whether an estimate has changed by `MIN_CHANGE`, or a service is new.

    A service of which nothing is known now has not changed.
    """
    return any(
        service not in stored
        or any(
            abs(times.expected_ms(work) - stored[service].expected_ms(work))
            >= MIN_CHANGE * stored[service].expected_ms(work)
            for work in _REFERENCE_WORKS
        )
        for service, times in now.items()
    )


class StoredServiceTimes:
    """Writes the row, and records the times in it.

    Parameters
    ----------
    times : ServiceTimes
        Its times are written and completed.
    peer_directory : PeerDirectory
        The live gateways; the one ranked first writes.

    Notes
    -----
    Invariant: the row changes at most once in `MIN_WRITE_INTERVAL_MS`, as each gateway
    counts from the last change that it has seen and writes only over that.
    """

    def __init__(
        self,
        times: service_times.ServiceTimes,
        peer_directory: peers.PeerDirectory,
        store: tables.TableStore,
        clock: clocks.Clock,
    ) -> None:
        self._times = times
        self._peers = peer_directory
        self._store = store
        self._clock = clock
        self._position: store_rows.Position | None = None
        self._changed_ms = clock.now_ms()
        self._stored: dict[str, service_times.Times] = {}
        self.writes = 0

    async def run(self) -> None:
        """Write the row when it is due; never returns."""
        while True:
            await self._clock.sleep(CHECK_MS)
            try:
                await self.write_if_due()
            except store_rows.StoreUnavailableError as error:
                _LOG.warning("service times not stored", reason=str(error))

    def handle_full_read(self, era: int) -> None:
        """Forget the position: all rows are applied next, maybe of a restored store."""
        self._position = store_rows.Position(era, 0)
        self._stored = {}

    def apply_rows(self, rows: tuple[store_rows.Row, ...]) -> None:
        """Apply changed rows of the members table; other rows are ignored."""
        for row in rows:
            if row.key == ROW_KEY:
                self._apply_row(row)

    async def write_if_due(self) -> None:
        """Write the row if this gateway ranks first and the times have changed.

        Raises
        ------
        StoreUnavailableError
            If the store gave no valid answer.
        """
        position = self._position
        now_ms = self._clock.now_ms()
        if position is None or now_ms - self._changed_ms < MIN_WRITE_INTERVAL_MS:
            return
        known = self._times.to_store()
        if not is_changed(self._stored, known):
            return
        if self._peers.first_ranked(ROW_KEY, 1) != (self._peers.own_name,):
            return
        text = encode({**self._stored, **known})
        # Also a write without a valid answer may have changed the row.
        self._changed_ms = now_ms
        result = await self._store.write(
            tables.TableName.MEMBERS, ROW_KEY, text, position
        )
        if result.is_applied:
            self.writes += 1
            self._apply_row(store_rows.Row(ROW_KEY, text, result.position))
            _LOG.info("service times stored", services=len(known))
        else:
            is_removed = result.position.version == 0
            self._apply_row(
                store_rows.Row(ROW_KEY, result.text, result.position, is_removed)
            )

    def _apply_row(self, row: store_rows.Row) -> None:
        """Record the times of a row; a malformed or removed one is written again."""
        if self._position is not None and row.position < self._position:
            return
        if row.position != self._position:
            self._changed_ms = self._clock.now_ms()
        self._position = row.position
        self._stored = {}
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
        for service, times in self._stored.items():
            self._times.apply_stored_times(service, times)
