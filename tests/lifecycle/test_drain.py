"""Guards against requests that a draining process takes and can't finish."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from skylarkcart.clock import Millis
from skylarkcart.lifecycle import DrainSchedule

LINGER_MS = 2_600.0


def build_drain(grace_ms: float, started_at: float = 0.0) -> DrainSchedule:
    return DrainSchedule(
        started_at=Millis(started_at), grace_ms=grace_ms, linger_ms=LINGER_MS
    )


@pytest.mark.parametrize("grace_ms", [3_000.0, 6_000.0, 20_000.0])
def test_request_begins_only_while_it_can_be_finished(grace_ms):
    drain = build_drain(grace_ms)
    assert drain.may_begin(Millis(0), target_latency_ms=145)
    assert drain.may_begin(Millis(drain.ends_at - 290), target_latency_ms=145)
    assert not drain.may_begin(Millis(drain.ends_at - 289), target_latency_ms=145)
    assert drain.ends_at < grace_ms


def test_route_with_a_long_target_is_served_in_the_first_half():
    """The load balancer still routes callers to the instance just after the signal."""
    drain = build_drain(6_000.0)
    assert drain.may_begin(Millis(2_600), target_latency_ms=5_000)
    assert not drain.may_begin(Millis(2_700), target_latency_ms=5_000)


def test_idle_connections_close_after_the_linger_time_or_at_the_end():
    assert build_drain(6_000.0).closes_idle_from == LINGER_MS
    short = build_drain(3_000.0)
    assert short.closes_idle_from == short.ends_at == 2_300.0


@given(
    strategies.floats(0, 1e9),
    strategies.floats(100, 1e6),
    strategies.floats(0, 1e6),
    strategies.floats(0, 1e6),
)
def test_nothing_begins_after_the_end(started_at, grace_ms, target_ms, elapsed_ms):
    drain = build_drain(grace_ms, started_at)
    now = Millis(drain.ends_at + elapsed_ms + 1)
    assert drain.has_ended(now)
    assert not drain.may_begin(now, target_latency_ms=target_ms)
    assert drain.ends_at <= started_at + grace_ms
