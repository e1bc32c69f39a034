"""Tests of the bounded log output.

The failure: a burst of lines, or a reader that stops, blocks the process.
"""

import json
import os
import unittest
from unittest import mock

from quincecrank.gateway import decision_log


class BoundedOutputTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        os.set_blocking(self.reader, False)
        self.now_s = 0.0
        patch = mock.patch("time.monotonic", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.output = decision_log.BoundedOutput(writer)

    def read(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.read_raw().splitlines()]

    def test_lines_beyond_the_rate_are_dropped_and_counted(self) -> None:
        for number in range(decision_log.MAX_LINES_PER_SECOND + 50):
            self.output.msg(json.dumps({"event": number}))
        self.assertEqual(len(self.read()), decision_log.MAX_LINES_PER_SECOND)
        self.now_s = 1.0
        self.output.msg(json.dumps({"event": "later"}))
        dropped = {"event": "lines dropped", "count": 50}
        self.assertEqual(self.read(), [dropped, {"event": "later"}])

    def test_a_stalled_reader_does_not_block_the_writer(self) -> None:
        text = json.dumps({"event": "x" * 5_000})
        for _ in range(100):
            self.now_s += 1
            self.output.msg(text)
        self.assertGreater(self.output.dropped, 0)
        first = self.read_raw()
        self.output.msg(json.dumps({"event": "last"}))
        lines = (first + self.read_raw()).splitlines()
        events = [json.loads(line)["event"] for line in lines]
        self.assertEqual(events[-2:], ["lines dropped", "last"])

    def read_raw(self) -> bytes:
        data = b""
        try:
            while part := os.read(self.reader, 1 << 16):
                data += part
        except BlockingIOError:
            pass
        return data
