"""Common base of requests to a single upstream and to many upstreams."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable, Collection

from skylarkcart.admission import AdmissionRequest
from skylarkcart.budgets import ExtraCallKind
from skylarkcart.clock import Millis
from skylarkcart.gateway._completion import (
    MILLISECONDS_PER_SECOND,
    STATUS_INTERNAL_ERROR,
    RequestCompletion,
)
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._load_reports import log_refused_call
from skylarkcart.gateway._pool import Call, CallResult
from skylarkcart.gateway._room_gate import record_call_end
from skylarkcart.gateway._timing import RequestDeadlines
from skylarkcart.published import Route
from skylarkcart.replicas import CallEnd
from skylarkcart.types import AccountId, ServiceId
from skylarkcart.verdict import RunVerdict

# The typical latency of a route's calls is their median.
MEDIAN_QUANTILE = 0.5


class UpstreamExchange(abc.ABC):
    """A request with calls to upstreams in progress."""

    def __init__(
        self,
        *,
        core: Core,
        completion: RequestCompletion,
        route: Route,
        account: AccountId | None,
        deadlines: RequestDeadlines,
    ) -> None:
        self._core = core
        self._completion = completion
        self._route = route
        self._account = account
        self._deadlines = deadlines
        self._latency = core.get_latency(route)
        # Set where admission takes effect.
        self.room_request: AdmissionRequest | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = deadlines.hard_deadline

    def _start_timer(self, due_at: Millis, now: Millis) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_at = due_at
        delay_s = max(0.0, due_at - now) / MILLISECONDS_PER_SECOND
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            delay_s, self._run_step, lambda: self._handle_timer()
        )

    def _run_step(self, step: Callable[[], None]) -> None:
        """Runs a step; an unexpected error ends only this request."""
        try:
            step()
        except Exception as error:
            self._core.record_error(
                "request", error, request=self._completion.request_text
            )
            self._stop()
            self._completion.send_error(
                STATUS_INTERNAL_ERROR,
                "internal_error",
                verdict=RunVerdict.MAY_HAVE_RUN,
            )

    def _handle_end(self, call: Call, result: CallResult) -> None:
        if result.end is CallEnd.SHED:
            self._run_step(lambda: self._record_refusal(call, result))
        self._run_step(lambda: self._apply_end(call, result))

    def _apply_end(self, call: Call, result: CallResult) -> None:
        record_call_end(self._core, call, result, self._latency)
        self._apply_result(call, result)

    def _may_call_again(self, service: ServiceId, kind: ExtraCallKind) -> bool:
        """Whether a second call gives way to no other request."""
        if self.room_request is None:
            return True
        may_call = self._core.admission.may_call_again(
            self.room_request,
            service,
            is_hedge=kind is ExtraCallKind.HEDGE,
            now=self._core.now,
        )
        if not may_call:
            self._core.metrics.count_yielded_call(kind)
        return may_call

    def _record_refusal(self, call: Call, result: CallResult) -> None:
        core = self._core
        refused = core.replicas.record_refusal(
            call.replica, has_report=result.response.load is not None, now=core.now
        )
        if refused is not None:
            log_refused_call(core.log, self._completion.request_text, refused)

    @abc.abstractmethod
    def _apply_result(self, call: Call, result: CallResult) -> None:
        """Handles the end of a call."""

    @abc.abstractmethod
    def _stop(self) -> None:
        """Ends all calls and cancels the timer."""

    @abc.abstractmethod
    def _handle_timer(self) -> None:
        """Handles the expiry of the timer."""

    def _end_calls(self, calls: Collection[Call]) -> None:
        """Cancels the timer and abandons unfinished calls."""
        if self._timer is not None:
            self._timer.cancel()
        for call in calls:
            self._core.pool.abandon(call)
