"""How long what callers have seen outlives the era in which it was seen."""

from __future__ import annotations

import msgspec

from skylarkcart.gateway_settings import Bounds


class RetentionBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Times after the start of an era; the store's word counts when they are over.

    What was written shortly before the store was restored from a copy is lost, and is
    written again by then.
    """

    configuration_ms: float
    closed_zone_ms: float
    departure_ms: float


def build_retention_bounds(bounds: Bounds) -> RetentionBounds:
    """Derives the bounds from the times in which writers and instances catch up.

    A store that was just restored is not stable, which stretches the times in which
    configurations and evacuations take effect.
    """
    stretched_ms = bounds.catch_up_ms + bounds.unstable_store_ms
    return RetentionBounds(
        configuration_ms=stretched_ms + bounds.configuration_ms,
        closed_zone_ms=stretched_ms + bounds.evacuation_ms,
        departure_ms=bounds.catch_up_ms + bounds.upstream_drain_ms,
    )
