"""Tests of the budget of chunks, the decoder, and the listener that uses both."""

import asyncio
import re
import socket
import struct
import tracemalloc
import unittest
from collections.abc import Callable
from typing import Final
from unittest import mock

from quincecrank.budgets import byte_budget, chunk_budget, chunk_decoder, chunk_reader
from tests import builders_gateway as builders
from tests import gateway_case as case

Cost = chunk_budget.BodyCost
Holder = byte_budget.Holder

MANY: Final = chunk_budget.CROWDED_CHUNKS + 1
CROWD: Final = chunk_budget.CROWDED_BODIES
SITE_MB: Final = 136
PIECES: Final = 3_000
CONNECTION_BYTES: Final = 60_000
"""Memory of a connection, its buffers included."""

HEAD_BYTES: Final = 12_000
HEAD_PIECE_BYTES: Final = 16

SMALL_CHUNK: Final = b"1\r\nx\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"


class ChunkBudgetTest(unittest.TestCase):
    def test_a_step_gives_turns_up_to_its_cost(self) -> None:
        budget = chunk_budget.ChunkBudget()
        taken = 0
        while allowed := budget.take_turn():
            self.assertLessEqual(allowed, chunk_budget.TURN_COST)
            taken += allowed
        self.assertEqual(taken, chunk_budget.STEP_COST)
        budget.begin_step()
        self.assertEqual(budget.take_turn(), chunk_budget.TURN_COST)

    def test_what_a_turn_leaves_is_used_by_others_of_its_step(self) -> None:
        budget = chunk_budget.ChunkBudget()
        while budget.take_turn():
            pass
        budget.return_unused(7)
        self.assertEqual((budget.take_turn(), budget.take_turn()), (7, 0))
        budget.return_unused(2 * chunk_budget.STEP_COST)
        self.assertEqual(budget.take_turn(), chunk_budget.TURN_COST)

    def test_a_single_body_goes_on_whatever_its_chunks(self) -> None:
        budget = chunk_budget.ChunkBudget()
        whole = Cost(chunks=4_194_304, size=4_194_304)
        self.assertTrue(budget.may_go_on(whole, CROWD - 1))

    def test_bodies_in_small_chunks_are_rejected_among_many(self) -> None:
        budget = chunk_budget.ChunkBudget()
        size = chunk_budget.SMALL_CHUNK_BYTES * MANY
        for cost, goes_on in (
            (Cost(MANY, size - 1), False),
            (Cost(MANY, size), True),
            (Cost(MANY - 1, MANY - 1), True),
            (Cost(MANY, MANY, discarded_from=MANY), True),
        ):
            self.assertEqual(budget.may_go_on(cost, CROWD), goes_on, cost)
        self.assertEqual(budget.rejections, 1)

    def test_discarded_chunks_end(self) -> None:
        budget = chunk_budget.ChunkBudget()
        most = chunk_budget.DISCARDED_CHUNKS
        self.assertTrue(budget.may_discard(Cost(chunks=2 * most)))
        self.assertTrue(budget.may_discard(Cost(chunks=most + 3, discarded_from=3)))
        self.assertFalse(budget.may_discard(Cost(chunks=most + 4, discarded_from=3)))
        self.assertEqual(budget.closes, 1)


class ChunkDecoderTest(unittest.TestCase):
    def decode(self, raw: bytes, piece: int, most: int) -> tuple[bytes, bytes]:
        """Return the decoded body, and what follows it, of pieces of `raw`."""
        decoder = chunk_decoder.ChunkDecoder()
        found = []
        for at in range(0, len(raw), piece):
            decoder.feed(raw[at : at + piece])
            while decoder.has_more and not decoder.has_ended:
                data, cost = decoder.decode(most)
                self.assertLessEqual(cost, most)
                found.append(data)
        self.assertTrue(decoder.has_ended)
        self.assertEqual(decoder.cost.size, len(b"".join(found)))
        return b"".join(found), decoder.rest

    def test_chunks_are_joined_wherever_they_are_cut(self) -> None:
        large = b"y" * (3 * chunk_budget.BYTES_PER_COST + 5)
        raw = b"1\r\nx\r\n2\r\n\r\n\r\n00A\r\n0123456789\r\n"
        raw += b"%X\r\n%b\r\n0\r\n\r\n" % (len(large), large)
        body = b"x\r\n0123456789" + large
        for piece in (1, 2, 3, 7, len(raw)):
            for most in (1, 2, 500):
                self.assertEqual(self.decode(raw, piece, most), (body, b""))

    def test_the_next_request_is_left(self) -> None:
        found = self.decode(b"1\r\nx\r\n0\r\n\r\nGET /", 500, 500)
        self.assertEqual(found, (b"x", b"GET /"))

    def test_each_chunk_counts(self) -> None:
        decoder = chunk_decoder.ChunkDecoder()
        decoder.feed(b"1\r\nx\r\n" * 9)
        self.assertEqual(decoder.decode(5), (b"xxxxx", 5))
        self.assertEqual(decoder.cost, Cost(chunks=5, size=5))

    def test_malformed_chunks(self) -> None:
        """Framing that servers could take in another way than the gateway."""
        for raw in (
            b"x\r\n",
            b"\r\n",
            b"+1\r\nx\r\n",
            b"0x1\r\nx\r\n",
            b"1_0\r\n",
            b" 1\r\nx\r\n",
            b"1;a=b\r\nx\r\n",
            b"1\r\nxy\r\n",
            b"1\r\nx\n",
            b"0\r\nTrailer: x\r\n\r\n",
            b"0" * chunk_decoder.MAX_LINE_BYTES + b"1\r\nx\r\n",
        ):
            decoder = chunk_decoder.ChunkDecoder()
            decoder.feed(raw)
            with self.assertRaises(chunk_decoder.MalformedChunkError, msg=raw):
                decoder.decode(500)


class ListenerChunksTest(case.GatewayCase):
    """A listener whose callers send bodies in chunks."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.bytes = byte_budget.ByteBudget(SITE_MB)
        self.listener.state.budgets.bytes = self.bytes
        self.reader = self.listener.state.budgets.chunk_reader
        self.server = await self.add_server(*[case.sends(case.answer())] * 100)

    async def send(self, raw: bytes, **extra: str) -> case.Caller:
        """Send a request whose body, in chunks, is `raw`; return its connection."""
        caller = await case.Caller.connect(self.port)
        self.addCleanup(caller.close)
        headers = builders.make_headers(Transfer_Encoding="chunked", **extra)
        lines = [f"{name}: {value}" for name, value in headers.get_all()]
        head = "\r\n".join(["POST /record/ HTTP/1.1", *lines, "", ""])
        caller.writer.write(head.encode() + raw)
        return caller

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(case.WAIT_S):
            while not holds():
                await asyncio.sleep(0.01)

    async def test_steps_grew_with_the_number_of_bodies(self) -> None:
        """A step decoded a part of each body, however many there were."""
        costs = [0]
        decode = chunk_decoder.ChunkDecoder.decode

        def observed(
            decoder: chunk_decoder.ChunkDecoder, most: int
        ) -> tuple[bytes, int]:
            data, cost = decode(decoder, most)
            costs[-1] += cost
            return data, cost

        async def count_steps() -> None:
            while True:
                costs.append(0)
                await asyncio.sleep(0)

        with mock.patch.object(chunk_decoder.ChunkDecoder, "decode", observed):
            self.background.start(count_steps())
            raw = SMALL_CHUNK * (2 * MANY) + LAST_CHUNK
            with mock.patch.object(self.reader.budget, "take_turn", lambda: 0):
                sent = [await self.send(raw) for _ in range(2 * CROWD)]
                await self.wait_until(lambda: self.reader.waiting_bodies == 2 * CROWD)
            got = [await caller.receive() for caller in sent]
        # Turns are given in one step and taken in the next one.
        self.assertLessEqual(max(costs), 2 * chunk_budget.STEP_COST)
        statuses = [each.status for each in got]
        self.assertEqual(set(statuses), {200, 503})
        self.assertEqual(len(self.server.received), statuses.count(200))
        self.assertEqual(self.reader.budget.rejections, statuses.count(503))

    async def test_a_single_body_is_served_whatever_its_chunks(self) -> None:
        caller = await self.send(SMALL_CHUNK * (8 * MANY) + LAST_CHUNK)
        self.assertEqual((await caller.receive()).status, 200)
        self.assertEqual(self.server.received[0].body, b"x" * (8 * MANY))

    async def test_the_next_request_of_a_connection_is_served(self) -> None:
        """What is read beyond a body is not lost."""
        caller = await self.send(SMALL_CHUNK + LAST_CHUNK)
        await caller.send("/record/", b"next")
        statuses = [(await caller.receive()).status for _ in range(2)]
        self.assertEqual(statuses, [200, 200])
        self.assertEqual(self.server.received[1].body, b"next")

    async def test_bodies_of_callers_that_had_left_were_decoded(self) -> None:
        await self.send(SMALL_CHUNK)
        await self.wait_until(lambda: self.bytes.held_by_holder[Holder.CALLERS] == 1)
        with mock.patch.object(self.reader.budget, "take_turn", lambda: 0):
            for number in range(CROWD):
                caller = await self.send(SMALL_CHUNK * MANY)
                count = number + 1
                await self.wait_until(lambda: self.reader.waiting_bodies == count)  # noqa: B023
                linger = struct.pack("ii", 1, 0)
                connection = caller.writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                caller.writer.transport.abort()
        with mock.patch.object(chunk_decoder.ChunkDecoder, "decode") as decode:
            await self.wait_until(lambda: not self.reader.waiting_bodies)
            await self.wait_until(lambda: self.listener.open_requests == 1)
        decode.assert_not_called()
        self.assertEqual(self.bytes.held_by_holder[Holder.CALLERS], 1)

    async def test_rejected_bodies_were_read_without_an_end(self) -> None:
        """A rejected request is read on, so that its caller receives the answer."""
        document = builders.make_configuration_document(8)
        document["limits"]["maxBodyBytes"] = 1_000
        self.configure_from(document)
        caller = await self.send(SMALL_CHUNK * (1_000 + 4 * MANY))
        self.assertEqual((await caller.receive()).status, 413)
        self.assertEqual((await caller.receive()).status, 0)
        self.assertEqual(self.reader.budget.closes, 1)
        self.assertEqual(self.bytes.held_by_holder[Holder.CALLERS], 0)

    async def test_a_rejected_request_was_rejected_again(self) -> None:
        """A second answer followed the first one on the connection."""
        document = builders.make_configuration_document(8)
        # Reached in the same turn as the number of chunks.
        document["limits"]["maxBodyBytes"] = chunk_budget.CROWDED_CHUNKS
        self.configure_from(document)
        crowd = mock.PropertyMock(return_value=CROWD)
        with mock.patch.object(chunk_reader.ChunkReader, "waiting_bodies", crowd):
            caller = await self.send(SMALL_CHUNK * (MANY + 4_000) + LAST_CHUNK)
            self.assertEqual((await caller.receive()).status, 413)
            self.assertEqual((await caller.receive()).status, 0)
        self.assertEqual(self.reader.budget.rejections, 0)

    async def test_a_caller_that_was_asked_for_its_body_lost_the_rejection(
        self,
    ) -> None:
        """The connection was reset while the caller sent the rest of the body."""
        document = builders.make_configuration_document(8)
        document["limits"]["maxBodyBytes"] = 1_000
        self.configure_from(document)
        caller = await self.send(b"", Expect="100-continue")
        self.assertIn(b" 100 ", await caller.reader.readuntil(b"\r\n\r\n"))
        for end in (b"", b"", LAST_CHUNK):
            caller.writer.write(b"800\r\n" + b"x" * 0x800 + b"\r\n" + end)
            await asyncio.sleep(0.05)
        self.assertEqual((await caller.receive()).status, 413)
        self.assertEqual((await caller.receive()).status, 0)
        self.assertEqual(self.server.received, [])

    async def test_malformed_chunks_are_no_request(self) -> None:
        caller = await self.send(SMALL_CHUNK + b"1;a=b\r\nx\r\n" + LAST_CHUNK)
        self.assertIn(b" 400 ", await caller.reader.readline())
        self.assertEqual(self.server.received, [])


class DeclaredLengthTest(case.GatewayCase):
    async def test_a_length_of_thousands_of_digits_got_no_answer(self) -> None:
        """The listener logged an error for each and closed the connection."""
        for length in ("9" * 5_000, "\xb2", "5_0", "-1"):
            with self.subTest(length[:5]):
                caller = await case.Caller.connect(self.port)
                self.addCleanup(caller.close)
                head = f"POST /record/ HTTP/1.1\r\nContent-Length: {length}\r\n\r\n"
                caller.writer.write(head.encode("latin1"))
                self.assertIn(b" 400 ", await caller.reader.readline())
        self.assertEqual(self.listener.open_requests, 0)


class LeftCallerTest(case.GatewayCase):
    async def test_requests_of_callers_that_had_left_could_not_be_logged(self) -> None:
        """The log of open requests ended with an error, and with it the shutdown."""
        caller = await case.Caller.connect(self.port)
        self.addCleanup(caller.close)
        caller.writer.write(
            b"POST /record/ HTTP/1.1\r\nContent-Length: 9\r\nRequest-Id: q-1\r\n\r\n"
        )
        async with asyncio.timeout(case.WAIT_S):
            while not self.listener.open_requests:
                await asyncio.sleep(0.01)
        (connection,) = self.listener._receiver_by_connection
        connection.stream.close()
        self.listener.log_open_requests()


class PiecesTest(case.GatewayCase):
    """Callers that send few bytes at a time."""

    async def send_in_pieces(self, sent: bytes, size: int) -> case.Caller:
        """Send bytes, each piece of which the listener reads by itself."""
        caller = await case.Caller.connect(self.port)
        self.addCleanup(caller.close)
        for at in range(0, len(sent), size):
            caller.writer.write(sent[at : at + size])
            for _ in range(2):
                await asyncio.sleep(0)
        return caller

    async def test_pieces_of_bodies_took_many_times_their_bytes(self) -> None:
        """Each piece was an object of its own, and counted with its bytes only."""
        head = f"POST /record/ HTTP/1.1\r\nContent-Length: {2 * PIECES}\r\n\r\n"
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        await self.send_in_pieces(head.encode(), len(head))
        before = tracemalloc.get_traced_memory()[0]
        await self.send_in_pieces(head.encode() + b"x" * (2 * PIECES - 2), 2)
        taken = tracemalloc.get_traced_memory()[0] - before
        self.assertEqual(self.listener.open_requests, 2)
        memory = byte_budget.MEMORY_PER_BYTE[Holder.CALLERS] * 2 * PIECES
        self.assertLess(taken, memory + CONNECTION_BYTES)

    async def test_each_piece_of_a_head_cost_a_search_in_all_of_it(self) -> None:
        """A head in many pieces took time in proportion to its length squared."""
        searched = 0
        end = re.compile(b"\r?\n\r?\n")

        def search(data: bytes, begin: int = 0) -> re.Match[bytes] | None:
            nonlocal searched
            searched += len(data) - begin
            return end.search(data, begin)

        lines = "".join(
            f"{name}: {value}\r\n"
            for name, value in builders.make_headers(Padding="x" * HEAD_BYTES).get_all()
        )
        sent = f"GET /look/x HTTP/1.1\r\n{lines}\r\n".encode()
        await self.add_server(case.sends(case.answer()))
        with mock.patch("tornado.iostream.re") as patterns:
            patterns.compile.return_value.search = search
            caller = await self.send_in_pieces(sent, HEAD_PIECE_BYTES)
        self.assertEqual((await caller.receive()).status, 200)
        self.assertLess(searched, 8 * len(sent))

    async def test_ends_of_heads_are_found_wherever_they_are_cut(self) -> None:
        await self.add_server(case.sends(case.answer()))
        for line_end in ("\r\n", "\n"):
            lines = (
                f"{name}: {value}" for name, value in builders.make_headers().get_all()
            )
            sent = line_end.join(["GET /look/x HTTP/1.1", *lines, "", ""]).encode()
            for size in (1, 2, 3):
                caller = await self.send_in_pieces(sent, size)
                self.assertEqual((await caller.receive()).status, 200)
