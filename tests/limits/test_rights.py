"""Guards against two holders of one right, and against rights without a holder.

After each tick and message, ``RightsHarness`` checks that at most one member holds the
right.
"""

from __future__ import annotations

import pytest

from skylarkcart.proof import _limits_scenarios as scenarios
from skylarkcart.proof._limits_harness import RightsHarness
from skylarkcart.types import InstanceId

SEEDS = range(3)


def build_pair():
    bench = RightsHarness()
    bench.start("A", known_members="B")
    bench.start("B", known_members="A")
    bench.run(3_000)
    holder, other = ("A", "B") if bench.holds("A") else ("B", "A")
    return bench, holder, other


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "run",
    [
        scenarios.run_two_candidates,
        scenarios.run_late_consent,
        scenarios.run_member_restart,
        scenarios.run_candidate_with_incomplete_list,
        scenarios.run_paused_holder,
        scenarios.run_older_revision,
    ],
)
def test_right_has_one_holder_despite_stale_lists_restarts_and_pauses(run, seed):
    run(seed)


def test_no_member_holds_a_right_during_quarantine():
    bench = RightsHarness()
    bench.start("A", known_members="B")
    bench.start("B", known_members="A")
    bench.run(1_990)
    assert not bench.holds("A") and not bench.holds("B")


def test_member_that_was_never_introduced_acquires_nothing():
    bench = RightsHarness()
    bench.start("A", is_introduced=False)
    bench.run(9_000)
    assert not bench.holds("A")


def test_lost_holder_is_replaced_after_its_lease():
    bench, holder, other = build_pair()
    bench.stop(holder)
    bench.run(2_500)
    assert bench.holds(other)


def test_released_right_moves_within_a_few_round_trips():
    bench, holder, other = build_pair()
    rights = bench.rights[InstanceId(holder)]
    bench._send(InstanceId(holder), rights.begin_leave() + rights.release((0,)))
    bench.run(5)
    assert bench.holds(other)


def test_release_that_arrives_after_a_newer_renewal_is_ignored():
    bench, holder, other = build_pair()
    stale = bench.rights[InstanceId(holder)].release(())
    release = stale[0].message
    bench.run(500)
    late = type(release)(
        space=release.space,
        incarnation=release.incarnation,
        attempt=release.attempt,
        groups=(0,),
    )
    member = bench.rights[InstanceId(other)]
    member.handle_release(InstanceId(holder), late, bench.now)
    assert member.find_holder(0, bench.now) == holder


def test_paused_holder_has_lost_its_right_before_its_first_tick():
    bench, holder, _ = build_pair()
    rights = bench.rights[InstanceId(holder)]
    bench.pause(holder, 450)
    bench.run(449)
    assert not rights.holds(0, bench.now)


def test_joining_member_does_not_end_the_lease():
    bench, holder, other = build_pair()
    bench.start("C", known_members=holder + other)
    for name in (holder, other):
        known = [InstanceId(member) for member in ("A", "B", "C", "D")]
        bench.rights[InstanceId(name)].observe_members(known, bench.now)
    for _ in range(60):
        bench.run(50)
        assert bench.holds(holder)


def test_lost_messages_do_not_end_the_lease():
    bench, holder, other = build_pair()
    bench.delays[other, holder] = None
    bench.run(700)
    del bench.delays[other, holder]
    bench.run(300)
    assert bench.holds(holder)


@pytest.mark.parametrize("newer", ["A", "B"])
def test_candidate_with_newer_revision_wins_without_a_message_storm(newer):
    bench = RightsHarness(groups=16)
    bench.start("A", known_members="BM")
    bench.start("B", known_members="AM")
    bench.rights[InstanceId(newer)].set_revision(2, settled=False)
    bench.run(1_900)
    bench.start(
        "M", known_members="AB", is_introduced=False
    )  # Can't agree to a candidate yet.
    bench.run(150)
    bench.sent_messages = 0
    bench.run(1_000)
    assert bench.sent_messages <= 3 * 4 * 20  # At most 4 messages per member and tick.
    bench.run(3_000)
    assert bench.holds(newer)
