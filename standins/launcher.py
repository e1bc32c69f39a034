"""Starts programs for demos, tests and benchmarks, and ends them again.

A program prints a line `NAME listening PORT` for each of its listeners, and last
`listening PORT` for the main one; then it is ready.
"""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time
import types
from collections.abc import Mapping, Sequence
from typing import Final, Self

READY_PREFIX: Final = "listening "
MAIN_LISTENER: Final = ""
"""Name of the listener that a program reports last, when it is ready."""

READY_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 10.0

_POLL_S: Final = 0.01
_LOG_TAIL_CHARACTERS: Final = 2_000


class StartError(Exception):
    """A program ended or did not become ready in time."""


class Process:
    """Handle of one program that was started.

    Parameters
    ----------
    name : str
        Name within the fleet.
    child : subprocess.Popen
        The running program.
    log_path : pathlib.Path
        File with its standard output and error.

    Attributes
    ----------
    port_by_name : dict
        Port of each listener by name; the main one has the name `MAIN_LISTENER`.
    """

    def __init__(
        self, name: str, child: subprocess.Popen[bytes], log_path: pathlib.Path
    ) -> None:
        self.name = name
        self.log_path = log_path
        self.port_by_name: dict[str, int] = {}
        self._child = child

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._child.pid

    @property
    def port(self) -> int:
        """Return the port of the main listener."""
        return self.port_by_name[MAIN_LISTENER]

    @property
    def url(self) -> str:
        """Return the base URL of the main listener."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def running(self) -> bool:
        """Return whether the process exists; a frozen one counts as running."""
        return self._child.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code: None while running, -N after a kill by signal N."""
        return self._child.poll()

    def log(self) -> str:
        """Return the program's output so far."""
        return self.log_path.read_text(errors="replace")

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        self._signal(signal.SIGKILL)
        self._child.wait()

    def freeze(self) -> None:
        """Suspend the process (SIGSTOP) until `thaw`."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continue a frozen process (SIGCONT)."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Ask the process to read its settings again (SIGHUP)."""
        self._signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Ask the process to shut down (SIGTERM), without waiting."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process is still running after `timeout_s`.
        """
        return self._child.wait(timeout_s)

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the program has printed the port of its main listener.

        Raises
        ------
        StartError
            If the program ended or did not print it in time.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            # Read the state before the log: a program may print its line and end.
            ended = not self.running
            self._read_ports()
            if MAIN_LISTENER in self.port_by_name:
                return
            if ended:
                break
            time.sleep(_POLL_S)
        tail = self.log()[-_LOG_TAIL_CHARACTERS:]
        raise StartError(f"{self.name} is not ready (exit {self.exit_code}):\n{tail}")

    def _read_ports(self) -> None:
        for line in self.log().splitlines(keepends=True):
            name, found, port = line.partition(READY_PREFIX)
            if found and port.endswith("\n") and port.strip().isdigit():
                self.port_by_name[name.strip()] = int(port)

    def _signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._child.send_signal(number)


class Fleet:
    """Programs that were started together; a context manager that ends them all.

    Parameters
    ----------
    log_folder : pathlib.Path
        Folder for the logs, one file per start; created if missing.
    """

    def __init__(self, log_folder: pathlib.Path) -> None:
        self._log_folder = log_folder
        self._started: list[Process] = []
        log_folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.close()

    def launch(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
    ) -> Process:
        """Start `python -m module` and return without waiting.

        Parameters
        ----------
        name : str
            Name of the process and of its log.
        environment : mapping
            Variables in addition to this process's own.
        """
        log_path = self._log_folder / f"{name}-{len(self._started)}.log"
        command = [sys.executable, "-m", module, *arguments]
        with log_path.open("wb") as log:
            child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **(environment or {})},
            )
        process = Process(name, child, log_path)
        self._started.append(process)
        return process

    def start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
    ) -> Process:
        """Start `python -m module` and wait for its main listener.

        Raises
        ------
        StartError
            If the program does not become ready.
        """
        process = self.launch(name, module, arguments, environment)
        process.wait_ready()
        return process

    def close(self) -> None:
        """End all processes of this fleet, in reverse order of their start.

        They are asked to shut down; those that still run after `STOP_TIMEOUT_S` are
        killed.
        """
        running = [process for process in reversed(self._started) if process.running]
        for process in running:
            process.terminate()
            process.thaw()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
        self._started.clear()
