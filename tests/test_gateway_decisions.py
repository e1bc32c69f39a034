"""Tests of a gateway's decision rules, each against the failure that it prevents."""

import dataclasses
import unittest
from typing import Any

from quincecrank import ids
from quincecrank.gateway import (
    cache_part_index,
    cache_transfers,
    crash_suspicions,
    engine_weight_updates,
    event_stream,
    loading_limits,
    loads,
    placement,
    request_queue,
    retry_share,
    server_health,
    servers,
    store_cleaner,
    weights,
)
from tests import builders_gateway as builders

AFFINITY_SERVER = servers.ServerId("home")
SALT = cache_part_index.make_salt(builders.MODEL, 1, None)


class PlacementTest(unittest.TestCase):
    """Prompts with shared parts that a few of many replicas hold."""

    def choose(
        self,
        *candidates: placement.Candidate,
        memory: int = 9_000,
        slack_ms: float | None = None,
    ) -> str:
        context = placement.EngineChoiceContext(
            AFFINITY_SERVER, memory, 64_000, slack_ms
        )
        chosen = placement.choose_engine(candidates, context)
        return chosen.server.server_id if chosen else ""

    def test_a_prompt_is_placed_on_a_replica_that_holds_its_parts(self) -> None:
        warm = builders.make_candidate("warm", requests=3, missing_tokens=1_700)
        cold = builders.make_candidate("cold", missing_tokens=9_200)
        self.assertEqual(self.choose(warm, cold, slack_ms=400.0), "warm")

    def test_a_holder_with_a_long_backlog_is_not_chosen(self) -> None:
        warm = builders.make_candidate(
            "warm", requests=5, prefill_tokens=30_000, missing_tokens=1_700
        )
        cold = builders.make_candidate("cold", missing_tokens=9_200)
        self.assertEqual(self.choose(warm, cold), "cold")

    def test_the_slowness_of_a_replica_counts_in_its_estimate(self) -> None:
        slow = builders.make_candidate("slow", missing_tokens=1_700, slowness=6.0)
        cold = builders.make_candidate("cold", missing_tokens=4_000)
        self.assertEqual(self.choose(slow, cold), "cold")

    def test_no_replica_is_filled_beyond_its_memory_or_slots(self) -> None:
        full = builders.make_candidate("full", requests=6, memory_tokens=56_000)
        busy = builders.make_candidate("busy", requests=8, slots=8)
        self.assertEqual(self.choose(full, busy), "")
        self.assertEqual(self.choose(full, busy, memory=4_000), "full")

    def test_a_prompt_larger_than_the_memory_runs_on_an_idle_engine(self) -> None:
        idle = builders.make_candidate("idle")
        self.assertEqual(self.choose(idle, memory=80_000), "idle")

    def test_plain_servers_get_requests_by_their_slots(self) -> None:
        large = builders.make_candidate("large", requests=3, slots=8)
        small = builders.make_candidate("small", requests=2, slots=2)
        chosen = placement.choose_plain([large, small], "r")
        assert chosen is not None
        self.assertEqual(chosen.server.server_id, "large")
        full = builders.make_candidate("full", requests=4, slots=2)
        self.assertIsNone(placement.choose_plain([full], "r"))

    def test_a_busy_engine_that_would_make_a_request_late_is_not_chosen(self) -> None:
        busy = builders.make_candidate("busy", requests=4, prefill_tokens=20_000)
        context = placement.EngineChoiceContext(
            AFFINITY_SERVER, 9_000, 64_000, slack_ms=200.0
        )
        self.assertIsNone(placement.choose_engine([busy], context))
        idle = builders.make_candidate("idle", missing_tokens=40_000)
        self.assertEqual(placement.choose_engine([busy, idle], context), idle)

    def test_a_late_request_is_not_sent_to_an_engine_with_a_backlog(self) -> None:
        reading = builders.make_candidate("reading", requests=1, prefill_tokens=500)
        writing = builders.make_candidate("writing", requests=7, missing_tokens=9_000)
        self.assertEqual(self.choose(reading), "")
        self.assertEqual(self.choose(reading, writing), "writing")


class ShortlistTest(unittest.TestCase):
    """A service with too many replicas to evaluate each for every request."""

    def setUp(self) -> None:
        self.entries = [builders.make_entry(f"i-{number:02}") for number in range(60)]
        self.load_by_server = {
            entry.server_id: loads.Load(number % 7, 0, 1_000 + 100 * number)
            for number, entry in enumerate(self.entries)
        }

    def shortlist(self, count: int, *holders: str) -> set[str]:
        evaluated = placement.shortlist(
            self.entries[:count],
            self.load_by_server,
            {servers.ServerId(each) for each in holders},
            servers.ServerId("i-55"),
        )
        self.assertEqual(len({each.server_id for each in evaluated}), len(evaluated))
        return {each.server_id for each in evaluated}

    def test_all_replicas_of_a_small_service_are_evaluated(self) -> None:
        self.assertEqual(
            len(self.shortlist(placement.MAX_EVALUATED)), placement.MAX_EVALUATED
        )

    def test_holders_affinity_server_and_least_busy_are_evaluated(self) -> None:
        evaluated = self.shortlist(60, "i-40", "i-41")
        self.assertEqual(len(evaluated), placement.MAX_EVALUATED)
        self.assertLessEqual({"i-40", "i-41", "i-55", "i-00", "i-12"}, evaluated)

    def test_many_holders_do_not_displace_the_least_busy(self) -> None:
        evaluated = self.shortlist(60, *(f"i-{number}" for number in range(20, 60)))
        self.assertIn("i-20", evaluated)
        self.assertLessEqual({"i-00", "i-08"}, evaluated)


class WaitingTest(unittest.TestCase):
    """A burst that brings more requests than the backend servers can take."""

    def make_queue(self, starts: int, waiting_count: int) -> request_queue.RequestQueue:
        queue = request_queue.RequestQueue()
        for number in range(starts):
            queue.record_start(
                builders.make_queued_request(f"s{number}", arrived_ms=1_000), 1_000
            )
        for number in range(waiting_count):
            queue.add(builders.make_queued_request(f"w{number}", arrived_ms=900))
        return queue

    def test_a_request_that_would_start_too_late_is_rejected_at_once(self) -> None:
        queue = self.make_queue(starts=20, waiting_count=10)
        request = builders.make_queued_request(arrived_ms=1_000, target_ms=500)
        self.assertEqual(queue.expected_wait_ms(request, 1_000), 1_000)
        self.assertFalse(queue.accepts(request, 1_000))
        patient = builders.make_queued_request(arrived_ms=1_000, target_ms=4_000)
        self.assertTrue(queue.accepts(patient, 1_000))

    def test_a_more_urgent_request_starts_first(self) -> None:
        queue = self.make_queue(starts=20, waiting_count=10)
        urgent = builders.make_queued_request("urgent", urgency=0, arrived_ms=1_000)
        self.assertTrue(queue.accepts(urgent, 1_000))
        queue.add(urgent)
        self.assertEqual(queue.ordered(1_000)[0], urgent)

    def test_retry_times_are_spread_over_the_expected_wait(self) -> None:
        queue = self.make_queue(starts=20, waiting_count=20)
        request = builders.make_queued_request(arrived_ms=1_000)
        times = [queue.retry_after_ms(request, 1_000, j / 10) for j in range(11)]
        self.assertEqual(times, sorted(times))
        self.assertGreaterEqual(times[-1] - times[0], 1_900)
        self.assertLessEqual(times[-1], request_queue.MAX_RETRY_AFTER_MS)

    def test_retry_times_are_spread_while_no_request_starts(self) -> None:
        # Without starts the expected wait is infinite, but the callers must not all
        # retry at the same time.
        queue = self.make_queue(starts=0, waiting_count=3)
        request = builders.make_queued_request(arrived_ms=1_000)
        times = [queue.retry_after_ms(request, 1_000, j / 10) for j in range(11)]
        self.assertEqual(len(set(times)), len(times))
        self.assertLessEqual(times[-1], request_queue.MAX_RETRY_AFTER_MS)
        self.assertGreater(times[-1] - times[0], request_queue.MAX_RETRY_AFTER_MS / 2)

    def test_a_request_is_removed_at_its_latest_start_time(self) -> None:
        queue = request_queue.RequestQueue()
        queue.add(builders.make_queued_request("soon", deadline_ms=1_000))
        queue.add(builders.make_queued_request("later", deadline_ms=9_000))
        queue.record_start(builders.make_queued_request(), 400)
        self.assertEqual([t.request_id for t in queue.remove_too_late(400)], ["soon"])
        self.assertEqual(len(queue), 1)

    def test_requests_that_can_be_on_time_start_before_late_ones(self) -> None:
        queue = request_queue.RequestQueue()
        request_by_name = {
            "late": builders.make_queued_request("late", urgency=0, arrived_ms=0),
            "slow": builders.make_queued_request(
                "slow", arrived_ms=860, least_run_ms=400
            ),
            "new": builders.make_queued_request("new", arrived_ms=890),
            "urgent": builders.make_queued_request("urgent", urgency=0, arrived_ms=895),
        }
        for request in request_by_name.values():
            queue.add(request)
        order = [request.request_id for request in queue.ordered(900)]
        self.assertEqual(order, ["urgent", "slow", "new", "late"])

    def test_starts_of_more_urgent_requests_do_not_shorten_the_wait(self) -> None:
        # Short urgent requests start at once all the time.  Long ones wait for memory,
        # and one of them has started within the window.
        queue = request_queue.RequestQueue()
        for number in range(100):
            urgent = builders.make_queued_request(
                f"u{number}", urgency=0, arrived_ms=1_000
            )
            queue.record_start(urgent, 1_000)
        queue.record_start(builders.make_queued_request("s", arrived_ms=1_000), 1_000)
        queue.add(builders.make_queued_request("w", arrived_ms=1_000))
        request = builders.make_queued_request("r", arrived_ms=1_001)
        self.assertEqual(
            queue.expected_wait_ms(request, 1_001), request_queue.RATE_WINDOW_MS
        )
        self.assertFalse(queue.accepts(request, 1_001))

    def test_late_requests_pause_after_one_on_time_was_not_placed(self) -> None:
        queue = request_queue.RequestQueue()
        late = builders.make_queued_request("late", arrived_ms=0)
        self.assertTrue(queue.may_start(late, 1_000))
        fresh = builders.make_queued_request("fresh", arrived_ms=1_000)
        queue.record_unplaced(fresh, 1_000)
        self.assertTrue(queue.may_start(fresh, 1_001))
        self.assertFalse(queue.may_start(late, 1_001))
        queue.record_unplaced(late, 1_500)
        self.assertTrue(queue.may_start(late, 1_000 + request_queue.LATE_PAUSE_MS))


class RetryShareTest(unittest.TestCase):
    """Many backend servers fail at once, and every gateway retries its requests."""

    def test_all_gateways_together_stay_within_the_retry_budget(self) -> None:
        bounds = builders.make_bounds()
        gateways = 10
        shares = [retry_share.RetryBudgetShare(bounds) for _ in range(gateways)]
        sent = 0
        for now_ms in range(0, 10_000, 10):
            for share in shares:
                share.record_first_send(now_ms)
                # Many servers crash at once: each request needs two retries.
                sent += sum(share.try_retry(now_ms, gateways) for _ in "ab")
        requests = 1_000 * gateways
        allowed = bounds.retry_ratio * requests + bounds.retry_floor
        self.assertLessEqual(sent, allowed)
        self.assertGreater(sent, allowed / 2)

    def test_retries_older_than_the_window_do_not_count(self) -> None:
        share = retry_share.RetryBudgetShare(builders.make_bounds(retry_floor=2))
        self.assertTrue(share.try_retry(0, 1))
        self.assertFalse(share.try_retry(9_999, 1))
        self.assertTrue(share.try_retry(10_000, 1))


OUTAGE_MS = 5_000
"""Outage of the store in which entries expire."""


class ServerRegistryTest(unittest.TestCase):
    """Entries of live servers expire while the store is unavailable."""

    def test_a_removal_after_a_failed_call_was_taken_for_an_expiry(self) -> None:
        """A server that had left got requests for 2.5 s after one failed call."""
        registry = servers.ServerRegistry()
        registry.update(builders.make_entry())
        registry.mark_store_unavailable()
        registry.mark_store_available(1_000, servers.MIN_EXPIRY_OUTAGE_MS - 1)
        self.assertFalse(registry.remove(servers.ServerId("i-1"), 1_100))
        self.assertFalse(registry.remove(servers.ServerId("i-1"), 1_900))
        until_ms = 1_100 + servers.MAX_REMOVED_USE_MS
        drain_ms = builders.make_bounds().drain_ms
        self.assertLess(until_ms, 1_100 + drain_ms)
        self.assertEqual(registry.remove_expired(until_ms - 1), ())
        self.assertEqual(registry.remove_expired(until_ms), ("i-1",))

    def test_a_late_report_made_a_leaving_server_ready_again(self) -> None:
        """The store performed an earlier heartbeat after the announcement."""
        registry = servers.ServerRegistry()
        for number, state in ((4, "ready"), (6, "draining")):
            entry = builders.make_entry(state=servers.ServerState(state))
            registry.update(dataclasses.replace(entry, report_number=number))
        late = dataclasses.replace(builders.make_entry(), report_number=5)
        self.assertTrue(registry.is_late(late))
        later = dataclasses.replace(builders.make_entry(), report_number=7)
        self.assertFalse(registry.is_late(later))

    def test_a_late_report_brought_a_removed_server_back(self) -> None:
        """The store performed a heartbeat after the removal of the entry."""
        registry = servers.ServerRegistry()
        registry.update(dataclasses.replace(builders.make_entry(), report_number=6))
        self.assertTrue(registry.remove(servers.ServerId("i-1"), 0))
        for number, is_late in ((6, True), (5, True), (7, False)):
            entry = dataclasses.replace(builders.make_entry(), report_number=number)
            self.assertEqual(registry.is_late(entry), is_late, number)
        restarted = builders.make_entry(started_wall_ms=2)
        self.assertFalse(registry.is_late(restarted))

    def test_a_report_that_was_not_the_servers_hides_it_for_two_heartbeats(
        self,
    ) -> None:
        registry = servers.ServerRegistry()
        odd = dataclasses.replace(builders.make_entry(), report_number=10**12)
        registry.update(odd)
        got = [
            registry.is_late(
                dataclasses.replace(builders.make_entry(), report_number=number)
            )
            for number in (7, 8)
        ]
        self.assertEqual(got, [True, False])

    def test_an_entry_expired_in_an_outage_stays_for_the_grace_time(self) -> None:
        registry = servers.ServerRegistry()
        registry.update(builders.make_entry())
        server_id = servers.ServerId("i-1")
        registry.mark_store_unavailable()
        registry.mark_store_available(1_000, OUTAGE_MS)
        self.assertFalse(registry.remove(server_id, 1_100))
        self.assertEqual(len(registry.ready_entries(builders.LLM)), 1)
        self.assertEqual(registry.remove_expired(3_499), ())
        self.assertEqual(registry.remove_expired(3_500), (server_id,))
        self.assertEqual(registry.ready_entries(builders.LLM), ())

    def test_a_server_that_registers_again_within_the_grace_time_stays(self) -> None:
        registry = servers.ServerRegistry()
        registry.update(builders.make_entry())
        registry.mark_store_unavailable()
        registry.mark_store_available(1_000, OUTAGE_MS)
        registry.remove(servers.ServerId("i-1"), 1_100)
        registry.update(builders.make_entry())
        self.assertEqual(registry.remove_expired(9_000), ())

    def test_a_removal_while_the_store_is_available_applies_at_once(self) -> None:
        registry = servers.ServerRegistry()
        registry.update(builders.make_entry())
        self.assertTrue(registry.remove(servers.ServerId("i-1"), 5_000))
        self.assertEqual(registry.ready_entries(builders.LLM), ())

    def test_a_draining_server_has_no_grace_time(self) -> None:
        registry = servers.ServerRegistry()
        registry.update(builders.make_entry(state=servers.ServerState.DRAINING))
        registry.mark_store_unavailable()
        registry.mark_store_available(1_000, OUTAGE_MS)
        self.assertTrue(registry.remove(servers.ServerId("i-1"), 1_100))

    def test_weight_versions_of_one_incarnation_never_decrease(self) -> None:
        registry = servers.ServerRegistry()
        registry.update(builders.make_entry(weights=1))
        registry.record_loaded_weights(servers.ServerId("i-1"), 1, builders.MODEL, 2)
        late = registry.update(builders.make_entry(weights=1))
        self.assertEqual(late.weight_versions_by_model[builders.MODEL], 2)
        restarted = registry.update(builders.make_entry(weights=1, started_wall_ms=2))
        self.assertEqual(restarted.weight_versions_by_model[builders.MODEL], 1)


class WeightsTest(unittest.TestCase):
    """A new target version is set under load, and replicas of both versions serve."""

    def test_a_target_version_never_decreases(self) -> None:
        versions = weights.TargetVersions()
        self.assertTrue(versions.record_target(builders.MODEL, 3, 0))
        self.assertFalse(versions.record_target(builders.MODEL, 2, 10))
        self.assertEqual(versions.target_version(builders.MODEL), 3)

    def test_the_deadline_counts_from_the_first_gateway_that_received_it(self) -> None:
        # A gateway that was cut off receives the version six seconds late.
        versions = weights.TargetVersions()
        versions.record_target(builders.MODEL, 2, 6_000)
        self.assertFalse(versions.record_target(builders.MODEL, 2, 6_100, age_ms=6_050))
        self.assertTrue(versions.may_serve(builders.MODEL, 1, 6_400, 8_000))
        self.assertFalse(versions.may_serve(builders.MODEL, 1, 6_500, 8_000))
        versions.record_target(builders.MODEL, 2, 6_200, age_ms=10)
        self.assertFalse(versions.may_serve(builders.MODEL, 1, 6_500, 8_000))
        published = versions.to_publish(7_000)
        self.assertEqual(published, (weights.TargetWeights(builders.MODEL, 2, 6_950),))

    def test_a_gateway_that_started_passed_its_unknown_time_on_as_a_long_age(
        self,
    ) -> None:
        """All gateways took the deadline as passed once one had started again."""
        started, longer_up = weights.TargetVersions(), weights.TargetVersions()
        started.record_target(builders.MODEL, 2, 1_000, None)
        longer_up.record_target(builders.MODEL, 2, 0)
        for sender, receiver in ((started, longer_up), (longer_up, started)):
            for target in sender.to_publish(1_000):
                receiver.record_target(
                    target.model, target.version, 1_000, target.age_ms
                )
        for versions in (started, longer_up):
            self.assertTrue(versions.may_serve(builders.MODEL, 1, 6_300, 8_000))
            self.assertFalse(versions.may_serve(builders.MODEL, 1, 6_500, 8_000))

    def test_outdated_weights_serve_only_until_the_deadline(self) -> None:
        versions = weights.TargetVersions()
        versions.record_target(builders.MODEL, 2, 1_000)
        self.assertTrue(versions.may_serve(builders.MODEL, 1, 7_300, 8_000))
        self.assertFalse(versions.may_serve(builders.MODEL, 1, 7_500, 8_000))

    def test_outdated_and_target_weights_serve_together(self) -> None:
        old, new = builders.make_entry("old"), builders.make_entry("new", weights=2)
        plain = builders.make_entry("plain", weights=None)
        cases = [
            ([old, new, plain], 2, 0, [old, new]),
            ([old, new], 2, 7_500, [new]),
            ([old], 2, 7_500, []),
            ([old, new], None, 7_500, [old, new]),
        ]
        for candidates, target_version, age_ms, expected in cases:
            with self.subTest(target_version=target_version, age_ms=age_ms):
                versions = weights.TargetVersions()
                if target_version is not None:
                    versions.record_target(builders.MODEL, target_version, 0)
                eligible = versions.eligible_replicas(
                    candidates, builders.MODEL, age_ms, 8_000
                )
                self.assertEqual(list(eligible), expected)

    def test_a_second_target_version_gave_outdated_weights_more_time(self) -> None:
        """The deadline of version 2 was replaced by the later one of version 3."""
        versions = weights.TargetVersions()
        versions.record_target(builders.MODEL, 2, 0)
        versions.record_target(builders.MODEL, 3, 4_000)
        may_serve = [
            versions.may_serve(builders.MODEL, version, now_ms, 8_000)
            for version, now_ms in ((1, 6_300), (1, 6_500), (2, 10_300), (2, 10_500))
        ]
        self.assertEqual(may_serve, [True, False, True, False])
        # A gateway that starts later receives both from its peers, in any order.
        started = weights.TargetVersions()
        for target in reversed(versions.to_publish(5_000)):
            started.record_target(target.model, target.version, 5_000, target.age_ms)
        self.assertFalse(started.may_serve(builders.MODEL, 1, 6_500, 8_000))
        self.assertEqual(started.target_version(builders.MODEL), 3)

    def test_many_target_versions_are_merged_towards_the_earlier_deadline(self) -> None:
        versions = weights.TargetVersions()
        for version in range(2, 2 * weights.MAX_TARGETS):
            versions.record_target(builders.MODEL, version, version * 1_000)
        self.assertEqual(len(versions.to_publish(0)), weights.MAX_TARGETS)
        self.assertEqual(versions.outdated_since_ms(builders.MODEL, 1), 2_000)

    def test_the_first_replica_with_new_weights_is_not_overloaded(self) -> None:
        versions = weights.TargetVersions()
        versions.record_target(builders.MODEL, 2, 0)
        late_ms = weights.OUTDATED_FULL_VALUE_MS
        penalties = [
            versions.outdated_penalty_ms(builders.MODEL, version, now_ms)
            for version, now_ms in ((1, 0), (1, late_ms), (2, late_ms))
        ]
        self.assertEqual(penalties, [0.0, weights.OUTDATED_PENALTY_MS, 0.0])
        # A burst of prompts whose shared parts only the old replica has cached.
        chosen = []
        backlog = {"old": 0, "new": 0}
        missing = {"old": 1_700, "new": 9_200}
        for _ in range(12):
            candidates = [
                dataclasses.replace(
                    builders.make_candidate(
                        name,
                        prefill_tokens=backlog[name],
                        missing_tokens=missing[name],
                    ),
                    penalty_ms=weights.OUTDATED_PENALTY_MS * (name == "old"),
                )
                for name in ("old", "new")
            ]
            context = placement.EngineChoiceContext(AFFINITY_SERVER, 9_200, 64_000)
            best = placement.choose_engine(candidates, context)
            assert best is not None
            chosen.append(str(best.server.server_id))
            backlog[chosen[-1]] += missing[chosen[-1]]
        self.assertEqual(chosen[0], "new")
        self.assertGreater(chosen.count("old"), chosen.count("new"))

    def test_only_some_engines_load_weights_at_once(self) -> None:
        counts = {1: 1, 2: 1, 3: 2, 5: 2, 10: 4, 22: 8}
        for engines, expected in counts.items():
            with self.subTest(engines):
                self.assertEqual(loading_limits.fixed_limit(engines), expected)

    def test_a_small_service_lost_all_its_engines_at_once(self) -> None:
        # Half of the slots are taken, and there is time for many rounds.
        counts = {1: 1, 2: 1, 3: 2, 5: 2, 10: 2, 22: 6}
        for engines, expected in counts.items():
            with self.subTest(engines):
                room = self.make_room(engines, running=engines * 4, left_ms=60_000)
                self.assertEqual(loading_limits.max_concurrent_loadings(room), expected)

    @staticmethod
    def make_room(engines: int, **changes: Any) -> loading_limits.Room:
        """Return the room of a service with eight slots an engine."""
        room = loading_limits.Room(engines, 8, 0, 0, engines, 9_600)
        return dataclasses.replace(room, **changes)

    def test_loadings_took_the_engines_of_waiting_requests(self) -> None:
        quiet = self.make_room(27, left_ms=60_000)
        for changes, expected in (
            ({}, 14),
            ({"running": 27 * 4}, 7),
            ({"running": 27 * 8}, 2),
            ({"waiting": 3}, 2),
        ):
            with self.subTest(changes):
                room = dataclasses.replace(quiet, **changes)
                self.assertEqual(loading_limits.max_concurrent_loadings(room), expected)

    def test_most_engines_were_outdated_at_the_deadline(self) -> None:
        """Requests waited, so that too few engines loaded before."""
        for left_ms, expected in ((9_600, 9), (5_000, 14), (1_000, 16), (0, 10)):
            with self.subTest(left_ms):
                room = self.make_room(27, waiting=3, left_ms=left_ms)
                self.assertEqual(loading_limits.max_concurrent_loadings(room), expected)

    def test_an_engine_announced_as_loading_gets_no_requests(self) -> None:
        updates = engine_weight_updates.WeightUpdates()
        entry = builders.make_entry()
        updates.apply(builders.make_weight_update(), 0)
        self.assertTrue(updates.is_loading(entry, 1_000))
        self.assertFalse(updates.is_loading(entry, engine_weight_updates.LOADING_MS))
        self.assertTrue(
            updates.apply(builders.make_weight_update(is_loaded=True), 1_000)
        )
        self.assertFalse(updates.is_loading(entry, 1_000))
        self.assertFalse(updates.apply(builders.make_weight_update(), 1_100))
        self.assertTrue(updates.apply(builders.make_weight_update(version=3), 1_200))
        self.assertTrue(updates.is_loading(entry, 1_300))


class KeptPartsTest(unittest.TestCase):
    """Long shared parts return after engines have evicted them."""

    prompt = builders.make_prompt(("guide", 2_500), ("station", 5_000), ("own", 1_700))

    def fetch(
        self, held: int, tokens: dict[str, dict[str, int]]
    ) -> cache_transfers.Transfers:
        sources = [
            builders.make_source("engine", is_store=False),
            builders.make_source("store"),
        ]
        cache_index = builders.make_cache_index(SALT, tokens)
        return cache_transfers.plan_fetch(
            self.prompt.parts, held, SALT, sources, cache_index, 96_256
        )

    def test_the_fetch_ends_at_the_first_part_that_nobody_holds(self) -> None:
        plan = self.fetch(0, {"store": {"station": 5_000}})
        self.assertEqual((plan.fetch_from, plan.fetched_tokens), ((None,) * 3, 0))
        plan = self.fetch(0, {"store": {"guide": 2_500, "station": 5_000}})
        self.assertEqual(plan.fetched_tokens, 7_500)
        self.assertEqual(plan.fetch_from, ("store:1", "store:1", None))

    def test_an_incomplete_part_is_not_fetched(self) -> None:
        plan = self.fetch(0, {"store": {"guide": 2_499}})
        self.assertEqual(plan.fetched_tokens, 0)

    def test_a_store_is_given_for_parts_that_an_engine_may_have_evicted(self) -> None:
        tokens = {"store": {"guide": 2_500}, "engine": {"guide": 2_500}}
        plan = self.fetch(1, tokens)
        self.assertEqual((plan.fetch_from[0], plan.fetched_tokens), ("store:1", 0))

    def test_a_part_whose_save_is_pending_is_not_saved_again(self) -> None:
        pending_saves = cache_transfers.PendingSaves()
        stores = [
            builders.make_source("fast", capacity_tokens=4_000),
            builders.make_source("large", capacity_tokens=90_000, link_mbps=250_000),
        ]
        cache_index = builders.make_cache_index(SALT, {"fast": {}, "large": {}})

        def save(now_ms: int) -> tuple[str | None, ...]:
            return cache_transfers.plan_save(
                self.prompt, SALT, stores, cache_index, pending_saves, now_ms
            )

        self.assertEqual(save(0), ("fast:1", "large:1", None))
        self.assertEqual(save(100), ())
        self.assertEqual(
            save(cache_transfers.PENDING_SAVE_MS), ("fast:1", "large:1", None)
        )

    def test_nothing_is_saved_to_a_full_or_just_started_store(self) -> None:
        cache_index = builders.make_cache_index(SALT, {"s": {"x": 9_000}})
        full = builders.make_source("s")
        young = builders.make_source(
            "s",
            capacity_tokens=90_000,
            known_for_ms=cache_transfers.MIN_STORE_AGE_MS - 1,
        )
        for store in (full, young):
            pending_saves = cache_transfers.PendingSaves()
            saves = cache_transfers.plan_save(
                self.prompt, SALT, [store], cache_index, pending_saves, 0
            )
            self.assertEqual(saves, ())

    def test_salts_differ_by_weights_and_isolated_account(self) -> None:
        closed = ids.AccountName("closed")
        salts = {
            cache_part_index.make_salt(builders.MODEL, version, owner)
            for version in (1, 2)
            for owner in (None, closed)
        }
        self.assertEqual(len(salts), 4)
        salt_weights = {cache_part_index.parse_salt(salt) for salt in salts}
        expected = {cache_part_index.SaltWeights(builders.MODEL, v) for v in (1, 2)}
        self.assertEqual(salt_weights, expected)
        foreign = cache_part_index.CacheSalt("x")
        self.assertIsNone(cache_part_index.parse_salt(foreign))

    def test_only_parts_of_outdated_weights_are_freed(self) -> None:
        old = cache_part_index.make_salt(builders.MODEL, 1, None)
        new = cache_part_index.make_salt(builders.MODEL, 2, None)
        part = self.prompt.parts[0].part_id
        keys = [cache_part_index.PartKey(salt, part) for salt in (old, new)]
        foreign = cache_part_index.PartKey(cache_part_index.CacheSalt("x"), part)
        freed = store_cleaner.obsolete_parts((*keys, foreign), {builders.MODEL: 2})
        self.assertEqual(freed, (keys[0],))


class CrashSuspicionsTest(unittest.TestCase):
    """One request crashes every server that runs it, and its caller repeats it."""

    def setUp(self) -> None:
        self.crashed: set[int] = set()
        self.suspicions = crash_suspicions.CrashSuspicions(
            lambda each: each.started_wall_ms in self.crashed
        )
        self.request = builders.make_subject()

    def suspect(self, number: int, now_ms: int) -> None:
        entry = builders.make_entry(started_wall_ms=number)
        self.suspicions.record_broken_answer(self.request, entry, now_ms - 50, now_ms)

    def is_rejected(self) -> bool:
        return self.suspicions.finding_against(self.request) is not None

    def test_a_request_is_rejected_after_three_crashes(self) -> None:
        for number in range(3):
            self.suspicions.decide(number * 1_000)
            self.assertFalse(self.is_rejected())
            self.suspect(number, number * 1_000)
            self.crashed.add(number)
            self.suspicions.confirm_crashes(number * 1_000 + 500)
        self.suspicions.decide(2_500)
        self.assertTrue(self.is_rejected())
        self.assertEqual(len(self.suspicions.to_publish(2_600)), 3)

    def test_a_broken_answer_of_a_live_server_does_not_count(self) -> None:
        self.suspect(1, 0)
        self.assertEqual(
            self.suspicions.confirm_crashes(crash_suspicions.CONFIRMATION_TIMEOUT_MS),
            (),
        )
        self.crashed.add(1)
        self.assertEqual(
            self.suspicions.confirm_crashes(
                crash_suspicions.CONFIRMATION_TIMEOUT_MS + 1
            ),
            (),
        )

    def test_crashes_of_peers_count(self) -> None:
        records = tuple(
            crash_suspicions.CrashRecord(
                self.request.request, f"i-{number}/1", number * 5_000, 50
            )
            for number in range(3)
        )
        self.suspicions.merge(records, 10_000)
        self.suspicions.decide(15_000)
        self.assertTrue(self.is_rejected())

    def test_a_completed_request_is_cleared(self) -> None:
        for number in range(3):
            self.suspect(number, number * 5_000)
            self.crashed.add(number)
        self.suspicions.confirm_crashes(10_500)
        self.suspicions.decide(10_600)
        self.assertTrue(self.is_rejected())
        self.suspicions.record_answer(self.request, 11_000)
        self.suspicions.decide(11_500)
        self.assertFalse(self.is_rejected())


class LoadsTest(unittest.TestCase):
    """Loads of a peer whose reports stop must not count for ever."""

    def test_a_peers_load_counts_until_its_report_expires(self) -> None:
        tracked = loads.Loads()
        server = servers.ServerId("i-1")
        tracked.record_start(server, ids.RequestId("a"), 9_000, 7_000)
        tracked.apply_peer_report(ids.VmName("p"), {server: loads.Load(2, 100, 50)}, 0)
        self.assertEqual(tracked.total_load(server, 10), loads.Load(3, 9_100, 7_050))
        tracked.record_prefill_end(server, ids.RequestId("a"))
        expected = loads.Load(1, 9_000, 0)
        self.assertEqual(tracked.total_load(server, loads.PEER_EXPIRY_MS), expected)
        tracked.record_end(server, ids.RequestId("a"))
        self.assertEqual(tracked.own_load_by_server(), {})


class HealthTest(unittest.TestCase):
    """Replicas that pass their health check but fail, refuse or delay requests."""

    def test_an_unreachable_server_gets_no_requests_for_a_while(self) -> None:
        health = server_health.ServerHealth(1)
        health.mark_unreachable(1_000)
        self.assertFalse(health.allows(1_000))
        self.assertTrue(health.allows(1_500))

    def test_a_server_that_refuses_as_full_is_paused(self) -> None:
        health = server_health.ServerHealth(1)
        health.record_refusal(0)
        self.assertFalse(health.allows(server_health.FULL_PAUSE_MS - 1))
        self.assertTrue(health.allows(server_health.FULL_PAUSE_MS))

    def test_slowness_is_relative_to_the_servers_of_a_service(self) -> None:
        # All answers take five times the expected time, those of one server longer.
        registry = server_health.HealthRegistry()
        entries = [builders.make_entry(f"i-{number}") for number in range(5)]
        for _ in range(60):
            for number, entry in enumerate(entries):
                registry.health_of(entry).record_answer(
                    150.0 if number else 240.0, 30.0
                )
        slowness = registry.relative_slowness(entries)
        self.assertAlmostEqual(slowness[entries[0].server_id], 1.6, places=1)
        self.assertEqual({slowness[entry.server_id] for entry in entries[1:]}, {1.0})
        self.assertEqual(registry.relative_slowness([]), {})

    def test_a_new_incarnation_starts_with_fresh_health(self) -> None:
        registry = server_health.HealthRegistry()
        registry.health_of(builders.make_entry()).mark_unreachable(0)
        restarted = builders.make_entry(started_wall_ms=2)
        self.assertTrue(registry.health_of(restarted).allows(0))


class EventSplitterTest(unittest.TestCase):
    """A caller must not receive part of an event from a server that breaks off."""

    def test_only_complete_events_are_forwarded(self) -> None:
        splitter = event_stream.EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\nda"), b"")
        self.assertTrue(splitter.has_partial_event)
        complete = splitter.feed(b"ta: x\n\nid: 2\ndata: y\n\nid: 3")
        self.assertEqual(complete, b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
        self.assertEqual((splitter.last_id, splitter.event_count), ("2", 2))
        splitter.drop_partial_event()
        self.assertEqual(splitter.feed(b"id: 3\n\n"), b"id: 3\n\n")
        self.assertFalse(splitter.has_partial_event)
