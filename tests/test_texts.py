"""Tests of the generated example prompts."""

import unittest

from standins import answers, texts


class TextsTest(unittest.TestCase):
    def test_documents_have_the_given_size_and_depend_on_the_seed(self) -> None:
        for document in (texts.style_guide, texts.release_manifest):
            for tokens in (8_000, 30_000):
                with self.subTest(document.__name__, tokens=tokens):
                    text = document(7, tokens)
                    self.assertEqual(answers.token_count(text.encode()), tokens)
                    self.assertEqual(text, document(7, tokens))
                    other = document(8, tokens)
                    self.assertNotEqual(text[:200], other[:200])

    def test_questions_depend_on_the_seed(self) -> None:
        for question in (texts.wire_copy, texts.device_question):
            with self.subTest(question.__name__):
                self.assertEqual(question(1), question(1))
                self.assertEqual(len({question(seed) for seed in range(50)}), 50)
