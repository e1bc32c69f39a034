"""Tests of the platform's clients over HTTP against stand-ins of its services.

They guard against clients that take a failed call for one without effect, repeat a
request, or misread what a service returns.
"""

import asyncio
import contextlib
import json
import unittest
from collections.abc import Awaitable
from typing import Any

from tornado import web

from quincecrank import clock as clocks
from quincecrank import (
    configuration,
    http_caller,
    ids,
    object_client,
    platform_table,
    vm_list,
)
from standins import object_store, platform_store, serving, store_tables
from standins import vm_list as vm_list_standin

CONFIGURATION = platform_table.TableName.CONFIGURATION
KEY = platform_table.RowKey("p", 1)
TIMEOUT_MS = 2000
SHORT_TIMEOUT_MS = 100

APPLIED = platform_table.WriteOutcome.APPLIED
CONFLICT = platform_table.WriteOutcome.CONFLICT


class StandinTest(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that run stand-ins in this process."""

    def start(self, application: web.Application) -> str:
        running = serving.start(application)
        self.addAsyncCleanup(running.stop)
        return running.url

    async def set_faults(self, url: str, **faults: Any) -> int:
        caller = http_caller.HttpCaller(url, TIMEOUT_MS, clocks.SystemClock())
        response = await caller.call("POST", "/faults", {}, json.dumps(faults).encode())
        caller.close()
        return response.code


class HttpTableTest(StandinTest):
    def setUp(self) -> None:
        self.clock = clocks.SystemClock()

    async def asyncSetUp(self) -> None:
        self.service = platform_store.StoreService(self.clock)
        self.url = self.start(platform_store.make_application(self.service))
        self.table = self.connect(TIMEOUT_MS)

    def connect(self, timeout_ms: int) -> platform_table.HttpTable:
        client = platform_table.HttpTable(self.url, timeout_ms)
        self.addCleanup(client.close)
        return client

    async def test_conditional_writes(self) -> None:
        self.assertIsNone(await self.table.read(CONFIGURATION, KEY))
        answer = platform_table.WriteAnswer
        steps: list[tuple[Awaitable[object], object]] = [
            (self.table.insert(CONFIGURATION, KEY, "a é"), answer(APPLIED, 1)),
            (self.table.insert(CONFIGURATION, KEY, "b"), answer(CONFLICT, 1)),
            (self.table.replace(CONFIGURATION, KEY, "c", 2), answer(CONFLICT, 1)),
            (self.table.replace(CONFIGURATION, KEY, "d", 1), answer(APPLIED, 2)),
            (self.table.delete(CONFIGURATION, KEY, 1), CONFLICT),
        ]
        for number, (step, expected) in enumerate(steps):
            with self.subTest(number):
                self.assertEqual(await step, expected)
        row = await self.table.read(CONFIGURATION, KEY)
        self.assertEqual(row, platform_table.Row(KEY, "d", 2))
        self.assertEqual(await self.table.delete(CONFIGURATION, KEY, 2), APPLIED)
        self.assertIsNone(await self.table.read(CONFIGURATION, KEY))

    async def test_rows_are_read_in_numeric_order(self) -> None:
        for sort in (10, 9, 2, 11):
            key = platform_table.RowKey("p", sort)
            await self.table.insert(CONFIGURATION, key, str(sort))
        # Keys are texts; without padding "10" would precede "9".
        rows = await self.table.read_after(CONFIGURATION, "p", 2, 2)
        self.assertEqual([row.key.sort for row in rows], [9, 10])

    async def test_transaction_applies_all_writes_or_none(self) -> None:
        def put(key: str) -> dict[str, str]:
            return {"table": "t", "part": "", "key": key, "value": "YQ=="}

        def absent(key: str) -> dict[str, object]:
            return {"table": "t", "part": "", "key": key, "rowVersion": 0}

        def keys() -> list[str]:
            rows = self.service.tables.get("t", "", "", "", 9)["rows"]
            return [row["key"] for row in rows]

        self.service.transact({"put": [put("a")]})
        both = {"expected": [absent("b"), absent("a")], "put": [put("b"), put("a")]}
        with self.assertRaises(store_tables.CallError):
            self.service.transact(both)
        self.assertEqual(keys(), ["a"])
        both = {"expected": [absent("b"), absent("c")], "put": [put("b"), put("c")]}
        self.service.transact(both)
        self.assertEqual(keys(), ["a", "b", "c"])

    async def test_failed_writes_without_effect_differ_from_unknown_ones(self) -> None:
        """A write that may have taken effect must not be reported as without effect.

        Answers or requests are lost, the store refuses or accepts connections without
        an answer, or it answers after the client's timeout.
        """
        unknown = platform_table.OutcomeUnknownError
        # The platform's store guarantees that an answer of 503 means no effect.
        refused = platform_table.TableUnavailableError
        cases: list[tuple[dict[str, Any], type[Exception], bool]] = [
            ({"lose_answers": 1.0}, unknown, True),
            ({"lose_requests": 1.0}, unknown, False),
            ({"down": "refused"}, refused, False),
            ({"down": "silent"}, unknown, False),
            ({"slow_ms": 4 * SHORT_TIMEOUT_MS}, unknown, True),
        ]
        initial = platform_store.StoreFaults().model_dump_json().encode()
        client = self.connect(SHORT_TIMEOUT_MS)
        for number, (faults, error, has_effect) in enumerate(cases):
            with self.subTest(faults):
                key = platform_table.RowKey("case", number)
                await self.set_faults(self.url, **faults)
                with self.assertRaises(error):
                    await client.insert(CONFIGURATION, key, "body")
                await asyncio.sleep(faults.get("slow_ms", 0) / 1000)
                self.service.faults.update(initial)
                row = await self.table.read(CONFIGURATION, key)
                self.assertEqual(row is not None, has_effect)

    async def test_refused_connection_has_no_effect(self) -> None:
        running = serving.start(platform_store.make_application(self.service))
        client = platform_table.HttpTable(running.url, TIMEOUT_MS)
        self.addCleanup(client.close)
        await running.stop()
        with self.assertRaises(platform_table.TableUnavailableError):
            await client.insert(CONFIGURATION, platform_table.RowKey("q"), "a")

    async def test_calls_above_the_rate_limit_fail_without_effect(self) -> None:
        clock = clocks.ManualClock()
        service = platform_store.StoreService(clock)
        service.faults.writes_per_second = 1
        service.faults.reads_per_second = 1
        url = self.start(platform_store.make_application(service))
        client = platform_table.HttpTable(url, TIMEOUT_MS)
        self.addCleanup(client.close)
        await client.insert(CONFIGURATION, KEY, "a")
        with self.assertRaises(platform_table.TableUnavailableError):
            await client.replace(CONFIGURATION, KEY, "b", 1)
        row = await client.read(CONFIGURATION, KEY)
        self.assertEqual(row, platform_table.Row(KEY, "a", 1))
        with self.assertRaises(platform_table.TableUnavailableError):
            await client.read(CONFIGURATION, KEY)
        clock.advance(clocks.MS_PER_SECOND)
        answer = await client.replace(CONFIGURATION, KEY, "b", 1)
        self.assertEqual(answer, platform_table.WriteAnswer(APPLIED, 2))

    async def test_insert_confirmed_reads_back_after_a_lost_answer(self) -> None:
        """An insert whose answer was lost must not be taken for a conflict."""
        self.service.faults.lose_answers = 1.0
        row = await platform_table.insert_confirmed(
            self.table, CONFIGURATION, KEY, "mine"
        )
        self.assertEqual(row, platform_table.Row(KEY, "mine", 1))
        row = await platform_table.insert_confirmed(
            self.table, CONFIGURATION, KEY, "other"
        )
        self.assertEqual(row.body, "mine")

    async def test_unknown_fault_switch_is_rejected_without_effect(self) -> None:
        self.assertEqual(await self.set_faults(self.url, slow_ms=1, nonsense=1), 400)
        self.assertEqual(self.service.faults.slow_ms, 0)


class SingleSendTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_not_repeated_on_a_closed_connection(self) -> None:
        """A request that may have run must not be sent a second time.

        The server reads the second request and closes the connection without an answer.
        """
        requests = 0

        async def answer_first(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal requests
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\nab")
                requests += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await reader.readuntil(b"\r\n\r\nab")
                requests += 1
            writer.close()

        server = await asyncio.start_server(answer_first, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        caller = http_caller.HttpCaller(
            f"http://127.0.0.1:{port}", TIMEOUT_MS, clocks.SystemClock()
        )
        await caller.call("POST", "/", {}, b"ab")
        with self.assertRaises(http_caller.AnswerLostError):
            await caller.call("POST", "/", {}, b"ab")
        self.assertEqual(requests, 2)
        caller.close()
        server.close()


class HttpObjectStoreTest(StandinTest):
    async def asyncSetUp(self) -> None:
        clock = clocks.SystemClock()
        limits = object_store.TierLimits(1000, 0)
        self.backing = object_store.Store(limits, limits, clock)
        url = self.start(object_store.make_application(self.backing))
        self.store = object_client.HttpObjectStore(url, "kv", TIMEOUT_MS, clock)
        self.addCleanup(self.store.close)

    async def test_objects_are_written_once_and_read_completely(self) -> None:
        name = ids.ObjectName("a/b c+é")
        with self.assertRaises(object_client.ObjectMissingError):
            await self.store.get(name)
        await self.store.put(name, b"\0data", configuration.TierKind.DISK)
        self.assertEqual(await self.store.get(name), b"\0data")
        with self.assertRaises(object_client.ObjectExistsError):
            await self.store.put(name, b"other")
        stats = await self.store.stats()
        self.assertEqual((stats.disk_used, stats.memory_used), (5, 0))
        self.assertEqual(stats.incarnation, self.store.incarnation)
        await self.store.delete(name)
        self.assertEqual((await self.store.stats()).disk_used, 0)

    async def test_listing_reads_all_pages(self) -> None:
        names = [ids.ObjectName(f"x/{n:04}") for n in range(1005)]
        for name in [*names, "y/1"]:
            item = object_store.StoredObject(b"", object_store.StorageClass.DISK)
            await self.backing.write(f"kv/{name}", item, only_new=True)
        self.assertEqual(await self.store.list("x/"), tuple(names))

    async def test_failed_and_torn_writes(self) -> None:
        """The store is full, loses an answer, or stores only half of the data."""
        missing = object_client.ObjectMissingError
        full = object_client.StoreFullError
        failed = object_client.ObjectStoreError
        cases: list[tuple[dict[str, Any], type[Exception] | None, object]] = [
            ({"full": True}, full, missing),
            ({"drop_answers": 1.0}, failed, b"data"),
            ({"torn_writes": 1.0}, None, b"da"),
        ]
        for number, (faults, error, stored) in enumerate(cases):
            with self.subTest(faults):
                name = ids.ObjectName(str(number))
                self.backing.faults.update(json.dumps(faults).encode())
                await self._expect(self.store.put(name, b"data"), error)
                initial = object_store.StoreFaults().model_dump_json()
                self.backing.faults.update(initial.encode())
                if isinstance(stored, bytes):
                    self.assertEqual(await self.store.get(name), stored)
                else:
                    with self.assertRaises(missing):
                        await self.store.get(name)

    async def _expect(
        self, call: Awaitable[None], error: type[Exception] | None
    ) -> None:
        if error is None:
            await call
        else:
            with self.assertRaises(error):
                await call


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_transfers_take_time_on_the_link(self) -> None:
        """The stand-in's link limits its transfers; the fault slows it further."""
        clock = clocks.ManualClock()
        limits = object_store.TierLimits(10_000, 1000)
        store = object_store.Store(limits, limits, clock)
        item = object_store.StoredObject(bytes(500), object_store.StorageClass.DISK)
        await store.write("kv/a", item, only_new=True)
        self.assertEqual(clock.now_ms(), 500)
        store.faults.slow_factor = 3.0
        await store.read("kv/a")
        self.assertEqual(clock.now_ms(), 2000)


class HttpVmListTest(StandinTest):
    async def test_list_that_lags_freezes_or_fails(self) -> None:
        clock = clocks.ManualClock()
        vms = vm_list_standin.LaggingList(1000, clock)
        url = self.start(vm_list_standin.make_application(vms))
        client = vm_list.HttpVmList(url, TIMEOUT_MS, clocks.SystemClock())
        self.addCleanup(client.close)
        vm_document = {
            "address": "127.0.0.1",
            "port": 80,
            "data_centre": "patan",
            "state": "live",
            "role": "entry",
        }
        caller = http_caller.HttpCaller(url, TIMEOUT_MS, clocks.SystemClock())
        self.addCleanup(caller.close)
        await caller.call("PUT", "/vms/e1", {}, json.dumps(vm_document).encode())
        self.assertEqual(await client.fetch(), ())
        clock.advance(1000)
        (vm,) = await client.fetch()
        self.assertEqual((vm.name, vm.state), ("e1", vm_list.VmState.LIVE))
        vms.faults.frozen = True
        await caller.call("DELETE", "/vms/e1")
        clock.advance(1000)
        self.assertEqual(await client.fetch(), (vm,))
        vms.faults.frozen = False
        self.assertEqual(await client.fetch(), ())
        vms.faults.down = True
        with self.assertRaises(vm_list.VmListError):
            await client.fetch()
