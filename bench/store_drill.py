"""What a restore of the platform's store costs a fleet, with real processes.

``python -m bench.store_drill --gateways 10`` starts gateways and backend servers on
loopback, takes a copy, restores it some seconds later, and prints the calls that the
store got and the share of requests that were served, in the window before the restore
and in the one after it.
"""

import http.client
import pathlib
import re
import tempfile
import threading
import time
from typing import Final

import fire

from standins import platform_fleet

WINDOW_S: Final = 6.0
READY_LIMIT_S: Final = 120.0
ASK_INTERVAL_S: Final = 0.02


class Caller:
    """Asks the gateways in turn until it is ended; counts what it gets."""

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        self._fleet = fleet
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.asked = 0
        self.served = 0
        self._thread.start()

    def end(self) -> None:
        """Stop asking."""
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        gateways = tuple(self._fleet.ip_by_gateway)
        while not self._ended.wait(ASK_INTERVAL_S):
            gateway = gateways[self.asked % len(gateways)]
            self.asked += 1
            self.served += self._ask(gateway)

    def _ask(self, gateway: str) -> bool:
        connection = http.client.HTTPConnection(
            self._fleet.ip_by_gateway[gateway],
            self._fleet.callers_port_by_gateway[gateway],
            timeout=5.0,
        )
        headers = {
            "Host": platform_fleet.HOST,
            "Request-Id": f"drill-{self.asked}",
            "Authorization": f"Token {platform_fleet.KEY}",
            "Deadline-Ms": "4000",
        }
        try:
            connection.request("GET", "/look/x", None, headers)
            return connection.getresponse().status == http.client.OK
        except (http.client.HTTPException, OSError):
            return False
        finally:
            connection.close()


def main(gateways: int = 10) -> None:
    """Run one drill.

    Parameters
    ----------
    gateways : int
        Size of the fleet.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        platform_fleet.PlatformFleet(pathlib.Path(folder)) as fleet,
    ):
        for number in range(3):
            fleet.add_server(f"engine-{number}", "drafting")
            fleet.add_server(f"record-{number}", "records")
        for number in range(gateways):
            fleet.add_gateway(f"entry-{number}")
        _await_ready(fleet)
        time.sleep(WINDOW_S)
        fleet.copy_store()
        _window(fleet, "before")
        fleet.restore_store(rewrite_ms=500)
        _window(fleet, "after")
        print("until all tables were whole:", _whole_times_ms(fleet), "ms")


def _await_ready(fleet: platform_fleet.PlatformFleet) -> None:
    deadline = time.monotonic() + READY_LIMIT_S
    while not all(fleet.is_ready(name) for name in fleet.ip_by_gateway):
        if time.monotonic() > deadline:
            raise TimeoutError("the fleet did not get ready")
        time.sleep(0.2)


def _window(fleet: platform_fleet.PlatformFleet, name: str) -> None:
    before = fleet.store_calls()
    caller = Caller(fleet)
    time.sleep(WINDOW_S)
    caller.end()
    after = fleet.store_calls()
    calls = {kind: after[kind] - before.get(kind, 0) for kind in sorted(after)}
    print(
        f"{name}, {WINDOW_S:.0f} s:"
        f" served {caller.served} of {caller.asked}; calls {calls}"
    )


def _whole_times_ms(fleet: platform_fleet.PlatformFleet) -> str:
    times = []
    for name in fleet.ip_by_gateway:
        log = fleet.process_by_name[name].log()
        found = re.findall(r'"took_ms": ?(\d+), ?"event": ?"tables whole', log)
        found += re.findall(r'tables whole after a restore".*?"took_ms": ?(\d+)', log)
        times += [int(each) for each in found]
    if not times:
        return "never"
    return f"{min(times)} to {max(times)}, at {len(times)} gateways"


if __name__ == "__main__":
    fire.Fire(main)
