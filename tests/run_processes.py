"""Runs the tests with fleets of real processes, a few files at a time."""

import concurrent.futures
import pathlib
import subprocess
import sys
import time
from typing import Final

AT_ONCE: Final = 3
PATTERN: Final = "process_*.py"


def run_file(name: str) -> subprocess.CompletedProcess[str]:
    """Run the tests of one file and return its output."""
    command = [sys.executable, "-m", "tests.run", name]
    return subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )


def main() -> int:
    """Run every file and return the exit code."""
    names = sorted(path.name for path in pathlib.Path("tests").glob(PATTERN))
    started = time.monotonic()
    failed = []
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        for name, done in zip(names, pool.map(run_file, names), strict=True):
            print(f"{name}\n{done.stdout}", flush=True)
            if done.returncode:
                failed.append(name)
    taken_s = time.monotonic() - started
    shown = ", ".join(failed) or "none"
    print(f"{len(names)} files in {taken_s:.0f} s, failed: {shown}")
    return 1 if failed or not names else 0


if __name__ == "__main__":
    sys.exit(main())
