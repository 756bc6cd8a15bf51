"""The moments until which a request is worth working on."""

from __future__ import annotations

import collections
from collections.abc import Collection

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.published import Route
from skylarkcart.replicas import RouteLatency

# The way to a caller and back before any caller has shown it.
INITIAL_ROUND_TRIP_MS = 6.0

# What no instance can measure of an answer's way: queues in the sockets and on the
# links. The callers' latencies exceed the measured times by about as much.
ANSWER_MARGIN_MS = 2.0

# Delays of timers and answers before any was measured.
INITIAL_DELAY_MS = 1.0

# Nearly all answers that are due at a moment must leave by then.
DELAY_QUANTILE = 0.95

# An answer at the very end of the caller's time must still reach it.
GIVE_UP_MARGIN_MS = 10.0

BYTES_PER_MS_PER_MBPS = 125.0

# Requests of a route from which the time that its callers begin with is learned.
LEARNED_REQUESTS = 128
MIN_REQUESTS = 3

# After so many further requests the time is determined again.
MAX_KEPT_REQUESTS = 16

# Times spent on connections from which the round trip is learned. Callers state whole
# milliseconds, so that less than two may be none; whoever spent more than the longest
# has made an attempt before.
LEARNED_ROUND_TRIPS = 64
MIN_ROUND_TRIPS = 3
MIN_CONNECTING_MS = 2.0
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


class AnswerDelays:
    """Learns how long after its due time an answer is on the way.

    A timer fires late while the instance works on something else. Merging, writing and
    a thin link take more.

    >>> AnswerDelays(link_mbps=100.0).get_margin_ms()
    4.0
    """

    def __init__(self, *, link_mbps: float) -> None:
        self._bytes_per_ms = link_mbps * BYTES_PER_MS_PER_MBPS
        self._timers = RouteLatency(initial_ms=INITIAL_DELAY_MS)
        self._answers = RouteLatency(initial_ms=INITIAL_DELAY_MS)

    def note_timer(self, late_ms: float) -> None:
        self._timers.add(max(0.0, late_ms))

    def note_answer(self, *, took_ms: float, size: int) -> None:
        """Records an answer of ``size`` bytes that took so long to build and write."""
        self._answers.add(took_ms + size / self._bytes_per_ms)

    def get_margin_ms(self) -> float:
        """Returns how long before its due time an answer must be begun."""
        timer_ms = self._timers.get_quantile(DELAY_QUANTILE)
        answer_ms = self._answers.get_quantile(DELAY_QUANTILE)
        return ANSWER_MARGIN_MS + timer_ms + answer_ms


class CallerTimes:
    """Learns from the time that callers have left what they have spent before.

    Most callers of a route begin with the same time. One that opens a connection spends
    a round trip on it, and one that made an attempt before has spent more.
    """

    def __init__(self) -> None:
        self._begun_with_kept: dict[str, _BegunWith] = {}
        self._begun_with_new: dict[str, _BegunWith] = {}
        self._round_trips: collections.deque[float] = collections.deque(
            maxlen=LEARNED_ROUND_TRIPS
        )
        self.round_trip_ms = INITIAL_ROUND_TRIP_MS

    def plan(
        self,
        request: CallerRequest,
        route: Route,
        *,
        arrived_at: Millis,
        margin_ms: float,
        is_on_new_connection: bool,
    ) -> RequestTimes:
        """Returns the due times of a request that arrived at a moment.

        An answer must be begun ``margin_ms`` before it has to be on the way.
        """
        limit_ms = route.timeout_ms
        spent_ms = 0.0
        if request.time_left_ms is not None:
            limit_ms = min(limit_ms, request.time_left_ms)
            if is_on_new_connection:
                spent_ms = self._learn_from_new(route.name, request.time_left_ms)
            else:
                spent_ms = self._learn_from_kept(route.name, request.time_left_ms)
        longest_ms = RETURNING_ROUND_TRIPS * self.round_trip_ms + ANSWER_MARGIN_MS
        is_returning = spent_ms > longest_ms
        if is_returning:
            # Its caller counts a new attempt after a refusal anew, from the connection.
            spent_ms = self.round_trip_ms if is_on_new_connection else 0.0
        target_ms = route.target_latency_ms or limit_ms
        in_time_ms = target_ms - spent_ms - self.round_trip_ms - margin_ms
        return RequestTimes(
            answer_by=Millis(arrived_at + max(0.0, in_time_ms)),
            give_up_at=Millis(arrived_at + max(1.0, limit_ms - GIVE_UP_MARGIN_MS)),
            is_returning=is_returning,
        )

    def _learn_from_kept(self, route: str, time_left_ms: float) -> float:
        begun_with = self._begun_with_kept.setdefault(route, _BegunWith())
        begun_with.learn(time_left_ms)
        return begun_with.get_spent(time_left_ms)

    def _learn_from_new(self, route: str, time_left_ms: float) -> float:
        begun_with = self._begun_with_new.setdefault(route, _BegunWith())
        begun_with.learn(time_left_ms)
        kept = self._begun_with_kept.get(route)
        if kept is None or not kept.is_known:
            return self.round_trip_ms + begun_with.get_spent(time_left_ms)
        spent_ms = kept.get_spent(time_left_ms)
        if MIN_CONNECTING_MS <= spent_ms <= MAX_CONNECTING_MS:
            self._learn_round_trip(spent_ms)
        return spent_ms

    def _learn_round_trip(self, spent_ms: float) -> None:
        self._round_trips.append(spent_ms)
        if len(self._round_trips) >= MIN_ROUND_TRIPS:
            ordered = sorted(self._round_trips)
            # The shorter ones are connections; later attempts have spent more.
            self.round_trip_ms = ordered[len(ordered) // 4]


class _BegunWith:
    """The time with which first attempts on a route arrive."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=LEARNED_REQUESTS
        )
        self._usual_ms: float | None = None
        self._until_found = MIN_REQUESTS

    @property
    def is_known(self) -> bool:
        return self._usual_ms is not None

    def learn(self, time_left_ms: float) -> None:
        """Adds the time that a request arrived with."""
        self._samples.append(time_left_ms)
        self._until_found -= 1
        if self._until_found <= 0:
            self._until_found = min(len(self._samples) // 2, MAX_KEPT_REQUESTS)
            self._usual_ms = _find_usual(self._samples)

    def get_spent(self, time_left_ms: float) -> float:
        """Returns how much less than usual is left; nothing while that is unknown."""
        return (
            0.0 if self._usual_ms is None else max(0.0, self._usual_ms - time_left_ms)
        )


def _find_usual(samples: Collection[float]) -> float:
    """Returns the time that explains most samples as first attempts.

    A first attempt has at most the time of opening a connection less. Among equals, the
    longest time wins.

    >>> _find_usual([3600, 1216, 1210])
    1216
    """
    counts = collections.Counter(samples)

    def count_first_attempts(begun_with: float) -> int:
        return sum(
            count
            for left, count in counts.items()
            if 0 <= begun_with - left <= MAX_CONNECTING_MS
        )

    return max(counts, key=lambda left: (count_first_attempts(left), left))
