"""Common part of all stand-ins: the listener, the ready line and fault switches.

A stand-in defines its fault switches by a subclass of `Faults`.  `POST /faults` accepts
a JSON object with any of its fields; the others keep their values.  It answers, like
`GET /faults`, with the values of all switches.
"""

import asyncio
import dataclasses
import signal
from typing import Any, Final

import pydantic
from tornado import httpserver, netutil, web

LISTEN_ADDRESS: Final = "127.0.0.1"
MAX_BODY_BYTES: Final = 256 * 1024 * 1024


class Faults(pydantic.BaseModel):
    """Base of a stand-in's fault switches; unknown fields are rejected."""

    model_config = pydantic.ConfigDict(extra="forbid", validate_assignment=True)

    def update(self, text: bytes) -> None:
        """Set the fields in the JSON object `text`; none of them if one is invalid.

        Raises
        ------
        pydantic.ValidationError
            If a field is unknown or a value is invalid.
        """
        named = type(self).model_validate_json(text)
        for field in named.model_fields_set:
            setattr(self, field, getattr(named, field))


class FaultsHandler(web.RequestHandler):
    """Reads and changes the fault switches of a stand-in."""

    def initialize(self, faults: Faults) -> None:
        """Receive the stand-in's switches from the routing rule."""
        self._faults = faults

    def get(self) -> None:
        """Answer with the values of all switches."""
        self.set_header("Content-Type", "application/json")
        self.finish(self._faults.model_dump_json())

    def post(self) -> None:
        """Set the switches given in the body."""
        try:
            self._faults.update(self.request.body)
        except pydantic.ValidationError as error:
            self.set_status(400)
            self.finish(str(error))
            return
        self.get()


def faults_rule(faults: Faults) -> tuple[str, type[web.RequestHandler], dict[str, Any]]:
    """Return the routing rule of `/faults` for a stand-in's application."""
    return (r"/faults", FaultsHandler, {"faults": faults})


def drop_connection(handler: web.RequestHandler) -> None:
    """Close the caller's connection without an answer."""
    stream = handler.detach()
    stream.close()


@dataclasses.dataclass(frozen=True)
class RunningServer:
    """A stand-in that serves in this process."""

    server: httpserver.HTTPServer
    port: int

    @property
    def url(self) -> str:
        """Return the base URL of the stand-in."""
        return f"http://{LISTEN_ADDRESS}:{self.port}"

    async def stop(self) -> None:
        """Stop listening and close all open connections."""
        self.server.stop()
        await self.server.close_all_connections()


def start(application: web.Application, port: int = 0) -> RunningServer:
    """Listen in the running event loop; with port 0 the system chooses the port."""
    application.settings.setdefault("log_function", _log_nothing)
    sockets = netutil.bind_sockets(port, address=LISTEN_ADDRESS)
    server = httpserver.HTTPServer(application, max_buffer_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    return RunningServer(server, sockets[0].getsockname()[1])


def _log_nothing(handler: web.RequestHandler) -> None:
    """Replace tornado's access log, which would fill the output of tests."""


def run(application: web.Application, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print `listening PORT` when ready."""
    asyncio.run(_serve(application, port))


async def _serve(application: web.Application, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    running = start(application, port)
    print(f"listening {running.port}", flush=True)
    await stopped.wait()
    running.server.stop()
