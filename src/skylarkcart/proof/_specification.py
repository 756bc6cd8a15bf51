"""Transition systems for z3, with bounded model checking and inductive invariants."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import z3

from skylarkcart.proof._registry import ModelResult

MAX_STEPS = 9

State = dict[str, z3.ExprRef]
Step = Callable[[State, State, str | None], list[z3.BoolRef]]


class Specification(msgspec.Struct, frozen=True, kw_only=True):
    """A transition system and the property that holds in all its reachable states.

    ``variables`` maps each state variable to the constructor of its z3 constant,
    ``is_initial`` holds in the initial states, and ``build_transitions`` returns the
    transitions.
    """

    variables: dict[str, Callable[[str], z3.ExprRef]]
    is_initial: Callable[[State], z3.BoolRef]
    build_transitions: Step
    is_safe: Callable[[State], z3.BoolRef]


def _declare(specification: Specification, suffix: str) -> State:
    return {
        name: build(f"{name}_{suffix}")
        for name, build in specification.variables.items()
    }


def keep_unchanged_except(before: State, after: State, *changed: str) -> z3.BoolRef:
    same = [after[name] == before[name] for name in before if name not in changed]
    return z3.And(*same)


def minimum(one: z3.ArithRef, other: z3.ArithRef | float) -> z3.ArithRef:
    return z3.If(one < other, one, other)


def find_counterexample(specification: Specification, fault: str | None) -> ModelResult:
    """Searches for an unsafe state that is reachable within ``MAX_STEPS`` steps."""
    solver = z3.Solver()
    states = [_declare(specification, str(number)) for number in range(MAX_STEPS + 1)]
    solver.add(specification.is_initial(states[0]))
    for before, after in zip(states, states[1:], strict=False):
        solver.add(z3.Or(*specification.build_transitions(before, after, fault)))
    solver.add(z3.Or(*[z3.Not(specification.is_safe(state)) for state in states]))
    if solver.check() == z3.unsat:
        return ModelResult(has_counterexample=False, detail=f"{MAX_STEPS} steps")
    return ModelResult(has_counterexample=True, detail=str(solver.reason_unknown()))


def check_inductive_invariant(
    specification: Specification, invariant: Callable[[State], z3.BoolRef]
) -> ModelResult:
    """Checks that an invariant proves safety for runs of any length.

    It must hold in the initial states, be preserved by each step and imply the safety
    property.
    """
    before, after = _declare(specification, "before"), _declare(specification, "after")
    obligations = [
        z3.Implies(specification.is_initial(before), invariant(before)),
        z3.Implies(invariant(before), specification.is_safe(before)),
    ]
    for step in specification.build_transitions(before, after, None):
        obligations.append(
            z3.Implies(z3.And(invariant(before), step), invariant(after))
        )
    for obligation in obligations:
        solver = z3.Solver()
        solver.add(z3.Not(obligation))
        if solver.check() != z3.unsat:
            return ModelResult(has_counterexample=True, detail=str(obligation))
    return ModelResult(has_counterexample=False, detail="inductive, runs of any length")
