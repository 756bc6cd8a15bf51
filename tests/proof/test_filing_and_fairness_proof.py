"""Guards against filing and fairness runs that pass whatever the code does."""

from __future__ import annotations

import pytest

from skylarkcart.proof import _fairness_runs, _filing_faults, _filing_runs

FAULTS = (*_filing_faults.FAULTS, *_fairness_runs.FAULTS)
RUNS = (*_filing_runs.RUNS, *_fairness_runs.RUNS)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_fault_is_caught_and_its_run_passes_without_it(fault):
    assert not fault.is_detected(1, 1)
    with fault.insert():
        assert fault.is_detected(1, 1)


@pytest.mark.parametrize("run", RUNS, ids=lambda run: run.name)
def test_run_breaks_no_invariant(run):
    report = run.execute(5, 10)
    assert report.violations == 0
    assert report.lines
