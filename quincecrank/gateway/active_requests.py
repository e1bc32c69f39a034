"""State of a caller's request while it is served."""

import dataclasses

from tornado import httputil

from quincecrank import ids
from quincecrank.gateway import (
    answer_times,
    callers,
    crash_suspicions,
    deployment,
    event_stream,
    failed_request_records,
    servers,
    stream_versions,
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
    local_id : RequestId
        Unique among the open requests of this gateway: the caller's id, unless the
        caller gave none or one that is in use.
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
    was_dropped : bool
        Whether an answer was broken off since there was no memory for it.
    sends, refusals : int
        Number of sends to backend servers, and how many of these were refused.
    event_splitter : EventSplitter
        Splits the received stream into events, over all attempts.
    unread_bytes : int
        Bytes of the last exchange that had arrived unread when this gateway ended it.
    last_failure : AnswerBuffer or None
        Error answer of the last server that gave one.
    stream : StreamKey or None
        Identifies a resumable stream over all attempts of the caller; None for other
        requests, and for a resumed stream whose first attempt the caller does not name.
    software_version : SoftwareVersion or None
        Software version at which the stream began; None before its first event.
    is_stream_recorded : bool
        Whether an event of this attempt was seen and its software version recorded.
    """

    request: callers.CallerRequest
    answer: callers.CallerAnswer
    caller_headers: requests.CallerHeaders
    local_id: ids.RequestId
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
    was_dropped: bool = False
    sends: int = 0
    refusals: int = 0
    event_splitter: event_stream.EventSplitter = dataclasses.field(
        default_factory=event_stream.EventSplitter
    )
    unread_bytes: int = 0
    last_failure: AnswerBuffer | None = None
    stream: stream_versions.StreamKey | None = None
    software_version: servers.SoftwareVersion | None = None
    is_stream_recorded: bool = False

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 the most urgent; the account's overrides a route's."""
        if self.account is not None and self.account.urgency is not None:
            return self.account.urgency
        return self.route.urgency

    @property
    def begins_stream(self) -> bool:
        """Whether it is a resumable stream that has no event yet."""
        route = self.route
        return route.is_stream and route.is_resumable and self.software_version is None

    @property
    def is_resumed(self) -> bool:
        """Whether the caller resumes a stream of an earlier attempt."""
        route = self.route
        return (
            route.is_stream
            and route.is_resumable
            and bool(self.caller_headers.resume_after)
        )

    @property
    def possible_runs(self) -> int:
        """Number of sends that may have run the request."""
        return self.sends - self.refusals

    def rest_ms(self, answer_time: answer_times.AnswerTime | None) -> float | None:
        """Return the typical time of what is left of a stream; None if not known."""
        prompt = self.caller_headers.prompt
        if answer_time is None or prompt is None or not prompt.output_tokens:
            return None
        done = self.event_splitter.token_count
        return answer_time.rest_ms(done, prompt.output_tokens)
