"""Tests of the product's clients against faults of the stand-ins, over HTTP."""

import asyncio
import contextlib
import unittest

from quincecrank import attempt_claims, http_caller, ids, platform_table
from quincecrank import clock as clocks
from standins import platform_store, serving, weight_store
from tests import builders_platform

TIMEOUT_MS = 2000
SHORT_TIMEOUT_MS = 100


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_timeout_replaces_all_silent_connections(self) -> None:
        """A timeout on one connection must discard all connections opened before.

        Otherwise, after a network element has dropped the state of four connections,
        each of the next four calls would take a silent one and time out.
        """
        silent = False
        all_open = asyncio.Barrier(4)

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            opened_before = not silent
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    if opened_before and silent:
                        continue
                    if not silent:
                        await all_open.wait()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        caller = http_caller.HttpCaller(
            f"http://127.0.0.1:{port}", SHORT_TIMEOUT_MS * 5, clocks.SystemClock()
        )
        await asyncio.gather(*(caller.call("GET", "/") for _ in range(4)))
        silent = True
        with self.assertRaises(http_caller.AnswerLostError):
            await caller.call("GET", "/")
        for _ in range(4):
            await caller.call("GET", "/")
        caller.close()
        server.close()


class CountingClock(clocks.ManualClock):
    """Clock that counts the calls of `sleep`."""

    def __init__(self) -> None:
        super().__init__()
        self.sleeps = 0

    async def sleep(self, duration_ms: float) -> None:
        self.sleeps += 1
        await super().sleep(duration_ms)


class WeightStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_rate_is_shared_above_two_transfers(self) -> None:
        unshared_steps = weight_store.LOAD_MS // weight_store.STEP_MS
        for transfers, steps in (
            (1, unshared_steps),
            (2, unshared_steps),
            (4, 2 * unshared_steps),
        ):
            with self.subTest(transfers):
                clock = CountingClock()
                store = weight_store.WeightStore(weight_store.LOAD_MS, clock)
                await asyncio.gather(*(store.transfer() for _ in range(transfers)))
                self.assertAlmostEqual(clock.sleeps, transfers * steps, delta=transfers)


class ClaimsOverHttpTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_grant_for_each_key_while_answers_are_lost(self) -> None:
        """Of four agents that claim the same request, exactly one must be granted it.

        An agent whose write or answer is lost does not know whether its claim was
        stored; a wrong assumption would run a request twice or not at all.
        """
        clock = clocks.SystemClock()
        service = platform_store.StoreService(clock, seed=3)
        service.faults.writes_per_second = 0
        service.faults.reads_per_second = 0
        running = serving.start(platform_store.make_application(service))
        self.addAsyncCleanup(running.stop)
        agents = []
        for number in range(4):
            client = platform_table.HttpTable(running.url, TIMEOUT_MS)
            self.addCleanup(client.close)
            server = ids.BackendServerName(f"prasaran-{number}")
            incarnation = ids.Incarnation("i")
            agents.append(
                attempt_claims.AttemptClaims(client, clock, server, incarnation)
            )
        identities = [builders_platform.identity(str(key)) for key in range(10)]
        requests = [
            builders_platform.claim_request(f"{name}", identity, TIMEOUT_MS)
            for name, identity in enumerate(identities)
        ]
        service.faults.lose_answers = 0.3
        service.faults.lose_requests = 0.3
        claims = await asyncio.gather(
            *(agent.claim(request) for agent in agents for request in requests)
        )
        service.faults.lose_answers = 0.0
        service.faults.lose_requests = 0.0
        for agent in agents:
            await agent.flush()
        claims += [
            await agents[0].claim(
                builders_platform.claim_request("last", identity, TIMEOUT_MS)
            )
            for identity in identities
        ]
        for identity in identities:
            granted = [
                claim
                for claim in claims
                if claim.identity == identity
                and claim.verdict is attempt_claims.ClaimVerdict.GRANTED
            ]
            self.assertEqual(len(granted), 1)
