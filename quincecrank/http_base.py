"""What the handlers of callers' requests share: identity, limits, refusals."""

import asyncio
import http.client
from typing import Any, Final

from tornado import iostream, web

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
    stream_messages,
)
from quincecrank import clock as clocks

REQUEST_ID_HEADER: Final = "X-Request-Id"
DEADLINE_HEADER: Final = "Request-Deadline-Ms"
PRIORITY_HEADER: Final = "Request-Priority"
MAX_DEADLINE_MS: Final = 3_600_000
MAX_PRIORITY: Final = 9
MAX_READ_BYTES: Final = 1 << 40
"""Bound of the HTTP parser; handlers refuse long before with a problem."""

MAX_HEADER_BYTES: Final = 32 * 1024
IDLE_TIMEOUT_S: Final = 75.0
BODY_TIMEOUT_S: Final = 30.0
MAX_UNSENT_BYTES: Final = 4 * 1024 * 1024
"""Bytes that a slow caller may leave unread before its request is cancelled."""

_LOG: Final = logs.logger("http")


class CallerServices:
    """What every caller's handler needs.

    Attributes
    ----------
    requests_by_id : dict
        Requests being served by this process.
    stopping : bool
        Whether the process finishes its requests and takes no more.
    """

    def __init__(
        self,
        current: current_configuration.CurrentConfiguration,
        figures: metrics.EntryMetrics,
        clock: clocks.Clock,
        max_body_bytes: int,
        max_open_requests: int,
    ) -> None:
        self.current = current
        self.figures = figures
        self.clock = clock
        self.max_body_bytes = max_body_bytes
        self.max_open_requests = max_open_requests
        self.requests_by_id: dict[ids.RequestId, entry_view.OpenRequest] = {}
        self.stopping = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self._account_keys = access.AccountKeys(current.in_force)

    def account_keys(self) -> access.AccountKeys:
        """Return the keys of the configuration in force."""
        if self._account_keys.version != self.current.version:
            self._account_keys = access.AccountKeys(self.current.in_force)
        return self._account_keys


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Base of the handlers: collects the body, answers with problems."""

    services: CallerServices

    def initialize(self, services: CallerServices) -> None:
        """Keep the services of the process."""
        self.services = services
        self.request_id = ids.RequestId(ids.random_id("r-"))
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._task: asyncio.Task[None] | None = None

    def prepare(self) -> None:
        """Refuse what is too large before its body is read."""
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.services.max_body_bytes:
            self._refuse_large()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to its bound."""
        if self._finished:
            return
        self._body_bytes += len(chunk)
        if self._body_bytes > self.services.max_body_bytes:
            self._body_parts.clear()
            self._refuse_large()
            return
        self._body_parts.append(chunk)

    def body(self) -> bytes:
        """Return the whole body; may be called once, and leaves no copy behind."""
        parts = self._body_parts
        self._body_parts = []
        return b"".join(parts)

    async def serve(self) -> None:
        """Serve the request in a task that ends when the caller goes away."""
        services = self.services
        if services.stopping:
            self.write_problem(_stopping())
            return
        if len(services.tasks) >= services.max_open_requests:
            self.write_problem(_too_many())
            return
        self._task = asyncio.ensure_future(self.respond())
        services.tasks.add(self._task)
        services.figures.open_requests.set(len(services.tasks))
        try:
            await self._task
        except problems.ProblemError as error:
            self.write_problem(error.problem)
        except asyncio.CancelledError:
            _LOG.info("caller went away", request_id=self.request_id)
        finally:
            services.tasks.discard(self._task)
            services.requests_by_id.pop(self.request_id, None)
            services.figures.open_requests.set(len(services.tasks))

    async def respond(self) -> None:
        """Answer the request; raises `ProblemError` to refuse it."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        """Cancel the work for a caller that went away."""
        if self._task is not None:
            self._task.cancel()

    def account(self) -> configuration.Account:
        """Return the client account whose key the request carries."""
        header = self.request.headers.get("Authorization")
        key = access.bearer_credential(header)
        if key is None:
            raise problems.ProblemError(_unauthenticated("an API key is needed"))
        account = self.services.account_keys().find(key)
        if account is None:
            raise problems.ProblemError(_unauthenticated("the API key is not known"))
        return _enabled(account)

    def opened(
        self, account: ids.AccountName, deployment: ids.DeploymentName
    ) -> entry_view.OpenRequest:
        """List the request for the operators' queries until it is answered."""
        services = self.services
        shown = entry_view.OpenRequest(
            self.request_id, account, deployment, services.clock.now_ms()
        )
        services.requests_by_id[self.request_id] = shown
        return shown

    def require_ready(self) -> None:
        """Refuse while this process has not learned a configuration."""
        if not self.services.current.version:
            kind = problems.ProblemKind.NOT_READY
            detail = "the process has not learned a configuration yet"
            raise problems.ProblemError(
                problems.Problem(kind, detail, retry_after_ms=1_000)
            )

    def number_header(self, name: str, default: int, low: int, high: int) -> int:
        """Return a header's whole number; raises `ProblemError` when it is none."""
        text = self.request.headers.get(name)
        if text is None:
            return default
        if text.isascii() and text.isdecimal() and low <= int(text) <= high:
            return int(text)
        found = findings.Findings()
        place = findings.Place("header", field=name)
        found.add(place, f"expected a whole number from {low} to {high}")
        raise problems.ProblemError(bad_request(found))

    def write_problem(self, problem: problems.Problem) -> None:
        """Answer with a refusal, or end a started answer as failed."""
        if self._finished:
            return
        _LOG.info(
            "request refused",
            request_id=self.request_id,
            path=self.request.path,
            kind=problem.kind.value,
            ran=problem.ran.value,
            retry_after_ms=problem.retry_after_ms,
            reason=problem.detail,
        )
        if self._headers_written:
            self.fail_started_answer(problem)
            return
        self.set_status(problem.status)
        self.set_header("Content-Type", problems.PROBLEM_CONTENT_TYPE)
        if problem.retry_after_ms:
            self.set_header("Retry-After", str(problem.retry_after_seconds))
        self.finish(problem.to_json(self.request_id))

    def fail_started_answer(self, problem: problems.Problem) -> None:
        """Break a started answer off, so that it cannot pass for a whole one."""
        connection = self.request.connection
        if connection is not None:
            stream = self.detach()
            stream.close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer errors that tornado found as problems too."""
        kind = _KIND_BY_STATUS.get(status_code, problems.ProblemKind.BAD_REQUEST)
        detail = http.client.responses.get(status_code, "request failed")
        ran = problems.Ran.NOT_RUN if status_code < 500 else problems.Ran.UNKNOWN
        if status_code >= 500:
            kind = problems.ProblemKind.OUTCOME_UNKNOWN
        self.write_problem(problems.Problem(kind, detail, ran))

    def log_exception(self, *args: Any) -> None:
        """Log failures of the product in its own format."""
        if not isinstance(args[1], web.HTTPError):
            _LOG.error("handler failed", request_id=self.request_id, exc_info=args)

    def _refuse_large(self) -> None:
        limit = self.services.max_body_bytes
        self.set_header("Connection", "close")
        kind = problems.ProblemKind.TOO_LARGE
        self.write_problem(problems.Problem(kind, f"the body exceeds {limit} bytes"))


class UnknownPathHandler(CallerHandler):
    """Answers every path that the API does not have."""

    def prepare(self) -> None:
        """Refuse the request."""
        super().prepare()
        detail = f"there is no {self.request.path!r}"
        kind = problems.ProblemKind.NOT_FOUND
        self.write_problem(problems.Problem(kind, detail))


class HttpSink:
    """Writes an answer to the caller's connection as it arrives."""

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._unsent_bytes = 0

    def head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Set the status and headers of the answer."""
        self._handler.set_status(status)
        self._handler.clear_header("Content-Type")
        for field in headers:
            self._handler.add_header(field.name, field.value)

    def data(self, data: bytes) -> None:
        """Write bytes; a caller that reads too slowly is cut off."""
        handler = self._handler
        if handler._finished:
            return
        handler.write(data)
        future = handler.flush()
        if future.done():
            return
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            handler.on_connection_close()
            return
        future.add_done_callback(lambda done: self._sent(done, len(data)))

    def _sent(self, future: "asyncio.Future[None]", size: int) -> None:
        self._unsent_bytes -= size
        if not future.cancelled() and future.exception() is not None:
            if not isinstance(future.exception(), iostream.StreamClosedError):
                _LOG.warning("write failed", reason=str(future.exception()))


def bad_request(found: findings.Findings) -> problems.Problem:
    """Return the refusal of a malformed request with all its findings."""
    items = found.all()
    detail = "; ".join(str(item) for item in items)
    return problems.Problem(problems.ProblemKind.BAD_REQUEST, detail, found=items)


def _enabled(account: configuration.Account) -> configuration.Account:
    if account.enabled:
        return account
    kind = problems.ProblemKind.FORBIDDEN
    raise problems.ProblemError(
        problems.Problem(kind, "the client account is disabled")
    )


def _unauthenticated(detail: str) -> problems.Problem:
    return problems.Problem(problems.ProblemKind.UNAUTHENTICATED, detail)


def _stopping() -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.LEAVING,
        "this entry is shutting down",
        retry_after_ms=100,
    )


def _too_many() -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.OVERLOADED,
        "too many requests are open at this entry",
        retry_after_ms=1_000,
    )


_KIND_BY_STATUS: Final = {
    404: problems.ProblemKind.NOT_FOUND,
    405: problems.ProblemKind.METHOD_NOT_ALLOWED,
    413: problems.ProblemKind.TOO_LARGE,
}
