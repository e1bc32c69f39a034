"""A tenant that becomes isolated goes on sharing the KV cache that it made before.

Two gateways, three model replicas and two tenants, `radio` and `press`, neither of them
isolated.  `radio` sends streams with a guide and a story.  With the disruption, a new
configuration sets `isolated` for `radio`.  Later than `configApplyMs` after its
acknowledgement `press` sends streams with the same parts.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import engines  # noqa: E402
import stand_ins  # noqa: E402

KEY_BY_TENANT = {"radio": "nu6wsjnbanfqasnmgkcu", "press": "pk2vtrrlqzmwyeoibxaj"}
MODEL = "m0"
APPLY_S = stand_ins.BOUNDS["configApplyMs"] / 1000
MARGIN_S = 1.0
STORIES = 6


def tenants(isolated: str | None) -> list[stand_ins.Document]:
    """Return the tenants of the configuration."""
    return [
        {"name": name, "apiKeys": [key], "isolated": name == isolated}
        for name, key in KEY_BY_TENANT.items()
    ]


async def run() -> int:
    """Play the day; return 1 if `press` used what `radio` made."""
    record = stand_ins.Record(FOLDER)
    with stand_ins.running_fleet(record, 2) as fleet:
        store = stand_ins.Store()
        await store.start()
        replicas = []
        for number in range(3):
            replica = engines.Engine(store, None, record, f"i-{number}", (MODEL,))
            await replica.start()
            replicas.append(replica)
        routes = [
            stand_ins.route("r-1", "/wire/", "lekhak", "streaming", timeoutMs=5_000)
        ]
        services = [engines.engine_service((MODEL,))]

        def put(version: int, isolated: str | None) -> None:
            config = stand_ins.configuration(
                version, routes, services, tenants(isolated)
            )
            store.put("op", "config", config)

        put(1, None)
        store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        for gateway in fleet.gateways:
            fleet.start(gateway, store.port)
        await fleet.wait_ready()
        await asyncio.sleep(3)
        answers = await send_streams(fleet, record, "radio")
        await asyncio.sleep(1)
        isolated = None
        if stand_ins.is_troubled():
            isolated = "radio"
            put(2, isolated)
            record.write(f"version 2 is acknowledged: {isolated} is isolated")
        await asyncio.sleep(APPLY_S + MARGIN_S)
        answers += await send_streams(fleet, record, "press")
        shared = [
            use
            for replica in replicas
            for use in replica.uses
            if use[1] == "press" and use[4].endswith(f"of {isolated}")
        ]
        for request_id, tenant, salt, part_id, maker, source in shared:
            record.write(
                f"{request_id} of {tenant} uses part {part_id}, salt {salt}, of "
                f"{source}, which {maker} made"
            )
        served = sum(each.status == 200 for each in answers)
        record.write(f"{len(answers)} answers, {served} of them 200")
        record.write(f"parts of an isolated tenant that press used: {len(shared)}")
        if served < len(answers):
            return 2
        return 1 if shared else 0


async def send_streams(
    fleet: stand_ins.Fleet, record: stand_ins.Record, tenant: str
) -> list[stand_ins.Answer]:
    """Send streams of one tenant, one after the other, to both gateways."""
    answers = []
    for number in range(4 * STORIES):
        request_id = f"{tenant}-{number}"
        headers = {
            "Host": stand_ins.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "5000",
            "Authorization": f"Token {KEY_BY_TENANT[tenant]}",
            "Model": MODEL,
            "Token-Count": "6000,10",
            "Prompt-Prefix": f"a1:2520,b{number % STORIES}:3000,{request_id}:480",
        }
        gateway = fleet.gateways[number % len(fleet.gateways)]
        answer = await stand_ins.ask(
            gateway.ip, gateway.port, "POST", "/wire/1", headers, b"story"
        )
        record.write(f"{request_id} gets {answer.status}")
        answers.append(answer)
    return answers


stand_ins.run_case(run)
