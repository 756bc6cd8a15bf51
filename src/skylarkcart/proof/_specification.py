"""Transition systems for z3, with bounded model checking and inductive invariants."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import z3

from skylarkcart.proof._registry import ModelResult

STEPS = 9

State = dict[str, z3.ExprRef]
Step = Callable[[State, State, str | None], list[z3.BoolRef]]


class Specification(msgspec.Struct, frozen=True, kw_only=True):
    """A transition system and the property that holds in all its reachable states.

    ``variables`` maps each state variable to the constructor of its z3 constant,
    ``begins`` holds in the initial states, and ``steps`` returns the transitions.
    """

    variables: dict[str, Callable[[str], z3.ExprRef]]
    begins: Callable[[State], z3.BoolRef]
    steps: Step
    is_safe: Callable[[State], z3.BoolRef]


def _declare(specification: Specification, suffix: str) -> State:
    return {
        name: build(f"{name}_{suffix}")
        for name, build in specification.variables.items()
    }


def keep_others(before: State, after: State, *changed: str) -> z3.BoolRef:
    same = [after[name] == before[name] for name in before if name not in changed]
    return z3.And(*same)


def take_smaller(one: z3.ArithRef, other: z3.ArithRef | float) -> z3.ArithRef:
    return z3.If(one < other, one, other)


def search_violation(specification: Specification, fault: str | None) -> ModelResult:
    """Searches for an unsafe state that is reachable within ``STEPS`` steps."""
    solver = z3.Solver()
    states = [_declare(specification, str(number)) for number in range(STEPS + 1)]
    solver.add(specification.begins(states[0]))
    for before, after in zip(states, states[1:], strict=False):
        solver.add(z3.Or(*specification.steps(before, after, fault)))
    solver.add(z3.Or(*[z3.Not(specification.is_safe(state)) for state in states]))
    if solver.check() == z3.unsat:
        return ModelResult(has_counterexample=False, detail=f"{STEPS} steps")
    return ModelResult(has_counterexample=True, detail=str(solver.reason_unknown()))


def check_induction(
    specification: Specification, invariant: Callable[[State], z3.BoolRef]
) -> ModelResult:
    """Checks that an invariant proves safety for runs of any length.

    It must hold in the initial states, be preserved by each step and imply the safety
    property.
    """
    before, after = _declare(specification, "before"), _declare(specification, "after")
    obligations = [
        z3.Implies(specification.begins(before), invariant(before)),
        z3.Implies(invariant(before), specification.is_safe(before)),
    ]
    for step in specification.steps(before, after, None):
        obligations.append(
            z3.Implies(z3.And(invariant(before), step), invariant(after))
        )
    for obligation in obligations:
        solver = z3.Solver()
        solver.add(z3.Not(obligation))
        if solver.check() != z3.unsat:
            return ModelResult(has_counterexample=True, detail=str(obligation))
    return ModelResult(has_counterexample=False, detail="inductive, runs of any length")
