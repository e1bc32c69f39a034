"""Tests of `quincectl`: one session compared with a golden file, and exit codes."""

import asyncio
import contextlib
import io
import os
import pathlib
import socket
import tempfile
import threading
import unittest
from unittest import mock

import approvaltests
import structlog
from tornado import httpserver, log, testing

from quincecrank import access, admin_api, ctl, settings
from tests import builders_commands, builders_settings, fakes

SESSION = (
    ("run", "show accounts"),
    ("apply", "sajha.quince"),
    ("run", "create key for radio-patan; create account radio-banepa share 0.5"),
    ("run", "show accounts order by share desc"),
    ("run", "show account radio-patan"),
    ("run", "show tiers"),
    ("run", "at version 1: roll lekhak to v2"),
    ("run", "roll lekhak to v2", "--version", "2"),
    ("run", "show versions", "--json"),
    ("run", "show deployment lekhak"),
    ("run", "change deployment lekhak set dedline = 5s, weights.link = -1"),
    ("apply", "broken.quince"),
    ("run", "disable account radio-patna"),
    ("run", "drain vm-1; drain vm-2"),
    ("run", "undrain vm-1; revoke key key-0000000001 of radio-patan"),
    ("run", "show vms where drained = yes"),
    ("run", "show history where operator = asha limit 3"),
    ("run", "show histery"),
    ("run", "drain vm-3", "--verison", "5"),
    ("run", "drain vm-3", "--version", "x"),
    ("run", "show vms", "--token-file", "none"),
    ("run", "show vms", "--token-file", "secrets/fleet.secret"),
    ("run", "show vms", "--endpoint", "CLOSED"),
    ("check", "agent.yaml"),
    ("check", "entry-broken.yaml"),
    ("help",),
    ("help", "versions"),
    ("help", "fields"),
    ("help", "querys"),
)


class CtlTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(temporary.name)
        builders_settings.settings_directory(pathlib.Path())
        pathlib.Path("sajha.quince").write_text(builders_commands.EXAMPLE_CHANGE)
        pathlib.Path("broken.quince").write_text("drain vm-1\nroll lekhk to v9\n")
        broken = pathlib.Path("entry.yaml").read_text().replace("port: 8081", "prt: 1")
        pathlib.Path("entry-broken.yaml").write_text(broken)
        self.enterContext(structlog.testing.capture_logs())
        self.enterContext(mock.patch.object(log.access_log, "disabled", True))
        self.table = fakes.FakeTable()
        self.endpoint = f"http://127.0.0.1:{self.serve()}"
        variables = {
            ctl.ENDPOINT_VARIABLE: self.endpoint,
            ctl.TOKEN_FILE_VARIABLE: "secrets/asha.token",
        }
        self.enterContext(mock.patch.dict(os.environ, variables))

    def serve(self) -> int:
        """Serve the administration API in a thread and return its port."""
        operators = settings.load_entry("entry.yaml").ok.admin.operators
        services = builders_commands.services(self.table)
        tokens = access.OperatorTokens(operators)
        listener, port = testing.bind_unused_port()
        loop = asyncio.new_event_loop()

        async def start() -> httpserver.HTTPServer:
            server = httpserver.HTTPServer(admin_api.application(services, tokens))
            server.add_sockets([listener])
            return server

        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        server = asyncio.run_coroutine_threadsafe(start(), loop).result()

        def stop() -> None:
            loop.call_soon_threadsafe(server.stop)
            loop.call_soon_threadsafe(loop.stop)
            thread.join()
            loop.close()

        self.addCleanup(stop)
        return port

    def run_ctl(self, *arguments: str) -> str:
        """Return the output of a call, with its exit code in the last line."""
        out, error = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
            with self.assertRaises(SystemExit) as caught:
                ctl.main(arguments)
        code = caught.exception.code
        return f"{out.getvalue()}{error.getvalue()}[exit code {int(code or 0)}]\n"

    def test_a_whole_operator_session(self) -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            unused = f"http://127.0.0.1:{closed.getsockname()[1]}"
            lines = []
            for arguments in SESSION:
                shown = " ".join(f'"{a}"' if " " in a else a for a in arguments)
                given = [unused if a == "CLOSED" else a for a in arguments]
                lines.append(f"$ quincectl {shown}\n{self.run_ctl(*given)}\n")
        reporter = approvaltests.reporters.PythonNativeReporter()
        approvaltests.verify(
            "".join(lines).replace(unused, "ENDPOINT"),
            options=approvaltests.Options().with_reporter(reporter),
        )

    def test_table_failures_exit_as_unavailable_or_outcome_unknown(self) -> None:
        self.table.fail_next = 1
        self.assertIn("[exit code 5]", self.run_ctl("run", "drain vm-1"))
        self.table.lose_next_requests = 1
        self.table.reads_down = True
        self.assertIn("[exit code 6]", self.run_ctl("run", "drain vm-1"))

    def test_connection_closed_without_answer_is_an_unknown_outcome(self) -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            thread = threading.Thread(target=lambda: listener.accept()[0].close())
            thread.start()
            port = listener.getsockname()[1]
            shown = self.run_ctl(
                "run", "at version 0: drain a", f"--endpoint=http://127.0.0.1:{port}"
            )
            thread.join()
        self.assertIn("(unknown)\n[exit code 6]", shown)
