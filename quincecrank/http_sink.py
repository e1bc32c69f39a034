"""Writes answers to callers and limits what is buffered for slow ones."""

from typing import Final

from tornado import iostream

from quincecrank import http_base, logs, stream_messages

MAX_UNSENT_EVENT_BYTES: Final = 512 * 1024
"""Bytes of an event stream that are buffered for a slow caller."""

MAX_UNSENT_ANSWER_BYTES: Final = 8 * 1024 * 1024
"""Bytes of any other answer that are buffered for a slow caller."""

_REPLACED_HEADERS: Final = ("Content-Type", "Date", "Server")
"""Headers of this server that the plain service's own replace."""

_LOG: Final = logs.logger("http")


class HttpSink:
    """Writes an answer to the caller's connection as it arrives.

    Parameters
    ----------
    max_unsent_bytes : int
        The connection is closed when more than this waits to be sent.
    """

    def __init__(
        self,
        handler: http_base.CallerHandler,
        max_unsent_bytes: int = MAX_UNSENT_ANSWER_BYTES,
    ) -> None:
        self._handler = handler
        handler.limit_unsent(max_unsent_bytes)

    def handle_head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Set the status and headers of the answer, except the request id."""
        handler = self._handler
        if handler._finished:
            return
        handler.set_status(status)
        for name in _REPLACED_HEADERS:
            handler.clear_header(name)
        for field in headers:
            if field.name.lower() == http_base.REQUEST_ID_HEADER.lower():
                continue
            try:
                handler.add_header(field.name, field.value)
            except ValueError:
                _LOG.warning("invalid header dropped", request_id=handler.request_id)

    def handle_body(self, data: bytes) -> None:
        """Write bytes; closes the connection of a caller that reads too slowly."""
        handler = self._handler
        if handler._finished:
            return
        handler.write(data)
        try:
            handler.flush()
        except iostream.StreamBufferFullError:
            _LOG.info("caller does not read", request_id=handler.request_id)
            handler.abort_connection()
            handler.on_connection_close()
