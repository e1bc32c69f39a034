"""Admission by the demand at all gateways, alone and in a replayed burst.

Mutation (`QUINCE_MUTATION`, see `wrapped_program`) that makes the replay fail:
`admit-by-own-starts`.
"""

import dataclasses
import os
import unittest
from collections.abc import Mapping

from structlog import testing

from bench import gateway_simulation, overload_load
from quincecrank import ids
from quincecrank.gateway import (
    loads,
    loop_monitor,
    main,
    peer_messages,
    request_queue,
    servers,
    service_queues,
    shared_admission,
    shared_demand,
)
from tests import builders_gateway as builders
from tests import wrapped_program

SERVICE = shared_demand.service_key(builders.LLM)
PEERS = (ids.VmName("entry-2"), ids.VmName("entry-3"), ids.VmName("entry-4"))
ON_TIME, LATE = 0, request_queue.RANKS_PER_TIMELINESS


def pack(
    by_rank: shared_demand.DemandByRank,
    by_account: Mapping[shared_demand.UrgencyAndAccount, shared_demand.AccountDemand]
    | None = None,
) -> bytes:
    """Return the figures of a gateway with demand for one service."""
    demand = shared_demand.ServiceDemand(by_rank, by_account or {})
    return shared_demand.pack({SERVICE: demand})


BUSY = pack({ON_TIME: shared_demand.ClassDemand(4, 4_000, 10, 10_000, 500)})


def setUpModule() -> None:
    mutation = os.environ.get("QUINCE_MUTATION")
    if mutation:
        wrapped_program.MUTATIONS_BY_NAME[mutation]()


def make_queued(
    name: str = "a", *, first_attempt_ms: int = 0, arrived_ms: int = 0, urgency: int = 1
) -> request_queue.QueuedRequest:
    """Return a request that is on time for 400 ms and has 4 s in all."""
    return request_queue.QueuedRequest(
        ids.RequestId(name),
        urgency,
        arrived_ms,
        first_attempt_ms + 4_000,
        500,
        100.0,
        earlier_first_attempt_ms=first_attempt_ms,
        memory_tokens=1_000,
    )


class SharedDemandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.demand = shared_demand.SharedDemand()
        self.demand.known_gateways = 4

    def test_figures_of_fewer_than_half_of_the_gateways_were_used(self) -> None:
        self.demand.known_gateways = 6
        self.demand.apply_report(PEERS[0], BUSY, 0)
        self.assertIsNone(self.demand.totals(SERVICE, 0))
        self.demand.apply_report(PEERS[1], BUSY, 0)
        totals = self.demand.totals(SERVICE, shared_demand.TOTALS_INTERVAL_MS)
        assert totals is not None
        self.assertEqual(totals.by_rank[ON_TIME].waiting_tokens, 8_000)

    def test_old_figures_were_used(self) -> None:
        for peer in PEERS:
            self.demand.apply_report(peer, BUSY, 0)
        self.assertIsNotNone(self.demand.totals(SERVICE, shared_demand.MAX_AGE_MS - 1))
        now_ms = shared_demand.MAX_AGE_MS + shared_demand.TOTALS_INTERVAL_MS
        self.assertIsNone(self.demand.totals(SERVICE, now_ms))

    def test_idle_gateways_and_those_without_figures_were_confused(self) -> None:
        self.demand.apply_report(PEERS[0], b"", 0)
        self.assertIsNone(self.demand.totals(SERVICE, 0))
        self.demand.apply_report(PEERS[0], shared_demand.pack({}), 0)
        self.assertEqual(
            self.demand.totals(SERVICE, shared_demand.TOTALS_INTERVAL_MS),
            shared_demand.ServiceDemand(),
        )

    def test_totals_lost_accounts_or_classes(self) -> None:
        key = shared_demand.account_key(make_queued())
        account = shared_demand.AccountDemand(1, 700)
        busy = shared_demand.ClassDemand(4, 4_000, 10, 10_000, 500)
        for peer in PEERS[:2]:
            self.demand.apply_report(peer, pack({3: busy}, {key: account}), 0)
        total = shared_demand.ServiceDemand(
            {3: busy.add(busy)}, {key: account.add(account)}
        )
        self.assertEqual(self.demand.totals(SERVICE, 0), total)

    def test_reports_lost_the_demand_or_were_lost_by_malformed_demand(self) -> None:
        report = peer_messages.Report(
            PEERS[0], False, (), {servers.ServerId("i-1"): loads.Load(3)}, demand=BUSY
        )
        cut_off = dataclasses.replace(report, demand=BUSY[:-1])
        without = dataclasses.replace(report, demand=b"")
        for encode in (peer_messages.encode, peer_messages.encode_packed):
            self.assertEqual(peer_messages.decode(encode(report)), report)
            self.assertEqual(peer_messages.decode(encode(cut_off)), without)


class SharedQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.demand = shared_demand.SharedDemand()
        self.demand.known_gateways = 2
        self.queue = shared_admission.SharedQueue(builders.LLM, self.demand)

    def test_requests_were_rejected_for_lack_of_an_own_start(self) -> None:
        own = request_queue.RequestQueue()
        for queue in (own, self.queue):
            queue.add(make_queued("first"))
            self.assertFalse(queue.accepts(make_queued("b"), 0))
        self.demand.apply_report(PEERS[0], BUSY, 200)
        self.assertTrue(self.queue.accepts(make_queued("b"), 200))

    def test_a_request_that_can_only_be_late_was_rejected(self) -> None:
        self.demand.apply_report(PEERS[0], BUSY, 1_500)
        late = make_queued()
        self.assertTrue(self.queue.accepts(late, 1_500))
        self.queue.add(late)
        self.assertEqual(self.queue.remove_too_late(1_500), ())
        self.assertFalse(self.queue.may_start(late, 1_500))
        self.demand.apply_report(PEERS[0], BUSY, 2_400)
        self.assertEqual(self.queue.remove_too_late(2_400), (late,))

    def test_a_late_request_waited_until_its_caller_had_left(self) -> None:
        """Callers leave a stream that has not begun long before its time limit."""
        self.demand.apply_report(PEERS[0], BUSY, 1_500)
        late = dataclasses.replace(make_queued(), deadline_ms=12_000, leaves_ms=4_000)
        self.queue.add(late)
        self.assertEqual(self.queue.remove_too_late(1_500), ())
        self.demand.apply_report(PEERS[0], BUSY, 2_400)
        self.assertEqual(self.queue.remove_too_late(2_400), (late,))

    def test_more_was_admitted_than_can_be_served(self) -> None:
        waiting = pack({ON_TIME: shared_demand.ClassDemand(40, 40_000, 10, 9_999, 500)})
        self.demand.apply_report(PEERS[0], waiting, 0)
        request = make_queued()
        self.assertFalse(self.queue.accepts(request, 0))
        patient = dataclasses.replace(request, deadline_ms=12_000)
        for each in (request, dataclasses.replace(patient, arrived_ms=8_000)):
            now_ms = each.arrived_ms
            self.demand.apply_report(PEERS[0], waiting, now_ms)
            self.assertGreaterEqual(
                self.queue.retry_after_ms(each, now_ms, 0.5), each.deadline_ms - now_ms
            )

    def test_requests_that_arrived_later_went_before_returning_ones(self) -> None:
        returning = make_queued("b", first_attempt_ms=0, arrived_ms=300)
        for request in (make_queued("a", first_attempt_ms=200), returning):
            self.queue.add(request)
        self.assertEqual(self.queue.ordered(350)[0], returning)

    def test_requests_with_short_targets_found_engines_full_of_others(self) -> None:
        self.demand.apply_report(PEERS[0], BUSY, 0)
        patient = dataclasses.replace(make_queued(), target_ms=1_200)
        self.assertEqual(self.queue.shorter_target_ms(patient, 0), 500)
        self.assertIsNone(self.queue.shorter_target_ms(make_queued(), 0))
        self.assertLess(shared_admission.max_backlog_ms(1_000, 500, 60), 440)
        self.assertEqual(shared_admission.max_backlog_ms(1_000, None, 60), 1_000)

    def test_an_urgent_class_starved_another(self) -> None:
        urgent, other = make_queued("a", urgency=0), make_queued("b", urgency=3)
        for request in (urgent, other):
            self.queue.add(request)
        self.assertEqual(self.queue.ordered(0), (urgent, other))
        busy = shared_demand.ClassDemand(4, 4_000, 10, 10_000, 500)
        starved = shared_demand.ClassDemand(9, 9_000, 1, 1_000, 500)
        self.demand.apply_report(PEERS[0], pack({0: busy, 3: starved}), 200)
        self.assertEqual(self.queue.ordered(200), (other, urgent))

    def test_a_large_account_took_the_shares_of_others(self) -> None:
        large = dataclasses.replace(make_queued("a"), account="large")
        small = dataclasses.replace(
            make_queued("b", first_attempt_ms=100), account="small"
        )
        started = shared_demand.ClassDemand(0, 0, 10, 10_000, 500)
        large_key, small_key = map(shared_demand.account_key, (large, small))
        by_rank = {large.urgency: started}
        by_account = {
            large_key: shared_demand.AccountDemand(5, 8_000),
            small_key: shared_demand.AccountDemand(2, 900),
        }
        for request in (large, small):
            self.queue.add(request)
        self.demand.apply_report(PEERS[0], pack(by_rank, by_account), 200)
        self.assertEqual(self.queue.ordered(200), (small, large))
        self.assertTrue(self.queue.is_over_share(large, 200))
        self.assertFalse(self.queue.is_over_share(small, 200))
        self.queue.remove(small.request_id)
        del by_account[small_key]
        self.demand.apply_report(PEERS[0], pack(by_rank, by_account), 400)
        self.assertFalse(self.queue.is_over_share(large, 400))

    def test_queues_were_shared_without_the_setting(self) -> None:
        fleet = gateway_simulation.make_fleet(0, shares_admission=False)
        queues = service_queues.QueueByService(fleet)
        self.assertIs(type(queues[builders.LLM]), request_queue.RequestQueue)
        self.assertEqual(queues.packed_demand(), b"")


class GatewayTest(unittest.TestCase):
    def test_gateways_did_not_publish_or_use_their_demand(self) -> None:
        settings = builders.make_environment()
        sender, receiver = (
            main.Gateway(
                dataclasses.replace(settings, vm=vm, shares_admission=True),
                loop_monitor.ObservedClock(),
            )
            for vm in PEERS[:2]
        )
        with testing.capture_logs() as lines:
            encoded = peer_messages.encode_packed(sender._make_report())
            report = peer_messages.decode(encoded)
            assert isinstance(report, peer_messages.Report)
            receiver._apply_report(report)
            receiver._update_shared_demand()
        self.assertEqual(
            [line["event"] for line in lines], ["admission by shared figures"]
        )
        other = main.Gateway(settings, loop_monitor.ObservedClock())
        self.assertEqual(other._make_report().demand, b"")


# A quarter of the load of 46 gateways, for three seconds.
BURST = dataclasses.replace(
    overload_load.PATTERN,
    duration_ms=4_000,
    gateways=12,
    engines=5,
    kinds=tuple(
        dataclasses.replace(kind, per_second=kind.per_second / 4)
        for kind in overload_load.PATTERN.kinds
    ),
    burst_from_ms=500,
    burst_until_ms=3_500,
)


class BurstTest(unittest.TestCase):
    """A burst of long prompts must not make short ones late or rejected twice."""

    def test_a_burst_was_paid_for_by_short_prompts_and_rejected_twice(self) -> None:
        today = gateway_simulation.replay(BURST)
        shared = gateway_simulation.replay(
            dataclasses.replace(BURST, shares_admission=True)
        )
        hints = shared.outcome_by_kind[overload_load.HINTS.name]
        self.assertGreater(hints.on_time, 0.9 * hints.requests)
        self.assertLess(3 * rejected_twice(shared), rejected_twice(today))
        self.assertGreater(served(shared), served(today))

    def test_a_burst_of_one_account_was_paid_for_by_others(self) -> None:
        one_account = dataclasses.replace(
            BURST, accounts=24, burst_is_of_one_account=True, shares_admission=True
        )
        result = gateway_simulation.replay(one_account)
        self.assertGreater(overload_load.others_on_time(one_account, result), 0.9)

    def test_long_prompts_found_no_engine_beside_short_targets(self) -> None:
        # A long prompt alone takes longer than the backlog that short targets allow.
        pattern = gateway_simulation.Pattern(1, engines=6, shares_admission=True)
        verdicts = gateway_simulation.replay(pattern).outcome_by_kind["verdict"]
        self.assertLess(verdicts.rejected, 0.02 * verdicts.requests)

    def test_gateways_that_are_cut_off_made_others_reject(self) -> None:
        # One gateway neither sends nor gets figures; the others do without it.
        cut_off = gateway_simulation.replay(
            dataclasses.replace(BURST, shares_admission=True, cut_off_gateways=1)
        )
        hints = cut_off.outcome_by_kind[overload_load.HINTS.name]
        self.assertGreater(hints.on_time, 0.85 * hints.requests)

    def test_silent_peers_changed_the_decisions_of_own_figures(self) -> None:
        silent = dataclasses.replace(BURST, cut_off_gateways=BURST.gateways)
        today = gateway_simulation.replay(silent)
        shared = gateway_simulation.replay(
            dataclasses.replace(silent, shares_admission=True)
        )
        self.assertEqual(shared.outcome_by_kind, today.outcome_by_kind)


def rejected_twice(result: gateway_simulation.Result) -> int:
    """Return the requests that were rejected at their second attempt as well."""
    return sum(each.rejected_twice for each in result.outcome_by_kind.values())


def served(result: gateway_simulation.Result) -> int:
    """Return the requests that were answered."""
    return sum(each.on_time + each.late for each in result.outcome_by_kind.values())


if __name__ == "__main__":
    unittest.main()
