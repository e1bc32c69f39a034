"""Checkers of histories: what callers received against what backend servers did.

A checker returns one line for each violation, so an empty list if there is none.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from quincecrank import block_keys, ids
from standins import answers

LEAVING_LIMIT_MS: Final = 3_000
"""Time after which a leaving backend server must receive no new work."""

CONFIGURATION_LIMIT_MS: Final = 5_000
"""Time from acceptance until a version must be in force everywhere."""


@dataclasses.dataclass(frozen=True)
class PromptResult:
    """What the caller of one prompt received.

    Attributes
    ----------
    status : int
        HTTP status, 0 if the connection ended before it.
    is_complete : bool
        Whether the answer is complete.
    versions : tuple of WeightVersion
        Weight versions of which any one may have produced the answer.
    ran, kind : str
        Fields of the problem document, empty if there is none.
    """

    account: ids.AccountName
    prompt: str
    max_tokens: int
    versions: tuple[ids.WeightVersion, ...]
    status: int = 0
    text: str = ""
    is_complete: bool = False
    ran: str = ""
    kind: str = ""
    retry_after_ms: int = 0
    cached_tokens: int = 0
    duration_ms: int = 0


@dataclasses.dataclass(frozen=True)
class CallResult:
    """What the caller of a plain service received for one call.

    Attributes
    ----------
    request_id : str
        Id that the system assigned, empty if no answer arrived.
    number : int
        Sequence number in the answer of the service, 0 for none.
    """

    account: ids.AccountName
    key: str
    body: str
    status: int = 0
    request_id: str = ""
    number: int = 0
    is_complete: bool = False
    replayed: bool = False
    ran: str = ""
    kind: str = ""
    retry_after_ms: int = 0

    @property
    def succeeded(self) -> bool:
        """Return whether the answer is complete and reports success."""
        return self.is_complete and 200 <= self.status < 300


@dataclasses.dataclass(frozen=True)
class Effect:
    """One record that a plain service wrote."""

    server: str
    wall_ms: int
    account: str
    key: str
    body: str
    request_id: str


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One prompt or call that reached a backend server."""

    server: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Observation:
    """The configuration version that one process reported.

    Attributes
    ----------
    process : str
        Name and incarnation of the process, and its observer.
    """

    process: str
    wall_ms: int
    version: int


def wrong_answers(results: Iterable[PromptResult], secret: bytes) -> list[str]:
    """Check every byte of every answer against its own request.

    A complete answer must equal the expected one for the account, the prompt and one
    of the weight versions; an answer that broke off must be a prefix of it.
    """
    found = []
    for result in results:
        expected = _expected_texts(result, secret)
        if result.is_complete and result.status == 200:
            is_right = result.text in expected
        else:
            is_right = any(text.startswith(result.text) for text in expected)
        if not is_right:
            found.append(
                f"{result.account} asked ...{result.prompt[-24:]!r} and got"
                f" {result.text[:24]!r} (whole: {result.is_complete})"
            )
    return found


def foreign_answers(
    results: Iterable[PromptResult],
    accounts: Sequence[ids.AccountName],
    secret: bytes,
) -> list[str]:
    """Find answers that belong to the salt of another client account."""
    found = []
    for result in results:
        for other in accounts:
            if other == result.account or not result.text:
                continue
            foreign = dataclasses.replace(result, account=other)
            if result.text in _expected_texts(foreign, secret):
                found.append(f"{result.account} got the answer of {other}")
    return found


def _expected_texts(result: PromptResult, secret: bytes) -> list[str]:
    salt = block_keys.cache_salt(secret, result.account)
    return [
        answers.expected_answer(result.prompt, salt, version, "", result.max_tokens)
        for version in result.versions
    ]


def repeated_effects(effects: Iterable[Effect]) -> list[str]:
    """Find keys with more than one record, over all services and incarnations."""
    servers_by_key: dict[tuple[str, str], list[str]] = collections.defaultdict(list)
    for effect in effects:
        if effect.key:
            servers_by_key[effect.account, effect.key].append(effect.server)
    return [
        f"key {key} of {account} ran {len(servers)} times: {servers}"
        for (account, key), servers in servers_by_key.items()
        if len(servers) > 1
    ]


def repeated_requests(effects: Iterable[Effect]) -> list[str]:
    """Find requests that ran more than once, with an idempotency key or without."""
    counts = collections.Counter(effect.request_id for effect in effects)
    return [
        f"request {request_id} ran {count} times"
        for request_id, count in counts.items()
        if request_id and count > 1
    ]


def executed_not_run_answers(
    results: Iterable[CallResult], effects: Iterable[Effect]
) -> list[str]:
    """Find requests that were answered "not run" although they ran."""
    ran = {effect.request_id for effect in effects}
    return [
        f"request {result.request_id} (key {result.key}) was answered not-run and ran"
        for result in results
        if result.ran == "not-run" and result.request_id in ran
    ]


def successes_without_effect(
    results: Iterable[CallResult], effects: Iterable[Effect]
) -> list[str]:
    """Find successes without a record of the same account, key and body."""
    ran = {(effect.account, effect.key, effect.body) for effect in effects}
    return [
        f"key {result.key} of {result.account} was answered {result.status}, no record"
        for result in results
        if result.succeeded and (result.account, result.key, result.body) not in ran
    ]


def different_replays(results: Iterable[CallResult]) -> list[str]:
    """Find keys for which callers received different outcomes."""
    numbers_by_key: dict[tuple[str, str], set[int]] = collections.defaultdict(set)
    for result in results:
        if result.key and result.succeeded:
            numbers_by_key[result.account, result.key].add(result.number)
    return [
        f"key {key} of {account} has the outcomes {sorted(numbers)}"
        for (account, key), numbers in numbers_by_key.items()
        if len(numbers) > 1
    ]


def call_violations(
    results: Sequence[CallResult], effects: Sequence[Effect]
) -> list[str]:
    """Apply every check of calls to plain services."""
    return [
        *repeated_effects(effects),
        *repeated_requests(effects),
        *executed_not_run_answers(results, effects),
        *successes_without_effect(results, effects),
        *different_replays(results),
    ]


def decreasing_versions(observations: Iterable[Observation]) -> list[str]:
    """Find processes that returned to an older configuration version."""
    newest_by_process: dict[str, int] = {}
    found = []
    for seen in sorted(observations, key=lambda each: each.wall_ms):
        newest = newest_by_process.get(seen.process, 0)
        if seen.version < newest:
            found.append(f"{seen.process} went from {newest} back to {seen.version}")
        newest_by_process[seen.process] = max(newest, seen.version)
    return found


def late_versions(
    observations: Iterable[Observation],
    accepted_ms_by_version: Mapping[int, int],
) -> list[str]:
    """Find processes that still had an older version after the time limit."""
    found = []
    for seen in observations:
        due = [
            version
            for version, accepted_ms in accepted_ms_by_version.items()
            if accepted_ms + CONFIGURATION_LIMIT_MS < seen.wall_ms
        ]
        if due and seen.version < max(due):
            found.append(f"{seen.process} had {seen.version}, {max(due)} was due")
    return found


def late_arrivals(
    arrivals: Iterable[Arrival], leaving_ms_by_server: Mapping[str, int]
) -> list[str]:
    """Find work that reached a leaving backend server after the time limit."""
    return [
        f"{arrival.server} got work {arrival.wall_ms - since} ms after it left"
        for arrival in arrivals
        if (since := leaving_ms_by_server.get(arrival.server)) is not None
        and arrival.wall_ms > since + LEAVING_LIMIT_MS
    ]


def unfinished_requests(
    prompts: Iterable[PromptResult], calls: Iterable[CallResult] = ()
) -> list[str]:
    """Find requests without a final answer, or whose answer broke off.

    The answer "not run" is final, as the caller can send the request again.
    """
    found = [
        f"prompt ...{each.prompt[-24:]!r}: status {each.status}, {each.kind} {each.ran}"
        for each in prompts
        if not each.is_complete or (each.status != 200 and each.ran != "not-run")
    ]
    found.extend(
        f"call {each.key} {each.body}: status {each.status}, {each.kind} {each.ran}"
        for each in calls
        if not each.is_complete or (not each.succeeded and each.ran != "not-run")
    )
    return found
