"""Splits an event stream at the ends of events, so that it can be resumed.

Only complete events are passed on.  A stream that breaks off in the middle of an event
can then continue at another backend server after the last complete event.

Invariant
    The ids of a stream only increase over all attempts.  They need not be consecutive:
    an event may hold several tokens.
"""

from collections.abc import Iterator
from typing import Final

from quincecrank.gateway import server_links

MAX_EVENT_BYTES: Final = 256 * 1024
"""Longest event: many times the size of all tokens of an answer."""

EVENT_END: Final = b"\n\n"
_ID_FIELD: Final = b"id:"


class EventSplitter:
    """Aggregate of the received part of a stream, over all attempts of its request.

    Parameters
    ----------
    resume_after : str or None
        Id of the last event that the caller has of an earlier attempt.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event that has one, or that the caller has.
    event_count : int
        Number of complete events so far.
    """

    def __init__(self, resume_after: str | None = None) -> None:
        self._partial = b""
        self._is_resuming = bool(resume_after)
        self.last_id = resume_after or None
        self.event_count = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event has been received."""
        return bool(self._partial.strip())

    @property
    def token_count(self) -> int:
        """Number of tokens so far, by the last id if it is a number."""
        last_id = self.last_id or ""
        return int(last_id) if last_id.isdecimal() else self.event_count

    @property
    def partial_bytes(self) -> int:
        """Length of the incomplete event."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are complete now.

        Raises
        ------
        AnswerLimitError
            If an event is longer than `MAX_EVENT_BYTES`.
        EventOrderError
            If the first event of another attempt does not come after the last event.
        """
        received = self._partial + chunk
        end = received.rfind(EVENT_END)
        end = 0 if end < 0 else end + len(EVENT_END)
        complete, self._partial = received[:end], received[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise server_links.AnswerLimitError("event exceeds the size limit")
        if not complete:
            return b""
        if self._is_resuming:
            self.check_continuation(complete)
            self._is_resuming = next(_ids(complete), None) is None
        self._record(complete)
        return complete

    def drop_partial_event(self) -> None:
        """Drop an incomplete event; another backend server continues before it."""
        self._partial = b""
        self._is_resuming = self.last_id is not None

    def take_rest(self) -> bytes:
        """Return and drop the bytes after the last complete event."""
        rest, self._partial = self._partial, b""
        return rest

    def check_continuation(self, events: bytes) -> None:
        """Check that events may follow the last one; ids that are no numbers pass.

        Raises
        ------
        EventOrderError
            If the first id is not greater than that of the last event.
        """
        first_id = next(_ids(events), "")
        last_id = self.last_id or ""
        if not (first_id.isdecimal() and last_id.isdecimal()):
            return
        if int(first_id) <= int(last_id):
            raise server_links.EventOrderError(f"{first_id} after {last_id}")

    def _record(self, complete: bytes) -> None:
        for event in complete.split(EVENT_END):
            if not event.strip():
                continue
            self.event_count += 1
        for event_id in _ids(complete):
            self.last_id = event_id


def _ids(events: bytes) -> Iterator[str]:
    """Return the ids of complete events, in order."""
    for line in events.split(b"\n"):
        if line.startswith(_ID_FIELD):
            yield line[len(_ID_FIELD) :].strip().decode("latin1")
