"""Choice among upstreams that state their load and how long work takes there."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator

from skylarkcart.clock import Millis
from skylarkcart.load import ServiceLoad, UpstreamLoad
from skylarkcart.replicas._replica import Replica
from skylarkcart.types import ZoneId

# A call at an upstream with all slots in use is expected to cost this many typical
# calls more than at an idle one. The cost grows with the fourth power of the
# utilization, so that a few calls don't outweigh an open connection or the own zone.
LOAD_COST = 3.0

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

# An upstream that returns is considered by a part of the calls, which grows for this
# time.
RETURN_RAMP_MS = 1_000.0
RETURNING_COST_FACTOR = 4.0


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
        self._own_limit = MAX_COMPARED_OWN if self._others else MAX_COMPARED

    def list_groups(self) -> Iterator[tuple[list[Replica], int]]:
        """Returns upstreams with how many may be compared when the group is through."""
        if self._own:
            yield self._rotate(self._own, self._own_limit), self._own_limit
        if self._others:
            yield self._rotate(self._others, 1), MAX_COMPARED

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
    calls = load.draw_calls(now, len(replica.in_flight), random)
    utilization = calls / load.slots
    if utilization > MAX_UTILIZATION:
        utilization = MAX_UTILIZATION
    squared = utilization * utilization
    slowness = load.get_slowness(now)
    time = slowness * (1.0 + LOAD_COST * squared * squared)
    if calls + 1.0 > load.room:
        time += REFUSAL_COST
    latency_ratio = replica.get_latency_ratio(now)
    if latency_ratio > 1.0 and latency_ratio > slowness:
        # The stated work factor explains a part of the latency.
        time *= latency_ratio / max(1.0, slowness)
    elapsed_ms = now - max(replica.returned_at, replica.paused_until)
    if elapsed_ms < RETURN_RAMP_MS and random.random() * RETURN_RAMP_MS > elapsed_ms:
        time *= RETURNING_COST_FACTOR
    return time
