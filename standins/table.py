"""Stand-in of the platform's table service: a subset of DynamoDB's JSON protocol.

Each item has a partition key `pk` (S), a sort key `sk` (N), a revision `rev` (N)
and a text `body` (S).  Two conditions are understood, `attribute_not_exists(pk)`
and `rev = :expected`.  Items live in memory for as long as the process does.

Faults
------
down : "no", "silent", "refused"
    Requests are never answered, or refused at once with 503; neither has effect.
slow_ms : int
    Delay of every answer, before the effect.
lose_requests : float
    Probability that a write has no effect and its connection closes.
lose_answers : float
    Probability that a write takes effect and its connection closes.
reads_per_second, writes_per_second : int
    Rate limits; 0 is unlimited.  A transaction counts once for each of its writes.
"""

import asyncio
import bisect
import enum
import json
import random
from collections.abc import Sequence
from typing import Any, Final

import fire
import pydantic
from tornado import web

from quincecrank import clock as clocks
from standins import serving

TARGET_PREFIX: Final = "DynamoDB_20120810."
READS_PER_SECOND: Final = 2000
WRITES_PER_SECOND: Final = 400

Document = dict[str, Any]


class Down(enum.Enum):
    """How the service is out."""

    NO = "no"
    SILENT = "silent"
    REFUSED = "refused"


class TableFaults(serving.Faults):
    """Fault switches of the table service."""

    down: Down = Down.NO
    slow_ms: int = pydantic.Field(default=0, ge=0)
    lose_requests: float = pydantic.Field(default=0.0, ge=0, le=1)
    lose_answers: float = pydantic.Field(default=0.0, ge=0, le=1)
    reads_per_second: int = pydantic.Field(default=READS_PER_SECOND, ge=0)
    writes_per_second: int = pydantic.Field(default=WRITES_PER_SECOND, ge=0)


class ServiceError(Exception):
    """An error answer in the service's protocol."""

    def __init__(self, code: str, status: int = 400) -> None:
        super().__init__(code)
        self.code = code
        self.status = status


class ConditionFailedError(ServiceError):
    """A write's condition doesn't hold."""

    def __init__(self) -> None:
        super().__init__("ConditionalCheckFailedException")


class RateLimit:
    """Token bucket that holds one second's worth of operations."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._tokens: float | None = None
        self._at_ms = clock.now_ms()

    def take(self, count: int, per_second: int) -> None:
        """Take `count` operations or raise the service's throttling error."""
        if per_second == 0:
            return
        now = self._clock.now_ms()
        earned = (now - self._at_ms) * per_second / clocks.MS_PER_SECOND
        self._at_ms = now
        held = per_second if self._tokens is None else self._tokens + earned
        self._tokens = min(float(per_second), held)
        if self._tokens < count:
            raise ServiceError("ProvisionedThroughputExceededException")
        self._tokens -= count


class Partition:
    """Items of one partition key, ordered by sort key."""

    def __init__(self) -> None:
        self._items_by_sort: dict[int, Document] = {}
        self._sorts: list[int] = []

    def get(self, sort: int) -> Document | None:
        """Return the item or None."""
        return self._items_by_sort.get(sort)

    def put(self, sort: int, item: Document) -> None:
        """Insert or replace an item."""
        if sort not in self._items_by_sort:
            bisect.insort(self._sorts, sort)
        self._items_by_sort[sort] = item

    def delete(self, sort: int) -> None:
        """Remove an item if it exists."""
        if self._items_by_sort.pop(sort, None) is not None:
            self._sorts.remove(sort)

    def after(self, sort: int, limit: int) -> list[Document]:
        """Return up to `limit` items whose sort keys are above `sort`."""
        first = bisect.bisect_right(self._sorts, sort)
        return [self._items_by_sort[s] for s in self._sorts[first : first + limit]]


class Tables:
    """All tables of the service, with the operations on them."""

    def __init__(self) -> None:
        self._partitions_by_name: dict[tuple[str, str], Partition] = {}

    def _partition(self, table: str, pk: str) -> Partition:
        return self._partitions_by_name.setdefault((table, pk), Partition())

    def get_item(self, request: Document) -> Document:
        """Answer `GetItem`."""
        key = request["Key"]
        partition = self._partition(request["TableName"], key["pk"]["S"])
        item = partition.get(int(key["sk"]["N"]))
        return {} if item is None else {"Item": item}

    def query(self, request: Document) -> Document:
        """Answer `Query` for `pk = :pk AND sk > :sk`."""
        if request["KeyConditionExpression"] != "pk = :pk AND sk > :sk":
            raise ServiceError("ValidationException")
        values = request["ExpressionAttributeValues"]
        partition = self._partition(request["TableName"], values[":pk"]["S"])
        items = partition.after(int(values[":sk"]["N"]), request["Limit"])
        return {"Items": items, "Count": len(items)}

    def put_item(self, request: Document) -> Document:
        """Answer `PutItem`."""
        self.transact([{"Put": request}])
        return {}

    def delete_item(self, request: Document) -> Document:
        """Answer `DeleteItem`."""
        self.transact([{"Delete": request}])
        return {}

    def transact(self, writes: Sequence[Document]) -> None:
        """Apply all writes, or none when a condition fails."""
        for write in writes:
            self._check(write)
        for write in writes:
            self._apply(write)

    def _check(self, write: Document) -> None:
        request = write["Put"] if "Put" in write else write["Delete"]
        key = request["Item"] if "Put" in write else request["Key"]
        partition = self._partition(request["TableName"], key["pk"]["S"])
        item = partition.get(int(key["sk"]["N"]))
        match request.get("ConditionExpression", ""):
            case "":
                holds = True
            case "attribute_not_exists(pk)":
                holds = item is None
            case "rev = :expected":
                expected = request["ExpressionAttributeValues"][":expected"]
                holds = item is not None and item["rev"] == expected
            case _:
                raise ServiceError("ValidationException")
        if not holds:
            raise ConditionFailedError

    def _apply(self, write: Document) -> None:
        if "Put" in write:
            request = write["Put"]
            item = request["Item"]
            partition = self._partition(request["TableName"], item["pk"]["S"])
            partition.put(int(item["sk"]["N"]), item)
        else:
            request = write["Delete"]
            key = request["Key"]
            partition = self._partition(request["TableName"], key["pk"]["S"])
            partition.delete(int(key["sk"]["N"]))


class TableService:
    """The tables behind their rate limits and faults."""

    def __init__(self, clock: clocks.Clock, seed: int = 0) -> None:
        self.faults = TableFaults()
        self.clock = clock
        self._tables = Tables()
        self._random = random.Random(seed)
        self._reads = RateLimit(clock)
        self._writes = RateLimit(clock)

    def loses(self, probability: float) -> bool:
        """Draw whether a fault of this probability strikes."""
        return self._random.random() < probability

    def execute(self, operation: str, request: Document) -> Document:
        """Carry out one operation and return its answer."""
        match operation:
            case "GetItem":
                self._reads.take(1, self.faults.reads_per_second)
                return self._tables.get_item(request)
            case "Query":
                self._reads.take(1, self.faults.reads_per_second)
                return self._tables.query(request)
            case "PutItem":
                self._writes.take(1, self.faults.writes_per_second)
                return self._tables.put_item(request)
            case "DeleteItem":
                self._writes.take(1, self.faults.writes_per_second)
                return self._tables.delete_item(request)
            case "TransactWriteItems":
                return self._transact(request["TransactItems"])
            case _:
                raise ServiceError("UnknownOperationException")

    def _transact(self, writes: Sequence[Document]) -> Document:
        self._writes.take(len(writes), self.faults.writes_per_second)
        try:
            self._tables.transact(writes)
        except ConditionFailedError as error:
            raise ServiceError("TransactionCanceledException") from error
        return {}


class TableHandler(web.RequestHandler):
    """`POST /`: one operation."""

    def initialize(self, service: TableService) -> None:
        """Keep the service."""
        self._service = service
        self._closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """End a request that is never answered."""
        self._closed.set()

    async def post(self) -> None:
        """Execute the operation named by `X-Amz-Target`."""
        faults = self._service.faults
        target = self.request.headers.get("X-Amz-Target", "")
        operation = target.removeprefix(TARGET_PREFIX)
        if faults.down is Down.SILENT:
            await self._closed.wait()
            return
        if faults.down is Down.REFUSED:
            self._fail(ServiceError("ServiceUnavailable", 503))
            return
        if faults.slow_ms:
            await self._service.clock.sleep(faults.slow_ms)
        is_write = operation not in ("GetItem", "Query")
        if is_write and self._service.loses(faults.lose_requests):
            serving.drop_connection(self)
            return
        try:
            answer = self._service.execute(operation, json.loads(self.request.body))
        except ServiceError as error:
            self._fail(error)
            return
        except (KeyError, TypeError, ValueError):
            self._fail(ServiceError("ValidationException"))
            return
        if is_write and self._service.loses(faults.lose_answers):
            serving.drop_connection(self)
            return
        self._send(200, answer)

    def _fail(self, error: ServiceError) -> None:
        self._send(
            error.status, {"__type": f"com.amazonaws.dynamodb.v20120810#{error.code}"}
        )

    def _send(self, status: int, answer: Document) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/x-amz-json-1.0")
        self.finish(json.dumps(answer))


def make_application(service: TableService) -> web.Application:
    """Return the HTTP application of a table service."""
    return web.Application(
        [
            (r"/", TableHandler, {"service": service}),
            serving.faults_rule(service.faults),
        ]
    )


def main(port: int = 0, seed: int = 0) -> None:
    """Serve the table service on `port`; `seed` drives its random faults."""
    serving.run(make_application(TableService(clocks.SystemClock(), seed)), port)


if __name__ == "__main__":
    fire.Fire(main)
