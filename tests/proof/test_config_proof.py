"""Tests that the configuration proofs pass, and fail with each injected fault."""

from __future__ import annotations

import pytest

from skylarkcart import invariants
from skylarkcart.proof._config_faults import FAULTS
from skylarkcart.proof._config_model import MODELS
from skylarkcart.proof._config_runs import RUNS


@pytest.mark.parametrize("run", RUNS, ids=lambda run: run.name)
def test_run_finds_no_violation_and_repeats_with_its_seed(run):
    report = run.execute(3)
    assert report.violations == ()
    assert report.measurements["restarts_served"] > 0
    assert report == run.execute(3)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_deliberate_fault_is_caught(fault):
    invariants.set_strict(False)
    assert fault.execute(fault.seed).violations
    invariants.reset_violations()


@pytest.mark.parametrize("model", MODELS, ids=lambda model: model.name)
def test_model_holds_exactly_without_fault(model):
    outcome = model.check()
    assert outcome.holds is not model.expects_counterexample
    assert bool(outcome.counterexample) is model.expects_counterexample
