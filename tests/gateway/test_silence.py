"""Guards against work that is repeated or given up because something was silent.

An upstream or instance that reports late is not lost: its calls go on, and nothing of
them is started elsewhere beyond what the kind of request allows.
"""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.fleet import Fleet, Member, OwnState, Report
from skylarkcart.gateway._peers import PeerLink
from skylarkcart.types import InstanceId, ZoneId
from tests.gateway.test_hostile_messages import build_core


async def test_call_goes_on_while_its_upstream_is_unregistered(deployment) -> None:
    """A store that hears nothing removes the entry of an upstream that still works."""
    core = deployment.instance._core
    for name in ("d1", "d2"):
        deployment.upstreams[name].delay_s = 0.6
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "r1", method="POST")
        await asyncio.sleep(0.2)
        for name in ("d1", "d2"):
            await deployment.store.delete(f"servers/{name}")
        await deployment.wait_for(lambda: not core.replicas.has_upstreams("desk"))
        status, _, _ = await caller.read()
    assert status == 200
    assert len(deployment.list_runs("r1")) == 1


async def test_filing_waits_for_a_silent_upstream(deployment) -> None:
    """Silence is no sign that the filing was not run; nothing is started elsewhere."""
    for name in ("d1", "d2"):
        deployment.upstreams[name].delay_s = 1.5
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "r1", method="POST", Deadline_Ms="4000")
        status, _, _ = await caller.read()
    assert status == 200
    assert len(deployment.list_runs("r1")) == 1


async def test_read_of_a_silent_upstream_is_hedged_within_its_attempts(
    deployment,
) -> None:
    received: list[str] = []

    async def record(method, target, headers, body):
        received.append(headers["request-id"])

    for name in ("d1", "d2"):
        deployment.upstreams[name].handler = record
        deployment.upstreams[name].delay_s = 1.0
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200
    # The route allows two attempts.
    assert received == ["r1", "r1"]


async def test_store_that_is_silent_for_a_while_interrupts_no_request(
    deployment,
) -> None:
    for name in ("d1", "d2"):
        deployment.upstreams[name].delay_s = 1.2
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "r1", method="POST", Deadline_Ms="4000")
        await asyncio.sleep(0.1)
        deployment.store.is_unavailable = True
        status, _, _ = await caller.read()
        deployment.store.is_unavailable = False
    assert status == 200
    assert len(deployment.list_runs("r1")) == 1


def build_fleet(name: str, zone: str) -> Fleet:
    return Fleet(
        instance=InstanceId(name),
        zone=ZoneId(zone),
        zones=(ZoneId("zone-a"), ZoneId("zone-b")),
        host=f"10.0.0.{name[-1]}",
        incarnation=1,
        seed_hosts=(),
        random=random.Random(1),
    )


def build_report(name: str, zone: str, sequence: int, now: float) -> Report:
    sender = Member(
        instance=InstanceId(name),
        zone=ZoneId(zone),
        incarnation=1,
        host=f"10.0.0.{name[-1]}",
        sequence=sequence,
        age_ms=0.0,
        revision=1,
        is_leaving=False,
        reaches_store=True,
        spending={},
    )
    return Report(
        sender=sender,
        sent_at_ms=now,
        echo_ms=-1.0,
        confirmed_age_ms=-1.0,
        wants_reply=False,
    )


@pytest.mark.parametrize("silent_ms", [1_000.0, 4_000.0, 10_000.0, 19_000.0])
def test_silent_instance_keeps_its_share_and_returns(silent_ms: float) -> None:
    """It may be cut off and go on serving, so that others must not use its share."""
    fleet = build_fleet("gateway-1", "zone-a")
    fleet.apply_report(build_report("gateway-2", "zone-b", 1, 0.0), Millis(0))
    fleet.apply_report(build_report("gateway-3", "zone-b", 1, 0.0), Millis(0))
    size = fleet.estimated_size
    now = Millis(silent_ms)
    fleet.apply_report(build_report("gateway-2", "zone-b", 2, now), now)
    assert fleet.remove_lost_peers(now) == ()
    assert fleet.estimated_size == size
    if silent_ms > 1_500.0:
        assert fleet.get_reach(now).fraction < 1.0
    fleet.apply_report(build_report("gateway-3", "zone-b", 2, now), now)
    assert fleet.get_reach(now).fraction == 1.0


def test_instance_silent_for_long_returns_as_itself() -> None:
    fleet = build_fleet("gateway-1", "zone-a")
    fleet.apply_report(build_report("gateway-2", "zone-b", 5, 0.0), Millis(0))
    assert fleet.remove_lost_peers(Millis(30_000.0))
    fleet.apply_report(build_report("gateway-2", "zone-b", 6, 0.0), Millis(30_000.0))
    assert list(fleet.peers) == ["gateway-2"]
    own = OwnState(
        revision=1,
        confirmed_age_ms=0.0,
        is_leaving=False,
        reaches_store=True,
        spending={},
    )
    report = fleet.build_report(
        own, to_host="10.0.0.2", now=Millis(30_000.0), wants_reply=True
    )
    assert report.sender.instance == "gateway-1"


def test_operators_are_told_which_instances_are_not_heard() -> None:
    """A refusal beside a cut is explained by who was not heard then."""
    clock = ManualClock(start=Millis(5_000))
    core = build_core(clock)
    link = PeerLink(core=core, incarnation=1)
    for instance in ("gateway-2", "gateway-3"):
        core.fleet.apply_report(build_report(instance, "zone-a", 1, core.now), core.now)
    link._update_peers()
    core.log._lines.clear()
    clock.advance(700.0)
    link._update_peers()
    link._update_peers()
    lines = [json.loads(line) for line in core.log._lines]
    (line,) = [line for line in lines if line["event"] == "reach_changed"]
    assert line["silent"] == ["gateway-2", "gateway-3"]
    assert line["silent_count"] == 2 and line["reachable_part"] < 0.5
