"""Runs seeds by hand: ``python -m tests.soak.run --first 1 --seeds 50 --jobs 4``.

Each seed is a process of its own. Logs of seeds that broke a promise are kept in
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
_JOBS = flags.DEFINE_integer("jobs", 2, "Seeds played at the same time.", lower_bound=1)


def play(seed: int) -> SoakResult:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = asyncio.run(run_seed(seed, folder))
    if result.broken:
        kept = REPORTS / f"seed-{seed}"
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
    shutil.rmtree(folder)
    return result


def main() -> int:
    flags.FLAGS(sys.argv)
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(_JOBS.value) as pool:
        seeds = range(_FIRST.value, _FIRST.value + _SEEDS.value)
        for result in pool.map(play, seeds):
            failed += bool(result.broken)
            print(
                f"seed {result.seed}: {result.served} of {result.requests} served, "
                f"{', '.join(result.steps)}",
                flush=True,
            )
            for line in result.broken[:8]:
                print(f"  {line}", flush=True)
    print(f"{_SEEDS.value - failed} passed, {failed} failed")
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())
