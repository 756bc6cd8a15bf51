"""A short soak test with seeds that once found a violation, and tests of the checks."""

from __future__ import annotations

import pathlib

import msgspec
import pytest

from tests.soak.faults import (
    ALL_STEPS,
    CALLER_STEPS,
    LATEST_STEPS,
    RESTORING_STEPS,
    STEPS,
    run_seed,
)
from tests.soak.ledger import Ledger, Refusal, Run, SentRequest

SEEDS = (
    (1, STEPS),
    (2, STEPS),
    (3, ALL_STEPS),
    (4, LATEST_STEPS),
    (5, RESTORING_STEPS),
    (5, CALLER_STEPS),
)


@pytest.mark.parametrize(("seed", "choices"), SEEDS)
async def test_guarantees_hold_under_faults(
    seed: int, choices: tuple, tmp_path: pathlib.Path
) -> None:
    """Gateway processes keep the guarantees under single and overlapping faults."""
    result = await run_seed(seed, tmp_path, choices=choices)
    assert result.violations == (), result
    assert result.served > 0


def build_ledger(kind: str = "file", *, status: int = 200, runs: int = 1) -> Ledger:
    ledger = Ledger()
    ledger.key_accounts = {"key": "museum"}
    ledger.sent["r1"] = SentRequest(
        request="r1",
        kind=kind,
        key="key",
        sent_at=10.0,
        status=status,
        signatures=("s0",),
        body=b"body",
    )
    for number in range(runs):
        ledger.runs["r1"].append(
            Run(
                at=10.0,
                upstream="u",
                signature=f"s{number}",
                body=b"body",
                account="museum",
                carried_key=False,
            )
        )
    return ledger


def test_ledger_accepts_correct_runs() -> None:
    assert build_ledger().list_violations() == []


@pytest.mark.parametrize(
    ("rule", "fields"),
    [
        ("TWICE", {"runs": 2}),
        ("REFUSED", {"status": 503}),
        ("MIXED", {"runs": 0}),
    ],
)
def test_ledger_finds_violations(rule: str, fields: dict) -> None:
    """If a check could not fail, every seed would pass."""
    line, *_ = build_ledger(**fields).list_violations()
    assert line.startswith(rule)


def test_ledger_finds_runs_with_revoked_keys() -> None:
    ledger = build_ledger()
    ledger.revoked_at["key"] = 4.0
    assert ledger.list_violations()[0].startswith("CONFIG")


def test_ledger_finds_calls_to_draining_upstreams() -> None:
    ledger = build_ledger()
    ledger.draining_since["u"] = 6.0
    assert ledger.list_violations()[0].startswith("DRAIN")


@pytest.mark.parametrize(
    ("start", "end", "is_found"),
    [(4.0, 20.0, True), (6.0, 20.0, False), (1.0, 9.0, False)],
)
def test_ledger_finds_calls_to_evacuated_zones(
    start: float, end: float, is_found: bool
) -> None:
    ledger = build_ledger()
    ledger.upstream_zones["u"] = "zone-a"
    ledger.evacuations.append(("zone-a", start, end))
    violations = ledger.list_violations()
    assert any(line.startswith("EVAC") for line in violations) is is_found


@pytest.mark.parametrize(
    ("sent_at", "started_at", "is_found"),
    [(14.0, None, True), (12.0, None, False), (14.0, 13.0, False)],
)
def test_ledger_finds_calls_to_leaving_upstreams(
    sent_at: float, started_at: float | None, is_found: bool
) -> None:
    """The instance has passed on the notice at 10.5; a restart forgets it."""
    ledger = build_ledger()
    ledger.sent["r1"].answered_at = 10.5
    ledger.sent["r1"].instance = "a"
    ledger.runs["r1"] = [
        msgspec.structs.replace(ledger.runs["r1"][0], said_leaving=True)
    ]
    ledger.sent["r2"] = SentRequest(
        request="r2", kind="read", key="key", sent_at=sent_at, instance="a"
    )
    ledger.arrivals.append(("r2", "u", sent_at))
    if started_at is not None:
        ledger.starts["a"].append(started_at)
    violations = ledger.list_violations()
    assert any(line.startswith("DRAIN r2") for line in violations) is is_found


@pytest.mark.parametrize(("arrivals", "is_found"), [(2, False), (3, True)])
def test_ledger_finds_requests_in_a_pause(arrivals: int, is_found: bool) -> None:
    ledger = build_ledger()
    ledger.refusals.append(Refusal(request="r1", upstream="u", at=10.0, pause_s=2.0))
    for number in range(arrivals):
        ledger.sent[f"x{number}"] = SentRequest(
            request=f"x{number}", kind="read", key="key", sent_at=11.0
        )
        ledger.arrivals.append((f"x{number}", "u", 11.0))
    # Shortly after the refusal, requests may still be on their way.
    ledger.arrivals.append(("r1", "u", 10.2))
    violations = ledger.list_violations()
    assert any(line.startswith("BUDGET") for line in violations) is is_found


def test_ledger_finds_accounts_above_their_rate_limit() -> None:
    ledger = build_ledger()
    ledger.account_limits["museum"] = (1.0, 1.0)
    for number in range(40):
        ledger.runs[f"x{number}"] = [ledger.runs["r1"][0]]
    assert any(line.startswith("QUOTA") for line in ledger.list_violations())
