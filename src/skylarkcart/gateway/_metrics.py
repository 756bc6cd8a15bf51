"""Prometheus metrics of a gateway instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from skylarkcart.budgets import ExtraCallKind
from skylarkcart.gateway._load_reports import LoadCollector
from skylarkcart.load import LoadStatistics
from skylarkcart.replicas import CallEnd

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12)


class GatewayMetrics:
    """The metrics that docs/OPERATIONS.md lists."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self.registry = registry
        # Updated by the choice of upstreams.
        self.load_statistics = LoadStatistics()
        registry.register(LoadCollector(statistics=self.load_statistics))
        self.requests = Counter(
            "skylarkcart_gateway_requests",
            "Answered requests by route and outcome",
            ("route", "outcome"),
            registry=registry,
        )
        self.latency = Histogram(
            "skylarkcart_gateway_request_seconds",
            "Time from the arrival of a request to its answer",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        call_latency = Histogram(
            "skylarkcart_gateway_call_seconds",
            "Time from the choice of an upstream to its answer",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.shard_call_latency = call_latency.labels("part")
        self.relayed_call_latency = call_latency.labels("whole")
        calls = Counter(
            "skylarkcart_gateway_upstream_calls",
            "Calls to upstreams by how they ended",
            ("end",),
            registry=registry,
        )
        # Cached because a label lookup costs more than the increment itself.
        self._calls = {end: calls.labels(end.value) for end in CallEnd}
        extra_calls = Counter(
            "skylarkcart_gateway_extra_calls",
            "Calls beyond the first of a request, and those without budget",
            ("kind", "granted"),
            registry=registry,
        )
        self._extra_calls = {
            (kind, granted): extra_calls.labels(kind.value, str(granted).lower())
            for kind in ExtraCallKind
            for granted in (False, True)
        }
        self._admissions = Counter(
            "skylarkcart_gateway_admission",
            "Decisions on requests at services where priorities compete for room",
            ("decision", "priority", "reason"),
            registry=registry,
        )
        yielded_calls = Counter(
            "skylarkcart_gateway_yielded_calls",
            "Second calls that were not made because room is short",
            ("kind",),
            registry=registry,
        )
        self._yielded_calls = {
            kind: yielded_calls.labels(kind.value) for kind in ExtraCallKind
        }
        self._admission_counters: dict[tuple[str, int, str], Counter] = {}
        self.short_services = Gauge(
            "skylarkcart_gateway_short_services",
            "Services that are short of room",
            registry=registry,
        )
        self.room_wait = Gauge(
            "skylarkcart_gateway_room_wait_seconds",
            "Longest believed wait for a slot of a service that is short of room",
            registry=registry,
        )
        self.room_trust = Gauge(
            "skylarkcart_gateway_room_trust",
            "Least trust in the reported load of a service, from 0 to 1",
            registry=registry,
        )
        self.missing_parts = Counter(
            "skylarkcart_gateway_missing_parts",
            "Shards left out of answers",
            registry=registry,
        )
        self.store_calls = Counter(
            "skylarkcart_gateway_store_calls",
            "Calls to the platform's store",
            ("result",),
            registry=registry,
        )
        self.store_call_latency = Histogram(
            "skylarkcart_gateway_store_call_seconds",
            "Time of answered calls to the store; a watch waits for changes",
            ("operation",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.state_age = Gauge(
            "skylarkcart_gateway_state_age_seconds",
            "Age of the confirmation of the published state",
            registry=registry,
        )
        self.state_revision = Gauge(
            "skylarkcart_gateway_state_revision",
            "Revision of the published state",
            registry=registry,
        )
        self.state_era = Gauge(
            "skylarkcart_gateway_state_era",
            "Era of the store that the published state is of, -1 if none is known",
            registry=registry,
        )
        self.configuration_version = Gauge(
            "skylarkcart_gateway_configuration_version",
            "Version of the configuration in force",
            registry=registry,
        )
        self.peers = Gauge(
            "skylarkcart_gateway_peers",
            "Other instances that are known",
            registry=registry,
        )
        self.upstreams = Gauge(
            "skylarkcart_gateway_upstreams",
            "Upstreams that may get work",
            registry=registry,
        )
        self.connections_opened = Counter(
            "skylarkcart_gateway_upstream_connections_opened",
            "Connections opened to upstreams",
            registry=registry,
        )

        self.upstream_notices = Counter(
            "skylarkcart_gateway_upstream_notices",
            "What responses of upstreams say about the upstreams themselves",
            ("notice",),
            registry=registry,
        )
        self.rejected_responses = Counter(
            "skylarkcart_gateway_rejected_responses",
            "Responses of upstreams that exceeded a limit",
            ("reason",),
            registry=registry,
        )
        self.caller_rejections = Counter(
            "skylarkcart_gateway_caller_rejections",
            "Requests rejected before they were read, and connections closed early",
            ("reason",),
            registry=registry,
        )
        self.caller_bytes = Gauge(
            "skylarkcart_gateway_caller_bytes",
            "Memory that callers make the process hold, as counted",
            registry=registry,
        )
        self.caller_connections = Gauge(
            "skylarkcart_gateway_caller_connections",
            "Open connections of callers",
            registry=registry,
        )
        self.internal_errors = Counter(
            "skylarkcart_gateway_internal_errors",
            "Unexpected errors by the part in which they occurred",
            ("part",),
            registry=registry,
        )

    def count_call(self, end: CallEnd) -> None:
        self._calls[end].inc()

    def count_admission(self, decision: str, priority: int, reason: str) -> None:
        """Counts a decision on a request before its first call."""
        key = (decision, priority, reason)
        counter = self._admission_counters.get(key)
        if counter is None:
            counter = self._admissions.labels(decision, str(priority), reason)
            self._admission_counters[key] = counter
        counter.inc()

    def count_yielded_call(self, kind: ExtraCallKind) -> None:
        self._yielded_calls[kind].inc()

    def count_extra_call(self, kind: ExtraCallKind, *, granted: bool) -> None:
        self._extra_calls[kind, granted].inc()

    def render(self) -> bytes:
        return generate_latest(self.registry)
