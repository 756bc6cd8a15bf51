"""Runs, faults and models that ``skylarkcart-proof`` executes."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import msgspec

from skylarkcart import invariants


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a randomised run.

    ``lines`` are printed; ``violations`` counts violated invariants.
    """

    lines: tuple[str, ...]
    violations: int


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """A randomised run; ``execute`` takes a seed and a number of steps."""

    name: str
    execute: Callable[[int, int], RunReport]


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A deliberate fault in the code under test.

    ``insert`` returns a context in which the code has the fault. ``is_detected`` takes
    a seed and a number of steps, and returns whether a run finds a violation.
    """

    name: str
    insert: Callable[[], contextlib.AbstractContextManager[object]]
    is_detected: Callable[[int, int], bool]


class ModelResult(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a counterexample was found; ``detail`` shows it or states the bound."""

    has_counterexample: bool
    detail: str = ""


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """A small specification that a solver checks.

    ``solve`` must find a counterexample with each of the named ``faults``, and none
    with None.
    """

    name: str
    faults: tuple[str, ...]
    solve: Callable[[str | None], ModelResult]


def violates_invariant(action: Callable[[], object]) -> bool:
    """Returns whether ``action`` violates an invariant; resets the violations if so.

    Strict mode is switched on and stays on. The first violation then raises, so that it
    is the only one to reset.
    """
    invariants.set_strict(True)
    try:
        action()
    except invariants.InvariantError:
        invariants.reset_violations()
        return True
    return False
