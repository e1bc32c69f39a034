"""Tests that an entry answers malformed HTTP input clearly.

Approved records hold the exact answers.  The tests guard against changed answers,
hints that another account's model exists, and requests that stay open or connections
that become unusable after a refusal.
"""

import json
import re
import unittest
from typing import Final

import approvaltests

from quincecrank import ids
from tests import builders_edge as builders

PROMPTS: Final = "/v1/completions"
CHATS: Final = "/v1/chat/completions"
GOOD: Final = builders.completion("x", max_tokens=2)


class _Exchange:
    """One request of an approved session."""

    def __init__(
        self,
        title: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: builders.Headers | None = None,
        account: ids.AccountName | None = builders.FIRST,
    ) -> None:
        self.title = title
        self.method = method
        self.path = path
        self.body = body
        self.headers = headers
        self.account = account

    def run(self) -> str:
        """Send the request and return it and its answer, without varying values."""
        answer = builders.call(
            self.method, self.path, self.body, self.headers, self.account
        )
        sent = (self.body or b"").decode(errors="backslashreplace")
        shown = sent if len(sent) < 300 else f"({len(sent)} bytes)"
        head = f"### {self.title}\n{self.method} {self.path} {shown}".rstrip()
        return f"{head}\n\n{builders.scrubbed(answer)}\n"


def authorization_header(value: str) -> builders.Headers:
    return {"Authorization": value}


def model_body(**fields: object) -> bytes:
    return json.dumps({"model": builders.MODEL, **fields}).encode()


ANSWERS: Final = (
    _Exchange("model list", "GET", "/v1/models"),
    _Exchange("one model", "GET", "/v1/models/lekhak"),
    _Exchange("completion", "POST", PROMPTS, GOOD),
    _Exchange(
        "streamed completion",
        "POST",
        PROMPTS,
        builders.completion(
            "x", max_tokens=2, stream=True, stream_options={"include_usage": True}
        ),
    ),
    _Exchange(
        "chat",
        "POST",
        CHATS,
        model_body(messages=[{"role": "user", "content": "x"}], max_tokens=2),
    ),
    _Exchange(
        "streamed chat",
        "POST",
        CHATS,
        model_body(
            messages=[{"role": "user", "content": [{"type": "text", "text": "x"}]}],
            max_completion_tokens=2,
            stream=True,
        ),
    ),
    _Exchange("plain call", "GET", "/services/prasaran/filed?q=nothing-of-this-kind"),
    _Exchange(
        "head of a plain call", "HEAD", "/services/prasaran/filed?q=none-of-these"
    ),
    _Exchange("health", "GET", "/healthz"),
)

REFUSALS: Final = (
    _Exchange("no key", "POST", PROMPTS, GOOD, account=None),
    _Exchange(
        "unknown key", "POST", PROMPTS, GOOD, authorization_header("Bearer sk-x"), None
    ),
    _Exchange(
        "no bearer", "GET", "/v1/models", None, authorization_header("Basic eDp5"), None
    ),
    _Exchange("disabled", "POST", PROMPTS, GOOD, account=builders.DISABLED),
    _Exchange("empty body", "POST", PROMPTS, b""),
    _Exchange("broken JSON", "POST", PROMPTS, b'{"model":\n  "lekhak",, }'),
    _Exchange("not UTF-8", "POST", PROMPTS, b'{"model": "caf\xe9"}'),
    _Exchange("lone surrogate", "POST", PROMPTS, b'{"model":"a","prompt":"x\\ud800"}'),
    _Exchange("surrogate field", "POST", PROMPTS, b'{"model":"a","\\ud800":"x"}'),
    _Exchange("given twice", "POST", PROMPTS, b'{"model":"a","model":"b"}'),
    _Exchange("no object", "POST", PROMPTS, b'["lekhak"]'),
    _Exchange(
        "several mistakes",
        "POST",
        CHATS,
        model_body(
            messages=[{"role": "poet", "content": "x"}, {"role": "user"}],
            max_tokens="many",
            temperature=2.1,
            top_p=0,
            seed=-1,
            stop=["a", "b", "c", "d", "e"],
            n=2,
            best_of=3,
        ),
    ),
    _Exchange(
        "wrong types",
        "POST",
        PROMPTS,
        builders.completion(
            "x", max_tokens="4", stream="yes", temperature="0", n=True, seed=1.0
        ),
    ),
    _Exchange(
        "top_p without effect", "POST", PROMPTS, builders.completion("x", top_p=0.5)
    ),
    _Exchange(
        "options without a stream",
        "POST",
        PROMPTS,
        builders.completion("x", stream_options={"include_usage": True}),
    ),
    _Exchange(
        "unknown model", "POST", PROMPTS, model_body(prompt="x", model="nothing")
    ),
    _Exchange(
        "model of another account",
        "POST",
        PROMPTS,
        model_body(prompt="x", model=builders.OTHERS_MODEL),
    ),
    _Exchange(
        "unknown adapter", "POST", PROMPTS, model_body(prompt="x", model="lekhak:a")
    ),
    _Exchange(
        "service as model", "POST", PROMPTS, model_body(prompt="x", model="prasaran")
    ),
    _Exchange("unknown model shown", "GET", "/v1/models/nothing"),
    _Exchange("unknown service", "POST", "/services/nothing/x", b""),
    _Exchange("model as service", "POST", "/services/lekhak/x", b""),
    _Exchange("unknown path", "POST", "/v1/embeddings", b"{}"),
    _Exchange("wrong method", "GET", PROMPTS),
    _Exchange("path of the administration", "POST", "/admin/v1/commands", b"{}"),
    _Exchange("too large", "POST", PROMPTS, b" " * (builders.MAX_BODY_BYTES + 1)),
    _Exchange("bad deadline", "POST", PROMPTS, GOOD, {"Request-Deadline-Ms": "soon"}),
)


def verify(session: tuple[_Exchange, ...]) -> None:
    """Run a session and compare it with its approved record."""
    reporter = approvaltests.reporters.PythonNativeReporter()
    approvaltests.verify(
        "\n".join(exchange.run() for exchange in session),
        options=approvaltests.Options().with_reporter(reporter),
    )


class SessionTest(unittest.TestCase):
    def test_answers(self) -> None:
        verify(ANSWERS)
        builders.wait_idle()

    def test_refusals(self) -> None:
        verify(REFUSALS)
        builders.wait_idle()

    def test_a_model_of_another_account_looks_like_an_unknown_one(self) -> None:
        shown = []
        for name in (builders.OTHERS_MODEL, "no-such-model"):
            for method, path, body in (
                ("POST", PROMPTS, model_body(prompt="x", model=name)),
                ("GET", f"/v1/models/{name}", None),
                ("POST", f"/services/{name}/x", b""),
            ):
                text = builders.scrubbed(builders.call(method, path, body))
                shown.append(text.replace(name, "NAME"))
        lengths = ("Content-Length: ",)
        plain = [
            "\n".join(x for x in text.split("\n") if not x.startswith(lengths))
            for text in shown
        ]
        self.assertEqual(plain[:3], plain[3:])

    def test_internal_fields_in_a_body_are_refused(self) -> None:
        for field in ("block_keys", "cache_salt", "weight_version", "resume_after"):
            with self.subTest(field):
                body = builders.completion("x", **{field: []})
                answer = builders.call("POST", PROMPTS, body)
                self.assertEqual(answer.status, 400)
                self.assertIn(f"body: {field}", answer.json()["findings"][0])


class RawBytesTest(unittest.TestCase):
    def exchange(self, sent: bytes) -> bytes:
        """Return all that the entry answers before it closes the connection."""
        with builders.connect() as connection:
            connection.sendall(sent)
            return builders.read_to_end(connection)

    def test_malformed_requests_are_refused_and_the_connection_closed(self) -> None:
        head = builders.raw_request("POST", PROMPTS, b"", {"Content-Length": "5"})
        lengths = builders.raw_request("POST", PROMPTS, b"", {"Content-Length": "5, 6"})
        both = builders.raw_request(
            "POST",
            PROMPTS,
            b"0\r\n\r\n",
            {"Content-Length": "5", "Transfer-Encoding": "chunked"},
        )
        chunks = {"Transfer-Encoding": "chunked"}
        cases = (
            ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", b"HTTP/1.1 400 "),
            ("no colon", b"GET /v1/models HTTP/1.1\r\nHost\r\n\r\n", b"HTTP/1.1 400 "),
            ("lengths differ", lengths, b"HTTP/1.1 400 "),
            ("length and chunks", both, b"HTTP/1.1 400 "),
            ("large headers", b"GET / HTTP/1.1\r\nX: " + b"x" * 70_000, b""),
            ("negative length", head.replace(b": 5", b": -5"), b"HTTP/1.1 400 "),
            (
                "bad chunk",
                builders.raw_request("POST", PROMPTS, b"zz\r\n\r\n", chunks),
                b"HTTP/1.1 400 ",
            ),
        )
        for title, sent, expected in cases:
            with self.subTest(title):
                self.assertEqual(self.exchange(sent)[:13], expected)
        builders.wait_idle()

    def test_large_bodies_of_both_kinds_are_refused_with_a_problem(self) -> None:
        size = 8 * builders.MAX_BODY_BYTES
        closing = {"Connection": "close"}
        chunk = b"%x\r\n" % 65_536 + b" " * 65_536 + b"\r\n"
        chunked = {**closing, "Transfer-Encoding": "chunked"}
        large = str(1 << 39)
        cases = (
            ("length", builders.raw_request("POST", PROMPTS, b" " * size, closing)),
            (
                "chunks",
                builders.raw_request(
                    "POST", PROMPTS, chunk * (size // 65_536) + b"0\r\n\r\n", chunked
                ),
            ),
            (
                "length beyond all bounds",
                builders.raw_request("POST", PROMPTS, b"", {"Content-Length": large}),
            ),
            (
                "length of many digits",
                builders.raw_request(
                    "POST", PROMPTS, b"", {"Content-Length": "9" * 5_000}
                ),
            ),
            (
                "waiting for leave",
                builders.raw_request(
                    "POST",
                    PROMPTS,
                    b"",
                    {"Content-Length": str(size), "Expect": "100-continue"},
                ),
            ),
        )
        for title, sent in cases:
            with self.subTest(title):
                answer = self.exchange(sent)
                self.assertEqual(answer[:13], b"HTTP/1.1 413 ")
                head, _, body = answer.partition(b"\r\n\r\n")
                self.assertIn(b"Content-Type: application/problem+json", head)
                self.assertEqual(json.loads(body)["ran"], "not-run")
        builders.wait_idle()

    def test_a_connection_stays_usable_after_a_refusal(self) -> None:
        large = builders.raw_request(
            "POST", PROMPTS, b" " * builders.MAX_BODY_BYTES * 2
        )
        unknown = builders.raw_request("POST", "/nothing", b"{}")
        last = builders.raw_request("GET", "/v1/models", b"", {"Connection": "close"})
        answers = self.exchange(large + unknown + last)
        statuses = re.findall(rb"HTTP/1\.1 (\d+)", answers)
        self.assertEqual(statuses, [b"413", b"404", b"200"])
        builders.wait_idle()
