"""Tests that links refuse peers without the secret and altered or malformed packets.

Guards against packets that are accepted although they were replayed, reordered or
changed on the way, and against malformed packets that end a link without a log line.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from structlog import testing
from tornado import iostream

from quincecrank import (
    agent_links,
    current_configuration,
    peer_pool,
    problems,
    rpc,
    stream_messages,
    wire,
)
from quincecrank import clock as clocks
from tests import builders_wire as builders

Alteration = Callable[[list[bytes]], list[bytes]]


def hello_of(own: wire.PeerIdentity) -> bytes:
    return wire._encode_hello(own)


def hello_without_nonce() -> bytes:
    packet = wire.new_packet()
    packet.init("hello").name = "vm-1"
    return bytes(packet.to_bytes())


def proof(secret: bytes) -> bytes:
    return wire._encode_proof(secret, b"dialler", b"")


class HandshakeTest(unittest.IsolatedAsyncioTestCase):
    async def test_handshake_identifies_both_ends_and_packets_arrive(self) -> None:
        dialler, listener = await builders.connection_pair(self)
        self.assertEqual(dialler.peer, builders.AGENT)
        self.assertEqual(listener.peer, builders.ENTRY)
        for sender, receiver in ((dialler, listener), (listener, dialler)):
            for version in (1, 2):
                sender.send(builders.heartbeat(version))
                with wire.decode(await receiver.receive()) as packet:
                    self.assertEqual(packet.heartbeat.configurationVersion, version)

    async def refusal(
        self, attack: Callable[[iostream.IOStream], Awaitable[None]]
    ) -> str:
        """Return why the listener refused, after both ends have closed."""
        attacker, accepted = builders.stream_pair(self)
        pending = asyncio.ensure_future(
            builders.accept(accepted, builders.SHORT_TIMEOUT_MS)
        )
        await attack(attacker)
        with self.assertRaises((wire.WireError, iostream.StreamClosedError)) as raised:
            await pending
        self.assertTrue(accepted.closed())
        with self.assertRaises(iostream.StreamClosedError):
            while True:
                await attacker.read_bytes(1)
        return str(raised.exception)

    async def test_peers_that_cannot_prove_the_secret_are_refused(self) -> None:
        hello = builders.packed(hello_of(builders.ENTRY))
        wrong = builders.packed(proof(b"another secret of 32 characters."))
        oversized = (wire.MAX_HANDSHAKE_BYTES + 1).to_bytes(4, "little")
        cases = (
            ("silent", b"", "no handshake within"),
            ("no proof", hello, "no handshake within"),
            ("wrong proof", hello + wrong, "does not know the fleet secret"),
            ("empty proof", hello + builders.packed(b""), "does not know"),
            ("oversized", oversized, "is too large"),
            ("HTTP", b"GET / HTTP/1.1\r\n\r\n", "is too large"),
            ("not a packet", builders.packed(b"\xff" * 64), "hello is malformed"),
            ("proof first", wrong, "first packet is not a hello"),
            ("no nonce", builders.packed(hello_without_nonce()), "has no nonce"),
        )
        for title, sent, expected in cases:
            with self.subTest(title):

                async def attack(stream: iostream.IOStream, sent: bytes = sent) -> None:
                    await stream.write(sent)

                self.assertIn(expected, await self.refusal(attack))

    async def test_a_recorded_handshake_is_refused_on_another_connection(self) -> None:
        dialled, middle = builders.stream_pair(self)
        onward, accepted = builders.stream_pair(self)
        both = asyncio.gather(
            builders.dial(dialled, builders.TIMEOUT_MS),
            builders.accept(accepted, builders.TIMEOUT_MS),
        )
        recorded = b""
        for _ in ("hello", "proof"):
            sent = await builders.read_packed(middle)
            recorded += sent
            await onward.write(sent)
            await middle.write(await builders.read_packed(onward))
        await both

        async def replay(stream: iostream.IOStream) -> None:
            await stream.write(recorded)

        self.assertIn("does not know the fleet secret", await self.refusal(replay))

    async def test_peer_that_reflects_the_handshake_is_refused(self) -> None:
        async def reflect(stream: iostream.IOStream) -> None:
            for _ in ("hello", "proof"):
                await stream.write(await builders.read_packed(stream))

        self.assertIn("does not know the fleet secret", await self.refusal(reflect))


class AlteredPacketsTest(unittest.IsolatedAsyncioTestCase):
    async def test_altered_packets_are_refused(self) -> None:
        def flip(packet: bytes, position: int) -> bytes:
            changed = bytearray(packet)
            changed[position] ^= 1
            return bytes(changed)

        oversized = (wire.MAX_PACKET_BYTES + 1).to_bytes(4, "little") + bytes(16)
        tag_position, last = builders.LENGTH_BYTES, -1
        cases: tuple[tuple[str, Alteration, int, str], ...] = (
            ("replayed", lambda p: [p[0], p[0], p[1]], 1, "wrong authentication tag"),
            ("reordered", lambda p: [p[1], p[0]], 0, "wrong authentication tag"),
            ("dropped", lambda p: [p[1]], 0, "wrong authentication tag"),
            ("payload", lambda p: [p[0], flip(p[1], last)], 1, "wrong authentication"),
            (
                "tag",
                lambda p: [flip(p[0], tag_position)],
                0,
                "wrong authentication tag",
            ),
            ("longer", lambda p: [flip(p[0], 0), p[1]], 0, "wrong authentication tag"),
            ("oversized", lambda p: [p[0], oversized], 1, "exceeds"),
            ("truncated", lambda p: [p[0], p[1][:-5]], 1, "Stream is closed"),
            ("empty", lambda p: [p[0], bytes(20)], 1, "wrong authentication tag"),
        )
        for title, alter, received_count, expected in cases:
            with self.subTest(title):
                received, reason = await self.received_through(alter)
                self.assertEqual(received, list(range(1, received_count + 1)))
                self.assertIn(expected, reason)

    async def received_through(self, alter: Alteration) -> tuple[list[int], str]:
        """Return the versions received of altered heartbeats, and the final error."""
        dialled, middle = builders.stream_pair(self)
        onward, accepted = builders.stream_pair(self)
        both = asyncio.gather(
            builders.dial(dialled, builders.TIMEOUT_MS),
            builders.accept(accepted, builders.TIMEOUT_MS),
        )
        for _ in ("hello", "proof"):
            await onward.write(await builders.read_packed(middle))
            await middle.write(await builders.read_packed(onward))
        sender, receiver = await both
        for version in (1, 2):
            sender.send(builders.heartbeat(version))
        packets = [await builders.read_sealed(middle) for _ in range(2)]
        await onward.write(b"".join(alter(packets)))
        onward.close()
        received: list[int] = []
        with self.assertRaises((wire.WireError, iostream.StreamClosedError)) as raised:
            while True:
                with wire.decode(await receiver.receive()) as packet:
                    received.append(packet.heartbeat.configurationVersion)
        return received, str(raised.exception)


def open_packet() -> bytes:
    work = stream_messages.PlainCall("GET", "/status", (), b"")
    return bytes(stream_messages.encode_order(builders.order(work)).to_bytes())


def call_packet(method: str, body: bytes) -> bytes:
    packet = wire.new_packet()
    call = packet.init("call")
    call.method = method
    call.body = body
    return bytes(packet.to_bytes())


def frames_packet(kind: str) -> bytes:
    packet = wire.new_packet()
    frame = packet.init("frames").init("frames", 1)[0]
    frame.stream = 1
    refusal = frame.init("refusal")
    refusal.kind = kind
    refusal.ran = "not-run"
    return bytes(packet.to_bytes())


class MalformedPacketsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.enterContext(testing.capture_logs())

    async def test_a_malformed_packet_ends_its_link_with_a_log_line(self) -> None:
        good = open_packet()
        unknown_union = bytearray(builders.heartbeat().to_bytes())
        unknown_union[16] = 0xEE
        wild_pointer = good[:24] + b"\xff" * 8 + good[32:]
        cases = (
            ("empty", b""),
            ("no packet", b"\xff" * 64),
            ("cut off", good[:-8]),
            ("half", good[: len(good) // 2]),
            ("unknown kind", bytes(unknown_union)),
            ("wild pointer", wild_pointer),
            ("handshake again", hello_of(builders.ENTRY)),
        )
        for title, payload in cases:
            with self.subTest(title):
                owner = builders.RecordingOwner()
                sender, receiver = await builders.connection_pair(self)
                link = builders.link_of(receiver, owner)
                sender.send(builders.Payload(payload))
                with testing.capture_logs() as logged:
                    reason = await asyncio.wait_for(link.run(), 5)
                self.assertIn("peer refused", [line["event"] for line in logged])
                self.assertTrue(reason)
                self.assertTrue(link.closed)
                self.assertEqual(owner.packets, [])

    async def test_a_refusal_of_an_unknown_kind_ends_the_link_of_an_entry(self) -> None:
        clock = clocks.SystemClock()
        current = current_configuration.CurrentConfiguration(clock)
        links = agent_links.AgentLinks(current, lambda: None, clock)
        dialler, listener = await builders.connection_pair(self)
        link = builders.link_of(dialler, links)
        links.add_link(link)
        state = links.states_by_vm[builders.AGENT.name]
        work = stream_messages.PlainCall("GET", "/status", (), b"")
        order = builders.order(work)
        attempt = links.open(state, order, builders.NullSink())
        listener.send(builders.Payload(frames_packet("no-such-kind")))
        reason = await asyncio.wait_for(link.run(), 5)
        links.remove_link(link)
        self.assertIn("no-such-kind", reason)
        outcome = await attempt.outcome()
        self.assertEqual(outcome.reason, "the link to the agent ended")

    async def test_request_on_an_ended_link_is_answered_as_not_run(self) -> None:
        clock = clocks.SystemClock()
        current = current_configuration.CurrentConfiguration(clock)
        links = agent_links.AgentLinks(current, lambda: None, clock)
        dialler, _ = await builders.connection_pair(self)
        link = builders.link_of(dialler, links)
        links.add_link(link)
        link.close()
        work = stream_messages.PlainCall("GET", "/status", (), b"")
        state = links.states_by_vm[builders.AGENT.name]
        attempt = links.open(state, builders.order(work), builders.NullSink())
        outcome = await attempt.outcome()
        assert outcome.problem is not None
        self.assertIs(outcome.problem.ran, problems.Ran.NOT_RUN)

    async def test_failed_calls_are_answered_and_the_link_stays_open(self) -> None:
        owner = builders.RecordingOwner()
        sender, receiver = await builders.connection_pair(self)
        running = asyncio.ensure_future(builders.link_of(receiver, owner).run())
        cases = (
            ("no-such-method", b"", "'no-such-method' is not a valid Method"),
            (rpc.Method.RUNNING.value, b"bug", "see the log of the peer"),
            (rpc.Method.RUNNING.value, b"", ""),
        )
        with testing.capture_logs():
            for method, body, expected in cases:
                sender.send(builders.Payload(call_packet(method, body)))
                self.assertIn(expected, await self.next_error(sender))
        sender.close()
        self.assertEqual(await running, "connection closed")

    async def next_error(self, connection: wire.Connection) -> str:
        while True:
            with wire.decode(await connection.receive()) as packet:
                if packet.which() == "reply":
                    return str(packet.reply.error)


class PeerPoolTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.enterContext(testing.capture_logs())

    async def test_outdated_agents_and_other_roles_are_refused(self) -> None:
        cases = (
            (builders.identity(fencing_number=5), "linked"),
            (builders.identity(fencing_number=4), "fencing number 4, not 5"),
            (builders.identity(fencing_number=5), "linked"),
            (builders.identity(wire.PeerRole.ENTRY), "no agent but entry"),
            (builders.identity(backend_server="lekhak-2"), "serves lekhak-2, not"),
            (builders.identity(fencing_number=6), "linked"),
            (builders.identity(fencing_number=5), "fencing number 5, not 6"),
        )
        pool = self.pool()
        listener = builders.Listener(builders.AGENT)
        self.addCleanup(listener.stop)
        for number, (shown, expected) in enumerate(cases):
            with self.subTest(number):
                refusal = pool._check(listener.vm(), shown)
                self.assertIn(expected, refusal or "linked")

    async def test_connection_of_a_refused_peer_is_closed(self) -> None:
        pool = self.pool()
        listener = builders.Listener(builders.identity(wire.PeerRole.ENTRY))
        pool.set_peers([listener.vm()])
        await asyncio.wait_for(listener.ended.wait(), 5)
        self.assertEqual(pool.links_by_name, {})
        pool.close()
        listener.stop()

    async def test_replaced_agent_that_dials_is_refused(self) -> None:
        pool = self.pool()
        for shown, expected in (
            (builders.identity(fencing_number=2), ""),
            (builders.identity(fencing_number=1), "agent has fencing number 1, not 2"),
            (builders.identity(fencing_number=0), ""),
            (builders.ENTRY, ""),
        ):
            self.assertEqual(pool.check_fence(shown), expected)

    def pool(self) -> peer_pool.PeerPool:
        pool = peer_pool.PeerPool(
            lambda: builders.ENTRY,
            builders.SECRET,
            builders.LIMITS,
            clocks.SystemClock(),
            linked=lambda link: None,
            unlinked=lambda link: None,
        )
        pool.handler = builders.RecordingOwner()
        return pool
