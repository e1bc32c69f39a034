"""Refusals and failures as callers receive them: RFC 9457 problem details.

Terms
-----
ran
    Whether the request took effect at the backend server: ``not-run`` only if it
    certainly did not run and will not, ``ran`` if it did, and ``unknown`` in every
    other case.
"""

import dataclasses
import enum
import json
from typing import Final

from quincecrank import findings

PROBLEM_CONTENT_TYPE: Final = "application/problem+json"
_MS_PER_SECOND: Final = 1000


class Ran(enum.Enum):
    """Whether the request took effect at the backend server."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ProblemKind(enum.Enum):
    """Kinds of problems; the value is the last part of the problem's type URN."""

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
class _KindInfo:
    status: int
    title: str


_INFO_BY_KIND: Final = {
    ProblemKind.BAD_REQUEST: _KindInfo(400, "The request is malformed"),
    ProblemKind.UNAUTHENTICATED: _KindInfo(401, "The API key is missing or wrong"),
    ProblemKind.FORBIDDEN: _KindInfo(403, "The client account may not do this"),
    ProblemKind.NOT_FOUND: _KindInfo(404, "There is no such resource"),
    ProblemKind.METHOD_NOT_ALLOWED: _KindInfo(405, "The method is not allowed"),
    ProblemKind.TOO_LARGE: _KindInfo(413, "The request is too large"),
    ProblemKind.KEY_REUSED: _KindInfo(422, "The key was used for another request"),
    ProblemKind.STALE_VERSION: _KindInfo(409, "The configuration has changed"),
    ProblemKind.OVERLOADED: _KindInfo(429, "The limit is reached"),
    ProblemKind.DEADLINE: _KindInfo(504, "The deadline cannot be met"),
    ProblemKind.UNAVAILABLE: _KindInfo(503, "No backend server is available"),
    ProblemKind.LEAVING: _KindInfo(503, "The backend server is leaving"),
    ProblemKind.TABLE_OUT: _KindInfo(503, "The platform table is unavailable"),
    ProblemKind.BACKEND_CRASHED: _KindInfo(502, "The backend server crashed"),
    ProblemKind.BACKEND_FAILED: _KindInfo(502, "The backend server failed"),
    ProblemKind.CRASHES_BACKENDS: _KindInfo(422, "The request crashes backend servers"),
    ProblemKind.OUTCOME_UNKNOWN: _KindInfo(502, "The outcome is unknown"),
    ProblemKind.IN_PROGRESS: _KindInfo(409, "The same request is in progress"),
    ProblemKind.NOT_READY: _KindInfo(503, "The process is not ready"),
}


@dataclasses.dataclass(frozen=True)
class Problem:
    """One refusal or failure of a request.

    Attributes
    ----------
    retry_after_ms : int
        Time after which the caller should retry; 0 if a retry cannot help.
    found : tuple of Finding
        All mistakes in the request, each with its place.
    """

    kind: ProblemKind
    detail: str
    ran: Ran = Ran.NOT_RUN
    retry_after_ms: int = 0
    found: tuple[findings.Finding, ...] = ()

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return _INFO_BY_KIND[self.kind].status

    @property
    def retry_after_seconds(self) -> int:
        """Return the value of the Retry-After header, rounded up."""
        return -(-self.retry_after_ms // _MS_PER_SECOND)

    def to_json(self, request_id: str) -> str:
        """Return the problem document.

        It also has the ``error`` member of the OpenAI API, so that clients of that API
        show the detail.
        """
        info = _INFO_BY_KIND[self.kind]
        document: dict[str, object] = {
            "type": f"urn:quincecrank:problem:{self.kind.value}",
            "title": info.title,
            "status": info.status,
            "detail": self.detail,
            "instance": f"urn:quincecrank:request:{request_id}",
            "ran": self.ran.value,
            "error": {
                "message": f"{info.title}: {self.detail}",
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
    """Raised to answer the caller with `problem`."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.kind.value}: {problem.detail}")
        self.problem = problem
