"""Step definitions for filings.feature."""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from skylarkcart.standins import FaultPoint, FilingBench
from skylarkcart.verdict import RunVerdict

scenarios("filings.feature")

FAILURES = {
    "refuses connections": FaultPoint.CONNECT_REFUSED,
    "does not answer connections": FaultPoint.CONNECT_TIMEOUT,
    "refuses the notice before running it": FaultPoint.REFUSED_BEFORE_RUNNING,
    "closes before it reads the headers": FaultPoint.BEFORE_HEADERS,
    "closes in the middle of the body": FaultPoint.IN_BODY,
    "closes after the body": FaultPoint.AFTER_BODY,
    "closes in the middle of its answer": FaultPoint.IN_ANSWER_BODY,
    "answers after the deadline": FaultPoint.LATE_ANSWER,
    "answers for another notice": FaultPoint.ANSWER_FOR_OTHER_REQUEST,
    "reports an error after running it": FaultPoint.REFUSED_AFTER_RUNNING,
}
VERDICTS = {
    "ran": RunVerdict.RAN,
    "did not run": RunVerdict.NOT_RUN,
    "may have run": RunVerdict.MAY_HAVE_RUN,
}
RUNS = {"never": 0, "once": 1}


class ScenarioContext:
    """Shared by all scenarios, as a new instance takes seconds to become ready."""

    def __init__(self, runner: asyncio.Runner) -> None:
        self.runner = runner
        self.bench = FilingBench()
        self.reuse_connection = False
        self.outcome = None

    def file(self, caller_point: FaultPoint) -> None:
        filing = self.bench.file(caller_point, reuse_connection=self.reuse_connection)
        self.outcome = self.runner.run(filing)


@pytest.fixture(scope="module")
def shared_context():
    with asyncio.Runner() as runner:
        context = ScenarioContext(runner)
        runner.run(context.bench.__aenter__())
        yield context
        runner.run(context.bench.__aexit__(None, None, None))


@pytest.fixture
def context(shared_context):
    shared_context.reuse_connection = False
    return shared_context


@given("an entry instance with one healthy and one failing upstream")
def start(context):
    context.runner.run(context.bench.replace_faulty_upstream(FaultPoint.NONE))


@given("an earlier notice left a connection to the failing upstream open")
def keep_connection_open(context):
    context.reuse_connection = True


@given(parsers.re(f"the failing upstream (?P<failure>{'|'.join(FAILURES)})$"))
def set_failure(context, failure):
    context.runner.run(context.bench.replace_faulty_upstream(FAILURES[failure]))


@when("a caller files a notice")
def file(context):
    context.file(FaultPoint.NONE)


@when("a caller disconnects while sending a notice")
def disconnect_in_body(context):
    context.file(FaultPoint.IN_BODY)


@when("a caller disconnects after sending a notice")
def disconnect_after_body(context):
    context.file(FaultPoint.AFTER_BODY)


@then(
    parsers.re(f"the caller is told that the notice (?P<verdict>{'|'.join(VERDICTS)})$")
)
def check_verdict(context, verdict):
    assert context.outcome.verdict is VERDICTS[verdict]


@then(parsers.re(f"the notice has run (?P<runs>{'|'.join(RUNS)})$"))
def check_runs(context, runs):
    assert context.outcome.runs == RUNS[runs]
    assert context.outcome.resent == 0
