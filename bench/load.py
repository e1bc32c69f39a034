"""`quince-load`: sends the requests of a trace to entries and verifies every answer.

The load is open-loop: each request is sent at its time in the trace, whether or not
earlier ones have been answered.  Latencies count from that time, so that delays of the
load generator itself are included.
"""

import asyncio
import dataclasses
import enum
import json
import pathlib
from collections.abc import Mapping
from typing import Final

import fire
import pycurl
from tornado import curl_httpclient, httpclient, httputil

from bench import trace
from quincecrank import block_keys, curl_client, http_base, ids
from quincecrank import clock as clocks
from standins import answers

MAX_OPEN_REQUESTS: Final = 512
WARM_UP_CONCURRENCY: Final = 12
WARM_UP_DELAY_MS: Final = 3000
"""Pause before the warm-up, in which agents query the stores."""

SETTLE_MS: Final = 1500
"""Pause in which the blocks of the last requests are written to the stores."""

_CLIENT_GRACE_S: Final = 10
"""Time that the client waits for an answer beyond the request's deadline."""

_DATA: Final = b"data:"


class Outcome(enum.Enum):
    """Result of one request."""

    ANSWERED = "answered"
    """Complete and as expected."""

    WRONG = "wrong"
    """Complete, but with another text than expected."""

    REFUSED = "refused"
    """Answered with an error status and a problem document."""

    FAILED = "failed"
    """Without a complete answer or problem document."""


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """One request as observed by its caller.

    Attributes
    ----------
    first_token_ms, total_ms : float
        Times since the request's time in the trace; 0 without a complete answer.
    late : bool
        Whether the first token of an answer came after the deadline.
    cached_tokens : int
        Prompt tokens that were not recomputed.
    problem : str
        Problem type of a refusal, or the reason of a failure.
    sent_late_ms : float
        Delay of the load generator itself.
    request_id : str
        Id of the request in the product's logs.
    """

    number: int
    account: ids.AccountName
    at_ms: int
    outcome: Outcome
    late: bool = False
    first_token_ms: float = 0.0
    total_ms: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    problem: str = ""
    retry_after_ms: int = 0
    sent_late_ms: float = 0.0
    request_id: str = ""


@dataclasses.dataclass(frozen=True)
class Target:
    """The entries to send requests to, and what is needed to verify their answers.

    Attributes
    ----------
    urls : tuple of str
        Base URLs of the entries, used in turn.
    keys_by_account : mapping
        API keys of the client accounts.
    account_secret : bytes
        Secret that cache salts are derived from.
    """

    urls: tuple[str, ...]
    keys_by_account: Mapping[ids.AccountName, str]
    account_secret: bytes
    weight_version: ids.WeightVersion


class _Answer:
    """Collects the server-sent events of one answer."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._partial_line = b""
        self.first_token_ms = 0
        self.texts: list[str] = []
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.done = False
        self.request_id = ""
        self.body = b""

    def receive(self, chunk: bytes) -> None:
        """Parse the next chunk of the response body."""
        if len(self.body) < 65_536:
            self.body += chunk
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        for line in lines:
            if line.startswith(_DATA):
                self._record_event(line.removeprefix(_DATA).strip())

    def _record_event(self, data: bytes) -> None:
        if data == b"[DONE]":
            self.done = True
            return
        event = json.loads(data)
        self.request_id = event["id"]
        usage = event.get("usage")
        if usage:
            self.prompt_tokens = usage["prompt_tokens"]
            self.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
        for choice in event.get("choices", ()):
            if choice.get("text"):
                self.first_token_ms = self.first_token_ms or self._clock.now_ms()
                self.texts.append(choice["text"])


class LoadGenerator:
    """Runs one trace against one target."""

    def __init__(self, traced: trace.Trace, target: Target) -> None:
        self._trace = traced
        self._target = target
        self._clock = clocks.SystemClock()
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_OPEN_REQUESTS
        )

    async def warm_up(self) -> tuple[RequestRecord, ...]:
        """Send one request for each context, `WARM_UP_CONCURRENCY` at a time."""
        await self._clock.sleep(WARM_UP_DELAY_MS)
        slots = asyncio.Semaphore(WARM_UP_CONCURRENCY)

        async def send(request: trace.TraceRequest) -> RequestRecord:
            async with slots:
                return await self._send(request, self._clock.now_ms())

        requests = self._trace.warm_up
        records = await asyncio.gather(*(send(request) for request in requests))
        await self.settle()
        return tuple(records)

    async def run(self) -> tuple[RequestRecord, ...]:
        """Send the measured requests, each at its time in the trace."""
        start_ms = self._clock.now_ms()
        tasks = []
        for request in self._trace.measured:
            at_ms = start_ms + request.at_ms
            await self._clock.sleep(max(0, at_ms - self._clock.now_ms()))
            tasks.append(asyncio.ensure_future(self._send(request, at_ms)))
        return tuple(await asyncio.gather(*tasks))

    async def settle(self) -> None:
        """Wait until the blocks of the last requests have been written."""
        await self._clock.sleep(SETTLE_MS)

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()

    async def _send(self, request: trace.TraceRequest, at_ms: int) -> RequestRecord:
        prompt = request.prompt()
        answer = _Answer(self._clock)
        sent_late_ms = self._clock.now_ms() - at_ms
        record = RequestRecord(
            request.number,
            request.context.account,
            request.at_ms,
            Outcome.FAILED,
            sent_late_ms=sent_late_ms,
        )
        try:
            response = await self._fetch(request, prompt, answer)
        except (httpclient.HTTPError, OSError, pycurl.error) as error:
            return dataclasses.replace(record, problem=str(error)[:80])
        if response.code != 200:
            return _refused(record, response, answer.body)
        if not answer.done:
            return dataclasses.replace(record, problem="cut off")
        return self._verify(record, request, prompt, answer, at_ms)

    async def _fetch(
        self, request: trace.TraceRequest, prompt: str, answer: _Answer
    ) -> httpclient.HTTPResponse:
        """Send a request; like a load balancer, skip entries that cannot be reached."""
        urls = self._target.urls
        for number in range(len(urls) - 1):
            url = urls[(request.number + number) % len(urls)]
            try:
                return await self._client.fetch(
                    self._http_request(url, request, prompt, answer), raise_error=False
                )
            except curl_httpclient.CurlError as error:
                if not curl_client.never_connected(error):
                    raise
        url = urls[(request.number - 1) % len(urls)]
        return await self._client.fetch(
            self._http_request(url, request, prompt, answer), raise_error=False
        )

    def _http_request(
        self, url: str, request: trace.TraceRequest, prompt: str, answer: _Answer
    ) -> httpclient.HTTPRequest:
        profile = self._trace.profile
        body = {
            "model": profile.deployment,
            "prompt": prompt,
            "max_tokens": trace.ANSWER_TOKENS,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        key = self._target.keys_by_account[request.context.account]
        headers = httputil.HTTPHeaders()
        headers["Authorization"] = f"Bearer {key}"
        headers["Content-Type"] = "application/json"
        headers[http_base.DEADLINE_HEADER] = str(profile.deadline_ms)
        return httpclient.HTTPRequest(
            f"{url}/v1/completions",
            method="POST",
            headers=headers,
            body=json.dumps(body, ensure_ascii=False).encode(),
            streaming_callback=answer.receive,
            request_timeout=profile.deadline_ms / 1000 + _CLIENT_GRACE_S,
        )

    def _verify(
        self,
        record: RequestRecord,
        request: trace.TraceRequest,
        prompt: str,
        answer: _Answer,
        at_ms: int,
    ) -> RequestRecord:
        salt = block_keys.cache_salt(
            self._target.account_secret, request.context.account
        )
        expected = answers.expected_answer(
            prompt, salt, self._target.weight_version, "", trace.ANSWER_TOKENS
        )
        is_expected = "".join(answer.texts) == expected
        first_token_ms = answer.first_token_ms - at_ms
        return dataclasses.replace(
            record,
            outcome=Outcome.ANSWERED if is_expected else Outcome.WRONG,
            late=first_token_ms > self._trace.profile.deadline_ms,
            first_token_ms=first_token_ms,
            total_ms=self._clock.now_ms() - at_ms,
            prompt_tokens=answer.prompt_tokens,
            cached_tokens=answer.cached_tokens,
            request_id=answer.request_id,
        )


def _refused(
    record: RequestRecord, response: httpclient.HTTPResponse, body: bytes
) -> RequestRecord:
    problem, retry_after_ms = f"status {response.code}", 0
    try:
        document = json.loads(body or response.body or b"")
        problem = str(document["type"]).rpartition(":")[2]
        retry_after_ms = int(document.get("retry_after_ms", 0))
    except (ValueError, KeyError):
        return dataclasses.replace(record, problem=problem)
    return dataclasses.replace(
        record, outcome=Outcome.REFUSED, problem=problem, retry_after_ms=retry_after_ms
    )


def main(target: str, workload: str = "sajha", seed: int = 1, output: str = "") -> None:
    """Run one trace against a running fleet.

    Parameters
    ----------
    target : str
        JSON file with ``urls``, ``keys_by_account``, ``account_secret`` and
        ``weight_version``.
    workload : str
        A value of `trace.Workload`.
    output : str
        File for the records as JSON; standard output when empty.
    """
    document = json.loads(pathlib.Path(target).read_text())
    parsed_target = Target(
        tuple(document["urls"]),
        document["keys_by_account"],
        document["account_secret"].encode(),
        ids.WeightVersion(document["weight_version"]),
    )
    traced = trace.make_trace(trace.Workload(workload), seed)
    records = asyncio.run(drive(traced, parsed_target))
    text = json.dumps([as_document(record) for record in records], indent=1)
    if output:
        pathlib.Path(output).write_text(text)
    else:
        print(text)


async def drive(traced: trace.Trace, target: Target) -> tuple[RequestRecord, ...]:
    """Run the warm-up and the measured part; return the records of the latter."""
    generator = LoadGenerator(traced, target)
    try:
        await generator.warm_up()
        return await generator.run()
    finally:
        generator.close()


def as_document(record: RequestRecord) -> dict[str, object]:
    """Return a record as a JSON object."""
    return {**dataclasses.asdict(record), "outcome": record.outcome.value}


if __name__ == "__main__":
    fire.Fire(main)
