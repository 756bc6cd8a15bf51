from __future__ import annotations

import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.declarations import InstanceList, ListedProcess, ServiceRow, ZoneRow
from skylarkcart.invariants import Invariant, InvariantError, reset_violations
from skylarkcart.types import InstanceId, ListState, Role, ZoneId, ZoneState
from skylarkcart.upstreams import (
    CallOutcome,
    OutcomeKind,
    Temperature,
    UpstreamDirectory,
    WarmRequest,
    compute_connection_share,
)

SERVICE_ROW = ServiceRow(
    service="s",
    slots=4,
    connections=40,
    connect_cost_ms=1,
    answer_by_ms=50,
    deadline_ms=100,
)


def build_directory(*, right=True, zones="ab", now=0.0, **options):
    directory = UpstreamDirectory(
        zone=ZoneId("a"),
        instance=InstanceId("i"),
        random=random.Random(1),
        may_send_cold=lambda upstream: right,
        **options,
    )
    directory.observe_services((SERVICE_ROW,), max_instances=10)
    observe_upstreams(directory, zones, now=now)
    return directory


def observe_upstreams(
    directory, zones, *, now=0.0, incarnation="1", state=ListState.LIVE
):
    entries = tuple(
        ListedProcess(
            id=f"u{number}",
            role=Role.UPSTREAM,
            zone=ZoneId(zone),
            address="127.0.0.1:1",
            state=state,
            incarnation=incarnation,
            service="s",
        )
        for number, zone in enumerate(zones)
    )
    directory.observe_list(InstanceList(version=1, instances=entries), Millis(now))


def complete_call(directory, now, kind=OutcomeKind.SUCCESS, latency=5.0, process="p1"):
    directory.begin_call("u0")
    outcome = CallOutcome(kind=kind, latency_ms=latency, process=process)
    directory.end_call("u0", outcome, Millis(now))


def warm_up(directory, now=10.0):
    for _ in range(200):
        complete_call(directory, now)
    assert directory.find("u0").temperature is Temperature.WARM


def choose(directory, candidates=("u0", "u1")):
    return directory.choose(candidates, excluded=())


def test_cold_upstream_gets_calls_only_from_the_holder_of_the_right():
    # Guards against overload of a cold upstream by calls from every instance.
    assert choose(build_directory(right=False)) is None
    directory = build_directory()
    directory.begin_call("u0")
    directory.begin_call("u1")
    assert choose(directory) is None and directory.may_get_capacity(
        ("u0",), excluded=()
    )


@pytest.mark.parametrize("kind", [OutcomeKind.COLD, OutcomeKind.SUCCESS])
def test_refusal_or_new_process_makes_a_warm_upstream_cold(kind):
    # Guards against sending full load to a process that has just started.
    directory = build_directory()
    warm_up(directory)
    complete_call(directory, 20.0, kind, process="p2")
    assert directory.find("u0").temperature is Temperature.COLD


def test_late_answer_of_a_previous_process_is_ignored():
    # Guards against a late answer that looks like another restart and resets the ramp.
    directory = build_directory()
    warm_up(directory)
    complete_call(directory, 20.0, process="p2")
    complete_call(directory, 21.0, latency=15.0, process="p1")
    assert directory.find("u0").process == "p2"


def test_other_instances_join_with_one_call_after_a_fresh_declaration():
    # Guards against a burst of calls from all instances to a newly warm upstream.
    holder, other = build_directory(), build_directory(right=False)
    warm_up(holder)
    (report,) = holder.handle(WarmRequest(), Millis(11))
    other.handle(report, Millis(11))
    assert choose(other, ("u0",)) == "u0"
    other.begin_call("u0")
    assert choose(other, ("u0",)) is None


def test_refused_connection_outweighs_a_declaration():
    # Guards against sending calls to a new process because its predecessor was warm.
    holder, other = build_directory(), build_directory(
        right=False, preopens_connections=True
    )
    warm_up(holder)
    (report,) = holder.handle(WarmRequest(), Millis(11))
    other.handle(report, Millis(11))
    other.record_connection_failed("u0", Millis(12))
    assert other.find("u0").temperature is Temperature.COLD


def test_declaration_older_than_our_cold_observation_is_ignored():
    # Guards against joining a ramp on evidence from before the upstream turned cold.
    holder, other = build_directory(), build_directory(right=False)
    warm_up(holder)
    (report,) = holder.handle(WarmRequest(), Millis(11))
    other.find("u0").in_flight = 1
    refused = CallOutcome(kind=OutcomeKind.COLD, latency_ms=1, process="p1")
    other.end_call("u0", refused, Millis(12))
    other.handle(report, Millis(13))
    assert other.find("u0").temperature is Temperature.COLD


def test_latency_step_of_an_upstream_is_cold_but_of_its_service_is_overload():
    # Guards against treating all upstreams of an overloaded service as cold.
    for others_slow, expected in ((False, Temperature.COLD), (True, Temperature.WARM)):
        directory = build_directory()
        warm_up(directory)
        latency = directory.find("u0").service_latency
        for _ in range(9):
            for _ in range(64):
                latency.record(20.0 if others_slow else 5.0)
            if directory.find("u0").temperature is Temperature.WARM:
                complete_call(directory, 30.0, latency=20.0)
        assert directory.find("u0").temperature is expected


def test_draining_and_closed_zones_stop_new_calls_and_reopened_zones_are_cold():
    # Guards against calls to zones closed by operators and to draining upstreams.
    directory = build_directory()
    warm_up(directory)
    closed = ZoneRow(zone=ZoneId("a"), state=ZoneState.CLOSED)
    directory.observe_zones((closed,), Millis(20))
    assert choose(directory, ("u0",)) is None
    assert not directory.may_get_capacity(("u0",), excluded=())
    with pytest.raises(InvariantError, match=Invariant.CLOSED_ZONE.value):
        directory.begin_call("u0")
    reset_violations()
    directory.find("u0").in_flight = 0
    directory.observe_zones((ZoneRow(zone=ZoneId("a")),), Millis(30))
    assert directory.find("u0").temperature is Temperature.COLD
    complete_call(directory, 31.0, OutcomeKind.DRAINING)
    observe_upstreams(directory, "ab", now=32.0)
    assert choose(directory, ("u0",)) is None
    observe_upstreams(directory, "ab", now=33.0, incarnation="2")
    assert choose(directory, ("u0",)) == "u0"


def test_burst_of_refusals_halves_the_limit_once():
    # Guards against one burst of refusals that reduces the limit to its minimum.
    directory = build_directory()
    warm_up(directory)
    upstream = directory.find("u0")
    before = upstream.limit.value
    complete_call(directory, 20.0, OutcomeKind.SHED)
    complete_call(directory, 21.0, OutcomeKind.SHED)
    assert upstream.limit.value == before / 2


def test_connections_open_one_at_a_time_up_to_the_share():
    # Guards against bursts of new connections and against exceeding the limit.
    directory = build_directory(zones="a", preopens_connections=True)
    (opening,) = directory.tick(Millis(0))
    assert directory.tick(Millis(20)) == [] and choose(directory) is None
    directory.record_connection_opened(opening.upstream)
    assert choose(directory) == "u0" and directory.tick(Millis(40)) == []
    warm_up(directory)
    directory.record_connection_closed("u0", Millis(50))
    assert directory.find("u0").temperature is Temperature.COLD


def test_share_below_one_goes_to_as_many_instances_as_connections():
    # Guards against more connections than the upstream accepts.
    instances = tuple(InstanceId(f"i{number}") for number in range(50))
    shares = [
        compute_connection_share(
            connections=7,
            max_instances=60,
            upstream="u",
            instance=instance,
            instances=instances,
        )
        for instance in instances
    ]
    assert sum(shares) == 7
