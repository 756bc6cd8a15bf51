"""Discrete-event simulation of instances, upstreams, network, platform and callers.

The instances run the real decision logic; everything around it is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.declarations import ServiceRow
from skylarkcart.proof._search_disturbances import Disturbances
from skylarkcart.proof._search_fakes import (
    COLD_SLOTS,
    SERVICE,
    SLOTS,
    FakeAnswer,
    FakeCall,
    FakeUpstream,
    Refusal,
    build_hits,
)
from skylarkcart.proof._search_instance import FakeInstance, RunningSearch
from skylarkcart.proof._search_ledger import SearchLedger
from skylarkcart.search import CallKind, SearchAnswer
from skylarkcart.types import (
    InstanceId,
    LateShardPreference,
    SnapshotId,
    UpstreamId,
    ZoneId,
)
from skylarkcart.upstreams import ChoicePolicy, UpstreamMessage, WarmRequest

SAME_ZONE_DELAY_MS = 0.2
CROSS_ZONE_DELAY_MS = 0.5
CONNECT_DURATION_MS = 6.0
MAX_CONNECTIONS_PER_UPSTREAM = 30
TICK_INTERVAL_MS = 20.0
EXCHANGE_INTERVAL_MS = 250.0
LOAD_REPORT_INTERVAL_MS = 100.0
EVENTS_PER_VIOLATION_CHECK = 256


class SimulationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Load, faults and disturbances of a run.

    Ratios are per call, except that ``complete_ratio`` is per search, ``partial_ratio``
    per shard and ``lost_message_ratio`` per message. Intervals are means in ms, and
    times that end in ``_at`` are in ms; 0 disables the disturbance. ``reported_load``
    maps an upstream's load to the load it reports; with None, none is reported.
    """

    duration_ms: float = 4_000.0
    zones: tuple[ZoneId, ...] = (ZoneId("a"), ZoneId("b"), ZoneId("c"))
    upstreams_per_zone: int = 4
    instances_per_zone: int = 2
    searches_per_s: float = 300.0
    answer_by_ms: float = 150.0
    deadline_ms: float = 300.0
    complete_ratio: float = 0.2
    extra_calls_ratio: float = 0.05
    policy: ChoicePolicy = ChoicePolicy()
    reported_load: Callable[[float], float] | None = None
    straggler_ratio: float = 0.02
    slow_upstream_factor: float = 1.0
    slowdown_at: float = 0.0
    partial_ratio: float = 0.0
    crossed_ratio: float = 0.0
    other_snapshot_ratio: float = 0.0
    repeated_ratio: float = 0.0
    lost_message_ratio: float = 0.0
    restart_interval_ms: float = 0.0
    cold_interval_ms: float = 0.0
    drain_interval_ms: float = 0.0
    snapshot_interval_ms: float = 0.0
    right_interval_ms: float = 0.0
    instance_interval_ms: float = 0.0
    zone_closed_at: float = 0.0
    zone_opened_at: float = 0.0
    warm_up_ms: float = 2_000.0


class SearchSimulation:
    """Runs instances and simulated upstreams with one seed."""

    def __init__(self, *, settings: SimulationSettings, seed: int) -> None:
        self.settings = settings
        self.now = 0.0
        self.ledger = SearchLedger()
        self.running_searches: set[str] = set()
        self._random = random.Random(seed)
        self._seeds = itertools.count(seed * 1_000 + 1)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._event_numbers = itertools.count()
        self._search_numbers = itertools.count()
        self._last_answer: FakeAnswer | None = None
        self.disturbances = Disturbances(simulation=self, random=self._random)
        self.upstreams = self._build_upstreams()
        self.instances: dict[InstanceId, FakeInstance] = {}
        self._start()

    def run(self, *, has_violation: Callable[[], bool] | None = None) -> None:
        """Runs until all searches that began within the duration have ended.

        ``has_violation`` is called every ``EVENTS_PER_VIOLATION_CHECK`` events, and the
        run ends when it returns True.
        """
        end_ms = self.settings.duration_ms
        for number in itertools.count():
            if not self._events or (
                self._events[0][0] > end_ms and not self.running_searches
            ):
                return
            if (
                has_violation
                and number % EVENTS_PER_VIOLATION_CHECK == 0
                and has_violation()
            ):
                return
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def schedule(self, delay_ms: float, function: Callable[..., None], *arguments):
        at = self.now + max(0.0, delay_ms)
        heapq.heappush(
            self._events, (at, next(self._event_numbers), function, arguments)
        )

    def send_call(self, instance: FakeInstance, call: FakeCall) -> None:
        kind = call.start.kind
        self.ledger.calls_by_kind[kind] += 1
        instance.sent_calls[kind] += 1
        allowed_hedges = (
            self.settings.extra_calls_ratio * instance.sent_calls[CallKind.FIRST]
        )
        # The tolerance covers rounding errors of summing the ratio.
        if kind is CallKind.HEDGE and instance.sent_calls[kind] > allowed_hedges + 1e-6:
            detail = (
                f"{instance.sent_calls[kind]} hedges of {instance.id}, "
                f"allowed {allowed_hedges}"
            )
            self.ledger.record_violation("extra_calls", detail)
        self.schedule(self._get_delay(instance, call), self._deliver_call, call)

    def cancel_call(self, instance: FakeInstance, call: FakeCall) -> None:
        upstream = self.upstreams[call.start.upstream]
        self.schedule(self._get_delay(instance, call), upstream.cancel, call)

    def connect(self, instance: FakeInstance, upstream: UpstreamId) -> None:
        self.schedule(
            CONNECT_DURATION_MS,
            self._finish_connecting,
            instance,
            self.upstreams[upstream],
        )

    def finish_search(self, running: RunningSearch, answer: SearchAnswer) -> None:
        request = running.request
        if request.request_id not in self.running_searches:
            self.ledger.record_violation("answered_twice", request.request_id)
            return
        self.running_searches.discard(request.request_id)
        if running.started_at >= self.settings.warm_up_ms:
            self.ledger.record_answer(
                request,
                answer,
                latency_ms=self.now - running.started_at,
                allowed_ms=self.settings.deadline_ms,
            )

    def _build_upstreams(self) -> dict[UpstreamId, FakeUpstream]:
        settings = self.settings
        upstreams = {}
        for zone in settings.zones:
            for number in range(settings.upstreams_per_zone):
                upstream = FakeUpstream(
                    upstream=UpstreamId(f"{zone}{number}"),
                    zone=zone,
                    random=random.Random(next(self._seeds)),
                    schedule=self.schedule,
                    respond=self._send_answer,
                    clock=lambda: self.now,
                    straggler_ratio=settings.straggler_ratio,
                    partial_ratio=settings.partial_ratio,
                )
                upstreams[upstream.id] = upstream
        next(iter(upstreams.values())).latency_factor = settings.slow_upstream_factor
        return upstreams

    def _start(self) -> None:
        settings = self.settings
        snapshot = self.disturbances.build_snapshot()
        for upstream in self.upstreams.values():
            upstream.add_snapshot(snapshot)
        for zone in settings.zones:
            for number in range(settings.instances_per_zone):
                self.start_instance(InstanceId(f"i-{zone}{number}"), zone)
        self.disturbances.deliver_snapshot(snapshot, 0.0)
        self.disturbances.schedule_repeatedly(
            1_000.0 / settings.searches_per_s, self._start_search
        )
        self.disturbances.start()
        if settings.reported_load is not None:
            self._report_loads()

    def start_instance(self, name: InstanceId, zone: ZoneId) -> FakeInstance:
        instance = FakeInstance(
            instance=name, zone=zone, simulation=self, seed=next(self._seeds)
        )
        self.instances[name] = instance
        row = ServiceRow(
            service=SERVICE,
            slots=SLOTS,
            cold_slots=COLD_SLOTS,
            connections=MAX_CONNECTIONS_PER_UPSTREAM,
            connect_cost_ms=CONNECT_DURATION_MS,
            answer_by_ms=self.settings.answer_by_ms,
            deadline_ms=self.settings.deadline_ms,
        )
        instance.directory.observe_services((row,), max_instances=10)
        instance.directory.observe_list(
            self.disturbances.build_instance_list(), Millis(self.now)
        )
        instance.directory.observe_zones(
            self.disturbances.build_zone_rows(), Millis(self.now)
        )
        self._tick(instance)
        self._exchange_messages(instance)
        self._request_warm_upstreams(instance)
        return instance

    def _get_delay(self, instance: FakeInstance, call: FakeCall) -> float:
        zone = self.upstreams[call.start.upstream].zone
        return SAME_ZONE_DELAY_MS if zone == instance.zone else CROSS_ZONE_DELAY_MS

    def _deliver_call(self, call: FakeCall) -> None:
        upstream = self.upstreams[call.start.upstream]
        if call.is_ended or call.process != upstream.process or not upstream.is_up:
            return
        self.ledger.check_arrival(upstream, self.now)
        upstream.receive(call)
        self.ledger.check_load(upstream, self.now)

    def _send_answer(self, call: FakeCall, answer: FakeAnswer | Refusal) -> None:
        settings = self.settings
        upstream = self.upstreams[call.start.upstream]
        if isinstance(answer, Refusal):
            self.ledger.record_refusal(upstream, answer.reason, self.now)
        instance = self.instances[call.instance]
        delay_ms = self._get_delay(instance, call)
        own_answer, self._last_answer = answer, self._last_answer or answer
        if isinstance(answer, FakeAnswer):
            if self._random.random() < settings.crossed_ratio:
                answer = self._last_answer
            elif self._random.random() < settings.other_snapshot_ratio:
                answer = _answer_other_snapshot(call, answer)
            self._last_answer = own_answer
            if self._random.random() < settings.repeated_ratio:
                self.schedule(delay_ms + 1.0, self._deliver_answer, call, answer)
        self.schedule(delay_ms, self._deliver_answer, call, answer)

    def _deliver_answer(self, call: FakeCall, answer: FakeAnswer | Refusal) -> None:
        if isinstance(answer, FakeAnswer):
            is_own = (
                answer.request_id == call.start.request_id
                and answer.snapshot == call.start.snapshot
            )
            if is_own and not call.is_ended:
                self.ledger.record_delivery(call, answer)
        call.deliver(call, answer)

    def _finish_connecting(
        self, instance: FakeInstance, upstream: FakeUpstream
    ) -> None:
        if upstream.is_up:
            instance.note_connected(upstream.id)
        else:
            instance.directory.record_connection_failed(upstream.id, Millis(self.now))

    def _tick(self, instance: FakeInstance) -> None:
        if instance.is_alive:
            instance.tick()
            self.schedule(TICK_INTERVAL_MS, self._tick, instance)

    def _exchange_messages(self, instance: FakeInstance) -> None:
        if not instance.is_alive:
            return
        for message in instance.directory.build_messages(Millis(self.now)):
            for peer in self.instances.values():
                if peer is not instance:
                    self._send_message(peer, message)
        self.schedule(EXCHANGE_INTERVAL_MS, self._exchange_messages, instance)

    def _request_warm_upstreams(self, instance: FakeInstance) -> None:
        """Lets a new instance ask its peers which upstreams are warm."""
        for peer in self.instances.values():
            for reply in peer.directory.handle(WarmRequest(), Millis(self.now)):
                self._send_message(instance, reply)

    def _send_message(self, peer: FakeInstance, message: UpstreamMessage) -> None:
        if self._random.random() < self.settings.lost_message_ratio:
            return
        delay_ms = self._random.uniform(SAME_ZONE_DELAY_MS, 10 * CROSS_ZONE_DELAY_MS)
        self.schedule(delay_ms, self._receive_message, peer, message)

    def _receive_message(self, peer: FakeInstance, message: UpstreamMessage) -> None:
        if peer.is_alive:
            peer.directory.handle(message, Millis(self.now))

    def _report_loads(self) -> None:
        for instance in self.instances.values():
            for upstream in self.upstreams.values():
                load = self.settings.reported_load(upstream.load)
                instance.directory.observe_report(upstream.id, load)
        self.schedule(LOAD_REPORT_INTERVAL_MS, self._report_loads)

    def _start_search(self) -> None:
        available = [
            instance
            for instance in self.instances.values()
            if instance.zone != self.disturbances.closed_zone
        ]
        instance = self._random.choice(available)
        number = next(self._search_numbers)
        prefers_complete = self._random.random() < self.settings.complete_ratio
        prefer = (
            LateShardPreference.COMPLETE
            if prefers_complete
            else LateShardPreference.TIMELY
        )
        instance.search(number, prefer)


def _answer_other_snapshot(call: FakeCall, answer: FakeAnswer) -> FakeAnswer:
    """Returns the answer of an upstream whose index changed during the call."""
    other = SnapshotId("v0")
    shards = tuple(
        msgspec.structs.replace(
            part, hits=build_hits(call.query, other, part.shard, part.total)
        )
        for part in answer.shards
    )
    return msgspec.structs.replace(answer, snapshot=other, shards=shards)
