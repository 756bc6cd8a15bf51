"""Deadlines and the estimates that they are computed from."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.gateway._timing import (
    ElapsedTimeEstimator,
    RequestDeadlines,
    ResponseDelayEstimator,
)
from skylarkcart.published import Route

TARGET_MS = 100.0
MARGIN_MS = 4.0


def build_route() -> Route:
    return Route(
        name="search",
        host="h",
        prefix="/",
        is_idempotent=True,
        timeout_ms=1_000.0,
        target_latency_ms=TARGET_MS,
        max_attempts=2,
        priority=0,
        is_public=True,
    )


def compute_deadlines(
    estimator: ElapsedTimeEstimator, time_left_ms: float | None, *, is_new: bool = False
) -> RequestDeadlines:
    request = CallerRequest(
        method=b"GET",
        target=b"/",
        path="/",
        host="h",
        request_id=b"r",
        time_left_ms=time_left_ms,
        key=None,
        forwarded_headers=b"",
        body=b"",
    )
    return estimator.compute_deadlines(
        request,
        build_route(),
        arrived_at=Millis(0),
        margin_ms=MARGIN_MS,
        is_on_new_connection=is_new,
    )


def add_samples(estimator: ElapsedTimeEstimator, round_trip_ms: int) -> None:
    for _ in range(20):
        compute_deadlines(estimator, 1_200)
        compute_deadlines(estimator, 1_200)
        compute_deadlines(estimator, 1_200 - round_trip_ms, is_new=True)


def test_round_trip_is_learned_from_new_connections() -> None:
    """The round trip to the caller counts against the target latency."""
    near, far = ElapsedTimeEstimator(), ElapsedTimeEstimator()
    add_samples(near, 2)
    add_samples(far, 30)
    assert (
        compute_deadlines(near, 1_200).soft_deadline
        - compute_deadlines(far, 1_200).soft_deadline
        == 28
    )


def test_rounded_times_are_not_taken_for_round_trips() -> None:
    """Callers state whole milliseconds, so their times may differ by one."""
    estimator = ElapsedTimeEstimator()
    for time_left_ms in (1_200, 1_200, 1_200, 1_199, 1_199, 1_199):
        compute_deadlines(estimator, time_left_ms)
        compute_deadlines(estimator, time_left_ms, is_new=True)
    assert estimator.round_trip_ms == ElapsedTimeEstimator().round_trip_ms


def test_connect_time_is_subtracted_from_the_target() -> None:
    estimator = ElapsedTimeEstimator()
    add_samples(estimator, 7)
    on_new = compute_deadlines(estimator, 1_193, is_new=True)
    assert compute_deadlines(estimator, 1_200).soft_deadline - on_new.soft_deadline == 7
    assert not on_new.is_retry


def test_first_requests_on_new_connections_are_charged_a_round_trip() -> None:
    """Without requests on reused connections, there is no initial timeout yet."""
    estimator = ElapsedTimeEstimator()
    on_new = [compute_deadlines(estimator, 1_193, is_new=True) for _ in range(5)]
    assert all(
        compute_deadlines(ElapsedTimeEstimator(), 1_200).soft_deadline
        - request.soft_deadline
        == estimator.round_trip_ms
        and not request.is_retry
        for request in on_new
    )


def test_retry_is_detected() -> None:
    estimator = ElapsedTimeEstimator()
    add_samples(estimator, 7)
    assert compute_deadlines(estimator, 1_140, is_new=True).is_retry
    assert not compute_deadlines(estimator, 1_200).is_retry


def test_retry_is_detected_when_all_connections_are_new() -> None:
    estimator = ElapsedTimeEstimator()
    for _ in range(10):
        compute_deadlines(estimator, 1_193, is_new=True)
    assert compute_deadlines(estimator, 1_140, is_new=True).is_retry


def test_caller_with_a_longer_timeout_does_not_make_others_retries() -> None:
    """A few callers start with a longer timeout than most."""
    estimator = ElapsedTimeEstimator()
    add_samples(estimator, 7)
    compute_deadlines(estimator, 3_600)
    assert not compute_deadlines(estimator, 1_200).is_retry


def test_deadline_is_earlier_than_the_callers_deadline() -> None:
    estimator = ElapsedTimeEstimator()
    assert compute_deadlines(estimator, 500).hard_deadline < 500
    assert compute_deadlines(estimator, None).hard_deadline < 1_000


def test_instance_delays_are_subtracted_from_the_target() -> None:
    """On slow machines, a response started at its due time is sent too late."""
    quick, slow = (ResponseDelayEstimator(link_mbps=rate) for rate in (1_000.0, 10.0))
    for _ in range(40):
        quick.add_timer_delay(0.1)
        quick.add_response_delay(duration_ms=0.2, size=2_000)
        slow.add_timer_delay(2.0)
        slow.add_response_delay(duration_ms=1.5, size=2_000)
    extra_ms = slow.get_margin_ms() - quick.get_margin_ms()
    assert abs(extra_ms - (1.9 + 1.3 + 1.6)) < 0.1


def test_timer_that_fires_early_does_not_shorten_the_margin() -> None:
    delays = ResponseDelayEstimator(link_mbps=100.0)
    before_ms = delays.get_margin_ms()
    for _ in range(40):
        delays.add_timer_delay(-5.0)
    assert delays.get_margin_ms() >= before_ms - 1.0


def test_elapsed_time_is_estimated_from_few_requests() -> None:
    """In a large fleet, requests of a route reach an instance seconds apart."""
    estimator = ElapsedTimeEstimator()
    for time_left_ms in (3_600, 1_216, 1_216):
        compute_deadlines(estimator, time_left_ms)
    on_new = compute_deadlines(estimator, 1_206, is_new=True)
    assert (
        compute_deadlines(estimator, 1_216).soft_deadline - on_new.soft_deadline == 10
    )
    assert not compute_deadlines(estimator, 1_216).is_retry
