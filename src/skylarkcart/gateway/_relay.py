"""Execution of requests to a single upstream."""

from __future__ import annotations

from skylarkcart.budgets import ExtraCallKind
from skylarkcart.exchange import UpstreamResponse
from skylarkcart.gateway._completion import (
    MILLISECONDS_PER_SECOND,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Outcome,
    RequestCompletion,
)
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._exchange import MEDIAN_QUANTILE, UpstreamExchange
from skylarkcart.gateway._pool import Call, CallResult
from skylarkcart.gateway._timing import RequestDeadlines
from skylarkcart.platform._messages import (
    encode_relayed_response,
    encode_upstream_head,
)
from skylarkcart.published import Route
from skylarkcart.replicas import CallEnd
from skylarkcart.types import AccountId, ServiceId, UpstreamId
from skylarkcart.verdict import RunVerdict

# A call is hedged once it takes longer than this latency quantile of the route.
HEDGE_QUANTILE = 0.95
MIN_HEDGE_DELAY_MS = 5.0

# Minimum time between hedging attempts, as the budget may be spent.
HEDGE_RETRY_INTERVAL_MS = 20.0


class RelayExchange(UpstreamExchange):
    """Calls one upstream, and further ones where retries or hedging are permitted.

    A non-idempotent request is retried only if it certainly was not run. An idempotent
    request is also retried after a failure and hedged when it is slow.
    """

    def __init__(
        self,
        *,
        core: Core,
        completion: RequestCompletion,
        route: Route,
        service: ServiceId,
        account: AccountId | None,
        deadlines: RequestDeadlines,
    ) -> None:
        super().__init__(
            core=core,
            completion=completion,
            route=route,
            account=account,
            deadlines=deadlines,
        )
        self._service = service
        self._tried: list[UpstreamId] = []
        self._calls: set[Call] = set()
        self._attempts = 0
        self._failed_response: UpstreamResponse | None = None
        self._verdict = RunVerdict.NOT_RUN
        self._last_call_at = deadlines.soft_deadline
        self._call_ends: list[str] = []

    def start(self) -> None:
        core = self._core
        core.get_extra_calls(self._service).record_request(core.now)
        if not core.replicas.is_reachable(self._service, core.now) or not self._call():
            self._refuse_not_run("no_upstream")
            return
        self._schedule_timer()

    def abandon(self) -> None:
        """Ends all calls after the caller has disconnected."""
        self._stop()
        self._completion.abandon(tried=self._tried, ends=self._call_ends)

    def expire(self) -> None:
        """Responds without waiting for the pending calls."""
        if not self._completion.is_done:
            self._fail_on_timeout()

    def _call(self) -> bool:
        core = self._core
        typical_ms = self._latency.get_quantile(MEDIAN_QUANTILE)
        replica = core.choose_replica(
            self._service, typical_ms=typical_ms, tried=self._tried
        )
        if replica is None:
            return False
        now = core.now
        self._tried.append(replica.entry.upstream)
        self._attempts += 1
        self._last_call_at = now
        head = encode_upstream_head(
            self._completion.request,
            upstream=replica.entry.upstream,
            time_left_ms=self._deadlines.hard_deadline - now,
            account=self._account,
        )
        call = core.pool.call(
            replica,
            head,
            body=self._completion.request.body,
            request_id=self._completion.request.request_id,
            is_idempotent=self._route.is_idempotent,
            typical_ms=typical_ms,
            on_end=self._handle_end,
        )
        self._calls.add(call)
        return True

    def _apply_result(self, call: Call, result: CallResult) -> None:
        core = self._core
        self._calls.discard(call)
        self._call_ends.append(f"{call.upstream}: {result.end.value}")
        core.metrics.count_call(result.end)
        if result.end is CallEnd.ANSWERED:
            elapsed_ms = core.now - call.started_at
            self._latency.add(elapsed_ms)
            core.metrics.relayed_call_latency.observe(
                elapsed_ms / MILLISECONDS_PER_SECOND
            )
            self._relay_response(result.response, Outcome.SUCCESS)
            return
        if result.end is CallEnd.MISDIRECTED:
            core.remove_upstream(call.upstream)
        if result.verdict is RunVerdict.NOT_RUN:
            self._attempts -= 1
        else:
            self._verdict = result.verdict
            if _may_relay(result.response):
                self._failed_response = result.response
        self._handle_failure(result.end)

    def _handle_failure(self, end: CallEnd) -> None:
        may_retry = self._route.is_idempotent or self._verdict.permits_retry
        if (
            may_retry
            and self._attempts < self._route.max_attempts
            and self._core.now < self._deadlines.hard_deadline
            and (not end.reached_upstream or self._try_extra_call(ExtraCallKind.RETRY))
            and self._call()
        ):
            return
        if self._calls:
            return
        if self._failed_response is not None:
            self._relay_response(self._failed_response, Outcome.FAILURE_PASSED_ON)
        elif self._verdict is RunVerdict.NOT_RUN:
            self._refuse_not_run("upstreams_refused")
        else:
            self._stop()
            self._completion.send_error(
                STATUS_BAD_GATEWAY,
                "upstream_failed",
                verdict=self._verdict,
                ends=self._call_ends,
            )

    def _relay_response(self, response: UpstreamResponse, outcome: Outcome) -> None:
        self._stop()
        data = encode_relayed_response(
            response, close_connection=self._completion.closes_connection
        )
        self._completion.send_response(
            data,
            outcome,
            status=response.status,
            tried=self._tried,
            ends=self._call_ends,
        )

    def _refuse_not_run(self, reason: str) -> None:
        self._stop()
        now = self._core.now
        retry_after_ms = self._core.get_retry_after_ms(now)
        pause_end = self._core.get_pause_end([self._service], min_coverage=1.0, now=now)
        if pause_end is not None:
            reason, retry_after_ms = "upstreams_paused", pause_end - now
        self._completion.send_error(
            STATUS_UNAVAILABLE,
            reason,
            verdict=RunVerdict.NOT_RUN,
            retry_after_ms=retry_after_ms,
            service=self._service,
            ends=self._call_ends,
        )

    def _schedule_timer(self) -> None:
        due_at = self._deadlines.hard_deadline
        now = self._core.now
        if self._may_reassign() or self._may_hedge():
            hedge_at = self._last_call_at + self._get_hedge_delay_ms()
            due_at = min(due_at, max(hedge_at, now + HEDGE_RETRY_INTERVAL_MS))
        self._start_timer(due_at, now)

    def _handle_timer(self) -> None:
        if self._completion.is_done:
            return
        now = self._core.now
        if now >= self._deadlines.hard_deadline:
            self._fail_on_timeout()
            return
        if now >= self._last_call_at + self._get_hedge_delay_ms():
            self._call_another()
        self._schedule_timer()

    def _call_another(self) -> None:
        """Hedges a slow call, or replaces it if it was not sent yet."""
        if self._may_reassign():
            (unsent,) = self._calls
            if self._call():
                self._calls.discard(unsent)
                self._core.pool.abandon(unsent)
                self._attempts -= 1
                self._call_ends.append(f"{unsent.upstream}: unsent")
        elif self._may_hedge() and self._try_extra_call(ExtraCallKind.HEDGE):
            self._call()

    def _try_extra_call(self, kind: ExtraCallKind) -> bool:
        return self._may_call_again(self._service, kind) and self._core.try_extra_call(
            self._service, kind
        )

    def _fail_on_timeout(self) -> None:
        is_sent = any(call.is_sent for call in self._calls)
        verdict = self._verdict
        if is_sent and verdict is RunVerdict.NOT_RUN:
            verdict = RunVerdict.MAY_HAVE_RUN
        self._stop()
        self._completion.send_error(
            STATUS_GATEWAY_TIMEOUT,
            "no_answer_in_time",
            verdict=verdict,
            tried=self._tried,
            ends=self._call_ends,
        )

    def _may_reassign(self) -> bool:
        """Whether the only call is still waiting for a connection."""
        return len(self._calls) == 1 and not next(iter(self._calls)).is_sent

    def _may_hedge(self) -> bool:
        return (
            self._route.is_idempotent
            and len(self._calls) == 1
            and self._attempts < self._route.max_attempts
        )

    def _get_hedge_delay_ms(self) -> float:
        return max(MIN_HEDGE_DELAY_MS, self._latency.get_quantile(HEDGE_QUANTILE))

    def _stop(self) -> None:
        self._end_calls(self._calls)
        self._calls.clear()


def _may_relay(response: UpstreamResponse | None) -> bool:
    """Whether an upstream's error response may be relayed to the caller unchanged.

    Statuses that imply that the request was not run must not be relayed for one that
    may have run.
    """
    if response is None or response.signature is None or response.has_content_encoding:
        return False
    return response.status >= 400 and response.status not in (408, 421, 429, 503)
