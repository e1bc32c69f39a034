"""Phrases shared by the messages about faults in commands and configurations."""

import difflib
from collections.abc import Iterable


def suggestion(name: str, known: Iterable[str]) -> str:
    """Return ``; did you mean 'x'?`` for the closest known name, or an empty text."""
    close = difflib.get_close_matches(name, sorted(set(known)), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def unknown(what: str, name: str, known: Iterable[str]) -> str:
    """Return the message for an unknown name, with a suggestion if there is one."""
    return f"unknown {what} {name!r}{suggestion(name, known)}"


def alternatives(items: Iterable[str]) -> str:
    """Return the distinct items in alphabetical order as ``a, b or c``."""
    ordered = sorted(set(items))
    if len(ordered) < 2:
        return "".join(ordered)
    return f"{', '.join(ordered[:-1])} or {ordered[-1]}"
