"""The moments until which a request is worth working on."""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.published import Route

# The way to the caller and back, which its latency includes and an instance can't see,
# with the time to write an answer.
CALLER_ROUND_TRIP_MS = 8.0

# An answer at the very end of the caller's time must still reach it.
GIVE_UP_MARGIN_MS = 10.0


class RequestTimes(msgspec.Struct, frozen=True, kw_only=True):
    """When a request's answer is due.

    ``answer_by`` is the last moment for an answer within the route's target latency.
    At ``give_up_at`` the caller or the operators wait no longer.
    """

    answer_by: Millis
    give_up_at: Millis


def plan_times(
    request: CallerRequest, route: Route, *, arrived_at: Millis
) -> RequestTimes:
    """Returns the due times of a request that arrived at a moment."""
    limit_ms = route.timeout_ms
    if request.time_left_ms is not None:
        limit_ms = min(limit_ms, request.time_left_ms)
    target_ms = route.target_latency_ms or limit_ms
    in_time_ms = max(0.0, target_ms - CALLER_ROUND_TRIP_MS)
    return RequestTimes(
        answer_by=Millis(arrived_at + in_time_ms),
        give_up_at=Millis(arrived_at + max(1.0, limit_ms - GIVE_UP_MARGIN_MS)),
    )
