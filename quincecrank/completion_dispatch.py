"""Serves one prompt: admission, directory, routing, attempts, until an answer.

Prompts have no effect outside, so a failed attempt may be followed by another one:
on another backend server, within the retry budget, and from the token after the last
one that the caller has.  A prompt that was in flight when a backend server crashed
is a suspect: it runs again only where no other suspect runs, and after two crashes
it is refused for good.
"""

import asyncio
import contextlib
import dataclasses
import functools
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from quincecrank import (
    admission,
    admission_gate,
    agent_links,
    block_keys,
    crash_counts,
    directory_lookup,
    dispatch_rules,
    ids,
    inference_request,
    logs,
    metrics,
    model_backend,
    problems,
    request_context,
    retry_budgets,
    router,
    rpc,
    stream_messages,
    tokenizers,
)
from quincecrank import attempt as attempts
from quincecrank import clock as clocks

WEIGHTS_WAIT_MS: Final = 5_000
"""Time that a request waits for the first replica with the weights in force."""

REACH_WAIT_MS: Final = 20
"""Time given to new links to agents that hold blocks of a prompt."""

CANDIDATE_WAIT_MS: Final = 50
"""Time between two looks for a backend server that may take a request."""

_LOG: Final = logs.logger("dispatch")


@dataclasses.dataclass
class _Progress:
    """One prompt on its way."""

    context: request_context.RequestContext
    request: inference_request.InferenceRequest
    sink: "_FirstTokenSink"
    prompt_tokens: int
    keys: tuple[ids.BlockKey, ...]
    known: rpc.LookupReply
    queue: admission.AdmissionQueue
    excluded: frozenset[ids.BackendServerName] = frozenset()
    attempt_count: int = 0


class _FirstTokenSink:
    """Passes bytes on and notes when the first ones came."""

    def __init__(self, sink: attempts.AnswerSink, clock: clocks.Clock) -> None:
        self._sink = sink
        self._clock = clock
        self.data_frames = 0
        self.first_ms = 0
        self.on_next: Callable[[], None] | None = None

    def head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Refuse what a model engine's answer does not have."""
        raise ValueError("an answer of a model engine has no head")

    def data(self, data: bytes) -> None:
        """Pass bytes on."""
        if not self.data_frames:
            self.first_ms = self._clock.now_ms()
        self.data_frames += 1
        self._sink.data(data)
        if self.on_next is not None:
            on_next, self.on_next = self.on_next, None
            on_next()


class CompletionDispatcher:
    """The pipeline of prompts at one entry."""

    def __init__(
        self,
        links: agent_links.AgentLinks,
        routes: router.Router,
        gate: admission_gate.AdmissionGate,
        lookup: directory_lookup.DirectoryLookup,
        budgets: retry_budgets.RetryBudgets,
        secret: bytes,
        reach: Callable[[Iterable[ids.BackendServerName]], bool],
        figures: metrics.EntryMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._links = links
        self._routes = routes
        self._gate = gate
        self._lookup = lookup
        self._budgets = budgets
        self._secret = secret
        self._reach = reach
        self._figures = figures
        self._clock = clock
        self._jitter = random.Random()

    async def serve(
        self,
        context: request_context.RequestContext,
        request: inference_request.InferenceRequest,
        sink: attempts.AnswerSink,
    ) -> stream_messages.StreamEnd:
        """Write the whole answer to `sink` and return its figures.

        Raises
        ------
        ProblemError
            If the request is given up.
        """
        started_ms = self._clock.now_ms()
        tokenizer = tokenizers.TOKENIZERS_BY_NAME[context.deployment.tokenizer]
        keys = self._block_keys(context, request, tokenizer)
        prompt_tokens = tokenizer.count(request.prompt)
        timed = _FirstTokenSink(sink, self._clock)
        try:
            timeout_s = context.left_ms(self._clock) / clocks.MS_PER_SECOND
            async with asyncio.timeout(timeout_s):
                known = await self._lookup.lookup(
                    context, keys, may_keep=self._routes.policy.uses_tiers
                )
                self._refuse_crasher(context)
                if self._reach(known.chain.held_by_server):
                    await self._clock.sleep(REACH_WAIT_MS)
                await self._wait_for_weights(context, request)
                async with self._gate.admitted(
                    context, request.adapter, prompt_tokens
                ) as queue:
                    progress = _Progress(
                        context, request, timed, prompt_tokens, keys, known, queue
                    )
                    end = await self._attempts(progress)
        except TimeoutError:
            problem = dispatch_rules.deadline_passed()
        except problems.ProblemError as error:
            problem = error.problem
        else:
            self._count(context, end, timed.first_ms - started_ms)
            return end
        raise problems.ProblemError(dispatch_rules.final_answer(problem, context.shown))

    def _block_keys(
        self,
        context: request_context.RequestContext,
        request: inference_request.InferenceRequest,
        tokenizer: tokenizers.Tokenizer,
    ) -> tuple[ids.BlockKey, ...]:
        return block_keys.chain(
            self._secret,
            context.account.name,
            context.deployment.name,
            context.deployment.weight_version,
            request.adapter,
            model_backend.ENGINE_FORMAT,
            tokenizer,
            request.prompt,
        )

    def _refuse_crasher(self, context: request_context.RequestContext) -> None:
        if self._lookup.crash_count(context) < crash_counts.CRASH_LIMIT:
            return
        raise problems.ProblemError(dispatch_rules.crasher())

    async def _wait_for_weights(
        self,
        context: request_context.RequestContext,
        request: inference_request.InferenceRequest,
    ) -> None:
        """Wait while replicas are there but still load the weights in force."""
        until_ms = self._clock.now_ms() + WEIGHTS_WAIT_MS
        while not self._routes.candidates(context, request.adapter):
            is_over = self._clock.now_ms() >= until_ms
            if is_over or not self._routes.is_awaited(context):
                return
            await self._clock.sleep(CANDIDATE_WAIT_MS)

    async def _attempts(self, progress: _Progress) -> stream_messages.StreamEnd:
        self._budgets.first_attempt(progress.context)
        while True:
            route = await self._route(progress)
            attempt, outcome = await self._attempt(progress, route)
            if outcome.end is not None:
                route.state.breaker.succeeded()
                await self._lookup.report_cleared(progress.context, progress.keys)
                return outcome.end
            await self._after_failure(progress, route, attempt, outcome)

    async def _route(self, progress: _Progress) -> router.Route:
        context = progress.context
        while True:
            route = self._routes.choose(
                context,
                progress.request.adapter,
                progress.prompt_tokens,
                progress.known.chain,
                progress.keys,
                progress.excluded,
                alone=self._lookup.crash_count(context) > 0,
            )
            if route is not None:
                return route
            if not self._routes.candidates(context, progress.request.adapter):
                if not self._routes.is_awaited(context):
                    raise problems.ProblemError(admission_gate.no_backend_server())
            progress.excluded = frozenset()
            await self._clock.sleep(CANDIDATE_WAIT_MS)

    async def _attempt(
        self, progress: _Progress, route: router.Route
    ) -> tuple[attempts.Attempt, attempts.Outcome]:
        context = progress.context
        order = self._order(progress, route)
        progress.attempt_count += 1
        server = route.state.peer.backend_server
        context.shown.running(server, order.attempt_id)
        before = progress.sink.data_frames
        with self._counted(progress, route, order):
            earlier = dispatch_rules.note_sent(context.shown)
            attempt = self._links.open(route.state, order, progress.sink)
            try:
                outcome = await attempt.outcome()
                dispatch_rules.note_outcome(context.shown, outcome, earlier)
            finally:
                self._links.close(route.state, attempt)
            if outcome.end is not None:
                sent_id = ids.RequestId(order.attempt_id)
                self._routes.restore_ended(sent_id, outcome.end.restore_ms)
        if outcome.end is not None and progress.sink.data_frames == before:
            outcome = attempts.Outcome(
                attempts.OutcomeKind.BROKEN, reason="the answer is empty"
            )
        return attempt, outcome

    @contextlib.contextmanager
    def _counted(
        self,
        progress: _Progress,
        route: router.Route,
        order: stream_messages.StreamOrder,
    ) -> Iterator[None]:
        """Count the attempt wherever decisions depend on it."""
        now_ms = self._clock.now_ms()
        sent_id = ids.RequestId(order.attempt_id)
        is_suspect = self._lookup.crash_count(progress.context) > 0
        route.state.breaker.sent(now_ms)
        route.state.estimates.sent(sent_id, route.plan, now_ms, progress.keys)
        route.state.suspects += is_suspect
        self._routes.restore_started(sent_id, route.plan)
        progress.sink.on_next = functools.partial(
            self._first_token, progress, route, sent_id
        )
        progress.queue.planned(progress.context.request_id, route.plan.recompute_tokens)
        try:
            yield
        finally:
            progress.sink.on_next = None
            route.state.suspects -= is_suspect
            self._routes.restore_ended(sent_id)
            route.state.estimates.ended(sent_id, self._clock.now_ms())

    def _first_token(
        self, progress: _Progress, route: router.Route, sent_id: ids.RequestId
    ) -> None:
        """Tell the estimates that the first token of an attempt has come."""
        route.state.estimates.first_token(sent_id, self._clock.now_ms())
        self._routes.first_token(route.plan.server, progress.keys)
        progress.queue.first_token(progress.context.request_id)
        progress.context.shown.state = "streaming"

    def _order(
        self, progress: _Progress, route: router.Route
    ) -> stream_messages.StreamOrder:
        context = progress.context
        request = progress.request
        deployment = context.deployment
        limit = min(request.max_tokens or deployment.max_tokens, deployment.max_tokens)
        work = stream_messages.Completion(
            model=request.model,
            prompt=request.prompt,
            max_tokens=limit,
            weight_version=deployment.weight_version,
            adapter=request.adapter,
            cache_salt=block_keys.cache_salt(self._secret, context.account.name),
            block_keys=progress.keys if route.plan.reuse else (),
            chat=request.chat,
            streamed=request.streamed,
            include_usage=request.include_usage,
            restore=route.plan.restore,
            keep=progress.known.keep,
            resume_after=progress.sink.data_frames if request.streamed else 0,
            sampling=request.sampling,
        )
        return stream_messages.StreamOrder(
            stream=self._links.next_stream(),
            request_id=context.request_id,
            attempt_id=ids.AttemptId(ids.random_id("a-")),
            account=context.account.name,
            deployment=deployment.name,
            configuration_version=context.configuration_version,
            deadline_ms=context.left_ms(self._clock),
            priority=context.priority,
            idempotency_key="",
            fingerprint=context.fingerprint,
            idempotent=True,
            work=work,
            suspect=self._lookup.crash_count(context) > 0,
        )

    async def _after_failure(
        self,
        progress: _Progress,
        route: router.Route,
        attempt: attempts.Attempt,
        outcome: attempts.Outcome,
    ) -> None:
        """Prepare the next attempt, or give the request up."""
        context = progress.context
        problem = outcome.problem or dispatch_rules.broken(outcome)
        _LOG.info(
            "attempt failed",
            request_id=context.request_id,
            attempt_id=attempt.order.attempt_id,
            backend_server=attempt.server,
            kind=problem.kind.value,
            reason=problem.detail,
        )
        progress.excluded |= {attempt.server}
        self._routes.failed(attempt.server, progress.keys)
        if problem.kind is problems.ProblemKind.BACKEND_CRASHED:
            route.state.healthy = False
            route.state.breaker.failed(self._clock.now_ms())
            if problem.ran is not problems.Ran.NOT_RUN:
                await self._lookup.report_crash(
                    context, progress.keys, attempt.order.attempt_id, attempt.server
                )
            self._refuse_crasher(context)
        if problem.kind is problems.ProblemKind.LEAVING:
            route.state.accepting = False
            return
        if problem.kind not in dispatch_rules.RETRIED_KINDS:
            raise problems.ProblemError(problem)
        if not self._budgets.try_spend(context):
            raise problems.ProblemError(problem)
        self._figures.retried(context.deployment.name)
        await self._clock.sleep(
            retry_budgets.backoff_ms(progress.attempt_count - 1, self._jitter)
        )
        if self._lookup.crash_count(context):
            await self._lookup.learn_crashes(context, progress.keys)
            self._refuse_crasher(context)

    def _count(
        self,
        context: request_context.RequestContext,
        end: stream_messages.StreamEnd,
        first_token_ms: int,
    ) -> None:
        name = context.deployment.name
        self._figures.first_token(name, first_token_ms)
        self._figures.prompt_work(
            name, end.prompt_tokens, end.cached_tokens, end.restored_tokens
        )
        blocks = end.restored_tokens // tokenizers.BLOCK_TOKENS
        self._routes.restored(blocks, end.link_bytes)
