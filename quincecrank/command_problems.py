"""Problem documents that the administration API returns for failed texts."""

import dataclasses
import json
from typing import Final

from quincecrank import (
    command_rules,
    command_tables,
    configuration,
    findings,
    fleet_view,
    ids,
    problems,
)

MAX_REPORTED_CHANGES: Final = 20
MAX_REPORTED_FINDINGS: Final = 100
RETRY_AFTER_MS: Final = 1_000


@dataclasses.dataclass(frozen=True)
class StaleVersion(problems.Problem):
    """Rejection of a change that was decided on an outdated version.

    Attributes
    ----------
    changes : tuple of HistoryRow
        The changes committed since that version, the oldest first.
    """

    changes: tuple[fleet_view.HistoryRow, ...] = ()

    def to_json(self, request_id: str) -> str:
        """Return the problem document, with the later changes."""
        document = json.loads(super().to_json(request_id))
        rows = [command_tables.change_row(change) for change in self.changes]
        document["changes"] = [dataclasses.asdict(row) for row in rows]
        return json.dumps(document, ensure_ascii=False)


def bad_request(detail: str) -> problems.Problem:
    """Return the problem of an invalid request."""
    return problems.Problem(problems.ProblemKind.BAD_REQUEST, detail)


def invalid_text(found: findings.Findings) -> problems.Problem:
    """Return the problem of a text with mistakes, with the first findings."""
    all_found = found.all()
    mistakes = "1 mistake" if len(all_found) == 1 else f"{len(all_found)} mistakes"
    return problems.Problem(
        problems.ProblemKind.BAD_REQUEST,
        f"the text has {mistakes}; nothing was changed",
        found=all_found[:MAX_REPORTED_FINDINGS],
    )


def service_unavailable(reason: str) -> problems.Problem:
    """Return the problem of a platform service that is unavailable."""
    return problems.Problem(
        problems.ProblemKind.TABLE_OUT, reason, retry_after_ms=RETRY_AFTER_MS
    )


def outcome_unknown(
    row: configuration.ConfigurationRow, planned: command_rules.ChangePlan
) -> problems.Problem:
    """Return the problem of a change whose commit may have taken effect."""
    detail = f"see `show history where version = {row.version}` before trying again"
    if planned.created_keys:
        names = ", ".join(key.key_id for key in planned.created_keys)
        detail += f"; if it was committed, revoke {names}, which were not shown"
    return problems.Problem(
        problems.ProblemKind.OUTCOME_UNKNOWN, detail, problems.Ran.UNKNOWN
    )


def stale_version(
    decided_on: ids.ConfigurationVersion,
    newest: ids.ConfigurationVersion,
    changes: tuple[fleet_view.HistoryRow, ...],
) -> StaleVersion:
    """Return the problem of a change that was decided on an outdated version."""
    return StaleVersion(
        problems.ProblemKind.STALE_VERSION,
        f"decided on version {decided_on}, but version {newest} is in force",
        changes=changes[:MAX_REPORTED_CHANGES],
    )
