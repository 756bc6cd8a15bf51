"""Decides when a scatter-gather request ends and which of its parts are hedged."""

from __future__ import annotations

import enum
from collections.abc import Sequence

from skylarkcart.clock import Millis
from skylarkcart.scatter._part import Part
from skylarkcart.types import ServiceId, UpstreamId

# Delay before an upstream that refused a request is called again with it. After the
# first calls it doubles with each further one.
REFUSED_RETRY_DELAY_MS = 10.0
QUICK_REFUSED_RETRIES = 2
MAX_REFUSED_RETRY_DOUBLINGS = 6


class GatherDecision(enum.Enum):
    """The next step of a scatter-gather request."""

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


class GatherExecution:
    """One scatter-gather request from its first call to its answer.

    It waits for all parts until ``soft_deadline``, the latest time at which an answer
    still reaches the caller in time. After that, it is answered without the missing
    parts as soon as the coverage suffices.

    Args:
        shards: the services of one configuration version.
        min_coverage: fraction of the shards below which the request fails.
        max_calls: maximum number of upstreams of a shard that may run the request.
        soft_deadline: time from which an answer with missing parts is preferred.
        hard_deadline: time at which the caller or the route's timeout ends the request.
    """

    def __init__(
        self,
        *,
        shards: Sequence[ServiceId],
        min_coverage: float,
        max_calls: int,
        soft_deadline: Millis,
        hard_deadline: Millis,
    ) -> None:
        self.parts = {shard: Part(shard=shard) for shard in shards}
        self.soft_deadline = soft_deadline
        self.hard_deadline = hard_deadline
        self.answered_count = 0
        self._failed_count = 0
        self._min_coverage = min_coverage
        self._max_calls = max_calls

    @property
    def answered_parts(self) -> list[Part]:
        """The answered parts, in the order of the configuration."""
        return [part for part in self.parts.values() if part.is_answered]

    @property
    def missing_count(self) -> int:
        return len(self.parts) - self.answered_count

    def record_response(
        self, part: Part, upstream: UpstreamId, *, signature: bytes, body: bytes
    ) -> None:
        """Records the first answer of a part and ignores later ones."""
        if part.is_settled:
            return
        part.end_answered(upstream, signature=signature, body=body)
        self.answered_count += 1

    def record_failure(self, part: Part) -> None:
        """Records that a part will get no answer."""
        if not part.is_settled:
            part.has_failed = True
            self._failed_count += 1

    def may_call(self, part: Part) -> bool:
        """Whether the part may be requested from another upstream."""
        return not part.is_settled and part.possible_runs < self._max_calls

    def schedule_retry(self, part: Part, now: Millis) -> None:
        """Plans another call to an upstream of the part that refused the request."""
        part.refused_retries += 1
        doublings = min(
            MAX_REFUSED_RETRY_DOUBLINGS,
            max(0, part.refused_retries - QUICK_REFUSED_RETRIES),
        )
        part.retry_at = Millis(now + REFUSED_RETRY_DELAY_MS * 2**doublings)

    def list_due_retries(self, now: Millis) -> list[Part]:
        """Returns the parts whose planned calls are due."""
        return [
            part
            for part in self.parts.values()
            if part.retry_at is not None
            and part.retry_at <= now
            and not part.is_settled
        ]

    def get_next_retry_at(self) -> Millis | None:
        """Returns the time of the next planned call, or None."""
        planned = [
            part.retry_at
            for part in self.parts.values()
            if part.retry_at is not None and not part.is_settled
        ]
        return min(planned) if planned else None

    def reaches_min_coverage(self, parts: int) -> bool:
        """Whether this number of parts reaches the minimum coverage."""
        return parts > 0 and parts / len(self.parts) >= self._min_coverage

    def list_hedges(self, now: Millis, *, delay_ms: float) -> list[Part]:
        """Returns the parts whose only call has waited for at least ``delay_ms``.

        The parts that have waited longest come first.
        """
        overdue = [
            part
            for part in self.parts.values()
            if self.may_call(part)
            and len(part.pending_calls) == 1
            and now - part.get_last_call_at() >= delay_ms
        ]
        return sorted(overdue, key=Part.get_last_call_at)

    def get_next_hedge_at(self, *, delay_ms: float) -> Millis | None:
        """Returns the time at which the next hedge is due, or None."""
        sent_times = [
            part.get_last_call_at()
            for part in self.parts.values()
            if len(part.pending_calls) == 1 and self.may_call(part)
        ]
        return Millis(min(sent_times) + delay_ms) if sent_times else None

    def decide(self, now: Millis) -> GatherDecision:
        answered = self.answered_count
        pending = len(self.parts) - answered - self._failed_count
        if pending == 0 or not self.reaches_min_coverage(answered + pending):
            return self._decide_without_waiting(answered)
        if now >= self.hard_deadline:
            return self._decide_without_waiting(answered)
        if now >= self.soft_deadline and self.reaches_min_coverage(answered):
            return GatherDecision.ANSWER
        return GatherDecision.WAIT

    def _decide_without_waiting(self, answered: int) -> GatherDecision:
        return (
            GatherDecision.ANSWER
            if self.reaches_min_coverage(answered)
            else GatherDecision.FAIL
        )
