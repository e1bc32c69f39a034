"""Graceful shutdown, drains and leaving VMs under a load of prompts and calls.

Mutations (`QUINCE_MUTATION`, see `wrapped_program`) that make these tests fail:
`stop-at-once`, `ignore-leaving`.
"""

import concurrent.futures
import contextlib
import http.client
import socket
import threading
import time
import urllib.request
from collections.abc import Sequence
from typing import Final

from quincecrank import ids
from standins import local_fleet
from tests import builders_fleet, fleet_callers, fleet_case, history_checkers

LOAD_THREADS: Final = 4
LONG_ANSWER: Final = 120
AFTER_LEAVING_S: Final = 5.0
SLOW_MS: Final = 500


class Load:
    """Sends prompts and calls while its context is open, one per thread at a time."""

    def __init__(self, callers: fleet_callers.Callers, entries: Sequence[int]) -> None:
        self.prompts: list[history_checkers.PromptResult] = []
        self.calls: list[history_checkers.CallResult] = []
        self._callers = callers
        self._entries = entries
        self._stopped = threading.Event()
        self._running: list[concurrent.futures.Future[None]] = []

    def __enter__(self) -> "Load":
        for number in range(LOAD_THREADS):
            self._running.append(self._callers.start(self._ask, number))
            self._running.append(self._callers.start(self._call, number))
        return self

    def __exit__(self, *details: object) -> None:
        self._stopped.set()
        for each in self._running:
            each.result()

    def _ask(self, number: int) -> None:
        count = 0
        while not self._stopped.is_set():
            count += 1
            text = builders_fleet.prompt(f"load {number} {count}", count % 3)
            entry = self._entries[count % len(self._entries)]
            tokens = LONG_ANSWER if count % 2 else 8
            result = self._callers.ask(text, entry=entry, max_tokens=tokens)
            self.prompts.append(result)

    def _call(self, number: int) -> None:
        count = 0
        while not self._stopped.is_set():
            count += 1
            key = f"load-{number}-{count}-{time.monotonic_ns()}" if count % 2 else ""
            entry = self._entries[count % len(self._entries)]
            self.calls.append(self._callers.call(key, f"{number} {count}", entry=entry))


class LeavingTest(fleet_case.FleetTest):
    spec = builders_fleet.fleet_spec(engines=2, services=2)

    def tearDown(self) -> None:
        super().tearDown()
        for name in self.fleet.replicas_by_name:
            self.list_as(name, "live")

    def list_as(self, name: str, state: str) -> None:
        """Set the state of a backend server's VM in the platform's list."""
        replica = self.fleet.replicas_by_name[name]
        assert replica.agent is not None
        self.fleet.list_vm(
            f"vm-{name}",
            "agent",
            replica.agent.port,
            state=state,
            backend_server=name,
            deployment=replica.spec.deployment.name,
        )

    def check_load(self, load: Load) -> None:
        self.assertGreater(min(len(load.prompts), len(load.calls)), LOAD_THREADS)
        self.assertEqual(
            history_checkers.unfinished_requests(load.prompts, load.calls), []
        )
        self.check_calls()
        self.check_prompts()

    def test_agents_shut_down_under_load(self) -> None:
        """No prompt and no call, keyed or not, breaks off."""
        for name in (f"{builders_fleet.MODEL}-1", f"{builders_fleet.SERVICE}-1"):
            agent = self.fleet.replicas_by_name[name].agent
            assert agent is not None
            with self.subTest(name), Load(self.callers, (0, 1)) as load:
                self.random_pause(0.5, 1.0)
                agent.terminate()
                self.assertEqual(agent.wait(20), 0)
                time.sleep(1)
            self.check_load(load)

    def test_an_entry_shuts_down_under_load(self) -> None:
        """Every request that the entry has accepted gets its complete answer."""
        sent = [
            self.callers.start(
                self.callers.ask,
                builders_fleet.prompt(f"entry {number}"),
                max_tokens=LONG_ANSWER,
            )
            for number in range(8)
        ]
        local_fleet.set_faults(
            self.fleet.replicas_by_name[f"{builders_fleet.SERVICE}-1"].backend,
            slow_ms=500,
        )
        calls = [
            self.callers.start(self.callers.call, key)
            for key in ("", "entry-1", "entry-2", "")
        ]
        time.sleep(0.5)
        self.fleet.entries[0].terminate()
        prompts = [each.result() for each in sent]
        call_results = [each.result() for each in calls]
        self.assertEqual(self.fleet.entries[0].wait(20), 0)
        self.assertEqual(
            history_checkers.unfinished_requests(prompts, call_results), []
        )
        self.check_calls()
        self.check_prompts()

    def test_an_entry_shuts_down_while_a_caller_reads_slowly(self) -> None:
        """The entry sends a slow caller the complete answer before it ends."""
        size = 3_900_000
        self.store_records(size, builders_fleet.ROOM)
        caller = self.slow_caller(builders_fleet.ROOM)
        time.sleep(0.1)
        self.fleet.entries[0].terminate()
        time.sleep(2 * SLOW_MS / 1_000)
        length, received = read_answer(caller)
        self.assertGreater(length, size)
        self.assertEqual(received, length)
        self.assertEqual(self.fleet.entries[0].wait(20), 0)

    def test_an_agent_shuts_down_with_unsent_bytes(self) -> None:
        """The agent sends the bytes buffered in its links before it ends."""
        size = 3_000_000
        self.store_records(size, builders_fleet.RIVAL)
        caller = self.slow_caller(builders_fleet.RIVAL)
        time.sleep(0.1)
        agents = [self.fleet.replicas_by_name[n].agent for n in self.service_names()]
        for agent in agents:
            assert agent is not None
            agent.terminate()
        length, received = read_answer(caller)
        self.assertGreater(length, size)
        self.assertEqual(received, length)
        self.assertEqual([agent.wait(20) for agent in agents if agent], [0, 0])

    def service_names(self) -> list[str]:
        return [
            name
            for name, replica in self.fleet.replicas_by_name.items()
            if replica.spec.deployment.name == builders_fleet.SERVICE
        ]

    def store_records(self, size: int, account: ids.AccountName) -> None:
        """Store `size` bytes for one account at each service; make answers slow."""
        for name in self.service_names():
            url = self.fleet.replicas_by_name[name].backend.url
            data = b"x" * size
            request = urllib.request.Request(f"{url}/releases", data)
            request.add_header("X-Client-Account", account)
            with urllib.request.urlopen(request, timeout=10):
                pass
            backend = self.fleet.replicas_by_name[name].backend
            local_fleet.set_faults(backend, slow_ms=SLOW_MS)

    def slow_caller(self, account: ids.AccountName) -> socket.socket:
        """Send a request for the records and return before reading the answer."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        caller.settimeout(20)
        caller.connect(("127.0.0.1", self.fleet.entries[0].port))
        key = self.fleet.keys_by_account[account]
        path = f"/services/{builders_fleet.SERVICE}/filed"
        head = f"GET {path} HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {key}\r\n\r\n"
        caller.sendall(head.encode())
        return caller

    def test_leaving_vms_get_no_work(self) -> None:
        """A server gets no work from three seconds after it is listed as leaving."""
        names = (f"{builders_fleet.MODEL}-1", f"{builders_fleet.SERVICE}-1")
        with Load(self.callers, (0, 1)) as load:
            for name in names:
                self.list_as(name, "leaving")
            leaving_ms = self.wait_listed("leaving")
            time.sleep(AFTER_LEAVING_S)
            arrivals = self.fleet.arrivals()
        since_by_server = dict.fromkeys(names, leaving_ms)
        self.assertEqual(history_checkers.late_arrivals(arrivals, since_by_server), [])
        self.check_load(load)

    def test_drained_vms_get_no_work(self) -> None:
        """A server gets no work from three seconds after its drain is accepted."""
        names = (f"{builders_fleet.MODEL}-1", f"{builders_fleet.SERVICE}-1")
        version = self.callers.run_command("show tiers", version=0)["version"]
        with Load(self.callers, (0, 1)) as load:
            text = "; ".join(f"drain vm-{name}" for name in names)
            answer = self.callers.run_command(text, version=version)
            self.assertEqual(answer["status"], 200, answer)
            drained_ms = time.time_ns() // 1_000_000
            time.sleep(AFTER_LEAVING_S)
            arrivals = self.fleet.arrivals()
        since_by_server = dict.fromkeys(names, drained_ms)
        self.assertEqual(history_checkers.late_arrivals(arrivals, since_by_server), [])
        self.check_load(load)
        text = "; ".join(f"undrain vm-{name}" for name in names)
        answer = self.callers.run_command(text, version=version + 1)
        self.assertEqual(answer["status"], 200, answer)

    def wait_listed(self, state: str) -> int:
        """Wait until a VM is listed in a state; return the wall time in ms."""

        def is_listed() -> bool:
            vms = local_fleet.call_json("GET", f"{self.fleet.vm_list.url}/vms")["vms"]
            return any(vm["state"] == state for vm in vms)

        self.wait_until(is_listed, f"a VM is listed as {state}")
        return time.time_ns() // 1_000_000


def read_answer(caller: socket.socket) -> tuple[int, int]:
    """Return the declared size of an answer and the number of bytes received."""
    response = http.client.HTTPResponse(caller, method="GET")
    try:
        response.begin()
    except (OSError, http.client.HTTPException):
        return 0, 0
    if response.status != 200:
        raise AssertionError(response.read().decode())
    received = 0
    with contextlib.suppress(OSError, http.client.HTTPException):
        while chunk := response.read(65_536):
            received += len(chunk)
    return received + (response.length or 0), received
