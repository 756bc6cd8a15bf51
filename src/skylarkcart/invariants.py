"""Runtime checks of invariants, which are enabled in every mode.

A violation is counted and logged. In strict mode, which tests use, it also raises an
error.

>>> from skylarkcart.invariants import Invariant, check
>>> check(True, Invariant.ONE_SNAPSHOT, "all parts come from one snapshot")
"""

from __future__ import annotations

import collections
import enum

from skylarkcart.errors import SkylarkcartError


class Invariant(enum.Enum):
    """Properties that must hold at all times."""

    ONE_SNAPSHOT = "one_snapshot"
    TRUE_COVERAGE = "true_coverage"
    COLD_START = "cold_start"
    CLOSED_ZONE = "closed_zone"
    ACCOUNT_ISOLATION = "account_isolation"
    RATE_LIMIT = "rate_limit"
    OWN_ANSWER = "own_answer"
    TRUE_NOT_RUN = "true_not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_UPSTREAM = "leaving_upstream"
    GRACEFUL_SHUTDOWN = "graceful_shutdown"
    CONFIG_ADVANCES = "config_advances"


class InvariantError(SkylarkcartError):
    """An invariant is violated."""


class _InvariantState:
    def __init__(self) -> None:
        self.strict = False
        self.violations: collections.Counter[Invariant] = collections.Counter()


_state = _InvariantState()


def check(condition: bool, invariant: Invariant, detail: str) -> None:
    """Counts and logs a violation if ``condition`` is false.

    Raises:
        InvariantError: the invariant is violated and strict mode is on.
    """
    if condition:
        return
    # Imported only for a violation, as it takes 1.5 MB of each process.
    from absl import logging

    _state.violations[invariant] += 1
    logging.error("event=invariant_violated name=%s detail=%r", invariant.value, detail)
    if _state.strict:
        raise InvariantError(f"{invariant.value}: {detail}")


def set_strict(strict: bool) -> None:
    """Turns strict mode on or off. Tests and the demo turn it on, servers don't."""
    _state.strict = strict


def get_violation_counts() -> dict[Invariant, int]:
    """Returns the number of violations of each invariant so far."""
    return dict(_state.violations)


def reset_violations() -> None:
    _state.violations.clear()
