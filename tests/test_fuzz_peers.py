"""Fuzz tests of the bytes that peers and stores send.

They guard against handshakes, packets and stored blocks that raise unexpected errors,
are accepted though damaged, or make the process allocate much memory.
"""

import asyncio
import tracemalloc
import unittest
from typing import Any, Final

import hypothesis
from hypothesis import strategies
from structlog import testing
from tornado import iostream

from quincecrank import (
    agent_links,
    chain_view,
    current_configuration,
    ids,
    peer_link,
    problems,
    rpc,
    sealed_block,
    stream_messages,
    token_sampling,
    wire,
)
from quincecrank import clock as clocks
from tests import builders_wire as builders

MAX_PEAK_BYTES: Final = 32 * 1024 * 1024

# With `derandomize` the examples follow from a test's name and source: renaming a test
# changes what it tries.
REPRODUCIBLE: Final = hypothesis.settings(
    max_examples=200,
    deadline=None,
    database=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)

COPY: Final = chain_view.StoredBlock(
    0, ids.VmName("smriti-ka"), ids.ObjectName("a.b.c"), ids.TierName("memory")
)


def order_payload() -> bytes:
    """Return the packet of a prompt's order, with no list empty."""
    work = stream_messages.Completion(
        model="lekhak",
        prompt="नमस्ते".encode(),
        max_tokens=4,
        weight_version=ids.WeightVersion("v1"),
        adapter=ids.AdapterName(""),
        cache_salt="ab",
        block_keys=(ids.BlockKey("ab" * 16),),
        chat=False,
        streamed=True,
        blocks_to_restore=(COPY,),
        blocks_to_write=(COPY,),
        sampling=token_sampling.Sampling(temperature=0.5, seed=1, stop=("x",)),
    )
    return bytes(stream_messages.encode_order(builders.order(work)).to_bytes())


def frames_payload() -> bytes:
    """Return a packet with one frame of each kind."""
    packet = wire.new_packet()
    frames = packet.init("frames").init("frames", 4)
    for number, frame in enumerate(frames):
        frame.stream = 1
        frame.number = number
    head = frames[0].init("head")
    head.status = 201
    head.init("headers", 1)[0].name = "X-A"
    frames[1].data = b"data"
    refusal = problems.Problem(problems.ProblemKind.LEAVING, "why")
    stream_messages.encode_refusal(frames[2].init("refusal"), refusal)
    stream_messages.encode_end(frames[3].init("end"), stream_messages.StreamEnd(3))
    return bytes(packet.to_bytes())


def call_payload() -> bytes:
    """Return the packet of a call."""
    packet = wire.new_packet()
    call = packet.init("call")
    call.method = rpc.Method.RUNNING.value
    call.body = b"{}"
    return bytes(packet.to_bytes())


def heartbeat_payload() -> bytes:
    """Return the packet of an agent's heartbeat."""
    packet = wire.new_packet()
    load = packet.init("heartbeat").init("load")
    load.weightVersion = "v1"
    load.adapters = ["one", "two"]
    return bytes(packet.to_bytes())


PAYLOADS: Final = (
    order_payload(),
    frames_payload(),
    call_payload(),
    heartbeat_payload(),
)


@strategies.composite
def mutated(draw: Any, payloads: tuple[bytes, ...]) -> bytes:
    """Draw a payload with some bytes changed and possibly its end cut off."""
    data = bytearray(draw(strategies.sampled_from(payloads)))
    places = strategies.integers(0, len(data) - 1)
    changes = strategies.tuples(places, strategies.integers(0, 255))
    for place, value in draw(strategies.lists(changes, min_size=1, max_size=8)):
        data[place] = value
    if draw(strategies.booleans()):
        del data[draw(places) :]
    return bytes(data)


ANY_PAYLOAD: Final = strategies.one_of(
    strategies.binary(max_size=200), mutated(PAYLOADS)
)


class FuzzTest(unittest.TestCase):
    def setUp(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def tearDown(self) -> None:
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, MAX_PEAK_BYTES)


class PacketsTest(FuzzTest):
    """Malformed packets that pass authentication, as only a faulty peer sends them.

    A link must handle each packet or reject it with `WireError`, which closes the link.
    """

    @REPRODUCIBLE
    @hypothesis.given(ANY_PAYLOAD)
    def test_an_agent_takes_them_or_ends_the_link(self, payload: bytes) -> None:
        asyncio.run(self.dispatch(payload, is_entry=False))

    @REPRODUCIBLE
    @hypothesis.given(ANY_PAYLOAD)
    def test_an_entry_takes_them_or_ends_the_link(self, payload: bytes) -> None:
        asyncio.run(self.dispatch(payload, is_entry=True))

    async def dispatch(self, payload: bytes, *, is_entry: bool) -> None:
        """Dispatch one packet on a link; any error but `WireError` fails the test."""
        ends = await builders.connection_pair(self)
        owner: peer_link.LinkHandler = builders.RecordingOwner()
        with testing.capture_logs():
            if is_entry:
                clock = clocks.SystemClock()
                current = current_configuration.CurrentConfiguration(clock)
                owner = agent_links.AgentLinks(current, lambda: None, clock)
            link = builders.link_of(ends[0], owner)
            if isinstance(owner, agent_links.AgentLinks):
                owner.add_link(link)
                work = stream_messages.PlainCall("GET", "/", (), b"")
                state = owner.states_by_vm[link.peer.name]
                owner.open(state, builders.order(work), builders.NullSink())
            try:
                link._dispatch(payload)
            except wire.WireError:
                pass
            await asyncio.sleep(0)
        for end in ends:
            end.close()


class ConnectionTest(FuzzTest):
    @REPRODUCIBLE
    @hypothesis.given(strategies.binary(max_size=300), strategies.booleans())
    def test_no_bytes_pass_for_a_handshake(self, sent: bytes, framed: bool) -> None:
        asyncio.run(self.handshake(builders.packed(sent) if framed else sent))

    async def handshake(self, sent: bytes) -> None:
        attacker, accepted = builders.stream_pair(self)
        pending = asyncio.ensure_future(builders.accept(accepted, builders.TIMEOUT_MS))
        await attacker.write(sent)
        await asyncio.sleep(0)
        attacker.close()
        with self.assertRaises((wire.WireError, iostream.StreamClosedError)):
            await pending
        self.assertTrue(accepted.closed())

    @REPRODUCIBLE
    @hypothesis.given(strategies.binary(min_size=1, max_size=300))
    def test_no_bytes_pass_for_a_packet(self, sent: bytes) -> None:
        asyncio.run(self.packets(sent))

    async def packets(self, sent: bytes) -> None:
        sender, receiver = await builders.connection_pair(self)
        await sender._stream.write(sent)
        sender.close()
        with self.assertRaises((wire.WireError, iostream.StreamClosedError)):
            await receiver.receive()
        receiver.close()


IDENTITY: Final = sealed_block.BlockIdentity(
    ids.BlockKey("ab" * 16), ids.ObjectName("a.b.c"), ids.WeightVersion("v1")
)
SEALED: Final = sealed_block.seal(builders.SECRET, IDENTITY, b"payload" * 9)


class SealedBlockTest(FuzzTest):
    @REPRODUCIBLE
    @hypothesis.given(strategies.one_of(strategies.binary(), mutated((SEALED,))))
    def test_only_the_whole_block_opens(self, data: bytes) -> None:
        result = sealed_block.open_sealed(builders.SECRET, IDENTITY, data)
        self.assertEqual(result.is_ok(), data == SEALED)
