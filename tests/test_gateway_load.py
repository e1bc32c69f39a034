"""Replays of load patterns through the gateways' decisions, in virtual time."""

import asyncio
import unittest

from bench import gateway_model, virtual_time
from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import loads, peer_messages, peers, servers

SEEDS = (1, 2, 3)
ENGINE = servers.ServerId("i-1")
PEER = ids.VmName("entry-2")


def worst_second(result: gateway_model.Result, from_ms: int, until_ms: int) -> float:
    """Return the lowest share of answers on time among the seconds of a time."""
    shares = []
    for start_ms in range(from_ms, until_ms, clocks.MS_PER_SECOND):
        answers = [
            each.is_on_time
            for each in result.answered
            if start_ms <= each.asked_ms < start_ms + clocks.MS_PER_SECOND
        ]
        shares.append(sum(answers) / len(answers))
    return min(shares)


class HerdTest(unittest.TestCase):
    def test_no_engine_is_sent_more_prompts_than_it_holds(self) -> None:
        # Ten gateways, four nearly full engines, long prompts waiting everywhere.
        for seed in SEEDS:
            with self.subTest(seed):
                pattern = gateway_model.Pattern(seed)
                result = gateway_model.play(pattern)
                self.assertLessEqual(result.most_unread_tokens, pattern.memory_tokens)


class OverloadTest(unittest.TestCase):
    def test_most_answers_of_overloaded_engines_are_on_time(self) -> None:
        # Prompts for five and a half engines meet four for eight seconds.
        for seed in SEEDS:
            with self.subTest(seed):
                result = gateway_model.play(gateway_model.Pattern(seed))
                verdicts = result.outcome_by_kind["verdict"]
                notes = result.outcome_by_kind["note"]
                self.assertGreater(verdicts.on_time, verdicts.late)
                self.assertGreater(notes.on_time, 0.9 * notes.asked)

    def test_no_second_wave_follows_a_burst(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                pattern = gateway_model.Pattern(
                    seed,
                    engines=7,
                    burst_from_ms=2_000,
                    burst_until_ms=4_000,
                    burst_factor=1.7,
                )
                result = gateway_model.play(pattern)
                end_ms = pattern.burst_until_ms + 1_000
                during = worst_second(result, pattern.burst_from_ms, end_ms)
                after = worst_second(result, end_ms, pattern.duration_ms)
                self.assertGreaterEqual(after, during)


REVIEWS = gateway_model.Kind(
    "review", 30.0, 4, 2_500, 600, 6_600, 2_870, 55, 401, 12_000, 1, 2.4, 0.48, 1.2
)
"""Long prompts of very different size, for short times."""


def served_share_of_largest(pattern: gateway_model.Pattern) -> float:
    """Return the served share of the largest tenth of reviews, relative to all."""
    result = gateway_model.play(pattern)
    asked = sorted(
        arrival.prompt.input_tokens
        for arrival in gateway_model.make_arrivals(pattern)
        if arrival.kind is REVIEWS
    )
    served = [each.input_tokens for each in result.answered if each.kind == "review"]
    limit_tokens = asked[len(asked) * 9 // 10]
    largest_asked = sum(tokens >= limit_tokens for tokens in asked)
    largest_served = sum(tokens >= limit_tokens for tokens in served)
    return (largest_served / largest_asked) / (len(served) / len(asked))


class SizeTest(unittest.TestCase):
    def test_the_largest_prompts_are_served_at_least_half_as_often(self) -> None:
        # Five gateways; engines full of long prompts, for 16 seconds.
        for seed in SEEDS:
            with self.subTest(seed):
                pattern = gateway_model.Pattern(
                    seed,
                    duration_ms=16_000,
                    gateways=5,
                    kinds=(REVIEWS, gateway_model.NOTES),
                )
                self.assertGreaterEqual(served_share_of_largest(pattern), 0.5)


class ToldLoadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.told: list[loads.Load] = []
        self.loads = loads.Loads()
        self.loads.tell = lambda _server, load: self.told.append(load)

    def test_a_long_prompt_is_told_at_each_change(self) -> None:
        request = ids.RequestId("a")
        self.loads.started(ENGINE, request, 9_000, 7_000)
        self.loads.prompt_computed(ENGINE, request)
        self.loads.prompt_computed(ENGINE, request)
        self.loads.ended(ENGINE, request)
        self.loads.ended(ENGINE, request)
        expected = [loads.Load(1, 9_000, 7_000), loads.Load(1, 9_000, 0), loads.Load()]
        self.assertEqual(self.told, expected)

    def test_short_prompts_are_left_to_the_reports(self) -> None:
        self.loads.started(ENGINE, ids.RequestId("a"), 2_047, 900)
        self.loads.ended(ENGINE, ids.RequestId("a"))
        self.assertEqual(self.told, [])

    def test_a_change_counts_until_the_next_report(self) -> None:
        self.loads.peer_changed(PEER, ENGINE, loads.Load(9, 9, 9))
        self.assertEqual(self.loads.of(ENGINE, 0), loads.Load())
        self.loads.peer_reported(PEER, {ENGINE: loads.Load(1, 10, 5)}, 0)
        self.loads.peer_changed(PEER, ENGINE, loads.Load(2, 9_010, 7_005))
        self.assertEqual(self.loads.of(ENGINE, 1), loads.Load(2, 9_010, 7_005))
        self.loads.peer_reported(PEER, {}, 150)
        self.assertEqual(self.loads.of(ENGINE, 150), loads.Load())

    def test_a_message_keeps_its_fields(self) -> None:
        change = peer_messages.LoadChange(PEER, ENGINE, loads.Load(3, 20_000, 9_000))
        datagram = peer_messages.encode_change(change)
        self.assertEqual(peer_messages.decode(datagram), change)


class ReportIntervalTest(unittest.TestCase):
    def test_reports_of_a_large_fleet_are_bounded(self) -> None:
        for others in (0, 9, 15, 44, 299):
            with self.subTest(others):
                interval_ms = peers.report_interval_ms(others)
                self.assertGreaterEqual(interval_ms, peers.REPORT_INTERVAL_MS)
                self.assertLessEqual(5 * interval_ms, peers.SILENCE_MS)
        self.assertEqual(peers.report_interval_ms(9), peers.REPORT_INTERVAL_MS)
        self.assertGreater(peers.report_interval_ms(44), peers.REPORT_INTERVAL_MS)


class VirtualTimeTest(unittest.TestCase):
    def test_an_hour_passes_at_once(self) -> None:
        clock = virtual_time.LoopClock()

        async def sleep() -> int:
            await clock.sleep(3_600 * clocks.MS_PER_SECOND)
            return clock.now_ms()

        self.assertEqual(virtual_time.run(sleep()), 3_600_000)

    def test_a_wait_without_a_timer_is_an_error(self) -> None:
        async def stall() -> None:
            await clock.sleep(0)
            await forever.wait()

        clock = virtual_time.LoopClock()
        forever = asyncio.Event()
        with self.assertRaises(virtual_time.StalledError):
            virtual_time.run(stall())
