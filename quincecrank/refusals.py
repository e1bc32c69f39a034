"""Problems that several handlers of caller requests answer with."""

from quincecrank import findings, problems


def bad_request(found: findings.Findings) -> problems.Problem:
    """Return the refusal of a malformed request; its detail lists all findings."""
    items = found.all()
    detail = "; ".join(str(item) for item in items)
    return problems.Problem(problems.ProblemKind.BAD_REQUEST, detail, found=items)


def unauthenticated(detail: str) -> problems.Problem:
    """Return the refusal of a request without a valid key."""
    return problems.Problem(problems.ProblemKind.UNAUTHENTICATED, detail)


def account_disabled() -> problems.Problem:
    """Return the refusal of a disabled client account."""
    kind = problems.ProblemKind.FORBIDDEN
    return problems.Problem(kind, "the client account is disabled")


def too_large(limit: int) -> problems.Problem:
    """Return the refusal of a body of more than `limit` bytes."""
    kind = problems.ProblemKind.TOO_LARGE
    return problems.Problem(kind, f"the body exceeds {limit} bytes")


def too_many_requests() -> problems.Problem:
    """Return the refusal of a request beyond this entry's request and body limits."""
    return problems.Problem(
        problems.ProblemKind.OVERLOADED,
        "too many requests are open at this entry",
        retry_after_ms=1_000,
    )


def stopping() -> problems.Problem:
    """Return the refusal of any request while this entry shuts down."""
    return problems.Problem(
        problems.ProblemKind.LEAVING,
        "this entry is shutting down",
        retry_after_ms=100,
    )


def not_ready() -> problems.Problem:
    """Return the refusal of any request before this entry has a configuration."""
    return problems.Problem(
        problems.ProblemKind.NOT_READY,
        "the process has not learned a configuration yet",
        retry_after_ms=1_000,
    )


def internal_failure() -> problems.Problem:
    """Return the problem of a request whose handler raised an unexpected error."""
    return problems.Problem(
        problems.ProblemKind.OUTCOME_UNKNOWN,
        "this entry failed while it served the request; see its log",
        problems.Ran.UNKNOWN,
    )
