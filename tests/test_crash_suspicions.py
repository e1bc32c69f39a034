"""Unit tests of crash suspicions and findings."""

import dataclasses
import unittest

from quincecrank import ids
from quincecrank.gateway import crash_findings, crash_monitor, crash_suspicions
from tests import builders_gateway as builders

BAD = builders.make_part_key("bad")
OTHER_ACCOUNT = ids.AccountName("kirtipur")


class SuspicionsCase(unittest.TestCase):
    """Base of tests with the suspicions of one gateway, all of whose servers end."""

    def setUp(self) -> None:
        self.suspicions = builders.make_suspicions()
        self.now_ms = 10_000
        self.crashes = 0

    def crash(self, *subjects: crash_suspicions.Subject, after_ms: int = 1_000) -> None:
        """Let a server crash while it begins to answer some requests."""
        self.now_ms += after_ms
        self.crashes += 1
        entry = builders.make_entry(f"i-{self.crashes}")
        for subject in subjects:
            self.suspicions.record_broken_answer(
                subject, entry, self.now_ms - 80, self.now_ms
            )
        self.suspicions.confirm_crashes(self.now_ms + 5)

    def decide(self) -> tuple[crash_findings.Finding, ...]:
        self.now_ms += crash_suspicions.DECISION_DELAY_MS
        return self.suspicions.decide(self.now_ms)

    def bad(self, number: int, *parts: str) -> crash_suspicions.Subject:
        return builders.make_subject(f"bad-{number}", *(parts or ("system", "bad")))

    def is_rejected(self, subject: crash_suspicions.Subject) -> bool:
        return self.suspicions.finding_against(subject) is not None


class AnswerAgeTest(unittest.TestCase):
    def test_a_repeated_answer_became_later_than_the_crashes_after_it(self) -> None:
        """Each way between two gateways made it younger, and cleared the suspect."""
        interval_ms, way_ms = 150, 30
        subject = builders.make_subject("a", "system", "bad")
        both = (builders.make_suspicions(), builders.make_suspicions())
        both[0].record_answer(subject, 0)
        for number, suspicions in enumerate(both):
            entry = builders.make_entry(f"i-{number}")
            suspicions.record_broken_answer(subject, entry, 200, 300)
            suspicions.confirm_crashes(300)
        for sent_ms in range(300, 300 + crash_suspicions.PUBLISH_MS, interval_ms):
            for sender, receiver in (both, both[::-1]):
                receiver.merge(
                    (
                        dataclasses.replace(each, at_ms=each.at_ms + way_ms)
                        for each in sender.to_publish(sent_ms)
                    ),
                    sent_ms + way_ms,
                )
                receiver.apply_peer_answers(
                    (
                        dataclasses.replace(each, at_ms=each.at_ms + way_ms)
                        for each in sender.answers_to_publish(sent_ms)
                    ),
                    sent_ms + way_ms,
                )
        for suspicions in both:
            self.assertFalse(suspicions.may_repeat(subject))


class PartTest(SuspicionsCase):
    def test_crashes_of_different_requests_with_one_part_add_up(self) -> None:
        for number in range(3):
            self.assertEqual(self.decide(), ())
            self.crash(self.bad(number))
        (finding,) = self.decide()
        self.assertEqual(finding.scope.key, BAD)
        self.assertTrue(self.is_rejected(self.bad(9)))
        self.assertFalse(self.is_rejected(builders.make_subject("s", "system", "x")))

    def test_a_part_that_is_answered_meanwhile_is_not_found(self) -> None:
        for number in range(6):
            self.crash(self.bad(number))
            self.suspicions.record_answer(
                builders.make_subject("sound", "system", "bad"), self.now_ms + 60
            )
            self.assertEqual(self.decide(), ())

    def test_servers_that_end_together_make_one_crash(self) -> None:
        for number in range(4):
            self.crash(self.bad(number), after_ms=20)
        self.assertEqual(self.decide(), ())

    def test_one_request_that_is_repeated_accuses_itself_only(self) -> None:
        request = self.bad(1)
        for _ in range(3):
            self.crash(request)
        (finding,) = self.decide()
        self.assertEqual(finding.scope.key, crash_findings.request_key(request.request))
        self.assertFalse(self.is_rejected(self.bad(2)))

    def test_requests_sent_after_a_crash_are_no_evidence(self) -> None:
        for number in range(3):
            self.crash(self.bad(number, "system", "document"))
            entry = builders.make_entry(f"i-{self.crashes}")
            late = builders.make_subject(f"late-{number}", "elsewhere", "first")
            self.suspicions.record_broken_answer(
                late, entry, self.now_ms + 90, self.now_ms + 91
            )
            self.suspicions.confirm_crashes(self.now_ms + 95)
        found = {each.scope.key for each in self.decide()}
        self.assertEqual(found, {builders.make_part_key("document")})

    def test_established_answers_are_no_evidence_against_parts(self) -> None:
        for number in range(4):
            self.now_ms += 1_000
            entry = builders.make_entry(f"i-{number}")
            self.suspicions.record_broken_answer(
                self.bad(number), entry, self.now_ms - 900, self.now_ms,
                is_established=True,
            )  # fmt: skip
            self.suspicions.confirm_crashes(self.now_ms)
        self.assertEqual(self.decide(), ())

    def test_of_parts_in_the_same_crashes_the_last_one_is_found(self) -> None:
        for number in range(3):
            self.crash(self.bad(number, "system", "document", "bad"))
        self.assertEqual([each.scope.key for each in self.decide()], [BAD])
        sound = builders.make_subject("s", "system", "document")
        self.assertFalse(self.is_rejected(sound))

    def test_a_part_before_the_last_is_found_if_others_crash_with_it(self) -> None:
        for number in range(3):
            self.crash(self.bad(number, "bad", f"document-{number}"))
        self.assertEqual([each.scope.key for each in self.decide()], [BAD])

    def test_a_part_that_crashes_without_the_found_one_ends_its_finding(self) -> None:
        for number in range(3):
            self.crash(self.bad(number, "bad", "document-1"))
        wrong = builders.make_part_key("document-1")
        self.assertEqual([each.scope.key for each in self.decide()], [wrong])
        self.crash(self.bad(3, "bad", "document-2"))
        self.assertEqual(self.decide(), ())
        self.crash(self.bad(4, "bad", "document-3"))
        ended, found = self.decide()
        self.assertEqual((ended.scope.key, ended.has_ended), (wrong, True))
        self.assertEqual((found.scope.key, found.has_ended), (BAD, False))

    def test_requests_beside_a_found_part_are_not_accused(self) -> None:
        beside = builders.make_subject("beside", "system", "document")
        for number in range(4):
            self.crash(self.bad(number), beside)
        self.assertEqual([each.scope.key for each in self.decide()], [BAD])
        self.assertFalse(self.is_rejected(beside))

    def test_one_account_can_not_have_the_parts_of_others_rejected(self) -> None:
        for number in range(3):
            self.crash(self.bad(number))
        self.decide()
        other = builders.make_subject("o", "system", "bad", account=OTHER_ACCOUNT)
        self.assertFalse(self.is_rejected(other))
        self.crash(other)
        self.decide()
        self.assertTrue(
            self.is_rejected(
                builders.make_subject("p", "bad", account=ids.AccountName("third"))
            )
        )

    def test_suspects_are_not_repeated(self) -> None:
        self.assertTrue(self.suspicions.may_repeat(self.bad(1)))
        self.crash(self.bad(1))
        self.assertFalse(self.suspicions.may_repeat(self.bad(2)))
        self.suspicions.record_answer(self.bad(3), self.now_ms + 60)
        self.assertTrue(self.suspicions.may_repeat(self.bad(2)))


class ExchangeTest(SuspicionsCase):
    def test_crashes_and_answers_agree_in_any_order(self) -> None:
        records = [
            crash_suspicions.CrashRecord(
                self.bad(number).request, f"i-{number}/1", number * 1_000, 80,
                self.bad(number).parts,
            )
            for number in range(3)
        ]  # fmt: skip
        answered = crash_suspicions.Answered(BAD, 1_500)
        for position in range(4):
            with self.subTest(position):
                suspicions = builders.make_suspicions()
                for number, record in enumerate(records):
                    if number == position:
                        suspicions.apply_peer_answers([answered], 3_000)
                    suspicions.merge([record], 3_000)
                if position == 3:
                    suspicions.apply_peer_answers([answered], 3_000)
                found = {each.scope.key for each in suspicions.decide(9_000)}
                self.assertNotIn(BAD, found)

    def test_an_answer_that_precedes_a_reported_crash_is_published(self) -> None:
        self.suspicions.record_answer(self.bad(1), 2_000)
        record = crash_suspicions.CrashRecord(
            self.bad(2).request, "i-2/1", 1_900, 80, self.bad(2).parts
        )
        self.suspicions.merge([record], 2_100)
        published = self.suspicions.answers_to_publish(2_200)
        self.assertIn(crash_suspicions.Answered(BAD, 2_000), published)

    def test_findings_agree_in_any_order(self) -> None:
        scope = crash_findings.Scope(BAD)
        states = [
            crash_findings.Finding(scope, 1, False, 0, 0),
            crash_findings.Finding(scope, 1, False, 1, 0),
            crash_findings.Finding(scope, 1, True, 0, 0),
            crash_findings.Finding(scope, 2, False, 0, 0),
        ]
        for order in ((0, 1, 2, 3), (3, 2, 1, 0), (2, 0, 3, 1)):
            findings = crash_findings.Findings()
            for number in order:
                findings.apply(states[number], 0)
            self.assertEqual(findings.states(0), (states[3],))

    def test_all_findings_are_published_in_turn(self) -> None:
        findings = crash_findings.Findings()
        keys = {builders.make_part_key(str(number)) for number in range(70)}
        for key in keys:
            findings.add(crash_findings.Scope(key), (), 0)
        published = {
            each.scope.key for _ in range(3) for each in findings.to_publish(0)
        }
        self.assertEqual(published, keys)

    def test_a_finding_that_has_ended_needs_new_crashes(self) -> None:
        for number in range(3):
            self.crash(self.bad(number))
        (finding,) = self.decide()
        ended = dataclasses.replace(finding, has_ended=True)
        self.suspicions.apply_finding(ended, self.now_ms)
        self.crash(self.bad(7))
        self.assertEqual(self.decide(), ())

    def test_an_old_answer_that_a_peer_published_ended_a_finding(self) -> None:
        """Answers are also published to show that a suspect was ever answered."""
        answered = crash_suspicions.Answered(BAD, self.now_ms - 5_000)
        first = crash_suspicions.Answered(
            builders.make_part_key("system"), answered.at_ms
        )
        self.suspicions.apply_peer_answers([first, answered], self.now_ms)
        for number in range(5):
            self.crash(self.bad(number))
        found = {each.scope.key for each in self.decide()}
        self.assertIn(BAD, found)
        self.suspicions.apply_peer_answers([answered], self.now_ms)
        self.assertTrue(self.is_rejected(self.bad(9)))
        newer = crash_suspicions.Answered(BAD, self.now_ms + 1)
        self.now_ms += 10
        self.suspicions.apply_peer_answers([newer], self.now_ms)
        self.assertFalse(self.is_rejected(self.bad(9)))
        (ended,) = self.decide()
        self.assertTrue(ended.has_ended)

    def test_a_retest_is_due_after_a_time_and_only_twice(self) -> None:
        findings = crash_findings.Findings()
        finding = findings.add(crash_findings.Scope(BAD), (), 0)
        first_ms, second_ms = crash_findings.RETEST_DELAYS_MS
        self.assertFalse(findings.is_retest_due(finding, first_ms - 1))
        self.assertTrue(findings.is_retest_due(finding, first_ms))
        once = dataclasses.replace(finding, retests=1, age_ms=0)
        findings.apply(once, first_ms)
        self.assertFalse(findings.is_retest_due(once, first_ms + second_ms - 1))
        self.assertTrue(findings.is_retest_due(once, first_ms + second_ms))
        twice = dataclasses.replace(finding, retests=2, age_ms=0)
        findings.apply(twice, first_ms + second_ms)
        self.assertFalse(findings.is_retest_due(twice, 10**9))

    def test_a_row_is_decoded_unchanged(self) -> None:
        finding = crash_findings.Finding(
            crash_findings.Scope(BAD, builders.ACCOUNT), 3, True, 1, 0, ("i-1/1",)
        )
        row = crash_monitor.encode_row(finding)
        self.assertEqual(crash_monitor.decode_row(row), finding)

    def test_invalid_rows_are_rejected(self) -> None:
        for text in ("", "[]", "{}", '{"suspect": "x"}', "null"):
            with self.subTest(text), self.assertRaises(crash_monitor.RowError):
                crash_monitor.decode_row(text)
