"""Detects stalled runs of an engine.

A run is aborted when the engine has answered nothing for `ENGINE_SILENCE_MS`, or when
the next token on the run's own connection is overdue, for instance because a device
on the network path has dropped the state of the connection.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from quincecrank import clock as clocks

CHECK_INTERVAL_MS: Final = 250
ENGINE_SILENCE_MS: Final = 3_000
"""Time without any response of the engine after which its runs are aborted."""

TOKEN_SILENCE_MS: Final = 3_000
"""Time between two tokens of a run after which the run is aborted."""

FIRST_TOKEN_MIN_MS: Final = 5_000
FIRST_TOKEN_FACTOR: Final = 4.0
"""Multiple of the estimated time to first token after which a run is aborted.

The limit is at least `FIRST_TOKEN_MIN_MS`.
"""

Result = TypeVar("Result")


class StalledError(Exception):
    """A run was aborted because its engine or its connection does not respond."""


class RunWatchdog:
    """Watches the runs of one engine.

    Parameters
    ----------
    engine_seen_ms : callable
        Returns the time of the engine's last response, in milliseconds on the
        monotonic clock.
    """

    def __init__(self, engine_seen_ms: Callable[[], int], clock: clocks.Clock) -> None:
        self._engine_seen_ms = engine_seen_ms
        self._clock = clock

    async def guard(
        self,
        work: Coroutine[Any, Any, Result],
        token_ms: Callable[[], int],
        first_token_estimate_ms: float,
    ) -> Result:
        """Return the result of `work`, or cancel it when it stalls.

        Parameters
        ----------
        token_ms : callable
            Returns the time of the last token, 0 before the first one.
        first_token_estimate_ms : float
            Estimated time to first token.

        Raises
        ------
        StalledError
            If the run was aborted.
        """
        started_ms = self._clock.now_ms()
        first_limit_ms = max(
            FIRST_TOKEN_MIN_MS, FIRST_TOKEN_FACTOR * first_token_estimate_ms
        )
        task = asyncio.ensure_future(work)
        interval_s = CHECK_INTERVAL_MS / clocks.MS_PER_SECOND
        was_late = False
        try:
            while True:
                waited_from_ms = self._clock.now_ms()
                done, _ = await asyncio.wait({task}, timeout=interval_s)
                if done:
                    return task.result()
                waited_ms = self._clock.now_ms() - waited_from_ms
                was_late = not was_late and waited_ms > 2 * CHECK_INTERVAL_MS
                if was_late:
                    # After a standstill of the process, timers run before sockets are
                    # read.
                    continue
                reason = self._stall_reason(started_ms, token_ms(), first_limit_ms)
                if reason:
                    raise StalledError(reason)
        finally:
            task.cancel()

    def _stall_reason(
        self, started_ms: int, token_ms: int, first_limit_ms: float
    ) -> str:
        now_ms = self._clock.now_ms()
        if now_ms - max(self._engine_seen_ms(), started_ms) > ENGINE_SILENCE_MS:
            return "the engine does not answer"
        if token_ms and now_ms - token_ms > TOKEN_SILENCE_MS:
            return "the engine sends no further token"
        if not token_ms and now_ms - started_ms > first_limit_ms:
            return "the engine sends no first token"
        return ""
