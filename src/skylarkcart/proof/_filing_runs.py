"""Randomised and exhaustive runs of the filing logic, checked against a ledger.

A filing passes two hops, caller to instance and instance to upstream, and each hop may
fail at any point. The caller repeats a filing only when it knows or was told that the
filing did not run, so the ledger shows each false "not run" as a duplicate.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence

from skylarkcart import invariants
from skylarkcart.clock import Millis
from skylarkcart.filings import (
    AttemptFailed,
    AttemptRefused,
    AttemptSending,
    FilingCallerDisconnected,
    FilingDeadlineReached,
    FilingExecution,
    FilingResult,
    StartAttempt,
)
from skylarkcart.proof._filing_model import (
    ANSWER_DELIVERED,
    CALLER_FAULTS,
    REQUEST_NOT_DELIVERED,
    REQUEST_NOT_SENT,
    UPSTREAMS,
    Exchange,
    FaultPoint,
    Interruption,
    Ledger,
    RandomUpstreamChooser,
)
from skylarkcart.proof._registry import Run, RunReport
from skylarkcart.types import RequestId, UpstreamId
from skylarkcart.verdict import RunVerdict

DEADLINE = Millis(1_000)
MAX_CALLER_ATTEMPTS = 4
DOCUMENTS_PER_STEP = 50


def file_once(
    *,
    rng: random.Random,
    ledger: Ledger,
    document: str,
    number: int,
    faults: Sequence[FaultPoint],
    interruption: Interruption | None = None,
    key: str = "",
) -> FilingResult:
    """Lets an instance handle one request for a document."""
    request_id = RequestId(f"{document}/{number}")
    execution = FilingExecution(
        request_id=request_id,
        candidates=UPSTREAMS,
        chooser=RandomUpstreamChooser(rng),
        deadline=DEADLINE,
        idempotency_key=key,
    )
    exchange = Exchange(
        execution=execution,
        request_id=request_id,
        document=document,
        ledger=ledger,
        faults=faults,
        interruption=interruption,
    )
    return exchange.run()


def derive_caller_verdict(point: FaultPoint, result: FilingResult | None) -> RunVerdict:
    """Returns what the caller knows about the filing after a call to an instance."""
    if point in REQUEST_NOT_SENT:
        return RunVerdict.NOT_RUN
    if point is FaultPoint.REFUSED_BEFORE_RUNNING:
        return RunVerdict.NOT_RUN
    if point in ANSWER_DELIVERED and result is not None:
        return result.verdict
    return RunVerdict.MAY_HAVE_RUN


def repeat_while_not_run(
    *,
    rng: random.Random,
    ledger: Ledger,
    document: str,
    caller_faults: Sequence[FaultPoint],
    upstream_faults: Sequence[FaultPoint],
    interruption: Interruption | None = None,
) -> RunVerdict:
    """Repeats a document until it ran or may have run, then checks the ledger."""
    verdict = RunVerdict.NOT_RUN
    for attempt_number, point in enumerate(caller_faults):
        result = None
        is_refused = point is FaultPoint.REFUSED_BEFORE_RUNNING
        if point not in REQUEST_NOT_DELIVERED and not is_refused:
            result = file_once(
                rng=rng,
                ledger=ledger,
                document=document,
                number=attempt_number,
                faults=upstream_faults,
                interruption=interruption,
            )
        verdict = derive_caller_verdict(point, result)
        if not verdict.permits_retry:
            break
    ledger.check_document(document)
    return verdict


def run_all_fault_combinations(seed: int) -> Ledger:
    """Combines every fault on the caller's hop with every pair on the upstream hop.

    The first upstream fault applies to the first attempt, the second to all later ones.
    The caller's second try has no fault on its own hop, so that a false "not run" makes
    the document run twice.
    """
    rng = random.Random(seed)
    ledger = Ledger()
    combinations = itertools.product(CALLER_FAULTS, FaultPoint, FaultPoint)
    for caller, first, second in combinations:
        repeat_while_not_run(
            rng=rng,
            ledger=ledger,
            document=f"{caller.value}+{first.value}+{second.value}",
            caller_faults=(caller, FaultPoint.NONE),
            upstream_faults=(first, second),
        )
        ledger.counts["documents"] += 1
    return ledger


def run_random_faults(seed: int, rounds: int) -> Ledger:
    """Inserts random faults on both hops, deadlines and callers that disconnect."""
    rng = random.Random(seed)
    ledger = Ledger()
    events = (FilingDeadlineReached(), FilingCallerDisconnected())
    for number in range(rounds):
        interruption = None
        if rng.random() < 0.5:
            interruption = Interruption(
                before_step=rng.randrange(4), event=rng.choice(events)
            )
        repeat_while_not_run(
            rng=rng,
            ledger=ledger,
            document=f"document {number}",
            caller_faults=rng.choices(CALLER_FAULTS, k=MAX_CALLER_ATTEMPTS),
            upstream_faults=rng.choices(tuple(FaultPoint), k=3),
            interruption=interruption,
        )
        ledger.counts["documents"] += 1
    return ledger


class DeduplicatingUpstreams:
    """Upstreams of which each runs an idempotency key at most once."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._seen_keys: set[tuple[UpstreamId, str]] = set()

    def run(self, upstream: UpstreamId, key: str) -> None:
        if (upstream, key) in self._seen_keys:
            return
        self._seen_keys.add((upstream, key))
        self._ledger.record_run(RequestId(key), key)


def run_keyed_repeats(seed: int, rounds: int) -> Ledger:
    """Repeats filings with an idempotency key, whatever the verdict.

    Each repeat goes through another instance, and upstreams refuse some attempts. While
    the list of upstreams stays the same, a key must run on one upstream only.
    """
    rng = random.Random(seed)
    ledger = Ledger()
    upstreams = DeduplicatingUpstreams(ledger)
    for number in range(rounds):
        key = f"key {number}"
        for repeat in range(3):
            execution = FilingExecution(
                request_id=RequestId(f"{key}/{repeat}"),
                candidates=rng.sample(UPSTREAMS, k=len(UPSTREAMS)),
                chooser=RandomUpstreamChooser(rng),
                deadline=DEADLINE,
                idempotency_key=key,
            )
            _send_keyed_filing(execution, upstreams, key, rng)
        ledger.check_document(key)
        ledger.counts["keys"] += 1
    return ledger


def _send_keyed_filing(
    execution: FilingExecution,
    upstreams: DeduplicatingUpstreams,
    key: str,
    rng: random.Random,
) -> None:
    actions = execution.start(Millis(0))
    while starts := [action for action in actions if isinstance(action, StartAttempt)]:
        attempt = starts[0].attempt
        execution.handle(AttemptSending(attempt=attempt), Millis(1))
        if rng.random() < 0.4:
            refused = AttemptRefused(attempt=attempt, reason="shedding")
            actions = execution.handle(refused, Millis(2))
            continue
        upstreams.run(starts[0].upstream, key)
        lost = AttemptFailed(attempt=attempt, reason="connection_lost")
        actions = execution.handle(lost, Millis(2))


def _build_run(name: str, execute: Callable[[int, int], Ledger]) -> Run:
    def execute_run(seed: int, steps: int) -> RunReport:
        violations_before = sum(invariants.get_violation_counts().values())
        ledger = execute(seed, steps * DOCUMENTS_PER_STEP)
        violations_after = sum(invariants.get_violation_counts().values())
        counts = " ".join(
            f"{name}={count}" for name, count in sorted(ledger.counts.items())
        )
        return RunReport(
            lines=(counts,), violations=violations_after - violations_before
        )

    return Run(name=name, execute=execute_run)


RUNS = (
    _build_run(
        "filing fault pairs", lambda seed, rounds: run_all_fault_combinations(seed)
    ),
    _build_run("filing random faults", run_random_faults),
    _build_run("filing keyed repeats", run_keyed_repeats),
)
