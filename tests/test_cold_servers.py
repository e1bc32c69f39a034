"""Tests of cold servers: which are cold, and what gateways send them together."""

import dataclasses
import itertools
import json
import random
import unittest
from collections.abc import Callable
from typing import Any

from structlog import testing

from bench import rate_limit_simulation
from quincecrank import clock as clocks
from quincecrank import ids, rendezvous, store_rows
from quincecrank.gateway import (
    cold_servers,
    deployment,
    dispatcher,
    fleet_state,
    placements,
    row_consumers,
    send_permits,
    servers,
)
from quincecrank.platform import answers, documents
from tests import builders_gateway as builders

Evidence = Callable[[cold_servers.ColdServers, int, int], int]
"""Step that applies evidence, given the report that is known and the time; it returns
the report that is known then."""

COLD_START_MS = 10_000
COLD_PER_S = 15.0


def make_fleet(
    clock: clocks.Clock, *, overshoot: float | None = 1.5
) -> fleet_state.FleetState:
    """Return the state of a gateway without a configuration."""
    settings = dataclasses.replace(
        builders.make_environment(),
        bounds=builders.make_bounds(
            cold_overshoot=overshoot, evacuation_apply_ms=5_000
        ),
    )
    return fleet_state.FleetState(settings, clock)


def make_configuration(cold_per_s: float = COLD_PER_S) -> deployment.Deployment:
    """Return a configuration whose services may have cold servers."""
    document = builders.make_configuration_document()
    for service in document["services"][1:]:
        service["coldStartS"] = COLD_START_MS / clocks.MS_PER_SECOND
        service["coldPerS"] = cold_per_s
    return documents.configuration(json.dumps(document))


class ColdEntriesTest(unittest.TestCase):
    """Entries as the table of servers delivers them."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.fleet = make_fleet(self.clock)
        self.fleet.apply_configuration(make_configuration())
        self.version = 0

    def apply(self, **changes: Any) -> bool:
        """Apply an entry of the server i-1; return whether it is significant."""
        self.version += 1
        row = store_rows.Row(
            "i-1",
            json.dumps(builders.make_entry_document(**changes)),
            store_rows.Position(0, self.version),
        )
        consumer = row_consumers.ServerRowConsumer(self.fleet)
        return bool(consumer.apply_changes((row,)))

    def limit(self) -> float | None:
        """Return the limit of the server i-1."""
        entry = self.fleet.registry.find(servers.ServerId("i-1"))
        assert entry is not None
        return self.fleet.rate_limits.limit_of(entry.incarnation)

    def is_cold(self) -> bool:
        """Return whether the server i-1 counts as cold."""
        self.fleet.update_cold_limits("time")
        return self.fleet.is_cold(self.fleet.registry.entries()[0])

    def test_a_server_that_starts_again_is_limited_from_its_first_entry(self) -> None:
        """The entry of a new start was recorded, then discarded with the old start."""
        self.apply(seq=90, born=1)
        self.apply(seq=1, born=2, coldRemainingMs=COLD_START_MS)
        self.assertEqual(self.limit(), COLD_PER_S)

    def test_an_entry_that_turns_cold_is_pushed_at_once(self) -> None:
        self.apply(seq=4)
        self.assertTrue(self.apply(seq=5, coldRemainingMs=2_000))
        self.assertFalse(self.apply(seq=6, coldRemainingMs=1_500))

    def test_servers_are_limited_whichever_table_is_read_first(self) -> None:
        """Entries that were read before the configuration limited nothing."""
        self.fleet = make_fleet(self.clock)
        self.apply(coldRemainingMs=2_000)
        self.fleet.apply_configuration(make_configuration())
        self.assertEqual(self.limit(), COLD_PER_S)

    def test_other_deployments_limit_no_cold_servers(self) -> None:
        """Entries state the field everywhere; only some operators set a bound."""
        for overshoot, per_s in ((None, COLD_PER_S), (1.5, 0.0)):
            with self.subTest(overshoot=overshoot, per_s=per_s):
                self.fleet = make_fleet(self.clock, overshoot=overshoot)
                self.fleet.apply_configuration(make_configuration(per_s))
                self.assertFalse(self.apply(coldRemainingMs=2_000) and self.is_cold())
                self.fleet.presume_cold(self.fleet.own_settings.data_centre)
                self.assertFalse(self.is_cold())
                self.assertIsNone(self.limit())

    def test_an_odd_time_in_an_answer_tells_nothing(self) -> None:
        for odd in ("", "-1", "1.5", "\u0663", "9" * 10, "9" * 5_000, "soon", "1 2"):
            with self.subTest(odd[:12]):
                headers = builders.make_headers(Cold_Ms=odd)
                self.assertIsNone(answers.decode(200, headers).cold_ms)
        headers = builders.make_headers(Cold_Ms=" 900 ")
        self.assertEqual(answers.decode(503, headers).cold_ms, 900)
        self.assertIsNone(answers.decode(421, headers).cold_ms)

    def test_one_line_says_that_a_server_is_cold_and_one_that_it_is_warm(self) -> None:
        """Neither the end of an evacuation nor that of the time was logged."""
        self.apply(seq=4)
        with testing.capture_logs() as lines:
            self.fleet.presume_cold(self.fleet.own_settings.data_centre)
            self.assertTrue(self.is_cold())
            self.clock.advance(COLD_START_MS)
            self.assertFalse(self.is_cold())
        told = [(each["event"], each["origin"]) for each in lines]
        expected = [("server is cold", "evacuation ended"), ("server is warm", "time")]
        self.assertEqual(told, expected)
        self.assertEqual(lines[0]["remaining_ms"], COLD_START_MS)

    def test_an_entry_that_is_read_again_starts_no_cold_period(self) -> None:
        """A full read after an outage repeated an entry whose time had passed."""
        self.apply(seq=4, coldRemainingMs=2_000)
        self.clock.advance(2_000 + cold_servers.PUBLISH_ENDED_MS)
        self.fleet.cold_servers.remove_ended(self.clock.now_ms())
        self.apply(seq=4, coldRemainingMs=2_000)
        self.assertFalse(self.is_cold())

    def test_an_answer_shows_that_a_server_is_cold_anew(self) -> None:
        """A second cold period within one report was taken for the first one."""
        self.apply(seq=4, coldRemainingMs=0)
        entry = self.fleet.registry.entries()[0]
        self.fleet.record_cold_answer(entry, 1_000)
        self.clock.advance(1_500)
        self.assertFalse(self.is_cold())
        self.fleet.record_cold_answer(entry, 5_000)
        self.clock.advance(4_000)
        self.assertTrue(self.is_cold())


class ColdPlacementTest(unittest.IsolatedAsyncioTestCase):
    """Requests at one gateway while some servers of a service are cold."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.fleet = make_fleet(self.clock)
        self.fleet.apply_configuration(make_configuration())
        self.dispatcher = dispatcher.Dispatcher(self.fleet, random.Random(1))
        self.count = 0

    def add(
        self,
        server_id: str,
        cold_ms: int,
        *,
        service: deployment.ServiceName,
        slots: int,
    ) -> servers.ServerEntry:
        """Register a server, with permits for all requests if it is cold."""
        entry = dataclasses.replace(
            builders.make_entry(server_id, service=service, slots=slots),
            cold_remaining_ms=cold_ms,
        )
        self.fleet.record_cold_entry(self.fleet.registry.update(entry), None)
        if cold_ms:
            grant = send_permits.Grant(entry.incarnation, 99, 1_000, 1)
            self.fleet.send_permits.apply_grants((grant,), 1_000)
        return entry

    def place(
        self, service: deployment.ServiceName, part: str = "guide"
    ) -> placements.Placement:
        """Place a request, which stays at its server."""
        self.count += 1
        assert self.fleet.configuration is not None
        prompt = builders.make_prompt((part, 2_000), (f"own-{self.count}", 10))
        placed = self.dispatcher.place_now(
            placements.PlacementRequest(
                builders.make_queued_request(f"r-{self.count}", arrived_ms=1_000),
                self.fleet.configuration.services_by_name[service],
                None,
                prompt if service == builders.LLM else None,
            )
        )
        assert placed is not None
        return placed

    def test_plain_requests_avoid_cold_servers_while_a_warm_one_is_free(self) -> None:
        """A cold server has no load, and so was the first choice of every gateway."""
        self.add("cold", 9_000, service=builders.PLAIN, slots=4)
        self.add("warm", 0, service=builders.PLAIN, slots=3)
        chosen = [self.place(builders.PLAIN).server.server_id for _ in range(5)]
        self.assertEqual(chosen, ["warm"] * 3 + ["cold"] * 2)

    def test_prompts_avoid_cold_engines_but_for_those_that_return_there(self) -> None:
        for name, cold_ms in (("cold", 9_000), ("warm-1", 0), ("warm-2", 0)):
            self.add(name, cold_ms, service=builders.LLM, slots=64)
        chosen = {}
        for part in map(str, range(12)):
            home = rendezvous.ranked(part, ["cold", "warm-1", "warm-2"], 1)[0]
            placed = self.place(builders.LLM, part)
            chosen[part] = (home, placed.server.server_id)
        to_cold = {home for home, server in chosen.values() if server == "cold"}
        self.assertEqual(to_cold, {"cold"})

    def test_times_of_cold_servers_are_kept_apart(self) -> None:
        """An answer that ended after the cold time counted as one of a warm server."""
        entry = self.add("cold", 400, service=builders.PLAIN, slots=4)
        usual = self.fleet.service_times.times_of(builders.PLAIN)
        for _ in range(8):
            placed = self.place(builders.PLAIN)
            self.fleet.loads.record_end(entry.server_id, placed_id(self.count))
            self.clock.advance(50)
            self.fleet.update_cold_limits("time")
            self.fleet.record_answer_time(placed, 4_000)
        self.assertFalse(self.fleet.is_cold(entry))
        self.assertEqual(self.fleet.service_times.times_of(builders.PLAIN), usual)
        self.assertEqual(self.fleet.health.health_of(entry).slowness, 1.0)
        self.assertGreater(self.fleet.cold_servers.slowness(builders.PLAIN), 1.5)


def placed_id(number: int) -> ids.RequestId:
    """Return the id of a request of `ColdPlacementTest`."""
    return ids.RequestId(f"r-{number}")


class UnlimitedPermits(send_permits.SendPermits):
    """Mutation: allows every request."""

    def allows(self, incarnation: servers.Incarnation, now_ms: int) -> bool:
        return True

    def take(
        self, incarnation: servers.Incarnation, now_ms: int
    ) -> send_permits.Permit | None:
        return send_permits.Permit(incarnation, now_ms + 1_000)


class ColdDataCentreTest(unittest.TestCase):
    """The servers of a data centre turn cold at once, under too much load for them."""

    cold = rate_limit_simulation.ColdTime(8, COLD_PER_S, 3_000, 6_500)

    def most_requests(self, **changes: Any) -> list[int]:
        """Return the most requests that each cold server gets in any second."""
        pattern = rate_limit_simulation.Pattern(
            seed=2,
            gateways=46,
            per_second=400.0,
            limits_by_server=((),) * 12,
            duration_ms=7_000,
            slots=4,
            cold=self.cold,
        )
        changed = dataclasses.replace(pattern, **changes)
        result = rate_limit_simulation.simulate(changed)
        return [
            each.most_in_a_second(self.cold.from_ms, self.cold.until_ms)
            for each in result.servers[: self.cold.servers]
        ]

    def test_46_gateways_with_different_views_keep_the_bound(self) -> None:
        """One is suspended, one cut off from all, and one starts meanwhile.

        14 servers that came back at once got so many requests that half of the answers
        were late.
        """
        everyone = frozenset(range(46))
        one = frozenset({7})
        most = self.most_requests(
            freezes=(rate_limit_simulation.Freeze(5, 3_050, 5_000),),
            cuts=(
                rate_limit_simulation.Cut(one, everyone - one, 2_500, 6_000),
                rate_limit_simulation.Cut(everyone - one, one, 2_500, 6_000),
            ),
            restarts=(rate_limit_simulation.Restart(9, 3_400, 4_000),),
        )
        self.assertLessEqual(max(most), COLD_PER_S * 1.5 + 5)

    def test_without_permits_the_bound_is_exceeded(self) -> None:
        """Shows that the load of the test above is enough to exceed it."""
        most = self.most_requests(gateways=10, make_permits=UnlimitedPermits)
        self.assertGreater(max(most), COLD_PER_S * 1.5 + 5)


def peer_state(report: int, remaining_ms: int, *, presumed: bool = False) -> Evidence:
    """Return the step that applies a peer's state."""
    entry = make_entry(0)

    def apply(cold: cold_servers.ColdServers, known: int, now_ms: int) -> int:
        state = cold_servers.ColdState(
            entry.incarnation, report, presumed, remaining_ms
        )
        cold.apply_peer(state, make_entry(known), now_ms)
        return known

    return apply


def own_entry(report: int, remaining_ms: int) -> Evidence:
    """Return the step that applies an entry; late ones are not applied."""

    def apply(cold: cold_servers.ColdServers, known: int, now_ms: int) -> int:
        if report >= known:
            entry = make_entry(report, remaining_ms)
            cold.record_entry(entry, make_entry(known), now_ms)
        return max(known, report)

    return apply


def make_entry(report: int, remaining_ms: int = 0) -> servers.ServerEntry:
    """Return the entry of a report."""
    return dataclasses.replace(
        builders.make_entry(), report_number=report, cold_remaining_ms=remaining_ms
    )


class EvidenceOrderTest(unittest.TestCase):
    """Entries and peers' states in any order, some of them twice."""

    def cold_at_end(self, steps: tuple[Evidence, ...]) -> bool:
        """Apply evidence 20 ms apart; return whether the server is cold."""
        cold, known = cold_servers.ColdServers(), 0
        for number, step in enumerate(steps):
            known = step(cold, known, 1_000 + 20 * number)
        return cold.is_cold(make_entry(0).incarnation, 1_200)

    def test_the_last_report_decides_whatever_the_order(self) -> None:
        """A peer's older state made a server cold that had reported to be warm."""
        cases = {
            "cold, warm": ((own_entry(3, 9_000), own_entry(4, 0)), False),
            "warm, cold": ((own_entry(3, 0), own_entry(4, 9_000)), True),
            "presumed later": (
                (own_entry(4, 0), peer_state(4, 9_000, presumed=True)),
                True,
            ),
            "presumed earlier": (
                (own_entry(4, 0), peer_state(3, 9_000, presumed=True)),
                False,
            ),
            "presumed, then again": (
                (
                    peer_state(4, 10, presumed=True),
                    peer_state(4, 9_000, presumed=True),
                    own_entry(4, 0),
                ),
                True,
            ),
            "peer's entries": (
                (peer_state(3, 9_000), peer_state(4, 0), own_entry(4, 0)),
                False,
            ),
        }
        for name, (evidence, expected) in cases.items():
            for steps in itertools.permutations((*evidence, evidence[0])):
                with self.subTest(name, steps=steps):
                    self.assertIs(self.cold_at_end(steps), expected)

    def test_a_presumed_end_does_not_move_from_gateway_to_gateway(self) -> None:
        """Each report would add its travel time, so that the period never ended."""
        entry = make_entry(1)
        known = [cold_servers.ColdServers() for _ in range(2)]
        known[0].presume_cold(entry, 3_000, 0)
        for now_ms in range(0, 3_000 + cold_servers.PUBLISH_ENDED_MS, 100):
            sender = known[now_ms // 100 % 2]
            receiver = known[1 - now_ms // 100 % 2]
            for state in sender.states(now_ms):
                receiver.apply_peer(state, entry, now_ms + 90)
            if now_ms >= 3_200:
                is_cold = [each.is_cold(entry.incarnation, now_ms) for each in known]
                self.assertEqual(is_cold, [False, False])
        removed = known[0].remove_ended(3_000 + cold_servers.PUBLISH_ENDED_MS)
        self.assertEqual(removed, (entry.incarnation,))
