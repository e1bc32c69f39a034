"""State of a caller's request while it is served."""

import dataclasses

from tornado import httputil

from quincecrank.gateway import (
    callers,
    crash_suspicions,
    deployment,
    event_stream,
    failed_request_records,
    servers,
)
from quincecrank.platform import requests


@dataclasses.dataclass(slots=True)
class AnswerBuffer:
    """An answer of a backend server; its body is empty if it is streamed."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """One caller's request while it is served.

    Attributes
    ----------
    caller_headers : CallerHeaders
        Parsed headers of the request.
    deadline_ms : int
        Time limit of the answer, set by the caller or the route, whichever is
        earlier, less a margin to send it.
    subject : Subject
        The request as evidence of crashes.
    key : RequestKey or None
        Identifies later attempts of the same request; None for a request without
        a prompt.
    first_attempt_ms : int
        Time of the request's first attempt; its own arrival if it is no known retry.
    tried_servers : set of ServerId
        Backend servers chosen for it so far, unreachable ones included.
    is_retest : bool
        Whether it is sent, once, although a crash finding rejects it.
    may_have_run : bool
        Whether a backend server may have begun to run it.
    sends, refusals : int
        Number of sends to backend servers, and how many of these were refused.
    event_splitter : EventSplitter
        Splits the received stream into events, over all attempts.
    last_failure : AnswerBuffer or None
        Error answer of the last server that gave one.
    """

    request: callers.CallerRequest
    answer: callers.CallerAnswer
    caller_headers: requests.CallerHeaders
    route: deployment.Route
    service: deployment.Service
    account: deployment.Account | None
    deadline_ms: int
    subject: crash_suspicions.Subject
    key: failed_request_records.RequestKey | None
    first_attempt_ms: int
    tried_servers: set[servers.ServerId] = dataclasses.field(default_factory=set)
    is_retest: bool = False
    may_have_run: bool = False
    sends: int = 0
    refusals: int = 0
    event_splitter: event_stream.EventSplitter = dataclasses.field(
        default_factory=event_stream.EventSplitter
    )
    last_failure: AnswerBuffer | None = None

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 the most urgent; the account's overrides a route's."""
        if self.account is not None and self.account.urgency is not None:
            return self.account.urgency
        return self.route.urgency

    @property
    def possible_runs(self) -> int:
        """Number of sends that may have run the request."""
        return self.sends - self.refusals
