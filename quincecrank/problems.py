"""Refusals that callers see: RFC 9457 problem details.

Terms
-----
ran
    What is known of the request's effect at the backend server: ``not-run`` is
    said only when it certainly did not and will not run, ``ran`` when it did, and
    ``unknown`` in every other case.
"""

import dataclasses
import enum
import json
from typing import Final

from quincecrank import findings

PROBLEM_CONTENT_TYPE: Final = "application/problem+json"
_MS_PER_SECOND: Final = 1000


class Ran(enum.Enum):
    """Whether the refused request took effect."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ProblemKind(enum.Enum):
    """Reasons for a refusal; the value is the last part of the problem's type."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    KEY_REUSED = "idempotency-key-reused"
    STALE_VERSION = "stale-version"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline-exceeded"
    UNAVAILABLE = "unavailable"
    LEAVING = "leaving"
    TABLE_OUT = "platform-table-out"
    BACKEND_CRASHED = "backend-server-crashed"
    BACKEND_FAILED = "backend-server-failed"
    CRASHES_BACKENDS = "request-crashes-backend-servers"
    OUTCOME_UNKNOWN = "outcome-unknown"
    IN_PROGRESS = "in-progress"
    NOT_READY = "not-ready"


@dataclasses.dataclass(frozen=True)
class _Meaning:
    status: int
    title: str


_MEANING_BY_KIND: Final = {
    ProblemKind.BAD_REQUEST: _Meaning(400, "The request is malformed"),
    ProblemKind.UNAUTHENTICATED: _Meaning(401, "The API key is missing or wrong"),
    ProblemKind.FORBIDDEN: _Meaning(403, "The client account may not do this"),
    ProblemKind.NOT_FOUND: _Meaning(404, "There is no such resource"),
    ProblemKind.METHOD_NOT_ALLOWED: _Meaning(405, "The method is not allowed"),
    ProblemKind.TOO_LARGE: _Meaning(413, "The request is too large"),
    ProblemKind.KEY_REUSED: _Meaning(422, "The key was used for another request"),
    ProblemKind.STALE_VERSION: _Meaning(409, "The configuration has changed"),
    ProblemKind.OVERLOADED: _Meaning(429, "The limit is reached"),
    ProblemKind.DEADLINE: _Meaning(504, "The deadline cannot be met"),
    ProblemKind.UNAVAILABLE: _Meaning(503, "No backend server is available"),
    ProblemKind.LEAVING: _Meaning(503, "The backend server is leaving"),
    ProblemKind.TABLE_OUT: _Meaning(503, "The platform table is unavailable"),
    ProblemKind.BACKEND_CRASHED: _Meaning(502, "The backend server crashed"),
    ProblemKind.BACKEND_FAILED: _Meaning(502, "The backend server failed"),
    ProblemKind.CRASHES_BACKENDS: _Meaning(422, "The request crashes backend servers"),
    ProblemKind.OUTCOME_UNKNOWN: _Meaning(502, "The outcome is unknown"),
    ProblemKind.IN_PROGRESS: _Meaning(409, "The same request is in progress"),
    ProblemKind.NOT_READY: _Meaning(503, "The process is not ready"),
}


@dataclasses.dataclass(frozen=True)
class Problem:
    """One refusal.

    Attributes
    ----------
    retry_after_ms : int
        When the caller should come back; 0 when coming back is no use.
    found : tuple of Finding
        Every mistake found in the request, each with its place.
    """

    kind: ProblemKind
    detail: str
    ran: Ran = Ran.NOT_RUN
    retry_after_ms: int = 0
    found: tuple[findings.Finding, ...] = ()

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return _MEANING_BY_KIND[self.kind].status

    @property
    def retry_after_seconds(self) -> int:
        """Return the value of the Retry-After header, rounded up."""
        return -(-self.retry_after_ms // _MS_PER_SECOND)

    def to_json(self, request_id: str) -> str:
        """Return the problem document.

        It also carries OpenAI's ``error`` member, so that clients written for that
        API show the detail.
        """
        meaning = _MEANING_BY_KIND[self.kind]
        document: dict[str, object] = {
            "type": f"urn:quincecrank:problem:{self.kind.value}",
            "title": meaning.title,
            "status": meaning.status,
            "detail": self.detail,
            "instance": f"urn:quincecrank:request:{request_id}",
            "ran": self.ran.value,
            "error": {
                "message": f"{meaning.title}: {self.detail}",
                "type": self.kind.value,
                "code": self.kind.value,
                "param": None,
            },
        }
        if self.retry_after_ms:
            document["retry_after_ms"] = self.retry_after_ms
        if self.found:
            document["findings"] = [str(finding) for finding in self.found]
        text = json.dumps(document, ensure_ascii=False)
        return text.encode(errors="replace").decode()


class ProblemError(Exception):
    """Carries a `Problem` up to the place that answers the caller."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.kind.value}: {problem.detail}")
        self.problem = problem
