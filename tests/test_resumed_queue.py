"""Resumed streams in the admission queue."""

import unittest
from typing import Final

from quincecrank import ids
from quincecrank.gateway import request_queue

DEADLINE_MS: Final = 15_000


def make_queued(
    name: str, arrived_ms: int = 0, *, is_resumed: bool = False
) -> request_queue.QueuedRequest:
    """Return a request whose first event is due within 300 ms."""
    return request_queue.QueuedRequest(
        ids.RequestId(name),
        0,
        arrived_ms,
        arrived_ms + DEADLINE_MS,
        300,
        resume_by_ms=arrived_ms + request_queue.MAX_RESUMED_WAIT_MS
        if is_resumed
        else None,
    )


class ResumedStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = request_queue.RequestQueue()
        self.queue.add(make_queued("new-1"))
        self.queue.add(make_queued("new-2", 10))

    def test_resumed_streams_were_rejected_while_no_start_was_known(self) -> None:
        """After a restart of the gateway the wait behind others was unlimited."""
        self.assertFalse(self.queue.accepts(make_queued("new-3", 20), 20))
        resumed = make_queued("resumed", 20, is_resumed=True)
        self.assertEqual(self.queue.expected_wait_ms(resumed, 20), 0)
        self.assertTrue(self.queue.accepts(resumed, 20))

    def test_they_go_first_in_order_of_arrival(self) -> None:
        for arrived_ms in (30, 20):
            self.queue.add(make_queued(f"r-{arrived_ms}", arrived_ms, is_resumed=True))
        names = [each.request_id for each in self.queue.ordered(400)]
        self.assertEqual(names, ["r-20", "r-30", "new-1", "new-2"])

    def test_they_are_rejected_while_the_caller_still_waits(self) -> None:
        resumed = make_queued("resumed", is_resumed=True)
        self.queue.add(resumed)
        limit_ms = request_queue.MAX_RESUMED_WAIT_MS
        self.assertNotIn(resumed, self.queue.remove_too_late(limit_ms - 1))
        self.assertIn(resumed, self.queue.remove_too_late(limit_ms))
