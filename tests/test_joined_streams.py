"""Streams stay at the software version of the backend server that began them."""

import asyncio
from typing import Final

from quincecrank.gateway import servers
from tests import builders_gateway as builders
from tests import gateway_case as case

PROMPT: Final = {
    "Model": builders.MODEL,
    "Token_Count": "30,3",
    "Prompt_Prefix": "aa:20,bb:10",
}
EVENT_COUNT: Final = 4
BROKEN_AFTER: Final = 2
GAP_S: Final = 0.1


def events(version: str, first: int, last: int) -> str:
    """Return events that name the version that wrote them."""
    return "".join(f"id: {n}\ndata: {version}\n\n" for n in range(first, last + 1))


def streams(version: str, *, breaks_off: bool = False) -> case.Script:
    """Return a script of a stream; a new one may break off after an event."""

    async def script(
        request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        is_broken = breaks_off and first == 1
        last = BROKEN_AFTER if is_broken else EVENT_COUNT
        request_id = request.headers["Request-Id"]
        writer.write(case.stream_head(request_id))
        writer.write(case.chunk(events(version, first, last)))
        await writer.drain()
        await asyncio.sleep(GAP_S)
        if is_broken:
            writer.close()
            return
        writer.write(case.chunk(""))

    return script


class JoinedStreamTest(case.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = builders.make_configuration_document(8)
        document["routes"][1]["maxAttempts"] = 2
        self.configure_from(document)

    async def add(self, server_id: str, version: str, **faults: bool) -> None:
        await self.add_server(
            streams(version, **faults),
            service="drafting",
            server_id=server_id,
            software_version=version,
        )

    async def resume(self, first_attempt: str, **headers: str) -> case.ReceivedAnswer:
        return await self.ask(
            "/draft/long/",
            b"prompt",
            **PROMPT,
            **{
                "Request_Id": "q-2",
                "Last_Event_Id": str(BROKEN_AFTER),
                "Resumes": first_attempt,
                **headers,
            },
        )

    async def begin_and_break(self) -> None:
        """Let attempt q-1 bring its first events at v1 and break off."""
        await self.add("e-1", "v1", breaks_off=True)
        got = await self.ask("/draft/long/", b"prompt", **PROMPT)
        self.assertEqual(got.body.decode(), events("v1", 1, BROKEN_AFTER))
        self.assertFalse(got.is_complete)

    async def test_a_stream_was_joined_within_one_answer(self) -> None:
        """The gateway continued a broken stream at any server of the service."""
        await self.add("e-1", "v1", breaks_off=True)
        await self.add("e-2", "v2", breaks_off=True)
        for number in range(4):
            request_id = f"q-{number}"
            got = await self.ask(
                "/draft/long/", b"prompt", **PROMPT, Request_Id=request_id
            )
            self.assertLessEqual(len(versions_in(got)), 1, got.body)
            self.assertFalse(got.is_complete)

    async def test_a_broken_stream_goes_on_at_its_version(self) -> None:
        for name, version in (("e-1", "v1"), ("e-2", "v2"), ("e-3", "v1")):
            await self.add(name, version, breaks_off=True)
        got = await self.ask("/draft/long/", b"prompt", **PROMPT)
        self.assertEqual(len(versions_in(got)), 1, got.body)
        self.assertEqual(got.is_complete, versions_in(got) == {"v1"})

    async def test_a_caller_joined_a_stream_of_two_versions(self) -> None:
        """A further attempt of the caller was sent to any server of the service."""
        await self.begin_and_break()
        self.remove_server("e-1")
        await self.add("e-2", "v2")
        got = await self.resume("q-1")
        self.assertEqual(got.status, 503)
        self.assertNotIn("Retry-After", got.headers)

    async def test_a_caller_resumes_a_stream_at_its_version(self) -> None:
        await self.begin_and_break()
        await self.add("e-2", "v2")
        await self.add("e-3", "v1")
        self.remove_server("e-1")
        got = await self.resume("q-1")
        self.assertEqual(got.body.decode(), events("v1", BROKEN_AFTER + 1, EVENT_COUNT))

    async def test_a_server_restarted_under_its_id_joined_a_stream(self) -> None:
        """The version was taken from the id of the server, not from its start."""
        await self.begin_and_break()
        self.remove_server("e-1")
        await self.add("e-1", "v2")
        await self.add("e-2", "v1")
        got = await self.resume("q-1")
        self.assertEqual(got.body.decode(), events("v1", BROKEN_AFTER + 1, EVENT_COUNT))

    async def test_a_server_restarted_before_its_entry_changed_joined_a_stream(
        self,
    ) -> None:
        """The entry still named the version that it had before."""
        await self.begin_and_break()
        port = int(self.fleet.registry.entries()[0].address.rpartition(":")[2])
        self.servers[0].stop()
        await asyncio.sleep(GAP_S)
        self.assertEqual((await self.resume("q-1")).status, 503)
        restarted = case.ScriptedServer(streams("v2"))
        await restarted.start(port)
        self.servers.append(restarted)
        health = self.fleet.health.health_of(self.fleet.registry.entries()[0])
        health.record_answer(1, 1)
        self.assertEqual((await self.resume("q-1")).status, 503)
        self.assertEqual(restarted.received, [])

    async def restart_as_v2(self) -> case.ScriptedServer:
        """Start e-1 again at v2, unseen here: a peer reports a refused connection."""
        entry = self.fleet.registry.entries()[0]
        self.servers[0].stop()
        await asyncio.sleep(GAP_S)
        restarted = case.ScriptedServer(streams("v2"))
        await restarted.start(int(entry.address.rpartition(":")[2]))
        self.servers.append(restarted)
        self.fleet.links.close_all()
        self.fleet.apply_peer_refusal(entry.incarnation)
        return restarted

    async def test_a_stream_was_joined_at_a_server_that_refused_a_peer(self) -> None:
        """Only refusals of this gateway's own connections counted."""
        await self.begin_and_break()
        restarted = await self.restart_as_v2()
        self.assertEqual((await self.resume("q-1")).status, 503)
        self.assertEqual(restarted.received, [])

    async def test_a_stream_was_recorded_wrongly_at_a_server_that_refused_a_peer(
        self,
    ) -> None:
        """Its version was taken from the entry of the earlier start."""
        await self.add("e-1", "v1")
        restarted = await self.restart_as_v2()
        await self.ask("/draft/long/", b"prompt", **PROMPT)
        self.assertEqual(len(restarted.received), 1)
        self.assertEqual(self.fleet.stream_versions.record_count, 0)

    async def test_a_peers_refusal_by_another_start_is_ignored(self) -> None:
        await self.begin_and_break()
        incarnation = self.fleet.registry.entries()[0].incarnation
        for other in (
            servers.Incarnation(incarnation.server_id, incarnation.started_wall_ms + 1),
            servers.Incarnation(servers.ServerId("e-9"), incarnation.started_wall_ms),
        ):
            self.fleet.apply_peer_refusal(other)
        self.assertEqual((await self.resume("q-1")).status, 200)

    async def test_an_unknown_first_attempt_is_not_resumed_at_any_version(self) -> None:
        """Two versions serve, and nothing is known of the stream."""
        await self.add("e-1", "v1")
        await self.add("e-2", "v2")
        for first_attempt in ("unknown", "q-2"):
            self.assertEqual((await self.resume(first_attempt)).status, 503)

    async def test_another_account_does_not_resume_a_stream_by_its_id(self) -> None:
        """Records are kept by account, so an id of another one is unknown."""
        await self.begin_and_break()
        await self.add("e-2", "v1")
        await self.add("e-3", "v2")
        own = await self.resume("q-1")
        other = await self.resume("q-1", Authorization="Token key-of-closed")
        self.assertEqual((own.status, other.status), (200, 503))

    async def test_the_only_version_resumes_an_unknown_stream(self) -> None:
        await self.add("e-1", "v1")
        self.assertEqual((await self.resume("unknown")).status, 200)


def versions_in(got: case.ReceivedAnswer) -> set[str]:
    """Return the software versions that wrote the events of an answer."""
    lines = got.body.decode().splitlines()
    return {line.removeprefix("data: ") for line in lines if line.startswith("data:")}
