"""Tests of the settings files: defaults, and the line and column of each finding."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from quincecrank import configuration, settings, settings_file
from tests import builders_settings

OPERATOR = "    - name: asha\n      token_file: secrets/asha.token\n"


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        path = pathlib.Path(temporary.name)
        self.directory = builders_settings.settings_directory(path)
        self.entry = self.directory / "entry.yaml"

    def entry_findings(self) -> list[str]:
        result = settings.load_entry(self.entry)
        self.assertTrue(result.is_error())
        prefix = str(self.entry) + ":"
        return [str(item).removeprefix(prefix) for item in result.error.all()]

    def test_example_files_load_with_defaults(self) -> None:
        entry = settings.load_entry(self.entry).ok
        agent = settings.load_agent(self.directory / "agent.yaml").ok
        self.assertEqual(entry.heartbeat, settings.Heartbeat())
        self.assertEqual(entry.admin.operators[0].name, "asha")
        self.assertTrue(entry.account_secret_file.is_absolute())
        self.assertEqual(agent.backend_server.kind, configuration.DeploymentKind.MODEL)
        for limits in (entry.limits, agent.limits):
            self.assertGreater(limits.memory_mb, 0)
            self.assertGreater(limits.max_descriptors, 0)

    def test_each_mistake_is_reported_at_its_place(self) -> None:
        cases = (
            ("port: 8080", "prot: 8080", "6:3: listen.prot: unknown key; did you"),
            ("port: 8080", "port: 70000", "6:3: listen.port: Input should be less"),
            ("port: 8080", "port: '80'", "6:3: listen.port: Input should be a valid"),
            ("data_centre", "data_centre: a\ndata_centre", "4:1: data_centre: duplica"),
            (OPERATOR, OPERATOR * 2, "10:3: admin.operators: operators n"),
            ("address: 127.0.0.1", "address: localhost", "5:3: listen.address: 'loc"),
            ("  port: 8080", "  port: [", "8:10: expected ',' or ']'"),
            ("http://127.0.0.1:9001", "tcp://a", "16:3: platform.table_url: 'tcp://"),
            ("asha.token", "none", "12:7: admin.operators.0.token_file: cannot read"),
            (
                f":\n{OPERATOR}",
                ": []\n",
                "10:3: admin.operators: expected at leas",
            ),
            ("- name: asha", "- nam: asha", "11:7: admin.operators.0.name: required"),
            ("vm_name: entry", "vm_name: a b", "2:1: vm_name: expected a name"),
        )
        original = self.entry.read_text()
        for old, new, expected in cases:
            with self.subTest(new):
                self.entry.write_text(original.replace(old, new, 1))
                found = self.entry_findings()
                self.assertTrue(any(f.startswith(expected) for f in found), found)

    def test_all_findings_are_reported_in_the_order_of_the_file(self) -> None:
        text = self.entry.read_text().replace("port: 8080", "port: -1")
        text += "heartbeat: {interval_ms: 10, silence_ms: 15}\nlimit: 3\n"
        self.entry.write_text("first: 1\n" + text)
        fields = [item.split(": ")[1] for item in self.entry_findings()]
        self.assertEqual(fields, ["first", "listen.port", "heartbeat", "limit"])

    def test_list_with_an_invalid_item_is_not_reported_as_empty(self) -> None:
        (self.directory / "secrets" / "asha.token").unlink()
        self.assertEqual(len(self.entry_findings()), 1)

    def test_public_or_short_secret_files_are_findings(self) -> None:
        (self.directory / "secrets" / "fleet.secret").chmod(0o644)
        (self.directory / "secrets" / "accounts.secret").write_text("short")
        found = self.entry_findings()
        self.assertIn("open to all users", found[0])
        self.assertIn("fewer than 16 bytes", found[1])

    def test_missing_or_undecodable_file_is_a_finding(self) -> None:
        self.assertTrue(settings.load_agent(self.directory / "none").is_error())
        self.entry.write_bytes(b"\xff\xfe\xfa")
        self.assertTrue(settings.load_entry(self.entry).is_error())

    @hypothesis.seed(1)
    @hypothesis.settings(max_examples=150, deadline=None, database=None)
    @hypothesis.given(strategies.text(alphabet="[]{}:&*a!-? \n\"'0.#|>\t%~<"))
    def test_random_texts_are_findings_not_exceptions(self, text: str) -> None:
        directory = pathlib.Path()
        result = settings_file.check(text, "a", directory, settings.AgentSettings)
        self.assertTrue(result.is_error())
