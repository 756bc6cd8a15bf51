"""Driver of one instance's search decisions in simulated time."""

from __future__ import annotations

import functools
import random
from collections import Counter
from typing import TYPE_CHECKING

from skylarkcart.clock import Millis
from skylarkcart.declarations import IndexSnapshot
from skylarkcart.proof._search_fakes import FakeAnswer, FakeCall, Refusal
from skylarkcart.search import (
    CallAnswered,
    CallFailed,
    CallKind,
    CancelCall,
    FinishSearch,
    SearchAction,
    SearchExecution,
    SearchRequest,
    ServiceCallState,
    SetTimer,
    StartCall,
    TimerFired,
)
from skylarkcart.types import (
    CallId,
    InstanceId,
    LateShardPreference,
    RequestId,
    ServiceId,
    UpstreamId,
    ZoneId,
)
from skylarkcart.upstreams import CallOutcome, OutcomeKind, UpstreamDirectory

if TYPE_CHECKING:
    from skylarkcart.proof._search_simulation import SearchSimulation

MAX_HITS = 5

_OUTCOME_BY_REFUSAL = {
    "shedding": OutcomeKind.SHED,
    "cold": OutcomeKind.COLD,
    "draining": OutcomeKind.DRAINING,
    "snapshot_gone": OutcomeKind.REFUSED,
    "deadline": OutcomeKind.CANCELLED,
}


class RunningSearch:
    """A search in progress, its calls and its current timer."""

    def __init__(
        self, *, request: SearchRequest, execution: SearchExecution, started_at: float
    ) -> None:
        self.request = request
        self.execution = execution
        self.started_at = started_at
        self.calls: dict[CallId, FakeCall] = {}
        self.timer_number = 0


class FakeInstance:
    """Executes the actions of one instance's decision logic in the simulation."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        zone: ZoneId,
        simulation: SearchSimulation,
        seed: int,
    ) -> None:
        self.id = instance
        self.zone = zone
        self.is_alive = True
        self._simulation = simulation
        settings = simulation.settings
        self.directory = UpstreamDirectory(
            zone=zone,
            instance=instance,
            random=random.Random(seed),
            may_send_cold=functools.partial(
                simulation.disturbances.holds_right, instance
            ),
            preopens_connections=True,
            policy=settings.policy,
        )
        self.service_calls = ServiceCallState(
            extra_calls_ratio=settings.extra_calls_ratio
        )
        self.connections: dict[UpstreamId, int] = {}
        self.in_flight: set[FakeCall] = set()
        self.sent_calls: Counter[CallKind] = Counter()
        self._running_searches: set[str] = set()
        self.snapshot: IndexSnapshot | None = None

    def find_newest_snapshot(self, service: ServiceId) -> IndexSnapshot | None:
        return self.snapshot

    def search(self, number: int, prefer: LateShardPreference) -> None:
        """Starts a search that a caller requested."""
        simulation = self._simulation
        request = SearchRequest(
            request_id=RequestId(f"r{number}"), query=f"q{number}", limit=MAX_HITS
        )
        now = simulation.now
        execution = SearchExecution(
            request=request,
            snapshot=self.snapshot,
            chooser=self.directory,
            deadline=Millis(now + simulation.settings.deadline_ms),
            answer_by=Millis(now + simulation.settings.answer_by_ms),
            prefer=prefer,
            service_calls=self.service_calls,
            snapshots=self,
        )
        running = RunningSearch(request=request, execution=execution, started_at=now)
        simulation.running_searches.add(request.request_id)
        self._running_searches.add(request.request_id)
        self._execute_all(running, execution.start(now))

    def list_running_searches(self) -> tuple[str, ...]:
        return tuple(self._running_searches)

    def tick(self) -> None:
        for action in self.directory.tick(self._simulation.now):
            self._simulation.connect(self, action.upstream)

    def note_connected(self, upstream: UpstreamId) -> None:
        self.connections[upstream] = self.connections.get(upstream, 0) + 1
        self.directory.record_connection_opened(upstream)

    def note_disconnected(
        self, upstream: UpstreamId, interrupted: list[FakeCall]
    ) -> None:
        """Fails the interrupted calls and closes the connections of a dead process."""
        for call in interrupted:
            self._end_call(call, None)
        for _ in range(self.connections.pop(upstream, 0)):
            self.directory.record_connection_closed(upstream, self._simulation.now)

    def _execute_all(self, running: RunningSearch, actions: list[SearchAction]) -> None:
        for action in actions:
            self._execute(action, running)

    @functools.singledispatchmethod
    def _execute(self, action: SearchAction, running: RunningSearch) -> None:
        raise TypeError(f"action is {type(action).__name__}, expected a SearchAction")

    @_execute.register
    def _(self, action: StartCall, running: RunningSearch) -> None:
        simulation = self._simulation
        call = FakeCall(
            start=action,
            query=running.request.query,
            instance=self.id,
            started_at=simulation.now,
            process=simulation.upstreams[action.upstream].process,
            deliver=functools.partial(self._handle_response, running),
        )
        running.calls[action.call] = call
        self.in_flight.add(call)
        simulation.send_call(self, call)

    @_execute.register
    def _(self, action: CancelCall, running: RunningSearch) -> None:
        call = running.calls[action.call]
        if call.is_ended or self.directory.keeps_running(action.upstream):
            return
        self._end_call(call, OutcomeKind.CANCELLED)
        self._simulation.cancel_call(self, call)

    @_execute.register
    def _(self, action: SetTimer, running: RunningSearch) -> None:
        running.timer_number += 1
        delay_ms = action.at - self._simulation.now
        self._simulation.schedule(
            delay_ms, self._fire_timer, running, running.timer_number
        )

    @_execute.register
    def _(self, action: FinishSearch, running: RunningSearch) -> None:
        self._running_searches.discard(running.request.request_id)
        self._simulation.finish_search(running, action.answer)

    def _fire_timer(self, running: RunningSearch, timer_number: int) -> None:
        if timer_number == running.timer_number:
            self._handle_event(running, TimerFired())

    def _handle_event(self, running: RunningSearch, event: object) -> None:
        if self.is_alive:
            actions = running.execution.handle(event, self._simulation.now)
            self._execute_all(running, actions)

    def _handle_response(
        self,
        running: RunningSearch,
        call: FakeCall,
        answer: FakeAnswer | Refusal | None,
    ) -> None:
        """Handles the response to a call.

        It may also be late, or the answer to another request. None means that the
        connection closed.
        """
        if not self.is_alive:
            return
        call_id = call.start.call
        if isinstance(answer, FakeAnswer):
            self._end_call(call, OutcomeKind.SUCCESS)
            event = CallAnswered(
                call=call_id,
                request_id=RequestId(answer.request_id),
                snapshot=answer.snapshot,
                shards=answer.shards,
            )
        elif isinstance(answer, Refusal):
            self._end_call(call, _OUTCOME_BY_REFUSAL[answer.reason])
            not_run = answer.reason != "deadline"
            event = CallFailed(call=call_id, reason=answer.reason, not_run=not_run)
        else:
            event = CallFailed(call=call_id, reason="connection_closed")
        self._handle_event(running, event)

    def _end_call(self, call: FakeCall, kind: OutcomeKind | None) -> None:
        if call.is_ended:
            return
        call.is_ended = True
        self.in_flight.discard(call)
        outcome = CallOutcome(
            kind=kind or OutcomeKind.FAILED,
            latency_ms=self._simulation.now - call.started_at,
            process=call.process if kind else "",
        )
        self.directory.end_call(call.start.upstream, outcome, self._simulation.now)
        if kind is None:
            call.deliver(call, None)
