"""Findings: what is rejected because it crashes the backend servers that run it.

Terms
-----
suspect
    What may be the cause of a crash: a whole request, or one shared part of a prompt.
finding
    A suspect whose requests are rejected by all gateways.  It lasts until an answer
    shows that it is wrong, or an operator removes its row.
retest
    One request that is sent although a finding rejects it, to show whether the finding
    still holds.  The right to send it is a write to the finding's row, so that all
    gateways together send one.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from typing import Final, NewType

from quincecrank import checked_values, crash_counts, ids
from quincecrank.gateway import prompts

SuspectKey = NewType("SuspectKey", str)
"""Identifies a suspect: `request ACCOUNT DIGEST` or `part MODEL PART`."""

RETEST_DELAYS_MS: Final = (60_000, 600_000)
"""Times from a finding to its first retest, and from each retest to the next.  There
are few, as each retest of a true finding ends a server and the answers that run there.
"""

MAX_FINDINGS: Final = 256
"""Bound of the findings in memory; the oldest are removed."""

MAX_PUBLISHED: Final = 32
"""Bound of the findings in one report.  More of them take turns."""

MAX_SERVERS: Final = 5
"""Servers that a finding names as its evidence."""

MAX_KEY_BYTES: Final = 500
"""Longest key of a suspect: two names and more."""

MAX_REVISION: Final = checked_values.MAX_UINT32
MAX_RETESTS: Final = checked_values.MAX_UINT16
"""Largest numbers that a report between gateways can hold."""

_MAX_SERVER_BYTES: Final = checked_values.MAX_NAME_BYTES + 20
"""Longest `ID/START` of an incarnation."""

_PART_PREFIX: Final = "part "


def request_key(request: crash_counts.CrashKey) -> SuspectKey:
    """Return the key of a whole request."""
    return SuspectKey(f"request {request.account} {request.digest.hex()}")


def part_keys(prompt: prompts.Prompt | None) -> tuple[SuspectKey, ...]:
    """Return the keys of the shared parts of a prompt, in order.

    A part is the same for all client accounts, as equal ids have equal text.
    """
    if prompt is None:
        return ()
    return tuple(
        _checked_key(f"{_PART_PREFIX}{prompt.model} {part.part_id}")
        for part in prompt.shared_parts
    )


def _checked_key(text: str) -> SuspectKey:
    """Return a key that is a digest if the text, which a caller sent, is odd."""
    try:
        return SuspectKey(checked_values.name(text, MAX_KEY_BYTES))
    except ValueError:
        digest = hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
        return SuspectKey(f"{_PART_PREFIX}{digest}")


def is_part(key: SuspectKey) -> bool:
    """Return whether a suspect is a part of a prompt."""
    return key.startswith(_PART_PREFIX)


def checked_finding(finding: "Finding") -> "Finding":
    """Return a finding of another process, with at most `MAX_SERVERS` servers.

    Raises
    ------
    ValueError
        If it has a text or number that this process could not publish.
    """
    checked_values.name(finding.scope.key, MAX_KEY_BYTES)
    if finding.scope.account is not None:
        checked_values.name(finding.scope.account)
    checked_values.count(finding.revision, MAX_REVISION)
    checked_values.count(finding.retests, MAX_RETESTS)
    for each in finding.servers[:MAX_SERVERS]:
        checked_values.name(each, _MAX_SERVER_BYTES)
    return dataclasses.replace(finding, servers=finding.servers[:MAX_SERVERS])


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """What a finding applies to.

    Attributes
    ----------
    account : AccountName or None
        Only the requests of this client account are rejected; None for all accounts.
    """

    key: SuspectKey
    account: ids.AccountName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """State of a finding.

    Attributes
    ----------
    revision : int
        Number of the finding among those of its scope.
    has_ended : bool
        Whether the finding was wrong, or an operator has removed it.
    retests : int
        Retests so far.
    age_ms : int
        Time since the finding, or since its last retest.
    servers : tuple of str
        Incarnations whose crashes led to the finding, as `ID/START`.
    """

    scope: Scope
    revision: int
    has_ended: bool
    retests: int
    age_ms: int
    servers: tuple[str, ...] = ()

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Orders the states of one scope; the highest holds."""
        return (self.revision, self.has_ended, self.retests)


class Findings:
    """Aggregate of the findings that one gateway knows.

    Invariant: the state of a scope only moves to a higher `Finding.rank`, so gateways
    that exchange states in any order, and any number of times, agree.
    """

    def __init__(self) -> None:
        self._finding_by_scope: dict[Scope, Finding] = {}
        self._since_ms_by_scope: dict[Scope, int] = {}
        self._first_published = 0
        self.active_count = 0

    @property
    def has_any(self) -> bool:
        """Whether there is any finding, ended ones included."""
        return bool(self._finding_by_scope)

    def find(self, scope: Scope) -> Finding | None:
        """Return the finding of a scope in force; None without one."""
        finding = self._finding_by_scope.get(scope)
        return None if finding is None or finding.has_ended else finding

    def find_any(
        self, keys: Iterable[SuspectKey], account: ids.AccountName
    ) -> Finding | None:
        """Return a finding in force for any suspect; None without one."""
        if not self.active_count:
            return None
        for key in keys:
            finding = self.find(Scope(key)) or self.find(Scope(key, account))
            if finding is not None:
                return finding
        return None

    def add(self, scope: Scope, servers: tuple[str, ...], now_ms: int) -> Finding:
        """Put a new finding in force."""
        previous = self._finding_by_scope.get(scope)
        revision = 1 if previous is None else min(previous.revision + 1, MAX_REVISION)
        finding = Finding(scope, revision, False, 0, 0, servers[:MAX_SERVERS])
        self.apply(finding, now_ms)
        return finding

    def end(self, scope: Scope, now_ms: int) -> Finding | None:
        """End a finding; return its last state, or None if none was in force."""
        finding = self.find(scope)
        if finding is None:
            return None
        ended = dataclasses.replace(finding, has_ended=True, age_ms=0)
        self.apply(ended, now_ms)
        return ended

    def apply(self, finding: Finding, now_ms: int) -> bool:
        """Apply a state, of this gateway or a peer; return whether it is newer."""
        known = self._finding_by_scope.get(finding.scope)
        if known is not None and known.rank >= finding.rank:
            return False
        self._finding_by_scope.pop(finding.scope, None)
        self._finding_by_scope[finding.scope] = finding
        self._since_ms_by_scope[finding.scope] = now_ms - finding.age_ms
        while len(self._finding_by_scope) > MAX_FINDINGS:
            oldest = next(iter(self._finding_by_scope))
            del self._finding_by_scope[oldest]
            del self._since_ms_by_scope[oldest]
        self.active_count = sum(
            not each.has_ended for each in self._finding_by_scope.values()
        )
        return True

    def states(self, now_ms: int) -> tuple[Finding, ...]:
        """Return the states of all scopes, ended ones included."""
        return tuple(
            dataclasses.replace(
                each, age_ms=max(0, now_ms - self._since_ms_by_scope[each.scope])
            )
            for each in self._finding_by_scope.values()
        )

    def to_publish(self, now_ms: int) -> tuple[Finding, ...]:
        """Return the states for the next report that contains findings.

        All of them, not only changes: a gateway that starts, wakes or was cut off
        learns them from any peer's report.
        """
        states = self.states(now_ms)
        if len(states) <= MAX_PUBLISHED:
            return states
        first = self._first_published % len(states)
        self._first_published += MAX_PUBLISHED
        return (states[first:] + states[:first])[:MAX_PUBLISHED]

    def is_retest_due(self, finding: Finding, now_ms: int) -> bool:
        """Return whether the time of a finding's next retest has come."""
        if finding.retests >= len(RETEST_DELAYS_MS):
            return False
        since_ms = self._since_ms_by_scope.get(finding.scope, now_ms)
        return now_ms - since_ms >= RETEST_DELAYS_MS[finding.retests]
