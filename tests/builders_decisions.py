"""Builders of test data for the routing, directory and admission decisions."""

from quincecrank import (
    block_keys,
    chain_view,
    configuration,
    crash_counts,
    directory,
    ids,
    routing,
    tokenizers,
)

SECRET = b"a secret for tests"
TOKENIZER = tokenizers.Utf8GroupTokenizer()
BLOCK_BYTES = 64 * 1024
ADA = ids.BackendServerName("ada")
BELA = ids.BackendServerName("bela")
STORE = ids.VmName("smriti-ka")
MEMORY = ids.TierName("memory")


def prompt(block_count: int, seed: int = 0) -> bytes:
    """Return a prompt of `block_count` complete blocks and a few tokens more."""
    line = f"style guide {seed:>6}, all newsrooms. ".encode()
    size = block_count * tokenizers.BLOCK_TOKENS * 4 + 40
    return (line * (size // len(line) + 1))[:size]


def chain_keys(text: bytes, **changed: str) -> tuple[ids.BlockKey, ...]:
    """Return the block keys of `text`; `changed` replaces fields of the keys."""
    return block_keys.chain(
        changed.get("secret", SECRET.decode()).encode(),
        ids.AccountName(changed.get("account", "radio-himal")),
        ids.DeploymentName(changed.get("deployment", "lekhak")),
        ids.WeightVersion(changed.get("weight_version", "w1")),
        ids.AdapterName(changed.get("adapter", "")),
        changed.get("engine_format", "f1"),
        TOKENIZER,
        text,
    )


def engine(
    server: ids.BackendServerName = ADA, incarnation: str = "i1"
) -> directory.EngineHolder:
    """Return an engine as holder of blocks."""
    return directory.EngineHolder(server, ids.Incarnation(incarnation))


def store(incarnation: str = "s1", write_id: str = "t1") -> directory.StoreHolder:
    """Return a store VM as holder of blocks."""
    return directory.StoreHolder(STORE, ids.Incarnation(incarnation), MEMORY, write_id)


def announcement(
    keys: tuple[ids.BlockKey, ...], holder: directory.Holder
) -> directory.Announcement:
    """Return an announcement of the chain `keys`."""
    return directory.Announcement(keys[0], keys, holder)


def fingerprint() -> crash_counts.CrashKey:
    """Return the crash key of a request of one newsroom."""
    return crash_counts.CrashKey(ids.AccountName("radio-himal"), b"digest")


def replica(
    server: ids.BackendServerName = ADA,
    queued_tokens: float = 0,
    running: int = 0,
    correction: float = 1.0,
) -> routing.ReplicaState:
    """Return a replica that computes 20 tokens a millisecond."""
    return routing.ReplicaState(
        server, running, 0, 16, queued_tokens, 20_000, 1000, correction
    )


def link(
    bytes_per_second: float, store_vm: ids.VmName = STORE, waiting_bytes: float = 0
) -> routing.LinkState:
    """Return the link of the memory tier of a store VM."""
    return routing.LinkState(store_vm, MEMORY, bytes_per_second, waiting_bytes)


def stored(index: int, store_vm: ids.VmName = STORE) -> chain_view.StoredBlock:
    """Return a copy of block `index` in a store VM."""
    return chain_view.StoredBlock(index, store_vm, ids.ObjectName(f"o{index}"), MEMORY)


def request(
    block_count: int = 10,
    first_token: float = 1.0,
    recomputed: float = 0.0,
    link_weight: float = 0.0,
) -> routing.RoutingRequest:
    """Return a routing request with a prompt of `block_count` complete blocks."""
    return routing.RoutingRequest(
        ids.RequestId("r1"),
        ids.DeploymentName("lekhak"),
        configuration.PolicyWeights(
            first_token=first_token, recomputed=recomputed, link=link_weight
        ),
        block_count * tokenizers.BLOCK_TOKENS,
        BLOCK_BYTES,
        ids.BlockKey("00" * 16),
    )
