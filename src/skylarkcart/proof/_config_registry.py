"""Registers the configuration runs, faults and models with ``skylarkcart-proof``."""

from __future__ import annotations

import contextlib
from collections import defaultdict
from collections.abc import Iterator
from functools import partial

from skylarkcart import invariants
from skylarkcart.proof import _config_faults, _config_model, _config_runs
from skylarkcart.proof._config_types import (
    Fault as ConfigFault,
    Model as ConfigModel,
    Run as ConfigRun,
)
from skylarkcart.proof._registry import Fault, Model, ModelResult, Run, RunReport

NO_FAULT = "correct"


def _execute_run(run: ConfigRun, seed: int, steps: int) -> RunReport:
    report = run.execute(seed)
    summary = " ".join(
        f"{name}={value:g}" for name, value in sorted(report.measurements.items())
    )
    return RunReport(
        lines=(summary, *report.violations), violations=len(report.violations)
    )


class _FaultRun:
    """Executes the fault's run while the fault is inserted, else a correct run."""

    def __init__(self, *, fault: ConfigFault, correct_run: ConfigRun) -> None:
        self._fault = fault
        self._correct_run = correct_run
        self._is_inserted = False

    @contextlib.contextmanager
    def insert(self) -> Iterator[None]:
        self._is_inserted = True
        try:
            yield
        finally:
            self._is_inserted = False

    def is_detected(self, seed: int, steps: int) -> bool:
        """Uses the fault's own seed, as other seeds may not trigger the fault."""
        case = self._fault if self._is_inserted else self._correct_run
        # The run continues after an invariant violation and reports all violations.
        invariants.set_strict(False)
        report = case.execute(self._fault.seed)
        invariants.reset_violations()
        return bool(report.violations)


def _build_fault(fault: ConfigFault) -> Fault:
    case = _FaultRun(fault=fault, correct_run=_config_runs.RUNS[0])
    return Fault(
        name=fault.name.replace("config-", "config/"),
        insert=case.insert,
        is_detected=case.is_detected,
    )


def _check_model(models: dict[str, ConfigModel], fault: str | None) -> ModelResult:
    outcome = models[fault or NO_FAULT].check()
    return ModelResult(
        has_counterexample=not outcome.holds, detail=outcome.counterexample
    )


def _build_models() -> tuple[Model, ...]:
    models_by_name: dict[str, dict[str, ConfigModel]] = defaultdict(dict)
    for model in _config_model.MODELS:
        _, name, fault = model.name.split("-", 2)
        models_by_name[name][fault] = model
    return tuple(
        Model(
            name=f"config/{name}",
            faults=tuple(fault for fault in models if fault != NO_FAULT),
            solve=partial(_check_model, models),
        )
        for name, models in models_by_name.items()
    )


CONFIG_RUNS = tuple(
    Run(name=run.name.replace("config-", "config/"), execute=partial(_execute_run, run))
    for run in _config_runs.RUNS
)
CONFIG_FAULTS = tuple(_build_fault(fault) for fault in _config_faults.FAULTS)
CONFIG_MODELS = _build_models()
