"""Deadlines of requests, and the estimates that they are computed from."""

from __future__ import annotations

import collections
from collections.abc import Collection

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.published import Route
from skylarkcart.replicas import RouteLatency

# Round-trip time to callers before the first measurement.
INITIAL_ROUND_TRIP_MS = 6.0

# Delay of a response that an instance can't measure: queueing in sockets and on links.
# Latencies at callers exceed the measured times by about this much.
RESPONSE_MARGIN_MS = 2.0

# Delay of timers and responses before the first measurement.
INITIAL_DELAY_MS = 1.0

# Nearly all responses must be sent by their due time.
DELAY_QUANTILE = 0.95

# A response sent at the deadline must still reach the caller in time.
GIVE_UP_MARGIN_MS = 10.0

BYTES_PER_MS_PER_MBPS = 125.0

# Requests of a route from which the initial timeout of its callers is estimated.
TIMEOUT_SAMPLES = 128
MIN_TIMEOUT_SAMPLES = 3

# The estimate is recomputed at least once in this many requests.
MAX_SAMPLES_BETWEEN_UPDATES = 16

# Connect times from which the round trip is estimated. Callers state whole
# milliseconds, so a difference of less than 2 ms may be rounding. A caller that has
# spent more than the maximum has made an earlier attempt.
ROUND_TRIP_SAMPLES = 64
MIN_ROUND_TRIP_SAMPLES = 3
MIN_CONNECT_MS = 2.0
MAX_CONNECT_MS = 50.0

# A retry after a refusal has spent at least two round trips: one for the refusal and
# one for the new connection. A first attempt on a new connection has spent one. The
# threshold lies between the two.
RETRY_ROUND_TRIPS = 1.6


class RequestDeadlines(msgspec.Struct, frozen=True, kw_only=True):
    """When a request's response is due.

    A response that is started by ``soft_deadline`` meets the route's target latency. At
    ``hard_deadline``, the caller's or the route's timeout is about to expire.
    ``is_retry`` holds if the caller has probably made an earlier attempt.
    """

    soft_deadline: Millis
    hard_deadline: Millis
    is_retry: bool

    def limit_to(self, latest: Millis) -> RequestDeadlines:
        """Returns the deadlines with none later than ``latest``."""
        return msgspec.structs.replace(
            self,
            soft_deadline=Millis(min(self.soft_deadline, latest)),
            hard_deadline=Millis(min(self.hard_deadline, latest)),
        )


class ResponseDelayEstimator:
    """Estimates how long after its due time a response is sent.

    A timer fires late while the event loop is busy. Merging and writing the response
    and sending it over a slow link add to the delay.

    >>> ResponseDelayEstimator(link_mbps=100.0).get_margin_ms()
    4.0
    """

    def __init__(self, *, link_mbps: float) -> None:
        self._link_bytes_per_ms = link_mbps * BYTES_PER_MS_PER_MBPS
        self._timer_delays = RouteLatency(initial_ms=INITIAL_DELAY_MS)
        self._response_delays = RouteLatency(initial_ms=INITIAL_DELAY_MS)

    def add_timer_delay(self, late_ms: float) -> None:
        self._timer_delays.add(max(0.0, late_ms))

    def add_response_delay(self, *, duration_ms: float, size: int) -> None:
        """Adds the time taken to build and write a response of ``size`` bytes."""
        self._response_delays.add(duration_ms + size / self._link_bytes_per_ms)

    def get_margin_ms(self) -> float:
        """Returns how long before its due time a response must be started."""
        timer_ms = self._timer_delays.get_quantile(DELAY_QUANTILE)
        response_ms = self._response_delays.get_quantile(DELAY_QUANTILE)
        return RESPONSE_MARGIN_MS + timer_ms + response_ms


class ElapsedTimeEstimator:
    """Estimates the time that callers spent before a request arrived.

    Most callers of a route start with the same timeout, so the time that they have left
    shows what they spent. Opening a connection takes a round trip; an earlier attempt
    takes more.
    """

    def __init__(self) -> None:
        self._initial_timeouts_on_reused: dict[str, _InitialTimeoutEstimator] = {}
        self._initial_timeouts_on_new: dict[str, _InitialTimeoutEstimator] = {}
        self._round_trips: collections.deque[float] = collections.deque(
            maxlen=ROUND_TRIP_SAMPLES
        )
        self.round_trip_ms = INITIAL_ROUND_TRIP_MS

    def compute_deadlines(
        self,
        request: CallerRequest,
        route: Route,
        *,
        arrived_at: Millis,
        margin_ms: float,
        is_on_new_connection: bool,
    ) -> RequestDeadlines:
        """Returns the deadlines of a request that arrived at ``arrived_at``.

        A response must be started ``margin_ms`` before it has to be sent.
        """
        limit_ms = route.timeout_ms
        elapsed_ms = 0.0
        if request.time_left_ms is not None:
            limit_ms = min(limit_ms, request.time_left_ms)
            if is_on_new_connection:
                elapsed_ms = self._estimate_elapsed_on_new(
                    route.name, request.time_left_ms
                )
            else:
                elapsed_ms = self._estimate_elapsed_on_reused(
                    route.name, request.time_left_ms
                )
        max_first_attempt_ms = (
            RETRY_ROUND_TRIPS * self.round_trip_ms + RESPONSE_MARGIN_MS
        )
        is_retry = elapsed_ms > max_first_attempt_ms
        if is_retry:
            # After a refusal, callers measure the latency of the new attempt from its
            # connection on.
            elapsed_ms = self.round_trip_ms if is_on_new_connection else 0.0
        target_ms = route.target_latency_ms or limit_ms
        available_ms = target_ms - elapsed_ms - self.round_trip_ms - margin_ms
        return RequestDeadlines(
            soft_deadline=Millis(arrived_at + max(0.0, available_ms)),
            hard_deadline=Millis(arrived_at + max(1.0, limit_ms - GIVE_UP_MARGIN_MS)),
            is_retry=is_retry,
        )

    def _estimate_elapsed_on_reused(self, route: str, time_left_ms: float) -> float:
        initial_timeout = self._initial_timeouts_on_reused.setdefault(
            route, _InitialTimeoutEstimator()
        )
        initial_timeout.add_sample(time_left_ms)
        return initial_timeout.get_elapsed_ms(time_left_ms)

    def _estimate_elapsed_on_new(self, route: str, time_left_ms: float) -> float:
        initial_timeout = self._initial_timeouts_on_new.setdefault(
            route, _InitialTimeoutEstimator()
        )
        initial_timeout.add_sample(time_left_ms)
        on_reused = self._initial_timeouts_on_reused.get(route)
        if on_reused is None or not on_reused.has_estimate:
            return self.round_trip_ms + initial_timeout.get_elapsed_ms(time_left_ms)
        elapsed_ms = on_reused.get_elapsed_ms(time_left_ms)
        if MIN_CONNECT_MS <= elapsed_ms <= MAX_CONNECT_MS:
            self._add_round_trip(elapsed_ms)
        return elapsed_ms

    def _add_round_trip(self, elapsed_ms: float) -> None:
        self._round_trips.append(elapsed_ms)
        if len(self._round_trips) >= MIN_ROUND_TRIP_SAMPLES:
            sorted_ms = sorted(self._round_trips)
            # The lower quartile excludes retries, which have spent more.
            self.round_trip_ms = sorted_ms[len(sorted_ms) // 4]


class _InitialTimeoutEstimator:
    """Estimates the time that first attempts on a route have left on arrival."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=TIMEOUT_SAMPLES
        )
        self._estimate_ms: float | None = None
        self._samples_until_update = MIN_TIMEOUT_SAMPLES

    @property
    def has_estimate(self) -> bool:
        return self._estimate_ms is not None

    def add_sample(self, time_left_ms: float) -> None:
        """Adds the time that a request had left on arrival."""
        self._samples.append(time_left_ms)
        self._samples_until_update -= 1
        if self._samples_until_update <= 0:
            self._samples_until_update = min(
                len(self._samples) // 2, MAX_SAMPLES_BETWEEN_UPDATES
            )
            self._estimate_ms = _find_initial_timeout(self._samples)

    def get_elapsed_ms(self, time_left_ms: float) -> float:
        """Returns how far the time left is below the estimate, 0 without one."""
        return (
            0.0
            if self._estimate_ms is None
            else max(0.0, self._estimate_ms - time_left_ms)
        )


def _find_initial_timeout(samples: Collection[float]) -> float:
    """Returns the initial timeout that explains most samples as first attempts.

    A first attempt has at most the connect time less than the initial timeout. Ties are
    resolved in favour of the longest timeout.

    >>> _find_initial_timeout([3600, 1216, 1210])
    1216
    """
    counts = collections.Counter(samples)

    def count_first_attempts(initial_timeout: float) -> int:
        return sum(
            count
            for time_left_ms, count in counts.items()
            if 0 <= initial_timeout - time_left_ms <= MAX_CONNECT_MS
        )

    return max(
        counts,
        key=lambda time_left_ms: (count_first_attempts(time_left_ms), time_left_ms),
    )
