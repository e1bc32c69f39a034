"""Measures what a change of the configuration costs by its size and the fleet's.

``python -m bench.change_slopes`` prints bytes and processor time of the parts of a
change, and from them the cost at each of `FLEETS`.  Each time is the least of several
rounds, see `bench.gateway_slopes`.
"""

import gzip
import json
import random
import socket
from typing import Final

from bench import gateway_slopes
from quincecrank import store_rows
from quincecrank.gateway import change_delivery, peer_messages, peers, tables
from quincecrank.platform import documents
from standins import platform_fleet

FLEETS: Final = (68, 1_900)
ROUTES: Final = (4, 504, 1_404)
DATAGRAM_HEADER_BYTES: Final = 28
"""Bytes of the headers of IP and UDP."""

MAX_INTERVALS: Final = 100

_OPERATOR: Final = tables.TableName.OPERATOR


def make_text(version: int, routes: int) -> str:
    """Return a configuration; the time limit of one route depends on the version."""
    names = random.Random(1)
    made = [
        platform_fleet.route(
            f"r{names.getrandbits(48):x}",
            f"/p{names.getrandbits(48):x}/",
            "records",
            "idempotent",
        )
        for _ in range(routes - 4)
    ]
    if made:
        made[len(made) // 2]["timeoutMs"] = 5_000 + version
    return json.dumps(platform_fleet.configuration(version, *made))


def make_row(version: int, routes: int) -> store_rows.Row:
    """Return the row of a configuration."""
    return store_rows.Row(
        "config", make_text(version, routes), store_rows.Position(0, version)
    )


def encode(row: store_rows.Row, base: store_rows.Row) -> bytes:
    """Return the datagram that sends a row."""
    changed = change_delivery.encode_row(row, base)
    change = change_delivery.Change(_OPERATOR, base.position, row.position, (changed,))
    return peer_messages.encode_table_change(peer_messages.TableChange(change, 5))


def decode(datagram: bytes, base: store_rows.Row) -> store_rows.Row:
    """Return the row that a datagram sends."""
    message = peer_messages.decode(datagram)
    assert isinstance(message, peer_messages.TableChange)
    return change_delivery.decode_row(message.change.rows[0], base)


def send_us(datagram: bytes) -> float:
    """Return the processor time of sending a datagram, in microseconds."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        receiver.bind(("127.0.0.1", 0))
        address = receiver.getsockname()
        return gateway_slopes.min_processor_us(lambda: sender.sendto(datagram, address))


def pushed_change(routes: int) -> None:
    """Print the cost of a change of one route."""
    base, row = make_row(1, routes), make_row(2, routes)
    datagram = encode(row, base)
    encode_us = gateway_slopes.min_processor_us(lambda: encode(row, base))
    decode_us = gateway_slopes.min_processor_us(lambda: decode(datagram, base))
    decoder = documents.ConfigurationDecoder()

    def apply() -> None:
        decoder.decode(base.text)
        decoder.decode(row.text)

    apply_us = gateway_slopes.min_processor_us(apply) / 2
    each_us = send_us(datagram)
    print(
        f"one of {routes} routes: {len(row.text)} characters, {len(datagram)} bytes; "
        f"encode {encode_us:.0f} us, send {each_us:.1f} us a peer, decode "
        f"{decode_us:.0f} us, apply {apply_us:.0f} us"
    )
    for gateways in FLEETS:
        peer_count = gateways - 1
        sent_bytes = peer_count * (len(datagram) + DATAGRAM_HEADER_BYTES)
        is_pushed = change_delivery.ChangeDelivery(random.Random(1)).may_push(
            len(datagram), peer_count
        )
        print(
            f"  {gateways} gateways: a reader sends {sent_bytes / 1_000:.0f} kB in "
            f"{(encode_us + peer_count * each_us) / 1_000:.1f} ms of processor time"
            f" ({'pushed' if is_pushed else 'fetched instead'}); each receiver gets "
            f"up to three, and applies one in {(decode_us + apply_us) / 1_000:.1f} ms"
        )


def fetched_change(routes: int) -> None:
    """Print the cost of a change that adds all routes."""
    row = make_row(2, routes)
    rows = store_rows.Rows((row,), row.position)
    document = gzip.compress(peers.encode_rows(rows), 6)
    pushed = len(encode(row, make_row(1, 4)))
    encode_us = gateway_slopes.min_processor_us(
        lambda: gzip.compress(peers.encode_rows(rows), 6)
    )
    decode_us = gateway_slopes.min_processor_us(
        lambda: peers.decode_rows(gzip.decompress(document))
    )
    apply_us = gateway_slopes.min_processor_us(
        lambda: documents.configuration(row.text)
    )
    print(
        f"{routes} routes at once: {pushed} bytes as a change, document of "
        f"{len(document)} bytes; encode {encode_us / 1_000:.1f} ms once, decode "
        f"{decode_us / 1_000:.1f} ms, apply {apply_us / 1_000:.1f} ms"
    )
    for gateways in FLEETS:
        intervals, most = spread(gateways)
        print(
            f"  {gateways} gateways: all fetch it within {intervals} intervals of "
            f"{change_delivery.FETCH_INTERVAL_MS} ms after "
            f"{change_delivery.FETCH_DELAY_MS} ms; at most {most} fetch from one in "
            f"an interval, {most * len(document) / 1_000:.0f} kB"
        )


def spread(gateways: int) -> tuple[int, int]:
    """Return the intervals until all have a large change, and the most at one source.

    Three readers have it at first, and a fetch takes an interval.
    """
    generator = random.Random(1)
    delivery = change_delivery.ChangeDelivery(generator)
    old, new = store_rows.Position(0, 1), store_rows.Position(0, 2)
    holders, most = 3, 0
    for interval in range(1, MAX_INTERVALS):
        position_by_peer: dict[str, store_rows.Position | None] = {
            str(number): new if number < holders else old
            for number in range(gateways - 1)
        }
        count_by_source: dict[int, int] = {}
        for _ in range(gateways - holders):
            if delivery.may_fetch(
                change_delivery.FETCH_DELAY_MS, new, position_by_peer
            ):
                source = generator.randrange(holders)
                count_by_source[source] = count_by_source.get(source, 0) + 1
        # More than a gateway sends at once are turned away.
        limit = peers.MAX_SENT_DOCUMENTS
        holders += sum(min(limit, count) for count in count_by_source.values())
        most = max(most, *count_by_source.values(), 0)
        if holders >= gateways:
            return interval, most
    return MAX_INTERVALS, most


if __name__ == "__main__":
    for count in ROUTES:
        pushed_change(count)
    for count in ROUTES[1:]:
        fetched_change(count)
