"""Finds the requests, and the parts of prompts, that crash backend servers.

Load pattern: requests that crash every server which runs them keep arriving at all
gateways.  Either one request is sent again and again, or requests share one part of
their prompts and nothing else; sound requests share their account and other parts.
Each crash also ends the sound requests that run beside the one at fault.

A broken answer alone is no crash, as connections are reset for other reasons.  It is
recorded as a suspicion, and counts as a crash only once its server is known to have
ended.  See `crash_findings` for the terms.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from quincecrank import crash_counts
from quincecrank.gateway import crash_findings, servers

CONFIRMATION_TIMEOUT_MS: Final = 4_000
"""Time within which a crash must be confirmed: a server renews its entry about every
second, and the entry is missing after three."""

CRASH_LIMIT: Final = 3
"""Crashes from which a request, or a part of prompts, is rejected.  Two may be
coincidence, as other requests run beside the one that crashes a server."""

DOUBTFUL_CRASH_LIMIT: Final = 5
"""Crashes from which a suspect is rejected that was once answered, or that stands in
less than half of the crashes meanwhile, as servers then crash for other reasons."""

MIN_UNEXPLAINED_CRASHES: Final = 2
"""Crashes that a part needs beside those that the finding of another part explains."""

SUSPECT_CRASHES: Final = 1
"""Crashes from which requests with a part of prompts are not sent a second time."""

ESTABLISHED_MS: Final = 50
"""Time from an answer's first part after which the server has survived its beginning.
"""

SIMULTANEOUS_MS: Final = 50
"""Time within which crashes of several servers count once for a part of prompts."""

DECISION_DELAY_MS: Final = 200
"""Time from the last crash that a finding needs to the finding: the records of all
gateways must arrive, as they distinguish the part at fault from those beside it."""

PUBLISH_MS: Final = 3_000
"""Time for which a crash is published to the peers, since datagrams get lost."""

MAX_TRANSIT_MS: Final = 1_000
"""Longest time that a report between gateways takes, unread time included.  What a peer
reported of an answer is passed on as that much older, so that it never gets younger."""

MAX_PUBLISHED: Final = 24
"""Bound of the crash records in one datagram, and of the cleared suspects."""

MAX_RECORDS: Final = 32
"""Bound of the crash records of one suspect, the newest ones."""

MAX_SUSPECTS: Final = 10_000
"""Bound of the suspects with records; those with the oldest last record are removed."""

MAX_ANSWERED: Final = 16_384
"""Bound of the suspects of which the last answer is remembered."""

_UNEXPLAINED: Final = crash_findings.SuspectKey("")
"""Stands for the cause of crashes that a wrong finding explained."""


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A request as evidence of crashes.

    Attributes
    ----------
    parts : tuple of SuspectKey
        Shared parts of its prompt, in order.
    """

    request: crash_counts.CrashKey
    parts: tuple[crash_findings.SuspectKey, ...] = ()

    @property
    def keys(self) -> tuple[crash_findings.SuspectKey, ...]:
        """All suspects of the request: the request itself and the parts."""
        return (crash_findings.request_key(self.request), *self.parts)


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """One request that was running at a server when it crashed.

    Attributes
    ----------
    server : str
        Incarnation that crashed, as `ID/START`; each counts once for a suspect.
    at_ms : int
        Time at which the answer broke off, on this gateway's clock.
    ran_ms : int
        Time for which the request had been at the server.
    parts : tuple of SuspectKey
        Shared parts of its prompt; empty if the answer was established, as the server
        then crashed for another reason.
    """

    request: crash_counts.CrashKey
    server: str
    at_ms: int
    ran_ms: int
    parts: tuple[crash_findings.SuspectKey, ...] = ()

    @property
    def sent_ms(self) -> int:
        """Time at which the request was sent."""
        return self.at_ms - self.ran_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A request whose answer broke off, while it is unknown whether its server ended.

    Attributes
    ----------
    started_wall_ms : int
        Start time of the server, which identifies its incarnation.
    """

    record: CrashRecord
    server_id: servers.ServerId
    started_wall_ms: int

    @property
    def at_ms(self) -> int:
        """Time at which the answer broke off."""
        return self.record.at_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A suspect that was answered; `at_ms` is the time on this gateway's clock."""

    key: crash_findings.SuspectKey
    at_ms: int


class CrashSuspicions:
    """Suspicions of one gateway, and the crashes and findings of all gateways.

    Invariants:

    - Only crashes after the last answer to a suspect count, at any gateway and in
      whatever order crashes and answers become known.
    - The crashes of a part of prompts are those of different requests, and
      `SIMULTANEOUS_MS` apart.  So servers that end together, or one request that is
      repeated while servers end, make one crash.
    - A suspect that was once answered, or that stands in less than half of the crashes,
      needs more of them.
    - A request that was sent after its server had crashed is no evidence.
    - A crash with a request that a finding rejects counts for no request beside it.  Of
      the parts that stand in the same crashes, the last one is found first.  Another
      part of these prompts is found, and ends that finding, if it stands in further
      crashes without the last one.

    Parameters
    ----------
    has_ended : callable
        Returns whether the server incarnation of a suspicion has ended.
    crash_limit : int
        Crashes from which a suspect is found.
    """

    def __init__(
        self,
        has_ended: Callable[[Suspicion], bool],
        crash_limit: int = CRASH_LIMIT,
    ) -> None:
        self._has_ended = has_ended
        self._crash_limit = crash_limit
        self._suspicions: list[Suspicion] = []
        self._records_by_key: collections.OrderedDict[
            crash_findings.SuspectKey, list[CrashRecord]
        ] = collections.OrderedDict()
        self._answered_ms_by_key: collections.OrderedDict[
            crash_findings.SuspectKey, int
        ] = collections.OrderedDict()
        self._own_answered: set[crash_findings.SuspectKey] = set()
        self._crash_ms_by_server: dict[str, int] = {}
        self._explaining_key_by_server: dict[str, crash_findings.SuspectKey] = {}
        self._to_publish: list[tuple[int, CrashRecord]] = []
        self._answered_to_publish: dict[
            crash_findings.SuspectKey, tuple[int, Answered]
        ] = {}
        self._ended: list[crash_findings.Finding] = []
        self._candidates: dict[crash_findings.SuspectKey, None] = {}
        self.findings = crash_findings.Findings()

    def finding_against(self, subject: Subject) -> crash_findings.Finding | None:
        """Return a finding for which a request must be rejected; None without one."""
        if not self.findings.active_count:
            return None
        return self.findings.find_any(subject.keys, subject.request.account)

    def may_repeat(self, subject: Subject) -> bool:
        """Return whether a request with a broken answer may be sent once more.

        Not if a part of its prompt has crashed `SUSPECT_CRASHES` servers since it was
        last answered.
        """
        return all(
            len(self._counted(key)) < SUSPECT_CRASHES
            for key in subject.parts
            if key in self._records_by_key
        )

    def record_broken_answer(
        self,
        subject: Subject,
        server: servers.ServerEntry,
        sent_ms: int,
        now_ms: int,
        *,
        is_established: bool = False,
    ) -> None:
        """Record that a server ended the answer to a request before it was complete.

        Parameters
        ----------
        sent_ms : int
            Time at which the request was sent.
        is_established : bool
            Whether the answer's first part had arrived `ESTABLISHED_MS` before.
        """
        record = CrashRecord(
            subject.request,
            f"{server.server_id}/{server.started_wall_ms}",
            now_ms,
            now_ms - sent_ms,
            () if is_established else subject.parts,
        )
        self._suspicions.append(
            Suspicion(record, server.server_id, server.started_wall_ms)
        )

    def discard_suspicions(self, incarnation: servers.Incarnation) -> None:
        """Discard the suspicions of a server that still runs."""
        self._suspicions = [
            each
            for each in self._suspicions
            if (each.server_id, each.started_wall_ms)
            != (incarnation.server_id, incarnation.started_wall_ms)
        ]

    def record_answer(self, subject: Subject, now_ms: int) -> None:
        """Record that a server has answered a request, which clears its suspects."""
        for key in subject.keys:
            self._clear(Answered(key, now_ms), now_ms, is_own=True)

    def confirm_crashes(self, now_ms: int) -> tuple[CrashRecord, ...]:
        """Return the records of the suspicions that are crashes, and count them.

        Discards suspicions that were not confirmed within `CONFIRMATION_TIMEOUT_MS`.
        """
        if not self._suspicions:
            return ()
        confirmed = [each for each in self._suspicions if self._has_ended(each)]
        self._suspicions = [
            each
            for each in self._suspicions
            if each not in confirmed and now_ms - each.at_ms < CONFIRMATION_TIMEOUT_MS
        ]
        records = tuple(each.record for each in confirmed)
        self.merge(records, now_ms)
        self._to_publish += [(now_ms, record) for record in records]
        return records

    def merge(self, records: Iterable[CrashRecord], now_ms: int) -> None:
        """Count crashes, found here or published by a peer.

        `decide` makes the findings to which they lead.
        """
        for record in records:
            self._record_crash_time(record)
            for key in (crash_findings.request_key(record.request), *record.parts):
                if self._add(key, record, now_ms):
                    self._candidates[key] = None
        while len(self._records_by_key) > MAX_SUSPECTS:
            self._records_by_key.popitem(last=False)

    @property
    def is_decision_pending(self) -> bool:
        """Whether `decide` has something to consider or to return."""
        return bool(self._candidates or self._ended)

    def decide(self, now_ms: int) -> tuple[crash_findings.Finding, ...]:
        """Make the findings for which there are enough crashes.

        One after the other, as a finding explains crashes of the parts beside it.
        Returns them, and those that have ended since the last call.
        """
        made, self._ended = self._ended, []
        while True:
            counted_by_scope = {}
            for key in tuple(self._candidates):
                found = self._found_scope(key)
                if found is None:
                    del self._candidates[key]
                elif now_ms - found[1][-1].at_ms >= _decision_delay_ms(found[1]):
                    counted_by_scope[found[0]] = found[1]
            if not counted_by_scope:
                return tuple(made)
            scope = max(
                counted_by_scope,
                key=lambda each: (
                    crash_findings.is_part(each.key),
                    len(counted_by_scope[each]),
                    each.key not in self._answered_ms_by_key,
                    _depth(each.key, counted_by_scope[each][-1]),
                ),
            )
            named = tuple(each.server for each in counted_by_scope[scope])
            made += self._end_covered_findings(scope.key, now_ms)
            made.append(self.findings.add(scope, named, now_ms))
            self._explain_crashes(scope.key)

    def apply_peer_answers(self, answered: Iterable[Answered], now_ms: int) -> None:
        """Apply the answers that a peer has published."""
        for each in answered:
            self._clear(each, now_ms, is_own=False)

    def apply_finding(self, finding: crash_findings.Finding, now_ms: int) -> bool:
        """Apply a finding of a peer or of the store; return whether it is newer."""
        is_newer = self.findings.apply(finding, now_ms)
        if is_newer and finding.has_ended:
            self._forget(finding.scope.key)
        elif is_newer:
            self._explain_crashes(finding.scope.key)
        return is_newer

    def to_publish(self, now_ms: int) -> tuple[CrashRecord, ...]:
        """Return the newest crash records to publish; those with parts come first."""
        self._to_publish = [
            each for each in self._to_publish if now_ms - each[0] < PUBLISH_MS
        ]
        newest = reversed([record for _, record in self._to_publish])
        return tuple(sorted(newest, key=lambda each: not each.parts)[:MAX_PUBLISHED])

    def answers_to_publish(self, now_ms: int) -> tuple[Answered, ...]:
        """Return the newest cleared suspects to publish to the peers."""
        self._answered_to_publish = {
            key: each
            for key, each in self._answered_to_publish.items()
            if now_ms - each[0] < PUBLISH_MS
        }
        published = tuple(each for _, each in self._answered_to_publish.values())
        return published[-MAX_PUBLISHED:]

    def _publish_answer(self, answered: Answered, now_ms: int) -> None:
        self._answered_to_publish.pop(answered.key, None)
        self._answered_to_publish[answered.key] = (now_ms, answered)

    def _record_crash_time(self, record: CrashRecord) -> None:
        known_ms = self._crash_ms_by_server.pop(record.server, record.at_ms)
        self._crash_ms_by_server[record.server] = min(known_ms, record.at_ms)
        while len(self._crash_ms_by_server) > servers.MAX_LEAVING:
            del self._crash_ms_by_server[next(iter(self._crash_ms_by_server))]

    def _add(
        self, key: crash_findings.SuspectKey, record: CrashRecord, now_ms: int
    ) -> bool:
        """Add a record to a suspect; return whether it is new and not cleared."""
        answered_ms = self._answered_ms_by_key.get(key)
        if answered_ms is not None:
            # The peers may not know that it was ever answered.
            is_own = key in self._own_answered
            published_ms = answered_ms if is_own else answered_ms - MAX_TRANSIT_MS
            self._publish_answer(Answered(key, published_ms), now_ms)
            if answered_ms >= record.at_ms:
                return False
        records = self._records_by_key.setdefault(key, [])
        self._records_by_key.move_to_end(key)
        if any(
            each.server == record.server and each.request == record.request
            for each in records
        ):
            return False
        records.append(record)
        del records[:-MAX_RECORDS]
        if crash_findings.is_part(key) and self.findings.find_any(
            (key,), record.request.account
        ):
            self._explaining_key_by_server.setdefault(record.server, key)
        return True

    def _explain_crashes(self, key: crash_findings.SuspectKey) -> None:
        """Record which crashes a finding of a part of prompts explains."""
        if not crash_findings.is_part(key):
            return
        for record in self._records_by_key.get(key, ()):
            self._explaining_key_by_server.setdefault(record.server, key)
        while len(self._explaining_key_by_server) > servers.MAX_LEAVING:
            oldest = next(iter(self._explaining_key_by_server))
            del self._explaining_key_by_server[oldest]

    def _clear(self, answered: Answered, now_ms: int, *, is_own: bool) -> None:
        key = answered.key
        known_ms = self._answered_ms_by_key.pop(key, None)
        is_latest = known_ms is None or answered.at_ms > known_ms
        self._answered_ms_by_key[key] = (
            answered.at_ms if known_ms is None else max(known_ms, answered.at_ms)
        )
        if is_latest and is_own:
            self._own_answered.add(key)
        elif is_latest:
            self._own_answered.discard(key)
        if len(self._answered_ms_by_key) > MAX_ANSWERED:
            oldest, _ = self._answered_ms_by_key.popitem(last=False)
            self._own_answered.discard(oldest)
        if self.findings.active_count:
            self._end_answered_findings(answered, now_ms)
        records = self._records_by_key.get(key)
        if records is None:
            return
        kept = [each for each in records if each.at_ms > answered.at_ms]
        if len(kept) == len(records):
            return
        if is_own:
            self._publish_answer(answered, now_ms)
        if kept:
            self._records_by_key[key] = kept
        else:
            del self._records_by_key[key]

    def _end_answered_findings(self, answered: Answered, now_ms: int) -> None:
        """End the findings that an answer shows to be wrong; earlier ones show nothing.

        `decide` returns them.
        """
        for finding in self.findings.states(now_ms):
            if (
                finding.scope.key != answered.key
                or answered.at_ms <= now_ms - finding.age_ms
            ):
                continue
            ended = self.findings.end(finding.scope, now_ms)
            if ended is not None:
                self._forget(answered.key)
                self._ended.append(ended)

    def _end_covered_findings(
        self, key: crash_findings.SuspectKey, now_ms: int
    ) -> list[crash_findings.Finding]:
        """End the findings of parts all of whose crashes a new finding explains."""
        ended = []
        for finding in self.findings.states(now_ms):
            records = self._records_by_key.get(finding.scope.key, [])
            if finding.scope.key == key or not records:
                continue
            if all(key in each.parts for each in records):
                state = self.findings.end(finding.scope, now_ms)
                if state is not None:
                    self._forget(finding.scope.key)
                    ended.append(state)
        return ended

    def _forget(self, key: crash_findings.SuspectKey) -> None:
        """Remove what is known against a suspect whose finding has ended.

        The crashes that the finding explained count for no other suspect either.
        """
        self._records_by_key.pop(key, None)
        for server, explaining in self._explaining_key_by_server.items():
            if explaining == key:
                self._explaining_key_by_server[server] = _UNEXPLAINED

    def _counted(self, key: crash_findings.SuspectKey) -> list[CrashRecord]:
        """Return the records that make the crashes of a suspect, one for each crash.

        A crash that a finding explains counts only if the found part stands in the same
        prompt.
        """
        is_part = crash_findings.is_part(key)
        counted: list[CrashRecord] = []
        for record in sorted(self._records_by_key[key], key=lambda each: each.at_ms):
            crash_ms = self._crash_ms_by_server.get(record.server, record.at_ms)
            explaining = self._explaining_key_by_server.get(record.server, key)
            if (
                record.sent_ms > crash_ms
                or (explaining != key and explaining not in record.parts)
                or any(each.server == record.server for each in counted)
            ):
                continue
            if is_part and counted and not _is_next_crash(record, counted):
                continue
            counted.append(record)
        return counted

    def _count_crashes_since(self, key: crash_findings.SuspectKey, at_ms: int) -> int:
        """Return the crashes since a time that no finding of another key explains.

        Those within `SIMULTANEOUS_MS` count once.
        """
        times_ms = sorted(
            crash_ms
            for server, crash_ms in self._crash_ms_by_server.items()
            if crash_ms >= at_ms
            and self._explaining_key_by_server.get(server, key) == key
        )
        count = 0
        last_ms: int | None = None
        for crash_ms in times_ms:
            if last_ms is None or crash_ms - last_ms >= SIMULTANEOUS_MS:
                count += 1
                last_ms = crash_ms
        return count

    def _found_scope(
        self, key: crash_findings.SuspectKey
    ) -> tuple[crash_findings.Scope, list[CrashRecord]] | None:
        """Return the scope in which a suspect must be found, with its crashes.

        A part is found for the account whose requests crashed `crash_limit` servers,
        or for all accounts if crashes of a second one count: one account alone can't
        have the parts of others rejected.
        """
        counted = self._counted(key) if key in self._records_by_key else []
        if len(counted) < self._crash_limit:
            return None
        explained = sum(
            self._explaining_key_by_server.get(each.server, key) != key
            for each in counted
        )
        if explained and len(counted) - explained < MIN_UNEXPLAINED_CRASHES:
            return None
        if len(counted) < DOUBTFUL_CRASH_LIMIT:
            crashes = self._count_crashes_since(key, counted[0].at_ms)
            if key in self._answered_ms_by_key or 2 * len(counted) < crashes:
                return None
        accounts = {each.request.account for each in counted}
        if not crash_findings.is_part(key) or len(accounts) > 1:
            scope = crash_findings.Scope(key)
            return None if self.findings.find(scope) else (scope, counted)
        scope = crash_findings.Scope(key, accounts.pop())
        if self.findings.find(scope) or self.findings.find(crash_findings.Scope(key)):
            return None
        return scope, counted


def _is_next_crash(record: CrashRecord, counted: list[CrashRecord]) -> bool:
    """Return whether a record of a part of prompts makes one more crash."""
    return record.at_ms - counted[-1].at_ms >= SIMULTANEOUS_MS and all(
        each.request != record.request for each in counted
    )


def _decision_delay_ms(counted: list[CrashRecord]) -> int:
    """Return the delay of a decision; none if there is no part to blame instead."""
    return DECISION_DELAY_MS if counted[-1].parts else 0


def _depth(key: crash_findings.SuspectKey, record: CrashRecord) -> int:
    """Return the place of a part in its prompt; 0 for a whole request."""
    return record.parts.index(key) + 1 if key in record.parts else 0
