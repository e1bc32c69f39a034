"""Tests of the budget of descriptors that callers' connections and links share."""

import asyncio
import time
import unittest
from typing import Final
from unittest import mock

from quincecrank.budgets import connection_budget
from quincecrank.gateway import callers, deployment
from tests import builders_gateway as builders
from tests import gateway_case as case

Wait = connection_budget.Wait
Usage = connection_budget.Usage

SITE_DESCRIPTORS: Final = 1_535
NOW_MS: Final = 100_000
LIMITS: Final = deployment.ClientLimits(16_384, 100_000, 3_000, 15_000)

MAX_DESCRIPTORS: Final = 120
CROWD: Final = 90
"""Connections of callers that send no whole request: more than the budget has."""

NEW_CALLERS: Final = 20
ANSWER_S: Final = 2.0
WORK_S: Final = 0.3
HOLD_MS: Final = 60_000
"""Time limit of requests that are held until a test releases them."""


def waiting(wait: Wait, since_ms: int, key: int = 0) -> connection_budget.Waiting:
    """Return a waiting connection that has waited since a time."""
    return connection_budget.Waiting(wait, since_ms, since_ms, key)


class DescriptorBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = connection_budget.DescriptorBudget(SITE_DESCRIPTORS)

    def test_connections_and_links_leave_the_reserve_free(self) -> None:
        sockets = SITE_DESCRIPTORS - connection_budget.FILE_DESCRIPTORS
        self.assertLess(self.budget.limit, sockets)
        for requests in range(0, self.budget.limit, 37):
            count = requests
            while self.budget.may_accept(Usage(count, requests, requests)):
                count += 1
            usage = Usage(count, requests, requests)
            self.assertLessEqual(usage.descriptors, max(self.budget.limit, 2 * count))
            if count > requests:
                self.assertLessEqual(usage.descriptors, self.budget.limit)

    def test_each_request_that_may_be_served_has_a_link(self) -> None:
        half = self.budget.limit // 2
        self.assertTrue(self.budget.may_serve(Usage(half, half - 1, half)))
        self.assertFalse(self.budget.may_serve(Usage(half + 1, half, half)))

    def test_small_settings_leave_descriptors(self) -> None:
        self.assertGreater(connection_budget.DescriptorBudget(100).limit, 30)

    def test_idle_links_are_closed_before_connections_are_refused(self) -> None:
        usage = Usage(self.budget.limit - 50, 10, 50)
        self.assertFalse(self.budget.may_accept(usage))
        self.assertEqual(self.budget.excess_links(usage), 2)

    def test_the_longest_idle_connection_is_closed_first(self) -> None:
        idle = [waiting(Wait.REQUEST, NOW_MS - age, age) for age in (10, 900, 70)]
        partial = [waiting(Wait.BODY, NOW_MS - age, age) for age in (2_000, 800, 100)]
        partial.append(waiting(Wait.HEAD, NOW_MS - 1_500, 1_500))
        order = self.budget.order_to_close([*partial, *idle], NOW_MS)
        self.assertEqual([each.key for each in order], [900, 70, 10, 2_000, 1_500, 800])

    def test_waiting_connections_end_by_the_configured_limits(self) -> None:
        reason = connection_budget.CloseReason
        for wait, limit_ms, expected in (
            (Wait.REQUEST, 15_000, reason.IDLE),
            (Wait.HEAD, 3_000, reason.SLOW_HEAD),
            (Wait.BODY, 15_000, reason.SLOW_BODY),
        ):
            got = [
                connection_budget.overdue_reason(
                    waiting(wait, NOW_MS - waited_ms), LIMITS, NOW_MS
                )
                for waited_ms in (limit_ms, limit_ms + 1)
            ]
            self.assertEqual(got, [None, expected])

    def test_a_body_that_arrives_byte_by_byte_ends(self) -> None:
        begun_ms = NOW_MS - connection_budget.BODY_TIMEOUT_MS - 1
        slow = connection_budget.Waiting(Wait.BODY, NOW_MS, begun_ms)
        got = connection_budget.overdue_reason(slow, LIMITS, NOW_MS)
        self.assertIs(got, connection_budget.CloseReason.SLOW_BODY)


class CrowdedListenerTest(case.GatewayCase):
    """Callers keep more connections than the budget has."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        budget = connection_budget.DescriptorBudget(MAX_DESCRIPTORS)
        self.listener.state.budgets.descriptors = budget
        self.listener.links = self.fleet.links
        self.forwarder.may_add_link = self.listener.may_add_link
        self.closed: list[connection_budget.CloseReason] = []
        self.listener.state.observe_close = lambda reason, _: self.closed.append(reason)
        self.released = asyncio.Event()
        await self.add_server(self.serve)
        self.crowd: list[case.Caller] = []

    async def asyncTearDown(self) -> None:
        for caller in self.crowd:
            caller.close()
        await asyncio.sleep(0.05)
        await super().asyncTearDown()

    async def serve(
        self, request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer after some work, or once it is released, if the request asks so."""
        if request.body == b"work":
            await asyncio.sleep(WORK_S)
        if request.body == b"hold":
            await self.released.wait()
        writer.write(case.answer())

    async def gather_crowd(self, sent: bytes) -> None:
        """Open connections and write the same bytes on each."""
        for _ in range(CROWD):
            caller = await case.Caller.connect(self.port)
            self.crowd.append(caller)
            caller.writer.write(sent)
        await asyncio.sleep(2 * connection_budget.MIN_PARTIAL_MS / 1_000)

    async def check_new_callers(self) -> None:
        """Check that new callers are answered in time."""
        for _ in range(NEW_CALLERS):
            got = await asyncio.wait_for(self.ask("/record/", b"x"), ANSWER_S)
            self.assertEqual(got.status, 200)
        self.assertLessEqual(
            self.listener.usage.descriptors,
            self.listener.state.budgets.descriptors.limit,
        )

    async def test_callers_without_a_request_used_up_the_descriptors(self) -> None:
        """Callers that opened connections and sent nothing kept others out."""
        await self.gather_crowd(b"")
        await self.check_new_callers()

    async def test_callers_kept_after_an_answer_used_up_the_descriptors(self) -> None:
        """Callers that kept their connection after an answer kept others out."""
        head = f"POST /record/ HTTP/1.1\r\nHost: {builders.HOST}\r\nRequest-Id: q\r\n"
        head += f"Authorization: Token {builders.KEY}\r\nContent-Length: 1\r\n\r\nx"
        await self.gather_crowd(head.encode())
        await self.check_new_callers()

    async def test_half_heads_used_up_the_descriptors(self) -> None:
        """Callers that stopped inside a head kept others out."""
        await self.gather_crowd(b"POST /record/ HTTP/1.1\r\nHost: desk")
        await self.check_new_callers()

    async def test_half_bodies_used_up_the_descriptors(self) -> None:
        """Callers that stopped inside a body kept others out."""
        head = f"POST /record/ HTTP/1.1\r\nHost: {builders.HOST}\r\nRequest-Id: q\r\n"
        head += f"Authorization: Token {builders.KEY}\r\nContent-Length: 9\r\n\r\nx"
        await self.gather_crowd(head.encode())
        await self.check_new_callers()

    async def test_a_request_that_is_served_is_not_cut_at_the_bound(self) -> None:
        served = []
        for _ in range(10):
            caller = await case.Caller.connect(self.port)
            await caller.send("/record/", b"work")
            served.append(caller)
        await asyncio.sleep(WORK_S / 6)
        await self.gather_crowd(b"")
        for caller in served:
            self.assertEqual((await caller.receive()).status, 200)
            caller.close()

    async def test_accepting_at_the_bound_was_repeated_by_every_step(self) -> None:
        """The failing accept kept the processor busy."""
        document = builders.make_configuration_document(8)
        document["routes"][2]["timeoutMs"] = HOLD_MS
        self.configure_from(document)
        for _ in range(self.listener.state.budgets.descriptors.limit):
            caller = await case.Caller.connect(self.port)
            self.crowd.append(caller)
            await caller.send("/record/", b"hold", Deadline_Ms=str(HOLD_MS))
        until_s = time.monotonic() + case.WAIT_S
        while self.listener.paused_since_ms is None and time.monotonic() < until_s:
            await asyncio.sleep(0.01)
        self.assertIsNotNone(self.listener.paused_since_ms)
        with mock.patch.object(
            self.listener, "_pause", wraps=self.listener._pause
        ) as paused:
            began_s = time.monotonic()
            await asyncio.sleep(WORK_S)
            taken_s = time.monotonic() - began_s
        self.released.set()
        most = taken_s / callers.ACCEPT_PAUSE_S + 1
        self.assertLessEqual(paused.call_count, most)

    async def test_what_has_no_descriptor_is_rejected_at_once_as_not_run(self) -> None:
        """Requests waited for a link until their deadline."""
        kept = [await case.Caller.connect(self.port) for _ in range(30)]
        await asyncio.sleep(0.05)
        for caller in kept:
            await caller.send("/record/", b"work")
        got = [await caller.receive() for caller in kept]
        statuses = [each.status for each in got if each.status]
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertIn(200, statuses)
        for each in got:
            if each.status == 503:
                self.assertIn("Retry-After", each.headers)
        for caller in kept:
            caller.close()

    async def test_a_caller_that_reads_nothing_kept_its_connection(self) -> None:
        """An answer that its caller did not take held its connection for good."""
        self.listener.state.limits = deployment.ClientLimits(16_384, 1_000, 300, 300)
        body = "x" * 4_000_000

        async def answer_much(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(case.answer(body))

        self.remove_server("i-1")
        await self.add_server(answer_much, server_id="i-9")
        caller = await case.Caller.connect(self.port)
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await caller.send("/record/", b"x")
        until_s = time.monotonic() + case.WAIT_S
        reason = connection_budget.CloseReason
        ended = {reason.UNREAD_ANSWER, reason.ABORTED_ANSWER}
        while not ended & set(self.closed) and time.monotonic() < until_s:
            await asyncio.sleep(0.05)
        self.assertTrue(ended & set(self.closed))
        caller.close()


if __name__ == "__main__":
    unittest.main()
