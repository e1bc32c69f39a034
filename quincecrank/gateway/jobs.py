"""A caller's request while it is served."""

import dataclasses

from tornado import httputil

from quincecrank import crash_counts
from quincecrank.gateway import (
    callers,
    deployment,
    event_stream,
    first_attempts,
    servers,
)
from quincecrank.platform import requests


@dataclasses.dataclass(slots=True)
class AnswerBuffer:
    """A whole answer of a backend server that was not streamed."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Job:
    """One caller's request while it is served.

    Attributes
    ----------
    deadline_ms : int
        Instant at which the caller or the operator no longer waits.
    key : RequestKey or None
        Recognizes a later attempt; None for a plain service.
    began_ms : int
        Instant of the caller's first attempt, as far as it is known.
    has_maybe_run : bool
        Whether a backend server may have begun to run it.
    sends, refusals : int
        Backend servers that it was sent to, and how many refused it.
    """

    request: callers.CallerRequest
    answer: callers.CallerAnswer
    said: requests.CallerHeaders
    route: deployment.Route
    service: deployment.Service
    account: deployment.Account | None
    deadline_ms: int
    fingerprint: crash_counts.RequestFingerprint
    key: first_attempts.RequestKey | None
    began_ms: int
    tried: set[servers.ServerId] = dataclasses.field(default_factory=set)
    has_maybe_run: bool = False
    sends: int = 0
    refusals: int = 0
    cutter: event_stream.EventCutter = dataclasses.field(
        default_factory=event_stream.EventCutter
    )
    last_failure: AnswerBuffer | None = None

    @property
    def urgency(self) -> int:
        """Rank of the request; the account's goes before the route's."""
        if self.account is not None and self.account.urgency is not None:
            return self.account.urgency
        return self.route.urgency

    @property
    def runs(self) -> int:
        """Backend servers that may have run it."""
        return self.sends - self.refusals
