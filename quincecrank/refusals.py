"""Refusals that the handlers of callers' requests share."""

from quincecrank import findings, problems


def bad_request(found: findings.Findings) -> problems.Problem:
    """Return the refusal of a malformed request with all its findings."""
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


def too_many() -> problems.Problem:
    """Return the refusal of a request that this entry has no room for."""
    return problems.Problem(
        problems.ProblemKind.OVERLOADED,
        "too many requests are open at this entry",
        retry_after_ms=1_000,
    )


def stopping() -> problems.Problem:
    """Return the refusal of an entry that is shutting down."""
    return problems.Problem(
        problems.ProblemKind.LEAVING,
        "this entry is shutting down",
        retry_after_ms=100,
    )


def not_ready() -> problems.Problem:
    """Return the refusal of an entry that has learned no configuration yet."""
    return problems.Problem(
        problems.ProblemKind.NOT_READY,
        "the process has not learned a configuration yet",
        retry_after_ms=1_000,
    )


def failed() -> problems.Problem:
    """Return the answer to a request under which this entry failed."""
    return problems.Problem(
        problems.ProblemKind.OUTCOME_UNKNOWN,
        "this entry failed while it served the request; see its log",
        problems.Ran.UNKNOWN,
    )
