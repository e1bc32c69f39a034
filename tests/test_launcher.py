"""Tests of the launcher and the relay, with real processes and connections."""

import asyncio
import json
import pathlib
import tempfile
import unittest
import urllib.request

from quincecrank import engine_messages, ids
from standins import launcher, relay
from tests import builders_engine as builders


class FleetTest(unittest.TestCase):
    def test_all_started_processes_are_ended_also_frozen_ones(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        with launcher.Fleet(pathlib.Path(folder.name)) as fleet:
            killed = fleet.launch("service", "standins.plain_service")
            frozen = fleet.launch("service", "standins.plain_service")
            running = fleet.launch("engine", "standins.engine", ["--decode-ms", "1"])
            for process in (killed, frozen, running):
                process.wait_ready()
            ports = {process.port for process in (killed, frozen, running)}
            self.assertEqual(len(ports), 3)
            record = urllib.request.Request(
                f"{killed.url}/releases",
                b"x",
                {"Idempotency-Key": "k1", "X-Client-Account": "kirtipur"},
            )
            for _ in range(2):
                urllib.request.urlopen(record).close()
            with urllib.request.urlopen(f"{killed.url}/ledger") as response:
                records = json.load(response)["records"]
            self.assertEqual(
                [(each["number"], each["idempotency_key"]) for each in records],
                [(1, "k1"), (2, "k1")],
            )
            killed.kill()
            frozen.freeze()
            self.assertEqual(killed.exit_code, -9)
            self.assertTrue(frozen.running)
        self.assertFalse(frozen.running or running.running)

    def test_program_that_ends_early_is_reported_with_its_log(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        with launcher.Fleet(pathlib.Path(folder.name)) as fleet:
            with self.assertRaisesRegex(launcher.StartError, "no_such_program"):
                fleet.start("none", "standins.no_such_program")


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.engine = builders.start_engine()
        self.addAsyncCleanup(self.engine.stop)
        self.relay = relay.Relay(self.engine.server.port)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)

    async def test_silence_keeps_connections_open_until_cut(self) -> None:
        client = builders.make_client(self.relay.port)
        self.addCleanup(client.close)
        await client.health()
        self.relay.silence(also_new=True)
        kind = engine_messages.OrderKind.SET_ROLE
        order = asyncio.create_task(client.order(kind, "any", ids.FencingNumber(1)))
        accepted = self.relay.accepted
        done, _ = await asyncio.wait({order}, timeout=0.1)
        self.assertFalse(done)
        self.relay.heal()
        other = builders.make_client(self.relay.port)
        self.addCleanup(other.close)
        await other.health()
        self.assertEqual(self.relay.accepted, accepted + 1)
        self.relay.cut()
        with self.assertRaises(engine_messages.EngineFailedError):
            await order
