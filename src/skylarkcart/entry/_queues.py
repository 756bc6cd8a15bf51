"""Fair queueing of searches, with one queue for each service."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.declarations import IndexSnapshot, ServiceRow
from skylarkcart.entry._state import InstanceState
from skylarkcart.errors import RequestRefusedError
from skylarkcart.fairness import (
    Abandon,
    Admitted,
    CapacityPolicy,
    Complete,
    Enqueue,
    Expire,
    FairAction,
    FairEvent,
    FairnessPolicy,
    FairQueue,
    Outcome,
    Refused,
)
from skylarkcart.keys import Authenticated
from skylarkcart.types import AccountId, RequestId, ServiceId
from skylarkcart.verdict import RunVerdict

MILLISECONDS_PER_SECOND = 1000.0

# Upstreams queue some calls themselves, so the capacity may exceed their slots.
MAX_CAPACITY_PER_SLOT = 4
SHED_RATIO_THRESHOLD = 0.1


class QueuedSearch(msgspec.Struct, kw_only=True):
    """A search that waits in or was admitted by a queue.

    ``cost`` is the number of shards to query. ``authenticated`` is None for a search
    without a valid key of a service that is open to all. While the search runs, it
    counts its calls in ``calls`` and those that upstreams shed in ``calls_shed``.
    """

    request_id: RequestId
    service: ServiceRow
    account: AccountId
    authenticated: Authenticated | None
    cost: int
    deadline: Millis
    calls: int = 0
    calls_shed: int = 0

    @property
    def outcome(self) -> Outcome:
        if self.calls == 0:
            return Outcome.UNUSED
        is_shed = self.calls_shed > SHED_RATIO_THRESHOLD * self.calls
        return Outcome.SHED if is_shed else Outcome.DONE


class SearchQueues:
    """Admits searches by the weight of their account.

    The key of a search is checked again when the search leaves the queue.

    Example::

        async with queues.admit(ticket):
            ...  # makes calls and counts them in queued_search
    """

    def __init__(self, *, state: InstanceState) -> None:
        self._state = state
        self._queues: dict[ServiceId, _ServiceQueue] = {}
        state.configuration_listeners.append(self._apply_configuration)

    @contextlib.asynccontextmanager
    async def admit(self, queued_search: QueuedSearch) -> AsyncIterator[None]:
        """Waits until the search is admitted and releases its capacity on exit.

        Raises:
            RequestRefusedError: the queue refused the search, or its key was revoked
                while it waited. In both cases no call was made.
        """
        queue = self._get_queue(queued_search)
        await queue.acquire(queued_search)
        try:
            self._check_key(queued_search)
            yield
        finally:
            queue.release(queued_search)

    def _get_queue(self, queued_search: QueuedSearch) -> _ServiceQueue:
        service = queued_search.service.service
        queue = self._queues.get(service)
        if queue is None:
            queue = _ServiceQueue(state=self._state, service=service)
            self._queues[service] = queue
        return queue

    def _apply_configuration(self) -> None:
        for service, queue in list(self._queues.items()):
            queue.configure()
            queue.refuse_revoked_keys()
            if self._state.find_service(service) is None and queue.is_idle:
                del self._queues[service]

    def _check_key(self, queued_search: QueuedSearch) -> None:
        if not _has_valid_key(self._state, queued_search):
            raise _build_revoked_key_error()


class _ServiceQueue:
    """A ``FairQueue`` with its expiry timer and a future for each waiting search."""

    def __init__(self, *, state: InstanceState, service: ServiceId) -> None:
        self._state = state
        self._service = service
        self._waiters: dict[RequestId, tuple[QueuedSearch, asyncio.Future[None]]] = {}
        self._running: set[RequestId] = set()
        self._snapshot: IndexSnapshot | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._queue = FairQueue(
            policy=FairnessPolicy(), capacity=self._compute_capacity(), now=state.now
        )
        self.configure()

    @property
    def is_idle(self) -> bool:
        return not self._waiters and not self._running

    def configure(self) -> None:
        """Applies the accounts' weights and the capacity of the service."""
        self._snapshot = self._state.find_snapshot(self._service)
        self._queue.configure(
            weights=self._state.get_account_weights(), capacity=self._compute_capacity()
        )

    async def acquire(self, queued_search: QueuedSearch) -> None:
        if self._state.find_snapshot(self._service) is not self._snapshot:
            self.configure()
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[queued_search.request_id] = (queued_search, future)
        self._deliver(
            Enqueue(
                request_id=queued_search.request_id,
                account=queued_search.account,
                cost=queued_search.cost,
                deadline=queued_search.deadline,
            )
        )
        try:
            await future
        except asyncio.CancelledError:
            self._abandon(queued_search)
            raise

    def release(self, queued_search: QueuedSearch) -> None:
        self._running.remove(queued_search.request_id)
        outcome = queued_search.outcome
        self._deliver(Complete(request_id=queued_search.request_id, outcome=outcome))

    def refuse_revoked_keys(self) -> None:
        """Refuses waiting searches whose key is no longer in the configuration."""
        for queued_search, future in list(self._waiters.values()):
            if not _has_valid_key(self._state, queued_search):
                del self._waiters[queued_search.request_id]
                future.set_exception(_build_revoked_key_error())
                self._deliver(Abandon(request_id=queued_search.request_id))

    def _abandon(self, queued_search: QueuedSearch) -> None:
        if self._waiters.pop(queued_search.request_id, None) is not None:
            self._deliver(Abandon(request_id=queued_search.request_id))
        elif queued_search.request_id in self._running:
            self.release(queued_search)

    def _deliver(self, event: FairEvent) -> None:
        for action in self._queue.handle(event, self._state.now):
            self._perform(action)
        self._schedule_expiry()

    def _perform(self, action: FairAction) -> None:
        metrics = self._state.metrics
        if isinstance(action, Admitted):
            _, future = self._waiters.pop(action.request_id)
            self._running.add(action.request_id)
            waited_s = action.waited_ms / MILLISECONDS_PER_SECOND
            metrics.queue_wait.labels(self._service).observe(waited_s)
            if not future.done():
                future.set_result(None)
        elif isinstance(action, Refused):
            _, future = self._waiters.pop(action.request_id)
            metrics.queue_refusals.labels(self._service, action.reason.value).inc()
            if not future.done():
                future.set_exception(_build_refusal_error(action))

    def _schedule_expiry(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        expires_at = self._queue.next_expiry
        if expires_at is not None:
            delay_s = max(0.0, expires_at - self._state.now) / MILLISECONDS_PER_SECOND
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._deliver, Expire())

    def _compute_capacity(self) -> CapacityPolicy:
        """Returns bounds for the number of shards in flight.

        They follow from the slots of all upstreams of the service. The adaptive
        capacity of the queue determines this instance's portion.
        """
        row = self._state.find_service(self._service)
        snapshot = self._state.find_snapshot(self._service)
        if row is None or snapshot is None:
            return CapacityPolicy(initial=1, minimum=1, maximum=1)
        placements = sum(len(shard.upstreams) for shard in snapshot.shards)
        total_slots = max(1, row.slots * placements)
        shard_count = max(1, len(snapshot.shards))
        return CapacityPolicy(
            initial=total_slots,
            minimum=min(shard_count, total_slots),
            maximum=total_slots * MAX_CAPACITY_PER_SLOT,
        )


def _has_valid_key(state: InstanceState, queued_search: QueuedSearch) -> bool:
    return queued_search.authenticated is None or state.keys.is_valid(
        queued_search.authenticated
    )


def _build_revoked_key_error() -> RequestRefusedError:
    return RequestRefusedError(
        code="unauthenticated",
        detail="the key was withdrawn while the search waited",
        status=401,
        verdict=RunVerdict.NOT_RUN,
    )


def _build_refusal_error(action: Refused) -> RequestRefusedError:
    return RequestRefusedError(
        code="overloaded",
        detail=f"refused before any call: {action.reason.value}",
        status=503,
        verdict=action.verdict,
        retry_after_ms=action.retry_after_ms,
    )
