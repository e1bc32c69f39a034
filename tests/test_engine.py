"""Tests of the stand-in engine, called through the product's engine client."""

import asyncio
import dataclasses
import pathlib
import tempfile
import unittest

from tornado import httpclient

from quincecrank import clock, engine_messages, ids
from standins import (
    answers,
    engine_runtime,
    engine_scheduler,
    launcher,
    serving,
    weight_store,
)
from tests import builders_engine as builders

VERSION = builders.VERSION
SLOW = engine_scheduler.Speeds(
    prefill_tokens_per_second=10_000_000, decode_ms=5, max_batch=1, max_waiting=1
)


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers must match module `answers`, or tests would not notice wrong ones."""

    async def asyncSetUp(self) -> None:
        self.first = builders.start_engine()
        self.second = builders.start_engine()

    async def asyncTearDown(self) -> None:
        await self.first.stop()
        await self.second.stop()

    async def test_answer_is_complete_and_the_cache_is_reused(self) -> None:
        request = builders.request(builders.prompt("guide", 3))
        for cached_blocks in (0, 3):
            with self.subTest(cached_blocks=cached_blocks):
                answer = await builders.ask(self.first.client, request)
                self.assertEqual(answer.text, builders.expected(request))
                self.assertEqual(
                    [token.finish_reason for token in answer.tokens],
                    [None] * 4 + ["length"],
                )
                cached_tokens = cached_blocks * answers.BLOCK_TOKENS
                self.assertEqual(
                    answer.usage,
                    engine_messages.EngineUsage(3077, 5, cached_tokens, VERSION),
                )

    async def test_answer_depends_on_every_part_of_the_request(self) -> None:
        request = builders.request(builders.prompt("guide", 2))
        self.first.engine.orders.adapters.add("desk")
        variants = (
            dataclasses.replace(request, prompt=request.prompt.replace("g", "h", 1)),
            dataclasses.replace(request, prompt=request.prompt + "?"),
            dataclasses.replace(request, cache_salt="other account"),
            dataclasses.replace(request, adapter=ids.AdapterName("desk")),
        )
        texts = {builders.expected(request)}
        for variant in variants:
            variant = dataclasses.replace(variant, block_keys=())
            answer = await builders.ask(self.first.client, variant)
            self.assertEqual(answer.text, builders.expected(variant))
            texts.add(answer.text)
        self.assertEqual(len(texts), 1 + len(variants))

    async def test_every_damaged_imported_block_changes_the_answer(self) -> None:
        request = builders.request(builders.prompt("guide", 3))
        await builders.ask(self.first.client, request)
        exported = [
            await self.first.client.export_block(key) for key in request.block_keys
        ]
        intact = [block.data for block in exported]
        flipped = bytes([intact[0][100] ^ 1])
        damages = {
            "none": intact,
            "one byte of the first block changed": [
                intact[0][:100] + flipped + intact[0][101:],
                intact[1],
                intact[2],
            ],
            "middle block truncated": [intact[0], intact[1][:200], intact[2]],
            "blocks swapped": [intact[0], intact[2], intact[1]],
            "last block empty": [intact[0], intact[1], b""],
        }
        for damage, payloads in damages.items():
            with self.subTest(damage):
                self.second.engine.cache.clear()
                for key, data in zip(request.block_keys, payloads, strict=True):
                    await self.second.client.import_block(key, data, VERSION)
                answer = await builders.ask(self.second.client, request)
                self.assertEqual(answer.cached_tokens, 3 * answers.BLOCK_TOKENS)
                is_correct = answer.text == builders.expected(request)
                self.assertEqual(is_correct, damage == "none")

    async def test_resumed_answer_continues_at_the_next_token(self) -> None:
        request = builders.request(builders.prompt("guide", 1), max_tokens=9)
        resumed = dataclasses.replace(request, resume_after=4)
        answer = await builders.ask(self.first.client, resumed)
        self.assertEqual(answer.text, builders.expected(request)[16:])

    async def test_parallel_streams_are_not_mixed(self) -> None:
        requests = [
            builders.request(builders.prompt(f"guide {i}", 1), f"r{i}", 20)
            for i in range(24)
        ]
        received = await asyncio.gather(
            *(builders.ask(self.first.client, each) for each in requests)
        )
        self.assertEqual(
            [answer.text for answer in received],
            [builders.expected(each) for each in requests],
        )


class CacheTest(unittest.IsolatedAsyncioTestCase):
    """The published events must lead to the cache content that the engine lists."""

    async def test_least_recently_used_prompt_is_evicted_and_reported(self) -> None:
        options = engine_runtime.EngineOptions(
            cache_blocks=4, payload_bytes=64, event_delay_ms=0
        )
        running = builders.start_engine(options=options)
        self.addAsyncCleanup(running.stop)
        old, new = (builders.request(builders.prompt(n, 3)) for n in ("old", "new"))
        await builders.ask(running.client, old)
        await builders.ask(running.client, new)
        keys = await running.client.keys()
        self.assertEqual(set(keys.keys), {old.block_keys[0], *new.block_keys})
        published = await running.client.events(0, 0)
        self.assertEqual(published.incarnation, keys.incarnation)
        replayed: set[ids.BlockKey] = set()
        for event in published.events:
            if event.kind is engine_messages.CacheChange.STORED:
                replayed.add(event.key)
            else:
                replayed.remove(event.key)
        self.assertEqual(replayed, set(keys.keys))
        self.assertEqual(published.events[-1].sequence, keys.sequence)

    async def test_lost_events_leave_gaps(self) -> None:
        options = engine_runtime.EngineOptions(
            payload_bytes=64, event_delay_ms=20, event_loss=0.5, seed=3
        )
        running = builders.start_engine(options=options)
        self.addAsyncCleanup(running.stop)
        request = builders.request(builders.prompt("guide", 12))
        await builders.ask(running.client, request)
        published = await running.client.events(0, 5_000)
        numbers = [event.sequence for event in published.events]
        self.assertEqual(numbers, sorted(numbers))
        self.assertTrue(0 < len(numbers) < 12, numbers)


class QueueTest(unittest.IsolatedAsyncioTestCase):
    """Cancelled, rejected and outdated requests must end and release their slot."""

    async def asyncSetUp(self) -> None:
        self.running = builders.start_engine(SLOW)
        self.client = self.running.client

    async def asyncTearDown(self) -> None:
        await self.running.stop()

    async def _start_request(self, name: str, priority: int = 0) -> asyncio.Task[str]:
        """Start a long request; return when it is queued or running."""
        request = builders.request(f"prompt {name}", name, 10_000)
        request = dataclasses.replace(request, priority=priority)

        async def text() -> str:
            return (await builders.ask(self.client, request)).text

        task = asyncio.create_task(text())
        while self.running.engine.scheduler.find(name) is None:
            await asyncio.sleep(0.001)
        return task

    async def _until_idle(self) -> None:
        while (await self.client.load()).running:
            await asyncio.sleep(0.001)

    async def test_cancelled_task_frees_the_slot(self) -> None:
        task = await self._start_request("long")
        while not (await self.client.load()).running:
            await asyncio.sleep(0.001)
        task.cancel()
        await self._until_idle()
        with self.assertRaises(asyncio.CancelledError):
            await task
        request = builders.request("next", "next")
        answer = await builders.ask(self.client, request)
        self.assertEqual(answer.text, builders.expected(request))

    async def test_urgent_request_overtakes_waiting_ones(self) -> None:
        running = builders.start_engine(dataclasses.replace(SLOW, max_waiting=8))
        self.addAsyncCleanup(running.stop)
        ended: list[str] = []

        async def ask(name: str, priority: int) -> None:
            request = builders.request(f"prompt {name}", name, 5)
            request = dataclasses.replace(request, priority=priority)
            await builders.ask(running.client, request)
            ended.append(name)

        running.engine.faults.hang = True
        async with asyncio.TaskGroup() as tasks:
            for waiting, name in enumerate(("low", "first", "second", "urgent"), 1):
                priority = {"low": -2, "urgent": 1}.get(name, 0)
                tasks.create_task(ask(name, priority))
                while (await running.client.load()).waiting < waiting:
                    await asyncio.sleep(0.001)
            running.engine.faults.hang = False
        self.assertEqual(ended, ["urgent", "first", "second", "low"])

    async def test_request_cancelled_by_id_ends_with_finish_reason_abort(self) -> None:
        tokens: list[engine_messages.EngineToken] = []
        request = builders.request("prompt", "r1", 10_000)
        run = asyncio.create_task(self.client.complete(request, tokens.append))
        while not tokens:
            await asyncio.sleep(0.001)
        cancel = httpclient.HTTPRequest(
            f"{self.running.server.url}/requests/r1", "DELETE"
        )
        await httpclient.AsyncHTTPClient().fetch(cancel)
        usage = await run
        self.assertEqual(tokens[-1].finish_reason, "abort")
        self.assertEqual(usage.completion_tokens, len(tokens) - 1)

    async def test_adapter_must_be_loaded(self) -> None:
        request = dataclasses.replace(
            builders.request("prompt"), adapter=ids.AdapterName("desk")
        )
        with self.assertRaises(engine_messages.WrongVersionError):
            await builders.ask(self.client, request)
        kind = engine_messages.OrderKind.LOAD_ADAPTER
        await self.client.order(kind, "desk", ids.FencingNumber(1))
        answer = await builders.ask(self.client, request)
        self.assertEqual(answer.text, builders.expected(request))

    async def test_full_queue_refuses_requests(self) -> None:
        running = await self._start_request("running")
        while not (await self.client.load()).running:
            await asyncio.sleep(0.001)
        waiting = await self._start_request("waiting")
        with self.assertRaises(engine_messages.EngineBusyError) as caught:
            await builders.ask(self.client, builders.request("third", "third"))
        self.assertGreater(caught.exception.retry_after_ms, 0)
        waiting.cancel()
        running.cancel()
        await asyncio.gather(waiting, running, return_exceptions=True)

    async def test_weight_change_spares_only_running_requests(self) -> None:
        task = await self._start_request("running")
        while not (await self.client.load()).running:
            await asyncio.sleep(0.001)
        waiting = await self._start_request("waiting")
        order = self.client.order
        version = "v2"
        kind = engine_messages.OrderKind.LOAD_VERSION
        await order(kind, version, ids.FencingNumber(1))
        with self.assertRaises(engine_messages.WrongVersionError):
            await waiting
        with self.assertRaises(engine_messages.WrongVersionError):
            await builders.ask(self.client, builders.request("late", "late"))
        with self.assertRaises(engine_messages.WrongVersionError):
            await self.client.import_block(ids.BlockKey("a"), b"x", VERSION)
        self.assertFalse(task.done())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class LoadTest(unittest.TestCase):
    def test_report_is_as_old_as_the_lag(self) -> None:
        manual_clock = clock.ManualClock()
        running_counts = iter(range(8))

        def measure() -> engine_runtime.LoadReport:
            return engine_runtime.LoadReport(
                incarnation="i",
                weight_version="v1",
                adapters=[],
                role="",
                running=next(running_counts),
                waiting=0,
                queued_tokens=0,
                cached_blocks=0,
                cache_capacity_blocks=0,
            )

        lagging = engine_runtime.LaggingLoad(manual_clock, 400, measure)
        reported: list[int] = []
        for _ in range(8):
            lagging.record()
            manual_clock.advance(100)
            reported.append(lagging.report().running)
        self.assertEqual(reported, [0, 0, 0, 0, 1, 2, 3, 4])


class OrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_outdated_fencing_number_is_refused_if_checked(self) -> None:
        kind = engine_messages.OrderKind.LOAD_ADAPTER
        for checks in (True, False):
            with self.subTest(checks=checks):
                options = engine_runtime.EngineOptions(checks_fencing=checks)
                running = builders.start_engine(options=options)
                self.addAsyncCleanup(running.stop)
                await running.client.order(kind, "new", ids.FencingNumber(7))
                outdated = running.client.order(kind, "old", ids.FencingNumber(6))
                if checks:
                    with self.assertRaises(engine_messages.StaleFencingError):
                        await outdated
                else:
                    await outdated
                adapters = (await running.client.load()).adapters
                self.assertEqual("old" in adapters, not checks)

    async def test_weights_come_from_the_weight_store(self) -> None:
        store = weight_store.WeightStore(20, clock.SystemClock())
        server = serving.start(weight_store.make_application(store))
        self.addAsyncCleanup(server.stop)
        options = engine_runtime.EngineOptions(weight_store=server.url)
        running = builders.start_engine(options=options)
        self.addAsyncCleanup(running.stop)
        kind = engine_messages.OrderKind.LOAD_VERSION
        store.faults.down = True
        with self.assertRaises(engine_messages.EngineRejectedError):
            await running.client.order(kind, "v2", ids.FencingNumber(1))
        self.assertEqual((await running.client.load()).weight_version, "v1")
        store.faults.down = False
        await running.client.order(kind, "v2", ids.FencingNumber(1))
        self.assertEqual((await running.client.load()).weight_version, "v2")


class ProcessFaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_crashing_prompt_ends_the_engine_process(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        with launcher.Fleet(pathlib.Path(folder.name)) as fleet:
            process = fleet.launch("engine", "standins.engine")
            await asyncio.to_thread(process.wait_ready)
            client = builders.make_client(process.port)
            self.addCleanup(client.close)
            faults = httpclient.HTTPRequest(
                f"{process.url}/faults", "POST", body='{"crash_on": "crashing"}'
            )
            await httpclient.AsyncHTTPClient().fetch(faults)
            await builders.ask(client, builders.request("harmless"))
            with self.assertRaises(engine_messages.EngineFailedError) as caught:
                await builders.ask(client, builders.request("a crashing prompt"))
            self.assertEqual(process.wait(), engine_scheduler.CRASH_EXIT_CODE)
        error = caught.exception
        self.assertEqual((error.started, error.sent), (False, True))
