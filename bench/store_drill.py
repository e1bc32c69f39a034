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
import time
from typing import Final

import fire

from standins import platform_callers, platform_fleet

WINDOW_S: Final = 6.0
READY_LIMIT_S: Final = 120.0


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
    with platform_callers.SteadyCaller(fleet, tuple(fleet.ip_by_gateway)) as caller:
        time.sleep(WINDOW_S)
    after = fleet.store_calls()
    calls = {kind: after[kind] - before.get(kind, 0) for kind in sorted(after)}
    print(
        f"{name}, {WINDOW_S:.0f} s:"
        f" served {caller.statuses.count(http.client.OK)} of {len(caller.statuses)};"
        f" calls {calls}"
    )


def _whole_times_ms(fleet: platform_fleet.PlatformFleet) -> str:
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
