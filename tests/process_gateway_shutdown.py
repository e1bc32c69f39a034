"""Tests of gateway processes that get SIGTERM while callers use them."""

import dataclasses
import functools
import http.client
import os
import pathlib
import signal
import tempfile
import threading
import time
import unittest.mock
from typing import ClassVar, Final

from standins import launcher, platform_fleet
from tests import mutable_fleet, process_gateway, shutdown_checker

GRACE_S: Final = 8.0
"""Time from SIGTERM to SIGKILL."""

EVENT_S: Final = 0.07
STREAM_LIMIT_MS: Final = 15_000
STREAM_ENDS_S: Final = (4.5, 5.5, 6.0, 6.3, 6.6, 9.0, 10.0, 11.0)
"""Time after SIGTERM at which each stream would end."""


class ShutdownTest(process_gateway.GatewayCallsCase):
    """Each test stops a gateway and starts it again."""

    server: ClassVar[launcher.Process]

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.fleet = platform_fleet.PlatformFleet(pathlib.Path(folder))
        cls.enterClassContext(cls.fleet)
        cls.server = cls.fleet.add_server("record-1", "records")

    def setUp(self) -> None:
        self.gateway = self.fleet.add_gateway("entry-1")
        self.wait_served()
        self.fleet.set_faults(self.server, answer_ms=0)

    def wait_served(self) -> None:
        """Wait until the gateway serves requests."""
        process_gateway.wait_until(
            lambda: self.ask("/record/", b"x")[0] == 200, "a served request"
        )

    def kill_after_grace(self, signalled_s: float) -> None:
        """Do what the operator does: SIGKILL at the end of the grace time."""
        while self.gateway.running and time.monotonic() < signalled_s + GRACE_S:
            time.sleep(process_gateway.POLL_S)
        if self.gateway.running:
            self.gateway.kill()

    def test_a_request_was_begun_that_could_not_end_in_the_grace_time(self) -> None:
        """The grace time was counted from when the process noticed the signal."""
        served = self.server.log().count("ran")
        self.fleet.set_faults(self.server, answer_ms=5_000)
        earlier = self.connect()
        earlier.request("POST", "/record/", b"x", self.headers())
        process_gateway.wait_until(
            lambda: self.server.log().count("ran") > served, "the earlier request"
        )
        self.gateway.freeze()
        signalled_s = time.monotonic()
        self.gateway.terminate()
        time.sleep(1.5)
        self.gateway.thaw()
        time.sleep(2.0)
        late = self.connect()
        late.request("POST", "/record/", b"x", self.headers())
        try:
            self.kill_after_grace(signalled_s)
            statuses = [each.getresponse().status for each in (earlier, late)]
        except (http.client.HTTPException, OSError):
            statuses = []
        finally:
            earlier.close()
            late.close()
        self.assertEqual(statuses, [200, 503])

    def test_signals_that_overlap_lose_no_request(self) -> None:
        """SIGTERM and SIGINT again, and SIGHUP, while a request is open."""
        self.fleet.set_faults(self.server, answer_ms=1_500)
        served = self.server.log().count("ran")
        earlier = self.connect()
        earlier.request("POST", "/record/", b"x", self.headers())
        process_gateway.wait_until(
            lambda: self.server.log().count("ran") > served, "the earlier request"
        )
        signalled_s = time.monotonic()
        for _ in range(3):
            self.gateway.reload()
            self.gateway.terminate()
            time.sleep(0.1)
        os.kill(self.gateway.pid, signal.SIGINT)
        self.assertEqual(earlier.getresponse().status, 200)
        earlier.close()
        self.kill_after_grace(signalled_s)
        self.assertEqual(self.gateway.exit_code, 0)

    def test_a_request_at_a_gateway_that_ends_while_it_starts_is_answered(self) -> None:
        """SIGTERM as soon as it accepts connections, with no configuration read."""
        for _ in range(3):
            self.gateway.terminate()
            self.gateway.wait(GRACE_S)
            self.gateway = self.fleet.add_gateway("entry-1")
            connection = self.connect()
            process_gateway.wait_until(
                functools.partial(_connects, connection), "the listener"
            )
            signalled_s = time.monotonic()
            self.gateway.terminate()
            connection.request("POST", "/record/", b"x", self.headers())
            self.assertIn(connection.getresponse().status, (200, 503))
            connection.close()
            self.kill_after_grace(signalled_s)
            self.assertEqual(self.gateway.exit_code, 0)


@dataclasses.dataclass
class StreamEnd:
    """How a stream ended for its caller.

    Attributes
    ----------
    ended_s : float
        Monotonic time.
    """

    is_complete: bool = False
    ended_s: float = float("inf")


class StreamsTest(process_gateway.GatewayCallsCase):
    """Streams that are open when their gateway gets SIGTERM."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = platform_fleet.PlatformFleet(pathlib.Path(folder))
        self.enterContext(self.fleet)
        route = platform_fleet.route(
            "r-5",
            "/script/",
            "drafting",
            "streaming",
            resumable=True,
            timeoutMs=STREAM_LIMIT_MS,
        )
        document = platform_fleet.configuration(2, route)
        self.fleet.write_operator_row("config", document)
        self.engine = self.fleet.add_server("engine-1", "drafting", slots=16)
        self.fleet.set_faults(self.engine, event_ms=int(EVENT_S * 1_000))
        self.gateway = self.fleet.add_gateway("entry-1")
        process_gateway.wait_until(
            lambda: self.ask("/record/")[0] != 0 and self.fleet.is_ready("entry-1"),
            "readiness",
        )
        self.ends: list[StreamEnd] = []
        self.readers: list[threading.Thread] = []

    def open_stream(self, events: int) -> None:
        """Begin a stream, which a thread reads until it ends."""
        connection = self.connect()
        headers = self.headers(
            Model=platform_fleet.MODEL,
            Token_Count=f"100,{events}",
            Prompt_Prefix="aa:60,bb:40",
            Deadline_Ms=str(STREAM_LIMIT_MS),
        )
        connection.request("POST", "/script/", b"x", headers)
        answer = connection.getresponse()
        self.assertEqual(answer.status, 200)
        end = StreamEnd()
        self.ends.append(end)
        reader = threading.Thread(target=_read_stream, args=(connection, answer, end))
        reader.start()
        self.readers.append(reader)

    def test_streams_were_cut_before_the_last_sixth_of_the_grace_time(self) -> None:
        """SIGTERM at the end of a stop of the process was taken as sent before it."""
        stopped_s = 1.2
        begun_s = time.monotonic()
        for end_s in STREAM_ENDS_S:
            self.open_stream(int((end_s + stopped_s) / EVENT_S))
        time.sleep(max(0.0, begun_s + 0.5 - time.monotonic()))
        self.gateway.freeze()
        time.sleep(stopped_s)
        signalled_s = time.monotonic()
        self.gateway.terminate()
        self.gateway.thaw()
        for reader in self.readers:
            reader.join()
        self.gateway.wait(GRACE_S)
        late_s = shutdown_checker.LATE_GRACE_MS / 1_000
        cut_after_s = [
            round(end.ended_s - signalled_s, 2)
            for end in self.ends
            if not end.is_complete and end.ended_s - signalled_s < late_s
        ]
        self.assertEqual(cut_after_s, [])
        is_short = [end_s < late_s for end_s in STREAM_ENDS_S]
        complete = [end.is_complete for end in self.ends]
        self.assertEqual(complete, is_short)


class UncancelledTasksTest(unittest.TestCase):
    def test_a_task_that_ignored_its_cancellation_kept_the_process_running(
        self,
    ) -> None:
        """The process waited for all tasks, until SIGKILL."""
        mutation = {"QUINCE_MUTATION": "ignore-cancellations"}
        self.enterContext(unittest.mock.patch.dict(os.environ, mutation))
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        fleet = self.enterContext(mutable_fleet.MutableFleet(folder))
        gateway = fleet.add_gateway("entry-1")
        process_gateway.wait_until(lambda: fleet.is_ready("entry-1"), "readiness")
        gateway.terminate()
        self.assertEqual(gateway.wait(GRACE_S), 0)


def _connects(connection: http.client.HTTPConnection) -> bool:
    try:
        connection.connect()
    except OSError:
        return False
    return True


def _read_stream(
    connection: http.client.HTTPConnection,
    answer: http.client.HTTPResponse,
    end: StreamEnd,
) -> None:
    """Read a stream to its end, and note how it ended."""
    try:
        while answer.read(1):
            pass
        end.is_complete = True
    except (http.client.HTTPException, OSError):
        end.is_complete = False
    finally:
        end.ended_s = time.monotonic()
        connection.close()
