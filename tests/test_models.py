"""Tests of the model runner and of references from the models to the code."""

import pkgutil
import re
import unittest

from models import runs, spin

REPORT = """pan:1: {reason} (at depth 12)
State-vector 44 byte, depth reached {depth}, errors: {errors}
  {states} states, stored
"""
CODE_REFERENCES = re.compile(r"code:((?:[\s*]*[\w.]+\.\w+,?)+)")


def code_references(source: str) -> list[str]:
    """Return the dotted names that follow `code:` in the comments of a model."""
    found = CODE_REFERENCES.findall(source)
    return [name for part in found for name in re.findall(r"\w+(?:\.\w+)+", part)]


class ReportTest(unittest.TestCase):
    def test_verdict_of_each_kind_of_report(self) -> None:
        violated = REPORT.format(
            reason="assertion violated (x)", depth=20, errors=1, states=7
        )
        complete = REPORT.partition("\n")[2].format(depth=20, errors=0, states=7)
        cases = {
            complete: spin.Verdict.HOLDS,
            violated: spin.Verdict.VIOLATED,
            violated.replace("assertion violated (x)", "invalid end state"): (
                spin.Verdict.VIOLATED
            ),
            violated.replace("assertion violated (x)", "out of memory"): (
                spin.Verdict.INCOMPLETE
            ),
            complete + "Warning: Search not completed\n": spin.Verdict.INCOMPLETE,
            complete + "error: max search depth too small\n": spin.Verdict.INCOMPLETE,
            "": spin.Verdict.INCOMPLETE,
        }
        for output, expected in cases.items():
            with self.subTest(output):
                self.assertIs(spin.parse_report(output).verdict, expected)
        found = spin.parse_report(violated)
        self.assertEqual((found.states, found.depth), (7, 20))
        self.assertEqual(found.reason, "assertion violated (x)")


class ModelsTest(unittest.TestCase):
    def test_every_model_is_run_with_its_mutants(self) -> None:
        models = {path.stem for path in runs.MODEL_DIRECTORY.glob("*.pml")}
        self.assertEqual({run.model for run in runs.RUNS}, models)
        with_mutants = {run.model for run in runs.RUNS if run.runs_mutants}
        self.assertEqual(with_mutants, models)
        for run in runs.RUNS:
            self.assertGreater(len(run.mutants()), 0)
        names = [run.name for run in runs.RUNS]
        self.assertEqual(len(set(names)), len(names))

    def test_models_name_functions_that_exist(self) -> None:
        for path in sorted(runs.MODEL_DIRECTORY.glob("*.pml")):
            references = code_references(path.read_text())
            self.assertGreater(len(references), 4)
            for reference in references:
                with self.subTest(path.name, reference=reference):
                    pkgutil.resolve_name(f"quincecrank.{reference}")
