"""Injects faults into filings over real sockets.

Faults occur between caller and instance and between instance and upstream, on new and
on reused connections.
"""

from __future__ import annotations

import aiohttp.client
import pytest
import pytest_asyncio

from skylarkcart import invariants
from skylarkcart.standins import FaultPoint, FilingBench
from skylarkcart.standins._filing_bench import CALLER_FAULT_POINTS
from skylarkcart.verdict import RunVerdict

pytestmark = pytest.mark.asyncio(loop_scope="module")

NOT_RUN_POINTS = (
    FaultPoint.CONNECT_REFUSED,
    FaultPoint.CONNECT_TIMEOUT,
    FaultPoint.REFUSED_BEFORE_RUNNING,
)
ANSWERED_POINTS = (FaultPoint.NONE, FaultPoint.AFTER_ANSWER)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def bench():
    async with FilingBench() as bench:
        yield bench


@pytest.mark.parametrize("upstream_point", FaultPoint)
async def test_no_pair_of_faults_runs_a_filing_twice_or_misstates_it(
    bench, upstream_point
):
    expected = RunVerdict.MAY_HAVE_RUN
    if upstream_point in NOT_RUN_POINTS + ANSWERED_POINTS:
        expected = RunVerdict.RAN
    await bench.replace_faulty_upstream(upstream_point)
    for caller_point in CALLER_FAULT_POINTS:
        for reuse_connection in (False, True):
            outcome = await bench.file(caller_point, reuse_connection=reuse_connection)
            assert not outcome.is_duplicate, (caller_point, reuse_connection, outcome)
            assert not outcome.is_false_not_run
            assert outcome.resent == 0
            assert outcome.connections <= (0 if reuse_connection else 1)
            if caller_point in (FaultPoint.BEFORE_HEADERS, FaultPoint.IN_BODY):
                assert outcome.runs == 0
            if caller_point is FaultPoint.AFTER_BODY and expected is RunVerdict.RAN:
                assert outcome.runs == 1
            if caller_point in ANSWERED_POINTS:
                assert outcome.verdict is expected, (caller_point, reuse_connection)


@pytest.mark.parametrize(
    "upstream_point", [FaultPoint.BEFORE_HEADERS, FaultPoint.AFTER_BODY]
)
async def test_a_client_that_repeats_by_itself_is_stopped(
    bench, upstream_point, monkeypatch
):
    monkeypatch.setattr(aiohttp.client, "IDEMPOTENT_METHODS", frozenset({"POST"}))
    invariants.set_strict(False)
    await bench.replace_faulty_upstream(upstream_point)
    outcome = await bench.file(FaultPoint.NONE, reuse_connection=True)
    assert invariants.get_violation_counts() == {invariants.Invariant.AT_MOST_ONCE: 1}
    invariants.reset_violations()
    assert outcome.verdict is RunVerdict.MAY_HAVE_RUN
    assert outcome.connections == 1 and outcome.resent == 0
