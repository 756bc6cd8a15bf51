"""Decides for each request whether its calls may start while room is short."""

from __future__ import annotations

import msgspec

from skylarkcart.admission._bias import WaitBias
from skylarkcart.admission._callers import Callers
from skylarkcart.admission._demand import (
    Demand,
    find_contended_services,
    list_service_groups,
)
from skylarkcart.admission._evidence import MAX_NEWS_AGE_MS, ServiceEvidence
from skylarkcart.admission._lateness import LoopLateness
from skylarkcart.admission._messages import (
    ADMITTED,
    AdmissionDecision,
    AdmissionKind,
    AdmissionReason,
    AdmissionRequest,
    GroupKey,
    get_group_key,
)
from skylarkcart.admission._pressure import (
    MIN_TOLERABLE_MS,
    Pressure,
    find_pressure,
)
from skylarkcart.admission._returns import ReturnState
from skylarkcart.admission._shortage import GetRoom, Shortage, find_shortage
from skylarkcart.clock import Millis
from skylarkcart.published import Configuration
from skylarkcart.types import ServiceId

# Callers honour a Retry-After up to a third of the time that they have left.
MAX_RETRY_FRACTION = 0.32
MIN_RETRY_AFTER_MS = 20.0

# A request whose wait is expected to end later than this part of its hold is not held.
HOLD_MARGIN = 0.9

# The shortest hold; a timer fires no more exactly.
MIN_HOLD_MS = 5.0

# A caller is told to return only if its request could then run this many times.
MIN_RETURN_WORK = 2.0

# Pauses of the event loop up to this length are usual.
MIN_REFUSED_LATENESS_MS = 50.0


class Admission:
    """Decides from the room of services, the priority and the deadlines of requests.

    It takes effect only at contended services, which requests of different priorities
    may reach, and whose upstreams report how long work takes on their machines.

    >>> admission = Admission()
    >>> admission.decide(request, get_room=get_room, share=1.0, now=now).kind
    <AdmissionKind.ADMIT: 'admit'>
    """

    def __init__(self) -> None:
        self.lateness = LoopLateness()
        # The highest priority by contended service.
        self._contended: dict[ServiceId, int] = {}
        # Contended services whose upstreams report a work factor.
        self._reporting: set[ServiceId] = set()
        self._evidence: dict[ServiceId, ServiceEvidence] = {}
        self._biases: dict[ServiceId, WaitBias] = {}
        self._suspect_until = Millis(float("-inf"))
        self._demand = Demand()
        self._callers = Callers()
        # Parts of requests that gave way, by services and priority. A request gives way
        # when they add up to a whole one.
        self._pressure_sums: dict[tuple[GroupKey, int], float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Finds the contended services of a configuration that is put in force."""
        self._contended = find_contended_services(configuration)
        self._reporting &= self._contended.keys()
        for service in self._evidence.keys() - self._contended.keys():
            del self._evidence[service]
        groups = {
            get_group_key(services)
            for route in configuration.routes
            for services in list_service_groups(route)
        }
        self._demand.keep_only(groups)
        self._biases = self._share_biases(configuration)
        for key in [key for key in self._pressure_sums if key[0] not in groups]:
            del self._pressure_sums[key]

    def _share_biases(self, configuration: Configuration) -> dict[ServiceId, WaitBias]:
        """Lets the services that are called together learn one bias."""
        shared: dict[ServiceId, WaitBias] = {}
        for route in configuration.routes:
            for services in list_service_groups(route):
                if services[0] in self._contended:
                    bias = shared.get(services[0]) or self._biases.get(services[0])
                    shared |= dict.fromkeys(services, bias or WaitBias())
        return shared

    def record_report(self, service: ServiceId, *, is_full: bool, now: Millis) -> None:
        """Records a report with a work factor, or the refusal of a reporting upstream.

        Services that were never reported to be full keep no state.
        """
        if service not in self._contended:
            return
        self._reporting.add(service)
        evidence = self._evidence.get(service)
        if evidence is None:
            if not is_full:
                return
            bias = self._biases.get(service)
            evidence = self._evidence[service] = ServiceEvidence(bias=bias)
        evidence.record_report(is_full=is_full, now=now)
        if is_full:
            self._suspect_until = Millis(now + MAX_NEWS_AGE_MS)

    def record_answer(
        self, service: ServiceId, *, started_at: Millis, work_ms: float, now: Millis
    ) -> None:
        """Compares the time of an answered call with the wait that was announced."""
        evidence = self._evidence.get(service)
        if evidence is not None:
            evidence.record_answer(
                started_at=started_at, elapsed_ms=now - started_at, work_ms=work_ms
            )

    def is_suspecting(self, now: Millis) -> bool:
        """Whether any service was reported to be full a short time ago."""
        return now <= self._suspect_until

    def is_reporting(self, service: ServiceId) -> bool:
        """Whether admission takes effect at a service."""
        return service in self._reporting

    def decide(
        self, request: AdmissionRequest, *, get_room: GetRoom, share: float, now: Millis
    ) -> AdmissionDecision:
        """Decides a request; ``share`` is this instance's fraction of the fleet."""
        if request.services[0] not in self._reporting:
            return ADMITTED
        if not request.is_returning and self._is_too_late(request, now):
            return AdmissionDecision(
                kind=AdmissionKind.REFUSE,
                reason=AdmissionReason.INSTANCE_LATE,
                retry_after_ms=MIN_RETRY_AFTER_MS,
            )
        if not request.is_returning and not request.was_held:
            # What is left of the time of others says nothing about their kind.
            self._demand.record(request, now)
        if not self.is_suspecting(now):
            return ADMITTED
        return self._decide_suspect(request, get_room, share=share, now=now)

    def may_call_again(
        self,
        request: AdmissionRequest,
        service: ServiceId,
        *,
        is_hedge: bool,
        now: Millis,
    ) -> bool:
        """Whether a second call of a request may take room at a short service.

        Hedges of less urgent requests give way; other second calls are made only if
        they can answer in time, or, as retries, before the deadline.
        """
        if not self.is_suspecting(now):
            return True
        evidence = self._evidence.get(service)
        if evidence is None or not evidence.is_short or not evidence.is_suspect(now):
            return True
        if is_hedge and self._demand.find_more_urgent(request, now):
            return False
        limit = request.soft_deadline if is_hedge else request.hard_deadline
        return now + evidence.believed_wait_ms + request.work_ms <= limit

    def list_short_services(self, now: Millis) -> tuple[ServiceId, ...]:
        """Returns the services that are short of room, for metrics."""
        return tuple(
            service
            for service, evidence in self._evidence.items()
            if evidence.is_short and evidence.is_suspect(now)
        )

    def get_longest_wait_ms(self, now: Millis) -> float:
        """Returns the longest believed wait of a short service, for metrics."""
        waits = (
            self._evidence[service].believed_wait_ms
            for service in self.list_short_services(now)
        )
        return max(waits, default=0.0)

    def get_least_trust(self) -> float:
        """Returns the least trust in the reports of a service, for metrics."""
        return min((each.trust for each in self._evidence.values()), default=1.0)

    def _is_too_late(self, request: AdmissionRequest, now: Millis) -> bool:
        late_ms = self.lateness.get_ms(now)
        return late_ms > MIN_REFUSED_LATENESS_MS and (
            late_ms > request.get_tolerable_wait_ms(now)
        )

    def _decide_suspect(
        self, request: AdmissionRequest, get_room: GetRoom, *, share: float, now: Millis
    ) -> AdmissionDecision:
        """Decides a request while some service was reported to be full lately."""
        more_urgent = self._demand.find_more_urgent(request, now)
        tolerable_ms = request.get_tolerable_wait_ms(now)
        if more_urgent:
            tolerable_ms = more_urgent[0].tolerable_ms
        shortage = find_shortage(
            request.services,
            self._evidence,
            get_room,
            tolerable_ms=max(MIN_TOLERABLE_MS, tolerable_ms),
            work_ms=self._demand.get_mean_work_ms(request),
            now=now,
        )
        if shortage is None:
            return ADMITTED
        self._callers.record(request, now)
        is_top = request.priority <= self._contended[request.services[0]]
        pressure = find_pressure(
            request, shortage, more_urgent, is_highest_priority=is_top, now=now
        )
        return self._apply(request, shortage, pressure, share=share, now=now)

    def _apply(
        self,
        request: AdmissionRequest,
        shortage: Shortage,
        pressure: Pressure,
        *,
        share: float,
        now: Millis,
    ) -> AdmissionDecision:
        if pressure.reason is AdmissionReason.HOPELESS:
            return self._refuse(request, shortage, pressure, share=share, now=now)
        state = self._callers.find_return_state(request, now)
        if state is ReturnState.DUE:
            self._callers.use_slot(request)
            return self._admit(request, shortage, pressure, now)
        if pressure.part <= 0.0:
            return self._admit(request, shortage, pressure, now)
        if state is ReturnState.EARLY:
            return self._refuse_early(request, shortage, pressure, now)
        key = (request.group, request.priority)
        total = self._pressure_sums.get(key, 0.0) + self._callers.weigh(
            request, pressure.part
        )
        if total < 1.0 or not _can_return(request, now):
            self._pressure_sums[key] = min(total, 1.0)
            return self._admit(request, shortage, pressure, now)
        if _can_be_held(request, shortage, pressure, now):
            return AdmissionDecision(
                kind=AdmissionKind.HOLD,
                reason=pressure.reason,
                hold_ms=max(MIN_HOLD_MS, pressure.excess_ms),
                view=shortage.build_view(request, wait_ms=pressure.wait_ms, now=now),
            )
        self._pressure_sums[key] = total - 1.0
        return self._refuse(request, shortage, pressure, share=share, now=now)

    def _admit(
        self,
        request: AdmissionRequest,
        shortage: Shortage,
        pressure: Pressure,
        now: Millis,
    ) -> AdmissionDecision:
        """Admits a request and leaves out the shards that can't answer it in time.

        If the others can't either, only those that can't before the deadline.
        """
        limit_ms = request.get_tolerable_wait_ms(now)
        if shortage.get_wait_ms(request.needed) > limit_ms:
            limit_ms = request.hard_deadline - now - request.work_ms
        late = [name for name, wait_ms in shortage.waits.items() if wait_ms > limit_ms]
        late.sort(key=shortage.waits.__getitem__, reverse=True)
        left_out = frozenset(late[: len(request.services) - request.needed])
        if limit_ms <= 0.0 or not left_out:
            return ADMITTED
        return AdmissionDecision(
            kind=AdmissionKind.ADMIT,
            reason=AdmissionReason.SHARDS_LEFT_OUT,
            left_out=left_out,
            view=shortage.build_view(request, wait_ms=pressure.wait_ms, now=now),
        )

    def _refuse(
        self,
        request: AdmissionRequest,
        shortage: Shortage,
        pressure: Pressure,
        *,
        share: float,
        now: Millis,
    ) -> AdmissionDecision:
        room_per_ms = max(1.0, shortage.get_slots()) * share / max(1.0, request.work_ms)
        retry_after_ms = self._callers.reserve_slot(
            request,
            wait_ms=max(MIN_RETRY_AFTER_MS, pressure.excess_ms),
            spacing_ms=1.0 / max(1e-6, room_per_ms),
            max_wait_ms=max(
                MIN_RETRY_AFTER_MS, MAX_RETRY_FRACTION * (request.hard_deadline - now)
            ),
            now=now,
        )
        return _build_refusal(request, shortage, pressure, retry_after_ms, now)

    def _refuse_early(
        self,
        request: AdmissionRequest,
        shortage: Shortage,
        pressure: Pressure,
        now: Millis,
    ) -> AdmissionDecision:
        """Refuses a caller that repeats before the time that it was told."""
        left_ms = max(
            MIN_RETRY_AFTER_MS, self._callers.get_time_to_slot_ms(request, now)
        )
        early = msgspec.structs.replace(pressure, reason=AdmissionReason.BEFORE_SLOT)
        return _build_refusal(request, shortage, early, left_ms, now)


def _can_return(request: AdmissionRequest, now: Millis) -> bool:
    """Whether a refused caller has time for another attempt."""
    time_left_ms = request.hard_deadline - now
    return (1.0 - MAX_RETRY_FRACTION) * time_left_ms > MIN_RETURN_WORK * request.work_ms


def _can_be_held(
    request: AdmissionRequest, shortage: Shortage, pressure: Pressure, now: Millis
) -> bool:
    """Whether the shortage passes while the request is held, and it is in time then."""
    if pressure.reason is not AdmissionReason.YIELDS:
        return False
    own_wait_ms = shortage.get_wait_ms(request.needed)
    return (
        pressure.excess_ms <= HOLD_MARGIN * request.max_hold_ms
        and own_wait_ms <= request.get_tolerable_wait_ms(now)
    )


def _build_refusal(
    request: AdmissionRequest,
    shortage: Shortage,
    pressure: Pressure,
    retry_after_ms: float,
    now: Millis,
) -> AdmissionDecision:
    urgent = pressure.urgent
    return AdmissionDecision(
        kind=AdmissionKind.REFUSE,
        reason=pressure.reason,
        retry_after_ms=retry_after_ms,
        view=shortage.build_view(request, wait_ms=pressure.wait_ms, now=now),
        urgent_priority=None if urgent is None else urgent.priority,
        urgent_tolerable_ms=None if urgent is None else round(urgent.tolerable_ms, 1),
    )
