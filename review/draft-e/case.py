"""SIGHUP ends a gateway that is starting.

Seven gateways; two of them are the share of `hup`.  Three times, the platform starts
these two, writes their settings file again, and tells them so with SIGHUP while they
start.  A process that has ended by itself is started again after a short delay, as the
page says; one that runs is stopped with SIGTERM before the next round.  The case checks
that no process ends by itself: SIGHUP says that the settings have changed, and asks no
process to end.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import stand_ins  # noqa: E402

GATEWAYS = 7
TOLD = 2
ROUNDS = 3
SIGHUP_AFTER_S = 0.15
WATCHED_S = 1.0
RESTART_DELAY_S = 0.5
SERVICE = "prasaran"
MIN_ENDS = 3


async def play_round(
    told: list[stand_ins.Gateway],
    ends: dict[str, int],
    record: stand_ins.Record,
    *,
    has_trouble: bool,
) -> None:
    """Start the gateways, tell them of changed settings, and see whether they run."""
    for gateway in told:
        gateway.start()
        record.write("start", gateway.name)
    await asyncio.sleep(SIGHUP_AFTER_S)
    for gateway in told:
        # The same settings once more: what has changed does not matter here.
        gateway.rewrite_settings()
        if has_trouble:
            gateway.signal(signal.SIGHUP)
            record.write("SIGHUP", gateway.name)
    await asyncio.sleep(WATCHED_S)
    for gateway in told:
        if gateway.is_running:
            record.write("runs:", gateway.name)
        else:
            ends[gateway.name] += 1
            record.write("ended by itself:", gateway.name, "status", gateway.status)


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    store = stand_ins.Store()
    await store.start()
    routes = [stand_ins.route("/look/", SERVICE, "idempotent", timeoutMs=1_500)]
    services = [stand_ins.plain_service(SERVICE)]
    keys = {"key-of-desk-1": "desk"}
    store.put("op", "config", stand_ins.configuration(7, routes, services, keys))
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    told, others = gateways[:TOLD], gateways[TOLD:]
    ends = {each.name: 0 for each in told}
    try:
        for gateway in others:
            gateway.start()
        for _ in range(ROUNDS):
            await play_round(told, ends, record, has_trouble=has_trouble)
            for gateway in told:
                if gateway.is_running:
                    gateway.signal(signal.SIGTERM)
            for gateway in told:
                await gateway.wait_end(stand_ins.GRACE_S + 1.0)
            await asyncio.sleep(RESTART_DELAY_S)
        for gateway in told:
            gateway.start()
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("the gateways are not ready without a signal")
    finally:
        for gateway in gateways:
            gateway.end()
    record.write("ends by themselves:", ends)
    return sum(count >= MIN_ENDS for count in ends.values()) >= TOLD


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
