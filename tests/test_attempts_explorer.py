"""Randomized test of claims and cancellations under faults.

Each seed simulates callers, entries and agents over a faulty table and checks that the
request ran at most once and not after it was answered as not run.  Each guard of the
protocol is also removed in turn, which the test must detect.
"""

import asyncio
import contextlib
import random
import unittest
from collections.abc import Callable, Iterator
from unittest import mock

import structlog.testing

from quincecrank import (
    attempt_backlog,
    attempt_claims,
    attempt_records,
    ids,
    platform_table,
)
from quincecrank import clock as clocks
from tests import builders_platform, fakes

GRANTED = attempt_claims.ClaimVerdict.GRANTED
UNCONFIRMED = attempt_claims.ClaimVerdict.UNCONFIRMED
NOT_RUN = attempt_claims.CancelVerdict.NOT_RUN

SEEDS = (*range(400), 9517, 87161)
"""In the last two, a claim's delayed replacement of a record follows a withdrawal."""


class FaultyTable(fakes.FakeTable):
    """A table whose calls are reordered and fail at random."""

    def __init__(self, generator: random.Random) -> None:
        super().__init__()
        self.generator = generator
        self.fault_rate = 0.3

    async def _begin(
        self,
        operation: str,
        table: platform_table.TableName,
        key: platform_table.RowKey,
    ) -> None:
        for _ in range(self.generator.randrange(4)):
            await asyncio.sleep(0)
        self.reads_down = self.generator.random() < self.fault_rate / 2
        if self.generator.random() < self.fault_rate:
            switches = (
                "fail_next",
                "lose_next_answers",
                "lose_next_requests",
                "delay_next",
            )
            setattr(self, self.generator.choice(switches), 1)
        elif self.generator.random() < self.fault_rate:
            self.deliver_delayed()
        await super()._begin(operation, table, key)


class Explorer:
    """Simulates random attempts, faults, pauses and agent restarts for one key.

    Attributes
    ----------
    runs : list of AttemptId
        Attempts that ran.
    not_run : set of AttemptId
        Attempts that were answered as not run.
    """

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.table = FaultyTable(self.generator)
        self.clock = clocks.ManualClock()
        self.agents = [self.make_agent("server-1"), self.make_agent("server-2")]
        self.runs: list[ids.AttemptId] = []
        self.not_run: set[ids.AttemptId] = set()
        self.has_agent_ended = False

    def make_agent(self, server: str) -> attempt_claims.AttemptClaims:
        return attempt_claims.AttemptClaims(
            self.table,
            self.clock,
            ids.BackendServerName(server),
            ids.Incarnation(ids.random_id("i")),
        )

    async def explore(self) -> str:
        """Return a description of the violation, empty if there is none."""
        calls = [self.call(f"r{number}") for number in range(4)]
        await asyncio.gather(*calls)
        self.table.fault_rate = 0.0
        self.table.deliver_delayed()
        for agent in self.agents:
            while agent.pending:
                await agent.flush()
        last = await self.agents[0].claim(builders_platform.claim_request("last"))
        if last.verdict is GRANTED:
            self.runs.append(ids.AttemptId("last"))
        if len(self.runs) > 1:
            return f"ran twice: {self.runs}"
        if self.not_run.intersection(self.runs):
            return f"ran after it was answered as not run: {self.runs}"
        if not self.runs and not self.has_agent_ended:
            return "a key that never ran is blocked"
        return ""

    async def call(self, name: str) -> None:
        """Send a request in up to two attempts and perhaps cancel it meanwhile."""
        await self.pause(12)
        first, second = ids.AttemptId(f"{name}-1"), ids.AttemptId(f"{name}-2")
        is_replayed = self.generator.random() < 0.2
        tasks = [asyncio.create_task(self.attempt(first, is_replayed))]
        if self.generator.random() < 0.5:
            await self.pause(6)
            tasks.append(asyncio.create_task(self.attempt(second)))
        if is_replayed:
            tasks.append(asyncio.create_task(self.attempt(first, is_replayed)))
        if self.generator.random() < 0.6:
            await self.pause(8)
            identity = builders_platform.identity()
            listed = (first, second)
            result = await attempt_claims.cancel(self.table, identity, listed)
            if result.verdict is NOT_RUN:
                self.not_run.update(listed)
        await asyncio.gather(*tasks)

    async def attempt(
        self, attempt_id: ids.AttemptId, is_replayed: bool = False
    ) -> None:
        """Act as the agent: claim, then run, withdraw or end.

        The refusal of one delivery by an agent is no guarantee about a second delivery
        of the attempt, which the authentication of the connection rules out.  A
        cancellation covers both.
        """
        index = self.generator.randrange(len(self.agents))
        agent = self.agents[index]
        await self.pause(12)
        claim = await agent.claim(builders_platform.claim_request(attempt_id))
        await self.pause(12)
        if claim.verdict is not GRANTED:
            if not is_replayed and claim.verdict is UNCONFIRMED:
                self.not_run.add(attempt_id)
            await agent.flush()
        elif self.generator.random() < 0.3:
            await agent.withdraw(claim)
        else:
            self.runs.append(attempt_id)
            if self.generator.random() < 0.3:
                self.has_agent_ended = True
                self.agents[index] = self.make_agent(f"server-{index + 1}")
            else:
                await agent.record_outcome(claim, builders_platform.outcome())

    async def pause(self, steps: int) -> None:
        for _ in range(self.generator.randrange(steps)):
            await asyncio.sleep(0)


def _admits_any(
    record: attempt_records.RequestRecord, attempt_id: ids.AttemptId
) -> bool:
    return record.state is attempt_records.RequestState.CANCELLED


def _never_withdraws(backlog: attempt_backlog.Backlog, *details: object) -> None:
    return None


def _is_free_always(
    record: attempt_records.RequestRecord, is_withdrawn: attempt_backlog.ClaimTest
) -> bool:
    return record.state is not attempt_records.RequestState.FINISHED


@contextlib.contextmanager
def _claim_ids_of_attempts() -> Iterator[None]:
    original = attempt_claims.AttemptClaims._started

    def started(
        agent: attempt_claims.AttemptClaims, request: attempt_claims.ClaimRequest
    ) -> attempt_records.RequestRecord:
        update = {"claim_id": request.attempt_id}
        return original(agent, request).model_copy(update=update)

    with mock.patch.object(attempt_claims.AttemptClaims, "_started", started):
        yield


class ExplorerTest(unittest.TestCase):
    def first_violation(self) -> str:
        for seed in SEEDS:
            with structlog.testing.capture_logs():
                found = asyncio.run(Explorer(seed).explore())
            if found:
                return f"seed {seed}: {found}"
        return ""

    def test_no_double_run_and_no_run_after_not_run(self) -> None:
        self.assertEqual(self.first_violation(), "")

    def test_explorer_finds_each_missing_guard(self) -> None:
        record = attempt_records.RequestRecord
        backlog = attempt_backlog.Backlog
        mutants: dict[str, Callable[[], contextlib.AbstractContextManager[object]]] = {
            "no re-read after the insert": lambda: mock.patch.object(
                platform_table, "insert_confirmed", fakes.insert_without_reading_back
            ),
            "cancelled attempts may claim": lambda: mock.patch.object(
                record, "admits", _admits_any
            ),
            "unconfirmed claims aren't withdrawn": lambda: mock.patch.object(
                backlog, "add_withdrawal", _never_withdraws
            ),
            "a cancellation takes any claim": lambda: mock.patch.object(
                attempt_backlog, "_is_free", _is_free_always
            ),
            "a replayed attempt counts as its claim": _claim_ids_of_attempts,
        }
        for name, mutant in mutants.items():
            with self.subTest(name), mutant():
                self.assertNotEqual(self.first_violation(), "")
