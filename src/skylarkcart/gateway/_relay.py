"""Runs a request that goes to one upstream."""

from __future__ import annotations

from skylarkcart.budgets import ExtraCallKind
from skylarkcart.exchange import UpstreamAnswer
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._ending import (
    MILLISECONDS_PER_SECOND,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Ending,
    Outcome,
)
from skylarkcart.gateway._exchange import USUAL_QUANTILE, UpstreamExchange
from skylarkcart.gateway._pool import Call, CallResult
from skylarkcart.gateway._timing import RequestTimes
from skylarkcart.platform._messages import encode_call, encode_relayed
from skylarkcart.published import Route
from skylarkcart.replicas import CallEnd
from skylarkcart.types import AccountId, ServiceId, UpstreamId
from skylarkcart.verdict import RunVerdict

# A call that waits longer than this quantile of the route's calls gets a second one.
HEDGE_QUANTILE = 0.95
MIN_HEDGE_AFTER_MS = 5.0

# A hedge without budget is considered again after this time.
HEDGE_RETRY_MS = 20.0


class RelayExchange(UpstreamExchange):
    """Calls one upstream, and another one where the request permits it.

    A non-idempotent request goes to another upstream only if the first certainly did
    not run it. An idempotent one is also repeated after a failure or when it is late.
    """

    def __init__(
        self,
        *,
        core: Core,
        ending: Ending,
        route: Route,
        service: ServiceId,
        account: AccountId | None,
        times: RequestTimes,
    ) -> None:
        super().__init__(
            core=core, ending=ending, route=route, account=account, times=times
        )
        self._service = service
        self._tried: list[UpstreamId] = []
        self._calls: set[Call] = set()
        self._runs = 0
        self._failure: UpstreamAnswer | None = None
        self._verdict = RunVerdict.NOT_RUN
        self._last_call_at = times.answer_by
        self._ends: list[str] = []

    def start(self) -> None:
        core = self._core
        core.get_extra_calls(self._service).note_request(core.now)
        if not core.replicas.is_reachable(self._service, core.now) or not self._call():
            self._refuse_unrun("no_upstream")
            return
        self._schedule()

    def abandon(self) -> None:
        """Ends the calls, as the caller has gone."""
        self._stop()
        self._ending.abandon(tried=self._tried, ends=self._ends)

    def _call(self) -> bool:
        core = self._core
        usual_ms = self._latency.get_quantile(USUAL_QUANTILE)
        replica = core.choose_replica(
            self._service, usual_ms=usual_ms, tried=self._tried
        )
        if replica is None:
            return False
        now = core.now
        self._tried.append(replica.entry.upstream)
        self._runs += 1
        self._last_call_at = now
        data = encode_call(
            self._ending.request,
            upstream=replica.entry.upstream,
            time_left_ms=self._times.give_up_at - now,
            account=self._account,
        )
        call = core.pool.call(
            replica,
            data,
            request_id=self._ending.request.request_id,
            is_repeatable=self._route.is_idempotent,
            usual_ms=usual_ms,
            on_end=self._handle_end,
        )
        self._calls.add(call)
        return True

    def _handle_end(self, call: Call, result: CallResult) -> None:
        core = self._core
        self._calls.discard(call)
        self._ends.append(f"{call.upstream}: {result.end.value}")
        core.metrics.count_call(result.end)
        if result.end is CallEnd.ANSWERED:
            elapsed_ms = core.now - call.started_at
            self._latency.add(elapsed_ms)
            core.metrics.whole_latency.observe(elapsed_ms / MILLISECONDS_PER_SECOND)
            self._pass_on(result.answer, Outcome.SUCCESS)
            return
        if result.end is CallEnd.MISDIRECTED:
            core.forget_upstream(call.upstream)
        if result.verdict is RunVerdict.NOT_RUN:
            self._runs -= 1
        else:
            self._verdict = result.verdict
            if _may_pass_on(result.answer):
                self._failure = result.answer
        self._handle_failure(result.end)

    def _handle_failure(self, end: CallEnd) -> None:
        may_repeat = self._route.is_idempotent or self._verdict.permits_retry
        if (
            may_repeat
            and self._runs < self._route.max_attempts
            and self._core.now < self._times.give_up_at
            and (
                not end.reached_upstream
                or self._core.try_extra_call(self._service, ExtraCallKind.RETRY)
            )
            and self._call()
        ):
            return
        if self._calls:
            return
        if self._failure is not None:
            self._pass_on(self._failure, Outcome.FAILURE_PASSED_ON)
        elif self._verdict is RunVerdict.NOT_RUN:
            self._refuse_unrun("upstreams_refused")
        else:
            self._stop()
            self._ending.refuse(
                STATUS_BAD_GATEWAY,
                "upstream_failed",
                verdict=self._verdict,
                ends=self._ends,
            )

    def _pass_on(self, answer: UpstreamAnswer, outcome: Outcome) -> None:
        self._stop()
        data = encode_relayed(answer, closes=self._ending.closes)
        self._ending.answer(
            data, outcome, status=answer.status, tried=self._tried, ends=self._ends
        )

    def _refuse_unrun(self, reason: str) -> None:
        self._stop()
        self._ending.refuse(
            STATUS_UNAVAILABLE,
            reason,
            verdict=RunVerdict.NOT_RUN,
            retry_after_ms=self._core.get_retry_after_ms(self._core.now),
            service=self._service,
            ends=self._ends,
        )

    def _schedule(self) -> None:
        due = self._times.give_up_at
        now = self._core.now
        if self._may_move() or self._may_hedge():
            hedge_at = self._last_call_at + self._get_hedge_after()
            due = min(due, max(hedge_at, now + HEDGE_RETRY_MS))
        self._start_timer(due, now)

    def _handle_timer(self) -> None:
        if self._ending.is_done:
            return
        now = self._core.now
        if now >= self._times.give_up_at:
            self._time_out()
            return
        if now >= self._last_call_at + self._get_hedge_after():
            self._call_another()
        self._schedule()

    def _call_another(self) -> None:
        """Calls a second upstream beside one that is late, or instead of it."""
        if self._may_move():
            (unsent,) = self._calls
            if self._call():
                self._calls.discard(unsent)
                self._core.pool.abandon(unsent)
                self._runs -= 1
                self._ends.append(f"{unsent.upstream}: unsent")
        elif self._may_hedge() and self._core.try_extra_call(
            self._service, ExtraCallKind.HEDGE
        ):
            self._call()

    def _time_out(self) -> None:
        is_sent = any(call.is_sent for call in self._calls)
        verdict = self._verdict
        if is_sent and verdict is RunVerdict.NOT_RUN:
            verdict = RunVerdict.MAY_HAVE_RUN
        self._stop()
        self._ending.refuse(
            STATUS_GATEWAY_TIMEOUT,
            "no_answer_in_time",
            verdict=verdict,
            tried=self._tried,
            ends=self._ends,
        )

    def _may_move(self) -> bool:
        """Whether the only call still waits for a connection."""
        return len(self._calls) == 1 and not next(iter(self._calls)).is_sent

    def _may_hedge(self) -> bool:
        return (
            self._route.is_idempotent
            and len(self._calls) == 1
            and self._runs < self._route.max_attempts
        )

    def _get_hedge_after(self) -> float:
        return max(MIN_HEDGE_AFTER_MS, self._latency.get_quantile(HEDGE_QUANTILE))

    def _stop(self) -> None:
        self._end_calls(self._calls)
        self._calls.clear()


def _may_pass_on(answer: UpstreamAnswer | None) -> bool:
    """Whether an upstream's failure may reach the caller as it is.

    Statuses that promise that nothing was run must not be passed on for a request that
    may have run.
    """
    if answer is None or answer.signature is None or answer.is_encoded:
        return False
    return answer.status >= 400 and answer.status not in (408, 421, 429, 503)
