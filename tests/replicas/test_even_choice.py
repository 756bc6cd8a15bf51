"""Choice among upstreams that state a work factor, when some fail, lie or return."""

from __future__ import annotations

import pytest

from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.replicas import CallEnd, Replica, Replicas
from skylarkcart.types import UpstreamId, ZoneId
from tests.replicas.test_replicas import (
    SERVICE,
    TYPICAL_MS,
    build_entry,
    build_replicas,
    count_choices,
)


def report(running: int, waiting: int = 0, work_factor: float | None = 1.0):
    return ReportedLoad(
        running=running, waiting=waiting, slots=4, work_factor=work_factor
    )


def get(replicas: Replicas, number: int) -> Replica:
    return replicas.replicas[UpstreamId(f"i-{number}")]


def learn(replicas: Replicas, *loads: ReportedLoad, now: float = 0) -> None:
    """Records reports of a service whose upstreams are busy."""
    for number, load in enumerate(loads, start=1):
        get(replicas, number).record_load(load, now=Millis(now))
    replicas._even_choice.get_load(SERVICE).utilization = 1.0


def build_three(**fields: object) -> Replicas:
    return build_replicas(*(build_entry(i, slots=4, **fields) for i in (1, 2, 3)))


def test_service_without_work_factors_is_chosen_as_before() -> None:
    """Earlier deployments must not change: the least loaded gets all calls."""
    replicas = build_three()
    learn(replicas, report(4, 4, None), report(0, 0, None), report(4, 4, None))
    assert count_choices(replicas, 100) == {"i-2": 100}
    assert all(replica.load is None for replica in replicas.replicas.values())


def test_choice_by_draws_takes_effect_only_where_it_is_switched_on() -> None:
    replicas = build_three()
    replicas._spreads_calls = False
    learn(replicas, report(4, 4), report(4, 4), report(4, 4))
    now = Millis(1)
    get(replicas, 1).begin_call(1, now=now, typical_ms=TYPICAL_MS)
    get(replicas, 2).begin_call(2, now=now, typical_ms=TYPICAL_MS)
    assert count_choices(replicas, 2) == {"i-3": 100}


def test_calm_service_is_chosen_as_before() -> None:
    """Draws moved calls to other zones and slower upstreams where room was plenty."""
    replicas = build_replicas(
        build_entry(1, slots=4), build_entry(2, slots=4, zone=ZoneId("zone-b"))
    )
    for number, load in ((1, report(1, 0, 2.5)), (2, report(0))) * 10:
        get(replicas, number).record_load(load, now=Millis(0))
    assert count_choices(replicas, 1) == {"i-1": 100}
    for number in (1, 2) * 10:
        get(replicas, number).record_load(report(4, 4, 2.5), now=Millis(2))
    assert len(count_choices(replicas, 3)) == 2


def test_fresh_news_are_followed_and_old_news_spread_the_calls() -> None:
    replicas = build_three()
    for step in range(10):
        loads = [report(3), report(3), report(3)]
        loads[step % 3] = report(0)
        learn(replicas, *loads, now=step * 400)
    fresh = count_choices(replicas, 3_601)
    assert fresh["i-1"] > 80
    old = count_choices(replicas, 4_500)
    assert len(old) == 3 and max(old.values()) < 70


def test_upstream_on_a_slow_machine_gets_few_calls_until_others_are_full() -> None:
    replicas = build_three()
    learn(replicas, report(1), report(1), report(0, 0, 5.0))
    assert "i-3" not in count_choices(replicas, 1)
    learn(replicas, report(4, 4), report(4, 4), report(0, 0, 5.0), now=10)
    assert count_choices(replicas, 11) == {"i-3": 100}


def test_calls_leave_a_zone_that_is_short_of_room() -> None:
    """A constant rank of zones kept calls in queues while others were idle."""
    replicas = build_replicas(
        build_entry(1, slots=4), build_entry(2, slots=4, zone=ZoneId("zone-b"))
    )
    learn(replicas, report(1), report(0))
    assert count_choices(replicas, 1)["i-1"] > 80
    learn(replicas, report(4, 2), report(1), now=10)
    assert count_choices(replicas, 11)["i-2"] > 80


@pytest.mark.parametrize("load", [report(0), report(4, 4)])
def test_all_upstreams_alike_share_the_calls(load: ReportedLoad) -> None:
    """Also if all are full, or all claim to be: a refusal is decided elsewhere."""
    replicas = build_three()
    learn(replicas, load, load, load)
    counts = count_choices(replicas, 100)
    assert len(counts) == 3 and min(counts.values()) > 10


def test_upstream_stays_in_use_if_all_are_down() -> None:
    replicas = build_three()
    learn(replicas, report(0), report(0), report(0))
    for replica in replicas.replicas.values():
        for start in range(3):
            replica.begin_call(1, now=Millis(start), typical_ms=TYPICAL_MS)
            replica.end_call(1, CallEnd.CONNECTION_LOST, now=Millis(start + 1))
    assert replicas.select(SERVICE, now=Millis(5), typical_ms=TYPICAL_MS) is not None
    assert replicas.get_room(SERVICE, now=Millis(5), typical_ms=TYPICAL_MS) is None


def test_upstream_that_hides_its_queue_does_not_attract_all_calls() -> None:
    replicas = build_three()
    sent = 0
    for step in range(200):
        now = step * 20.0
        chosen = replicas.select(SERVICE, now=Millis(now), typical_ms=TYPICAL_MS)
        lies = chosen is get(replicas, 1)
        sent += lies
        end = CallEnd.SHED if lies else CallEnd.ANSWERED
        load = report(0) if lies else report(2)
        chosen.begin_call(step, now=Millis(now), typical_ms=TYPICAL_MS)
        chosen.end_call(step, end, now=Millis(now + 10), load=load)
    assert sent < 50


def test_upstream_that_invents_a_queue_still_serves() -> None:
    """Its siblings would carry its calls as well."""
    replicas = build_three()
    served = 0
    for step in range(300):
        now = step * 100.0
        chosen = replicas.select(SERVICE, now=Millis(now), typical_ms=TYPICAL_MS)
        lies = chosen is get(replicas, 1)
        served += lies
        chosen.begin_call(step, now=Millis(now), typical_ms=TYPICAL_MS)
        chosen.end_call(
            step,
            CallEnd.ANSWERED,
            now=Millis(now + 10),
            load=report(4, 8) if lies else report(4),
        )
    assert served > 10


def test_returning_upstream_ramps_up() -> None:
    """All instances see at once that it is idle."""
    replicas = build_three()
    learn(replicas, report(2), report(2), report(2))
    replicas.record_pause(get(replicas, 1), 500.0, Millis(0))
    learn(replicas, report(0), report(2), report(2), now=501)
    assert "i-1" not in count_choices(replicas, 400)
    first = count_choices(replicas, 501).get("i-1", 0)
    learn(replicas, report(0), report(2), report(2), now=1_600)
    assert first < count_choices(replicas, 1_600)["i-1"]


def test_instance_without_news_starts_as_before() -> None:
    """After a restart in the middle, no load is believed and no room is stated."""
    replicas = build_three()
    assert len(count_choices(replicas, 0)) == 3
    assert replicas.get_room(SERVICE, now=Millis(0), typical_ms=TYPICAL_MS) is None
    learn(replicas, report(4, 4))
    counts = count_choices(replicas, 1)
    assert counts.get("i-1", 0) < 20 and len(counts) >= 2


def test_misplaced_call_is_explained() -> None:
    replicas = build_three()
    learn(replicas, report(1), report(0), report(4, 4))
    chosen = get(replicas, 1)
    chosen.begin_call(1, now=Millis(10), typical_ms=TYPICAL_MS)
    chosen.end_call(1, CallEnd.SHED, now=Millis(12), load=report(4, 4))
    refused = replicas.record_refusal(chosen, has_report=True, now=Millis(12))
    assert refused.is_misplaced
    assert refused.chosen.calls < 2.0 and refused.chosen.age_ms == 12.0
    assert refused.siblings[0].upstream == "i-2"
    statistics = replicas.load_statistics
    assert (statistics.refused, statistics.misplaced) == (1, 1)
