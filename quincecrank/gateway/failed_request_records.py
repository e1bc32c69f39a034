"""Recognizes retries of requests that a gateway has failed.

Load pattern: under overload many requests are rejected and sent again, mostly to
another gateway and when their answer can't be on time any more.  Placed like new
requests they use the capacity of requests that can still be on time, whose callers
retry in turn, until most answers are late.  So gateways publish the requests that they
failed, and the target of a request counts from its first attempt.

A failed request is one that a gateway rejected, or for which it has no successful
answer of a backend server.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from typing import Final, NewType

from quincecrank import crash_counts
from quincecrank.gateway import prompts

RequestKey = NewType("RequestKey", int)
"""64-bit digest that is equal for all attempts of one request."""

RETENTION_MS: Final = 8_000
"""Time for which a failed request is retained: twice the longest retry time."""

PUBLISH_MS: Final = 700
"""Time for which a request is published to the peers, since datagrams get lost: two
reports of a large fleet."""

MAX_RETAINED: Final = 8_192
"""Bound of the retained requests: a thousand failures per second."""

MAX_PUBLISHED: Final = 48
"""Bound of the requests in one report, the newest ones: some 600 bytes."""


def request_key(
    fingerprint: crash_counts.CrashKey, prompt: prompts.Prompt
) -> RequestKey:
    """Return the key of a model request, from its account, body and prompt parts."""
    digest = hashlib.blake2b(fingerprint.digest, digest_size=8)
    digest.update(fingerprint.account.encode())
    for part in prompt.parts:
        digest.update(b"\0" + part.part_id.encode())
    return RequestKey(int.from_bytes(digest.digest(), "little"))


@dataclasses.dataclass(frozen=True, slots=True)
class FailedRequest:
    """A request that a gateway has failed, as published to the peers.

    Attributes
    ----------
    age_ms : int
        Time since its first attempt.
    """

    key: RequestKey
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _FirstAttempt:
    """First attempt of a failed request; `is_own` if this gateway failed it."""

    at_ms: int
    recorded_ms: int
    is_own: bool


class FailedRequests:
    """The requests that any gateway has failed within the last `RETENTION_MS`.

    Invariant: ordered by the time at which this gateway failed them or received them
    from a peer.
    """

    def __init__(self) -> None:
        self._attempt_by_key: dict[RequestKey, _FirstAttempt] = {}

    def first_attempt_ms(self, key: RequestKey, received_ms: int) -> int:
        """Return the time of a request's first attempt.

        Equals `received_ms`, its arrival here, if no earlier attempt is retained.
        """
        attempt = self._attempt_by_key.get(key)
        if attempt is None or received_ms - attempt.recorded_ms > RETENTION_MS:
            return received_ms
        return min(attempt.at_ms, received_ms)

    def record_failure(
        self, key: RequestKey, first_attempt_ms: int, now_ms: int
    ) -> None:
        """Record that this gateway has failed a request.

        Parameters
        ----------
        first_attempt_ms : int
            Time of its first attempt.
        """
        self._retain(key, _FirstAttempt(first_attempt_ms, now_ms, is_own=True))

    def apply_peer_failures(self, failed: Iterable[FailedRequest], now_ms: int) -> None:
        """Record requests that a peer has failed, except those already retained."""
        for each in failed:
            first_attempt_ms = now_ms - each.age_ms
            retained = self._attempt_by_key.get(each.key)
            if retained is None or now_ms - retained.recorded_ms > RETENTION_MS:
                self._retain(
                    each.key, _FirstAttempt(first_attempt_ms, now_ms, is_own=False)
                )

    def to_publish(self, now_ms: int) -> tuple[FailedRequest, ...]:
        """Return the requests that this gateway failed, to publish, newest first."""
        failed: list[FailedRequest] = []
        for key, attempt in reversed(self._attempt_by_key.items()):
            if (
                now_ms - attempt.recorded_ms > PUBLISH_MS
                or len(failed) >= MAX_PUBLISHED
            ):
                break
            if attempt.is_own:
                failed.append(FailedRequest(key, now_ms - attempt.at_ms))
        return tuple(failed)

    def _retain(self, key: RequestKey, attempt: _FirstAttempt) -> None:
        self._attempt_by_key.pop(key, None)
        self._attempt_by_key[key] = attempt
        while len(self._attempt_by_key) > MAX_RETAINED or self._is_oldest_expired(
            attempt.recorded_ms
        ):
            del self._attempt_by_key[next(iter(self._attempt_by_key))]

    def _is_oldest_expired(self, now_ms: int) -> bool:
        oldest = next(iter(self._attempt_by_key.values()))
        return now_ms - oldest.recorded_ms > RETENTION_MS
