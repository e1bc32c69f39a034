"""Messages and errors of a model engine's interface."""

import dataclasses
import enum
import json

import pydantic

from quincecrank import ids, token_sampling


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """A request to run a prompt on an engine.

    Attributes
    ----------
    priority : int
        Requests with a higher number run first.
    weight_version : WeightVersion
        Version that must be loaded.
    block_keys : tuple of BlockKey
        Names, in the engine's cache, of the prompt's leading complete blocks.
    resume_after : int
        Number of leading answer tokens that an earlier attempt has delivered; the
        engine does not send them again.
    """

    request_id: ids.RequestId
    model: str
    prompt: str
    max_tokens: int
    weight_version: ids.WeightVersion
    cache_salt: str = ""
    adapter: ids.AdapterName = ids.AdapterName("")
    block_keys: tuple[ids.BlockKey, ...] = ()
    priority: int = 0
    resume_after: int = 0
    sampling: token_sampling.Sampling = token_sampling.DEFAULT

    def to_json(self) -> bytes:
        """Return the JSON body of the completion call."""
        body = {
            "model": self.model,
            "prompt": self.prompt,
            "stream": True,
            "max_tokens": self.max_tokens,
            # Engines run requests with a lower number first.
            "priority": -self.priority,
            "cache_salt": self.cache_salt,
            "request_id": self.request_id,
            "adapter": self.adapter,
            "weight_version": self.weight_version,
            "block_keys": self.block_keys,
            "resume_after": self.resume_after,
            **self.sampling.model_dump(exclude_defaults=True),
        }
        return json.dumps(body, ensure_ascii=False).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class EngineToken:
    """One token of an answer; `finish_reason` is set on the last one only."""

    text: str
    finish_reason: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineUsage:
    """Token counts at the end of a run.

    Attributes
    ----------
    completion_tokens : int
        Tokens that this run generated, without those before `resume_after`.
    cached_tokens : int
        Prompt tokens taken from the prefix cache.
    weight_version : WeightVersion
        Version that generated the answer.
    """

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    weight_version: ids.WeightVersion


@dataclasses.dataclass(frozen=True, slots=True)
class ExportedBlock:
    """A block's payload and the weight version that it belongs to."""

    data: bytes
    weight_version: ids.WeightVersion


class _Message(pydantic.BaseModel):
    """Base of the engine's JSON messages; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


class EngineLoad(_Message):
    """Load report; the engine may report it with a delay.

    Attributes
    ----------
    running, waiting : int
        Number of requests that run or wait.
    queued_tokens : int
        Prompt tokens that are still to be computed.
    """

    incarnation: ids.Incarnation
    weight_version: ids.WeightVersion
    adapters: tuple[ids.AdapterName, ...] = ()
    running: int
    waiting: int
    queued_tokens: int
    cached_blocks: int
    cache_capacity_blocks: int


class EngineKeys(_Message):
    """All cached blocks after the event numbered `sequence`."""

    incarnation: ids.Incarnation
    sequence: int
    keys: tuple[ids.BlockKey, ...]


class CacheChange(enum.Enum):
    """What a cache event reports."""

    STORED = "stored"
    EVICTED = "evicted"


class EngineEvent(_Message):
    """One cache event."""

    sequence: int
    kind: CacheChange
    key: ids.BlockKey


class EngineEvents(_Message):
    """Cache events in order; a gap in the sequence numbers means missed events."""

    incarnation: ids.Incarnation
    events: tuple[EngineEvent, ...]


class OrderKind(enum.Enum):
    """Kinds of orders that an engine carries out."""

    LOAD_VERSION = "load-version"
    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"
    SET_ROLE = "set-role"


class EngineError(Exception):
    """Base of all errors raised by engine calls."""


class EngineFailedError(EngineError):
    """The engine was not reached, or the connection ended before the answer did.

    Attributes
    ----------
    started : bool
        Whether any byte of the answer was received.
    sent : bool
        Whether the engine may have received the request; False means that it did
        not run.
    """

    def __init__(self, detail: str, started: bool, sent: bool) -> None:
        super().__init__(detail)
        self.started = started
        self.sent = sent


class EngineRejectedError(EngineError):
    """The engine answered with an error status."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"{status}: {detail}")
        self.status = status


class EngineBusyError(EngineError):
    """The engine's request queue is full.

    Attributes
    ----------
    retry_after_ms : int
        Delay after which the engine asks to be tried again.
    """

    def __init__(self, detail: str, retry_after_ms: int) -> None:
        super().__init__(detail)
        self.retry_after_ms = retry_after_ms


class WrongVersionError(EngineError):
    """The weight version or adapter that the call needs is not loaded."""


class StaleFencingError(EngineError):
    """The engine has seen a higher fencing number than that of the order."""


class BlockMissingError(EngineError):
    """The block is not in the engine's cache."""


class CacheFullError(EngineError):
    """Running requests use the engine's entire cache."""
