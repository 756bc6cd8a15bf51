"""Load, latency and failure statistics of one upstream."""

from __future__ import annotations

import collections
import enum
import statistics

import msgspec

from skylarkcart.backoff import compute_backoff_ms
from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.load import ServiceLoad, UpstreamLoad
from skylarkcart.published import UpstreamEntry
from skylarkcart.replicas._zone_reach import ZoneReachability

MILLISECONDS_PER_SECOND = 1000.0

# Weight of one call in the exponential moving average of the failure ratio.
FAILURE_RATIO_WEIGHT = 0.2

# The latency ratio of an upstream is the median of its latest calls in this window.
# Overlapping slow calls count as one sample, so that a single pause of the upstream
# doesn't change the median.
LATENCY_RATIO_SAMPLES = 3
LATENCY_RATIO_WINDOW_MS = 2_000.0

# Calls with at least this latency ratio are reported to the other instances.
SLOW_CALL_RATIO = 3.0

MAX_LATENCY_RATIO = 10.0

# Without new calls, the statistics decay to half of their value in this time, so that
# an upstream that has recovered gets calls again.
LATENCY_RATIO_HALF_LIFE_MS = 4_000.0
FAILURE_RATIO_HALF_LIFE_MS = 2_500.0

# A lower failure ratio is treated as 0.
NEGLIGIBLE_FAILURE_RATIO = 0.005

# Older load reports from an upstream are ignored.
LOAD_REPORT_MAX_AGE_MS = 300.0

# Backoff after a failure. It doubles with each further consecutive failure.
INITIAL_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 3_000.0

# Duration in which the calls to an upstream that returns grow to its share.
RETURN_RAMP_MS = 1_000.0

# Consecutive failures after which an upstream is treated as unreachable.
UNREACHABLE_AFTER_FAILURES = 2

# An upstream that resets a new connection has reached its connection limit. No further
# connection is opened during this backoff, which doubles with each further reset.
INITIAL_CONNECT_BACKOFF_MS = 1_000.0
MAX_CONNECT_BACKOFF_MS = 8_000.0

# An upstream is treated as stalled while a call to it waits longer than its expected
# latency times this factor.
STALL_LATENCY_FACTOR = 2.5


class CallEnd(enum.Enum):
    """How a call to an upstream ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    REFUSED_CONNECTION = "refused_connection"
    CONNECTION_LOST = "lost"
    TIMED_OUT = "silent"
    ABANDONED = "abandoned"

    @property
    def reached_upstream(self) -> bool:
        """Whether the upstream may have received, and thus counted, the request."""
        return self is not CallEnd.REFUSED_CONNECTION


class SlowSample(msgspec.Struct, frozen=True, kw_only=True):
    """A call with a high latency ratio, in times of this instance's clock."""

    started_at: Millis
    ended_at: Millis
    ratio: float


class Replica:
    """Load, latency and failures of one upstream as observed by this instance.

    The latency ratio is the latency of its calls relative to the typical latency of
    their route.
    """

    def __init__(
        self,
        *,
        entry: UpstreamEntry,
        seen_at: Millis,
        zone_reachability: ZoneReachability | None = None,
        service_load: ServiceLoad | None = None,
    ) -> None:
        self.entry = entry
        # Set once an upstream of its service has stated a work factor.
        self.load: UpstreamLoad | None = None
        self._service_load = service_load or ServiceLoad()
        # It returned to the upstreams in use, and gets only a part of the calls.
        self.ramps_until = Millis(float("-inf"))
        # No further call may be sent to it.
        self.is_retired = False
        # The upstream has asked for no calls until then.
        self.paused_until = Millis(float("-inf"))
        self._zone_reachability = zone_reachability or ZoneReachability()
        self.seen_at = seen_at
        self.in_flight: dict[int, tuple[Millis, float]] = {}
        self.last_response_at = Millis(float("-inf"))
        self._latency_ratios: collections.deque[tuple[Millis, float]] = (
            collections.deque(maxlen=LATENCY_RATIO_SAMPLES)
        )
        self.last_slow_call: SlowSample | None = None
        self._latency_ratio = 1.0
        self._latency_ratio_at = seen_at
        self._last_slow_call_ended_at = Millis(float("-inf"))
        self._failure_ratio = 0.0
        self._failure_ratio_at = seen_at
        self._consecutive_failures = 0
        self._cold_tokens = 0.0
        self._cold_tokens_at: Millis | None = None
        self._backoff_until = Millis(float("-inf"))
        self._consecutive_resets = 0
        self._connect_backoff_until = Millis(float("-inf"))
        self._load_report: ReportedLoad | None = None
        self._load_report_at = seen_at
        self._in_flight_at_load_report = 0

    def may_call_cold(self, now: Millis, *, calls_per_s: float) -> bool:
        """Whether this instance's share of a cold upstream's call rate has a token.

        The token bucket starts empty, so that instances that discover a cold upstream
        at the same time don't all call it at once.
        """
        if self._cold_tokens_at is None:
            self._cold_tokens_at = now
        elapsed_s = max(0.0, now - self._cold_tokens_at) / MILLISECONDS_PER_SECOND
        self._cold_tokens_at = now
        self._cold_tokens = min(1.0, self._cold_tokens + elapsed_s * calls_per_s)
        return self._cold_tokens >= 1.0

    def begin_call(self, call: int, *, now: Millis, typical_ms: float) -> None:
        self.in_flight[call] = (now, max(1.0, typical_ms))
        self._cold_tokens = max(0.0, self._cold_tokens - 1.0)

    def end_call(
        self, call: int, end: CallEnd, *, now: Millis, load: ReportedLoad | None = None
    ) -> None:
        """Records how a call ended. Unknown calls are ignored."""
        started_call = self.in_flight.pop(call, None)
        if started_call is None:
            return
        started_at, typical_ms = started_call
        if load is not None:
            self.record_load(
                load, now=now, end=end, latency_ratio=(now - started_at) / typical_ms
            )
        if end is CallEnd.ANSWERED:
            self._record_latency(started_at, typical_ms, now)
            self._record_success(now)
        elif end is CallEnd.ABANDONED:
            if now - started_at > typical_ms * self.get_latency_ratio(now):
                self._record_latency(started_at, typical_ms, now)
        else:
            self._record_failure(end, now)

    def begin_ramp(self, start: Millis) -> None:
        """Records that it returns to the upstreams in use at that time."""
        self.ramps_until = Millis(start + RETURN_RAMP_MS)

    def record_load(
        self,
        load: ReportedLoad,
        *,
        now: Millis,
        end: CallEnd | None = None,
        latency_ratio: float = 1.0,
    ) -> None:
        """Records the load that it reports, with the end of a call or without one."""
        self._load_report = load
        self._load_report_at = now
        self._in_flight_at_load_report = len(self.in_flight)
        if self.load is None:
            if load.work_factor is None:
                return
            self.load = UpstreamLoad(
                service=self._service_load, now=now, slots=load.slots
            )
        # The report of a call that was run includes it.
        is_refusal = end is CallEnd.SHED
        has_run = end is not None and not is_refusal
        own_calls = len(self.in_flight) + has_run
        is_quick = end is CallEnd.ANSWERED and latency_ratio <= 1.0
        self.load.record(
            load,
            now=now,
            own_calls=own_calls,
            is_refusal=is_refusal,
            is_contradicted=is_quick and load.waiting >= load.slots,
        )
        if end is CallEnd.ANSWERED and load.running + load.waiting <= load.slots:
            self.load.record_pace(latency_ratio / (load.work_factor or 1.0))

    def accepts_calls(self, now: Millis) -> bool:
        """Whether a call may be sent to it, or wait for a connection to it."""
        return not self.is_retired and now >= self.paused_until

    def is_backed_off(self, now: Millis) -> bool:
        """Whether it is in backoff after a failure, or is unreachable."""
        return (
            now < self._backoff_until
            or self._consecutive_failures >= UNREACHABLE_AFTER_FAILURES
            or self._zone_reachability.is_unreachable(now)
        )

    def is_unreachable(self, now: Millis) -> bool:
        """Whether its zone is unreachable, or its calls failed repeatedly.

        It stays unreachable until a connection succeeds, as any request sent to it
        before that would probably fail.
        """
        return self._has_repeated_failures or self._zone_reachability.is_unreachable(
            now
        )

    def needs_probe(self, now: Millis) -> bool:
        """Whether it is unreachable and a connection attempt is due."""
        return self._has_repeated_failures and now >= self._backoff_until

    @property
    def _has_repeated_failures(self) -> bool:
        return self._consecutive_failures >= UNREACHABLE_AFTER_FAILURES

    def is_at_connection_limit(self, now: Millis) -> bool:
        """Whether it has reached its connection limit recently."""
        return now < self._connect_backoff_until

    def record_connection_reset(self, now: Millis) -> None:
        """Records that it reset a new connection before any call was made."""
        self._consecutive_resets += 1
        backoff_ms = compute_backoff_ms(
            self._consecutive_resets,
            initial_ms=INITIAL_CONNECT_BACKOFF_MS,
            max_ms=MAX_CONNECT_BACKOFF_MS,
        )
        self._connect_backoff_until = Millis(now + backoff_ms)
        self.record_connection(now)

    def record_connection(self, now: Millis) -> None:
        """Records that a connection succeeded after failures."""
        self._zone_reachability.record_contact(now)
        if self._has_repeated_failures:
            self.begin_ramp(now)
        self._consecutive_failures = 0
        self._backoff_until = now

    def is_cold(self, now: Millis) -> bool:
        return now < self.seen_at + self.entry.cold_left_ms

    def is_stalled(self, now: Millis) -> bool:
        """Whether a call to it waits much longer than expected, without any response.

        The upstream is then probably paused, partitioned or down, so that further calls
        should go to other upstreams.
        """
        for started_at, typical_ms in self.in_flight.values():
            waiting_since = max(started_at, self.last_response_at)
            if (
                now - waiting_since
                > STALL_LATENCY_FACTOR * typical_ms * self.get_latency_ratio(now)
            ):
                return True
        return False

    def is_slow(self, now: Millis) -> bool:
        """Whether its latest calls took much longer than usual."""
        return self.get_latency_ratio(now) >= SLOW_CALL_RATIO

    def get_latency_ratio(self, now: Millis) -> float:
        if self._latency_ratio == 1.0:
            return 1.0
        decay = 0.5 ** ((now - self._latency_ratio_at) / LATENCY_RATIO_HALF_LIFE_MS)
        return 1.0 + (self._latency_ratio - 1.0) * decay

    def get_failure_ratio(self, now: Millis) -> float:
        """Returns the decayed ratio of its calls that failed."""
        if self._failure_ratio < NEGLIGIBLE_FAILURE_RATIO:
            return 0.0
        decay = 0.5 ** ((now - self._failure_ratio_at) / FAILURE_RATIO_HALF_LIFE_MS)
        return self._failure_ratio * decay

    def get_utilization(self, now: Millis) -> float:
        """Returns its running and waiting calls, own and reported, per slot."""
        calls = float(len(self.in_flight))
        slots = self.entry.slots
        if (
            self._load_report is not None
            and now - self._load_report_at < LOAD_REPORT_MAX_AGE_MS
        ):
            reported = self._load_report.running + self._load_report.waiting - 1
            calls += max(0, reported - self._in_flight_at_load_report)
            slots = self._load_report.slots
        return calls / slots

    def record_reported_slow_call(self, sample: SlowSample) -> None:
        """Records a slow call that another instance reported."""
        self._record_latency_ratio(sample.started_at, sample.ended_at, sample.ratio)

    def _record_latency(
        self, started_at: Millis, typical_ms: float, now: Millis
    ) -> None:
        ratio = (now - started_at) / typical_ms
        if ratio >= SLOW_CALL_RATIO:
            self.last_slow_call = SlowSample(
                started_at=started_at, ended_at=now, ratio=ratio
            )
        self._record_latency_ratio(started_at, now, ratio)

    def _record_latency_ratio(
        self, started_at: Millis, ended_at: Millis, ratio: float
    ) -> None:
        ratio = min(MAX_LATENCY_RATIO, ratio)
        current = self.get_latency_ratio(ended_at)
        if ratio >= SLOW_CALL_RATIO:
            if started_at <= self._last_slow_call_ended_at:
                # It overlaps the previous slow call: one pause delayed both.
                return
            self._last_slow_call_ended_at = ended_at
        self._latency_ratios.append((ended_at, ratio))
        recent = [
            r
            for at, r in self._latency_ratios
            if ended_at - at <= LATENCY_RATIO_WINDOW_MS
        ]
        padding = [min(current, ratio)] * (LATENCY_RATIO_SAMPLES - len(recent))
        self._latency_ratio = max(1.0, statistics.median(recent + padding))
        self._latency_ratio_at = ended_at

    def _record_success(self, now: Millis) -> None:
        self._zone_reachability.record_contact(now)
        self.last_response_at = now
        self._consecutive_failures = 0
        self._consecutive_resets = 0
        self._backoff_until = now
        self._failure_ratio = self.get_failure_ratio(now) * (1 - FAILURE_RATIO_WEIGHT)
        self._failure_ratio_at = now

    def _record_failure(self, end: CallEnd, now: Millis) -> None:
        current = self.get_failure_ratio(now)
        self._failure_ratio = current + FAILURE_RATIO_WEIGHT * (1 - current)
        self._failure_ratio_at = now
        if end is CallEnd.FAILED or end is CallEnd.SHED:
            # It responded, so its process and the network path work.
            self._zone_reachability.record_contact(now)
            self.last_response_at = now
            self._consecutive_failures = 0
            return
        if end is CallEnd.CONNECTION_LOST:
            # The host sent a reset, as it does for connections that it has dropped.
            # This doesn't count against its zone.
            self._start_backoff(now)
        elif end is not CallEnd.REFUSED_CONNECTION:
            # Failed connection attempts are recorded when they fail.
            self.record_connection_failure(now)

    def record_connection_failure(self, now: Millis) -> None:
        """Records a failed connection attempt, or a call without a response."""
        self._zone_reachability.record_unresponsive(self.entry.upstream)
        self._start_backoff(now)

    def _start_backoff(self, now: Millis) -> None:
        self._consecutive_failures += 1
        backoff_ms = compute_backoff_ms(
            self._consecutive_failures,
            initial_ms=INITIAL_BACKOFF_MS,
            max_ms=MAX_BACKOFF_MS,
        )
        self._backoff_until = Millis(now + backoff_ms)
