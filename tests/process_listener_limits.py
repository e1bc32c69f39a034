"""Tests of processes whose clients don't behave, at each of their listeners.

A crowd is a process of its own (`listener_crowd`).  The tests check that the process
lives, that its resident memory and the bytes that it has not read stay together within
the memory of its settings, its descriptors within those of the settings, and that an
ordinary request is answered beside the crowd and after it: no times and no shares.
"""

import dataclasses
import pathlib
import subprocess
import sys
import tempfile
import unittest
import urllib.error
import urllib.request
from typing import Final

from quincecrank import admin_messages
from standins import launcher, local_fleet, platform_fleet
from tests import builders_fleet, mutable_fleet, process_gateway, resource_watch

FEW_CLIENTS: Final = 6
"""Connections of a crowd with very long bodies."""

MORE_CLIENTS: Final = 100
"""Connections beyond the descriptors of the settings, of a crowd that is larger."""

MAX_BODY_BYTES: Final = 1_000_000
ANSWER_BYTES: Final = 2_000_000
PATIENCE_S: Final = 8.0
"""Time that an ordinary client waits."""

GATEWAY: Final = "entry-1"
REPLICA: Final = f"{builders_fleet.MODEL}-1"


class CrowdCase(unittest.TestCase):
    """Base of the tests: a process that is watched, and crowds at its listeners.

    Attributes
    ----------
    memory_mb, max_descriptors : int
        Limits of the process by its settings.
    clients : int
        Connections of most crowds, which are within the descriptors.
    """

    process: launcher.Process
    watch: resource_watch.ResourceWatch
    memory_mb: int
    max_descriptors: int
    clients = 0

    def start_watch(
        self, process: launcher.Process, listeners: list[resource_watch.Address]
    ) -> None:
        """Watch a process until the test ends."""
        self.process = process
        self.watch = resource_watch.ResourceWatch(process.pid, listeners)
        self.addCleanup(self.watch.end)

    def ask(self) -> int:
        """Send an ordinary request; return the status, 0 without an answer."""
        raise NotImplementedError

    def check(
        self,
        kind: str,
        listener: resource_watch.Address,
        path: str,
        clients: int = 0,
    ) -> None:
        """Check the process beside a crowd, and after the crowd has left."""
        crowd = self._start_crowd(kind, listener, path, clients or self.clients)
        beside = self.ask()
        crowd.kill()
        crowd.wait()
        after = self.ask()
        self.watch.end()
        self.assertTrue(self.process.running, "the process has ended")
        memory = self.memory_mb * 1024**2
        self.assertLessEqual(self.watch.most_bytes, memory, str(self.watch))
        self.assertLessEqual(self.watch.most_descriptors, self.max_descriptors)
        self.assertEqual((beside, after), (200, 200), "no answer to a request")

    def check_idle(self, listener: resource_watch.Address) -> None:
        """Check the process beside more connections than its descriptors."""
        self.check("idle", listener, "", self.max_descriptors + MORE_CLIENTS)

    def _start_crowd(
        self, kind: str, listener: resource_watch.Address, path: str, clients: int
    ) -> subprocess.Popen[str]:
        """Start a crowd; return it once it has sent what it sends."""
        arguments = [kind, listener.ip, str(listener.port), path, str(clients)]
        command = [sys.executable, "-m", "tests.listener_crowd", *arguments]
        crowd = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.addCleanup(crowd.communicate)
        self.addCleanup(crowd.kill)
        assert crowd.stdout is not None
        self.assertEqual(crowd.stdout.readline(), "sent\n")
        return crowd


class GatewayCase(CrowdCase):
    """Base of the tests of gateways; each has one of its own."""

    memory_mb = 136

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = mutable_fleet.MutableFleet(pathlib.Path(folder))
        self.enterContext(self.fleet)
        self.fleet.max_descriptors = self.max_descriptors
        self.fleet.memory_mb = self.memory_mb
        document = platform_fleet.configuration(2)
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        self.fleet.write_operator_row("config", document)
        self.fleet.add_server("record-1", "records")
        gateway = self.fleet.add_gateway(GATEWAY)
        process_gateway.wait_until(lambda: self.fleet.is_ready(GATEWAY), GATEWAY)
        process_gateway.wait_until(lambda: self.ask() == 200, "records served")
        ip = self.fleet.ip_by_gateway[GATEWAY]
        self.callers, self.readiness, self.peers, self.metrics = (
            resource_watch.Address(ip, port)
            for port in (
                self.fleet.callers_port_by_gateway[GATEWAY],
                self.fleet.ready_port_by_gateway[GATEWAY],
                self.fleet.peer_port,
                self.fleet.metrics_port,
            )
        )
        self.start_watch(
            gateway, [self.callers, self.readiness, self.peers, self.metrics]
        )

    def ask(self) -> int:
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


class GatewayBodiesTest(GatewayCase):
    """Bodies at the port of callers."""

    max_descriptors = 1_600
    clients = 1_000

    def test_announced_bodies_lay_unread(self) -> None:
        """The system held what the gateway had rejected, as far as it wished."""
        self.check("announced .99 MB", self.callers, "/record/x")

    def test_bodies_in_large_chunks_lay_unread(self) -> None:
        self.check("chunks of 16 KB", self.callers, "/record/x")

    def test_endless_bodies_in_large_chunks_lay_unread(self) -> None:
        self.check("50 MB in chunks of 16 KB", self.callers, "/record/x")

    def test_bodies_in_chunks_of_16_bytes_lay_unread(self) -> None:
        self.check("chunks of 16 bytes", self.callers, "/record/x")

    def test_bodies_in_chunks_of_1_byte_lay_unread(self) -> None:
        self.check("chunks of 1 byte", self.callers, "/record/x")


class GatewayAnswersTest(GatewayCase):
    """Answers that callers don't take."""

    max_descriptors = 1_600
    clients = 200

    def test_unread_answers_lay_unsent(self) -> None:
        """The system held as much of each answer as it wished."""
        path = f"/look/x?answer_bytes={ANSWER_BYTES}"
        self.check("answers", self.callers, path)
        memory = self.memory_mb * 1024**2
        total = self.watch.most_bytes_with_unsent
        self.assertLessEqual(total, memory, str(self.watch))


class GatewayHeadsTest(GatewayCase):
    """Heads at the port of callers, with the descriptors of a usual VM."""

    max_descriptors = 2_870
    clients = 2_000

    def test_heads_without_an_end_were_held(self) -> None:
        """What had arrived of heads was in no budget."""
        self.check("heads of 60 KB", self.callers, "/record/x")


class GatewayListenersTest(GatewayCase):
    """Connections at each port, and bodies at those that take none."""

    max_descriptors = 600

    def test_idle_connections_of_callers(self) -> None:
        self.check_idle(self.callers)

    def test_long_bodies_at_the_readiness_check_were_held(self) -> None:
        """The HTTP library's limit applied: 100 MB for each body."""
        self.check("announced 90 MB", self.readiness, "/other", FEW_CLIENTS)

    def test_long_bodies_at_the_port_of_peers_were_held(self) -> None:
        self.check("announced 90 MB", self.peers, "/tables/op", FEW_CLIENTS)

    def test_idle_connections_at_the_readiness_check_took_descriptors(self) -> None:
        """Connections beyond the reserve took the descriptors of everything else."""
        self.check_idle(self.readiness)

    def test_idle_connections_at_the_port_of_peers_took_descriptors(self) -> None:
        self.check_idle(self.peers)

    def test_idle_connections_at_the_metrics_took_descriptors(self) -> None:
        self.check_idle(self.metrics)


class EntryTest(CrowdCase):
    """Each test has a fleet with one entry of its own; the crowd has no API key."""

    memory_mb = 200
    max_descriptors = 1_000
    clients = 500

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        spec = builders_fleet.fleet_spec(engines=1, entries=1)
        limits = {
            "memory_mb": self.memory_mb,
            "max_descriptors": self.max_descriptors,
        }
        options = {**spec.entry_options, "limits": limits}
        spec = dataclasses.replace(spec, entry_options=options)
        self.fleet = local_fleet.LocalFleet(spec, pathlib.Path(folder))
        self.enterContext(self.fleet)
        process_gateway.wait_until(lambda: self.ask() == 200, "models listed")
        entry = self.fleet.entries[0]
        admin = local_fleet.further_port(entry, "admin")
        self.callers = resource_watch.Address(local_fleet.ADDRESS, entry.port)
        self.admin = resource_watch.Address(local_fleet.ADDRESS, admin)
        self.start_watch(entry, [self.callers, self.admin])

    def ask(self) -> int:
        key = self.fleet.keys_by_account[builders_fleet.ROOM]
        headers = {"Authorization": f"Bearer {key}"}
        request = urllib.request.Request(f"{self.fleet.url}/v1/models", headers=headers)
        return status_of(request)

    def test_announced_bodies_without_a_key_were_held(self) -> None:
        """A body was read and held before its API key was looked at."""
        self.check("announced 4.1 MB", self.callers, "/v1/completions")

    def test_bodies_in_chunks_of_16_bytes_kept_others_from_an_answer(self) -> None:
        self.check("4 MB in chunks of 16 bytes", self.callers, "/v1/completions")

    def test_bodies_in_chunks_of_1_byte_kept_others_from_an_answer(self) -> None:
        self.check(".4 MB in chunks of 1 byte", self.callers, "/v1/completions")

    def test_heads_without_an_end(self) -> None:
        self.check("heads of 30 KB", self.callers, "/v1/completions")

    def test_idle_connections_of_callers_took_descriptors(self) -> None:
        self.check_idle(self.callers)

    def test_bodies_in_chunks_at_the_administration_kept_others_from_an_answer(
        self,
    ) -> None:
        self.check(
            ".4 MB in chunks of 1 byte", self.admin, admin_messages.COMMANDS_PATH
        )

    def test_endless_bodies_at_the_administration(self) -> None:
        self.check("50 MB in chunks of 16 KB", self.admin, admin_messages.COMMANDS_PATH)

    def test_idle_connections_at_the_administration_took_descriptors(self) -> None:
        self.check_idle(self.admin)


class AgentTest(CrowdCase):
    """Each test has a fleet with one agent of its own."""

    memory_mb = 200
    max_descriptors = 1_000
    clients = 500

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        spec = builders_fleet.fleet_spec(engines=1, entries=1)
        limits = {
            "memory_mb": self.memory_mb,
            "max_descriptors": self.max_descriptors,
        }
        options = {**spec.agent_options, "limits": limits}
        spec = dataclasses.replace(spec, agent_options=options)
        self.fleet = local_fleet.LocalFleet(spec, pathlib.Path(folder))
        self.enterContext(self.fleet)
        process_gateway.wait_until(lambda: self.ask() == 200, "prompts served")
        agent = self.fleet.replicas_by_name[REPLICA].agent
        assert agent is not None
        metrics = local_fleet.further_port(agent, "metrics")
        self.links = resource_watch.Address(local_fleet.ADDRESS, agent.port)
        self.metrics = resource_watch.Address(local_fleet.ADDRESS, metrics)
        self.start_watch(agent, [self.links, self.metrics])

    def ask(self) -> int:
        """Send a prompt by way of the agent, and read its metrics."""
        key = self.fleet.keys_by_account[builders_fleet.ROOM]
        prompt = b'{"model": "%b", "prompt": "hello", "max_tokens": 2}'
        request = urllib.request.Request(
            f"{self.fleet.url}/v1/completions",
            prompt % builders_fleet.MODEL.encode(),
            {"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
        )
        status = status_of(request)
        if status != 200:
            return status
        return status_of(urllib.request.Request(self.fleet.metrics_url(REPLICA)))

    def test_idle_links_took_descriptors(self) -> None:
        """Any number of connections waited for the proof of their peer."""
        self.check_idle(self.links)

    def test_bodies_at_the_port_of_links(self) -> None:
        self.check("50 MB in chunks of 16 KB", self.links, "/")

    def test_idle_connections_at_the_metrics_took_descriptors(self) -> None:
        self.check_idle(self.metrics)

    def test_bodies_in_chunks_at_the_metrics_kept_others_from_an_answer(self) -> None:
        self.check(".4 MB in chunks of 1 byte", self.metrics, "/metrics")


def status_of(request: urllib.request.Request) -> int:
    """Return the status of the answer to a request, 0 without an answer."""
    try:
        with urllib.request.urlopen(request, timeout=PATIENCE_S) as response:
            response.read()
            return int(response.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0
