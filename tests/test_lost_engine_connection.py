"""Tests that a broken connection to an engine is distinguished from its crash.

A network failure that counts as a crash would be blamed on the prompt that ran.
"""

import asyncio
import unittest
from typing import Any
from unittest import mock

from quincecrank import (
    block_mover,
    engine_messages,
    ids,
    model_backend,
    problems,
    stream_writer,
)
from quincecrank import clock as clocks
from tests import builders_wire

VERSION = ids.WeightVersion("v1")


class ScriptedEngine:
    """An engine whose first `failures` runs fail.

    Each load query reports the next of `incarnations`, and fails after the last one.
    """

    def __init__(self, failures: int, incarnations: tuple[str, ...]) -> None:
        self.failures = failures
        self.runs = 0
        self._incarnations = list(incarnations)

    async def complete(
        self, request: engine_messages.EngineRequest, on_token: Any
    ) -> engine_messages.EngineUsage:
        """Fail `failures` times, then answer with one token."""
        self.runs += 1
        if self.runs <= self.failures:
            raise engine_messages.EngineFailedError("reset", started=False, sent=True)
        on_token(engine_messages.EngineToken("word ", None))
        return engine_messages.EngineUsage(1, 1, 0, VERSION)

    async def load(self) -> engine_messages.EngineLoad:
        """Report the next incarnation, or fail if none is left."""
        if not self._incarnations:
            raise engine_messages.EngineFailedError("refused", False, False)
        return engine_messages.EngineLoad(
            incarnation=ids.Incarnation(self._incarnations.pop(0)),
            weight_version=VERSION,
            running=0,
            waiting=0,
            queued_tokens=0,
            cached_blocks=0,
            cache_capacity_blocks=64,
        )


class LostEngineConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def run_prompt(self, engine: ScriptedEngine) -> mock.Mock:
        mover = mock.AsyncMock()
        mover.restore.return_value = block_mover.RestoreOutcome()
        backend = model_backend.ModelBackend(
            engine,  # type: ignore[arg-type]
            mover,
            mock.AsyncMock(),
            mock.AsyncMock(),
            clocks.SystemClock(),
        )
        watching = asyncio.ensure_future(backend.watch())
        await asyncio.sleep(0.01)
        watching.cancel()
        order = builders_wire.order(builders_wire.completion())
        batcher = mock.Mock(spec=stream_writer.FrameBatcher)
        writer = mock.Mock(wraps=stream_writer.StreamWriter(batcher, 1))
        await backend.run(order, writer, 0)
        return writer

    async def test_broken_connection_is_not_a_crash(self) -> None:
        for failures, incarnations, runs in (
            (1, ("i-1", "i-1"), 2),
            (2, ("i-1", "i-1", "i-1"), 2),
        ):
            with self.subTest(failures=failures):
                engine = ScriptedEngine(failures, incarnations)
                writer = await self.run_prompt(engine)
                self.assertEqual(engine.runs, runs)
                refusals = [c.args[0].kind for c in writer.refuse.call_args_list]
                expected = [problems.ProblemKind.BACKEND_FAILED] if failures > 1 else []
                self.assertEqual(refusals, expected)
                self.assertEqual(writer.end.call_count, failures == 1)

    async def test_unreachable_or_restarted_engine_has_crashed(self) -> None:
        for incarnations in (("i-1",), ("i-1", "i-2")):
            with self.subTest(incarnations):
                engine = ScriptedEngine(1, incarnations)
                writer = await self.run_prompt(engine)
                self.assertEqual(engine.runs, 1)
                problem = writer.refuse.call_args.args[0]
                self.assertIs(problem.kind, problems.ProblemKind.BACKEND_CRASHED)
                self.assertIs(problem.ran, problems.Ran.UNKNOWN)
