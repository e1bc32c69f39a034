"""`quincectl`: command-line client for operators.

The methods of `Quincectl` only check their arguments and return a task.  `main` runs
the task after fire has accepted the complete command line, so that a misspelt option
is reported before any change is made.
"""

import asyncio
import enum
import os
import pathlib
import sys
from collections.abc import Callable, Sequence
from typing import Final

import expression
import fire
from fire import decorators

from quincecrank import (
    admin_client,
    admin_messages,
    command_model,
    command_parser,
    ctl_help,
    ctl_output,
    findings,
    problems,
    request_timeline,
    settings,
)

DEFAULT_ENDPOINT: Final = "http://127.0.0.1:8081"
ENDPOINT_VARIABLE: Final = "QUINCECTL_ENDPOINT"
TOKEN_FILE_VARIABLE: Final = "QUINCECTL_TOKEN_FILE"
REQUEST_TIMEOUT_MS: Final = 15_000


class ExitCode(enum.IntEnum):
    """Exit codes of `quincectl`; see ``quincectl help exit-codes``."""

    DONE = 0
    MISTAKES = 1
    USAGE = 2
    STALE_VERSION = 3
    UNAUTHENTICATED = 4
    UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6


class UsageError(Exception):
    """Invalid arguments; the message says what is expected."""


class Task:
    """An action that runs after the complete command line has been accepted.

    It has no public members, because fire would offer them as further commands.
    """

    def __init__(self, action: Callable[[], ExitCode]) -> None:
        self._action = action


class Quincectl:
    """Inspects and changes a fleet. See `quincectl help`."""

    def run(
        self,
        text: str,
        json: str | bool = False,
        endpoint: str | None = None,
        token_file: str | None = None,
        version: str | None = None,
        ca_file: str | None = None,
    ) -> Task:
        """Run a query or a change, for example `quincectl run "show agents"`."""
        target = _build_endpoint(endpoint, token_file, ca_file)
        request = _build_request(text, version)
        as_json = _parse_flag(json)
        return Task(
            lambda: _send(target, request, command_parser.SOURCE, as_json=as_json)
        )

    def apply(
        self,
        file: str,
        json: str | bool = False,
        endpoint: str | None = None,
        token_file: str | None = None,
        version: str | None = None,
        ca_file: str | None = None,
    ) -> Task:
        """Run the query or the change that a file holds."""
        target = _build_endpoint(endpoint, token_file, ca_file)
        request = _build_request(_read_text(file), version)
        as_json = _parse_flag(json)
        return Task(lambda: _send(target, request, file, as_json=as_json))

    def check(self, file: str) -> Task:
        """Check the settings file of an entry or an agent."""
        return Task(lambda: _check(file))

    def explain(self, request_id: str, logs: str) -> Task:
        """Tell what happened to a request, from a folder of collected logs."""
        return Task(lambda: _explain(request_id, pathlib.Path(logs)))

    def help(self, topic: str | None = None) -> Task:
        """Explain the language and this program."""
        return Task(lambda: _help(topic))


# Without this, fire parses arguments such as `a, b` or `7` as Python values.
for _method in (
    Quincectl.run,
    Quincectl.apply,
    Quincectl.check,
    Quincectl.explain,
    Quincectl.help,
):
    decorators.SetParseFn(str)(_method)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run `quincectl` and exit the process with an `ExitCode`."""
    command = list(sys.argv[1:] if arguments is None else arguments)
    try:
        task = fire.Fire(
            Quincectl, command or ["help"], "quincectl", serialize=_serialize_nothing
        )
    except UsageError as error:
        print(f"quincectl: {error}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    if not isinstance(task, Task):
        sys.exit(ExitCode.USAGE)
    sys.exit(task._action())


def _serialize_nothing(result: object) -> None:
    """Serialize fire's result as nothing, so that fire does not print the task."""


def _parse_flag(value: str | bool) -> bool:
    if value in (True, "True", "true", "yes"):
        return True
    if value in (False, "False", "false", "no"):
        return False
    raise UsageError("--json takes no value")


def _build_endpoint(
    url: str | None, token_file: str | None, ca_file: str | None
) -> admin_client.Endpoint:
    url = url or os.environ.get(ENDPOINT_VARIABLE) or DEFAULT_ENDPOINT
    if not url.startswith(("http://", "https://")):
        raise UsageError(f"--endpoint {url!r} is not an http or https URL")
    token_file = token_file or os.environ.get(TOKEN_FILE_VARIABLE)
    if not token_file:
        raise UsageError(f"--token-file or {TOKEN_FILE_VARIABLE} must name a file")
    token = _read_text(token_file).strip()
    if not token or not token.isascii() or not token.isprintable():
        raise UsageError(f"{token_file!r} does not hold a token")
    return admin_client.Endpoint(url, token, REQUEST_TIMEOUT_MS, ca_file)


def _read_text(file: str) -> str:
    try:
        return pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise UsageError(f"cannot read {file!r}: {error}") from error


def _build_request(text: str, version: str | None) -> admin_messages.CommandRequest:
    if version is None:
        return admin_messages.CommandRequest(text=text)
    if not version.isascii() or not version.isdigit():
        raise UsageError(f"--version {version!r} is not a configuration version")
    return admin_messages.CommandRequest(text=text, version=int(version))


def _send(
    endpoint: admin_client.Endpoint,
    request: admin_messages.CommandRequest,
    source: str,
    *,
    as_json: bool,
) -> ExitCode:
    try:
        reply = asyncio.run(_send_with_version(endpoint, request))
    except admin_client.EndpointUnreachableError as error:
        print(f"quincectl: {endpoint.url}: {error} (not-run)", file=sys.stderr)
        return ExitCode.UNAVAILABLE
    except admin_client.AnswerLostError as error:
        print(f"quincectl: {endpoint.url}: {error} (unknown)", file=sys.stderr)
        return ExitCode.OUTCOME_UNKNOWN
    if reply.is_ok():
        text = reply.ok.model_dump_json() if as_json else ctl_output.answer(reply.ok)
        print(text)
        return ExitCode.DONE
    problem = reply.error
    if as_json:
        print(problem.model_dump_json())
    else:
        print(ctl_output.problem(problem, source), file=sys.stderr)
    return _exit_code(problem)


async def _send_with_version(
    endpoint: admin_client.Endpoint, request: admin_messages.CommandRequest
) -> admin_client.Answer:
    """Send `request`; a change without a version gets the one now in force."""
    parsed = command_parser.parse(request.text)
    needs_version = (
        parsed.is_ok()
        and isinstance(parsed.ok, command_model.CommandText)
        and parsed.ok.decided_on is None
        and request.version is None
    )
    if needs_version:
        query = admin_messages.CommandRequest(text=admin_client.VERSION_QUERY)
        latest = await admin_client.send(endpoint, query)
        if latest.is_error():
            return latest
        request = request.model_copy(update={"version": latest.ok.version})
    return await admin_client.send(endpoint, request)


def _exit_code(problem: admin_messages.ProblemBody) -> ExitCode:
    kinds = problems.ProblemKind
    kind = problem.type.rpartition(":")[2]
    if problem.ran == problems.Ran.UNKNOWN.value:
        return ExitCode.OUTCOME_UNKNOWN
    if kind == kinds.STALE_VERSION.value:
        return ExitCode.STALE_VERSION
    if kind == kinds.UNAUTHENTICATED.value:
        return ExitCode.UNAUTHENTICATED
    if problem.status >= 500:
        return ExitCode.UNAVAILABLE
    return ExitCode.MISTAKES


def _check(file: str) -> ExitCode:
    program = settings.program_of(file)
    load: Callable[[str], expression.Result[object, findings.Findings]]
    load = settings.load_entry
    if program is settings.ProgramName.AGENT:
        load = settings.load_agent
    result = load(file)
    if result.is_error():
        print(result.error, file=sys.stderr)
        return ExitCode.MISTAKES
    print(f"{file}: valid settings of {program.value}")
    return ExitCode.DONE


def _explain(request_id: str, folder: pathlib.Path) -> ExitCode:
    try:
        lines = tuple(request_timeline.read_lines(folder))
    except OSError as error:
        print(f"quincectl: --logs: {error}", file=sys.stderr)
        return ExitCode.USAGE
    trace = request_timeline.find_timeline(lines, request_id)
    print(trace.render())
    return ExitCode.DONE if trace.lines else ExitCode.MISTAKES


def _help(topic: str | None) -> ExitCode:
    text = ctl_help.text(topic)
    if text is None:
        print(ctl_help.unknown_topic(topic or ""), file=sys.stderr)
        return ExitCode.USAGE
    print(text, end="")
    return ExitCode.DONE


if __name__ == "__main__":
    main()
