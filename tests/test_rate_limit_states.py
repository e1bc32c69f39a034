"""Tests of the state of rate limits: decoding, order of answers, peers' states.

The failures: a late answer that revived or ended a limit, a value that no server can
mean, and a peer's outdated report.
"""

import unittest

from tornado import httputil

from quincecrank import clock as clocks
from quincecrank import ids, store_era
from quincecrank.gateway import fleet_state, peer_messages, peers, rate_limits, servers
from quincecrank.platform import answers
from tests import builders_gateway as builders

SERVER = servers.Incarnation(servers.ServerId("i-1"), 1)


class RateLimitHeaderTest(unittest.TestCase):
    def decode(self, *values: str, status: int = 200) -> answers.AnswerHead:
        lines = [f"Server-Limit: {value}\r\n" for value in values]
        headers = httputil.HTTPHeaders.parse("".join(lines))
        return answers.decode(status, headers)

    def test_limits_on_any_status(self) -> None:
        for text, expected in (
            ("2", 2.0), (" 1.7 ", 1.7), ("0", 0.0), ("0.05", 0.05), ("1e3", 1_000.0),
            ("1e9", answers.MAX_RATE_LIMIT_PER_S),
        ):  # fmt: skip
            for status in (200, 429, 500, 503):
                with self.subTest(text, status=status):
                    head = self.decode(text, status=status)
                    self.assertEqual(head.rate_limit_per_s, expected)
                    self.assertIsNone(head.unreadable_rate_limit)

    def test_values_that_are_no_limit_are_reported_as_unreadable(self) -> None:
        for text in ("two", "-1", "nan", "inf", "-inf", "", "1e400", "2/s"):
            with self.subTest(text):
                head = self.decode(text)
                self.assertIsNone(head.rate_limit_per_s)
                self.assertEqual(head.unreadable_rate_limit, text)

    def test_the_lowest_of_several_limits_counts(self) -> None:
        self.assertEqual(self.decode("5", "2").rate_limit_per_s, 2.0)
        self.assertEqual(self.decode("5, 3").rate_limit_per_s, 3.0)
        self.assertEqual(self.decode("5", "x").rate_limit_per_s, 5.0)

    def test_no_header_is_no_limit(self) -> None:
        head = self.decode()
        self.assertIsNone(head.rate_limit_per_s)
        self.assertIsNone(head.unreadable_rate_limit)


class AnswerOrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = rate_limits.RateLimits()

    def record(self, limit: float | None, sent_ms: int, now_ms: int) -> bool:
        return self.limits.record_answer(SERVER, limit, sent_ms, now_ms)

    def test_an_answer_to_an_earlier_request_neither_ends_nor_changes_a_limit(
        self,
    ) -> None:
        self.record(2.0, 100, 200)
        self.assertFalse(self.record(None, 150, 210))
        self.assertFalse(self.record(5.0, 150, 220))
        self.assertEqual(self.limits.limit_of(SERVER), 2.0)

    def test_an_answer_to_an_earlier_request_does_not_revive_a_limit(self) -> None:
        self.record(2.0, 100, 200)
        self.assertTrue(self.record(None, 250, 300))
        self.assertFalse(self.record(2.0, 260, 310))
        self.assertIsNone(self.limits.limit_of(SERVER))
        self.assertTrue(self.record(2.0, 300, 350))

    def test_a_limit_that_a_later_answer_confirmed_is_not_ended_by_an_earlier_one(
        self,
    ) -> None:
        self.record(2.0, 100, 200)
        self.record(2.0, 210, 260)
        self.assertFalse(self.record(None, 220, 270))
        self.assertTrue(self.record(None, 260, 280))

    def test_answers_of_servers_without_a_limit_are_not_kept(self) -> None:
        self.assertFalse(self.record(None, 100, 200))
        self.assertFalse(self.limits.is_any_known)

    def test_repeated_reports_of_a_peer_do_not_revive_a_limit(self) -> None:
        self.record(2.0, 100, 200)
        outdated = tuple(self.limits.states(200))
        self.record(None, 250, 300)
        for state in outdated:
            self.assertFalse(self.limits.apply_peer_state(state, 400))
        self.assertIsNone(self.limits.limit_of(SERVER))

    def test_of_two_changes_at_once_the_lower_limit_holds_everywhere(self) -> None:
        one, two = rate_limits.RateLimits(), rate_limits.RateLimits()
        for limits in (one, two):
            limits.record_answer(SERVER, 2.0, 100, 200)
        one.record_answer(SERVER, None, 250, 300)
        two.record_answer(SERVER, 3.0, 250, 300)
        for receiver, sender in ((one, two), (two, one)):
            for state in sender.states(310):
                receiver.apply_peer_state(state, 310)
        self.assertEqual(one.limit_of(SERVER), 3.0)
        self.assertEqual(two.limit_of(SERVER), 3.0)

    def test_a_started_gateway_adopts_the_state_of_its_peers(self) -> None:
        self.record(2.0, 100, 200)
        self.record(None, 250, 300)
        self.record(4.0, 350, 400)
        started = rate_limits.RateLimits()
        started.record_answer(SERVER, 2.0, 0, 10)
        for state in self.limits.states(450):
            started.apply_peer_state(state, 20)
        self.assertEqual(started.limit_of(SERVER), 4.0)

    def test_an_answer_stayed_recent_as_peers_repeated_its_age(self) -> None:
        """Each way between two gateways made it younger, so trials came late."""
        interval_ms, way_ms, silent_ms = 150, 30, 3_000
        both = (self.limits, rate_limits.RateLimits())
        self.record(2.0, 0, 0)
        for sent_ms in range(0, silent_ms, interval_ms):
            for sender, receiver in (both, both[::-1]):
                for state in sender.states(sent_ms):
                    receiver.apply_peer_state(state, sent_ms + way_ms)
        for limits in both:
            self.assertLessEqual(limits.confirmed_ms(SERVER), way_ms)


class IncarnationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.fleet = fleet_state.FleetState(builders.make_environment(), self.clock)
        self.entry = self.fleet.registry.update(builders.make_entry("i-1"))

    def test_the_limit_of_an_earlier_incarnation_is_void(self) -> None:
        self.fleet.record_rate_limit(self.entry.incarnation, 2.0, 900)
        self.assertEqual(self.fleet.rate_limits.limit_of(self.entry.incarnation), 2.0)
        later = self.fleet.registry.update(
            builders.make_entry("i-1", started_wall_ms=2)
        )
        self.fleet.remove_server(later.server_id)
        self.assertFalse(self.fleet.rate_limits.is_any_limited)
        state = rate_limits.LimitState(self.entry.incarnation, 2.0, 1, 0)
        self.fleet.apply_peer_limit(state)
        self.fleet.record_rate_limit(self.entry.incarnation, 2.0, 1_000)
        self.assertFalse(self.fleet.rate_limits.is_any_limited)


class KnownGatewaysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.directory = peers.PeerDirectory(
            builders.make_environment(), self.clock, store_era.StoreEra()
        )
        self.directory.set_members(
            {ids.VmName(f"entry-{n}"): f"10.0.0.{n}" for n in range(2, 6)}
        )

    def report(self, *numbers: int, is_leaving: bool = False) -> None:
        for number in numbers:
            vm = ids.VmName(f"entry-{number}")
            report = peer_messages.Report(vm, is_leaving, (), {})
            self.directory.record_report(f"10.0.0.{number}", report)

    def test_registered_gateways_count_before_their_first_report(self) -> None:
        self.assertEqual(self.directory.known_gateways(), 5)

    def test_a_gateway_that_hears_no_peer_counts_all_of_them(self) -> None:
        self.report(2, 3, 4, 5)
        self.clock.advance(10 * peers.MAX_ABSENCE_MS)
        self.assertEqual(self.directory.known_gateways(), 5)

    def test_a_minority_counts_the_others_longer_than_the_majority(self) -> None:
        self.report(2, 3, 4, 5)
        self.clock.advance(peers.MEMBER_EXPIRY_MS)
        self.report(2)
        self.assertEqual(self.directory.known_gateways(), 5)
        self.report(3, 4)
        self.assertEqual(self.directory.known_gateways(), 4)

    def test_a_gateway_that_has_left_does_not_count(self) -> None:
        self.report(2, 3, 4)
        self.report(5, is_leaving=True)
        self.assertEqual(self.directory.known_gateways(), 5)
        self.clock.advance(peers.PEER_SILENCE_LIMIT_MS)
        self.report(2, 3, 4)
        self.assertEqual(self.directory.known_gateways(), 4)


if __name__ == "__main__":
    unittest.main()
