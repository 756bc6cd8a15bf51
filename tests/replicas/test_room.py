"""The room of a service as an instance estimates it from its upstreams' reports."""

from __future__ import annotations

import pytest

from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.types import UpstreamId
from tests.replicas.test_replicas import SERVICE, build_entry, build_replicas

TYPICAL_MS = 20.0


def report(running: int, waiting: int = 0, work_factor: float | None = 1.0):
    return ReportedLoad(
        running=running, waiting=waiting, slots=4, work_factor=work_factor
    )


def test_upstreams_without_a_work_factor_have_no_known_room() -> None:
    """Deployments that report three figures or none are served as before."""
    replicas = build_replicas(build_entry(1), build_entry(2))
    replicas.replicas[UpstreamId("i-1")].record_load(report(4, 4, None), now=Millis(0))
    assert replicas.get_room(SERVICE, now=Millis(1), typical_ms=TYPICAL_MS) is None


def test_room_sums_own_calls_and_those_of_others() -> None:
    replicas = build_replicas(build_entry(1), build_entry(2), build_entry(3))
    first, second = (replicas.replicas[UpstreamId(f"i-{i}")] for i in (1, 2))
    first.record_load(report(4, 4), now=Millis(0))
    second.record_load(report(1), now=Millis(10))
    second.begin_call(1, now=Millis(10), typical_ms=TYPICAL_MS)
    room = replicas.get_room(SERVICE, now=Millis(11), typical_ms=TYPICAL_MS)
    assert (room.slots, room.age_ms, room.wait_ms) == (8, 1.0, 0.0)
    assert room.occupied == pytest.approx(9.0, abs=2.0)


def test_upstreams_that_take_no_calls_have_no_room() -> None:
    replicas = build_replicas(build_entry(1), build_entry(2))
    for replica in replicas.replicas.values():
        replica.record_load(report(4, 8), now=Millis(0))
    replicas.record_pause(replicas.replicas[UpstreamId("i-1")], 500.0, Millis(0))
    room = replicas.get_room(SERVICE, now=Millis(1), typical_ms=TYPICAL_MS)
    assert room.slots == 4
    assert room.wait_ms > TYPICAL_MS
    replicas.replicas[UpstreamId("i-2")].is_retired = True
    assert replicas.get_room(SERVICE, now=Millis(1), typical_ms=TYPICAL_MS) is None


def test_full_service_without_news_has_room_again() -> None:
    """No call, no report: room that is never believed to return is never used."""
    replicas = build_replicas(build_entry(1))
    replicas.replicas[UpstreamId("i-1")].record_load(report(4, 8), now=Millis(0))
    room = replicas.get_room(SERVICE, now=Millis(60_000), typical_ms=TYPICAL_MS)
    assert room.occupied < 1.0
    assert room.wait_ms == 0.0


def test_upstream_that_was_never_called_counts_as_room() -> None:
    """After a start or a repartition, one full upstream of three proves no shortage."""
    replicas = build_replicas(build_entry(1), build_entry(2), build_entry(3))
    replicas.replicas[UpstreamId("i-1")].record_load(report(4, 8), now=Millis(0))
    room = replicas.get_room(SERVICE, now=Millis(1), typical_ms=TYPICAL_MS)
    assert room.wait_ms == 0.0
