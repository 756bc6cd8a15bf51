"""Costs by which the upstreams of a service are compared."""

from __future__ import annotations

import enum

from skylarkcart.clock import Millis
from skylarkcart.replicas._replica import Replica

# Factors on the expected latency of a call. A call to another zone takes an inter-zone
# round trip and its traffic is billed. The other factors rank, in increasing order, the
# upstreams that are used only if no better one is left.
OTHER_ZONE_COST_FACTOR = 2.0
COLD_COST_FACTOR = 1.6
CONNECTION_LIMIT_COST_FACTOR = 10.0
STALLED_COST_FACTOR = 20.0
BACKOFF_COST_FACTOR = 100.0

# Random fraction added to each cost, so that instances don't all select the same one.
COST_JITTER = 0.1

# Lower success ratios are raised to this value, which bounds the cost.
MIN_SUCCESS_RATIO = 0.05


class Access(enum.Enum):
    """How a call would reach an upstream."""

    CONNECTED = "connected"
    UNCONNECTED = "unconnected"
    AT_CONNECTION_LIMIT = "full"


def add_penalties(
    cost: float, replica: Replica, now: Millis, *, zone_factor: float = 1.0
) -> float:
    """Returns the cost of an upstream that may fail, stall or be cold."""
    failure_ratio = replica.get_failure_ratio(now)
    if failure_ratio:
        cost /= max(MIN_SUCCESS_RATIO, 1.0 - failure_ratio) ** 2
    cost *= zone_factor
    if replica.is_cold(now):
        cost *= COLD_COST_FACTOR
    if replica.in_flight and replica.is_stalled(now):
        cost *= STALLED_COST_FACTOR
    if replica.is_backed_off(now):
        cost *= BACKOFF_COST_FACTOR
    return cost
