"""Tasks that wait for admission; module ``admission`` holds the rules."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

from quincecrank import admission, ids, logs, problems, request_context, router
from quincecrank import clock as clocks

QUEUE_CHECK_INTERVAL_MS: Final = 20
"""Interval at which the entry calls `AdmissionGate.process_queues`."""

_LOG: Final = logs.logger("admission")

_DETAIL_BY_KIND: Final = {
    admission.RefusalKind.ACCOUNT_LIMIT: "the client account has too many requests",
    admission.RefusalKind.QUEUE_FULL: "too many requests wait for the deployment",
    admission.RefusalKind.DEADLINE: "the deadline cannot be met",
}


class AdmissionGate:
    """The admission queue of each deployment, and the tasks that wait in them."""

    def __init__(self, request_router: router.Router, clock: clocks.Clock) -> None:
        self._router = request_router
        self._clock = clock
        self._queues_by_deployment: dict[
            ids.DeploymentName, admission.AdmissionQueue
        ] = {}
        self._futures_by_request: dict[ids.RequestId, asyncio.Future[None]] = {}
        self._has_waiting = asyncio.Event()

    @contextlib.asynccontextmanager
    async def admitted(
        self,
        context: request_context.RequestContext,
        adapter: ids.AdapterName,
        prompt_tokens: int,
    ) -> AsyncIterator[admission.AdmissionQueue]:
        """Wait until the request may run; its slot is freed at the end of the block.

        Yields the queue, in which the caller records the plan and the first token.

        Raises
        ------
        ProblemError
            If the deployment has no candidate, the account or the queue has reached
            its limit, or the request cannot be admitted in time.
        """
        queue = self._queue(context)
        self._set_capacity(queue, context, adapter)
        request = admission.AdmissionRequest(
            request_id=context.request_id,
            account=context.account.name,
            share=context.account.share,
            max_concurrent=context.account.max_concurrent,
            prompt_tokens=prompt_tokens,
            deadline_at_ms=context.deadline_at_ms,
            priority=context.priority,
        )
        offered = queue.offer(request, self._clock.now_ms())
        if offered.is_error():
            raise problems.ProblemError(_problem(offered.error))
        await self._wait_for_start(queue, request)
        try:
            yield queue
        finally:
            queue.record_end(context.request_id, self._clock.now_ms())
            self._start_ready(queue)

    async def process_queues(self) -> None:
        """Reject requests that can no longer be on time and start those that may.

        Waits until some request is queued, so that an idle process is not woken up.
        """
        await self._has_waiting.wait()
        for queue in self._queues_by_deployment.values():
            for request, refusal in queue.remove_expired(self._clock.now_ms()):
                future = self._futures_by_request.pop(request.request_id, None)
                if future is not None and not future.done():
                    error = problems.ProblemError(_problem(refusal))
                    future.set_exception(error)
            self._start_ready(queue)

    def _queue(
        self, context: request_context.RequestContext
    ) -> admission.AdmissionQueue:
        name = context.deployment.name
        queue = self._queues_by_deployment.get(name)
        if queue is None:
            queue = admission.AdmissionQueue(context.deployment.lateness)
            self._queues_by_deployment[name] = queue
        return queue

    def _set_capacity(
        self,
        queue: admission.AdmissionQueue,
        context: request_context.RequestContext,
        adapter: ids.AdapterName,
    ) -> None:
        """Set the queue's capacity to that of the candidates for this request.

        It replaces the capacity that an earlier request, perhaps for another adapter,
        has set.

        Raises
        ------
        ProblemError
            Without any candidate.
        """
        agents = self._router.candidates(context, adapter)
        if not agents:
            raise problems.ProblemError(no_backend_server_problem())
        queue.set_capacity(
            admission.Capacity(
                slots=sum(agent.max_concurrent for agent in agents),
                prefill_tokens_per_second=sum(
                    agent.prefill_tokens_per_second for agent in agents
                ),
            )
        )

    async def _wait_for_start(
        self, queue: admission.AdmissionQueue, request: admission.AdmissionRequest
    ) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._futures_by_request[request.request_id] = future
        self._start_ready(queue)
        if not future.done():
            self._has_waiting.set()
        try:
            await future
        except asyncio.CancelledError:
            if not queue.abandon(request):
                queue.record_end(request.request_id, self._clock.now_ms())
                self._start_ready(queue)
            raise
        finally:
            self._futures_by_request.pop(request.request_id, None)
            if not self._futures_by_request:
                self._has_waiting.clear()

    def _start_ready(self, queue: admission.AdmissionQueue) -> None:
        while True:
            request = queue.start_next(self._clock.now_ms())
            if request is None:
                return
            future = self._futures_by_request.get(request.request_id)
            if future is None or future.done():
                queue.record_end(request.request_id, self._clock.now_ms())
            else:
                future.set_result(None)


def no_backend_server_problem() -> problems.Problem:
    """Return the problem of a deployment without a usable backend server."""
    return problems.Problem(
        problems.ProblemKind.UNAVAILABLE,
        "no backend server of the deployment can take the request",
        retry_after_ms=1_000,
    )


def _problem(refusal: admission.AdmissionRefusal) -> problems.Problem:
    _LOG.info(
        "request refused",
        decision="admission",
        reason=refusal.kind.value,
        estimated_wait_ms=round(refusal.estimated_wait_ms),
    )
    return problems.Problem(
        problems.ProblemKind.OVERLOADED,
        _DETAIL_BY_KIND[refusal.kind],
        retry_after_ms=refusal.retry_after_ms,
    )
