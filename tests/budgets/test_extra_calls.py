"""The extra calls of a service over all instances."""

from __future__ import annotations

import random

import pytest

from skylarkcart.budgets import ExtraCallKind, ExtraCalls
from skylarkcart.clock import Millis

RATIO = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0


def build(now: float = 0.0, *, rounding: float = 1.0) -> ExtraCalls:
    return ExtraCalls(
        ratio=RATIO,
        slack=SLACK,
        window_ms=WINDOW_MS,
        rounding=rounding,
        now=Millis(now),
    )


@pytest.mark.parametrize("seed", range(10))
def test_fleet_keeps_the_bound_in_every_window(seed: int) -> None:
    """Every call fails, so that each instance spends all that it may."""
    generator = random.Random(seed)
    fleet = [build(rounding=1.0 - generator.random()) for _ in range(8)]
    requests: list[float] = []
    extra: list[float] = []
    now = 0.0
    while now < 40_000:
        now += generator.expovariate(0.045)
        calls = generator.choice(fleet)
        calls.note_request(Millis(now))
        requests.append(now)
        if calls.try_spend(ExtraCallKind.RETRY, now=Millis(now), fleet_size=8):
            extra.append(now)
    for end in range(int(WINDOW_MS), 40_000, 250):
        start = end - WINDOW_MS
        asked = sum(start < at <= end for at in requests)
        sent = sum(start < at <= end for at in extra)
        assert sent <= RATIO * asked + SLACK


def test_retries_find_budget_that_hedges_may_not_use() -> None:
    """Late calls must not take what failed calls need for any answer at all."""
    calls = build()
    now = Millis(20_000)
    for _ in range(100):
        calls.note_request(now)
    while calls.try_spend(ExtraCallKind.HEDGE, now=now, fleet_size=8):
        pass
    assert calls.try_spend(ExtraCallKind.RETRY, now=now, fleet_size=8)


def test_restart_does_not_bring_the_whole_slack_again() -> None:
    """A killed process may have spent its part just before."""
    calls = build(now=1_000)
    spent = 0
    while calls.try_spend(ExtraCallKind.RETRY, now=Millis(1_001), fleet_size=1):
        spent += 1
    assert spent <= SLACK / 2


def test_spent_calls_are_forgotten_after_the_window() -> None:
    calls = build()
    now = Millis(30_000)
    while calls.try_spend(ExtraCallKind.RETRY, now=now, fleet_size=8):
        pass
    assert calls.get_free_part(now=now, fleet_size=8) < 0.2
    assert calls.get_free_part(now=Millis(41_000), fleet_size=8) == 1.0


@pytest.mark.parametrize("seed", range(10))
def test_large_fleet_uses_nearly_all_of_its_budget_and_no_more(seed: int) -> None:
    """Fractions that are allowed at random must not add up to more than the bound."""
    generator = random.Random(seed)
    fleet_size, slack = 80, 200.0
    fleet = [
        ExtraCalls(
            ratio=RATIO,
            slack=slack,
            window_ms=WINDOW_MS,
            rounding=1.0 - generator.random(),
            now=Millis(-2 * WINDOW_MS),
        )
        for _ in range(fleet_size)
    ]
    asked = sent = 0
    for number in range(560):
        now = Millis(number * WINDOW_MS / 560)
        calls = generator.choice(fleet)
        calls.note_request(now)
        asked += 1
        for _ in range(3):
            sent += calls.try_spend(ExtraCallKind.RETRY, now=now, fleet_size=fleet_size)
    bound = RATIO * asked + slack
    assert 0.8 * bound <= sent <= bound


@pytest.mark.parametrize("seed", range(10))
def test_large_fleet_uses_the_fractions_of_its_budget(seed: int) -> None:
    """Each of 80 instances rounded 3.7 calls down to three, 240 instead of 296."""
    generator = random.Random(seed)
    fleet_size, slack, requests = 80, 200.0, 560
    fleet = [
        ExtraCalls(
            ratio=RATIO,
            slack=slack,
            window_ms=WINDOW_MS,
            rounding=1.0 - generator.random(),
            now=Millis(-2 * WINDOW_MS),
        )
        for _ in range(fleet_size)
    ]
    for number in range(requests):
        now = Millis(number * WINDOW_MS / requests)
        fleet[number % fleet_size].note_request(now)
    now = Millis(WINDOW_MS - 1)
    sent = sum(
        calls.try_spend(ExtraCallKind.RETRY, now=now, fleet_size=fleet_size)
        for calls in fleet
        for _ in range(10)
    )
    bound = RATIO * requests + slack
    assert 0.9 * bound <= sent <= bound
