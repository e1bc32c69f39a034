"""Blocks that engines will hold soon because of requests sent a moment ago.

The directory learns of a block only after it has been computed or imported and the
engine's event has arrived.  Until then, an entry counts on its own decisions, so
that requests for one context that come together meet at one replica instead of
restoring or computing the same blocks at several.
"""

import collections
import dataclasses
from collections.abc import Sequence
from typing import Final

from quincecrank import chain_view, ids

EXPECTATION_MS: Final = 10_000
"""Time after which a request that was sent is no longer counted on."""

NEWS_LAG_MS: Final = 400
"""Time in which the directory learns of a block that an engine holds."""

MAX_EXPECTED: Final = 2_000
"""Requests whose blocks are expected at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Expectation:
    """Blocks of one chain that one engine will hold."""

    server: ids.BackendServerName
    keys: tuple[ids.BlockKey, ...]
    until_ms: int


class ExpectedHolders:
    """Aggregate of the expectations of one entry."""

    def __init__(self) -> None:
        self._by_root: collections.OrderedDict[
            ids.BlockKey, dict[ids.BackendServerName, _Expectation]
        ] = collections.OrderedDict()

    def sent(
        self, server: ids.BackendServerName, keys: tuple[ids.BlockKey, ...], now_ms: int
    ) -> None:
        """Expect `server` to hold the blocks of a request that it was sent."""
        if not keys:
            return
        by_server = self._by_root.setdefault(keys[0], {})
        self._by_root.move_to_end(keys[0])
        by_server[server] = _Expectation(server, keys, now_ms + EXPECTATION_MS)
        while len(self._by_root) > MAX_EXPECTED:
            self._by_root.popitem(last=False)

    def first_token(
        self, server: ids.BackendServerName, keys: tuple[ids.BlockKey, ...], now_ms: int
    ) -> None:
        """Leave the blocks of a request that has been computed to the directory."""
        by_server = self._by_root.get(keys[0], {}) if keys else {}
        known = by_server.get(server)
        if known is not None and known.keys == keys:
            until_ms = min(known.until_ms, now_ms + NEWS_LAG_MS)
            by_server[server] = dataclasses.replace(known, until_ms=until_ms)

    def failed(
        self, server: ids.BackendServerName, keys: tuple[ids.BlockKey, ...]
    ) -> None:
        """Expect nothing more of a request that did not run to its end."""
        if keys:
            self._by_root.get(keys[0], {}).pop(server, None)

    def merged(
        self, chain: chain_view.ChainView, keys: Sequence[ids.BlockKey], now_ms: int
    ) -> chain_view.ChainView:
        """Return `chain` with the blocks that are expected besides."""
        if not keys:
            return chain
        by_server = self._by_root.get(keys[0], {})
        held = dict(chain.held_by_server)
        for expectation in tuple(by_server.values()):
            server = expectation.server
            if expectation.until_ms <= now_ms:
                del by_server[server]
                continue
            expected = _common_prefix(expectation.keys, keys)
            held[server] = held.get(server, frozenset()) | frozenset(range(expected))
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
