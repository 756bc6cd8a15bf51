"""Runs one search over the shards of a pinned snapshot.

The execution is a state machine without I/O. A driver performs the returned actions and
reports their results as events:

    execution = SearchExecution(request=request, snapshot=snapshot, ...)
    actions = execution.start(now)
    actions = execution.handle(CallAnswered(...), now)

A shard whose replicas are all at capacity is deferred and retried until the end of the
search, as long as one of them may get spare capacity.
"""

from __future__ import annotations

import functools
from collections.abc import Collection, Iterable

from skylarkcart.clock import Millis
from skylarkcart.declarations import IndexSnapshot
from skylarkcart.search._audit import SearchRecord
from skylarkcart.search._budget import ServiceCallState
from skylarkcart.search._calls import CallInFlight, CallsInFlight
from skylarkcart.search._merge import ShardPart, ShardPartCollection
from skylarkcart.search._messages import (
    REASON_SNAPSHOT_GONE,
    CallAnswered,
    CallerDisconnected,
    CallFailed,
    CallKind,
    FinishSearch,
    SearchAction,
    SearchEvent,
    SearchRequest,
    SetTimer,
    StartCall,
    TimerFired,
)
from skylarkcart.search._plan import (
    PlannedCall,
    ReplicaChooser,
    SnapshotSource,
    plan_calls,
)
from skylarkcart.types import (
    CallId,
    LateShardPreference,
    RequestId,
    ShardId,
    UpstreamId,
)

REASON_DEADLINE = "deadline"
REASON_ANSWER_BY = "answer_by"
REASON_NO_CAPACITY = "no_room"
REASON_NOT_ANSWERED = "not_answered"
REASON_OTHER_REQUEST = "answer_of_other_request"
REASON_OTHER_SNAPSHOT = "answer_of_other_snapshot"

# Reserved before the end of the search for the transfer of an answer and the merge.
RESPONSE_MARGIN_MS = 2.0

# Delay before deferred shards are retried, doubled up to the maximum while no replica
# has spare capacity. At a constant 4 ms, retries cost more than the calls themselves.
CAPACITY_POLL_MS = 4.0
MAX_CAPACITY_POLL_MS = 16.0


class SearchExecution:
    """One search from its first call to its answer.

    Args:
        answer_by: when a timely search returns the coverage it has so far.
        service_calls: the latency quantile and call budgets shared by the service's
            searches.
        snapshots: source of a newer snapshot for a restart; None disables restarts.
    """

    def __init__(
        self,
        *,
        request: SearchRequest,
        snapshot: IndexSnapshot,
        chooser: ReplicaChooser,
        deadline: Millis,
        answer_by: Millis | None = None,
        prefer: LateShardPreference = LateShardPreference.TIMELY,
        service_calls: ServiceCallState | None = None,
        snapshots: SnapshotSource | None = None,
    ) -> None:
        self._request = request
        self._chooser = chooser
        self._cutoff = deadline
        self._cutoff_reason = REASON_DEADLINE
        if answer_by is not None and prefer is LateShardPreference.TIMELY:
            self._cutoff = min(answer_by, deadline)
            self._cutoff_reason = REASON_ANSWER_BY
        self._service_calls = service_calls or ServiceCallState(
            service=snapshot.service
        )
        self._snapshots = snapshots
        self._record = SearchRecord()
        self._in_flight = CallsInFlight()
        self._next_call_id = 1
        self._is_restarted = False
        self._timer: Millis | None = None
        self._poll_ms = CAPACITY_POLL_MS
        self._pin(snapshot)
        self.is_finished = False

    def start(self, now: Millis) -> list[SearchAction]:
        """Returns the first calls and the first timer."""
        return self._assign_all(now) + self._finish_or_set_timer(now)

    def handle(self, event: SearchEvent, now: Millis) -> list[SearchAction]:
        """Applies an event; events after the end of the search are ignored."""
        if self.is_finished:
            return []
        actions = self._apply(event, now)
        if self.is_finished:
            return actions
        return actions + self._retry_deferred(now) + self._finish_or_set_timer(now)

    @functools.singledispatchmethod
    def _apply(self, event: SearchEvent, now: Millis) -> list[SearchAction]:
        raise TypeError(f"event is {type(event).__name__}, expected a SearchEvent")

    @_apply.register
    def _(self, event: CallAnswered, now: Millis) -> list[SearchAction]:
        call = self._in_flight.pop(event.call)
        if call is None:
            return []
        self._record.record_received(event)
        mismatch = self._find_mismatch(call.start, event)
        if mismatch:
            return self._reassign(call.start.shards, mismatch, now)
        self._service_calls.record_latency(now - call.started_at)
        for result in event.shards:
            if result.shard in call.start.shards:
                self._parts.add(ShardPart(result=result, call=call.start, answer=event))
        unanswered = set(call.start.shards) - {part.shard for part in event.shards}
        for shard in unanswered:
            self._parts.record_missing(shard, REASON_NOT_ANSWERED)
        actions = self._cancel_redundant(now)
        return actions + self._reassign(call.start.shards, "", now)

    @_apply.register
    def _(self, event: CallFailed, now: Millis) -> list[SearchAction]:
        call = self._in_flight.pop(event.call)
        if call is None:
            return []
        if event.reason == REASON_SNAPSHOT_GONE:
            self._is_snapshot_gone = True
            if self._may_restart():
                return self._restart_on_newest(now)
        if event.not_run:
            for shard in call.start.shards:
                self._refused.setdefault(shard, set()).add(call.start.upstream)
        return self._reassign(call.start.shards, event.reason, now)

    @_apply.register
    def _(self, event: TimerFired, now: Millis) -> list[SearchAction]:
        self._timer = None
        if now < self._cutoff:
            return self._send_due_hedges(now)
        for call in self._in_flight:
            for shard in call.start.shards:
                self._parts.record_missing(shard, self._cutoff_reason)
        return self._finish(now)

    @_apply.register
    def _(self, event: CallerDisconnected, now: Millis) -> list[SearchAction]:
        return self._finish(now)

    def _pin(self, snapshot: IndexSnapshot) -> None:
        """Resets the search to a snapshot and drops all state of an earlier one."""
        self._snapshot = snapshot
        self._is_snapshot_gone = False
        self._placements = {
            placement.shard: placement.upstreams for placement in snapshot.shards
        }
        self._parts = ShardPartCollection(
            snapshot=snapshot.snapshot, shards=self._placements
        )
        self._tried: dict[ShardId, set[UpstreamId]] = {}
        self._refused: dict[ShardId, set[UpstreamId]] = {}
        self._deferred: dict[ShardId, Millis] = {}

    def _assign_all(self, now: Millis) -> list[SearchAction]:
        return self._assign(tuple(self._placements), self._tried, now)

    def _find_mismatch(self, call: StartCall, answer: CallAnswered) -> str:
        if answer.request_id != call.request_id:
            return REASON_OTHER_REQUEST
        if answer.snapshot != call.snapshot:
            return REASON_OTHER_SNAPSHOT
        return ""

    def _may_restart(self) -> bool:
        if self._is_restarted or self._snapshots is None or not self._is_snapshot_gone:
            return False
        newest = self._snapshots.find_newest_snapshot(self._snapshot.service)
        return newest is not None and newest.sequence > self._snapshot.sequence

    def _restart_on_newest(self, now: Millis) -> list[SearchAction]:
        newest = self._snapshots.find_newest_snapshot(self._snapshot.service)
        actions: list[SearchAction] = [
            self._cancel(call, now) for call in self._in_flight
        ]
        self._is_restarted = True
        self._pin(newest)
        return actions + self._assign_all(now)

    def _reassign(
        self, shards: Iterable[ShardId], reason: str, now: Millis
    ) -> list[SearchAction]:
        """Reassigns the shards that are neither covered nor in flight."""
        uncovered = [shard for shard in shards if not self._parts.is_covered(shard)]
        for shard in uncovered:
            if reason:
                self._parts.record_missing(shard, reason)
        return self._assign(
            self._in_flight.list_not_in_flight(uncovered), self._tried, now
        )

    def _retry_deferred(self, now: Millis) -> list[SearchAction]:
        """Retries deferred shards, also on replicas that refused without running."""
        waiting = [shard for shard, since in self._deferred.items() if since < now]
        if not waiting:
            return []
        if self._may_restart():
            return self._restart_on_newest(now)
        excluded = {
            shard: self._tried.get(shard, set()) - self._refused.get(shard, set())
            for shard in waiting
        }
        return self._assign(waiting, excluded, now)

    def _assign(
        self,
        shards: Collection[ShardId],
        excluded: dict[ShardId, set[UpstreamId]],
        now: Millis,
    ) -> list[SearchAction]:
        if not shards:
            return []
        if now >= self._cutoff - RESPONSE_MARGIN_MS:
            for shard in shards:
                self._defer(shard, now, self._cutoff_reason)
            return []
        plan = plan_calls(
            self._snapshot, shards=shards, chooser=self._chooser, excluded=excluded
        )
        actions: list[SearchAction] = []
        for planned in plan.calls:
            actions.extend(self._send_if_allowed(planned, now))
        for shard in plan.unassigned:
            self._defer_or_drop(shard, now)
        return actions

    def _send_if_allowed(self, planned: PlannedCall, now: Millis) -> list[SearchAction]:
        """Sends a planned call, or defers its shards if the retry budget is used up."""
        is_retry = any(shard in self._tried for shard in planned.shards)
        if not is_retry:
            self._service_calls.record_first_calls(1)
            return [self._send(planned, CallKind.FIRST, now)]
        if not self._service_calls.retries.try_spend():
            for shard in planned.shards:
                self._deferred[shard] = now
            return []
        self._service_calls.retry_calls += 1
        return [self._send(planned, CallKind.RETRY, now)]

    def _defer_or_drop(self, shard: ShardId, now: Millis) -> None:
        excluded = self._tried.get(shard, set()) - self._refused.get(shard, set())
        may_wait = self._chooser.may_get_capacity(
            self._placements[shard], excluded=excluded
        )
        may_restart = (
            self._is_snapshot_gone and not self._is_restarted and self._snapshots
        )
        if may_wait or may_restart:
            self._defer(shard, now, REASON_NO_CAPACITY)
        else:
            self._deferred.pop(shard, None)

    def _defer(self, shard: ShardId, now: Millis, reason: str) -> None:
        """Defers a shard; the reason of an earlier failed call is kept."""
        self._deferred[shard] = now
        if shard not in self._tried:
            self._parts.record_missing(shard, reason)

    def _send_due_hedges(self, now: Millis) -> list[SearchAction]:
        actions: list[SearchAction] = []
        for call in self._in_flight.list_due_hedges(now):
            actions.extend(self._hedge(call, now))
        return actions

    def _hedge(self, call: CallInFlight, now: Millis) -> list[SearchAction]:
        delay = self._service_calls.hedge_after_ms
        call.hedge_at = None if delay is None else Millis(now + delay / 2)
        uncovered = [s for s in call.start.shards if not self._parts.is_covered(s)]
        plan = plan_calls(
            self._snapshot,
            shards=uncovered,
            chooser=self._chooser,
            excluded=self._list_excluded_from_hedge(call, uncovered),
        )
        if not plan.calls or not self._service_calls.hedges.try_spend(len(plan.calls)):
            return []
        call.hedge_at = None
        self._service_calls.hedge_calls += len(plan.calls)
        return [self._send(planned, CallKind.HEDGE, now) for planned in plan.calls]

    def _list_excluded_from_hedge(
        self, call: CallInFlight, shards: Iterable[ShardId]
    ) -> dict[ShardId, set[UpstreamId]]:
        """Excludes tried replicas, but a second hedge may return to the first replica.

        Many shards have only two replicas. With 45 calls of which 1 in 50 is late, both
        calls for some shard are late in 2% of the searches.
        """
        excluded = {shard: self._tried[shard] for shard in shards}
        if call.start.kind is not CallKind.HEDGE:
            return excluded
        return {
            shard: (
                {call.start.upstream}
                if tried.issuperset(self._placements[shard])
                else tried
            )
            for shard, tried in excluded.items()
        }

    def _send(self, planned: PlannedCall, kind: CallKind, now: Millis) -> StartCall:
        number = CallId(self._next_call_id)
        self._next_call_id += 1
        call = StartCall(
            call=number,
            request_id=RequestId(f"{self._request.request_id}.{number}"),
            upstream=planned.upstream,
            snapshot=self._snapshot.snapshot,
            shards=planned.shards,
            deadline=Millis(max(now, self._cutoff - RESPONSE_MARGIN_MS)),
            kind=kind,
        )
        for shard in planned.shards:
            self._tried.setdefault(shard, set()).add(planned.upstream)
            self._refused.get(shard, set()).discard(planned.upstream)
            self._deferred.pop(shard, None)
        self._poll_ms = CAPACITY_POLL_MS
        self._chooser.begin_call(planned.upstream)
        self._record.record_sent(call)
        delay = self._service_calls.hedge_after_ms
        self._in_flight.add(
            CallInFlight(start=call, started_at=now, hedge_after_ms=delay)
        )
        return call

    def _cancel_redundant(self, now: Millis) -> list[SearchAction]:
        """Cancels the calls whose shards have all been covered by other calls."""
        return [
            self._cancel(call, now)
            for call in self._in_flight
            if all(self._parts.is_covered(shard) for shard in call.start.shards)
        ]

    def _cancel(self, call: CallInFlight, now: Millis) -> SearchAction:
        self._in_flight.pop(call.start.call)
        elapsed = now - call.started_at
        # The latency of a cancelled call is at least its elapsed time, which is
        # informative only from the hedge delay on.
        delay = self._service_calls.hedge_after_ms
        if delay is not None and elapsed >= delay:
            self._service_calls.record_latency(elapsed)
        return call.cancel()

    def _finish_or_set_timer(self, now: Millis) -> list[SearchAction]:
        """Finishes if no shard is in flight or deferred, otherwise sets the timer."""
        if not self._in_flight and not self._deferred:
            return self._finish(now)
        due = [self._cutoff]
        next_hedge = self._in_flight.find_next_hedge()
        if next_hedge is not None:
            due.append(next_hedge)
        if self._deferred:
            due.append(Millis(now + self._poll_ms))
            self._poll_ms = min(MAX_CAPACITY_POLL_MS, 2 * self._poll_ms)
        # An earlier timer is kept, since handling it sets the next one.
        if self._timer is not None and now < self._timer <= min(due):
            return []
        self._timer = min(due)
        return [SetTimer(at=self._timer)]

    def _finish(self, now: Millis) -> list[SearchAction]:
        self.is_finished = True
        actions: list[SearchAction] = [
            self._cancel(call, now) for call in self._in_flight
        ]
        answer = self._parts.build_answer(self._request)
        self._record.audit(
            answer,
            request=self._request,
            snapshot=self._snapshot,
            parts=self._parts.parts,
        )
        actions.append(FinishSearch(answer=answer))
        return actions
