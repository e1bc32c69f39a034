"""Seeded soak of releases and rolls some time after an outage of the store.

`python -m tests.removal_process_soak FIRST COUNT [GATEWAYS]` runs the seeds from FIRST
on, prints a line for each violation with the folder of the logs, and exits with 1 if
there is any.

The store is away for some seconds, several times.  After a calm time the readers of the
table of servers are shut down and started in turn, and servers are replaced by the
removal of their entries; both overlap.  Meanwhile the data centre of other servers is
evacuated; when that ends, they come back cold.  Callers send requests all the while.
"""

import pathlib
import random
import shutil
import sys
import tempfile
import threading
import time
import types
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, rendezvous
from quincecrank.gateway import followers, tables
from standins import platform_fleet
from standins import platform_kept_callers as kept_callers
from tests import mutable_fleet, removal_checker

SERVERS: Final = 6
KEPT_CALLERS: Final = 4
NEW_PER_S: Final = 180.0
CALM_S: Final = 5.0
"""Time after an outage until the store is stable and gateways are undisturbed."""

SETTLE_S: Final = 1.0
"""Time in which new servers are known to all gateways."""

OUTAGES: Final = 3
GRACE_S: Final = 8.0
SERVES_ON_S: Final = 3.5
"""Time for which a server serves after the removal of its entry."""

FAR_SERVERS: Final = 3
FAR_ZONE: Final = "lalit"
EVACUATED_S: Final = 7.0
"""Time from the request of an evacuation to its end."""

COLD_S: Final = 5.0
COLD_PER_S: Final = 8.0
"""Time for which the servers come back cold, and the requests that each takes then."""

READY_LIMIT_S: Final = 60.0
POLL_S: Final = 0.02

wall_ms = kept_callers.wall_ms


class SoakFleet(mutable_fleet.MutableFleet):
    """A fleet whose operator evacuates data centres and limits cold servers."""

    more_bounds = types.MappingProxyType(
        {
            "evacuateMs": removal_checker.EVACUATE_MS,
            "coldOvershoot": removal_checker.COLD_OVERSHOOT,
            "coldSlack": removal_checker.COLD_SLACK,
        }
    )


class Soak:
    """One run with a seed.

    Attributes
    ----------
    figures : str
        Counts of the run, for the reader.
    """

    def __init__(
        self, fleet: mutable_fleet.MutableFleet, seed: int, gateways: int
    ) -> None:
        self._fleet = fleet
        self._seed = seed
        self._generator = random.Random(seed)
        self._names = [f"entry-{number}" for number in range(gateways)]
        self._log_by_server: dict[str, str] = {}
        self._removed_ms_by_server: dict[str, float] = {}
        self._evacuated_ms = self._cold_ms = (0.0, 0.0)
        self._operations_ms: dict[str, list[float]] = {name: [] for name in self._names}
        self.figures = ""

    def run(self) -> list[str]:
        """Return a line for each violation."""
        document = platform_fleet.configuration(2)
        for service in document["services"]:
            service |= {"coldStartS": COLD_S, "coldPerS": COLD_PER_S}
        self._fleet.write_operator_row("config", document)
        for number in range(SERVERS):
            self._fleet.add_server(f"record-{number}", "records")
        self._fleet.add_server("engine-0", "drafting")
        for name in self._names:
            self._fleet.add_gateway(name)
        for name in self._names:
            self._wait_ready(name)
        callers = kept_callers.KeptCallers(
            self._fleet, self._seed, KEPT_CALLERS, NEW_PER_S
        )
        with callers:
            self._take_store_away()
            time.sleep(CALM_S)
            for number in range(SERVERS, 2 * SERVERS):
                self._fleet.add_server(f"record-{number}", "records")
            for server in self._far_servers:
                self._fleet.add_server(server, "records", zone=FAR_ZONE)
            time.sleep(SETTLE_S)
            evacuated = threading.Thread(target=self._evacuate)
            evacuated.start()
            self._roll()
            evacuated.join()
        for number in range(SERVERS):
            server = f"record-{number}"
            self._log_by_server[server] = self._fleet.process_by_name[server].log()
        found = removal_checker.arrivals(self._log_by_server)
        far = removal_checker.arrivals(
            {
                server: self._fleet.process_by_name[server].log()
                for server in self._far_servers
            }
        )
        self.figures = (
            f"{len(callers.requests)} requests, {len(found)} arrivals,"
            f" {len(self._removed_ms_by_server)} servers removed,"
            f" last request to an evacuated server after"
            f" {removal_checker.last_arrival_ms(far, self._evacuated_ms):.0f} ms,"
            f" {removal_checker.most_in_a_second(far, self._cold_ms)} requests in a"
            " second to a cold one"
        )
        return [
            *removal_checker.late_arrivals(
                found, self._removed_ms_by_server, self._operations_ms
            ),
            *removal_checker.evacuation_faults(far, self._evacuated_ms),
            *removal_checker.cold_faults(far, self._cold_ms, COLD_PER_S),
        ]

    @property
    def _far_servers(self) -> tuple[str, ...]:
        return tuple(f"far-{number}" for number in range(FAR_SERVERS))

    def _evacuate(self) -> None:
        """Evacuate a data centre and end that; its servers are cold then."""
        self._fleet.write_operator_row(f"evacuate/{FAR_ZONE}", {})
        began_ms = wall_ms()
        time.sleep(EVACUATED_S)
        cold_until_ms = wall_ms() + COLD_S * clocks.MS_PER_SECOND
        for server in self._far_servers:
            process = self._fleet.process_by_name[server]
            self._fleet.set_faults(process, cold_until_ms=round(cold_until_ms))
        ended_ms = wall_ms()
        self._fleet.remove_row("op", f"evacuate/{FAR_ZONE}")
        time.sleep(COLD_S)
        self._evacuated_ms = began_ms, ended_ms
        self._cold_ms = ended_ms, cold_until_ms

    def _take_store_away(self) -> None:
        draw = self._generator
        for _ in range(OUTAGES):
            down = draw.choice(("refused", "silent"))
            self._fleet.set_faults(self._fleet.store, down=down)
            time.sleep(draw.uniform(2.0, 3.0))
            self._fleet.set_faults(self._fleet.store, down="no")
            time.sleep(draw.uniform(0.5, 1.5))

    def _roll(self) -> None:
        """Shut the readers of the servers down in turn, and remove servers meanwhile.

        Other gateways become readers then, and are not disturbed.
        """
        gap_s = self._generator.choice((0.7, 1.3))
        names = [ids.VmName(name) for name in self._names]
        readers = rendezvous.ranked(
            tables.TableName.SERVERS.value, names, followers.READERS_PER_TABLE
        )
        servers = [f"record-{number}" for number in range(SERVERS)]
        per_reader = SERVERS // len(readers)
        helpers = []
        for number, name in enumerate(readers):
            removed = servers[number * per_reader : (number + 1) * per_reader]
            for target, given in ((self._restart, name), (self._remove, removed)):
                helper = threading.Thread(target=target, args=(given,))
                helper.start()
                helpers.append(helper)
            time.sleep(gap_s)
        for helper in helpers:
            helper.join()

    def _restart(self, name: ids.VmName) -> None:
        process = self._fleet.process_by_name[name]
        self._operations_ms[name].append(wall_ms())
        process.terminate()
        until_s = time.monotonic() + GRACE_S
        while process.running and time.monotonic() < until_s:
            # A gateway that shuts down stays out of touch.
            self._operations_ms[name].append(wall_ms())
            time.sleep(POLL_S)
        process.kill()
        self._fleet.add_gateway(name)
        self._wait_ready(name)
        self._operations_ms[name].append(wall_ms())

    def _remove(self, servers: list[str]) -> None:
        """Remove servers; each one announces it by the removal of its entry."""
        for server in servers:
            process = self._fleet.process_by_name[server]
            self._fleet.set_faults(process, no_heartbeats=True)
        # Heartbeats that are under way are performed first.
        time.sleep(self._generator.uniform(0.1, 0.2))
        for server in servers:
            self._fleet.remove_row("servers", server)
            self._removed_ms_by_server[server] = wall_ms()
        time.sleep(SERVES_ON_S)

    def _wait_ready(self, name: str) -> None:
        until_s = time.monotonic() + READY_LIMIT_S
        while not self._fleet.is_ready(name) and time.monotonic() < until_s:
            time.sleep(0.1)


def violations(seed: int, gateways: int) -> list[str]:
    """Run one seed in a fleet of its own; return a line for each violation.

    The logs are kept if there is any.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"removals-{seed}-"))
    with SoakFleet(folder) as fleet:
        soak = Soak(fleet, seed, gateways)
        found = soak.run()
    print(f"seed {seed}: {soak.figures}", flush=True)
    if not found:
        shutil.rmtree(folder)
        return []
    return [f"seed {seed}: {line} ({folder})" for line in found]


def main() -> int:
    """Run the seeds that the arguments name; return 1 if a rule was broken."""
    given = [int(each) for each in sys.argv[1:]]
    first, count, gateways = (*given, *(1, 1, 6)[len(given) :])
    found: list[str] = []
    for seed in range(first, first + count):
        found += violations(seed, gateways)
    for line in found:
        print(line)
    print(f"{count} seeds, {len(found)} violations")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
