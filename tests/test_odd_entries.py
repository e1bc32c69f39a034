"""Tests of odd rows of other writers and odd messages of peers.

Each takes generated documents through all steps that meet them: follower, registry,
reports to peers, log lines, metrics, and requests.
"""

import asyncio
import contextlib
import dataclasses
import ipaddress
import json
import math
import zlib
from collections.abc import Iterator
from typing import Any, Final
from unittest import mock

import hypothesis
import prometheus_client
from hypothesis import strategies
from structlog import testing

from quincecrank import checked_values, ids, rendezvous, store_rows
from quincecrank import clock as clocks
from quincecrank.gateway import (
    change_delivery,
    crash_findings,
    crash_monitor,
    deployment,
    followers,
    loads,
    loop_monitor,
    main,
    order_lease,
    peer_messages,
    peers,
    placements,
    row_consumers,
    server_links,
    servers,
    service_times,
    store_clock,
    stream_version_exchange,
    stream_versions,
    tables,
    target_marks,
    target_times,
    weights,
)
from quincecrank.platform import engines, store
from tests import builders_gateway as builders
from tests import builders_odd_documents as odd
from tests import builders_store as stored
from tests import gateway_case

MAX_LOG_LINE_BYTES: Final = 4_000
PATIENT_MS: Final = 60_000
"""Time limit of requests, for a test process that gets no processor for seconds."""

FINDING_DOCUMENT: Final = {
    "suspect": builders.make_part_key("p"),
    "account": None,
    "revision": 1,
    "hasEnded": False,
    "retests": 0,
    "servers": ["i-1/1"],
}

TARGET_TIMES_DOCUMENT: Final = {
    "era": 0,
    "targets": [
        {"model": "m", "version": 1, "storeMs": 8_000},
        {"model": "m", "version": 2, "storeMs": None},
    ],
}


def applied(table: tables.TableName, *rows: store_rows.Row) -> main.Gateway:
    """Return a gateway that has read `rows`, half of them as changes."""
    gateway = make_gateway()
    follower = gateway._followers_by_table[table]
    with mock.patch.object(gateway._reporter, "send"):
        follower._replace(
            stored.make_rows(1, *rows[::2]), followers.Arrival("store", 0, None)
        )
        follower._apply_changes(stored.make_rows(9_999, *rows[1::2]), 0)
    return gateway


def numbered(rows: list[tuple[str, str]]) -> tuple[store_rows.Row, ...]:
    """Return rows of keys and texts."""
    return tuple(
        stored.make_row(key, text, 2 + number)
        for number, (key, text) in enumerate(rows)
    )


def exchange_reports(gateway: main.Gateway) -> None:
    """Pass the reports of a gateway to another one, whose own must be sound, too."""
    other = make_gateway()
    for _ in range(main.REPORTS_PER_TIMES):
        report = peer_messages.decode(peer_messages.encode(gateway._make_report()))
        assert isinstance(report, peer_messages.Report)
        other._apply_report(report)
        datagram = peer_messages.encode(other._make_report())
        assert len(datagram) < 60_000, len(datagram)


@contextlib.contextmanager
def sound_log(test: Any) -> Iterator[None]:
    """Check that log lines are short and name no unhandled error."""
    with testing.capture_logs() as lines:
        yield
    for line in lines:
        test.assertLess(len(json.dumps(line, default=str)), MAX_LOG_LINE_BYTES)
        test.assertNotIn("exc_info", line)


def make_gateway() -> main.Gateway:
    """Return a gateway that is not started, with evacuations and cold servers."""
    settings = dataclasses.replace(
        builders.make_environment(),
        bounds=builders.make_bounds(evacuation_apply_ms=5_000, cold_overshoot=1.5),
    )
    return main.Gateway(settings, loop_monitor.ObservedClock())


class OddRowsTest(gateway_case.GatewayCase):
    def assert_literal(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        ipaddress.IPv4Address(ip)
        self.assertTrue(0 < int(port) < 65_536)

    @odd.REPRODUCIBLE
    @hypothesis.given(strategies.data())
    def test_one_odd_entry_fails_all_requests_of_its_service(self, data: Any) -> None:
        asyncio.run(self.serve_beside(data))

    async def serve_beside(self, data: Any) -> None:
        await self.asyncSetUp()
        configuration = builders.make_configuration_document(8)
        for route in configuration["routes"]:
            route["timeoutMs"] = PATIENT_MS
        self.configure_from(configuration)
        try:
            sound = await self.add_server(
                gateway_case.sends(gateway_case.answer()), server_id="i-sound"
            )
            entry = self.fleet.registry.find(servers.ServerId("i-sound"))
            assert entry is not None and sound
            document = builders.make_entry_document(
                service=builders.PLAIN, address=entry.address, slots=9
            )
            keys = strategies.one_of(odd.ODD_TEXTS, strategies.just("i-2"))
            texts = strategies.one_of(
                odd.odd_document(document), strategies.just(json.dumps(document))
            )
            pairs = strategies.lists(strategies.tuples(keys, texts), max_size=4)
            with sound_log(self):
                consumer = row_consumers.ServerRowConsumer(self.fleet)
                consumer.apply_changes(numbered(data.draw(pairs)))
                for each in self.fleet.registry.entries():
                    self.assert_literal(each.address)
                for number in range(4):
                    got = await self.ask(
                        "/look/x",
                        Request_Id=f"q-{number}",
                        Deadline_Ms=str(PATIENT_MS),
                    )
                    self.assertEqual(got.status, 200)
        finally:
            await self.asyncTearDown()

    @odd.REPRODUCIBLE
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                odd.ODD_TEXTS, odd.odd_document(builders.make_entry_document())
            ),
            max_size=6,
        )
    )
    def test_odd_servers_end_reports_and_metrics(
        self, pairs: list[tuple[str, str]]
    ) -> None:
        sound = [(key, json.dumps(builders.make_entry_document())) for key, _ in pairs]
        with sound_log(self):
            gateway = applied(tables.TableName.SERVERS, *numbered(pairs + sound))
            fleet = gateway._fleet
            for entry in fleet.registry.entries():
                fleet.loads.record_start(entry.server_id, ids.RequestId("q"), 1, 1)
                fleet.mark_leaving(entry.incarnation, is_direct=True)
                fleet.record_rate_limit(entry.incarnation, 5.0, fleet.clock.now_ms())
            states = fleet.rate_limits.states(fleet.clock.now_ms())
            gateway._metrics.set_rate_limits(states)
            prometheus_client.generate_latest(gateway._metrics.registry)
            exchange_reports(gateway)

    @odd.REPRODUCIBLE
    @hypothesis.given(
        odd.odd_document(builders.make_configuration_document()),
        odd.odd_document({"model": "model-a", "version": 2}),
        odd.ODD_TEXTS,
    )
    def test_odd_operator_rows_end_reports(
        self, configuration: str, target: str, key: str
    ) -> None:
        rows = [("config", configuration), (f"version/{key}", target), (key, target)]
        rows.append((f"evacuate/{key}", target))
        with sound_log(self):
            gateway = applied(tables.TableName.OPERATOR, *numbered(rows))
            current = gateway._fleet.configuration
            if current is not None:
                gateway._metrics.configuration_version.set(current.version)
                prometheus_client.generate_latest(gateway._metrics.registry)
            exchange_reports(gateway)

    @odd.REPRODUCIBLE
    @hypothesis.given(
        strategies.lists(strategies.tuples(odd.ODD_TEXTS, odd.ODD_TEXTS), max_size=6)
    )
    def test_odd_member_rows_end_reports(self, pairs: list[tuple[str, str]]) -> None:
        rows = [(f"gateway:{key}", text) for key, text in pairs]
        rows.append(("gateway:entry-2", "127.0.0.2"))
        rows.append((order_lease.LEASE_KEY, pairs[0][1] if pairs else ""))
        with sound_log(self):
            gateway = applied(tables.TableName.MEMBERS, *numbered(rows))
            for ip in gateway._peers.destinations():
                ipaddress.IPv4Address(ip)
            self.assertIn("127.0.0.2", gateway._peers.destinations())
            gateway._reporter.send()
            gateway._peers.first_ranked("key", 1)

    @odd.REPRODUCIBLE
    @hypothesis.given(
        odd.ODD_TEXTS,
        odd.odd_document(
            {"service": builders.LLM, "listed": ["v1"], "announced": ["v2"]}
        ),
        odd.odd_document({builders.LLM: {"v1": "AAAAAAAAAAA="}, builders.PLAIN: {}}),
    )
    def test_odd_listings_and_records_end_reports(
        self, key: str, listing: str, records: str
    ) -> None:
        prefix = stream_version_exchange.LISTING_PREFIX
        listings = [(f"{prefix}{each}", listing) for each in (key, builders.LLM)]
        with sound_log(self):
            exchange_reports(applied(tables.TableName.MEMBERS, *numbered(listings)))
        with contextlib.suppress(stream_version_exchange.RowError):
            for record in stream_version_exchange.decode_records(records):
                checked_values.name(record.version)

    @odd.REPRODUCIBLE
    @hypothesis.given(
        odd.odd_document(TARGET_TIMES_DOCUMENT),
        odd.odd_document({"era": 0, "storeMs": 8_000}),
    )
    def test_odd_times_of_targets_end_reports_and_writes(
        self, text: str, mark: str
    ) -> None:
        with sound_log(self):
            gateway = applied(
                tables.TableName.OPERATOR,
                *numbered([("version/m", json.dumps({"model": "m", "version": 2}))]),
            )
            gateway._store_clock.observe(store_clock.Sample(9_000, 100, 104))
            row = stored.make_row(target_times.ROW_KEY, text, 1)
            follower = gateway._followers_by_table[tables.TableName.MEMBERS]
            with mock.patch.object(gateway._reporter, "send"):
                follower._replace(
                    stored.make_rows(1, row), followers.Arrival("store", 0, None)
                )
            write = mock.AsyncMock(
                return_value=store_rows.WriteResult(True, stored.at(2))
            )
            marks = stored.make_row(f"{target_marks.KEY_PREFIX}0", mark, 0)
            read = mock.AsyncMock(return_value=stored.make_rows(1, marks))
            with mock.patch.multiple(gateway._store, write=write, read_all=read):
                asyncio.run(gateway._target_times.write_if_due())
            for call in write.await_args_list:
                target_times.decode(call.args[2])
            self.assertEqual(gateway._fleet.target_versions.target_by_model(), {"m": 2})
            exchange_reports(gateway)

    @odd.REPRODUCIBLE
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(odd.ODD_TEXTS, odd.odd_document(FINDING_DOCUMENT)),
            min_size=1,
            max_size=6,
        )
    )
    def test_odd_findings_end_reports_and_writes(
        self, pairs: list[tuple[str, str]]
    ) -> None:
        rows = [(crash_monitor.ROW_PREFIX + key, text) for key, text in pairs]
        with sound_log(self):
            gateway = applied(tables.TableName.MEMBERS, *numbered(rows))
            for finding in gateway._crashes.findings.states(0):
                crash_monitor.row_key(finding.scope)
                if gateway._crashes.findings.end(finding.scope, 0) is not None:
                    gateway._crashes.findings.add(finding.scope, (), 0)
            exchange_reports(gateway)

    @odd.REPRODUCIBLE
    @hypothesis.given(
        odd.odd_document({"era": 0, "version": 3, "rows": [["i-1", "{}", 2]]}),
        strategies.lists(odd.ODD_JSON, min_size=3, max_size=3),
    )
    def test_odd_rows_of_a_peer_end_reports(self, text: str, row: list[str]) -> None:
        odd_row = f'{{"era": 0, "version": 3, "rows": [[{", ".join(row)}]]}}'
        for document in (text, odd_row):
            try:
                rows = peers.decode_rows(document.encode())
            except (ValueError, KeyError, TypeError):
                continue
            gateway = applied(tables.TableName.MEMBERS)
            with sound_log(self), mock.patch.object(gateway._reporter, "send"):
                for follower in gateway._followers_by_table.values():
                    follower._replace(rows, followers.Arrival("peer", 0, None))
            exchange_reports(gateway)

    @odd.REPRODUCIBLE
    @hypothesis.given(
        strategies.text(max_size=20),
        strategies.binary(max_size=40),
        strategies.integers(0, 20),
        strategies.booleans(),
    )
    def test_odd_changes_of_a_peer_end_reports(
        self, key: str, content: bytes, version: int, is_removed: bool
    ) -> None:
        gateway = applied(tables.TableName.MEMBERS)
        position = stored.at(10_000 + version)
        for compressed in (content, zlib.compress(content)):
            row = change_delivery.ChangedRow(
                key, position, is_removed, None, compressed
            )
            for table in gateway._followers_by_table:
                change = change_delivery.Change(table, stored.at(0), position, (row,))
                datagram = peer_messages.encode_table_change(
                    peer_messages.TableChange(change, version)
                )
                message = peer_messages.decode(datagram)
                assert isinstance(message, peer_messages.TableChange)
                with sound_log(self):
                    gateway._apply_table_change(message, "10.0.0.2", 0)
        exchange_reports(gateway)

    @odd.REPRODUCIBLE
    @hypothesis.given(
        strategies.sampled_from((math.nan, math.inf, -math.inf, -1.0, 3e38)),
        strategies.integers(0, 2**32 - 1),
        strategies.text(min_size=1, max_size=300),
    )
    def test_odd_reports_of_peers_end_reports_or_requests(
        self, number: float, count: int, name: str
    ) -> None:
        times = service_times.Times(number, number, number, number, answers=1e6)
        key = crash_findings.SuspectKey(name)
        finding = crash_findings.Finding(
            crash_findings.Scope(key), count, True, count % 2**16, count, (name,) * 40
        )
        report = peer_messages.Report(
            ids.VmName(name if count % 2 else "entry-2"),
            False,
            (),
            {servers.ServerId(name): loads.Load(count, count, count)},
            times_by_service={builders.PLAIN: times},
            findings=(finding,),
            refused=(servers.Incarnation(servers.ServerId(name), count),),
            stream_records=(
                stream_versions.Record(
                    deployment.ServiceName(name),
                    stream_versions.StreamKey(count),
                    servers.SoftwareVersion(name),
                ),
            ),
        )
        gateway = main.Gateway(
            builders.make_environment(), loop_monitor.ObservedClock()
        )
        with contextlib.suppress(peer_messages.MessageError):
            decoded = peer_messages.decode(peer_messages.encode(report))
            assert isinstance(decoded, peer_messages.Report)
            for record in decoded.stream_records:
                checked_values.name(record.version)
            with sound_log(self):
                gateway._apply_report(decoded)
            gateway._crashes.findings.add(finding.scope, (), 0)
        expected = gateway._fleet.service_times.times_of(builders.PLAIN)
        work = service_times.Work(missing_tokens=100)
        self.assertTrue(math.isfinite(expected.expected_ms(work)))
        exchange_reports(gateway)

    def test_one_row_that_raises_keeps_the_others_from_being_applied(self) -> None:
        entries = [
            (f"i-{n}", json.dumps(builders.make_entry_document())) for n in "123"
        ]
        targets = [
            (f"version/{model}", json.dumps({"model": model, "version": 2}))
            for model in ("odd", "model-a")
        ]
        update = servers.ServerRegistry.update
        record = weights.TargetVersions.record_target

        def update_or_raise(
            registry: servers.ServerRegistry, entry: servers.ServerEntry
        ) -> servers.ServerEntry:
            if entry.server_id == "i-1":
                raise ZeroDivisionError
            return update(registry, entry)

        def record_or_raise(target: Any, model: Any, *rest: Any) -> bool:
            if model == "odd":
                raise ZeroDivisionError
            return record(target, model, *rest)

        with (
            testing.capture_logs(),
            mock.patch.object(servers.ServerRegistry, "update", update_or_raise),
            mock.patch.object(weights.TargetVersions, "record_target", record_or_raise),
        ):
            fleet = applied(tables.TableName.SERVERS, *numbered(entries))._fleet
            self.assertEqual(
                {each.server_id for each in fleet.registry.entries()}, {"i-2", "i-3"}
            )
            fleet = applied(tables.TableName.OPERATOR, *numbered(targets))._fleet
            self.assertEqual(fleet.target_versions.target_by_model(), {"model-a": 2})

    async def test_a_prompt_of_too_many_tokens_ends_reports(self) -> None:
        """The load that it puts on a server does not fit the report's field."""
        gateway = main.Gateway(
            builders.make_environment(), loop_monitor.ObservedClock()
        )
        gateway._fleet.loads.record_start(
            servers.ServerId("i-1"), ids.RequestId("q"), 2**40, 2**40
        )
        exchange_reports(gateway)

    async def test_a_request_with_an_odd_count_gets_no_answer(self) -> None:
        counts = ("²", "-5", "9" * 20, "9" * 5_000, "1.5", "")
        for count in counts:
            for headers in (
                {"Model": "model-a", "Token_Count": f"{count},1"},
                {"Model": "model-a", "Token_Count": f"9,{count or 'x'}"},
                {"Deadline_Ms": count},
                {"Model": "model-a", "Token_Count": "9", "Length_Hint": count},
            ):
                with self.subTest(str(headers)[:60]):
                    got = await self.ask("/draft/x", b"", **headers)
                    self.assertEqual(got.status, 400)

    async def test_an_account_that_is_not_ascii_gets_no_answer(self) -> None:
        document = builders.make_configuration_document(9)
        document["tenants"][0]["name"] = "पाटन"
        self.configure_from(document)
        server = await self.add_server(gateway_case.sends(gateway_case.answer()))
        self.assertEqual((await self.ask("/look/x")).status, 200)
        self.assertEqual(server.received[0].headers["Tenant"], "पाटन")

    async def test_one_server_that_raises_fails_all_requests(self) -> None:
        """An error with one candidate must leave the others in service."""
        total_load = self.fleet.loads.total_load

        def load_of(server_id: servers.ServerId, now_ms: int) -> loads.Load:
            if server_id.endswith("-1"):
                raise ValueError("odd server")
            return total_load(server_id, now_ms)

        for service, prompt in (
            (builders.PLAIN, None),
            (builders.LLM, builders.make_prompt(("a", 100), ("b", 10))),
        ):
            for number in (1, 2):
                address = f"127.0.0.1:{number}"
                weights = None if prompt is None else 1
                entry = builders.make_entry(
                    f"{service}-{number}",
                    service=service,
                    address=address,
                    weights=weights,
                )
                self.fleet.registry.update(entry)
            assert self.fleet.configuration is not None
            request = placements.PlacementRequest(
                builders.make_queued_request(deadline_ms=2**60),
                self.fleet.configuration.services_by_name[service],
                None,
                prompt,
            )
            with mock.patch.object(self.fleet.loads, "total_load", load_of):
                for _ in range(3):
                    placed = self.dispatcher.place_now(request)
                    assert placed is not None
                    self.assertEqual(placed.server.server_id, f"{service}-2")

    @odd.REPRODUCIBLE
    @hypothesis.given(odd.ODD_TEXTS)
    def test_an_odd_address_ends_the_task_that_connects(self, address: str) -> None:
        """Every address that is no literal one counts as one that can't be reached."""

        async def connect() -> None:
            with mock.patch.object(server_links.LinkStream, "connect") as connecting:
                connecting.side_effect = AssertionError("connected")
                await server_links.connect(address, 50, clocks.SystemClock())

        async def call() -> None:
            await engines.FleetEngineClient().report(address)

        with self.assertRaises(OSError):
            asyncio.run(connect())
        with self.assertRaises(engines.EngineCallError):
            asyncio.run(call())

    @odd.REPRODUCIBLE
    @hypothesis.given(odd.ODD_TEXTS, odd.ODD_TEXTS)
    def test_an_odd_name_ends_the_ranking(self, key: str, name: str) -> None:
        self.assertEqual(rendezvous.ranked(key, [name], 1), (name,))

    async def test_an_odd_key_at_the_end_of_a_page_ends_the_full_read(self) -> None:
        """The next page starts behind that key, which is then part of the query."""
        client = store.PlatformStore("http://127.0.0.1:1")
        self.addCleanup(client.close)
        with self.assertRaises(store_rows.StoreUnavailableError):
            await client.read("servers", first="i-\ud800\0")
