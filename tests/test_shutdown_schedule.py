"""Tests of the decisions of a gateway that shuts down."""

import unittest
from collections.abc import Iterator

from quincecrank.gateway import answer_times, deployment, shutdown_schedule
from tests import builders_gateway as builders

GRACE_MS = 8_000
SIGNALLED_MS = 50_000
BEGIN_LIMIT_MS = SIGNALLED_MS + int(GRACE_MS * shutdown_schedule.BEGIN_FRACTION)
ROUTE = deployment.RouteName("record")


class MayBeginTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = builders.make_shutdown(SIGNALLED_MS, GRACE_MS)

    def may_begin(
        self,
        before_limit_ms: int,
        *,
        remaining_ms: int = 10_000,
        answer_time: answer_times.AnswerTime | None = None,
        may_repeat: bool = False,
    ) -> bool:
        return self.schedule.may_begin(
            BEGIN_LIMIT_MS - before_limit_ms,
            remaining_ms,
            answer_time,
            may_repeat=may_repeat,
        )

    def test_while_the_balancer_sends_callers_likely_answers_begin(self) -> None:
        time = answer_times.AnswerTime(typical_ms=4_500, longest_ms=5_000)
        early_ms = BEGIN_LIMIT_MS - SIGNALLED_MS
        self.assertFalse(self.may_begin(early_ms, answer_time=time))
        self.assertTrue(self.may_begin(4_500, answer_time=time, may_repeat=True))
        self.assertFalse(self.may_begin(4_499, answer_time=time, may_repeat=True))
        self.assertTrue(self.may_begin(early_ms, may_repeat=True))
        self.assertFalse(self.may_begin(early_ms))
        self.assertTrue(self.may_begin(early_ms, remaining_ms=early_ms))

    def test_later_only_short_answers_that_surely_end_begin(self) -> None:
        time = answer_times.AnswerTime(typical_ms=100, longest_ms=400)
        self.assertFalse(self.may_begin(3_900, answer_time=time))
        self.assertTrue(self.may_begin(1_500, answer_time=time, remaining_ms=1_500))
        self.assertFalse(self.may_begin(1_499, answer_time=time, remaining_ms=1_500))
        self.assertTrue(self.may_begin(2_300, answer_time=time, may_repeat=True))
        self.assertFalse(self.may_begin(2_299, answer_time=time, may_repeat=True))
        self.assertFalse(self.may_begin(3_900, may_repeat=True))
        long = answer_times.AnswerTime(typical_ms=100, longest_ms=600)
        self.assertFalse(self.may_begin(3_900, answer_time=long, may_repeat=True))

    def test_a_late_loop_begins_less(self) -> None:
        self.schedule.lateness_ms = 500
        self.assertFalse(self.may_begin(1_999, remaining_ms=1_500))
        self.assertTrue(self.may_begin(2_000, remaining_ms=1_500))
        # A gateway that was suspended for long still serves short requests.
        self.schedule.lateness_ms = 60_000
        self.assertTrue(self.may_begin(3_500, remaining_ms=1_500))

    def test_a_request_whose_time_was_over_began(self) -> None:
        """A time limit that had passed was taken for one before the end."""
        for passed_ms in range(0, GRACE_MS, 100):
            for remaining_ms in (-GRACE_MS, -1, 0):
                self.assertFalse(
                    self.schedule.may_begin(
                        SIGNALLED_MS + passed_ms, remaining_ms, None, may_repeat=False
                    )
                )

    def test_what_begins_ends_before_the_process(self) -> None:
        # Steps of 1 ms over the grace time: the invariant of the schedule.
        for passed_ms in range(GRACE_MS):
            now_ms = SIGNALLED_MS + passed_ms
            for remaining_ms in (100, 1_500, 6_000):
                if self.schedule.may_begin(
                    now_ms, remaining_ms, None, may_repeat=False
                ):
                    end_ms = now_ms + remaining_ms
                    self.assertLess(end_ms, self.schedule.answer_limit_ms)
                    stage = self.schedule.next_stage(end_ms, now_ms)
                    self.assertIsNot(stage, shutdown_schedule.Stage.ENDED)


class StageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = builders.make_shutdown(SIGNALLED_MS, GRACE_MS)

    def stage(
        self, passed_ms: int, oldest_ms: int | None = None
    ) -> shutdown_schedule.Stage:
        """Return the stage some time after the signal.

        Parameters
        ----------
        oldest_ms : int or None
            Arrival of the oldest open request, after the signal.
        """
        oldest_arrival_ms = None if oldest_ms is None else SIGNALLED_MS + oldest_ms
        return self.schedule.next_stage(SIGNALLED_MS + passed_ms, oldest_arrival_ms)

    def test_an_unused_gateway_closes_once_the_balancer_has_noticed(self) -> None:
        serve_ms = shutdown_schedule.MIN_SERVE_MS
        self.assertIs(self.stage(serve_ms - 1), shutdown_schedule.Stage.SERVING)
        self.assertIs(self.stage(serve_ms), shutdown_schedule.Stage.CLOSING)

    def test_a_gateway_serves_until_its_early_requests_have_ended(self) -> None:
        serve_ms = shutdown_schedule.MIN_SERVE_MS
        for oldest_ms in (-500, 0, serve_ms - 1):
            self.assertIs(self.stage(5_000, oldest_ms), shutdown_schedule.Stage.SERVING)
        self.assertIs(self.stage(5_000, serve_ms), shutdown_schedule.Stage.CLOSING)

    def test_it_closes_and_ends_within_the_grace_time(self) -> None:
        answer_ms = int(GRACE_MS * shutdown_schedule.ANSWER_FRACTION)
        end_ms = int(GRACE_MS * shutdown_schedule.END_FRACTION)
        self.assertIs(self.stage(answer_ms - 1, 0), shutdown_schedule.Stage.SERVING)
        self.assertIs(self.stage(answer_ms, 0), shutdown_schedule.Stage.CLOSING)
        # A request that arrives meanwhile does not bring it back.
        self.assertIs(self.stage(answer_ms - 1, 0), shutdown_schedule.Stage.CLOSING)
        self.assertIs(self.stage(end_ms, 0), shutdown_schedule.Stage.ENDED)

    def test_a_late_loop_closes_earlier(self) -> None:
        self.schedule.lateness_ms = 500
        answer_ms = int(GRACE_MS * shutdown_schedule.ANSWER_FRACTION)
        self.assertIs(self.stage(answer_ms - 501, 0), shutdown_schedule.Stage.SERVING)
        self.assertIs(self.stage(answer_ms - 500, 0), shutdown_schedule.Stage.CLOSING)


class SignalBoundsTest(unittest.TestCase):
    """Each decision takes the bound of the signal's time that is safe for it."""

    LATE_MS = GRACE_MS * 5 // 6

    def schedules(self) -> Iterator[tuple[int, shutdown_schedule.ShutdownSchedule]]:
        """Return schedules with the time from the signal's earliest to its latest."""
        for noticed_ms in range(0, GRACE_MS, 50):
            yield noticed_ms, builders.make_shutdown(SIGNALLED_MS, GRACE_MS, noticed_ms)

    def test_streams_were_cut_too_early_after_a_late_notice(self) -> None:
        """The limit counted from the earliest time of the signal."""
        for noticed_ms, schedule in self.schedules():
            latest_ms = SIGNALLED_MS + noticed_ms
            self.assertGreaterEqual(schedule.cut_limit_ms, latest_ms + self.LATE_MS)
            self.assertGreater(schedule.end_limit_ms, schedule.cut_limit_ms)

    def test_streams_end_before_sigkill_unless_the_bounds_are_far_apart(self) -> None:
        for noticed_ms, schedule in self.schedules():
            killed_ms = SIGNALLED_MS + GRACE_MS
            if noticed_ms <= 1_100:
                self.assertLess(schedule.end_limit_ms, killed_ms)
            if noticed_ms <= 1_250:
                self.assertLess(schedule.cut_limit_ms, killed_ms)

    def test_what_must_be_over_before_sigkill_counts_from_the_earliest_time(
        self,
    ) -> None:
        answer_ms = SIGNALLED_MS + int(GRACE_MS * shutdown_schedule.ANSWER_FRACTION)
        for _, schedule in self.schedules():
            self.assertEqual(schedule.answer_limit_ms, answer_ms)
            for now_ms in range(SIGNALLED_MS, SIGNALLED_MS + 2 * GRACE_MS, 100):
                if schedule.may_begin(now_ms, 1_500, None, may_repeat=False):
                    self.assertLess(now_ms + 1_500, answer_ms)

    def test_long_answers_begin_only_while_callers_accept_their_cut(self) -> None:
        """Requests that are sent over 3 s after the signal must end in time."""
        begin_ms = SIGNALLED_MS + shutdown_schedule.MIN_SERVE_MS
        for _, schedule in self.schedules():
            for now_ms, may_begin in ((begin_ms - 1, True), (begin_ms, False)):
                begins = schedule.may_begin(now_ms, 10_000, None, may_repeat=True)
                self.assertIs(begins, may_begin)

    def test_connections_were_refused_that_the_balancer_still_sent(self) -> None:
        """The time in which it does so was counted from before the signal."""
        for noticed_ms, schedule in self.schedules():
            rotated_ms = SIGNALLED_MS + noticed_ms + shutdown_schedule.MIN_SERVE_MS
            self.assertIs(
                schedule.next_stage(rotated_ms - 1, None),
                shutdown_schedule.Stage.SERVING,
            )
            # A request that the balancer sent last keeps the gateway serving.
            has_time = rotated_ms + 100 < schedule.answer_limit_ms
            stage = schedule.next_stage(rotated_ms + 100, rotated_ms - 1)
            self.assertIs(stage is shutdown_schedule.Stage.SERVING, has_time)

    def test_a_stream_goes_on_elsewhere_if_its_rest_ends_before_the_cut(self) -> None:
        for _, schedule in self.schedules():
            cut_ms = schedule.cut_limit_ms
            for rest_ms in (100.0, 2_000.0, 5_000.0):
                now_ms = cut_ms - int(rest_ms)
                self.assertTrue(schedule.may_resume(now_ms, 10_000, rest_ms))
                self.assertFalse(schedule.may_resume(now_ms + 1, 10_000, rest_ms))
                self.assertTrue(schedule.may_resume(now_ms, 10_000, None))
                self.assertFalse(schedule.may_resume(now_ms, 0, rest_ms))
            self.assertFalse(schedule.may_resume(cut_ms, 10_000, None))


class AnswerTimesTest(unittest.TestCase):
    def test_the_latest_answers_of_a_route_count(self) -> None:
        times = answer_times.AnswerTimes()
        self.assertIsNone(times.time_of(ROUTE))
        for took_ms in [100] * 19 + [1_000]:
            times.record(ROUTE, took_ms)
        self.assertEqual(times.time_of(ROUTE), answer_times.AnswerTime(100, 1_000))
        for _ in range(answer_times.MAX_ANSWERS):
            times.record(ROUTE, 200)
        self.assertEqual(times.time_of(ROUTE), answer_times.AnswerTime(200, 200))
        rest = answer_times.AnswerTime(1_000, 2_000)
        self.assertEqual(rest.rest_ms(25, 100), 750)
        self.assertEqual(rest.rest_ms(150, 100), 1_000 * answer_times.MIN_REST)
        times.retain(())
        self.assertIsNone(times.time_of(ROUTE))
