"""Tests of claims, cancellations and outcomes of non-idempotent requests."""

import asyncio
import unittest

import structlog.testing

from quincecrank import attempt_backlog, attempt_claims, attempt_records, ids
from quincecrank import clock as clocks
from tests import builders_platform, fakes

GRANTED = attempt_claims.ClaimVerdict.GRANTED
ALREADY = attempt_claims.ClaimVerdict.ALREADY
TABLE_OUT = attempt_claims.ClaimVerdict.TABLE_OUT
UNCONFIRMED = attempt_claims.ClaimVerdict.UNCONFIRMED
MISMATCH = attempt_claims.ClaimVerdict.FINGERPRINT_MISMATCH

NOT_RUN = attempt_claims.CancelVerdict.NOT_RUN
UNKNOWN = attempt_claims.CancelVerdict.UNKNOWN
FINISHED = attempt_claims.CancelVerdict.FINISHED


class AttemptsTest(unittest.IsolatedAsyncioTestCase):
    """A request must not run twice, nor after it was answered as not run.

    Both could happen when a write to the table fails, arrives late or loses its answer.
    """

    def setUp(self) -> None:
        self.table = fakes.FakeTable()
        self.clock = clocks.ManualClock()
        self.agent = self.make_agent("server-1")
        self.other = self.make_agent("server-2")
        self.identity = builders_platform.identity()

    def make_agent(
        self, server: str, incarnation: str = "i1"
    ) -> attempt_claims.AttemptClaims:
        return attempt_claims.AttemptClaims(
            self.table,
            self.clock,
            ids.BackendServerName(server),
            ids.Incarnation(incarnation),
        )

    async def claim(
        self, agent: attempt_claims.AttemptClaims, attempt: str
    ) -> attempt_claims.ClaimVerdict:
        claim = await agent.claim(builders_platform.claim_request(attempt))
        return claim.verdict

    async def cancel(self, *attempt_ids: str) -> attempt_claims.Cancellation:
        listed = tuple(ids.AttemptId(attempt) for attempt in attempt_ids)
        return await attempt_claims.cancel(self.table, self.identity, listed)

    async def test_claim_under_each_table_fault(self) -> None:
        cases: list[tuple[dict[str, int | bool], attempt_claims.ClaimVerdict]] = [
            ({}, GRANTED),
            ({"lose_next_answers": 1}, GRANTED),
            ({"lose_next_requests": 1}, GRANTED),
            ({"delay_next": 1}, GRANTED),
            ({"fail_next": 1}, TABLE_OUT),
            ({"down": True}, TABLE_OUT),
            ({"lose_next_answers": 1, "reads_down": True}, UNCONFIRMED),
            ({"lose_next_requests": 1, "reads_down": True}, UNCONFIRMED),
            ({"delay_next": 1, "reads_down": True}, UNCONFIRMED),
            ({"delay_next": 9}, UNCONFIRMED),
        ]
        for faults, expected in cases:
            with self.subTest(faults):
                self.setUp()
                for name, value in faults.items():
                    setattr(self.table, name, value)
                self.assertEqual(await self.claim(self.agent, "a1"), expected)
                self.table.down = self.table.reads_down = False
                self.table.delay_next = 0
                self.table.deliver_delayed()
                await self.agent.flush()
                repeat = await self.claim(self.other, "a2")
                self.assertEqual(repeat, ALREADY if expected is GRANTED else GRANTED)

    async def test_repeat_replaces_an_unconfirmed_claim_at_the_same_agent(self) -> None:
        self.table.lose_next_answers = 1
        self.table.reads_down = True
        self.assertEqual(await self.claim(self.agent, "a1"), UNCONFIRMED)
        self.table.reads_down = False
        self.assertEqual(await self.claim(self.other, "a2"), ALREADY)
        self.assertEqual(await self.claim(self.agent, "a3"), GRANTED)
        await self.agent.flush()
        self.assertEqual(self.agent.pending, 0)
        self.assertEqual(await self.claim(self.other, "a4"), ALREADY)

    async def test_claim_confirmed_after_the_deadline_is_withdrawn(self) -> None:
        request = builders_platform.claim_request("a1", time_left_ms=-1)
        self.assertEqual((await self.agent.claim(request)).verdict, UNCONFIRMED)
        await self.agent.flush()
        self.assertEqual(await self.claim(self.other, "a2"), GRANTED)

    async def test_claim_whose_task_is_cancelled_is_withdrawn(self) -> None:
        task = asyncio.create_task(self.claim(self.agent, "a1"))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await self.agent.flush()
        self.assertEqual(await self.claim(self.other, "a2"), GRANTED)

    async def test_repeat_gets_the_outcome(self) -> None:
        for faults in ({}, {"lose_next_answers": 1}, {"fail_next": 1}):
            with self.subTest(faults):
                self.setUp()
                claim = await self.agent.claim(builders_platform.claim_request("a1"))
                for name, value in faults.items():
                    setattr(self.table, name, value)
                await self.agent.record_outcome(claim, builders_platform.outcome())
                await self.agent.flush()
                repeat = await self.other.claim(builders_platform.claim_request("a2"))
                self.assertEqual(repeat.verdict, ALREADY)
                assert repeat.stored is not None
                record = repeat.stored.record
                self.assertEqual(record.outcome, builders_platform.outcome())
                self.assertEqual((await self.cancel("a2")).verdict, FINISHED)

    async def test_key_belongs_to_one_account_and_one_request(self) -> None:
        self.assertEqual(await self.claim(self.agent, "a1"), GRANTED)
        cases = [
            (builders_platform.identity(fingerprint="f2"), MISMATCH),
            (builders_platform.identity(account="newsroom-2"), GRANTED),
            (builders_platform.identity("b/c", account="a"), GRANTED),
            (builders_platform.identity("c", account="a/b"), GRANTED),
        ]
        for other, expected in cases:
            with self.subTest(other):
                request = builders_platform.claim_request("a2", other)
                claim = await self.agent.claim(request)
                self.assertEqual(claim.verdict, expected)

    async def test_cancelled_attempts_never_run(self) -> None:
        self.assertEqual((await self.cancel("a1", "a2")).verdict, NOT_RUN)
        self.assertEqual(await self.claim(self.agent, "a1"), ALREADY)
        request = builders_platform.claim_request("a3")
        claim = await self.agent.claim(request)
        self.assertEqual(claim.verdict, GRANTED)
        self.assertEqual((await self.cancel("a4")).verdict, UNKNOWN)
        await self.agent.withdraw(claim)
        self.assertEqual(await self.claim(self.other, "a2"), ALREADY)
        self.assertEqual(await self.claim(self.other, "a3"), ALREADY)
        self.assertEqual(await self.claim(self.other, "a5"), GRANTED)

    async def test_cancel_without_an_answer_is_unknown(self) -> None:
        self.table.lose_next_answers = 1
        self.table.reads_down = True
        self.assertEqual((await self.cancel("a1")).verdict, UNKNOWN)
        self.table.down = True
        self.assertEqual((await self.cancel("a1")).verdict, UNKNOWN)

    async def test_unresponsive_table_delays_nobody_beyond_the_time_limit(self) -> None:
        self.table.silent = True
        request = builders_platform.claim_request("a1", time_left_ms=10)
        self.assertEqual((await self.agent.claim(request)).verdict, UNCONFIRMED)
        listed = (ids.AttemptId("a2"),)
        result = await attempt_claims.cancel(self.table, self.identity, listed, 10)
        self.assertEqual(result.verdict, UNKNOWN)
        self.table.silent = False
        self.assertEqual(await self.claim(self.agent, "a3"), GRANTED)

    async def test_restarted_agent_does_not_run_the_request_again(self) -> None:
        await self.claim(self.agent, "a1")
        restarted = self.make_agent("server-1", "i2")
        claim = await restarted.claim(builders_platform.claim_request("a1"))
        self.assertEqual(claim.verdict, ALREADY)
        assert claim.stored is not None
        state = claim.stored.record.state_at(0, ids.Incarnation("i2"))
        self.assertEqual(state, attempt_records.RequestState.UNKNOWN)

    async def test_list_of_cancelled_attempts_is_bounded(self) -> None:
        for number in range(attempt_records.MAX_CANCELLED_ATTEMPTS):
            self.assertEqual((await self.cancel(f"a{number}")).verdict, NOT_RUN)
        self.assertEqual((await self.cancel("b")).verdict, UNKNOWN)
        self.assertEqual(await self.claim(self.agent, "b"), ALREADY)

    async def test_backlog_is_bounded(self) -> None:
        body = bytes(attempt_records.MAX_OUTCOME_BODY_BYTES)
        fitting_count = attempt_backlog.MAX_PENDING_BYTES // len(body)
        for number in range(fitting_count + 1):
            self.table.down = False
            identity = builders_platform.identity(str(number))
            request = builders_platform.claim_request("a", identity)
            claim = await self.agent.claim(request)
            self.table.down = True
            with structlog.testing.capture_logs():
                await self.agent.record_outcome(claim, builders_platform.outcome(body))
        self.assertEqual(self.agent.pending, fitting_count)
        too_long = builders_platform.outcome(body + b"x").bounded()
        self.assertEqual((too_long.body, too_long.body_kept), (b"", False))

    async def test_run_writes_the_backlog_when_the_table_is_available_again(
        self,
    ) -> None:
        claim = await self.agent.claim(builders_platform.claim_request("a1"))
        self.table.fail_next = 3
        task = asyncio.create_task(self.agent.run())
        await self.agent.record_outcome(claim, builders_platform.outcome())
        while self.agent.pending:
            await asyncio.sleep(0)
        task.cancel()
        record = await attempt_claims.read_record(self.table, self.identity)
        assert record is not None
        self.assertEqual(record.state, attempt_records.RequestState.FINISHED)

    async def test_reader_concludes_unknown_after_agent_restart_or_deadline(
        self,
    ) -> None:
        await self.claim(self.agent, "a1")
        record = await attempt_claims.read_record(self.table, self.identity)
        assert record is not None
        started = attempt_records.RequestState.STARTED
        unknown = attempt_records.RequestState.UNKNOWN
        cases = [
            (1000, ids.Incarnation("i1"), started),
            (1000, None, started),
            (1000, ids.Incarnation("i2"), unknown),
            (1001, ids.Incarnation("i1"), unknown),
        ]
        for wall_ms, incarnation, expected in cases:
            with self.subTest(wall_ms=wall_ms, incarnation=incarnation):
                self.assertEqual(record.state_at(wall_ms, incarnation), expected)
