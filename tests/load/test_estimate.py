"""The estimate of an upstream's load for now, from reports that are always old."""

from __future__ import annotations

import math
import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.load import ServiceLoad, UpstreamLoad

SLOTS = 4


def build_load(service: ServiceLoad | None = None) -> UpstreamLoad:
    return UpstreamLoad(service=service or ServiceLoad(), now=Millis(0), slots=SLOTS)


def report(running: int, waiting: int = 0, work_factor: float = 1.0) -> ReportedLoad:
    return ReportedLoad(
        running=running, waiting=waiting, slots=SLOTS, work_factor=work_factor
    )


def test_own_calls_are_counted_once() -> None:
    """A report includes the instance's own calls, which it knows better."""
    load = build_load()
    load.record(report(3), now=Millis(0), own_calls=2)
    assert load.expect_calls(Millis(0), 5) == pytest.approx(6.0, abs=0.1)


def test_estimate_relaxes_to_the_mean_and_spreads() -> None:
    load = build_load()
    for step in range(200):
        load.record(report(step % 2 * 2), now=Millis(step * 300), own_calls=0)
    now = 199 * 300
    fresh = load.expect_calls(Millis(now), 0)
    old = load.expect_calls(Millis(now + 250), 0)
    assert fresh == pytest.approx(2.0, abs=0.1)
    assert old == pytest.approx(1.0, abs=0.4)
    generator = random.Random(1)
    draws = [load.draw(Millis(now), 0, generator)[0] for _ in range(100)]
    later = [load.draw(Millis(now + 250), 0, generator)[0] for _ in range(100)]
    assert max(draws) - min(draws) < max(later) - min(later)


@pytest.mark.parametrize(("memory_ms", "is_kept"), [(5_000.0, True), (2.0, False)])
def test_work_factor_counts_as_long_as_it_is_seen_to_last(
    memory_ms: float, is_kept: bool
) -> None:
    """A factor that changes many times a second foretells nothing."""
    generator = random.Random(5)
    load = build_load()
    deviation = now = 0.0
    for _ in range(400):
        now += 100.0
        kept = math.exp(-100.0 / memory_ms)
        deviation *= kept
        deviation += 0.5 * math.sqrt(1 - kept * kept) * generator.gauss(0, 1)
        factor = max(0.1, 2.0 + deviation)
        load.record(report(1, work_factor=factor), now=Millis(now), own_calls=0)
    load.record(report(1, work_factor=4.0), now=Millis(now + 100), own_calls=0)
    later = load.get_slowness(Millis(now + 200))
    assert (later > 3.0) is is_kept
    assert later < 4.0


def test_news_that_stop_are_forgotten() -> None:
    """An upstream that was full when it fell silent must be tried again."""
    load = build_load()
    for step in range(20):
        load.record(report(4, 4), now=Millis(step * 100), own_calls=0)
    assert load.expect_calls(Millis(2_000), 0) > 7.0
    assert load.expect_calls(Millis(60_000), 0) < 1.0


def test_upstream_that_hides_its_queue_is_judged_by_its_service() -> None:
    """It reports no load while it refuses calls, so that all calls would go there."""
    service = ServiceLoad()
    honest, liar = build_load(service), build_load(service)
    for step in range(40):
        now = Millis(step * 50)
        honest.record(report(3), now=now, own_calls=0)
        liar.record(report(0), now=now, own_calls=0, is_refusal=True)
    assert liar.trust < 0.1
    liar.record(report(0), now=Millis(2_000), own_calls=0)
    assert liar.expect_calls(Millis(2_000), 0) > 1.5
    assert service.statistics.contradictions == 40


def test_upstream_that_invents_a_queue_is_judged_by_its_service() -> None:
    service = ServiceLoad()
    honest, liar = build_load(service), build_load(service)
    for step in range(60):
        now = Millis(step * 50)
        honest.record(report(1), now=now, own_calls=0)
        is_quick = step % 2 == 0
        liar.record(report(4, 9), now=now, own_calls=0, is_contradicted=is_quick)
    assert liar.expect_calls(Millis(3_000), 0) < SLOTS


def test_trust_returns() -> None:
    load = build_load()
    load.record(report(0), now=Millis(0), own_calls=0, is_refusal=True)
    for step in range(50):
        load.record(report(1), now=Millis(step * 50), own_calls=0)
    assert load.trust == 1.0


def test_jumping_reports_lose_their_weight() -> None:
    load = build_load()
    generator = random.Random(3)
    for step in range(400):
        calls = generator.choice([0, 32])
        load.record(report(calls), now=Millis(step * 20), own_calls=0)
    assert 4.0 < load.expect_calls(Millis(399 * 20 + 20), 0) < 28.0


def test_absurd_report_does_not_rule_the_mean() -> None:
    load = build_load()
    load.record(report(100_000, 100_000, 100.0), now=Millis(0), own_calls=0)
    assert load.expect_calls(Millis(0), 0) <= 8 * SLOTS
    assert load.get_slowness(Millis(0)) <= 20.0
