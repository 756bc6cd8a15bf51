"""Types of the configuration runs, faults and models, and of their results."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from skylarkcart.config import ConfigAgent
from skylarkcart.invariants import Invariant


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """The violations and measurements of one run; measurements are by name."""

    name: str
    seed: int
    violations: tuple[str, ...]
    measurements: dict[str, float]


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """A randomised run; ``execute`` takes a seed and should report no violation."""

    name: str
    invariant: Invariant
    execute: Callable[[int], RunReport]


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """An injected fault; ``execute`` takes a seed and should report violations.

    ``inject_fault`` patches the fault into an agent. The run with ``seed`` detects the
    fault; a run with another seed may not trigger it.
    """

    name: str
    invariant: Invariant
    inject_fault: Callable[[ConfigAgent], None]
    seed: int
    execute: Callable[[int], RunReport]


class ModelOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the model's property holds, and a counterexample if it doesn't."""

    holds: bool
    counterexample: str = ""


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """A model check; a model with an injected fault must have a counterexample."""

    name: str
    invariant: Invariant
    expects_counterexample: bool
    check: Callable[[], ModelOutcome]
