"""Tests of the checker of open streams, each with a record that breaks a rule."""

import unittest
from typing import Any

from tests import builders_leaving as builders
from tests import leaving_callers, leaving_checker, shutdown_checker

Act = shutdown_checker.Act
Ending = leaving_callers.Ending


class RuleCase(unittest.TestCase):
    def check(
        self,
        expected: str,
        attempt: leaving_callers.Attempt,
        *logs: leaving_checker.ServerLog,
        **more: Any,
    ) -> None:
        """Check which rules a stream with a later, complete attempt breaks."""
        rest = builders.make_attempt(
            20_000, 21_000, request_id="rest", numbers=[4], ending=Ending.COMPLETE
        )
        stream = builders.make_stream(attempt, rest, length=4)
        found = builders.make_record([stream], *logs, **more).violations()
        self.assertEqual(" ".join(line.partition(":")[0] for line in found), expected)


class LostTest(RuleCase):
    def test_a_begun_stream(self) -> None:
        at_work = builders.make_log(arrived=-990, began=-990)
        self.check("LOST", builders.make_attempt(-1_000, 6_600), at_work)
        self.check("", builders.make_attempt(-1_000, 6_700), at_work)
        reset = builders.make_attempt(-1_000, 6_600, ending=Ending.RESET)
        self.check("LOST", reset, at_work)
        abandoned = builders.make_attempt(-1_000, 6_600, ending=Ending.ABANDONED)
        self.check("", abandoned, at_work)
        self.check("", builders.make_attempt(-1_000, 6_600, is_whole=False), at_work)

    def test_a_server_that_had_ended_before_the_last_sixth(self) -> None:
        log = builders.make_log(arrived=-990, began=-990, ended=6_660)
        self.check("LOST", builders.make_attempt(-1_000, 7_400), log)
        log = builders.make_log(arrived=-990, began=-990, ended=6_670)
        self.check("", builders.make_attempt(-1_000, 7_400), log)

    def test_a_late_request(self) -> None:
        log = builders.make_log(arrived=3_050, began=3_050)
        self.check("LOST", builders.make_attempt(3_001, 7_400), log)
        self.check("", builders.make_attempt(3_000, 7_400), log)

    def test_a_request_that_was_not_passed_on(self) -> None:
        unread = builders.make_attempt(5_000, 5_201, status=0)
        self.check("LOST", unread)
        self.check("", builders.make_attempt(5_000, 5_200, status=0))

    def test_the_time_limit(self) -> None:
        log = builders.make_log(arrived=-8_300, began=-8_300)
        self.check("LOST", builders.make_attempt(-8_300, 6_600), log)
        self.check("", builders.make_attempt(-8_400, 6_600), log)

    def test_a_server_that_broke_off_or_was_killed(self) -> None:
        attempt = builders.make_attempt(-1_000, 5_000)
        broken = builders.make_log(arrived=-990, began=-990, broke=4_900)
        killed = builders.make_log(4_900, arrived=-990, began=-990)
        later = builders.make_log(arrived=4_950, began=4_950)
        self.check("", attempt, broken)
        self.check("", attempt, killed)
        self.check("LOST", attempt, broken, later)
        superseded = builders.make_log(arrived=3_000, began=3_000, ended=3_200)
        self.check("", attempt, killed, superseded)
        self.check("LOST", attempt, builders.make_log(5_100, arrived=-990, began=-990))

    def test_a_silent_server(self) -> None:
        log = builders.make_log(arrived=-990, began=-990)
        self.check("LOST", builders.make_attempt(-1_000, 2_500, numbers=[1, 2, 3]), log)

    def test_a_refusal_is_no_work(self) -> None:
        refusing = builders.make_log(arrived=-990)
        self.check("LOST", builders.make_attempt(-1_000, 7_400), refusing)

    def test_a_kill_of_a_gateway_without_time_to_end(self) -> None:
        log = builders.make_log(arrived=3_050, began=3_050)
        attempt = builders.make_attempt(3_020, 8_010)
        killed = [
            builders.make_operation(Act.TERMINATE),
            builders.make_operation(Act.KILL, 8_000),
        ]
        late = builders.make_stop(7_200, 7_700)
        self.check(
            "LOST", attempt, log, operations=[*killed, *builders.make_stop(-900, 200)]
        )
        self.check("", attempt, log, operations=[*killed, *late])
        attempt = builders.make_attempt(3_020, 7_790)
        self.check("LOST", attempt, log, operations=[*killed, *late])

    def test_a_reload(self) -> None:
        log = builders.make_log(arrived=-990, began=-990)
        reload = [builders.make_operation(Act.RELOAD, -500)]
        attempt = builders.make_attempt(-1_000, 7_400)
        self.check("LOST", attempt, log, operations=reload)
        self.check("", attempt, log, operations=[])

    def test_a_slow_caller_sees_the_end_late(self) -> None:
        log = builders.make_log(arrived=-990, began=-990)
        operations = [
            builders.make_operation(Act.TERMINATE),
            builders.make_operation(Act.END, 6_600),
        ]
        attempt = builders.make_attempt(-1_000, 9_500)
        self.check("LOST", attempt, log, operations=operations)
        cut = builders.make_gateway_log("answer cut", 6_360, request="q")
        self.check("LOST", attempt, log, gateway_log=cut)

    def test_a_pause_of_the_caller(self) -> None:
        log = builders.make_log(arrived=-990, began=-990, completed=4_000, ended=4_000)
        paused_ms = builders.SIGNALLED_MS + 5_500
        attempt = builders.make_attempt(-1_000, 7_400, paused_ms=paused_ms)
        self.check("", attempt, log)
        attempt = builders.make_attempt(-1_000, 7_600, paused_ms=paused_ms)
        self.check("LOST UNREAD", attempt, log)


class UnreadTest(RuleCase):
    def test_a_whole_answer(self) -> None:
        attempt = builders.make_attempt(-1_000, 7_400)
        times = {"arrived": -990, "began": -990}
        log = builders.make_log(**times, completed=7_090, ended=7_090)
        self.check("UNREAD", attempt, log)
        log = builders.make_log(**times, completed=7_110, ended=7_110)
        self.check("", attempt, log)
        self.check("", attempt, builders.make_log(**times, ended=7_000))

    def test_stops_do_not_count(self) -> None:
        times = {"arrived": -990, "began": -990, "completed": 6_700, "ended": 6_700}
        operations = [
            builders.make_operation(Act.TERMINATE),
            *builders.make_stop(6_500, 7_200),
        ]
        log = builders.make_log(**times)
        attempt = builders.make_attempt(-1_000, 7_400)
        self.check("", attempt, log, operations=operations)
        attempt = builders.make_attempt(-1_000, 7_501)
        self.check("UNREAD", attempt, log, operations=operations)


class TornTest(RuleCase):
    def test_a_cut_within_an_event(self) -> None:
        log = builders.make_log(arrived=-990, began=-990)
        attempt = builders.make_attempt(-1_000, 7_400, is_torn=True)
        self.check("TORN", attempt, log)
        kill = builders.make_operation(Act.KILL, 7_390)
        terminate = builders.make_operation(Act.TERMINATE)
        stop = builders.make_stop(7_300, 7_380)
        self.check("", attempt, log, operations=[terminate, kill, *stop])
        attempt.paused_ms = builders.SIGNALLED_MS + 7_390
        cut = builders.make_gateway_log("answer cut", 7_350, request="q")
        self.check("TORN", attempt, log, gateway_log=cut)
        cut = builders.make_gateway_log("answer cut", 7_300, request="q")
        self.check("", attempt, log, gateway_log=cut)


class OrderTest(unittest.TestCase):
    def test_events_of_all_attempts(self) -> None:
        for first, second, length, expected in (
            ([1, 2], [3], 3, []),
            ([1, 2], [2, 3], 3, ["ORDER"]),
            ([1, 3], [4], 4, ["ORDER"]),
            ([1, 2], [3], 4, ["ORDER"]),
        ):
            stream = builders.make_stream(
                builders.make_attempt(0, 100, numbers=first, ending=Ending.ABANDONED),
                builders.make_attempt(200, 300, numbers=second, ending=Ending.COMPLETE),
                length=length,
            )
            found = builders.make_record([stream], operations=[]).violations()
            self.assertEqual([line.partition(":")[0] for line in found], expected)

    def test_a_stream_that_was_not_completed(self) -> None:
        rejected = builders.make_attempt(
            200, 300, numbers=[], status=503, ending=Ending.COMPLETE
        )
        cut = builders.make_attempt(0, 100, ending=Ending.ABANDONED)
        stream = builders.make_stream(cut, rejected, length=5)
        found = builders.make_record([stream], operations=[]).violations()
        self.assertEqual([line.partition(":")[0] for line in found], ["UNFINISHED"])


class EndTest(RuleCase):
    def check_end(self, expected: str, *stops: tuple[float, float]) -> None:
        operations = [builders.make_operation(Act.TERMINATE)]
        operations.append(builders.make_operation(Act.KILL, 8_000))
        for begin_ms, end_ms in stops:
            operations += builders.make_stop(begin_ms, end_ms)
        found = builders.make_record([], operations=operations).violations()
        self.assertEqual("".join(line.partition(":")[0] for line in found), expected)

    def test_gateways_that_were_killed(self) -> None:
        self.check_end("END")
        self.check_end("END", (0, 890), (6_000, 7_600))
        self.check_end("", (-500, 410))
        self.check_end("", (-500, 300), (350, 500))
        self.check_end("", (3_000, 7_100))
        self.check_end("", (6_000, 7_660))

    def test_bounds_that_do_not_include_the_signal(self) -> None:
        for earliest_ms, latest_ms, expected in (
            (-200, 990, ""),
            (10, 990, ""),
            (30, 990, "BOUNDS"),
            (-200, -30, "BOUNDS"),
        ):
            log = builders.make_gateway_log(
                "leaving",
                1_000,
                since_signal_ms=1_000 - earliest_ms,
                since_notice_ms=1_000 - latest_ms,
            )
            found = builders.make_record([], gateway_log=log).violations()
            self.assertEqual("".join(e.partition(":")[0] for e in found), expected)
