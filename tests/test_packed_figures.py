"""Tests of the packed parts of reports between gateways."""

import unittest

from quincecrank import ids, store_rows
from quincecrank.gateway import (
    failed_request_records,
    loads,
    packed_figures,
    peer_messages,
    servers,
    tables,
)
from tests import builders_gateway as builders


def make_report(**changes: object) -> peer_messages.Report:
    """Return a report with each packed part, and with the given changes."""
    values: dict[str, object] = {
        "vm": ids.VmName("entry-2"),
        "is_leaving": True,
        "states": (
            packed_figures.TableState(
                tables.TableName.OPERATOR, store_rows.Position(2, 2**40 - 1), 30
            ),
            packed_figures.TableState(tables.TableName.MEMBERS, None, None),
        ),
        "load_by_server": {
            servers.ServerId("i-1"): loads.Load(3, 9_000, 0),
            servers.ServerId("é" * 100): loads.Load(1, 2**32 - 1, 7),
        },
        "failed_requests": (
            failed_request_records.FailedRequest(
                failed_request_records.RequestKey(2**64 - 1), 900
            ),
        ),
        "configuration_version": 9,
        "configuration_age_ms": 40,
        "is_late": True,
    }
    return peer_messages.Report(**{**values, **changes})  # type: ignore[arg-type]


class PackedFiguresTest(unittest.TestCase):
    """A packed report must say the same as a plain one."""

    def test_a_report_is_the_same_after_its_way(self) -> None:
        incarnation = builders.make_entry().incarnation
        for report in (
            make_report(),
            make_report(load_by_server={}, states=(), failed_requests=()),
            make_report(configuration_version=None, configuration_age_ms=None),
            make_report(leaving=(incarnation,)),
        ):
            with self.subTest(report):
                packed = peer_messages.encode_packed(report)
                self.assertEqual(peer_messages.decode(packed), report)

    def test_malformed_figures_are_no_report(self) -> None:
        # A reader that trusted the counts would read beyond the end.
        packed = packed_figures.pack(
            packed_figures.Figures((), make_report().load_by_server)
        )
        for length in range(len(packed)):
            with self.subTest(length), self.assertRaises(ValueError):
                packed_figures.unpack(packed[:length])
