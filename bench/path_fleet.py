"""The fleets of the path experiments, and request bodies for entries and engines."""

import asyncio
import json
import time
from collections.abc import Mapping
from typing import Final

from bench import path_caller
from quincecrank import block_keys, configuration, engine_messages, ids, tokenizers
from standins import local_fleet

ACCOUNT: Final = ids.AccountName("bench")
MODEL: Final = ids.DeploymentName("bench-llm")
IDLE: Final = ids.DeploymentName("idle-llm")
VERSION: Final = ids.WeightVersion("v1")
MAX_BATCH: Final = 256
DECODE_MS: Final = 35
READY_TIMEOUT_S: Final = 30.0

_CACHE_BLOCKS: Final = 1024
_REQUEST_LIMIT: Final = 4096
_LINKS_PER_DEPLOYMENT: Final = 256
"""More than the peers of any experiment, so that the entry links to all of them."""

_POLL_S: Final = 0.1


def make_spec(replicas: int) -> local_fleet.FleetSpec:
    """Return a fleet of one entry and `replicas` engines with large batches.

    A second deployment, `IDLE`, has no engines; idle peers belong to it.
    """
    deployments = [
        configuration.Deployment(
            name=name,
            kind=configuration.DeploymentKind.MODEL,
            weight_version=VERSION,
            accounts=(ACCOUNT,),
            max_concurrent=MAX_BATCH,
            deadline_ms=120_000,
        )
        for name in (MODEL, IDLE)
    ]
    flags = {
        "decode_ms": DECODE_MS,
        "max_batch": MAX_BATCH,
        "cache_blocks": _CACHE_BLOCKS,
    }
    return local_fleet.FleetSpec(
        backends=(
            local_fleet.BackendSpec(deployments[0], replicas, flags=flags),
            local_fleet.BackendSpec(deployments[1], 0),
        ),
        accounts=(configuration.Account(name=ACCOUNT, max_concurrent=_REQUEST_LIMIT),),
        entry_options={
            "limits": {
                "max_open_requests": _REQUEST_LIMIT,
                "links_per_deployment": _LINKS_PER_DEPLOYMENT,
            }
        },
    )


async def wait_ready(
    fleet: local_fleet.LocalFleet, caller: path_caller.StreamCaller
) -> None:
    """Wait until the entry answers a prompt.

    Raises
    ------
    path_caller.IncompleteAnswerError
        If it does not within `READY_TIMEOUT_S`.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            await caller.stream_answer(
                fleet.url, entry_body("ready?", 1), entry_headers(fleet)
            )
            return
        except path_caller.IncompleteAnswerError:
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(_POLL_S)


def entry_headers(fleet: local_fleet.LocalFleet) -> Mapping[str, str]:
    """Return the headers that an entry requires."""
    return {"Authorization": f"Bearer {fleet.keys_by_account[ACCOUNT]}"}


def entry_body(prompt: str, max_tokens: int) -> bytes:
    """Return the body of a request to an entry."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    return json.dumps(body, ensure_ascii=False).encode()


def engine_body(prompt: str, max_tokens: int) -> bytes:
    """Return the body of a request to an engine, with keys of the prompt's blocks."""
    keys = block_keys.chain(
        b"the caller's own",
        ACCOUNT,
        MODEL,
        VERSION,
        ids.AdapterName(""),
        "bench",
        tokenizers.TOKENIZERS_BY_NAME["utf8-4"],
        prompt.encode(),
    )
    return engine_messages.EngineRequest(
        request_id=ids.RequestId(ids.random_id("direct-")),
        model=MODEL,
        prompt=prompt,
        max_tokens=max_tokens,
        weight_version=VERSION,
        block_keys=keys,
    ).to_json()
