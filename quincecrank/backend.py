"""Interface between an agent and the backend server beside it."""

import dataclasses
from typing import Protocol

from quincecrank import ids, stream_messages, stream_writer


@dataclasses.dataclass(frozen=True)
class BackendLoad:
    """Last observed state of a backend server.

    Attributes
    ----------
    queued_tokens : int
        Prompt tokens that are still to be computed.
    cache_blocks : int
        Capacity of the engine's prefix cache, in blocks.
    prefill_tokens_per_second : float
        Observed prefill speed.
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
    """Runs requests on a backend server; one implementation for each kind."""

    async def run(
        self,
        order: stream_messages.StreamOrder,
        writer: stream_writer.StreamWriter,
        queue_ms: int,
    ) -> None:
        """Run one request and end its stream, with an answer or a refusal.

        Cancelled when the caller has abandoned the request.

        Parameters
        ----------
        queue_ms : int
            Time that the request has waited for a slot.
        """

    def load(self) -> BackendLoad:
        """Return the last observed state."""

    async def watch(self) -> None:
        """Follow the backend server's state until cancelled."""

    def set_target(
        self, version: ids.WeightVersion, adapters: tuple[ids.AdapterName, ...]
    ) -> None:
        """Set the weight version and the adapters that should be loaded."""
