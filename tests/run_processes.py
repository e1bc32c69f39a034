"""Runs the test files that start fleets of real processes, a few concurrently."""

import concurrent.futures
import pathlib
import subprocess
import sys
import time
from typing import Final

MAX_CONCURRENT_FILES: Final = 3
PATTERN: Final = "process_*.py"


def run_file(name: str) -> subprocess.CompletedProcess[str]:
    """Run the tests of one file; return the finished process with its output."""
    command = [sys.executable, "-m", "tests.run", name]
    return subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )


def main() -> int:
    """Run every file; return 1 if any failed or there is none."""
    names = sorted(path.name for path in pathlib.Path("tests").glob(PATTERN))
    started = time.monotonic()
    failed = []
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FILES) as pool:
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
