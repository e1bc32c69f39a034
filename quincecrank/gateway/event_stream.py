"""Cuts an event stream into whole events.

Only whole events are passed on, so that a stream that breaks off in the middle of an
event can go on at another backend server after the last whole one.
"""

from typing import Final

from quincecrank.gateway import links

MAX_EVENT_BYTES: Final = 256 * 1024
"""Longest event: many times the tokens of a whole answer."""

_EVENT_END: Final = b"\n\n"
_ID_FIELD: Final = b"id:"


class EventCutter:
    """Aggregate of the part of a stream that has been received.

    Attributes
    ----------
    last_id : str or None
        Id of the last whole event.
    events : int
        Whole events so far.
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: str | None = None
        self.events = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream stands in the middle of an event."""
        return bool(self._partial.strip())

    def feed(self, chunk: bytes) -> bytes:
        """Take received bytes; return the whole events among all that is there.

        Raises
        ------
        AnswerLimitError
            If an event does not end within the longest size.
        """
        received = self._partial + chunk
        end = received.rfind(_EVENT_END)
        end = 0 if end < 0 else end + len(_EVENT_END)
        whole, self._partial = received[:end], received[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise links.AnswerLimitError("an event without an end")
        if not whole:
            return b""
        self._note(whole)
        return whole

    def restart(self) -> None:
        """Drop a partial event; another backend server goes on after the last one."""
        self._partial = b""

    def take_rest(self) -> bytes:
        """Return what follows the last whole event at the end of a stream."""
        rest, self._partial = self._partial, b""
        return rest

    def _note(self, whole: bytes) -> None:
        for event in whole.split(_EVENT_END):
            if not event.strip():
                continue
            self.events += 1
            for line in event.split(b"\n"):
                if line.startswith(_ID_FIELD):
                    self.last_id = line[len(_ID_FIELD) :].strip().decode("latin1")
