"""How a request ends: its answer, its log line and its counters."""

from __future__ import annotations

import enum

from skylarkcart.clock import Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.gateway._caller_connection import CallerConnection
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._event_log import MAX_DETAIL_LINES_PER_SECOND, Level
from skylarkcart.platform._messages import encode_refusal
from skylarkcart.verdict import RunVerdict

MILLISECONDS_PER_SECOND = 1000.0
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


class Outcome(enum.Enum):
    """What a caller got."""

    SUCCESS = "success"
    PARTIAL = "partial"
    FAILURE_PASSED_ON = "failure_passed_on"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"


class Ending:
    """Answers one request exactly once."""

    def __init__(
        self,
        *,
        core: Core,
        connection: CallerConnection,
        request: CallerRequest,
        arrived_at: Millis,
    ) -> None:
        self._core = core
        self._connection = connection
        self.request = request
        self.arrived_at = arrived_at
        self.route_name = ""
        self.kind = ""
        self.is_done = False

    @property
    def closes(self) -> bool:
        return self._core.closes_connections

    def answer(self, data: bytes, outcome: Outcome, **facts: object) -> None:
        """Sends an answer that carries an upstream's result."""
        self._finish(data, outcome, facts)

    def refuse(
        self,
        status: int,
        reason: str,
        *,
        verdict: RunVerdict,
        retry_after_ms: float | None = None,
        **facts: object,
    ) -> None:
        """Sends a refusal or failure of the gateway's own."""
        data = encode_refusal(
            status,
            reason=reason,
            request_id=self.request.request_id,
            retry_after_ms=retry_after_ms,
            closes=self.closes,
        )
        outcome = Outcome.FAILED
        if verdict is RunVerdict.NOT_RUN:
            outcome = Outcome.REFUSED
        elif status == STATUS_GATEWAY_TIMEOUT:
            outcome = Outcome.TIMED_OUT
        facts |= {
            "status": status,
            "reason": reason,
            "verdict": verdict.value,
            "retry_after_ms": retry_after_ms,
        }
        self._finish(data, outcome, facts)

    def abandon(self, **facts: object) -> None:
        """Records that the caller has gone."""
        if not self.is_done:
            self.is_done = True
            self._record(Outcome.ABANDONED, facts)

    def _finish(self, data: bytes, outcome: Outcome, facts: dict[str, object]) -> None:
        if self.is_done:
            return
        self.is_done = True
        self._record(outcome, facts)
        self._connection.respond(data, closes=self.closes)

    def _record(self, outcome: Outcome, facts: dict[str, object]) -> None:
        core = self._core
        elapsed_ms = core.now - self.arrived_at
        core.lifecycle.end_request()
        core.metrics.requests.labels(self.route_name, outcome.value).inc()
        core.metrics.latency.labels(self.kind).observe(
            elapsed_ms / MILLISECONDS_PER_SECOND
        )
        is_plain = outcome is Outcome.SUCCESS
        core.log.write(
            f"request_{outcome.value}",
            level=Level.INFO if is_plain else Level.WARNING,
            limit=MAX_DETAIL_LINES_PER_SECOND,
            request=self.request.request_id.decode("latin-1"),
            route=self.route_name,
            elapsed_ms=round(elapsed_ms, 1),
            time_left_ms=self.request.time_left_ms,
            state_revision=core.registry.revision,
            state_age_ms=round(min(1e9, core.registry.get_age_ms(core.now))),
            **facts,
        )
