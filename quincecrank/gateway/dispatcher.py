"""Finds a backend server for each request, or has it wait or refuses it.

Holds the waiting lines and applies the decisions of `placement`, `waiting` and
`weights` to what the gateway knows.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from quincecrank import ids, rendezvous
from quincecrank.gateway import (
    cache_directory,
    decision_log,
    deployment,
    kept_parts,
    knowledge,
    placement,
    prompts,
    servers,
    service_times,
    size_shares,
    waiting,
    weights,
)

PUMP_INTERVAL_MS: Final = 40
"""Interval at which waiting requests are tried again without an ended request: a
fraction of the interval of the peers' load reports."""

MAX_OVERTAKING: Final = 8
"""Waiting requests of its kind that may be tried while the first one does not fit."""

OVERTAKING_LIMIT_MS: Final = 150
"""Wait of the first request after which no later one may overtake it."""

NO_SERVER_RETRY_MS: Final = 800
"""Time to come back while a service has no usable backend server: about the time
between two reports of a server."""

_LOG: Final = decision_log.logger("dispatcher")


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """A request that needs a backend server.

    Attributes
    ----------
    kind : str
        Requests of one kind are of equal importance, whatever their size.
    tried : frozenset of ServerId
        Servers that have already failed it.
    """

    ticket: waiting.Ticket
    service: deployment.Service
    account: deployment.Account | None
    prompt: prompts.Prompt | None
    kind: str = ""
    tried: frozenset[servers.ServerId] = frozenset()

    @property
    def request_id(self) -> ids.RequestId:
        """Id of the request."""
        return self.ticket.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The backend server of a request, and what it is told.

    Attributes
    ----------
    weights_version : int or None
        Version of the weights without which the request must not run.
    work : Work
        What the backend server has to do before the first part of the answer.
    expected_ms : float
        Estimated time to the first part of the answer by a server as fast as the
        others.
    """

    server: servers.ServerEntry
    weights_version: int | None
    salt: cache_directory.CacheSalt | None
    transfers: kept_parts.Transfers
    work: service_times.Work
    expected_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request that does not run, and when its caller may come back."""

    reason: str
    retry_after_ms: int


class Dispatcher:
    """Places the requests of all services.

    Parameters
    ----------
    known : Knowledge
        What the gateway knows.
    generator : Random
        Source of jitter.
    """

    def __init__(self, known: knowledge.Knowledge, generator: random.Random) -> None:
        self._known = known
        self._generator = generator
        self._line_by_service: collections.defaultdict[
            deployment.ServiceName, waiting.WaitingLine
        ] = collections.defaultdict(waiting.WaitingLine)
        self._future_by_request: dict[
            ids.RequestId, asyncio.Future[Placed | Refused]
        ] = {}
        self._want_by_request: dict[ids.RequestId, Want] = {}
        self._size_shares = size_shares.SizeShares()
        self._has_waiting = asyncio.Event()

    @property
    def waiting_requests(self) -> int:
        """Requests that wait for a backend server."""
        return len(self._want_by_request)

    def least_run_ms(
        self, service: deployment.Service, prompt: prompts.Prompt | None
    ) -> float:
        """Return the time to the first event at an idle engine; 0 for a plain service.

        Parameters
        ----------
        prompt : Prompt or None
            Its shared parts count as held.
        """
        if prompt is None:
            return 0.0
        own_tokens = prompt.input_tokens - prompt.shared_tokens
        times = self._known.service_times.of(service.name)
        return times.expected_ms(service_times.Work(missing_tokens=own_tokens))

    async def place(self, want: Want) -> Placed | Refused:
        """Return a backend server for a request, after a wait if need be."""
        if want.prompt is None:
            return await self._find_place(want)
        tokens = want.prompt.input_tokens
        shares = self._size_shares
        now_ms = self._known.clock.now_ms()
        if shares.is_owed(want.kind, tokens, now_ms):
            ticket = dataclasses.replace(want.ticket, is_owed=True)
            want = dataclasses.replace(want, ticket=ticket)
        result = await self._find_place(want)
        if not want.tried:
            is_placed = isinstance(result, Placed)
            now_ms = self._known.clock.now_ms()
            shares.ended(want.kind, tokens, now_ms, is_placed=is_placed)
        return result

    async def _find_place(self, want: Want) -> Placed | Refused:
        now_ms = self._known.clock.now_ms()
        line = self._line_by_service[want.service.name]
        if not self._usable(want):
            pause_ms = self._shortest_pause_ms(want)
            if pause_ms is None or now_ms + pause_ms >= want.ticket.latest_start_ms:
                retry_ms = NO_SERVER_RETRY_MS if pause_ms is None else pause_ms
                return self._refuse(want, "no backend server", retry_ms)
        if line.expected_wait_ms(want.ticket, now_ms) == 0:
            placed = self._try_place(want)
            if placed is not None:
                return placed
        line.found_no_place(want.ticket, now_ms)
        if not line.accepts(want.ticket, now_ms):
            return self._refuse_late(want, line)
        return await self._wait(want, line)

    async def run(self) -> None:
        """Try waiting requests again at intervals."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting.clear()
            await self._known.clock.sleep(PUMP_INTERVAL_MS)
            for service in tuple(self._line_by_service):
                self.pump(service)

    def pump(self, service: deployment.ServiceName) -> None:
        """Start the waiting requests for which there is room.

        Small ones may overtake those of their own kind, but never more urgent ones or
        ones that can still be on time: they would keep the engines so full that these
        find no room until it is too late.
        """
        line = self._line_by_service[service]
        if not len(line):
            return
        self._has_waiting.set()
        if not self._known.registry.ready(service):
            self._refuse_all(line)
            return
        now_ms = self._known.clock.now_ms()
        for ticket in line.take_hopeless(now_ms):
            want = self._want_by_request[ticket.request_id]
            self._resolve(ticket.request_id, self._refuse_late(want, line))
        blocked: waiting.Kind | None = None
        for index, ticket in enumerate(line.in_order(now_ms)[:MAX_OVERTAKING]):
            kind = waiting.kind_of(ticket, now_ms)
            if blocked not in (None, kind):
                return
            placed = self._try_place(self._want_by_request[ticket.request_id])
            if placed is not None:
                line.remove(ticket.request_id)
                self._resolve(ticket.request_id, placed)
                continue
            if index == 0 and now_ms - ticket.arrived_ms > OVERTAKING_LIMIT_MS:
                return
            blocked = kind

    def _refuse_all(self, line: waiting.WaitingLine) -> None:
        """Refuse what waits for a service that has no backend server any more."""
        for ticket in line.in_order(self._known.clock.now_ms()):
            line.remove(ticket.request_id)
            want = self._want_by_request[ticket.request_id]
            refused = self._refuse(want, "no backend server", NO_SERVER_RETRY_MS)
            self._resolve(ticket.request_id, refused)

    async def _wait(self, want: Want, line: waiting.WaitingLine) -> Placed | Refused:
        future: asyncio.Future[Placed | Refused] = (
            asyncio.get_running_loop().create_future()
        )
        line.push(want.ticket)
        self._has_waiting.set()
        self._future_by_request[want.request_id] = future
        self._want_by_request[want.request_id] = want
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._release_unused(want, future.result())
            raise
        finally:
            line.remove(want.request_id)
            self._future_by_request.pop(want.request_id, None)
            self._want_by_request.pop(want.request_id, None)

    def _release_unused(self, want: Want, result: Placed | Refused) -> None:
        """Free a place that was found just as the caller left."""
        if isinstance(result, Placed):
            self._known.loads.ended(result.server.server_id, want.request_id)

    def _resolve(self, request_id: ids.RequestId, result: Placed | Refused) -> None:
        future = self._future_by_request.get(request_id)
        if future is None or future.done():
            return
        future.set_result(result)

    def _try_place(self, want: Want) -> Placed | None:
        now_ms = self._known.clock.now_ms()
        line = self._line_by_service[want.service.name]
        if not line.may_start(want.ticket, now_ms):
            return None
        placed = (
            self._place_plain(want)
            if want.prompt is None or want.service.engine is None
            else self._place_engine(want, want.prompt, want.service.engine)
        )
        if placed is not None:
            line.started(want.ticket, now_ms)
        return placed

    def _place_plain(self, want: Want) -> Placed | None:
        now_ms = self._known.clock.now_ms()
        usable = self._usable(want)
        slowness_by_server = self._known.health.relative_slowness(usable)
        candidates = [
            placement.Candidate(
                each,
                self._known.loads.of(each.server_id, now_ms),
                slowness_by_server[each.server_id],
            )
            for each in usable
        ]
        chosen = placement.choose_plain(candidates, want.request_id)
        if chosen is None:
            return None
        self._known.loads.started(chosen.server.server_id, want.request_id, 0, 0)
        _LOG.info(
            "placed",
            request=want.request_id,
            server=chosen.server.server_id,
            running=chosen.load.requests,
            slowness=round(chosen.slowness, 2),
        )
        work = chosen.work
        expected_ms = self._known.service_times.of(want.service.name).expected_ms(work)
        return Placed(
            chosen.server, None, None, kept_parts.NO_TRANSFERS, work, expected_ms
        )

    def _place_engine(
        self, want: Want, prompt: prompts.Prompt, engine: deployment.EngineFacts
    ) -> Placed | None:
        now_ms = self._known.clock.now_ms()
        usable = self._usable(want)
        if not usable:
            return None
        slowness_by_server = self._known.health.relative_slowness(usable)
        current = self._known.current
        sources = (
            self._known.sources(want.service, prompt.model, current) if current else ()
        )
        times = self._known.service_times.of(want.service.name)
        need = placement.EngineNeed(
            home=_home(prompt, usable),
            memory_tokens=prompt.memory_tokens,
            engine_memory_tokens=engine.memory_tokens,
            slack_ms=_slack_ms(want.ticket, now_ms, times),
            times=times,
        )
        load_by_server = {
            each.server_id: self._known.loads.of(each.server_id, now_ms)
            for each in usable
        }
        # Plans take the most time, and under overload few engines have room.
        roomy = [
            each
            for each in usable
            if placement.has_room(load_by_server[each.server_id], each.slots, need)
        ]
        sources_by_version = self._sources_by_version(want, prompt, roomy, sources)
        judged = placement.shortlist(
            roomy, load_by_server, self._holders(want, prompt, roomy), need.home
        )
        plans = {
            each.server_id: self._plan(want, prompt, engine, each, sources_by_version)
            for each in judged
        }
        candidates = [
            placement.Candidate(
                each,
                load_by_server[each.server_id],
                slowness_by_server[each.server_id],
                plans[each.server_id].missing_tokens,
                plans[each.server_id].transfers.expected_ms,
                self._known.versions.replaced_cost_ms(
                    prompt.model, plans[each.server_id].version, now_ms
                ),
            )
            for each in judged
        ]
        chosen = placement.choose_engine(candidates, need)
        if chosen is None:
            return None
        plan = plans[chosen.server.server_id]
        transfers = plan.transfers
        if plan.version >= (self._known.versions.newest(prompt.model) or 0):
            transfers = self._with_saves(plan, prompt, sources)
        self._known.loads.started(
            chosen.server.server_id,
            want.request_id,
            prompt.memory_tokens,
            plan.missing_tokens,
        )
        _LOG.info(
            "placed",
            request=want.request_id,
            server=chosen.server.server_id,
            running=chosen.load.requests,
            memory=chosen.load.memory_tokens,
            backlog=chosen.load.prefill_tokens,
            missing=plan.missing_tokens,
            fetched=plan.transfers.fetched_tokens,
            prompt=prompt.input_tokens,
            waited_ms=now_ms - want.ticket.arrived_ms,
            chance=want.ticket.chance(now_ms).name,
            is_owed=want.ticket.is_owed,
            first_ago_ms=now_ms - want.ticket.first_asked_ms,
            expected_ms=round(times.expected_ms(chosen.work, chosen.slowness)),
            shared=_last_shared_part(prompt),
            home=need.home,
            saved=sum(each is not None for each in transfers.save_to),
            weights=plan.version,
            slowness=round(chosen.slowness, 2),
        )
        return Placed(
            chosen.server,
            plan.version,
            plan.salt,
            transfers,
            chosen.work,
            times.expected_ms(chosen.work),
        )

    def _with_saves(
        self,
        plan: "_EnginePlan",
        prompt: prompts.Prompt,
        sources: tuple[kept_parts.Source, ...],
    ) -> kept_parts.Transfers:
        stores = tuple(each for each in sources if each.is_store)
        save_to = kept_parts.plan_save(
            prompt,
            plan.salt,
            stores,
            self._known.directory,
            self._known.saves,
            self._known.clock.now_ms(),
        )
        return dataclasses.replace(plan.transfers, save_to=save_to)

    def _holders(
        self,
        want: Want,
        prompt: prompts.Prompt,
        replicas: Iterable[servers.ServerEntry],
    ) -> frozenset[servers.ServerId]:
        """Return the replicas that hold the last shared part of a prompt."""
        if not prompt.shared_parts:
            return frozenset()
        part = prompt.shared_parts[-1]
        return frozenset(
            each.server_id
            for each in replicas
            if self._known.directory.holds(
                cache_directory.HolderName(each.server_id),
                _salt(want, prompt, each.weight_versions_by_model[prompt.model]),
                part,
            )
        )

    def _sources_by_version(
        self,
        want: Want,
        prompt: prompts.Prompt,
        replicas: Iterable[servers.ServerEntry],
        sources: tuple[kept_parts.Source, ...],
    ) -> dict[int, tuple[kept_parts.Source, ...]]:
        """Return who has a part of a prompt, by the version of the weights.

        Looked up once for all replicas: of many sources few have a part of one prompt.
        """
        versions = {each.weight_versions_by_model[prompt.model] for each in replicas}
        keys_by_version = {
            version: [
                cache_directory.PartKey(_salt(want, prompt, version), part.part_id)
                for part in prompt.parts
            ]
            for version in versions
        }
        holds_any = self._known.directory.holds_any
        return {
            version: tuple(
                each
                for each in sources
                if each.weights_version in (None, version)
                and holds_any(each.holder, keys)
            )
            for version, keys in keys_by_version.items()
        }

    def _plan(
        self,
        want: Want,
        prompt: prompts.Prompt,
        engine: deployment.EngineFacts,
        server: servers.ServerEntry,
        sources_by_version: Mapping[int, tuple[kept_parts.Source, ...]],
    ) -> "_EnginePlan":
        version = server.weight_versions_by_model[prompt.model]
        salt = _salt(want, prompt, version)
        held = self._known.directory.held_prefix(
            cache_directory.HolderName(server.server_id), salt, prompt.parts
        )
        others = tuple(
            each
            for each in sources_by_version[version]
            if each.address != server.address
        )
        transfers = kept_parts.plan_fetch(
            prompt.parts,
            held,
            salt,
            others,
            self._known.directory,
            engine.token_bytes,
        )
        cached = sum(part.tokens for part in prompt.parts[:held])
        missing = max(1, prompt.input_tokens - cached - transfers.fetched_tokens)
        return _EnginePlan(version, salt, missing, transfers)

    def _usable(self, want: Want) -> tuple[servers.ServerEntry, ...]:
        now_ms = self._known.clock.now_ms()
        able = tuple(
            each
            for each in self._known.registry.ready(want.service.name)
            if each.server_id not in want.tried
            and self._known.health.of(each).allows(now_ms)
            and not self._known.weight_news.is_loading(each, now_ms)
        )
        if want.prompt is None or want.service.engine is None:
            return able
        return weights.able_replicas(
            able,
            want.prompt.model,
            self._known.versions.newest(want.prompt.model),
            self._known.versions.may_serve_replaced(
                want.prompt.model,
                now_ms,
                self._known.facts.bounds.weights_deadline_ms,
            ),
        )

    def _shortest_pause_ms(self, want: Want) -> int | None:
        """Return when the first server ends its pause; None if none is in one.

        A server that is full pauses for a moment; refusing at once what could wait
        for it would send callers away from a service that runs at its limit.
        """
        now_ms = self._known.clock.now_ms()
        pauses_ms = [
            pause_ms
            for each in self._known.registry.ready(want.service.name)
            if each.server_id not in want.tried
            and (pause_ms := self._known.health.of(each).pause_left_ms(now_ms))
        ]
        return min(pauses_ms, default=None)

    def _refuse_late(self, want: Want, line: waiting.WaitingLine) -> Refused:
        now_ms = self._known.clock.now_ms()
        after_ms = line.retry_after_ms(want.ticket, now_ms, self._generator.random())
        return self._refuse(want, "all backend servers are busy", after_ms)

    def _refuse(self, want: Want, reason: str, retry_after_ms: int) -> Refused:
        now_ms = self._known.clock.now_ms()
        _LOG.info(
            "refused",
            request=want.request_id,
            service=want.service.name,
            reason=reason,
            waited_ms=now_ms - want.ticket.arrived_ms,
            chance=want.ticket.chance(now_ms).name,
            is_owed=want.ticket.is_owed,
            first_ago_ms=now_ms - want.ticket.first_asked_ms,
            prompt=want.prompt.input_tokens if want.prompt else None,
            waiting=len(self._line_by_service[want.service.name]),
            retry_after_ms=retry_after_ms,
        )
        return Refused(reason, retry_after_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class _EnginePlan:
    version: int
    salt: cache_directory.CacheSalt
    missing_tokens: int
    transfers: kept_parts.Transfers


def _slack_ms(
    ticket: waiting.Ticket, now_ms: int, times: service_times.Times
) -> float | None:
    """Return how long an engine may take to compute a prompt that can be on time.

    One that is owed a place and can't be on time only has to be computed soon enough
    to be answered.
    """
    if ticket.chance(now_ms) is waiting.Chance.LATE:
        return None
    until_ms = ticket.on_time_until_ms
    if now_ms + ticket.least_run_ms > until_ms:
        until_ms = ticket.latest_start_ms
    return until_ms - now_ms - times.base_ms


def _salt(
    want: Want, prompt: prompts.Prompt, version: int
) -> cache_directory.CacheSalt:
    owner = want.account.name if want.account and want.account.is_isolated else None
    return cache_directory.make_salt(prompt.model, version, owner)


def _home(
    prompt: prompts.Prompt, usable: Sequence[servers.ServerEntry]
) -> servers.ServerId:
    """Return the replica that the prompt's shared parts hash to."""
    names = [each.server_id for each in usable]
    return rendezvous.ranked(_last_shared_part(prompt), names, 1)[0]


def _last_shared_part(prompt: prompts.Prompt) -> str:
    shared = prompt.shared_parts or prompt.parts
    return shared[-1].part_id if shared else ""
