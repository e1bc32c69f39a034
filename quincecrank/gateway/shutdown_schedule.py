"""Decides what a gateway does from SIGTERM to its end.

Invariant
    Until the process ends, whatever has arrived is answered: served, or rejected as not
    run.  A request is sent to a backend server only if its answer is expected to end
    within the grace time; from `MIN_SERVE_MS` after the signal on only if it surely
    does, which for a request that may run once only means by its time limit.  No
    connection is closed while bytes of it are unread, unless the grace time is over.

    The time of the signal is known by two bounds, and each decision takes the one that
    is safe for it.  What must be over before SIGKILL counts from the earliest time:
    what may begin, the answers to requests without one, the end of the process.  What
    must go on for some time after the signal counts from the latest time: accepting
    connections, serving what they bring, and answers that have begun, of which none is
    cut before `CUT_FRACTION` of the grace time.  If both can't be kept, answers that
    have begun go on, up to SIGKILL: everything else has been answered by then, and to
    its caller a cut by SIGKILL is like any other cut.

Load pattern: all gateways of a data centre are replaced within seconds, under overload.
The balancer goes on to send callers to gateways that are not ready, callers keep using
open connections, and the event loop runs late, so that it notices both requests and the
signal late.

Terms
-----
signal
    SIGTERM; its time is known by two bounds, see `SignalTime`.
grace time
    Time from the signal to SIGKILL.
lateness
    How late the event loop runs, see `loop_monitor`.
"""

import dataclasses
import enum
from typing import Final

from quincecrank.gateway import answer_times

MIN_SERVE_MS: Final = 2_800
"""Time after the signal in which the balancer may still send callers although there are
other gateways: it takes the VM out of rotation after two failed checks, a second apart.
Unless the grace time is shorter, the process does not end before."""

EARLY_FACTOR: Final = 1.5
LATE_FACTOR: Final = 2.0
"""Ratio of the time that an answer is allowed to the longest observed one, within
`MIN_SERVE_MS` and after it."""

SILENCE_MS: Final = 1_500
"""Time for which a sound backend server may make no progress."""

MAX_LATE_MS: Final = 2_500
"""Longest time that an answer may need whose request is sent after `MIN_SERVE_MS`:
requests that last longer would delay the next process that serves at this address."""

BEGIN_FRACTION: Final = 0.85
"""Fraction of the grace time within which an answer must be expected to end for its
request to be sent to a backend server."""

ANSWER_FRACTION: Final = 0.9
"""Fraction of the grace time after which requests without an answer are ended."""

BEGUN_ANSWER_FRACTION: Final = 0.93
"""Fraction of the grace time after which answers that have begun are cut."""

CUT_FRACTION: Final = 0.84
"""Fraction of the grace time before which no answer that has begun is cut, counted from
the latest time of the signal.  Callers accept a cut in the last sixth."""

FLUSH_FRACTION: Final = 0.02
"""Fraction of the grace time that is left for bytes to be sent after a cut."""

END_FRACTION: Final = 0.96
"""Fraction of the grace time after which the process ends, unless answers that have
begun go on longer."""

MAX_LATENESS_FRACTION: Final = 0.25
"""Bound of the lateness that is allowed for, as a fraction of the grace time."""


@dataclasses.dataclass(frozen=True, slots=True)
class SignalTime:
    """Bounds of the time at which a signal was sent.

    Attributes
    ----------
    earliest_ms : int
        Time at which the process is known to have run without the signal.
    latest_ms : int
        Time at which the process noticed it.
    """

    earliest_ms: int
    latest_ms: int


class Stage(enum.Enum):
    """What a gateway that shuts down does.

    Attributes
    ----------
    SERVING
        It accepts connections and serves what can end in time.
    CLOSING
        It accepts no more connections, answers what has arrived and closes the
        connections on which nothing has.
    ENDED
        The process ends.
    """

    SERVING = "serving"
    CLOSING = "closing"
    ENDED = "ended"


class ShutdownSchedule:
    """Schedule of one shutdown; performs no I/O.

    Parameters
    ----------
    signal : SignalTime
        Time of the signal.
    grace_ms : int
        Grace time.

    Attributes
    ----------
    signal : SignalTime
        Time of the signal.
    lateness_ms : int
        Lateness of the event loop.
    """

    def __init__(self, signal: SignalTime, grace_ms: int) -> None:
        self.signal = signal
        self._grace_ms = grace_ms
        self._is_closing = False
        self.lateness_ms = 0

    @property
    def answer_limit_ms(self) -> int:
        """Time at which requests without a begun answer are ended."""
        return self.signal.earliest_ms + int(self._grace_ms * ANSWER_FRACTION)

    @property
    def cut_limit_ms(self) -> int:
        """Time at which answers that have begun are cut."""
        return max(
            self.signal.earliest_ms + int(self._grace_ms * BEGUN_ANSWER_FRACTION),
            self.signal.latest_ms + int(self._grace_ms * CUT_FRACTION),
        )

    @property
    def end_limit_ms(self) -> int:
        """Time at which the process ends in any case."""
        return max(
            self.signal.earliest_ms + int(self._grace_ms * END_FRACTION),
            self.cut_limit_ms + int(self._grace_ms * FLUSH_FRACTION),
        )

    def may_begin(
        self,
        now_ms: int,
        remaining_ms: int,
        answer_time: answer_times.AnswerTime | None,
        *,
        may_repeat: bool,
    ) -> bool:
        """Return whether a request may be sent to a backend server.

        Parameters
        ----------
        remaining_ms : int
            Time until the request's time limit, at which it is answered in any case.
        answer_time : AnswerTime or None
            Observed time of the route's answers; None if there is none.
        may_repeat : bool
            Whether the request may run more than once, so that another gateway can
            serve it if its answer does not end in time.
        """
        if remaining_ms <= 0:
            return False
        begin_limit_ms = self.signal.earliest_ms + int(self._grace_ms * BEGIN_FRACTION)
        left_ms = begin_limit_ms - self._allowance_ms - now_ms
        if not self._surely_gets_callers(now_ms):
            left_ms = min(left_ms, MAX_LATE_MS)
        needed_ms = self._needed_ms(now_ms, answer_time, may_repeat=may_repeat)
        if needed_ms is None:
            needed_ms = remaining_ms
        return min(remaining_ms, needed_ms) <= left_ms

    def _needed_ms(
        self,
        now_ms: int,
        answer_time: answer_times.AnswerTime | None,
        *,
        may_repeat: bool,
    ) -> float | None:
        """Return the time in which an answer must end; None for its time limit.

        While the balancer sends callers here, rejecting what most likely ends would
        cost more than the few answers that do not.
        """
        if self._surely_gets_callers(now_ms):
            if answer_time is None:
                return 0 if may_repeat else None
            if may_repeat:
                return answer_time.typical_ms
            return answer_time.longest_ms * EARLY_FACTOR
        if answer_time is None or not may_repeat:
            return None
        return answer_time.longest_ms * LATE_FACTOR + SILENCE_MS

    def may_resume(
        self, now_ms: int, remaining_ms: int, needed_ms: float | None
    ) -> bool:
        """Return whether a begun stream may go on at another backend server.

        Parameters
        ----------
        remaining_ms : int
            Time until the request's time limit.
        needed_ms : float or None
            Expected time of what is left of the stream; None if it is not known.
        """
        left_ms = self.cut_limit_ms - now_ms
        if remaining_ms <= 0 or left_ms <= 0:
            return False
        return needed_ms is None or min(needed_ms, remaining_ms) <= left_ms

    def next_stage(self, now_ms: int, oldest_arrival_ms: int | None) -> Stage:
        """Return the present stage; it never goes back.

        Parameters
        ----------
        oldest_arrival_ms : int or None
            Time at which the oldest request arrived of those that are being read or
            answered; None if there are none.
        """
        if now_ms >= self.end_limit_ms:
            return Stage.ENDED
        # Requests that arrived later are short and end while it closes.
        has_early_request = oldest_arrival_ms is not None and self._may_get_callers(
            oldest_arrival_ms
        )
        is_due = now_ms >= self.answer_limit_ms - self._allowance_ms
        if not self._may_get_callers(now_ms) and (is_due or not has_early_request):
            self._is_closing = True
        return Stage.CLOSING if self._is_closing else Stage.SERVING

    def _surely_gets_callers(self, at_ms: int) -> bool:
        """Return whether the balancer surely sends callers here at a time."""
        return at_ms - self.signal.earliest_ms < MIN_SERVE_MS

    def _may_get_callers(self, at_ms: int) -> bool:
        """Return whether the balancer may still send callers here at a time."""
        return at_ms - self.signal.latest_ms < MIN_SERVE_MS

    @property
    def _allowance_ms(self) -> int:
        """Lateness that is allowed for."""
        return min(self.lateness_ms, int(self._grace_ms * MAX_LATENESS_FRACTION))
