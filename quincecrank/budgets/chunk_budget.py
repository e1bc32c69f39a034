"""Decides how much of callers' chunked bodies one step of the event loop decodes.

Invariant
    A step decodes chunks up to a fixed cost, whatever callers send and however many of
    them: the cost of a chunk counts, not only its bytes.  Bodies take turns in the
    order in which they began to wait, so that none is decoded at the expense of others.
    A body within the limits of the configuration is decoded to its end, whatever its
    chunks, unless many others wait as well.

Load pattern: hundreds of callers send bodies in chunks of 16 bytes or one byte, and
most of them stop just before the end.  A chunk costs the event loop about as much as a
kilobyte of a large one, so that a body of .3 MB costs as much as one of 20 MB.

Terms
-----
cost
    One for each chunk, and one for each further `BYTES_PER_COST` bytes.
turn
    What is decoded of one body before the next one that waits.
discarded chunks
    Chunks of a request that has been rejected, which are read only so that its caller
    receives the answer.
"""

import dataclasses
from typing import Final

BYTES_PER_COST: Final = 1_024

STEP_COST: Final = 2_000
"""Cost of a step: some milliseconds, which other requests don't notice."""

TURN_COST: Final = 500
"""Cost of a turn: several bodies get one in each step."""

CROWDED_BODIES: Final = 16
"""Number of waiting bodies from which on those in small chunks are rejected."""

CROWDED_CHUNKS: Final = 8_192
"""Number of chunks from which on a body may be rejected among many others."""

SMALL_CHUNK_BYTES: Final = 64
"""Mean size below which chunks count as small.  Clients that stream send larger ones:
the framing alone takes 6 bytes of each chunk."""

DISCARDED_CHUNKS: Final = 8_192
"""Most discarded chunks of a request; then its connection is closed."""


@dataclasses.dataclass(slots=True)
class BodyCost:
    """What was decoded of one body.

    Attributes
    ----------
    chunks, size : int
        Number of chunks, and of bytes in them.
    discarded_from : int or None
        Number of chunks at the rejection of the request; None if it is not rejected.
    """

    chunks: int = 0
    size: int = 0
    discarded_from: int | None = None

    @property
    def is_small_chunked(self) -> bool:
        """Whether the body came in many small chunks."""
        return (
            self.chunks > CROWDED_CHUNKS and self.size < SMALL_CHUNK_BYTES * self.chunks
        )

    @property
    def discarded_chunks(self) -> int:
        """Number of chunks since the rejection of the request."""
        return 0 if self.discarded_from is None else self.chunks - self.discarded_from


class ChunkBudget:
    """Budget of what one process decodes of chunked bodies; performs no I/O.

    Attributes
    ----------
    rejections, closes : int
        Requests rejected, and connections closed, for their chunks.
    """

    def __init__(self) -> None:
        self._left = STEP_COST
        self.rejections = 0
        self.closes = 0

    def begin_step(self) -> None:
        """Begin a step of the event loop."""
        self._left = STEP_COST

    def take_turn(self) -> int:
        """Return the cost that the next body may take; 0 if the step has no more."""
        allowed = min(TURN_COST, self._left)
        self._left -= allowed
        return allowed

    def return_unused(self, cost: int) -> None:
        """Return what a body did not take of its turn to the present step."""
        self._left = min(STEP_COST, self._left + cost)

    def may_go_on(self, body: BodyCost, waiting_bodies: int) -> bool:
        """Return whether a request is read on; if not, it is to be rejected.

        Parameters
        ----------
        waiting_bodies : int
            Number of other bodies that wait for a turn and are not discarded.
        """
        if body.discarded_from is not None or waiting_bodies < CROWDED_BODIES:
            return True
        if not body.is_small_chunked:
            return True
        self.rejections += 1
        return False

    def may_discard(self, body: BodyCost) -> bool:
        """Return whether a rejected request is read on, if it is one."""
        if body.discarded_chunks <= DISCARDED_CHUNKS:
            return True
        self.closes += 1
        return False
