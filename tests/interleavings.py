"""Runs coroutines on a fake table in every order, with every fault up to a budget.

The coroutines under test wait for nothing but the fake table.  One step answers a
coroutine's table call and runs it up to its next one.  A coroutine that gets no step
for a while stands for a process that pauses.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import structlog.testing

from quincecrank import platform_table
from tests import fakes

DELIVERY = "late write"
"""Name of the step that lets the delayed writes take effect."""


class Fault(enum.Enum):
    """Fault of one table call; a read is either answered or refused."""

    NONE = "answered"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    DELAYED = "answer lost, effect delayed"


Chooser = Callable[[int], int]
"""Chooses one of the given number of alternatives; returns its index, from 0."""


class FaultyTable(fakes.FakeTable):
    """A fake table that holds each call until its step and then injects a fault.

    Attributes
    ----------
    log : list of str
        The answered calls with their faults, in order.
    calls_by_process : dict of str to asyncio.Future
        Calls that wait for an answer, at most one a process.
    """

    def __init__(self, choose: Callable[[int], Fault]) -> None:
        super().__init__()
        self.log: list[str] = []
        self.calls_by_process: dict[str, asyncio.Future[None]] = {}
        self._choose = choose

    @property
    def has_delayed(self) -> bool:
        """Return whether a write has not taken effect yet."""
        return bool(self._delayed)

    async def _begin(
        self,
        operation: str,
        table: platform_table.TableName,
        key: platform_table.RowKey,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        call = asyncio.get_running_loop().create_future()
        self.calls_by_process[task.get_name()] = call
        await call
        is_read = operation.startswith("read")
        fault = self._choose(2 if is_read else len(Fault))
        self.log.append(f"{operation}: {fault.value}")
        match fault:
            case Fault.REFUSED:
                raise platform_table.TableUnavailableError("refused")
            case Fault.ANSWER_LOST:
                self.lose_next_answers = 1
            case Fault.DELAYED:
                self.delay_next = 1


Start = Callable[[], Coroutine[Any, Any, None]]
"""Creates the coroutine of one process."""


class Scenario(Protocol):
    """A set of processes and the properties that must hold for them."""

    table: FaultyTable
    processes: dict[str, Start]
    answers: dict[str, str]

    def state(self) -> str:
        """Return the rows of the table and the effects of the processes, as text."""

    def violation(self) -> str:
        """Return a property violated so far, empty if there is none."""

    def final_violation(self) -> str:
        """Return a property violated at the end, empty if there is none."""


MakeScenario = Callable[[Callable[[int], Fault]], Scenario]


class _Choices:
    """Enumerates all sequences of choices, depth first."""

    def __init__(self) -> None:
        self._path: list[tuple[int, int]] = []
        self._position = 0

    def pick(self, count: int) -> int:
        if self._position == len(self._path):
            self._path.append((0, count))
        chosen, known_count = self._path[self._position]
        assert known_count == count, "the scenario is not deterministic"
        self._position += 1
        return chosen

    def advance(self) -> bool:
        """Start the next sequence; return False after the last one."""
        while self._path and self._path[-1][0] + 1 == self._path[-1][1]:
            self._path.pop()
        if not self._path:
            return False
        chosen, count = self._path[-1]
        self._path[-1] = (chosen + 1, count)
        self._position = 0
        return True


@dataclasses.dataclass(frozen=True)
class Exploration:
    """Result of `explore`: number of runs, and the first violation with its steps."""

    runs: int
    violation: str = ""
    steps: tuple[str, ...] = ()


def explore(make: MakeScenario, fault_budget: int) -> Exploration:
    """Run a scenario in every order with up to `fault_budget` faults."""
    with structlog.testing.capture_logs():
        return asyncio.run(_explore(make, fault_budget))


async def _explore(make: MakeScenario, fault_budget: int) -> Exploration:
    choices = _Choices()
    runs = 0
    while True:
        runs += 1
        chooser = _FaultChooser(choices.pick, fault_budget)
        steps, violation = await _run(make(chooser.choose), choices.pick)
        if violation:
            return Exploration(runs, violation, steps)
        if not choices.advance():
            return Exploration(runs)


@dataclasses.dataclass
class _FaultChooser:
    """Chooses the fault of each call, until no fault of the budget is `left`."""

    pick: Chooser
    left: int

    def choose(self, kinds: int) -> Fault:
        if not self.left:
            return Fault.NONE
        fault = tuple(Fault)[self.pick(kinds)]
        self.left -= fault is not Fault.NONE
        return fault


class _Processes:
    """The processes of one run, each a task that starts at its first step."""

    def __init__(self, scenario: Scenario) -> None:
        self.names = list(scenario.processes)
        self._table = scenario.table
        self._start_by_name = scenario.processes
        self._task_by_name: dict[str, asyncio.Task[None]] = {}

    async def step(self, name: str) -> str:
        """Run one process up to its next table call; return a line about the step."""
        if name == DELIVERY:
            self._table.deliver_delayed()
            return DELIVERY
        calls_before = len(self._table.log)
        if name in self._task_by_name:
            self._table.calls_by_process.pop(name).set_result(None)
        else:
            coroutine = self._start_by_name[name]()
            self._task_by_name[name] = asyncio.create_task(coroutine, name=name)
        task = self._task_by_name[name]
        while not task.done() and name not in self._table.calls_by_process:
            await asyncio.sleep(0)
        if task.done():
            self.names.remove(name)
            task.result()
        done = self._table.log[calls_before:]
        return f"{name}: {', '.join(done) or 'starts'}"

    async def stop(self) -> None:
        """Cancel the processes that have not ended."""
        for task in self._task_by_name.values():
            task.cancel()
        await asyncio.gather(*self._task_by_name.values(), return_exceptions=True)


async def _run(scenario: Scenario, pick: Chooser) -> tuple[tuple[str, ...], str]:
    processes = _Processes(scenario)
    steps: list[str] = []
    violation = ""
    while processes.names and not violation:
        late = [DELIVERY] if scenario.table.has_delayed else []
        names = [*processes.names, *late]
        name = names[pick(len(names)) if len(names) > 1 else 0]
        steps.append(await processes.step(name))
        violation = scenario.violation()
    await processes.stop()
    return tuple(steps), violation or _final_violation(scenario)


def _final_violation(scenario: Scenario) -> str:
    scenario.table.deliver_delayed()
    return scenario.violation() or scenario.final_violation()


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a trace: the process that runs, and the fault of its table call."""

    process: str
    fault: Fault = Fault.NONE


async def replay(make: MakeScenario, trace: tuple[Step, ...]) -> tuple[Scenario, str]:
    """Run a scenario along a trace, then the remaining processes without faults.

    Returns
    -------
    tuple
        The scenario at its end, and one line for each step.
    """
    fault = Fault.NONE
    scenario = make(lambda kinds: fault)
    processes = _Processes(scenario)
    lines: list[str] = []
    for step in trace:
        fault = step.fault
        lines.append(await processes.step(step.process))
    fault = Fault.NONE
    while processes.names:
        lines.append(await processes.step(processes.names[0]))
    violation = _final_violation(scenario)
    assert not violation, violation
    return scenario, "\n".join(lines)
