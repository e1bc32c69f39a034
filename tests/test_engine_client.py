"""Tests of the engine client against a server that breaks off its answers.

Guards against a request that is sent twice and against an error that misstates whether
the engine may have run the request.
"""

import asyncio
import dataclasses
import unittest

from quincecrank import engine_client, engine_messages, ids
from tests import builders_engine as builders

HEAD = "HTTP/1.1 {status}\r\nConnection: keep-alive\r\n"
EMPTY = "Content-Length: 0\r\n\r\n"
HEALTHY = HEAD.format(status="200 OK") + EMPTY
TOKEN = (
    'data: {"system_fingerprint":"v1",'
    '"choices":[{"index":0,"text":"kan ","finish_reason":null}]}\n\n'
)
STREAM = HEAD.format(status="200 OK") + "Content-Type: text/event-stream\r\n\r\n"


class BrokenServer:
    """Answers requests with `answers` in order.

    Closes the connection after the last answer, or instead of an empty one.
    """

    def __init__(self, *answers: str) -> None:
        self._answers = list(answers)
        self.requests = 0
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while self._answers:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            for line in head.splitlines():
                if line.startswith("content-length:"):
                    await reader.readexactly(int(line.split(":")[1]))
            self.requests += 1
            answer = self._answers.pop(0)
            writer.write(answer.encode())
            if not answer:
                break
        writer.close()


@dataclasses.dataclass(frozen=True)
class Failure:
    """An answer of the server and the error that the client must raise for it."""

    answer: str
    error: type[engine_messages.EngineError]
    started: bool = False
    tokens: int = 0


class BrokenAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def _ask(self, server: BrokenServer) -> tuple[BaseException, int]:
        client = builders.make_client(server.port)
        self.addCleanup(client.close)
        tokens: list[engine_messages.EngineToken] = []
        with self.assertRaises(engine_messages.EngineError) as caught:
            await client.complete(builders.request("prompt"), tokens.append)
        return caught.exception, len(tokens)

    async def test_each_failure_raises_its_error(self) -> None:
        failed = engine_messages.EngineFailedError
        cases = {
            "closed without answer": Failure("", failed),
            "cut mid-stream": Failure(STREAM + TOKEN * 2, failed, True, 2),
            "cut mid-line": Failure(STREAM + TOKEN + TOKEN[:40], failed, True, 1),
            "ended without usage": Failure(
                STREAM + TOKEN + "data: [DONE]\n\n", failed, True, 1
            ),
            "busy": Failure(
                HEAD.format(status="429 Busy") + "Retry-After: 2\r\n" + EMPTY,
                engine_messages.EngineBusyError,
            ),
            "version": Failure(
                HEAD.format(status="409 No") + EMPTY, engine_messages.WrongVersionError
            ),
            "status": Failure(
                HEAD.format(status="500 No") + EMPTY,
                engine_messages.EngineRejectedError,
            ),
        }
        for name, case in cases.items():
            with self.subTest(name):
                server = BrokenServer(case.answer)
                await server.start()
                self.addAsyncCleanup(server.stop)
                error, tokens = await self._ask(server)
                self.assertIs(type(error), case.error)
                self.assertEqual(tokens, case.tokens)
                if isinstance(error, failed):
                    self.assertEqual((error.started, error.sent), (case.started, True))

    async def test_refused_connection_was_not_sent(self) -> None:
        server = BrokenServer()
        await server.start()
        await server.stop()
        error, _ = await self._ask(server)
        assert isinstance(error, engine_messages.EngineFailedError)
        self.assertFalse(error.started or error.sent)

    async def test_request_is_not_sent_again_after_a_pooled_connection_broke(
        self,
    ) -> None:
        server = BrokenServer(HEALTHY, "", "never asked for")
        await server.start()
        self.addAsyncCleanup(server.stop)
        client = builders.make_client(server.port)
        self.addCleanup(client.close)
        await client.health()
        with self.assertRaises(engine_messages.EngineFailedError) as caught:
            await client.complete(builders.request("prompt"), lambda token: None)
        self.assertTrue(caught.exception.sent)
        self.assertEqual(server.requests, 2)

    async def test_exception_in_the_token_callback_cancels_the_run(self) -> None:
        running = builders.start_engine()
        self.addAsyncCleanup(running.stop)

        def fail(token: engine_messages.EngineToken) -> None:
            raise ValueError(token.text)

        with self.assertRaises(ValueError):
            await running.client.complete(builders.request("prompt", "r", 10_000), fail)
        while (await running.client.load()).running:
            await asyncio.sleep(0.001)

    async def test_export_of_a_missing_block_raises_its_error(self) -> None:
        running = builders.start_engine()
        self.addAsyncCleanup(running.stop)
        with self.assertRaises(engine_messages.BlockMissingError):
            await running.client.export_block(ids.BlockKey("none"))

    async def test_open_answers_do_not_block_other_calls(self) -> None:
        running = builders.start_engine()
        self.addAsyncCleanup(running.stop)
        client = engine_client.HttpEngineClient(running.server.url, max_streams=1)
        self.addCleanup(client.close)
        tokens: list[engine_messages.EngineToken] = []
        request = builders.request("prompt", "r", 10_000)
        run = asyncio.create_task(client.complete(request, tokens.append))
        while not tokens:
            await asyncio.sleep(0.001)
        self.assertEqual((await client.load()).running, 1)
        self.assertFalse(run.done())
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
