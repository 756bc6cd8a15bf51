"""Temperature of an upstream and the ramp-up of its load from cold to warm."""

from __future__ import annotations

import enum
import statistics

from skylarkcart.clock import Millis

SUCCESSES_PER_STEP = 8

# Without a baseline latency, a cold upstream cannot be distinguished from a slow one.
# The median of a group of calls then serves as the baseline once it is no longer
# clearly below that of the previous group.
LATENCY_GROUP_SIZE = 16
STEADY_RATIO = 0.7
MAX_BASELINE_RATIO = 2.0

# With this value, occasional slow calls delay the ramp slightly, and it stops if more
# than a third of the calls are slow.
SUCCESSES_LOST_PER_SLOW_CALL = 2

# After this time, slow successes count in full: the index may have grown permanently.
MAX_SLOW_RAMP_MS = 30_000.0

# The evidence for a warm upstream must be newer by this margin than this instance's own
# observation that it is cold, since older evidence may still have been in transit.
EVIDENCE_MARGIN_MS = 500.0

# An upstream that is still slow after this many calls is slow rather than cold.
MAX_SLOW_SUCCESSES = 64


class Temperature(enum.Enum):
    """How much load an upstream is known to be ready for."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class ColdCause(enum.Enum):
    """Why an upstream counts as cold."""

    NEW = "new"
    PROCESS_CHANGED = "process_changed"
    CONNECTIONS_CLOSED = "connections_closed"
    REFUSED = "refused"
    LATENCY_STEP = "latency_step"
    ZONE_RETURNED = "zone_returned"
    RIGHT_LOST = "right_lost"


class Ramp:
    """Doubles the allowance of concurrent calls after enough successes.

    A success counts if its latency is near the baseline. A sole ramp starts at
    ``cold_slots`` and requires the right to send to a cold upstream. A joining ramp
    starts at one call after another instance has declared the upstream warm.
    """

    def __init__(self, *, cold_slots: int, slots: int) -> None:
        self._cold_slots = cold_slots
        self._slots = slots
        self.cold_since: Millis | None = None
        self._refusal_latency_ms: float | None = None
        self._restart(ColdCause.NEW)

    @property
    def needs_right(self) -> bool:
        """Whether an instance must hold the right to send."""
        return self.temperature is not Temperature.WARM and self.is_sole

    @property
    def progress(self) -> tuple[int, int]:
        """The allowance and the successes counted under it, as a sort key."""
        return self.allowance, self._successes

    def resize(self, *, cold_slots: int, slots: int) -> None:
        self._cold_slots = cold_slots
        self._slots = slots
        if self.temperature is Temperature.COLD:
            self.allowance = cold_slots

    def turn_cold(self, cause: ColdCause, now: Millis) -> None:
        self.cold_since = now
        if cause is ColdCause.REFUSED and self._latencies:
            self._refusal_latency_ms = statistics.median(
                self._latencies[-LATENCY_GROUP_SIZE:]
            )
        self._restart(cause)

    def lose_right(self) -> None:
        """Restarts the ramp, since another instance may send to the upstream now."""
        self._restart(ColdCause.RIGHT_LOST)

    def join(self, evidence_at: Millis) -> bool:
        """Joins on another instance's declaration; returns whether it was accepted."""
        if self.temperature is not Temperature.COLD:
            return False
        if (
            self.cold_since is not None
            and evidence_at < self.cold_since + EVIDENCE_MARGIN_MS
        ):
            return False
        self._restart(self.cause)
        self.temperature = Temperature.WARMING
        self.is_sole = False
        self.allowance = 1
        return True

    def record_success(
        self,
        latency_ms: float,
        *,
        baseline_ms: float | None,
        started_at: Millis,
        now: Millis,
    ) -> None:
        """Counts a success; ignores calls started before the upstream turned cold."""
        if self.temperature is Temperature.WARM:
            return
        if self.cold_since is not None and started_at < self.cold_since:
            return
        self._first_success_at = self._first_success_at or now
        self._latencies = [*self._latencies[1 - 2 * LATENCY_GROUP_SIZE :], latency_ms]
        baseline_ms = baseline_ms or self._steady_ms
        if baseline_ms is None:
            self._record_without_baseline(now)
        elif self._is_near_baseline(latency_ms, baseline_ms, now):
            self._successes += 1
            if self._successes >= SUCCESSES_PER_STEP:
                self._advance()
        else:
            self._successes = max(0, self._successes - SUCCESSES_LOST_PER_SLOW_CALL)
            self._slow_successes += 1

    @property
    def is_slow(self) -> bool:
        """Whether the upstream is still slow after enough calls to warm it up."""
        return self._slow_successes >= MAX_SLOW_SUCCESSES

    def _is_near_baseline(
        self, latency_ms: float, baseline_ms: float, now: Millis
    ) -> bool:
        return (
            latency_ms <= MAX_BASELINE_RATIO * baseline_ms
            or now - self._first_success_at >= MAX_SLOW_RAMP_MS
        )

    def _record_without_baseline(self, now: Millis) -> None:
        """Advances once the latency is steady; falling latency means a cold upstream.

        After a refusal, the latency must also be clearly below that before the refusal,
        since the latency of a cold upstream may be steady, too.
        """
        self._successes += 1
        if self._successes < 2 * LATENCY_GROUP_SIZE:
            return
        self._successes = LATENCY_GROUP_SIZE
        earlier = statistics.median(self._latencies[:LATENCY_GROUP_SIZE])
        later = statistics.median(self._latencies[LATENCY_GROUP_SIZE:])
        if later < STEADY_RATIO * earlier:
            return
        is_overdue = now - self._first_success_at >= MAX_SLOW_RAMP_MS
        refusal_latency_ms = self._refusal_latency_ms
        if (
            refusal_latency_ms is None
            or later < STEADY_RATIO * refusal_latency_ms
            or is_overdue
        ):
            self._steady_ms = later
            self._advance()

    def _advance(self) -> None:
        self._successes = 0
        if self.allowance >= self._slots:
            self.temperature = Temperature.WARM
            return
        self.temperature = Temperature.WARMING
        self.allowance = min(self._slots, 2 * self.allowance)

    def _restart(self, cause: ColdCause) -> None:
        self.cause = cause
        self.temperature = Temperature.COLD
        self.is_sole = True
        self.allowance = self._cold_slots
        self._successes = 0
        self._slow_successes = 0
        self._steady_ms: float | None = None
        self._latencies: list[float] = []
        self._first_success_at: Millis | None = None
