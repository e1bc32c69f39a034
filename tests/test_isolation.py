"""Tests that no KV cache of one client account is reused for another.

Both accounts send equal text; the usage of each answer says how many tokens were reused
or restored.
"""

import unittest
from typing import Any

from quincecrank import block_keys, ids, model_backend, tokenizers
from tests import builders_edge as builders

BLOCKS = 4
BLOCK_TOKENS = tokenizers.BLOCK_TOKENS


def ask(account: ids.AccountName, prompt: str) -> dict[str, Any]:
    """Return the usage of an answer, after checking its text."""
    body = builders.completion(prompt, max_tokens=4)
    answer = builders.call("POST", "/v1/completions", body, account=account)
    document = answer.json()
    expected = builders.expected(prompt, 4, account)
    if document["choices"][0]["text"] != expected:
        raise AssertionError("the answer is wrong")
    usage: dict[str, Any] = document["usage"]
    return usage


def cached_tokens(account: ids.AccountName, prompt: str) -> int:
    """Return how many tokens of a prompt were reused."""
    return int(ask(account, prompt)["prompt_tokens_details"]["cached_tokens"])


def restored_tokens(account: ids.AccountName, prompt: str) -> int:
    """Return how many tokens of a prompt came from store VMs."""
    return int(ask(account, prompt)["prompt_tokens_details"]["restored_tokens"])


def block_names(account: ids.AccountName, prompt: str, secret: bytes) -> set[str]:
    """Return the names of a prompt's blocks in an engine's cache."""
    keys = block_keys.chain(
        secret,
        account,
        ids.DeploymentName(builders.MODEL),
        ids.WeightVersion("v1"),
        ids.AdapterName(""),
        model_backend.ENGINE_FORMAT,
        tokenizers.TOKENIZERS_BY_NAME["utf8-4"],
        prompt.encode(),
    )
    return set(block_keys.engine_names(keys))


class IsolationTest(unittest.TestCase):
    def test_equal_text_of_another_account_reuses_nothing_in_the_engine(self) -> None:
        prompt = builders.block_prompt(BLOCKS, "engine")
        self.assertEqual(cached_tokens(builders.FIRST, prompt), 0)
        all_tokens = BLOCKS * BLOCK_TOKENS
        self.assertEqual(cached_tokens(builders.FIRST, prompt), all_tokens)
        self.assertEqual(cached_tokens(builders.SECOND, prompt), 0)
        self.assertEqual(cached_tokens(builders.SECOND, prompt), all_tokens)

    def test_block_names_differ_per_account_and_need_the_secret(self) -> None:
        prompt = builders.block_prompt(BLOCKS, "names")
        for account in (builders.FIRST, builders.SECOND):
            ask(account, prompt)
        secret = builders.fleet().account_secret()
        first = block_names(builders.FIRST, prompt, secret)
        second = block_names(builders.SECOND, prompt, secret)
        held = builders.engine_keys()
        self.assertLessEqual(first | second, held)
        self.assertTrue(first.isdisjoint(second))
        # Peers and operators' tools have other secrets only.
        for guess in (builders.fleet().fleet_secret(), b"0" * 64, secret[:-1]):
            self.assertTrue(block_names(builders.FIRST, prompt, guess).isdisjoint(held))
        salts = {
            block_keys.cache_salt(secret, account)
            for account in (builders.FIRST, builders.SECOND)
        }
        self.assertEqual(len(salts), 2)

    def test_equal_text_of_another_account_restores_nothing_from_stores(self) -> None:
        prompt = builders.block_prompt(BLOCKS, "stores")
        stored = builders.stored_bytes()

        def is_written() -> bool:
            ask(builders.FIRST, prompt)
            return builders.stored_bytes() > stored

        builders.wait_until(is_written)
        names_held = block_names(
            builders.FIRST, prompt, builders.fleet().account_secret()
        )
        numbers = iter(range(100))

        def is_evicted() -> bool:
            other = builders.block_prompt(builders.CACHE_BLOCKS, f"t{next(numbers)}")
            ask(builders.FIRST, other)
            return names_held.isdisjoint(builders.engine_keys())

        builders.wait_until(is_evicted)
        usage = ask(builders.SECOND, prompt)["prompt_tokens_details"]
        self.assertEqual((usage["cached_tokens"], usage["restored_tokens"]), (0, 0))
        builders.wait_until(is_evicted)
        builders.wait_until(lambda: restored_tokens(builders.FIRST, prompt) > 0)

    def test_expected_answers_differ_per_account(self) -> None:
        prompt = builders.block_prompt(1, "wrong")
        self.assertNotEqual(
            builders.expected(prompt, 4, builders.FIRST),
            builders.expected(prompt, 4, builders.SECOND),
        )
