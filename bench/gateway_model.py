"""Replays load patterns through the gateways' own decisions, in virtual time.

Several dispatchers place seeded arrivals on model engines.  They know each other's
load by messages that take time, as in a fleet; everything else is the product's code.
"""

import asyncio
import collections
import dataclasses
import enum
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import structlog

from bench import model_engine, virtual_time
from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    cache_directory,
    deployment,
    dispatcher,
    environment,
    first_attempts,
    knowledge,
    loads,
    peers,
    prompts,
    servers,
    waiting,
)
from tests import builders_gateway as builders

MESSAGE_MS: Final = 1.0
"""Way of a datagram, and the wait of its receiver for the processor."""

CACHE_EVENT_MS: Final = 300.0
"""Way of a cache event: the engine's lag and half of the pause between calls."""

MODEL: Final = builders.MODEL
SERVICE: Final = builders.LLM
SALT: Final = cache_directory.make_salt(MODEL, 1, None)
END_MARGIN_MS: Final = 20_000
"""Time after the last arrival in which everything has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of requests.

    Attributes
    ----------
    per_second : float
        Mean arrivals at the whole fleet.
    guides, guide_tokens : int
        Long texts, one of which each prompt begins with, and their size.
    subjects, subject_tokens : int
        Texts that follow the guide.
    own_tokens, answer_tokens : int
        Mean sizes of the rest of the prompt and of the answer.
    worth, late_worth : float
        Value of an answer on time and of a late one.
    own_spread : float
        Standard deviation of the logarithm of the rest of the prompt.
    """

    name: str
    per_second: float
    guides: int
    guide_tokens: int
    subjects: int
    subject_tokens: int
    own_tokens: int
    answer_tokens: int
    target_ms: int
    deadline_ms: int
    urgency: int
    worth: float
    late_worth: float
    own_spread: float = 0.6


VERDICTS: Final = Kind(
    "verdict", 32.0, 4, 2_520, 700, 5_000, 1_670, 52, 500, 5_000, 1, 3.2, 0.64
)
NOTES: Final = Kind(
    "note", 50.0, 8, 119, 1_095, 531, 177, 290, 300, 15_000, 0, 2.2, 0.44
)
"""Long and short prompts of the firmware readers' site, by its sheet."""


class Policy(enum.Enum):
    """Who chooses the engine of a request."""

    GATEWAYS = "gateways"
    """The gateways' dispatchers."""

    RANDOM = "random engine"
    """Any engine, which queues whatever comes."""

    LEAST_REQUESTS = "fewest requests"
    """The engine with the fewest requests, known at once, which queues the rest."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load pattern and the fleet that it meets.

    Attributes
    ----------
    tells_at_once : bool
        Whether gateways tell each other of large changes of load at once.
    burst_from_ms, burst_until_ms : int
        Time in which arrivals are multiplied.
    slowness : float
        Time that all engines take, relative to their data sheet.
    slow_from_ms : int
        Time from which all engines take `slow_factor` times as long; 0 for never.
    grey_slowness : float
        Time that one of the engines takes, relative to the others.
    piece_tokens : int
        Prompt tokens that an engine reads in one step.
    """

    seed: int
    duration_ms: int = 8_000
    gateways: int = 10
    engines: int = 4
    slots: int = 128
    memory_tokens: int = 64_414
    kinds: tuple[Kind, ...] = (VERDICTS, NOTES)
    tells_at_once: bool = True
    burst_from_ms: int = 0
    burst_until_ms: int = 0
    burst_factor: float = 1.0
    slowness: float = 1.0
    slow_from_ms: int = 0
    slow_factor: float = 1.0
    grey_slowness: float = 1.0
    piece_tokens: int = model_engine.PIECE_TOKENS
    policy: Policy = Policy.GATEWAYS


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller."""

    at_ms: float
    kind: Kind
    prompt: prompts.Prompt
    answer_tokens: int
    gateway: int


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of the requests of a kind.

    Attributes
    ----------
    returned_in_vain : int
        Requests that came back after a refusal and were refused again.
    """

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    returned_in_vain: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A request that was answered, by the time of its first attempt."""

    asked_ms: int
    kind: str
    is_on_time: bool
    input_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """The time to a first event, as a gateway estimated it and as it was."""

    at_ms: int
    expected_ms: float
    observed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a replay.

    Attributes
    ----------
    most_unread_tokens : int
        Largest sum of prompts that one engine had to read at a time.
    """

    outcome_by_kind: dict[str, Outcome]
    answered: tuple[Answered, ...]
    predictions: tuple[Prediction, ...]
    value: float
    owed: float
    preempted: int
    read_tokens: int
    most_unread_tokens: int

    @property
    def share(self) -> float:
        """Value of the answers as a part of what was owed."""
        return self.value / self.owed


def make_arrivals(pattern: Pattern) -> tuple[Arrival, ...]:
    """Return the seeded arrivals of a pattern, in order."""
    generator = random.Random(pattern.seed)
    arrivals = [
        arrival
        for kind in pattern.kinds
        for arrival in _arrivals_of(kind, pattern, generator)
    ]
    return tuple(sorted(arrivals, key=lambda each: each.at_ms))


def _arrivals_of(
    kind: Kind, pattern: Pattern, generator: random.Random
) -> Iterable[Arrival]:
    at_ms = 0.0
    while True:
        is_burst = pattern.burst_from_ms <= at_ms < pattern.burst_until_ms
        rate = kind.per_second * (pattern.burst_factor if is_burst else 1.0)
        at_ms += generator.expovariate(rate) * clocks.MS_PER_SECOND
        if at_ms >= pattern.duration_ms:
            return
        # Popularity falls with the square root of the rank.
        subject = int(kind.subjects * generator.random() ** 2)
        guide = subject % kind.guides
        own = max(
            1, int(generator.lognormvariate(-0.2, kind.own_spread) * kind.own_tokens)
        )
        answer = max(1, int(generator.lognormvariate(-0.2, 0.6) * kind.answer_tokens))
        parts = (
            prompts.PromptPart(
                prompts.PartId(f"{kind.name}-g{guide}"), kind.guide_tokens
            ),
            prompts.PromptPart(
                prompts.PartId(f"{kind.name}-s{subject}"), kind.subject_tokens
            ),
            prompts.PromptPart(prompts.PartId(f"{kind.name}-{at_ms}"), own),
        )
        prompt = prompts.Prompt(
            model=MODEL,
            input_tokens=sum(part.tokens for part in parts),
            max_output_tokens=4 * kind.answer_tokens,
            parts=parts,
            expected_output_tokens=max(1, int(answer * generator.uniform(0.6, 1.6))),
        )
        yield Arrival(at_ms, kind, prompt, answer, generator.randrange(100_000))


def make_environment(number: int) -> environment.Environment:
    """Return the settings of a gateway."""
    return dataclasses.replace(
        builders.make_environment(), vm=ids.VmName(f"gateway-{number}")
    )


def _drop(
    _logger: object, _name: str, _event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    raise structlog.DropEvent


class Replay:
    """One replay of a pattern."""

    def __init__(self, pattern: Pattern) -> None:
        self._pattern = pattern
        self._clock = virtual_time.LoopClock()
        self._generator = random.Random(pattern.seed + 1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._unread_by_server: dict[servers.ServerId, int] = {}
        self._requests_by_server: collections.Counter[servers.ServerId] = (
            collections.Counter()
        )
        self._most_unread_tokens = 0
        facts = deployment.EngineFacts(
            pattern.slots, pattern.memory_tokens, 96_256, 1_100_000.0, 12, (MODEL,)
        )
        self._service = deployment.Service(SERVICE, 1_000, facts)
        self._knowledge = [
            knowledge.Knowledge(make_environment(number), self._clock)
            for number in range(pattern.gateways)
        ]
        self._dispatchers = [
            dispatcher.Dispatcher(known, random.Random(pattern.seed + number))
            for number, known in enumerate(self._knowledge)
        ]
        self._engine_by_server: dict[servers.ServerId, model_engine.ModelEngine] = {}
        self._outcome_by_kind = {kind.name: Outcome() for kind in pattern.kinds}
        self._answered: list[Answered] = []
        self._predictions: list[Prediction] = []
        self._value = 0.0
        self._owed = 0.0

    async def run(self) -> Result:
        """Play all arrivals."""
        self._start_engines()
        for number in range(len(self._knowledge)):
            self._connect(number)
            self._start(self._report(number))
            self._start(self._dispatchers[number].run())
        for arrival in make_arrivals(self._pattern):
            now_ms = asyncio.get_running_loop().time() * clocks.MS_PER_SECOND
            await self._clock.sleep(max(0.0, arrival.at_ms - now_ms))
            self._start(self._call(arrival))
        await self._clock.sleep(END_MARGIN_MS)
        return Result(
            self._outcome_by_kind,
            tuple(self._answered),
            tuple(self._predictions),
            self._value,
            self._owed,
            sum(each.preempted for each in self._engine_by_server.values()),
            sum(each.read_tokens for each in self._engine_by_server.values()),
            self._most_unread_tokens,
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
            holder = cache_directory.HolderName(server_id)
            for known in self._knowledge:
                known.registry.update(entry)
                known.directory.restart(holder, 1, 0)
            engine = model_engine.ModelEngine(
                self._pattern.slots,
                self._pattern.memory_tokens,
                self._part_teller(holder),
                self._clock,
            )
            engine.slowness = self._pattern.slowness
            engine.piece_tokens = self._pattern.piece_tokens
            if number == 0:
                engine.slowness *= self._pattern.grey_slowness
            self._engine_by_server[server_id] = engine
            self._start(engine.work())
        if self._pattern.slow_from_ms:
            self._later(self._pattern.slow_from_ms, self._slow_down)

    def _slow_down(self) -> None:
        for engine in self._engine_by_server.values():
            engine.slowness *= self._pattern.slow_factor

    def _part_teller(
        self, holder: cache_directory.HolderName
    ) -> model_engine.PartsUser:
        def tell(part: prompts.PromptPart, is_held: bool) -> None:
            change = cache_directory.CacheChange(
                cache_directory.PartKey(SALT, part.part_id),
                part.tokens if is_held else 0,
            )
            for known in self._knowledge:
                self._later(CACHE_EVENT_MS, known.directory.apply, holder, [change])

        return tell

    def _later(self, delay_ms: float, call: object, *arguments: object) -> None:
        asyncio.get_running_loop().call_later(
            delay_ms / clocks.MS_PER_SECOND,
            call,  # type: ignore[arg-type]
            *arguments,
        )

    def _connect(self, number: int) -> None:
        if not self._pattern.tells_at_once:
            return
        vm = self._knowledge[number].facts.vm

        def tell(server_id: servers.ServerId, load: loads.Load) -> None:
            for known in self._others(number):
                self._later(MESSAGE_MS, known.loads.peer_changed, vm, server_id, load)

        self._knowledge[number].loads.tell = tell

    def _others(self, number: int) -> Sequence[knowledge.Knowledge]:
        return [*self._knowledge[:number], *self._knowledge[number + 1 :]]

    async def _report(self, number: int) -> None:
        await self._clock.sleep(self._generator.uniform(0, peers.REPORT_INTERVAL_MS))
        known = self._knowledge[number]
        while True:
            for other in self._others(number):
                self._later(
                    MESSAGE_MS,
                    self._take_report,
                    other,
                    known,
                    known.loads.own(),
                    known.first_attempts.to_tell(self._clock.now_ms()),
                )
            interval_ms = peers.report_interval_ms(self._pattern.gateways - 1)
            await self._clock.sleep(interval_ms)

    def _take_report(
        self,
        receiver: knowledge.Knowledge,
        sender: knowledge.Knowledge,
        own: dict[servers.ServerId, loads.Load],
        turned_away: tuple[first_attempts.TurnedAway, ...],
    ) -> None:
        receiver.first_attempts.take(turned_away, self._clock.now_ms())
        receiver.loads.peer_reported(sender.facts.vm, own, self._clock.now_ms())

    async def _call(self, arrival: Arrival) -> None:
        """Send a caller's request, and once more after a refusal."""
        outcome = self._outcome_by_kind[arrival.kind.name]
        outcome.asked += 1
        self._owed += arrival.kind.worth
        began_ms = self._clock.now_ms()
        if self._pattern.policy is not Policy.GATEWAYS:
            await self._run_at(self._choose_simply(), arrival, began_ms)
            return
        for attempt in range(2):
            number = (arrival.gateway + attempt) % len(self._dispatchers)
            refused = await self._attempt(arrival, number, attempt, began_ms)
            if refused is None:
                return
            if not attempt:
                await self._clock.sleep(refused.retry_after_ms)
        outcome.refused += 1
        outcome.returned_in_vain += 1

    async def _attempt(
        self, arrival: Arrival, number: int, attempt: int, began_ms: int
    ) -> dispatcher.Refused | None:
        known = self._knowledge[number]
        kind = arrival.kind
        request_id = ids.RequestId(f"{arrival.at_ms}-{attempt}")
        key = first_attempts.RequestKey(hash(arrival.at_ms))
        now_ms = self._clock.now_ms()
        ticket = waiting.Ticket(
            request_id,
            kind.urgency,
            now_ms,
            began_ms + kind.deadline_ms,
            kind.target_ms,
            self._dispatchers[number].least_run_ms(self._service, arrival.prompt),
            began_ms=known.first_attempts.began_ms(key, now_ms),
        )
        want = dispatcher.Want(ticket, self._service, None, arrival.prompt, kind.name)
        placed = await self._dispatchers[number].place(want)
        if isinstance(placed, dispatcher.Refused):
            known.first_attempts.turned_away(key, began_ms, self._clock.now_ms())
            return placed
        server_id = placed.server.server_id
        sent_ms = self._clock.now_ms()

        def take_first_event() -> None:
            known.loads.prompt_computed(server_id, request_id)
            took_ms = self._clock.now_ms() - sent_ms + model_engine.FIRST_EVENT_MS
            self._predictions.append(Prediction(sent_ms, placed.expected_ms, took_ms))
            known.service_times.observe(SERVICE, placed.work, took_ms)

        await self._run_at(server_id, arrival, began_ms, take_first_event)
        known.loads.ended(server_id, request_id)
        self._dispatchers[number].pump(SERVICE)
        return None

    async def _run_at(
        self,
        server_id: servers.ServerId,
        arrival: Arrival,
        began_ms: int,
        on_first_event: Callable[[], None] = lambda: None,
    ) -> None:
        """Have an engine answer a request."""
        run = model_engine.Run(arrival.prompt, arrival.answer_tokens)
        self._engine_by_server[server_id].submit(run)
        self._requests_by_server[server_id] += 1
        self._add_unread(server_id, arrival.prompt.input_tokens)
        await run.has_begun.wait()
        self._add_unread(server_id, -arrival.prompt.input_tokens)
        on_first_event()
        self._count(arrival, began_ms)
        await run.has_ended.wait()
        self._requests_by_server[server_id] -= 1

    def _choose_simply(self) -> servers.ServerId:
        """Return the engine of a request by one of the simple policies."""
        if self._pattern.policy is Policy.RANDOM:
            return self._generator.choice(tuple(self._engine_by_server))
        return min(
            self._engine_by_server, key=lambda each: self._requests_by_server[each]
        )

    def _add_unread(self, server_id: servers.ServerId, tokens: int) -> None:
        unread = self._unread_by_server.get(server_id, 0) + tokens
        self._unread_by_server[server_id] = unread
        self._most_unread_tokens = max(self._most_unread_tokens, unread)

    def _count(self, arrival: Arrival, began_ms: int) -> None:
        kind = arrival.kind
        outcome = self._outcome_by_kind[kind.name]
        took_ms = self._clock.now_ms() - began_ms + model_engine.FIRST_EVENT_MS
        is_on_time = took_ms <= kind.target_ms
        self._answered.append(
            Answered(began_ms, kind.name, is_on_time, arrival.prompt.input_tokens)
        )
        if is_on_time:
            outcome.on_time += 1
            self._value += kind.worth
        else:
            outcome.late += 1
            self._value += kind.late_worth


def play(pattern: Pattern) -> Result:
    """Replay a pattern, without the log lines of thousands of decisions."""
    configured = structlog.get_config()
    structlog.configure(processors=[_drop])
    try:
        return virtual_time.run(Replay(pattern).run())
    finally:
        structlog.configure(**configured)
