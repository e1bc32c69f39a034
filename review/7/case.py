"""New weights of one model make a gateway free the KV cache of another model.

All replicas have the models `m2` and `m2.5`, both at version 1.  Gateways serve
streams on `m2.5`, whose shared prompt parts a managed store keeps.  With the
disruption, the operator names new versions of `m2`; nothing of `m2.5` changes.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import engines  # noqa: E402
import stand_ins  # noqa: E402

KEY = "nu6wsjnbanfqasnmgkcu"
MODELS = ("m2", "m2.5")
REPLICAS = 24
GATEWAYS = 4
WARM_S = 15.0
BUMPS = 6
BUMP_GAP_S = 12.0
REQUESTS_PER_S = 57.3
GUIDES = 4
THINGS = 300
"""Requests of the sheet's `rulebook-digest`: two shared parts and one of their own."""


async def run() -> int:
    """Play the day; return 1 if a fetch took what was freed meanwhile."""
    record = stand_ins.Record(FOLDER)
    with stand_ins.running_fleet(record, GATEWAYS) as fleet:
        store = stand_ins.Store()
        await store.start()
        kv_store = engines.KvStore(record, "prompt-vault-b")
        await kv_store.start()
        replicas = []
        for number in range(REPLICAS):
            replica = engines.Engine(store, kv_store, record, f"i-{number}", MODELS)
            await replica.start()
            replicas.append(replica)
        routes = [
            stand_ins.route("r-1", "/wire/", "lekhak", "streaming", timeoutMs=5_000)
        ]
        services = [engines.engine_service(MODELS), kv_store.service()]
        tenants = [{"name": "jeye930", "apiKeys": [KEY]}]
        config = stand_ins.configuration(1, routes, services, tenants)
        store.put("op", "config", config)
        for model in MODELS:
            store.put("op", f"version/{model}", {"model": model, "version": 1})
        for gateway in fleet.gateways:
            fleet.start(gateway, store.port)
        await fleet.wait_ready()
        await asyncio.sleep(6)
        answers: list[stand_ins.Answer] = []
        clients = asyncio.ensure_future(send_requests(fleet, record, answers))
        await asyncio.sleep(WARM_S)
        record.write(f"the store holds {len(kv_store.parts)} parts")
        for number in range(BUMPS):
            if stand_ins.is_troubled():
                bump = {"model": "m2", "version": 2 + number}
                store.put("op", "version/m2", bump)
                record.write(f"the operator names version {bump['version']} of m2")
            await asyncio.sleep(BUMP_GAP_S)
        clients.cancel()
        await asyncio.sleep(2)
        served = sum(each.status == 200 for each in answers)
        fetches = sum(
            use[-1] == kv_store.name for each in replicas for use in each.uses
        )
        broken = [text for each in replicas for text in each.broken]
        record.write(f"{len(answers)} answers, {served} of them 200")
        record.write(f"{fetches} parts fetched, {kv_store.free_calls} calls to free")
        record.write(
            f"fetches of parts that were freed before their end: {len(broken)}"
        )
        if not served or not fetches:
            return 2
        return 1 if broken else 0


async def send_requests(
    fleet: stand_ins.Fleet,
    record: stand_ins.Record,
    answers: list[stand_ins.Answer],
) -> None:
    """Send streams on `m2.5` to both gateways."""
    generator = random.Random(7)
    sizes = [
        min(13_300, round(generator.lognormvariate(8.34, 0.6))) for _ in range(THINGS)
    ]
    asks = set()
    number = 0
    while True:
        number += 1
        thing = generator.randrange(THINGS)
        headers = {
            "Host": stand_ins.HOST,
            "Request-Id": f"q-{number}",
            "Deadline-Ms": "5000",
            "Authorization": f"Token {KEY}",
            "Model": "m2.5",
            "Token-Count": f"{4_190 + sizes[thing]},10",
            "Prompt-Prefix": (
                f"a{thing % GUIDES}:2520,b{thing}:{sizes[thing]},c{number}:1670"
            ),
        }
        gateway = fleet.gateways[number % len(fleet.gateways)]

        async def ask(to: stand_ins.Gateway, sent: dict[str, str]) -> None:
            answer = await stand_ins.ask(
                to.ip, to.port, "POST", "/wire/1", sent, b"story"
            )
            answers.append(answer)
            record.write(f"{sent['Request-Id']} gets {answer.status}")

        task = asyncio.ensure_future(ask(gateway, headers))
        asks.add(task)
        task.add_done_callback(asks.discard)
        await asyncio.sleep(generator.expovariate(REQUESTS_PER_S))


stand_ins.run_case(run)
