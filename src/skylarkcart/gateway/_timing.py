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

# A caller whose time is shorter by this much has made an attempt before: the way there
# and back, and a wait that it was told.
RETURNING_AFTER_MS = 4.0


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


class CallerPatience:
    """Learns from the time that callers have left which requests were sent before.

    Callers of a route start with the same time, so that one with clearly less has
    spent some on an earlier attempt.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def is_returning(self, route: Route, request: CallerRequest) -> bool:
        """Whether a request probably is a later attempt of its caller."""
        left_ms = request.time_left_ms
        if left_ms is None:
            return False
        longest = max(left_ms, self._longest.get(route.name, 0.0))
        self._longest[route.name] = longest
        return left_ms < longest - RETURNING_AFTER_MS
