"""Selection of upstreams that are stalled, slow, failing, cold or in other zones."""

from __future__ import annotations

import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.published import (
    Address,
    RegisteredUpstream,
    UpstreamEntry,
    UpstreamState,
)
from skylarkcart.replicas import Access, CallEnd, Replica, Replicas, RouteLatency
from skylarkcart.types import ServiceId, UpstreamId, ZoneId

SERVICE = ServiceId("search")
ZONE = ZoneId("zone-a")
TYPICAL_MS = 10.0


def build_entry(number: int, **fields: object) -> UpstreamEntry:
    values = {
        "upstream": UpstreamId(f"i-{number}"),
        "service": SERVICE,
        "address": Address(host="10.0.0.1", port=80 + number),
        "zone": ZONE,
        "slots": 3,
        "state": UpstreamState.READY,
    } | fields
    return UpstreamEntry(**values)


def build_replicas(*entries: UpstreamEntry) -> Replicas:
    replicas = Replicas(zone=ZONE, random=random.Random(1), spreads_calls=True)
    known = {
        entry.upstream: RegisteredUpstream(entry=entry, first_seen_at=Millis(0))
        for entry in entries
    }
    replicas.update(known, frozenset())
    return replicas


def count_choices(replicas: Replicas, now: float, times: int = 100) -> dict[str, int]:
    counts: dict[str, int] = {}
    for _ in range(times):
        chosen = replicas.select(SERVICE, now=Millis(now), typical_ms=TYPICAL_MS)
        counts[chosen.entry.upstream] = counts.get(chosen.entry.upstream, 0) + 1
    return counts


def call(replica: Replica, start: float, end: float, result=CallEnd.ANSWERED) -> None:
    replica.begin_call(1, now=Millis(start), typical_ms=TYPICAL_MS)
    replica.end_call(1, result, now=Millis(end))


def test_stalled_upstream_gets_no_further_calls() -> None:
    """Further calls to an upstream with a stalled call would stall, too."""
    replicas = build_replicas(build_entry(1), build_entry(2))
    paused = replicas.replicas[UpstreamId("i-1")]
    paused.begin_call(1, now=Millis(0), typical_ms=TYPICAL_MS)
    assert count_choices(replicas, 40) == {"i-2": 100}


def test_upstream_that_answers_other_calls_is_not_stalled() -> None:
    """A single long request must not exclude an upstream that answers others."""
    replica = Replica(entry=build_entry(1), seen_at=Millis(0))
    replica.begin_call(1, now=Millis(0), typical_ms=TYPICAL_MS)
    replica.begin_call(2, now=Millis(20), typical_ms=TYPICAL_MS)
    replica.end_call(2, CallEnd.ANSWERED, now=Millis(30))
    assert not replica.is_stalled(Millis(40))


def test_single_pause_does_not_make_an_upstream_look_slow() -> None:
    replica = Replica(entry=build_entry(1), seen_at=Millis(0))
    call(replica, 0, 10)
    call(replica, 20, 170)
    assert replica.get_latency_ratio(Millis(170)) == 1.0


def test_calls_delayed_by_one_pause_count_once() -> None:
    replica = Replica(entry=build_entry(1), seen_at=Millis(0))
    for number in range(4):
        replica.begin_call(number, now=Millis(number), typical_ms=TYPICAL_MS)
    for number in range(4):
        replica.end_call(number, CallEnd.ANSWERED, now=Millis(150))
    assert replica.get_latency_ratio(Millis(150)) == 1.0


def test_slow_upstream_is_skipped_and_retried_later() -> None:
    replicas = build_replicas(build_entry(1), build_entry(2))
    slow = replicas.replicas[UpstreamId("i-1")]
    for start in range(0, 300, 100):
        call(slow, start, start + 80)
    assert count_choices(replicas, 400) == {"i-2": 100}
    assert "i-1" in count_choices(replicas, 40_000)


def test_slow_calls_reported_by_others_reveal_a_slow_upstream() -> None:
    """At one request per second, a single instance detects slowness too late."""
    reporter = build_replicas(build_entry(1), build_entry(2))
    receiver = build_replicas(build_entry(1), build_entry(2))
    for start in (0, 300):
        call(reporter.replicas[UpstreamId("i-1")], start, start + 80)
        slow_calls = reporter.list_slow_calls(Millis(start + 100))
        for _ in range(3):
            receiver.apply_peer_slow_calls(
                slow_calls, age_ms=50, now=Millis(start + 150)
            )
    assert count_choices(receiver, 500) == {"i-2": 100}


def test_pause_reported_by_several_instances_counts_once() -> None:
    receiver = build_replicas(build_entry(1), build_entry(2))
    for start in (0, 30, 60):
        reporter = build_replicas(build_entry(1), build_entry(2))
        call(reporter.replicas[UpstreamId("i-1")], start, 150)
        slow_calls = reporter.list_slow_calls(Millis(160))
        receiver.apply_peer_slow_calls(slow_calls, age_ms=0, now=Millis(160))
    assert receiver.replicas[UpstreamId("i-1")].get_latency_ratio(Millis(160)) == 1.0


def test_upstream_that_fails_part_of_its_requests_gets_less() -> None:
    """Its health checks pass, so that only failed requests reveal the problem."""
    replicas = build_replicas(build_entry(1), build_entry(2))
    for start in range(0, 40, 10):
        call(replicas.replicas[UpstreamId("i-1")], start, start + 5, CallEnd.FAILED)
    assert count_choices(replicas, 50) == {"i-2": 100}


def test_backoff_of_an_unreachable_upstream_increases() -> None:
    replica = Replica(entry=build_entry(1), seen_at=Millis(0))
    call(replica, 0, 1, CallEnd.CONNECTION_LOST)
    assert replica.is_backed_off(Millis(150)) and not replica.is_backed_off(Millis(210))
    call(replica, 210, 211, CallEnd.CONNECTION_LOST)
    assert replica.is_backed_off(Millis(600))


def test_call_without_any_response_counts_as_a_failure() -> None:
    """A partition that drops packets refuses no connection; calls get no response."""
    replica = Replica(entry=build_entry(1), seen_at=Millis(0))
    for start in (0, 1_000):
        call(replica, start, start + 400, CallEnd.TIMED_OUT)
    assert replica.is_unreachable(Millis(1_401))


def test_service_is_unreachable_when_all_its_upstreams_are() -> None:
    """Requests to a service without reachable upstreams are refused, not run."""
    replicas = build_replicas(build_entry(1), build_entry(2))
    assert replicas.is_reachable(SERVICE, Millis(0))
    for replica in replicas.replicas.values():
        call(replica, 0, 1, CallEnd.CONNECTION_LOST)
    assert replicas.is_reachable(SERVICE, Millis(2))
    for replica in replicas.replicas.values():
        replica.record_connection_failure(Millis(2))
    assert not replicas.is_reachable(SERVICE, Millis(3))
    replicas.replicas[UpstreamId("i-2")].record_connection(Millis(4))
    assert replicas.is_reachable(SERVICE, Millis(5))


def test_cold_upstream_is_a_second_choice() -> None:
    replicas = build_replicas(build_entry(1, cold_left_ms=3_000.0), build_entry(2))
    assert count_choices(replicas, 100) == {"i-2": 100}
    assert "i-1" in count_choices(replicas, 3_100)


def test_cold_upstream_gets_no_more_than_its_call_rate() -> None:
    """A freshly started upstream overloads if all instances call it at once."""
    entry = build_entry(1, cold_left_ms=10_000.0)
    fleet = [build_replicas(entry) for _ in range(8)]
    per_s = 20.0
    calls: list[float] = []
    for replicas in fleet:
        replicas.cold_calls_per_s = {SERVICE: per_s / len(fleet)}
    for now in range(0, 8_000, 2):
        for replicas in fleet:
            chosen = replicas.select(SERVICE, now=Millis(now), typical_ms=TYPICAL_MS)
            if chosen is not None:
                chosen.begin_call(now, now=Millis(now), typical_ms=TYPICAL_MS)
                chosen.end_call(now, CallEnd.ANSWERED, now=Millis(now + 1))
                calls.append(now)
    for start in range(0, 7_000, 100):
        assert sum(start <= at < start + 1_000 for at in calls) <= 1.5 * per_s + 5
    assert len(calls) >= 0.8 * per_s * 8


def test_own_zone_is_preferred_while_it_is_not_busy() -> None:
    replicas = build_replicas(build_entry(1), build_entry(2, zone=ZoneId("zone-b")))
    assert count_choices(replicas, 0) == {"i-1": 100}
    own_zone = replicas.replicas[UpstreamId("i-1")]
    own_zone.begin_call(1, now=Millis(0), typical_ms=TYPICAL_MS)
    own_zone.end_call(
        1,
        CallEnd.ANSWERED,
        now=Millis(10),
        load=ReportedLoad(running=4, waiting=2, slots=3),
    )
    assert count_choices(replicas, 11) == {"i-2": 100}


def test_draining_upstream_and_closed_zone_get_nothing() -> None:
    draining = build_entry(1, state=UpstreamState.DRAINING)
    closed = build_entry(2, zone=ZoneId("zone-b"))
    replicas = Replicas(zone=ZONE, random=random.Random(1))
    known = {
        entry.upstream: RegisteredUpstream(entry=entry, first_seen_at=Millis(0))
        for entry in (draining, closed)
    }
    replicas.update(known, frozenset({ZoneId("zone-b")}))
    assert replicas.select(SERVICE, now=Millis(0), typical_ms=TYPICAL_MS) is None


def test_restart_under_the_same_id_resets_the_statistics() -> None:
    replicas = build_replicas(build_entry(1, born_ms=1))
    call(replicas.replicas[UpstreamId("i-1")], 0, 1, CallEnd.CONNECTION_LOST)
    restarted = build_entry(1, born_ms=2)
    replicas.update(
        {
            restarted.upstream: RegisteredUpstream(
                entry=restarted, first_seen_at=Millis(5)
            )
        },
        frozenset(),
    )
    assert not replicas.replicas[UpstreamId("i-1")].is_backed_off(Millis(10))


def test_tried_upstreams_and_those_at_their_connection_limit_are_skipped() -> None:
    replicas = build_replicas(build_entry(1), build_entry(2), build_entry(3))
    chosen = replicas.select(
        SERVICE,
        now=Millis(0),
        typical_ms=TYPICAL_MS,
        tried=[UpstreamId("i-1")],
        get_access=lambda replica: (
            Access.AT_CONNECTION_LIMIT
            if replica.entry.upstream == "i-2"
            else Access.CONNECTED
        ),
    )
    assert chosen.entry.upstream == "i-3"


def select_often(replicas: Replicas, connected: str) -> set[str]:
    """Returns the upstreams that are selected if only one has a connection."""
    return {
        replicas.select(
            SERVICE,
            now=Millis(400),
            typical_ms=TYPICAL_MS,
            get_access=lambda replica: (
                Access.CONNECTED
                if replica.entry.upstream == connected
                else Access.UNCONNECTED
            ),
        ).entry.upstream
        for _ in range(100)
    }


def test_connection_that_takes_long_to_open_is_opened_only_to_a_faster_upstream() -> (
    None
):
    """Ignoring the connect time, a third of all calls opened a connection.

    Opening it took as long as the call itself.
    """
    replicas = build_replicas(build_entry(1), build_entry(2))
    somewhat_slow = replicas.replicas[UpstreamId("i-1")]
    for start in range(0, 300, 100):
        call(somewhat_slow, start, start + 1.5 * TYPICAL_MS)
    assert "i-2" in select_often(replicas, "i-1")
    for _ in range(20):
        replicas.record_connect_time(SERVICE, duration_ms=TYPICAL_MS)
    assert select_often(replicas, "i-1") == {"i-1"}
    for start in range(300, 600, 100):
        call(somewhat_slow, start, start + 4 * TYPICAL_MS)
    assert "i-2" in select_often(replicas, "i-1")


def test_latency_has_a_value_before_the_first_call() -> None:
    latency = RouteLatency(initial_ms=12.0)
    assert latency.get_quantile(0.9) == 12.0
    for sample in range(1, 101):
        latency.add(float(sample))
    assert 45 <= latency.get_quantile(0.5) <= 51


def test_reset_of_a_new_connection_starts_a_connect_backoff() -> None:
    """Without a backoff, instances open a connection four times per second in vain.

    The upstream has reached its connection limit and resets each of them.
    """
    replica = Replica(entry=build_entry(1), seen_at=Millis(0))
    replica.record_connection_reset(Millis(0))
    assert replica.is_at_connection_limit(
        Millis(900)
    ) and not replica.is_at_connection_limit(Millis(1_100))
    replica.record_connection_reset(Millis(1_100))
    assert replica.is_at_connection_limit(
        Millis(3_000)
    ) and not replica.is_at_connection_limit(Millis(3_200))
    call(replica, 3_300, 3_310)
    replica.record_connection_reset(Millis(4_000))
    assert not replica.is_at_connection_limit(Millis(5_100))


def build_zones(*zones: str) -> Replicas:
    """Builds six upstreams of the service in each zone."""
    return build_replicas(
        *(
            build_entry(10 * index + number, zone=ZoneId(zone))
            for index, zone in enumerate(zones)
            for number in range(6)
        )
    )


def list_zone(replicas: Replicas, zone: str) -> list[Replica]:
    return [r for r in replicas.replicas.values() if r.entry.zone == zone]


def test_zone_is_unreachable_once_several_of_its_upstreams_do_not_respond() -> None:
    """Otherwise three requests fail at each upstream of a partitioned zone."""
    replicas = build_zones("zone-a", "zone-b")
    unreachable = list_zone(replicas, "zone-b")
    for replica in unreachable[:4]:
        call(replica, 0, 300, CallEnd.TIMED_OUT)
    assert all(replica.is_unreachable(Millis(300)) for replica in unreachable)
    assert not any(r.is_unreachable(Millis(300)) for r in list_zone(replicas, "zone-a"))
    unreachable[5].record_connection(Millis(400))
    assert not unreachable[4].is_unreachable(Millis(400))


def test_zone_with_one_answer_among_failures_is_reachable() -> None:
    """Several upstreams may crash while the others of their zone still answer."""
    replicas = build_zones("zone-b")
    upstreams = list_zone(replicas, "zone-b")
    for replica in upstreams[:3]:
        call(replica, 0, 300, CallEnd.TIMED_OUT)
    call(upstreams[5], 0, 10)
    call(upstreams[3], 0, 300, CallEnd.TIMED_OUT)
    assert not upstreams[4].is_unreachable(Millis(300))


def test_resets_of_stale_connections_do_not_make_a_zone_unreachable() -> None:
    """After an idle period, all calls of a search may be reset within a millisecond."""
    replicas = build_zones("zone-a")
    upstreams = list_zone(replicas, "zone-a")
    for replica in upstreams:
        call(replica, 0, 1, CallEnd.CONNECTION_LOST)
    assert not any(replica.is_unreachable(Millis(2)) for replica in upstreams)


def test_other_instances_report_an_unreachable_zone() -> None:
    """Otherwise each instance detects a partition only by its own failed calls."""
    reporter, receiver, receiver_in_contact = (
        build_zones("zone-a", "zone-b") for _ in range(3)
    )
    for replica in list_zone(reporter, "zone-b"):
        call(replica, 0, 300, CallEnd.TIMED_OUT)
    call(list_zone(receiver_in_contact, "zone-b")[0], 250, 260)
    for receiving in (receiver, receiver_in_contact):
        receiving.apply_peer_unreachable_zones(
            reporter.list_locally_unreachable_zones(), now=Millis(350)
        )
    replica, replica_in_contact = (
        list_zone(r, "zone-b")[1] for r in (receiver, receiver_in_contact)
    )
    assert replica.is_unreachable(Millis(400))
    assert not replica_in_contact.is_unreachable(Millis(400))
    assert receiver.list_locally_unreachable_zones() == ()
    assert not replica.is_unreachable(Millis(1_400))


def test_unreachable_upstream_gets_no_call_before_a_connection_is_made() -> None:
    """Otherwise a request fails each time that the backoff ends."""
    replicas = build_replicas(build_entry(1), build_entry(2))
    unreachable = replicas.replicas[UpstreamId("i-1")]
    call(unreachable, 0, 300, CallEnd.TIMED_OUT)
    call(unreachable, 600, 900, CallEnd.TIMED_OUT)
    assert replicas.list_probes(Millis(1_000)) == []
    assert replicas.list_probes(Millis(5_000)) == [unreachable]
    assert count_choices(replicas, 5_000) == {"i-2": 100}
    unreachable.record_connection(Millis(5_100))
    assert "i-1" in count_choices(replicas, 40_000)


@pytest.mark.parametrize("failures", [1_100, 5_000])
def test_upstream_that_fails_for_hours_is_still_tried(failures: int) -> None:
    """The delay before the next attempt was beyond a float after 1,024 failures."""
    replicas = build_replicas(build_entry(1))
    replica = replicas.replicas[UpstreamId("i-1")]
    for number in range(failures):
        replica.record_connection_failure(Millis(3_000 * number))
    last_failure_at = 3_000 * (failures - 1)
    assert not replica.needs_probe(Millis(last_failure_at + 2_900))
    assert replica.needs_probe(Millis(last_failure_at + 3_000))
    for _ in range(failures):
        replica.record_connection_reset(Millis(last_failure_at))
    assert not replica.is_at_connection_limit(Millis(last_failure_at + 8_000))
