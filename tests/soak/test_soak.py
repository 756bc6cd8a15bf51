"""A short seeded soak, and the seeds that once broke a promise."""

from __future__ import annotations

import pathlib

import pytest

from tests.soak.faults import run_seed
from tests.soak.ledger import Ledger, Run, Sent

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(seed: int, tmp_path: pathlib.Path) -> None:
    """Faults of every kind, in series and overlapping, around real processes."""
    result = await run_seed(seed, tmp_path)
    assert result.broken == (), result
    assert result.served > 0


def build_ledger(kind: str = "file", *, status: int = 200, runs: int = 1) -> Ledger:
    ledger = Ledger()
    ledger.accounts = {"key": "museum"}
    ledger.sent["r1"] = Sent(
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


def test_ledger_accepts_what_is_right() -> None:
    assert build_ledger().list_broken() == []


@pytest.mark.parametrize(
    ("rule", "fields"),
    [
        ("TWICE", {"runs": 2}),
        ("REFUSED", {"status": 503}),
        ("MIXED", {"runs": 0}),
    ],
)
def test_ledger_finds_broken_promises(rule: str, fields: dict) -> None:
    """A check that can't fail would let every seed pass."""
    line, *_ = build_ledger(**fields).list_broken()
    assert line.startswith(rule)


def test_ledger_finds_keys_that_work_too_long() -> None:
    ledger = build_ledger()
    ledger.withdrawn["key"] = 4.0
    assert ledger.list_broken()[0].startswith("CONFIG")


def test_ledger_finds_calls_to_upstreams_that_left() -> None:
    ledger = build_ledger()
    ledger.left["u"] = 6.0
    assert ledger.list_broken()[0].startswith("DRAIN")


def test_ledger_finds_accounts_above_their_rate() -> None:
    ledger = build_ledger()
    ledger.limits["museum"] = (1.0, 1.0)
    for number in range(40):
        ledger.runs[f"x{number}"] = [ledger.runs["r1"][0]]
    assert any(line.startswith("QUOTA") for line in ledger.list_broken())
