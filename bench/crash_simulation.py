"""Simulates gateways that find what crashes backend servers, in virtual time.

Each gateway decides by the product's own `CrashSuspicions`.  Callers, servers and the
reports between gateways are simulated: reports take time, some are lost, and gateways
freeze and start late.  Arrivals and random choices are seeded.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

from quincecrank import crash_counts, ids
from quincecrank.gateway import crash_findings, crash_suspicions, servers
from tests import builders_gateway as builders

CONTACT_MS: Final = 3_000
RESTART_MS: Final = 3_000
REPORT_MS: Final = 150
CHECK_MS: Final = 5
"""Time after which a gateway knows that a server which closed a connection has ended.
"""

SUSPECT_WAIT_MS: Final = 50
HERD_INTERVAL_MS: Final = 4_000
CALLER_RETRY_MS: Final = 300
MAX_ATTEMPTS: Final = 2
MIN_BEGIN_MS: Final = 60
MAX_BEGIN_MS: Final = 400
MAX_RUN_MS: Final = 2_000

SuspicionsMaker = Callable[
    [Callable[[crash_suspicions.Suspicion], bool]], crash_suspicions.CrashSuspicions
]

SendRule = Callable[
    [
        crash_suspicions.CrashSuspicions,
        crash_suspicions.Subject,
        set[crash_findings.SuspectKey],
    ],
    bool,
]


def _may_always_send(
    _suspicions: crash_suspicions.CrashSuspicions,
    _subject: crash_suspicions.Subject,
    _running: set[crash_findings.SuspectKey],
) -> bool:
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """Load and faults of one run.

    Attributes
    ----------
    per_second : float
        Requests a second at the whole fleet.
    share : float
        Share of requests whose prompt has a part that crashes servers.
    crash_parts : tuple of tuple of str
        Shared parts of these prompts; the part whose name starts with `bad` crashes.
    crashes_per_s : float
        Servers that end for another reason, each second.
    herd : int
        Servers that end at the same moment, every four seconds, for another reason.
    documents : int
        Second parts of sound prompts; the first is asked for most.
    accounts : int
        Client accounts, of which every request draws one.
    loss : float
        Probability that a report is lost.
    frozen : int or None
        Gateway that is suspended from the second to the sixth second.
    late : int or None
        Gateway that starts after eight seconds.
    may_send : callable
        Returns whether a gateway may send a request beside those that it has running.
    repeats : bool
        Whether a gateway sends a request with a broken answer once more.
    """

    seed: int
    gateways: int = 10
    servers: int = 9
    per_second: float = 60.0
    share: float = 0.05
    crash_parts: tuple[tuple[str, ...], ...] = (("system", "document-7", "bad"),)
    crashes_per_s: float = 0.0
    herd: int = 0
    documents: int = 200
    accounts: int = 6
    duration_ms: int = 12_000
    poison_from_ms: int = 3_000
    loss: float = 0.03
    frozen: int | None = None
    late: int | None = None
    repeats: bool = True
    may_send: SendRule = _may_always_send
    make: SuspicionsMaker = crash_suspicions.CrashSuspicions


@dataclasses.dataclass(slots=True)
class Result:
    """What one run showed.

    Attributes
    ----------
    crash_ms : list of int
        Times at which a part crashed a server.
    bad_sends_ms : list of int
        Times at which requests with such a part were sent, by gateways in touch.
    crash_ms_by_part, bad_sends_ms_by_part : dict of str to list of int
        The same by the part that crashes servers.
    found_ms : list of int
        Times of true findings, at the first gateway.
    wrong_parts, wrong_requests : set of SuspectKey
        Parts and sound requests that were found although they crash nothing.
    sound : int
        Sound requests; `refused` were rejected and `begun` began at the first attempt.
    """

    crash_ms: list[int] = dataclasses.field(default_factory=list)
    bad_sends_ms: list[int] = dataclasses.field(default_factory=list)
    crash_ms_by_part: dict[str, list[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    bad_sends_ms_by_part: dict[str, list[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    found_ms: list[int] = dataclasses.field(default_factory=list)
    wrong_parts: set[crash_findings.SuspectKey] = dataclasses.field(default_factory=set)
    wrong_requests: set[crash_findings.SuspectKey] = dataclasses.field(
        default_factory=set
    )
    sound: int = 0
    refused: int = 0
    begun: int = 0

    @property
    def late_sends(self) -> int:
        """Sends later than `CONTACT_MS` after the fifth crash."""
        if len(self.crash_ms) < 5:
            return 0
        from_ms = self.crash_ms[4] + CONTACT_MS
        return sum(each > from_ms for each in self.bad_sends_ms)


@dataclasses.dataclass(slots=True)
class _Run:
    """One attempt of a request at a server."""

    request: "_Request"
    gateway: int
    sent_ms: int
    begun_ms: int | None = None


@dataclasses.dataclass(slots=True)
class _Request:
    subject: crash_suspicions.Subject
    is_bad: bool
    attempts: int = 0


def _bad_part(request: _Request) -> str:
    """Return the part of a prompt that crashes servers."""
    names = (key.rpartition(" ")[2] for key in request.subject.parts)
    return next(name for name in names if name.startswith("bad"))


class _Server:
    def __init__(self, number: int) -> None:
        self.number = number
        self.starts = 1
        self.is_up = True
        self.runs: dict[int, _Run] = {}

    @property
    def entry(self) -> servers.ServerEntry:
        return builders.make_entry(f"i-{self.number}", started_wall_ms=self.starts)


class Simulation:
    """One run of a pattern."""

    def __init__(self, pattern: Pattern) -> None:
        self._pattern = pattern
        self._generator = random.Random(pattern.seed)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now_ms = 0
        self._servers = [_Server(number) for number in range(pattern.servers)]
        self._ended: set[tuple[str, int]] = set()
        self._gateways = [
            pattern.make(self._has_ended) for _ in range(pattern.gateways)
        ]
        self._waiting: collections.Counter[tuple[int, crash_findings.SuspectKey]] = (
            collections.Counter()
        )
        self.result = Result()

    def run(self) -> Result:
        """Run the pattern to its end."""
        pattern = self._pattern
        self._at(0, self._arrive)
        if pattern.crashes_per_s:
            self._at(0, self._end_any_server)
        if pattern.herd:
            self._at(HERD_INTERVAL_MS, self._end_herd)
        for gateway in range(pattern.gateways):
            self._at(self._generator.randrange(REPORT_MS), self._report_from(gateway))
        while self._events:
            self._now_ms, _, action = heapq.heappop(self._events)
            if self._now_ms > pattern.duration_ms:
                break
            action()
        return self.result

    def _at(self, delay_ms: float, action: Callable[[], None]) -> None:
        at_ms = self._now_ms + round(delay_ms)
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def _has_ended(self, suspicion: crash_suspicions.Suspicion) -> bool:
        return (suspicion.server_id, suspicion.started_wall_ms) in self._ended

    def _is_running(self, gateway: int) -> bool:
        pattern = self._pattern
        if gateway == pattern.late and self._now_ms < 8_000:
            return False
        return not (gateway == pattern.frozen and 2_000 <= self._now_ms < 6_000)

    def _is_in_touch(self, gateway: int) -> bool:
        pattern = self._pattern
        if gateway == pattern.late and self._now_ms < 8_000 + CONTACT_MS:
            return False
        return not (
            gateway == pattern.frozen and 2_000 <= self._now_ms < 6_000 + CONTACT_MS
        )

    def _arrive(self) -> None:
        pattern, generator = self._pattern, self._generator
        self._at(generator.expovariate(pattern.per_second / 1_000), self._arrive)
        is_bad = (
            self._now_ms >= pattern.poison_from_ms
            and generator.random() < pattern.share
        )
        if is_bad:
            parts = generator.choice(pattern.crash_parts)
        else:
            document = int(pattern.documents * generator.random() ** 3)
            parts = ("system", f"document-{document}")
        number = generator.randrange(pattern.accounts)
        account = ids.AccountName(f"account-{number}")
        key = crash_counts.CrashKey(account, str(next(self._numbers)).encode())
        keys = tuple(
            crash_findings.SuspectKey(f"part model-a {part}") for part in parts
        )
        request = _Request(crash_suspicions.Subject(key, keys), is_bad)
        self._call(request)

    def _call(self, request: _Request) -> None:
        gateway = self._generator.randrange(self._pattern.gateways)
        if not self._is_running(gateway):
            self._at(200, lambda: self._call(request))
            return
        self.result.sound += not request.is_bad
        self._send(request, gateway)

    def _send(self, request: _Request, gateway: int) -> None:
        suspicions = self._gateways[gateway]
        if suspicions.finding_against(request.subject) is not None:
            self.result.refused += not request.is_bad
            return
        if not self._pattern.may_send(
            suspicions, request.subject, self._running_keys(gateway)
        ):
            self._at(SUSPECT_WAIT_MS, lambda: self._send(request, gateway))
            return
        up = [each for each in self._servers if each.is_up]
        if not up:
            return
        server = min(up, key=lambda each: (len(each.runs), self._generator.random()))
        request.attempts += 1
        run = _Run(request, gateway, self._now_ms)
        number = next(self._numbers)
        server.runs[number] = run
        if request.is_bad and self._is_in_touch(gateway):
            self.result.bad_sends_ms.append(self._now_ms)
            self.result.bad_sends_ms_by_part[_bad_part(request)].append(self._now_ms)
        delay_ms = self._generator.uniform(MIN_BEGIN_MS, MAX_BEGIN_MS)
        self._at(delay_ms, lambda: self._begin(server, number, run))

    def _running_keys(self, gateway: int) -> set[crash_findings.SuspectKey]:
        return {
            key
            for server in self._servers
            for run in server.runs.values()
            if run.gateway == gateway and run.begun_ms is None
            for key in run.request.subject.parts
        }

    def _begin(self, server: _Server, number: int, run: _Run) -> None:
        if server.runs.get(number) is not run:
            return
        if run.request.is_bad:
            self.result.crash_ms.append(self._now_ms)
            self.result.crash_ms_by_part[_bad_part(run.request)].append(self._now_ms)
            self._end(server)
            return
        run.begun_ms = self._now_ms
        self.result.begun += run.request.attempts == 1
        self._at(
            crash_suspicions.ESTABLISHED_MS,
            lambda: self._gateways[run.gateway].record_answer(
                run.request.subject, self._now_ms
            ),
        )
        run_ms = self._generator.uniform(100, MAX_RUN_MS)
        self._at(run_ms, lambda: self._finish(server, number))

    def _finish(self, server: _Server, number: int) -> None:
        server.runs.pop(number, None)

    def _end_any_server(self) -> None:
        rate = self._pattern.crashes_per_s / 1_000
        self._at(self._generator.expovariate(rate), self._end_any_server)
        up = [each for each in self._servers if each.is_up]
        if up:
            self._end(self._generator.choice(up))

    def _end_herd(self) -> None:
        self._at(HERD_INTERVAL_MS, self._end_herd)
        up = [each for each in self._servers if each.is_up]
        for server in self._generator.sample(up, min(len(up), self._pattern.herd)):
            self._end(server)

    def _end(self, server: _Server) -> None:
        runs, server.runs = server.runs, {}
        server.is_up = False
        entry = server.entry
        self._ended.add((entry.server_id, entry.started_wall_ms))
        for run in runs.values():
            self._at(1, lambda run=run: self._break(entry, run))  # type: ignore[misc]
        self._at(RESTART_MS, lambda: self._restart(server))

    def _restart(self, server: _Server) -> None:
        server.starts += 1
        server.is_up = True

    def _break(self, entry: servers.ServerEntry, run: _Run) -> None:
        if not self._is_running(run.gateway):
            return
        suspicions = self._gateways[run.gateway]
        begun_ms = run.begun_ms
        suspicions.record_broken_answer(
            run.request.subject,
            entry,
            run.sent_ms,
            self._now_ms,
            is_established=begun_ms is not None
            and self._now_ms - begun_ms >= crash_suspicions.ESTABLISHED_MS,
        )
        self._at(CHECK_MS, lambda: self._confirm(run.gateway))
        if (
            self._pattern.repeats
            and run.request.attempts < MAX_ATTEMPTS
            and suspicions.may_repeat(run.request.subject)
        ):
            self._send(run.request, run.gateway)
        elif run.request.attempts < 2 * MAX_ATTEMPTS and not run.request.is_bad:
            self._at(CALLER_RETRY_MS, lambda: self._call(run.request))

    def _confirm(self, gateway: int) -> None:
        if self._gateways[gateway].confirm_crashes(self._now_ms):
            self._publish(gateway)
            self._at(crash_suspicions.DECISION_DELAY_MS, lambda: self._decide(gateway))

    def _report_from(self, gateway: int) -> Callable[[], None]:
        def report() -> None:
            self._at(REPORT_MS, report)
            if self._is_running(gateway):
                self._decide(gateway)
                self._publish(gateway)

        return report

    def _decide(self, gateway: int) -> None:
        for finding in self._gateways[gateway].decide(self._now_ms):
            key = finding.scope.key
            if finding.has_ended:
                self.result.wrong_parts.discard(key)
            elif not crash_findings.is_part(key):
                self.result.wrong_requests.add(key)
            elif key.rpartition(" ")[2].startswith("bad"):
                self.result.found_ms.append(self._now_ms)
            else:
                self.result.wrong_parts.add(key)

    def _publish(self, gateway: int) -> None:
        now_ms = self._now_ms
        suspicions = self._gateways[gateway]
        records = suspicions.to_publish(now_ms)
        answered = suspicions.answers_to_publish(now_ms)
        findings = suspicions.findings.to_publish(now_ms)
        if not records and not answered and not findings:
            return

        def receive(peer: int) -> None:
            if not self._is_running(peer):
                return
            other = self._gateways[peer]
            other.merge(records, self._now_ms)
            other.apply_peer_answers(answered, self._now_ms)
            for finding in findings:
                other.apply_finding(finding, self._now_ms)

        for peer in range(self._pattern.gateways):
            if peer != gateway and self._generator.random() >= self._pattern.loss:
                delay_ms = self._generator.uniform(1, 5)
                self._at(delay_ms, lambda peer=peer: receive(peer))  # type: ignore[misc]


def simulate(pattern: Pattern) -> Result:
    """Run a pattern."""
    return Simulation(pattern).run()
