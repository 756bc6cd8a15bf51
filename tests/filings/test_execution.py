"""Guards against duplicates and false verdicts of filings."""

from __future__ import annotations

import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.filings import (
    AttemptAnswered,
    AttemptRefused,
    AttemptSending,
    CancelAttempt,
    FilingDeadlineReached,
    FilingExecution,
    FinishFiling,
    StartAttempt,
    rank_upstreams,
)
from skylarkcart.invariants import InvariantError, reset_violations
from skylarkcart.proof import _filing_runs
from skylarkcart.proof._filing_model import (
    CALLER_FAULTS,
    UPSTREAMS,
    FaultPoint,
    Ledger,
    RandomUpstreamChooser,
)
from skylarkcart.types import RequestId, UpstreamId
from skylarkcart.verdict import RunVerdict

REQUEST_ID = RequestId("own")


def start_filing() -> FilingExecution:
    execution = FilingExecution(
        request_id=REQUEST_ID,
        candidates=UPSTREAMS,
        chooser=RandomUpstreamChooser(random.Random(1)),
        deadline=Millis(100),
    )
    assert isinstance(execution.start(Millis(0))[0], StartAttempt)
    return execution


def test_faults_on_both_hops_cause_no_duplicate_and_no_false_not_run():
    counts = _filing_runs.run_all_fault_combinations(seed=1).counts
    assert counts["documents"] == len(CALLER_FAULTS) * len(FaultPoint) ** 2


@pytest.mark.parametrize(
    ("point", "verdict"),
    [
        (FaultPoint.NONE, RunVerdict.RAN),
        (FaultPoint.CONNECT_REFUSED, RunVerdict.NOT_RUN),
        (FaultPoint.CONNECT_TIMEOUT, RunVerdict.NOT_RUN),
        (FaultPoint.REFUSED_BEFORE_RUNNING, RunVerdict.NOT_RUN),
        (FaultPoint.BEFORE_HEADERS, RunVerdict.MAY_HAVE_RUN),
        (FaultPoint.AFTER_BODY, RunVerdict.MAY_HAVE_RUN),
        (FaultPoint.IN_ANSWER_BODY, RunVerdict.MAY_HAVE_RUN),
        (FaultPoint.AFTER_ANSWER, RunVerdict.RAN),
        (FaultPoint.ANSWER_FOR_OTHER_REQUEST, RunVerdict.MAY_HAVE_RUN),
        (FaultPoint.REFUSAL_FOR_OTHER_REQUEST, RunVerdict.MAY_HAVE_RUN),
        (FaultPoint.REFUSED_AFTER_RUNNING, RunVerdict.MAY_HAVE_RUN),
        (FaultPoint.LATE_ANSWER, RunVerdict.MAY_HAVE_RUN),
    ],
)
def test_verdict_follows_from_the_point_of_the_fault(point, verdict):
    result = _filing_runs.file_once(
        rng=random.Random(1),
        ledger=Ledger(),
        document="d",
        number=0,
        faults=(point,),
    )
    assert result.verdict is verdict


def test_deadline_while_connecting_is_not_run_and_forbids_sending():
    execution = start_filing()
    cancel, finish = execution.handle(FilingDeadlineReached(), Millis(100))
    assert cancel == CancelAttempt(attempt=1)
    assert finish.result.verdict is RunVerdict.NOT_RUN
    late = execution.handle(AttemptSending(attempt=1), Millis(101))
    assert late == [CancelAttempt(attempt=1)]


def test_receipt_after_a_verdict_of_not_run_violates_an_invariant():
    execution = start_filing()
    execution.handle(FilingDeadlineReached(), Millis(100))
    answer = AttemptAnswered(attempt=1, request_id=REQUEST_ID, receipt="r")
    with pytest.raises(InvariantError, match="late receipt"):
        execution.handle(answer, Millis(101))
    reset_violations()


def test_receipt_after_may_have_run_does_not_change_the_verdict():
    execution = start_filing()
    execution.handle(AttemptSending(attempt=1), Millis(1))
    execution.handle(FilingDeadlineReached(), Millis(100))
    answer = AttemptAnswered(attempt=1, request_id=REQUEST_ID, receipt="r")
    assert execution.handle(answer, Millis(101)) == []
    assert execution.result.verdict is RunVerdict.MAY_HAVE_RUN


def test_refusal_after_the_deadline_starts_no_further_attempt():
    execution = start_filing()
    execution.handle(AttemptSending(attempt=1), Millis(1))
    refused = AttemptRefused(attempt=1, reason="shedding", request_id=REQUEST_ID)
    (finish,) = execution.handle(refused, Millis(100))
    assert isinstance(finish, FinishFiling)
    assert finish.result.verdict is RunVerdict.NOT_RUN


def test_answer_without_reported_sending_violates_an_invariant():
    execution = start_filing()
    answer = AttemptAnswered(attempt=1, request_id=REQUEST_ID, receipt="r")
    with pytest.raises(InvariantError, match="without any byte"):
        execution.handle(answer, Millis(1))
    reset_violations()


def test_repeats_of_a_key_reach_one_upstream_from_any_instance():
    _filing_runs.run_keyed_repeats(seed=3, rounds=200)


def test_a_leaving_upstream_moves_only_its_own_keys():
    upstreams = [UpstreamId(f"u{number}") for number in range(8)]
    keys = [f"key-{number}" for number in range(400)]
    before = {key: rank_upstreams(key, upstreams)[0] for key in keys}
    after = {key: rank_upstreams(key, upstreams[1:])[0] for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == upstreams[0]}
    assert 25 < len(moved) < 80
