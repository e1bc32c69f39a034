"""Base class of the handlers of caller requests.

It offers authentication (`account`), limits bodies and open requests, answers failures
as problem documents and cancels a request whose caller disconnects.
"""

import asyncio
import http
import http.client
from collections.abc import Callable
from typing import Any, Final

from tornado import http1connection, iostream, web

from quincecrank import (
    access,
    configuration,
    current_configuration,
    entry_view,
    findings,
    ids,
    logs,
    metrics,
    problems,
    refusals,
    request_body,
    request_context,
)
from quincecrank import clock as clocks
from quincecrank.budgets import bounded_stream, byte_budget

REQUEST_ID_HEADER: Final = "X-Request-Id"
DEADLINE_HEADER: Final = "Request-Deadline-Ms"
PRIORITY_HEADER: Final = "Request-Priority"
MAX_DEADLINE_MS: Final = 3_600_000
MAX_PRIORITY: Final = 9
MAX_DIGITS: Final = 18
"""Maximum number of digits of a number in a header."""

MAX_ECHOED_CHARACTERS: Final = 200
"""Length to which a caller's text is cut where a refusal or a log line repeats it."""

FINAL_READ_TIMEOUT_MS: Final = 30_000
"""Time for a caller to read what is still unsent when its answer is complete."""

SEND_POLL_MS: Final = 10

_LOG: Final = logs.logger("http")


class CallerServices:
    """State of the process that the handlers of all caller requests share.

    Parameters
    ----------
    is_settled : callable
        Returns whether the process may serve by its configuration.

    Attributes
    ----------
    requests_by_id : dict
        Open requests of this process, for the operators' queries.
    stopping : bool
        Whether the process is shutting down: open requests finish, new ones are
        refused.
    tasks : set of Task
        Tasks of the requests being served; `max_open_requests` limits their number.
    budget : ByteBudget
        Budget of the bytes that the process holds.
    """

    def __init__(
        self,
        current: current_configuration.CurrentConfiguration,
        entry_metrics: metrics.EntryMetrics,
        clock: clocks.Clock,
        max_body_bytes: int,
        max_open_requests: int,
        is_settled: Callable[[], bool],
        budget: byte_budget.ByteBudget,
    ) -> None:
        self.current = current
        self.metrics = entry_metrics
        self.clock = clock
        self.max_body_bytes = max_body_bytes
        self.max_open_requests = max_open_requests
        self.is_settled = is_settled
        self.requests_by_id: dict[ids.RequestId, entry_view.OpenRequest] = {}
        self.stopping = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.budget = budget
        self._account_keys = access.AccountKeys(current.in_force)

    def account_keys(self) -> access.AccountKeys:
        """Return the API keys of the configuration in force."""
        if self._account_keys.version != self.current.version:
            self._account_keys = access.AccountKeys(self.current.in_force)
        return self._account_keys


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Base of the handlers: buffers the body, runs `respond`, reports problems.

    Attributes
    ----------
    request_id : RequestId
        Random id; every answer carries it in `REQUEST_ID_HEADER`.
    """

    services: CallerServices

    def initialize(self, services: CallerServices) -> None:
        """Store the shared services and give the request an id."""
        self.services = services
        self.request_id = ids.RequestId(ids.random_id("r-"))
        self._body = request_body.RequestBody(services.max_body_bytes, services.budget)
        self._task: asyncio.Task[None] | None = None

    def prepare(self) -> None:
        """Refuse a request with a long body by its head, if that suffices."""
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        if self.services.stopping:
            self.set_header("Connection", "close")
        headers = self.request.headers
        size = request_body.declared_length(headers.get("Content-Length", ""))
        if size <= bounded_stream.READ_BYTES and "Transfer-Encoding" not in headers:
            # Short enough to be read before it is refused: the connection stays usable.
            self._body.declare_length(size)
            return
        refusal = self._refusal_of_process() or self.refusal_of_head()
        if refusal is not None:
            self._refuse_unread(refusal)
            return
        self._body.declare_length(size)
        self._refuse_body()

    def refusal_of_head(self) -> problems.Problem | None:
        """Return why the request is refused whatever its body is; or None."""
        return None

    def data_received(self, chunk: bytes) -> None:
        """Buffer the body up to its limit; refuse the request beyond it."""
        if self._finished:
            return
        self._body.add(chunk)
        self._refuse_body()

    def _refuse_body(self) -> None:
        """Refuse a body that can't be buffered: at once, or once it is discarded."""
        refusal = self._body.problem
        if refusal is None:
            return
        waits = "100-continue" in self.request.headers.get("Expect", "").lower()
        is_too_large = refusal.kind is problems.ProblemKind.TOO_LARGE
        if is_too_large and not waits and not self._body.ends_connection:
            connection = self.request.connection
            assert isinstance(connection, http1connection.HTTP1Connection)
            bounded_stream.discard_rest(connection)
        else:
            self._refuse_unread(refusal)

    def body(self) -> bytes:
        """Return the complete body; call it only once, as the buffer is dropped."""
        return self._body.take()

    async def serve(self) -> None:
        """Serve the request in a task, which is cancelled if the caller disconnects."""
        services = self.services
        refusal = self._body.problem or self._refusal_of_process()
        if refusal is not None:
            self.write_problem(refusal)
            return
        self._task = asyncio.ensure_future(self.respond())
        services.tasks.add(self._task)
        services.metrics.open_requests.set(len(services.tasks))
        try:
            await self._run(self._task)
            await self._wait_until_sent()
        finally:
            services.tasks.discard(self._task)
            services.requests_by_id.pop(self.request_id, None)
            services.metrics.open_requests.set(len(services.tasks))

    def _refusal_of_process(self) -> problems.Problem | None:
        """Return why this process takes no further request; or None."""
        services = self.services
        if services.stopping:
            return refusals.stopping()
        if len(services.tasks) >= services.max_open_requests:
            return refusals.too_many_requests()
        return None

    async def _run(self, task: asyncio.Task[None]) -> None:
        try:
            await task
        except problems.ProblemError as error:
            self.write_problem(error.problem)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            _LOG.info("caller disconnected", request_id=self.request_id)
            self.abort_connection()
        except Exception:
            _LOG.exception("handler failed", request_id=self.request_id)
            self.write_problem(refusals.internal_failure())

    async def _wait_until_sent(self) -> None:
        """Wait until the answer is sent; disconnect after FINAL_READ_TIMEOUT_MS."""
        clock = self.services.clock
        stream = self._stream()
        deadline_ms = clock.now_ms() + FINAL_READ_TIMEOUT_MS
        while stream is not None and not stream.closed() and stream.writing():
            if clock.now_ms() > deadline_ms:
                _LOG.info("caller does not read", request_id=self.request_id)
                stream.close()
                return
            await clock.sleep(SEND_POLL_MS)

    async def respond(self) -> None:
        """Answer the request; raises `ProblemError` to refuse it."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        super().on_connection_close()
        self._body.release()
        if self._task is not None:
            self._task.cancel()

    def on_finish(self) -> None:
        """Release the body's buffer."""
        self._body.release()

    def abort_connection(self) -> None:
        """Close the connection, as a partial answer must not look complete."""
        if not self._finished:
            self.detach().close()

    def limit_unsent(self, size: int) -> None:
        """Limit the bytes buffered until the caller reads them.

        A flush beyond the limit raises `iostream.StreamBufferFullError`.
        """
        stream = self._stream()
        if stream is not None:
            stream.max_write_buffer_size = size

    def _stream(self) -> iostream.IOStream | None:
        return getattr(self.request.connection, "stream", None)

    def account(self) -> configuration.Account:
        """Return the client account whose API key the request carries.

        Raises
        ------
        ProblemError
            If the key is missing or unknown, or the account is disabled.
        """
        header = self.request.headers.get("Authorization")
        key = access.bearer_credential(header)
        if key is None:
            raise problems.ProblemError(
                refusals.unauthenticated("an API key is needed")
            )
        account = self.services.account_keys().find(key)
        if account is None:
            raise problems.ProblemError(
                refusals.unauthenticated("the API key is not known")
            )
        if not account.enabled:
            raise problems.ProblemError(refusals.account_disabled())
        return account

    def context(
        self,
        account: configuration.Account,
        deployment: configuration.Deployment,
        fingerprint: str,
    ) -> request_context.RequestContext:
        """Return the context of this request and list it as open.

        Raises
        ------
        ProblemError
            If the deadline or the priority in the headers is invalid.
        """
        remaining_ms = self.number_header(
            DEADLINE_HEADER, deployment.deadline_ms, 1, MAX_DEADLINE_MS
        )
        priority = self.number_header(PRIORITY_HEADER, 0, 0, MAX_PRIORITY)
        return request_context.RequestContext(
            request_id=self.request_id,
            account=account,
            deployment=deployment,
            configuration_version=self.services.current.version,
            deadline_at_ms=self.services.clock.now_ms() + remaining_ms,
            priority=priority,
            open_request=self.register_open_request(account.name, deployment.name),
            fingerprint=fingerprint,
        )

    def register_open_request(
        self, account: ids.AccountName, deployment: ids.DeploymentName
    ) -> entry_view.OpenRequest:
        """Add the request to `requests_by_id`, where it stays until it is answered."""
        services = self.services
        open_request = entry_view.OpenRequest(
            self.request_id, account, deployment, services.clock.now_ms()
        )
        services.requests_by_id[self.request_id] = open_request
        return open_request

    def require_ready(self) -> None:
        """Raise `ProblemError` while the process may not serve by its configuration."""
        if not self.services.is_settled():
            raise problems.ProblemError(refusals.not_ready())

    def number_header(self, name: str, default: int, low: int, high: int) -> int:
        """Return a header's integer, or the default if the header is missing.

        Raises
        ------
        ProblemError
            If the value is no integer from `low` to `high`.
        """
        text = self.request.headers.get(name)
        if text is None:
            return default
        is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
        if is_number and low <= int(text) <= high:
            return int(text)
        found = findings.Findings()
        place = findings.Place("header", field=name)
        found.add(place, f"expected a whole number from {low} to {high}")
        raise problems.ProblemError(refusals.bad_request(found))

    def write_problem(self, problem: problems.Problem) -> None:
        """Answer with a problem document, or fail an answer that has started."""
        if self._finished:
            return
        _LOG.info(
            "request refused",
            request_id=self.request_id,
            path=self.request.path[:MAX_ECHOED_CHARACTERS],
            kind=problem.kind.value,
            ran=problem.ran.value,
            retry_after_ms=problem.retry_after_ms,
            reason=problem.detail,
        )
        if self._headers_written:
            self.fail_started_answer(problem)
            return
        self.set_status(problem.status)
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        self.set_header("Content-Type", problems.PROBLEM_CONTENT_TYPE)
        if problem.kind is problems.ProblemKind.UNAUTHENTICATED:
            self.set_header("WWW-Authenticate", "Bearer")
        if problem.retry_after_ms:
            self.set_header("Retry-After", str(problem.retry_after_seconds))
        self.finish(problem.to_json(self.request_id))

    def fail_started_answer(self, problem: problems.Problem) -> None:
        """Close the connection, as the partial answer must not look complete."""
        self.abort_connection()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer errors that tornado detects with problem documents too."""
        kind = _KIND_BY_STATUS.get(status_code, problems.ProblemKind.BAD_REQUEST)
        detail = http.client.responses.get(status_code, "request failed")
        ran = problems.Ran.NOT_RUN if status_code < 500 else problems.Ran.UNKNOWN
        if status_code >= 500:
            kind = problems.ProblemKind.OUTCOME_UNKNOWN
        if status_code == http.HTTPStatus.METHOD_NOT_ALLOWED:
            self.set_header("Allow", ", ".join(self._allowed_methods()))
        self.write_problem(problems.Problem(kind, detail, ran))

    def log_exception(self, *args: Any) -> None:
        """Log exceptions of handlers as structured lines, except HTTP errors."""
        if not isinstance(args[1], web.HTTPError):
            _LOG.error("handler failed", request_id=self.request_id, exc_info=args)

    def _allowed_methods(self) -> list[str]:
        return [
            method
            for method in self.SUPPORTED_METHODS
            if getattr(type(self), method.lower())
            is not getattr(web.RequestHandler, method.lower())
        ]

    def _refuse_unread(self, refusal: problems.Problem) -> None:
        """Refuse a request whose body is not read, and close its connection."""
        self._body.release()
        self.set_header("Connection", "close")
        self.write_problem(refusal)


class UnknownPathHandler(CallerHandler):
    """Answers requests for paths that the API does not have."""

    async def get(self) -> None:
        """Refuse the request as not found."""
        await self.serve()

    head = post = delete = patch = put = options = get

    def refusal_of_head(self) -> problems.Problem:
        """Return that the path is not found."""
        path = self.request.path[:MAX_ECHOED_CHARACTERS]
        kind = problems.ProblemKind.NOT_FOUND
        return problems.Problem(kind, f"there is no {path!r}")

    async def respond(self) -> None:
        """Refuse the request as not found."""
        raise problems.ProblemError(self.refusal_of_head())


class AccountHandler(CallerHandler):
    """Base of the handlers of requests that need an API key."""

    def refusal_of_head(self) -> problems.Problem | None:
        """Return why the process or the client account does not serve the request."""
        try:
            self.require_ready()
            self.account()
        except problems.ProblemError as error:
            return error.problem
        return None


_KIND_BY_STATUS: Final = {
    404: problems.ProblemKind.NOT_FOUND,
    405: problems.ProblemKind.METHOD_NOT_ALLOWED,
    413: problems.ProblemKind.TOO_LARGE,
}
