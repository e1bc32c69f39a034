"""History of the times at which prompts with the same prefix return.

Terms
-----
root
    Key of the first block of a chain; prompts with the same root share a context.
period
    Time after which the load pattern repeats, an hour by default.
phase
    Position within the period, which has `PHASES` steps.
shared blocks
    Leading blocks that the prompts of one root have in common.  Their estimated number
    falls at once when a prompt differs in one of them and rises by at most one with
    each prompt.
"""

import collections
import dataclasses
import math
from collections.abc import Sequence
from typing import Final

from quincecrank import ids

HOUR_MS: Final = 3_600_000
PHASES: Final = 60
MAX_ROOTS: Final = 20_000
"""Maximum number of recorded roots; the least recently requested are removed."""

_SMOOTHING: Final = 0.3
"""Weight of a new observation in an exponential moving average."""

_DECAY: Final = 0.7
"""Factor on the counts of each phase at the end of a period."""

_PRIOR_ROOTS: Final = 3.0
"""Roots counted before any was seen, of which `_PRIOR_RETURNED_ROOTS` returned."""

_PRIOR_RETURNED_ROOTS: Final = 2.0

_OVERDUE_GAPS: Final = 4.0
"""Overdue time, in usual gaps, by which the probability of a return falls to 1/e."""

_PEAK_FACTOR: Final = 2.0
"""Multiple of the mean load at which a phase belongs to a peak."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Expected return of one prefix.

    Attributes
    ----------
    return_probability : float
        Probability that the prefix is requested again.
    expected_gap_ms : float
        Time until the next request, if there is one.
    shared_blocks : int or None
        Number of leading blocks expected in the next prompt; None if unknown.
    """

    return_probability: float
    expected_gap_ms: float
    shared_blocks: int | None = None

    def reuses_per_hour(self) -> float:
        """Return the expected number of reuses of a block in an hour."""
        gap_ms = max(self.expected_gap_ms, 1.0)
        return self.return_probability * HOUR_MS / gap_ms


class _Root:
    """Times of the prompts with one root, and the chain of the last one."""

    __slots__ = ("chain", "count", "gap_ms", "last_ms", "phases", "shared_blocks")

    def __init__(self, chain: tuple[ids.BlockKey, ...], wall_ms: int) -> None:
        self.chain = chain
        self.count = 1
        self.gap_ms = 0.0
        self.last_ms = wall_ms
        self.phases: dict[int, float] = {}
        self.shared_blocks: int | None = None


class ReturnHistory:
    """Tracks when the prompts looked up at one directory agent return.

    Parameters
    ----------
    period_ms : int
        Length of the period of the load.
    """

    def __init__(self, period_ms: int = HOUR_MS) -> None:
        self._period_ms = period_ms
        self._roots_by_key: collections.OrderedDict[ids.BlockKey, _Root] = (
            collections.OrderedDict()
        )
        self._seen_roots = _PRIOR_ROOTS
        self._returned_roots = _PRIOR_RETURNED_ROOTS
        self._gap_ms = float(period_ms)
        self._load_by_phase = [0.0] * PHASES
        self._period_number = 0

    def __len__(self) -> int:
        """Return the number of recorded roots."""
        return len(self._roots_by_key)

    def record_prompt(self, keys: Sequence[ids.BlockKey], wall_ms: int) -> None:
        """Record a request for the prompt with the block keys `keys`."""
        if not keys:
            return
        self._start_period(wall_ms // self._period_ms)
        phase = self._phase(wall_ms)
        self._load_by_phase[phase] += 1
        root = self._roots_by_key.get(keys[0])
        if root is None:
            root = _Root(tuple(keys), wall_ms)
            self._roots_by_key[keys[0]] = root
            self._seen_roots += 1
            self._evict_oldest()
        else:
            self._record_return(root, tuple(keys), wall_ms)
        self._roots_by_key.move_to_end(keys[0])
        root.phases[phase] = root.phases.get(phase, 0.0) + 1

    def forecast(self, key: ids.BlockKey, wall_ms: int) -> Forecast:
        """Return the forecast for the prefix with the root `key`.

        For an unknown root it is the average over all roots.
        """
        prior = min(1.0, self._returned_roots / self._seen_roots)
        root = self._roots_by_key.get(key)
        if root is None:
            return Forecast(prior, self._gap_ms)
        idle_ms = wall_ms - root.last_ms
        if root.count < 2:
            probability = prior * math.exp(-idle_ms / (_OVERDUE_GAPS * self._gap_ms))
            return Forecast(probability, self._gap_ms, None)
        usual_ms = max(root.gap_ms, 1.0)
        probability = root.count / (root.count + 1)
        overdue_ms = max(0.0, idle_ms - max(usual_ms, self._period_ms))
        probability *= math.exp(-overdue_ms / (_OVERDUE_GAPS * usual_ms))
        gap_ms = self._expected_gap(root, wall_ms)
        return Forecast(probability, gap_ms, root.shared_blocks)

    def shared_keys(self, key: ids.BlockKey) -> tuple[ids.BlockKey, ...]:
        """Return the shared blocks of the last prompt of a root, in order.

        All its blocks if the root has not returned yet; () for an unknown root.
        """
        root = self._roots_by_key.get(key)
        if root is None:
            return ()
        return root.chain[: root.shared_blocks]

    def time_to_peak_ms(self, wall_ms: int) -> int | None:
        """Return the time until the next phase of a peak; 0 during one.

        None if no prompt has been recorded or no phase has `_PEAK_FACTOR` times the
        mean load.
        """
        mean = sum(self._load_by_phase) / PHASES
        if not mean or not self._period_number:
            return None
        now = self._phase(wall_ms)
        step_ms = self._period_ms // PHASES
        for ahead in range(PHASES):
            if self._load_by_phase[(now + ahead) % PHASES] >= _PEAK_FACTOR * mean:
                return max(0, ahead * step_ms - wall_ms % step_ms)
        return None

    def due_roots(self, wall_ms: int, horizon_ms: int) -> tuple[ids.BlockKey, ...]:
        """Return the roots expected within `horizon_ms`, the most likely first."""
        step_ms = self._period_ms // PHASES
        first = self._phase(wall_ms)
        window = {
            (first + ahead) % PHASES for ahead in range(-(-horizon_ms // step_ms) + 1)
        }
        weight_by_key = {
            key: sum(root.phases.get(phase, 0.0) for phase in window)
            for key, root in self._roots_by_key.items()
            if root.count > 1
        }
        # The counts decay with each period: 1 is one prompt in the current period.
        likely = [key for key, weight in weight_by_key.items() if weight >= 1]
        return tuple(sorted(likely, key=lambda key: (-weight_by_key[key], key)))

    def _record_return(
        self, root: _Root, chain: tuple[ids.BlockKey, ...], wall_ms: int
    ) -> None:
        if root.count == 1:
            self._returned_roots += 1
        gap_ms = max(0, wall_ms - root.last_ms)
        smoothing = _SMOOTHING if root.gap_ms else 1.0
        root.gap_ms += smoothing * (gap_ms - root.gap_ms)
        # The mean gap of all roots follows more slowly than that of one root.
        self._gap_ms += 0.1 * _SMOOTHING * (gap_ms - self._gap_ms)
        common = _common_length(root.chain, chain)
        shared = root.shared_blocks
        # A prompt shorter than the shared part is no evidence about the rest of it.
        if shared is None or common < min(shared, len(chain)):
            root.shared_blocks = common
        elif common > shared:
            root.shared_blocks = shared + 1
        root.chain = chain
        root.count += 1
        root.last_ms = wall_ms

    def _expected_gap(self, root: _Root, wall_ms: int) -> float:
        idle_ms = wall_ms - root.last_ms
        # At least a tenth of the usual gap, also if the return is overdue.
        by_gap = max(root.gap_ms - idle_ms, 0.1 * root.gap_ms)
        usual = [phase for phase, weight in root.phases.items() if weight >= 1]
        if root.gap_ms < self._period_ms / 2 or not usual:
            return by_gap
        now = self._phase(wall_ms)
        step_ms = self._period_ms / PHASES
        ahead = min((phase - now - 1) % PHASES + 1 for phase in usual)
        return ahead * step_ms

    def _phase(self, wall_ms: int) -> int:
        return wall_ms % self._period_ms * PHASES // self._period_ms

    def _start_period(self, number: int) -> None:
        if number <= self._period_number:
            return
        self._period_number = number
        self._load_by_phase = [load * _DECAY for load in self._load_by_phase]
        for root in self._roots_by_key.values():
            root.phases = {
                phase: weight * _DECAY
                for phase, weight in root.phases.items()
                if weight * _DECAY >= 0.3
            }

    def _evict_oldest(self) -> None:
        while len(self._roots_by_key) > MAX_ROOTS:
            self._roots_by_key.popitem(last=False)


def _common_length(
    first: Sequence[ids.BlockKey], second: Sequence[ids.BlockKey]
) -> int:
    length = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        length += 1
    return length
