"""Randomised runs of the fair queue with a ledger, and deliberate faults in it."""

from __future__ import annotations

import collections
import contextlib
import random
from collections.abc import Callable
from unittest import mock

from skylarkcart import invariants
from skylarkcart.clock import Millis
from skylarkcart.fairness import (
    Abandon,
    Admitted,
    CapacityPolicy,
    Complete,
    Enqueue,
    Expire,
    FairAction,
    FairnessPolicy,
    FairQueue,
    Outcome,
    Queued,
    Refused,
    _queue,
)
from skylarkcart.invariants import Invariant, check
from skylarkcart.proof._registry import Fault, Run, RunReport, violates_invariant
from skylarkcart.types import AccountId, RequestId
from skylarkcart.verdict import RunVerdict

ACCOUNTS = tuple(AccountId(f"a{number}") for number in range(6))
WEIGHTS = {account: float(1 + index % 3) for index, account in enumerate(ACCOUNTS)}
ADAPTIVE_CAPACITY = CapacityPolicy(initial=32, minimum=4, maximum=128)
MAX_QUEUED_PER_ACCOUNT = 24
EVENTS_PER_STEP = 200
BACKLOG_PER_ACCOUNT = 400
BACKLOG_COSTS = (1, 2, 8, 24)
# Bounds the difference in cost over weight between backlogged accounts. Start-time fair
# queueing keeps two of them within one request of each other, and requests in service
# may add as much again.
MAX_SERVICE_GAP = 4 * max(BACKLOG_COSTS)

Patch = contextlib.AbstractContextManager[object]


class QueueLedger:
    """Record of each request's state, independent of the queue's own accounting."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.waiting: dict[RequestId, Enqueue] = {}
        self.running: dict[RequestId, int] = {}
        self._started_ids: set[RequestId] = set()
        self._refused_ids: set[RequestId] = set()

    def apply(self, action: FairAction, now: Millis) -> None:
        """Records an action and checks it against the state of its request."""
        self.counts[type(action).__name__.lower()] += 1
        request_id = action.request_id
        if isinstance(action, Queued):
            return
        check(
            request_id in self.waiting,
            Invariant.TRUE_NOT_RUN,
            f"{type(action).__name__} of {request_id}, which is not waiting",
        )
        request = self.waiting.pop(request_id, None)
        if isinstance(action, Refused):
            self._check_refused(action)
        elif request is not None:
            self._check_admitted(request, now)

    def check_queue(self, queue: FairQueue) -> None:
        """Checks the queue's own counts against the ledger."""
        check(
            queue.queued == len(self.waiting),
            Invariant.ACCOUNT_ISOLATION,
            f"queue counts {queue.queued} waiting requests, ledger {len(self.waiting)}",
        )
        check(
            queue.in_flight == sum(self.running.values()),
            Invariant.ACCOUNT_ISOLATION,
            f"queue counts {queue.in_flight} shards in flight, ledger "
            f"{sum(self.running.values())}",
        )
        waiting_by_account = collections.Counter(
            request.account for request in self.waiting.values()
        )
        check(
            max(waiting_by_account.values(), default=0) <= MAX_QUEUED_PER_ACCOUNT,
            Invariant.ACCOUNT_ISOLATION,
            f"an account has more than {MAX_QUEUED_PER_ACCOUNT} requests waiting",
        )

    def _check_refused(self, action: Refused) -> None:
        check(
            action.request_id not in self._started_ids
            and action.verdict is RunVerdict.NOT_RUN,
            Invariant.TRUE_NOT_RUN,
            f"request {action.request_id} was refused after it had started",
        )
        self._refused_ids.add(action.request_id)

    def _check_admitted(self, request: Enqueue, now: Millis) -> None:
        check(
            now < request.deadline,
            Invariant.ACCOUNT_ISOLATION,
            f"request {request.request_id} started after its deadline",
        )
        self.running[request.request_id] = request.cost
        self._started_ids.add(request.request_id)


def run_random_events(seed: int, rounds: int) -> QueueLedger:
    """Sends random events, with load shedding, abandoned requests and late timers."""
    rng = random.Random(seed)
    queue = FairQueue(
        policy=FairnessPolicy(max_queued_per_account=MAX_QUEUED_PER_ACCOUNT),
        capacity=ADAPTIVE_CAPACITY,
        now=Millis(0),
    )
    queue.configure(weights=WEIGHTS, capacity=ADAPTIVE_CAPACITY)
    ledger = QueueLedger()
    now = Millis(0)
    for number in range(rounds):
        now = Millis(now + rng.expovariate(1.0))
        event = _choose_event(rng, ledger, number, now)
        for action in queue.handle(event, now):
            ledger.apply(action, now)
        ledger.check_queue(queue)
    ledger.counts["still_waiting"] = len(ledger.waiting)
    return ledger


def _choose_event(
    rng: random.Random, ledger: QueueLedger, number: int, now: Millis
) -> Enqueue | Complete | Abandon | Expire:
    draw = rng.random()
    if ledger.running and draw < 0.4:
        request_id = rng.choice(list(ledger.running))
        del ledger.running[request_id]
        outcome = rng.choices(tuple(Outcome), weights=(8, 1, 1))[0]
        return Complete(request_id=request_id, outcome=outcome)
    if ledger.waiting and draw < 0.45:
        request_id = rng.choice(list(ledger.waiting))
        del ledger.waiting[request_id]
        return Abandon(request_id=request_id)
    if draw < 0.5:
        return Expire()
    event = Enqueue(
        request_id=RequestId(str(number)),
        account=rng.choices(ACCOUNTS, weights=(20, 1, 1, 1, 1, 1))[0],
        cost=rng.choice((1, 2, 8, 40)),
        deadline=Millis(now + rng.uniform(1, 150)),
    )
    ledger.waiting[event.request_id] = event
    return event


def run_backlogged_shares(seed: int, rounds: int) -> QueueLedger:
    """Keeps every account backlogged and compares their service per weight."""
    rng = random.Random(seed)
    policy = FairnessPolicy(max_queued_per_account=BACKLOG_PER_ACCOUNT)
    capacity = CapacityPolicy(initial=32, minimum=32, maximum=32)
    queue = FairQueue(policy=policy, capacity=capacity, now=Millis(0))
    queue.configure(weights=WEIGHTS, capacity=capacity)
    ledger = QueueLedger()
    served_cost: collections.Counter[AccountId] = collections.Counter()
    requests: dict[RequestId, Enqueue] = {}
    running: list[RequestId] = []

    def deliver(event: Enqueue | Complete) -> None:
        for action in queue.handle(event, Millis(0)):
            if isinstance(action, Admitted):
                request = requests[action.request_id]
                served_cost[request.account] += request.cost
                running.append(action.request_id)

    arrival_order = [
        account for account in ACCOUNTS for _ in range(BACKLOG_PER_ACCOUNT)
    ]
    rng.shuffle(arrival_order)
    for number, account in enumerate(arrival_order):
        event = Enqueue(
            request_id=RequestId(str(number)),
            account=account,
            cost=rng.choice(BACKLOG_COSTS),
            deadline=Millis(1e9),
        )
        requests[event.request_id] = event
        deliver(event)
    initial_cost = dict(served_cost)
    while running and queue.queued > len(ACCOUNTS) * BACKLOG_PER_ACCOUNT // 2:
        deliver(Complete(request_id=running.pop(rng.randrange(len(running)))))
        _check_service_gap(served_cost, initial_cost)
        ledger.counts["completed"] += 1
    return ledger


def _check_service_gap(
    served_cost: collections.Counter[AccountId], initial_cost: dict[AccountId, int]
) -> None:
    service_per_weight = [
        (served_cost[account] - initial_cost.get(account, 0)) / WEIGHTS[account]
        for account in ACCOUNTS
    ]
    gap = max(service_per_weight) - min(service_per_weight)
    check(
        gap <= MAX_SERVICE_GAP,
        Invariant.ACCOUNT_ISOLATION,
        f"service per weight differs by {gap:.0f} shards, "
        f"expected at most {MAX_SERVICE_GAP}",
    )


def _build_run(name: str, execute: Callable[[int, int], QueueLedger]) -> Run:
    def execute_run(seed: int, steps: int) -> RunReport:
        violations_before = sum(invariants.get_violation_counts().values())
        ledger = execute(seed, steps * EVENTS_PER_STEP)
        violations_after = sum(invariants.get_violation_counts().values())
        counts = " ".join(
            f"{name}={count}" for name, count in sorted(ledger.counts.items())
        )
        return RunReport(
            lines=(counts,), violations=violations_after - violations_before
        )

    return Run(name=name, execute=execute_run)


RUNS = (
    _build_run("fairness random events", run_random_events),
    _build_run("fairness backlogged shares", run_backlogged_shares),
)


def _refuse_after_admission(
    self: FairQueue,
    queue: _queue._AccountQueue,
    waiting: _queue._QueuedRequest,
    now: Millis,
) -> FairAction:
    admitted = _admit(self, queue, waiting, now)
    if self._in_flight > 0.9 * self.capacity:
        reason = _queue.RefusalReason.QUEUE_FULL
        return self._refuse(admitted.request_id, reason, 0.0)
    return admitted


def _charge_per_request(
    self: FairQueue,
    queue: _queue._AccountQueue,
    waiting: _queue._QueuedRequest,
    now: Millis,
) -> FairAction:
    start_before = queue.virtual_start
    admitted = _admit(self, queue, waiting, now)
    queue.virtual_start = start_before + 1 / self._find_weight(queue.account)
    return admitted


def _ignore_weight(self: FairQueue, account: AccountId) -> float:
    return 1.0


def _never_too_late(self: FairQueue, waiting: object, now: Millis) -> bool:
    return False


def _drop_none(self: FairQueue, now: Millis) -> list[FairAction]:
    return []


def _insert_capacity_leak() -> Patch:
    original = FairQueue._drop_expired

    def drop_expired(self: FairQueue, now: Millis) -> list[FairAction]:
        actions = original(self, now)
        self._in_flight += len(actions)
        return actions

    return mock.patch.object(FairQueue, "_drop_expired", drop_expired)


def _insert_late_admission() -> Patch:
    stack = contextlib.ExitStack()
    for name, change in (
        ("_is_too_late", _never_too_late),
        ("_drop_expired", _drop_none),
    ):
        stack.enter_context(mock.patch.object(FairQueue, name, change))
    return stack


_admit = FairQueue._admit


def _build_queue_patch(name: str, change: object) -> Callable[[], Patch]:
    return lambda: mock.patch.object(FairQueue, name, change)


def _is_detected_by_random_events(seed: int, steps: int) -> bool:
    return violates_invariant(lambda: run_random_events(seed, 4_000))


def _is_detected_by_backlogged_shares(seed: int, steps: int) -> bool:
    return violates_invariant(lambda: run_backlogged_shares(seed, 0))


FAULTS = (
    Fault(
        name="queue refuses after starting",
        insert=_build_queue_patch("_admit", _refuse_after_admission),
        is_detected=_is_detected_by_random_events,
    ),
    Fault(
        name="queue starts requests after their deadline",
        insert=_insert_late_admission,
        is_detected=_is_detected_by_random_events,
    ),
    Fault(
        name="queue loses capacity with expired requests",
        insert=_insert_capacity_leak,
        is_detected=_is_detected_by_random_events,
    ),
    Fault(
        name="queue charges requests instead of shards",
        insert=_build_queue_patch("_admit", _charge_per_request),
        is_detected=_is_detected_by_backlogged_shares,
    ),
    Fault(
        name="queue forgets weights",
        insert=_build_queue_patch("_find_weight", _ignore_weight),
        is_detected=_is_detected_by_backlogged_shares,
    ),
)
