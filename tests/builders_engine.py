"""Builders of engines, requests and collected answers."""

import dataclasses
import hashlib

from quincecrank import engine_client, engine_messages, ids
from standins import answers, engine, engine_runtime, engine_scheduler, serving

VERSION = ids.WeightVersion("v1")
FAST = engine_scheduler.Speeds(prefill_tokens_per_second=10_000_000, decode_ms=1)


@dataclasses.dataclass
class RunningEngine:
    """An engine that listens in the test's own event loop, and its client."""

    engine: engine_runtime.Engine
    server: serving.RunningServer
    client: engine_client.HttpEngineClient

    async def stop(self) -> None:
        self.client.close()
        await self.server.stop()


def start_engine(
    speeds: engine_scheduler.Speeds = FAST,
    options: engine_runtime.EngineOptions | None = None,
) -> RunningEngine:
    """Start an engine; by default its payloads are small and its events undelayed."""
    if options is None:
        options = engine_runtime.EngineOptions(payload_bytes=256, event_delay_ms=0)
    started = engine_runtime.Engine(options, speeds)
    server = serving.start(engine.make_application(started))
    return RunningEngine(started, server, make_client(server.port))


def make_client(port: int) -> engine_client.HttpEngineClient:
    """Return a client of the engine at a port."""
    return engine_client.HttpEngineClient(f"http://127.0.0.1:{port}", max_streams=32)


def prompt(name: str, blocks: int, rest: str = "What airs at six?") -> str:
    """Return a prompt of complete blocks that differ for each name, and `rest`."""
    line = f"{name} आकाशवाणी "
    text = (line * (blocks * answers.BLOCK_BYTES // len(line.encode()) + 1)).encode()
    text = text[: blocks * answers.BLOCK_BYTES].decode(errors="ignore").encode()
    return text.ljust(blocks * answers.BLOCK_BYTES).decode() + rest


def block_keys(text: str, salt: str = "") -> tuple[ids.BlockKey, ...]:
    """Return a key for each complete block of `text`."""
    data = text.encode()
    ends = range(answers.BLOCK_BYTES, len(data) + 1, answers.BLOCK_BYTES)
    salted = salt.encode()
    return tuple(
        ids.BlockKey(hashlib.sha256(salted + data[:end]).hexdigest()) for end in ends
    )


def request(
    text: str, name: str = "r1", max_tokens: int = 5
) -> engine_messages.EngineRequest:
    """Return a request for `text` with a key for each block."""
    return engine_messages.EngineRequest(
        request_id=ids.RequestId(name),
        model="lekhak",
        prompt=text,
        max_tokens=max_tokens,
        weight_version=VERSION,
        block_keys=block_keys(text),
    )


def expected(asked: engine_messages.EngineRequest) -> str:
    """Return the expected answer to a request."""
    return answers.expected_answer(
        asked.prompt,
        asked.cache_salt,
        asked.weight_version,
        asked.adapter,
        asked.max_tokens,
    )


@dataclasses.dataclass
class Answer:
    """A streamed answer, collected as it arrives."""

    tokens: list[engine_messages.EngineToken] = dataclasses.field(default_factory=list)
    usage: engine_messages.EngineUsage | None = None

    @property
    def text(self) -> str:
        return "".join(token.text for token in self.tokens)

    @property
    def cached_tokens(self) -> int:
        assert self.usage is not None
        return self.usage.cached_tokens


async def ask(
    client: engine_client.EngineClient, asked: engine_messages.EngineRequest
) -> Answer:
    """Run a request and collect its answer."""
    answer = Answer()
    answer.usage = await client.complete(asked, answer.tokens.append)
    return answer
