"""The timeline of one request, assembled from the collected logs of many processes.

Terms
-----
server state change
    A log line that names a backend server but no request: a process changed what it
    assumes of the server.  The changes shortly before and during a request explain
    its outcome.
"""

import dataclasses
import datetime
import json
import pathlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

CONTEXT: Final = datetime.timedelta(seconds=3)
"""Time before a request from which state changes of its servers are shown."""

_REQUEST_FIELDS: Final = ("request", "request_id")
_OMITTED_FIELDS: Final = frozenset(
    ("timestamp", "vm", "event", "component", "level", *_REQUEST_FIELDS)
)
"""Fields that are shown in the prefix of a line, or not at all."""

_CAUSE_BY_OUTCOME: Final = {
    "answered": "A backend server answered it whole.",
    "caller left": "Its caller closed the connection first.",
    "time limit": "Its time was over; if sends is 1 or more it may have run.",
    "outcome unknown": "It was sent and not answered; it may have run.",
    "no attempts left": "Each server that the route allows has failed it.",
    "retry budget": "A further send would have exceeded the retry budget.",
    "refused by servers": "The servers refused it; it has not run.",
    "no backend server": "No usable server was known; it has not run.",
    "all backend servers are busy": "It would have been late; it has not run.",
}


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line of a process.

    Attributes
    ----------
    at : datetime.datetime
        Wall time at which it was written.
    file : str
        Name of the log file and the line number, as ``NAME:NUMBER``.
    """

    at: datetime.datetime
    vm: str
    event: str
    fields: Mapping[str, Any]
    file: str

    @property
    def request_id(self) -> str:
        """Id of the request that the line belongs to, empty for none."""
        for name in _REQUEST_FIELDS:
            if self.fields.get(name):
                return str(self.fields[name])
        return ""

    def render(self, start: datetime.datetime) -> str:
        """Return the line as text, with its time in seconds since `start`."""
        offset_s = (self.at - start).total_seconds()
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _OMITTED_FIELDS and value is not None
        )
        return f"{offset_s:+9.3f} s  {self.vm}  {self.event}: {shown}  [{self.file}]"


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The log lines of one request and its outcome.

    Attributes
    ----------
    lines : tuple of LogLine
        Lines of the request and state changes of its servers, by time.
    outcome : str
        How the request ended, or without such a line the last reason logged; empty if
        there is neither.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    outcome: str

    def render(self) -> str:
        """Return the timeline as text, the outcome and its meaning on the last line."""
        if not self.lines:
            return f"no line about request {self.request_id}"
        start = next(
            line.at for line in self.lines if line.request_id == self.request_id
        )
        shown = [line.render(start) for line in self.lines]
        cause = _CAUSE_BY_OUTCOME.get(self.outcome, "No log says how it ended.")
        return "\n".join([*shown, f"outcome: {self.outcome or 'unknown'}. {cause}"])


def read_lines(folder: pathlib.Path) -> Iterator[LogLine]:
    """Yield the structured lines of all files below a folder; other text is skipped.

    Raises
    ------
    OSError
        If the folder or a file can't be read.
    """
    if not folder.is_dir():
        raise NotADirectoryError(f"{folder} is no folder")
    for path in sorted(folder.rglob("*")):
        if path.is_file():
            text = path.read_text(errors="replace")
            for number, line in enumerate(text.splitlines(), start=1):
                parsed = parse_line(line, f"{path.name}:{number}")
                if parsed is not None:
                    yield parsed


def parse_line(text: str, file: str) -> LogLine | None:
    """Return a structured line; None for any other text."""
    # Log collectors may put a timestamp and a name before the JSON object.
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = datetime.datetime.fromisoformat(fields["timestamp"])
        return LogLine(
            at, str(fields.get("vm", "?")), str(fields["event"]), fields, file
        )
    except (ValueError, KeyError, TypeError):
        return None


def find_timeline(lines: Iterable[LogLine], request_id: str) -> Timeline:
    """Return the timeline of a request; it has no lines if no log names the request.

    Besides the request's own lines it has those without a request that name one of its
    servers, from `CONTEXT` before its first line to its last line.
    """
    by_time = sorted(lines, key=lambda line: line.at)
    own = [line for line in by_time if line.request_id == request_id]
    if not own:
        return Timeline(request_id, (), "")
    servers = {str(line.fields["server"]) for line in own if "server" in line.fields}
    first, last = own[0].at - CONTEXT, own[-1].at
    shown = tuple(
        line
        for line in by_time
        if line.request_id == request_id
        or (
            not line.request_id
            and first <= line.at <= last
            and str(line.fields.get("server", "")).partition("/")[0] in servers
        )
    )
    outcomes = [
        str(line.fields["outcome"]) for line in own if line.event == "request ended"
    ]
    reasons = [str(line.fields["reason"]) for line in own if "reason" in line.fields]
    outcome = (outcomes or reasons or [""])[-1]
    return Timeline(request_id, shown, outcome)
