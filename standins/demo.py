"""Demonstration of the complete request path: `make demo`.

Starts a fleet of separate processes on loopback, sends prompts like those of the users,
sends them again after the engines have evicted their KV cache, and sends a release
twice with one idempotency key.  Prints for each answer how many prompt tokens were
cached or restored and when the first token arrived.
"""

import contextlib
import json
import pathlib
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from typing import Any, Final

import fire

from quincecrank import block_keys, ids
from standins import answers, local_fleet, texts, users

ENGINE_FLAGS: Final = {"cache_blocks": 40, "decode_ms": 10}
LINK_BYTES_PER_SECOND: Final = 20_000_000
READY_TIMEOUT_S: Final = 30.0
SETTLE_S: Final = 1.5
MAX_TOKENS: Final = 24
GUIDE_TOKENS: Final = 16_000
MANIFEST_TOKENS: Final = 24_000


class Demo:
    """Sends requests to a running fleet and prints their outcome.

    Attributes
    ----------
    failures : int
        Number of wrong answers.
    """

    def __init__(self, fleet: local_fleet.LocalFleet) -> None:
        self._fleet = fleet
        self.failures = 0

    def wait_ready(self) -> None:
        """Wait until the first entry answers prompts for both models.

        Raises
        ------
        TimeoutError
            If a model is not ready within `READY_TIMEOUT_S`.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for account, model in (
            (users.NEWSROOMS[0], "lekhak"),
            (users.FLEETS[0], "lector-llm"),
        ):
            while self._status(account, model) != 200:
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{model} did not become ready")
                time.sleep(0.1)

    def send_prompt(
        self, title: str, account: ids.AccountName, model: str, prompt: str
    ) -> None:
        """Send a prompt, check its answer and print its figures."""
        started = time.monotonic()
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        first_ms, text, usage = self._stream(account, body, started)
        expected = answers.expected_answer(
            prompt,
            block_keys.cache_salt(self._fleet.account_secret(), account),
            "v1",
            "",
            MAX_TOKENS,
        )
        is_right = text == expected
        self.failures += not is_right
        details = usage["prompt_tokens_details"]
        cached, restored = details["cached_tokens"], details["restored_tokens"]
        print(
            f"{title:<44} {account:<14} {usage['prompt_tokens']:>6} tokens,"
            f" {cached - restored:>6} in the engine, {restored:>6} restored,"
            f" first token {first_ms:>5.0f} ms,"
            f" {'right' if is_right else 'WRONG'}: {text[:32]}..."
        )

    def send_release(self, account: ids.AccountName, key: str) -> None:
        """Send a release with an idempotency key and print the answer."""
        request = self._request(
            account, "/services/prasaran/releases", {"bulletin": "hourly"}
        )
        request.add_header("Idempotency-Key", key)
        with urllib.request.urlopen(request, timeout=30) as response:
            replayed = response.headers.get("Idempotency-Replayed", "false")
            print(
                f"release with key {key}: status {response.status},"
                f" replayed {replayed}: {response.read().decode().strip()}"
            )

    def _status(self, account: ids.AccountName, model: str) -> int:
        body = {"model": model, "prompt": "ready?", "max_tokens": 1}
        request = self._request(account, "/v1/completions", body)
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return int(response.status)
        except urllib.error.HTTPError as error:
            return error.code

    def _stream(
        self, account: ids.AccountName, body: dict[str, object], started: float
    ) -> tuple[float, str, dict[str, Any]]:
        first_ms = 0.0
        parts: list[str] = []
        usage: dict[str, Any] = {}
        request = self._request(account, "/v1/completions", body)
        with urllib.request.urlopen(request, timeout=60) as response:
            for line in response:
                if not line.startswith(b"data: ") or line == b"data: [DONE]\n":
                    continue
                event = json.loads(line.removeprefix(b"data: "))
                first_ms = first_ms or (time.monotonic() - started) * 1000
                usage = event.get("usage") or usage
                parts.extend(choice.get("text", "") for choice in event["choices"])
        return first_ms, "".join(parts), usage

    def _request(
        self, account: ids.AccountName, path: str, body: dict[str, object]
    ) -> urllib.request.Request:
        headers = {
            "Authorization": f"Bearer {self._fleet.keys_by_account[account]}",
            "Content-Type": "application/json",
        }
        data = json.dumps(body).encode()
        return urllib.request.Request(self._fleet.url + path, data, headers)


def main(stay: bool = False) -> None:
    """Run the demo; the exit code is 1 after a wrong answer.

    Parameters
    ----------
    stay : bool
        Run the fleet for other callers until interrupted, instead of the demo.
    """
    spec = users.both(
        engine_flags=ENGINE_FLAGS,
        link_bytes_per_second=LINK_BYTES_PER_SECOND,
        entry_options={},
    )
    with tempfile.TemporaryDirectory() as folder:
        with local_fleet.LocalFleet(spec, pathlib.Path(folder)) as fleet:
            demo = Demo(fleet)
            demo.wait_ready()
            if stay:
                wait_for_interrupt(fleet)
                return
            show(demo)
            print(f"wrong answers: {demo.failures}")
            if demo.failures:
                sys.exit(1)


def wait_for_interrupt(fleet: local_fleet.LocalFleet) -> None:
    """Print how to reach the fleet and wait for Ctrl-C."""
    print(f"callers:   {fleet.url}")
    print(f"operators: {fleet.admin_url()}, token file {fleet.operator_token_file}")
    for account in (users.NEWSROOMS[0], users.FLEETS[0]):
        print(f"API key of {account}: {fleet.keys_by_account[account]}")
    print("Ctrl-C ends the fleet.", flush=True)
    with contextlib.suppress(KeyboardInterrupt):
        threading.Event().wait()


def show(demo: Demo) -> None:
    """Send a guide and a manifest, evict them by other prompts, send them again."""
    guide = texts.style_guide(1, GUIDE_TOKENS)
    manifest = texts.release_manifest(1, MANIFEST_TOKENS)
    newsroom, fleet = users.NEWSROOMS[0], users.FLEETS[0]
    demo.send_prompt(
        "style guide, first time", newsroom, "lekhak", guide + texts.wire_copy(1)
    )
    demo.send_prompt(
        "style guide, other wire copy", newsroom, "lekhak", guide + texts.wire_copy(2)
    )
    demo.send_prompt(
        "same guide, another account",
        users.NEWSROOMS[1],
        "lekhak",
        guide + texts.wire_copy(2),
    )
    question = texts.device_question(1)
    demo.send_prompt("manifest, first time", fleet, "lector-llm", manifest + question)
    time.sleep(SETTLE_S)
    for seed in range(2, 14):
        other = texts.style_guide(seed, GUIDE_TOKENS) + texts.wire_copy(seed)
        demo.send_prompt(f"other style guide {seed}", newsroom, "lekhak", other)
    for seed in range(2, 14):
        other = texts.release_manifest(seed, MANIFEST_TOKENS) + question
        demo.send_prompt(f"other manifest {seed}", fleet, "lector-llm", other)
    time.sleep(SETTLE_S)
    demo.send_prompt(
        "style guide after eviction", newsroom, "lekhak", guide + texts.wire_copy(3)
    )
    demo.send_prompt(
        "manifest after eviction", fleet, "lector-llm", manifest + question
    )
    demo.send_release(newsroom, "release-0001")
    demo.send_release(newsroom, "release-0001")


if __name__ == "__main__":
    fire.Fire(main)
