"""The platform store's clock, as far as its answers show it.

Each answer of the store names the time on the store's steady clock.  A time on that
clock means the same to all gateways, and to those that start later.

Terms
-----
store time
    Milliseconds on the store's clock.
sample
    Time of one answer, between the sending of the call and the receipt of the answer.
"""

import dataclasses
from typing import Final

MAX_SAMPLE_AGE_MS: Final = 60_000
"""Age at which a sample is replaced by a wider one: the clocks' speeds may differ."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Store time of an answer, and the own times of its call.

    Attributes
    ----------
    sent_ms, received_ms : int
        Own times at which the call was sent and the answer received.
    """

    store_now_ms: int
    sent_ms: int
    received_ms: int

    @property
    def width_ms(self) -> int:
        """Uncertainty of the difference between both clocks."""
        return self.received_ms - self.sent_ms


class StoreClock:
    """Converts times between this gateway's clock and the store's.

    The narrowest recent sample counts: calls that wait in the store for a change give
    wide ones.
    """

    def __init__(self) -> None:
        self._sample: Sample | None = None

    @property
    def is_known(self) -> bool:
        """Whether an answer has named the time."""
        return self._sample is not None

    def handle_new_era(self, _era: int) -> None:
        """Forget the sample: a restored store may have another clock."""
        self._sample = None

    def observe(self, sample: Sample) -> None:
        """Record the time of an answer."""
        held = self._sample
        if (
            held is None
            or sample.width_ms <= held.width_ms
            or sample.received_ms - held.received_ms > MAX_SAMPLE_AGE_MS
        ):
            self._sample = sample

    def earliest_store_ms(self, own_ms: int) -> int | None:
        """Return the earliest store time that an own time can be.

        None without a sample, or if it precedes the start of the store's clock.
        """
        if self._sample is None:
            return None
        store_ms = own_ms + self._sample.store_now_ms - self._sample.received_ms
        return store_ms if store_ms >= 0 else None

    def latest_store_ms(self, own_ms: int) -> int | None:
        """Return the latest store time that an own time can be.

        None without a sample, or if it precedes the start of the store's clock.
        """
        if self._sample is None:
            return None
        store_ms = own_ms + self._sample.store_now_ms - self._sample.sent_ms
        return store_ms if store_ms >= 0 else None

    def shortest_age_ms(self, store_ms: int, now_ms: int) -> int | None:
        """Return the shortest time that can have passed since a store time.

        None without a sample; negative if the store time may not have come yet.
        """
        earliest_ms = self.earliest_store_ms(now_ms)
        return None if earliest_ms is None else earliest_ms - store_ms

    def longest_age_ms(self, store_ms: int, now_ms: int) -> int | None:
        """Return the longest time that can have passed since a store time.

        None without a sample, or if the store time has not come yet.
        """
        if self._sample is None:
            return None
        age_ms = now_ms + self._sample.store_now_ms - self._sample.sent_ms - store_ms
        return age_ms if age_ms >= 0 else None
