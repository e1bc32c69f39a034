"""Simulations of load patterns with the gateways' decision rules, in virtual time."""

import asyncio
import random
import unittest

from bench import gateway_simulation, virtual_time
from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import loads, peer_messages, peers, servers

SEEDS = (1, 2, 3)
ENGINE = servers.ServerId("i-1")
PEER = ids.VmName("entry-2")


def worst_second(
    result: gateway_simulation.Result, from_ms: int, until_ms: int
) -> float:
    """Return the lowest fraction of answers on time in any second of a period."""
    fractions = []
    for start_ms in range(from_ms, until_ms, clocks.MS_PER_SECOND):
        answers = [
            each.is_on_time
            for each in result.answered
            if start_ms <= each.first_attempt_ms < start_ms + clocks.MS_PER_SECOND
        ]
        fractions.append(sum(answers) / len(answers))
    return min(fractions)


class HerdTest(unittest.TestCase):
    """All gateways must not send their long prompts to the same engine at once."""

    def test_no_engine_gets_more_unread_prompts_than_fit_its_memory(self) -> None:
        # Ten gateways, four nearly full engines, a long prompt in every queue.
        for seed in SEEDS:
            with self.subTest(seed):
                pattern = gateway_simulation.Pattern(seed)
                result = gateway_simulation.replay(pattern)
                self.assertLessEqual(
                    result.max_pending_prefill_tokens, pattern.memory_tokens
                )


class OverloadTest(unittest.TestCase):
    """Late requests must not use up the capacity of those that can be on time."""

    def test_most_answers_of_overloaded_engines_are_on_time(self) -> None:
        # Four engines get the load of five and a half for eight seconds.
        for seed in SEEDS:
            with self.subTest(seed):
                result = gateway_simulation.replay(gateway_simulation.Pattern(seed))
                verdicts = result.outcome_by_kind["verdict"]
                notes = result.outcome_by_kind["note"]
                self.assertGreater(verdicts.on_time, verdicts.late)
                self.assertGreater(notes.on_time, 0.9 * notes.requests)

    def test_no_second_wave_follows_a_burst(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                pattern = gateway_simulation.Pattern(
                    seed,
                    engines=7,
                    burst_from_ms=2_000,
                    burst_until_ms=4_000,
                    burst_factor=1.7,
                )
                result = gateway_simulation.replay(pattern)
                end_ms = pattern.burst_until_ms + 1_000
                during = worst_second(result, pattern.burst_from_ms, end_ms)
                after = worst_second(result, end_ms, pattern.duration_ms)
                self.assertGreaterEqual(after, during)


REVIEWS = gateway_simulation.RequestKind(
    "review", 30.0, 4, 2_500, 600, 6_600, 2_870, 55, 401, 12_000, 1, 2.4, 0.48, 1.2
)
"""Long prompts of very different size that need an answer soon."""


def served_ratio_of_largest(pattern: gateway_simulation.Pattern) -> float:
    """Return the ratio of served reviews in the largest tenth to that of all."""
    result = gateway_simulation.replay(pattern)
    requested = sorted(
        arrival.prompt.input_tokens
        for arrival in gateway_simulation.make_arrivals(pattern)
        if arrival.kind is REVIEWS
    )
    served = [each.input_tokens for each in result.answered if each.kind == "review"]
    limit_tokens = requested[len(requested) * 9 // 10]
    largest_requested = sum(tokens >= limit_tokens for tokens in requested)
    largest_served = sum(tokens >= limit_tokens for tokens in served)
    return (largest_served / largest_requested) / (len(served) / len(requested))


class SizeTest(unittest.TestCase):
    """Small prompts must not leave the large ones of their kind without capacity."""

    def test_the_largest_prompts_are_served_at_least_half_as_often(self) -> None:
        # Five gateways, and engines that are full of long prompts for 16 seconds.
        for seed in SEEDS:
            with self.subTest(seed):
                pattern = gateway_simulation.Pattern(
                    seed,
                    duration_ms=16_000,
                    gateways=5,
                    kinds=(REVIEWS, gateway_simulation.NOTES),
                )
                self.assertGreaterEqual(served_ratio_of_largest(pattern), 0.5)


class LoadNotificationTest(unittest.TestCase):
    """Peers must learn of a long prompt before the next periodic report."""

    def setUp(self) -> None:
        self.notified: list[loads.Load] = []
        self.loads = loads.Loads()
        self.loads.notify_peers = lambda _server, load: self.notified.append(load)

    def test_peers_are_notified_of_each_change_by_a_long_prompt(self) -> None:
        request = ids.RequestId("a")
        self.loads.record_start(ENGINE, request, 9_000, 7_000)
        self.loads.record_prefill_end(ENGINE, request)
        self.loads.record_prefill_end(ENGINE, request)
        self.loads.record_end(ENGINE, request)
        self.loads.record_end(ENGINE, request)
        expected = [loads.Load(1, 9_000, 7_000), loads.Load(1, 9_000, 0), loads.Load()]
        self.assertEqual(self.notified, expected)

    def test_peers_are_not_notified_of_short_prompts(self) -> None:
        self.loads.record_start(ENGINE, ids.RequestId("a"), 2_047, 900)
        self.loads.record_end(ENGINE, ids.RequestId("a"))
        self.assertEqual(self.notified, [])

    def test_a_peers_change_counts_until_its_next_report(self) -> None:
        self.loads.apply_peer_change(PEER, ENGINE, loads.Load(9, 9, 9))
        self.assertEqual(self.loads.total_load(ENGINE, 0), loads.Load())
        self.loads.apply_peer_report(PEER, {ENGINE: loads.Load(1, 10, 5)}, 0)
        self.loads.apply_peer_change(PEER, ENGINE, loads.Load(2, 9_010, 7_005))
        self.assertEqual(self.loads.total_load(ENGINE, 1), loads.Load(2, 9_010, 7_005))
        self.loads.apply_peer_report(PEER, {}, 150)
        self.assertEqual(self.loads.total_load(ENGINE, 150), loads.Load())

    def test_a_load_change_is_decoded_as_it_was_encoded(self) -> None:
        change = peer_messages.LoadChange(PEER, ENGINE, loads.Load(3, 20_000, 9_000))
        datagram = peer_messages.encode_change(change)
        self.assertEqual(peer_messages.decode(datagram), change)


class LoadSumsTest(unittest.TestCase):
    """The sums of loads must not drift from the loads of the live peers."""

    def test_sums_equal_the_loads_of_live_peers_after_any_changes(self) -> None:
        engines = [servers.ServerId(f"i-{number}") for number in range(3)]
        for seed in range(20):
            generator = random.Random(seed)
            summed = loads.Loads()
            reported_ms: dict[str, int] = {}
            known: dict[tuple[str, servers.ServerId], loads.Load] = {}
            now_ms = 0
            for _ in range(300):
                now_ms += generator.randrange(0, 120)
                peer = ids.VmName(f"entry-{generator.randrange(5)}")
                engine = generator.choice(engines)
                load = loads.Load(*(generator.randrange(9) for _ in range(3)))
                step = generator.randrange(20)
                if step == 0:
                    summed.remove_server(engine)
                    known = {
                        key: each for key, each in known.items() if key[1] != engine
                    }
                elif step < 8:
                    report = dict.fromkeys(generator.sample(engines, 2), load)
                    summed.apply_peer_report(peer, report, now_ms)
                    known = {key: each for key, each in known.items() if key[0] != peer}
                    known |= {(peer, key): each for key, each in report.items()}
                    reported_ms[peer] = now_ms
                elif peer in reported_ms:
                    summed.apply_peer_change(peer, engine, load)
                    known[peer, engine] = load
                total = loads.Load()
                for (each, server_id), load in known.items():
                    is_live = now_ms - reported_ms[each] < loads.PEER_EXPIRY_MS
                    if server_id == engine and is_live:
                        total = total.add(load)
                self.assertEqual(summed.total_load(engine, now_ms), total, seed)


class ReportIntervalTest(unittest.TestCase):
    def test_reports_of_a_large_fleet_are_bounded(self) -> None:
        for others in (0, 9, 15, 44, 299):
            with self.subTest(others):
                interval_ms = peers.report_interval_ms(others)
                self.assertGreaterEqual(interval_ms, peers.REPORT_INTERVAL_MS)
                self.assertLessEqual(5 * interval_ms, peers.PEER_SILENCE_LIMIT_MS)
        self.assertEqual(peers.report_interval_ms(9), peers.REPORT_INTERVAL_MS)
        self.assertGreater(peers.report_interval_ms(44), peers.REPORT_INTERVAL_MS)


class VirtualTimeTest(unittest.TestCase):
    def test_a_long_sleep_takes_no_real_time(self) -> None:
        clock = virtual_time.LoopClock()

        async def sleep() -> int:
            await clock.sleep(3_600 * clocks.MS_PER_SECOND)
            return clock.now_ms()

        self.assertEqual(virtual_time.run(sleep()), 3_600_000)

    def test_a_wait_that_nothing_can_end_is_an_error(self) -> None:
        async def stall() -> None:
            await clock.sleep(0)
            await forever.wait()

        clock = virtual_time.LoopClock()
        forever = asyncio.Event()
        with self.assertRaises(virtual_time.StalledError):
            virtual_time.run(stall())
