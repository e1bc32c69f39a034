"""The answer that a correct stand-in engine gives, computed without an engine.

Tests and the demo compare answers with it.

The state of a block stands for its KV cache: a digest of the previous state and the
block's own bytes.  The state before the first block is a digest of the cache salt, the
weight version and the adapter.  The answer is a function of all states and of the
bytes after the last complete block, so that one wrong block changes every token.

A block's payload, as exported and imported, consists of the block's state and bytes
derived from it.  If any part of a payload is missing or altered, its import yields
another state.
"""

import dataclasses
import hashlib
from typing import Final

TOKEN_BYTES: Final = 4
"""Bytes of UTF-8 text in one token."""

BLOCK_TOKENS: Final = 1024
BLOCK_BYTES: Final = BLOCK_TOKENS * TOKEN_BYTES

STATE_BYTES: Final = 32

_CONSONANTS: Final = "bcdfghjklmnprstv"
_VOWELS: Final = "aeio"
_TOKENS: Final = tuple(
    f"{first}{vowel}{last} "
    for first in _CONSONANTS
    for vowel in _VOWELS
    for last in _CONSONANTS
)
"""All tokens that an answer may contain, each `TOKEN_BYTES` long."""

_INDEX_BYTES: Final = 2


@dataclasses.dataclass(frozen=True)
class Context:
    """What the answer to a prompt depends on besides prompt and sampling."""

    cache_salt: str
    weight_version: str
    adapter: str


@dataclasses.dataclass(frozen=True)
class Sampling:
    """How the tokens of an answer are sampled, and where it ends.

    Attributes
    ----------
    temperature : float
        0 selects the most likely tokens; `top_p` and `seed` then have no effect.
    stop : tuple of str
        The answer ends before the first occurrence of any of these texts.
    """

    temperature: float = 0.0
    top_p: float = 1.0
    seed: int = 0
    stop: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the options that the tokens depend on; empty at temperature 0."""
        if not self.temperature:
            return b""
        return f"{self.temperature} {self.top_p} {self.seed}".encode()


GREEDY: Final = Sampling()


def token_count(data: bytes) -> int:
    """Return the number of tokens of UTF-8 text `data`; a partial one counts."""
    return -(-len(data) // TOKEN_BYTES)


def root_state(context: Context) -> bytes:
    """Return the state that precedes the first block."""
    digest = hashlib.sha256()
    for part in (context.cache_salt, context.weight_version, context.adapter):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "little"))
        digest.update(encoded)
    return digest.digest()


def block_state(previous: bytes, block: bytes) -> bytes:
    """Return the state of `block`, which follows a block with state `previous`."""
    return hashlib.sha256(previous + block).digest()


def answer_tokens(
    root: bytes,
    states: list[bytes],
    rest: bytes,
    count: int,
    sampling: Sampling = GREEDY,
) -> list[str]:
    """Return `count` tokens of the answer, or fewer if a stop text ends it.

    Parameters
    ----------
    root : bytes
        State that precedes the first block.
    states : list of bytes
        State of each complete block of the prompt.
    rest : bytes
        The prompt after its last complete block.
    """
    digest = hashlib.shake_128(root)
    for state in states:
        digest.update(state)
    digest.update(rest)
    digest.update(sampling.encode())
    choices = digest.digest(_INDEX_BYTES * count)
    tokens = [
        _TOKENS[int.from_bytes(choices[at : at + _INDEX_BYTES], "little") % 1024]
        for at in range(0, len(choices), _INDEX_BYTES)
    ]
    return _before_stop(tokens, sampling.stop)


def _before_stop(tokens: list[str], stop: tuple[str, ...]) -> list[str]:
    text = "".join(tokens)
    ends = [at for at in (text.find(each) for each in stop) if at >= 0]
    if not ends:
        return tokens
    shortened = text[: min(ends)]
    size = len(_TOKENS[0])
    return [shortened[at : at + size] for at in range(0, len(shortened), size)]


def expected_answer(
    prompt: str,
    cache_salt: str,
    weight_version: str,
    adapter: str,
    max_tokens: int,
    sampling: Sampling = GREEDY,
) -> str:
    """Return the complete text that a correct engine answers."""
    data = prompt.encode()
    root = root_state(Context(cache_salt, weight_version, adapter))
    block_end = len(data) // BLOCK_BYTES * BLOCK_BYTES
    states: list[bytes] = []
    previous = root
    for at in range(0, block_end, BLOCK_BYTES):
        previous = block_state(previous, data[at : at + BLOCK_BYTES])
        states.append(previous)
    rest = data[block_end:]
    return "".join(answer_tokens(root, states, rest, max_tokens, sampling))


def payload_from_state(state: bytes, payload_bytes: int) -> bytes:
    """Return the payload of a block, `payload_bytes` long, for export."""
    # The digest includes the length, so that a truncated payload is not a valid one.
    digest = hashlib.shake_128(state + payload_bytes.to_bytes(8, "little"))
    return state + digest.digest(payload_bytes - STATE_BYTES)


def state_from_payload(payload: bytes) -> bytes:
    """Return the state that an imported payload represents.

    A damaged payload yields some other state, which leads to a wrong answer.
    """
    state = payload[:STATE_BYTES]
    if len(payload) > STATE_BYTES:
        if payload == payload_from_state(state, len(payload)):
            return state
    return hashlib.sha256(payload).digest()
