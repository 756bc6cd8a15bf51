"""Specification of the transfer of a right between two candidates.

Candidates 1 and 2 don't know each other, and both need the consent of member M, which
has agreed to candidate ``agreed`` until ``until``. A candidate has at most one message
in flight: ``asked`` is when it sent the message, and ``consent`` when M agreed;
``UNSET`` stands for no message.
"""

from __future__ import annotations

import z3

from skylarkcart.proof._specification import Specification, State, keep_unchanged_except

LEASE_MS = 2_000
# A candidate's lease is 1% shorter to allow for clock drift.
CANDIDATE_LEASE_MS = 1_980
QUARANTINE_MS = 2_000
MAX_DELAY_MS = 500
UNSET = -1


def _step_rights(before: State, after: State, fault: str | None) -> list[z3.BoolRef]:
    now = before["now"]
    advance_time = z3.And(
        after["now"] >= now, keep_unchanged_except(before, after, "now")
    )
    restart = z3.And(
        after["agreed"] == 0,
        after["until"] == 0,
        after["started"] == now,
        after["followed"] == z3.BoolVal(False),
        keep_unchanged_except(before, after, "agreed", "until", "started", "followed"),
    )
    steps = [advance_time, restart]
    for number in (1, 2):
        steps += _step_candidate(before, after, number, fault)
    return steps


def _step_candidate(
    before: State, after: State, number: int, fault: str | None
) -> list[z3.BoolRef]:
    now = before["now"]
    asked, lease = f"asked{number}", f"lease{number}"
    consent, holding = f"consent{number}", f"holding{number}"
    request_consent = z3.And(
        after[asked] == now,
        after[holding] == (before[lease] > now),
        after[consent] == UNSET,
        keep_unchanged_except(before, after, asked, holding, consent),
    )
    is_available = z3.Or(before["agreed"] == number, before["until"] <= now)
    may_agree = z3.Or(
        before[holding],
        before["followed"],
        now - before["started"] >= QUARANTINE_MS,
    )
    give_consent = z3.And(
        before[asked] >= 0,
        before[consent] == UNSET,
        now - before[asked] <= MAX_DELAY_MS,
        before[asked] >= before["started"],
        True if fault == "consent given to two candidates" else is_available,
        True if fault == "quarantine of members skipped" else may_agree,
        after["agreed"] == number,
        after["until"] == now + LEASE_MS,
        after["followed"] == z3.Or(before["followed"], before[holding]),
        after[consent] == now,
        keep_unchanged_except(before, after, "agreed", "until", "followed", consent),
    )
    counted_from = now if fault == "right counted from receipt" else before[asked]
    acquire = z3.And(
        before[consent] >= 0,
        now - before[consent] <= MAX_DELAY_MS,
        after[lease] == counted_from + CANDIDATE_LEASE_MS,
        after[asked] == UNSET,
        after[consent] == UNSET,
        keep_unchanged_except(before, after, lease, asked, consent),
    )
    release = z3.And(
        before[lease] > now,
        before["agreed"] == number,
        after[lease] == 0,
        after[asked] == UNSET,
        after[consent] == UNSET,
        after["until"] == now,
        keep_unchanged_except(before, after, lease, asked, consent, "until"),
    )
    return [request_consent, give_consent, acquire, release]


def _has_single_holder(state: State) -> z3.BoolRef:
    return z3.Not(
        z3.And(state["lease1"] > state["now"], state["lease2"] > state["now"])
    )


_CANDIDATE_TIME_VARIABLES = [
    f"{name}{number}" for name in ("asked", "lease", "consent") for number in (1, 2)
]

RIGHTS = Specification(
    variables={
        **dict.fromkeys(
            ("now", "until", "started", *_CANDIDATE_TIME_VARIABLES), z3.Real
        ),
        "agreed": z3.Int,
        **dict.fromkeys(("followed", "holding1", "holding2"), z3.Bool),
    },
    is_initial=lambda state: z3.And(
        state["now"] == QUARANTINE_MS,
        state["started"] == 0,
        state["agreed"] == 0,
        state["until"] == 0,
        z3.Not(state["followed"]),
        z3.Not(state["holding1"]),
        z3.Not(state["holding2"]),
        *[
            state[name] == (0 if name.startswith("lease") else UNSET)
            for name in _CANDIDATE_TIME_VARIABLES
        ],
    ),
    build_transitions=_step_rights,
    is_safe=_has_single_holder,
)
