"""Runs the streams that entries open at this agent.

Each stream has one task: wait for a slot, run on the backend server, end the
stream.  A stream that cannot be run is refused at once as not run; the entry then
chooses another agent.  When a link ends, its streams are cancelled, except calls
that may have taken effect: those are finished and their outcome is recorded.
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
    order: stream_messages.StreamOrder
    link: peer_link.PeerLink
    started_ms: int
    task: "asyncio.Task[None] | None" = None
    running: bool = False


class Runner:
    """All streams of one agent."""

    def __init__(
        self, backend: backends.Backend, queue: run_queue.RunQueue, clock: clocks.Clock
    ) -> None:
        self._backend = backend
        self._queue = queue
        self._clock = clock
        self._runs: dict[tuple[int, int], _Run] = {}
        self._batcher_by_link: dict[int, stream_writer.FrameBatcher] = {}
        self._suspect = asyncio.Lock()
        self.leaving = ""
        """Why no new work is taken; empty while it is."""

    @property
    def accepting(self) -> bool:
        """Tell whether new work is taken."""
        return not self.leaving

    def open(
        self, link: peer_link.PeerLink, order: stream_messages.StreamOrder
    ) -> None:
        """Start the task of one stream, or refuse it."""
        batcher = self._batcher_by_link.setdefault(
            id(link), stream_writer.FrameBatcher(link)
        )
        writer = stream_writer.StreamWriter(batcher, order.stream)
        if self.leaving:
            writer.refuse(
                problems.Problem(
                    problems.ProblemKind.LEAVING,
                    f"the backend server is leaving: {self.leaving}",
                    retry_after_ms=RETRY_AFTER_LEAVING_MS,
                )
            )
            return
        run = _Run(order, link, self._clock.now_ms())
        place = (id(link), order.stream)
        self._runs[place] = run
        run.task = asyncio.ensure_future(self._run(run, writer))
        run.task.add_done_callback(lambda _: self._runs.pop(place, None))

    def cancel(self, link: peer_link.PeerLink, stream: int) -> None:
        """Cancel a stream that the entry has given up."""
        run = self._runs.get((id(link), stream))
        if run is not None:
            self._cancel_run(run)

    def link_ended(self, link: peer_link.PeerLink) -> None:
        """Cancel the streams of a link that has ended."""
        self._batcher_by_link.pop(id(link), None)
        for (number, _), run in tuple(self._runs.items()):
            if number == id(link):
                self._cancel_run(run)

    async def drained(self) -> None:
        """Wait until no stream is left."""
        while self._runs:
            tasks = [run.task for run in self._runs.values() if run.task is not None]
            await asyncio.wait(tasks)
            await asyncio.sleep(0)

    def rows(self) -> tuple[rpc.RunningRow, ...]:
        """Return the streams for the operators' queries."""
        now_ms = self._clock.now_ms()
        return tuple(
            rpc.RunningRow(
                request_id=run.order.request_id,
                attempt_id=run.order.attempt_id,
                account=run.order.account,
                deployment=run.order.deployment,
                state="running" if run.running else "waiting",
                age_ms=now_ms - run.started_ms,
            )
            for run in self._runs.values()
        )

    def _cancel_run(self, run: _Run) -> None:
        may_have_effect = run.running and isinstance(
            run.order.work, stream_messages.PlainCall
        )
        if run.task is not None and not may_have_effect:
            run.task.cancel()

    async def _run(self, run: _Run, writer: stream_writer.StreamWriter) -> None:
        """Run a stream; a suspect waits until no other suspect runs here."""
        alone = self._suspect if run.order.suspect else contextlib.nullcontext()
        async with alone:
            await self._run_admitted(run, writer)

    async def _run_admitted(
        self, run: _Run, writer: stream_writer.StreamWriter
    ) -> None:
        order = run.order
        try:
            await self._queue.acquire(order.priority, order.deadline_ms)
        except run_queue.QueueFullError:
            writer.refuse(_busy("the queue of the backend server is full"))
            return
        except TimeoutError:
            writer.refuse(_too_late())
            return
        try:
            run.running = True
            queue_ms = self._clock.now_ms() - run.started_ms
            await self._run_in_time(order, writer, queue_ms)
        finally:
            self._queue.release()

    async def _run_in_time(
        self,
        order: stream_messages.StreamOrder,
        writer: stream_writer.StreamWriter,
        queue_ms: int,
    ) -> None:
        left_ms = order.deadline_ms - queue_ms
        if left_ms <= 0:
            writer.refuse(_too_late())
            return
        try:
            async with asyncio.timeout(left_ms / clocks.MS_PER_SECOND):
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


def _too_late() -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.DEADLINE,
        "the deadline passed while the request waited for the backend server",
        retry_after_ms=RETRY_AFTER_BUSY_MS,
    )
