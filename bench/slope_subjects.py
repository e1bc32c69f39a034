"""The operations that `bench.slopes` measures, each set up for a given size."""

from collections.abc import Callable
from typing import Final

from quincecrank import (
    admission,
    block_keys,
    chain_view,
    configuration,
    directory,
    ids,
    policies,
    routing,
    sealed_block,
    tokenizers,
    wire,
)

BLOCKS_PER_ROOT: Final = 30
KIBIBYTE: Final = 1024
TOKEN_EVENT_BYTES: Final = 230
_SECRET: Final = b"a secret of the benchmark"
_SERVER: Final = ids.BackendServerName("lekhak-1")
_STORE: Final = ids.VmName("smriti-ka")
_TIER: Final = ids.TierName("smriti-memory")
_VERSION: Final = ids.WeightVersion("v1")

Action = Callable[[], object]
"""One operation, to be timed."""


def filled_shard(entries: int) -> directory.DirectoryShard:
    """Return a shard of `entries` blocks, each held by one engine and one store."""
    shard = directory.DirectoryShard(max_blocks=entries + BLOCKS_PER_ROOT)
    engine = directory.EngineHolder(_SERVER, ids.Incarnation("i-1"))
    for number in range(entries // BLOCKS_PER_ROOT):
        keys = _keys(BLOCKS_PER_ROOT, number)
        store = directory.StoreHolder(
            _STORE, ids.Incarnation("i-2"), _TIER, f"{number:018x}"
        )
        shard.announce(directory.Announcement(keys[0], keys, engine))
        shard.announce(directory.Announcement(keys[0], keys, store))
    return shard


def shard_lookup(blocks: int) -> Action:
    """Return the lookup of a prompt of `blocks` blocks in a filled shard."""
    shard = filled_shard(BLOCKS_PER_ROOT * 100)
    keys = _keys(BLOCKS_PER_ROOT, 7)[:blocks]
    return lambda: shard.lookup(keys)


def block_key_chain(blocks: int) -> Action:
    """Return the computation of the keys of `blocks` blocks."""
    return lambda: _keys(blocks, 1)


def routing_decision(candidates: int) -> Action:
    """Return the routing of a prompt of 30 blocks over `candidates` replicas."""
    policy = policies.make_policy(policies.DEFAULT_POLICY)
    replicas = [
        routing.ReplicaState(
            ids.BackendServerName(f"replica-{n}"), n % 7, 0, 16, 100.0 * n, 20_000.0
        )
        for n in range(candidates)
    ]
    copies = tuple(
        chain_view.StoredBlock(index, _STORE, ids.ObjectName(f"o{index}"), _TIER)
        for index in range(BLOCKS_PER_ROOT)
    )
    held = {replicas[1].server: frozenset(range(10))}
    chain = chain_view.ChainView(BLOCKS_PER_ROOT, held, frozenset(), copies)
    request = routing.RoutingRequest(
        ids.RequestId("r"),
        ids.DeploymentName("lekhak"),
        configuration.PolicyWeights(),
        BLOCKS_PER_ROOT * tokenizers.BLOCK_TOKENS,
        64 * KIBIBYTE,
        ids.BlockKey("ab"),
    )
    links = [routing.LinkState(_STORE, _TIER, 20_000_000)]
    return lambda: policy.choose(request, replicas, chain, links, 0)


def configuration_of(accounts: int) -> configuration.Configuration:
    """Return a configuration with five deployments and `accounts` accounts."""
    names = [ids.AccountName(f"account-{number}") for number in range(accounts)]
    account_by_name = {name: _account(name) for name in names}
    deployments = {
        ids.DeploymentName(f"model-{number}"): configuration.Deployment(
            name=ids.DeploymentName(f"model-{number}"),
            kind=configuration.DeploymentKind.MODEL,
            weight_version=_VERSION,
            accounts=tuple(names),
        )
        for number in range(5)
    }
    return configuration.Configuration(
        version=ids.ConfigurationVersion(1),
        accounts_by_name=account_by_name,
        deployments_by_name=deployments,
    )


def apply_row(accounts: int) -> Action:
    """Return the application of a row that changes one account."""
    current = configuration_of(accounts)
    changed = _account(ids.AccountName("account-7"))
    write = configuration.entity_write(
        configuration.EntityKind.ACCOUNT, changed.name, changed
    )
    row = configuration.ConfigurationRow(
        version=ids.ConfigurationVersion(2),
        proposal_id=ids.ProposalId("p"),
        operator="asha",
        command="change account account-7 set share = 2",
        wall_ms=0,
        writes=(write,),
    )
    return lambda: current.apply(row)


def configuration_bytes(accounts: int) -> int:
    """Return the bytes of a complete configuration as a peer sends it."""
    return len(configuration_of(accounts).model_dump_json(exclude_defaults=True))


def heartbeat_bytes(adapters: int) -> int:
    """Return the bytes of an agent's heartbeat in its packet."""
    packet = wire.new_packet()
    heartbeat = packet.init("heartbeat")
    heartbeat.sentMs = 1
    heartbeat.configurationVersion = 6_900
    load = heartbeat.init("load")
    load.weightVersion = "2026-12-04-a"
    load.adapters = [f"adapter-{number}" for number in range(adapters)]
    return len(packet.to_bytes()) + wire.HEADER_BYTES


def frames_bytes(tokens: int) -> int:
    """Return the bytes of a packet of `tokens` token frames."""
    return len(_frames(tokens)) + wire.HEADER_BYTES


def decode_frames(tokens: int) -> Action:
    """Return the decoding of a packet of `tokens` token frames."""
    payload = _frames(tokens)

    def read() -> int:
        size = 0
        with wire.decode(payload) as packet:
            for frame in packet.frames.frames:
                if frame.which() == "data" and frame.number >= 0 and frame.stream:
                    size += len(frame.data)
        return size

    return read


def seal_block(kibibytes: int) -> Action:
    """Return the sealing of a payload of `kibibytes` KiB."""
    payload = bytes(kibibytes * KIBIBYTE)
    key = ids.BlockKey("ab" * block_keys.KEY_BYTES)
    name = sealed_block.BlockName(key, key, "00").object_name()
    identity = sealed_block.BlockIdentity(key, name, _VERSION)
    return lambda: sealed_block.seal(_SECRET, identity, payload)


def admission_offer(waiting: int) -> Action:
    """Return the admission of one request behind `waiting` queued ones."""
    queue = admission.AdmissionQueue(configuration.Lateness.LOST_IS_WORSE)
    queue.set_capacity(admission.Capacity(1, 1_000_000.0))
    for number in range(waiting + 1):
        queue.offer(_admission_request(number), 0)
    queue.start_next(0)

    def offer() -> None:
        request = _admission_request(-1)
        queue.offer(request, 0)
        queue.remove_expired(0)
        queue.abandon(request)

    return offer


def _admission_request(number: int) -> admission.AdmissionRequest:
    return admission.AdmissionRequest(
        request_id=ids.RequestId(f"r-{number}"),
        account=ids.AccountName(f"account-{number % 50}"),
        share=1.0,
        max_concurrent=10_000,
        prompt_tokens=10,
        deadline_at_ms=1_000_000_000,
    )


def _account(name: ids.AccountName) -> configuration.Account:
    key = configuration.ApiKey(key_id=ids.KeyId(f"key-{name}"), digest="0" * 64)
    return configuration.Account(name=name, keys=(key,))


def _keys(blocks: int, number: int) -> tuple[ids.BlockKey, ...]:
    tokenizer = tokenizers.TOKENIZERS_BY_NAME["utf8-4"]
    size = blocks * tokenizers.BLOCK_TOKENS * 4
    prompt = number.to_bytes(8, "little") + bytes(size - 8)
    return block_keys.chain(
        _SECRET,
        ids.AccountName("account-1"),
        ids.DeploymentName("lekhak"),
        _VERSION,
        ids.AdapterName(""),
        "standard-1",
        tokenizer,
        prompt,
    )


def _frames(tokens: int) -> bytes:
    packet = wire.new_packet()
    frames = packet.init("frames").init("frames", tokens)
    for number, frame in enumerate(frames):
        frame.stream = number + 1
        frame.number = 7
        frame.data = bytes(TOKEN_EVENT_BYTES)
    encoded: bytes = packet.to_bytes()
    return encoded
