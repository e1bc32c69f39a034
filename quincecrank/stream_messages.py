"""Typed forms of the packets that open, carry and end a stream.

A stream is one attempt of one request: the entry opens it on a link to an agent,
the agent answers with numbered frames and closes it with an `End` that counts them
or with a refusal.  A stream that ends without either has failed; what arrived is never
treated as a short complete answer.
"""

import dataclasses
from typing import Any

from quincecrank import chain_view, ids, problems, token_sampling, wire


@dataclasses.dataclass(frozen=True)
class HeaderField:
    """One HTTP header field."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True)
class Completion:
    """A prompt to run on a model engine.

    Attributes
    ----------
    prompt : bytes
        UTF-8 text.
    blocks_to_restore : tuple of StoredBlock
        Stored copies of blocks that the engine imports before the run.
    blocks_to_write : tuple of StoredBlock
        Blocks to write to store VMs after the run, under these names.
    resume_after : int
        Number of leading answer tokens that the caller has already received.
    streamed : bool
        Whether the caller requested server-sent events.
    """

    model: str
    prompt: bytes
    max_tokens: int
    weight_version: ids.WeightVersion
    adapter: ids.AdapterName
    cache_salt: str
    block_keys: tuple[ids.BlockKey, ...]
    chat: bool
    streamed: bool
    include_usage: bool = False
    blocks_to_restore: tuple[chain_view.StoredBlock, ...] = ()
    blocks_to_write: tuple[chain_view.StoredBlock, ...] = ()
    resume_after: int = 0
    sampling: token_sampling.Sampling = token_sampling.DEFAULT


@dataclasses.dataclass(frozen=True)
class PlainCall:
    """A call to a plain service."""

    method: str
    path: str
    headers: tuple[HeaderField, ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class StreamOrder:
    """Everything that an agent needs to run one attempt.

    Attributes
    ----------
    remaining_ms : int
        Time left until the deadline when the order was sent.
    priority : int
        0 to 9; requests with a higher number run first.
    fingerprint : str
        Digest of the request in hex.
    suspect : bool
        Whether the request was running when a backend server crashed.
    """

    stream: int
    request_id: ids.RequestId
    attempt_id: ids.AttemptId
    account: ids.AccountName
    deployment: ids.DeploymentName
    configuration_version: ids.ConfigurationVersion
    remaining_ms: int
    priority: int
    idempotency_key: str
    fingerprint: str
    idempotent: bool
    work: Completion | PlainCall
    suspect: bool = False


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """Token counts and times of a stream that was answered completely.

    Attributes
    ----------
    frames : int
        Number of frames before the end.
    prompt_tokens, cached_tokens, restored_tokens, completion_tokens : int
        Tokens; the restored ones are among the cached ones.  The completion tokens are
        those of this attempt, without the `resume_after` ones.
    queue_ms, restore_ms : int
        Time that the attempt waited at the agent and time that its restore took.
    first_token_ms : int
        Time from the start of the run to its first token.
    link_bytes : int
        Bytes read from store VMs for this stream.
    """

    frames: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    restored_tokens: int = 0
    completion_tokens: int = 0
    weight_version: ids.WeightVersion = ids.WeightVersion("")
    queue_ms: int = 0
    restore_ms: int = 0
    first_token_ms: int = 0
    link_bytes: int = 0


def encode_order(order: StreamOrder) -> Any:
    """Return the packet that opens a stream."""
    packet = wire.new_packet()
    message = packet.init("open")
    message.stream = order.stream
    message.requestId = order.request_id
    message.attemptId = order.attempt_id
    message.account = order.account
    message.deployment = order.deployment
    message.configurationVersion = order.configuration_version
    message.deadlineMs = order.remaining_ms
    message.priority = order.priority
    message.idempotencyKey = order.idempotency_key
    message.fingerprint = bytes.fromhex(order.fingerprint)
    message.idempotent = order.idempotent
    message.suspect = order.suspect
    if isinstance(order.work, Completion):
        _encode_completion(message.init("completion"), order.work)
    else:
        _encode_plain_call(message.init("plainCall"), order.work)
    return packet


def decode_order(message: Any) -> StreamOrder:
    """Return the typed form of an ``OpenStream`` message."""
    if message.which() == "completion":
        work: Completion | PlainCall = _decode_completion(message.completion)
    else:
        work = _decode_plain_call(message.plainCall)
    return StreamOrder(
        stream=message.stream,
        request_id=ids.RequestId(message.requestId),
        attempt_id=ids.AttemptId(message.attemptId),
        account=ids.AccountName(message.account),
        deployment=ids.DeploymentName(message.deployment),
        configuration_version=ids.ConfigurationVersion(message.configurationVersion),
        remaining_ms=message.deadlineMs,
        priority=message.priority,
        idempotency_key=message.idempotencyKey,
        fingerprint=bytes(message.fingerprint).hex(),
        idempotent=message.idempotent,
        work=work,
        suspect=message.suspect,
    )


def encode_cancel(stream: int) -> Any:
    """Return the packet that cancels a stream."""
    packet = wire.new_packet()
    packet.init("cancel").stream = stream
    return packet


def encode_refusal(message: Any, problem: problems.Problem) -> None:
    """Fill a ``Refusal`` message."""
    message.kind = problem.kind.value
    message.ran = problem.ran.value
    message.detail = problem.detail
    message.retryAfterMs = problem.retry_after_ms


def decode_refusal(message: Any) -> problems.Problem:
    """Return the problem that a ``Refusal`` message carries.

    Raises
    ------
    ValueError
        If the message has an unknown value in `kind` or `ran`.
    """
    return problems.Problem(
        kind=problems.ProblemKind(message.kind),
        detail=message.detail,
        ran=problems.Ran(message.ran),
        retry_after_ms=message.retryAfterMs,
    )


def encode_end(message: Any, end: StreamEnd) -> None:
    """Fill an ``End`` message."""
    message.frames = end.frames
    message.promptTokens = end.prompt_tokens
    message.cachedTokens = end.cached_tokens
    message.restoredTokens = end.restored_tokens
    message.completionTokens = end.completion_tokens
    message.weightVersion = end.weight_version
    message.queueMs = end.queue_ms
    message.restoreMs = end.restore_ms
    message.firstTokenMs = end.first_token_ms
    message.linkBytes = end.link_bytes


def decode_end(message: Any) -> StreamEnd:
    """Return the typed form of an ``End`` message."""
    return StreamEnd(
        frames=message.frames,
        prompt_tokens=message.promptTokens,
        cached_tokens=message.cachedTokens,
        restored_tokens=message.restoredTokens,
        completion_tokens=message.completionTokens,
        weight_version=ids.WeightVersion(message.weightVersion),
        queue_ms=message.queueMs,
        restore_ms=message.restoreMs,
        first_token_ms=message.firstTokenMs,
        link_bytes=message.linkBytes,
    )


def _encode_completion(message: Any, work: Completion) -> None:
    message.model = work.model
    message.prompt = work.prompt
    message.maxTokens = work.max_tokens
    message.weightVersion = work.weight_version
    message.adapter = work.adapter
    message.cacheSalt = work.cache_salt
    message.blockKeys = [bytes.fromhex(key) for key in work.block_keys]
    message.chat = work.chat
    message.stream = work.streamed
    message.includeUsage = work.include_usage
    message.resumeAfter = work.resume_after
    message.sampling = work.sampling.to_text()
    _encode_stored_blocks(
        message.init("restore", len(work.blocks_to_restore)), work.blocks_to_restore
    )
    _encode_stored_blocks(
        message.init("keep", len(work.blocks_to_write)), work.blocks_to_write
    )


def _decode_completion(message: Any) -> Completion:
    return Completion(
        model=message.model,
        prompt=bytes(message.prompt),
        max_tokens=message.maxTokens,
        weight_version=ids.WeightVersion(message.weightVersion),
        adapter=ids.AdapterName(message.adapter),
        cache_salt=message.cacheSalt,
        block_keys=tuple(ids.BlockKey(bytes(k).hex()) for k in message.blockKeys),
        chat=message.chat,
        streamed=message.stream,
        include_usage=message.includeUsage,
        resume_after=message.resumeAfter,
        sampling=token_sampling.Sampling.from_text(message.sampling),
        blocks_to_restore=_decode_stored_blocks(message.restore),
        blocks_to_write=_decode_stored_blocks(message.keep),
    )


def _encode_stored_blocks(
    messages: Any, copies: tuple[chain_view.StoredBlock, ...]
) -> None:
    for message, copy in zip(messages, copies, strict=True):
        message.index = copy.index
        message.store = copy.store
        message.objectName = copy.object_name
        message.tier = copy.tier


def _decode_stored_blocks(messages: Any) -> tuple[chain_view.StoredBlock, ...]:
    return tuple(
        chain_view.StoredBlock(
            index=message.index,
            store=ids.VmName(message.store),
            object_name=ids.ObjectName(message.objectName),
            tier=ids.TierName(message.tier),
        )
        for message in messages
    )


def _encode_plain_call(message: Any, work: PlainCall) -> None:
    message.method = work.method
    message.path = work.path
    message.body = work.body
    fields = message.init("headers", len(work.headers))
    encode_headers(fields, work.headers)


def _decode_plain_call(message: Any) -> PlainCall:
    return PlainCall(
        method=message.method,
        path=message.path,
        headers=decode_headers(message.headers),
        body=bytes(message.body),
    )


def encode_headers(messages: Any, headers: tuple[HeaderField, ...]) -> None:
    """Fill a list of ``Header`` messages of the same length."""
    for message, header in zip(messages, headers, strict=True):
        message.name = header.name
        message.value = header.value


def decode_headers(messages: Any) -> tuple[HeaderField, ...]:
    """Return the typed form of a list of ``Header`` messages."""
    return tuple(HeaderField(str(m.name), str(m.value)) for m in messages)
