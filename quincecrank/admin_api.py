"""HTTP handlers of the administration API."""

from collections.abc import Awaitable
from typing import Any, Final

import pydantic
from tornado import web

from quincecrank import (
    access,
    admin_messages,
    commands,
    findings,
    ids,
    problems,
    status_server,
)

_SOURCE: Final = "body"


Rule = tuple[str, type[web.RequestHandler], dict[str, object]]


def rules(
    services: commands.CommandServices, tokens: access.OperatorTokens
) -> list[Rule]:
    """Return the routing rules; the last one answers every other path with 404."""
    arguments: dict[str, object] = {"services": services, "tokens": tokens}
    return [
        (admin_messages.COMMANDS_PATH, CommandsHandler, arguments),
        (r".*", _NotFoundHandler, {}),
    ]


def application(
    services: commands.CommandServices, tokens: access.OperatorTokens
) -> web.Application:
    """Return an application that serves only the administration API."""
    return web.Application(list(rules(services, tokens)))


class _ProblemHandler(web.RequestHandler):
    """Base of handlers that answer every error with a problem document."""

    def send_problem(self, problem: problems.Problem) -> None:
        """Finish the request with `problem`."""
        self.set_status(problem.status)
        self.set_header("Content-Type", problems.PROBLEM_CONTENT_TYPE)
        if problem.kind is problems.ProblemKind.UNAUTHENTICATED:
            self.set_header("WWW-Authenticate", "Bearer")
        if problem.retry_after_ms:
            self.set_header("Retry-After", str(problem.retry_after_seconds))
        self.finish(problem.to_json(ids.random_id("req-")))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send a problem document for an error raised by tornado or a handler."""
        kinds = problems.ProblemKind
        if status_code == 405:
            self.send_problem(problems.Problem(kinds.METHOD_NOT_ALLOWED, "use POST"))
        elif status_code == 404:
            self.send_problem(problems.Problem(kinds.NOT_FOUND, "no such path"))
        elif status_code < 500:
            self.send_problem(problems.Problem(kinds.BAD_REQUEST, "malformed request"))
        else:
            detail = "the command failed in an unforeseen way; see the log"
            ran = problems.Ran.UNKNOWN
            self.send_problem(problems.Problem(kinds.OUTCOME_UNKNOWN, detail, ran))


class _NotFoundHandler(_ProblemHandler, status_server.DiscardingHandler):
    """Answers every path that the API does not have."""

    def prepare(self) -> None:
        """Reject every method."""
        self.send_error(404)


@web.stream_request_body
class CommandsHandler(_ProblemHandler):
    """Executes the query or change that an authenticated operator posts."""

    def initialize(
        self, services: commands.CommandServices, tokens: access.OperatorTokens
    ) -> None:
        """Store the dependencies that the routing rule passes."""
        self._services = services
        self._tokens = tokens
        self._body = bytearray()
        self._operator = ""

    def prepare(self) -> None:
        """Authenticate the operator before the body is read."""
        authorization = self.request.headers.get("Authorization")
        token = access.bearer_credential(authorization)
        operator = self._tokens.find(token) if token is not None else None
        if operator is None:
            kind = problems.ProblemKind.UNAUTHENTICATED
            self.send_problem(problems.Problem(kind, "send an operator's bearer token"))
            return
        self._operator = operator

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer the body up to one byte more than allowed, to detect a larger one."""
        space = admin_messages.MAX_BODY_BYTES + 1 - len(self._body)
        self._body += chunk[:space]
        return None

    async def post(self) -> None:
        """Execute the text in the body."""
        if len(self._body) > admin_messages.MAX_BODY_BYTES:
            detail = f"a body holds at most {admin_messages.MAX_BODY_BYTES} bytes"
            kind = problems.ProblemKind.TOO_LARGE
            self.send_problem(problems.Problem(kind, detail))
            return
        try:
            request = admin_messages.CommandRequest.model_validate_json(
                bytes(self._body), strict=True
            )
        except pydantic.ValidationError as error:
            self.send_problem(_bad_body_problem(error))
            return
        decided_on = None
        if request.version is not None:
            decided_on = ids.ConfigurationVersion(request.version)
        outcome = await commands.execute(
            request.text, decided_on, self._operator, self._services
        )
        if outcome.is_error():
            self.send_problem(outcome.error)
            return
        self._send_answer(outcome.ok)

    def _send_answer(self, outcome: commands.CommandOutcome) -> None:
        table = admin_messages.TableBody(
            columns=outcome.table.columns, rows=outcome.table.rows
        )
        created_keys = tuple(
            admin_messages.CreatedKeyBody(
                account=key.account, key_id=key.key_id, key=key.key
            )
            for key in outcome.created_keys
        )
        answer = admin_messages.CommandAnswer(
            version=outcome.version, table=table, created_keys=created_keys
        )
        self.set_header("Content-Type", "application/json")
        self.set_header("Cache-Control", "no-store")
        self.finish(answer.model_dump_json())


def _bad_body_problem(error: pydantic.ValidationError) -> problems.Problem:
    found = findings.Findings()
    for item in error.errors(include_url=False, include_input=False):
        field = ".".join(str(part) for part in item["loc"])
        found.add(findings.Place(_SOURCE, field=field), item["msg"])
    return problems.Problem(
        problems.ProblemKind.BAD_REQUEST,
        'the body must be JSON: {"text": ..., "version": N}',
        found=found.all(),
    )
