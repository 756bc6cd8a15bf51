"""Asks for room before the first call of a request, and holds or refuses it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from skylarkcart.admission import (
    AdmissionDecision,
    AdmissionKind,
    AdmissionReason,
    AdmissionRequest,
    Room,
    RoomView,
)
from skylarkcart.gateway._admission import AdmittedRequest
from skylarkcart.gateway._caller_connection import Exchange
from skylarkcart.gateway._completion import (
    MILLISECONDS_PER_SECOND,
    STATUS_INTERNAL_ERROR,
    STATUS_UNAVAILABLE,
    RequestCompletion,
)
from skylarkcart.gateway._core import MIN_RETRY_AFTER_MS, Core
from skylarkcart.gateway._event_log import MAX_DETAIL_LINES_PER_SECOND
from skylarkcart.gateway._pool import Call, CallResult
from skylarkcart.published import Route
from skylarkcart.replicas import CallEnd, RouteLatency
from skylarkcart.types import ServiceId
from skylarkcart.verdict import RunVerdict

# Calls that meet no queue take about this quantile of a route's recent call times.
WORK_QUANTILE = 0.25

# A request that is held and then refused must be refused early enough for its caller
# to be served elsewhere.
MAX_HOLD_FRACTION = 0.2

# Tolerates rounding of the product of a coverage and a number of shards.
COVERAGE_TOLERANCE = 1e-9

BYTES_PER_MS_PER_MBPS = 125.0

Start = Callable[[frozenset[ServiceId], AdmissionRequest], Exchange]


class RoomFacts(msgspec.Struct, frozen=True, kw_only=True):
    """The inputs of a decision in log lines."""

    decision: str
    priority: int
    is_returning: bool
    needed: int
    services: int
    urgent_priority: int | None
    urgent_tolerable_ms: float | None
    room: RoomView | None


class GatedRequest:
    """A request whose calls start once there is room for them.

    ``start`` starts the calls, without those to the services that are left out.
    """

    def __init__(
        self,
        *,
        core: Core,
        completion: RequestCompletion,
        admitted: AdmittedRequest,
        services: tuple[ServiceId, ...],
        caller: str,
        start: Start,
    ) -> None:
        self._core = core
        self._completion = completion
        self._admitted = admitted
        self._start = start
        self._exchange: Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._request = self._build_request(services, caller)

    def begin(self) -> Exchange | None:
        """Decides the request; returns None if it was refused."""
        decision = self._decide(self._request)
        if decision.kind is AdmissionKind.HOLD:
            self._log(decision, hold_ms=round(decision.hold_ms, 1))
            self._timer = asyncio.get_running_loop().call_later(
                decision.hold_ms / MILLISECONDS_PER_SECOND, self._release
            )
            return self
        return self._apply(decision)

    def abandon(self) -> None:
        """Ends the request after the caller has disconnected."""
        if self._exchange is not None:
            self._exchange.abandon()
            return
        self._cancel_timer()
        self._completion.abandon()

    def expire(self) -> None:
        """Responds at once, as the process is about to end."""
        if self._exchange is not None:
            self._exchange.expire()
            return
        self._cancel_timer()
        self._send_refusal("draining", MIN_RETRY_AFTER_MS)

    def _release(self) -> None:
        """Decides a held request again; an unexpected error ends only this one."""
        try:
            request = msgspec.structs.replace(
                self._request, max_hold_ms=0.0, was_held=True
            )
            self._exchange = self._apply(self._decide(request))
        except Exception as error:
            self._core.record_error(
                "request", error, request=self._completion.request_text
            )
            self._completion.send_error(
                STATUS_INTERNAL_ERROR,
                "internal_error",
                verdict=RunVerdict.MAY_HAVE_RUN,
            )

    def _decide(self, request: AdmissionRequest) -> AdmissionDecision:
        core = self._core
        now = core.now

        def get_room(service: ServiceId, work_ms: float) -> Room | None:
            return core.replicas.get_room(service, now=now, typical_ms=work_ms)

        decision = core.admission.decide(
            request, get_room=get_room, share=core.fleet_share.fraction, now=now
        )
        core.metrics.count_admission(
            decision.kind.value, request.priority, decision.reason.value
        )
        return decision

    def _apply(self, decision: AdmissionDecision) -> Exchange | None:
        if decision.kind is AdmissionKind.REFUSE:
            self._send_refusal(
                decision.reason.value,
                decision.retry_after_ms,
                facts=self._build_facts(decision),
            )
            return None
        left_out = decision.left_out
        if left_out and not self._reaches_coverage_without(left_out):
            left_out = frozenset()
        if decision.reason is AdmissionReason.SHARDS_LEFT_OUT:
            self._log(decision, left_out=sorted(left_out))
        return self._start(left_out, self._request)

    def _reaches_coverage_without(self, left_out: frozenset[ServiceId]) -> bool:
        """Whether enough other shards have upstreams that take calls now."""
        replicas, now = self._core.replicas, self._core.now
        available = sum(
            replicas.is_reachable(service, now)
            and replicas.get_available_at(service, now) == now
            for service in self._request.services
            if service not in left_out
        )
        return available >= self._request.needed

    def _send_refusal(
        self, reason: str, retry_after_ms: float, **fields: object
    ) -> None:
        account = self._admitted.account
        if account is not None:
            self._core.quotas.refund(account)
        self._completion.send_error(
            STATUS_UNAVAILABLE,
            reason,
            verdict=RunVerdict.NOT_RUN,
            retry_after_ms=retry_after_ms,
            **fields,
        )

    def _build_request(
        self, services: tuple[ServiceId, ...], caller: str
    ) -> AdmissionRequest:
        core, admitted = self._core, self._admitted
        route, deadlines = admitted.route, admitted.deadlines
        target_ms = route.target_latency_ms or route.timeout_ms
        time_ms = min(target_ms, deadlines.hard_deadline - self._completion.arrived_at)
        held_until = self._completion.arrived_at + MAX_HOLD_FRACTION * time_ms
        return AdmissionRequest(
            services=services,
            needed=count_needed(route),
            priority=_get_priority(core, admitted),
            account=admitted.account,
            caller=caller,
            soft_deadline=deadlines.soft_deadline,
            hard_deadline=deadlines.hard_deadline,
            work_ms=get_work_ms(core.get_latency(route)),
            is_returning=deadlines.is_retry,
            max_hold_ms=max(0.0, held_until - core.now),
        )

    def _build_facts(self, decision: AdmissionDecision) -> RoomFacts:
        request = self._request
        return RoomFacts(
            decision=decision.kind.value,
            priority=request.priority,
            is_returning=request.is_returning,
            needed=request.needed,
            services=len(request.services),
            urgent_priority=decision.urgent_priority,
            urgent_tolerable_ms=decision.urgent_tolerable_ms,
            room=decision.view,
        )

    def _log(self, decision: AdmissionDecision, **fields: object) -> None:
        self._core.log.write(
            "admission_decided",
            limit=MAX_DETAIL_LINES_PER_SECOND,
            request=self._completion.request_text,
            route=self._admitted.route.name,
            reason=decision.reason.value,
            facts=self._build_facts(decision),
            **fields,
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


def count_needed(route: Route) -> int:
    """Returns how many services must answer a request of a route."""
    if route.gathering is None:
        return 1
    needed = route.gathering.min_coverage * len(route.gathering.shards)
    return max(1, math.ceil(needed - COVERAGE_TOLERANCE))


def get_work_ms(latency: RouteLatency) -> float:
    """Returns about how long a call of a route takes if it meets no queue."""
    return latency.get_quantile(WORK_QUANTILE)


def record_call_end(
    core: Core, call: Call, result: CallResult, latency: RouteLatency
) -> None:
    """Passes on what the end of a call says about the room of its service."""
    service = call.replica.entry.service
    load = None if result.response is None else result.response.load
    is_shed = result.end is CallEnd.SHED
    if load is not None and load.work_factor is not None:
        is_full = is_shed or load.waiting > 0
        core.admission.record_report(service, is_full=is_full, now=core.now)
    elif is_shed and core.admission.is_reporting(service):
        core.admission.record_report(service, is_full=True, now=core.now)
    if result.end is CallEnd.ANSWERED and core.admission.is_suspecting(core.now):
        core.admission.record_answer(
            service,
            started_at=call.started_at,
            work_ms=get_work_ms(latency),
            now=core.now,
        )


def record_lateness(core: Core, *, late_ms: float, unsent_bytes: int) -> None:
    """Records how late a response is that this instance would send now."""
    link_ms = unsent_bytes / (core.settings.link_mbps * BYTES_PER_MS_PER_MBPS)
    core.admission.lateness.record(late_ms + link_ms, core.now)


def update_room_metrics(core: Core) -> None:
    """Sets the gauges of the room as admission sees it."""
    now = core.now
    core.metrics.short_services.set(len(core.admission.list_short_services(now)))
    wait_s = core.admission.get_longest_wait_ms(now) / MILLISECONDS_PER_SECOND
    core.metrics.room_wait.set(wait_s)
    core.metrics.room_trust.set(core.admission.get_least_trust())


def _get_priority(core: Core, admitted: AdmittedRequest) -> int:
    account = None
    if admitted.account is not None:
        account = core.table.accounts.get(admitted.account)
    if account is None:
        return admitted.route.priority
    return account.choose_priority(admitted.route)
