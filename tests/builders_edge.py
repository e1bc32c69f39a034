"""A small fleet that the tests of the entry's HTTP interface share, and calls to it.

The fleet has one model engine and one plain service with their agents, store VMs and an
entry; it runs in processes on this machine.
"""

import atexit
import dataclasses
import functools
import http.client
import json
import pathlib
import re
import shutil
import socket
import tempfile
import time
import urllib.parse
import urllib.request
from collections.abc import Callable, Mapping
from typing import Any, Final

import openai
import yaml

from quincecrank import block_keys, configuration, ids, inference_request, tokenizers
from standins import answers, local_fleet, users

FIRST: Final = ids.AccountName("newsroom-1")
SECOND: Final = ids.AccountName("newsroom-2")
DISABLED: Final = ids.AccountName("newsroom-3")
OTHER: Final = ids.AccountName("reader-fleet-1")
MODEL: Final = "lekhak"
OTHERS_MODEL: Final = "lector-llm"
SERVICE: Final = "prasaran"
MAX_BODY_BYTES: Final = 256 * 1024
MAX_TOKENS: Final = 4_096
CACHE_BLOCKS: Final = 16
ENGINE_FLAGS: Final = {
    "decode_ms": 5,
    "cache_blocks": CACHE_BLOCKS,
    "prefill_tokens_per_second": 100_000,
}
READY_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.02

Headers = Mapping[str, str]


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete HTTP answer."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    def kind(self) -> str:
        """Return the problem kind of a refusal."""
        return str(self.json()["type"]).removeprefix("urn:quincecrank:problem:")


def spec() -> local_fleet.FleetSpec:
    """Return the specification of the fleet."""
    newsrooms = (FIRST, SECOND, DISABLED)
    model = users.lekhak().model_copy(
        update={"accounts": newsrooms, "max_tokens": MAX_TOKENS}
    )
    service = users.prasaran().model_copy(
        update={"accounts": newsrooms, "max_concurrent": 2}
    )
    others = users.lector().model_copy(update={"accounts": (OTHER,), "tiers": ()})
    disabled = configuration.Account(name=DISABLED, enabled=False)
    return local_fleet.FleetSpec(
        backends=(
            local_fleet.BackendSpec(model, 1, flags=ENGINE_FLAGS),
            local_fleet.BackendSpec(service, 1),
            local_fleet.BackendSpec(others, 0),
        ),
        accounts=(*users.accounts((FIRST, SECOND, OTHER)), disabled),
        tiers=users.tiers("smriti", users.SAJHA_STORES, 20_000_000),
        store_flags={name: {} for name in users.SAJHA_STORES},
        entry_options={"limits": {"max_body_bytes": MAX_BODY_BYTES}},
    )


@functools.cache
def fleet() -> local_fleet.LocalFleet:
    """Return the fleet, started by the first call and stopped with this process."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="quincecrank-edge-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    running = local_fleet.LocalFleet(spec(), folder).__enter__()
    atexit.register(running.close)
    wait_until(functools.partial(is_ready, running), READY_TIMEOUT_S)
    return running


def is_ready(running: local_fleet.LocalFleet, number: int = 0) -> bool:
    """Return whether an entry serves requests for both backend servers."""
    key = running.keys_by_account[FIRST]
    headers = {"Authorization": f"Bearer {key}"}
    url = running.entries[number].url
    prompt = completion("ready?", max_tokens=1)
    for method, path, body in (
        ("POST", "/v1/completions", prompt),
        ("GET", f"/services/{SERVICE}/filed?q=none-of-these", None),
    ):
        if call(method, path, body, headers, account=None, url=url).status != 200:
            return False
    return True


def wait_until(condition: Callable[[], bool], timeout_s: float = 15.0) -> None:
    """Wait for a condition; raises `TimeoutError` if it does not become true."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the condition did not become true")
        time.sleep(POLL_S)


def completion(prompt: str, **fields: object) -> bytes:
    """Return the body of a completion request."""
    return json.dumps({"model": MODEL, "prompt": prompt, **fields}).encode()


def key_of(account: ids.AccountName) -> str:
    """Return an account's API key."""
    return fleet().keys_by_account[account]


def authorization(account: ids.AccountName = FIRST) -> dict[str, str]:
    """Return the Authorization header of an account."""
    return {"Authorization": f"Bearer {key_of(account)}"}


def call(
    method: str,
    path: str,
    body: bytes | None = None,
    headers: Headers | None = None,
    account: ids.AccountName | None = FIRST,
    url: str = "",
) -> Answer:
    """Send one request and return the complete answer."""
    parts = urllib.parse.urlsplit(url or fleet().url)
    account_headers = {} if account is None else authorization(account)
    connection = http.client.HTTPConnection(str(parts.hostname), parts.port, timeout=30)
    try:
        connection.request(method, path, body, {**account_headers, **(headers or {})})
        response = connection.getresponse()
        return Answer(response.status, response.headers, response.read())
    finally:
        connection.close()


def connect(port: int | None = None) -> socket.socket:
    """Return a connection to the entry."""
    port = fleet().entries[0].port if port is None else port
    return socket.create_connection((local_fleet.ADDRESS, port), timeout=30)


def raw_request(
    method: str, path: str, body: bytes = b"", headers: Headers | None = None
) -> bytes:
    """Return the bytes of a request; the length is added unless `headers` sets it."""
    fields = {"Host": "entry", **authorization(), **(headers or {})}
    if "Transfer-Encoding" not in fields:
        fields.setdefault("Content-Length", str(len(body)))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def read_to_end(connection: socket.socket) -> bytes:
    """Return all that arrives until the peer closes."""
    parts = []
    try:
        while part := connection.recv(65_536):
            parts.append(part)
    except ConnectionResetError:
        pass
    return b"".join(parts)


def write_tls_settings(
    certificate: pathlib.Path, key: pathlib.Path, header_timeout_ms: int
) -> pathlib.Path:
    """Write the settings of a further entry whose two listeners use TLS."""
    folder = fleet().operator_token_file.parent
    document = yaml.safe_load((folder / "entry-1.yaml").read_text())
    tls = {"certificate_file": str(certificate), "key_file": str(key)}
    document["vm_name"] = "entry-tls"
    document["listen"]["tls"] = tls
    document["admin"]["tls"] = tls
    document["limits"]["header_timeout_ms"] = header_timeout_ms
    path = folder / "entry-tls.yaml"
    path.write_text(yaml.safe_dump(document))
    return path


def client(account: ids.AccountName = FIRST) -> openai.OpenAI:
    """Return the official client of the OpenAI API."""
    return openai.OpenAI(
        api_key=key_of(account), base_url=f"{fleet().url}/v1", max_retries=0
    )


def expected(
    prompt: str,
    max_tokens: int,
    account: ids.AccountName = FIRST,
    sampling: answers.Sampling = answers.GREEDY,
) -> str:
    """Return the answer that the model gives to a prompt."""
    salt = block_keys.cache_salt(fleet().account_secret(), account)
    return answers.expected_answer(prompt, salt, "v1", "", max_tokens, sampling)


def chat_prompt(messages: list[dict[str, str]]) -> str:
    """Return the prompt that a conversation is rendered to."""
    body = json.dumps({"model": MODEL, "messages": messages}).encode()
    return inference_request.parse_chat(body).ok.prompt.decode()


def block_prompt(blocks: int, mark: str) -> str:
    """Return a prompt of full blocks that no prompt of another mark shares."""
    size = tokenizers.BLOCK_TOKENS * answers.TOKEN_BYTES
    return (f"{mark} " * size)[: blocks * size]


def engine_keys() -> set[str]:
    """Return the keys of all blocks in the engine's cache."""
    url = fleet().replicas_by_name[f"{MODEL}-1"].backend.url
    return set(json.loads(_read(f"{url}/kv/keys"))["keys"])


def stored_bytes() -> int:
    """Return the bytes used on all store VMs."""
    used = 0
    for store in fleet().stores_by_name.values():
        stats = json.loads(_read(f"{store.url}/stats"))
        used += int(stats["memory_used"]) + int(stats["disk_used"])
    return used


def open_requests() -> int:
    """Return the number of open requests from the entry's metrics."""
    text = _read(f"{fleet().admin_url()}/metrics")
    return _gauge(text, "quince_open_requests")


def running_requests(server: str = f"{MODEL}-1") -> int:
    """Return the running and waiting requests that a server and its agent report."""
    replica = fleet().replicas_by_name[server]
    text = _read(fleet().metrics_url(server))
    running = _gauge(text, "quince_running") + _gauge(text, "quince_waiting")
    if server.startswith(MODEL):
        load = json.loads(_read(f"{replica.backend.url}/load"))
        running += load["running"] + load["waiting"]
    return running


def wait_idle() -> None:
    """Wait until no request is open at the entry, the agent or the engine."""
    wait_until(lambda: open_requests() == 0 and running_requests() == 0)


def ledger() -> list[dict[str, Any]]:
    """Return all records of the plain service."""
    url = fleet().replicas_by_name[f"{SERVICE}-1"].backend.url
    records: list[dict[str, Any]] = json.loads(_read(f"{url}/ledger"))["records"]
    return records


def set_service_faults(**switches: object) -> None:
    """Change the fault switches of the plain service."""
    service = fleet().replicas_by_name[f"{SERVICE}-1"].backend
    local_fleet.set_faults(service, **switches)


def _read(url: str) -> str:
    with urllib.request.urlopen(url, timeout=10) as response:
        text: str = response.read().decode()
    return text


def _gauge(text: str, name: str) -> int:
    found = re.search(rf"^{name} (\S+)$", text, re.MULTILINE)
    assert found is not None, name
    return int(float(found.group(1)))


_VARYING_PATTERNS: Final = (
    (r"\br-[\w-]{12}", "r-REQUEST"),
    (r'"created": ?\d+', '"created": SECONDS'),
    (r"(?m)^Date: .*$", "Date: DATE"),
    (r"(?m)^Etag: .*$", "Etag: ETAG"),
    (r"TornadoServer/[\d.]+", "TornadoServer/VERSION"),
    (r'("(?:text|content)": ?)"(?:[a-z]{3} )+"', r'\1"ANSWER"'),
)


def scrubbed(answer: Answer) -> str:
    """Return an answer as text, with values that vary between runs replaced."""
    lines = [f"{answer.status} {http.client.responses[answer.status]}"]
    lines += sorted(f"{name}: {value}" for name, value in answer.headers.items())
    text = "\n".join(lines) + "\n\n" + answer.body.decode().rstrip()
    for pattern, replacement in _VARYING_PATTERNS:
        text = re.sub(pattern, replacement, text)
    return text
