"""Choice among upstreams that state their load and how long work takes there."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.load import LoadStatistics, ServiceLoad, UpstreamLoad
from skylarkcart.replicas._cost import (
    CONNECTION_LIMIT_COST_FACTOR,
    COST_JITTER,
    Access,
    add_penalties,
)
from skylarkcart.replicas._replica import RETURN_RAMP_MS, Replica
from skylarkcart.types import ServiceId, UpstreamId, ZoneId

# A call at an upstream with all slots in use is expected to cost this many typical
# calls more than at an idle one. The cost grows with the fourth power of the
# utilization, so that a few calls don't outweigh an open connection or the own zone.
LOAD_COST = 5.0

# Bounds the cost of an upstream that states an absurd queue, so that it still gets
# calls when its siblings are loaded.
MAX_UTILIZATION = 2.0

# Added where the call would probably be refused, in typical calls: another one has to
# be made, and only a few are allowed.
REFUSAL_COST = 5.0

# Price of a call to another zone, in typical calls: its round trip and its bytes. It is
# added, not multiplied, so that it doesn't keep calls in a zone that is short of room.
OTHER_ZONE_PRICE = 1.0

# Upstreams that are compared for a call, and those of the own zone among them if there
# are others. With more, all instances would choose the few that look best.
MAX_COMPARED = 3
MAX_COMPARED_OWN = 2

# An upstream with a higher cost is stalled or in backoff and isn't counted as compared.
MAX_USABLE_COST = 15.0

# Factor on the cost of an upstream that returns, for a part of the calls that falls to
# none while it ramps up.
RETURNING_COST_FACTOR = 4.0


# Siblings that are listed for a refused call, those with most room first.
MAX_LISTED_SIBLINGS = 3


class LoadBelief(msgspec.Struct, frozen=True, kw_only=True):
    """What was believed of an upstream's load, from a report of some age."""

    upstream: UpstreamId
    calls: float
    slots: int
    age_ms: float

    @property
    def free_slots(self) -> float:
        return self.slots - self.calls


class RefusedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that was refused, and what was believed when the refusal arrived.

    ``is_misplaced`` holds if a sibling was believed to have a free slot.
    """

    chosen: LoadBelief
    siblings: tuple[LoadBelief, ...]
    is_misplaced: bool


class ServiceOrder:
    """The upstreams of a service in an order of this instance's own.

    Each instance has another order, so that the calls that avoid an upstream spread
    over all others.
    """

    def __init__(
        self, replicas: Iterable[Replica], *, zone: ZoneId, random: random.Random
    ) -> None:
        self._random = random
        self._own: list[Replica] = []
        self._others: list[Replica] = []
        for replica in replicas:
            in_zone = replica.entry.zone == zone
            (self._own if in_zone else self._others).append(replica)
        random.shuffle(self._own)
        random.shuffle(self._others)
        # How many of the own zone are compared before those of others.
        self.own_limit = MAX_COMPARED_OWN if self._others else MAX_COMPARED

    def list_own(self) -> list[Replica]:
        """Returns the upstreams of the own zone, from a random one on."""
        return self._rotate(self._own, self.own_limit)

    def list_others(self) -> list[Replica]:
        return self._rotate(self._others, 1)

    def _rotate(self, replicas: list[Replica], limit: int) -> list[Replica]:
        if len(replicas) <= limit:
            return replicas
        start = int(self._random.random() * len(replicas))
        return replicas[start:] + replicas[:start]


def estimate_time(
    replica: Replica, service: ServiceLoad, now: Millis, random: random.Random
) -> float:
    """Returns the expected time of a call relative to the typical one.

    The load is drawn from what is known of it, so that instances with the same old
    reports choose different upstreams.
    """
    load = replica.load
    if load is None:
        load = UpstreamLoad(service=service, now=now, slots=replica.entry.slots)
        replica.load = load
    calls, slowness = load.draw(now, len(replica.in_flight), random)
    utilization = calls / load.slots
    if utilization > MAX_UTILIZATION:
        utilization = MAX_UTILIZATION
    squared = utilization * utilization
    time = slowness * (1.0 + LOAD_COST * squared * squared)
    if calls + 1.0 > load.slots + service.queue_limit:
        time += REFUSAL_COST
    latency_ratio = replica.get_latency_ratio(now)
    if latency_ratio > 1.0 and latency_ratio > slowness:
        # The stated work factor explains a part of the latency.
        time *= latency_ratio / max(1.0, slowness)
    if now < replica.ramps_until:
        elapsed_ms = now - replica.ramps_until + RETURN_RAMP_MS
        if random.random() * RETURN_RAMP_MS > elapsed_ms:
            time *= RETURNING_COST_FACTOR
    return time


class EvenChoice:
    """Chooses among the upstreams of services that state a work factor."""

    def __init__(
        self, *, zone: ZoneId, random: random.Random, statistics: LoadStatistics
    ) -> None:
        self._zone = zone
        self._random = random
        self.statistics = statistics
        self._loads: dict[ServiceId, ServiceLoad] = {}
        self._by_service: Mapping[ServiceId, Mapping[UpstreamId, Replica]] = {}
        # Made when a service is first used after an update.
        self._orders: dict[ServiceId, ServiceOrder] = {}

    def update(
        self, by_service: Mapping[ServiceId, Mapping[UpstreamId, Replica]]
    ) -> None:
        """Applies the upstreams in use; forgets services without any."""
        self._by_service = by_service
        self._orders.clear()
        for service in self._loads.keys() - by_service.keys():
            del self._loads[service]

    def get_load(self, service: ServiceId) -> ServiceLoad:
        """Returns what the upstreams of a service have in common."""
        load = self._loads.get(service)
        if load is None:
            load = ServiceLoad(statistics=self.statistics)
            self._loads[service] = load
        return load

    def applies_to(self, service: ServiceId) -> bool:
        """Whether the upstreams of the service state a work factor and are busy."""
        load = self._loads.get(service)
        return load is not None and load.is_busy

    def select(
        self,
        service: ServiceId,
        *,
        now: Millis,
        tried: Collection[UpstreamId],
        may_call: Callable[[Replica, Millis], bool] | None,
        get_access: Callable[[Replica], Access],
        connect_cost: float,
    ) -> Replica | None:
        """Returns the best of some upstreams, by draws from what is known of them.

        ``may_call`` is given if calls to cold upstreams of the service are limited.
        """
        order = self._get_order(service)
        load = self._loads[service]
        best: Replica | None = None
        best_cost = float("inf")
        compared = 0
        draw = self._random.random
        for is_remote in (False, True):
            replicas = order.list_others() if is_remote else order.list_own()
            limit = MAX_COMPARED if is_remote else order.own_limit
            for replica in replicas:
                if compared >= limit:
                    break
                if replica.entry.upstream in tried or not replica.accepts_calls(now):
                    continue
                if may_call is not None and not may_call(replica, now):
                    continue
                cost = estimate_time(replica, load, now, self._random)
                if is_remote:
                    cost += OTHER_ZONE_PRICE
                cost = add_penalties(cost, replica, now)
                cost *= 1.0 + COST_JITTER * draw()
                access = get_access(replica)
                if access is Access.UNCONNECTED:
                    cost += connect_cost
                elif access is Access.AT_CONNECTION_LIMIT:
                    cost *= CONNECTION_LIMIT_COST_FACTOR
                if cost < best_cost:
                    best, best_cost = replica, cost
                compared += cost < MAX_USABLE_COST
        return best

    def record_refusal(
        self, replica: Replica, *, has_report: bool, now: Millis
    ) -> RefusedCall | None:
        """Counts a refused call and returns what was believed, None without reports."""
        if replica.load is None:
            return None
        siblings = [
            _describe(sibling, now)
            for sibling in self._by_service.get(replica.entry.service, {}).values()
            if sibling is not replica
            and sibling.load is not None
            and sibling.load.has_report
            and sibling.accepts_calls(now)
            and not sibling.is_backed_off(now)
        ]
        siblings.sort(key=lambda belief: belief.free_slots, reverse=True)
        is_misplaced = bool(siblings) and siblings[0].free_slots >= 1.0
        self.statistics.refused += 1
        self.statistics.misplaced += is_misplaced
        return RefusedCall(
            chosen=_describe(replica, now, before_report=has_report),
            siblings=tuple(siblings[:MAX_LISTED_SIBLINGS]),
            is_misplaced=is_misplaced,
        )

    def _get_order(self, service: ServiceId) -> ServiceOrder:
        order = self._orders.get(service)
        if order is None:
            replicas = self._by_service.get(service, {}).values()
            order = ServiceOrder(replicas, zone=self._zone, random=self._random)
            self._orders[service] = order
        return order


def _describe(
    replica: Replica, now: Millis, *, before_report: bool = False
) -> LoadBelief:
    load = replica.load
    if before_report:
        calls, age_ms = load.last_expected, load.last_age_ms
    else:
        calls = load.expect_calls(now, len(replica.in_flight))
        age_ms = now - load.reported_at
    return LoadBelief(
        upstream=replica.entry.upstream,
        calls=round(calls, 1),
        slots=load.slots,
        age_ms=round(age_ms, 1),
    )
