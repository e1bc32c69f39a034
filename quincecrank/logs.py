"""Structured logging, as JSON for programs or as text for people."""

import logging
import sys
from typing import Any, Final

import structlog

_LEVEL_BY_NAME: Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure(*, as_json: bool, level: str, vm: str) -> None:
    """Set up the process's log output on standard error.

    Parameters
    ----------
    as_json : bool
        Whether each line is a JSON object instead of text for people.
    level : str
        Lowest level that is written: debug, info, warning or error.
    vm : str
        Value of the field ``vm`` of every line.
    """
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVEL_BY_NAME[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)


def logger(component: str) -> Any:
    """Return a logger whose lines have the field ``component``."""
    return structlog.get_logger(component=component)
