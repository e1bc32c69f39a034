"""Evacuated data centres: their backend servers get no new requests.

Invariant
    A gateway that has read an evacuation sends no request to a server of the data
    centre until it has read the end of the evacuation.  The order of positions in the
    store decides which of two rows is later, not the order of their arrival.

Load pattern: a third of the servers must be left within a second under full load, and
comes back all at once when the evacuation ends.

Terms
-----
evacuation
    An operator's request to send nothing more to the servers of a data centre.  It is a
    row of the operator's table, and ends with the removal of the row.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final

from quincecrank import ids, store_rows

RESTORED_RETENTION_MS: Final = 60_000
"""Time for which an evacuation stays in force that a restored store lacks.  Operators
notice the restore and write the row again within this time, or mean it to end."""

SERVED_FRACTION: Final = 0.5
"""Fraction of the time within which an evacuation must be in force for which a gateway
serves although a peer has newer rows of the operator's table."""


@dataclasses.dataclass(slots=True)
class _Evacuation:
    """The latest row of a data centre.

    Attributes
    ----------
    position : Position
        Position of the row or of its removal.
    ended_ms : int or None
        Time at which the end was read; None while the evacuation is in force.
    missing_since_ms : int or None
        Time of the first full read of a later era without the row.
    """

    position: store_rows.Position
    ended_ms: int | None = None
    missing_since_ms: int | None = None


class Evacuations:
    """The evacuations in force and those that have ended; performs no I/O."""

    def __init__(self) -> None:
        self._by_data_centre: dict[ids.DataCentre, _Evacuation] = {}
        self._in_force: frozenset[ids.DataCentre] = frozenset()
        self._behind: tuple[store_rows.Position, int] | None = None

    @property
    def in_force(self) -> frozenset[ids.DataCentre]:
        """The evacuated data centres."""
        return self._in_force

    def is_evacuated(self, data_centre: ids.DataCentre) -> bool:
        """Return whether servers of a data centre get no requests."""
        return data_centre in self._in_force

    def ended_ms(self, data_centre: ids.DataCentre) -> int | None:
        """Return when the last evacuation ended; None if none did or one is in force.

        It is the time at which this process read the end.
        """
        known = self._by_data_centre.get(data_centre)
        return None if known is None else known.ended_ms

    def apply_row(
        self,
        data_centre: ids.DataCentre,
        position: store_rows.Position,
        now_ms: int,
        *,
        is_removed: bool,
    ) -> bool:
        """Apply a row or its removal; return whether an evacuation began or ended.

        A row that is not later than the one known is ignored.
        """
        known = self._by_data_centre.get(data_centre)
        if known is not None and position <= known.position:
            if position == known.position:
                known.missing_since_ms = None
            return False
        was_in_force = self.is_evacuated(data_centre)
        ended_ms = None
        if is_removed:
            was_known = known is not None and not was_in_force
            ended_ms = known.ended_ms if known is not None and was_known else now_ms
        self._by_data_centre[data_centre] = _Evacuation(position, ended_ms)
        self._update()
        return was_in_force is is_removed

    def apply_full_read(
        self,
        position_by_data_centre: Mapping[ids.DataCentre, store_rows.Position],
        position: store_rows.Position,
        now_ms: int,
    ) -> tuple[ids.DataCentre, ...]:
        """Apply all rows of the table as of a position.

        Returns the data centres whose evacuation began or ended.
        """
        changed = [
            data_centre
            for data_centre, row_position in position_by_data_centre.items()
            if self.apply_row(data_centre, row_position, now_ms, is_removed=False)
        ]
        for data_centre in self._in_force - set(position_by_data_centre):
            known = self._by_data_centre[data_centre]
            if position.era > known.position.era:
                # The store was restored from a snapshot, which may be older.
                if known.missing_since_ms is None:
                    known.missing_since_ms = now_ms
            elif position > known.position:
                self.apply_row(data_centre, position, now_ms, is_removed=True)
                changed.append(data_centre)
        return tuple(changed)

    def end_missing(self, now_ms: int) -> tuple[ids.DataCentre, ...]:
        """End and return evacuations that a restored store has lacked for long."""
        ended = tuple(
            data_centre
            for data_centre in self._in_force
            if (since_ms := self._by_data_centre[data_centre].missing_since_ms)
            is not None
            and now_ms - since_ms >= RESTORED_RETENTION_MS
        )
        for data_centre in ended:
            known = self._by_data_centre[data_centre]
            known.ended_ms, known.missing_since_ms = now_ms, None
        self._update()
        return ended

    def record_currency(
        self,
        own: store_rows.Position | None,
        newest: store_rows.Position | None,
        now_ms: int,
    ) -> None:
        """Record the positions of the operator's table, here and at the peers.

        While the table changes often, each position that a peer has is reached soon,
        though the newest one is always ahead.

        Parameters
        ----------
        own : Position or None
            Position up to which this gateway has read the table.
        newest : Position or None
            Newest position of a change that a live peer has.
        """
        if newest is None or (own is not None and own >= newest):
            self._behind = None
        elif self._behind is None or (own is not None and own >= self._behind[0]):
            self._behind = newest, now_ms

    def may_serve(self, now_ms: int, apply_limit_ms: int | None) -> bool:
        """Return whether requests may be sent by the evacuations known here.

        Parameters
        ----------
        apply_limit_ms : int or None
            Time within which an evacuation must be in force at all gateways; None if
            there are none.
        """
        if apply_limit_ms is None or self._behind is None:
            return True
        _, since_ms = self._behind
        return now_ms - since_ms < apply_limit_ms * SERVED_FRACTION

    def _update(self) -> None:
        self._in_force = frozenset(
            data_centre
            for data_centre, known in self._by_data_centre.items()
            if known.ended_ms is None
        )
