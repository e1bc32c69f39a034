"""Tests of servers that say in an answer that they leave, or want a pause."""

import unittest

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    knowledge,
    peer_messages,
    server_health,
    servers,
    weight_news,
)
from quincecrank.platform import answers
from tests import builders_gateway as builders
from tests import gateway_case as case

SERVER = servers.ServerId("i-1")
LEAVING = case.SEAL + "Server-Leaving: 1\r\n"
FULL = "Request-Id: q-1\r\nNot-Executed: 1\r\n"


class HeadTest(unittest.TestCase):
    def test_what_an_answer_says_of_its_server(self) -> None:
        cases = (
            (200, {"Server-Leaving": "1"}, True, None),
            (503, {"Server-Leaving": " 1 "}, True, None),
            (200, {"Server-Leaving": "0"}, False, None),
            # The server at this address is not the one that was asked.
            (421, {"Server-Leaving": "1"}, False, None),
            (503, {"Retry-After": "2"}, False, 2_000),
            (503, {"Retry-After": "0.25"}, False, 250),
            (429, {"Retry-After": "2"}, False, None),
            (503, {"Retry-After": "-1"}, False, None),
            (503, {"Retry-After": "nan"}, False, None),
            (503, {"Retry-After": "Wed, 21 Oct 2026 07:28:00 GMT"}, False, None),
            (503, {"Retry-After": "1e300"}, False, answers.MAX_PAUSE_MS),
            (503, {"Retry-After": "inf"}, False, answers.MAX_PAUSE_MS),
        )
        for status, headers, is_leaving, pause_ms in cases:
            with self.subTest(status=status, headers=headers):
                head = answers.decode(status, builders.make_headers(**headers))
                self.assertEqual(
                    (head.is_leaving, head.pause_ms), (is_leaving, pause_ms)
                )


class LeavingServerTest(case.GatewayCase):
    async def test_a_server_that_says_so_gets_nothing_more(self) -> None:
        # The store says nothing of it, whatever its state.
        for name, head, status in (
            ("success", LEAVING, 200),
            ("failure", LEAVING, 500),
            ("refusal", FULL + "Server-Leaving: 1\r\n", 503),
        ):
            with self.subTest(name):
                leaving = await self.add_server(
                    case.says(case.answer(head=head, status=status)),
                    server_id=f"i-{name}",
                )
                await self.ask("/record/", b"first")
                got = await self.ask("/record/", b"second")
                self.assertEqual(got.status, 503)
                self.assertEqual(len(leaving.received), 1)

    async def test_another_server_goes_on(self) -> None:
        leaving = await self.add_server(case.says(case.answer(head=LEAVING)))
        await self.ask("/record/", b"first")
        other = await self.add_server(case.says(case.answer()))
        for _ in range(4):
            self.assertEqual((await self.ask("/record/", b"x")).status, 200)
        self.assertEqual((len(leaving.received), len(other.received)), (1, 4))

    async def test_an_entry_of_the_same_start_does_not_bring_it_back(self) -> None:
        server = await self.add_server(case.says(case.answer(head=LEAVING)))
        await self.ask("/record/", b"first")
        entry = self.known.registry.find(SERVER)
        assert entry is not None
        again = builders.make_entry(
            SERVER, service=builders.PLAIN, address=entry.address, weights=None
        )
        self.known.registry.update(again)
        self.assertEqual(self.known.registry.ready(builders.PLAIN), ())
        restarted = builders.make_entry(
            SERVER,
            service=builders.PLAIN,
            address=entry.address,
            weights=None,
            started_wall_ms=entry.started_wall_ms + 5_000,
        )
        self.known.registry.update(restarted)
        self.assertEqual((await self.ask("/record/", b"x")).status, 200)
        self.assertEqual(len(server.received), 2)

    async def test_a_pause_lasts_until_its_end(self) -> None:
        head = FULL + "Retry-After: 30\r\n"
        server = await self.add_server(case.says(case.answer(head=head, status=503)))
        for _ in range(5):
            got = await self.ask("/record/", b"x")
            self.assertEqual(got.status, 503)
        self.assertEqual(len(server.received), 1)


class ServerHealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = server_health.ServerHealth(1)

    def test_a_later_answer_does_not_shorten_a_pause(self) -> None:
        self.health.asked_for_pause(0, 5_000)
        self.health.asked_for_pause(100, 500)
        self.health.refused(200)
        self.assertFalse(self.health.allows(4_999))
        self.assertTrue(self.health.allows(5_000))

    def test_pauses_are_counted_by_a_clock_that_does_not_jump(self) -> None:
        clock = JumpingClock()
        known = knowledge.Knowledge(builders.make_environment(), clock)
        entry = builders.make_entry(SERVER)
        health = known.health.of(entry)
        health.asked_for_pause(clock.now_ms(), 2_000)
        for jump_ms in (60_000, -120_000, 60_000):
            clock.jump(jump_ms)
            self.assertFalse(health.allows(clock.now_ms()))
        clock.advance(2_000)
        self.assertTrue(health.allows(clock.now_ms()))

    def test_a_peers_pause_is_shorter_and_not_told_on(self) -> None:
        book = server_health.HealthBook()
        entry = builders.make_entry(SERVER)
        book.of(entry)
        book.take_pause(server_health.ToldPause(entry.incarnation, 30_000), 0)
        limit_ms = server_health.MAX_PEER_PAUSE_MS
        self.assertFalse(book.of(entry).allows(limit_ms - 1))
        self.assertTrue(book.of(entry).allows(limit_ms))
        self.assertEqual(book.pauses_to_tell(0), ())

    def test_a_pause_holds_for_one_start(self) -> None:
        book = server_health.HealthBook()
        before = builders.make_entry(SERVER, started_wall_ms=1)
        book.of(before).asked_for_pause(0, 5_000)
        self.assertEqual(
            book.pauses_to_tell(600),
            (server_health.ToldPause(before.incarnation, 4_400),),
        )
        # Peers are told for a moment, so that they stay away for a short time only.
        self.assertEqual(book.pauses_to_tell(server_health.TELL_PAUSE_MS), ())
        after = builders.make_entry(SERVER, started_wall_ms=2)
        self.assertTrue(book.of(after).allows(1_000))
        book.take_pause(server_health.ToldPause(before.incarnation, 4_000), 1_000)
        self.assertTrue(book.of(after).allows(1_000))


class ToldTest(unittest.TestCase):
    def test_a_report_keeps_leaving_servers_and_pauses(self) -> None:
        report = peer_messages.Report(
            vm=ids.VmName("entry-1"),
            is_leaving=False,
            states=(),
            load_by_server={},
            leaving=(servers.Incarnation(SERVER, 17),),
            pauses=(server_health.ToldPause(servers.Incarnation(SERVER, 18), 900),),
        )
        self.assertEqual(peer_messages.decode(peer_messages.encode(report)), report)

    def test_peers_are_told_for_some_seconds(self) -> None:
        registry = servers.ServerRegistry()
        entry = builders.make_entry(SERVER)
        registry.update(entry)
        self.assertTrue(registry.leaves(entry.incarnation, 0, is_own=True))
        self.assertFalse(registry.leaves(entry.incarnation, 1, is_own=True))
        self.assertEqual(registry.leaving_to_tell(1_000), (entry.incarnation,))
        self.assertEqual(registry.leaving_to_tell(servers.TELL_LEAVING_MS), ())
        self.assertEqual(registry.ready(entry.service), ())

    def test_a_peer_knows_before_the_entry_comes(self) -> None:
        registry = servers.ServerRegistry()
        entry = builders.make_entry(SERVER)
        registry.leaves(entry.incarnation, 0, is_own=False)
        registry.update(entry)
        self.assertEqual(registry.ready(entry.service), ())
        self.assertEqual(registry.leaving_to_tell(0), ())

    def test_what_is_remembered_is_bounded(self) -> None:
        registry = servers.ServerRegistry()
        for number in range(servers.MAX_LEAVING + 5):
            incarnation = servers.Incarnation(servers.ServerId(str(number)), 1)
            registry.leaves(incarnation, number, is_own=True)
        told = registry.leaving_to_tell(servers.MAX_LEAVING)
        self.assertLessEqual(len(told), servers.MAX_LEAVING)


class WeightNewsTest(unittest.TestCase):
    def test_a_start_with_an_earlier_time_of_day_is_heard(self) -> None:
        # The engine's machine jumped back by five seconds between its two starts.
        book = weight_news.WeightNewsBook()
        for started_wall_ms in (10_000, 5_000):
            news = weight_news.WeightNews(
                SERVER, started_wall_ms, builders.MODEL, 2, is_loaded=False
            )
            self.assertTrue(book.take(news, 0))
            entry = builders.make_entry(SERVER, started_wall_ms=started_wall_ms)
            self.assertTrue(book.is_loading(entry, 0))

    def test_news_are_forgotten_after_some_time(self) -> None:
        book = weight_news.WeightNewsBook()
        news = weight_news.WeightNews(SERVER, 1, builders.MODEL, 2, is_loaded=False)
        self.assertTrue(book.take(news, 0))
        self.assertFalse(book.take(news, weight_news.KEEP_MS))
        other = weight_news.WeightNews(SERVER, 2, builders.MODEL, 2, is_loaded=False)
        self.assertTrue(book.take(other, weight_news.KEEP_MS + 1))
        self.assertTrue(book.take(news, weight_news.KEEP_MS + 1))


class JumpingClock(clocks.ManualClock):
    """A clock whose time of day jumps."""

    def __init__(self) -> None:
        super().__init__(1_000)
        self._jump_ms = 0

    def jump(self, duration_ms: int) -> None:
        """Move the time of day alone."""
        self._jump_ms += duration_ms

    def wall_ms(self) -> int:
        """Return the time of day."""
        return super().wall_ms() + self._jump_ms


class CrashTest(unittest.TestCase):
    def test_jumps_neither_forget_nor_multiply_crashes(self) -> None:
        for jumps_ms in ((0, 0), (7_200_000, 0), (0, 7_200_000), (-9_000, 9_000)):
            with self.subTest(jumps_ms):
                one = builders.make_suspicions()
                other = builders.make_suspicions()
                request = builders.make_fingerprint()
                for number in range(2):
                    entry = builders.make_entry(started_wall_ms=number)
                    for suspicions, jump_ms in zip((one, other), jumps_ms, strict=True):
                        attempt = ids.AttemptId(f"{number}-{id(suspicions)}")
                        suspicions.suspect(
                            request, attempt, entry, 1_000, 1_000 + jump_ms
                        )
                one.merge(other.review(1_500), 5_000)
                one.review(5_000)
                # Two servers crashed, each seen by two gateways.
                self.assertFalse(one.refuses(request, 5_000))
                entry = builders.make_entry(started_wall_ms=2)
                one.suspect(request, ids.AttemptId("2"), entry, 6_000, 0)
                one.review(6_500)
                self.assertTrue(one.refuses(request, 6_500))


if __name__ == "__main__":
    unittest.main()
