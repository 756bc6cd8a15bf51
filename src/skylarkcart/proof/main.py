"""``skylarkcart-proof runs|faults|model --seed N [--steps N]``.

- ``runs`` executes the randomised runs and counts violated invariants.
- ``faults`` inserts each deliberate fault and reports whether it is caught.
- ``model`` solves the small specifications, without and with faults.

The exit code is 0 if the results are as expected: no invariant violated, every fault
caught, and counterexamples to exactly the specifications with a fault.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from absl import app, flags, logging

from skylarkcart import invariants
from skylarkcart.proof import _fairness_runs, _filing_faults, _filing_runs
from skylarkcart.proof._config_registry import CONFIG_FAULTS, CONFIG_MODELS, CONFIG_RUNS
from skylarkcart.proof._limits_faults import LIMITS_FAULTS
from skylarkcart.proof._limits_model import LIMITS_MODELS
from skylarkcart.proof._limits_runs import LIMITS_RUNS
from skylarkcart.proof._registry import Fault, Model, Run
from skylarkcart.proof._search_registry import SEARCH_FAULTS, SEARCH_RUNS

RUNS: tuple[Run, ...] = (
    *LIMITS_RUNS,
    *CONFIG_RUNS,
    *SEARCH_RUNS,
    *_filing_runs.RUNS,
    *_fairness_runs.RUNS,
)
FAULTS: tuple[Fault, ...] = (
    *LIMITS_FAULTS,
    *CONFIG_FAULTS,
    *SEARCH_FAULTS,
    *_filing_faults.FAULTS,
    *_fairness_runs.FAULTS,
)
MODELS: tuple[Model, ...] = (*LIMITS_MODELS, *CONFIG_MODELS)

_SEED = flags.DEFINE_integer("seed", 1, "seed of the random number generators")
_STEPS = flags.DEFINE_integer(
    "steps",
    20,
    "simulated seconds, disturbances, or batches of events or documents of a run",
    1,
)
_NAME_FILTER = flags.DEFINE_string(
    "only", "", "execute only runs, faults and models whose name contains this text"
)


def execute_runs(seed: int, steps: int) -> bool:
    """Executes every run and returns whether no invariant was violated."""
    violations = 0
    for run in RUNS:
        if _NAME_FILTER.value not in run.name:
            continue
        started_at = time.monotonic()
        report = run.execute(seed, steps)
        violations += report.violations
        for line in report.lines:
            print(f"{run.name} seed={seed} steps={steps} {line}")
        duration_s = time.monotonic() - started_at
        print(f"{run.name} violations={report.violations} took={duration_s:.1f}s")
    return violations == 0


def check_faults(seed: int, steps: int) -> bool:
    """Inserts each fault in turn and returns whether all are caught."""
    faults = [fault for fault in FAULTS if _NAME_FILTER.value in fault.name]
    caught = 0
    for fault in faults:
        if fault.is_detected(seed, steps):
            print(f"{fault.name}: caught although the fault was not inserted")
            continue
        with fault.insert():
            is_detected = fault.is_detected(seed, steps)
        caught += is_detected
        print(f"{fault.name}: {'caught' if is_detected else 'MISSED'}")
    print(f"faults caught: {caught} of {len(faults)}")
    return caught == len(faults)


def check_models(seed: int, steps: int) -> bool:
    """Solves every model and returns whether all results are as expected."""
    models = [model for model in MODELS if _NAME_FILTER.value in model.name]
    expected = as_expected = 0
    for model in models:
        result = model.solve(None)
        holds = not result.has_counterexample
        print(f"{model.name}: {'holds' if holds else 'FAILS'} ({result.detail})")
        expected += 1 + len(model.faults)
        as_expected += holds
        for fault in model.faults:
            has_counterexample = model.solve(fault).has_counterexample
            as_expected += has_counterexample
            print(f"{model.name}, {fault}: {_describe_result(has_counterexample)}")
    print(f"model results as expected: {as_expected} of {expected}")
    return as_expected == expected


def _describe_result(has_counterexample: bool) -> str:
    return "counterexample" if has_counterexample else "NO counterexample"


_COMMANDS: dict[str, Callable[[int, int], bool]] = {
    "runs": execute_runs,
    "faults": check_faults,
    "model": check_models,
}


def main(arguments: list[str]) -> int:
    if len(arguments) != 2 or arguments[1] not in _COMMANDS:
        expected = "|".join(_COMMANDS)
        raise app.UsageError(f"got {arguments[1:]}, expected one of {expected}")
    if arguments[1] == "faults":
        logging.set_verbosity(logging.FATAL)
    invariants.set_strict(False)
    return 0 if _COMMANDS[arguments[1]](_SEED.value, _STEPS.value) else 1


def run() -> None:
    """Entry point of ``skylarkcart-proof``."""
    app.run(main)


if __name__ == "__main__":
    run()
