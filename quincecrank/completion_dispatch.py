"""Serves one prompt: directory lookup, admission, routing and attempts.

Prompts have no side effects, so that a failed attempt may be followed by another one.
Retries prefer other backend servers and are bounded by the retry budget; a streamed
answer continues after the last token that the caller received.  A prompt that was in
flight when a backend server crashed is a suspect: it runs again only where no other
suspect runs, and after two crashes it is rejected.
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
"""Time for which a request waits for a replica with the target weights."""

LINK_WAIT_MS: Final = 20
"""Time to establish links to agents whose engines hold blocks of a prompt."""

CANDIDATE_POLL_MS: Final = 50
"""Polling interval for a backend server that may run a request."""

_LOG: Final = logs.logger("dispatch")


@dataclasses.dataclass
class _PromptRun:
    """State of one prompt across its attempts."""

    context: request_context.RequestContext
    request: inference_request.InferenceRequest
    sink: "_FirstTokenSink"
    prompt_tokens: int
    keys: tuple[ids.BlockKey, ...]
    lookup_reply: rpc.LookupReply
    queue: admission.AdmissionQueue
    excluded: frozenset[ids.BackendServerName] = frozenset()
    attempt_count: int = 0


class _FirstTokenSink:
    """Passes bytes to a sink and records the time of the first ones.

    `on_next_data` is called once, with the next bytes.
    """

    def __init__(self, sink: attempts.AnswerSink, clock: clocks.Clock) -> None:
        self._sink = sink
        self._clock = clock
        self.data_frames = 0
        self.first_ms = 0
        self.on_next_data: Callable[[], None] | None = None

    def handle_head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Reject a head, which a model engine's answer does not have."""
        raise ValueError("an answer of a model engine has no head")

    def handle_body(self, data: bytes) -> None:
        """Pass bytes to the sink."""
        if not self.data_frames:
            self.first_ms = self._clock.now_ms()
        self.data_frames += 1
        self._sink.handle_body(data)
        if self.on_next_data is not None:
            on_next_data, self.on_next_data = self.on_next_data, None
            on_next_data()


class CompletionDispatcher:
    """Serves the prompts of one entry.

    Parameters
    ----------
    secret : bytes
        Secret of the block keys and cache salts.
    request_links : callable
        Requests links to the agents of backend servers; returns whether any of them
        was not requested recently.
    """

    def __init__(
        self,
        links: agent_links.AgentLinks,
        request_router: router.Router,
        gate: admission_gate.AdmissionGate,
        lookup: directory_lookup.DirectoryLookup,
        budgets: retry_budgets.RetryBudgets,
        secret: bytes,
        request_links: Callable[[Iterable[ids.BackendServerName]], bool],
        entry_metrics: metrics.EntryMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._links = links
        self._router = request_router
        self._gate = gate
        self._lookup = lookup
        self._budgets = budgets
        self._secret = secret
        self._request_links = request_links
        self._metrics = entry_metrics
        self._clock = clock
        self._jitter = random.Random()

    async def serve(
        self,
        context: request_context.RequestContext,
        request: inference_request.InferenceRequest,
        sink: attempts.AnswerSink,
    ) -> stream_messages.StreamEnd:
        """Write the complete answer to `sink` and return its end, with token counts.

        Raises
        ------
        ProblemError
            If the request fails or is rejected.
        """
        started_ms = self._clock.now_ms()
        tokenizer = tokenizers.TOKENIZERS_BY_NAME[context.deployment.tokenizer]
        keys = self._block_keys(context, request, tokenizer)
        prompt_tokens = tokenizer.count(request.prompt)
        timed_sink = _FirstTokenSink(sink, self._clock)
        try:
            timeout_s = context.remaining_ms(self._clock) / clocks.MS_PER_SECOND
            async with asyncio.timeout(timeout_s):
                lookup_reply = await self._lookup.lookup(
                    context, keys, may_write=self._router.policy.uses_tiers
                )
                self._check_crash_limit(context)
                if self._request_links(lookup_reply.chain.held_by_server):
                    await self._clock.sleep(LINK_WAIT_MS)
                await self._wait_for_weights(context, request)
                async with self._gate.admitted(
                    context, request.adapter, prompt_tokens
                ) as queue:
                    run = _PromptRun(
                        context,
                        request,
                        timed_sink,
                        prompt_tokens,
                        keys,
                        lookup_reply,
                        queue,
                    )
                    end = await self._run_attempts(run)
        except TimeoutError:
            problem = dispatch_rules.deadline_problem()
        except problems.ProblemError as error:
            problem = error.problem
        else:
            self._record_metrics(context, end, timed_sink.first_ms - started_ms)
            return end
        raise problems.ProblemError(
            dispatch_rules.final_problem(problem, context.open_request)
        )

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

    def _check_crash_limit(self, context: request_context.RequestContext) -> None:
        if self._lookup.crash_count(context) < crash_counts.CRASH_LIMIT:
            return
        raise problems.ProblemError(dispatch_rules.crashing_request_problem())

    async def _wait_for_weights(
        self,
        context: request_context.RequestContext,
        request: inference_request.InferenceRequest,
    ) -> None:
        """Wait up to `WEIGHTS_WAIT_MS` while no replica has the target weights.

        Returns at once if there is no replica that may be loading them.
        """
        until_ms = self._clock.now_ms() + WEIGHTS_WAIT_MS
        while not self._router.candidates(context, request.adapter):
            is_over = self._clock.now_ms() >= until_ms
            if is_over or not self._router.has_loading_replicas(context):
                return
            await self._clock.sleep(CANDIDATE_POLL_MS)

    async def _run_attempts(self, run: _PromptRun) -> stream_messages.StreamEnd:
        self._budgets.record_first_attempt(run.context)
        while True:
            decision = await self._choose_replica(run)
            attempt, outcome = await self._run_attempt(run, decision)
            if outcome.end is not None:
                decision.agent.breaker.record_success()
                await self._lookup.report_cleared(run.context, run.keys)
                return outcome.end
            await self._handle_failure(run, decision, attempt, outcome)

    async def _choose_replica(self, run: _PromptRun) -> router.RoutingDecision:
        context = run.context
        while True:
            decision = self._router.choose(
                context,
                run.request.adapter,
                run.prompt_tokens,
                run.lookup_reply.chain,
                run.keys,
                run.excluded,
                avoid_suspects=self._lookup.crash_count(context) > 0,
            )
            if decision is not None:
                return decision
            if not self._router.candidates(context, run.request.adapter):
                if not self._router.has_loading_replicas(context):
                    raise problems.ProblemError(
                        admission_gate.no_backend_server_problem()
                    )
            # Backend servers of failed attempts may be tried again after the wait.
            run.excluded = frozenset()
            await self._clock.sleep(CANDIDATE_POLL_MS)

    async def _run_attempt(
        self, run: _PromptRun, decision: router.RoutingDecision
    ) -> tuple[attempts.Attempt, attempts.AttemptOutcome]:
        context = run.context
        order = self._order(run, decision)
        run.attempt_count += 1
        server = decision.agent.peer.backend_server
        context.open_request.record_attempt(server, order.attempt_id)
        frames_before = run.sink.data_frames
        with self._tracked(run, decision, order):
            may_have_run_before = dispatch_rules.record_send(context.open_request)
            attempt = self._links.open(decision.agent, order, run.sink)
            try:
                outcome = await attempt.outcome()
                dispatch_rules.record_outcome(
                    context.open_request, outcome, may_have_run_before
                )
            finally:
                self._links.close(decision.agent, attempt)
            if outcome.end is not None:
                # Ends the restore here, with its duration; the call without a duration
                # in `_tracked` then has no effect.
                sent_id = ids.RequestId(order.attempt_id)
                self._router.record_restore_end(sent_id, outcome.end.restore_ms)
        if outcome.end is not None and run.sink.data_frames == frames_before:
            outcome = attempts.AttemptOutcome(
                attempts.OutcomeKind.BROKEN, reason="the answer is empty"
            )
        return attempt, outcome

    @contextlib.contextmanager
    def _tracked(
        self,
        run: _PromptRun,
        decision: router.RoutingDecision,
        order: stream_messages.StreamOrder,
    ) -> Iterator[None]:
        """Track the attempt in all estimates that decisions depend on."""
        now_ms = self._clock.now_ms()
        sent_id = ids.RequestId(order.attempt_id)
        is_suspect = self._lookup.crash_count(run.context) > 0
        decision.agent.breaker.record_send(now_ms)
        decision.agent.estimates.record_send(sent_id, decision.plan, now_ms, run.keys)
        decision.agent.suspects += is_suspect
        self._router.record_restore_start(sent_id, decision.plan)
        run.sink.on_next_data = functools.partial(
            self._record_first_token, run, decision, sent_id
        )
        run.queue.record_plan(run.context.request_id, decision.plan.recompute_tokens)
        try:
            yield
        finally:
            run.sink.on_next_data = None
            decision.agent.suspects -= is_suspect
            self._router.record_restore_end(sent_id)
            decision.agent.estimates.record_end(sent_id, self._clock.now_ms())

    def _record_first_token(
        self, run: _PromptRun, decision: router.RoutingDecision, sent_id: ids.RequestId
    ) -> None:
        """Record the first token of an attempt in all estimates."""
        decision.agent.estimates.record_first_token(sent_id, self._clock.now_ms())
        self._router.record_first_token(decision.plan.server, run.keys)
        run.queue.record_first_token(run.context.request_id)
        run.context.open_request.state = "streaming"

    def _order(
        self, run: _PromptRun, decision: router.RoutingDecision
    ) -> stream_messages.StreamOrder:
        context = run.context
        request = run.request
        deployment = context.deployment
        limit = min(request.max_tokens or deployment.max_tokens, deployment.max_tokens)
        work = stream_messages.Completion(
            model=request.model,
            prompt=request.prompt,
            max_tokens=limit,
            weight_version=deployment.weight_version,
            adapter=request.adapter,
            cache_salt=block_keys.cache_salt(self._secret, context.account.name),
            block_keys=run.keys if decision.plan.reuse else (),
            chat=request.chat,
            streamed=request.streamed,
            include_usage=request.include_usage,
            blocks_to_restore=decision.plan.restore,
            blocks_to_write=run.lookup_reply.keep,
            # Each data frame before the closing one holds one token.
            resume_after=run.sink.data_frames if request.streamed else 0,
            sampling=request.sampling,
        )
        return stream_messages.StreamOrder(
            stream=self._links.next_stream(),
            request_id=context.request_id,
            attempt_id=ids.AttemptId(ids.random_id("a-")),
            account=context.account.name,
            deployment=deployment.name,
            configuration_version=context.configuration_version,
            remaining_ms=context.remaining_ms(self._clock),
            priority=context.priority,
            idempotency_key="",
            fingerprint=context.fingerprint,
            idempotent=True,
            work=work,
            suspect=self._lookup.crash_count(context) > 0,
        )

    async def _handle_failure(
        self,
        run: _PromptRun,
        decision: router.RoutingDecision,
        attempt: attempts.Attempt,
        outcome: attempts.AttemptOutcome,
    ) -> None:
        """Prepare the next attempt, or raise the problem that ends the request."""
        context = run.context
        problem = outcome.problem or dispatch_rules.broken_attempt_problem(outcome)
        _LOG.info(
            "attempt failed",
            request_id=context.request_id,
            attempt_id=attempt.order.attempt_id,
            backend_server=attempt.server,
            kind=problem.kind.value,
            reason=problem.detail,
        )
        run.excluded |= {attempt.server}
        self._router.record_failure(attempt.server, run.keys)
        if problem.kind is problems.ProblemKind.BACKEND_CRASHED:
            decision.agent.healthy = False
            decision.agent.breaker.record_failure(self._clock.now_ms())
            if problem.ran is not problems.Ran.NOT_RUN:
                await self._lookup.report_crash(
                    context, run.keys, attempt.order.attempt_id, attempt.server
                )
            self._check_crash_limit(context)
        if problem.kind is problems.ProblemKind.LEAVING:
            decision.agent.accepting = False
            return
        if problem.kind not in dispatch_rules.RETRYABLE_KINDS:
            raise problems.ProblemError(problem)
        if not self._budgets.try_spend(context):
            raise problems.ProblemError(problem)
        self._metrics.count_retry(context.deployment.name)
        await self._clock.sleep(
            retry_budgets.backoff_ms(run.attempt_count - 1, self._jitter)
        )
        if self._lookup.crash_count(context):
            await self._lookup.refresh_crashes(context, run.keys)
            self._check_crash_limit(context)

    def _record_metrics(
        self,
        context: request_context.RequestContext,
        end: stream_messages.StreamEnd,
        first_token_ms: int,
    ) -> None:
        name = context.deployment.name
        self._metrics.record_first_token(name, first_token_ms)
        self._metrics.record_prompt_sources(
            name, end.prompt_tokens, end.cached_tokens, end.restored_tokens
        )
        blocks = end.restored_tokens // tokenizers.BLOCK_TOKENS
        self._router.record_block_size(blocks, end.link_bytes)
