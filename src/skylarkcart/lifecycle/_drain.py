"""What a draining process still begins, and when it ends."""

from __future__ import annotations

from skylarkcart.clock import Millis

# Reserved at the end of the grace period for sending the last responses, closing
# connections and flushing the log.
STOP_MARGIN_MS = 700.0

# The margin never takes more than this fraction of a short grace period.
MAX_STOP_MARGIN_FRACTION = 0.25

# A request is begun only if this many of its target latencies are left.
TARGET_LATENCIES_TO_FINISH = 2.0

# For a request with a long target latency, at most this fraction of the drain has to be
# left, so that it is served while the load balancer still routes callers here.
MAX_RESERVED_FRACTION = 0.5


class DrainSchedule:
    """The times of one drain, from the stop signal to the last response.

    Requests are served while there is time to finish them. Later ones are refused
    before anything is sent for them, so that callers retry on another instance. At
    ``ends_at``, requests that are still running get their final response. Idle
    connections are closed from ``closes_idle_from`` on, as their callers would
    otherwise keep sending requests until the process ends.

    >>> drain = DrainSchedule(started_at=Millis(0), grace_ms=6_000, linger_ms=2_600)
    >>> drain.may_begin(Millis(5_000), target_latency_ms=145)
    True
    >>> drain.may_begin(Millis(5_000), target_latency_ms=500)
    False
    """

    def __init__(
        self, *, started_at: Millis, grace_ms: float, linger_ms: float
    ) -> None:
        margin_ms = min(STOP_MARGIN_MS, MAX_STOP_MARGIN_FRACTION * grace_ms)
        self._duration_ms = grace_ms - margin_ms
        self.ends_at = Millis(started_at + self._duration_ms)
        self.closes_idle_from = Millis(min(started_at + linger_ms, self.ends_at))

    def may_begin(self, now: Millis, *, target_latency_ms: float) -> bool:
        """Whether a request that arrived can still be finished."""
        reserved_ms = min(
            TARGET_LATENCIES_TO_FINISH * target_latency_ms,
            MAX_RESERVED_FRACTION * self._duration_ms,
        )
        return now + reserved_ms <= self.ends_at

    def has_ended(self, now: Millis) -> bool:
        return now >= self.ends_at
