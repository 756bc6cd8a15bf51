"""Runs one filing at most once.

A filing is retried only if it certainly did not run: this instance sent no byte of it,
or the upstream refused it before running it.
"""

from __future__ import annotations

import functools
from collections.abc import Collection
from typing import Protocol

from skylarkcart.clock import Millis
from skylarkcart.filings._messages import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRefused,
    AttemptSending,
    CancelAttempt,
    CapacityWaitElapsed,
    FilingAction,
    FilingCallerDisconnected,
    FilingDeadlineReached,
    FilingEvent,
    FilingResult,
    FinishFiling,
    StartAttempt,
    WaitForCapacity,
)
from skylarkcart.filings._routing import rank_upstreams
from skylarkcart.invariants import Invariant, check
from skylarkcart.types import RequestId, UpstreamId
from skylarkcart.verdict import RunVerdict

MAX_ATTEMPTS = 3
CAPACITY_RETRY_MS = 5.0


class UpstreamChooser(Protocol):
    """Picks an upstream of the service, or None if none has spare capacity."""

    def choose(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None: ...

    def may_get_capacity(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> bool:
        """Whether a candidate is in service, even if it has no spare capacity now."""


class FilingExecution:
    """One filing from its first attempt to its verdict.

    ``candidates`` are the service's upstreams that are not leaving. A filing with an
    ``idempotency_key`` is sent only to the key's first upstream by rendezvous hashing.
    If it were sent elsewhere while that one refuses, a repeat would be sent to the
    first upstream and find no record there.
    """

    def __init__(
        self,
        *,
        request_id: RequestId,
        candidates: Collection[UpstreamId],
        chooser: UpstreamChooser,
        deadline: Millis,
        idempotency_key: str = "",
    ) -> None:
        self._request_id = request_id
        self._candidates = candidates
        if idempotency_key:
            self._candidates = rank_upstreams(idempotency_key, candidates)[:1]
        self._chooser = chooser
        self._deadline = deadline
        self._tried: list[UpstreamId] = []
        self._is_attempting = False
        self._is_sent = False
        self._may_have_run = False
        self.result: FilingResult | None = None

    @property
    def is_finished(self) -> bool:
        return self.result is not None

    def start(self, now: Millis) -> list[FilingAction]:
        """Starts the first attempt, or finishes if none can be made."""
        return self._start_attempt("no_upstream", now)

    def handle(self, event: FilingEvent, now: Millis) -> list[FilingAction]:
        """Applies an event; a late event is checked but never changes the result."""
        if self.is_finished or not self._is_current(event):
            return self._handle_late(event)
        return self._apply(event, now)

    @functools.singledispatchmethod
    def _apply(self, event: FilingEvent, now: Millis) -> list[FilingAction]:
        raise TypeError(f"event is {type(event).__name__}, expected a FilingEvent")

    @_apply.register
    def _(self, event: AttemptSending, now: Millis) -> list[FilingAction]:
        is_allowed = not self._may_have_run
        check(
            is_allowed,
            Invariant.AT_MOST_ONCE,
            f"filing {self._request_id} about to be sent again but may have run",
        )
        if not is_allowed:
            return [CancelAttempt(attempt=event.attempt)]
        self._is_sent = True
        self._may_have_run = True
        return []

    @_apply.register
    def _(self, event: AttemptAnswered, now: Millis) -> list[FilingAction]:
        self._check_sent(event)
        if event.request_id != self._request_id:
            return self._finish(RunVerdict.MAY_HAVE_RUN, "answer_of_other_request")
        return self._finish(RunVerdict.RAN, "", receipt=event.receipt)

    @_apply.register
    def _(self, event: AttemptRefused, now: Millis) -> list[FilingAction]:
        self._check_sent(event)
        if event.request_id not in (None, self._request_id):
            return self._finish(RunVerdict.MAY_HAVE_RUN, "refusal_of_other_request")
        self._may_have_run = False
        return self._start_attempt(event.reason, now)

    @_apply.register
    def _(self, event: AttemptFailed, now: Millis) -> list[FilingAction]:
        if self._is_sent:
            return self._finish(RunVerdict.MAY_HAVE_RUN, event.reason)
        return self._start_attempt(event.reason, now)

    @_apply.register
    def _(self, event: CapacityWaitElapsed, now: Millis) -> list[FilingAction]:
        return self._start_attempt("no_room", now)

    @_apply.register
    def _(self, event: FilingDeadlineReached, now: Millis) -> list[FilingAction]:
        return self._abandon("deadline")

    @_apply.register
    def _(self, event: FilingCallerDisconnected, now: Millis) -> list[FilingAction]:
        # A filing that was sent is awaited, so that its verdict is known and logged.
        return [] if self._is_sent else self._abandon("caller_gone")

    def _start_attempt(self, failure_reason: str, now: Millis) -> list[FilingAction]:
        check(
            not self._may_have_run,
            Invariant.AT_MOST_ONCE,
            f"filing {self._request_id} attempted again but may have run",
        )
        self._is_attempting = False
        self._is_sent = False
        if now >= self._deadline:
            return self._finish(RunVerdict.NOT_RUN, "deadline")
        if len(self._tried) >= MAX_ATTEMPTS:
            return self._finish(RunVerdict.NOT_RUN, failure_reason)
        upstream = self._chooser.choose(self._candidates, excluded=self._tried)
        if upstream is None:
            return self._wait_for_capacity(failure_reason, now)
        self._tried.append(upstream)
        self._is_attempting = True
        start = StartAttempt(
            attempt=self._attempt, upstream=upstream, deadline=self._deadline
        )
        return [start]

    def _wait_for_capacity(
        self, failure_reason: str, now: Millis
    ) -> list[FilingAction]:
        may_get_capacity = self._chooser.may_get_capacity(
            self._candidates, excluded=self._tried
        )
        if not may_get_capacity or now + CAPACITY_RETRY_MS >= self._deadline:
            return self._finish(RunVerdict.NOT_RUN, failure_reason)
        return [WaitForCapacity(delay_ms=CAPACITY_RETRY_MS)]

    def _abandon(self, reason: str) -> list[FilingAction]:
        verdict = RunVerdict.MAY_HAVE_RUN if self._is_sent else RunVerdict.NOT_RUN
        actions: list[FilingAction] = []
        if self._is_attempting:
            actions.append(CancelAttempt(attempt=self._attempt))
        return actions + self._finish(verdict, reason)

    def _finish(
        self, verdict: RunVerdict, reason: str, *, receipt: str = ""
    ) -> list[FilingAction]:
        check(
            verdict is not RunVerdict.NOT_RUN or not self._may_have_run,
            Invariant.TRUE_NOT_RUN,
            f"filing {self._request_id} reported as not run but may have run",
        )
        self.result = FilingResult(
            request_id=self._request_id,
            verdict=verdict,
            receipt=receipt,
            reason=reason,
        )
        return [FinishFiling(result=self.result)]

    @property
    def _attempt(self) -> int:
        return len(self._tried)

    def _is_current(self, event: FilingEvent) -> bool:
        return getattr(event, "attempt", self._attempt) == self._attempt

    def _check_sent(self, event: FilingEvent) -> None:
        check(
            self._is_sent,
            Invariant.TRUE_NOT_RUN,
            f"{type(event).__name__} of filing {self._request_id} without any byte "
            "reported as sent",
        )

    @functools.singledispatchmethod
    def _handle_late(self, event: FilingEvent) -> list[FilingAction]:
        return []

    @_handle_late.register
    def _(self, event: AttemptSending) -> list[FilingAction]:
        # The driver must cancel the attempt before it sends a byte.
        return [CancelAttempt(attempt=event.attempt)]

    @_handle_late.register
    def _(self, event: AttemptAnswered) -> list[FilingAction]:
        is_own = event.request_id == self._request_id
        check(
            not (is_own and self._was_treated_as_not_run(event.attempt)),
            Invariant.TRUE_NOT_RUN,
            f"filing {self._request_id} was treated as not run but has a late receipt",
        )
        return []

    def _was_treated_as_not_run(self, attempt: int) -> bool:
        # A later attempt is made only if this one was treated as not run.
        if attempt < self._attempt:
            return True
        return self.result is not None and self.result.verdict is RunVerdict.NOT_RUN
