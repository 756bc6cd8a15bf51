"""State that all parts of a gateway instance share."""

from __future__ import annotations

import random

from skylarkcart.budgets import ExtraCallKind, ExtraCalls
from skylarkcart.clock import Clock, Millis
from skylarkcart.fleet import Fleet
from skylarkcart.gateway._event_log import EventLog, Level
from skylarkcart.gateway._metrics import GatewayMetrics
from skylarkcart.gateway._pool import UpstreamPool
from skylarkcart.gateway._timing import AnswerDelays, CallerTimes
from skylarkcart.gateway_settings import GatewaySettings
from skylarkcart.lifecycle import Lifecycle
from skylarkcart.published import CallerLimits, Route
from skylarkcart.quotas import INITIAL_PART, Quotas
from skylarkcart.registry import Registry, RegistryEvent
from skylarkcart.replicas import Replica, Replicas, RouteLatency
from skylarkcart.routing import RouteTable, list_services
from skylarkcart.types import ServiceId, UpstreamId, ZoneId

# Readiness fails first when an instance stops; the balancer asks once a second and
# takes an instance out after two misses.
LINGER_MS = 2_600.0
QUIET_MS = 300.0

# A withdrawn key may work no longer than the operators' bound after its withdrawal.
# Published state may be older than its confirmation says by so much when the store
# tells its watchers late.
CONFIRMATION_MARGIN_MS = 1_300.0

# Upstreams accept connections up to a limit over all callers; some are held by
# connections that are just closing.
CONNECTIONS_USED_PART = 0.9

# Calls to a cold upstream count in each second, in which those of several instances
# may fall together.
COLD_USED_PART = 0.8

# After a partition, services are reached again within two sweeps; callers should not
# come here before.
REGAINING_MS = 500.0

# What a route without recent requests counts in readiness, in requests.
IDLE_DEMAND = 0.1

# The balancer asks for readiness once a second and takes an instance out after two
# misses.
BALANCER_NOTICE_MS = 2_200.0

# When a caller should come back that may be served elsewhere: at once, or while the
# balancer still leads it here.
MIN_RETRY_AFTER_MS = 20.0
UNAVAILABLE_RETRY_AFTER_MS = 200.0

# Connections opened ahead in one sweep, so that requests are not held up.
MAX_OPENED_AHEAD = 16

# Assumed before the first call of a route, as a part of its target latency.
INITIAL_LATENCY_PART = 0.3

DEFAULT_LIMITS = CallerLimits(
    max_header_bytes=16_384,
    max_body_bytes=262_144,
    header_timeout_ms=3_000.0,
    idle_timeout_ms=15_000.0,
)


class Core:
    """Holds the slices' states and applies changes of the published state to them."""

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
        self.lifecycle = Lifecycle(linger_ms=LINGER_MS, quiet_ms=QUIET_MS)
        self.registry = Registry(record=self._record_event)
        self.replicas = Replicas(zone=settings.zone, random=random)
        self.quotas = Quotas(
            initial_part=1.0 if settings.is_first_start else INITIAL_PART
        )
        self.callers = CallerTimes()
        self.answer_delays = AnswerDelays(link_mbps=settings.link_mbps)
        self.fleet = Fleet(
            instance=settings.instance,
            zone=settings.zone,
            zones=settings.zones,
            host=settings.peer_host,
            incarnation=incarnation,
            seed_hosts=settings.seed_hosts,
            random=random,
        )
        self.pool = UpstreamPool(
            clock=clock,
            get_limit=self._get_connection_limit,
            on_open=self.metrics.connections_opened.inc,
            on_connected=self._note_connected,
        )
        self.table: RouteTable | None = None
        # Nobody knows before the first call; an instance that did not need to call is
        # taken to reach the store.
        self.reaches_store = True
        self._used_services: frozenset[ServiceId] = frozenset()
        self._opened_ahead: set[ServiceId] = set()
        self._unreachable_zones: frozenset[ZoneId] = frozenset()
        self._served_few_at = Millis(float("-inf"))
        self._demand: dict[str, float] = {}
        # Since when callers are served better by other instances, None if they are not.
        self.turns_away_since: Millis | None = None
        self._extra_calls: dict[ServiceId, ExtraCalls] = {}
        self._latencies: dict[str, RouteLatency] = {}

    @property
    def now(self) -> Millis:
        return self.clock.now()

    @property
    def limits(self) -> CallerLimits:
        if self.table is None:
            return DEFAULT_LIMITS
        return self.table.configuration.limits

    @property
    def closes_connections(self) -> bool:
        """Whether answers close their connection, so that callers open a new one.

        The balancer leads that to an instance that is ready.
        """
        return self.turns_away_since is not None or self.lifecycle.closes_connections

    def get_retry_after_ms(self, now: Millis) -> float:
        """Returns when a caller that can't be served here should come back.

        Another instance may reach what this one can't. Once the balancer has noticed
        that this one is not ready, a new connection leads there at once.
        """
        if self.turns_away_since is None:
            return UNAVAILABLE_RETRY_AFTER_MS
        noticed_in_ms = self.turns_away_since + BALANCER_NOTICE_MS - now
        return max(MIN_RETRY_AFTER_MS, noticed_in_ms)

    def trusts_keys(self, now: Millis) -> bool:
        """Whether a key's withdrawal would be known here within the bound."""
        limit_ms = self.settings.bounds.withdrawal_ms - CONFIRMATION_MARGIN_MS
        return self.registry.get_age_ms(now) <= limit_ms

    def apply_published(self) -> None:
        """Brings the slices up to date after a change of the registry."""
        now = self.now
        configuration = self.registry.configuration
        known = None if self.table is None else self.table.configuration
        if configuration is not None and configuration is not known:
            self.table = RouteTable(configuration=configuration, random=self.random)
            self._used_services = self.table.list_used_services()
            self._opened_ahead &= self._used_services
            self.quotas.configure(self.table.accounts, now)
            self.share_cold_rates()
            self._forget_routes()
        dropped = self.replicas.update(
            self.registry.upstreams, frozenset(self.registry.closed_zones)
        )
        for upstream in dropped:
            self.pool.drop(upstream)
        self.metrics.upstreams.set(len(self.replicas.replicas))
        if self.table is not None and self.registry.upstreams:
            self.lifecycle.mark_ready()

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Drops an upstream whose address belongs to another one now."""
        self.registry.forget_upstream(upstream)
        self.apply_published()

    def get_latency(self, route: Route) -> RouteLatency:
        latency = self._latencies.get(route.name)
        if latency is None:
            initial_ms = max(1.0, INITIAL_LATENCY_PART * route.target_latency_ms)
            latency = RouteLatency(initial_ms=initial_ms)
            self._latencies[route.name] = latency
        return latency

    def get_extra_calls(self, service: ServiceId) -> ExtraCalls:
        calls = self._extra_calls.get(service)
        if calls is None:
            bounds = self.settings.bounds
            calls = ExtraCalls(
                ratio=bounds.extra_calls_ratio,
                slack=bounds.extra_calls_slack,
                window_ms=bounds.extra_calls_window_ms,
                rounding=1.0 - self.random.random(),
                now=self.now,
            )
            self._extra_calls[service] = calls
        return calls

    def try_extra_call(self, service: ServiceId, kind: ExtraCallKind) -> bool:
        """Takes an extra call from the budget of a service, if there is one left."""
        granted = self.get_extra_calls(service).try_spend(
            kind, now=self.now, fleet_size=self.fleet.assumed_size
        )
        self.metrics.count_extra_call(kind, granted=granted)
        return granted

    def get_free_extra_part(self, service: ServiceId) -> float:
        """Returns the part of a service's extra calls that is unused, from 0 to 1."""
        return self.get_extra_calls(service).get_free_part(
            now=self.now, fleet_size=self.fleet.assumed_size
        )

    def choose_replica(
        self, service: ServiceId, *, usual_ms: float, tried: list[UpstreamId]
    ) -> Replica | None:
        """Chooses an upstream, one with a free connection where there is one."""
        return self.replicas.choose(
            service,
            now=self.now,
            usual_ms=usual_ms,
            tried=tried,
            get_access=self.pool.get_access,
        )

    def may_serve(self, route: Route, now: Millis) -> bool:
        """Whether enough of a route's upstreams may be reached."""
        if route.gathering is None:
            return any(
                self.replicas.is_reachable(share.service, now) for share in route.shares
            )
        shards = route.gathering.shards
        reachable = sum(self.replicas.is_reachable(shard, now) for shard in shards)
        return reachable >= route.gathering.min_coverage * len(shards)

    def share_cold_rates(self) -> None:
        """Divides the calls that cold upstreams bear by the fleet's size."""
        if self.table is None:
            return
        self.replicas.cold_rates = {
            name: COLD_USED_PART * service.cold_calls_per_s / self.fleet.assumed_size
            for name, service in self.table.services.items()
            if service.cold_calls_per_s > 0
        }

    def find_unready_reason(self, now: Millis) -> str | None:
        """Returns why callers should not come here, or None if they should."""
        if not self.lifecycle.is_ready:
            return self.lifecycle.state.value
        if not self.trusts_keys(now):
            return "keys_not_confirmed"
        if not self.may_serve_most(now):
            return "upstreams_unreachable"
        return None

    def note_readiness(self, reason: str | None, now: Millis) -> None:
        """Turns callers away while there is a reason other than start and stop."""
        if reason is None or not self.lifecycle.is_ready:
            self.turns_away_since = None
        elif self.turns_away_since is None:
            self.turns_away_since = now

    def may_serve_most(self, now: Millis) -> bool:
        """Whether most requests may be served, so that callers should come here.

        Behind a partition they are served better by another zone, and just after it
        until all routes may be served again. Routes without any registered upstream say
        nothing of the network and are left out.
        """
        if self.table is None:
            return False
        served = {
            route: self.may_serve(route, now)
            for route in self.table.configuration.routes
            if any(map(self.replicas.has_any, list_services(route)))
        }
        if now - self._served_few_at > REGAINING_MS:
            # Callers that were turned away no longer show which routes they use.
            self._demand = {
                route.name: self._get_demand(route, now) for route in served
            }
        demand = {route: self._demand.get(route.name, IDLE_DEMAND) for route in served}
        served_demand = sum(demand[route] for route in served if served[route])
        if 2 * served_demand < sum(demand.values()):
            self._served_few_at = now
            return False
        return all(served.values()) or now - self._served_few_at > REGAINING_MS

    def _get_demand(self, route: Route, now: Millis) -> float:
        """Returns how much a route's requests count in readiness."""
        requests = [self._count_requests(s, now) for s in list_services(route)]
        return IDLE_DEMAND + max(requests, default=0)

    def probe_unreachable(self) -> None:
        """Tries connections to upstreams that could not be reached."""
        for replica in self.replicas.list_probes(self.now):
            self.pool.probe(replica)

    def note_unreachable_zones(self) -> None:
        """Logs which zones were cut off or reached again since the last time."""
        zones = self.replicas.list_unreachable_zones(self.now)
        own = self.replicas.list_lost_zones()
        for zone in zones - self._unreachable_zones:
            self.log_warning("zone_unreachable", zone=zone, found_here=zone in own)
        for zone in self._unreachable_zones - zones:
            self.log.write("zone_reached", zone=zone)
        self._unreachable_zones = zones

    def open_ahead(self) -> None:
        """Opens a connection for services without any, a few at a time.

        The first requests after a repartition would otherwise open one to every shard.
        A connection that was closed is opened again while the service gets requests.
        """
        opened = 0
        for service in self._used_services:
            if service in self._opened_ahead and not self._has_requests(service):
                continue
            replicas = self.replicas.list_service(service)
            if not replicas or any(map(self.pool.has_connection, replicas)):
                continue
            chosen = self.replicas.choose(service, now=self.now, usual_ms=1.0)
            if (
                chosen is not None
                and not chosen.is_avoided(self.now)
                and not chosen.is_crowded(self.now)
            ):
                self.pool.open_ahead(chosen)
                self._opened_ahead.add(service)
                opened += 1
            if opened == MAX_OPENED_AHEAD:
                return

    def _has_requests(self, service: ServiceId) -> bool:
        return self._count_requests(service, self.now) > 0

    def _count_requests(self, service: ServiceId, now: Millis) -> int:
        calls = self._extra_calls.get(service)
        return 0 if calls is None else calls.count_requests(now)

    def _note_connected(self, replica: Replica, took_ms: float) -> None:
        replica.note_connected(self.now)
        self.replicas.note_connected(replica.entry.service, took_ms=took_ms)

    def _get_connection_limit(self, replica: Replica) -> int:
        service = None
        if self.table is not None:
            service = self.table.services.get(replica.entry.service)
        if service is None or service.max_connections <= 0:
            return replica.entry.slots
        usable = CONNECTIONS_USED_PART * service.max_connections
        return max(1, int(usable / self.fleet.assumed_size))

    def _forget_routes(self) -> None:
        names = {route.name for route in self.table.configuration.routes}
        for name in set(self._latencies) - names:
            del self._latencies[name]
        for service in set(self._extra_calls) - self._used_services:
            # Extra calls count until their window is over, also for a service that no
            # route names any more.
            if self.get_free_extra_part(service) == 1.0:
                del self._extra_calls[service]

    def _record_event(self, event: RegistryEvent) -> None:
        self.log.write(
            event.name,
            subject=event.subject,
            detail=event.detail,
            revision=self.registry.revision,
        )

    def log_warning(self, event: str, **fields: object) -> None:
        self.log.write(event, level=Level.WARNING, **fields)
