"""Places a request on a model engine, and plans the transfers of its prompt.

Load pattern: prompts whose long shared parts are cached at a few of many engines, while
engines are nearly full and may have outdated weights.  The rules are those of
`placement`, `cache_transfers` and `weights`; this module applies them to the state of
the fleet.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from quincecrank import rendezvous
from quincecrank.gateway import (
    allowed_regions,
    cache_part_index,
    cache_transfers,
    decision_log,
    deployment,
    fleet_state,
    permit_demand,
    placement,
    placements,
    prompts,
    request_queue,
    servers,
    service_queues,
    service_times,
    shared_admission,
    weights,
)

_LOG: Final = decision_log.logger("dispatcher")


class EnginePlacement:
    """Chooses engines by the fleet state that this gateway tracks.

    Parameters
    ----------
    fleet : FleetState
        Fleet state that this gateway tracks.
    demand : PermitDemand
        Takes the permits for engines with a rate limit.
    queue_by_service : QueueByService
        The admission queues.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        demand: permit_demand.PermitDemand,
        queue_by_service: service_queues.QueueByService,
    ) -> None:
        self._fleet = fleet
        self._demand = demand
        self._queue_by_service = queue_by_service
        self._local_data_centre = (
            fleet.own_settings.data_centre if fleet.own_settings.spreads_load else None
        )

    def place(
        self,
        request: placements.PlacementRequest,
        prompt: prompts.Prompt,
        engine: deployment.EngineLimits,
        usable: tuple[servers.ServerEntry, ...],
    ) -> placements.Placement | None:
        """Return the best of the usable engines; None if none takes the request now.

        The load of the request is recorded at the engine.
        """
        now_ms = self._fleet.clock.now_ms()
        slowness_by_server = self._fleet.health.relative_slowness(usable)
        current = self._fleet.configuration
        sources = (
            self._fleet.cache_sources(request.service, prompt.model, current)
            if current
            else ()
        )
        times = self._fleet.service_times.times_of(request.service.name)
        context = placement.EngineChoiceContext(
            affinity_server=_affinity_server(prompt, usable),
            memory_tokens=prompt.memory_tokens,
            engine_memory_tokens=self._memory_for(request, engine, now_ms),
            slack_ms=(slack_ms := _slack_ms(request.queued, now_ms, times)),
            times=times,
            max_backlog_ms=self._max_backlog_ms(request, now_ms, slack_ms, times),
            chooser=self._fleet.engine_chooser,
            unseen_ms=self._unseen_ms(usable, times),
            data_centre=self._local_data_centre,
        )
        load_by_server = {
            each.server_id: self._fleet.loads.total_load(each.server_id, now_ms)
            for each in usable
        }
        # Planning transfers is the slowest step, and under overload few engines have
        # capacity.
        with_capacity = [
            each
            for each in usable
            if placement.has_capacity(
                load_by_server[each.server_id], each.slots, context
            )
        ]
        sources_by_version = self._sources_by_version(
            request, prompt, with_capacity, sources
        )
        evaluated = placement.shortlist(
            with_capacity,
            load_by_server,
            self._holders(request, prompt, with_capacity),
            context.affinity_server,
        )
        plans = {
            each.server_id: self._plan(
                request, prompt, engine, each, sources_by_version
            )
            for each in evaluated
        }
        cold = {each.server_id for each in evaluated if self._fleet.is_cold(each)}
        cold_slowness = self._fleet.cold_servers.slowness(request.service.name)
        candidates = [
            placement.Candidate(
                each,
                load_by_server[each.server_id],
                slowness_by_server[each.server_id]
                * (cold_slowness if each.server_id in cold else 1.0),
                plans[each.server_id].missing_tokens,
                plans[each.server_id].transfers.expected_ms,
                self._fleet.target_versions.outdated_penalty_ms(
                    prompt.model, plans[each.server_id].version, now_ms
                ),
                each.server_id in cold,
            )
            for each in evaluated
        ]
        candidates = [
            each
            for each in candidates
            if self._begins_in_time(
                request, each, plans[each.server.server_id].version, times
            )
        ]
        chosen = placement.choose_engine(candidates, context)
        if chosen is None:
            return None
        plan = plans[chosen.server.server_id]
        transfers = plan.transfers
        # KV cache of outdated weights is not saved: the target weights can't use it.
        if plan.version >= (
            self._fleet.target_versions.target_version(prompt.model) or 0
        ):
            transfers = self._with_saves(plan, request, prompt, sources)
        self._fleet.loads.record_start(
            chosen.server.server_id,
            request.request_id,
            prompt.memory_tokens,
            plan.missing_tokens,
        )
        _LOG.info(
            "placed",
            request=request.request_id,
            server=chosen.server.server_id,
            software=chosen.server.software_version,
            running=chosen.load.requests,
            memory=chosen.load.memory_tokens,
            backlog=chosen.load.backlog_tokens,
            missing=plan.missing_tokens,
            fetched=plan.transfers.fetched_tokens,
            prompt=prompt.input_tokens,
            waited_ms=now_ms - request.queued.arrived_ms,
            chance=request.queued.timeliness(now_ms).name,
            is_owed=request.queued.is_underserved,
            first_ago_ms=now_ms - request.queued.first_attempt_ms,
            expected_ms=round(times.expected_ms(chosen.work, chosen.slowness)),
            shared=_last_shared_part(prompt),
            home=context.affinity_server,
            saved=sum(each is not None for each in transfers.save_to),
            weights=plan.version,
            slowness=round(chosen.slowness, 2),
            unseen_ms=round(context.unseen_ms),
        )
        return placements.Placement(
            chosen.server,
            plan.version,
            plan.salt,
            transfers,
            chosen.work,
            times.expected_ms(chosen.work),
            self._demand.take_permit(request, chosen.server),
            chosen.is_cold,
        )

    def _memory_for(
        self,
        request: placements.PlacementRequest,
        engine: deployment.EngineLimits,
        now_ms: int,
    ) -> int:
        """Return the memory of an engine that a request may see filled."""
        queue = self._queue_by_service[request.service.name]
        if not isinstance(queue, shared_admission.SharedQueue):
            return engine.memory_tokens
        if queue.shorter_target_ms(request.queued, now_ms) is None:
            return engine.memory_tokens
        return round(engine.memory_tokens * shared_admission.SHORTER_MEMORY_FRACTION)

    def _max_backlog_ms(
        self,
        request: placements.PlacementRequest,
        now_ms: int,
        slack_ms: float | None,
        times: service_times.Times,
    ) -> float | None:
        """Return the longest backlog of an engine for the request; None without one."""
        queue = self._queue_by_service[request.service.name]
        if slack_ms is None or not isinstance(queue, shared_admission.SharedQueue):
            return None
        return shared_admission.max_backlog_ms(
            slack_ms,
            queue.shorter_target_ms(request.queued, now_ms),
            times.base_ms,
            is_over_share=queue.is_over_share(request.queued, now_ms),
        )

    def _unseen_ms(
        self, usable: tuple[servers.ServerEntry, ...], times: service_times.Times
    ) -> float:
        """Return the unseen work of one of some engines; 0 if loads aren't spread."""
        if self._fleet.engine_chooser is None:
            return 0.0
        unseen_tokens = self._fleet.loads.unseen_tokens(len(usable))
        return unseen_tokens * times.backlog_token_ms

    def begin_limit_ms(
        self, prompt: prompts.Prompt | None, version: int | None
    ) -> float | None:
        """Return the time by which a request must begin on a version of the weights.

        None without a limit: the version is not outdated, or the service is plain.
        """
        if prompt is None or version is None:
            return None
        return self._fleet.target_versions.begin_limit_ms(
            prompt.model, version, self._fleet.own_settings.bounds.weights_deadline_ms
        )

    def _begins_in_time(
        self,
        request: placements.PlacementRequest,
        candidate: placement.Candidate,
        version: int,
        times: service_times.Times,
    ) -> bool:
        """Return whether a request would begin on an engine's weights in time."""
        limit_ms = self.begin_limit_ms(request.prompt, version)
        if limit_ms is None:
            return True
        now_ms = self._fleet.clock.now_ms()
        expected_ms = max(
            times.expected_ms(candidate.work, candidate.slowness),
            self._fleet.begin_delays.longest_ms(candidate.server.server_id, now_ms),
        )
        ratio = (
            weights.MIN_BEGIN_RATIO
            if request.may_repeat
            else weights.MIN_SINGLE_BEGIN_RATIO
        )
        return now_ms + expected_ms * ratio <= limit_ms

    def _with_saves(
        self,
        plan: "_EnginePlan",
        request: placements.PlacementRequest,
        prompt: prompts.Prompt,
        sources: tuple[cache_transfers.Source, ...],
    ) -> cache_transfers.Transfers:
        stores = tuple(
            each for each in sources if each.is_store and self._may_hold(request, each)
        )
        save_to = cache_transfers.plan_save(
            prompt,
            plan.salt,
            stores,
            self._fleet.cache_index,
            self._fleet.pending_saves,
            self._fleet.clock.now_ms(),
        )
        return dataclasses.replace(plan.transfers, save_to=save_to)

    def _may_hold(
        self, request: placements.PlacementRequest, store: cache_transfers.Source
    ) -> bool:
        """Return whether a store is in the regions that may hold a prompt."""
        current = self._fleet.configuration
        if request.allowed_regions is None or current is None:
            return True
        name = deployment.ServiceName(store.holder)
        return allowed_regions.allows(
            request.allowed_regions,
            current.stores_by_name[name].data_centre,
            self._fleet.own_settings.region_by_data_centre,
        )

    def _holders(
        self,
        request: placements.PlacementRequest,
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
            if self._fleet.cache_index.holds(
                cache_part_index.HolderName(each.server_id),
                _salt(request, prompt, each.weight_versions_by_model[prompt.model]),
                part,
            )
        )

    def _sources_by_version(
        self,
        request: placements.PlacementRequest,
        prompt: prompts.Prompt,
        replicas: Iterable[servers.ServerEntry],
        sources: tuple[cache_transfers.Source, ...],
    ) -> dict[int, tuple[cache_transfers.Source, ...]]:
        """Return the sources that hold a part of a prompt, by weight version.

        Looked up once for all replicas, as few of many sources hold a part of any one
        prompt.
        """
        versions = {each.weight_versions_by_model[prompt.model] for each in replicas}
        keys_by_version = {
            version: [
                cache_part_index.PartKey(_salt(request, prompt, version), part.part_id)
                for part in prompt.parts
            ]
            for version in versions
        }
        holds_any = self._fleet.cache_index.holds_any
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
        request: placements.PlacementRequest,
        prompt: prompts.Prompt,
        engine: deployment.EngineLimits,
        server: servers.ServerEntry,
        sources_by_version: Mapping[int, tuple[cache_transfers.Source, ...]],
    ) -> "_EnginePlan":
        version = server.weight_versions_by_model[prompt.model]
        salt = _salt(request, prompt, version)
        held = self._fleet.cache_index.held_prefix_length(
            cache_part_index.HolderName(server.server_id), salt, prompt.parts
        )
        others = tuple(
            each
            for each in sources_by_version[version]
            if each.address != server.address
        )
        transfers = cache_transfers.plan_fetch(
            prompt.parts,
            held,
            salt,
            others,
            self._fleet.cache_index,
            engine.token_bytes,
            None if self._local_data_centre is None else server.data_centre,
        )
        cached = sum(part.tokens for part in prompt.parts[:held])
        missing = max(1, prompt.input_tokens - cached - transfers.fetched_tokens)
        return _EnginePlan(version, salt, missing, transfers)


@dataclasses.dataclass(frozen=True, slots=True)
class _EnginePlan:
    version: int
    salt: cache_part_index.CacheSalt
    missing_tokens: int
    transfers: cache_transfers.Transfers


def _slack_ms(
    queued: request_queue.QueuedRequest, now_ms: int, times: service_times.Times
) -> float | None:
    """Return the time within which an engine must compute a prompt.

    None if the request is late.  The answer must be on time.  The prompt of an
    underserved request that can't be on time must be computed by its latest start time,
    so that it is still answered.  `base_ms` is subtracted because
    `placement.prefill_completion_ms`, to which the result is compared, leaves it out.
    """
    if queued.timeliness(now_ms) is request_queue.Timeliness.LATE:
        return None
    until_ms = queued.on_time_until_ms
    if now_ms + queued.idle_answer_ms > until_ms:
        until_ms = queued.latest_start_ms
    return until_ms - now_ms - times.base_ms


def _salt(
    request: placements.PlacementRequest, prompt: prompts.Prompt, version: int
) -> cache_part_index.CacheSalt:
    owner = (
        request.account.name
        if request.account and request.account.is_isolated
        else None
    )
    return cache_part_index.make_salt(prompt.model, version, owner)


def _affinity_server(
    prompt: prompts.Prompt, usable: Sequence[servers.ServerEntry]
) -> servers.ServerId:
    """Return the usable replica that the prompt's last shared part hashes to."""
    names = [each.server_id for each in usable]
    return rendezvous.ranked(_last_shared_part(prompt), names, 1)[0]


def _last_shared_part(prompt: prompts.Prompt) -> str:
    shared = prompt.shared_parts or prompt.parts
    return shared[-1].part_id if shared else ""
