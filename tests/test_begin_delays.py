"""The delays after which streams begin at engines."""

import unittest

from quincecrank import ids
from quincecrank.gateway import begin_delays, servers

ENGINE = servers.ServerId("i-1")


class BeginDelaysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.delays = begin_delays.BeginDelays()

    def send(self, request_id: str, now_ms: int) -> None:
        self.delays.record_send(ENGINE, ids.RequestId(request_id), now_ms)

    def end(self, request_id: str, now_ms: int) -> None:
        self.delays.record_begin_or_end(ENGINE, ids.RequestId(request_id), now_ms)

    def test_streams_that_wait_count_with_their_present_wait(self) -> None:
        self.send("a", 0)
        self.send("b", 400)
        self.assertEqual(self.delays.longest_ms(ENGINE, 1_000), 1_000)
        self.end("a", 1_000)
        self.end("a", 9_000)
        self.assertEqual(self.delays.longest_ms(ENGINE, 1_100), 1_000)
        self.assertEqual(self.delays.longest_ms(ENGINE, 2_000), 1_600)

    def test_the_longest_delay_counts_until_it_expires(self) -> None:
        for request_id, sent_ms, began_ms in (
            ("a", 0, 50),
            ("b", 100, 1_000),
            ("c", 900, 1_100),
            ("d", 1_400, 2_000),
        ):
            self.send(request_id, sent_ms)
            self.end(request_id, began_ms)
        longest = [
            self.delays.longest_ms(ENGINE, begin_delays.RETENTION_MS + at_ms)
            for at_ms in (999, 1_000, 2_000)
        ]
        self.assertEqual(longest, [900, 600, 0])
        self.assertEqual(self.delays.longest_ms(servers.ServerId("i-2"), 0), 0)
