from __future__ import annotations

import pytest

from skylarkcart import invariants
from skylarkcart.proof._search_faults import FAULTS
from skylarkcart.proof._search_runs import RUNS

# The other faults take longer to catch; ``skylarkcart-proof faults`` runs all of them.
QUICK_FAULTS = (
    "snapshot_not_checked",
    "crossed_answer_accepted",
    "failed_shard_covered",
    "partial_shard_covered",
    "cold_allowance_ignored",
    "right_ignored",
    "cold_declared_warm",
    "closed_zone_used",
    "leaving_upstream_used",
)


@pytest.mark.parametrize(
    "run",
    [run for run in RUNS if run.name in ("wrong_answers", "all_faults")],
    ids=lambda run: run.name,
)
def test_randomised_run_breaks_no_invariant(run):
    # Guards against faults that only show when the decision objects work together under
    # answers to other requests, restarts and lost messages.
    report = run.run(7, duration_ms=3_000.0)
    assert report.passed, report
    assert report.figures["answers"] > 100


@pytest.mark.parametrize(
    "fault",
    [fault for fault in FAULTS if fault.name in QUICK_FAULTS],
    ids=lambda fault: fault.name,
)
def test_deliberate_fault_is_caught(fault):
    # Guards against checks and a ledger that pass whatever the code does.
    report = fault.run(1)
    invariants.reset_violations()
    assert fault.is_detected(report), report
