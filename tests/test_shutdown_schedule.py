"""Tests of the decisions of a gateway that shuts down."""

import enum
import itertools
import unittest
from collections.abc import Iterator

import hypothesis

from quincecrank.gateway import answer_times, deployment, shutdown_schedule
from tests import builders_gateway as builders
from tests import builders_shutdown

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


class Outcome(enum.Enum):
    """How a simulated request ends."""

    WHOLE = "whole"
    REJECTED = "rejected"
    OVERDUE = "over its own time limit"
    ENDED = "ended by the shutdown without a begun answer"
    CUT = "cut by the shutdown"


class Simulation:
    """Runs the passes of a loop during a shutdown, without I/O.

    Attributes
    ----------
    now_ms : int
        Time of the last pass, after the signal.
    ended : list of tuple of OpenRequest, Outcome and int
        Requests that have ended, with the time.
    stages : list of tuple of int and Stage
        The stage of each pass.
    """

    def __init__(self, case: builders_shutdown.Shutdown) -> None:
        self.now_ms = case.latest_ms
        self.ended: list[tuple[builders_shutdown.OpenRequest, Outcome, int]] = []
        self.stages: list[tuple[int, shutdown_schedule.Stage]] = []
        self._earliest_ms = case.earliest_ms
        signal = shutdown_schedule.SignalTime(case.earliest_ms, case.latest_ms)
        self.schedule = shutdown_schedule.ShutdownSchedule(signal, case.grace_ms)
        self.schedule.lateness_ms = max(case.gaps_ms)
        self._waiting = list(case.requests)

    @property
    def open_requests(self) -> list[builders_shutdown.OpenRequest]:
        """Requests that have arrived by the last pass and have not ended."""
        return [each for each in self._waiting if each.arrived_ms <= self.now_ms]

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself."""
        stage = self.stages[-1][1]
        is_closing = stage is shutdown_schedule.Stage.CLOSING
        return stage is shutdown_schedule.Stage.ENDED or (
            is_closing and not self.open_requests
        )

    def run_pass(self) -> None:
        """Handle what has arrived, then decide on the stage."""
        for request in self.open_requests:
            outcome = self._handle(request)
            if outcome is not None:
                self._waiting.remove(request)
                self.ended.append((request, outcome, self.now_ms))
        arrivals = [each.arrived_ms for each in self.open_requests]
        stage = self.schedule.next_stage(self.now_ms, min(arrivals, default=None))
        self.stages.append((self.now_ms, stage))

    def _handle(self, request: builders_shutdown.OpenRequest) -> Outcome | None:
        """Return how a request ends in this pass; None if it goes on."""
        remaining_ms = request.arrived_ms + request.limit_ms - self.now_ms
        if request.sent_ms is None:
            if request.arrived_ms <= self._earliest_ms:
                request.sent_ms = request.arrived_ms
            elif self.schedule.may_begin(
                self.now_ms, remaining_ms, None, may_repeat=request.may_repeat
            ):
                request.sent_ms = self.now_ms
            else:
                return Outcome.REJECTED
        served_ms = self.now_ms - request.sent_ms
        if served_ms >= request.ends_after_ms:
            return Outcome.WHOLE
        if remaining_ms <= 0:
            return Outcome.OVERDUE
        if served_ms >= request.begins_after_ms:
            is_due = self.now_ms >= self.schedule.cut_limit_ms
            return Outcome.CUT if is_due else None
        return Outcome.ENDED if self.now_ms >= self.schedule.answer_limit_ms else None


class InvariantTest(unittest.TestCase):
    """The invariant of the schedule, by the real time of the signal."""

    @hypothesis.settings(
        max_examples=300, deadline=None, database=None, derandomize=True
    )
    @hypothesis.given(builders_shutdown.shutdowns())
    def test_invariant_of_any_shutdown(self, case: builders_shutdown.Shutdown) -> None:
        simulation = Simulation(case)
        for gap_ms in itertools.cycle(case.gaps_ms):
            simulation.run_pass()
            if simulation.has_ended or simulation.now_ms + gap_ms >= case.grace_ms:
                break
            simulation.now_ms += gap_ms
        for request, outcome, ended_ms in simulation.ended:
            if outcome is Outcome.CUT:
                self.assertGreaterEqual(ended_ms, case.grace_ms * 5 / 6)
            if request.arrived_ms > case.earliest_ms and not request.may_repeat:
                self.assertNotIn(outcome, (Outcome.CUT, Outcome.ENDED))
        for now_ms, stage in simulation.stages:
            if now_ms < shutdown_schedule.MIN_SERVE_MS:
                self.assertIsNot(stage, shutdown_schedule.Stage.CLOSING)
        # Only begun answers may be open at SIGKILL, and only if the bounds are apart.
        if simulation.has_ended:
            self.assertEqual(simulation.open_requests, [])
            return
        window_ms = case.grace_ms // 10 - max(case.gaps_ms)
        self.assertGreater(case.latest_ms - case.earliest_ms, window_ms)
        for request in simulation.open_requests:
            assert request.sent_ms is not None
            served_ms = simulation.now_ms - request.sent_ms
            self.assertGreaterEqual(served_ms, request.begins_after_ms)


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
        times.retain(())
        times.record(ROUTE, 200, tokens=4)
        self.assertEqual(times.time_of(ROUTE, 4), answer_times.AnswerTime(200, 200))
        self.assertEqual(times.time_of(ROUTE, 40), answer_times.AnswerTime(200, 2_000))
        rest = answer_times.AnswerTime(1_000, 2_000)
        self.assertEqual(rest.rest_ms(25, 100), 750)
        self.assertEqual(rest.rest_ms(150, 100), 1_000 * answer_times.MIN_REST)
        times.retain(())
        self.assertIsNone(times.time_of(ROUTE))

    def test_a_long_stream_began_late_as_only_a_short_one_had_been_observed(
        self,
    ) -> None:
        """It was sent when callers no longer accept a cut, and was cut."""
        times = answer_times.AnswerTimes()
        times.record(ROUTE, 211, tokens=4)
        schedule = builders.make_shutdown(SIGNALLED_MS, GRACE_MS)
        now_ms = SIGNALLED_MS + 4_100
        for tokens, may_begin in ((4, True), (172, False)):
            time = times.time_of(ROUTE, tokens)
            begins = schedule.may_begin(now_ms, 10_000, time, may_repeat=True)
            self.assertIs(begins, may_begin)
