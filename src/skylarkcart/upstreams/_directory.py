"""The upstreams known to this instance, and which of them may get a call."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from skylarkcart.clock import Millis
from skylarkcart.declarations import (
    IndexSnapshot,
    InstanceList,
    ServiceRow,
    ZoneRow,
)
from skylarkcart.invariants import Invariant, check
from skylarkcart.types import (
    InstanceId,
    Role,
    ServiceId,
    UpstreamId,
    ZoneId,
    ZoneState,
)
from skylarkcart.upstreams._choice import ChoicePolicy, choose_replica
from skylarkcart.upstreams._connections import compute_connection_share
from skylarkcart.upstreams._exchange import TemperatureExchange
from skylarkcart.upstreams._latency import ServiceLatency
from skylarkcart.upstreams._messages import (
    CallOutcome,
    OpenConnection,
    UpstreamMessage,
    WarmUp,
)
from skylarkcart.upstreams._ramp import ColdCause, Temperature
from skylarkcart.upstreams._upstream import Upstream

# Limits the CPU time for warm-up calls when the whole fleet starts cold.
MAX_WARM_UPS_PER_PLAN = 8


class UpstreamDirectory:
    """Selects upstreams and tracks their state.

    Args:
        may_send_cold: whether this instance holds the right to send to a cold upstream.
        preopens_connections: whether the driver performs ``OpenConnection``; calls
            then need an open connection.

    Call ``begin_call`` directly after ``choose``, so that no state changes in between.
    """

    def __init__(
        self,
        *,
        zone: ZoneId,
        instance: InstanceId,
        random: random.Random,
        may_send_cold: Callable[[UpstreamId], bool],
        preopens_connections: bool = False,
        policy: ChoicePolicy = ChoicePolicy(),
    ) -> None:
        self._zone = zone
        self._instance = instance
        self._random = random
        self._may_send_cold = may_send_cold
        self._preopens_connections = preopens_connections
        self._policy = policy
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._addresses: dict[str, UpstreamId] = {}
        self._instances: tuple[InstanceId, ...] = ()
        self._services: dict[ServiceId, ServiceRow] = {}
        self._max_instances = 1
        self._latencies: dict[ServiceId, ServiceLatency] = {}
        self._closed_zones: frozenset[ZoneId] = frozenset()
        self.exchange = TemperatureExchange(upstreams=self._upstreams)

    def observe_list(self, instances: InstanceList, now: Millis) -> None:
        """Applies the platform's instance list; keeps the state of known upstreams."""
        listed = {
            entry.upstream: entry
            for entry in instances.instances
            if entry.role is Role.UPSTREAM
        }
        for upstream in self._upstreams.keys() - listed.keys():
            del self._upstreams[upstream]
        for upstream, entry in listed.items():
            known = self._upstreams.get(upstream)
            if known is not None:
                known.observe_listed(entry, now)
                continue
            latency = self._latencies.setdefault(entry.service, ServiceLatency())
            created = Upstream(listed=entry, service_latency=latency)
            created.is_adaptive = self._policy.adaptive_concurrency
            self._upstreams[upstream] = created
        self._instances = tuple(
            entry.instance for entry in instances.instances if entry.role is Role.ENTRY
        )
        self._addresses = {each.address: each.id for each in self._upstreams.values()}
        self._configure_upstreams()

    def observe_zones(self, zones: tuple[ZoneRow, ...], now: Millis) -> None:
        """Applies zones closed by operators; upstreams of a reopened zone turn cold."""
        closed = frozenset(row.zone for row in zones if row.state is not ZoneState.OPEN)
        returned = self._closed_zones - closed
        self._closed_zones = closed
        for upstream in self._upstreams.values():
            if upstream.zone in returned:
                upstream.turn_cold(ColdCause.ZONE_RETURNED, now)

    def observe_services(
        self, services: tuple[ServiceRow, ...], *, max_instances: int
    ) -> None:
        """Applies the services' slots and connection shares."""
        self._services = {row.service: row for row in services}
        self._max_instances = max_instances
        self._configure_upstreams()

    def observe_report(self, upstream: UpstreamId, load: float) -> None:
        """Records the load that an upstream reports, which only breaks ties."""
        if upstream in self._upstreams:
            self._upstreams[upstream].reported_load = load

    def mark_leaving(self, upstream: UpstreamId) -> None:
        """Records that an upstream answered that it is draining."""
        if upstream in self._upstreams:
            self._upstreams[upstream].is_leaving = True

    def find(self, upstream: UpstreamId) -> Upstream | None:
        return self._upstreams.get(upstream)

    def find_address(self, upstream: UpstreamId) -> str | None:
        known = self._upstreams.get(upstream)
        return known.address if known else None

    def find_by_address(self, address: str) -> UpstreamId | None:
        return self._addresses.get(address)

    def get_max_connections(self, upstream: UpstreamId) -> int:
        """Returns the maximum number of connections to an upstream.

        A sole sender may use all slots; other instances stay within their share.
        """
        known = self._upstreams.get(upstream)
        return known.connection_limit if known else 1

    def list_service(self, service: ServiceId) -> tuple[UpstreamId, ...]:
        """Returns the upstreams of a service that may get new work."""
        return tuple(
            upstream.id
            for upstream in self._upstreams.values()
            if upstream.service == service and self._accepts_work(upstream)
        )

    def choose(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        """Returns a replica with spare capacity, or None."""
        usable = [
            upstream
            for upstream in self._list_known(candidates, excluded)
            if self._accepts_work(upstream) and self._has_capacity(upstream)
        ]
        chosen = choose_replica(
            usable, zone=self._zone, random=self._random, policy=self._policy
        )
        return chosen.id if chosen else None

    def may_get_capacity(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> bool:
        """Whether a replica is in service, even if currently full, cold or blocked."""
        known = self._list_known(candidates, excluded)
        return any(self._accepts_work(upstream) for upstream in known)

    def keeps_running(self, upstream: UpstreamId) -> bool:
        """Whether a call keeps running after its answer is no longer needed.

        It warms the upstream up. It also keeps its slot occupied: a cancellation takes
        time to arrive, and meanwhile the next call would exceed the cold allowance.
        """
        known = self._upstreams.get(upstream)
        return known is not None and known.temperature is not Temperature.WARM

    def may_begin(self, upstream: UpstreamId) -> bool:
        """Whether a call may start now, by the same rules as ``choose``."""
        known = self._upstreams.get(upstream)
        if known is None:
            return False
        return self._accepts_work(known) and self._has_capacity(known)

    def begin_call(self, upstream: UpstreamId) -> None:
        """Counts a call and asserts that it may start."""
        known = self._upstreams.get(upstream)
        if known is None:
            return
        known.in_flight += 1
        self._check_may_start(known)

    def end_call(self, upstream: UpstreamId, outcome: CallOutcome, now: Millis) -> None:
        known = self._upstreams.get(upstream)
        if known is not None and known.end_call(outcome, now):
            self.exchange.record_cold(upstream, now)

    def tick(self, now: Millis) -> list[OpenConnection]:
        """Lifts expired blocks and opens connections in advance, about every 20 ms."""
        actions = []
        for upstream in self._upstreams.values():
            upstream.unblock_if_due(now)
            if self._preopens_connections and self._wants_connection(upstream):
                upstream.connections.is_opening = True
                action = OpenConnection(upstream=upstream.id, address=upstream.address)
                actions.append(action)
        return actions

    def plan_warm_ups(self) -> list[WarmUp]:
        """Returns warm-up calls to the cold upstreams that this instance may send to.

        Called about every 20 ms; upstreams with more progress come first. Without
        warm-up calls, a fleet that starts cold would warm up on its callers' searches,
        whose coverage would be low in the meantime.
        """
        cold = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.ramp.needs_right
            and self._accepts_work(upstream)
            and self._has_capacity(upstream)
        ]
        cold.sort(key=lambda upstream: upstream.ramp.progress, reverse=True)
        return [
            WarmUp(upstream=each.id, service=each.service)
            for each in cold[:MAX_WARM_UPS_PER_PLAN]
        ]

    def can_cover(self, snapshot: IndexSnapshot) -> bool:
        """Whether each shard has a replica in service that is not cold."""
        return all(
            any(
                self._accepts_work(known) and known.temperature is not Temperature.COLD
                for known in self._list_known(placement.upstreams, ())
            )
            for placement in snapshot.shards
        )

    def record_connection_opened(self, upstream: UpstreamId) -> None:
        if upstream in self._upstreams:
            self._upstreams[upstream].connections.record_opened()

    def record_connection_failed(self, upstream: UpstreamId, now: Millis) -> None:
        known = self._upstreams.get(upstream)
        if known is not None:
            known.connections.record_failed()
            if known.connections.open == 0:
                # A process that refuses connections has ended, even if declared warm.
                known.turn_cold(ColdCause.CONNECTIONS_CLOSED, now)
            known.block(now)

    def record_connection_closed(
        self, upstream: UpstreamId, now: Millis, *, by_peer: bool = True
    ) -> None:
        """Turns an upstream cold that closed its last connection: a possible restart.

        A connection closed by this instance, such as that of a cancelled call, is no
        evidence of a restart.
        """
        known = self._upstreams.get(upstream)
        if known is not None and known.connections.record_closed() and by_peer:
            known.turn_cold(ColdCause.CONNECTIONS_CLOSED, now)
            self.exchange.record_cold(upstream, now, is_certain=False)

    def build_messages(self, now: Millis) -> list[UpstreamMessage]:
        return self.exchange.build_messages(now)

    def handle(self, message: UpstreamMessage, now: Millis) -> list[UpstreamMessage]:
        return self.exchange.handle(message, now)

    def _configure_upstreams(self) -> None:
        for upstream in self._upstreams.values():
            row = self._services.get(upstream.service)
            if row is None:
                continue
            share = compute_connection_share(
                connections=row.connections,
                max_instances=self._max_instances,
                upstream=upstream.id,
                instance=self._instance,
                instances=self._instances,
            )
            upstream.configure(row, share)

    def _list_known(
        self, candidates: Collection[UpstreamId], excluded: Collection[UpstreamId]
    ) -> list[Upstream]:
        known = (self._upstreams.get(candidate) for candidate in candidates)
        return [u for u in known if u is not None and u.id not in excluded]

    def _accepts_work(self, upstream: Upstream) -> bool:
        return not upstream.is_leaving and upstream.zone not in self._closed_zones

    def _has_capacity(self, upstream: Upstream) -> bool:
        if upstream.blocked_until is not None or not self._may_send(upstream):
            return False
        max_in_flight = upstream.max_calls
        if self._preopens_connections:
            max_in_flight = min(max_in_flight, upstream.connections.open)
        return upstream.in_flight < max_in_flight

    def _may_send(self, upstream: Upstream) -> bool:
        if not upstream.ramp.needs_right:
            return True
        if self._may_send_cold(upstream.id):
            return True
        if upstream.temperature is Temperature.WARMING:
            upstream.ramp.lose_right()
        return False

    def _wants_connection(self, upstream: Upstream) -> bool:
        return (
            self._accepts_work(upstream)
            and upstream.blocked_until is None
            and self._may_send(upstream)
            and upstream.connections.wants_another(
                in_flight=upstream.in_flight, share=upstream.max_connections
            )
        )

    def _check_may_start(self, upstream: Upstream) -> None:
        check(
            upstream.zone not in self._closed_zones,
            Invariant.CLOSED_ZONE,
            f"call to {upstream.id} in closed zone {upstream.zone}",
        )
        check(
            not upstream.is_leaving,
            Invariant.LEAVING_UPSTREAM,
            f"call to leaving upstream {upstream.id}",
        )
        if upstream.temperature is Temperature.WARM:
            return
        check(
            not upstream.ramp.needs_right or self._may_send_cold(upstream.id),
            Invariant.COLD_START,
            f"call to cold upstream {upstream.id} without the right to send",
        )
        check(
            upstream.in_flight <= upstream.ramp.allowance,
            Invariant.COLD_START,
            f"{upstream.in_flight} calls in flight to {upstream.id} exceed "
            f"the allowance of {upstream.ramp.allowance}",
        )
