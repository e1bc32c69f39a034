"""Tests of the evidence that backend servers have ended, and of what refutes it."""

import asyncio
import itertools
import json
import unittest
from typing import Final

from quincecrank import clock as clocks
from quincecrank import store_rows
from quincecrank.gateway import fleet_state, row_consumers, server_liveness, servers
from tests import builders_gateway as builders
from tests import gateway_case as case

SERVER: Final = servers.Incarnation(servers.ServerId("i-1"), 17)
RESTARTED: Final = servers.Incarnation(servers.ServerId("i-1"), 18)
REPORTS: Final = server_liveness.CONFIRMING_REPORTS + 1
PROMPT: Final = {
    "Model": "model-a",
    "Token_Count": "100,5",
    "Prompt_Prefix": "a:60",
}


def refused_at(at_ms: int) -> server_liveness.LivenessRegistry:
    """Return a registry with a refusal of a server."""
    registry = server_liveness.LivenessRegistry()
    registry.record_refusal(SERVER, at_ms)
    return registry


class LivenessTest(unittest.TestCase):
    def test_a_refusal_held_a_server_for_ended_for_good(self) -> None:
        """Later reports of the same start did not end it."""
        registry = refused_at(1_000)
        self.assertTrue(registry.may_have_ended(SERVER))
        shown = [
            registry.record_report(SERVER, 40 + number, 1_500 + number)
            for number in range(REPORTS)
        ]
        self.assertEqual(shown, [False] * (REPORTS - 1) + [True])
        self.assertFalse(registry.may_have_ended(SERVER))

    def test_an_end_held_a_server_for_ended_for_good(self) -> None:
        """Each later broken answer of it counted as a crash."""
        registry = server_liveness.LivenessRegistry()
        registry.record_end(SERVER, 1_000)
        self.assertTrue(registry.has_ended(SERVER))
        for number in range(REPORTS):
            registry.record_report(SERVER, number, 1_500)
        self.assertFalse(registry.has_ended(SERVER))

    def test_a_late_write_of_the_store_shows_no_life(self) -> None:
        registry = refused_at(1_000)
        for _ in range(REPORTS):
            self.assertFalse(registry.record_report(SERVER, 41, 2_000))
        self.assertFalse(registry.record_report(SERVER, 42, 3_000))
        self.assertTrue(registry.may_have_ended(SERVER))

    def test_a_later_refusal_counts_again(self) -> None:
        registry = refused_at(1_000)
        for number in range(REPORTS):
            registry.record_report(SERVER, number, 1_500)
        registry.record_refusal(SERVER, 2_000)
        self.assertTrue(registry.may_have_ended(SERVER))

    def test_bytes_on_an_older_link_show_life_and_on_a_newer_one_do_not(self) -> None:
        read_ms = 1_000 + server_liveness.MAX_UNREAD_MS
        for opened_ms, shows_life in ((999, True), (1_000, False), (1_200, False)):
            registry = refused_at(1_000)
            got = registry.record_bytes(SERVER, opened_ms, read_ms)
            self.assertEqual(got, shows_life)
            self.assertEqual(registry.may_have_ended(SERVER), not shows_life)

    def test_bytes_that_were_sent_before_the_end_showed_life(self) -> None:
        """They lay unread when a connection was refused."""
        registry = refused_at(1_000)
        early_ms = 1_000 + server_liveness.MAX_UNREAD_MS - 1
        self.assertFalse(registry.record_bytes(SERVER, 500, early_ms))
        self.assertTrue(registry.may_have_ended(SERVER))

    def test_evidence_about_another_start_is_kept_apart(self) -> None:
        registry = refused_at(1_000)
        self.assertFalse(registry.may_have_ended(RESTARTED))
        for number in range(REPORTS):
            registry.record_report(RESTARTED, number, 1_500)
        self.assertTrue(registry.may_have_ended(SERVER))

    def test_peers_agree_in_whatever_order_messages_arrive(self) -> None:
        now_ms = 10_000
        evidence = [
            server_liveness.Evidence(SERVER, 9_000, None),
            server_liveness.Evidence(SERVER, None, 6_000),
            server_liveness.Evidence(SERVER, 4_000, None),
            server_liveness.Evidence(SERVER, None, 3_000),
            server_liveness.Evidence(SERVER, 4_000, 8_000),
        ]
        for count in range(1, len(evidence) + 1):
            for subset in itertools.combinations(evidence, count):
                outcomes = set()
                for order in itertools.permutations(subset):
                    registry = server_liveness.LivenessRegistry()
                    for each in order:
                        registry.apply_peer_evidence(each, now_ms)
                    outcomes.add(registry.may_have_ended(SERVER))
                self.assertEqual(len(outcomes), 1, subset)

    def test_a_peer_learns_of_life_from_who_reads_the_reports(self) -> None:
        caller, reader = refused_at(1_000), server_liveness.LivenessRegistry()
        for each in caller.to_publish(1_100):
            reader.apply_peer_evidence(each, 1_105)
        for number in range(REPORTS):
            reader.record_report(SERVER, number, 1_500 + number)
        for each in reader.to_publish(2_000):
            self.assertTrue(caller.apply_peer_evidence(each, 2_005))
        self.assertFalse(caller.may_have_ended(SERVER))
        self.assertEqual(caller.to_publish(2_010), ())

    def test_a_peer_that_missed_the_message_hears_of_life_again(self) -> None:
        caller, reader = refused_at(1_000), refused_at(1_000)
        for number in range(REPORTS):
            reader.record_report(SERVER, number, 1_500)
        late_ms = 1_500 + server_liveness.PUBLISH_LIFE_MS
        self.assertEqual(reader.to_publish(late_ms), ())
        for each in caller.to_publish(late_ms):
            reader.apply_peer_evidence(each, late_ms + 5)
        for each in reader.to_publish(late_ms + 10):
            caller.apply_peer_evidence(each, late_ms + 15)
        self.assertFalse(caller.may_have_ended(SERVER))

    def test_what_peers_report_is_not_passed_on(self) -> None:
        """Its age would be less each time, so that it never ended."""
        registry = server_liveness.LivenessRegistry()
        registry.apply_peer_evidence(server_liveness.Evidence(SERVER, 0, None), 1_000)
        self.assertEqual(registry.to_publish(1_100), ())
        self.assertEqual(registry.refused_to_publish(1_100), ())

    def test_a_refusal_that_is_reported_again_does_not_delay_its_end(self) -> None:
        registry = server_liveness.LivenessRegistry()
        shown = []
        for number in range(REPORTS):
            at_ms = 2_000 + 300 * number
            age_ms = at_ms - 1_000 - 7 * number
            evidence = server_liveness.Evidence(SERVER, age_ms, None)
            registry.apply_peer_evidence(evidence, at_ms)
            shown.append(registry.record_report(SERVER, number, at_ms))
        self.assertTrue(shown[-1])

    def test_the_number_of_published_incarnations_is_bounded(self) -> None:
        registry = server_liveness.LivenessRegistry()
        count = server_liveness.MAX_PUBLISHED + 1
        for number in range(count):
            server_id = servers.ServerId(f"i-{number}")
            registry.record_refusal(servers.Incarnation(server_id, 1), number)
        published = registry.to_publish(count)
        self.assertEqual(len(published), count - 1)
        self.assertNotIn("i-0", [each.incarnation.server_id for each in published])


class RemovedServerTest(case.GatewayCase):
    async def test_a_refusal_by_a_removed_server_was_published_for_good(self) -> None:
        """Nothing ended the evidence about a server that is no longer listed."""
        await self.add_server(case.stays_silent, server_id="i-1")
        entry = self.fleet.registry.entries()[0]
        self.fleet.record_refusal(entry)
        self.assertEqual(self.fleet.liveness.held_for_ended_count, 1)
        self.remove_server("i-1")
        self.fleet.remove_server(entry.server_id)
        self.fleet.record_refusal(entry)
        self.fleet.mark_ended(entry)
        self.assertEqual(self.fleet.liveness.held_for_ended_count, 0)
        self.assertEqual(self.fleet.liveness.to_publish(self.clock.now_ms()), ())


class UnreadBytesTest(unittest.TestCase):
    def test_bytes_of_an_ended_server_showed_life_after_a_standstill(self) -> None:
        """They had arrived before the refusal, and were read much later."""
        clock = clocks.ManualClock(10_000)
        fleet = fleet_state.FleetState(builders.make_environment(), clock)
        entry = builders.make_entry("i-1")
        fleet.registry.update(entry)
        fleet.record_refusal(entry)
        stopped_ms = 2 * server_liveness.MAX_UNREAD_MS
        clock.advance(stopped_ms)
        fleet.lateness_ms = lambda: stopped_ms
        fleet.record_bytes(entry, opened_ms=5_000)
        self.assertTrue(fleet.liveness.may_have_ended(entry.incarnation))


class CutServerTest(case.GatewayCase):
    """A server refuses connections for a while and runs on."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.consumer = row_consumers.ServerRowConsumer(self.fleet)
        self.version = 0

    async def script(
        self, request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send events after the last one that the caller has."""
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        writer.write(case.stream_head(request.headers["Request-Id"]))
        for number in range(first, 6):
            writer.write(case.chunk(f"id: {number}\ndata: x\n\n"))
        writer.write(case.chunk(""))

    def report(self, address: str, number: int) -> None:
        """Have the feed of the store deliver a report of the server."""
        self.version += 1
        document = builders.make_entry_document(address=address, seq=number, born=17)
        row = store_rows.Row(
            "e-1",
            json.dumps(document),
            store_rows.Position(0, self.version),
        )
        self.consumer.apply_changes((row,))

    async def test_no_stream_was_resumed_after_a_cut_that_refused(self) -> None:
        """A refused connection held the server for ended until it restarted."""
        server = case.ScriptedServer(self.script)
        address = await server.start()
        self.servers.append(server)
        self.report(address, 1)
        headers = {**PROMPT, "Request_Id": "q-1"}
        self.assertEqual((await self.ask("/draft/long/", b"p", **headers)).status, 200)
        entry = self.fleet.registry.entries()[0]
        self.fleet.links.close_all()
        server.stop()
        await asyncio.sleep(0.05)
        headers = {**PROMPT, "Request_Id": "q-2"}
        failed = await self.ask("/draft/long/", b"p", **headers)
        self.assertNotEqual(failed.status, 200)
        self.assertTrue(self.fleet.liveness.may_have_ended(entry.incarnation))
        await server.start(int(address.rpartition(":")[2]))
        for number in range(REPORTS):
            self.report(address, 2 + number)
        self.fleet.health.remove(entry.server_id)
        resumed = {**PROMPT, "Resumes": "q-1", "Last_Event_Id": "2"}
        got = await self.ask("/draft/long/", b"p", **resumed)
        self.assertEqual(got.status, 200)
        self.assertIn(b"id: 3", got.body)


if __name__ == "__main__":
    unittest.main()
