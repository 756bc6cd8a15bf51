"""Selects the shards that a search leaves out because they would answer too late."""

from __future__ import annotations

import random
from collections.abc import Mapping

from skylarkcart.types import ServiceId

# If more shards than may be missing need over this fraction of the time that is left,
# some are left out before their queues make every search late.
CROWDED_FRACTION = 0.5

# With more slow shards than this for each part that may be missing, leaving some out
# relieves each of them too little.
MAX_CROWDED_SHARDS = 3


def choose_left_out_shards(
    expected_ms: Mapping[ServiceId, float],
    *,
    time_left_ms: float,
    max_left_out: int,
    random: random.Random,
) -> list[ServiceId]:
    """Returns at most ``max_left_out`` shards that a search should not call.

    ``expected_ms`` is the expected latency of each shard's best upstream, infinite if
    none is reachable. A search that calls a shard whose upstreams are overloaded gets
    its part too late, and delays the searches behind it. If more shards are slow than
    may be missing, the choice is random with the expected latency as the weight: each
    slow shard then serves the searches that it has the capacity for.

    >>> choose_left_out_shards(
    ...     {"a": 20.0, "b": 900.0}, time_left_ms=140, max_left_out=1, random=rng
    ... )
    ['b']
    """
    too_slow = _list_slower(expected_ms, time_left_ms)
    slow = _list_slower(expected_ms, CROWDED_FRACTION * time_left_ms)
    if max_left_out < len(slow) <= MAX_CROWDED_SHARDS * max_left_out:
        too_slow = slow
    if len(too_slow) > max_left_out:
        # Weighted sampling without replacement: the smallest of exponential variates
        # whose rates are the weights.
        too_slow.sort(key=lambda shard: random.expovariate(1.0) / expected_ms[shard])
    return too_slow[:max_left_out]


def _list_slower(
    expected_ms: Mapping[ServiceId, float], limit_ms: float
) -> list[ServiceId]:
    return [shard for shard, ms in expected_ms.items() if ms > limit_ms]


def count_dispensable(shards: int, *, min_coverage: float) -> int:
    """Returns how many of the shards may be missing from an answer.

    >>> count_dispensable(10, min_coverage=0.89)
    1
    """
    return next(
        missing
        for missing in range(shards - 1, -1, -1)
        if missing == 0 or (shards - missing) / shards >= min_coverage
    )
