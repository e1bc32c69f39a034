"""Decides how changes of a table get from the gateways that read them to all others.

Invariants
    A change is applied only to rows that hold all earlier significant changes of its
    era; until then it waits, and the missing ones are repeated or fetched.  A gateway
    is sent what it lacks until it reports that it has it, by some gateway that has it,
    whichever one read it from the store.

Load pattern: a reader has a change first and may end, be suspended or be slow at that
moment.  Hundreds of gateways lack it then, some with a late event loop, for which a
datagram costs one iteration and a call to a peer several times as much.  One change of
a large configuration is small; a large change has to be fetched, from ever more peers.

Cost by fleet size
    A reader sends a change once to each of n peers: n datagrams, as many as a report of
    its own.  In each interval of reports, a gateway that lacks it is sent it by
    `SENDERS_PER_PEER` peers on average, however many there are.  A change whose
    datagrams to all peers come to more than `MAX_PUSHED_BYTES` is not sent but fetched:
    at most `FETCHES_PER_SOURCE` gateways on average ask each peer that has it in
    `FETCH_INTERVAL_MS`, so that the number of those that have it grows by that factor,
    and n gateways have it after log(n) intervals.  Those that stay behind read the
    store, `STORE_READS` in an interval.

Terms
-----
change
    Significant rows that a reader got in one answer of the store.
push
    Datagram that sends a change to a peer.
"""

import collections
import dataclasses
import random
from collections.abc import Mapping
from typing import Final

from quincecrank import store_rows, text_delta
from quincecrank.gateway import tables

MAX_CHANGE_BYTES: Final = 16 * 1024
"""Longest push: a tenth of the buffer in which datagrams wait for a late process."""

MAX_PUSHED_BYTES: Final = 1024 * 1024
"""Most bytes of one change that a gateway sends to all peers: the slowest links carry
1.2 MB a second."""

MAX_WHOLE_CHARACTERS: Final = 1_000
"""Longest text that is sent whole: more than the entry of a backend server has."""

MAX_RECENT_CHANGES: Final = 32
"""Changes that are kept to be repeated; who lacks more of them fetches all rows."""

MAX_WAITING_CHANGES: Final = 8
"""Changes that wait for an earlier one."""

REPEAT_DELAY_MS: Final = 400
"""Time after a change before it is repeated: an interval of reports and its way."""

SENDERS_PER_PEER: Final = 2.0
"""Gateways that repeat changes to a peer in an interval of reports, on average."""

MAX_REPEATED_PEERS: Final = 64
"""Peers to which one gateway repeats changes in an interval of reports."""

STORE_READS: Final = 64.0
"""Gateways that read the store in `FETCH_INTERVAL_MS` because they are behind their
peers, on average."""

FETCH_DELAY_MS: Final = 250
"""Time for which a gateway is behind its peers before it fetches their rows: pushes
arrive with the report that shows it to be behind."""

FETCH_INTERVAL_MS: Final = 100
"""Interval at which a gateway that is behind may fetch rows."""

FETCHES_PER_SOURCE: Final = 8.0
"""Gateways that fetch rows from a peer in an interval, on average."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangedRow:
    """A row of a change.

    Attributes
    ----------
    position : Position
        Transaction that wrote or removed the row.
    base : Position or None
        Position of the earlier row to which `content` is a difference; None if there is
        no earlier row, so that it is one from the empty text.
    content : bytes
        Difference, see `text_delta`.
    """

    key: str
    position: store_rows.Position
    is_removed: bool
    base: store_rows.Position | None
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Significant rows between two positions of a table, of one era.

    Attributes
    ----------
    previous : Position
        The rows hold all significant changes after this position.
    position : Position
        Position up to which the rows hold all significant changes.
    """

    table: tables.TableName
    previous: store_rows.Position
    position: store_rows.Position
    rows: tuple[ChangedRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AgedChange:
    """A change, and when the first gateway had it as far as is known here.

    Attributes
    ----------
    source : str
        Address of the peer that sent it; empty if it was read from the store.
    unread_ms : int
        Longest time for which the change may have waited here unread.
    """

    change: Change
    known_ms: int
    source: str = ""
    unread_ms: int = 0


def encode_row(row: store_rows.Row, base: store_rows.Row | None) -> ChangedRow:
    """Return a row as its difference from the earlier one.

    Short rows are sent whole: the receiver may hold an earlier one than `base`, whose
    change was not significant.
    """
    if base is not None and len(row.text) <= MAX_WHOLE_CHARACTERS:
        base = None
    before = "" if base is None else base.text
    return ChangedRow(
        row.key,
        row.position,
        row.is_removed,
        None if base is None else base.position,
        b"" if row.is_removed else text_delta.encode(before, row.text),
    )


def decode_row(changed: ChangedRow, base: store_rows.Row | None) -> store_rows.Row:
    """Return the row that a difference stands for.

    Raises
    ------
    ValueError
        If `base` is not the row that the difference refers to.
    """
    if changed.is_removed:
        return store_rows.Row(changed.key, "", changed.position, is_removed=True)
    if changed.base is None:
        before = ""
    elif base is None or base.position != changed.base:
        raise ValueError("the earlier row is not the one that the change refers to")
    else:
        before = base.text
    text = text_delta.decode(before, changed.content)
    return store_rows.Row(changed.key, text, changed.position)


class ChangeDelivery:
    """Decisions about the changes of one table; performs no I/O.

    Parameters
    ----------
    generator : Random
        Draws the peers to which changes are repeated, and when rows are fetched.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._recent: collections.deque[AgedChange] = collections.deque(
            maxlen=MAX_RECENT_CHANGES
        )
        self._waiting_by_position: dict[store_rows.Position, AgedChange] = {}
        self._recorded_ms = 0

    def record(self, aged: AgedChange, now_ms: int) -> None:
        """Record a change that this gateway has applied."""
        self._recent.append(aged)
        self._recorded_ms = now_ms

    def forget(self) -> None:
        """Forget all changes: the rows were replaced by a full read."""
        self._recent.clear()

    def add_waiting(self, aged: AgedChange) -> None:
        """Keep a change that needs an earlier one."""
        self._waiting_by_position[aged.change.position] = aged
        if len(self._waiting_by_position) > MAX_WAITING_CHANGES:
            del self._waiting_by_position[max(self._waiting_by_position)]

    def take_applicable(self, position: store_rows.Position) -> AgedChange | None:
        """Remove and return a waiting change that applies to rows at a position.

        Changes that these rows already hold are dropped.
        """
        for waiting in sorted(self._waiting_by_position):
            aged = self._waiting_by_position[waiting]
            if waiting <= position or waiting.era != position.era:
                del self._waiting_by_position[waiting]
            elif aged.change.previous <= position:
                return self._waiting_by_position.pop(waiting)
        return None

    def may_push(self, size_bytes: int, peers: int) -> bool:
        """Return whether a change is sent to all peers."""
        return size_bytes <= MAX_CHANGE_BYTES and size_bytes * peers <= MAX_PUSHED_BYTES

    def repeats(
        self,
        own: store_rows.Position,
        position_by_peer: Mapping[str, store_rows.Position | None],
        now_ms: int,
    ) -> dict[str, tuple[AgedChange, ...]]:
        """Return the changes to send again in this interval, by peer.

        Parameters
        ----------
        own : Position
            Position of this gateway's last significant change.
        position_by_peer : mapping
            The same of each live peer, as far as it has any rows.
        """
        if not self._recent or now_ms - self._recorded_ms < REPEAT_DELAY_MS:
            return {}
        behind = [
            peer
            for peer, position in position_by_peer.items()
            if position is not None and position.era == own.era and position < own
        ]
        up_to_date = 1 + len(position_by_peer) - len(behind)
        probability = min(1.0, SENDERS_PER_PEER / up_to_date)
        drawn = [peer for peer in behind if self._generator.random() < probability]
        if len(drawn) > MAX_REPEATED_PEERS:
            drawn = self._generator.sample(drawn, MAX_REPEATED_PEERS)
        missing_by_peer = {}
        for peer in drawn:
            position = position_by_peer[peer]
            assert position is not None
            missing_by_peer[peer] = self._changes_after(position)
        return {peer: missing for peer, missing in missing_by_peer.items() if missing}

    def may_fetch(
        self,
        behind_ms: int,
        newest: store_rows.Position,
        position_by_peer: Mapping[str, store_rows.Position | None],
    ) -> bool:
        """Return whether to fetch the rows of a peer in this interval.

        Parameters
        ----------
        behind_ms : int
            Time for which this gateway has been behind its peers.
        newest : Position
            Newest position of a live peer.
        """
        if behind_ms < FETCH_DELAY_MS:
            return False
        sources = sum(each == newest for each in position_by_peer.values())
        others = 1 + len(position_by_peer) - sources
        return self._generator.random() < FETCHES_PER_SOURCE * sources / others

    def may_read_store(self, gateways: int) -> bool:
        """Return whether a gateway that stays behind its peers reads the store now."""
        return self._generator.random() < STORE_READS / gateways

    def _changes_after(self, position: store_rows.Position) -> tuple[AgedChange, ...]:
        """Return the changes that rows at a position lack, none unless all are kept."""
        missing = [each for each in self._recent if each.change.position > position]
        if not missing or missing[0].change.previous > position:
            return ()
        return tuple(missing)
