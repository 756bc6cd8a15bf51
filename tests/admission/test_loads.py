"""Decisions under heavy load; each test names the pattern that it answers."""

from __future__ import annotations

import pytest

from skylarkcart.admission import ADMITTED, AdmissionKind, AdmissionReason
from skylarkcart.clock import Millis
from skylarkcart.published import ServiceShare
from skylarkcart.types import AccountId, ServiceId
from tests.admission.model import (
    DESK,
    SHARDS,
    Scene,
    build_account,
    build_route,
    build_search,
)

ADMIT, HOLD, REFUSE = AdmissionKind.ADMIT, AdmissionKind.HOLD, AdmissionKind.REFUSE

SHARES = (ServiceShare(service=ServiceId("elsewhere"), weight=1.0),)

# Needed parts of searches over 36 shards.
NEEDED = 31


def build_search_scene() -> Scene:
    return Scene(build_search("quick", 0, 0.85), build_search("full", 1, 0.95))


def ask_quick(scene: Scene, **fields: object):
    values = {"services": SHARDS, "needed": NEEDED} | fields
    return scene.decide(scene.build(target_ms=60, timeout_ms=300, work_ms=8, **values))


def ask_full(scene: Scene, **fields: object):
    values = {"services": SHARDS, "needed": 35, "priority": 1} | fields
    return scene.decide(
        scene.build(target_ms=170, timeout_ms=800, work_ms=22, **values)
    )


def test_plenty_of_room_asks_for_no_estimate() -> None:
    scene = Scene()
    scene.report(DESK, wait_ms=0)
    assert scene.ask_urgent() is ADMITTED and scene.ask_overnight() is ADMITTED
    assert scene.asked_rooms == 0


def test_overnight_lookups_beside_urgent_ones_give_way() -> None:
    """At a wait that only the urgent ones can't take, the others come back later."""
    scene = Scene()
    scene.ask_urgent()
    scene.report(DESK, wait_ms=80)
    decision = scene.ask_overnight()
    assert (decision.kind, decision.reason) == (REFUSE, AdmissionReason.YIELDS)
    assert decision.urgent_priority == 0
    # The wait has fallen below what urgent ones tolerate when it comes back.
    assert 40 <= decision.retry_after_ms <= 80


def test_overnight_lookups_alone_are_served_late() -> None:
    """Without urgent requests, a late answer is worth more than a refusal."""
    scene = Scene()
    scene.report(DESK, wait_ms=1_500)
    assert scene.ask_overnight().kind is ADMIT


def test_burst_of_one_kind_is_thinned_by_degrees() -> None:
    """The part that gives way rises with the wait, so that the room doesn't swing."""
    refused = []
    for wait_ms in (30, 45, 60, 90):
        scene = Scene()
        scene.ask_urgent()
        scene.report(DESK, wait_ms=wait_ms)
        kinds = [scene.ask_overnight(caller=f"{n}").kind for n in range(20)]
        refused.append(kinds.count(REFUSE))
    assert refused[0] == 0 and refused[-1] == 20
    assert 0 < refused[1] < refused[2] < 20


def test_short_burst_holds_overnight_lookups_instead_of_refusing() -> None:
    scene = Scene()
    scene.ask_urgent()
    scene.report(DESK, wait_ms=80)
    decision = scene.ask_overnight(max_hold_ms=200.0)
    assert decision.kind is HOLD and 0 < decision.hold_ms <= 200
    scene.now = Millis(scene.now + decision.hold_ms)
    scene.report(DESK, wait_ms=10)
    assert scene.ask_overnight(was_held=True).kind is ADMIT


def test_urgent_request_is_refused_at_once_while_it_can_come_back() -> None:
    scene = Scene()
    scene.report(DESK, wait_ms=120)
    decision = scene.ask_urgent(max_hold_ms=12.0)
    assert (decision.kind, decision.reason) == (REFUSE, AdmissionReason.LATE)
    # Callers honour a Retry-After up to a third of the time that they have left.
    assert 70 <= decision.retry_after_ms <= 100


def test_urgent_request_that_returns_at_its_slot_is_rather_served_late() -> None:
    scene = Scene()
    scene.report(DESK, wait_ms=120)
    slot = scene.ask_urgent().retry_after_ms
    scene.now = Millis(scene.now + slot)
    scene.report(DESK, wait_ms=120)
    assert scene.ask_urgent(is_returning=True).kind is ADMIT


def test_room_is_promised_only_once() -> None:
    """Callers for whom no slot is left in their time compete again when they return."""
    scene = Scene()
    scene.share = 0.01
    scene.report(DESK, wait_ms=120)
    waits = [scene.ask_urgent(caller=f"{n}").retry_after_ms for n in range(3)]
    assert waits[0] < waits[1] == waits[2] <= 100
    scene.now = Millis(scene.now + waits[2])
    scene.report(DESK, wait_ms=120)
    kinds = [scene.ask_urgent(caller=f"{n}", is_returning=True).kind for n in range(3)]
    assert kinds == [ADMIT, REFUSE, REFUSE]


@pytest.mark.parametrize("is_returning", [False, True])
def test_hopeless_request_is_refused_at_once(is_returning: bool) -> None:
    scene = Scene()
    scene.report(DESK, wait_ms=400)
    decision = scene.ask_urgent(is_returning=is_returning)
    assert (decision.kind, decision.reason) == (REFUSE, AdmissionReason.HOPELESS)


def test_clients_that_repeat_at_once_push_nobody_aside() -> None:
    """One caller with nine of ten requests bears the refusals."""
    scene = Scene()
    scene.ask_urgent()
    scene.report(DESK, wait_ms=50)
    refused = {"hasty": 0, "calm": 0}
    asked = {"hasty": 0, "calm": 0}
    for number in range(200):
        caller = "calm" if number % 10 == 0 else "hasty"
        # Those that repeat at once show as returning; their slot is not due yet.
        is_returning = caller == "hasty" and refused["hasty"] > 0
        decision = scene.ask_overnight(caller=caller, is_returning=is_returning)
        asked[caller] += 1
        refused[caller] += decision.kind is REFUSE
        scene.now = Millis(scene.now + 2)
        scene.report(DESK, wait_ms=50, count=1)
    assert refused["calm"] / asked["calm"] < 0.25
    assert refused["hasty"] / asked["hasty"] > 0.5


def test_account_with_most_requests_gives_way_most() -> None:
    scene = Scene(accounts=(build_account("large"), build_account("small")))
    scene.ask_urgent(account=AccountId("small"))
    scene.report(DESK, wait_ms=48)
    refused = {"large": 0, "small": 0}
    for number in range(100):
        account = "small" if number % 10 == 0 else "large"
        decision = scene.ask_overnight(
            account=AccountId(account), caller=f"{account}-{number % 5}"
        )
        refused[account] += decision.kind is REFUSE
    assert refused["small"] / 10 < refused["large"] / 90 / 2


def test_returning_callers_come_in_the_order_of_their_slots() -> None:
    scene = Scene()
    scene.share = 0.1
    scene.ask_urgent()
    scene.report(DESK, wait_ms=90)
    slots = [scene.ask_overnight(caller=f"{n}").retry_after_ms for n in range(4)]
    assert slots == sorted(set(slots))
    # The second one does not wait for its turn; it keeps its place, and gets no other.
    early = scene.ask_overnight(caller="1", is_returning=True)
    assert early.reason is AdmissionReason.BEFORE_SLOT
    assert early.retry_after_ms == pytest.approx(slots[1])
    for caller, slot in enumerate(slots):
        scene.now = Millis(10_000 + slot)
        scene.report(DESK, wait_ms=90)
        decision = scene.ask_overnight(caller=f"{caller}", is_returning=True)
        assert decision.kind is ADMIT


def test_all_upstreams_of_a_shard_full_leave_it_out() -> None:
    """One shard of 36 has no room; the others answer, and none waits for it."""
    scene = build_search_scene()
    scene.report(SHARDS[7], wait_ms=400)
    for decision in (ask_quick(scene), ask_full(scene)):
        assert decision.kind is ADMIT
        assert decision.left_out == {SHARDS[7]}


def test_search_that_is_late_anyway_leaves_out_only_hopeless_shards() -> None:
    """Parts that come late are still worth more to its caller than none."""
    scene = build_search_scene()
    scene.report(*SHARDS[:20], wait_ms=300)
    scene.report(SHARDS[0], wait_ms=900)
    decision = ask_full(scene)
    assert decision.kind is ADMIT and decision.left_out == {SHARDS[0]}


def test_search_that_cannot_reach_its_coverage_calls_no_shard() -> None:
    scene = build_search_scene()
    scene.report(*SHARDS[:6], wait_ms=900)
    decision = ask_quick(scene)
    assert (decision.kind, decision.reason) == (REFUSE, AdmissionReason.HOPELESS)
    # With one shard less it reaches its coverage.
    scene.rooms[SHARDS[0]].wait_ms = 0.0
    decision = ask_quick(scene)
    assert decision.kind is ADMIT and decision.left_out == set(SHARDS[1:6])


def test_second_calls_give_way_before_first_ones_the_less_urgent_first() -> None:
    scene = build_search_scene()
    ask_quick(scene)
    scene.report(*SHARDS, wait_ms=30)
    full = scene.build(
        target_ms=170,
        timeout_ms=800,
        work_ms=22,
        services=SHARDS,
        needed=35,
        priority=1,
    )
    quick = scene.build(
        target_ms=60, timeout_ms=300, work_ms=8, services=SHARDS, needed=NEEDED
    )
    assert scene.decide(full).kind is ADMIT and scene.decide(quick).kind is ADMIT

    def may_call_again(request, is_hedge: bool) -> bool:
        return scene.admission.may_call_again(
            request, SHARDS[0], is_hedge=is_hedge, now=scene.now
        )

    assert not may_call_again(full, True) and may_call_again(full, False)
    assert may_call_again(quick, True) and may_call_again(quick, False)
    scene.report(*SHARDS, wait_ms=0)
    scene.now = Millis(scene.now + 1_100)
    assert may_call_again(full, True)


def test_half_of_the_fleet_killed_during_a_burst_spaces_returns_by_the_new_share() -> (
    None
):
    """The remaining instances have more room each, and their slots lie closer."""
    spacings = []
    for share in (1 / 80, 1 / 40):
        scene = Scene()
        scene.share = share
        scene.ask_urgent()
        scene.report(DESK, wait_ms=90)
        waits = [scene.ask_overnight(caller=f"{n}").retry_after_ms for n in range(2)]
        spacings.append(waits[1] - waits[0])
    assert spacings[1] < spacings[0]


def test_store_away_while_demand_doubles_needs_no_new_configuration() -> None:
    """Admission goes on from reports alone, and ends when the demand does."""
    scene = Scene()
    for _ in range(40):
        scene.ask_urgent()
        scene.report(DESK, wait_ms=100, count=1)
        scene.now = Millis(scene.now + 50)
    assert scene.ask_overnight().kind is REFUSE
    for _ in range(20):
        scene.report(DESK, wait_ms=0, count=1)
        scene.now = Millis(scene.now + 50)
        scene.ask_urgent()
    assert scene.ask_overnight() is ADMITTED


def test_shortage_ends_only_after_the_wait_stayed_low() -> None:
    """A wait that swings between two reports doesn't switch admission on and off."""
    scene = Scene()
    scene.ask_urgent()
    scene.report(DESK, wait_ms=80)
    scene.ask_overnight()
    assert scene.admission.list_short_services(scene.now) == (DESK,)
    for wait_ms in (5.0, 60.0) * 5:
        scene.now = Millis(scene.now + 100)
        scene.report(DESK, wait_ms=wait_ms, count=1)
        scene.ask_urgent()
        assert scene.admission.list_short_services(scene.now) == (DESK,)
    for _ in range(3):
        scene.now = Millis(scene.now + 100)
        scene.report(DESK, wait_ms=5.0, count=1)
        scene.ask_urgent()
    assert scene.admission.list_short_services(scene.now) == ()


def test_services_with_one_priority_or_without_reports_admit_everything() -> None:
    alone = Scene(build_route("a", 1), build_route("b", 1))
    alone.ask_urgent()
    alone.report(DESK, wait_ms=5_000)
    assert alone.ask_urgent() is ADMITTED and alone.ask_overnight() is ADMITTED
    elsewhere = ServiceId("elsewhere")
    scene = Scene(*(build_route(n, i, shares=SHARES) for i, n in enumerate("ab")))
    scene.rooms[elsewhere] = alone.rooms[DESK]
    assert scene.ask_urgent(services=(elsewhere,)) is ADMITTED
    assert scene.asked_rooms == 0


def test_priority_of_an_account_goes_before_the_one_of_the_route() -> None:
    accounts = (build_account("gold", 0), build_account("plain"))
    scene = Scene(build_route("a", 1), accounts=accounts)
    scene.ask_urgent(account=AccountId("gold"))
    scene.report(DESK, wait_ms=90)
    assert scene.ask_overnight(account=AccountId("plain")).kind is REFUSE
