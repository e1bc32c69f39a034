"""Tests that the entry serves real callers: the official OpenAI client and curl.

They guard against answers that such clients cannot read, work that continues after
its caller has disconnected, deadlines and priorities that have no effect, calls that
are repeated without being idempotent, and requests lost when an entry shuts down.
"""

import concurrent.futures
import functools
import http.client
import json
import subprocess
import unittest
from typing import Any

import openai

from quincecrank import ids
from standins import answers
from tests import builders_edge as builders

HELLO = [{"role": "user", "content": "नमस्ते, what is the lead?"}]
MANY_DIGITS = "9" * 5_000


class OfficialClientTest(unittest.TestCase):
    def test_completions_and_chats_complete_and_streamed(self) -> None:
        client = builders.client()
        complete = client.completions.create(
            model=builders.MODEL, prompt="a lead", max_tokens=8
        )
        self.assertEqual(complete.choices[0].text, builders.expected("a lead", 8))
        assert complete.usage is not None
        self.assertEqual(complete.usage.completion_tokens, 8)
        parts = client.completions.create(
            model=builders.MODEL, prompt="a lead", max_tokens=8, stream=True
        )
        texts = [part.choices[0].text for part in parts]
        self.assertEqual("".join(texts), builders.expected("a lead", 8))
        self.assertEqual(len([text for text in texts if text]), 8)

        prompt = builders.chat_prompt(HELLO)
        chat = client.chat.completions.create(
            model=builders.MODEL,
            messages=[{"role": "user", "content": HELLO[0]["content"]}],
            max_completion_tokens=8,
        )
        self.assertEqual(chat.choices[0].message.content, builders.expected(prompt, 8))
        stream = client.chat.completions.create(
            model=builders.MODEL,
            messages=[{"role": "user", "content": HELLO[0]["content"]}],
            max_tokens=8,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = list(stream)
        chat_text = "".join(
            c.choices[0].delta.content or "" for c in chunks if c.choices
        )
        self.assertEqual(chat_text, builders.expected(prompt, 8))
        assert chunks[-1].usage is not None
        self.assertEqual(chunks[-1].usage.completion_tokens, 8)
        roles = [c.choices[0].delta.role for c in chunks if c.choices]
        self.assertEqual([role for role in roles if role], ["assistant"])
        finishes = [c.choices[0].finish_reason for c in chunks if c.choices]
        self.assertEqual(finishes[-1], "length")

    def test_sampling_reaches_the_engine(self) -> None:
        client = builders.client()
        greedy = builders.expected("draw", 8)
        middle = greedy[10:13]
        sampled = answers.Sampling(0.7, 0.9, 5)
        cases: tuple[tuple[dict[str, Any], str, str], ...] = (
            ({"temperature": 0, "top_p": 1, "seed": 5}, greedy, "length"),
            ({"stop": middle}, greedy[: greedy.find(middle)], "stop"),
            ({"stop": ["!", greedy[:4]]}, "", "stop"),
            (
                {"temperature": 0.7, "top_p": 0.9, "seed": 5},
                builders.expected("draw", 8, sampling=sampled),
                "length",
            ),
        )
        for fields, text, reason in cases:
            for streamed in (False, True):
                with self.subTest(fields, streamed=streamed):
                    answer = client.completions.create(
                        model=builders.MODEL,
                        prompt="draw",
                        max_tokens=8,
                        stream=streamed,
                        **fields,
                    )
                    parts: list[Any] = list(answer) if streamed else [answer]
                    texts = [part.choices[0].text for part in parts]
                    self.assertEqual("".join(texts), text)
                    self.assertEqual(parts[-1].choices[0].finish_reason, reason)
        drawn = {
            client.completions.create(
                model=builders.MODEL, prompt="draw", max_tokens=8, temperature=1
            )
            .choices[0]
            .text
            for _ in range(3)
        }
        self.assertGreater(len(drawn), 1, "each request draws a seed of its own")

    def test_models_are_those_of_the_account(self) -> None:
        listed = [m.id for m in builders.client().models.list()]
        self.assertEqual(listed, [builders.MODEL])
        others = builders.client(builders.OTHER)
        self.assertEqual([m.id for m in others.models.list()], [builders.OTHERS_MODEL])
        shown = others.models.retrieve(builders.OTHERS_MODEL)
        self.assertEqual(shown.id, builders.OTHERS_MODEL)

    def test_refusals_raise_the_error_classes_of_the_client(self) -> None:
        wrong_key = builders.client().with_options(api_key="sk-wrong")
        client = builders.client()
        cases = (
            (openai.AuthenticationError, wrong_key, builders.MODEL, 4),
            (openai.PermissionDeniedError, builders.client(builders.DISABLED), "x", 4),
            (openai.NotFoundError, client, "no-such-model", 4),
            (openai.NotFoundError, client, builders.OTHERS_MODEL, 4),
            (openai.BadRequestError, client, builders.MODEL, 0),
        )
        for error, caller, model, max_tokens in cases:
            with self.subTest(error=error.__name__, model=model):
                with self.assertRaises(error) as raised:
                    caller.completions.create(
                        model=model, prompt="x", max_tokens=max_tokens
                    )
                document = raised.exception.response.json()
                self.assertEqual(document["ran"], "not-run")
                self.assertIn(document["title"], raised.exception.message)
        with self.assertRaises(openai.NotFoundError):
            client.models.retrieve(builders.OTHERS_MODEL)


class CurlTest(unittest.TestCase):
    def test_curl_shows_every_event_of_a_stream(self) -> None:
        body = builders.completion("curl", max_tokens=5, stream=True)
        key = builders.key_of(builders.FIRST)
        done = subprocess.run(
            [
                *("curl", "--silent", "--no-buffer", "--include"),
                *("--header", f"Authorization: Bearer {key}"),
                *("--data-binary", "@-", f"{builders.fleet().url}/v1/completions"),
            ],
            input=body,
            capture_output=True,
            timeout=30,
            check=True,
        )
        head, _, events = done.stdout.decode().partition("\r\n\r\n")
        self.assertTrue(head.startswith("HTTP/1.1 200 "), head)
        self.assertIn("Content-Type: text/event-stream", head)
        *data, last, _ = events.split("\n\n")
        self.assertEqual(last, "data: [DONE]")
        parsed = [json.loads(line.removeprefix("data: ")) for line in data]
        text = "".join(event["choices"][0]["text"] for event in parsed)
        self.assertEqual(text, builders.expected("curl", 5))

    def test_curl_gets_the_refusal_of_a_large_body(self) -> None:
        # curl waits for "100 Continue" before it sends a large body.
        done = subprocess.run(
            [
                *("curl", "--silent", "--include", "--expect100-timeout", "10"),
                *(
                    "--header",
                    f"Authorization: Bearer {builders.key_of(builders.FIRST)}",
                ),
                *("--header", "Expect: 100-continue", "--data-binary", "@-"),
                f"{builders.fleet().url}/v1/completions",
            ],
            input=b"x" * 2_000_000,
            capture_output=True,
            timeout=30,
            check=True,
        )
        self.assertTrue(done.stdout.startswith(b"HTTP/1.1 413 "), done.stdout[:80])


class DisconnectingCallersTest(unittest.TestCase):
    def test_a_disconnected_caller_frees_its_engine_slot(self) -> None:
        builders.wait_idle()
        for streamed in (True, False):
            with self.subTest(streamed=streamed):
                body = builders.completion("vanish", max_tokens=4_000, stream=streamed)
                connection = builders.connect()
                self.addCleanup(connection.close)
                request = builders.raw_request("POST", "/v1/completions", body)
                connection.sendall(request)
                if streamed:
                    self.assertIn(b"200 OK", connection.recv(4_096))
                builders.wait_until(lambda: builders.running_requests() >= 2)
                self.assertEqual(builders.open_requests(), 1)
                connection.close()
                builders.wait_idle()

    def test_a_half_closed_connection_counts_as_disconnected(self) -> None:
        body = builders.completion("half", max_tokens=4_000, stream=True)
        connection = builders.connect()
        self.addCleanup(connection.close)
        connection.sendall(builders.raw_request("POST", "/v1/completions", body))
        self.assertIn(b"200 OK", connection.recv(4_096))
        connection.shutdown(1)
        builders.wait_idle()
        connection.close()


class HeadersTest(unittest.TestCase):
    def test_a_request_ends_at_its_deadline(self) -> None:
        body = builders.completion("late", max_tokens=4_000)
        answer = builders.call(
            "POST", "/v1/completions", body, {"Request-Deadline-Ms": "300"}
        )
        self.assertEqual((answer.status, answer.kind()), (504, "deadline-exceeded"))
        self.assertEqual(answer.json()["ran"], "unknown")
        builders.wait_idle()

    def test_invalid_numbers_in_headers_are_refused_with_the_header_name(self) -> None:
        for name, values in (
            (
                "Request-Deadline-Ms",
                ("0", "-1", "soon", "3600001", "1.5", "٣", MANY_DIGITS),
            ),
            ("Request-Priority", ("-1", "10", "high")),
        ):
            for value in values:
                with self.subTest(name=name, value=value[:9]):
                    for path in ("/v1/completions", "/services/prasaran/releases"):
                        body = builders.completion("x", max_tokens=1)
                        encoded = value.encode().decode("latin-1")
                        answer = builders.call("POST", path, body, {name: encoded})
                        self.assertEqual(answer.status, 400)
                        self.assertIn(f"header: {name}", answer.json()["detail"])

    def is_running(self, requests: int) -> bool:
        return builders.running_requests("prasaran-1") >= requests

    def is_open(self, requests: int) -> bool:
        return builders.open_requests() >= requests

    def test_queued_calls_run_in_order_of_priority(self) -> None:
        self.addCleanup(builders.set_service_faults, slow_ms=0)
        builders.set_service_faults(slow_ms=2_500)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            for number, priority in enumerate(("0", "0", "1", "9")):
                pool.submit(
                    builders.call,
                    "POST",
                    "/services/prasaran/releases",
                    f"priority {priority}".encode(),
                    {"Request-Priority": priority},
                )
                opened = functools.partial(self.is_open, number + 1)
                builders.wait_until(opened)
                if number == 0:
                    # The first call occupies one of two slots; the others share one.
                    builders.wait_until(functools.partial(self.is_running, 1))
                    builders.set_service_faults(slow_ms=400)
        bodies = [record["body"] for record in builders.ledger()[-4:]]
        self.assertEqual(
            bodies, ["priority 0", "priority 9", "priority 1", "priority 0"]
        )


class PlainRoutesTest(unittest.TestCase):
    def post(
        self, key: str, body: bytes, account: ids.AccountName = builders.FIRST
    ) -> builders.Answer:
        headers = {"Idempotency-Key": key} if key else {}
        path = "/services/prasaran/releases"
        return builders.call("POST", path, body, headers, account)

    def records(self, body: str) -> int:
        return sum(record["body"] == body for record in builders.ledger())

    def test_a_key_is_replayed_and_belongs_to_one_body_and_one_account(self) -> None:
        first = self.post("k-1", b"replayed")
        again = self.post("k-1", b"replayed")
        self.assertEqual((first.status, again.status), (201, 201))
        self.assertEqual(first.body, again.body)
        self.assertIsNone(first.headers["Idempotency-Replayed"])
        self.assertEqual(again.headers["Idempotency-Replayed"], "true")
        other = self.post("k-1", b"another body")
        self.assertEqual(other.status, 422)
        self.assertEqual(other.kind(), "idempotency-key-reused")
        self.assertEqual(other.json()["ran"], "not-run")
        self.assertEqual(self.records("replayed"), 1)
        self.assertEqual(self.records("another body"), 0)
        theirs = self.post("k-1", b"replayed", builders.SECOND)
        self.assertIsNone(theirs.headers["Idempotency-Replayed"])
        self.assertEqual(self.records("replayed"), 2)

    def test_a_key_that_is_too_long_is_refused(self) -> None:
        answer = self.post("k" * 256, b"long key")
        self.assertEqual(answer.status, 400)
        self.assertIn("header: Idempotency-Key", answer.json()["detail"])

    def test_a_repeat_of_a_running_call_is_refused_as_in_progress(self) -> None:
        self.addCleanup(builders.set_service_faults, slow_ms=0)
        builders.set_service_faults(slow_ms=1_500)
        # The agent may still be running a request of the previous test.
        builders.wait_until(lambda: builders.running_requests("prasaran-1") == 0)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(self.post, "k-2", b"slow")
            builders.wait_until(lambda: builders.running_requests("prasaran-1") == 1)
            second = self.post("k-2", b"slow")
            self.assertEqual(first.result().status, 201)
        self.assertEqual((second.status, second.kind()), (409, "in-progress"))
        self.assertEqual(second.json()["ran"], "unknown")
        self.assertEqual(second.headers["Retry-After"], "1")
        self.assertEqual(self.records("slow"), 1)

    def test_a_call_that_is_not_declared_idempotent_is_sent_once(self) -> None:
        self.addCleanup(builders.set_service_faults, drop_answers=False)
        builders.set_service_faults(drop_answers=True)
        for key in ("", "k-3"):
            with self.subTest(key=key):
                body = f"dropped {key}"
                answer = self.post(key, body.encode())
                self.assertEqual(answer.status, 502)
                self.assertEqual(answer.json()["ran"], "unknown")
                self.assertEqual(self.records(body), 1)
        builders.set_service_faults(drop_answers=False)
        again = self.post("k-3", b"dropped k-3")
        self.assertEqual(again.json()["ran"], "unknown")
        self.assertEqual(self.records("dropped k-3"), 1)

    def test_large_answers_arrive_completely_and_larger_ones_are_refused(self) -> None:
        path = "/services/prasaran/filed?q=large-answer"
        mark = b"large-answer " + b"x" * 200_000
        complete, refused = 16, 90
        answers = {}
        for number in range(1, refused + 1):
            self.assertEqual(self.post("", mark).status, 201)
            if number in (complete, refused):
                answers[number] = builders.call("GET", path)
        self.assertEqual(answers[complete].status, 200)
        self.assertEqual(len(answers[complete].json()["records"]), complete)
        self.assertEqual(answers[refused].status, 502)
        self.assertEqual(answers[refused].json()["ran"], "ran")


class StopTest(unittest.TestCase):
    def test_an_entry_shutting_down_finishes_its_requests_and_refuses_new_ones(
        self,
    ) -> None:
        fleet = builders.fleet()
        entry = fleet.start_entry(1)
        builders.wait_until(functools.partial(builders.is_ready, fleet, 1))
        body = builders.completion("stop", max_tokens=200, stream=True)
        idle = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=30)
        idle.request("GET", "/v1/models", headers=builders.authorization())
        idle.getresponse().read()
        with builders.connect(entry.port) as connection:
            headers = {"Connection": "close"}
            request = builders.raw_request("POST", "/v1/completions", body, headers)
            connection.sendall(request)
            first_bytes = connection.recv(4_096)
            entry.terminate()
            builders.wait_until(lambda: "shutting down" in entry.log())
            idle.request("GET", "/v1/models", headers=builders.authorization())
            refused = idle.getresponse()
            document = json.loads(refused.read())
            received = first_bytes + builders.read_to_end(connection)
        self.assertEqual((refused.status, document["ran"]), (503, "not-run"))
        self.assertEqual(refused.headers["Retry-After"], "1")
        self.assertEqual(received.count(b'"text":'), 201)
        self.assertIn(b"data: [DONE]\n\n", received)
        self.assertEqual(entry.wait(), 0)
        idle.close()
