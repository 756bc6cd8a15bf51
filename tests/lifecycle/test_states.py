"""Guards against connections and requests lost in a graceful shutdown."""

from __future__ import annotations

import pytest

from skylarkcart.clock import Millis
from skylarkcart.invariants import InvariantError, reset_violations
from skylarkcart.lifecycle import Lifecycle, LifecycleState


def build_ready_lifecycle() -> Lifecycle:
    lifecycle = Lifecycle(linger_ms=100, quiet_ms=30)
    lifecycle.mark_ready()
    return lifecycle


def test_readiness_depends_on_the_zone_and_the_drain():
    lifecycle = build_ready_lifecycle()
    lifecycle.observe_zone(is_open=False)
    assert not lifecycle.is_ready and lifecycle.closes_connections
    assert not lifecycle.may_stop(Millis(1e6))
    lifecycle.observe_zone(is_open=True)
    assert lifecycle.is_ready and not lifecycle.closes_connections
    lifecycle.begin_drain(Millis(0))
    assert not lifecycle.is_ready and lifecycle.closes_connections


def test_instance_that_drains_before_it_is_ready_never_becomes_ready():
    lifecycle = Lifecycle(linger_ms=100, quiet_ms=30)
    lifecycle.begin_drain(Millis(0))
    lifecycle.mark_ready()
    assert lifecycle.state is LifecycleState.DRAINING


def test_listening_stops_only_after_linger_quiet_and_the_last_response():
    lifecycle = build_ready_lifecycle()
    lifecycle.begin_drain(Millis(0))
    assert not lifecycle.may_stop(Millis(99))
    lifecycle.begin_request(Millis(99))
    assert not lifecycle.may_stop(Millis(1_000))
    lifecycle.end_request()
    assert lifecycle.may_stop(Millis(129))
    lifecycle.begin_request(Millis(120))
    lifecycle.end_request()
    assert not lifecycle.may_stop(Millis(149))
    assert lifecycle.may_stop(Millis(150))


@pytest.mark.parametrize("now", [50, 120])
def test_stopping_too_soon_violates_the_invariant(now):
    lifecycle = build_ready_lifecycle()
    lifecycle.begin_drain(Millis(0))
    lifecycle.begin_request(Millis(100))
    lifecycle.end_request()
    with pytest.raises(InvariantError, match="listening stops"):
        lifecycle.stop_listening(Millis(now))
    reset_violations()


def test_request_after_the_stop_violates_the_invariant():
    lifecycle = build_ready_lifecycle()
    lifecycle.begin_drain(Millis(0))
    lifecycle.stop()
    with pytest.raises(InvariantError, match="after the instance had stopped"):
        lifecycle.begin_request(Millis(1))
    reset_violations()


def test_listening_continues_until_the_load_balancer_sees_the_drain():
    """Guards against refused connections when the load balancer probes late."""
    lifecycle = Lifecycle(linger_ms=100, quiet_ms=10)
    lifecycle.mark_ready()
    lifecycle.record_probe()
    lifecycle.begin_drain(Millis(0))
    lifecycle.record_probe()
    assert not lifecycle.may_stop(Millis(500))
    lifecycle.record_probe()
    assert lifecycle.may_stop(Millis(500))


def test_instance_stops_although_the_load_balancer_has_stopped_probing():
    lifecycle = Lifecycle(linger_ms=100, quiet_ms=10)
    lifecycle.record_probe()
    lifecycle.begin_drain(Millis(0))
    assert not lifecycle.may_stop(Millis(999))
    assert lifecycle.may_stop(Millis(1_000))
