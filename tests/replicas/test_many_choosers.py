"""Many instances that choose at the same moment from the same old news.

Servers were overrun in turns while their siblings had free slots. The bounds are those
of issue 37; ``choice_model`` says what is modelled.
"""

from __future__ import annotations

import pytest

from tests.replicas.choice_model import NO_NEWS_MS, Figures, run_all

UPSTREAMS = pytest.mark.parametrize("upstreams", [3, 16])
FRESH_MS = 20.0


def run_today(upstreams: int, news_ms: float) -> Figures:
    return run_all(upstreams=upstreams, news_ms=news_ms, states_factor=False)


def run_new(upstreams: int, news_ms: float) -> Figures:
    return run_all(upstreams=upstreams, news_ms=news_ms, states_factor=True)


@UPSTREAMS
@pytest.mark.parametrize("news_ms", [FRESH_MS, 100.0, 500.0])
def test_half_as_many_calls_are_misplaced(upstreams: int, news_ms: float) -> None:
    """They met a full queue while a sibling had a free slot."""
    today = run_today(upstreams, news_ms)
    assert run_new(upstreams, news_ms).misplaced <= 0.5 * today.misplaced


@UPSTREAMS
@pytest.mark.parametrize("news_ms", [100.0, 500.0])
def test_half_as_many_without_pauses(upstreams: int, news_ms: float) -> None:
    """A pause fills a queue sooner than old news arrive; the choice does the rest."""
    today, new = (
        run_all(
            upstreams=upstreams,
            news_ms=news_ms,
            states_factor=states_factor,
            pauses=False,
        )
        for states_factor in (False, True)
    )
    assert new.misplaced <= 0.5 * today.misplaced


@UPSTREAMS
def test_longest_queue_is_near_that_with_perfect_news(upstreams: int) -> None:
    perfect = run_new(upstreams, 0.0)
    assert run_new(upstreams, 100.0).longest_queue <= 1.25 * perfect.longest_queue


@UPSTREAMS
def test_old_news_cause_no_swings(upstreams: int) -> None:
    """Instances that follow old news in step are worse off than without any."""
    without_news = run_new(upstreams, NO_NEWS_MS)
    for news_ms in (100.0, 500.0):
        figures = run_new(upstreams, news_ms)
        assert figures.swing <= 1.1 * without_news.swing
        assert figures.refused <= 1.1 * without_news.refused


@UPSTREAMS
def test_fresh_news_are_used_no_worse_than_today(upstreams: int) -> None:
    today, new = run_today(upstreams, FRESH_MS), run_new(upstreams, FRESH_MS)
    assert new.latency_ms <= today.latency_ms
    assert new.longest_queue <= today.longest_queue
    assert new.refused <= today.refused


@UPSTREAMS
@pytest.mark.parametrize("news_ms", [100.0, 500.0])
def test_old_news_are_used_no_worse_than_today(upstreams: int, news_ms: float) -> None:
    today, new = run_today(upstreams, news_ms), run_new(upstreams, news_ms)
    assert new.latency_ms <= today.latency_ms
    assert new.longest_queue <= today.longest_queue
    assert new.refused <= today.refused
