"""Measures how the cost of a gateway's control work grows with the fleet.

``python -m bench.gateway_slopes`` prints bytes and processor time for several sizes.
Each time is the least of `ROUNDS` rounds, which other load on the machine distorts
least.
"""

import gzip
import random
import time
from collections.abc import Callable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, store_rows
from quincecrank.gateway import (
    cache_history,
    cache_part_index,
    dispatcher,
    fleet_state,
    loads,
    peer_messages,
    placements,
    request_queue,
    servers,
    tables,
)
from quincecrank.platform import documents, engines
from tests import builders_gateway as builders

ROUNDS: Final = 5
REPEATS: Final = 50


def min_processor_us(work: Callable[[], object]) -> float:
    """Return the least processor time of one call of `work` in microseconds."""
    times = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(REPEATS):
            work()
        times.append((time.process_time() - started_s) / REPEATS)
    return min(times) * 1e6


def make_report(server_count: int) -> peer_messages.Report:
    """Return a gateway's report with its load at `server_count` servers."""
    states = tuple(
        peer_messages.TableState(table, store_rows.Position(0, 1_000), 200)
        for table in tables.TableName
    )
    load_by_server = {
        servers.ServerId(f"i-{number:010x}"): loads.Load(7, 30_000, 2_000)
        for number in range(server_count)
    }
    return peer_messages.Report(ids.VmName("entry-1"), False, states, load_by_server)


def make_dispatcher(
    engine_count: int,
) -> tuple[dispatcher.Dispatcher, placements.PlacementRequest]:
    """Return a dispatcher with `engine_count` engines, and a request to place."""
    fleet = fleet_state.FleetState(builders.make_environment(), clocks.SystemClock())
    fleet.apply_configuration(
        documents.configuration(builders.make_configuration_text())
    )
    for number in range(engine_count):
        fleet.registry.update(builders.make_entry(f"i-{number}"))
    assert fleet.configuration is not None
    prompt = builders.make_prompt(("guide", 2_500), ("station", 5_000), ("own", 1_700))
    request = placements.PlacementRequest(
        builders.make_queued_request(deadline_ms=1 << 40),
        fleet.configuration.services_by_name[builders.LLM],
        None,
        prompt,
    )
    return dispatcher.Dispatcher(fleet, random.Random(1)), request


def report_slopes() -> None:
    """Print the size of reports, and the time to encode and decode them."""
    for count in (0, 10, 30):
        report = make_report(count)
        datagram = peer_messages.encode(report)
        encode_us = min_processor_us(lambda made=report: peer_messages.encode(made))  # type: ignore[misc]
        decode_us = min_processor_us(lambda sent=datagram: peer_messages.decode(sent))  # type: ignore[misc]
        print(
            f"report, {count} servers: {len(datagram)} bytes, "
            f"encode {encode_us:.0f} us, decode {decode_us:.0f} us"
        )


def placement_slopes() -> None:
    """Print the time of a placement by the number of engines."""
    for count in (5, 20, 80):
        placer, request = make_dispatcher(count)
        place_us = min_processor_us(lambda: placer._try_place(request))  # noqa: B023
        print(f"placement, {count} engines: {place_us:.0f} us")


def directory_slopes() -> None:
    """Print the time to apply one cache change."""
    salt = cache_part_index.make_salt(builders.MODEL, 1, None)
    directory = builders.make_cache_index(salt, {"s": {}})
    holder = cache_part_index.HolderName("s")
    changes = builders.make_changes(salt, 100)
    event_us = min_processor_us(lambda: directory.apply(holder, changes)) / len(changes)
    print(f"cache event, applied: {event_us:.2f} us")


def change_slope() -> None:
    """Print the size of a load change message, and its encoding and decoding time."""
    change = peer_messages.LoadChange(
        ids.VmName("entry-1"),
        servers.ServerId(f"i-{7:010x}"),
        loads.Load(7, 30_000, 2_000),
    )
    datagram = peer_messages.encode_change(change)
    encode_us = min_processor_us(lambda: peer_messages.encode_change(change))
    decode_us = min_processor_us(lambda: peer_messages.decode(datagram))
    print(
        f"change of load: {len(datagram)} bytes, "
        f"encode {encode_us:.0f} us, decode {decode_us:.0f} us"
    )


def queue_slopes() -> None:
    """Print the time to check the queue for expired requests, after 100 starts."""
    for count in (0, 5, 20):
        queue = request_queue.RequestQueue()
        for number in range(100):
            queue.record_start(
                builders.make_queued_request(f"s{number}", arrived_ms=1_000), 1_000
            )
        for number in range(count):
            queue.add(
                builders.make_queued_request(
                    f"w{number}", arrived_ms=900, target_ms=9_000, deadline_ms=90_000
                )
            )
        check_us = min_processor_us(lambda: queue.remove_too_late(1_000))  # noqa: B023
        print(f"waiting line, {count} requests: {check_us:.0f} us a look")


def cache_update_slope() -> None:
    """Print the size and encoding time of a cache change sent between gateways."""
    salt = cache_part_index.make_salt(builders.MODEL, 1, None)
    changes = builders.make_changes(salt, 1_000)
    events = engines.CacheEvents(9, 1_000, False, changes, 1_000)
    updates = cache_history.CacheUpdates({cache_part_index.HolderName("s"): events}, ())
    document = cache_history.encode_updates(updates)
    encode_us = min_processor_us(lambda: cache_history.encode_updates(updates)) / len(
        changes
    )
    print(
        f"cache news, a change: {len(document) / len(changes):.0f} bytes, "
        f"{len(gzip.compress(document, 6)) / len(changes):.0f} compressed, "
        f"encode {encode_us:.1f} us"
    )


if __name__ == "__main__":
    report_slopes()
    change_slope()
    placement_slopes()
    queue_slopes()
    directory_slopes()
    cache_update_slope()
