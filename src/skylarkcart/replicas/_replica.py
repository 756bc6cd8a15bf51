"""What an instance knows of one upstream."""

from __future__ import annotations

import collections
import enum
import statistics

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.published import UpstreamEntry
from skylarkcart.replicas._zone_reach import ZoneReach

MILLISECONDS_PER_SECOND = 1000.0

# The weight of one call in the moving averages.
SAMPLE_WEIGHT = 0.2

# An upstream is as slow as the median of its last calls within this time. Calls that
# one pause held up count once, so that a single pause does not move the median.
SLOWNESS_SAMPLES = 3
SLOWNESS_WINDOW_MS = 2_000.0

# Calls that take so many times as long as usual are told to other instances.
SLOW_RATIO = 3.0

MAX_SLOWNESS_SAMPLE = 10.0

# Without calls, what was learned loses half of its weight in this time, so that an
# upstream that recovered is tried again.
SLOWNESS_HALF_LIFE_MS = 4_000.0
FAILURE_HALF_LIFE_MS = 2_500.0

# A part of failed calls below this counts as none.
NEGLIGIBLE_FAILING = 0.005

# A report of load is of no use after this time.
REPORT_LIFETIME_MS = 300.0

# After failures in a row, calls avoid an upstream for this time, doubled with each
# further one.
FIRST_AVOIDANCE_MS = 200.0
MAX_AVOIDANCE_MS = 3_000.0

# Failures in a row after which an upstream counts as unreachable.
UNREACHABLE_FAILURES = 2

# An upstream that resets new connections has as many as it accepts. No other one is
# opened for this time, doubled with each further reset.
FIRST_CROWDED_MS = 1_000.0
MAX_CROWDED_MS = 8_000.0

# A call that waits this many times as long as usual makes its upstream look paused.
SILENCE_FACTOR = 2.5


class CallEnd(enum.Enum):
    """How a call to an upstream ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    REFUSED_CONNECTION = "refused_connection"
    LOST = "lost"
    SILENT = "silent"
    ABANDONED = "abandoned"

    @property
    def reached_upstream(self) -> bool:
        """Whether the upstream may have got the request, so that it counts there."""
        return self is not CallEnd.REFUSED_CONNECTION


class SlowSample(msgspec.Struct, frozen=True, kw_only=True):
    """A call that took much longer than usual, by this instance's clock."""

    started_at: Millis
    ended_at: Millis
    ratio: float


class Replica:
    """Load, speed and failures of one upstream as seen from here.

    ``slowness`` is the latency of its calls relative to the usual one of their route.
    """

    def __init__(
        self,
        *,
        entry: UpstreamEntry,
        seen_at: Millis,
        zone_reach: ZoneReach | None = None,
    ) -> None:
        self.entry = entry
        self._zone_reach = zone_reach or ZoneReach()
        self.seen_at = seen_at
        self.in_flight: dict[int, tuple[Millis, float]] = {}
        self.heard_at = Millis(float("-inf"))
        self._ratios: collections.deque[tuple[Millis, float]] = collections.deque(
            maxlen=SLOWNESS_SAMPLES
        )
        self.last_slow_call: SlowSample | None = None
        self._slowness = 1.0
        self._slowness_at = seen_at
        self._slow_call_ended_at = Millis(float("-inf"))
        self._failing = 0.0
        self._failing_at = seen_at
        self._failures_in_row = 0
        self._cold_tokens = 0.0
        self._cold_tokens_at: Millis | None = None
        self._avoided_until = Millis(float("-inf"))
        self._resets_in_row = 0
        self._crowded_until = Millis(float("-inf"))
        self._load: ReportedLoad | None = None
        self._load_at = seen_at
        self._own_in_report = 0

    def may_call_cold(self, now: Millis, *, calls_per_s: float) -> bool:
        """Whether this instance's part of a cold upstream's calls has room.

        The part fills from empty, so that instances that learn of a cold upstream
        together do not all call it at once.
        """
        if self._cold_tokens_at is None:
            self._cold_tokens_at = now
        elapsed_s = max(0.0, now - self._cold_tokens_at) / MILLISECONDS_PER_SECOND
        self._cold_tokens_at = now
        self._cold_tokens = min(1.0, self._cold_tokens + elapsed_s * calls_per_s)
        return self._cold_tokens >= 1.0

    def begin_call(self, call: int, *, now: Millis, usual_ms: float) -> None:
        self.in_flight[call] = (now, max(1.0, usual_ms))
        self._cold_tokens = max(0.0, self._cold_tokens - 1.0)

    def end_call(
        self, call: int, end: CallEnd, *, now: Millis, load: ReportedLoad | None = None
    ) -> None:
        """Records how a call ended; an unknown call is ignored."""
        begun = self.in_flight.pop(call, None)
        if begun is None:
            return
        started_at, usual_ms = begun
        if load is not None:
            self._load = load
            self._load_at = now
            self._own_in_report = len(self.in_flight)
        if end is CallEnd.ANSWERED:
            self._learn(started_at, usual_ms, now)
            self._note_success(now)
        elif end is CallEnd.ABANDONED:
            if now - started_at > usual_ms * self.get_slowness(now):
                self._learn(started_at, usual_ms, now)
        else:
            self._note_failure(end, now)

    def is_avoided(self, now: Millis) -> bool:
        """Whether it failed just before, or can't be reached."""
        return now < self._avoided_until or self.is_unreachable(now)

    def is_unreachable(self, now: Millis) -> bool:
        """Whether its connections or calls ended without an answer again and again.

        So it stays until a connection is made, since a request that tries it would
        probably fail.
        """
        return self._is_lost or self._zone_reach.is_unreachable(now)

    def needs_probe(self, now: Millis) -> bool:
        """Whether it is time to find out if connections are possible again."""
        return self._is_lost and now >= self._avoided_until

    @property
    def _is_lost(self) -> bool:
        return self._failures_in_row >= UNREACHABLE_FAILURES

    def is_crowded(self, now: Millis) -> bool:
        """Whether it accepts no further connection for now."""
        return now < self._crowded_until

    def note_reset(self, now: Millis) -> None:
        """Records that it reset a new connection before any call."""
        crowded_ms = FIRST_CROWDED_MS * 2**self._resets_in_row
        self._crowded_until = Millis(now + min(MAX_CROWDED_MS, crowded_ms))
        self._resets_in_row += 1
        self.note_connected(now)

    def note_connected(self, now: Millis) -> None:
        """Records that a connection was made after failures."""
        self._zone_reach.note_heard(now)
        self._failures_in_row = 0
        self._avoided_until = now

    def is_cold(self, now: Millis) -> bool:
        return now < self.seen_at + self.entry.cold_left_ms

    def is_silent(self, now: Millis) -> bool:
        """Whether it owes an answer for much longer than usual.

        It is probably paused, cut off or down, which one call shows to all others.
        """
        for started_at, usual_ms in self.in_flight.values():
            since = max(started_at, self.heard_at)
            if now - since > SILENCE_FACTOR * usual_ms * self.get_slowness(now):
                return True
        return False

    def get_slowness(self, now: Millis) -> float:
        if self._slowness == 1.0:
            return 1.0
        faded = 0.5 ** ((now - self._slowness_at) / SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self._slowness - 1.0) * faded

    def get_failing(self, now: Millis) -> float:
        """Returns the part of its calls that failed lately."""
        if self._failing < NEGLIGIBLE_FAILING:
            return 0.0
        faded = 0.5 ** ((now - self._failing_at) / FAILURE_HALF_LIFE_MS)
        return self._failing * faded

    def get_queue(self, now: Millis) -> float:
        """Returns the calls it holds, own and reported, by its slots."""
        calls = float(len(self.in_flight))
        slots = self.entry.slots
        if self._load is not None and now - self._load_at < REPORT_LIFETIME_MS:
            reported = self._load.running + self._load.waiting - 1
            calls += max(0, reported - self._own_in_report)
            slots = self._load.slots
        return calls / slots

    def hear_slow_call(self, sample: SlowSample) -> None:
        """Learns from a call of another instance."""
        self._learn_ratio(sample.started_at, sample.ended_at, sample.ratio)

    def _learn(self, started_at: Millis, usual_ms: float, now: Millis) -> None:
        ratio = (now - started_at) / usual_ms
        if ratio >= SLOW_RATIO:
            self.last_slow_call = SlowSample(
                started_at=started_at, ended_at=now, ratio=ratio
            )
        self._learn_ratio(started_at, now, ratio)

    def _learn_ratio(self, started_at: Millis, ended_at: Millis, ratio: float) -> None:
        ratio = min(MAX_SLOWNESS_SAMPLE, ratio)
        current = self.get_slowness(ended_at)
        if ratio >= SLOW_RATIO:
            if started_at <= self._slow_call_ended_at:
                # The same pause held up several calls; they are one sample.
                return
            self._slow_call_ended_at = ended_at
        self._ratios.append((ended_at, ratio))
        recent = [r for at, r in self._ratios if ended_at - at <= SLOWNESS_WINDOW_MS]
        padding = [min(current, ratio)] * (SLOWNESS_SAMPLES - len(recent))
        self._slowness = max(1.0, statistics.median(recent + padding))
        self._slowness_at = ended_at

    def _note_success(self, now: Millis) -> None:
        self._zone_reach.note_heard(now)
        self.heard_at = now
        self._failures_in_row = 0
        self._resets_in_row = 0
        self._avoided_until = now
        self._failing = self.get_failing(now) * (1 - SAMPLE_WEIGHT)
        self._failing_at = now

    def _note_failure(self, end: CallEnd, now: Millis) -> None:
        current = self.get_failing(now)
        self._failing = current + SAMPLE_WEIGHT * (1 - current)
        self._failing_at = now
        if end is CallEnd.FAILED or end is CallEnd.SHED:
            # It answers, so that its process and the path to it are sound.
            self._zone_reach.note_heard(now)
            self.heard_at = now
            self._failures_in_row = 0
            return
        if end is CallEnd.LOST:
            # Its host answered with a reset, as it does for forgotten connections.
            self._count_failure(now)
        elif end is not CallEnd.REFUSED_CONNECTION:
            # Failed connections are counted as they fail.
            self.note_unconnected(now)

    def note_unconnected(self, now: Millis) -> None:
        """Records a connection that failed, or a call that got no answer."""
        self._zone_reach.note_lost(self.entry.upstream)
        self._count_failure(now)

    def _count_failure(self, now: Millis) -> None:
        self._failures_in_row += 1
        avoidance = FIRST_AVOIDANCE_MS * 2 ** (self._failures_in_row - 1)
        self._avoided_until = Millis(now + min(MAX_AVOIDANCE_MS, avoidance))
