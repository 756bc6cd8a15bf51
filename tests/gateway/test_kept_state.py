"""Guards against instances that restart while the store is restored, and forget.

They read the copy before they had heard of an instance that went on running, put the
version of the copy in force and served a withdrawn key until the operators had written
the later version again.
"""

from __future__ import annotations

import pytest

from tests.gateway.kept_state_model import (
    COPIED_VERSION,
    EVACUATED,
    REVOKING_VERSION,
    KeptStateModel,
    ModelInstance,
)

DOWN_MS = 500.0


def list_uninformed(instances: list[ModelInstance]) -> list[str]:
    """Returns the instances that lack what is kept, or that don't serve keys yet."""
    return [
        instance.host
        for instance in instances
        if instance.core.configuration_version != REVOKING_VERSION
        or EVACUATED not in instance.core.registry.closed_zones
        or not instance.core.has_current_keys(instance.core.now)
    ]


async def restore_and_restart(
    model: KeptStateModel, survivors: list[int]
) -> list[ModelInstance]:
    """Restores the store, and ends all instances but some just after it."""
    model.restore_store()
    await model.run_for(100)
    ended = [n for n in range(len(model.hosts)) if n not in survivors]
    return await model.restart(ended, down_ms=DOWN_MS)


async def watch(model: KeptStateModel, duration_ms: float) -> set[str]:
    """Returns the instances that would admit the withdrawn key at any time."""
    violations: set[str] = set()
    await model.run_for(
        duration_ms,
        on_step=lambda: violations.update(
            host
            for host, instance in model.instances.items()
            if instance.accepts_withdrawn_key
        ),
    )
    return violations


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    ("count", "zone_count", "survivors", "loss"),
    [(5, 4, [4], 0.0), (9, 4, [8], 0.05), (16, 4, [7], 0.05), (16, 4, [3, 9], 0.05)],
)
async def test_survivors_tell_all_others_before_these_trust_a_key(
    count: int, zone_count: int, survivors: list[int], loss: float, seed: int
) -> None:
    model = KeptStateModel(count=count, zone_count=zone_count, seed=seed, loss=loss)
    await model.run_for(2_000)
    restarted = await restore_and_restart(model, survivors)
    assert await watch(model, 2_000) == set()
    assert list_uninformed(restarted) == []


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("count", "survivors"), [(40, [21]), (74, [50, 51, 52, 53])])
async def test_few_survivors_of_a_large_fleet_tell_all_others(
    count: int, survivors: list[int], seed: int
) -> None:
    """Reports go to a few peers in each round, and what they say spreads by gossip."""
    model = KeptStateModel(count=count, zone_count=4, seed=seed, loss=0.02)
    await model.run_for(4_000)
    restarted = await restore_and_restart(model, survivors)
    assert await watch(model, 4_000) == set()
    assert list_uninformed(restarted) == []


async def test_survivor_that_learns_of_the_restore_from_a_restarted_peer() -> None:
    """It still knows the era before, and begins to keep what it knows only then."""
    model = KeptStateModel(count=5, zone_count=4, seed=1)
    await model.run_for(2_000)
    restarted = await model.restart([0, 1, 2, 3], down_ms=DOWN_MS)
    assert await watch(model, 3_000) == set()
    assert list_uninformed(restarted) == []


async def test_keys_are_trusted_soon_if_no_instance_has_survived() -> None:
    model = KeptStateModel(count=9, zone_count=4, seed=1)
    await model.run_for(2_000)
    restarted = await model.restart(list(range(9)), down_ms=DOWN_MS)
    await model.run_for(800)
    for instance in restarted:
        assert instance.core.configuration_version == COPIED_VERSION
        assert instance.core.has_current_keys(instance.core.now)


async def test_single_restart_trusts_keys_once_it_has_heard_of_a_peer() -> None:
    model = KeptStateModel(count=9, zone_count=4, seed=1)
    await model.run_for(2_000)
    model.restore_store()
    await model.run_for(1_500)
    (restarted,) = await model.restart([8], down_ms=DOWN_MS)
    await model.run_for(100)
    assert list_uninformed([restarted]) == []


async def test_instance_that_was_cut_off_surveys_its_peers_before_it_trusts_a_key() -> (
    None
):
    """Its process went on running, but missed the version that the copy lacks."""
    model = KeptStateModel(count=5, zone_count=4, seed=1, behind={2})
    cut_off = model.instances[model.hosts[2]]
    model.cut_off(2)
    await model.run_for(5_000)
    for instance in model.instances.values():
        instance.read_store(COPIED_VERSION, era=2)
    model.reconnect(2)
    assert await watch(model, 2_000) == set()
    assert list_uninformed([cut_off]) == []


async def test_restore_refuses_no_key_where_the_state_was_current() -> None:
    """The survey takes some rounds, in which earlier confirmations count."""
    model = KeptStateModel(count=9, zone_count=4, seed=1)
    await model.run_for(2_000)
    model.confirm_all()
    await model.run_for(1_000)
    model.restore_store()
    unready: set[str] = set()

    def check() -> None:
        model.confirm_all()
        unready.update(list_uninformed(list(model.instances.values())))

    await model.run_for(3_000, on_step=check)
    assert unready == set()
