"""Tests of gateways as real processes with backend servers that limit requests.

Mutation (`test_the_checker_counts_requests_beyond_a_limit`): answers whose limit the
gateways can't read, so that they send as without one.
"""

import contextlib
import pathlib
import tempfile
import threading
import time
from collections.abc import Iterator
from typing import Final

from standins import platform_fleet
from tests import process_gateway, rate_limit_checker, rate_limit_process_soak

GATEWAYS: Final = ("entry-1", "entry-2", "entry-3", "entry-4")
ENGINES: Final = ("engine-1", "engine-2")
RECORDS: Final = ("record-1", "record-2")
CALLERS_PER_GATEWAY: Final = 2
CALL_INTERVAL_S: Final = 0.04
LIMITED_S: Final = 9.0

wait_until = process_gateway.wait_until


class RateLimitTest(process_gateway.GatewayCallsCase):
    """Tests that share one fleet; each ends without limits."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.fleet = platform_fleet.PlatformFleet(pathlib.Path(folder))
        cls.enterClassContext(cls.fleet)
        for engine in ENGINES:
            cls.fleet.add_server(engine, "drafting")
        for server in RECORDS:
            cls.fleet.add_server(server, "records")
        for gateway in GATEWAYS:
            cls.fleet.add_gateway(gateway)

    def setUp(self) -> None:
        for gateway in GATEWAYS:
            wait_until(lambda name=gateway: self.fleet.is_ready(name), gateway)  # type: ignore[misc]
            wait_until(
                lambda name=gateway: self.ask("/look/x", gateway=name)[0] == 200,  # type: ignore[misc]
                f"records served at {gateway}",
            )
        wait_until(lambda: self.stream("/verdict/", 2)[0] == 200, "drafts served")

    def set_limit(self, server: str, text: str) -> rate_limit_checker.LimitChange:
        """Change the limit that a server names; an empty text ends it."""
        process = self.fleet.process_by_name[server]
        self.fleet.set_faults(process, rate_limit=text)
        limit = float(text) if text else None
        return rate_limit_checker.LimitChange(rate_limit_process_soak.wall_ms(), limit)

    def headers(self, **more: str) -> dict[str, str]:
        """Return a caller's headers; the request id names the calling thread."""
        headers = super().headers(**more)
        name = threading.current_thread().name
        return {**headers, "Request-Id": f"{name}/{headers['Request-Id']}"}

    @contextlib.contextmanager
    def load(self) -> Iterator[None]:
        """Send requests to every gateway, from threads that bear its name."""
        stopped = threading.Event()

        def call(gateway: str) -> None:
            while not stopped.wait(CALL_INTERVAL_S):
                self.ask("/look/x", gateway=gateway)
                self.stream("/draft/", 2, gateway)

        threads = [
            threading.Thread(target=call, args=(gateway,), name=gateway)
            for gateway in GATEWAYS
            for _ in range(CALLERS_PER_GATEWAY)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            stopped.set()
            for thread in threads:
                thread.join()

    def arrivals(self, server: str) -> list[rate_limit_checker.Arrival]:
        return [
            rate_limit_checker.Arrival(
                float(words[1]), rate_limit_checker.gateway_of(words[2])
            )
            for words in self.log_words(server, "arrived")
        ]

    def answers(self, server: str) -> list[rate_limit_checker.Answer]:
        return [
            rate_limit_checker.Answer(
                float(words[1]),
                rate_limit_checker.gateway_of(words[2]),
                float(words[3]),
            )
            for words in self.log_words(server, "named")
        ]

    def log_words(self, server: str, event: str) -> list[list[str]]:
        lines = self.fleet.process_by_name[server].log().splitlines()
        return [line.split() for line in lines if line.startswith(f"{event} ")]

    def test_all_gateways_together_keep_the_limit_of_a_server(self) -> None:
        """Gateways that each read a limit sent it several times as many requests."""
        changes = {}
        with self.load():
            changes["record-1"] = [self.set_limit("record-1", "2")]
            changes["engine-1"] = [self.set_limit("engine-1", "1.5")]
            time.sleep(LIMITED_S)
            changes["record-1"].append(self.set_limit("record-1", ""))
            changes["engine-1"].append(self.set_limit("engine-1", ""))
            wait_until(
                lambda: not rate_limit_process_soak.assumed_limits(self.fleet),
                "every gateway notices the end of the limits",
            )
        found = [
            line
            for server, made in changes.items()
            for line in rate_limit_checker.excess_requests(
                server, made, self.arrivals(server), self.answers(server)
            )
        ]
        self.assertEqual(found, [])

    def test_the_checker_counts_requests_beyond_a_limit(self) -> None:
        """The checker reports gateways that send on as without a limit."""
        with self.load():
            change = rate_limit_checker.LimitChange(
                rate_limit_process_soak.wall_ms(), 2.0
            )
            for server in RECORDS:
                process = self.fleet.process_by_name[server]
                self.fleet.set_faults(process, rate_limit="two")
            time.sleep(rate_limit_checker.CONTACT_MS / 1_000 + 1)
            for server in RECORDS:
                self.set_limit(server, "")
        named = [
            rate_limit_checker.Answer(
                float(words[1]), rate_limit_checker.gateway_of(words[2]), 2.0
            )
            for words in self.log_words("record-1", "named")
        ]
        found = rate_limit_checker.excess_requests(
            "record-1", [change], self.arrivals("record-1"), named
        )
        self.assertEqual(len(found), 1)

    def test_limits_hold_while_gateways_freeze_end_and_restart(self) -> None:
        """A seed of the soak, of which `rate_limit_process_soak` runs more by hand."""
        self.assertEqual(rate_limit_process_soak.violations(1, 5, 20.0), [])
