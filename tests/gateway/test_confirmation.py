"""Confirmation of the published state by peers while it changes all the time."""

from __future__ import annotations

import msgspec
import pytest

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.fleet import encode_report
from skylarkcart.gateway._peers import PeerLink
from tests.gateway.test_hostile_messages import FakeTransport, build_core, build_report


def receive_confirmation(*, own: int, stated: int, echo_ms: float, age_ms: float):
    core = build_core(ManualClock(start=Millis(5_000)))
    core.registry.revision = own
    core.registry.confirmed_at = None
    link = PeerLink(core=core, incarnation=1)
    link.connection_made(FakeTransport())
    report = msgspec.structs.replace(
        build_report(revision=stated), echo_ms=echo_ms, confirmed_age_ms=age_ms
    )
    link.datagram_received(encode_report(report), ("10.0.0.2", 1))
    return core.registry.confirmed_at


@pytest.mark.parametrize("stated", [7, 9, 10])
def test_peer_that_is_not_ahead_confirms_the_state(stated):
    """Frequent changes in a large fleet, of which each instance has another part.

    While 189 new upstreams register, hardly two instances have the same revision. If
    only equal ones confirmed each other, each instance would read the store itself.
    """
    confirmed_at = receive_confirmation(
        own=10, stated=stated, echo_ms=4_900, age_ms=300
    )
    assert confirmed_at == 4_600


def test_peer_that_is_ahead_confirms_nothing():
    """It may know of a key revocation that has not arrived here."""
    assert receive_confirmation(own=10, stated=11, echo_ms=4_900, age_ms=300) is None


def test_report_from_the_future_confirms_at_most_the_present():
    confirmed_at = receive_confirmation(own=10, stated=10, echo_ms=9_000, age_ms=0)
    assert confirmed_at == 5_000
