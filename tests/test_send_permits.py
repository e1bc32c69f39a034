"""Tests of permits for limited servers: issuers, asks, grants and trials."""

import random
import unittest

from quincecrank import ids, rendezvous
from quincecrank.gateway import permit_pacer, rate_limits, send_permits, servers

SERVER = servers.Incarnation(servers.ServerId("i-1"), 1)
NAMES = tuple(ids.VmName(f"entry-{n}") for n in range(4))
START_MS = 10_000


class Fleet:
    """Gateways that exchange asks, grants and reports without delay."""

    def __init__(self, per_second: float) -> None:
        self.now_ms = START_MS
        self.limits_by_name = {name: rate_limits.RateLimits() for name in NAMES}
        self.permits_by_name = {
            name: send_permits.SendPermits(name, limits, random.Random(name))
            for name, limits in self.limits_by_name.items()
        }
        self.issuer = rendezvous.ranked(SERVER.server_id, NAMES, 1)[0]
        for name in NAMES:
            self.set_view(name, NAMES)
        self.now_ms += send_permits.SUPPORT_MS
        for name in NAMES:
            self.limits_by_name[name].record_answer(SERVER, per_second, 0, self.now_ms)
            self.set_view(name, NAMES)
        self.report()

    def set_view(self, name: ids.VmName, candidates: tuple[ids.VmName, ...]) -> None:
        self.permits_by_name[name].set_gateways(candidates, len(NAMES), self.now_ms)

    def report(self, *senders: ids.VmName) -> None:
        """Send the reports of gateways, of all by default, to all others."""
        for sender in senders or NAMES:
            reports = self.permits_by_name[sender].issuer_reports(self.now_ms)
            for receiver in NAMES:
                if receiver != sender:
                    self.permits_by_name[receiver].apply_issuer_reports(
                        sender, reports, self.now_ms
                    )

    def ask(self, name: ids.VmName, waiting: int, rank: int = 0) -> None:
        """Set a gateway's demand and deliver its ask."""
        demand = send_permits.Demand(waiting, rank, self.now_ms)
        self.permits_by_name[name].set_demand(SERVER, demand, self.now_ms)
        for issuer, asks in self.permits_by_name[name].due_asks(self.now_ms).items():
            self.permits_by_name[issuer].apply_asks(name, asks, self.now_ms)

    def issue(self, issuer: ids.VmName) -> dict[ids.VmName, int]:
        """Deliver the grants of an issuer; return the permits by gateway."""
        grants_by_name = self.permits_by_name[issuer].issue(self.now_ms)
        for name, grants in grants_by_name.items():
            self.permits_by_name[name].apply_grants(grants, self.now_ms)
        return {
            name: sum(grant.count for grant in grants)
            for name, grants in grants_by_name.items()
        }


class SendPermitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(2.0)
        self.other = next(name for name in NAMES if name != self.fleet.issuer)
        self.permits = self.fleet.permits_by_name[self.other]

    def count_issued(self, issuer: ids.VmName, duration_ms: int) -> int:
        """Return the permits that an issuer issues while a gateway asks for many."""
        issued = 0
        for _ in range(0, duration_ms, 50):
            self.fleet.now_ms += 50
            self.fleet.report()
            ask = permit_pacer.Ask(SERVER, 50, 0, 0, self.fleet.now_ms)
            self.fleet.permits_by_name[issuer].apply_asks(
                self.other, (ask,), self.fleet.now_ms
            )
            issued += sum(self.fleet.issue(issuer).values())
        return issued

    def test_no_request_is_sent_without_a_permit(self) -> None:
        self.assertFalse(self.permits.allows(SERVER, self.fleet.now_ms))
        self.fleet.now_ms += 1_000
        self.fleet.report()
        self.fleet.ask(self.other, 1)
        self.assertEqual(self.fleet.issue(self.fleet.issuer), {self.other: 1})
        self.assertTrue(self.permits.allows(SERVER, self.fleet.now_ms))
        self.permits.take(SERVER, self.fleet.now_ms)
        self.assertFalse(self.permits.allows(SERVER, self.fleet.now_ms))

    def test_a_gateway_that_wakes_up_has_no_permits_left(self) -> None:
        self.fleet.now_ms += 1_000
        self.fleet.report()
        self.fleet.ask(self.other, 1)
        self.fleet.issue(self.fleet.issuer)
        permit = self.permits.take(SERVER, self.fleet.now_ms)
        self.permits.give_back(permit) if permit else self.fail("no permit")
        self.fleet.now_ms += send_permits.PERMIT_MS
        self.assertFalse(self.permits.allows(SERVER, self.fleet.now_ms))
        self.assertFalse(self.permits.may_send(SERVER, permit, self.fleet.now_ms))

    def test_a_permit_that_expires_before_it_is_taken_sends_nothing(self) -> None:
        permit = self.permits.take(SERVER, self.fleet.now_ms)
        self.assertFalse(self.permits.may_send(SERVER, permit, self.fleet.now_ms))

    def test_a_grant_that_arrives_twice_counts_once(self) -> None:
        grant = send_permits.Grant(SERVER, 1, self.fleet.now_ms, 7)
        self.permits.apply_grants((grant, grant), self.fleet.now_ms)
        self.permits.apply_grants((grant,), self.fleet.now_ms + 10)
        self.permits.take(SERVER, self.fleet.now_ms)
        self.assertFalse(self.permits.allows(SERVER, self.fleet.now_ms))

    def test_a_grant_for_an_ask_of_another_process_is_ignored(self) -> None:
        for asked_ms in (self.fleet.now_ms + 1, self.fleet.now_ms - 5_000):
            grant = send_permits.Grant(SERVER, 1, asked_ms, asked_ms)
            self.permits.apply_grants((grant,), self.fleet.now_ms)
        self.assertFalse(self.permits.allows(SERVER, self.fleet.now_ms))

    def test_the_most_urgent_and_longest_waiting_request_goes_first(self) -> None:
        one, two, three = [name for name in NAMES if name != self.fleet.issuer]
        self.fleet.now_ms += 1_000
        self.fleet.report()
        self.fleet.ask(one, 1, rank=1)
        self.fleet.now_ms += 30
        self.fleet.ask(two, 1, rank=0)
        self.fleet.ask(three, 1, rank=1)
        granted: list[ids.VmName] = []
        for _ in range(3):
            self.fleet.report()
            granted += self.fleet.issue(self.fleet.issuer)
            self.fleet.now_ms += 100
            self.fleet.limits_by_name[self.fleet.issuer].record_answer(
                SERVER, 20.0, self.fleet.now_ms, self.fleet.now_ms
            )
        self.assertEqual(granted, [two, one, three])

    def test_a_limit_that_begins_again_gets_no_second_issuer_at_once(self) -> None:
        """Two issuers counted a gateway, of which one had a limit that ended meanwhile.

        Cold periods end with time and may begin again at any moment.
        """
        limits = self.fleet.limits_by_name[self.other]
        others = tuple(name for name in NAMES if name != self.fleet.issuer)
        ended_ms = self.fleet.now_ms
        limits.record_answer(SERVER, None, ended_ms, ended_ms)
        self.permits.apply_limit_change(ended_ms)
        self.fleet.set_view(self.other, others)
        self.fleet.now_ms += 10
        limits.record_answer(SERVER, 2.0, self.fleet.now_ms, self.fleet.now_ms)
        self.permits.apply_limit_change(self.fleet.now_ms)
        (report,) = self.permits.issuer_reports(self.fleet.now_ms)
        self.assertIsNone(report.issuer)
        (report,) = self.permits.issuer_reports(ended_ms + send_permits.SUPPORT_MS)
        self.assertIn(report.issuer, others)
        # Back to the former view before the pause is over: it goes on.
        self.fleet.set_view(self.other, NAMES)
        limits.record_answer(SERVER, None, self.fleet.now_ms, self.fleet.now_ms)
        self.permits.apply_limit_change(self.fleet.now_ms)
        limits.record_answer(SERVER, 2.0, self.fleet.now_ms, self.fleet.now_ms)
        self.permits.apply_limit_change(self.fleet.now_ms)
        (report,) = self.permits.issuer_reports(self.fleet.now_ms)
        self.assertIsNone(report.issuer)

    def test_a_limit_that_begins_again_often_gets_an_issuer_in_time(self) -> None:
        """Each change of the view in between put the support off by another 700 ms."""
        limits = self.fleet.limits_by_name[self.other]
        others = tuple(name for name in NAMES if name != self.fleet.issuer)
        now_ms = self.fleet.now_ms
        for views in (others, NAMES) * 5:
            for per_second in (None, 2.0):
                limits.record_answer(SERVER, per_second, now_ms, now_ms)
                self.permits.apply_limit_change(now_ms)
                self.fleet.set_view(self.other, views)
        (report,) = self.permits.issuer_reports(now_ms + send_permits.SUPPORT_MS)
        self.assertIsNotNone(report.issuer)

    def test_an_issuer_paces_permits_at_the_limit(self) -> None:
        self.count_issued(self.fleet.issuer, 1_000)
        issued = self.count_issued(self.fleet.issuer, 4_000)
        self.assertIn(issued, (8, 9))

    def test_a_permit_that_is_not_used_goes_to_another_gateway(self) -> None:
        one, two, _ = [name for name in NAMES if name != self.fleet.issuer]
        self.fleet.now_ms += 1_000
        self.fleet.report()
        self.fleet.ask(one, 1)
        self.assertEqual(self.fleet.issue(self.fleet.issuer), {one: 1})
        self.fleet.now_ms += 30
        self.fleet.ask(two, 1)
        self.assertEqual(self.fleet.issue(self.fleet.issuer), {})
        self.fleet.ask(one, 0)
        self.assertFalse(
            self.fleet.permits_by_name[one].allows(SERVER, self.fleet.now_ms)
        )
        self.assertEqual(self.fleet.issue(self.fleet.issuer), {two: 1})

    def test_a_permit_is_kept_in_stock_unless_the_limit_is_reached(self) -> None:
        one, two, _ = [name for name in NAMES if name != self.fleet.issuer]
        self.fleet.now_ms += 1_000
        self.fleet.report()
        for name in (one, two):
            permits = self.fleet.permits_by_name[name]
            permits.record_interest(SERVER, self.fleet.now_ms)
            asks = permits.asks_to_report(self.fleet.now_ms)
            self.assertEqual([ask.wanted for ask in asks], [1])
            self.fleet.permits_by_name[self.fleet.issuer].apply_asks(
                name, asks, self.fleet.now_ms
            )
        self.assertEqual(self.fleet.issue(self.fleet.issuer), {one: 1})
        self.fleet.report()
        asks = self.fleet.permits_by_name[two].asks_to_report(self.fleet.now_ms)
        self.assertEqual([ask.wanted for ask in asks], [0])

    def test_two_issuers_share_the_limit_by_their_supporters(self) -> None:
        """Two groups that don't hear each other stay below 1 / QUORUM of the limit."""
        rest = tuple(name for name in NAMES if name != self.fleet.issuer)
        second = rendezvous.ranked(SERVER.server_id, rest, 1)[0]
        for name in rest[:2]:
            if name != second:
                self.fleet.set_view(name, rest)
        self.fleet.set_view(second, rest)
        self.fleet.now_ms += send_permits.SUPPORT_MS
        first_count = second_count = 0
        for _ in range(40):
            first_count += self.count_issued(self.fleet.issuer, 100)
            second_count += self.count_issued(second, 100)
        self.assertGreater(second_count, 0)
        self.assertLessEqual(first_count + second_count, 16 / send_permits.QUORUM + 2)

    def test_a_gateway_supports_no_issuer_for_a_time_after_a_change(self) -> None:
        rest = tuple(name for name in NAMES if name != self.fleet.issuer)
        self.fleet.set_view(self.other, rest)
        (report,) = self.permits.issuer_reports(self.fleet.now_ms)
        self.assertIsNone(report.issuer)
        later_ms = self.fleet.now_ms + send_permits.SUPPORT_MS
        (report,) = self.permits.issuer_reports(later_ms)
        self.assertIn(report.issuer, rest)

    def test_a_gateway_alone_sends_its_share_only(self) -> None:
        self.fleet.set_view(self.fleet.issuer, (self.fleet.issuer,))
        self.fleet.now_ms += send_permits.SUPPORT_MS
        issuer = self.fleet.permits_by_name[self.fleet.issuer]
        issued = 0
        for _ in range(0, 8_000, 50):
            self.fleet.now_ms += 50
            ask = permit_pacer.Ask(SERVER, 9, 0, 0, self.fleet.now_ms)
            issuer.apply_asks(self.fleet.issuer, (ask,), self.fleet.now_ms)
            issued += sum(self.fleet.issue(self.fleet.issuer).values())
        self.assertLessEqual(issued, 16 / len(NAMES) / send_permits.QUORUM + 1)

    def test_a_server_without_answers_is_tried_at_any_limit(self) -> None:
        fleet = Fleet(0.0)
        issuer = fleet.permits_by_name[fleet.issuer]
        trials = 0
        for _ in range(0, 12_000, 50):
            fleet.now_ms += 50
            fleet.report()
            ask = permit_pacer.Ask(
                SERVER, 0, permit_pacer.STANDING_RANK, 0, fleet.now_ms
            )
            issuer.apply_asks(self.other, (ask,), fleet.now_ms)
            trials += sum(fleet.issue(fleet.issuer).values())
        self.assertEqual(trials, 12_000 // permit_pacer.SPARSE_TRIAL_INTERVAL_MS)

    def test_a_server_without_a_limit_needs_no_permit(self) -> None:
        limits = self.fleet.limits_by_name[self.other]
        sent_ms = self.fleet.now_ms + 1
        limits.record_answer(SERVER, None, sent_ms, sent_ms)
        self.assertTrue(self.permits.allows(SERVER, sent_ms))
        self.assertIsNone(self.permits.take(SERVER, sent_ms))
        self.assertTrue(self.permits.may_send(SERVER, None, sent_ms))


if __name__ == "__main__":
    unittest.main()


class ColdServerTest(unittest.TestCase):
    """Gateways with nothing to send asked for permits of each cold server."""

    def test_only_waiting_requests_make_asks_for_a_cold_server(self) -> None:
        limits = rate_limits.RateLimits()
        permits = send_permits.SendPermits(NAMES[0], limits, random.Random(1))
        permits.set_gateways(NAMES, len(NAMES), START_MS)
        limits.set_cold_limits({SERVER: 15.0})
        permits.apply_limit_change(START_MS)
        permits.record_interest(SERVER, START_MS)
        self.assertEqual(permits.asks_to_report(START_MS), ())
        self.assertEqual(permits.due_asks(START_MS), {})
        demand = send_permits.Demand(2, 0, START_MS)
        permits.set_demand(SERVER, demand, START_MS)
        (ask,) = permits.asks_to_report(START_MS)
        self.assertEqual((ask.incarnation, ask.wanted), (SERVER, 2))
