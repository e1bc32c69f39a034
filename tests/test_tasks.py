"""Background tasks that fail."""

import unittest

from quincecrank import clock as clocks
from quincecrank import tasks


class KeepRunningTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_exception_ended_a_task_for_good(self) -> None:
        """A gateway then went on with stale state, or without reports."""
        runs: list[int] = []

        async def run() -> None:
            runs.append(1)
            if len(runs) == 1:
                raise KeyError("odd row")
            background.cancel()

        background = tasks.BackgroundTasks()
        background.start(tasks.keep_running(run, clocks.SystemClock()))
        await background.wait_all()
        self.assertEqual(len(runs), 2)
