"""Queries the directory agents for a prompt and reports crashes to them."""

from typing import Final

from quincecrank import (
    agent_links,
    chain_view,
    crash_counts,
    directory,
    ids,
    logs,
    membership,
    peer_link,
    request_context,
    rpc,
)
from quincecrank import clock as clocks

LOOKUP_TIMEOUT_MS: Final = 50
"""A lookup that takes longer costs more time than its result saves."""

REPORT_TIMEOUT_MS: Final = 1_000

_LOG: Final = logs.logger("directory-lookup")


class DirectoryLookup:
    """An entry's client of the directory.

    Calls go to the directory agents responsible for the first block of the prompt,
    or for the fingerprint of a request without blocks.  A lookup asks them in turn;
    a crash report goes to all of them.

    Attributes
    ----------
    crashes : CrashCounts
        Crashes reported by this entry or learned from lookups.
    """

    def __init__(
        self,
        links: agent_links.AgentLinks,
        members: membership.Membership,
        clock: clocks.Clock,
    ) -> None:
        self._links = links
        self._members = members
        self._clock = clock
        self.crashes = crash_counts.CrashCounts()

    async def lookup(
        self,
        context: request_context.RequestContext,
        keys: tuple[ids.BlockKey, ...],
        *,
        may_write: bool,
    ) -> rpc.LookupReply:
        """Return the holders of a prompt's blocks; merge the request's crash records.

        The responsible agents are asked in turn; the reply is empty when none of them
        answers within `LOOKUP_TIMEOUT_MS` each.
        """
        request = rpc.LookupRequest(
            block_keys=keys, request=context.crash_key(), may_keep=may_write
        )
        for link in self._responsible_links(context, keys):
            try:
                reply = await link.call(
                    rpc.Method.DIRECTORY_LOOKUP,
                    request,
                    rpc.LookupReply,
                    LOOKUP_TIMEOUT_MS,
                )
            except rpc.CallError as error:
                _LOG.info("lookup failed", peer=link.peer.name, reason=str(error))
                continue
            self.crashes.merge(reply.crashes)
            return reply
        return rpc.LookupReply(chain=chain_view.empty(len(keys)))

    async def report_crash(
        self,
        context: request_context.RequestContext,
        keys: tuple[ids.BlockKey, ...],
        attempt_id: ids.AttemptId,
        server: ids.BackendServerName,
    ) -> None:
        """Record that a backend server crashed while it ran a request; report it."""
        record = crash_counts.CrashRecord(
            context.crash_key(), attempt_id, self._clock.wall_ms(), server=server
        )
        self.crashes.merge((record,))
        await self._report(context, keys, (record,))

    async def refresh_crashes(
        self, context: request_context.RequestContext, keys: tuple[ids.BlockKey, ...]
    ) -> None:
        """Merge crashes that other entries reported since the request's lookup."""
        await self.lookup(context, keys, may_write=False)

    async def report_cleared(
        self, context: request_context.RequestContext, keys: tuple[ids.BlockKey, ...]
    ) -> None:
        """Clear the crashes of a request that completed and report it."""
        cleared = self.crashes.clear(context.crash_key())
        if cleared:
            await self._report(context, keys, cleared)

    def crash_count(self, context: request_context.RequestContext) -> int:
        """Return the number of crashes that count against a request."""
        return self.crashes.count(context.crash_key(), self._clock.wall_ms())

    async def _report(
        self,
        context: request_context.RequestContext,
        keys: tuple[ids.BlockKey, ...],
        records: tuple[crash_counts.CrashRecord, ...],
    ) -> None:
        report = rpc.CrashReport(records=records)
        for link in self._responsible_links(context, keys):
            try:
                await link.call(
                    rpc.Method.CRASH_REPORT, report, rpc.Empty, REPORT_TIMEOUT_MS
                )
            except rpc.CallError as error:
                _LOG.warning(
                    "crash report failed", peer=link.peer.name, reason=str(error)
                )

    def _responsible_links(
        self, context: request_context.RequestContext, keys: tuple[ids.BlockKey, ...]
    ) -> tuple[peer_link.PeerLink, ...]:
        agents = self._members.directory_agents(context.deployment.name)
        root = keys[0] if keys else ids.BlockKey(context.fingerprint)
        responsible = directory.responsible_agents(root, agents)
        states = (self._links.states_by_vm.get(vm) for vm in responsible)
        return tuple(state.link for state in states if state is not None)
