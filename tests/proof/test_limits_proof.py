"""Tests that the limits proofs pass, and fail with each injected fault.

Also guards the rate limit and the ratios of refused requests against regressions.
"""

from __future__ import annotations

import pytest

from skylarkcart.proof._limits_faults import LIMITS_FAULTS
from skylarkcart.proof._limits_model import LIMITS_MODELS
from skylarkcart.proof._limits_runs import (
    run_disturbed,
    run_partition,
    run_replacement,
    run_steady,
)


def read_measurement(report, name):
    fields = dict(field.split("=") for line in report.lines for field in line.split())
    return float(fields[name])


@pytest.mark.parametrize("fault", LIMITS_FAULTS, ids=lambda fault: fault.name)
def test_fault_is_caught_and_its_scenario_passes_without_it(fault):
    assert not fault.is_detected(1, 1)
    with fault.insert():
        assert fault.is_detected(1, 1)


@pytest.mark.parametrize("model", LIMITS_MODELS, ids=lambda model: model.name)
def test_specification_holds_and_its_faults_have_counterexamples(model):
    assert not model.solve(None).has_counterexample
    assert all(model.solve(fault).has_counterexample for fault in model.faults)


def test_disturbances_never_exceed_rate_or_burst():
    assert run_disturbed(7, 8).violations == 0


def test_uneven_arrival_is_refused_at_most_once_in_200():
    assert read_measurement(run_steady(7, 5), "ratio") <= 0.005


def test_rolling_replacement_is_refused_at_most_once_in_50():
    assert read_measurement(run_replacement(7, 1), "ratio") <= 0.02


def test_cut_off_zone_refuses_little_of_what_its_part_allows():
    assert read_measurement(run_partition(7, 8), "cut_off_ratio") <= 0.05
