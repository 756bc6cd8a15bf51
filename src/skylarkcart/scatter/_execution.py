"""Decides when a scatter-gather request ends and which of its parts are hedged."""

from __future__ import annotations

import enum
from collections.abc import Sequence

from skylarkcart.clock import Millis
from skylarkcart.scatter._part import Part
from skylarkcart.types import ServiceId, UpstreamId


class GatherVerdict(enum.Enum):
    """The next step of a scatter-gather request."""

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


class GatherExecution:
    """One scatter-gather request from its first call to its answer.

    It waits for all parts until ``answer_by``, the latest time at which an answer still
    reaches the caller in time. After that, it is answered without the missing parts as
    soon as the coverage suffices.

    Args:
        shards: the services of one configuration version.
        min_coverage: fraction of the shards below which the request fails.
        max_calls: maximum number of upstreams of a shard that may run the request.
        answer_by: time from which an answer with missing parts is preferred.
        give_up_at: time at which the caller or the route's timeout ends the request.
    """

    def __init__(
        self,
        *,
        shards: Sequence[ServiceId],
        min_coverage: float,
        max_calls: int,
        answer_by: Millis,
        give_up_at: Millis,
    ) -> None:
        self.parts = {shard: Part(shard=shard) for shard in shards}
        self.answer_by = answer_by
        self.give_up_at = give_up_at
        self.answered_count = 0
        self._lost_count = 0
        self._min_coverage = min_coverage
        self._max_calls = max_calls

    @property
    def answered(self) -> list[Part]:
        """The answered parts, in the order of the configuration."""
        return [part for part in self.parts.values() if part.is_answered]

    @property
    def missing(self) -> int:
        return len(self.parts) - self.answered_count

    def note_answer(
        self, part: Part, upstream: UpstreamId, *, signature: bytes, body: bytes
    ) -> None:
        """Records the first answer of a part and ignores later ones."""
        if part.is_settled:
            return
        part.end_answered(upstream, signature=signature, body=body)
        self.answered_count += 1

    def note_lost(self, part: Part) -> None:
        """Records that a part will get no answer."""
        if not part.is_settled:
            part.is_lost = True
            self._lost_count += 1

    def may_call(self, part: Part) -> bool:
        """Whether the part may be requested from another upstream."""
        return not part.is_settled and part.possible_runs < self._max_calls

    def is_enough(self, parts: int) -> bool:
        """Whether this number of parts reaches the minimum coverage."""
        return parts > 0 and parts / len(self.parts) >= self._min_coverage

    def list_hedges(self, now: Millis, *, after_ms: float) -> list[Part]:
        """Returns the parts whose only call has waited for at least ``after_ms``.

        The parts that have waited longest come first.
        """
        overdue = [
            part
            for part in self.parts.values()
            if self.may_call(part)
            and len(part.waiting) == 1
            and now - part.get_last_call_at() >= after_ms
        ]
        return sorted(overdue, key=Part.get_last_call_at)

    def get_next_hedge(self, *, after_ms: float) -> Millis | None:
        """Returns the time at which the next hedge is due, or None."""
        sent_times = [
            part.get_last_call_at()
            for part in self.parts.values()
            if len(part.waiting) == 1 and self.may_call(part)
        ]
        return Millis(min(sent_times) + after_ms) if sent_times else None

    def decide(self, now: Millis) -> GatherVerdict:
        answered = self.answered_count
        pending = len(self.parts) - answered - self._lost_count
        if pending == 0 or not self.is_enough(answered + pending):
            return self._decide_without_waiting(answered)
        if now >= self.give_up_at:
            return self._decide_without_waiting(answered)
        if now >= self.answer_by and self.is_enough(answered):
            return GatherVerdict.ANSWER
        return GatherVerdict.WAIT

    def _decide_without_waiting(self, answered: int) -> GatherVerdict:
        return GatherVerdict.ANSWER if self.is_enough(answered) else GatherVerdict.FAIL
