"""The moments until which a request is worth working on."""

from __future__ import annotations

import collections

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.published import Route

# The way to a caller and back before any caller has shown it.
INITIAL_ROUND_TRIP_MS = 6.0

# From the decision to answer until the answer is on the way: a timer that fires late,
# merging and writing.
ANSWER_MARGIN_MS = 2.0

# An answer at the very end of the caller's time must still reach it.
GIVE_UP_MARGIN_MS = 10.0

# Requests of a route from which the time that its callers begin with is learned.
LEARNED_REQUESTS = 128
MIN_REQUESTS = 8

# Times spent before a request from which the round trip is learned, and the longest
# that a new connection takes; whoever spent more has made an attempt before.
LEARNED_ROUND_TRIPS = 64
MIN_ROUND_TRIPS = 5
MAX_CONNECTING_MS = 50.0

# A request that returns after a refusal has spent at least the round trips of an answer
# and of a new connection; one on a new connection has spent one.
RETURNING_ROUND_TRIPS = 1.6


class RequestTimes(msgspec.Struct, frozen=True, kw_only=True):
    """When a request's answer is due.

    ``answer_by`` is the last moment for an answer within the route's target latency.
    At ``give_up_at`` the caller or the operators wait no longer. ``is_returning`` holds
    if the caller has probably made an attempt before.
    """

    answer_by: Millis
    give_up_at: Millis
    is_returning: bool


class CallerTimes:
    """Learns from the time that callers have left what they have spent before.

    Most callers of a route begin with the same time. One with less has spent some on
    opening its connection, which takes a round trip, or on an earlier attempt.
    """

    def __init__(self) -> None:
        self._begun_with: dict[str, collections.deque[float]] = {}
        self._usual: dict[str, float] = {}
        self._round_trips: collections.deque[float] = collections.deque(
            maxlen=LEARNED_ROUND_TRIPS
        )
        self.round_trip_ms = INITIAL_ROUND_TRIP_MS

    def plan(
        self, request: CallerRequest, route: Route, *, arrived_at: Millis
    ) -> RequestTimes:
        """Returns the due times of a request that arrived at a moment."""
        limit_ms = route.timeout_ms
        spent_ms = 0.0
        if request.time_left_ms is not None:
            limit_ms = min(limit_ms, request.time_left_ms)
            spent_ms = self._learn_spent(route.name, request.time_left_ms)
        longest_ms = RETURNING_ROUND_TRIPS * self.round_trip_ms + ANSWER_MARGIN_MS
        is_returning = spent_ms > longest_ms
        if is_returning:
            # Its caller counts a new attempt after a refusal anew.
            spent_ms = 0.0
        target_ms = route.target_latency_ms or limit_ms
        in_time_ms = target_ms - spent_ms - self.round_trip_ms - ANSWER_MARGIN_MS
        return RequestTimes(
            answer_by=Millis(arrived_at + max(0.0, in_time_ms)),
            give_up_at=Millis(arrived_at + max(1.0, limit_ms - GIVE_UP_MARGIN_MS)),
            is_returning=is_returning,
        )

    def _learn_spent(self, route: str, time_left_ms: float) -> float:
        begun_with = self._begun_with.get(route)
        if begun_with is None:
            begun_with = collections.deque(maxlen=LEARNED_REQUESTS)
            self._begun_with[route] = begun_with
        begun_with.append(time_left_ms)
        if len(begun_with) < MIN_REQUESTS:
            return 0.0
        if route not in self._usual or len(begun_with) % MIN_REQUESTS == 0:
            counts = collections.Counter(begun_with)
            self._usual[route] = counts.most_common(1)[0][0]
        spent_ms = max(0.0, self._usual[route] - time_left_ms)
        if 0 < spent_ms <= MAX_CONNECTING_MS:
            self._learn_round_trip(spent_ms)
        return spent_ms

    def _learn_round_trip(self, spent_ms: float) -> None:
        self._round_trips.append(spent_ms)
        if len(self._round_trips) >= MIN_ROUND_TRIPS:
            ordered = sorted(self._round_trips)
            # The shorter ones are connections; later attempts have spent more.
            self.round_trip_ms = ordered[len(ordered) // 4]
