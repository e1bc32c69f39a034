"""Stand-in of the plain services beside the engines: it records calls.

It does not deduplicate: releases and installs are recorded as often as they arrive.
The ledger shows each record with its client account and idempotency key, so that tests
can count how often a call ran.
"""

import dataclasses
import os
from typing import Final

import fire
from tornado import web

from quincecrank import clock as clocks
from standins import serving

CRASH_EXIT_CODE: Final = 70

IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
ACCOUNT_HEADER: Final = "X-Client-Account"


class PlainServiceFaults(serving.Faults):
    """Fault switches of a plain service.

    Attributes
    ----------
    slow_ms : int
        Delay in milliseconds before a call takes effect.
    drop_answers : bool
        Whether calls take effect and their connection is then closed.
    crash_on : str
        The process ends at a call whose body contains this text; empty for none.
    crash_after_effect : bool
        Whether such a call is recorded before the process ends.
    """

    slow_ms: int = 0
    drop_answers: bool = False
    crash_on: str = ""
    crash_after_effect: bool = False


@dataclasses.dataclass(frozen=True)
class Record:
    """One recorded call.

    Attributes
    ----------
    number : int
        Number of the record, from 1 in each process.
    kind : str
        "releases" or "installs".
    """

    number: int
    kind: str
    account: str
    idempotency_key: str
    body: str


class PlainService:
    """The records of one service process."""

    def __init__(self) -> None:
        self.faults = PlainServiceFaults()
        self.clock = clocks.SystemClock()
        self.records: list[Record] = []

    def append(self, kind: str, account: str, key: str, body: str) -> Record:
        """Record a call, also if its key has been recorded before."""
        record = Record(len(self.records) + 1, kind, account, key, body)
        self.records.append(record)
        return record

    def matching(self, account: str, text: str) -> list[Record]:
        """Return an account's records whose body contains `text`."""
        return [
            record
            for record in self.records
            if record.account == account and text in record.body
        ]


class ServiceHandler(web.RequestHandler):
    """Base of the service's handlers."""

    def initialize(self, service: PlainService) -> None:
        """Receive the service from the routing rule."""
        self.service = service

    @property
    def account(self) -> str:
        """Return the client account in the request's header, or an empty string."""
        return self.request.headers.get(ACCOUNT_HEADER, "")

    async def pause(self) -> None:
        """Wait for the delay of the fault `slow_ms`."""
        if self.service.faults.slow_ms:
            await self.service.clock.sleep(self.service.faults.slow_ms)

    def answer(self, status: int, body: dict[str, object]) -> None:
        """Send a JSON answer, or none with the fault `drop_answers`."""
        if self.service.faults.drop_answers:
            serving.drop_connection(self)
            return
        self.set_status(status)
        self.finish(body)


class RecordHandler(ServiceHandler):
    """`POST /releases` and `POST /installs`: records a call."""

    async def post(self, kind: str) -> None:
        """Answer 201 with the record's number."""
        await self.pause()
        body = self.request.body.decode(errors="replace")
        faults = self.service.faults
        crashes = faults.crash_on and faults.crash_on in body
        if crashes and not faults.crash_after_effect:
            os._exit(CRASH_EXIT_CODE)
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        record = self.service.append(kind, self.account, key, body)
        if crashes:
            os._exit(CRASH_EXIT_CODE)
        self.answer(201, {"number": record.number, "kind": kind})


class LookUpHandler(ServiceHandler):
    """`GET /filed` and `GET /status`: finds the caller's own records."""

    async def get(self) -> None:
        """Answer with the records that contain the text of argument `q`."""
        await self.pause()
        found = self.service.matching(self.account, self.get_query_argument("q", ""))
        records = [{"number": each.number, "body": each.body} for each in found]
        self.answer(200, {"records": records})


class LedgerHandler(ServiceHandler):
    """`GET /ledger`: shows every record, for tests."""

    def get(self) -> None:
        """Answer with all records; faults do not affect this call."""
        records = [dataclasses.asdict(record) for record in self.service.records]
        self.finish({"records": records})


class HealthHandler(ServiceHandler):
    """`GET /health`: shows that the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.finish({})


def make_application(service: PlainService) -> web.Application:
    """Return the HTTP application of a plain service."""
    arguments = {"service": service}
    return web.Application(
        [
            (r"/(releases|installs)", RecordHandler, arguments),
            (r"/(?:filed|status)", LookUpHandler, arguments),
            (r"/ledger", LedgerHandler, arguments),
            (r"/health", HealthHandler, arguments),
            serving.faults_rule(service.faults),
        ],
        log_function=lambda handler: None,
    )


def main(port: int = 0) -> None:
    """Run one plain service."""
    serving.run(make_application(PlainService()), port)


if __name__ == "__main__":
    fire.Fire(main)
