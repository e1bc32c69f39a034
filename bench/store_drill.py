"""Measures what a restore of the platform's store costs a fleet of real processes.

``python -m bench.store_drill --gateways 10`` starts gateways and backend servers on
loopback, takes a snapshot of the store and restores it some seconds later.  It prints
the calls that the store received and how many requests were served, in a window before
the restore and in one after it.
"""

import http.client
import pathlib
import re
import tempfile
import time
from typing import Final

import fire

from standins import platform_callers, platform_fleet

WINDOW_S: Final = 6.0
READY_LIMIT_S: Final = 120.0


def main(gateways: int = 10) -> None:
    """Run one drill and print its figures.

    Parameters
    ----------
    gateways : int
        Number of gateways.
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
        _wait_ready(fleet)
        time.sleep(WINDOW_S)
        fleet.take_store_snapshot()
        _measure_window(fleet, "before")
        fleet.restore_store(rewrite_ms=500)
        _measure_window(fleet, "after")
        print("until all tables were whole:", _restore_times_ms(fleet), "ms")


def _wait_ready(fleet: platform_fleet.PlatformFleet) -> None:
    deadline = time.monotonic() + READY_LIMIT_S
    while not all(fleet.is_ready(name) for name in fleet.ip_by_gateway):
        if time.monotonic() > deadline:
            raise TimeoutError("the fleet is not ready within the timeout")
        time.sleep(0.2)


def _measure_window(fleet: platform_fleet.PlatformFleet, name: str) -> None:
    before = fleet.store_calls()
    with platform_callers.SteadyCaller(fleet, tuple(fleet.ip_by_gateway)) as caller:
        time.sleep(WINDOW_S)
    after = fleet.store_calls()
    calls = {kind: after[kind] - before.get(kind, 0) for kind in sorted(after)}
    print(
        f"{name}, {WINDOW_S:.0f} s:"
        f" served {caller.statuses.count(http.client.OK)} of {len(caller.statuses)};"
        f" calls {calls}"
    )


def _restore_times_ms(fleet: platform_fleet.PlatformFleet) -> str:
    """Return the range of the gateways' times until all tables were read, as text."""
    times = [
        int(found)
        for name in fleet.ip_by_gateway
        for line in fleet.process_by_name[name].log().splitlines()
        if '"tables whole after a restore"' in line
        for found in re.findall(r'"took_ms": ?(\d+)', line)
    ]
    if not times:
        return "never"
    return f"{min(times)} to {max(times)}, at {len(times)} gateways"


if __name__ == "__main__":
    fire.Fire(main)
