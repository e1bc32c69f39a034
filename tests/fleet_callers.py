"""Callers and operators of a fleet of real processes, who record each outcome."""

import concurrent.futures
import contextlib
import dataclasses
import http.client
import json
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from typing import Any, Final, TypeVar
from urllib import parse

from quincecrank import ids
from tests import builders_fleet, history_checkers

CALL_TIMEOUT_S: Final = 60.0
WATCH_INTERVAL_S: Final = 0.05

Result = TypeVar("Result")


class Callers:
    """Callers of a fleet; they record every result for the history checks.

    Attributes
    ----------
    prompts : list of PromptResult
        Results of `ask`, in order of their ends.
    calls : list of CallResult
        Results of `call`, in order of their ends.
    """

    def __init__(self, fleet: builders_fleet.ObservedFleet) -> None:
        self.fleet = fleet
        self.prompts: list[history_checkers.PromptResult] = []
        self.calls: list[history_checkers.CallResult] = []
        self._pool = concurrent.futures.ThreadPoolExecutor(64)

    def close(self) -> None:
        """Wait for the calls that are running."""
        self._pool.shutdown()

    def start(
        self, function: Callable[..., Result], *given: Any, **options: Any
    ) -> "concurrent.futures.Future[Result]":
        """Call `function` in a thread of the pool and return its future."""
        return self._pool.submit(function, *given, **options)

    def ask(
        self,
        prompt: str,
        *,
        account: ids.AccountName = builders_fleet.ROOM,
        entry: int = 0,
        max_tokens: int = builders_fleet.MAX_TOKENS,
        versions: tuple[ids.WeightVersion, ...] = (builders_fleet.V1,),
        streamed: bool = True,
    ) -> history_checkers.PromptResult:
        """Send a prompt through an entry and record the result."""
        result = history_checkers.PromptResult(account, prompt, max_tokens, versions)
        body = {
            "model": builders_fleet.MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": streamed,
            "stream_options": {"include_usage": True},
        }
        started = time.monotonic()
        with self._connection(entry) as connection:
            result = _exchange_prompt(
                connection, self._headers(account), body, result, streamed
            )
        taken_ms = round((time.monotonic() - started) * 1000)
        result = dataclasses.replace(result, duration_ms=taken_ms)
        self.prompts.append(result)
        return result

    def call(
        self,
        key: str,
        body: str = "bulletin",
        *,
        account: ids.AccountName = builders_fleet.ROOM,
        entry: int = 0,
        deadline_ms: int = 0,
    ) -> history_checkers.CallResult:
        """Send a release with an idempotency key, empty for none; record the result."""
        result = history_checkers.CallResult(account, key, body)
        headers = self._headers(account)
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms:
            headers["Request-Deadline-Ms"] = str(deadline_ms)
        with self._connection(entry) as connection:
            result = _exchange_call(connection, headers, body, result)
        self.calls.append(result)
        return result

    def call_until_final(
        self, key: str, body: str = "bulletin", *, seconds: float = 20.0, entry: int = 0
    ) -> history_checkers.CallResult:
        """Repeat a call, through each entry in turn, until its outcome is final.

        Final are a success and the problem `outcome-unknown`.  Returns the last result,
        whatever it is, after `seconds`.
        """
        end = time.monotonic() + seconds
        entries = len(self.fleet.entries)
        while True:
            result = self.call(key, body, entry=entry % entries, deadline_ms=3_000)
            is_final = result.succeeded or result.kind == "outcome-unknown"
            if is_final or time.monotonic() > end:
                return result
            entry += 1
            time.sleep(0.1)

    def status(self, path: str, document: dict[str, object], entry: int) -> int:
        """Send a request that is not recorded; return its status, 0 for no answer."""
        data = json.dumps(document).encode()
        headers = self._headers(builders_fleet.ROOM)
        headers["Idempotency-Key"] = ids.random_id("ready-")
        url = self.fleet.entries[entry].url + path
        request = urllib.request.Request(url, data, headers)
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return int(response.status)
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    def run_command(self, text: str, *, version: int, entry: int = 0) -> dict[str, Any]:
        """Run a command of the command language; return the answer and its status."""
        document = {"text": text, "version": version}
        headers = {
            "Authorization": f"Bearer {self.fleet.operator_token}",
            "Content-Type": "application/json",
        }
        url = f"{self.fleet.admin_url(entry)}/admin/v1/commands"
        data = json.dumps(document).encode()
        request = urllib.request.Request(url, data, headers)
        try:
            with urllib.request.urlopen(request, timeout=30) as response:
                answer: dict[str, Any] = json.loads(response.read())
                return {"status": response.status, **answer}
        except urllib.error.HTTPError as error:
            return {"status": error.code, **json.loads(error.read())}

    def metric(self, name: str, entry: int) -> float:
        """Return the value of an entry's metric, summed over its labels."""
        url = f"{self.fleet.admin_url(entry)}/metrics"
        with urllib.request.urlopen(url, timeout=10) as response:
            lines = response.read().decode().splitlines()
        return sum(
            float(line.rpartition(" ")[2])
            for line in lines
            if line.startswith((f"{name} ", f"{name}{{"))
        )

    def _headers(self, account: ids.AccountName) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self.fleet.keys_by_account[account]}",
            "Content-Type": "application/json",
        }

    @contextlib.contextmanager
    def _connection(self, entry: int) -> Iterator[http.client.HTTPConnection]:
        port = parse.urlsplit(self.fleet.entries[entry].url).port
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=CALL_TIMEOUT_S
        )
        try:
            yield connection
        finally:
            connection.close()


def _exchange_prompt(
    connection: http.client.HTTPConnection,
    headers: dict[str, str],
    body: dict[str, object],
    result: history_checkers.PromptResult,
    streamed: bool,
) -> history_checkers.PromptResult:
    """Send one prompt and return the result, also of an incomplete answer."""
    try:
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        result = dataclasses.replace(result, status=response.status)
        if response.status != 200:
            return _with_problem(result, json.loads(response.read()))
        if not streamed:
            document = json.loads(response.read())
            text = document["choices"][0]["text"]
            return dataclasses.replace(result, text=text, is_complete=True)
        return _read_stream(response, result)
    except (OSError, http.client.HTTPException, ValueError):
        return result


def _read_stream(
    response: http.client.HTTPResponse, result: history_checkers.PromptResult
) -> history_checkers.PromptResult:
    parts: list[str] = []
    with contextlib.suppress(OSError, http.client.HTTPException):
        while line := response.readline():
            if line.strip() == b"data: [DONE]" and not result.kind:
                result = dataclasses.replace(result, is_complete=True)
            elif line.startswith(b"data: {"):
                event = json.loads(line.removeprefix(b"data: "))
                result = _with_event(result, event, parts)
    return dataclasses.replace(result, text="".join(parts))


def _with_event(
    result: history_checkers.PromptResult, event: dict[str, Any], parts: list[str]
) -> history_checkers.PromptResult:
    """Apply one event of a stream: tokens, the token counts, or an error."""
    if "error" in event:
        return dataclasses.replace(result, kind=event["error"]["type"])
    parts.extend(each.get("text", "") for each in event["choices"])
    usage = event.get("usage")
    if not usage:
        return result
    cached = usage["prompt_tokens_details"]["cached_tokens"]
    return dataclasses.replace(result, cached_tokens=cached)


def _with_problem(
    result: history_checkers.PromptResult, problem: dict[str, Any]
) -> history_checkers.PromptResult:
    return dataclasses.replace(
        result,
        is_complete=True,
        ran=problem.get("ran", ""),
        kind=problem.get("type", "").rpartition(":")[2],
        retry_after_ms=problem.get("retry_after_ms", 0),
    )


def _exchange_call(
    connection: http.client.HTTPConnection,
    headers: dict[str, str],
    body: str,
    result: history_checkers.CallResult,
) -> history_checkers.CallResult:
    """Send one call and return the result, also if no answer arrived."""
    try:
        path = f"/services/{builders_fleet.SERVICE}/releases"
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        result = dataclasses.replace(
            result,
            status=response.status,
            request_id=response.headers.get("X-Request-Id", ""),
            replayed=response.headers.get("Idempotency-Replayed") == "true",
        )
        document = json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError):
        return result
    return dataclasses.replace(
        result,
        is_complete=True,
        number=document.get("number", 0),
        ran=document.get("ran", ""),
        kind=document.get("type", "").rpartition(":")[2],
        retry_after_ms=document.get("retry_after_ms", 0),
    )


class VersionRecorder:
    """Records the configuration version of each process, in a thread."""

    def __init__(self, callers: Callers) -> None:
        self.observations: list[history_checkers.Observation] = []
        self._callers = callers
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "VersionRecorder":
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(WATCH_INTERVAL_S):
            for number, process in enumerate(self._callers.fleet.entries):
                with contextlib.suppress(OSError, ValueError):
                    self._observe(number, f"{process.name}/{process.pid}")

    def _observe(self, number: int, name: str) -> None:
        sent_ms = time.time_ns() // 1_000_000
        shown = self._callers.metric("quince_configuration_version", number)
        self._record(name, sent_ms, int(shown))
        answer = self._callers.run_command("show agents", version=0, entry=number)
        columns = answer["table"]["columns"]
        for row in answer["table"]["rows"]:
            cells = dict(zip(columns, row, strict=True))
            agent = f"{cells['backend-server']}/{cells['incarnation']} by {name}"
            # The version in the row dates from the agent's last heartbeat.
            at_ms = sent_ms - int(cells["heartbeat-age-ms"])
            self._record(agent, at_ms, int(cells["configuration-version"]))

    def _record(self, process: str, wall_ms: int, version: int) -> None:
        # A process that has just started has no version and shows 0.
        if version:
            seen = history_checkers.Observation(process, wall_ms, version)
            self.observations.append(seen)
