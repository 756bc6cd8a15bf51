"""Simulated exchange of one filing with upstreams that fails at a chosen point.

A ledger counts how often the upstreams ran each request and each document.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Collection, Sequence

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.filings import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRefused,
    AttemptSending,
    CancelAttempt,
    FilingAction,
    FilingCallerDisconnected,
    FilingDeadlineReached,
    FilingEvent,
    FilingExecution,
    FilingResult,
    StartAttempt,
)
from skylarkcart.invariants import Invariant, check
from skylarkcart.standins import FaultPoint
from skylarkcart.types import RequestId, UpstreamId
from skylarkcart.verdict import RunVerdict

UPSTREAMS = tuple(UpstreamId(f"u{number}") for number in range(4))
OTHER_REQUEST = RequestId("other")

CALLER_FAULTS = tuple(
    point
    for point in FaultPoint
    if point not in (FaultPoint.REFUSAL_FOR_OTHER_REQUEST, FaultPoint.LATE_ANSWER)
)
REQUEST_NOT_DELIVERED = (
    FaultPoint.CONNECT_REFUSED,
    FaultPoint.CONNECT_TIMEOUT,
    FaultPoint.BEFORE_HEADERS,
    FaultPoint.IN_BODY,
)
REQUEST_NOT_SENT = (FaultPoint.CONNECT_REFUSED, FaultPoint.CONNECT_TIMEOUT)
ANSWER_DELIVERED = (FaultPoint.NONE, FaultPoint.AFTER_ANSWER)


class FilingRan(msgspec.Struct, frozen=True, kw_only=True):
    """Step of an exchange in which the upstream runs the filing."""


Step = FilingEvent | FilingRan


class Interruption(msgspec.Struct, frozen=True, kw_only=True):
    """An event delivered before the given step of the first attempt."""

    before_step: int
    event: FilingDeadlineReached | FilingCallerDisconnected


class Ledger:
    """Counts of the runs of each request and document, as the upstreams saw them."""

    def __init__(self) -> None:
        self.runs_by_request: collections.Counter[RequestId] = collections.Counter()
        self.runs_by_document: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()

    def record_run(self, request_id: RequestId, document: str) -> None:
        self.runs_by_request[request_id] += 1
        self.runs_by_document[document] += 1

    def check_result(self, result: FilingResult) -> None:
        """Checks an instance's verdict against what the upstreams ran."""
        runs = self.runs_by_request[result.request_id]
        self.counts[f"verdict_{result.verdict.value}"] += 1
        check(
            runs <= 1,
            Invariant.AT_MOST_ONCE,
            f"request {result.request_id} ran {runs} times",
        )
        check(
            result.verdict is not RunVerdict.NOT_RUN or runs == 0,
            Invariant.TRUE_NOT_RUN,
            f"request {result.request_id} ran and was reported as not run",
        )
        check(
            result.verdict is not RunVerdict.RAN
            or (runs == 1 and result.receipt == f"receipt of {result.request_id}"),
            Invariant.OWN_ANSWER,
            f"request {result.request_id} was given receipt {result.receipt!r}",
        )

    def check_document(self, document: str) -> None:
        runs = self.runs_by_document[document]
        check(
            runs <= 1, Invariant.AT_MOST_ONCE, f"document {document} ran {runs} times"
        )


def build_script(
    point: FaultPoint, request_id: RequestId, attempt: int
) -> tuple[Step, ...]:
    """Returns the steps of one attempt, in order.

    With ``ANSWER_FOR_OTHER_REQUEST`` or ``REFUSAL_FOR_OTHER_REQUEST``, the response
    belongs to another request.
    """
    sending = AttemptSending(attempt=attempt)
    failed = AttemptFailed(attempt=attempt, reason=point.value)
    answered = AttemptAnswered(
        attempt=attempt, request_id=request_id, receipt=f"receipt of {request_id}"
    )
    answer_for_other = AttemptAnswered(
        attempt=attempt,
        request_id=OTHER_REQUEST,
        receipt=f"receipt of {OTHER_REQUEST}",
    )
    refused = AttemptRefused(attempt=attempt, reason="shedding", request_id=request_id)
    refusal_for_other = AttemptRefused(
        attempt=attempt, reason="shedding", request_id=OTHER_REQUEST
    )
    match point:
        case FaultPoint.CONNECT_REFUSED | FaultPoint.CONNECT_TIMEOUT:
            return (failed,)
        case FaultPoint.BEFORE_HEADERS | FaultPoint.IN_BODY:
            return sending, failed
        case FaultPoint.REFUSED_BEFORE_RUNNING:
            return sending, refused
        case FaultPoint.ANSWER_FOR_OTHER_REQUEST:
            return sending, FilingRan(), answer_for_other
        case FaultPoint.REFUSAL_FOR_OTHER_REQUEST:
            return sending, FilingRan(), refusal_for_other
        case FaultPoint.LATE_ANSWER:
            return sending, FilingDeadlineReached(), FilingRan(), answered
        case FaultPoint.NONE | FaultPoint.AFTER_ANSWER:
            return sending, FilingRan(), answered
    return sending, FilingRan(), failed


class RandomUpstreamChooser:
    """Chooses at random among the candidates that are not excluded."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        available = [upstream for upstream in candidates if upstream not in excluded]
        return self._rng.choice(available) if available else None

    def may_get_capacity(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> bool:
        return False


class Exchange:
    """Runs the attempts of one filing as the driver of an instance does."""

    def __init__(
        self,
        *,
        execution: FilingExecution,
        request_id: RequestId,
        document: str,
        ledger: Ledger,
        faults: Sequence[FaultPoint],
        interruption: Interruption | None = None,
    ) -> None:
        self._execution = execution
        self._request_id = request_id
        self._document = document
        self._ledger = ledger
        self._faults = faults
        self._interruption = interruption
        self._now = Millis(0)

    def run(self) -> FilingResult:
        """Runs all attempts, late events included, and checks the result."""
        actions = self._execution.start(self._now)
        while starts := [
            action for action in actions if isinstance(action, StartAttempt)
        ]:
            actions = self._run_attempt(starts[0])
        if self._execution.result is None:
            actions = self._deliver(FilingDeadlineReached())
        result = self._execution.result
        assert result is not None
        self._ledger.check_result(result)
        return result

    def _run_attempt(self, start: StartAttempt) -> list[FilingAction]:
        point = self._faults[min(start.attempt, len(self._faults)) - 1]
        self._ledger.counts[f"fault_{point.value}"] += 1
        all_actions: list[FilingAction] = []
        script = build_script(point, self._request_id, start.attempt)
        for step_number, step in enumerate(script):
            if self._is_interrupted(start, step_number):
                all_actions += self._deliver(self._interruption.event)
            if isinstance(step, FilingRan):
                self._ledger.record_run(self._request_id, self._document)
                continue
            actions = self._deliver(step)
            all_actions += actions
            is_cancelled = any(isinstance(action, CancelAttempt) for action in actions)
            if isinstance(step, AttemptSending) and is_cancelled:
                break
        return all_actions

    def _is_interrupted(self, start: StartAttempt, step_number: int) -> bool:
        interruption = self._interruption
        return (
            interruption is not None
            and start.attempt == 1
            and interruption.before_step == step_number
        )

    def _deliver(self, event: FilingEvent) -> list[FilingAction]:
        self._now = Millis(self._now + 1)
        return self._execution.handle(event, self._now)
