"""Execution of scatter-gather requests."""

from __future__ import annotations

from skylarkcart.budgets import ExtraCallClaim, ExtraCallKind
from skylarkcart.clock import Millis
from skylarkcart.gateway._completion import (
    MILLISECONDS_PER_SECOND,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Outcome,
    RequestCompletion,
)
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._exchange import MEDIAN_QUANTILE, UpstreamExchange
from skylarkcart.gateway._pool import Call, CallResult
from skylarkcart.gateway._timing import RequestDeadlines
from skylarkcart.platform._messages import (
    encode_merged_response,
    encode_upstream_head,
)
from skylarkcart.published import Route
from skylarkcart.replicas import CallEnd, Replica
from skylarkcart.scatter import GatherDecision, GatherExecution, Part, merge_records
from skylarkcart.types import AccountId, ServiceId, UpstreamId
from skylarkcart.verdict import RunVerdict

# A shard's call is hedged once it takes longer than a latency quantile of the route.
# The quantile moves from the early to the late one as the extra-call budget is spent.
EARLY_HEDGE_QUANTILE = 0.85
LATE_HEDGE_QUANTILE = 0.95

MIN_HEDGE_DELAY_MS = 3.0

# Minimum time between hedging attempts, as budget or replicas may be unavailable.
HEDGE_RETRY_INTERVAL_MS = 8.0


class GatherExchange(UpstreamExchange):
    """Calls one upstream of each shard and responds with the merged parts."""

    def __init__(
        self,
        *,
        core: Core,
        completion: RequestCompletion,
        route: Route,
        account: AccountId | None,
        deadlines: RequestDeadlines,
    ) -> None:
        super().__init__(
            core=core,
            completion=completion,
            route=route,
            account=account,
            deadlines=deadlines,
        )
        self._execution = GatherExecution(
            shards=route.gathering.shards,
            min_coverage=route.gathering.min_coverage,
            max_calls=route.max_attempts,
            soft_deadline=deadlines.soft_deadline,
            hard_deadline=deadlines.hard_deadline,
        )
        self._calls: dict[Call, Part] = {}
        self._hedges = 0
        self._retries = 0
        self._shards_without_budget: set[ServiceId] = set()
        self._has_started = False
        # Shards without room, which are not called.
        self.left_out: frozenset[ServiceId] = frozenset()
        self._claim = ExtraCallClaim(rank=core.random.random())

    def start(self) -> None:
        if not self._core.can_serve(self._route, self._core.now):
            self._completion.send_error(
                STATUS_UNAVAILABLE,
                "too_few_shards",
                verdict=RunVerdict.NOT_RUN,
                retry_after_ms=self._core.get_retry_after_ms(self._core.now),
                shards=len(self._execution.parts),
            )
            return
        now = self._core.now
        if self._refuse_while_paused(now):
            return
        for part in self._execution.parts.values():
            if part.shard in self.left_out:
                self._execution.record_failure(part)
                continue
            self._core.get_extra_calls(part.shard).record_request(now)
            if not self._call(part):
                self._execution.record_failure(part)
        self._has_started = True
        if not self._advance():
            self._schedule_timer(now)

    def _refuse_while_paused(self, now: Millis) -> bool:
        """Refuses the request if too many shards have only paused upstreams."""
        gathering = self._route.gathering
        pause_end = self._core.get_pause_end(
            gathering.shards, min_coverage=gathering.min_coverage, now=now
        )
        if pause_end is None:
            return False
        self._completion.send_error(
            STATUS_UNAVAILABLE,
            "upstreams_paused",
            verdict=RunVerdict.NOT_RUN,
            retry_after_ms=pause_end - now,
            shards=len(gathering.shards),
        )
        return True

    def abandon(self) -> None:
        """Ends all calls after the caller has disconnected."""
        self._stop()
        self._completion.abandon(answered=self._execution.answered_count)

    def expire(self) -> None:
        """Responds with the parts that have arrived."""
        self._execution.hard_deadline = self._core.now
        self._advance()

    def _choose_replica(self, part: Part) -> Replica | None:
        """Selects an upstream that was not tried yet."""
        return self._choose_replica_except(part, part.tried)

    def _choose_replica_except(
        self, part: Part, excluded: list[UpstreamId]
    ) -> Replica | None:
        return self._core.choose_replica(
            part.shard,
            typical_ms=self._latency.get_quantile(MEDIAN_QUANTILE),
            tried=excluded,
        )

    def _call(self, part: Part) -> bool:
        """Calls the best upstream for a part; returns False if there is none."""
        replica = self._choose_replica(part)
        if replica is None:
            return False
        self._send(part, replica)
        return True

    def _send(self, part: Part, replica: Replica) -> None:
        now = self._core.now
        upstream = replica.entry.upstream
        head = encode_upstream_head(
            self._completion.request,
            upstream=upstream,
            time_left_ms=self._deadlines.hard_deadline - now,
            account=self._account,
        )
        part.begin_call(upstream, now)
        call = self._core.pool.call(
            replica,
            head,
            body=self._completion.request.body,
            request_id=self._completion.request.request_id,
            is_idempotent=True,
            typical_ms=self._latency.get_quantile(MEDIAN_QUANTILE),
            on_end=self._handle_end,
        )
        self._calls[call] = part

    def _apply_result(self, call: Call, result: CallResult) -> None:
        part = self._calls.pop(call)
        core = self._core
        core.metrics.count_call(result.end)
        if result.end is CallEnd.ANSWERED:
            elapsed_ms = core.now - call.started_at
            self._latency.add(elapsed_ms)
            core.metrics.shard_call_latency.observe(
                elapsed_ms / MILLISECONDS_PER_SECOND
            )
            self._execution.record_response(
                part,
                call.upstream,
                signature=result.response.signature,
                body=result.response.body,
            )
        else:
            self._handle_failure(part, call.upstream, result)
        if self._has_started and not self._advance() and result.end is CallEnd.SHED:
            # A retry may be planned before the time of the timer.
            self._schedule_timer(core.now)

    def _handle_failure(
        self, part: Part, upstream: UpstreamId, result: CallResult
    ) -> None:
        if result.end is CallEnd.MISDIRECTED:
            self._core.remove_upstream(upstream)
        if result.end is CallEnd.SHED:
            part.end_refused(upstream)
        elif result.verdict is RunVerdict.NOT_RUN:
            part.end_not_run(upstream)
        else:
            part.end_failed(upstream)
        self._core.log.write(
            "part_failed",
            request=self._completion.request.request_id.decode("latin-1"),
            shard=part.shard,
            upstream=upstream,
            end=result.end.value,
            verdict=result.verdict.value,
            status=None if result.response is None else result.response.status,
        )
        if part.is_answered or part.pending_calls:
            return
        if not self._execution.may_call(part):
            self._execution.record_failure(part)
        elif self._choose_replica(part) is None and part.refusing:
            # An upstream that is full for a moment may take the request a little later.
            self._execution.schedule_retry(part, self._core.now)
        else:
            self._retry(part, part.tried, costs_budget=result.end.reached_upstream)

    def _retry(
        self, part: Part, excluded: list[UpstreamId], *, costs_budget: bool
    ) -> None:
        """Calls another upstream for a part, which fails if that is impossible."""
        replica = self._choose_replica_except(part, excluded)
        if replica is None or (
            costs_budget and not self._try_extra_call(part, ExtraCallKind.RETRY)
        ):
            part.retry_at = None
            self._execution.record_failure(part)
            return
        self._send(part, replica)
        self._retries += 1

    def _try_extra_call(self, part: Part, kind: ExtraCallKind) -> bool:
        if not self._may_call_again(part.shard, kind):
            return False
        granted = self._core.try_extra_call(part.shard, kind, claim=self._claim)
        if not granted:
            self._shards_without_budget.add(part.shard)
        return granted

    def _send_due_retries(self, now: Millis) -> None:
        for part in self._execution.list_due_retries(now):
            self._retry(part, part.list_unrepeatable(), costs_budget=True)

    def _advance(self) -> bool:
        """Completes the request if it is decided; returns whether it is complete."""
        if self._completion.is_done:
            return True
        now = self._core.now
        match self._execution.decide(now):
            case GatherDecision.ANSWER:
                self._respond()
            case GatherDecision.FAIL:
                self._fail(now)
            case GatherDecision.WAIT:
                return False
        return True

    def _handle_timer(self) -> None:
        self._core.response_delays.add_timer_delay(self._core.now - self._timer_due_at)
        self._send_due_retries(self._core.now)
        if not self._advance():
            now = self._core.now
            self._hedge(now)
            self._schedule_timer(now)

    def _hedge(self, now: Millis) -> None:
        delay_ms = self._get_hedge_delay_ms()
        typical_ms = self._latency.get_quantile(MEDIAN_QUANTILE)
        if (
            now + typical_ms > self._execution.soft_deadline
            and self._execution.reaches_min_coverage(self._execution.answered_count)
        ):
            return
        unsent_calls = {
            part: call for call, part in self._calls.items() if not call.is_sent
        }
        for part in self._execution.list_hedges(now, delay_ms=delay_ms):
            replica = self._choose_replica(part)
            if replica is None or replica.is_backed_off(now):
                continue
            if part in unsent_calls:
                self._reassign(part, unsent_calls[part], replica)
            elif self._try_extra_call(part, ExtraCallKind.HEDGE):
                self._send(part, replica)
                self._hedges += 1

    def _reassign(self, part: Part, call: Call, replica: Replica) -> None:
        """Moves an unsent call that waits for a connection to another upstream."""
        del self._calls[call]
        self._core.pool.abandon(call)
        part.end_not_run(call.upstream)
        self._send(part, replica)
        self._retries += 1

    def _get_hedge_delay_ms(self) -> float:
        unused = self._core.get_unused_extra_call_fraction(
            self._route.gathering.shards[0]
        )
        quantile = LATE_HEDGE_QUANTILE + unused * (
            EARLY_HEDGE_QUANTILE - LATE_HEDGE_QUANTILE
        )
        return max(MIN_HEDGE_DELAY_MS, self._latency.get_quantile(quantile))

    def _schedule_timer(self, now: Millis) -> None:
        due_at = self._execution.hard_deadline
        if now < self._execution.soft_deadline:
            due_at = min(due_at, self._execution.soft_deadline)
        retry_at = self._execution.get_next_retry_at()
        if retry_at is not None:
            due_at = min(due_at, max(retry_at, now))
        hedge_at = self._execution.get_next_hedge_at(
            delay_ms=self._get_hedge_delay_ms()
        )
        if hedge_at is not None:
            due_at = min(due_at, max(hedge_at, now + HEDGE_RETRY_INTERVAL_MS))
        self._start_timer(due_at, now)

    def _respond(self) -> None:
        core = self._core
        started_at = core.now
        self._stop()
        parts = self._execution.answered_parts
        missing = self._execution.missing_count
        body = merge_records(
            (part.body for part in parts), top=self._route.gathering.top_records
        )
        data = encode_merged_response(
            self._completion.request,
            signatures=[part.signature for part in parts],
            missing_shards=missing,
            body=body,
            close_connection=self._completion.closes_connection,
        )
        if missing:
            core.metrics.missing_parts.inc(missing)
        core.response_delays.add_response_delay(
            duration_ms=core.now - started_at, size=len(data)
        )
        self._completion.send_response(
            data,
            Outcome.PARTIAL if missing else Outcome.SUCCESS,
            parts=len(parts),
            missing=self._list_missing_shards(),
            **self._get_log_fields(),
        )

    def _fail(self, now: Millis) -> None:
        self._stop()
        is_late = now >= self._execution.hard_deadline
        self._completion.send_error(
            STATUS_GATEWAY_TIMEOUT if is_late else STATUS_BAD_GATEWAY,
            "too_few_parts_in_time" if is_late else "too_few_parts",
            verdict=RunVerdict.MAY_HAVE_RUN,
            parts=self._execution.answered_count,
            missing=self._list_missing_shards(),
            **self._get_log_fields(),
        )

    def _get_log_fields(self) -> dict[str, float | None]:
        """Returns the log fields for the request's deadline and extra calls.

        ``shares_budget`` is None if the request needed no call of a shared budget.
        """
        return {
            "due_ms": round(
                self._deadlines.soft_deadline - self._completion.arrived_at, 1
            ),
            "hedges": self._hedges,
            "retries": self._retries,
            "shards_without_budget": len(self._shards_without_budget),
            "shares_budget": self._claim.is_granted,
        }

    def _list_missing_shards(self) -> list[str]:
        return [
            (
                f"{part.shard}: left out"
                if part.shard in self.left_out
                else f"{part.shard}: {'lost' if part.has_failed else 'late'} at "
                + ", ".join(part.tried)
            )
            for part in self._execution.parts.values()
            if not part.is_answered
        ]

    def _stop(self) -> None:
        self._end_calls(self._calls)
        self._calls.clear()
