"""Decides when a scatter-gather request is answered and which shards are hedged."""

from __future__ import annotations

import enum
from collections.abc import Sequence

from skylarkcart.clock import Millis
from skylarkcart.scatter._part import Part
from skylarkcart.types import ServiceId, UpstreamId


class GatherVerdict(enum.Enum):
    """What to do with the request now."""

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


class GatherExecution:
    """One scatter-gather request from its first call to its answer.

    A part is worth waiting for until ``answer_by``, the last moment at which an answer
    still reaches its caller in time. Then the answer goes out without the parts that
    are missing, if enough are there; else as soon as enough are there.

    Args:
        shards: the services of one configuration version.
        min_coverage: share of the shards below which there is no answer.
        max_calls: upstreams of one shard that may run the request.
        answer_by: when an answer with missing parts is better than a late one.
        give_up_at: when the caller or the operator no longer waits.
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
        """The parts that are there, in the order of the configuration."""
        return [part for part in self.parts.values() if part.is_answered]

    @property
    def missing(self) -> int:
        return len(self.parts) - self.answered_count

    def note_answer(
        self, part: Part, upstream: UpstreamId, *, signature: bytes, body: bytes
    ) -> None:
        """Records the first answer of a part; later ones are ignored."""
        if part.is_settled:
            return
        part.end_answered(upstream, signature=signature, body=body)
        self.answered_count += 1

    def note_lost(self, part: Part) -> None:
        """Records that no upstream will answer for a part."""
        if not part.is_settled:
            part.is_lost = True
            self._lost_count += 1

    def may_call(self, part: Part) -> bool:
        """Whether another upstream may run this part's request."""
        return not part.is_settled and part.runs < self._max_calls

    def is_enough(self, parts: int) -> bool:
        """Whether an answer with so many parts is a success."""
        return parts > 0 and parts / len(self.parts) >= self._min_coverage

    def list_hedges(self, now: Millis, *, after_ms: float) -> list[Part]:
        """Returns the parts whose only call has waited longer than ``after_ms``.

        Those that wait longest come first.
        """
        late = [
            part
            for part in self.parts.values()
            if self.may_call(part)
            and len(part.waiting) == 1
            and now - part.get_last_call() >= after_ms
        ]
        return sorted(late, key=Part.get_last_call)

    def get_next_hedge(self, *, after_ms: float) -> Millis | None:
        """Returns when the next part has waited for ``after_ms``, or None."""
        sent_at = [
            part.get_last_call()
            for part in self.parts.values()
            if len(part.waiting) == 1 and self.may_call(part)
        ]
        return Millis(min(sent_at) + after_ms) if sent_at else None

    def decide(self, now: Millis) -> GatherVerdict:
        answered = self.answered_count
        unsettled = len(self.parts) - answered - self._lost_count
        if unsettled == 0 or not self.is_enough(answered + unsettled):
            return self._finish(answered)
        if now >= self.give_up_at:
            return self._finish(answered)
        if now >= self.answer_by and self.is_enough(answered):
            return GatherVerdict.ANSWER
        return GatherVerdict.WAIT

    def _finish(self, answered: int) -> GatherVerdict:
        return GatherVerdict.ANSWER if self.is_enough(answered) else GatherVerdict.FAIL
