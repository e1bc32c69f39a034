"""Blocks that engines are expected to hold soon because of requests just sent.

The directory learns of a block only after it has been computed or imported and the
engine's cache event has arrived.  Until then, an entry relies on its own routing
decisions, so that simultaneous requests for one context go to one replica instead of
restoring or computing the same blocks at several.
"""

import collections
import dataclasses
from collections.abc import Sequence
from typing import Final

from quincecrank import chain_view, ids

EXPECTATION_MS: Final = 10_000
"""Time after which the blocks of a sent request are no longer expected."""

DIRECTORY_LAG_MS: Final = 400
"""Time within which the directory learns of a block that an engine holds."""

MAX_EXPECTED_ROOTS: Final = 2_000
"""Maximum number of roots with expected blocks.

Those whose prompts were sent least recently are removed.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _ExpectedBlocks:
    """Blocks of one chain that one engine will hold."""

    server: ids.BackendServerName
    keys: tuple[ids.BlockKey, ...]
    until_ms: int


class ExpectedHolders:
    """Tracks the blocks that one entry expects engines to hold."""

    def __init__(self) -> None:
        self._expected_by_root: collections.OrderedDict[
            ids.BlockKey, dict[ids.BackendServerName, _ExpectedBlocks]
        ] = collections.OrderedDict()

    def record_send(
        self, server: ids.BackendServerName, keys: tuple[ids.BlockKey, ...], now_ms: int
    ) -> None:
        """Expect `server` to hold the blocks of a request that it was sent."""
        if not keys:
            return
        by_server = self._expected_by_root.setdefault(keys[0], {})
        self._expected_by_root.move_to_end(keys[0])
        by_server[server] = _ExpectedBlocks(server, keys, now_ms + EXPECTATION_MS)
        while len(self._expected_by_root) > MAX_EXPECTED_ROOTS:
            self._expected_by_root.popitem(last=False)

    def record_first_token(
        self, server: ids.BackendServerName, keys: tuple[ids.BlockKey, ...], now_ms: int
    ) -> None:
        """Expect the blocks of a computed prompt only until the directory has them."""
        by_server = self._expected_by_root.get(keys[0], {}) if keys else {}
        current = by_server.get(server)
        if current is not None and current.keys == keys:
            until_ms = min(current.until_ms, now_ms + DIRECTORY_LAG_MS)
            by_server[server] = dataclasses.replace(current, until_ms=until_ms)

    def record_failure(
        self, server: ids.BackendServerName, keys: tuple[ids.BlockKey, ...]
    ) -> None:
        """Remove the expected blocks of a request that failed."""
        if keys:
            self._expected_by_root.get(keys[0], {}).pop(server, None)

    def merged(
        self, chain: chain_view.ChainView, keys: Sequence[ids.BlockKey], now_ms: int
    ) -> chain_view.ChainView:
        """Return `chain` with the expected blocks added to the held ones."""
        if not keys:
            return chain
        by_server = self._expected_by_root.get(keys[0], {})
        held = dict(chain.held_by_server)
        for expected_blocks in tuple(by_server.values()):
            server = expected_blocks.server
            if expected_blocks.until_ms <= now_ms:
                del by_server[server]
                continue
            shared_count = _common_prefix(expected_blocks.keys, keys)
            held[server] = held.get(server, frozenset()) | frozenset(
                range(shared_count)
            )
        return dataclasses.replace(chain, held_by_server=held)


def _common_prefix(
    first: Sequence[ids.BlockKey], second: Sequence[ids.BlockKey]
) -> int:
    count = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        count += 1
    return count
