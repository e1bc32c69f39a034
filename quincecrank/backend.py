"""What an agent needs of the backend server beside it."""

import dataclasses
from typing import Protocol

from quincecrank import ids, stream_messages, stream_writer


@dataclasses.dataclass(frozen=True)
class BackendLoad:
    """State of a backend server as last seen.

    Attributes
    ----------
    queued_tokens : int
        Prompt tokens not yet computed.
    cache_blocks : int
        Blocks that the engine's prefix cache holds.
    prefill_tokens_per_second : float
        Observed speed of prompt work.
    """

    healthy: bool
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    cache_blocks: int = 0
    weight_version: ids.WeightVersion = ids.WeightVersion("")
    adapters: tuple[ids.AdapterName, ...] = ()
    prefill_tokens_per_second: float = 0.0


class Backend(Protocol):
    """Runs orders on a backend server; one implementation for each kind."""

    async def run(
        self,
        order: stream_messages.StreamOrder,
        writer: stream_writer.StreamWriter,
        queue_ms: int,
    ) -> None:
        """Run one order and end its stream; cancelled when the caller gave up."""

    def load(self) -> BackendLoad:
        """Return the state as last seen."""

    async def watch(self) -> None:
        """Follow the backend server's state until cancelled."""

    def ordered(
        self, version: ids.WeightVersion, adapters: tuple[ids.AdapterName, ...]
    ) -> None:
        """State the weight version and the adapters that should be loaded."""
