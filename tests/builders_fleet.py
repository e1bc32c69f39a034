"""Builders of small fleets of real processes that record the work they receive."""

import json
import pathlib
import random
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, TypeVar

from quincecrank import configuration, ids
from standins import launcher, local_fleet
from tests import history_checkers

ROOM: Final = ids.AccountName("room")
RIVAL: Final = ids.AccountName("rival")
ACCOUNTS: Final = (ROOM, RIVAL)
MODEL: Final = ids.DeploymentName("desk")
SERVICE: Final = ids.DeploymentName("air")
STORE: Final = ids.VmName("shelf-1")
V1: Final = ids.WeightVersion("v1")
V2: Final = ids.WeightVersion("v2")

HEARTBEAT: Final = {"interval_ms": 200, "silence_ms": 1_000}
FREEZE_S: Final = 2.5
"""Longer than `silence_ms`, after which a peer counts as unreachable."""

BLOCK_CHARACTERS: Final = 4_096
MAX_TOKENS: Final = 24
CALL_TIMEOUT_S: Final = 60.0
READY_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.05
_WRAPPED_MODULES: Final = frozenset(
    {
        "quincecrank.agent",
        "quincecrank.entry",
        "standins.engine",
        "standins.plain_service",
    }
)

Result = TypeVar("Result")


def engine_flags(**changed: object) -> dict[str, object]:
    """Return the flags of a fast engine."""
    return {
        "prefill_tokens_per_second": 100_000,
        "decode_ms": 10,
        "cache_blocks": 32,
        "payload_bytes": 4_096,
        **changed,
    }


def fleet_spec(
    *,
    engines: int = 0,
    services: int = 0,
    stores: int = 0,
    entries: int = 2,
    flags: Mapping[str, object] | None = None,
    deadline_ms: int = 20_000,
    weights: configuration.PolicyWeights | None = None,
) -> local_fleet.FleetSpec:
    """Return a small fleet for two client accounts.

    Parameters
    ----------
    engines, services, stores, entries : int
        Number of processes; the fleet has no deployment or tier of a kind with 0.
    flags : mapping
        Flags of the engines that replace those of `engine_flags`.
    """
    tier = configuration.Tier(
        name=ids.TierName("shelf-memory"),
        kind=configuration.TierKind.MEMORY,
        link_bytes_per_second=50_000_000,
        capacity_bytes=64 << 20,
        stores=(STORE,),
    )
    backends = []
    if engines:
        model = configuration.Deployment(
            name=MODEL,
            kind=configuration.DeploymentKind.MODEL,
            weight_version=V1,
            accounts=ACCOUNTS,
            deadline_ms=deadline_ms,
            weights=weights or configuration.PolicyWeights(),
            tiers=(tier.name,) if stores else (),
        )
        all_flags = engine_flags(**(flags or {}))
        backends.append(local_fleet.BackendSpec(model, engines, flags=all_flags))
    if services:
        route = configuration.Route(method="GET", path="/filed", idempotent=True)
        service = configuration.Deployment(
            name=SERVICE,
            kind=configuration.DeploymentKind.SERVICE,
            accounts=ACCOUNTS,
            deadline_ms=deadline_ms,
            routes=(route,),
        )
        backends.append(local_fleet.BackendSpec(service, services))
    return local_fleet.FleetSpec(
        backends=tuple(backends),
        accounts=tuple(configuration.Account(name=name) for name in ACCOUNTS),
        tiers=(tier,) if stores else (),
        store_flags={STORE: {}} if stores else {},
        entries=entries,
        entry_options={"heartbeat": HEARTBEAT},
        agent_options={"heartbeat": HEARTBEAT},
    )


class _ObservedLauncher(launcher.Fleet):
    """Starts the programs in `_WRAPPED_MODULES` by way of `tests.wrapped_program`.

    That records the work of backend servers and can apply a mutation.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder / "logs")
        self.record_path = folder / "arrivals.jsonl"
        self.record_path.touch()

    def launch(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
    ) -> launcher.Process:
        """Start a program, by way of the wrapper if it is listed, without waiting."""
        if module not in _WRAPPED_MODULES:
            return super().launch(name, module, arguments, environment)
        added = {
            **(environment or {}),
            "WRAPPED_MODULE": module,
            "WRAPPED_NAME": name,
            "WRAPPED_RECORD": str(self.record_path),
        }
        return super().launch(name, "tests.wrapped_program", arguments, added)


class ObservedFleet(local_fleet.LocalFleet):
    """A fleet whose backend servers record each arrival of work."""

    def __init__(self, spec: local_fleet.FleetSpec, folder: pathlib.Path) -> None:
        super().__init__(spec, folder)
        self._observed = _ObservedLauncher(folder)
        self._fleet = self._observed

    def plain_service_records(self) -> list[history_checkers.Effect]:
        """Return the calls that plain services recorded, before restarts too."""
        return [
            history_checkers.Effect(
                server=each["server"],
                wall_ms=each["wall_ms"],
                account=each["account"],
                key=each["key"],
                body=each["body"],
                request_id=each["request_id"],
            )
            for each in self._recorded_events()
            if each["kind"] == "call"
        ]

    def arrivals(self) -> list[history_checkers.Arrival]:
        """Return each arrival of work at a backend server, with its time."""
        return [
            history_checkers.Arrival(each["server"], each["wall_ms"])
            for each in self._recorded_events()
        ]

    def _recorded_events(self) -> Iterator[dict[str, Any]]:
        for line in self._observed.record_path.read_text().splitlines():
            yield json.loads(line)


def prompt(seed: str, blocks: int = 0) -> str:
    """Return a prompt of `blocks` complete blocks and a short rest."""
    generator = random.Random(seed)
    body = "".join(
        f"{generator.getrandbits(60):015x} "
        for _ in range(blocks * BLOCK_CHARACTERS // 16)
    )
    return f"{body}question {seed}"
