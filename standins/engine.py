"""Stand-in of a model engine: continuous batching and a cache of prompt prefixes.

Its calls, flags and faults are described in docs/PLATFORM.md.  The text that it
generates is defined by module ``answers``.
"""

from typing import Final

import fire
import pydantic
from tornado import web

from standins import (
    answers,
    engine_completions,
    engine_orders,
    engine_runtime,
    engine_scheduler,
    serving,
)

VERSION_HEADER: Final = "x-weight-version"


class CancelHandler(engine_completions.EngineHandler):
    """`DELETE /requests/ID`: cancels a request."""

    def delete(self, request_id: str) -> None:
        """End the request's answer with finish reason `abort`."""
        sequence = self.engine.scheduler.find(request_id)
        if sequence is None:
            self.refuse(404, "no such request")
            return
        self.engine.scheduler.remove(sequence)
        sequence.abort()
        self.set_status(204)


class BlockHandler(engine_completions.EngineHandler):
    """`/kv/blocks/KEY`: exports and imports one cached block."""

    def get(self, key: str) -> None:
        """Answer with the block's payload, or 409 if other weights are expected."""
        block = self.engine.cache.find(key)
        if block is None:
            self.refuse(404, "no such block")
            return
        if self._refuse_other_version():
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header(VERSION_HEADER, self.engine.scheduler.weight_version)
        size = self.engine.options.payload_bytes
        self.finish(answers.payload_from_state(block.state, size))

    def put(self, key: str) -> None:
        """Cache the body as the block's payload, without checking its content."""
        if self._refuse_other_version():
            return
        state = answers.state_from_payload(self.request.body)
        if self.engine.cache.store(key, state) is None:
            self.refuse(507, "every cached block is in use")
            return
        self.set_status(204)

    def _refuse_other_version(self) -> bool:
        """Answer 409 and return True if the caller expects other weights."""
        loaded = self.engine.scheduler.weight_version
        if self.request.headers.get(VERSION_HEADER, loaded) == loaded:
            return False
        self.refuse(409, f"the loaded weight version is {loaded}")
        return True


class KeysHandler(engine_completions.EngineHandler):
    """`GET /kv/keys`: lists the cached blocks."""

    def get(self) -> None:
        """Answer with all keys and the sequence number of the last cache event."""
        self.answer(
            200,
            {
                "incarnation": self.engine.incarnation,
                "sequence": self.engine.events.sequence,
                "keys": list(self.engine.cache.keys()),
            },
        )


class EventsHandler(engine_completions.EngineHandler):
    """`GET /kv/events`: publishes cache events by long polling."""

    async def get(self) -> None:
        """Answer with the events after a number; wait for the first one."""
        after = int(self.get_query_argument("after", "0"))
        wait_ms = int(self.get_query_argument("wait_ms", "0"))
        events = await self.engine.events.read(after, wait_ms)
        listed = [
            {"sequence": event.sequence, "kind": event.kind.value, "key": event.key}
            for event in events
        ]
        self.answer(200, {"incarnation": self.engine.incarnation, "events": listed})


class LoadHandler(engine_completions.EngineHandler):
    """`GET /load`: reports the load."""

    def get(self) -> None:
        """Answer with the load as of `load_lag_ms` milliseconds ago."""
        self.answer(200, self.engine.load.report().model_dump())


class OrdersHandler(engine_completions.EngineHandler):
    """`POST /orders`: executes orders."""

    async def post(self) -> None:
        """Execute one order and answer when it is complete."""
        try:
            order = engine_orders.Order.model_validate_json(self.request.body)
            await self.engine.orders.execute(order)
        except pydantic.ValidationError as error:
            self.refuse(400, str(error))
        except engine_orders.StaleOrderError as error:
            self.refuse(409, str(error))
        except engine_orders.WeightLoadError as error:
            self.refuse(503, str(error))
        else:
            self.answer(200, {})


class HealthHandler(engine_completions.EngineHandler):
    """`GET /health`: shows that the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.answer(200, {})


def make_application(engine: engine_runtime.Engine) -> web.Application:
    """Return the HTTP application of an engine."""
    arguments = {"engine": engine}
    return web.Application(
        [
            (r"/v1/completions", engine_completions.CompletionsHandler, arguments),
            (r"/requests/([^/]+)", CancelHandler, arguments),
            (r"/kv/blocks/([^/]+)", BlockHandler, arguments),
            (r"/kv/keys", KeysHandler, arguments),
            (r"/kv/events", EventsHandler, arguments),
            (r"/load", LoadHandler, arguments),
            (r"/orders", OrdersHandler, arguments),
            (r"/health", HealthHandler, arguments),
            serving.faults_rule(engine.faults),
        ],
        log_function=lambda handler: None,
    )


def main(
    port: int = 0,
    prefill_tokens_per_second: float = 20_000,
    decode_ms: float = 35,
    max_batch: int = 16,
    max_waiting: int = 64,
    cache_blocks: int = 64,
    payload_bytes: int = 65_536,
    event_delay_ms: int = 50,
    event_loss: float = 0.0,
    load_lag_ms: int = 0,
    weight_store: str = "",
    weight_version: str = "v1",
    adapters: str = "",
    checks_fencing: bool = False,
    seed: int = 0,
) -> None:
    """Run one engine; `adapters` is a list separated by spaces."""
    speeds = engine_scheduler.Speeds(
        prefill_tokens_per_second, decode_ms, max_batch, max_waiting
    )
    options = engine_runtime.EngineOptions(
        weight_version=str(weight_version),
        adapters=tuple(str(adapters).split()),
        cache_blocks=cache_blocks,
        payload_bytes=payload_bytes,
        event_delay_ms=event_delay_ms,
        event_loss=event_loss,
        load_lag_ms=load_lag_ms,
        weight_store=weight_store,
        checks_fencing=checks_fencing,
        seed=seed,
    )
    engine = engine_runtime.Engine(options, speeds)
    serving.run(make_application(engine), port)


if __name__ == "__main__":
    fire.Fire(main)
