"""Target weights of real processes: no request begins on outdated weights too late.

The deadline of each target version counts from the store's answer to the write that set
it.  Engines print when a stream begins, and on which weights.
"""

import json
import pathlib
import re
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from typing import Final

from standins import platform_fleet
from tests import process_gateway

ENGINES: Final = ("engine-1", "engine-2", "engine-3")
DEADLINE_MS: Final = 8_000
"""Setting `versionMs` of the fleet's gateways."""

CALL_INTERVAL_S: Final = 0.1
EVENTS: Final = 20
"""Length of a stream, for which all slots are needed at times."""

QUEUE_MS: Final = 2_500
QUEUE_FROM_MS: Final = 5_600
"""Time after the target version at which an engine begins to queue requests."""

MIN_SERVED: Final = 0.7
"""Share of the streams that must be answered with success; what had to be withdrawn
from an engine may fail."""

BEGAN: Final = re.compile(r"^began (\d+) id=\S+ weights=(\d+)$", re.MULTILINE)


class WeightVersionsTest(process_gateway.GatewayCallsCase):
    """Some engines refuse the orders to load weights; the others load them."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = platform_fleet.PlatformFleet(pathlib.Path(folder))
        self.enterContext(self.fleet)
        for engine in ENGINES:
            self.fleet.add_server(engine, "drafting")
        for gateway in process_gateway.GATEWAYS:
            self.fleet.add_gateway(gateway)
        for gateway in process_gateway.GATEWAYS:
            process_gateway.wait_until(
                lambda name=gateway: self.stream("/verdict/", 2, name)[0] == 200,  # type: ignore[misc]
                f"streams at {gateway}",
            )
        self.set_ms_by_version: dict[int, float] = {}
        self.statuses: list[int] = []

    def call_until(self, ended: threading.Event) -> None:
        """Request streams of all kinds at all gateways at a steady rate."""
        threads = []

        def call(path: str, gateway: str) -> None:
            self.statuses.append(self.stream(path, EVENTS, gateway)[0])

        while not ended.wait(CALL_INTERVAL_S):
            for gateway in process_gateway.GATEWAYS:
                for path in ("/draft/", "/verdict/"):
                    thread = threading.Thread(target=call, args=(path, gateway))
                    thread.start()
                    threads.append(thread)
        for thread in threads:
            thread.join()

    def late_begins(self) -> list[str]:
        """Return the streams that began on outdated weights after a deadline."""
        late = []
        for name in ENGINES:
            log = self.fleet.process_by_name[name].log()
            for at_ms, weights in BEGAN.findall(log):
                newer = [
                    acknowledged_ms
                    for version, acknowledged_ms in self.set_ms_by_version.items()
                    if version > int(weights)
                ]
                age_ms = int(at_ms) - min(newer, default=int(at_ms))
                if age_ms > DEADLINE_MS:
                    late.append(f"{name} on {weights} after {age_ms:.0f} ms")
        return late

    def refuse_orders(self, *names: str) -> None:
        for name in names:
            process = self.fleet.process_by_name[name]
            self.fleet.set_faults(process, refuse_orders=True)

    def set_target(self, version: int) -> None:
        self.fleet.set_target_weights(version)
        self.set_ms_by_version[version] = time.time() * 1000

    def check(self, until_ms: int, at_ms: int, action: Callable[[], None]) -> None:
        """Set target version 2, and check the streams up to some time after it.

        Parameters
        ----------
        at_ms : int
            Time after the target version at which `action` is called.
        """
        self.refuse_orders(ENGINES[0])
        ended = threading.Event()
        caller = threading.Thread(target=self.call_until, args=(ended,))
        caller.start()
        try:
            time.sleep(1)
            self.set_target(2)
            time.sleep(at_ms / 1000)
            action()
            first_ms = self.set_ms_by_version[2]
            time.sleep(max(0, first_ms + until_ms - time.time() * 1000) / 1000)
        finally:
            ended.set()
            caller.join()
        self.assertEqual(self.late_begins(), [])
        served = self.statuses.count(200)
        self.assertGreater(served, len(self.statuses) * MIN_SERVED)

    def weights_of(self, name: str) -> int:
        url = self.fleet.process_by_name[name].url
        report = json.loads(platform_fleet.call(f"{url}/report"))
        return int(report["models"][0]["version"])

    def test_a_second_target_version_gave_outdated_weights_more_time(self) -> None:
        """The deadline of version 2 was replaced by the later one of version 3."""
        self.check(DEADLINE_MS + 2_500, 4_000, lambda: self.set_target(3))

    def test_queued_requests_began_on_outdated_weights_after_the_deadline(self) -> None:
        """They were sent before the deadline, and the engine began them later."""
        engine = self.fleet.process_by_name[ENGINES[0]]
        self.check(
            DEADLINE_MS + QUEUE_MS,
            QUEUE_FROM_MS,
            lambda: self.fleet.set_faults(engine, queue_ms=QUEUE_MS),
        )

    def test_engines_that_refuse_orders_kept_another_one_outdated(self) -> None:
        """They were ordered again and again, and the third engine never."""
        self.refuse_orders(*ENGINES[:2])
        self.set_target(2)
        process_gateway.wait_until(
            lambda: (
                time.time() * 1000 - self.set_ms_by_version[2] > DEADLINE_MS
                or self.weights_of(ENGINES[2]) == 2
            ),
            "the end of the deadline",
        )
        self.assertEqual(self.weights_of(ENGINES[2]), 2)


if __name__ == "__main__":
    unittest.main()
