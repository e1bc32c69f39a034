"""Tests that datagrams with several segments can't end the process."""

import subprocess
import sys
import unittest
from typing import Final
from unittest import mock

from quincecrank import ids
from quincecrank.gateway import datagram_unpacking, loads, peer_messages, servers

DECODE: Final = """
import sys
from quincecrank.gateway import peer_messages
try:
    peer_messages.decode(bytes.fromhex(sys.stdin.read()))
except peer_messages.MessageError:
    print("malformed")
"""


def make_long_report() -> peer_messages.Report:
    """Return a report that earlier releases send in several segments."""
    load_by_server = {
        servers.ServerId(f"engine-number-{number}"): loads.Load(number, 2**32 - 1, 0)
        for number in range(400)
    }
    return peer_messages.Report(ids.VmName("entry-2"), False, (), load_by_server)


class SegmentsTest(unittest.TestCase):
    def test_a_missing_segment_ended_the_process(self) -> None:
        """The library raised an error where none may be raised."""
        short = peer_messages.encode_change(
            peer_messages.LoadChange(
                ids.VmName("entry-2"), servers.ServerId("i-1"), loads.Load(1, 2, 3)
            )
        )
        with mock.patch.object(peer_messages, "FIRST_SEGMENT_WORDS", 1_024):
            long = peer_messages.encode(make_long_report())
        # The changed tag announces a second segment.
        for datagram in (b"\x01" + short[1:], long[:-1], long[: len(long) // 2]):
            with self.subTest(datagram[:8]):
                # A process of its own: the fault ended that of the test.
                done = subprocess.run(
                    [sys.executable, "-c", DECODE],
                    input=datagram.hex(),
                    capture_output=True,
                    text=True,
                    check=False,
                )
                self.assertEqual((done.returncode, done.stdout), (0, "malformed\n"))

    def test_a_report_of_several_segments_is_the_same_after_its_way(self) -> None:
        report = make_long_report()
        for encode in (peer_messages.encode, peer_messages.encode_packed):
            datagram = encode(report)
            self.assertFalse(datagram_unpacking.has_several_segments(datagram))
            self.assertEqual(peer_messages.decode(datagram), report)
            with mock.patch.object(peer_messages, "FIRST_SEGMENT_WORDS", 1_024):
                datagram = encode(report)
            self.assertTrue(datagram_unpacking.has_several_segments(datagram))
            self.assertEqual(peer_messages.decode(datagram), report)


class UnpackTest(unittest.TestCase):
    def test_words(self) -> None:
        for packed, message in (
            (b"\x00\x00", bytes(8)),
            (b"\x00\x02", bytes(24)),
            (b"\x41\x07\x09", b"\x07\0\0\0\0\0\x09\0"),
            (b"\xff12345678\x00", b"12345678"),
            (b"\xff12345678\x01abcdefgh\x80x", b"12345678abcdefgh" + bytes(7) + b"x"),
        ):
            self.assertEqual(datagram_unpacking.unpack(packed), message)

    def test_words_that_are_cut_short(self) -> None:
        for packed in (b"\x00", b"\x41\x07", b"\xff1234567", b"\xff12345678", b"\x01"):
            with self.subTest(packed), self.assertRaises(ValueError):
                datagram_unpacking.unpack(packed)
        with self.assertRaises(ValueError):
            datagram_unpacking.unpack(b"\xff12345678\x01abcdefg")

    def test_a_short_datagram_can_not_take_much_memory(self) -> None:
        words = datagram_unpacking.MAX_MESSAGE_BYTES // 8 // 256
        longest = datagram_unpacking.unpack(b"\x00\xff" * words)
        self.assertEqual(len(longest), datagram_unpacking.MAX_MESSAGE_BYTES)
        with self.assertRaises(ValueError):
            datagram_unpacking.unpack(b"\x00\xff" * (words + 1))
