"""Fuzz tests of the input that callers send to an entry.

They guard against bytes that crash a handler, are buffered for good or leave a request
open.
"""

import json
import pathlib
import re
import socket
import unittest
from typing import Any, Final

import hypothesis
from hypothesis import strategies

from quincecrank import inference_request, refusals
from tests import builders_edge as builders

MAX_GROWTH_KB: Final = 64 * 1024

FIELDS: Final = (
    "model prompt messages stream stream_options max_tokens max_completion_tokens "
    "temperature top_p seed stop n user role content type text include_usage name "
    "\ud800"
).split(" ")
VALUES: Final = ("lekhak", "user", "text", "x", "\ud800", "\x00", "", 0, 1, -1, 1e999)

JSON_VALUES: Final = strategies.recursive(
    strategies.one_of(
        strategies.none(), strategies.booleans(), strategies.sampled_from(VALUES)
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.sampled_from(FIELDS), inner, max_size=6),
    ),
    max_leaves=20,
)


def reproducible(max_examples: int) -> hypothesis.settings:
    """Return settings that generate the same examples in every run.

    The examples follow from the test's name and source: renaming it changes them.
    """
    return hypothesis.settings(
        max_examples=max_examples,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


class ParserTest(unittest.TestCase):
    @reproducible(400)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=100),
            JSON_VALUES.map(lambda value: json.dumps(value).encode()),
            strategies.dictionaries(
                strategies.sampled_from(FIELDS), JSON_VALUES, min_size=2
            ).map(lambda value: json.dumps(value).encode()),
        )
    )
    def test_every_body_is_a_request_or_has_findings(self, body: bytes) -> None:
        for parse in (inference_request.parse_completion, inference_request.parse_chat):
            parsed = parse(body)
            if parsed.is_ok():
                parsed.ok.prompt.decode()
                continue
            problem = refusals.bad_request(parsed.error)
            self.assertTrue(problem.found)
            problem.to_json("r-1").encode()


def requests() -> tuple[bytes, ...]:
    """Return the valid requests that are mutated."""
    body = builders.completion("fuzz", max_tokens=2, stream=True)
    chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return (
        builders.raw_request("GET", "/v1/models"),
        builders.raw_request("POST", "/v1/completions", body),
        builders.raw_request(
            "POST", "/v1/completions", chunked, {"Transfer-Encoding": "chunked"}
        ),
        builders.raw_request(
            "POST", "/services/prasaran/releases", b"fuzz", {"Idempotency-Key": "f"}
        ),
        builders.raw_request("GET", "/services/prasaran/filed?q=%00"),
    )


@strategies.composite
def mutated_requests(draw: Any) -> bytes:
    """Draw a request with pieces replaced, repeated or removed."""
    data = draw(strategies.sampled_from(requests()))
    for _ in range(draw(strategies.integers(1, 3))):
        start = draw(strategies.integers(0, len(data)))
        stop = draw(strategies.integers(start, min(len(data), start + 30)))
        piece = draw(
            strategies.one_of(
                strategies.binary(max_size=6),
                strategies.sampled_from(
                    (b"\r\n", b"\r\n\r\n", b"\x00", b": ", b"%", data[start:stop] * 2)
                ),
            )
        )
        data = data[:start] + piece + data[stop:]
    return bytes(data)


class SocketTest(unittest.TestCase):
    def test_arbitrary_bytes_leave_no_open_request_or_memory(self) -> None:
        entry = builders.fleet().entries[0]
        before_kb = resident_kb(entry.pid)
        self.send_many()
        builders.wait_idle()
        self.assertTrue(entry.running)
        self.assertEqual(builders.call("GET", "/v1/models").status, 200)
        self.assertLess(resident_kb(entry.pid) - before_kb, MAX_GROWTH_KB)
        failed = [
            line
            for line in entry.log().splitlines()
            if "handler failed" in line or "Traceback" in line
        ]
        self.assertEqual(failed, [])

    @reproducible(200)
    @hypothesis.given(strategies.one_of(strategies.binary(), mutated_requests()))
    def send_many(self, sent: bytes) -> None:
        with builders.connect() as connection:
            try:
                connection.sendall(sent)
                connection.shutdown(socket.SHUT_WR)
            except OSError:
                return
            received = builders.read_to_end(connection)
        self.assertTrue(received[:9] in (b"", b"HTTP/1.1 "), received[:40])


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"^VmRSS:\s+(\d+) kB$", text, re.MULTILINE)
    assert found is not None
    return int(found.group(1))
