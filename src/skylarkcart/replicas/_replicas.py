"""The upstreams of each service and the choice among them."""

from __future__ import annotations

import collections
import enum
import random
from collections.abc import Callable, Collection, Iterable, Mapping

from skylarkcart.clock import Millis
from skylarkcart.published import Registered, UpstreamState
from skylarkcart.replicas._replica import Replica, SlowSample
from skylarkcart.replicas._zone_reach import ZoneReach
from skylarkcart.types import ServiceId, SlowCall, UpstreamId, ZoneId

# Expected times are multiplied by these factors. A call to another zone costs a round
# trip between zones and priced bytes; the others make an upstream a last resort in
# this order.
OTHER_ZONE_FACTOR = 2.0
COLD_FACTOR = 1.6
FULL_FACTOR = 10.0
SILENT_FACTOR = 20.0
AVOIDED_FACTOR = 100.0

# A new connection is priced and may hold a slot, so that it costs at least this part of
# a call; opening it takes time besides.
MIN_CONNECT_PART = 0.2

# The weight of one connection in the moving average of the time that opening one takes.
CONNECT_WEIGHT = 0.2

# Choices differ by this part at random, so that instances do not all choose alike.
RANDOM_PART = 0.1

# Connections that are tried at a time, and of them to each zone that is cut off.
MAX_PROBES = 24
ZONE_PROBES = 3

# Slow calls are told to other instances for this time, the newest first.
TOLD_FOR_MS = 1_000.0
MAX_TOLD = 10

# The lowest part of successful calls that is told apart.
MIN_SUCCESS = 0.05


class Access(enum.Enum):
    """How a call would reach an upstream."""

    CONNECTED = "connected"
    UNCONNECTED = "unconnected"
    FULL = "full"


class Replicas:
    """All upstreams that may get work, by service."""

    def __init__(self, *, zone: ZoneId, random: random.Random) -> None:
        self._zone = zone
        self._random = random
        self._by_service: dict[ServiceId, dict[UpstreamId, Replica]] = {}
        self.replicas: dict[UpstreamId, Replica] = {}
        # Calls a second that this instance may make to a cold upstream of a service;
        # services that are not named have no limit of their own.
        self.cold_rates: dict[ServiceId, float] = {}
        self._connect_ms: dict[ServiceId, float] = {}
        self._zones: collections.defaultdict[ZoneId, ZoneReach] = (
            collections.defaultdict(ZoneReach)
        )

    def update(
        self,
        upstreams: Mapping[UpstreamId, Registered],
        closed_zones: Collection[ZoneId],
    ) -> tuple[UpstreamId, ...]:
        """Adopts the published upstreams; returns those that get no more work."""
        usable = {
            upstream: known
            for upstream, known in upstreams.items()
            if known.entry.state is UpstreamState.READY
            and known.entry.zone not in closed_zones
        }
        dropped = tuple(
            upstream for upstream in self.replicas if upstream not in usable
        )
        for upstream in dropped:
            del self.replicas[upstream]
        for upstream, known in usable.items():
            self._put(upstream, known)
        self._by_service = {}
        for upstream, replica in self.replicas.items():
            service = replica.entry.service
            self._by_service.setdefault(service, {})[upstream] = replica
        return dropped

    def has_any(self, service: ServiceId) -> bool:
        return bool(self._by_service.get(service))

    def is_reachable(self, service: ServiceId, now: Millis) -> bool:
        """Whether a call to one of the service's upstreams may get through."""
        replicas = self._by_service.get(service, {}).values()
        return any(not replica.is_unreachable(now) for replica in replicas)

    def list_service(self, service: ServiceId) -> tuple[Replica, ...]:
        return tuple(self._by_service.get(service, {}).values())

    def choose(
        self,
        service: ServiceId,
        *,
        now: Millis,
        usual_ms: float,
        tried: Collection[UpstreamId] = (),
        get_access: Callable[[Replica], Access] = lambda replica: Access.CONNECTED,
    ) -> Replica | None:
        """Returns the upstream that is expected to answer first, or None.

        ``usual_ms`` is the usual time of a call. ``tried`` upstreams are left out.
        Those to which no further connection may be opened come last, as a call would
        have to wait for another one.
        """
        best: Replica | None = None
        best_cost = float("inf")
        connect_part = self._get_connect_part(service, usual_ms)
        for upstream, replica in self._by_service.get(service, {}).items():
            if upstream in tried or not self._may_call(replica, now):
                continue
            cost = self._estimate_cost(replica, now)
            match get_access(replica):
                case Access.UNCONNECTED:
                    cost += connect_part
                case Access.FULL:
                    cost *= FULL_FACTOR
            cost *= 1.0 + RANDOM_PART * self._random.random()
            if cost < best_cost:
                best, best_cost = replica, cost
        return best

    def note_connected(self, service: ServiceId, *, took_ms: float) -> None:
        """Learns how long opening a connection to an upstream of a service takes."""
        known_ms = self._connect_ms.get(service, took_ms)
        known_ms += CONNECT_WEIGHT * (took_ms - known_ms)
        self._connect_ms[service] = known_ms

    def list_lost_zones(self) -> tuple[ZoneId, ...]:
        """Returns the zones that this instance's own calls show to be cut off."""
        return tuple(zone for zone, reach in self._zones.items() if reach.is_lost)

    def list_unreachable_zones(self, now: Millis) -> frozenset[ZoneId]:
        """Returns the zones that are cut off by own calls or as others tell."""
        return frozenset(
            zone for zone, reach in self._zones.items() if reach.is_unreachable(now)
        )

    def hear_lost_zones(self, zones: Iterable[ZoneId], *, now: Millis) -> None:
        """Learns of zones that another instance of the own zone finds cut off."""
        for zone in zones:
            self._zones[zone].note_told(now)

    def list_probes(self, now: Millis) -> list[Replica]:
        """Returns the upstreams to which a connection should be tried now.

        Those of services that can't be reached at all come first. Of a zone that is cut
        off, a few are enough.
        """
        due = [
            replica for replica in self.replicas.values() if replica.needs_probe(now)
        ]
        self._random.shuffle(due)
        for zone in sorted(self.list_unreachable_zones(now)):
            inside = [r for r in self.replicas.values() if r.entry.zone == zone]
            due += self._random.sample(inside, min(ZONE_PROBES, len(inside)))
        due.sort(key=lambda replica: self.is_reachable(replica.entry.service, now))
        return due[:MAX_PROBES]

    def list_slow_calls(self, now: Millis) -> tuple[SlowCall, ...]:
        """Returns the newest slow calls, for other instances."""
        slow = [
            (replica.last_slow_call, upstream)
            for upstream, replica in self.replicas.items()
            if replica.last_slow_call is not None
            and now - replica.last_slow_call.ended_at <= TOLD_FOR_MS
        ]
        slow.sort(key=lambda item: item[0].ended_at, reverse=True)
        return tuple(
            SlowCall(
                upstream=upstream,
                ended_ago_ms=round(now - sample.ended_at),
                duration_ms=round(sample.ended_at - sample.started_at),
                ratio=round(sample.ratio, 1),
            )
            for sample, upstream in slow[:MAX_TOLD]
        )

    def hear_slow_calls(
        self, calls: Iterable[SlowCall], *, age_ms: float, now: Millis
    ) -> None:
        """Learns from the slow calls of another instance."""
        for call in calls:
            replica = self.replicas.get(call.upstream)
            if replica is None:
                continue
            ended_at = now - age_ms - call.ended_ago_ms
            replica.hear_slow_call(
                SlowSample(
                    started_at=Millis(ended_at - call.duration_ms),
                    ended_at=Millis(ended_at),
                    ratio=call.ratio,
                )
            )

    def _get_connect_part(self, service: ServiceId, usual_ms: float) -> float:
        """Returns the time of opening a connection as a part of a usual call."""
        connect_ms = self._connect_ms.get(service, 0.0)
        return max(MIN_CONNECT_PART, connect_ms / max(1.0, usual_ms))

    def _may_call(self, replica: Replica, now: Millis) -> bool:
        rate = self.cold_rates.get(replica.entry.service)
        if rate is None or not replica.is_cold(now):
            return True
        return replica.may_call_cold(now, calls_per_s=rate)

    def _put(self, upstream: UpstreamId, known: Registered) -> None:
        replica = self.replicas.get(upstream)
        if replica is None or replica.entry.born_ms != known.entry.born_ms:
            self.replicas[upstream] = Replica(
                entry=known.entry,
                seen_at=known.seen_at,
                zone_reach=self._zones[known.entry.zone],
            )
            return
        replica.entry = known.entry
        replica.seen_at = known.seen_at

    def _estimate_cost(self, replica: Replica, now: Millis) -> float:
        cost = replica.get_slowness(now) * (1.0 + replica.get_queue(now) ** 2)
        failing = replica.get_failing(now)
        if failing:
            cost /= max(MIN_SUCCESS, 1.0 - failing) ** 2
        if replica.entry.zone != self._zone:
            cost *= OTHER_ZONE_FACTOR
        if replica.is_cold(now):
            cost *= COLD_FACTOR
        if replica.in_flight and replica.is_silent(now):
            cost *= SILENT_FACTOR
        if replica.is_avoided(now):
            cost *= AVOIDED_FACTOR
        return cost
