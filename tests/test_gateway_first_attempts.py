"""Tests of how retries of failed requests are recognized.

The failure: under overload failed requests are sent again to another gateway.  Taken
for new ones, they use the capacity of requests that can still be on time, until most
answers are late.
"""

import dataclasses
import statistics
import unittest
from typing import ClassVar
from unittest import mock

from bench import ablation, gateway_simulation
from quincecrank import crash_counts, ids
from quincecrank.gateway import failed_request_records, peer_messages, request_queue
from tests import builders_gateway as builders
from tests import test_gateway_followers as followers_cases

KEY = failed_request_records.RequestKey(7)
SEEDS = (1, 2, 3)
PLAYED_MS = 6_000


class RequestKeyTest(unittest.TestCase):
    def test_attempts_of_one_request_have_one_key(self) -> None:
        fingerprint = builders.make_fingerprint()
        prompt = builders.make_prompt(("a1", 60), ("b2", 40))
        key = failed_request_records.request_key(fingerprint, prompt)
        self.assertEqual(key, failed_request_records.request_key(fingerprint, prompt))
        other_account = crash_counts.CrashKey(
            ids.AccountName("other"), fingerprint.digest
        )
        other_body = crash_counts.CrashKey(fingerprint.account, b"x" * 16)
        others = {
            failed_request_records.request_key(other_account, prompt),
            failed_request_records.request_key(other_body, prompt),
            failed_request_records.request_key(
                fingerprint, builders.make_prompt(("a1", 60), ("c3", 40))
            ),
            failed_request_records.request_key(
                fingerprint, builders.make_prompt(("a1", 60), ("b2", 40), ("c3", 9))
            ),
        }
        self.assertEqual(len(others - {key}), 4)


class FirstAttemptsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.own = failed_request_records.FailedRequests()
        self.peer = failed_request_records.FailedRequests()

    def test_the_first_attempt_of_a_new_request_is_its_arrival(self) -> None:
        self.assertEqual(self.own.first_attempt_ms(KEY, 500), 500)

    def test_a_retry_has_the_time_of_the_first_attempt(self) -> None:
        self.own.record_failure(KEY, 1_000, 1_040)
        self.assertEqual(self.own.first_attempt_ms(KEY, 1_300), 1_000)

    def test_peers_recognize_a_retry(self) -> None:
        self.own.record_failure(KEY, 1_000, 1_040)
        # Clocks of two VMs differ, so only ages are published.
        self.peer.apply_peer_failures(self.own.to_publish(1_100), 77_000)
        self.assertEqual(self.peer.first_attempt_ms(KEY, 77_150), 76_900)
        # Requests that a peer has failed are not published again.
        self.assertEqual(self.peer.to_publish(77_001), ())

    def test_repeated_reports_do_not_change_the_first_attempt(self) -> None:
        self.own.record_failure(KEY, 1_000, 1_040)
        for now_ms in (1_100, 1_250, 1_400):
            self.peer.apply_peer_failures(self.own.to_publish(now_ms), now_ms)
        self.assertEqual(self.peer.first_attempt_ms(KEY, 1_500), 1_000)

    def test_a_failed_request_expires(self) -> None:
        self.own.record_failure(KEY, 1_000, 1_040)
        late_ms = 1_040 + failed_request_records.RETENTION_MS + 1
        self.assertEqual(self.own.first_attempt_ms(KEY, late_ms), late_ms)
        self.assertEqual(
            self.own.to_publish(1_041 + failed_request_records.PUBLISH_MS), ()
        )

    def test_an_expired_request_can_be_reported_again(self) -> None:
        failed = (failed_request_records.FailedRequest(KEY, 30),)
        self.own.apply_peer_failures(failed, 1_000)
        late_ms = 1_000 + failed_request_records.RETENTION_MS + 1
        self.own.apply_peer_failures(failed, late_ms)
        self.assertEqual(self.own.first_attempt_ms(KEY, late_ms + 5), late_ms - 30)

    def test_retained_and_published_requests_are_bounded(self) -> None:
        for number in range(3 * failed_request_records.MAX_RETAINED):
            self.own.record_failure(failed_request_records.RequestKey(number), 0, 0)
        failed = self.own.to_publish(0)
        self.assertEqual(len(failed), failed_request_records.MAX_PUBLISHED)
        self.assertEqual(failed[0].key, 3 * failed_request_records.MAX_RETAINED - 1)
        oldest = failed_request_records.RequestKey(
            2 * failed_request_records.MAX_RETAINED
        )
        self.assertEqual(self.own.first_attempt_ms(oldest, 5), 0)
        before = failed_request_records.RequestKey(oldest - 1)
        self.assertEqual(self.own.first_attempt_ms(before, 5), 5)

    def test_a_report_is_decoded_as_it_was_encoded(self) -> None:
        failed = (
            failed_request_records.FailedRequest(
                failed_request_records.RequestKey(2**64 - 1), 900
            ),
        )
        report = dataclasses.replace(
            followers_cases.make_report("entry-1", 1, 2), failed_requests=failed
        )
        decoded = peer_messages.decode(peer_messages.encode(report))
        self.assertEqual(decoded, report)


class QueuedRequestTest(unittest.TestCase):
    def test_the_target_counts_from_the_first_attempt(self) -> None:
        request = request_queue.QueuedRequest(ids.RequestId("q"), 0, 1_000, 9_000, 400)
        self.assertIs(request.timeliness(1_300), request_queue.Timeliness.ON_TIME)
        retried = dataclasses.replace(request, earlier_first_attempt_ms=700)
        self.assertIs(retried.timeliness(1_050), request_queue.Timeliness.ON_TIME)
        self.assertIs(retried.timeliness(1_300), request_queue.Timeliness.LATE)
        # The time that it may wait still counts from its arrival here.
        self.assertEqual(retried.latest_start_ms, request.latest_start_ms)


def play(pattern_name: str) -> list[gateway_simulation.Result]:
    """Return simulations of a pattern's first `PLAYED_MS`, one for each seed."""
    pattern = ablation.PATTERN_BY_NAME[pattern_name]
    return [
        gateway_simulation.replay(
            dataclasses.replace(
                pattern, seed=seed, duration_ms=PLAYED_MS, burst_until_ms=PLAYED_MS
            )
        )
        for seed in SEEDS
    ]


class OverloadSimulationTest(unittest.TestCase):
    """Simulates callers that retry at twice the load that the engines can serve."""

    results: ClassVar[list[gateway_simulation.Result]]

    @classmethod
    def setUpClass(cls) -> None:
        cls.results = play("twice the load")

    def test_most_answers_are_on_time(self) -> None:
        for result in self.results:
            outcomes = result.outcome_by_kind.values()
            on_time = sum(each.on_time for each in outcomes)
            late = sum(each.late for each in outcomes)
            self.assertGreaterEqual(on_time, 0.9 * (on_time + late))

    def test_recognizing_retries_is_worth_more_than_not(self) -> None:
        recognized = statistics.mean(result.value_fraction for result in self.results)
        with mock.patch.object(
            failed_request_records.FailedRequests,
            "first_attempt_ms",
            lambda _self, _key, at_ms: at_ms,
        ):
            unrecognized = statistics.mean(
                result.value_fraction for result in play("twice the load")
            )
        self.assertGreater(recognized, unrecognized)


class UrgencySimulationTest(unittest.TestCase):
    """Simulates requests of all urgencies at three times the engines' capacity."""

    def test_urgent_requests_are_not_served_less_often_than_others(self) -> None:
        for seed, result in zip(SEEDS, play("three times the load"), strict=True):
            with self.subTest(seed):
                answered_fraction_by_kind = {
                    name: (each.on_time + each.late) / each.requests
                    for name, each in result.outcome_by_kind.items()
                }
                # The users' requirements penalize a difference above 5 in 100.
                for more, less in (("call", "question"), ("question", "review")):
                    self.assertGreaterEqual(
                        answered_fraction_by_kind[more],
                        answered_fraction_by_kind[less] - 0.05,
                    )


if __name__ == "__main__":
    unittest.main()
