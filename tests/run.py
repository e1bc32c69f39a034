"""Runs every test and closes with a line that counts them."""

import sys
import unittest


def main() -> int:
    """Run the tests found below `tests` and return the exit code."""
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
