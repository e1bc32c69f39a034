"""Serves one call to a plain service.

Three classes of calls:

- declared idempotent: repeated within the retry budget like a prompt;
- not idempotent, with a key: an agent sends it to the backend server only after it
  has claimed the request in the platform table; a repeat with the same key gets the
  recorded outcome;
- not idempotent, without a key: sent once and never repeated by the system.

"Not run" is answered only if no attempt was sent, if an agent refused before the call
or if this entry's own cancellation was committed before any claim.
"""

import asyncio
import random
from typing import Final

from quincecrank import (
    admission_gate,
    agent_links,
    attempt_records,
    chain_view,
    crash_counts,
    directory_lookup,
    dispatch_rules,
    ids,
    logs,
    metrics,
    platform_table,
    problems,
    request_context,
    retry_budgets,
    router,
    stream_messages,
)
from quincecrank import attempt as attempts
from quincecrank import attempt_claims as claims
from quincecrank import clock as clocks

RETRY_AFTER_TABLE_MS: Final = 2_000
RETRY_AFTER_UNKNOWN_MS: Final = 1_000
"""Retry delay advised when a call ended without an answer."""

_LOG: Final = logs.logger("plain-dispatch")

_NO_ADAPTER: Final = ids.AdapterName("")
_NO_BLOCKS: Final = chain_view.empty(0)


class PlainDispatcher:
    """Serves the plain calls of one entry."""

    def __init__(
        self,
        links: agent_links.AgentLinks,
        request_router: router.Router,
        gate: admission_gate.AdmissionGate,
        lookup: directory_lookup.DirectoryLookup,
        budgets: retry_budgets.RetryBudgets,
        table: platform_table.PlatformTable,
        entry_metrics: metrics.EntryMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._links = links
        self._router = request_router
        self._gate = gate
        self._lookup = lookup
        self._budgets = budgets
        self._table = table
        self._metrics = entry_metrics
        self._clock = clock
        self._jitter = random.Random()

    async def serve(
        self,
        context: request_context.RequestContext,
        call: stream_messages.PlainCall,
        key: str,
        *,
        idempotent: bool,
        sink: attempts.AnswerSink,
    ) -> None:
        """Write the complete answer to `sink`.

        Parameters
        ----------
        key : str
            The caller's idempotency key, empty without one.

        Raises
        ------
        ProblemError
            If the request fails or is rejected.
        """
        run = _PlainRun(context, call, key, idempotent, sink)
        timeout_s = context.remaining_ms(self._clock) / clocks.MS_PER_SECOND
        try:
            async with asyncio.timeout(timeout_s):
                # A call has no blocks; the lookup reads the crashes of equal calls.
                await self._lookup.lookup(context, (), may_write=False)
                self._check_crash_limit(context)
                async with self._gate.admitted(context, _NO_ADAPTER, 0):
                    await self._run_attempts(run)
        except TimeoutError:
            detail = "the deadline passed"
            kind = problems.ProblemKind.DEADLINE
            problem = await self._final_problem(run, kind, detail)
        except problems.ProblemError as error:
            problem = error.problem
        else:
            return
        raise problems.ProblemError(
            dispatch_rules.final_problem(problem, context.open_request)
        )

    def _check_crash_limit(self, context: request_context.RequestContext) -> None:
        if self._lookup.crash_count(context) >= crash_counts.CRASH_LIMIT:
            raise problems.ProblemError(dispatch_rules.crashing_request_problem())

    async def _run_attempts(self, run: "_PlainRun") -> None:
        self._budgets.record_first_attempt(run.context)
        while True:
            decision = self._choose_replica(run)
            outcome = await self._run_attempt(run, decision)
            if outcome.end is not None:
                decision.agent.breaker.record_success()
                await self._lookup.report_cleared(run.context, ())
                return
            await self._handle_failure(run, decision, outcome)

    def _choose_replica(self, run: "_PlainRun") -> router.RoutingDecision:
        decision = self._router.choose(
            run.context,
            _NO_ADAPTER,
            0,
            _NO_BLOCKS,
            (),
            run.excluded,
            avoid_suspects=self._lookup.crash_count(run.context) > 0,
        )
        if decision is None:
            raise problems.ProblemError(admission_gate.no_backend_server_problem())
        return decision

    async def _run_attempt(
        self, run: "_PlainRun", decision: router.RoutingDecision
    ) -> attempts.AttemptOutcome:
        order = self._order(run)
        sent_id = ids.RequestId(order.attempt_id)
        run.sent_attempts.append(order.attempt_id)
        run.context.open_request.record_attempt(
            decision.agent.peer.backend_server, order.attempt_id
        )
        decision.agent.breaker.record_send(self._clock.now_ms())
        decision.agent.estimates.record_send(
            sent_id, decision.plan, self._clock.now_ms()
        )
        may_have_run_before = dispatch_rules.record_send(run.context.open_request)
        attempt = self._links.open(decision.agent, order, run.sink)
        try:
            outcome = await attempt.outcome()
            dispatch_rules.record_outcome(
                run.context.open_request, outcome, may_have_run_before
            )
            return outcome
        finally:
            self._links.close(decision.agent, attempt)
            decision.agent.estimates.record_end(sent_id, self._clock.now_ms())

    def _order(self, run: "_PlainRun") -> stream_messages.StreamOrder:
        context = run.context
        return stream_messages.StreamOrder(
            stream=self._links.next_stream(),
            request_id=context.request_id,
            attempt_id=ids.AttemptId(ids.random_id("a-")),
            account=context.account.name,
            deployment=context.deployment.name,
            configuration_version=context.configuration_version,
            remaining_ms=context.remaining_ms(self._clock),
            priority=context.priority,
            idempotency_key=run.key,
            fingerprint=context.fingerprint,
            idempotent=run.idempotent,
            work=run.call,
            suspect=self._lookup.crash_count(context) > 0,
        )

    async def _handle_failure(
        self,
        run: "_PlainRun",
        decision: router.RoutingDecision,
        outcome: attempts.AttemptOutcome,
    ) -> None:
        """Prepare the next attempt, or raise the problem that ends the request."""
        problem = outcome.problem or dispatch_rules.broken_attempt_problem(outcome)
        _LOG.info(
            "attempt failed",
            request_id=run.context.request_id,
            attempt_id=run.sent_attempts[-1],
            backend_server=decision.plan.server,
            kind=problem.kind.value,
            ran=problem.ran.value,
            reason=problem.detail,
        )
        run.excluded |= {decision.plan.server}
        if problem.kind is problems.ProblemKind.BACKEND_CRASHED:
            decision.agent.breaker.record_failure(self._clock.now_ms())
            await self._lookup.report_crash(
                run.context, (), run.sent_attempts[-1], decision.plan.server
            )
        if run.has_answer_bytes:
            raise problems.ProblemError(problem)
        if problem.kind is problems.ProblemKind.LEAVING:
            decision.agent.accepting = False
            return
        may_repeat = run.idempotent or problem.ran is problems.Ran.NOT_RUN
        if may_repeat and problem.kind in dispatch_rules.RETRYABLE_KINDS:
            if self._budgets.try_spend(run.context):
                self._metrics.count_retry(run.context.deployment.name)
                await self._clock.sleep(retry_budgets.backoff_ms(0, self._jitter))
                if self._lookup.crash_count(run.context):
                    await self._lookup.refresh_crashes(run.context, ())
                    self._check_crash_limit(run.context)
                return
        if problem.ran is problems.Ran.UNKNOWN and outcome.problem is None:
            detail = "the agent was lost while the call ran"
            kind = problems.ProblemKind.OUTCOME_UNKNOWN
            problem = await self._final_problem(run, kind, detail)
        raise problems.ProblemError(problem)

    async def _final_problem(
        self, run: "_PlainRun", kind: problems.ProblemKind, detail: str
    ) -> problems.Problem:
        """Return the problem of a call whose attempts ended without a known outcome.

        A non-idempotent call with a key is cancelled first, so that the answer is "not
        run" if no attempt had a claim.
        """
        if not run.sent_attempts:
            return problems.Problem(kind, detail, problems.Ran.NOT_RUN, 1_000)
        if not run.key or run.idempotent:
            return problems.Problem(
                kind, detail, problems.Ran.UNKNOWN, RETRY_AFTER_UNKNOWN_MS
            )
        cancelled = await claims.cancel(
            self._table, run.identity(), tuple(run.sent_attempts)
        )
        match cancelled.verdict:
            case claims.CancelVerdict.NOT_RUN:
                run.context.open_request.may_have_run = False
                ran = problems.Ran.NOT_RUN
            case claims.CancelVerdict.FINGERPRINT_MISMATCH:
                run.context.open_request.may_have_run = False
                return key_reused_problem()
            case claims.CancelVerdict.FINISHED:
                ran = problems.Ran.RAN
            case _:
                ran = problems.Ran.UNKNOWN
        return problems.Problem(kind, detail, ran, RETRY_AFTER_UNKNOWN_MS)


class _PlainRun:
    """State of one call across its attempts.

    It is also their sink, which records whether the caller received any bytes.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        call: stream_messages.PlainCall,
        key: str,
        idempotent: bool,
        sink: attempts.AnswerSink,
    ) -> None:
        self.context = context
        self.call = call
        self.key = key
        self.idempotent = idempotent
        self.sent_attempts: list[ids.AttemptId] = []
        self.excluded: frozenset[ids.BackendServerName] = frozenset()
        self.has_answer_bytes = False
        self.sink: attempts.AnswerSink = self
        self._sink = sink

    def handle_head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Pass the status and headers to the caller's sink."""
        self.has_answer_bytes = True
        self._sink.handle_head(status, headers)

    def handle_body(self, data: bytes) -> None:
        """Pass bytes to the caller's sink."""
        self.has_answer_bytes = True
        self._sink.handle_body(data)

    def identity(self) -> attempt_records.RequestIdentity:
        """Return the identity under which the request's record is stored."""
        return attempt_records.RequestIdentity(
            self.context.account.name, self.key, self.context.fingerprint
        )


def key_reused_problem() -> problems.Problem:
    """Return the problem of a key that was used for another request."""
    return problems.Problem(
        problems.ProblemKind.KEY_REUSED,
        "the idempotency key was used for a request with another content",
    )
