"""Tests of a gateway process whose callers send far more than the limits allow.

The crowd is a process of its own (`client_crowd`).  The tests check that the gateway
lives, that its memory and descriptors stay within those of its settings, and that one
ordinary request is answered afterwards: no times and no shares.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`read-chunks-by-library` (small chunks), `parse-any-heads` (heads of many lines).
"""

import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import threading
import unittest
from typing import Final

from standins import launcher, platform_fleet
from tests import mutable_fleet, process_gateway

MAX_DESCRIPTORS: Final = 600
"""Descriptors of the settings; more than each crowd and the reserve."""

MEMORY_MB: Final = 136
MAX_BODY_BYTES: Final = 1_000_000
SAMPLE_S: Final = 0.05
PATIENCE_S: Final = 8.0
"""Time that the ordinary caller waits: the limit of its route."""

GATEWAY: Final = "entry-1"
_PAGE_BYTES: Final = resource.getpagesize()


class _Watch:
    """Samples memory and descriptors of a process until it is ended."""

    def __init__(self, process: launcher.Process) -> None:
        self._process = process
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.most_bytes = 0
        self.most_descriptors = 0
        self._thread.start()

    def end(self) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        folder = pathlib.Path(f"/proc/{self._process.pid}")
        while not self._ended.wait(SAMPLE_S):
            try:
                pages = int((folder / "statm").read_text().split()[1])
                descriptors = len(os.listdir(folder / "fd"))
            except OSError:
                return
            self.most_bytes = max(self.most_bytes, pages * _PAGE_BYTES)
            self.most_descriptors = max(self.most_descriptors, descriptors)


class ClientLimitsTest(unittest.TestCase):
    """Each test has a gateway of its own."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = mutable_fleet.MutableFleet(pathlib.Path(folder))
        self.enterContext(self.fleet)
        self.fleet.max_descriptors = MAX_DESCRIPTORS
        self.fleet.memory_mb = MEMORY_MB
        document = platform_fleet.configuration(2)
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        self.fleet.write_operator_row("config", document)
        self.fleet.add_server("record-1", "records")
        self.gateway = self.fleet.add_gateway(GATEWAY)
        process_gateway.wait_until(lambda: self.fleet.is_ready(GATEWAY), GATEWAY)
        process_gateway.wait_until(lambda: self.ask() == 200, "records served")
        self.watch = _Watch(self.gateway)
        self.addCleanup(self.watch.end)

    def ask(self) -> int:
        """Send an ordinary request; return the status, 0 without an answer."""
        connection = self.fleet.connect(GATEWAY, PATIENCE_S)
        headers = platform_fleet.caller_headers("ordinary")
        try:
            connection.request("GET", "/look/x", headers=headers)
            response = connection.getresponse()
            response.read()
        except OSError:
            return 0
        finally:
            connection.close()
        return response.status

    def start_crowd(self, kind: str) -> subprocess.Popen[str]:
        """Start a crowd; return it once it has sent what it sends."""
        arguments = [
            kind,
            self.fleet.ip_by_gateway[GATEWAY],
            str(self.fleet.callers_port_by_gateway[GATEWAY]),
        ]
        command = [sys.executable, "-m", "tests.client_crowd", *arguments]
        crowd = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.addCleanup(crowd.communicate)
        self.addCleanup(crowd.kill)
        assert crowd.stdout is not None
        self.assertEqual(crowd.stdout.readline(), "sent\n")
        return crowd

    def check(self) -> None:
        """Check the process, its resources and an ordinary request."""
        status = self.ask()
        self.watch.end()
        self.assertTrue(self.gateway.running, "the gateway has ended")
        self.assertLessEqual(self.watch.most_bytes, MEMORY_MB * 1024**2)
        self.assertLessEqual(self.watch.most_descriptors, MAX_DESCRIPTORS)
        self.assertEqual(status, 200, "an ordinary request was not answered")

    def check_beside(self, kind: str) -> None:
        """Check a gateway while a crowd that has sent its bytes stays."""
        self.start_crowd(kind)
        self.check()

    def check_after(self, kind: str) -> None:
        """Check a gateway that a crowd has left."""
        crowd = self.start_crowd(kind)
        crowd.kill()
        crowd.wait()
        self.check()

    def test_chunks_of_16_bytes_kept_others_from_an_answer(self) -> None:
        """Each chunk cost the event loop so much that it answered nobody."""
        self.check_beside("chunks of 16 bytes")

    def test_chunks_of_1_byte_kept_others_from_an_answer(self) -> None:
        self.check_beside("chunks of 1 byte")

    def test_chunks_of_callers_that_had_left_were_read(self) -> None:
        """What had arrived of callers that had left kept the event loop busy."""
        self.check_after("chunks of 16 bytes")

    def test_chunks_of_1_byte_of_callers_that_had_left_were_read(self) -> None:
        self.check_after("chunks of 1 byte")

    def test_large_chunks(self) -> None:
        """Bodies over the limit that declare no length were held."""
        self.check_beside("large chunks")

    def test_large_chunks_within_the_limit(self) -> None:
        """Bodies that are within the limit each were held all together."""
        self.check_beside("large chunks within the limit")

    def test_announced_bodies(self) -> None:
        """Bodies that declare more than the limit were held."""
        self.check_beside("announced")
        self.check_beside("announced 50 MB")

    def test_announced_bodies_within_the_limit(self) -> None:
        self.check_beside("announced within the limit")

    def test_heads_in_pieces(self) -> None:
        """Each piece of a head cost a search in all that had arrived of it."""
        self.check_beside("heads in pieces")

    def test_heads_of_many_lines_kept_others_from_an_answer(self) -> None:
        """A head of 20,000 lines held the event loop, and all were read at once."""
        self.check_beside("heads of many lines")

    def test_a_body_within_the_limit_was_not_served_in_small_chunks(self) -> None:
        """A single caller's body of `MAX_BODY_BYTES` in chunks of one byte."""
        connection = self.fleet.connect(GATEWAY, process_gateway.LIMIT_S)
        self.addCleanup(connection.close)
        connection.putrequest("POST", "/record/x", skip_host=True)
        headers = platform_fleet.caller_headers("small-chunks")
        for name, value in {**headers, "Transfer-Encoding": "chunked"}.items():
            connection.putheader(name, value)
        connection.endheaders()
        connection.send(b"1\r\nx\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n")
        response = connection.getresponse()
        response.read()
        self.assertEqual(response.status, 200)
        self.check()
