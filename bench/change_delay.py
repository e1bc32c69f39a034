"""Measures how long a change of the configuration takes to the last gateway.

``python -m bench.change_delay --gateways 10`` starts gateways on loopback and changes
one route of configurations of each of `ROUTES`, once with each of `FAULTS` at the
readers of the operator's table just before the change.  It prints the time from the
store's acknowledgement until the version was in force, in the median and at the last
one of the gateways that were not disturbed.
"""

import contextlib
import pathlib
import statistics
import tempfile
import time
from collections.abc import Sequence
from typing import Final

import fire

from bench import change_slopes
from quincecrank import clock as clocks
from quincecrank import ids, rendezvous
from quincecrank.gateway import followers, loop_monitor, tables
from tests import configuration_process_soak as soak

ROUTES: Final = (4, 504, 1_404)
FAULTS: Final = ("none", "killed", "suspended", "cut off", "refused", "slow")
WAIT_S: Final = 4.0
"""Time after a change in which it must be in force."""

READY_LIMIT_S: Final = 120.0
SLOW_MS: Final = 300
SETTLE_S: Final = (loop_monitor.RETENTION_MS + 1_000) / clocks.MS_PER_SECOND


def main(gateways: int = 10) -> None:
    """Measure one fleet and print a line for each change.

    Parameters
    ----------
    gateways : int
        Number of gateways.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        soak.ConfigurationFleet(pathlib.Path(folder), soak.APPLY_MS) as fleet,
    ):
        names = [f"entry-{number}" for number in range(gateways)]
        fleet.add_server("record-0", "records")
        fleet.add_server("engine-0", "drafting")
        for name in names:
            fleet.add_gateway(name)
        _wait_ready(fleet, names)
        version = 1
        for routes in ROUTES:
            version += 1
            fleet.write_row("op", "config", change_slopes.make_text(version, routes))
            time.sleep(WAIT_S)
            for fault in FAULTS:
                version += 1
                delays_ms = _measure_change(fleet, names, version, routes, fault)
                missing = gateways - len(delays_ms)
                print(
                    f"{gateways} gateways, {routes} routes, readers {fault}: median"
                    f" {statistics.median(delays_ms):.0f} ms, last {max(delays_ms):.0f}"
                    f" ms, {missing} gateways disturbed or without it",
                    flush=True,
                )
                _wait_ready(fleet, names)


def _wait_ready(fleet: soak.ConfigurationFleet, names: Sequence[str]) -> None:
    deadline = time.monotonic() + READY_LIMIT_S
    while not all(fleet.is_ready(name) for name in names):
        if time.monotonic() > deadline:
            raise TimeoutError("the fleet is not ready within the timeout")
        time.sleep(0.2)
    # Gateways that were suspended or killed are readers again after this time.
    time.sleep(SETTLE_S)


def _measure_change(
    fleet: soak.ConfigurationFleet,
    names: Sequence[str],
    version: int,
    routes: int,
    fault: str,
) -> list[float]:
    """Return the delays of a change at the gateways that were not disturbed."""
    readers = rendezvous.ranked(
        tables.TableName.OPERATOR.value,
        [ids.VmName(name) for name in names],
        followers.READERS_PER_TABLE,
    )
    disturbed = () if fault == "none" else readers
    with contextlib.ExitStack() as stack:
        for name in disturbed:
            _disturb(fleet, name, fault, stack)
        fleet.write_row("op", "config", change_slopes.make_text(version, routes))
        acknowledged_ms = soak.wall_ms()
        time.sleep(WAIT_S)
    return [
        at_ms - acknowledged_ms
        for name in names
        if name not in disturbed
        for at_ms, line in soak.in_force(fleet.process_by_name[name])
        if line["version"] == version
    ]


def _disturb(
    fleet: soak.ConfigurationFleet,
    name: str,
    fault: str,
    stack: contextlib.ExitStack,
) -> None:
    """Disturb a gateway until the end of `stack`."""
    process, relay = fleet.process_by_name[name], fleet.relay_by_gateway[name]
    match fault:
        case "killed":
            process.kill()
            stack.callback(fleet.add_gateway, name)
        case "suspended":
            process.freeze()
            stack.callback(process.thaw)
        case "cut off":
            relay.silence(also_new=True)
            stack.callback(relay.heal)
        case "refused":
            relay.refuse(is_refusing=True)
            stack.callback(relay.refuse, is_refusing=False)
        case "slow":
            relay.delay(SLOW_MS)
            stack.callback(relay.delay, 0)


if __name__ == "__main__":
    fire.Fire(main)
