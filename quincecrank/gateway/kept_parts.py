"""Which parts of a prompt an engine fetches from a store, and which it saves there."""

import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Transfers:
    """Addresses by part of the prompt; None for a part that is not transferred.

    Attributes
    ----------
    fetched_tokens : int
        Tokens that the engine need not compute.
    expected_ms : float
        Time that the fetch takes.
    """

    fetch_from: tuple[str | None, ...] = ()
    save_to: tuple[str | None, ...] = ()
    fetched_tokens: int = 0
    expected_ms: float = 0.0


NO_TRANSFERS: Final = Transfers()
