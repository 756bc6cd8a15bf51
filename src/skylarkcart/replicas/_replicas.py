"""Tracks the upstreams of each service and selects one for each call."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.load import LoadStatistics, ServiceRoom, compute_room
from skylarkcart.published import RegisteredUpstream, UpstreamState
from skylarkcart.replicas._cost import (
    CONNECTION_LIMIT_COST_FACTOR,
    COST_JITTER,
    OTHER_ZONE_COST_FACTOR,
    Access,
    add_penalties,
)
from skylarkcart.replicas._even_choice import EvenChoice, RefusedCall
from skylarkcart.replicas._notices import UpstreamNotices
from skylarkcart.replicas._replica import Replica, SlowSample
from skylarkcart.replicas._zone_reach import ZoneReachability
from skylarkcart.types import ServiceId, SlowCall, UpstreamId, ZoneId

# Minimum cost of opening a connection, as a fraction of a typical call: connections are
# billed and may occupy a slot, even if they open fast.
MIN_CONNECT_COST = 0.2

# Weight of one connection in the exponential moving average of the connect time.
CONNECT_TIME_WEIGHT = 0.2

# Connection attempts per round of probes, in total and to each unreachable zone.
MAX_PROBES = 24
MAX_PROBES_PER_UNREACHABLE_ZONE = 3

# Slow calls are reported to other instances for this time, the newest first.
SLOW_CALL_REPORT_WINDOW_MS = 1_000.0
MAX_REPORTED_SLOW_CALLS = 10


class Replicas:
    """The upstreams that may get calls, by service."""

    def __init__(
        self,
        *,
        zone: ZoneId,
        random: random.Random,
        load_statistics: LoadStatistics | None = None,
        spreads_calls: bool = False,
    ) -> None:
        self._spreads_calls = spreads_calls
        self._zone = zone
        self._random = random
        self._by_service: dict[ServiceId, dict[UpstreamId, Replica]] = {}
        self.replicas: dict[UpstreamId, Replica] = {}
        self._notices = UpstreamNotices()
        # Calls per second that this instance may make to each cold upstream of a
        # service. Services without an entry have no such limit.
        self.cold_calls_per_s: dict[ServiceId, float] = {}
        self._even_choice = EvenChoice(
            zone=zone, random=random, statistics=load_statistics or LoadStatistics()
        )
        self._connect_times_ms: dict[ServiceId, float] = {}
        self._zone_reachability: collections.defaultdict[ZoneId, ZoneReachability] = (
            collections.defaultdict(ZoneReachability)
        )

    def update(
        self,
        upstreams: Mapping[UpstreamId, RegisteredUpstream],
        closed_zones: Collection[ZoneId],
    ) -> tuple[UpstreamId, ...]:
        """Applies the published upstreams and returns those that get no more calls."""
        self._notices.forget_replaced(upstreams.keys())
        usable = {
            upstream: known
            for upstream, known in upstreams.items()
            if known.entry.state is UpstreamState.READY
            and known.entry.zone not in closed_zones
            and not self._notices.is_leaving(known.entry)
        }
        dropped = tuple(
            upstream for upstream in self.replicas if upstream not in usable
        )
        for upstream in dropped:
            self.replicas.pop(upstream).is_retired = True
        for upstream, known in usable.items():
            self._update_replica(upstream, known)
        self._by_service = {}
        for upstream, replica in self.replicas.items():
            service = replica.entry.service
            self._by_service.setdefault(service, {})[upstream] = replica
        self._even_choice.update(self._by_service)
        return dropped

    def record_leaving(self, replica: Replica) -> bool:
        """Records that an upstream's process is leaving; returns whether that is new.

        It gets no further calls, whatever its entry says. ``update`` then removes it.
        """
        replica.is_retired = True
        return self._notices.record_leaving(replica.entry)

    def record_pause(self, replica: Replica, pause_ms: float, now: Millis) -> None:
        """Records that an upstream's process wants no calls for a time."""
        replica.paused_until = self._notices.record_pause(replica.entry, pause_ms, now)
        replica.begin_ramp(replica.paused_until)

    def get_available_at(self, service: ServiceId, now: Millis) -> Millis | None:
        """Returns when the pause of some upstream of a service has ended.

        It is ``now`` if some upstream is not paused, and None without upstreams.
        """
        replicas = self._by_service.get(service, {}).values()
        ends = [max(now, replica.paused_until) for replica in replicas]
        return min(ends, default=None)

    def has_upstreams(self, service: ServiceId) -> bool:
        return bool(self._by_service.get(service))

    def is_reachable(self, service: ServiceId, now: Millis) -> bool:
        """Whether any upstream of the service is not known to be unreachable."""
        replicas = self._by_service.get(service, {}).values()
        return any(not replica.is_unreachable(now) for replica in replicas)

    def list_replicas(self, service: ServiceId) -> tuple[Replica, ...]:
        return tuple(self._by_service.get(service, {}).values())

    @property
    def load_statistics(self) -> LoadStatistics:
        return self._even_choice.statistics

    def record_refusal(
        self, replica: Replica, *, has_report: bool, now: Millis
    ) -> RefusedCall | None:
        """Returns why an upstream was chosen that has refused the call.

        ``has_report`` holds if the refusal stated the load. Returns None if the
        service's upstreams state no work factor.
        """
        return self._even_choice.record_refusal(replica, has_report=has_report, now=now)

    def get_room(
        self, service: ServiceId, *, now: Millis, typical_ms: float
    ) -> ServiceRoom | None:
        """Returns the room of the upstreams that may get calls.

        ``typical_ms`` is the typical latency of a call. Returns None if none of them
        reports its load with a work factor.
        """
        usable = [
            replica
            for replica in self._by_service.get(service, {}).values()
            if replica.accepts_calls(now) and not replica.is_unreachable(now)
        ]
        reporting = [
            replica
            for replica in usable
            if replica.load is not None and replica.load.has_report
        ]
        room = compute_room(
            ((replica.load, len(replica.in_flight)) for replica in reporting),
            now=now,
            typical_ms=typical_ms,
        )
        if room is not None and any(
            replica not in reporting and not replica.is_cold(now) for replica in usable
        ):
            # An upstream that this instance has not called yet may be idle.
            return msgspec.structs.replace(room, wait_ms=0.0)
        return room

    def select(
        self,
        service: ServiceId,
        *,
        now: Millis,
        typical_ms: float,
        tried: Collection[UpstreamId] = (),
        get_access: Callable[[Replica], Access] = lambda replica: Access.CONNECTED,
    ) -> Replica | None:
        """Returns the upstream with the lowest expected cost, or None.

        ``typical_ms`` is the typical latency of a call. Upstreams in ``tried`` are
        skipped. Upstreams to which no further connection may be opened get a high cost,
        as the call would wait for a connection to become free. If calls are to be
        spread over busy upstreams, some are compared by a draw from the estimate of
        their load.
        """
        connect_cost = self._get_connect_cost(service, typical_ms)
        if self._spreads_calls and self._even_choice.applies_to(service):
            return self._even_choice.select(
                service,
                now=now,
                tried=tried,
                may_call=self._may_call if service in self.cold_calls_per_s else None,
                get_access=get_access,
                connect_cost=connect_cost,
            )
        best: Replica | None = None
        best_cost = float("inf")
        for upstream, replica in self._by_service.get(service, {}).items():
            if upstream in tried or not replica.accepts_calls(now):
                continue
            if not self._may_call(replica, now):
                continue
            cost = self._estimate_cost(replica, now)
            match get_access(replica):
                case Access.UNCONNECTED:
                    cost += connect_cost
                case Access.AT_CONNECTION_LIMIT:
                    cost *= CONNECTION_LIMIT_COST_FACTOR
            cost *= 1.0 + COST_JITTER * self._random.random()
            if cost < best_cost:
                best, best_cost = replica, cost
        return best

    def record_connect_time(self, service: ServiceId, *, duration_ms: float) -> None:
        """Updates the average connect time to upstreams of a service."""
        average_ms = self._connect_times_ms.get(service, duration_ms)
        average_ms += CONNECT_TIME_WEIGHT * (duration_ms - average_ms)
        self._connect_times_ms[service] = average_ms

    def list_locally_unreachable_zones(self) -> tuple[ZoneId, ...]:
        """Returns the zones that are unreachable according to this instance's calls."""
        return tuple(
            zone
            for zone, reachability in self._zone_reachability.items()
            if reachability.is_locally_unreachable
        )

    def list_unreachable_zones(self, now: Millis) -> frozenset[ZoneId]:
        """Returns the zones that are unreachable, by own calls or by peer reports."""
        return frozenset(
            zone
            for zone, reachability in self._zone_reachability.items()
            if reachability.is_unreachable(now)
        )

    def apply_peer_unreachable_zones(
        self, zones: Iterable[ZoneId], *, now: Millis
    ) -> None:
        """Records zones that another instance of this zone reports as unreachable."""
        for zone in zones:
            self._zone_reachability[zone].record_peer_report(now)

    def list_probes(self, now: Millis) -> list[Replica]:
        """Returns the upstreams to which a connection attempt is due.

        Upstreams of entirely unreachable services come first. Of an unreachable zone,
        only a small random sample is included, since one success shows that the zone is
        reachable again.
        """
        due = [
            replica
            for replica in self.replicas.values()
            if replica.needs_probe(now) and replica.accepts_calls(now)
        ]
        self._random.shuffle(due)
        for zone in sorted(self.list_unreachable_zones(now)):
            in_zone = [r for r in self.replicas.values() if r.entry.zone == zone]
            due += self._random.sample(
                in_zone, min(MAX_PROBES_PER_UNREACHABLE_ZONE, len(in_zone))
            )
        due.sort(key=lambda replica: self.is_reachable(replica.entry.service, now))
        return due[:MAX_PROBES]

    def list_slow_calls(self, now: Millis) -> tuple[SlowCall, ...]:
        """Returns the most recent slow calls, to report them to other instances."""
        slow = [
            (replica.last_slow_call, upstream)
            for upstream, replica in self.replicas.items()
            if replica.last_slow_call is not None
            and now - replica.last_slow_call.ended_at <= SLOW_CALL_REPORT_WINDOW_MS
        ]
        slow.sort(key=lambda item: item[0].ended_at, reverse=True)
        return tuple(
            SlowCall(
                upstream=upstream,
                ended_ago_ms=round(now - sample.ended_at),
                duration_ms=round(sample.ended_at - sample.started_at),
                ratio=round(sample.ratio, 1),
            )
            for sample, upstream in slow[:MAX_REPORTED_SLOW_CALLS]
        )

    def apply_peer_slow_calls(
        self, calls: Iterable[SlowCall], *, age_ms: float, now: Millis
    ) -> None:
        """Records the slow calls that another instance reported."""
        for call in calls:
            replica = self.replicas.get(call.upstream)
            if replica is None:
                continue
            ended_at = now - age_ms - call.ended_ago_ms
            replica.record_reported_slow_call(
                SlowSample(
                    started_at=Millis(ended_at - call.duration_ms),
                    ended_at=Millis(ended_at),
                    ratio=call.ratio,
                )
            )

    def _get_connect_cost(self, service: ServiceId, typical_ms: float) -> float:
        """Returns the connect time as a fraction of a typical call."""
        connect_ms = self._connect_times_ms.get(service, 0.0)
        return max(MIN_CONNECT_COST, connect_ms / max(1.0, typical_ms))

    def _may_call(self, replica: Replica, now: Millis) -> bool:
        rate = self.cold_calls_per_s.get(replica.entry.service)
        if rate is None or not replica.is_cold(now):
            return True
        return replica.may_call_cold(now, calls_per_s=rate)

    def _update_replica(self, upstream: UpstreamId, known: RegisteredUpstream) -> None:
        replica = self.replicas.get(upstream)
        if replica is None or replica.entry.born_ms != known.entry.born_ms:
            if replica is not None:
                replica.is_retired = True
            replica = Replica(
                entry=known.entry,
                seen_at=known.first_seen_at,
                zone_reachability=self._zone_reachability[known.entry.zone],
                service_load=self._even_choice.get_load(known.entry.service),
            )
            if known.entry.service in self._by_service:
                replica.begin_ramp(known.first_seen_at)
            replica.paused_until = self._notices.get_pause_end(known.entry)
            self.replicas[upstream] = replica
            return
        replica.entry = known.entry
        replica.seen_at = known.first_seen_at

    def _estimate_cost(self, replica: Replica, now: Millis) -> float:
        cost = replica.get_latency_ratio(now) * (
            1.0 + replica.get_utilization(now) ** 2
        )
        is_remote = replica.entry.zone != self._zone
        zone_factor = OTHER_ZONE_COST_FACTOR if is_remote else 1.0
        return add_penalties(cost, replica, now, zone_factor=zone_factor)
