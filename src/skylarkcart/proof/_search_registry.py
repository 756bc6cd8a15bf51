"""Registers the search runs and deliberate faults with ``skylarkcart-proof``."""

from __future__ import annotations

from skylarkcart import invariants
from skylarkcart.proof._registry import Fault, Run, RunReport
from skylarkcart.proof._search_faults import FAULTS, ProofFault
from skylarkcart.proof._search_runs import ABLATION, RUNS, ProofRun, run_simulation

MILLISECONDS_PER_SECOND = 1000.0

# Covers the cold start of all upstreams and leaves time for the later disturbances.
MIN_DURATION_MS = 4_000.0


def _build_run(run: ProofRun) -> Run:
    def execute_run(seed: int, steps: int) -> RunReport:
        duration_ms = max(
            run.settings.duration_ms, MIN_DURATION_MS, steps * MILLISECONDS_PER_SECOND
        )
        report = run.run(seed, duration_ms=duration_ms)
        figures = " ".join(f"{key}={value}" for key, value in report.figures.items())
        return RunReport(
            lines=(figures, *report.details),
            violations=sum(report.violations.values()),
        )

    return Run(name=f"search_{run.name}", execute=execute_run)


def _build_fault(fault: ProofFault) -> Fault:
    def is_detected(seed: int, steps: int) -> bool:
        report = run_simulation(fault.name, fault.settings, seed, stops_early=True)
        invariants.reset_violations()
        return fault.is_detected(report)

    return Fault(
        name=f"search_{fault.name}", insert=fault.insert, is_detected=is_detected
    )


SEARCH_RUNS = tuple(_build_run(run) for run in RUNS)
SEARCH_ABLATION = tuple(_build_run(run) for run in ABLATION)
SEARCH_FAULTS = tuple(_build_fault(fault) for fault in FAULTS)
