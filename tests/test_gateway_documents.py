"""Tests of decoding the platform's documents, headers and settings.

Malformed input of other writers or callers must fail with the decoder's own error.
"""

import json
import pathlib
import random
import tempfile
import unittest

from quincecrank import ids
from quincecrank.gateway import deployment, servers
from quincecrank.platform import documents, requests, row_updates, settings
from tests import builders_gateway as builders
from tests import builders_store as stored


class ServerEntryTest(unittest.TestCase):
    def test_an_entry_is_decoded(self) -> None:
        text = json.dumps(builders.make_entry_document())
        entry = documents.server_entry("i-1", text)
        self.assertEqual(entry.state, servers.ServerState.READY)
        self.assertEqual(entry.weight_versions_by_model, {"model-a": 1})
        self.assertEqual(entry.started_wall_ms, 1_790_343_895_426)

    def test_malformed_entries_of_other_writers_are_rejected(self) -> None:
        """Other writers may leave out fields, or write values of other types."""
        cases: dict[str, dict[str, object]] = {
            "no service": {"service": None},
            "service of another type": {"service": 7},
            "no address": {"address": None},
            "address without a port": {"address": "10.1.0.9"},
            "unknown state": {"state": "resting"},
            "slots as text": {"slots": "128"},
            "slots as a boolean": {"slots": True},
            "no start": {"born": None},
            "start as a fraction": {"born": 1.5},
            "no software version": {"version": None},
            "no counter": {"seq": None},
            "models of another type": {"models": "model-a"},
        }
        for name, changes in cases.items():
            with self.subTest(name), self.assertRaises(documents.DocumentError):
                text = json.dumps(builders.make_entry_document(**changes))
                documents.server_entry("i-1", text)
        for text in ("", "null", "[]", "undecodable value", '{"service"'):
            with self.subTest(text), self.assertRaises(documents.DocumentError):
                documents.server_entry("i-1", text)

    def test_a_removed_row_has_no_server_entry(self) -> None:
        self.assertIsNone(
            row_updates.server_update(stored.make_row("i-1", "", 3, is_removed=True))
        )


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.current = documents.configuration(builders.make_configuration_text())

    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        cases = {
            "/draft/x": "r-1",
            "/draft/long/x": "r-2",
            "/draft": None,
            "/drafts/x": None,
            "/record/": "r-3",
        }
        for path, expected in cases.items():
            with self.subTest(path):
                route = self.current.find_route(builders.HOST, path)
                self.assertEqual(route.name if route else None, expected)
        self.assertIsNone(self.current.find_route("other.example", "/draft/x"))

    def test_routes_are_found_as_by_comparing_all_of_them(self) -> None:
        generator = random.Random(1)
        document = builders.make_configuration_document()
        template = document["routes"][0]
        names = ("a", "b", "ab")
        document["routes"] = [
            {
                **template,
                "name": f"r-{number}",
                "host": generator.choice(("x.example", "y.example")),
                "prefix": "/"
                + "".join(
                    f"{generator.choice(names)}/" for _ in range(generator.randrange(4))
                ),
            }
            for number in range(40)
        ]
        current = documents.configuration(json.dumps(document))
        for _ in range(500):
            host = generator.choice(("x.example", "y.example", "z.example"))
            path = "/" + "/".join(
                generator.choice((*names, "")) for _ in range(generator.randrange(6))
            )
            matching = [
                route
                for route in current.routes_by_host.get(host, ())
                if path.startswith(route.prefix)
            ]
            expected = max(matching, key=lambda each: len(each.prefix), default=None)
            self.assertIs(current.find_route(host, path), expected)

    def test_unchanged_routes_are_decoded_once(self) -> None:
        """Each change of one route decoded all of them anew."""
        decoder = documents.ConfigurationDecoder()
        first = decoder.decode(builders.make_configuration_text())
        document = builders.make_configuration_document(8)
        document["routes"][0]["timeoutMs"] += 1
        second = decoder.decode(json.dumps(document))
        alone = documents.configuration(json.dumps(document))
        self.assertEqual(second, alone)
        routes, others = (
            each.routes_by_host[builders.HOST] for each in (first, second)
        )
        self.assertNotEqual(routes[0], others[0])
        for before, after in zip(routes[1:], others[1:], strict=True):
            self.assertIs(before, after)

    def test_a_malformed_configuration_leaves_the_decoder_as_it_was(self) -> None:
        decoder = documents.ConfigurationDecoder()
        decoder.decode(builders.make_configuration_text())
        document = builders.make_configuration_document(8)
        document["routes"][0]["timeoutMs"] = "soon"
        with self.assertRaises(documents.DocumentError):
            decoder.decode(json.dumps(document))
        document = builders.make_configuration_document(9)
        self.assertEqual(
            decoder.decode(json.dumps(document)),
            documents.configuration(json.dumps(document)),
        )

    def test_idempotent_routes_and_resumable_streams_may_repeat(self) -> None:
        may_repeat = {
            route.name: route.may_repeat
            for route in self.current.routes_by_host[builders.HOST]
        }
        expected = {"r-1": False, "r-2": True, "r-3": False, "r-4": True, "r-5": True}
        self.assertEqual(may_repeat, expected)

    def test_services_and_stores_are_distinguished(self) -> None:
        self.assertEqual(set(self.current.services_by_name), {"drafting", "records"})
        self.assertEqual(set(self.current.stores_by_name), {"store-a"})
        self.assertIsNone(self.current.services_by_name[builders.PLAIN].engine)

    def test_accounts_are_found_by_api_key(self) -> None:
        account = self.current.find_account(builders.KEY)
        self.assertEqual(account, deployment.Account(builders.ACCOUNT, 1, False))
        self.assertIsNone(self.current.find_account("unknown"))

    def test_malformed_configurations_are_rejected(self) -> None:
        for text in ("", "[]", "{}", '{"version": 1, "routes": [{}]}'):
            with self.subTest(text), self.assertRaises(documents.DocumentError):
                documents.configuration(text)


class HeadersTest(unittest.TestCase):
    def test_a_prompt_is_decoded(self) -> None:
        headers = builders.make_headers(
            Model="model-a",
            Token_Count="1460,80",
            Prompt_Prefix="5c1e:800,91bd:410,e440:250",
            Length_Hint="33",
        )
        prompt = requests.decode(headers).prompt
        assert prompt is not None
        self.assertEqual(prompt.shared_tokens, 1_210)
        self.assertEqual(prompt.memory_tokens, 1_493)

    def test_malformed_headers_are_rejected(self) -> None:
        cases = [
            {"Deadline_Ms": "soon"},
            {"Model": "model-a", "Token_Count": "x,1"},
            {"Model": "model-a", "Token_Count": "1,1", "Prompt_Prefix": "5c1e"},
        ]
        for extra in cases:
            with self.subTest(extra), self.assertRaises(requests.HeaderError):
                requests.decode(builders.make_headers(**extra))

    def test_forged_gateway_headers_are_replaced(self) -> None:
        """A caller must not set headers that only the gateway may set.

        Hop-by-hop headers and those named by Connection are removed as well.
        """
        forged_headers = {
            "Tenant": "other",
            "Cache_Salt": "x",
            "Hold": "h",
            "Pin_Ms": "9",
            "Kv_From": "1.2.3.4:5/h",
            "Kv_Fetch": "1.2.3.4:5",
            "Kv_Save": "1.2.3.4:5",
            "Kv_Until": "1",
            "Kv_Backup": "1.2.3.4:5",
            "Expect_Instance": "i-9",
            "Expect_Version": "9",
            "Request_Priority": "0",
            "Connection": "X-Hop",
            "X_Hop": "1",
            "X_Own": "kept",
            "Transfer_Encoding": "chunked",
        }
        gateway_headers = requests.GatewayHeaders(
            server_id=servers.ServerId("i-1"),
            remaining_ms=900,
            account=ids.AccountName("patan"),
            save_to=(None, "10.0.0.1:1"),
        )
        sent = requests.encode(
            builders.make_headers(**forged_headers), gateway_headers, 3
        )
        expected = {
            "Host": builders.HOST,
            "Request-Id": "q-1",
            "Deadline-Ms": "900",
            "Expect-Instance": "i-1",
            "Tenant": "patan",
            "Kv-Save": "-,10.0.0.1:1",
            "X-Own": "kept",
            "Content-Length": "3",
        }
        self.assertEqual(dict(sent.get_all()), expected)


class SettingsTest(unittest.TestCase):
    def test_an_error_names_the_file_and_the_missing_field(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text("{}")
            with self.assertRaisesRegex(
                settings.SettingsError, "settings.json.*listen"
            ):
                settings.load(path)
            path.write_text("{")
            with self.assertRaisesRegex(settings.SettingsError, "settings.json"):
                settings.load(path)
