"""Recognizes requests that come back after they were turned away.

Load pattern: under overload many callers are refused and come back, mostly at another
gateway and after the time within which their answer would have been on time.  Placed
like new ones they take the places of requests that can still be on time, whose callers
come back in turn, until most answers are late.  So gateways tell each other which
requests they turned away, and the time of a request counts from its first attempt.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from typing import Final, NewType

from quincecrank import crash_counts
from quincecrank.gateway import prompts

RequestKey = NewType("RequestKey", int)
"""What is equal in all attempts of one request: 64 bits of a digest."""

KEEP_MS: Final = 8_000
"""Time for which a request is remembered: twice the longest time to come back."""

TELL_MS: Final = 700
"""Time for which peers are told of a request, since datagrams get lost: two reports
of a large fleet."""

MAX_KEPT: Final = 8_192
"""Requests remembered: a thousand turned away in each second."""

MAX_TOLD: Final = 48
"""Requests told in one report, the newest ones: some 600 bytes."""


def request_key(
    fingerprint: crash_counts.RequestFingerprint, prompt: prompts.Prompt
) -> RequestKey:
    """Return the key of a request for a model's answer."""
    digest = hashlib.blake2b(fingerprint.digest, digest_size=8)
    digest.update(fingerprint.account.encode())
    for part in prompt.parts:
        digest.update(b"\0" + part.part_id.encode())
    return RequestKey(int.from_bytes(digest.digest(), "little"))


@dataclasses.dataclass(frozen=True, slots=True)
class TurnedAway:
    """A request that got no answer of a backend server.

    Attributes
    ----------
    age_ms : int
        Time since its first attempt.
    """

    key: RequestKey
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """`is_own` tells whether this gateway turned it away, and not a peer."""

    began_ms: int
    heard_ms: int
    is_own: bool


class FirstAttempts:
    """Aggregate of the requests that were turned away lately, by any gateway."""

    def __init__(self) -> None:
        self._attempt_by_key: dict[RequestKey, _Attempt] = {}

    def began_ms(self, key: RequestKey, received_ms: int) -> int:
        """Return when the first attempt of a request began."""
        attempt = self._attempt_by_key.get(key)
        if attempt is None or received_ms - attempt.heard_ms > KEEP_MS:
            return received_ms
        return min(attempt.began_ms, received_ms)

    def turned_away(self, key: RequestKey, began_ms: int, now_ms: int) -> None:
        """Record that this gateway answered a request without a backend server."""
        self._keep(key, _Attempt(began_ms, now_ms, is_own=True))

    def take(self, told: Iterable[TurnedAway], now_ms: int) -> None:
        """Take what a peer has turned away."""
        for each in told:
            began_ms = now_ms - each.age_ms
            known = self._attempt_by_key.get(each.key)
            if known is None or now_ms - known.heard_ms > KEEP_MS:
                self._keep(each.key, _Attempt(began_ms, now_ms, is_own=False))

    def to_tell(self, now_ms: int) -> tuple[TurnedAway, ...]:
        """Return the requests that the peers are told of, the newest first."""
        told: list[TurnedAway] = []
        for key, attempt in reversed(self._attempt_by_key.items()):
            if now_ms - attempt.heard_ms > TELL_MS or len(told) >= MAX_TOLD:
                break
            if attempt.is_own:
                told.append(TurnedAway(key, now_ms - attempt.began_ms))
        return tuple(told)

    def _keep(self, key: RequestKey, attempt: _Attempt) -> None:
        # Kept in the order in which they were heard of.
        self._attempt_by_key.pop(key, None)
        self._attempt_by_key[key] = attempt
        while len(self._attempt_by_key) > MAX_KEPT or self._is_oldest_forgotten(
            attempt.heard_ms
        ):
            del self._attempt_by_key[next(iter(self._attempt_by_key))]

    def _is_oldest_forgotten(self, now_ms: int) -> bool:
        oldest = next(iter(self._attempt_by_key.values()))
        return now_ms - oldest.heard_ms > KEEP_MS
