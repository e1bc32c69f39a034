"""Tests of admission, retry budgets, breakers and crash counts."""

import collections
import itertools
import random
import unittest

from quincecrank import (
    admission,
    breaker,
    configuration,
    crash_counts,
    ids,
    retry_budget,
)

LARGE = ids.AccountName("large")
SMALL = ids.AccountName("small")
NUMBERS = itertools.count()


def make_request(
    account: ids.AccountName = SMALL,
    deadline_at_ms: int = 60_000,
    tokens: int = 10_000,
    share: float = 1.0,
    max_concurrent: int = 1000,
    priority: int = 0,
) -> admission.AdmissionRequest:
    return admission.AdmissionRequest(
        ids.RequestId(f"r{next(NUMBERS)}"),
        account,
        share,
        max_concurrent,
        tokens,
        deadline_at_ms,
        priority,
    )


def queue(
    lateness: configuration.Lateness = configuration.Lateness.LOST_IS_WORSE,
    slots: int = 4,
) -> admission.AdmissionQueue:
    made = admission.AdmissionQueue(lateness)
    made.set_capacity(admission.Capacity(slots, 20_000))
    return made


def drain(waiting: admission.AdmissionQueue, count: int) -> list[ids.AccountName]:
    """Run `count` requests one after another and return their accounts."""
    accounts = []
    for _ in range(count):
        next_request = waiting.start_next(0)
        assert next_request is not None
        accounts.append(next_request.account)
        waiting.record_end(next_request.request_id, 0)
    return accounts


class FairQueueTest(unittest.TestCase):
    """An account with many queued requests must not delay the other accounts."""

    def test_backlog_of_one_account_does_not_delay_another(self) -> None:
        waiting = queue()
        for _ in range(20):
            self.assertTrue(waiting.offer(make_request(LARGE), 0).is_ok())
        drain(waiting, 5)
        for _ in range(3):
            self.assertTrue(waiting.offer(make_request(SMALL), 0).is_ok())
        self.assertEqual(collections.Counter(drain(waiting, 6))[SMALL], 3)

    def test_served_requests_follow_the_account_shares(self) -> None:
        waiting = queue()
        for _ in range(40):
            waiting.offer(make_request(LARGE, share=3.0), 0)
            waiting.offer(make_request(SMALL, share=1.0), 0)
        served = collections.Counter(drain(waiting, 40))
        self.assertAlmostEqual(served[LARGE], 30, delta=1)

    def test_idle_account_accumulates_no_credit(self) -> None:
        waiting = queue()
        for _ in range(30):
            waiting.offer(make_request(LARGE), 0)
        drain(waiting, 20)
        for _ in range(10):
            waiting.offer(make_request(SMALL), 0)
        served = collections.Counter(drain(waiting, 10))
        self.assertAlmostEqual(served[LARGE], 5, delta=1)

    def test_priority_applies_within_one_account_only(self) -> None:
        waiting = queue()
        first, urgent = make_request(SMALL), make_request(SMALL, priority=5)
        other = make_request(LARGE)
        for offered in (other, first, urgent):
            waiting.offer(offered, 0)
        order = [waiting.start_next(0) for _ in range(3)]
        self.assertEqual(order, [other, urgent, first])


class LimitTest(unittest.TestCase):
    """Requests that cannot be served in time are rejected as soon as that is known."""

    def rejection(
        self, waiting: admission.AdmissionQueue, offered: admission.AdmissionRequest
    ) -> admission.AdmissionRefusal:
        result = waiting.offer(offered, 0)
        self.assertTrue(result.is_error())
        return result.error

    def test_slots_and_prefill_time_bound_running_requests(self) -> None:
        by_slots = queue(slots=2)
        by_tokens = queue(slots=100)
        for _ in range(10):
            by_slots.offer(make_request(tokens=100), 0)
            by_tokens.offer(make_request(tokens=16_000), 0)
        for waiting, expected in ((by_slots, 2), (by_tokens, 2)):
            while waiting.start_next(0):
                pass
            self.assertEqual(waiting.running, expected)

    def test_request_above_the_account_limit_is_rejected_at_once(self) -> None:
        waiting = queue()
        waiting.offer(make_request(max_concurrent=1), 0)
        rejected = self.rejection(waiting, make_request(max_concurrent=1))
        self.assertIs(rejected.kind, admission.RefusalKind.ACCOUNT_LIMIT)
        self.assertGreater(rejected.retry_after_ms, 0)
        self.assertTrue(waiting.offer(make_request(LARGE, max_concurrent=1), 0).is_ok())

    def test_request_that_would_wait_past_its_deadline_is_rejected_with_retry_after(
        self,
    ) -> None:
        waiting = queue()
        for _ in range(20):
            waiting.offer(make_request(LARGE), 0)  # ten seconds of computation
        rejected = self.rejection(waiting, make_request(LARGE, deadline_at_ms=5000))
        self.assertIs(rejected.kind, admission.RefusalKind.DEADLINE)
        self.assertGreater(rejected.retry_after_ms, 5000)
        self.assertTrue(
            waiting.offer(make_request(SMALL, deadline_at_ms=5000), 0).is_ok()
        )

    def test_lateness_setting_decides_when_a_waiting_request_expires(self) -> None:
        late = queue(configuration.Lateness.LATE_IS_WORSE)
        lost = queue(configuration.Lateness.LOST_IS_WORSE)
        offered = make_request(tokens=20_000, deadline_at_ms=3000)
        for waiting, expiry_ms in ((late, 2001), (lost, 3001)):
            self.assertTrue(waiting.offer(offered, 0).is_ok())
            self.assertEqual(waiting.remove_expired(expiry_ms - 1), ())
            expired = waiting.remove_expired(expiry_ms)
            self.assertEqual([removed for removed, _ in expired], [offered])
            self.assertEqual(waiting.queued, 0)

    def test_late_is_worse_rejects_a_prompt_too_long_for_its_deadline(self) -> None:
        late = queue(configuration.Lateness.LATE_IS_WORSE)
        self.rejection(late, make_request(tokens=40_000, deadline_at_ms=1500))

    def test_queue_without_replicas_holds_requests_until_abandoned(self) -> None:
        waiting = admission.AdmissionQueue(configuration.Lateness.LATE_IS_WORSE)
        offered = make_request()
        self.assertTrue(waiting.offer(offered, 0).is_ok())
        self.assertIsNone(waiting.start_next(0))
        self.assertTrue(waiting.abandon(offered))
        self.assertFalse(waiting.abandon(offered))

    def test_cache_reuse_lowers_the_estimated_wait(self) -> None:
        waiting = queue(slots=100)
        for _ in range(20):
            waiting.offer(make_request(LARGE), 0)
        before = waiting.estimated_wait_ms(make_request(LARGE))
        for _ in range(2):
            next_request = waiting.start_next(0)
            assert next_request is not None
            waiting.record_plan(next_request.request_id, 0)
            waiting.record_first_token(next_request.request_id)
            waiting.record_end(next_request.request_id, 10)
        self.assertLess(waiting.estimated_wait_ms(make_request(LARGE)), before)


class RetryBudgetTest(unittest.TestCase):
    """Retries must not multiply the load of a deployment that fails."""

    def test_retries_are_limited_to_a_fraction_of_first_attempts(self) -> None:
        budget = retry_budget.RetryBudget(0)
        retries = 0
        for _ in range(1000):
            budget.record_first_attempt()
            retries += budget.try_spend(0)
        self.assertLessEqual(retries, 1000 * retry_budget.RETRIES_PER_FIRST_ATTEMPT + 1)
        self.assertGreaterEqual(
            retries, 1000 * retry_budget.RETRIES_PER_FIRST_ATTEMPT - 1
        )

    def test_budget_refills_with_time_without_first_attempts(self) -> None:
        budget = retry_budget.RetryBudget(0)
        self.assertTrue(budget.try_spend(0))
        self.assertFalse(budget.try_spend(0))
        self.assertTrue(budget.try_spend(10_000))

    def test_backoff_is_bounded(self) -> None:
        generator = random.Random(1)
        for retry in range(40):
            delay = retry_budget.backoff_ms(retry, generator)
            self.assertLessEqual(delay, retry_budget.BACKOFF_LIMIT_MS)
            self.assertLessEqual(delay, retry_budget.BACKOFF_BASE_MS * 2**retry)


class BreakerTest(unittest.TestCase):
    """A failing backend server gets no requests, but is tried again later."""

    def test_breaker_opens_allows_one_probe_and_closes(self) -> None:
        tested = breaker.Breaker()
        for _ in range(breaker.FAILURES_TO_OPEN):
            self.assertTrue(tested.allows(0))
            tested.record_failure(0)
        self.assertFalse(tested.allows(breaker.OPEN_MS - 1))
        self.assertTrue(tested.allows(breaker.OPEN_MS))
        tested.record_send(breaker.OPEN_MS)
        self.assertFalse(tested.allows(breaker.OPEN_MS))
        tested.record_failure(breaker.OPEN_MS)
        self.assertFalse(tested.allows(breaker.OPEN_MS * 3 - 1))
        self.assertTrue(tested.allows(breaker.OPEN_MS * 3))
        tested.record_success()
        self.assertIs(tested.state(0), breaker.BreakerState.CLOSED)

    def test_probe_without_a_result_times_out(self) -> None:
        tested = breaker.Breaker()
        for _ in range(breaker.FAILURES_TO_OPEN):
            tested.record_failure(0)
        tested.record_send(breaker.OPEN_MS)
        later_ms = breaker.OPEN_MS + breaker.PROBE_TIMEOUT_MS
        self.assertTrue(tested.allows(later_ms))


class CrashCountsTest(unittest.TestCase):
    """A request that crashes backend servers must not be retried without end."""

    def setUp(self) -> None:
        self.counts = crash_counts.CrashCounts()
        self.request = crash_counts.CrashKey(SMALL, b"digest")

    def crash(self, attempt: str, wall_ms: int = 0) -> crash_counts.CrashRecord:
        return crash_counts.CrashRecord(self.request, ids.AttemptId(attempt), wall_ms)

    def test_two_crashes_reject_the_request_of_one_account_until_they_expire(
        self,
    ) -> None:
        self.counts.merge([self.crash("a1"), self.crash("a1")])
        self.assertFalse(self.counts.rejects(self.request, 0))
        self.counts.merge([self.crash("a2")])
        self.assertTrue(self.counts.rejects(self.request, 0))
        other = crash_counts.CrashKey(LARGE, b"digest")
        self.assertFalse(self.counts.rejects(other, 0))
        self.assertFalse(self.counts.rejects(self.request, crash_counts.EXPIRY_MS))
        self.assertEqual(self.counts.remove_expired(crash_counts.EXPIRY_MS), ())

    def test_completed_suspect_is_cleared_in_other_processes(self) -> None:
        self.counts.merge([self.crash("a1")])
        elsewhere = crash_counts.CrashCounts()
        elsewhere.merge(self.counts.clear(self.request))
        elsewhere.merge([self.crash("a1")])
        for counts in (self.counts, elsewhere):
            self.assertEqual(counts.count(self.request, 0), 0)

    def test_merge_result_does_not_depend_on_the_order(self) -> None:
        self.counts.merge([self.crash("a1"), self.crash("a2")])
        records = [*self.counts.remove_expired(0), *self.counts.clear(self.request)]
        records.append(self.crash("a3"))
        for order in itertools.permutations(records):
            merged = crash_counts.CrashCounts()
            merged.merge(order)
            self.assertEqual(merged.count(self.request, 0), 1)
