"""Tests of the rules: what each command changes, and which mistakes it reports."""

import unittest

import hypothesis
from hypothesis import strategies

from quincecrank import access, command_rules, configuration, ids
from tests import builders_commands, test_command_parser


class CommandRulesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.base = builders_commands.configuration_after(
            builders_commands.EXAMPLE_CHANGE
        )

    def test_mistakes_are_reported_at_the_word_with_the_rule(self) -> None:
        cases = (
            ("create account radio-patan", "1:16: account 'radio-patan' exists"),
            ("create account a/b", "1:16: 'a/b' is not a name"),
            ("create account a share 0", "1:24: Input should be greater than 0"),
            ("create account a share 1 share 2", "1:26: field 'share' is given twice"),
            ("create account a share x", "1:24: 'x' is not a number"),
            ("change account radio-pata set share = 1", "did you mean 'radio-patan'?"),
            ("change account radio-patan set sahre = 1", "did you mean 'share'?"),
            ("change account radio-patan set share = 3", "1:16: the command changes n"),
            ("enable account radio-patan", "1:16: the command changes nothing"),
            ("revoke key k of radio-patan", "1:12: unknown key 'k'"),
            ("create key for nobody", "1:16: unknown account 'nobody'"),
            ("create deployment d kind model", "1:26: a model deployment needs a w"),
            ("create deployment d kind service version v", "1:42: a plain service has"),
            ("change deployment prasaran set max-tokens = 3", "no field 'max-tokens'"),
            ("change deployment lekhak set deadline = 5", "1:41: '5' is not a durat"),
            ("change deployment lekhak set lateness = x", "late-is-worse or lost-is-"),
            ("change deployment lekhak set deadline = (1s, 2s)", "takes one value"),
            ("roll prasaran to v2", "1:6: 'prasaran' is a service, not a model"),
            ("roll lekhak to v1", "1:6: the command changes nothing"),
            ("deny account radio-kirtipur on lekhak", "unknown allowed account"),
            ("create adapter ne-short on lekhak", "adapter 'ne-short' exists already"),
            ("remove adapter ne-shrt from lekhak", "did you mean 'ne-short'?"),
            ("create tier t link 3MB/s", "1:13: a tier needs capacity or kind"),
            ("create tier t kind disk link 3MB capacity 1B", "1:30: '3MB' is not a ra"),
            ("change tier smriti set kind = disk", "unknown field 'kind'"),
            ("change tier smriti set stores = (smriti-ka, smriti-ka)", "given twice"),
            ("attach tier smrit to lekhak", "did you mean 'smriti'?"),
            ("detach tier smriti from lekhak", "unknown attached tier 'smriti'"),
            ("attach tier smriti to lekhak; remove tier smriti", "attached to lekhak"),
            ("route FETCH /a of prasaran idempotent yes", "1:7: 'FETCH' is not one"),
            ("route GET a of prasaran idempotent yes", "1:11: 'a' is not a path"),
            ("route GET /a of lekhak idempotent yes", "is a model, not a service"),
            ("remove route POST /release of prasaran", "did you mean 'POST /releases'"),
            ("drain smriti-k", "1:7: unknown VM 'smriti-k'; did you mean 'smriti-k"),
            ("undrain smriti-ka", "1:9: unknown drain 'smriti-ka'"),
        )
        for text, expected in cases:
            with self.subTest(text):
                vms = ("smriti-ka", "smriti-kha")
                planned = builders_commands.plan(text, self.base, vms)
                assert isinstance(planned, list), planned
                self.assertEqual(len(planned), 1, planned)
                self.assertIn(expected, planned[0])

    def test_all_mistakes_of_a_change_are_reported(self) -> None:
        text = "create account a/b share x\nroll a to b\ncreate tier t kind disk"
        planned = builders_commands.plan(text, self.base)
        assert isinstance(planned, list)
        places = [finding.split(": ")[0] for finding in planned]
        self.assertEqual(
            places, ["command:1:16", "command:1:26", "command:2:6", "command:3:13"]
        )

    def test_commands_of_one_change_are_applied_together(self) -> None:
        text = """
        disable account radio-patan; change account radio-kirtipur set share = 2.5
        change deployment lekhak set weights.link = 0.5, checks-fencing = yes,
            lateness = late-is-worse
        roll lekhak to 2026-12/b@7; deny account radio-patan on lekhak
        attach tier smriti to lekhak; remove adapter ne-short from lekhak
        change tier smriti set stores = (smriti-kha), capacity = 1.5 GiB
        route post /releases of prasaran idempotent yes
        drain smriti-ka"""
        changed = builders_commands.configuration_after(text, self.base)
        lekhak = changed.deployments_by_name[ids.DeploymentName("lekhak")]
        tier = changed.tiers_by_name[ids.TierName("smriti")]
        prasaran = changed.deployments_by_name[ids.DeploymentName("prasaran")]
        patan = changed.accounts_by_name[ids.AccountName("radio-patan")]
        self.assertEqual(
            (lekhak.weights.link, lekhak.weights.first_token, lekhak.checks_fencing),
            (0.5, 1.0, True),
        )
        self.assertEqual(lekhak.lateness, configuration.Lateness.LATE_IS_WORSE)
        self.assertEqual((lekhak.accounts, lekhak.adapters), ((), ()))
        self.assertEqual(lekhak.weight_version, "2026-12/b@7")
        self.assertEqual((tier.stores, tier.capacity_bytes), (("smriti-kha",), 3 << 29))
        self.assertEqual(prasaran.routes[0].idempotent, True)
        self.assertEqual((patan.enabled, patan.share), (False, 3.0))
        self.assertEqual(set(changed.drains_by_vm), {"smriti-ka"})
        undrained = builders_commands.configuration_after("undrain smriti-ka", changed)
        self.assertFalse(undrained.drains_by_vm)

    def test_created_key_authenticates_its_account_until_revoked(self) -> None:
        text = "create account a; create key for a; create key for a"
        planned = builders_commands.plan(text, self.base)
        assert isinstance(planned, command_rules.ChangePlan)
        first, second = planned.created_keys
        changed = self.base.apply(builders_commands.row_of(planned, self.base, text))
        self.assertNotIn(first.key, str(planned.writes))
        for key in (first.key, second.key):
            account = access.AccountKeys(changed).find(key)
            self.assertEqual(account and account.name, "a")
        text = f"revoke key {first.key_id} of a"
        keys = access.AccountKeys(builders_commands.configuration_after(text, changed))
        self.assertIsNone(keys.find(first.key))
        self.assertIsNotNone(keys.find(second.key))

    def test_random_keys_differ_and_bearer_headers_are_parsed(self) -> None:
        first, second = access.new_key(), access.new_key()
        self.assertNotEqual(first.key, second.key)
        self.assertEqual(first.stored.digest, access.digest(first.key))
        cases = {
            None: None,
            "Bearer sk-1": "sk-1",
            "bearer  sk-1 ": "sk-1",
            "Basic sk-1": None,
            "Bearer ": None,
            "Bearer " + "k" * 600: None,
        }
        for header, expected in cases.items():
            with self.subTest(header):
                self.assertEqual(access.bearer_credential(header), expected)

    @hypothesis.seed(3)
    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(
        strategies.sampled_from(builders_commands.EXAMPLE_CHANGE.splitlines()),
        strategies.integers(0, 12),
        strategies.sampled_from(test_command_parser.WORDS),
    )
    def test_rules_never_raise(self, line: str, index: int, word: str) -> None:
        words = line.split(" ")
        words[index % len(words)] = word
        text = " ".join(words) + ";drain x"
        if not word.startswith("show"):
            builders_commands.plan(text, self.base)
