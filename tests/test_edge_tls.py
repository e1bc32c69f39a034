"""Tests of TLS on both listeners of an entry.

They guard against a listener that also serves plain HTTP or accepts old protocol
versions, and against peers that never finish the handshake.
"""

import json
import pathlib
import ssl
import subprocess
import tempfile
import unittest
import urllib.request
from typing import Any, Final

from quincecrank import admin_messages
from standins import launcher, local_fleet
from tests import builders_edge as builders

HEADER_TIMEOUT_MS: Final = 1_000


def make_certificate(folder: pathlib.Path) -> tuple[pathlib.Path, pathlib.Path]:
    """Return the files of a certificate for the loopback address and of its key."""
    certificate, key = folder / "tls.crt", folder / "tls.key"
    subprocess.run(
        [
            *("openssl", "req", "-x509", "-newkey", "ec"),
            *("-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes", "-days", "2"),
            *("-subj", "/CN=entry", "-addext", "subjectAltName=IP:127.0.0.1"),
            *("-keyout", str(key), "-out", str(certificate)),
        ],
        check=True,
        capture_output=True,
    )
    key.chmod(0o600)
    return certificate, key


class TlsTest(unittest.TestCase):
    certificate: pathlib.Path
    entry: launcher.Process
    admin_port: int

    @classmethod
    def setUpClass(cls) -> None:
        folder = pathlib.Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.certificate, key = make_certificate(folder)
        path = builders.write_tls_settings(cls.certificate, key, HEADER_TIMEOUT_MS)
        processes = cls.enterClassContext(launcher.Fleet(folder / "logs"))
        cls.entry = processes.start("entry-tls", "quincecrank.entry", [str(path)])
        cls.admin_port = local_fleet.further_port(cls.entry, "admin")

    def call(self, port: int, path: str, body: bytes | None, token: str) -> Any:
        """Return the JSON answer of a call that verifies the certificate."""
        context = ssl.create_default_context(cafile=str(self.certificate))
        headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        url = f"https://127.0.0.1:{port}{path}"
        request = urllib.request.Request(url, body, headers)
        with urllib.request.urlopen(request, timeout=10, context=context) as response:
            return json.load(response)

    def test_both_listeners_serve_over_tls_only(self) -> None:
        key = builders.key_of(builders.FIRST)
        models = self.call(self.entry.port, "/v1/models", None, key)
        self.assertEqual([m["id"] for m in models["data"]], [builders.MODEL])
        body = json.dumps({"text": "show accounts"}).encode()
        token = builders.fleet().operator_token
        path = admin_messages.COMMANDS_PATH
        shown = self.call(self.admin_port, path, body, token)
        self.assertIn(builders.FIRST, str(shown["table"]["rows"]))
        plain = builders.raw_request("GET", "/healthz")
        for port in (self.entry.port, self.admin_port):
            with builders.connect(port) as connection:
                connection.sendall(plain)
                self.assertNotIn(b"HTTP/", builders.read_to_end(connection))

    def test_old_protocols_and_silent_peers_are_refused(self) -> None:
        old = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        old.check_hostname = False
        old.verify_mode = ssl.CERT_NONE
        old.set_ciphers("ALL:@SECLEVEL=0")
        with self.assertWarns(DeprecationWarning):
            old.maximum_version = ssl.TLSVersion.TLSv1_1
        with builders.connect(self.entry.port) as connection:
            with self.assertRaises((ssl.SSLError, ConnectionError)):
                old.wrap_socket(connection)
        with builders.connect(self.entry.port) as connection:
            self.assertEqual(builders.read_to_end(connection), b"")

    def test_curl_gets_a_stream_over_tls(self) -> None:
        body = builders.completion("tls", max_tokens=4, stream=True)
        key = builders.key_of(builders.FIRST)
        command = [
            *("curl", "--silent", "--no-buffer", "--cacert", str(self.certificate)),
            *("--header", f"Authorization: Bearer {key}", "--data-binary", "@-"),
            f"https://127.0.0.1:{self.entry.port}/v1/completions",
        ]

        def events() -> str:
            done = subprocess.run(command, input=body, capture_output=True, timeout=30)
            return done.stdout.decode()

        builders.wait_until(lambda: events().endswith("data: [DONE]\n\n"))
