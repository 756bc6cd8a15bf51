"""Deliberate faults in the filing and lifecycle logic, each of which must be caught.

A fault is inserted by patching the classes under test. It is caught if an invariant
fails in the run chosen for it, which passes without the fault.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from unittest import mock

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.filings import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRefused,
    AttemptSending,
    FilingAction,
    FilingDeadlineReached,
    FilingEvent,
    FilingExecution,
    _execution as execution_module,
    rank_upstreams,
)
from skylarkcart.lifecycle import Lifecycle
from skylarkcart.proof import _filing_model
from skylarkcart.proof._filing_model import FilingRan, Step
from skylarkcart.proof._filing_runs import (
    run_all_fault_combinations,
    run_keyed_repeats,
    run_random_faults,
)
from skylarkcart.proof._registry import Fault, violates_invariant
from skylarkcart.types import RequestId, UpstreamId

ROUNDS_PER_CHECK = 400

Patch = contextlib.AbstractContextManager[object]
Handler = Callable[[FilingExecution, FilingEvent, Millis], list[FilingAction]]


def _build_handler_patch(
    wrap: Callable[[Handler], Handler],
) -> Callable[[], Patch]:
    def insert() -> Patch:
        wrapped = wrap(FilingExecution.handle)
        return mock.patch.object(FilingExecution, "handle", wrapped)

    return insert


def _retry_after_bytes_sent(original: Handler) -> Handler:
    def handle(
        self: FilingExecution, event: FilingEvent, now: Millis
    ) -> list[FilingAction]:
        if isinstance(event, AttemptFailed):
            self._is_sent = self._may_have_run = False
        return original(self, event, now)

    return handle


def _report_timeout_as_not_run(original: Handler) -> Handler:
    def handle(
        self: FilingExecution, event: FilingEvent, now: Millis
    ) -> list[FilingAction]:
        if isinstance(event, FilingDeadlineReached):
            self._is_sent = self._may_have_run = False
        return original(self, event, now)

    return handle


def _accept_receipt_of_other_request(original: Handler) -> Handler:
    def handle(
        self: FilingExecution, event: FilingEvent, now: Millis
    ) -> list[FilingAction]:
        if isinstance(event, AttemptAnswered):
            event = msgspec.structs.replace(event, request_id=self._request_id)
        return original(self, event, now)

    return handle


def _accept_refusal_of_other_request(original: Handler) -> Handler:
    def handle(
        self: FilingExecution, event: FilingEvent, now: Millis
    ) -> list[FilingAction]:
        if isinstance(event, AttemptRefused):
            event = msgspec.structs.replace(event, request_id=None)
        return original(self, event, now)

    return handle


def _drop_sending_event(original: Handler) -> Handler:
    def handle(
        self: FilingExecution, event: FilingEvent, now: Millis
    ) -> list[FilingAction]:
        if isinstance(event, AttemptSending):
            return []
        return original(self, event, now)

    return handle


def _treat_failure_as_refusal(original: Handler) -> Handler:
    def handle(
        self: FilingExecution, event: FilingEvent, now: Millis
    ) -> list[FilingAction]:
        if isinstance(event, AttemptFailed) and self._is_sent:
            event = AttemptRefused(attempt=event.attempt, reason=event.reason)
        return original(self, event, now)

    return handle


def _hedge_after_sending(original: Handler) -> Handler:
    def handle(
        self: FilingExecution, event: FilingEvent, now: Millis
    ) -> list[FilingAction]:
        actions = original(self, event, now)
        if isinstance(event, AttemptSending) and self._attempt == 1:
            self._may_have_run = False
            return self._start_attempt("hedge", now)
        return actions

    return handle


def _insert_http_client_retry() -> Patch:
    original = _filing_model.build_script

    def build_script(
        point: _filing_model.FaultPoint, request_id: RequestId, attempt: int
    ) -> tuple[Step, ...]:
        script = original(point, request_id, attempt)
        is_connection_lost = point is _filing_model.FaultPoint.AFTER_BODY
        return (*script[:-1], FilingRan(), script[-1]) if is_connection_lost else script

    return mock.patch.object(_filing_model, "build_script", build_script)


def _insert_keyed_failover() -> Patch:
    # The execution keeps only the first upstream by slicing the ranking; a ranking that
    # ignores slices keeps the others, too.
    class UnslicedRanking(tuple[UpstreamId, ...]):
        def __getitem__(self, index: object) -> object:
            return self if isinstance(index, slice) else super().__getitem__(index)

    def rank(key: str, upstreams: tuple[UpstreamId, ...]) -> UnslicedRanking:
        return UnslicedRanking(rank_upstreams(key, upstreams))

    return mock.patch.object(execution_module, "rank_upstreams", rank)


def _insert_unranked_upstreams() -> Patch:
    return mock.patch.object(
        execution_module, "rank_upstreams", lambda key, upstreams: tuple(upstreams)
    )


def run_shutdown(seed: int, rounds: int) -> None:
    """Drains instances while requests arrive, and stops each as soon as it may stop."""
    rng = random.Random(seed)
    for _ in range(rounds):
        lifecycle = Lifecycle(linger_ms=100, quiet_ms=30)
        lifecycle.mark_ready()
        now, request_ends = Millis(0), []
        drain_at = rng.uniform(0, 50)
        while True:
            now = Millis(now + rng.expovariate(1 / 4))
            for _ in [end for end in request_ends if end <= now]:
                lifecycle.end_request()
            request_ends = [end for end in request_ends if end > now]
            if now >= drain_at:
                lifecycle.begin_drain(now)
            # Callers react to the failed readiness within 60 ms of the drain.
            if now < drain_at + 60 and rng.random() < 0.7:
                lifecycle.begin_request(now)
                request_ends.append(now + rng.expovariate(1 / 20))
            if lifecycle.may_stop(now):
                break
        _stop_lifecycle(lifecycle, now)
        may_request_arrive = now < drain_at + 60
        if may_request_arrive:
            lifecycle.begin_request(now)


def _stop_lifecycle(lifecycle: Lifecycle, now: Millis) -> None:
    lifecycle.stop_listening(now)
    lifecycle.stop()


def _may_stop_immediately(self: Lifecycle, now: Millis) -> bool:
    return self._draining_since is not None


def _may_stop_with_running_requests(self: Lifecycle, now: Millis) -> bool:
    since = self._draining_since
    return since is not None and now - since >= self._linger_ms


def _patch_may_stop(may_stop: Callable[[Lifecycle, Millis], bool]) -> Patch:
    return mock.patch.object(Lifecycle, "may_stop", may_stop)


def _is_detected_by_fault_pairs(seed: int, steps: int) -> bool:
    return violates_invariant(lambda: run_all_fault_combinations(seed))


def _is_detected_by_random_faults(seed: int, steps: int) -> bool:
    return violates_invariant(lambda: run_random_faults(seed, ROUNDS_PER_CHECK))


def _is_detected_by_keyed_repeats(seed: int, steps: int) -> bool:
    return violates_invariant(lambda: run_keyed_repeats(seed, ROUNDS_PER_CHECK))


def _is_detected_by_shutdown(seed: int, steps: int) -> bool:
    return violates_invariant(lambda: run_shutdown(seed, ROUNDS_PER_CHECK))


def _build_handler_fault(name: str, wrap: Callable[[Handler], Handler]) -> Fault:
    return Fault(
        name=f"filing {name}",
        insert=_build_handler_patch(wrap),
        is_detected=_is_detected_by_fault_pairs,
    )


FAULTS = (
    _build_handler_fault("retried after bytes were sent", _retry_after_bytes_sent),
    _build_handler_fault("timeout reported as not run", _report_timeout_as_not_run),
    _build_handler_fault(
        "receipt of another request accepted", _accept_receipt_of_other_request
    ),
    _build_handler_fault(
        "refusal of another request accepted", _accept_refusal_of_other_request
    ),
    _build_handler_fault("sending not reported", _drop_sending_event),
    _build_handler_fault(
        "failure after running taken as refusal", _treat_failure_as_refusal
    ),
    _build_handler_fault("hedged", _hedge_after_sending),
    Fault(
        name="filing sent again by the library",
        insert=_insert_http_client_retry,
        is_detected=_is_detected_by_random_faults,
    ),
    Fault(
        name="keyed filing sent to a second upstream",
        insert=_insert_keyed_failover,
        is_detected=_is_detected_by_keyed_repeats,
    ),
    Fault(
        name="keyed filing not ranked",
        insert=_insert_unranked_upstreams,
        is_detected=_is_detected_by_keyed_repeats,
    ),
    Fault(
        name="drain stops listening at once",
        insert=lambda: _patch_may_stop(_may_stop_immediately),
        is_detected=_is_detected_by_shutdown,
    ),
    Fault(
        name="drain stops with requests running",
        insert=lambda: _patch_may_stop(_may_stop_with_running_requests),
        is_detected=_is_detected_by_shutdown,
    ),
)
