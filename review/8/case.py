"""A late answer of the store brings a server back that has left.

Three gateways serve a plain service of four replicas.  In each round one replica is
replaced: the new one starts first, the old one removes its entry, serves on for nine
seconds and ends.  With the disruption, the link from the store to the first gateway is
cut for three seconds, and heals .6 s after the removal.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import stand_ins  # noqa: E402

KEY = "nu6wsjnbanfqasnmgkcu"
ROUNDS = 6
CUT_S = 3.0
CUT_AFTER_REMOVAL_S = 0.6
SERVES_ON_S = 9.0
CONTACT_S = stand_ins.BOUNDS["contactMs"] / 1000
DRAIN_S = stand_ins.BOUNDS["drainMs"] / 1000
MARGIN_S = 0.2


class Case:
    """The clients, the replicas and what they have seen."""

    def __init__(self, record: stand_ins.Record, fleet: stand_ins.Fleet) -> None:
        self.record, self.fleet = record, fleet
        self.store = stand_ins.Store()
        self.sent_s: dict[str, float] = {}
        self.answers: dict[str, stand_ins.Answer] = {}
        self.removed_s: dict[str, float] = {}
        self.healed_s = 0.0
        self.late: list[str] = []
        self.lost: list[str] = []
        self._asks: set[asyncio.Task[None]] = set()

    async def client(self, gateway: stand_ins.Gateway, path: str) -> None:
        """Send some requests a second to one gateway."""
        number = 0
        while True:
            number += 1
            request_id = f"{gateway.name}-{path}-{number}"
            task = asyncio.ensure_future(self._ask(gateway, path, request_id))
            self._asks.add(task)
            task.add_done_callback(self._asks.discard)
            await asyncio.sleep(0.15)

    async def _ask(
        self, gateway: stand_ins.Gateway, path: str, request_id: str
    ) -> None:
        headers = {
            "Host": stand_ins.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "1500",
            "Authorization": f"Token {KEY}",
        }
        method = "POST" if path == "record" else "GET"
        self.sent_s[request_id] = self.record.now()
        answer = await stand_ins.ask(
            gateway.ip, gateway.port, method, f"/{path}/1", headers, b"release"
        )
        self.answers[request_id] = answer
        seal = "sealed" if "server-seal" in answer.headers else "no seal"
        self.record.write(f"{request_id} gets {answer.status}, {seal}")

    def judge(self, old: stand_ins.Server) -> None:
        """Note the requests that reached a replica too late after its removal."""
        removed_s = self.removed_s[old.name]
        in_touch_s = self.healed_s + CONTACT_S + MARGIN_S
        for at_s, request_id in old.arrivals:
            sent_s = self.sent_s[request_id]
            if at_s <= removed_s + DRAIN_S + MARGIN_S or sent_s <= in_touch_s:
                continue
            self.late.append(request_id)
            self.record.write(
                f"LATE {request_id}, sent at {sent_s:.3f}, reached {old.name} at "
                f"{at_s:.3f}, {at_s - removed_s:.3f} s after its removal"
            )


async def run() -> int:
    """Play the rounds; return 1 if a request reached a replica too late."""
    record = stand_ins.Record(FOLDER)
    with stand_ins.running_fleet(record, 3) as fleet:
        case = Case(record, fleet)
        await case.store.start()
        routes = [
            stand_ins.route("r-3", "/record/", "records", "non_idempotent"),
            stand_ins.route("r-4", "/look/", "records", "idempotent", maxAttempts=2),
        ]
        services = [{"name": "records", "healthPath": "/health", "maxConns": 220}]
        tenants = [{"name": "jeye930", "apiKeys": [KEY]}]
        config = stand_ins.configuration(1, routes, services, tenants)
        case.store.put("op", "config", config)
        servers = []
        for number in range(4):
            servers.append(await start_server(case, number))
        link = stand_ins.Link(case.store.port)
        await link.start()
        for gateway in fleet.gateways:
            is_first = gateway is fleet.gateways[0]
            fleet.start(gateway, link.port if is_first else case.store.port)
        await fleet.wait_ready()
        await asyncio.sleep(3)
        clients = [
            asyncio.ensure_future(case.client(gateway, path))
            for gateway in fleet.gateways
            for path in ("record", "look")
        ]
        for number in range(ROUNDS):
            servers.append(await start_server(case, 4 + number))
            await play_round(case, link, servers.pop(0))
        for client in clients:
            client.cancel()
        await asyncio.sleep(1)
        served = sum(each.status == 200 for each in case.answers.values())
        record.write(f"{len(case.answers)} answers, {served} of them 200")
        lost = [
            request_id
            for request_id, each in case.answers.items()
            if each.status not in (200, 503)
        ]
        record.write(f"ended with another status or none: {len(lost)}")
        record.write(f"late at a replica that had left: {len(case.late)}")
        if not served:
            return 2
        return 1 if case.late else 0


async def start_server(case: Case, number: int) -> stand_ins.Server:
    """Start a replica."""
    server = stand_ins.Server(
        case.store, case.record, f"i-{number}", "records", work_s=0.09
    )
    await server.start()
    case.record.write(f"{server.name} starts")
    return server


async def play_round(case: Case, link: stand_ins.Link, old: stand_ins.Server) -> None:
    """Replace one replica, which leaves while the link is cut."""
    await asyncio.sleep(1)
    if stand_ins.is_troubled():
        link.cut()
        case.record.write("the link from the store to frontend-0 is cut")
    await asyncio.sleep(CUT_S - CUT_AFTER_REMOVAL_S)
    old.leave()
    case.removed_s[old.name] = case.record.now()
    await asyncio.sleep(CUT_AFTER_REMOVAL_S)
    link.heal()
    case.healed_s = case.record.now()
    case.record.write("the link heals")
    await asyncio.sleep(SERVES_ON_S - CUT_AFTER_REMOVAL_S)
    old.end()
    case.record.write(f"{old.name} ends")
    await asyncio.sleep(0.5)
    case.judge(old)


stand_ins.run_case(run)
