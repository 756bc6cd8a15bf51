"""Specifications of grants, of a right's transfer, and of increases of allocations.

Grants have an inductive invariant, so the proof holds for runs of any length. The
other two are checked for all runs of up to ``MAX_STEPS`` steps. Counterexamples to a
specification with a fault are searched for up to the same bound.
"""

from __future__ import annotations

import functools

import z3

from skylarkcart.proof._limits_rights_model import LEASE_MS, RIGHTS, UNSET
from skylarkcart.proof._registry import Model, ModelResult
from skylarkcart.proof._specification import (
    Specification,
    State,
    check_inductive_invariant,
    find_counterexample,
    keep_unchanged_except,
    minimum,
)

BURST_TOKENS = 10

# Grants, with rate 1: ``owed`` is the time for which the issuer has not minted yet,
# ``counted`` the issuer's outstanding tokens, ``hand`` the tokens that the receiver may
# spend, ``back`` the tokens of a return in flight, ``allowed`` the ledger's balance.


def _step_grants(before: State, after: State, fault: str | None) -> list[z3.BoolRef]:
    b = before
    max_balance = (
        BURST_TOKENS
        if fault == "outstanding not counted"
        else BURST_TOKENS - b["counted"]
    )
    filled = minimum(b["balance"] + b["owed"], max_balance)
    elapsed = after["owed"] - b["owed"]
    advance_time = z3.And(
        elapsed >= 0,
        after["allowed"] == minimum(b["allowed"] + elapsed, BURST_TOKENS),
        keep_unchanged_except(b, after, "owed", "allowed"),
    )
    refill = z3.And(
        after["balance"] == filled,
        after["owed"] == 0,
        keep_unchanged_except(b, after, "balance", "owed"),
    )
    amount = after["hand"]
    debit = 0 if fault == "grant not debited" else amount
    grant = z3.And(
        b["owed"] == 0,
        b["counted"] == 0,
        b["hand"] == 0,
        b["back"] == 0,
        amount > 0,
        amount <= b["balance"],
        after["counted"] == amount,
        after["balance"] == b["balance"] - debit,
        keep_unchanged_except(b, after, "hand", "counted", "balance"),
    )
    spent = b["allowed"] - after["allowed"]
    spend_hand = z3.And(
        spent > 0,
        spent <= b["hand"],
        after["hand"] == b["hand"] - spent,
        keep_unchanged_except(b, after, "allowed", "hand"),
    )
    spend_balance = z3.And(
        b["owed"] == 0,
        spent > 0,
        spent <= b["balance"],
        after["balance"] == b["balance"] - spent,
        keep_unchanged_except(b, after, "allowed", "balance"),
    )
    report = z3.And(
        b["owed"] == 0,
        b["hand"] + b["back"] <= after["counted"],
        after["counted"] <= b["counted"],
        keep_unchanged_except(b, after, "counted"),
    )
    return_grant = z3.And(
        b["back"] == 0,
        after["back"] == b["hand"],
        after["hand"] == 0,
        keep_unchanged_except(b, after, "hand", "back"),
    )
    repeats_return = fault == "doubled report raises a balance"
    accept_return = z3.And(
        b["owed"] == 0,
        b["back"] > 0,
        after["balance"] == minimum(b["balance"] + b["back"], BURST_TOKENS),
        after["back"] == (b["back"] if repeats_return else 0),
        after["counted"] == 0,
        keep_unchanged_except(b, after, "balance", "back", "counted"),
    )
    expires_before_minting = fault == "minting for the time before an expiry"
    expire = z3.And(
        True if expires_before_minting else b["owed"] == 0,
        after["hand"] == (b["hand"] if fault == "expired grant spent" else 0),
        after["back"] == 0,
        after["counted"] == 0,
        keep_unchanged_except(b, after, "hand", "back", "counted"),
    )
    change_holder = z3.And(
        b["hand"] == 0,
        b["back"] == 0,
        after["balance"]
        == (BURST_TOKENS if fault == "restart with a full bucket" else 0),
        after["counted"] == 0,
        after["owed"] == 0,
        keep_unchanged_except(b, after, "balance", "counted", "owed"),
    )
    return [
        advance_time,
        refill,
        grant,
        spend_hand,
        spend_balance,
        report,
        return_grant,
        accept_return,
        expire,
        change_holder,
    ]


def _bounds_spendable_tokens(state: State) -> z3.BoolRef:
    filled = minimum(state["balance"] + state["owed"], BURST_TOKENS - state["counted"])
    granted = state["hand"] + state["back"]
    return z3.And(
        *[state[name] >= 0 for name in ("balance", "owed", "hand", "back")],
        state["balance"] + state["counted"] <= BURST_TOKENS,
        granted <= state["counted"],
        z3.Or(state["hand"] == 0, state["back"] == 0),
        filled + granted <= state["allowed"],
        state["allowed"] <= BURST_TOKENS,
    )


GRANTS = Specification(
    variables=dict.fromkeys(
        ("balance", "owed", "counted", "hand", "back", "allowed"), z3.Real
    ),
    is_initial=lambda state: z3.And(
        state["allowed"] == BURST_TOKENS,
        *[state[name] == 0 for name in state if name != "allowed"],
    ),
    build_transitions=_step_grants,
    is_safe=lambda state: state["allowed"] >= 0,
)


def _solve_grants(fault: str | None) -> ModelResult:
    if fault is None:
        return check_inductive_invariant(GRANTS, _bounds_spendable_tokens)
    return find_counterexample(GRANTS, fault)


# Allocations: a revision moves burst from zone 1 to zone 2. Zone 1 may be able to spend
# its old allocation until its grants have expired, ``LEASE_MS`` after it adopted the
# revision.


def _step_parts(before: State, after: State, fault: str | None) -> list[z3.BoolRef]:
    now = before["now"]
    advance_time = z3.And(
        after["now"] >= now, keep_unchanged_except(before, after, "now")
    )
    adopt = z3.And(
        before["adopted_at"] < 0,
        after["adopted_at"] == now,
        keep_unchanged_except(before, after, "adopted_at"),
    )
    report = z3.And(
        before["adopted_at"] >= 0,
        before["reported_at"] < 0,
        after["reported_at"] == now,
        keep_unchanged_except(before, after, "reported_at"),
    )
    is_reported = before["reported_at"] >= 0
    is_settled = z3.And(is_reported, now - before["reported_at"] >= LEASE_MS)
    may_increase = {
        "increase applied at once": z3.BoolVal(True),
        "increase applied at the report": is_reported,
    }.get(fault or "", is_settled)
    increase_part = z3.And(
        may_increase,
        after["part2"] == before["target2"],
        keep_unchanged_except(before, after, "part2"),
    )
    return [advance_time, adopt, report, increase_part]


def _is_within_burst(state: State) -> z3.BoolRef:
    is_lowered = z3.And(
        state["adopted_at"] >= 0, state["now"] - state["adopted_at"] >= LEASE_MS
    )
    spendable1 = z3.If(is_lowered, BURST_TOKENS - state["target2"], state["part1"])
    return spendable1 + state["part2"] <= BURST_TOKENS


PARTS = Specification(
    variables=dict.fromkeys(
        ("now", "adopted_at", "reported_at", "part1", "part2", "target2"), z3.Real
    ),
    is_initial=lambda state: z3.And(
        state["now"] == 0,
        state["adopted_at"] == UNSET,
        state["reported_at"] == UNSET,
        state["part2"] >= 0,
        state["target2"] > state["part2"],
        state["target2"] <= BURST_TOKENS,
        state["part1"] == BURST_TOKENS - state["part2"],
    ),
    build_transitions=_step_parts,
    is_safe=_is_within_burst,
)

LIMITS_MODELS = (
    Model(
        name="limits/grants",
        faults=(
            "restart with a full bucket",
            "grant not debited",
            "outstanding not counted",
            "doubled report raises a balance",
            "minting for the time before an expiry",
            "expired grant spent",
        ),
        solve=_solve_grants,
    ),
    Model(
        name="limits/rights",
        faults=(
            "consent given to two candidates",
            "right counted from receipt",
            "quarantine of members skipped",
        ),
        solve=functools.partial(find_counterexample, RIGHTS),
    ),
    Model(
        name="limits/parts",
        faults=("increase applied at once", "increase applied at the report"),
        solve=functools.partial(find_counterexample, PARTS),
    ),
)
