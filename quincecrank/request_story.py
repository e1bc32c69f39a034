"""The story of one request, assembled from the collected logs of many processes.

Terms
-----
belief
    A line by which a process changed what it takes for true of a backend server;
    beliefs shortly before and during a request explain what happened to it.
"""

import dataclasses
import datetime
import json
import pathlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

CONTEXT: Final = datetime.timedelta(seconds=3)
"""Time before a request for which beliefs about its servers are shown."""

_REQUEST_FIELDS: Final = ("request", "request_id")
_PLACE_FIELDS: Final = frozenset(
    ("timestamp", "vm", "event", "component", "level", *_REQUEST_FIELDS)
)

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
    """One structured line of a process.

    Attributes
    ----------
    file : str
        File that it stands in, and its line number.
    """

    at: datetime.datetime
    vm: str
    event: str
    fields: Mapping[str, Any]
    file: str

    @property
    def request_id(self) -> str:
        """Request that the line is about, empty for none."""
        for name in _REQUEST_FIELDS:
            if self.fields.get(name):
                return str(self.fields[name])
        return ""

    def render(self, began: datetime.datetime) -> str:
        """Return the line for people, with its time since `began`."""
        offset_s = (self.at - began).total_seconds()
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _PLACE_FIELDS and value is not None
        )
        return f"{offset_s:+9.3f} s  {self.vm}  {self.event}: {shown}  [{self.file}]"


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What the logs tell of one request.

    Attributes
    ----------
    lines : tuple of LogLine
        Lines of the request, and beliefs about its servers, by time.
    outcome : str
        How the request ended, empty if no log says so.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    outcome: str

    def render(self) -> str:
        """Return the story for people."""
        if not self.lines:
            return f"no line about request {self.request_id}"
        began = next(
            line.at for line in self.lines if line.request_id == self.request_id
        )
        shown = [line.render(began) for line in self.lines]
        cause = _CAUSE_BY_OUTCOME.get(self.outcome, "No log says how it ended.")
        return "\n".join([*shown, f"outcome: {self.outcome or 'unknown'}. {cause}"])


def read_lines(folder: pathlib.Path) -> Iterator[LogLine]:
    """Return the structured lines of all files below a folder; others are skipped.

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


def parse_line(text: str, place: str) -> LogLine | None:
    """Return a structured line; None for any other text."""
    # Collectors may put a time and a name before the line itself.
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = datetime.datetime.fromisoformat(fields["timestamp"])
        return LogLine(
            at, str(fields.get("vm", "?")), str(fields["event"]), fields, place
        )
    except (ValueError, KeyError, TypeError):
        return None


def find_story(lines: Iterable[LogLine], request_id: str) -> Story:
    """Return the story of a request."""
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.request_id == request_id]
    if not own:
        return Story(request_id, (), "")
    servers = {str(line.fields["server"]) for line in own if "server" in line.fields}
    first, last = own[0].at - CONTEXT, own[-1].at
    story = tuple(
        line
        for line in known
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
    return Story(request_id, story, outcome)
