"""Tests of `quincectl explain`, which shows the timeline of a request from logs.

They guard against a timeline that misses lines of the request or state changes of its
servers, or that has those of other requests, servers or times.
"""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from quincecrank import ctl

LINES: list[tuple[int, str, str, dict[str, object]]] = [
    (1, "entry-1", "weights announced", {"server": "i-1", "loaded": False}),
    (4, "entry-1", "placed", {"request": "q-7", "server": "i-1", "backlog": 900}),
    (4, "entry-2", "placed", {"request": "q-8", "server": "i-1"}),
    (5, "entry-1", "server unreachable", {"request": "q-7", "server": "i-1"}),
    (5, "entry-2", "server gone", {"server": "i-2"}),
    (6, "entry-1", "request ran at a crash", {"server": "i-1/17"}),
    (6, "entry-1", "request ended", {"request": "q-7", "outcome": "outcome unknown"}),
    (9, "entry-2", "server gone", {"server": "i-1"}),
]


class RequestStoryTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        for vm in ("entry-1", "entry-2"):
            lines = [
                json.dumps(
                    {
                        "vm": vm,
                        "event": event,
                        "timestamp": f"2026-12-04T03:00:0{second}Z",
                        **fields,
                    }
                )
                for second, writer, event, fields in LINES
                if writer == vm
            ]
            lines.insert(1, "Traceback (most recent call last):")
            lines[0] = f"12.5 {vm} {lines[0]}"
            (folder / f"{vm}.log").write_text("\n".join(lines))
        self.folder = folder

    def explain(self, request_id: str, logs: str | None = None) -> tuple[int, str]:
        output = io.StringIO()
        code = 0
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            try:
                ctl.main(["explain", request_id, "--logs", logs or str(self.folder)])
            except SystemExit as end:
                code = int(end.code or 0)
        return code, output.getvalue()

    def test_a_timeline_has_the_state_changes_of_its_server(self) -> None:
        code, text = self.explain("q-7")
        events = [
            line.strip().split("  ")[2].partition(":")[0]
            for line in text.splitlines()[:-1]
        ]
        expected = [
            "weights announced",
            "placed",
            "server unreachable",
            "request ran at a crash",
            "request ended",
        ]
        self.assertEqual(events, expected)
        self.assertIn("it may have run", text.splitlines()[-1])
        self.assertIn("[entry-1.log:", text)
        self.assertEqual(code, 0)

    def test_an_unknown_request_and_a_missing_folder(self) -> None:
        code, text = self.explain("q-0")
        self.assertEqual((code, text.strip()), (1, "no line about request q-0"))
        code, text = self.explain("q-7", "/nowhere")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere", text)
