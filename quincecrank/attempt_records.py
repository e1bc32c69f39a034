"""Records of non-idempotent requests: one for each idempotency key of an account.

States
------
started
    An agent has claimed the request.  The request may be about to run, may be running
    or may have run, or the agent process has ended.
cancelled
    No claim so far has run or ever will; another attempt may claim the request.
finished
    The request ran; the record holds its outcome.
unknown
    Never stored.  A reader concludes it from a started record whose agent process
    was replaced or whose deadline has passed.

A started record is changed only by the agent process that made the claim.  A
cancelled record lists the attempts that must not run any more, so that an attempt
which was answered as not run cannot claim the request later, when it is delayed or
replayed.
"""

import dataclasses
import enum
from typing import Final
from urllib import parse

import pydantic

from quincecrank import ids, platform_table

MAX_OUTCOME_BODY_BYTES: Final = 32 * 1024
"""Largest body of an answer that a record holds."""

MAX_CANCELLED_ATTEMPTS: Final = 64
"""Cancelled attempts that a record may list; at this number no attempt may claim."""


class RequestState(enum.Enum):
    """State of a request, see the module docstring."""

    STARTED = "started"
    CANCELLED = "cancelled"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class RequestIdentity:
    """Identity of a request: requests that are equal in it are repeats.

    Attributes
    ----------
    account : AccountName
        Client account that sent the request.
    idempotency_key : str
        Key chosen by the caller, within the account.
    fingerprint : str
        Digest of the request, which detects the reuse of a key for another one.
    """

    account: ids.AccountName
    idempotency_key: str
    fingerprint: str

    @property
    def row_key(self) -> platform_table.RowKey:
        """Key of the record's row.

        The account name is quoted so that no two accounts can have equal row keys.
        """
        account = parse.quote(self.account, safe="")
        return platform_table.RowKey(f"{account}/{self.idempotency_key}")


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        frozen=True, ser_json_bytes="base64", val_json_bytes="base64"
    )


class Header(_Model):
    """One header of an answer."""

    name: str
    value: str


class RecordedAnswer(_Model):
    """The answer of a request that ran.

    Attributes
    ----------
    body_kept : bool
        False if the body was longer than `MAX_OUTCOME_BODY_BYTES`: the request
        ran with this status, but a repeat cannot get its body.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    body_kept: bool = True

    def bounded(self) -> "RecordedAnswer":
        """Return the outcome, without its body if that is too long to store."""
        if len(self.body) <= MAX_OUTCOME_BODY_BYTES:
            return self
        return self.model_copy(update={"body": b"", "body_kept": False})


class RequestRecord(_Model):
    """The record of one request.

    Attributes
    ----------
    attempt_id : AttemptId
        Last attempt that claimed the request.
    claim_id : str
        Random id of that claim, which a replayed attempt does not share.
    backend_server, incarnation : str
        Backend server and agent process that made the claim.
    deadline_wall_ms : int
        Deadline of the request, milliseconds since the epoch.
    cancelled_attempts : tuple of AttemptId
        Attempts that must not claim the request any more.
    """

    state: RequestState
    fingerprint: str
    attempt_id: ids.AttemptId = ids.AttemptId("")
    claim_id: str = ""
    backend_server: ids.BackendServerName = ids.BackendServerName("")
    incarnation: ids.Incarnation = ids.Incarnation("")
    deadline_wall_ms: int = 0
    outcome: RecordedAnswer | None = None
    cancelled_attempts: tuple[ids.AttemptId, ...] = ()

    def admits(self, attempt_id: ids.AttemptId) -> bool:
        """Return whether `attempt_id` may claim the request now."""
        return (
            self.state is RequestState.CANCELLED
            and attempt_id not in self.cancelled_attempts
            and len(self.cancelled_attempts) < MAX_CANCELLED_ATTEMPTS
        )

    def lists_cancelled(self, attempt_ids: tuple[ids.AttemptId, ...]) -> bool:
        """Return whether the record is cancelled and lists all `attempt_ids`."""
        return self.state is RequestState.CANCELLED and set(attempt_ids).issubset(
            self.cancelled_attempts
        )

    def with_cancelled(
        self, attempt_ids: tuple[ids.AttemptId, ...]
    ) -> "RequestRecord | None":
        """Return a cancelled record that lists `attempt_ids` and the claim's attempt.

        None if the list would exceed `MAX_CANCELLED_ATTEMPTS`.
        """
        claimed = (self.attempt_id,) if self.attempt_id else ()
        candidates = (*self.cancelled_attempts, *claimed, *attempt_ids)
        listed = tuple(dict.fromkeys(candidates))
        if len(listed) > MAX_CANCELLED_ATTEMPTS:
            return None
        return RequestRecord(
            state=RequestState.CANCELLED,
            fingerprint=self.fingerprint,
            cancelled_attempts=listed,
        )

    def with_outcome(self, outcome: RecordedAnswer) -> "RequestRecord":
        """Return the finished record of this claim with its outcome."""
        update = {"state": RequestState.FINISHED, "outcome": outcome}
        return self.model_copy(update=update)

    def state_at(
        self, wall_ms: int, current_incarnation: ids.Incarnation | None
    ) -> RequestState:
        """Return the state that a reader may conclude at `wall_ms`.

        Parameters
        ----------
        wall_ms : int
            Milliseconds since the epoch.
        current_incarnation : Incarnation or None
            Registered incarnation of the backend server's agent, None if the
            reader does not know it.
        """
        if self.state is not RequestState.STARTED:
            return self.state
        is_replaced = (
            current_incarnation is not None and current_incarnation != self.incarnation
        )
        if is_replaced or wall_ms > self.deadline_wall_ms:
            return RequestState.UNKNOWN
        return RequestState.STARTED


def new_cancelled(
    identity: RequestIdentity, attempt_ids: tuple[ids.AttemptId, ...]
) -> RequestRecord:
    """Return the record of a request whose attempts are cancelled before any claim.

    Raises
    ------
    ValueError
        If there are more than `MAX_CANCELLED_ATTEMPTS`.
    """
    if len(attempt_ids) > MAX_CANCELLED_ATTEMPTS:
        raise ValueError(
            f"{len(attempt_ids)} attempts exceed the limit of one request record"
        )
    return RequestRecord(
        state=RequestState.CANCELLED,
        fingerprint=identity.fingerprint,
        cancelled_attempts=attempt_ids,
    )


@dataclasses.dataclass(frozen=True)
class StoredRecord:
    """A record and the revision of its row."""

    record: RequestRecord
    revision: int


def parse_row(row: platform_table.Row) -> StoredRecord:
    """Return the record of a row.

    Raises
    ------
    pydantic.ValidationError
        If the body of the row is not a record.
    """
    return StoredRecord(RequestRecord.model_validate_json(row.body), row.revision)
