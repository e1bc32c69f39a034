"""What a correct engine answers, worked out without an engine.

The state of a block is a digest of the state before it and the block's own bytes;
the state before the first block is a digest of the cache salt, the weight version
and the adapter.  The answer is a function of every state and of the bytes after the
last whole block, so that one wrong block changes every token of the answer.

A block's payload, as exported and imported, begins with the block's state and goes on
with bytes that are derived from it.  A payload that is torn or altered anywhere yields
another state when it is imported.
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
"""The vocabulary of answers; each entry is one token long."""

_INDEX_BYTES: Final = 2


@dataclasses.dataclass(frozen=True)
class Context:
    """What an answer depends on besides its prompt."""

    cache_salt: str
    weight_version: str
    adapter: str


@dataclasses.dataclass(frozen=True)
class Sampling:
    """How the tokens of an answer are drawn, and where it ends.

    Attributes
    ----------
    temperature : float
        0 for the most likely token; then `top_p` and `seed` have no effect.
    stop : tuple of str
        Texts before the first of which the answer ends.
    """

    temperature: float = 0.0
    top_p: float = 1.0
    seed: int = 0
    stop: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return what the drawn tokens depend on, nothing for the most likely."""
        if not self.temperature:
            return b""
        return f"{self.temperature} {self.top_p} {self.seed}".encode()


GREEDY: Final = Sampling()


def token_count(data: bytes) -> int:
    """Return the number of tokens of UTF-8 text `data`."""
    return -(-len(data) // TOKEN_BYTES)


def root_state(context: Context) -> bytes:
    """Return the state before the first block."""
    digest = hashlib.sha256()
    for part in (context.cache_salt, context.weight_version, context.adapter):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "little"))
        digest.update(encoded)
    return digest.digest()


def block_state(previous: bytes, block: bytes) -> bytes:
    """Return the state of `block` after the state `previous`."""
    return hashlib.sha256(previous + block).digest()


def answer_tokens(
    root: bytes,
    states: list[bytes],
    rest: bytes,
    count: int,
    sampling: Sampling = GREEDY,
) -> list[str]:
    """Return the first `count` tokens of the answer, or fewer up to a stop text.

    Parameters
    ----------
    root : bytes
        State before the first block.
    states : list of bytes
        State of each whole block of the prompt.
    rest : bytes
        The prompt after its last whole block.
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
    kept = text[: min(ends)]
    size = len(_TOKENS[0])
    return [kept[at : at + size] for at in range(0, len(kept), size)]


def expected_answer(
    prompt: str,
    cache_salt: str,
    weight_version: str,
    adapter: str,
    max_tokens: int,
    sampling: Sampling = GREEDY,
) -> str:
    """Return the whole text that a correct engine answers."""
    data = prompt.encode()
    root = root_state(Context(cache_salt, weight_version, adapter))
    whole = len(data) // BLOCK_BYTES * BLOCK_BYTES
    states: list[bytes] = []
    previous = root
    for at in range(0, whole, BLOCK_BYTES):
        previous = block_state(previous, data[at : at + BLOCK_BYTES])
        states.append(previous)
    rest = data[whole:]
    return "".join(answer_tokens(root, states, rest, max_tokens, sampling))


def payload_from_state(state: bytes, payload_bytes: int) -> bytes:
    """Return the payload of a block, `payload_bytes` long, for export."""
    # The length goes into the digest, so that a shorter payload isn't its beginning.
    digest = hashlib.shake_128(state + payload_bytes.to_bytes(8, "little"))
    return state + digest.digest(payload_bytes - STATE_BYTES)


def state_from_payload(payload: bytes) -> bytes:
    """Return the state that an imported payload stands for, right or wrong."""
    state = payload[:STATE_BYTES]
    if len(payload) > STATE_BYTES:
        if payload == payload_from_state(state, len(payload)):
            return state
    return hashlib.sha256(payload).digest()
