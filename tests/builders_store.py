"""Builders of rows and answers of the platform's store."""

from quincecrank import store_rows


def at(version: int, era: int = store_rows.FIRST_ERA) -> store_rows.Position:
    """Return the position of `version`."""
    return store_rows.Position(era, version)


def make_row(
    key: str,
    text: str,
    version: int,
    *,
    era: int = store_rows.FIRST_ERA,
    is_removed: bool = False,
) -> store_rows.Row:
    """Return a row as the store returns it, or the tombstone of a removed one."""
    return store_rows.Row(key, text, at(version, era), is_removed)


def make_rows(
    version: int, *rows: store_rows.Row, era: int = store_rows.FIRST_ERA
) -> store_rows.Rows:
    """Return an answer with `rows` as of `version`."""
    return store_rows.Rows(rows, at(version, era))
