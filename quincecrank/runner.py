"""Runs the streams that entries open at this agent.

Each stream has one task: wait for a slot, run on the backend server, end the
stream.  A stream that cannot be run is refused as not run; the entry then chooses
another agent.  When a link ends, its streams are cancelled, except plain calls
that may have taken effect: those are completed and their outcome is recorded.

Terms
-----
suspect
    A request that was in flight at an earlier crash of a backend server.  Only one
    suspect runs at a time.
"""

import asyncio
import contextlib
import dataclasses
from typing import Final

from quincecrank import backend as backends
from quincecrank import clock as clocks
from quincecrank import (
    logs,
    peer_link,
    problems,
    rpc,
    run_queue,
    stream_messages,
    stream_writer,
)

RETRY_AFTER_BUSY_MS: Final = 500
RETRY_AFTER_LEAVING_MS: Final = 100

_LOG: Final = logs.logger("runner")


@dataclasses.dataclass
class _Run:
    """An open stream; `running` once it has a slot of the queue."""

    order: stream_messages.StreamOrder
    link: peer_link.PeerLink
    opened_ms: int
    task: "asyncio.Task[None] | None" = None
    running: bool = False


class StreamRunner:
    """Aggregate of the open streams of one agent."""

    def __init__(
        self, backend: backends.Backend, queue: run_queue.RunQueue, clock: clocks.Clock
    ) -> None:
        self._backend = backend
        self._queue = queue
        self._clock = clock
        self._runs_by_key: dict[tuple[int, int], _Run] = {}
        self._batcher_by_link: dict[int, stream_writer.FrameBatcher] = {}
        self._suspect_lock = asyncio.Lock()
        self.leaving_reason = ""
        """Reason why new streams are refused; empty while they are accepted."""

    @property
    def accepting(self) -> bool:
        """Whether new streams are accepted."""
        return not self.leaving_reason

    def open(
        self, link: peer_link.PeerLink, order: stream_messages.StreamOrder
    ) -> None:
        """Start the task of one stream, or refuse the stream when leaving."""
        batcher = self._batcher_by_link.setdefault(
            id(link), stream_writer.FrameBatcher(link)
        )
        writer = stream_writer.StreamWriter(batcher, order.stream)
        if self.leaving_reason:
            writer.refuse(
                problems.Problem(
                    problems.ProblemKind.LEAVING,
                    f"the backend server is leaving: {self.leaving_reason}",
                    retry_after_ms=RETRY_AFTER_LEAVING_MS,
                )
            )
            return
        run = _Run(order, link, self._clock.now_ms())
        run_key = (id(link), order.stream)
        self._runs_by_key[run_key] = run
        run.task = asyncio.ensure_future(self._run(run, writer))
        run.task.add_done_callback(lambda _: self._runs_by_key.pop(run_key, None))

    def cancel(self, link: peer_link.PeerLink, stream: int) -> None:
        """Cancel a stream that the entry has abandoned.

        A plain call that already runs is completed.
        """
        run = self._runs_by_key.get((id(link), stream))
        if run is not None:
            self._cancel_run(run)

    def cancel_streams_of(self, link: peer_link.PeerLink) -> None:
        """Cancel the streams of a link that has ended.

        Plain calls that already run are completed.
        """
        self._batcher_by_link.pop(id(link), None)
        for (link_id, _), run in tuple(self._runs_by_key.items()):
            if link_id == id(link):
                self._cancel_run(run)

    async def wait_until_drained(self) -> None:
        """Wait until all streams have ended."""
        while self._runs_by_key:
            tasks = [
                run.task for run in self._runs_by_key.values() if run.task is not None
            ]
            await asyncio.wait(tasks)
            # Lets the done callbacks remove the ended runs.
            await asyncio.sleep(0)

    def running_rows(self) -> tuple[rpc.RunningRow, ...]:
        """Return the open streams for the queries of operators."""
        now_ms = self._clock.now_ms()
        return tuple(
            rpc.RunningRow(
                request_id=run.order.request_id,
                attempt_id=run.order.attempt_id,
                account=run.order.account,
                deployment=run.order.deployment,
                state="running" if run.running else "waiting",
                age_ms=now_ms - run.opened_ms,
            )
            for run in self._runs_by_key.values()
        )

    def _cancel_run(self, run: _Run) -> None:
        may_have_effect = run.running and isinstance(
            run.order.work, stream_messages.PlainCall
        )
        if run.task is not None and not may_have_effect:
            run.task.cancel()

    async def _run(self, run: _Run, writer: stream_writer.StreamWriter) -> None:
        """Run a stream; a suspect waits until no other suspect runs."""
        exclusive = (
            self._suspect_lock if run.order.suspect else contextlib.nullcontext()
        )
        async with exclusive:
            await self._run_admitted(run, writer)

    async def _run_admitted(
        self, run: _Run, writer: stream_writer.StreamWriter
    ) -> None:
        order = run.order
        try:
            await self._queue.acquire(order.priority, order.remaining_ms)
        except run_queue.QueueFullError:
            writer.refuse(_busy("the queue of the backend server is full"))
            return
        except TimeoutError:
            writer.refuse(_deadline_passed())
            return
        try:
            run.running = True
            queue_ms = self._clock.now_ms() - run.opened_ms
            await self._run_until_deadline(order, writer, queue_ms)
        finally:
            self._queue.release()

    async def _run_until_deadline(
        self,
        order: stream_messages.StreamOrder,
        writer: stream_writer.StreamWriter,
        queue_ms: int,
    ) -> None:
        remaining_ms = order.remaining_ms - queue_ms
        if remaining_ms <= 0:
            writer.refuse(_deadline_passed())
            return
        try:
            async with asyncio.timeout(remaining_ms / clocks.MS_PER_SECOND):
                await self._backend.run(order, writer, queue_ms)
        except TimeoutError:
            detail = "the deadline passed while the request ran"
            kind = problems.ProblemKind.DEADLINE
            writer.refuse(problems.Problem(kind, detail, problems.Ran.UNKNOWN))
        except asyncio.CancelledError:
            raise
        except Exception:
            _LOG.exception("run failed", request_id=order.request_id)
            detail = "the agent failed while the request ran"
            kind = problems.ProblemKind.BACKEND_FAILED
            writer.refuse(problems.Problem(kind, detail, problems.Ran.UNKNOWN))


def _busy(detail: str) -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.OVERLOADED, detail, retry_after_ms=RETRY_AFTER_BUSY_MS
    )


def _deadline_passed() -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.DEADLINE,
        "the deadline passed while the request waited for the backend server",
        retry_after_ms=RETRY_AFTER_BUSY_MS,
    )
