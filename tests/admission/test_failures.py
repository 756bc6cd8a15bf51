"""Failures of the news that admission relies on, and of the instance itself."""

from __future__ import annotations

import math

import pytest

from skylarkcart.admission import ADMITTED, AdmissionKind, AdmissionReason
from skylarkcart.clock import Millis
from tests.admission.model import (
    DESK,
    OVERNIGHT,
    SHARDS,
    URGENT,
    FakeRoom,
    Scene,
    build_configuration,
    build_route,
    build_search,
)

REFUSE = AdmissionKind.REFUSE


def build_short_scene(wait_ms: float = 400.0) -> Scene:
    scene = Scene()
    scene.ask_urgent()
    scene.report(DESK, wait_ms=wait_ms)
    return scene


def test_news_that_stops_refuses_nothing_after_a_second() -> None:
    scene = build_short_scene()
    assert scene.ask_urgent().kind is REFUSE
    scene.now = Millis(scene.now + 1_001)
    assert scene.ask_urgent() is ADMITTED and scene.ask_overnight() is ADMITTED


def test_old_news_is_believed_less_than_fresh_news() -> None:
    """An estimate for now that relies on old reports is no reason to refuse."""
    scene = build_short_scene()
    scene.rooms[DESK].age_ms = 950.0
    assert scene.ask_urgent().kind is AdmissionKind.ADMIT


def test_one_full_report_is_too_thin_to_refuse() -> None:
    scene = Scene()
    scene.report(DESK, wait_ms=900, count=1)
    assert scene.ask_urgent() is ADMITTED


def test_upstreams_that_report_full_but_answer_promptly_are_not_believed() -> None:
    scene = Scene()
    scene.report(DESK, wait_ms=100)
    assert scene.ask_urgent().kind is REFUSE
    for _ in range(2):
        scene.report(DESK, wait_ms=100)
        assert scene.ask_overnight(priority=0).kind is AdmissionKind.ADMIT
        started_at, scene.now = scene.now, Millis(scene.now + 101)
        scene.admission.record_answer(
            DESK, started_at=started_at, work_ms=100, now=scene.now
        )
    scene.report(DESK, wait_ms=100)
    assert scene.ask_urgent() is ADMITTED


def test_waits_longer_than_estimated_are_learned_from_answers() -> None:
    """Many instances find the upstream taken that each of them counted on."""
    scene = Scene()
    for _ in range(40):
        scene.report(DESK, wait_ms=30)
        assert scene.ask_overnight(priority=0).kind is AdmissionKind.ADMIT
        started_at, scene.now = scene.now, Millis(scene.now + 200)
        scene.admission.record_answer(
            DESK, started_at=started_at, work_ms=100, now=scene.now
        )
    scene.report(DESK, wait_ms=30)
    assert scene.ask_urgent().kind is REFUSE


def test_trust_returns_with_reports_that_are_right() -> None:
    scene = build_short_scene(wait_ms=100.0)
    for elapsed_ms in (10.0,) * 2 + (110.0,) * 8:
        scene.report(DESK, wait_ms=100)
        scene.ask_overnight(priority=0)
        started_at, scene.now = scene.now, Millis(scene.now + elapsed_ms)
        scene.admission.record_answer(
            DESK, started_at=started_at, work_ms=10, now=scene.now
        )
    scene.report(DESK, wait_ms=100)
    assert scene.admission.get_least_trust() > 0.5
    scene.ask_urgent()
    kinds = [scene.ask_overnight(caller=f"{n}").kind for n in range(4)]
    assert REFUSE in kinds


@pytest.mark.parametrize(
    ("wait_ms", "age_ms"),
    [(math.nan, 0.0), (math.inf, 0.0), (-5.0, 0.0), (400.0, math.nan), (400.0, -1.0)],
)
def test_figures_that_jump_out_of_range_refuse_nothing(
    wait_ms: float, age_ms: float
) -> None:
    scene = build_short_scene()
    scene.rooms[DESK] = FakeRoom(wait_ms=wait_ms, age_ms=age_ms)
    assert scene.ask_urgent() is ADMITTED


def test_all_upstreams_lost_is_no_shortage_of_room() -> None:
    """Without a room there is no estimate; the check of reachable upstreams decides."""
    scene = build_short_scene()
    scene.rooms.clear()
    assert scene.ask_urgent() is ADMITTED


def test_restart_in_the_middle_starts_open_and_keeps_no_slots() -> None:
    scene = build_short_scene(wait_ms=120.0)
    assert scene.ask_overnight(caller="a").kind is REFUSE
    scene.restart(URGENT, OVERNIGHT)
    assert scene.ask_overnight(caller="a", is_returning=True) is ADMITTED
    # The new process decides from its own evidence.
    scene.ask_urgent()
    scene.report(DESK, wait_ms=120)
    assert scene.ask_overnight(caller="b").kind is REFUSE


def test_late_event_loop_sends_callers_elsewhere_until_it_is_over() -> None:
    scene = Scene()
    scene.report(DESK, wait_ms=0)
    lateness = scene.admission.lateness
    lateness.record(90.0, scene.now)
    assert scene.ask_urgent() is ADMITTED
    scene.now = Millis(scene.now + 250)
    lateness.record(90.0, scene.now)
    decision = scene.ask_urgent()
    assert decision.reason is AdmissionReason.INSTANCE_LATE
    assert decision.retry_after_ms < 50
    # Requests that can wait longer are served, as those that were refused before.
    assert scene.ask_overnight() is ADMITTED
    assert scene.ask_urgent(is_returning=True) is ADMITTED
    scene.now = Millis(scene.now + 700)
    assert scene.ask_urgent() is ADMITTED


def test_change_of_the_configuration_ends_the_effect_at_once() -> None:
    """A version in which all priorities are equal lets everything through."""
    scene = build_short_scene()
    scene.admission.configure(
        build_configuration(build_route("a", 1), build_route("b", 1))
    )
    assert scene.ask_urgent() is ADMITTED


def test_repeating_callers_fill_no_memory() -> None:
    scene = build_short_scene(wait_ms=90.0)
    for number in range(6_000):
        scene.ask_overnight(caller=f"caller-{number}")
    callers = scene.admission._callers
    assert len(callers._slots._order) <= 4_096
    assert len(callers._caller_shares[2]._counts) <= 512


def test_shortage_of_an_earlier_burst_proves_nothing_later() -> None:
    """The latch outlived its news, so that one report much later kept retries back."""
    scene = build_short_scene(wait_ms=900.0)
    request = scene.build(target_ms=60, timeout_ms=300, work_ms=10)
    assert scene.ask_urgent().kind is REFUSE
    scene.now = Millis(scene.now + 3_600_000)
    scene.admission.record_report(DESK, is_full=True, now=scene.now)
    request = scene.build(target_ms=60, timeout_ms=300, work_ms=10)
    assert scene.admission.may_call_again(request, DESK, is_hedge=False, now=scene.now)
    assert scene.ask_urgent() is ADMITTED


def test_search_that_needs_no_short_shard_is_not_hopeless() -> None:
    scene = Scene(build_search("find", 0, 0.8), build_search("sweep", 1, 0.8))
    scene.report(*SHARDS[1:], wait_ms=0)
    fields = {"services": SHARDS, "needed": 29}
    scene.decide(scene.build(target_ms=60, timeout_ms=300, work_ms=10, **fields))
    scene.report(SHARDS[0], wait_ms=900)
    late = scene.build(target_ms=5, timeout_ms=15, work_ms=20, **fields)
    assert scene.decide(late).kind is AdmissionKind.ADMIT


def test_caller_without_time_left_is_never_told_to_return_at_once() -> None:
    scene = build_short_scene(wait_ms=900.0)
    decision = scene.decide(scene.build(target_ms=60, timeout_ms=-10, work_ms=10))
    assert decision.kind is REFUSE
    assert decision.retry_after_ms >= 10.0
