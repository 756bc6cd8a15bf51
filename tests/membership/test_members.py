"""Guards against a wrong view of which instances are in the fleet."""

from __future__ import annotations

from skylarkcart.declarations import InstanceList, ListedProcess
from skylarkcart.membership import Introduction, Members, MemberState
from skylarkcart.types import ListState, Role


def start_members(
    name: str, zone: str = "a", incarnation: str = "1", seeds=()
) -> Members:
    return Members(
        instance=name,
        zone=zone,
        peer_address=f"{name}:1",
        incarnation=incarnation,
        seeds=seeds,
    )


def build_list(version: int, *names: str, **options) -> InstanceList:
    """Returns a list of ``zone-name`` entries, such as ``a-one``."""
    rows = [
        ListedProcess(
            id=name,
            role=options.get("role", Role.ENTRY),
            zone=name[0],
            address="",
            peer_address=f"{name}:1",
            state=options.get("state", ListState.LIVE),
            incarnation=options.get("incarnation", "1"),
        )
        for name in names
    ]
    return InstanceList(version=version, instances=tuple(rows))


def get_states(members: Members, now: float) -> dict[str, MemberState]:
    views = (*members.zone_members(now), *members.other_members(now))
    return {member.instance: member.state for member in views}


def test_stale_list_does_not_replace_newer_one():
    members = start_members("a-one")
    members.observe_list(build_list(5, "a-one", "a-two"), 0)
    members.observe_list(build_list(4, "a-old"), 0)
    assert get_states(members, 0) == {"a-two": MemberState.ALIVE}
    assert members.was_listed


def test_list_row_of_earlier_process_is_not_this_process():
    members = start_members("a-one", incarnation="2")
    members.observe_list(build_list(1, "a-one"), 0)
    assert not members.was_listed


def test_member_is_silent_after_800_ms_despite_duplicate_heartbeats():
    members, peer = start_members("a-one"), start_members("a-two")
    heartbeat = peer.heartbeat(revision=3)
    members.observe_heartbeat(heartbeat, 0)
    assert get_states(members, 799) == {"a-two": MemberState.ALIVE}
    members.observe_heartbeat(heartbeat, 799)
    assert get_states(members, 800) == {"a-two": MemberState.SILENT}


def test_late_message_of_earlier_process_has_no_effect():
    members, old = start_members("a-one"), start_members("a-two", incarnation="1")
    late = [old.heartbeat(revision=9) for _ in range(2)]
    members.observe_heartbeat(late[0], 0)
    new = start_members("a-two", incarnation="2")
    members.observe_heartbeat(new.heartbeat(revision=0), 100)
    members.observe_heartbeat(late[1], 200)
    [member] = members.zone_members(200)
    assert (member.incarnation, member.revision) == ("2", 0)


def test_unknown_earlier_process_does_not_block_the_present_one():
    members, new = start_members("a-one"), start_members("a-two", incarnation="2")
    members.observe_heartbeat(new.heartbeat(revision=5), 0)
    old = start_members("a-two", incarnation="1")
    members.observe_heartbeat(old.heartbeat(revision=4), 100)
    members.observe_heartbeat(new.heartbeat(revision=5), 900)
    [member] = members.zone_members(900)
    assert (member.incarnation, member.revision) == ("2", 5)


def test_lagging_list_does_not_override_heartbeats():
    members, peer = start_members("a-one"), start_members("a-two", incarnation="2")
    members.observe_heartbeat(peer.heartbeat(revision=1), 0)
    stale = build_list(1, "a-two", incarnation="1", state=ListState.LEAVING)
    members.observe_list(stale, 100)
    [member] = members.zone_members(100)
    assert (member.incarnation, member.state) == ("2", MemberState.ALIVE)


def test_leaving_is_learned_from_the_list_and_from_heartbeats():
    members, peer = start_members("a-one"), start_members("b-two", zone="b")
    peer.begin_leaving()
    members.observe_heartbeat(peer.heartbeat(revision=1), 0)
    members.observe_list(build_list(1, "a-three", state=ListState.LEAVING), 0)
    assert set(get_states(members, 0).values()) == {MemberState.LEAVING}


def test_zone_has_confirmed_only_when_each_known_member_reported():
    members = start_members("a-one")
    peer, other = start_members("b-one", zone="b"), start_members("b-two", zone="b")
    members.observe_heartbeat(peer.heartbeat(revision=8), 0)
    assert members.get_zone_revision("b") == 0, "no list was read"
    members.observe_list(build_list(1, "b-one", "b-two"), 0)
    assert members.get_zone_revision("b") == 0, "b-two was not heard"
    members.observe_heartbeat(other.heartbeat(revision=7), 0)
    assert members.get_zone_revision("b") == 7
    members.observe_heartbeat(other.heartbeat(revision=8), 60_000)
    members.tick(60_000)
    assert members.get_zone_revision("b") == 8, "a listed silent member still counts"
    restarted = start_members("b-two", zone="b", incarnation="2")
    members.observe_heartbeat(restarted.heartbeat(revision=0), 60_000)
    assert members.get_zone_revision("b") == 0, "a new process has no revision in force"
    assert members.get_zone_revision("c") == 0, "no member is known there"


def test_departed_member_is_removed_and_listed_one_is_kept():
    members = start_members("a-one")
    members.observe_list(build_list(1, "a-two", "a-three"), 0)
    members.observe_list(build_list(2, "a-two"), 0)
    members.tick(10_000)
    assert "a-three" in get_states(members, 10_000), "no list was read since"
    members.observe_list(build_list(2, "a-two"), 10_000)
    members.tick(10_000)
    assert get_states(members, 10_000) == {"a-two": MemberState.SILENT}


def test_exchanges_are_due_every_250_ms_in_the_zone_and_1000_ms_outside():
    members = start_members("a-one")
    members.observe_list(build_list(1, "a-one", "a-two", "a-dead", "b-one"), 0)
    peer = start_members("a-two")
    counts = {"a-two": 0, "a-dead": 0, "b-one": 0}
    for now in range(0, 4_000, 50):
        members.observe_heartbeat(peer.heartbeat(revision=1), now)
        for exchange in members.tick(now):
            counts[exchange.instance] += 1
    assert counts == {"a-two": 16, "a-dead": 7, "b-one": 4}


def test_seeds_are_contacted_only_while_isolated():
    members, peer = start_members("a-one", seeds=("a-one:1", "a-two:1")), start_members(
        "a-two"
    )
    [exchange] = members.tick(0)
    assert (exchange.address, exchange.instance) == ("a-two:1", None)
    members.observe_list(build_list(1, "a-one", "a-two"), 0)
    members.observe_heartbeat(peer.heartbeat(revision=1), 0)
    assert [exchange.instance for exchange in members.tick(2_000)] == ["a-two"]


def test_introduction_confirms_only_when_the_sender_is_confirmed():
    fresh, peer = start_members("a-one"), start_members("a-two")
    fresh.observe_heartbeat(peer.heartbeat(revision=1), 0)
    first = peer.observe_heartbeat(fresh.heartbeat(revision=0), 0)
    fresh.observe_introduction("a-two", first, 0)
    assert not fresh.is_confirmed
    peer.observe_list(build_list(1, "a-two", "a-three"), 0)
    again = start_members("a-one", incarnation="2")
    again.observe_heartbeat(peer.heartbeat(revision=1), 0)
    second = peer.observe_heartbeat(again.heartbeat(revision=0), 0)
    again.observe_introduction("a-two", second, 0)
    assert again.is_confirmed
    assert set(get_states(again, 0)) == {"a-two", "a-three"}


def test_introduction_from_an_unknown_sender_is_ignored():
    fresh = start_members("a-one")
    fresh.observe_introduction("z", Introduction(members=(), grounded=True), 0)
    assert not fresh.is_confirmed


def test_upstreams_are_grouped_by_listed_state():
    members = start_members("a-one")
    up = build_list(1, "a-up", role=Role.UPSTREAM)
    down = build_list(1, "b-up", role=Role.UPSTREAM, state=ListState.LEAVING)
    both = InstanceList(version=1, instances=(*up.instances, *down.instances))
    members.observe_list(both, 0)
    assert [row.id for row in members.live_upstreams] == ["a-up"]
    assert [row.id for row in members.leaving_upstreams] == ["b-up"]


def test_answered_exchange_is_not_repeated_before_its_interval():
    members, peer = start_members("a-one"), start_members("a-two")
    members.observe_heartbeat(peer.heartbeat(revision=3), 0)
    members.record_answered_exchange("a-two", 0)
    assert members.tick(249) == []
    assert [exchange.instance for exchange in members.tick(250)] == ["a-two"]


def test_instance_without_a_list_takes_one_from_a_peer():
    """Guards against a new instance in a partition that knows no upstream."""
    members, peer = start_members("a-one"), start_members("a-two")
    assert peer.answer_list_request() is None
    peer.observe_list(build_list(5, "a-one", "a-two"), 0)
    members.observe_peer_list(peer.answer_list_request())
    assert members.take_peer_list().version == 5
    assert members.take_peer_list() is None


def test_list_of_a_peer_is_ignored_after_reading_one():
    members, peer = start_members("a-one"), start_members("a-two")
    peer.observe_list(build_list(5, "a-one", "a-two"), 0)
    members.observe_list(build_list(4, "a-one"), 0)
    members.observe_peer_list(peer.answer_list_request())
    assert members.take_peer_list() is None
