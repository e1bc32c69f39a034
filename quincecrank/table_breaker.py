"""Circuit breaker in front of the platform's table.

While the table is unavailable, a call that waited for its timeout would only delay its
caller.  After `FAILURES_TO_OPEN` consecutive failures the breaker opens: calls fail
immediately and certainly had no effect.  One call at a time is let through as a
probe, after a delay that doubles with each failed probe up to a limit.  The first
success closes the breaker.
"""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from quincecrank import clock as clocks
from quincecrank import platform_table

FAILURES_TO_OPEN: Final = 3
MIN_PROBE_DELAY_MS: Final = 200
MAX_PROBE_DELAY_MS: Final = 2000

Answer = TypeVar("Answer")


class BreakerTable:
    """`PlatformTable` that forwards calls to another one while that is available.

    Parameters
    ----------
    table : PlatformTable
        Client of the table.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, table: platform_table.PlatformTable, clock: clocks.Clock
    ) -> None:
        self._table = table
        self._clock = clock
        self._failures = 0
        self._delay_ms = MIN_PROBE_DELAY_MS
        self._probe_at_ms = 0
        self._has_probe = False

    @property
    def is_open(self) -> bool:
        """Whether calls fail immediately, except probes."""
        return self._failures >= FAILURES_TO_OPEN

    @property
    def retry_after_ms(self) -> int:
        """Time until a caller should retry, in milliseconds; 0 while closed."""
        if not self.is_open:
            return 0
        return max(self._probe_at_ms - self._clock.now_ms(), MIN_PROBE_DELAY_MS)

    async def read(
        self, table: platform_table.TableName, key: platform_table.RowKey
    ) -> platform_table.Row | None:
        """Return the row, or None if there is none."""
        return await self._pass(lambda: self._table.read(table, key))

    async def read_after(
        self, table: platform_table.TableName, partition: str, sort: int, limit: int
    ) -> tuple[platform_table.Row, ...]:
        """Return up to `limit` rows of `partition` above `sort`, in order."""
        return await self._pass(
            lambda: self._table.read_after(table, partition, sort, limit)
        )

    async def insert(
        self,
        table: platform_table.TableName,
        key: platform_table.RowKey,
        body: str,
    ) -> platform_table.WriteAnswer:
        """Insert a row; CONFLICT if the key is taken."""
        return await self._pass(lambda: self._table.insert(table, key, body))

    async def replace(
        self,
        table: platform_table.TableName,
        key: platform_table.RowKey,
        body: str,
        expected_revision: int,
    ) -> platform_table.WriteAnswer:
        """Replace the body and increase the revision, if it is as expected."""
        return await self._pass(
            lambda: self._table.replace(table, key, body, expected_revision)
        )

    async def delete(
        self,
        table: platform_table.TableName,
        key: platform_table.RowKey,
        expected_revision: int,
    ) -> platform_table.WriteOutcome:
        """Delete the row if its revision is as expected."""
        return await self._pass(
            lambda: self._table.delete(table, key, expected_revision)
        )

    async def _pass(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        is_probe = self.is_open
        if is_probe:
            if self._has_probe or self._clock.now_ms() < self._probe_at_ms:
                raise platform_table.TableUnavailableError("the breaker is open")
            self._has_probe = True
        try:
            answer = await call()
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ):
            self._count_failure(is_probe)
            raise
        finally:
            if is_probe:
                self._has_probe = False
        self._failures = 0
        self._delay_ms = MIN_PROBE_DELAY_MS
        return answer

    def _count_failure(self, is_probe: bool) -> None:
        was_open = self.is_open
        self._failures += 1
        if is_probe:
            self._delay_ms = min(2 * self._delay_ms, MAX_PROBE_DELAY_MS)
        if is_probe or (self.is_open and not was_open):
            self._probe_at_ms = self._clock.now_ms() + self._delay_ms
