"""Simulates a fleet of gateways and engines under a load pattern, in virtual time.

The gateways' decisions are made by the product's own code: one dispatcher and one
fleet state for each gateway.  The engines, the callers and the messages between
gateways are simulated.  Messages take time, as in a real fleet, so that a gateway's
view of the others' load is outdated.  Arrivals and random choices are seeded.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

import structlog

from bench import even_alternatives, simulated_engine, virtual_time
from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    cache_part_index,
    deployment,
    dispatcher,
    environment,
    failed_request_records,
    fleet_state,
    loads,
    peers,
    placements,
    prompts,
    request_queue,
    servers,
)
from tests import builders_gateway as builders

MESSAGE_MS: Final = 1.0
"""Travel time of a datagram and the receiver's wait for its processor."""

CACHE_EVENT_MS: Final = 300.0
"""Delay of a cache event: the engine's lag and half of the polling interval."""

MODEL: Final = builders.MODEL
SERVICE: Final = builders.LLM
SALT: Final = cache_part_index.make_salt(MODEL, 1, None)
NO_ACCOUNT: Final = ids.AccountName("")

MAX_RETRY_WAIT_FRACTION: Final = 1 / 3
"""Fraction of their remaining time for which callers wait before a retry."""

SAMPLE_MS: Final = 20.0
"""Interval of samples of the engines' pending work: five in a tenth of a second."""

TENTH_MS: Final = 100
"""Period over which the evenness of the pending work is measured."""

END_MARGIN_MS: Final = 20_000
"""Time after the last arrival within which all requests have ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests with the same prompt structure, targets and value.

    A prompt consists of a guide and a subject, which other prompts share, and a
    suffix of its own.

    Attributes
    ----------
    per_second : float
        Mean arrival rate at the whole fleet.
    guide_count, guide_tokens : int
        Number of guides and the tokens of each.
    subject_count, subject_tokens : int
        Number of subjects and the tokens of each.
    suffix_tokens, answer_tokens : int
        Mean tokens of the suffix and of the answer.
    target_ms, deadline_ms : int
        Times from the first attempt within which an answer is on time, and within
        which the request has to be answered at all.
    urgency : int
        Rank in the admission queue; 0 goes first.
    on_time_value, late_value : float
        Value of an answer on time and of a late one.
    suffix_log_deviation : float
        Standard deviation of the logarithm of the suffix length.
    """

    name: str
    per_second: float
    guide_count: int
    guide_tokens: int
    subject_count: int
    subject_tokens: int
    suffix_tokens: int
    answer_tokens: int
    target_ms: int
    deadline_ms: int
    urgency: int
    on_time_value: float
    late_value: float
    suffix_log_deviation: float = 0.6


VERDICTS: Final = RequestKind(
    "verdict", 32.0, 4, 2_520, 700, 5_000, 1_670, 52, 500, 5_000, 1, 3.2, 0.64
)
NOTES: Final = RequestKind(
    "note", 50.0, 8, 119, 1_095, 531, 177, 290, 300, 15_000, 0, 2.2, 0.44
)
"""Long and short prompts of the firmware readers' site, from its data sheet."""


class Policy(enum.Enum):
    """How the engine of a request is chosen."""

    GATEWAYS = "gateways"
    """By the gateways' dispatchers."""

    RANDOM = "random engine"
    """A random engine, whose queue is unlimited."""

    LEAST_REQUESTS = "fewest requests"
    """The engine with the fewest requests at this moment; its queue is unlimited."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load pattern and the fleet that serves it.

    Attributes
    ----------
    duration_ms : int
        Time in which requests arrive.
    slots, memory_tokens : int
        Requests that one engine runs at a time, and its memory for KV cache.
    sends_load_changes : bool
        Whether gateways notify each other at once of large changes of load; without
        this they learn of them by periodic reports only.
    burst_from_ms, burst_until_ms : int
        Time in which arrivals are multiplied by `burst_factor`.
    burst_kind : str or None
        The kind whose arrivals are multiplied; None for all.
    slowness : float
        Duration of all engines' steps, relative to their data sheet.
    slowness_by_engine : tuple of float
        Further factors of the engines' steps; repeated if there are more engines.
    slow_from_ms : int
        Time from which all steps take `slow_factor` times as long; 0 for never.
    slow_engine_factor : float
        Duration of the first engine's steps, relative to the other engines'.
    prefill_chunk_tokens : int
        Prompt tokens that an engine computes in one step (prefill chunk).
    shares_admission : bool
        Whether gateways admit requests by figures that they share.
    cut_off_gateways : int
        Number of gateways that send no report and receive none.
    limits_retry_time : bool
        Whether callers give up if they are to wait for more than a third of their
        remaining time.
    accounts : int
        Number of accounts, each with as many requests as another; 0 for none.
    burst_is_of_one_account : bool
        Whether the first account sends all requests that a burst adds.
    prefill_tokens_per_ms : float
        Prompt tokens that an engine computes in a millisecond.
    episode_factor, episode_ms, episode_fraction : float
        Factor, mean length and fraction of the times at which an engine is slow by
        itself; a fraction of 0 is never.
    learns_slowness : bool
        Whether the gateways learn how slow each engine is, as they do on machines.
    spreads_load : bool
        Whether the gateways spread requests over engines with near-equal estimates.
    chooser : str
        How they spread them, see `even_alternatives`.
    notifies_ends : bool
        Whether peers are notified at once of the end of large requests.
    message_ms : float
        Travel time of a datagram and the receiver's wait for its processor.
    """

    seed: int
    duration_ms: int = 8_000
    gateways: int = 10
    engines: int = 4
    slots: int = 128
    memory_tokens: int = 64_414
    kinds: tuple[RequestKind, ...] = (VERDICTS, NOTES)
    sends_load_changes: bool = True
    burst_from_ms: int = 0
    burst_until_ms: int = 0
    burst_factor: float = 1.0
    burst_kind: str | None = None
    slowness: float = 1.0
    slowness_by_engine: tuple[float, ...] = (1.0,)
    slow_from_ms: int = 0
    slow_factor: float = 1.0
    slow_engine_factor: float = 1.0
    prefill_chunk_tokens: int = simulated_engine.PREFILL_CHUNK_TOKENS
    prefill_tokens_per_ms: float = simulated_engine.PREFILL_TOKENS_PER_MS
    episode_factor: float = 1.0
    episode_ms: float = 600.0
    episode_fraction: float = 0.0
    learns_slowness: bool = False
    spreads_load: bool = False
    message_ms: float = MESSAGE_MS
    chooser: str = "weighted"
    notifies_ends: bool = True
    policy: Policy = Policy.GATEWAYS
    shares_admission: bool = False
    cut_off_gateways: int = 0
    limits_retry_time: bool = False
    accounts: int = 0
    burst_is_of_one_account: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller.

    Attributes
    ----------
    gateway : int
        Gateway of the first attempt, modulo the number of gateways.
    """

    at_ms: float
    kind: RequestKind
    prompt: prompts.Prompt
    answer_tokens: int
    gateway: int
    account: ids.AccountName = NO_ACCOUNT


@dataclasses.dataclass(slots=True)
class Outcome:
    """Number of requests of one kind by their result.

    Attributes
    ----------
    requests : int
        All requests.
    on_time, late : int
        Answered requests, counted at their first event.
    rejected : int
        Requests that were not answered because gateways rejected them.
    rejected_twice : int
        Requests that were sent again after a rejection and rejected again.
    rejected_once : int
        Requests whose first attempt was rejected.
    rejected_with_room : int
        Attempts that were rejected while less than half of all slots were taken and no
        request waited at any gateway.
    """

    requests: int = 0
    on_time: int = 0
    late: int = 0
    rejected: int = 0
    rejected_twice: int = 0
    rejected_once: int = 0
    rejected_with_room: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """An answered request.

    Attributes
    ----------
    first_attempt_ms : int
        Time of its first attempt.
    took_ms : float
        Time from there to the first event.
    """

    first_attempt_ms: int
    kind: str
    is_on_time: bool
    input_tokens: int
    took_ms: float
    account: ids.AccountName = NO_ACCOUNT


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Time to the first event of an answer, estimated by a gateway and observed."""

    at_ms: int
    expected_ms: float
    observed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a replay.

    Attributes
    ----------
    value, max_value : float
        Value of the given answers, and of all requests if each were on time.
    preemption_count : int
        Preemptions at all engines.
    prefilled_tokens : int
        Prompt tokens that all engines computed.
    max_pending_prefill_tokens : int
        Largest sum of the prompt tokens of one engine's requests without a first
        token.
    unevenness_by_tenth : tuple of float
        Ratio of the largest to the mean pending work of the engines, by tenth of a
        second in which any was pending.  Work is the time that an engine needs to
        compute the prompts that it has.
    largest_work_ms_by_tenth : tuple of float
        Largest pending work of an engine in these tenths.
    datagram_count : int
        Datagrams between gateways, reports included.
    """

    outcome_by_kind: dict[str, Outcome]
    answered: tuple[AnsweredRequest, ...]
    predictions: tuple[Prediction, ...]
    value: float
    max_value: float
    preemption_count: int
    prefilled_tokens: int
    max_pending_prefill_tokens: int
    unevenness_by_tenth: tuple[float, ...] = ()
    largest_work_ms_by_tenth: tuple[float, ...] = ()
    datagram_count: int = 0

    @property
    def value_fraction(self) -> float:
        """Value of the answers as a fraction of `max_value`."""
        return self.value / self.max_value


def make_arrivals(pattern: Pattern) -> tuple[Arrival, ...]:
    """Return the seeded arrivals of a pattern, ascending by time."""
    generator = random.Random(pattern.seed)
    arrivals = [
        arrival
        for kind in pattern.kinds
        for arrival in _arrivals_of(kind, pattern, generator)
    ]
    return tuple(sorted(arrivals, key=lambda each: each.at_ms))


def _arrivals_of(
    kind: RequestKind, pattern: Pattern, generator: random.Random
) -> Iterable[Arrival]:
    at_ms = 0.0
    while True:
        is_burst = (
            pattern.burst_from_ms <= at_ms < pattern.burst_until_ms
            and pattern.burst_kind in (None, kind.name)
        )
        rate = kind.per_second * (pattern.burst_factor if is_burst else 1.0)
        at_ms += generator.expovariate(rate) * clocks.MS_PER_SECOND
        if at_ms >= pattern.duration_ms:
            return
        # A subject's popularity is inversely proportional to the square root of
        # its rank.
        subject = int(kind.subject_count * generator.random() ** 2)
        guide = subject % kind.guide_count
        # With a deviation of 0.6, -0.2 makes the mean of the factor about 1.
        suffix_tokens = max(
            1,
            int(
                generator.lognormvariate(-0.2, kind.suffix_log_deviation)
                * kind.suffix_tokens
            ),
        )
        answer_tokens = max(
            1, int(generator.lognormvariate(-0.2, 0.6) * kind.answer_tokens)
        )
        parts = (
            prompts.PromptPart(
                prompts.PartId(f"{kind.name}-g{guide}"), kind.guide_tokens
            ),
            prompts.PromptPart(
                prompts.PartId(f"{kind.name}-s{subject}"), kind.subject_tokens
            ),
            prompts.PromptPart(prompts.PartId(f"{kind.name}-{at_ms}"), suffix_tokens),
        )
        prompt = prompts.Prompt(
            model=MODEL,
            input_tokens=sum(part.tokens for part in parts),
            max_output_tokens=4 * kind.answer_tokens,
            parts=parts,
            expected_output_tokens=max(
                1, int(answer_tokens * generator.uniform(0.6, 1.6))
            ),
        )
        gateway = generator.randrange(100_000)
        account = NO_ACCOUNT
        if pattern.accounts:
            number = generator.randrange(pattern.accounts)
            if pattern.burst_is_of_one_account and is_burst:
                is_added = generator.random() >= 1 / pattern.burst_factor
                number = 0 if is_added else number
            account = ids.AccountName(f"account-{number}")
        yield Arrival(at_ms, kind, prompt, answer_tokens, gateway, account)


def make_environment(
    number: int, *, shares_admission: bool = False, spreads_load: bool = False
) -> environment.Environment:
    """Return the settings of the gateway with this number."""
    return dataclasses.replace(
        builders.make_environment(),
        vm=ids.VmName(f"gateway-{number}"),
        shares_admission=shares_admission,
        spreads_load=spreads_load,
    )


def make_fleet(
    number: int, *, shares_admission: bool, spreads_load: bool = False
) -> fleet_state.FleetState:
    """Return the fleet state of the gateway with this number."""
    return fleet_state.FleetState(
        make_environment(
            number, shares_admission=shares_admission, spreads_load=spreads_load
        ),
        virtual_time.LoopClock(),
    )


def _drop_log_event(
    _logger: object, _name: str, _event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    raise structlog.DropEvent


class Replay:
    """One replay of a pattern; runs once, on an event loop in virtual time."""

    def __init__(self, pattern: Pattern) -> None:
        self._pattern = pattern
        self._clock = virtual_time.LoopClock()
        self._generator = random.Random(pattern.seed + 1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_tokens_by_server: dict[servers.ServerId, int] = {}
        self._requests_by_server: collections.Counter[servers.ServerId] = (
            collections.Counter()
        )
        self._max_pending_tokens = 0
        self._work = _PendingWork()
        self._datagram_count = 0
        engine_facts = deployment.EngineLimits(
            pattern.slots, pattern.memory_tokens, 96_256, 1_100_000.0, 12, (MODEL,)
        )
        self._service = deployment.Service(SERVICE, 1_000, engine_facts)
        self._account_by_name = {
            name: deployment.Account(name, None, False)
            for name in (
                ids.AccountName(f"account-{number}")
                for number in range(pattern.accounts)
            )
        }
        self._fleet_states = [
            make_fleet(
                number,
                shares_admission=pattern.shares_admission,
                spreads_load=pattern.spreads_load,
            )
            for number in range(pattern.gateways)
        ]
        for fleet in self._fleet_states:
            fleet.shared_demand.known_gateways = pattern.gateways
        self._set_choosers()
        self._dispatchers = [
            dispatcher.Dispatcher(fleet, random.Random(pattern.seed + number))
            for number, fleet in enumerate(self._fleet_states)
        ]
        self._engine_by_server: dict[
            servers.ServerId, simulated_engine.SimulatedEngine
        ] = {}
        self._outcome_by_kind = {kind.name: Outcome() for kind in pattern.kinds}
        self._answered: list[AnsweredRequest] = []
        self._predictions: list[Prediction] = []
        self._value = 0.0
        self._max_value = 0.0

    async def run(self) -> Result:
        """Send all requests and return the outcome."""
        self._start_engines()
        for number in range(len(self._fleet_states)):
            self._set_load_listener(number)
            self._start(self._send_reports(number))
            self._start(self._dispatchers[number].run())
        self._start(self._sample_work())
        for arrival in make_arrivals(self._pattern):
            now_ms = asyncio.get_running_loop().time() * clocks.MS_PER_SECOND
            await self._clock.sleep(max(0.0, arrival.at_ms - now_ms))
            self._start(self._send_request(arrival))
        await self._clock.sleep(END_MARGIN_MS)
        return Result(
            self._outcome_by_kind,
            tuple(self._answered),
            tuple(self._predictions),
            self._value,
            self._max_value,
            sum(each.preemption_count for each in self._engine_by_server.values()),
            sum(each.prefilled_tokens for each in self._engine_by_server.values()),
            self._max_pending_tokens,
            tuple(self._work.unevenness_by_tenth),
            tuple(self._work.largest_ms_by_tenth),
            self._datagram_count,
        )

    def _set_choosers(self) -> None:
        """Set how the gateways choose engines, if they spread load."""
        pattern = self._pattern
        if not pattern.spreads_load:
            return
        for number, fleet in enumerate(self._fleet_states):
            generator = random.Random(pattern.seed * 1_000 + number)
            if pattern.chooser == "extrapolated":
                fleet.loads = even_alternatives.ExtrapolatedLoads()
                fleet.engine_chooser = None
            else:
                fleet.engine_chooser = even_alternatives.make_chooser(
                    pattern.chooser, fleet.own_settings.vm, generator
                )

    def _start(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_engines(self) -> None:
        for number in range(self._pattern.engines):
            server_id = servers.ServerId(f"i-{number}")
            entry = builders.make_entry(
                server_id,
                service=SERVICE,
                address=f"10.0.0.{number}:80",
                slots=self._pattern.slots,
            )
            holder = cache_part_index.HolderName(server_id)
            for fleet in self._fleet_states:
                fleet.registry.update(entry)
                fleet.cache_index.reset(holder, 1, 0)
            engine = simulated_engine.SimulatedEngine(
                self._pattern.slots,
                self._pattern.memory_tokens,
                self._cache_event_sender(holder),
                self._clock,
            )
            factors = self._pattern.slowness_by_engine
            engine.slowness = self._pattern.slowness * factors[number % len(factors)]
            engine.prefill_chunk_tokens = self._pattern.prefill_chunk_tokens
            engine.prefill_tokens_per_ms = self._pattern.prefill_tokens_per_ms
            if number == 0:
                engine.slowness *= self._pattern.slow_engine_factor
            self._engine_by_server[server_id] = engine
            self._start(engine.run())
            if self._pattern.episode_fraction:
                self._start(self._slow_at_times(engine, number))
        if self._pattern.slow_from_ms:
            self._call_later(self._pattern.slow_from_ms, self._slow_down)

    async def _slow_at_times(
        self, engine: simulated_engine.SimulatedEngine, number: int
    ) -> None:
        """Make an engine slow by itself, at seeded times; never returns."""
        pattern = self._pattern
        generator = random.Random(pattern.seed * 1_000 + number)
        usual_ms = pattern.episode_ms * (1 / pattern.episode_fraction - 1)
        while True:
            await self._clock.sleep(generator.expovariate(1 / usual_ms))
            engine.slowness *= pattern.episode_factor
            await self._clock.sleep(generator.uniform(0.5, 1.5) * pattern.episode_ms)
            engine.slowness /= pattern.episode_factor

    async def _sample_work(self) -> None:
        """Record the engines' pending work while requests arrive."""
        while self._clock.now_ms() < self._pattern.duration_ms:
            self._work.record(
                self._clock.now_ms(),
                [each.pending_work_ms() for each in self._engine_by_server.values()],
            )
            await self._clock.sleep(SAMPLE_MS)

    def _slow_down(self) -> None:
        for engine in self._engine_by_server.values():
            engine.slowness *= self._pattern.slow_factor

    def _cache_event_sender(
        self, holder: cache_part_index.HolderName
    ) -> simulated_engine.CacheChangeListener:
        def publish(part: prompts.PromptPart, is_held: bool) -> None:
            change = cache_part_index.CacheChange(
                cache_part_index.PartKey(SALT, part.part_id),
                part.tokens if is_held else 0,
            )
            for fleet in self._fleet_states:
                self._call_later(
                    CACHE_EVENT_MS, fleet.cache_index.apply, holder, [change]
                )

        return publish

    def _call_later(self, delay_ms: float, call: object, *arguments: object) -> None:
        asyncio.get_running_loop().call_later(
            delay_ms / clocks.MS_PER_SECOND,
            call,  # type: ignore[arg-type]
            *arguments,
        )

    def _set_load_listener(self, number: int) -> None:
        if not self._pattern.sends_load_changes:
            return
        vm = self._fleet_states[number].own_settings.vm

        requests_by_server: collections.Counter[servers.ServerId] = (
            collections.Counter()
        )

        def notify(server_id: servers.ServerId, load: loads.Load) -> None:
            is_end = load.requests < requests_by_server[server_id]
            requests_by_server[server_id] = load.requests
            if is_end and not self._pattern.notifies_ends:
                return
            for fleet in self._peers_of(number):
                self._datagram_count += 1
                self._call_later(
                    self._pattern.message_ms,
                    fleet.loads.apply_peer_change,
                    vm,
                    server_id,
                    load,
                )

        self._fleet_states[number].loads.notify_peers = notify

    def _peers_of(self, number: int) -> Sequence[fleet_state.FleetState]:
        reached = self._fleet_states[self._pattern.cut_off_gateways :]
        own = self._fleet_states[number]
        if number < self._pattern.cut_off_gateways:
            return []
        return [fleet for fleet in reached if fleet is not own]

    async def _send_reports(self, number: int) -> None:
        await self._clock.sleep(self._generator.uniform(0, peers.REPORT_INTERVAL_MS))
        fleet = self._fleet_states[number]
        while True:
            packed_demand = self._dispatchers[number].packed_demand
            for other in self._peers_of(number):
                self._datagram_count += 1
                self._call_later(
                    self._pattern.message_ms,
                    self._apply_report,
                    other,
                    fleet,
                    fleet.loads.own_load_by_server(),
                    fleet.failed_requests.to_publish(self._clock.now_ms()),
                    packed_demand,
                )
            interval_ms = peers.report_interval_ms(self._pattern.gateways - 1)
            await self._clock.sleep(interval_ms)

    def _apply_report(
        self,
        receiver: fleet_state.FleetState,
        sender: fleet_state.FleetState,
        own_load_by_server: dict[servers.ServerId, loads.Load],
        rejected: tuple[failed_request_records.FailedRequest, ...],
        packed_demand: bytes,
    ) -> None:
        receiver.shared_demand.apply_report(
            sender.own_settings.vm, packed_demand, self._clock.now_ms()
        )
        receiver.failed_requests.apply_peer_failures(rejected, self._clock.now_ms())
        receiver.loads.apply_peer_report(
            sender.own_settings.vm, own_load_by_server, self._clock.now_ms()
        )

    async def _send_request(self, arrival: Arrival) -> None:
        """Send a caller's request; retry a rejected one once, at the next gateway."""
        outcome = self._outcome_by_kind[arrival.kind.name]
        outcome.requests += 1
        self._max_value += arrival.kind.on_time_value
        first_attempt_ms = self._clock.now_ms()
        if self._pattern.policy is not Policy.GATEWAYS:
            await self._run_on_engine(self._choose_engine(), arrival, first_attempt_ms)
            return
        for attempt in range(2):
            number = (arrival.gateway + attempt) % len(self._dispatchers)
            rejection = await self._try_gateway(
                arrival, number, attempt, first_attempt_ms
            )
            if rejection is None:
                return
            outcome.rejected_with_room += self._has_room()
            if not attempt:
                outcome.rejected_once += 1
                remaining_ms = (
                    first_attempt_ms + arrival.kind.deadline_ms - self._clock.now_ms()
                )
                wait_ms = rejection.retry_after_ms
                if wait_ms is None or (
                    self._pattern.limits_retry_time
                    and wait_ms > remaining_ms * MAX_RETRY_WAIT_FRACTION
                ):
                    outcome.rejected += 1
                    return
                await self._clock.sleep(wait_ms)
        outcome.rejected += 1
        outcome.rejected_twice += 1

    def _has_room(self) -> bool:
        """Return whether half of all slots are free and nothing waits."""
        running = sum(self._requests_by_server.values())
        waiting = sum(each.waiting_requests for each in self._dispatchers)
        slots = self._pattern.engines * self._pattern.slots
        return 2 * running < slots and not waiting

    async def _try_gateway(
        self, arrival: Arrival, number: int, attempt: int, first_attempt_ms: int
    ) -> placements.Rejection | None:
        """Send a request to one gateway; return its rejection, or None if it ran."""
        fleet = self._fleet_states[number]
        kind = arrival.kind
        request_id = ids.RequestId(f"{arrival.at_ms}-{attempt}")
        key = failed_request_records.RequestKey(hash(arrival.at_ms))
        now_ms = self._clock.now_ms()
        queued = request_queue.QueuedRequest(
            request_id,
            kind.urgency,
            now_ms,
            first_attempt_ms + kind.deadline_ms,
            kind.target_ms,
            self._dispatchers[number].idle_answer_ms(self._service, arrival.prompt),
            earlier_first_attempt_ms=fleet.failed_requests.first_attempt_ms(
                key, now_ms
            ),
        )
        placement_request = placements.PlacementRequest(
            queued,
            self._service,
            self._account_by_name.get(arrival.account),
            arrival.prompt,
            kind.name,
        )
        placement = await self._dispatchers[number].place(placement_request)
        if isinstance(placement, placements.Rejection):
            fleet.failed_requests.record_failure(
                key, first_attempt_ms, self._clock.now_ms()
            )
            return placement
        server_id = placement.server.server_id
        sent_ms = self._clock.now_ms()

        def record_first_event() -> None:
            fleet.loads.record_prefill_end(server_id, request_id)
            took_ms = self._clock.now_ms() - sent_ms + simulated_engine.FIRST_EVENT_MS
            self._predictions.append(
                Prediction(sent_ms, placement.expected_first_event_ms, took_ms)
            )
            if not self._pattern.learns_slowness:
                fleet.service_times.observe(SERVICE, placement.work, took_ms)
                return
            fleet.record_answer_time(placement, int(took_ms))

        await self._run_on_engine(
            server_id, arrival, first_attempt_ms, record_first_event
        )
        fleet.loads.record_end(server_id, request_id)
        self._dispatchers[number].start_queued(SERVICE)
        return None

    async def _run_on_engine(
        self,
        server_id: servers.ServerId,
        arrival: Arrival,
        first_attempt_ms: int,
        on_first_event: Callable[[], None] = lambda: None,
    ) -> None:
        """Run a request on an engine until its answer is complete."""
        run = simulated_engine.SimulatedRequest(arrival.prompt, arrival.answer_tokens)
        self._engine_by_server[server_id].submit(run)
        self._requests_by_server[server_id] += 1
        self._add_pending_tokens(server_id, arrival.prompt.input_tokens)
        await run.first_token_generated.wait()
        self._add_pending_tokens(server_id, -arrival.prompt.input_tokens)
        on_first_event()
        self._record_first_event(arrival, first_attempt_ms)
        await run.finished.wait()
        self._requests_by_server[server_id] -= 1

    def _choose_engine(self) -> servers.ServerId:
        """Return the engine that the pattern's simple policy chooses."""
        if self._pattern.policy is Policy.RANDOM:
            return self._generator.choice(tuple(self._engine_by_server))
        return min(
            self._engine_by_server, key=lambda each: self._requests_by_server[each]
        )

    def _add_pending_tokens(self, server_id: servers.ServerId, tokens: int) -> None:
        pending = self._pending_tokens_by_server.get(server_id, 0) + tokens
        self._pending_tokens_by_server[server_id] = pending
        self._max_pending_tokens = max(self._max_pending_tokens, pending)

    def _record_first_event(self, arrival: Arrival, first_attempt_ms: int) -> None:
        kind = arrival.kind
        outcome = self._outcome_by_kind[kind.name]
        took_ms = (
            self._clock.now_ms() - first_attempt_ms + simulated_engine.FIRST_EVENT_MS
        )
        is_on_time = took_ms <= kind.target_ms
        self._answered.append(
            AnsweredRequest(
                first_attempt_ms,
                kind.name,
                is_on_time,
                arrival.prompt.input_tokens,
                took_ms,
                arrival.account,
            )
        )
        if is_on_time:
            outcome.on_time += 1
            self._value += kind.on_time_value
        else:
            outcome.late += 1
            self._value += kind.late_value


class _PendingWork:
    """The evenness of the engines' pending work, by tenth of a second."""

    def __init__(self) -> None:
        self.unevenness_by_tenth: list[float] = []
        self.largest_ms_by_tenth: list[float] = []
        self._tenth = 0
        self._sums_ms: list[float] = []
        self._sample_count = 0

    def record(self, now_ms: int, work_ms_by_engine: Sequence[float]) -> None:
        """Record a sample; the one that begins a tenth ends the one before."""
        if now_ms // TENTH_MS != self._tenth:
            self._end_tenth()
            self._tenth = now_ms // TENTH_MS
        sums_ms = self._sums_ms or [0.0] * len(work_ms_by_engine)
        self._sums_ms = [
            before + work
            for before, work in zip(sums_ms, work_ms_by_engine, strict=True)
        ]
        self._sample_count += 1

    def _end_tenth(self) -> None:
        total_ms = sum(self._sums_ms)
        if total_ms:
            largest_ms = max(self._sums_ms)
            self.unevenness_by_tenth.append(largest_ms * len(self._sums_ms) / total_ms)
            self.largest_ms_by_tenth.append(largest_ms / self._sample_count)
        self._sums_ms = []
        self._sample_count = 0


@contextlib.contextmanager
def without_logs() -> Iterator[None]:
    """Drop the log lines of the decisions that are made in this context."""
    configured = structlog.get_config()
    structlog.configure(processors=[_drop_log_event])
    try:
        yield
    finally:
        structlog.configure(**configured)


def replay(pattern: Pattern) -> Result:
    """Replay a pattern; the log lines of its thousands of decisions are dropped."""
    with without_logs():
        return virtual_time.run(Replay(pattern).run())
