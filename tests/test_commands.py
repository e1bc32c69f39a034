"""Tests of the executor of commands and of the administration API's HTTP handlers.

They guard against a change that overwrites another operator's change, that is
committed in part, or that is reported as not run although it may have been committed.
"""

import json
import pathlib
import tempfile
import unittest
from unittest import mock

import structlog
from tornado import httpclient, log, testing, web

from quincecrank import (
    access,
    admin_api,
    admin_messages,
    command_problems,
    commands,
    configuration,
    ids,
    problems,
    settings,
)
from tests import builders_commands, fakes

TOKEN = "token-of-asha-0123456789"


class ExecuteTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.enterContext(structlog.testing.capture_logs())
        self.table = fakes.FakeTable()
        self.services = builders_commands.services(self.table)

    async def execute(
        self, text: str, decided_on: int | None, services: commands.CommandServices
    ) -> commands.Outcome:
        version = None if decided_on is None else ids.ConfigurationVersion(decided_on)
        return await commands.execute(text, version, "asha", services)

    async def problem(self, text: str, decided_on: int | None) -> problems.Problem:
        outcome = await self.execute(text, decided_on, self.services)
        self.assertTrue(outcome.is_error(), outcome)
        return outcome.error

    async def rows(self) -> tuple[configuration.ConfigurationRow, ...]:
        return await self.services.store.catch_up(configuration.Configuration())

    async def test_change_is_committed_as_one_row_and_in_force_at_once(self) -> None:
        outcome = await self.execute(builders_commands.EXAMPLE_CHANGE, 0, self.services)
        self.assertEqual(outcome.ok.version, 1)
        self.assertIn(("tier", "smriti", "created"), outcome.ok.table.rows)
        (row,) = await self.rows()
        self.assertEqual((row.operator, row.wall_ms), ("asha", 1_700_000_000_000))
        shown = await self.execute("show tiers", None, self.services)
        self.assertEqual((shown.ok.version, len(shown.ok.table.rows)), (1, 1))

    async def test_stale_change_is_rejected_with_the_changes_in_between(self) -> None:
        other = builders_commands.services(self.table)
        await self.execute("create account a", 0, other)
        for case in ("the entry is behind the store", "the entry is up to date"):
            with self.subTest(case):
                problem = await self.problem("create account b", 0)
                assert isinstance(problem, command_problems.StaleVersion)
                self.assertEqual(problem.ran, problems.Ran.NOT_RUN)
                changes = json.loads(problem.to_json("req-1"))["changes"]
                self.assertEqual(changes[0]["command"], "create account a")
                self.assertEqual(changes[0]["operator"], "asha")
        self.assertEqual(len(await self.rows()), 1)
        self.assertEqual(self.services.current.in_force.version, 1)

    async def test_outdated_entry_reads_missing_rows_before_it_plans(self) -> None:
        other = builders_commands.services(self.table)
        await self.execute("create account a", 0, other)
        outcome = await self.execute("disable account a", 1, self.services)
        self.assertEqual(outcome.ok.version, 2)

    async def test_invalid_texts_and_versions_are_rejected_unwritten(self) -> None:
        cases = (
            ("drain vm-1", None, "a change must name the version"),
            ("drain vm-1", 5, "version 5 is not known; newest: 0"),
            ("at version 1: drain vm-1", 0, "the text names version 1, the request 0"),
            ("drain", 0, "the text has 1 mistake; nothing was changed"),
            ("roll a to b; undrain c", 0, "the text has 2 mistakes"),
            ("show acounts", 0, "the text has 1 mistake"),
        )
        for text, version, expected in cases:
            with self.subTest(text):
                problem = await self.problem(text, version)
                self.assertEqual(problem.status, 400)
                self.assertIn(expected, problem.detail)
        self.assertFalse(await self.rows())

    async def test_change_larger_than_a_row_is_rejected(self) -> None:
        comment = "\u0950" * 65_000
        with mock.patch.object(commands, "MAX_ROW_BYTES", 150_000):
            problem = await self.problem(f"drain vm-1 # {comment}", 0)
        self.assertEqual((problem.status, problem.ran), (413, problems.Ran.NOT_RUN))
        self.assertFalse(await self.rows())

    async def test_table_outage_reports_whether_the_change_may_have_run(self) -> None:
        text = "create account a; create key for a"
        self.table.down = True
        problem = await self.problem(text, 0)
        self.assertEqual((problem.status, problem.ran), (503, problems.Ran.NOT_RUN))
        self.assertGreater(problem.retry_after_ms, 0)
        self.table.down = False
        self.assertFalse(await self.rows())
        self.table.lose_next_answers = 1
        self.table.reads_down = True
        problem = await self.problem(text, 0)
        self.assertEqual(problem.ran, problems.Ran.UNKNOWN)
        self.assertRegex(problem.detail, "revoke key-[0-9]+, which were not shown")
        self.assertEqual(self.services.current.in_force.version, 0)
        self.table.reads_down = False
        problem = await self.problem(text, 0)
        self.assertEqual(problem.kind, problems.ProblemKind.STALE_VERSION)

    async def test_commit_whose_answer_was_lost_is_confirmed_and_shows_the_key(
        self,
    ) -> None:
        self.table.lose_next_answers = 1
        text = "create account a; create key for a"
        outcome = await self.execute(text, 0, self.services)
        self.assertEqual(len(outcome.ok.created_keys), 1)

    async def test_unavailable_fleet_view_fails_only_queries_of_its_tables(
        self,
    ) -> None:
        assert isinstance(self.services.fleet, builders_commands.FakeFleet)
        self.services.fleet.down = True
        self.assertEqual((await self.problem("show vms", None)).status, 503)
        outcome = await self.execute("drain vm-1", 0, self.services)
        self.assertTrue(outcome.is_ok())


class AdminApiTest(testing.AsyncHTTPTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.enterContext(structlog.testing.capture_logs())
        self.enterContext(mock.patch.object(log.access_log, "disabled", True))

    def get_app(self) -> web.Application:
        with tempfile.TemporaryDirectory() as directory:
            token_file = pathlib.Path(directory) / "token"
            token_file.write_text(TOKEN + "\n")
            operator = settings.Operator.model_construct(
                name="asha", token_file=token_file
            )
            tokens = access.OperatorTokens((operator,))
        services = builders_commands.services(fakes.FakeTable())
        return admin_api.application(services, tokens)

    def post(self, body: str, token: str = TOKEN) -> httpclient.HTTPResponse:
        return self.fetch(
            admin_messages.COMMANDS_PATH,
            method="POST",
            body=body,
            headers={"Authorization": f"Bearer {token}"},
        )

    def test_answer_to_a_change_contains_its_key_and_is_not_cached(self) -> None:
        body = {"text": "create account a; create key for a", "version": 0}
        response = self.post(json.dumps(body))
        answer = admin_messages.CommandAnswer.model_validate_json(response.body)
        self.assertEqual(answer.version, 1)
        self.assertTrue(answer.created_keys[0].key.startswith(access.KEY_PREFIX))
        self.assertEqual(response.headers["Cache-Control"], "no-store")

    def test_invalid_requests_get_problem_documents_with_their_status(self) -> None:
        large = json.dumps({"text": " " * admin_messages.MAX_BODY_BYTES})
        cases = (
            ("{", TOKEN, 400, "bad-request"),
            ("[]", TOKEN, 400, "bad-request"),
            ('{"text": "show vms", "extra": 1}', TOKEN, 400, "bad-request"),
            ('{"text": "drain a", "version": "0"}', TOKEN, 400, "bad-request"),
            ('{"text": "\\ud800"}', TOKEN, 400, "bad-request"),
            ('{"text": "show vms"}', "token-of-someone-else", 401, "unauthenticated"),
            (large, TOKEN, 413, "too-large"),
            (large, "wrong", 401, "unauthenticated"),
        )
        for body, token, status, kind in cases:
            with self.subTest(body[:40], token=token):
                response = self.post(body, token)
                self.assertEqual(response.code, status)
                document = json.loads(response.body)
                self.assertEqual(document["type"], f"urn:quincecrank:problem:{kind}")
                self.assertEqual(document["ran"], "not-run")

    def test_unknown_paths_and_methods_get_problem_documents(self) -> None:
        headers = {"Authorization": f"Bearer {TOKEN}"}
        for path, status in (("/", 404), (admin_messages.COMMANDS_PATH, 405)):
            response = self.fetch(path, headers=headers)
            self.assertEqual(response.code, status)
            self.assertEqual(json.loads(response.body)["status"], status)
