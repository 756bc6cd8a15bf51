"""Runs seeds from the command line.

Usage: ``python -m tests.soak.run --first 1 --seeds 50 --jobs 4``.

Each seed runs in a worker process. Logs of seeds with violations are kept in
``reports/soak``.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import pathlib
import shutil
import sys
import tempfile

from absl import flags

from tests.soak.faults import SoakResult, run_seed

REPORTS = pathlib.Path(__file__).parents[2] / "reports" / "soak"

_FIRST = flags.DEFINE_integer("first", 1, "First seed.")
_SEEDS = flags.DEFINE_integer("seeds", 10, "Number of seeds.", lower_bound=1)
_JOBS = flags.DEFINE_integer(
    "jobs", 2, "Number of seeds to run in parallel.", lower_bound=1
)


def run_seed_and_keep_logs(seed: int) -> SoakResult:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = asyncio.run(run_seed(seed, folder))
    if result.violations:
        log_folder = REPORTS / f"seed-{seed}"
        shutil.rmtree(log_folder, ignore_errors=True)
        shutil.copytree(folder, log_folder)
    shutil.rmtree(folder)
    return result


def main() -> int:
    flags.FLAGS(sys.argv)
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(_JOBS.value) as pool:
        seeds = range(_FIRST.value, _FIRST.value + _SEEDS.value)
        for result in pool.map(run_seed_and_keep_logs, seeds):
            failed += bool(result.violations)
            print(
                f"seed {result.seed}: {result.served} of {result.requests} served, "
                f"{', '.join(result.steps)}",
                flush=True,
            )
            for line in result.violations[:8]:
                print(f"  {line}", flush=True)
    print(f"{_SEEDS.value - failed} passed, {failed} failed")
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())
