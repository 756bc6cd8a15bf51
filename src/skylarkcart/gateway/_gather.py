"""Runs a scatter-gather request."""

from __future__ import annotations

from skylarkcart.budgets import ExtraCallKind
from skylarkcart.clock import Millis
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._ending import (
    MILLISECONDS_PER_SECOND,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Ending,
    Outcome,
)
from skylarkcart.gateway._exchange import USUAL_QUANTILE, UpstreamExchange
from skylarkcart.gateway._pool import Call, CallResult
from skylarkcart.gateway._timing import RequestTimes
from skylarkcart.platform._messages import encode_call, encode_gathered
from skylarkcart.published import Route
from skylarkcart.replicas import CallEnd, Replica
from skylarkcart.scatter import GatherExecution, GatherVerdict, Part, merge_records
from skylarkcart.types import AccountId, ServiceId, UpstreamId
from skylarkcart.verdict import RunVerdict

# A part that waits longer than a quantile of the route's calls gets a second call: the
# first one while the budget of extra calls is unused, the second one when it is spent.
EARLY_HEDGE_QUANTILE = 0.85
LATE_HEDGE_QUANTILE = 0.95

MIN_HEDGE_AFTER_MS = 3.0

# A hedge without budget or replica is considered again after this time.
HEDGE_RETRY_MS = 8.0


class GatherExchange(UpstreamExchange):
    """Calls one upstream of each shard and answers with the merged parts."""

    def __init__(
        self,
        *,
        core: Core,
        ending: Ending,
        route: Route,
        account: AccountId | None,
        times: RequestTimes,
    ) -> None:
        super().__init__(
            core=core, ending=ending, route=route, account=account, times=times
        )
        self._execution = GatherExecution(
            shards=route.gathering.shards,
            min_coverage=route.gathering.min_coverage,
            max_calls=route.max_attempts,
            answer_by=times.answer_by,
            give_up_at=times.give_up_at,
        )
        self._calls: dict[Call, Part] = {}
        self._hedges = 0
        self._retries = 0
        self._without_budget: set[ServiceId] = set()
        self._has_started = False

    def start(self) -> None:
        if not self._core.may_serve(self._route, self._core.now):
            self._ending.refuse(
                STATUS_UNAVAILABLE,
                "too_few_shards",
                verdict=RunVerdict.NOT_RUN,
                retry_after_ms=self._core.get_retry_after_ms(self._core.now),
                shards=len(self._execution.parts),
            )
            return
        now = self._core.now
        for part in self._execution.parts.values():
            self._core.get_extra_calls(part.shard).note_request(now)
            if not self._call(part):
                self._execution.note_lost(part)
        self._has_started = True
        if not self._advance():
            self._schedule(now)

    def abandon(self) -> None:
        """Ends the calls, as the caller has gone."""
        self._stop()
        self._ending.abandon(answered=self._execution.answered_count)

    def _choose_replica(self, part: Part) -> Replica | None:
        return self._core.choose_replica(
            part.shard,
            usual_ms=self._latency.get_quantile(USUAL_QUANTILE),
            tried=part.tried,
        )

    def _call(self, part: Part) -> bool:
        """Calls the best upstream of a part, or returns False if there is none."""
        replica = self._choose_replica(part)
        if replica is None:
            return False
        self._send(part, replica)
        return True

    def _send(self, part: Part, replica: Replica) -> None:
        now = self._core.now
        upstream = replica.entry.upstream
        data = encode_call(
            self._ending.request,
            upstream=upstream,
            time_left_ms=self._times.give_up_at - now,
            account=self._account,
        )
        part.begin_call(upstream, now)
        call = self._core.pool.call(
            replica,
            data,
            request_id=self._ending.request.request_id,
            is_repeatable=True,
            usual_ms=self._latency.get_quantile(USUAL_QUANTILE),
            on_end=self._handle_end,
        )
        self._calls[call] = part

    def _handle_end(self, call: Call, result: CallResult) -> None:
        part = self._calls.pop(call)
        core = self._core
        core.metrics.count_call(result.end)
        if result.end is CallEnd.ANSWERED:
            elapsed_ms = core.now - call.started_at
            self._latency.add(elapsed_ms)
            core.metrics.part_latency.observe(elapsed_ms / MILLISECONDS_PER_SECOND)
            self._execution.note_answer(
                part,
                call.upstream,
                signature=result.answer.signature,
                body=result.answer.body,
            )
        else:
            self._handle_failure(part, call.upstream, result)
        if self._has_started:
            self._advance()

    def _handle_failure(
        self, part: Part, upstream: UpstreamId, result: CallResult
    ) -> None:
        if result.end is CallEnd.MISDIRECTED:
            self._core.forget_upstream(upstream)
        if result.verdict is RunVerdict.NOT_RUN:
            part.end_unrun(upstream)
        else:
            part.end_failed(upstream)
        self._core.log.write(
            "part_failed",
            request=self._ending.request.request_id.decode("latin-1"),
            shard=part.shard,
            upstream=upstream,
            end=result.end.value,
            verdict=result.verdict.value,
            status=None if result.answer is None else result.answer.status,
        )
        if part.is_answered or part.waiting:
            return
        if self._execution.may_call(part) and (
            not result.end.reached_upstream
            or self._core.try_extra_call(part.shard, ExtraCallKind.RETRY)
        ):
            if self._call(part):
                self._retries += 1
                return
        self._execution.note_lost(part)

    def _advance(self) -> bool:
        """Ends the request if it is time; tells whether it has ended."""
        if self._ending.is_done:
            return True
        now = self._core.now
        match self._execution.decide(now):
            case GatherVerdict.ANSWER:
                self._answer()
            case GatherVerdict.FAIL:
                self._fail(now)
            case GatherVerdict.WAIT:
                return False
        return True

    def _handle_timer(self) -> None:
        self._core.answer_delays.note_timer(self._core.now - self._due)
        if not self._advance():
            now = self._core.now
            self._hedge(now)
            self._schedule(now)

    def _hedge(self, now: Millis) -> None:
        after_ms = self._get_hedge_after()
        usual_ms = self._latency.get_quantile(USUAL_QUANTILE)
        if now + usual_ms > self._execution.answer_by and self._execution.is_enough(
            self._execution.answered_count
        ):
            return
        unsent = {part: call for call, part in self._calls.items() if not call.is_sent}
        for part in self._execution.list_hedges(now, after_ms=after_ms):
            replica = self._choose_replica(part)
            if replica is None or replica.is_avoided(now):
                continue
            if part in unsent:
                self._move(part, unsent[part], replica)
            elif self._core.try_extra_call(part.shard, ExtraCallKind.HEDGE):
                self._send(part, replica)
                self._hedges += 1
            else:
                self._without_budget.add(part.shard)

    def _move(self, part: Part, call: Call, replica: Replica) -> None:
        """Calls another upstream instead of one that is still to be connected."""
        del self._calls[call]
        self._core.pool.abandon(call)
        part.end_unrun(call.upstream)
        self._send(part, replica)
        self._retries += 1

    def _get_hedge_after(self) -> float:
        free = self._core.get_free_extra_part(self._route.gathering.shards[0])
        quantile = LATE_HEDGE_QUANTILE + free * (
            EARLY_HEDGE_QUANTILE - LATE_HEDGE_QUANTILE
        )
        return max(MIN_HEDGE_AFTER_MS, self._latency.get_quantile(quantile))

    def _schedule(self, now: Millis) -> None:
        due = self._execution.give_up_at
        if now < self._execution.answer_by:
            due = min(due, self._execution.answer_by)
        hedge_at = self._execution.get_next_hedge(after_ms=self._get_hedge_after())
        if hedge_at is not None:
            due = min(due, max(hedge_at, now + HEDGE_RETRY_MS))
        self._start_timer(due, now)

    def _answer(self) -> None:
        core = self._core
        began_at = core.now
        self._stop()
        parts = self._execution.answered
        missing = self._execution.missing
        body = merge_records(
            (part.body for part in parts), top=self._route.gathering.top_records
        )
        data = encode_gathered(
            self._ending.request,
            signatures=[part.signature for part in parts],
            missing=missing,
            body=body,
            closes=self._ending.closes,
        )
        if missing:
            core.metrics.missing_parts.inc(missing)
        core.answer_delays.note_answer(took_ms=core.now - began_at, size=len(data))
        self._ending.answer(
            data,
            Outcome.PARTIAL if missing else Outcome.SUCCESS,
            parts=len(parts),
            missing=self._describe_missing(),
            **self._describe_work(),
        )

    def _fail(self, now: Millis) -> None:
        self._stop()
        is_late = now >= self._execution.give_up_at
        self._ending.refuse(
            STATUS_GATEWAY_TIMEOUT if is_late else STATUS_BAD_GATEWAY,
            "too_few_parts_in_time" if is_late else "too_few_parts",
            verdict=RunVerdict.MAY_HAVE_RUN,
            parts=self._execution.answered_count,
            missing=self._describe_missing(),
            **self._describe_work(),
        )

    def _describe_work(self) -> dict[str, float]:
        """Returns what a line of the log says of the request's time and calls."""
        return {
            "due_ms": round(self._times.answer_by - self._ending.arrived_at, 1),
            "hedges": self._hedges,
            "retries": self._retries,
            "shards_without_budget": len(self._without_budget),
        }

    def _describe_missing(self) -> list[str]:
        return [
            f"{part.shard}: {'lost' if part.is_lost else 'late'} at "
            + ", ".join(part.tried)
            for part in self._execution.parts.values()
            if not part.is_answered
        ]

    def _stop(self) -> None:
        self._end_calls(self._calls)
        self._calls.clear()
