"""Tests that every path by which a request reaches a server obeys its rate limit.

The servers are scripted.  The gateway is alone and issues its own permits, none at a
limit of 0.
"""

import asyncio
import pathlib
import tempfile
import unittest
from typing import Any, ClassVar, Final
from unittest import mock

import capnp

from quincecrank import ids, store_rows
from quincecrank.gateway import (
    cold_servers,
    crash_findings,
    lease_handover,
    loads,
    peer_messages,
    permit_pacer,
    rate_limits,
    send_permits,
    server_liveness,
    servers,
    stream_versions,
)
from tests import builders_gateway as builders
from tests import gateway_case as case

BLOCKED: Final = "Server-Limit: 0\r\n"
REFUSED: Final = "Request-Id: q-1\r\nNot-Executed: 1\r\n"
PROMPT: Final = {
    "Model": "model-a", "Token_Count": "100,3", "Prompt_Prefix": "a1:60,b2:40",
}  # fmt: skip


class LimitedRequestsTest(case.GatewayCase):
    async def test_first_sends_after_any_answer_that_names_a_limit(self) -> None:
        for name, status, head in (
            ("success", 200, case.SEAL),
            ("failure", 500, case.SEAL),
            ("rejection", 429, REFUSED),
            ("refusal", 503, REFUSED),
        ):
            with self.subTest(name):
                server = await self.add_server(
                    case.sends(case.answer(head=head + BLOCKED, status=status)),
                    server_id=f"i-{name}",
                )
                await self.ask("/record/", b"first")
                await asyncio.sleep(0.2)
                got = await self.ask("/record/", b"second")
                self.assertEqual(got.status, 503)
                self.assertIn(b"rate limits", got.body)
                self.assertEqual(len(server.received), 1)
                self.remove_server(f"i-{name}")

    async def test_retries(self) -> None:
        limited = await self.add_server(
            case.sends(case.answer(head=case.SEAL + BLOCKED)), server_id="i-limited"
        )
        await self.ask("/look/")
        await self.add_server(
            case.sends_and_closes(b"HTTP/1.1 200 OK\r\n"), server_id="i-broken"
        )
        got = await self.ask("/look/")
        self.assertEqual(got.status, 502)
        self.assertEqual(len(limited.received), 1)

    async def test_resumed_streams(self) -> None:
        document = builders.make_configuration_document(8)
        document["routes"][1]["maxAttempts"] = 2
        self.configure_from(document)
        may_break = asyncio.Event()

        async def break_off(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(case.stream_head() + case.chunk("id: 1\ndata: a\n\n"))
            await may_break.wait()
            writer.close()

        head = case.stream_head().replace(b"\r\n\r\n", b"\r\n" + BLOCKED.encode())
        whole = case.chunk("id: 1\ndata: a\n\n") + case.chunk("")
        limited = await self.add_server(
            case.sends(head + b"\r\n" + whole),
            service="drafting",
            server_id="i-limited",
        )
        await self.ask("/draft/long/", b"p", **PROMPT)
        await self.add_server(break_off, service="drafting", server_id="i-broken")
        caller = await case.Caller.connect(self.port)
        await caller.send("/draft/long/", b"p", **PROMPT)
        await asyncio.wait_for(caller.reader.readuntil(b"data: a\n\n"), case.WAIT_S)
        may_break.set()
        with self.assertRaises(asyncio.IncompleteReadError):
            await asyncio.wait_for(caller.reader.readuntil(b"0\r\n\r\n"), case.WAIT_S)
        caller.close()
        self.assertEqual(len(limited.received), 1)

    async def test_a_request_whose_permit_expires_before_it_is_sent(self) -> None:
        server = await self.add_server(case.sends(case.answer()))
        with mock.patch.object(
            self.fleet.send_permits, "may_send", side_effect=(False, True)
        ) as may_send:
            got = await self.ask("/record/", b"x")
        self.assertEqual(got.status, 200)
        self.assertEqual(may_send.call_count, 2)
        self.assertEqual(len(server.received), 1)

    async def test_the_answer_of_another_server_sets_no_limit(self) -> None:
        misdirected = f"{REFUSED}Instance-Id: i-9\r\n{BLOCKED}"
        await self.add_server(
            case.sends(case.answer(head=misdirected, status=421)),
            case.sends(case.answer()),
        )
        await self.ask("/look/")
        self.assertFalse(self.fleet.rate_limits.is_any_limited)

    async def test_an_unreadable_limit_changes_nothing(self) -> None:
        await self.add_server(
            case.sends(case.answer(head=case.SEAL + "Server-Limit: 5\r\n")),
            case.sends(case.answer(head=case.SEAL + "Server-Limit: five\r\n")),
        )
        entry = self.fleet.registry.find(servers.ServerId("i-1"))
        assert entry is not None
        await self.ask("/record/", b"first")
        self.fleet.send_permits.apply_grants(
            (send_permits.Grant(entry.incarnation, 1, self.clock.now_ms(), 1),),
            self.clock.now_ms(),
        )
        self.assertEqual((await self.ask("/record/", b"second")).status, 200)
        self.assertEqual(self.fleet.rate_limits.limit_of(entry.incarnation), 5.0)


class OtherReleasesTest(unittest.TestCase):
    """Reports between this release and one without the fields added since."""

    schema: ClassVar[Any]

    @classmethod
    def setUpClass(cls) -> None:
        # An id can be loaded once in a process.
        path = pathlib.Path(peer_messages.__file__).with_name("peers.capnp")
        lines = path.read_text().replace("@0xb1f0c2a9d7e45c13", "@0xb1f0c2a9d7e45c14")
        earlier = "\n".join(
            line
            for line in lines.splitlines()
            if not any(f"@{number} " in line for number in range(11, 64))
            and "permits @2" not in line
            and "tableChange @3" not in line
        )
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        earlier_path = pathlib.Path(folder, "earlier.capnp")
        earlier_path.write_text(earlier)
        cls.schema = capnp.load(str(earlier_path))

    def test_an_earlier_release_ignores_rate_limits(self) -> None:
        incarnation = servers.Incarnation(servers.ServerId("i-1"), 1)
        cold = servers.Incarnation(servers.ServerId("i-2"), 1)
        report = peer_messages.Report(
            ids.VmName("entry-2"),
            False,
            (),
            {servers.ServerId("i-1"): loads.Load(3)},
            limit_states=(rate_limits.LimitState(incarnation, 2.0, 1, 0),),
            issuer_reports=(
                send_permits.IssuerReport(incarnation, ids.VmName("entry-3"), 40),
                send_permits.IssuerReport(cold, ids.VmName("entry-2"), None),
            ),
            permit_asks=(permit_pacer.Ask(incarnation, 2, 1, 30, 99, returned=1),),
            answered=(peer_messages.ReportedAnswer(builders.make_part_key("a"), 7),),
            findings=(
                crash_findings.Finding(
                    crash_findings.Scope(builders.make_part_key("b")), 1, False, 0, 9
                ),
            ),
            stream_records=(
                stream_versions.Record(
                    builders.LLM,
                    stream_versions.StreamKey(7),
                    servers.SoftwareVersion("v1"),
                ),
            ),
            refused=(incarnation,),
            liveness=(server_liveness.Evidence(incarnation, 5, None),),
            configuration_version=9,
            configuration_age_ms=40,
            cold_states=(cold_servers.ColdState(cold, 4, True, 900),),
            handover=lease_handover.Handover(
                (lease_handover.TermId(7),),
                store_rows.Position(1, 9),
                (lease_handover.EngineOrder(servers.ServerId("i-1"), 40),),
            ),
        )
        encoded = peer_messages.encode(report)
        self.assertEqual(peer_messages.decode(encoded), report)
        read = self.schema.Datagram.from_bytes_packed(encoded)
        self.assertEqual(read.report.vm, "entry-2")
        self.assertEqual(read.report.loads[0].requests, 3)

    def test_an_earlier_release_is_no_issuer(self) -> None:
        message = self.schema.Datagram.new_message()
        message.report = self.schema.Report.new_message(vm="entry-2")
        read = peer_messages.decode(bytes(message.to_bytes_packed()))
        assert isinstance(read, peer_messages.Report)
        self.assertFalse(read.issues_permits)
        self.assertFalse(read.takes_changes)
        self.assertIsNone(read.configuration_version)
        self.assertEqual(read.limit_states, ())

    def test_permits_are_decoded_as_they_were_encoded(self) -> None:
        incarnation = servers.Incarnation(servers.ServerId("i-1"), 1)
        message = send_permits.PermitMessage(
            ids.VmName("entry-2"),
            (permit_pacer.Ask(incarnation, 2, 1, 30, 99, returned=1),),
            (send_permits.Grant(incarnation, 1, 98, 2**31, is_trial=True),),
        )
        encoded = peer_messages.encode_permits(message)
        self.assertEqual(peer_messages.decode(encoded), message)


if __name__ == "__main__":
    unittest.main()
