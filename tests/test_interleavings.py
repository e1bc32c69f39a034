"""Explores every order of claims, cancellations and proposals, with faults.

The scenarios and properties are those of `models/at_most_once.pml` and
`models/configuration.pml`, applied to the code itself.  The exploration must also find
a violation when one of the guards is removed.
"""

import contextlib
import functools
import unittest
from collections.abc import Callable
from unittest import mock

from quincecrank import (
    attempt_backlog,
    attempt_claims,
    attempt_records,
    configuration,
    configuration_store,
    current_configuration,
    ids,
    platform_table,
)
from quincecrank import clock as clocks
from tests import builders_platform, fakes, interleavings

Patch = Callable[[], contextlib.AbstractContextManager[object]]

GRANTED = attempt_claims.ClaimVerdict.GRANTED
REFUSALS = (
    attempt_claims.ClaimVerdict.UNCONFIRMED,
    attempt_claims.ClaimVerdict.TABLE_OUT,
)
TIME_LEFT_MS = 3_600_000
ROW_KEY = builders_platform.identity().row_key


class OneKey:
    """Attempts and cancellations of one idempotency key.

    Parameters
    ----------
    claims : tuple of str
        Attempts, each at its own agent or all at one agent.
    cancels : tuple of str
        Attempts that entries cancel.

    Attributes
    ----------
    answers : dict of str to str
        Answer of each process to its caller.
    """

    def __init__(
        self,
        choose: Callable[[int], interleavings.Fault],
        claims: tuple[str, ...],
        cancels: tuple[str, ...],
        has_one_agent: bool = False,
    ) -> None:
        self.table = interleavings.FaultyTable(choose)
        only_agent = self._make_agent()
        self._agent_by_attempt = {
            name: only_agent if has_one_agent else self._make_agent() for name in claims
        }
        self.answers: dict[str, str] = {}
        self.processes: dict[str, interleavings.Start] = {
            **{f"agent of {x}": functools.partial(self._attempt, x) for x in claims},
            **{f"entry of {x}": functools.partial(self._cancel, x) for x in cancels},
        }
        self._ran: list[str] = []
        self._not_run: set[str] = set()

    def violation(self) -> str:
        if len(self._ran) > 1:
            return f"ran twice: {self._ran}"
        if self._not_run.intersection(self._ran):
            return f"ran, but was answered as not run: {self._ran}"
        return ""

    def final_violation(self) -> str:
        unanswered = set(self.processes).difference(self.answers)
        return f"no answer: {unanswered}" if unanswered else ""

    def state(self) -> str:
        row = self.table._rows_by_key.get((platform_table.TableName.REQUESTS, ROW_KEY))
        if row is None:
            return "no row"
        record = attempt_records.parse_row(row).record
        cancelled = ", ".join(record.cancelled_attempts) or "none"
        claimed = record.attempt_id or "none"
        return (
            f"row {row.revision} {record.state.value}, claim {claimed}, "
            f"cancelled {cancelled}; ran {self._ran}"
        )

    def _make_agent(self) -> attempt_claims.AttemptClaims:
        return attempt_claims.AttemptClaims(
            self.table,
            clocks.ManualClock(),
            ids.BackendServerName("prasaran-1"),
            ids.Incarnation(ids.random_id("i")),
        )

    async def _attempt(self, name: str) -> None:
        agent = self._agent_by_attempt[name]
        request = builders_platform.claim_request(name, time_left_ms=TIME_LEFT_MS)
        claim = await agent.claim(request)
        self.answers[f"agent of {name}"] = claim.verdict.value
        if claim.verdict is GRANTED:
            self._ran.append(name)
            await agent.record_outcome(claim, builders_platform.outcome())
            return
        if claim.verdict in REFUSALS:
            self._not_run.add(name)
        await agent.flush()

    async def _cancel(self, name: str) -> None:
        listed = (ids.AttemptId(name),)
        identity = builders_platform.identity()
        result = await attempt_claims.cancel(self.table, identity, listed)
        self.answers[f"entry of {name}"] = result.verdict.value
        if result.verdict is attempt_claims.CancelVerdict.NOT_RUN:
            self._not_run.add(name)


class RacingOperators:
    """Two proposals for version 1 and a process that follows the table."""

    def __init__(self, choose: Callable[[int], interleavings.Fault]) -> None:
        self.table = interleavings.FaultyTable(choose)
        self.answers: dict[str, str] = {}
        self.processes: dict[str, interleavings.Start] = {
            "operator a": functools.partial(self._propose, "a"),
            "operator b": functools.partial(self._propose, "b"),
            "follower": self._follow,
        }
        self._store = configuration_store.ConfigurationStore(self.table)
        self._current = current_configuration.CurrentConfiguration(clocks.ManualClock())
        self._seen_version = 0
        self._diverged = ""

    def violation(self) -> str:
        if self._diverged:
            return self._diverged
        if self._current.version < self._seen_version:
            return "the version went down"
        self._seen_version = self._current.version
        winner = self._winner()
        for name, answer in self.answers.items():
            if answer == "accepted" and winner != name:
                return f"{name} was accepted, but {winner or 'nobody'} has the version"
            if answer == "rejected" and winner == name:
                return f"{name} was rejected and has the version"
        return ""

    def final_violation(self) -> str:
        return "" if set(self.answers) == {"a", "b"} else f"answers: {self.answers}"

    def state(self) -> str:
        return f"version 1 is of {self._winner() or 'nobody'}"

    def _winner(self) -> str:
        key = platform_table.RowKey("configuration", 1)
        row = self.table._rows_by_key.get((platform_table.TableName.CONFIGURATION, key))
        if row is None:
            return ""
        return configuration.ConfigurationRow.model_validate_json(row.body).proposal_id

    async def _propose(self, name: str) -> None:
        row = builders_platform.configuration_row(1, name)
        try:
            result = await self._store.propose(row)
        except platform_table.TableUnavailableError:
            self.answers[name] = "rejected"
        except platform_table.OutcomeUnknownError:
            self.answers[name] = "unknown"
        else:
            self.answers[name] = "accepted" if result.is_ok() else "rejected"
            self._apply((result.ok,) if result.is_ok() else result.error.rows)

    async def _follow(self) -> None:
        with contextlib.suppress(platform_table.TableUnavailableError):
            self._apply(await self._store.catch_up(self._current.in_force))

    def _apply(self, rows: tuple[configuration.ConfigurationRow, ...]) -> None:
        try:
            self._current.apply(rows)
        except current_configuration.DivergedError as error:
            self._diverged = f"diverged: {error}"


def one_key(
    claims: tuple[str, ...], cancels: tuple[str, ...], has_one_agent: bool = False
) -> interleavings.MakeScenario:
    """Return a factory of `OneKey` scenarios."""
    return lambda choose: OneKey(choose, claims, cancels, has_one_agent)


async def _replace_unconditionally(
    table: fakes.FakeTable,
    name: platform_table.TableName,
    key: platform_table.RowKey,
    body: str,
    expected_revision: int,
) -> platform_table.WriteAnswer:
    await table._begin("replace", name, key)
    revision = table._revision(name, key)
    return table._write(lambda: table._put(name, key, body, revision))


async def _insert_unconditionally(
    table: fakes.FakeTable,
    name: platform_table.TableName,
    key: platform_table.RowKey,
    body: str,
) -> platform_table.WriteAnswer:
    await table._begin("insert", name, key)
    revision = table._revision(name, key)
    return table._write(lambda: table._put(name, key, body, revision))


def _patched(target: object, name: str, value: object) -> Patch:
    return lambda: mock.patch.object(target, name, value)


def _always(*ignored: object) -> bool:
    return True


NO_REREAD = _patched(
    platform_table, "insert_confirmed", fakes.insert_without_reading_back
)
SCENARIOS: dict[str, tuple[interleavings.MakeScenario, int]] = {
    "claim and cancellation": (one_key(("a1",), ("a1",)), 2),
    "two claims": (one_key(("a1", "a2"), ()), 2),
    "two claims at one agent": (one_key(("a1", "a2"), (), has_one_agent=True), 1),
    "two claims and a cancellation": (one_key(("a1", "a2"), ("a1",)), 0),
    "two cancellations and a claim": (one_key(("a1",), ("a1", "a2")), 0),
    "racing operators": (RacingOperators, 1),
}
MUTANTS: tuple[tuple[str, str, Patch], ...] = (
    ("no re-read", "two claims", NO_REREAD),
    ("no re-read", "racing operators", NO_REREAD),
    (
        "any record admits",
        "claim and cancellation",
        _patched(attempt_records.RequestRecord, "admits", _always),
    ),
    (
        "cancellations replace claims",
        "claim and cancellation",
        _patched(attempt_backlog, "_is_free", _always),
    ),
    (
        "unconditional replace",
        "two cancellations and a claim",
        _patched(fakes.FakeTable, "replace", _replace_unconditionally),
    ),
    (
        "unconditional insert",
        "racing operators",
        _patched(fakes.FakeTable, "insert", _insert_unconditionally),
    ),
)


class InterleavingsTest(unittest.TestCase):
    def test_properties_hold_in_every_order(self) -> None:
        for name, (make, fault_budget) in SCENARIOS.items():
            with self.subTest(name):
                found = interleavings.explore(make, fault_budget)
                self.assertEqual(found.violation, "", found.steps)
                self.assertGreater(found.runs, 30)

    def test_exploration_finds_each_missing_guard(self) -> None:
        for mutant, name, patch in MUTANTS:
            make, fault_budget = SCENARIOS[name]
            with self.subTest(mutant, scenario=name), patch():
                found = interleavings.explore(make, fault_budget)
                self.assertNotEqual(found.violation, "")
