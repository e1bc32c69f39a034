"""Runs completions on the model engine beside this agent."""

import asyncio
import contextlib
import dataclasses
from typing import Final

from quincecrank import (
    answer_writer,
    block_keys,
    block_mover,
    cache_monitor,
    cache_reservations,
    cached_prefix,
    engine_client,
    engine_messages,
    ids,
    logs,
    problems,
    run_watchdog,
    stream_messages,
    stream_writer,
    version_rollout,
)
from quincecrank import backend as backends
from quincecrank import clock as clocks

LOAD_INTERVAL_MS: Final = 250
"""Load polling interval while the engine runs requests or loads weights."""

IDLE_LOAD_INTERVAL_MS: Final = 1_000
LOAD_TIMEOUT_MS: Final = 1_000
MAX_RUNS_PER_ATTEMPT: Final = 2
"""Engine runs in one attempt.

A run is repeated only if its connection broke before its first token and the engine
has not crashed.
"""

RETRY_AFTER_BUSY_MS: Final = 500
RETRY_AFTER_CRASH_MS: Final = 1_000
RETRY_AFTER_VERSION_MS: Final = 500
BYTES_PER_TOKEN: Final = 4
"""Approximate length of a token, for estimates only."""

ENGINE_FORMAT: Final = "standard-1"
"""Layout of the engines' block payloads, part of every block key."""

_DEFAULT_PREFILL_TOKENS_PER_SECOND: Final = 10_000.0
_PREFILL_SMOOTHING: Final = 0.2
_MIN_PREFILL_SAMPLE_TOKENS: Final = 1_024


_LOG: Final = logs.logger("model-backend")


class ModelBackend:
    """Implementation of `backend.Backend` for a model engine."""

    def __init__(
        self,
        engine: engine_client.EngineClient,
        mover: block_mover.BlockMover,
        cache: cache_monitor.CacheMonitor,
        rollout: version_rollout.VersionRollout,
        clock: clocks.Clock,
    ) -> None:
        self._engine = engine
        self._mover = mover
        self._cache = cache
        self._clock = clock
        self._cache_reservations = cache_reservations.CacheReservations()
        self._load = backends.BackendLoad(healthy=False)
        self._prefill_tokens_per_second = _DEFAULT_PREFILL_TOKENS_PER_SECOND
        self._write_back_tasks: set[asyncio.Task[None]] = set()
        self._rollout = rollout
        self._active_runs = 0
        self._incarnation = ids.Incarnation("")
        self._wake_event = asyncio.Event()
        self._last_response_ms = clock.now_ms()
        self._watchdog = run_watchdog.RunWatchdog(lambda: self._last_response_ms, clock)
        self._rollout_task: asyncio.Task[None] | None = None

    def load(self) -> backends.BackendLoad:
        """Return the last observed state."""
        return self._load

    def set_target(
        self, version: ids.WeightVersion, adapters: tuple[ids.AdapterName, ...]
    ) -> None:
        """Set the weight version and the adapters that the engine should load."""
        if version != self._rollout.target_version:
            self._wake_event.set()
        self._rollout.target_version = version
        self._rollout.adapters = adapters

    async def watch(self) -> None:
        """Follow the engine's load and cache events until cancelled."""
        events = asyncio.ensure_future(self._cache.watch())
        try:
            while True:
                await self._refresh_load()
                await self._wait_for_next_query()
        finally:
            events.cancel()
            if self._rollout_task is not None:
                self._rollout_task.cancel()

    async def _wait_for_next_query(self) -> None:
        """Wait until the next load query is due.

        The longer wait of an idle engine ends early when a request starts or the target
        weight version changes.
        """
        load = self._load
        is_settled = (
            load.healthy and load.weight_version == self._rollout.target_version
        )
        is_idle = is_settled and not self._active_runs and not load.running
        self._wake_event.clear()
        if not is_idle:
            await self._clock.sleep(LOAD_INTERVAL_MS)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_LOAD_INTERVAL_MS / clocks.MS_PER_SECOND):
                await self._wake_event.wait()

    async def run(
        self,
        order: stream_messages.StreamOrder,
        writer: stream_writer.StreamWriter,
        queue_ms: int,
    ) -> None:
        """Restore blocks, run the prompt, stream its answer, then write back blocks."""
        work = order.work
        if not isinstance(work, stream_messages.Completion):
            detail = "a model engine takes no plain calls"
            writer.refuse(problems.Problem(problems.ProblemKind.BAD_REQUEST, detail))
            return
        self._active_runs += 1
        self._wake_event.set()
        try:
            async with self._cache_reservations.reserve(work.block_keys):
                await self._run(order, work, writer, queue_ms)
        finally:
            self._active_runs -= 1

    async def _run(
        self,
        order: stream_messages.StreamOrder,
        work: stream_messages.Completion,
        writer: stream_writer.StreamWriter,
        queue_ms: int,
    ) -> None:
        await cached_prefix.touch_cached_prefix(self._engine, order, work)
        restored = await self._mover.restore(
            work.blocks_to_restore, work.weight_version
        )
        await self._mover.wait_for_restores(work.block_keys)
        answer = answer_writer.AnswerWriter(order, work, writer, self._clock)
        try:
            usage = await self._complete_or_repeat(order, work, answer)
        except engine_messages.EngineError as error:
            writer.refuse(self._problem_of(error))
            return
        except run_watchdog.StalledError as error:
            writer.refuse(_stalled(error))
            return
        self._update_prefill_speed(usage, answer)
        answer.finish(usage, restored, queue_ms)
        self._start_write_back(work)

    async def _complete_or_repeat(
        self,
        order: stream_messages.StreamOrder,
        work: stream_messages.Completion,
        answer: answer_writer.AnswerWriter,
    ) -> engine_messages.EngineUsage:
        """Run a prompt; repeat it once if its connection broke before the first token.

        A pooled connection may have been reset long before.  The engine counts as
        crashed only if it does not answer or has another incarnation; otherwise the
        prompt would be blamed for a network failure.

        Raises
        ------
        EngineError
            If the engine crashed or rejected the request.
        StalledError
            If the connection broke again or after a token, or the run stalled.
        """
        for run_number in range(MAX_RUNS_PER_ATTEMPT):
            try:
                return await self._complete(order, work, answer, run_number)
            except engine_messages.EngineFailedError as error:
                if not await self._engine_survived():
                    raise
                _LOG.warning("connection to the engine broken", reason=str(error))
                if answer.tokens:
                    break
        raise run_watchdog.StalledError("the connection to the engine was lost")

    async def _engine_survived(self) -> bool:
        """Return whether the engine answers and has not been restarted."""
        expected = self._incarnation
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_MS / clocks.MS_PER_SECOND):
                load = await self._engine.load()
        except (engine_messages.EngineError, TimeoutError):
            return False
        return load.incarnation == expected

    async def _complete(
        self,
        order: stream_messages.StreamOrder,
        work: stream_messages.Completion,
        answer: answer_writer.AnswerWriter,
        run_number: int,
    ) -> engine_messages.EngineUsage:
        request = engine_messages.EngineRequest(
            request_id=ids.RequestId(f"{order.attempt_id}.{run_number}"),
            model=work.model,
            prompt=work.prompt.decode(),
            max_tokens=work.max_tokens,
            priority=order.priority,
            cache_salt=work.cache_salt,
            weight_version=work.weight_version,
            adapter=work.adapter,
            block_keys=block_keys.engine_names(work.block_keys),
            resume_after=work.resume_after,
            sampling=work.sampling,
        )
        waiting_tokens = self._load.queued_tokens + len(work.prompt) / BYTES_PER_TOKEN
        estimate_ms = (
            waiting_tokens * clocks.MS_PER_SECOND / self._prefill_tokens_per_second
        )
        return await self._watchdog.guard(
            self._engine.complete(request, answer.record_token),
            lambda: answer.last_token_ms,
            estimate_ms,
        )

    def _problem_of(self, error: engine_messages.EngineError) -> problems.Problem:
        match error:
            case engine_messages.EngineBusyError():
                kind = problems.ProblemKind.OVERLOADED
                return problems.Problem(
                    kind, str(error), retry_after_ms=RETRY_AFTER_BUSY_MS
                )
            case engine_messages.WrongVersionError():
                kind = problems.ProblemKind.UNAVAILABLE
                return problems.Problem(
                    kind, str(error), retry_after_ms=RETRY_AFTER_VERSION_MS
                )
            case engine_messages.EngineRejectedError():
                kind = problems.ProblemKind.BAD_REQUEST
                return problems.Problem(kind, str(error))
        self._load = dataclasses.replace(self._load, healthy=False)
        sent = not isinstance(error, engine_messages.EngineFailedError) or error.sent
        return problems.Problem(
            problems.ProblemKind.BACKEND_CRASHED,
            str(error),
            problems.Ran.UNKNOWN if sent else problems.Ran.NOT_RUN,
            RETRY_AFTER_CRASH_MS,
        )

    def _update_prefill_speed(
        self,
        usage: engine_messages.EngineUsage,
        answer: answer_writer.AnswerWriter,
    ) -> None:
        computed = usage.prompt_tokens - usage.cached_tokens
        prefill_ms = answer.first_token_ms - answer.started_ms
        ran_alone = self._load.running <= 1 and self._load.waiting == 0
        if computed < _MIN_PREFILL_SAMPLE_TOKENS or prefill_ms <= 0 or not ran_alone:
            return
        observed = computed * clocks.MS_PER_SECOND / prefill_ms
        change = observed - self._prefill_tokens_per_second
        self._prefill_tokens_per_second += _PREFILL_SMOOTHING * change

    def _start_write_back(self, work: stream_messages.Completion) -> None:
        if not work.blocks_to_write:
            return
        pending = self._mover.write_back(work.blocks_to_write, work.weight_version)
        task = asyncio.ensure_future(pending)
        self._write_back_tasks.add(task)
        task.add_done_callback(self._write_back_tasks.discard)

    async def _refresh_load(self) -> None:
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_MS / clocks.MS_PER_SECOND):
                load = await self._engine.load()
        except (engine_messages.EngineError, TimeoutError) as error:
            if self._load.healthy:
                _LOG.warning("engine is not healthy", reason=str(error))
            self._load = dataclasses.replace(self._load, healthy=False)
            return
        self._incarnation = load.incarnation
        self._cache_reservations.capacity = load.cache_capacity_blocks
        self._last_response_ms = self._clock.now_ms()
        self._load = backends.BackendLoad(
            healthy=True,
            cache_blocks=load.cache_capacity_blocks,
            running=load.running,
            waiting=load.waiting,
            queued_tokens=load.queued_tokens,
            weight_version=load.weight_version,
            adapters=load.adapters,
            prefill_tokens_per_second=self._prefill_tokens_per_second,
        )
        if self._rollout_task is None or self._rollout_task.done():
            self._rollout_task = asyncio.ensure_future(self._rollout.reconcile(load))


def _stalled(error: run_watchdog.StalledError) -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.BACKEND_FAILED,
        str(error),
        problems.Ran.UNKNOWN,
        RETRY_AFTER_CRASH_MS,
    )
