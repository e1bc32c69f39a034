"""Stand-in for a model engine: batches continuously and caches prompt prefixes.

Its calls, flags and faults are described in docs/PLATFORM.md.  Answers are those of
module ``answers``.
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
    """Cancels a request by id."""

    def delete(self, request_id: str) -> None:
        """End the answer with finish reason `abort`."""
        sequence = self.engine.scheduler.find(request_id)
        if sequence is None:
            self.refuse(404, "no such request")
            return
        self.engine.scheduler.remove(sequence)
        sequence.abort()
        self.set_status(204)


class BlockHandler(engine_completions.EngineHandler):
    """Exports and imports one block."""

    def get(self, key: str) -> None:
        """Answer with the block's payload."""
        block = self.engine.cache.find(key)
        if block is None:
            self.refuse(404, "no such block")
            return
        if self._other_version():
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header(VERSION_HEADER, self.engine.scheduler.weight_version)
        size = self.engine.options.payload_bytes
        self.finish(answers.payload_from_state(block.state, size))

    def put(self, key: str) -> None:
        """Take the body as the block's payload, whatever it is."""
        if self._other_version():
            return
        state = answers.state_from_payload(self.request.body)
        if self.engine.cache.store(key, state) is None:
            self.refuse(507, "every cached block is in use")
            return
        self.set_status(204)

    def _other_version(self) -> bool:
        loaded = self.engine.scheduler.weight_version
        if self.request.headers.get(VERSION_HEADER, loaded) == loaded:
            return False
        self.refuse(409, f"the loaded weight version is {loaded}")
        return True


class KeysHandler(engine_completions.EngineHandler):
    """Lists the cached blocks."""

    def get(self) -> None:
        """Answer with every key and the number of the last event."""
        self.answer(
            200,
            {
                "incarnation": self.engine.incarnation,
                "sequence": self.engine.events.sequence,
                "keys": list(self.engine.cache.keys()),
            },
        )


class EventsHandler(engine_completions.EngineHandler):
    """Publishes cache events to a long poll."""

    async def get(self) -> None:
        """Answer with the events after a number, at once if there are any."""
        after = int(self.get_query_argument("after", "0"))
        wait_ms = int(self.get_query_argument("wait_ms", "0"))
        events = await self.engine.events.read(after, wait_ms)
        listed = [
            {"sequence": event.sequence, "kind": event.kind.value, "key": event.key}
            for event in events
        ]
        self.answer(200, {"incarnation": self.engine.incarnation, "events": listed})


class LoadHandler(engine_completions.EngineHandler):
    """Reports the load."""

    def get(self) -> None:
        """Answer with the load as it was some time ago."""
        self.answer(200, self.engine.load.report().model_dump())


class OrdersHandler(engine_completions.EngineHandler):
    """Takes orders."""

    async def post(self) -> None:
        """Carry out one order and answer when it is done."""
        try:
            order = engine_orders.Order.model_validate_json(self.request.body)
            await self.engine.orders.carry_out(order)
        except pydantic.ValidationError as error:
            self.refuse(400, str(error))
        except engine_orders.StaleOrderError as error:
            self.refuse(409, str(error))
        except engine_orders.WeightLoadError as error:
            self.refuse(503, str(error))
        else:
            self.answer(200, {})


class HealthHandler(engine_completions.EngineHandler):
    """Tells that the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.answer(200, {})


def make_application(engine: engine_runtime.Engine) -> web.Application:
    """Return the HTTP application of an engine."""
    given = {"engine": engine}
    return web.Application(
        [
            (r"/v1/completions", engine_completions.CompletionsHandler, given),
            (r"/requests/([^/]+)", CancelHandler, given),
            (r"/kv/blocks/([^/]+)", BlockHandler, given),
            (r"/kv/keys", KeysHandler, given),
            (r"/kv/events", EventsHandler, given),
            (r"/load", LoadHandler, given),
            (r"/orders", OrdersHandler, given),
            (r"/health", HealthHandler, given),
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
    """Run one engine; `adapters` is a list with spaces in between."""
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
