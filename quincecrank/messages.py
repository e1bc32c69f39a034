"""Phrases that the messages of findings share."""

import difflib
from collections.abc import Iterable


def suggestion(name: str, known: Iterable[str]) -> str:
    """Return ``; did you mean 'x'?`` for the nearest known name, or nothing."""
    close = difflib.get_close_matches(name, sorted(set(known)), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def unknown(what: str, name: str, known: Iterable[str]) -> str:
    """Return the message for a name that is not known."""
    return f"unknown {what} {name!r}{suggestion(name, known)}"


def alternatives(items: Iterable[str]) -> str:
    """Return the items in order as ``a, b or c``."""
    ordered = sorted(set(items))
    if len(ordered) < 2:
        return "".join(ordered)
    return f"{', '.join(ordered[:-1])} or {ordered[-1]}"
