"""In-memory fakes of the platform table and the object store.

Each has attributes that switch on the faults of the real one, and a log of its calls.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable

from quincecrank import configuration, ids, object_client, platform_table

_Key = tuple[platform_table.TableName, platform_table.RowKey]


@dataclasses.dataclass(frozen=True)
class TableCall:
    """One call to the table."""

    operation: str
    table: platform_table.TableName
    key: platform_table.RowKey


class FakeTable:
    """`PlatformTable` in memory.

    Attributes
    ----------
    down : bool
        Every call raises `TableUnavailableError`.
    silent : bool
        Calls are never answered and have no effect.
    reads_down : bool
        Every read raises `TableUnavailableError`.
    fail_next : int
        Number of next calls that raise `TableUnavailableError`.
    lose_next_answers : int
        Number of next writes that take effect and raise `OutcomeUnknownError`.
    lose_next_requests : int
        Number of next writes that have no effect and raise `OutcomeUnknownError`.
    delay_next : int
        Number of next writes that raise `OutcomeUnknownError` and take effect when
        `deliver_delayed` is called.
    calls : list of TableCall
        All calls in order.
    """

    def __init__(self) -> None:
        self.down = False
        self.silent = False
        self.reads_down = False
        self.fail_next = 0
        self.lose_next_answers = 0
        self.lose_next_requests = 0
        self.delay_next = 0
        self.calls: list[TableCall] = []
        self._rows_by_key: dict[_Key, platform_table.Row] = {}
        self._delayed: collections.deque[Callable[[], object]] = collections.deque()

    def restore_rows(self, keep: int) -> None:
        """Drop all rows but the first `keep`, as a restore from a snapshot does."""
        rows = tuple(self._rows_by_key.items())[:keep]
        self._rows_by_key = dict(rows)

    def deliver_delayed(self) -> None:
        """Apply the delayed writes whose conditions still hold."""
        while self._delayed:
            self._delayed.popleft()()

    async def read(
        self, table: platform_table.TableName, key: platform_table.RowKey
    ) -> platform_table.Row | None:
        await self._begin("read", table, key)
        self._fail_read()
        return self._rows_by_key.get((table, key))

    async def read_after(
        self, table: platform_table.TableName, partition: str, sort: int, limit: int
    ) -> tuple[platform_table.Row, ...]:
        key = platform_table.RowKey(partition, sort)
        await self._begin("read_after", table, key)
        self._fail_read()
        found = [
            row
            for (row_table, key), row in self._rows_by_key.items()
            if row_table is table and key.partition == partition and key.sort > sort
        ]
        return tuple(sorted(found, key=lambda row: row.key.sort)[:limit])

    async def insert(
        self,
        table: platform_table.TableName,
        key: platform_table.RowKey,
        body: str,
    ) -> platform_table.WriteAnswer:
        await self._begin("insert", table, key)
        return self._write(lambda: self._put(table, key, body, 0))

    async def replace(
        self,
        table: platform_table.TableName,
        key: platform_table.RowKey,
        body: str,
        expected_revision: int,
    ) -> platform_table.WriteAnswer:
        await self._begin("replace", table, key)
        return self._write(lambda: self._put(table, key, body, expected_revision))

    async def delete(
        self,
        table: platform_table.TableName,
        key: platform_table.RowKey,
        expected_revision: int,
    ) -> platform_table.WriteOutcome:
        await self._begin("delete", table, key)
        answer = self._write(lambda: self._remove(table, key, expected_revision))
        return answer.outcome

    async def _begin(
        self,
        operation: str,
        table: platform_table.TableName,
        key: platform_table.RowKey,
    ) -> None:
        await asyncio.sleep(0)
        self.calls.append(TableCall(operation, table, key))
        if self.silent:
            await asyncio.Event().wait()
        if self.fail_next:
            self.fail_next -= 1
            raise platform_table.TableUnavailableError("failed once")
        if self.down:
            raise platform_table.TableUnavailableError("down")

    def _fail_read(self) -> None:
        if self.reads_down:
            raise platform_table.TableUnavailableError("reads are down")

    def _write(
        self, effect: Callable[[], platform_table.WriteAnswer]
    ) -> platform_table.WriteAnswer:
        if self.delay_next:
            self.delay_next -= 1
            self._delayed.append(effect)
            raise platform_table.OutcomeUnknownError("delayed")
        if self.lose_next_requests:
            self.lose_next_requests -= 1
            raise platform_table.OutcomeUnknownError("lost before the effect")
        answer = effect()
        if self.lose_next_answers:
            self.lose_next_answers -= 1
            raise platform_table.OutcomeUnknownError("lost after the effect")
        return answer

    def _revision(
        self, table: platform_table.TableName, key: platform_table.RowKey
    ) -> int:
        row = self._rows_by_key.get((table, key))
        return 0 if row is None else row.revision

    def _put(
        self,
        table: platform_table.TableName,
        key: platform_table.RowKey,
        body: str,
        expected_revision: int,
    ) -> platform_table.WriteAnswer:
        if self._revision(table, key) != expected_revision:
            return platform_table.WriteAnswer(
                platform_table.WriteOutcome.CONFLICT, self._revision(table, key)
            )
        row = platform_table.Row(key, body, expected_revision + 1)
        self._rows_by_key[table, key] = row
        return platform_table.WriteAnswer(
            platform_table.WriteOutcome.APPLIED, row.revision
        )

    def _remove(
        self,
        table: platform_table.TableName,
        key: platform_table.RowKey,
        expected_revision: int,
    ) -> platform_table.WriteAnswer:
        if self._revision(table, key) != expected_revision:
            return platform_table.WriteAnswer(
                platform_table.WriteOutcome.CONFLICT, self._revision(table, key)
            )
        del self._rows_by_key[table, key]
        return platform_table.WriteAnswer(platform_table.WriteOutcome.APPLIED, 0)


async def insert_without_reading_back(
    table_client: platform_table.PlatformTable,
    table: platform_table.TableName,
    key: platform_table.RowKey,
    body: str,
) -> platform_table.Row:
    """Replace `insert_confirmed`; wrongly takes a lost answer for an insert."""
    try:
        answer = await table_client.insert(table, key, body)
    except platform_table.OutcomeUnknownError:
        return platform_table.Row(key, body, 1)
    if answer.outcome is platform_table.WriteOutcome.APPLIED:
        return platform_table.Row(key, body, answer.revision)
    row = await table_client.read(table, key)
    assert row is not None
    return row


class FakeObjectStore:
    """`ObjectStore` in memory.

    Attributes
    ----------
    down, full : bool
        Every call raises `ObjectStoreError`, or every write `StoreFullError`.
    truncate_next : int
        Number of next writes that store only half of the data.
    lose_next_answers : int
        Number of next writes that take effect and raise `ObjectStoreError`.
    calls : list of str
        Operation and object name of each call, in order.
    """

    def __init__(self, capacity_bytes: int = 1 << 30) -> None:
        self.down = False
        self.full = False
        self.truncate_next = 0
        self.lose_next_answers = 0
        self.calls: list[str] = []
        self.capacity_bytes = capacity_bytes
        self.incarnation = ids.Incarnation("fake-1")
        self._data_by_name: dict[ids.ObjectName, bytes] = {}
        self._tiers_by_name: dict[ids.ObjectName, configuration.TierKind] = {}

    def restart(self, incarnation: str) -> None:
        """Remove all objects, as the restart of a store VM does."""
        self.incarnation = ids.Incarnation(incarnation)
        self._data_by_name.clear()
        self._tiers_by_name.clear()

    async def put(
        self,
        name: ids.ObjectName,
        data: bytes,
        tier: configuration.TierKind | None = None,
    ) -> None:
        await self._begin("put", name)
        if name in self._data_by_name:
            raise object_client.ObjectExistsError(name)
        tier = tier or configuration.TierKind.MEMORY
        if self.full or self._used(tier) + len(data) > self.capacity_bytes:
            raise object_client.StoreFullError(name)
        if self.truncate_next:
            self.truncate_next -= 1
            data = data[: len(data) // 2]
        self._data_by_name[name] = data
        self._tiers_by_name[name] = tier
        if self.lose_next_answers:
            self.lose_next_answers -= 1
            raise object_client.ObjectStoreError("lost after the effect")

    async def get(self, name: ids.ObjectName) -> bytes:
        await self._begin("get", name)
        if name not in self._data_by_name:
            raise object_client.ObjectMissingError(name)
        return self._data_by_name[name]

    async def delete(self, name: ids.ObjectName) -> None:
        await self._begin("delete", name)
        self._data_by_name.pop(name, None)
        self._tiers_by_name.pop(name, None)

    async def list(self, prefix: str) -> tuple[ids.ObjectName, ...]:
        await self._begin("list", prefix)
        return _with_prefix(self._data_by_name, prefix)

    async def stats(self) -> object_client.StoreStats:
        await self._begin("stats", "")
        return object_client.StoreStats(
            incarnation=self.incarnation,
            memory_used=self._used(configuration.TierKind.MEMORY),
            memory_capacity=self.capacity_bytes,
            memory_link=0,
            disk_used=self._used(configuration.TierKind.DISK),
            disk_capacity=self.capacity_bytes,
            disk_link=0,
        )

    async def _begin(self, operation: str, name: str) -> None:
        await asyncio.sleep(0)
        self.calls.append(f"{operation} {name}")
        if self.down:
            raise object_client.ObjectStoreError("down")

    def _used(self, tier: configuration.TierKind) -> int:
        return sum(
            len(data)
            for name, data in self._data_by_name.items()
            if self._tiers_by_name[name] is tier
        )


def _with_prefix(
    names: Iterable[ids.ObjectName], prefix: str
) -> tuple[ids.ObjectName, ...]:
    return tuple(sorted(name for name in names if name.startswith(prefix)))
