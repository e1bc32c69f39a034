"""Splits an event stream at the ends of events, so that it can be resumed.

Only complete events are passed on.  A stream that breaks off in the middle of an event
can then continue at another backend server after the last complete event.
"""

from typing import Final

from quincecrank.gateway import server_links

MAX_EVENT_BYTES: Final = 256 * 1024
"""Longest event: many times the size of all tokens of an answer."""

_EVENT_END: Final = b"\n\n"
_ID_FIELD: Final = b"id:"


class EventSplitter:
    """Aggregate of the received part of a stream, over all attempts of its request.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event that has one.
    event_count : int
        Number of complete events so far.
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: str | None = None
        self.event_count = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event has been received."""
        return bool(self._partial.strip())

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are complete now.

        Raises
        ------
        AnswerLimitError
            If an event is longer than `MAX_EVENT_BYTES`.
        """
        received = self._partial + chunk
        end = received.rfind(_EVENT_END)
        end = 0 if end < 0 else end + len(_EVENT_END)
        complete, self._partial = received[:end], received[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise server_links.AnswerLimitError("event exceeds the size limit")
        if not complete:
            return b""
        self._record(complete)
        return complete

    def drop_partial_event(self) -> None:
        """Drop an incomplete event; another backend server continues before it."""
        self._partial = b""

    def take_rest(self) -> bytes:
        """Return and drop the bytes after the last complete event."""
        rest, self._partial = self._partial, b""
        return rest

    def _record(self, complete: bytes) -> None:
        for event in complete.split(_EVENT_END):
            if not event.strip():
                continue
            self.event_count += 1
            for line in event.split(b"\n"):
                if line.startswith(_ID_FIELD):
                    self.last_id = line[len(_ID_FIELD) :].strip().decode("latin1")
