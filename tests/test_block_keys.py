"""Tests of block keys and of the sealed format of stored blocks.

A key that depends on too little would let a request reuse KV cache of another account,
version or prompt; a seal that accepts altered data would import wrong KV cache.
"""

import unittest

from quincecrank import block_keys, ids, sealed_block
from tests import builders_decisions as builders

ANY_KEY = ids.BlockKey("ab" * 16)


class ChainTest(unittest.TestCase):
    def test_equal_prefixes_share_keys_up_to_the_first_difference(self) -> None:
        text = builders.prompt(4)
        changed = bytearray(text)
        changed[2 * 4096] ^= 1
        first, second = builders.chain_keys(text), builders.chain_keys(bytes(changed))
        self.assertEqual(len(first), 4)
        self.assertEqual(first[:2], second[:2])
        self.assertTrue(set(first[2:]).isdisjoint(second[2:]))

    def test_every_field_changes_every_key(self) -> None:
        text = builders.prompt(3)
        plain = set(builders.chain_keys(text))
        for field in (
            "secret", "account", "deployment", "weight_version", "adapter",
            "engine_format",
        ):  # fmt: skip
            with self.subTest(field):
                other = builders.chain_keys(text, **{field: "other"})
                self.assertTrue(plain.isdisjoint(other))

    def test_fields_with_the_same_concatenation_give_different_keys(self) -> None:
        text = builders.prompt(1)
        first = builders.chain_keys(text, account="ab", deployment="c")
        second = builders.chain_keys(text, account="a", deployment="bc")
        self.assertNotEqual(first, second)

    def test_a_partial_block_has_no_key_and_an_empty_secret_is_refused(self) -> None:
        self.assertEqual(builders.chain_keys(b"x" * 4095), ())
        with self.assertRaises(block_keys.EmptySecretError):
            builders.chain_keys(b"x" * 4096, secret="")


class SealedBlockTest(unittest.TestCase):
    def setUp(self) -> None:
        name = sealed_block.BlockName(ANY_KEY, ANY_KEY, "t1").object_name()
        self.identity = sealed_block.BlockIdentity(
            ANY_KEY, name, ids.WeightVersion("w1")
        )
        self.sealed = sealed_block.seal(builders.SECRET, self.identity, b"payload" * 9)

    def opened(
        self, data: bytes, /, secret: str = builders.SECRET.decode(), **changed: str
    ) -> object:
        identity = sealed_block.BlockIdentity(
            ids.BlockKey(changed.get("key", self.identity.key)),
            ids.ObjectName(changed.get("name", self.identity.name)),
            ids.WeightVersion(changed.get("weight_version", "w1")),
        )
        result = sealed_block.open_sealed(secret.encode(), identity, data)
        return result.ok if result.is_ok() else result.error

    def test_unchanged_sealed_block_opens_to_its_payload(self) -> None:
        self.assertEqual(self.opened(self.sealed), b"payload" * 9)

    def test_truncated_sealed_block_is_refused(self) -> None:
        for length in range(len(self.sealed)):
            self.assertIsInstance(
                self.opened(self.sealed[:length]), sealed_block.SealError
            )

    def test_change_of_any_byte_is_detected(self) -> None:
        for position in range(len(self.sealed)):
            data = bytearray(self.sealed)
            data[position] ^= 0x40
            self.assertIsInstance(self.opened(bytes(data)), sealed_block.SealError)

    def test_another_identity_or_secret_is_refused(self) -> None:
        wrong = sealed_block.SealError.WRONG_IDENTITY
        for field in ("key", "name", "weight_version"):
            with self.subTest(field):
                self.assertIs(self.opened(self.sealed, **{field: "other"}), wrong)
        self.assertIs(self.opened(self.sealed, secret="other"), wrong)

    def test_object_names_are_parsed_back(self) -> None:
        name = sealed_block.BlockName(ANY_KEY, ANY_KEY, "w-1_x")
        self.assertEqual(sealed_block.BlockName.parse(name.object_name()), name)
        for text in ("", "a.b", "a..c", "a.b.c.d"):
            self.assertIsNone(sealed_block.BlockName.parse(ids.ObjectName(text)))
