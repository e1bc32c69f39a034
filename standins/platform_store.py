"""Stand-in of the platform's store: rows in tables, with a feed of their changes.

Rows are held in memory only.  Every transaction gets the next version number; a
removed row leaves a tombstone, which the feed reports.

Faults
------
down : "no", "silent", "refused"
    Requests are never answered ("silent") or answered at once by 503 ("refused");
    neither has an effect.
slow_ms : int
    Delay of every answer, before the effect; a feed call is delayed twice, before and
    after its wait.
lose_requests : float
    Probability that a write has no effect and its connection is closed.
lose_answers : float
    Probability that a write takes effect and its connection is closed.
reads_per_second, writes_per_second : int
    Rate limits; 0 is unlimited.  A transaction counts as one write.
forgets_history : bool
    The feed answers that the requested changes are no longer available (410).

Restore drill
-------------
``POST /copy`` takes a snapshot of all rows.  ``POST /restore`` replaces the rows by
those of that snapshot, or with `age_ms` by those of `age_ms` milliseconds ago.  After
a restore, version numbers are assigned a second time, and `Store-Era`, in all answers,
is one higher.  With `rewrite_ms` the operator's rows that the restore removed or
reverted are written again, each after a random delay of at most `rewrite_ms`.
"""

import asyncio
import collections
import enum
import json
import random
from typing import Any, Final

import fire
import pydantic
from tornado import web

from quincecrank import clock as clocks
from standins import serving, store_tables

READS_PER_SECOND: Final = 2000
WRITES_PER_SECOND: Final = 400

Document = dict[str, Any]


class Down(enum.Enum):
    """Kind of outage of the store."""

    NO = "no"
    SILENT = "silent"
    REFUSED = "refused"


class StoreFaults(serving.Faults):
    """Fault switches of the store."""

    down: Down = Down.NO
    slow_ms: int = pydantic.Field(default=0, ge=0)
    lose_requests: float = pydantic.Field(default=0.0, ge=0, le=1)
    lose_answers: float = pydantic.Field(default=0.0, ge=0, le=1)
    reads_per_second: int = pydantic.Field(default=READS_PER_SECOND, ge=0)
    writes_per_second: int = pydantic.Field(default=WRITES_PER_SECOND, ge=0)
    forgets_history: bool = False


class RateLimit:
    """Token bucket that holds the operations of one second."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._tokens: float | None = None
        self._refilled_at_ms = clock.now_ms()

    def admit(self, per_second: int) -> None:
        """Admit one operation.

        Raises
        ------
        store_tables.CallError
            429 if the limit is reached.
        """
        if per_second == 0:
            return
        now = self._clock.now_ms()
        refilled = (now - self._refilled_at_ms) * per_second / clocks.MS_PER_SECOND
        self._refilled_at_ms = now
        available = per_second if self._tokens is None else self._tokens + refilled
        self._tokens = min(float(per_second), available)
        if self._tokens < 1:
            raise store_tables.CallError(429)
        self._tokens -= 1


class StoreService:
    """The tables with their rate limits, faults, snapshots and era.

    Attributes
    ----------
    era : int
        Number of restores so far.
    changed : asyncio.Event
        Set, and replaced by a new event, at every transaction and restore.
    calls : collections.Counter
        Number of calls by kind.
    """

    def __init__(self, clock: clocks.Clock, seed: int = 0) -> None:
        self.faults = StoreFaults()
        self.clock = clock
        self.tables = store_tables.Tables()
        self.era = 0
        self.snapshot = store_tables.EMPTY_SNAPSHOT
        self._history = store_tables.SnapshotHistory()
        self.changed = asyncio.Event()
        self.calls: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._reads = RateLimit(clock)
        self._writes = RateLimit(clock)

    def draw_fault(self, probability: float) -> bool:
        """Return True with this probability: whether a fault occurs."""
        return self._random.random() < probability

    def transact(self, document: Document) -> Document:
        """Apply a transaction and wake waiting feed calls.

        Raises
        ------
        store_tables.CallError
            If the rate limit is reached or the transaction is refused.
        """
        self.calls["writes"] += 1
        self._writes.admit(self.faults.writes_per_second)
        answer = self.tables.transact(document)
        self._history.add(self.tables.snapshot(), self.clock.now_ms())
        self._wake_feed_calls()
        return answer

    def restore(self, age_ms: int | None, rewrite_ms: int) -> None:
        """Restore the last snapshot, or the state of `age_ms` milliseconds ago.

        Unless `rewrite_ms` is 0, rows of the operator that this removes or reverts are
        written again within that time.
        """
        now_ms = self.clock.now_ms()
        snapshot = (
            self.snapshot if age_ms is None else self._history.as_of(now_ms - age_ms)
        )
        undone = self.tables.restore(snapshot)
        self._history.reset(snapshot, now_ms)
        self.era += 1
        self._wake_feed_calls()
        if rewrite_ms:
            for row in undone:
                asyncio.ensure_future(self._rewrite(row, rewrite_ms))

    def _wake_feed_calls(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _rewrite(self, row: store_tables.StoredRow, within_ms: int) -> None:
        """Write a row of the operator again, unless another restore came first."""
        era = self.era
        await self.clock.sleep(self._random.uniform(0, within_ms))
        if self.era == era:
            table, part, key = row.address
            put = {"table": table, "part": part, "key": key, "value": row.value}
            self.transact({"put": [put]})

    def admit_read(self, name: str) -> None:
        """Count a read under `name` and apply the rate limit.

        Raises
        ------
        store_tables.CallError
            429 if the limit is reached.
        """
        self.calls[name] += 1
        self._reads.admit(self.faults.reads_per_second)


class StoreHandler(web.RequestHandler):
    """Base of the handlers of the store's calls."""

    def initialize(self, service: StoreService) -> None:
        """Receive the service from the routing rule."""
        self.service = service
        self.closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """Wake a call that waits, as its caller has disconnected."""
        self.closed.set()

    async def apply_faults(self) -> bool:
        """Apply outage and delay; return True if the call has been dealt with."""
        faults = self.service.faults
        if faults.down is Down.SILENT:
            await self.closed.wait()
            return True
        if faults.down is Down.REFUSED:
            self.send(503, {})
            return True
        if faults.slow_ms:
            await self.service.clock.sleep(faults.slow_ms)
        return False

    def send(self, status: int, document: Document) -> None:
        """Send a JSON answer with the store's time and era."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("Store-Era", str(self.service.era))
        self.finish(json.dumps({**document, "nowMs": self.service.clock.now_ms()}))


class TransactionHandler(StoreHandler):
    """`POST /rows-tx`."""

    async def post(self) -> None:
        """Apply a transaction."""
        if await self.apply_faults():
            return
        faults = self.service.faults
        if self.service.draw_fault(faults.lose_requests):
            serving.drop_connection(self)
            return
        try:
            answer = self.service.transact(json.loads(self.request.body))
        except store_tables.CallError as error:
            self.send(error.status, error.document)
            return
        except (KeyError, TypeError, ValueError):
            self.send(400, {})
            return
        if self.service.draw_fault(faults.lose_answers):
            serving.drop_connection(self)
            return
        self.send(200, answer)


class ReadHandlerBase(StoreHandler):
    """Base of the handlers that read."""

    async def begin_read(self, name: str) -> bool:
        """Count a call; return False if a fault or the rate limit ended it."""
        if await self.apply_faults():
            return False
        try:
            self.service.admit_read(name)
        except store_tables.CallError as error:
            self.send(error.status, error.document)
            return False
        return True


class ReadHandler(ReadHandlerBase):
    """`GET /rows-get`."""

    async def get(self) -> None:
        """Answer with the rows of a range of keys in one part."""
        if not await self.begin_read("full reads"):
            return
        limit = min(
            int(self.get_query_argument("limit", "500")), store_tables.MAX_PAGE_ROWS
        )
        # Keys may contain any character, so the arguments must not be stripped.
        first, end = (self._raw_argument(name) for name in ("from", "to"))
        self.send(
            200,
            self.service.tables.get(
                self._raw_argument("table"),
                self._raw_argument("part"),
                first,
                end,
                limit,
            ),
        )

    def _raw_argument(self, name: str) -> str:
        values = self.request.query_arguments.get(name, [b""])
        return values[-1].decode()


class FeedHandler(ReadHandlerBase):
    """`GET /rows-feed`."""

    async def get(self) -> None:
        """Answer with the rows changed after a version; wait for the first change.

        A version above the store's own, as after a restore, is answered by 410.
        """
        if not await self.begin_read("feed calls"):
            return
        if self.service.faults.forgets_history:
            self.send(410, {})
            return
        table = self.get_query_argument("table")
        after = int(self.get_query_argument("after"))
        era = self.service.era
        if after > self.service.tables.version:
            self.send(410, {})
            return
        deadline_ms = self.service.clock.now_ms() + int(
            self.get_query_argument("waitMs", "0")
        )
        while (
            era == self.service.era
            and not self.service.tables.changes(table, after)["rows"]
        ):
            left_ms = deadline_ms - self.service.clock.now_ms()
            if left_ms <= 0 or self.closed.is_set():
                break
            changed = asyncio.ensure_future(self.service.changed.wait())
            await asyncio.wait({changed}, timeout=left_ms / clocks.MS_PER_SECOND)
            changed.cancel()
        if self.closed.is_set() or await self.apply_faults():
            return
        if after > self.service.tables.version:
            self.send(410, {})
            return
        self.send(200, self.service.tables.changes(table, after))


class CallsHandler(StoreHandler):
    """`GET /calls`: the number of calls so far, by kind."""

    def get(self) -> None:
        """Answer with the counts."""
        self.send(200, dict(self.service.calls))


class CopyHandler(StoreHandler):
    """`POST /copy`."""

    def post(self) -> None:
        """Take a snapshot for a later restore."""
        self.service.snapshot = self.service.tables.snapshot()
        self.send(200, {"rowVersion": self.service.snapshot.version})


class RestoreHandler(StoreHandler):
    """`POST /restore`."""

    def post(self) -> None:
        """Restore the last snapshot, or the state of some time ago."""
        document = json.loads(self.request.body or b"{}")
        age_ms = document.get("age_ms")
        self.service.restore(age_ms, int(document.get("rewrite_ms", 0)))
        self.send(200, {"rowVersion": self.service.tables.version})


def make_application(service: StoreService) -> web.Application:
    """Return the HTTP application of a store."""
    return web.Application(
        [
            (r"/rows-tx", TransactionHandler, {"service": service}),
            (r"/rows-get", ReadHandler, {"service": service}),
            (r"/rows-feed", FeedHandler, {"service": service}),
            (r"/calls", CallsHandler, {"service": service}),
            (r"/copy", CopyHandler, {"service": service}),
            (r"/restore", RestoreHandler, {"service": service}),
            serving.faults_rule(service.faults),
        ]
    )


def main(port: int = 0, seed: int = 0) -> None:
    """Serve a store on `port`; `seed` determines its random faults."""
    serving.run(make_application(StoreService(clocks.SystemClock(), seed)), port)


if __name__ == "__main__":
    fire.Fire(main)
