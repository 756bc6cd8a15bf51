"""Weighted max-min sharing of the search capacity between client accounts.

Start-time fair queueing: each account has a virtual start time that advances by cost
over weight with each admitted request, and the account with the smallest start time is
next. An account that was idle resumes at the current virtual time, so that idle time
gives no advantage.

    queue = FairQueue(policy=policy, capacity=capacity, now=now)
    actions = queue.handle(Enqueue(...), now)

The queue has one owner and does no I/O. After each event, the owner sets a timer for
``next_expiry`` and sends ``Expire`` when it fires.
"""

from __future__ import annotations

import collections
import functools
import heapq
import math
from collections.abc import Mapping

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.fairness._capacity import AdaptiveCapacity, CapacityPolicy
from skylarkcart.fairness._messages import (
    Abandon,
    Admitted,
    Complete,
    Enqueue,
    Expire,
    FairAction,
    FairEvent,
    Outcome,
    Queued,
    RefusalReason,
    Refused,
)
from skylarkcart.invariants import Invariant, check
from skylarkcart.types import AccountId, RequestId

DEFAULT_WEIGHT = 1.0
MAX_STALE_DEADLINES = 64
MIN_WAIT_SAMPLE_MS = 1.0
WAIT_RATIO_SMOOTHING = 0.1
MAX_WAIT_RATIO = 4.0


class FairnessPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the queue; together they bound its memory use.

    ``service_margin`` is the multiple of the smoothed latency that must remain before a
    request's deadline when the request leaves the queue.
    """

    max_queued_per_account: int = 256
    max_accounts: int = 1024
    service_margin: float = 1.5


class FairQueue:
    """Decides which request runs next and which requests are refused."""

    def __init__(
        self, *, policy: FairnessPolicy, capacity: CapacityPolicy, now: Millis
    ) -> None:
        self._policy = policy
        self._capacity = AdaptiveCapacity(policy=capacity, now=now)
        self._weights: Mapping[AccountId, float] = {}
        self._account_queues: dict[AccountId, _AccountQueue] = {}
        self._queued: dict[RequestId, _QueuedRequest] = {}
        self._running: dict[RequestId, _RunningRequest] = {}
        self._deadlines: list[tuple[Millis, int, _QueuedRequest]] = []
        self._next_number = 0
        self._in_flight = 0
        self._virtual_time = 0.0

    @property
    def capacity(self) -> float:
        """The number of shards that may be queried concurrently."""
        return self._capacity.current

    @property
    def in_flight(self) -> int:
        """The number of shards of admitted requests."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return len(self._queued)

    @property
    def next_expiry(self) -> Millis | None:
        """When ``Expire`` is due, or None if no request is queued."""
        self._trim_deadlines()
        return self._deadlines[0][0] if self._deadlines else None

    def configure(
        self, *, weights: Mapping[AccountId, float], capacity: CapacityPolicy
    ) -> None:
        """Applies the accounts' weights and the capacity bounds of a configuration."""
        self._weights = dict(weights)
        self._capacity.configure(capacity)

    def handle(self, event: FairEvent, now: Millis) -> list[FairAction]:
        """Applies an event and returns the resulting decisions in order."""
        return self._apply(event, now)

    @functools.singledispatchmethod
    def _apply(self, event: FairEvent, now: Millis) -> list[FairAction]:
        raise TypeError(f"event is {type(event).__name__}, expected a FairEvent")

    @_apply.register
    def _(self, event: Enqueue, now: Millis) -> list[FairAction]:
        if event.cost < 1:
            raise ValueError(f"cost is {event.cost}, expected at least one")
        if event.request_id in self._running or event.request_id in self._queued:
            raise ValueError(f"request {event.request_id!r} is already known")
        actions = self._drop_expired(now) + self._admit_next(now)
        queue = self._get_or_create_account_queue(event.account)
        if queue is None or len(queue.waiting) >= self._policy.max_queued_per_account:
            wait = (
                self._estimate_wait(queue)
                if queue
                else self._capacity.smoothed_latency_ms
            )
            reason = RefusalReason.QUEUE_FULL
            return actions + [self._refuse(event.request_id, reason, wait)]
        if now >= event.deadline:
            reason = RefusalReason.WAIT_EXCEEDS_DEADLINE
            return actions + [self._refuse(event.request_id, reason, 0.0)]
        if not self._queued and self._fits(event.cost):
            waiting = self._append(queue, event, now)
            return actions + [self._admit(queue, waiting, now)]
        self._capacity.record_saturated()
        return actions + self._queue_or_refuse(queue, event, now)

    @_apply.register
    def _(self, event: Complete, now: Millis) -> list[FairAction]:
        running = self._running.pop(event.request_id, None)
        if running is None:
            return []
        self._in_flight -= running.cost
        if event.outcome is not Outcome.UNUSED:
            self._capacity.record(
                latency_ms=now - running.admitted_at,
                is_shed=event.outcome is Outcome.SHED,
                now=now,
            )
        actions = self._drop_expired(now) + self._admit_next(now)
        if not self._running and not self._queued:
            self._account_queues.clear()
        return actions

    @_apply.register
    def _(self, event: Abandon, now: Millis) -> list[FairAction]:
        waiting = self._queued.get(event.request_id)
        if waiting is not None:
            self._remove(waiting)
        return self._drop_expired(now) + self._admit_next(now)

    @_apply.register
    def _(self, event: Expire, now: Millis) -> list[FairAction]:
        return self._drop_expired(now) + self._admit_next(now)

    def _queue_or_refuse(
        self, queue: _AccountQueue, event: Enqueue, now: Millis
    ) -> list[FairAction]:
        wait = self._estimate_wait(queue)
        available_ms = event.deadline - now - self._expected_service_ms()
        if wait > available_ms:
            reason = RefusalReason.WAIT_EXCEEDS_DEADLINE
            return [self._refuse(event.request_id, reason, wait - available_ms)]
        self._append(queue, event, now).uncorrected_wait_ms = wait / queue.wait_ratio
        queued = Queued(request_id=event.request_id, expected_wait_ms=wait)
        return [queued, *self._admit_next(now)]

    def _admit_next(self, now: Millis) -> list[FairAction]:
        actions: list[FairAction] = []
        while self._queued:
            queue = min(
                (queue for queue in self._account_queues.values() if queue.waiting),
                key=lambda queue: queue.virtual_start,
            )
            waiting = next(iter(queue.waiting.values()))
            if not self._fits(waiting.cost):
                break
            queue.record_wait(waiting, now)
            if self._is_too_late(waiting, now):
                self._remove(waiting)
                reason = RefusalReason.DEADLINE_IN_QUEUE
                wait = self._estimate_wait(queue)
                actions.append(self._refuse(waiting.request_id, reason, wait))
                continue
            actions.append(self._admit(queue, waiting, now))
        return actions

    def _admit(
        self, queue: _AccountQueue, waiting: _QueuedRequest, now: Millis
    ) -> Admitted:
        self._remove(waiting)
        self._virtual_time = max(self._virtual_time, queue.virtual_start)
        queue.virtual_start += waiting.cost / self._find_weight(queue.account)
        self._in_flight += waiting.cost
        self._running[waiting.request_id] = _RunningRequest(
            cost=waiting.cost, admitted_at=now
        )
        self._remove_idle_account_queues()
        return Admitted(
            request_id=waiting.request_id, waited_ms=now - waiting.enqueued_at
        )

    def _fits(self, cost: int) -> bool:
        # A request whose cost exceeds the capacity runs when no other is in flight.
        return self._in_flight == 0 or self._in_flight + cost <= self.capacity

    def _is_too_late(self, waiting: _QueuedRequest, now: Millis) -> bool:
        if now >= waiting.deadline:
            return True
        # With nothing in flight, the request still runs, since only finished requests
        # can correct a smoothed latency that is too high.
        if self._in_flight == 0:
            return False
        return now + self._expected_service_ms() > waiting.deadline

    def _drop_expired(self, now: Millis) -> list[FairAction]:
        actions: list[FairAction] = []
        self._trim_deadlines()
        while self._deadlines and now >= self._deadlines[0][0]:
            waiting = heapq.heappop(self._deadlines)[2]
            queue = self._account_queues[waiting.account]
            queue.record_wait(waiting, now)
            self._remove(waiting)
            wait = self._estimate_wait(queue)
            reason = RefusalReason.DEADLINE_IN_QUEUE
            actions.append(self._refuse(waiting.request_id, reason, wait))
            self._trim_deadlines()
        return actions

    def _trim_deadlines(self) -> None:
        """Removes the deadlines of requests that are no longer queued."""
        deadlines = self._deadlines
        if len(deadlines) > 2 * len(self._queued) + MAX_STALE_DEADLINES:
            deadlines[:] = [entry for entry in deadlines if entry[2].is_waiting]
            heapq.heapify(deadlines)
        while deadlines and not deadlines[0][2].is_waiting:
            heapq.heappop(deadlines)

    def _estimate_wait(self, queue: _AccountQueue) -> float:
        """Returns the expected wait of a new request of the account.

        Ahead of it are all requests in the account's own queue and those in other
        queues that start earlier in virtual time. Requests of other accounts that
        arrive later may also start earlier; ``wait_ratio`` corrects for these.
        """
        virtual_start = max(queue.virtual_start, self._virtual_time)
        virtual_start += queue.queued_cost / self._find_weight(queue.account)
        cost_ahead = float(queue.queued_cost)
        for other in self._account_queues.values():
            if other is queue or not other.waiting:
                continue
            cost_before_start = max(
                0.0, virtual_start - other.virtual_start
            ) * self._find_weight(other.account)
            cost_ahead += min(other.queued_cost, cost_before_start)
        wait = cost_ahead * self._capacity.smoothed_latency_ms / self.capacity
        return wait * queue.wait_ratio

    def _expected_service_ms(self) -> float:
        return self._policy.service_margin * self._capacity.smoothed_latency_ms

    def _get_or_create_account_queue(self, account: AccountId) -> _AccountQueue | None:
        queue = self._account_queues.get(account)
        if queue is None:
            if len(self._account_queues) >= self._policy.max_accounts:
                return None
            queue = self._account_queues[account] = _AccountQueue(account=account)
        return queue

    def _find_weight(self, account: AccountId) -> float:
        return self._weights.get(account, DEFAULT_WEIGHT)

    def _append(
        self, queue: _AccountQueue, event: Enqueue, now: Millis
    ) -> _QueuedRequest:
        if not queue.waiting:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
        waiting = _QueuedRequest(
            request_id=event.request_id,
            account=event.account,
            cost=event.cost,
            deadline=event.deadline,
            enqueued_at=now,
        )
        queue.waiting[event.request_id] = waiting
        queue.queued_cost += event.cost
        self._queued[event.request_id] = waiting
        self._next_number += 1
        entry = (event.deadline, self._next_number, waiting)
        heapq.heappush(self._deadlines, entry)
        return waiting

    def _remove(self, waiting: _QueuedRequest) -> None:
        queue = self._account_queues[waiting.account]
        del queue.waiting[waiting.request_id]
        del self._queued[waiting.request_id]
        queue.queued_cost -= waiting.cost
        waiting.is_waiting = False

    def _remove_idle_account_queues(self) -> None:
        """Removes the idle accounts that would resume at the current virtual time."""
        idle = [
            queue.account
            for queue in self._account_queues.values()
            if not queue.waiting and queue.virtual_start <= self._virtual_time
        ]
        for account in idle:
            del self._account_queues[account]

    def _refuse(
        self, request_id: RequestId, reason: RefusalReason, wait_ms: float
    ) -> Refused:
        check(
            request_id not in self._running,
            Invariant.TRUE_NOT_RUN,
            f"request {request_id} refused as not run although it was admitted",
        )
        return Refused(
            request_id=request_id,
            reason=reason,
            retry_after_ms=max(1, math.ceil(wait_ms)),
        )


class _QueuedRequest(msgspec.Struct, kw_only=True):
    request_id: RequestId
    account: AccountId
    cost: int
    deadline: Millis
    enqueued_at: Millis
    is_waiting: bool = True
    uncorrected_wait_ms: float = 0.0


class _RunningRequest(msgspec.Struct, kw_only=True):
    cost: int
    admitted_at: Millis


class _AccountQueue:
    """The queued requests of one account, oldest first, and its virtual start time.

    ``wait_ratio`` is the smoothed ratio of actual to estimated waits.
    """

    def __init__(self, *, account: AccountId) -> None:
        self.account = account
        self.virtual_start = 0.0
        self.queued_cost = 0
        self.wait_ratio = 1.0
        self.waiting: collections.OrderedDict[RequestId, _QueuedRequest] = (
            collections.OrderedDict()
        )

    def record_wait(self, waiting: _QueuedRequest, now: Millis) -> None:
        """Updates ``wait_ratio`` from a request that leaves the queue."""
        if waiting.uncorrected_wait_ms < MIN_WAIT_SAMPLE_MS:
            return
        ratio = (now - waiting.enqueued_at) / waiting.uncorrected_wait_ms
        self.wait_ratio += WAIT_RATIO_SMOOTHING * (ratio - self.wait_ratio)
        self.wait_ratio = min(max(self.wait_ratio, 1.0), MAX_WAIT_RATIO)
