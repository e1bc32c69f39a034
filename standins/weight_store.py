"""Stand-in of the rate-limited weight store.

`GET /weights/VERSION` answers after about half a second while at most two transfers are
running; with more, the store's rate is shared between them, so each takes longer.

Faults
------
slow_factor : float
    Transfers take this many times as long.
down : bool
    Requests are answered by 503.
"""

from typing import Final

import fire
import pydantic
from tornado import web

from quincecrank import clock as clocks
from standins import serving

LOAD_MS: Final = 500
FULL_RATE_TRANSFERS: Final = 2
STEP_MS: Final = 20
WEIGHTS_BYTES: Final = 1024


class WeightFaults(serving.Faults):
    """Fault switches of the weight store."""

    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    down: bool = False


class WeightStore:
    """Shares its rate among the running transfers."""

    def __init__(self, load_ms: int, clock: clocks.Clock) -> None:
        self.faults = WeightFaults()
        self._load_ms = load_ms
        self._clock = clock
        self._running_transfers = 0

    async def transfer(self) -> None:
        """Wait for the duration of a transfer of one version's weights."""
        self._running_transfers += 1
        try:
            left_ms = float(self._load_ms)
            while left_ms > 0:
                await self._clock.sleep(STEP_MS)
                slowdown = max(1.0, self._running_transfers / FULL_RATE_TRANSFERS)
                left_ms -= STEP_MS / slowdown / self.faults.slow_factor
        finally:
            self._running_transfers -= 1


class WeightsHandler(web.RequestHandler):
    """`GET /weights/VERSION`: the weights of one version."""

    def initialize(self, store: WeightStore) -> None:
        """Receive the store from the routing rule."""
        self._store = store

    async def get(self, version: str) -> None:
        """Answer when the transfer is complete."""
        if self._store.faults.down:
            self.set_status(503)
            return
        await self._store.transfer()
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("x-weight-version", version)
        self.finish(bytes(WEIGHTS_BYTES))


def make_application(store: WeightStore) -> web.Application:
    """Return the HTTP application of a weight store."""
    return web.Application(
        [
            serving.faults_rule(store.faults),
            (r"/weights/([^/]+)", WeightsHandler, {"store": store}),
        ]
    )


def main(port: int = 0, load_ms: int = LOAD_MS) -> None:
    """Serve a weight store; an unshared transfer takes `load_ms` milliseconds."""
    serving.run(make_application(WeightStore(load_ms, clocks.SystemClock())), port)


if __name__ == "__main__":
    fire.Fire(main)
