"""State shared by all components of a gateway instance."""

from __future__ import annotations

import asyncio
import math
import random
import traceback
from collections.abc import Sequence

from skylarkcart.admission import Admission
from skylarkcart.budgets import (
    ExtraCallBudget,
    ExtraCallClaim,
    ExtraCallKind,
    FleetShare,
    InstanceUsage,
    RequestRate,
    SharedUsage,
    UsageView,
)
from skylarkcart.clock import Clock, Millis
from skylarkcart.exchange import UpstreamResponse
from skylarkcart.fleet import UNKNOWN_RATE, Fleet, PeerSurvey
from skylarkcart.gateway._caller_limits import compute_largest_share
from skylarkcart.gateway._event_log import MAX_DETAIL_LINES_PER_SECOND, EventLog, Level
from skylarkcart.gateway._metrics import GatewayMetrics
from skylarkcart.gateway._pool import UpstreamPool
from skylarkcart.gateway._preconnect import Preconnector
from skylarkcart.gateway._receive_limits import ReceiveMemory
from skylarkcart.gateway._timing import ElapsedTimeEstimator, ResponseDelayEstimator
from skylarkcart.gateway_settings import GatewaySettings
from skylarkcart.lifecycle import DrainSchedule, Lifecycle
from skylarkcart.published import CallerLimits, Configuration, Route
from skylarkcart.quotas import INITIAL_FILL_FRACTION, Quotas
from skylarkcart.receive import Account, derive_caller_sizes
from skylarkcart.registry import Registry, RegistryEvent, build_retention_bounds
from skylarkcart.replicas import Replica, Replicas, RouteLatency
from skylarkcart.routing import RouteTable, list_services
from skylarkcart.supervision import RestartPolicy
from skylarkcart.types import ServiceId, UpstreamId, ZoneId

# On shutdown, readiness fails first. The load balancer probes once a second and removes
# an instance after two failed probes.
DRAIN_LINGER_MS = 2_600.0
DRAIN_QUIET_MS = 300.0

# A revoked API key must stop working within the operators' bound. Published state may
# be older than its confirmation by this much when the store notifies watchers late.
CONFIRMATION_MARGIN_MS = 1_300.0

# An upstream limits its connections over all clients. The unused fraction allows for
# connections that are still closing.
CONNECTION_LIMIT_FRACTION = 0.9

# The rate limit of a cold upstream applies to each second, in which calls of several
# instances may coincide.
COLD_RATE_FRACTION = 0.8

# After a partition, services become reachable again within two maintenance intervals.
# For this time, the instance stays unready until all routes can be served.
RECOVERY_MS = 500.0

# Weight of a route without recent requests in the readiness check, in requests.
IDLE_ROUTE_WEIGHT = 0.1

# Time until the load balancer removes an unready instance: it probes once a second and
# removes an instance after two failed probes.
BALANCER_DETECTION_MS = 2_200.0

# Retry-After where another instance may serve the caller: nearly at once after the load
# balancer has removed this instance, and longer while it still routes callers here.
MIN_RETRY_AFTER_MS = 20.0
UNAVAILABLE_RETRY_AFTER_MS = 200.0

# A route is in use for this time after a request. Upstreams close connections that are
# idle for about as long.
RECENT_REQUEST_MS = 10_000.0

# Latency assumed before the first call of a route, as a fraction of its target latency.
INITIAL_LATENCY_FRACTION = 0.3

# An upstream that states its load in error does so in each response.
MAX_NOTICE_LINES_PER_SECOND = 2

# Innermost stack frames in the log line of an unexpected error.
MAX_LOGGED_FRAMES = 4

DEFAULT_CALLER_LIMITS = CallerLimits(
    max_header_bytes=16_384,
    max_body_bytes=262_144,
    header_timeout_ms=3_000.0,
    idle_timeout_ms=15_000.0,
)


class Core:
    """Holds the state of all components and applies published changes to it."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        clock: Clock,
        random: random.Random,
        incarnation: int,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.log = EventLog(clock=clock, instance=settings.instance)
        self.metrics = GatewayMetrics()
        self.lifecycle = Lifecycle(linger_ms=DRAIN_LINGER_MS, quiet_ms=DRAIN_QUIET_MS)
        self.drain: DrainSchedule | None = None
        self.registry = Registry(
            on_event=self._record_event,
            retention=build_retention_bounds(settings.bounds),
        )
        self.replicas = Replicas(
            zone=settings.zone,
            random=random,
            load_statistics=self.metrics.load_statistics,
            spreads_calls=settings.spreads_calls,
        )
        self.admission = Admission()
        self.quotas = Quotas(
            initial_fill_fraction=(
                1.0 if settings.is_first_start else INITIAL_FILL_FRACTION
            )
        )
        self.elapsed_times = ElapsedTimeEstimator()
        self.response_delays = ResponseDelayEstimator(link_mbps=settings.link_mbps)
        self.fleet = Fleet(
            instance=settings.instance,
            zone=settings.zone,
            zones=settings.zones,
            host=settings.peer_host,
            incarnation=incarnation,
            seed_hosts=settings.seed_hosts,
            random=random,
        )
        self.survey = PeerSurvey(is_first_start=settings.is_first_start)
        self.pool = UpstreamPool(
            clock=clock,
            get_limit=self._get_connection_limit,
            on_open=self.metrics.connections_opened.inc,
            on_connected=self._record_connected,
            memory=ReceiveMemory(memory_mb=settings.memory_mb),
            on_rejected=self._record_rejected_response,
            on_notice=self._handle_notice,
            on_error=lambda upstream, error: self.record_error(
                "connect", error, upstream=upstream
            ),
        )
        sizes = derive_caller_sizes(
            memory_mb=settings.memory_mb, max_descriptors=settings.max_descriptors
        )
        self.caller_account = Account(
            size=sizes.account_bytes, max_connections=sizes.max_connections
        )
        self.table: RouteTable | None = None
        # The one in the registry; the table's is older if this one has failed.
        self._latest_configuration: Configuration | None = None
        # Unknown before the first call; an instance that has not needed to call the
        # store is assumed to reach it.
        self.reaches_store = True
        self._used_services: frozenset[ServiceId] = frozenset()
        self._last_requests_at: dict[str, Millis] = {}
        self._preconnector = Preconnector(replicas=self.replicas, pool=self.pool)
        self._unreachable_zones: frozenset[ZoneId] = frozenset()
        self._last_degraded_at = Millis(float("-inf"))
        self._route_weights: dict[str, float] = {}
        # When the instance became unready for reasons other than start and shutdown.
        self.unready_since: Millis | None = None
        self._background_tasks: dict[str, RestartPolicy] = {}
        self._extra_calls: dict[ServiceId, ExtraCallBudget] = {}
        self.usage_view = UsageView(instance=settings.instance, incarnation=incarnation)
        self._started_at = clock.now()
        self._request_rate = RequestRate(
            window_ms=settings.bounds.extra_calls_window_ms, now=clock.now()
        )
        self.fleet_share = FleetShare(size=self.fleet.estimated_size, traffic=0.0)
        self.update_fleet_share()
        self._latencies: dict[str, RouteLatency] = {}

    @property
    def now(self) -> Millis:
        return self.clock.now()

    @property
    def caller_limits(self) -> CallerLimits:
        if self.table is None:
            return DEFAULT_CALLER_LIMITS
        return self.table.configuration.limits

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force, or 0 without one."""
        return 0 if self.table is None else self.table.configuration.version

    @property
    def closes_connections(self) -> bool:
        """Whether responses close their connection, so that callers open a new one.

        The load balancer routes new connections to a ready instance.
        """
        return self.unready_since is not None or self.lifecycle.closes_connections

    def get_retry_after_ms(self, now: Millis) -> float:
        """Returns the Retry-After for a caller that this instance can't serve.

        Another instance may reach what this one can't. Once the load balancer has
        detected that this one is unready, it routes new connections to another one.
        """
        if self.unready_since is None:
            return UNAVAILABLE_RETRY_AFTER_MS
        until_detection_ms = self.unready_since + BALANCER_DETECTION_MS - now
        return max(MIN_RETRY_AFTER_MS, until_detection_ms)

    def begin_drain(self) -> DrainSchedule:
        """Fails readiness and fixes when the process ends; callable once."""
        now = self.now
        self.lifecycle.begin_drain(now)
        self.drain = DrainSchedule(
            started_at=now,
            grace_ms=self.settings.bounds.shutdown_grace_ms,
            linger_ms=DRAIN_LINGER_MS,
        )
        return self.drain

    def has_current_keys(self, now: Millis) -> bool:
        """Whether published state is recent enough to include key revocations.

        A configuration that could not be put in force may revoke keys, and so may one
        that a restored store lacks.
        """
        if self.table is None or self.table.configuration is not (
            self.registry.configuration
        ):
            return False
        limit_ms = self.settings.bounds.key_revocation_ms - CONFIRMATION_MARGIN_MS
        return self.registry.get_key_age_ms(now) <= limit_ms

    def apply_published_state(self) -> None:
        """Updates all components after a change of the registry."""
        configuration = self.registry.configuration
        if configuration is not self._latest_configuration:
            self._latest_configuration = configuration
            try:
                self._put_in_force(configuration)
            except Exception as error:
                # Upstreams and closed zones must take effect all the same.
                self.record_error("configuration", error, version=configuration.version)
        removed = self.replicas.update(
            self.registry.upstreams, frozenset(self.registry.closed_zones)
        )
        for upstream in removed:
            self.pool.drop(upstream)
        self.metrics.upstreams.set(len(self.replicas.replicas))
        has_state = self.table is not None and self.registry.upstreams
        if has_state and self.registry.has_surveyed_peers:
            self.lifecycle.mark_ready()

    def _put_in_force(self, configuration: Configuration) -> None:
        table = RouteTable(
            configuration=configuration, random=self.random, previous=self.table
        )
        self.quotas.configure(table.accounts, self.now)
        self.admission.configure(configuration)
        self.table = table
        self.caller_account.fit_largest_request(
            compute_largest_share(configuration.limits)
        )
        self._used_services = table.list_reachable_services()
        self.update_cold_call_rates()
        self._remove_unused_routes()
        self.log.write(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
            accounts=len(configuration.accounts),
            keys=sum(len(account.keys) for account in configuration.accounts),
            requires_keys=configuration.requires_keys,
        )

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Removes an upstream whose address now belongs to another one."""
        self.registry.remove_upstream(upstream)
        self.apply_published_state()

    def get_latency(self, route: Route) -> RouteLatency:
        latency = self._latencies.get(route.name)
        if latency is None:
            initial_ms = max(1.0, INITIAL_LATENCY_FRACTION * route.target_latency_ms)
            latency = RouteLatency(initial_ms=initial_ms)
            self._latencies[route.name] = latency
        return latency

    def get_extra_calls(self, service: ServiceId) -> ExtraCallBudget:
        budget = self._extra_calls.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = ExtraCallBudget(
                ratio=bounds.extra_calls_ratio,
                slack=bounds.extra_calls_slack,
                window_ms=bounds.extra_calls_window_ms,
                min_fraction=1.0 - self.random.random(),
                now=self._started_at,
            )
            self._extra_calls[service] = budget
        return budget

    def try_extra_call(
        self,
        service: ServiceId,
        kind: ExtraCallKind,
        *,
        claim: ExtraCallClaim | None = None,
    ) -> bool:
        """Takes one call from a service's extra-call budget if any is left.

        A request that may need several extra calls passes the same claim each time.
        """
        granted = self.get_extra_calls(service).try_spend(
            kind,
            now=self.now,
            share=self.fleet_share,
            shared=self._get_shared_usage(service),
            claim=claim,
        )
        self.metrics.count_extra_call(kind, granted=granted)
        return granted

    def get_unused_extra_call_fraction(self, service: ServiceId) -> float:
        """Returns the unused fraction of a service's extra-call budget."""
        return self.get_extra_calls(service).get_unused_fraction(
            now=self.now,
            share=self.fleet_share,
            shared=self._get_shared_usage(service),
        )

    def build_usage(self, now: Millis) -> InstanceUsage | None:
        """Returns the extra calls of this instance, to tell the collectors."""
        return self.usage_view.build_instance(
            {
                service: (budget.count_requests(now), budget.count_extra_calls(now))
                for service, budget in self._extra_calls.items()
            },
            {
                service: budget.total_extra_calls
                for service, budget in self._extra_calls.items()
            },
        )

    def has_run_for(self, duration_ms: float) -> bool:
        """Whether this process started at least so long ago."""
        return self.now - self._started_at >= duration_ms

    def _get_shared_usage(self, service: ServiceId) -> SharedUsage | None:
        """Returns the fleet's usage of a service if this instance may share a budget.

        A process that has just started does not know what the previous one has used.
        """
        if not self.has_run_for(self.settings.bounds.extra_calls_window_ms):
            return None
        budget = self.get_extra_calls(service)
        return self.usage_view.get_usage(
            service,
            in_window=budget.count_extra_calls(self.now),
            total=budget.total_extra_calls,
            now=self.now,
        )

    def choose_replica(
        self, service: ServiceId, *, typical_ms: float, tried: list[UpstreamId]
    ) -> Replica | None:
        """Selects an upstream, preferring one with an idle connection."""
        return self.replicas.select(
            service,
            now=self.now,
            typical_ms=typical_ms,
            tried=tried,
            get_access=self.pool.get_access,
        )

    def can_serve(self, route: Route, now: Millis) -> bool:
        """Whether enough of a route's services are reachable."""
        if route.gathering is None:
            return any(
                self.replicas.is_reachable(share.service, now) for share in route.shares
            )
        shards = route.gathering.shards
        reachable = sum(self.replicas.is_reachable(shard, now) for shard in shards)
        return reachable >= route.gathering.min_coverage * len(shards)

    def get_pause_end(
        self, services: Sequence[ServiceId], *, min_coverage: float, now: Millis
    ) -> Millis | None:
        """Returns when enough services have an upstream that accepts calls.

        Returns None if they have one now, or if too few have any upstream.
        """
        times = [self.replicas.get_available_at(service, now) for service in services]
        known = sorted(time for time in times if time is not None)
        needed = max(1, math.ceil(min_coverage * len(services)))
        if len(known) < needed or known[needed - 1] <= now:
            return None
        return known[needed - 1]

    def update_cold_call_rates(self) -> None:
        """Divides the call rate of cold upstreams among the instances of the fleet."""
        if self.table is None:
            return
        self.replicas.cold_calls_per_s = {
            name: COLD_RATE_FRACTION
            * service.cold_calls_per_s
            / self.fleet.estimated_size
            for name, service in self.table.services.items()
            if service.cold_calls_per_s > 0
        }

    def find_unready_reason(self, now: Millis) -> str | None:
        """Returns why the instance is unready, or None if it is ready."""
        if not self.lifecycle.is_ready:
            return self.lifecycle.state.value
        if any(task.is_failing(now) for task in self._background_tasks.values()):
            return "background_task_failing"
        if not self.has_current_keys(now):
            return "keys_not_confirmed"
        if not self.can_serve_most_traffic(now):
            return "upstreams_unreachable"
        return None

    def update_readiness(self, reason: str | None, now: Millis) -> None:
        """Records since when the instance is unready, except at start and shutdown."""
        if reason is None or not self.lifecycle.is_ready:
            self.unready_since = None
        elif self.unready_since is None:
            self.unready_since = now

    def can_serve_most_traffic(self, now: Millis) -> bool:
        """Whether at least half of the recent traffic can be served.

        Otherwise, the zone is probably partitioned, and another zone serves callers
        better. Just after a partition, all routes must be servable. Routes without any
        registered upstream indicate nothing about the network and are ignored.
        """
        if self.table is None:
            return False
        servable = {
            route: self.can_serve(route, now)
            for route in self.table.configuration.routes
            if any(map(self.replicas.has_upstreams, list_services(route)))
        }
        if now - self._last_degraded_at > RECOVERY_MS:
            # While unready, the instance gets too few requests to update the weights.
            self._route_weights = {
                route.name: self._get_route_weight(route, now) for route in servable
            }
        weights = {
            route: self._route_weights.get(route.name, IDLE_ROUTE_WEIGHT)
            for route in servable
        }
        servable_weight = sum(weights[route] for route in servable if servable[route])
        if 2 * servable_weight < sum(weights.values()):
            self._last_degraded_at = now
            return False
        return all(servable.values()) or now - self._last_degraded_at > RECOVERY_MS

    def _get_route_weight(self, route: Route, now: Millis) -> float:
        """Returns the weight of a route in the readiness check, in requests."""
        requests = [self._count_recent_requests(s, now) for s in list_services(route)]
        return IDLE_ROUTE_WEIGHT + max(requests, default=0)

    def probe_unreachable(self) -> None:
        """Opens test connections to unreachable upstreams."""
        for replica in self.replicas.list_probes(self.now):
            self.pool.probe(replica)

    def log_zone_reachability(self) -> None:
        """Logs zones that became unreachable or reachable since the last call."""
        zones = self.replicas.list_unreachable_zones(self.now)
        own = self.replicas.list_locally_unreachable_zones()
        for zone in zones - self._unreachable_zones:
            self.log_warning("zone_unreachable", zone=zone, found_here=zone in own)
        for zone in self._unreachable_zones - zones:
            self.log.write("zone_reached", zone=zone)
        self._unreachable_zones = zones

    def preconnect(self) -> None:
        """Opens connections to services that routes in use start to name."""
        self._preconnector.connect(self._list_recently_used_services(), self.now)

    def record_request(self, route: Route, now: Millis) -> None:
        """Records that a request of a route is served here."""
        self._last_requests_at[route.name] = now
        self._request_rate.record(now)

    def get_request_rate(self) -> float:
        """Returns the requests per second as reported to peers."""
        rate = self._request_rate.get_per_s(self.now)
        return UNKNOWN_RATE if rate is None else rate

    def update_fleet_share(self) -> None:
        """Updates the fraction of the fleet's budgets that this instance may use."""
        self.fleet_share = FleetShare(
            size=self.fleet.estimated_size,
            traffic=self.fleet.get_traffic_fraction(self.get_request_rate()),
        )

    def _list_recently_used_services(self) -> tuple[ServiceId, ...]:
        if self.table is None:
            return ()
        oldest = self.now - RECENT_REQUEST_MS
        return tuple(
            dict.fromkeys(
                service
                for route in self.table.configuration.routes
                if self._last_requests_at.get(route.name, oldest) > oldest
                for service in list_services(route)
            )
        )

    def _count_recent_requests(self, service: ServiceId, now: Millis) -> int:
        budget = self._extra_calls.get(service)
        return 0 if budget is None else budget.count_requests(now)

    def _record_rejected_response(self, upstream: UpstreamId, reason: str) -> None:
        self.metrics.rejected_responses.labels(reason).inc()
        self.log_warning("response_rejected", upstream=upstream, reason=reason)

    def _handle_notice(self, replica: Replica, response: UpstreamResponse) -> None:
        """Applies what an upstream's response says about the upstream.

        The calls that wait for it move when the parser that called this has returned.
        """
        upstream = replica.entry.upstream
        loop = asyncio.get_running_loop()
        if response.is_leaving and self.replicas.record_leaving(replica):
            self.metrics.upstream_notices.labels("leaving").inc()
            self.log.write("upstream_leaving", upstream=upstream)
            loop.call_soon(self.apply_published_state)
        if response.has_invalid_pause:
            self.metrics.upstream_notices.labels("invalid_pause").inc()
        if response.invalid_load is not None:
            self.metrics.upstream_notices.labels("invalid_load").inc()
            self.log.write(
                "load_unreadable",
                level=Level.WARNING,
                limit=MAX_NOTICE_LINES_PER_SECOND,
                upstream=upstream,
                value=repr(response.invalid_load),
            )
        if response.pause_ms is not None:
            self.metrics.upstream_notices.labels("pause").inc()
            self.replicas.record_pause(replica, response.pause_ms, self.now)
            self.log.write(
                "upstream_paused", upstream=upstream, pause_ms=response.pause_ms
            )
            loop.call_soon(self.pool.release_waiting, upstream)

    def _record_connected(self, replica: Replica, duration_ms: float) -> None:
        replica.record_connection(self.now)
        self.replicas.record_connect_time(
            replica.entry.service, duration_ms=duration_ms
        )

    def _get_connection_limit(self, replica: Replica) -> int:
        service = None
        if self.table is not None:
            service = self.table.services.get(replica.entry.service)
        if service is None or service.max_connections <= 0:
            return replica.entry.slots
        usable = CONNECTION_LIMIT_FRACTION * service.max_connections
        return max(1, int(usable * self.fleet_share.fraction))

    def _remove_unused_routes(self) -> None:
        names = {route.name for route in self.table.configuration.routes}
        for name in set(self._latencies) - names:
            del self._latencies[name]
        for name in set(self._last_requests_at) - names:
            del self._last_requests_at[name]
        for service in set(self._extra_calls) - self._used_services:
            # Extra calls count against the budget until their window ends, even if no
            # route refers to the service any more.
            if not self._extra_calls[service].count_extra_calls(self.now):
                del self._extra_calls[service]

    def _record_event(self, event: RegistryEvent) -> None:
        self.log.write(
            event.name,
            subject=event.subject,
            detail=event.detail,
            era=self.registry.era,
            revision=self.registry.revision,
        )

    def record_error(self, part: str, error: Exception, **fields: object) -> None:
        """Logs and counts an unexpected error; only its message or step is lost."""
        self.metrics.internal_errors.labels(part).inc()
        frames = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]
        self.log.write(
            "internal_error",
            level=Level.ERROR,
            limit=MAX_DETAIL_LINES_PER_SECOND,
            part=part,
            detail=repr(error),
            frames=[f"{frame.name}:{frame.lineno}" for frame in frames],
            notes=getattr(error, "__notes__", []),
            **fields,
        )

    def record_task_error(self, task: str, error: Exception) -> float:
        """Records an error of a background task; returns the delay of its restart."""
        policy = self._background_tasks.setdefault(task, RestartPolicy())
        restart = policy.record_failure(self.now)
        self.record_error(
            task, error, failures=restart.failures, restart_in_ms=restart.delay_ms
        )
        return restart.delay_ms

    def log_warning(self, event: str, **fields: object) -> None:
        self.log.write(event, level=Level.WARNING, **fields)
