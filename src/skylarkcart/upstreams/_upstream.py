"""The state of one upstream as observed by this instance."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.declarations import ListedProcess, ServiceRow
from skylarkcart.types import ListState, ProcessId
from skylarkcart.upstreams._concurrency import ConcurrencyLimit
from skylarkcart.upstreams._connections import ConnectionCount
from skylarkcart.upstreams._latency import (
    STEP_OVER_SERVICE_FACTOR,
    LatencyTracker,
    ServiceLatency,
)
from skylarkcart.upstreams._messages import CallOutcome, OutcomeKind
from skylarkcart.upstreams._ramp import ColdCause, Ramp, Temperature

FIRST_BLOCK_MS = 50.0
MAX_BLOCK_MS = 2_000.0

# Concurrent calls to an upstream whose service has no published row yet.
DEFAULT_SLOTS = 1


class Upstream:
    """Health, temperature, load and connections of one listed upstream."""

    def __init__(self, *, listed: ListedProcess, service_latency: ServiceLatency):
        self.id = listed.upstream
        self.service = listed.service
        self.in_flight = 0
        self.connection_share = DEFAULT_SLOTS
        self.process = ProcessId("")
        self.last_success_at: Millis | None = None
        self.blocked_until: Millis | None = None
        self.reported_load: float | None = None
        self.ramp = Ramp(cold_slots=DEFAULT_SLOTS, slots=DEFAULT_SLOTS)
        self.limit = ConcurrencyLimit(initial=DEFAULT_SLOTS)
        self.is_adaptive = True
        self.connections = ConnectionCount()
        self.latency = LatencyTracker()
        self.service_latency = service_latency
        self._service_row: ServiceRow | None = None
        self._retired_processes: set[ProcessId] = set()
        self._process_since = Millis(0)
        self._warm_evidence_at = Millis(0)
        self._next_block_ms = FIRST_BLOCK_MS
        self._apply_listed(listed)

    def observe_listed(self, listed: ListedProcess, now: Millis) -> None:
        """Applies the listed entry; a new incarnation is a new, cold process."""
        if listed.incarnation != self.incarnation:
            self._apply_listed(listed)
            self._adopt_process(ProcessId(""), now)
            self.turn_cold(ColdCause.NEW, now)
            return
        is_leaving = self.is_leaving
        self._apply_listed(listed)
        # The upstream itself reported that it is leaving; the list may lag behind.
        self.is_leaving = is_leaving or self.is_leaving

    def configure(self, row: ServiceRow, connection_share: int) -> None:
        if row != self._service_row:
            self.ramp.resize(cold_slots=row.cold_slots, slots=row.slots)
            self._service_row = row
        self.connection_share = connection_share

    @property
    def temperature(self) -> Temperature:
        return self.ramp.temperature

    @property
    def max_connections(self) -> int:
        """The connection share; a sole sender may use all slots."""
        if self._service_row is not None and self.ramp.needs_right:
            return min(self._service_row.slots, self._service_row.connections)
        return self.connection_share

    @property
    def connection_limit(self) -> int:
        """The greater of the share and the slots, constant during a ramp."""
        if self._service_row is None:
            return max(1, self.connection_share)
        return max(
            1,
            self.connection_share,
            min(self._service_row.slots, self._service_row.connections),
        )

    @property
    def max_calls(self) -> int:
        """The number of calls that this instance may currently have in flight."""
        if self.temperature is not Temperature.WARM:
            return min(self.ramp.allowance, self.max_connections)
        if not self.is_adaptive:
            return self.connection_share
        return min(self.connection_share, int(self.limit.value))

    @property
    def expected_latency_ms(self) -> float:
        """The recent latency, or else that of the service, to compare candidates."""
        return self.latency.recent_ms or self.service_latency.recent_ms or 1.0

    @property
    def score(self) -> float:
        return (self.in_flight + 1) * self.expected_latency_ms

    def end_call(self, outcome: CallOutcome, now: Millis) -> bool:
        """Applies a call's outcome; returns whether to send a cold notice."""
        self.in_flight -= 1
        started_at = now - outcome.latency_ms
        if (
            outcome.process in self._retired_processes
            and started_at < self._process_since
        ):
            return False
        is_new = self.observe_process(outcome.process, now)
        if outcome.kind is OutcomeKind.SUCCESS:
            self._record_success(outcome.latency_ms, now)
        elif outcome.kind is OutcomeKind.CANCELLED:
            self._record_cancelled(outcome.latency_ms)
        elif outcome.kind is OutcomeKind.COLD:
            self.turn_cold(ColdCause.REFUSED, now)
        elif outcome.kind is OutcomeKind.DRAINING:
            self.is_leaving = True
        elif outcome.kind is OutcomeKind.SHED:
            self.limit.decrease(now=now)
        elif outcome.kind is OutcomeKind.FAILED:
            self.limit.decrease(now=now)
            self.block(now)
        elif outcome.kind is OutcomeKind.UNREACHABLE:
            self.turn_cold(ColdCause.CONNECTIONS_CLOSED, now)
            self.block(now)
        return is_new or outcome.kind is OutcomeKind.COLD

    def observe_process(self, process: ProcessId, now: Millis) -> bool:
        """Returns whether the process is new and the upstream has thus turned cold."""
        if not process or process == self.process:
            return False
        is_first = not self.process
        self._adopt_process(process, now)
        if is_first:
            return False
        self.turn_cold(ColdCause.PROCESS_CHANGED, now)
        return True

    def apply_warm_declaration(
        self, process: ProcessId, evidence_at: Millis, now: Millis
    ) -> None:
        """Applies another instance's declaration that a process is warm."""
        if process in self._retired_processes:
            return
        if not self.ramp.join(evidence_at):
            return
        self._warm_evidence_at = evidence_at
        if process != self.process:
            self._adopt_process(process, now)

    def apply_cold_notice(
        self,
        process: ProcessId,
        cold_at: Millis,
        now: Millis,
        *,
        is_certain: bool = True,
    ) -> None:
        """Applies another instance's notice of a cold process unless it is outdated."""
        if process in self._retired_processes or self.temperature is Temperature.COLD:
            return
        if not is_certain and self.connections.open > 0:
            return
        if process == self.process and self._warm_evidence_at >= cold_at:
            return
        if not self.observe_process(process, now):
            self.turn_cold(ColdCause.REFUSED, now)

    def turn_cold(self, cause: ColdCause, now: Millis) -> None:
        self.ramp.turn_cold(cause, now)
        self.latency.clear_recent()

    def block(self, now: Millis) -> None:
        """Blocks new calls after a failure, with exponential backoff."""
        if self.blocked_until is not None:
            return
        self.blocked_until = Millis(now + self._next_block_ms)
        self._next_block_ms = min(MAX_BLOCK_MS, 2 * self._next_block_ms)

    def unblock_if_due(self, now: Millis) -> None:
        if self.blocked_until is not None and now >= self.blocked_until:
            self.blocked_until = None

    def _adopt_process(self, process: ProcessId, now: Millis) -> None:
        """Sets the process; late answers of the previous one are ignored."""
        if self.process:
            self._retired_processes.add(self.process)
        self._retired_processes.discard(process)
        self.process = process
        self._process_since = now

    def _apply_listed(self, listed: ListedProcess) -> None:
        self.zone = listed.zone
        self.address = listed.address
        self.incarnation = listed.incarnation
        self.is_leaving = listed.state is ListState.LEAVING

    def _record_success(self, latency_ms: float, now: Millis) -> None:
        self.last_success_at = now
        if self.temperature is Temperature.WARM:
            self._warm_evidence_at = Millis(now - latency_ms)
        self._next_block_ms = FIRST_BLOCK_MS
        if self.temperature is Temperature.WARM:
            self._record_warm_success(latency_ms, now)
            return
        self.latency.record(latency_ms, updates_baseline=False)
        self.ramp.record_success(
            latency_ms,
            baseline_ms=self.latency.baseline_ms or self.service_latency.baseline_ms,
            started_at=Millis(now - latency_ms),
            now=now,
        )
        if self.temperature is Temperature.WARM:
            self._enter_warm(latency_ms)

    def _record_warm_success(self, latency_ms: float, now: Millis) -> None:
        self.latency.record(latency_ms, updates_baseline=True)
        if not self.latency.has_stepped:
            self.service_latency.record(latency_ms)
            self.limit.increase(in_flight=self.in_flight, ceiling=self.connection_share)
            return
        self.limit.decrease(now=now)
        service_ms = self.service_latency.recent_ms
        recent_ms = self.latency.recent_ms or 0.0
        if service_ms is not None and recent_ms > STEP_OVER_SERVICE_FACTOR * service_ms:
            self.turn_cold(ColdCause.LATENCY_STEP, now)
        else:
            self.service_latency.record(latency_ms)

    def _record_cancelled(self, elapsed_ms: float) -> None:
        """Counts the elapsed time, a lower bound of the latency, of a slow call."""
        if elapsed_ms > self.expected_latency_ms:
            self.latency.record(elapsed_ms, updates_baseline=False)

    def _enter_warm(self, latency_ms: float) -> None:
        self.limit = ConcurrencyLimit(
            initial=min(self.connection_share, self.ramp.allowance)
        )
        baseline_ms = self.latency.baseline_ms
        if baseline_ms is not None and latency_ms > 2 * baseline_ms:
            self.latency.reset_baseline()
