"""Tests of gateways as real processes, with faults injected by signals and switches.

No test asserts how long something takes: each step waits until its condition holds, up
to a limit that only a hang reaches.
"""

import http.client
import json
import pathlib
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from typing import ClassVar, Final

from standins import platform_fleet

LIMIT_S: Final = 60.0
POLL_S: Final = 0.05
GATEWAYS: Final = ("entry-1", "entry-2")
ENGINES: Final = ("engine-1", "engine-2", "engine-3")


def wait_until(holds: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; raise AssertionError after `LIMIT_S`."""
    deadline = time.monotonic() + LIMIT_S
    while not holds():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting for: {what}")
        time.sleep(POLL_S)


class GatewayCallsCase(unittest.TestCase):
    """Base of tests that call the gateways of a fleet."""

    fleet: platform_fleet.PlatformFleet
    request_count: ClassVar[int] = 0

    def new_id(self) -> str:
        type(self).request_count += 1
        return f"q-{self.request_count}"

    def connect(self, gateway: str = "entry-1") -> http.client.HTTPConnection:
        return self.fleet.connect(gateway, LIMIT_S)

    def headers(self, **more: str) -> dict[str, str]:
        return {
            **platform_fleet.caller_headers(self.new_id()),
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    def ask(
        self, path: str, body: bytes | None = None, gateway: str = "entry-1"
    ) -> tuple[int, bytes]:
        """Return status and body of an answer; status 0 means a failed connection."""
        connection = self.connect(gateway)
        try:
            method = "GET" if body is None else "POST"
            connection.request(method, path, body, self.headers())
            response = connection.getresponse()
            return response.status, response.read()
        except (http.client.HTTPException, OSError):
            return 0, b""
        finally:
            connection.close()

    def stream(
        self, path: str, events: int, gateway: str = "entry-1", body: bytes = b"p"
    ) -> tuple[int, bytes]:
        """Request a stream; the status is 0 if the connection failed."""
        connection = self.connect(gateway)
        headers = self.headers(
            Model=platform_fleet.MODEL,
            Token_Count=f"100,{events}",
            Prompt_Prefix="a1:60,b2:40",
        )
        try:
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (http.client.HTTPException, OSError):
            return 0, b""
        finally:
            connection.close()


class GatewayProcessesTest(GatewayCallsCase):
    """Tests that share one fleet; each ends with all processes running."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.fleet = platform_fleet.PlatformFleet(pathlib.Path(folder))
        cls.enterClassContext(cls.fleet)
        for engine in ENGINES:
            cls.fleet.add_server(engine, "drafting")
        for server in ("record-1", "record-2"):
            cls.fleet.add_server(server, "records")
        for gateway in GATEWAYS:
            cls.fleet.add_gateway(gateway)

    def setUp(self) -> None:
        for gateway in GATEWAYS:
            wait_until(lambda name=gateway: self.fleet.is_ready(name), gateway)  # type: ignore[misc]
        wait_until(lambda: self.ask("/look/x")[0] == 200, "records served")
        wait_until(lambda: self.stream("/verdict/", 2)[0] == 200, "drafts served")

    def busy_engines(self) -> list[str]:
        """Return the engines with a running request."""
        busy = []
        for name in ENGINES:
            url = self.fleet.process_by_name[name].url
            if json.loads(platform_fleet.call(f"{url}/report"))["active"]:
                busy.append(name)
        return busy

    def runs_of(self, request_id: str) -> int:
        """Return how often servers ran a request, according to their logs."""
        names = (*ENGINES, "record-1", "record-2")
        logs = [self.fleet.process_by_name[name].log() for name in names]
        return sum(log.split().count(request_id) for log in logs)

    def test_requests_pass_both_gateways(self) -> None:
        """Both gateways serve records and streams."""
        for gateway in GATEWAYS:
            with self.subTest(gateway):
                status, body = self.ask("/record/7", b"release", gateway)
                self.assertEqual((status, body), (200, b"POST /record/7"))
                status, body = self.stream("/draft/", 3, gateway)
                self.assertEqual(status, 200)
                self.assertEqual(body.count(b"data: token"), 3)

    def test_a_killed_engine_breaks_no_resumable_stream(self) -> None:
        """Streams of a killed engine resume at another one without loss or repeat."""
        results: list[tuple[int, bytes]] = []

        def ask() -> None:
            results.append(self.stream("/draft/", 100))

        threads = [threading.Thread(target=ask) for _ in range(6)]
        for thread in threads:
            thread.start()
        wait_until(lambda: bool(self.busy_engines()), "work at an engine")
        victim = self.busy_engines()[0]
        self.fleet.process_by_name[victim].kill()
        self.addCleanup(self.fleet.add_server, victim, "drafting")
        for thread in threads:
            thread.join()
        expected = "".join(f"id: {n}\ndata: token {n} of v1\n\n" for n in range(1, 101))
        self.assertEqual(set(results), {(200, expected.encode())})

    def test_a_frozen_store_stops_no_request(self) -> None:
        """Gateways serve requests while their store does not respond."""
        self.fleet.store.freeze()
        try:
            for _ in range(10):
                self.assertEqual(self.ask("/record/x", b"release")[0], 200)
                self.assertEqual(self.stream("/draft/", 2)[0], 200)
        finally:
            self.fleet.store.thaw()

    def test_a_restarted_gateway_learns_from_a_peer_while_the_store_refuses(
        self,
    ) -> None:
        """A gateway that starts without the store reads its tables from a peer."""
        victim = self.fleet.process_by_name["entry-2"]
        victim.kill()
        self.fleet.set_faults(self.fleet.store, down="refused")
        try:
            self.fleet.add_gateway("entry-2")
            wait_until(lambda: self.fleet.is_ready("entry-2"), "ready from a peer")
            self.assertEqual(self.ask("/look/x", gateway="entry-2")[0], 200)
        finally:
            self.fleet.set_faults(self.fleet.store, down="no")

    def test_a_configuration_takes_effect_and_never_goes_back(self) -> None:
        """A newer configuration takes effect; an older one written later does not."""
        added = platform_fleet.route("r-9", "/added/", "records", "idempotent")
        self.fleet.write_operator_row("config", platform_fleet.configuration(5, added))
        for gateway in GATEWAYS:
            wait_until(
                lambda name=gateway: self.ask("/added/", gateway=name)[0] == 200,  # type: ignore[misc]
                f"the new route at {gateway}",
            )
        self.fleet.write_operator_row("config", platform_fleet.configuration(4))
        self.fleet.write_operator_row("config", platform_fleet.configuration(6))
        for gateway in GATEWAYS:
            wait_until(
                lambda name=gateway: self.ask("/added/", gateway=name)[0] == 404,  # type: ignore[misc]
                f"the removed route at {gateway}",
            )

    def test_a_terminated_gateway_finishes_its_streams(self) -> None:
        """After SIGTERM a gateway completes its running streams, then exits with 0."""
        results: list[tuple[int, bytes]] = []
        thread = threading.Thread(
            target=lambda: results.append(self.stream("/verdict/", 60, "entry-2"))
        )

        def begun_streams() -> int:
            engines = (self.fleet.process_by_name[name] for name in ENGINES)
            return sum(engine.log().count("began ") for engine in engines)

        before = begun_streams()
        thread.start()
        process = self.fleet.process_by_name["entry-2"]
        wait_until(lambda: begun_streams() > before, "the stream at an engine")
        process.terminate()
        wait_until(lambda: not self.fleet.is_ready("entry-2"), "not ready")
        thread.join()
        self.assertEqual(results[0][0], 200)
        self.assertEqual(results[0][1].count(b"data: token"), 60)
        self.assertEqual(process.wait(LIMIT_S), 0)
        self.fleet.add_gateway("entry-2")

    def test_new_weights_reach_every_engine_by_one_holder(self) -> None:
        """One gateway, the holder of the order lease, orders new weights everywhere."""
        self.fleet.set_target_weights(2)

        def orders(name: str) -> list[str]:
            log = self.fleet.process_by_name[name].log()
            return [line for line in log.splitlines() if line.startswith("order 2")]

        for engine in ENGINES:
            wait_until(lambda name=engine: bool(orders(name)), f"an order at {engine}")  # type: ignore[misc]
        given = [line for engine in ENGINES for line in orders(engine)]
        self.assertEqual(len(set(given)), 1)
        self.assertEqual(len(given), len(ENGINES))
        wait_until(lambda: self.stream("/verdict/", 2)[0] == 200, "served on 2")

    def test_a_record_of_unknown_outcome_runs_at_most_once_and_is_not_refused(
        self,
    ) -> None:
        """A service loses answers: a record runs once at most, never after a 503."""
        for name in ("record-1", "record-2"):
            self.fleet.set_faults(self.fleet.process_by_name[name], lose_answers=0.5)
        try:
            statuses = []
            for number in range(40):
                connection = self.connect()
                headers = self.headers()
                connection.request("POST", "/record/x", b"r%d" % number, headers)
                status = connection.getresponse().status
                connection.close()
                statuses.append(status)
                runs = self.runs_of(headers["Request-Id"])
                self.assertLessEqual(runs, 1)
                if status == 503:
                    self.assertEqual(runs, 0)
            self.assertIn(502, statuses)
        finally:
            for name in ("record-1", "record-2"):
                process = self.fleet.process_by_name[name]
                self.fleet.set_faults(process, lose_answers=0.0)

    def test_each_request_can_be_followed_in_the_log(self) -> None:
        """The log has the events of a request under its id."""
        connection = self.connect()
        headers = self.headers()
        connection.request("POST", "/record/x", b"r", headers)
        connection.getresponse().read()
        connection.close()
        # The last log lines are written after the answer is sent.
        wait_until(
            lambda: "request ended" in self.events_of(headers["Request-Id"]),
            "the end of the request in the log",
        )
        events = self.events_of(headers["Request-Id"])
        self.assertEqual(events, ["placed", "attempt", "request ended"])

    def events_of(self, request_id: str) -> list[str]:
        log = self.fleet.process_by_name["entry-1"].log()
        lines = [
            json.loads(line)
            for line in log.splitlines()
            if line.startswith("{") and line.endswith("}")
        ]
        return [line["event"] for line in lines if line.get("request") == request_id]


def load_tests(
    loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str | None
) -> unittest.TestSuite:
    """Run the tests in the order of their names: one of the last changes weights."""
    names = loader.getTestCaseNames(GatewayProcessesTest)
    return unittest.TestSuite(GatewayProcessesTest(name) for name in names)
