"""Faults injected into the configuration relay, each detected by a randomised run."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from skylarkcart.config import ConfigAgent
from skylarkcart.invariants import Invariant
from skylarkcart.proof._config_runs import (
    FREQUENT_RESTARTS,
    RELAY,
    SLOW_PEERS,
    execute_run,
)
from skylarkcart.proof._config_simulation import Scenario
from skylarkcart.proof._config_types import Fault, RunReport

RUN_DURATION_MS = 30_000.0
# A run with another seed may not trigger every fault.
DETECTING_SEED = 6


def _adopt_equal_revision(agent: ConfigAgent) -> None:
    store = agent._store
    store._supersedes = lambda revision: revision >= store.revision


def _adopt_any_other_revision(agent: ConfigAgent) -> None:
    store = agent._store
    store._supersedes = lambda revision: revision != store.revision


def _skip_digest_check(agent: ConfigAgent) -> None:
    store = agent._store
    adopt_if_newer = store._adopt_if_newer
    store._adopt_if_newer = lambda offered, expected_digest: adopt_if_newer(
        offered, None
    )


def _settle_on_first_value(agent: ConfigAgent) -> None:
    readiness = agent._readiness
    readiness._has_heard_enough_peers = lambda now: True


def _settle_while_behind(agent: ConfigAgent) -> None:
    readiness = agent._readiness
    readiness._is_newest = lambda revision, now: revision > 0


def _settle_without_list(agent: ConfigAgent) -> None:
    readiness = agent._readiness
    observe_peers = readiness.observe_peers
    readiness.observe_peers = lambda *, peers, was_listed: observe_peers(
        peers=peers, was_listed=True
    )


def _never_repeat_request(agent: ConfigAgent) -> None:
    agent._is_request_pending = lambda now: agent._pending_request is not None


def _ignore_heartbeats(agent: ConfigAgent) -> None:
    agent._is_request_pending = lambda now: True


def _build_fault(
    name: str, inject_fault: Callable[[ConfigAgent], None], scenario: Scenario = RELAY
) -> Fault:
    execute: Callable[[int], RunReport] = partial(
        execute_run,
        scenario=scenario,
        name=f"config-{name}",
        duration_ms=RUN_DURATION_MS,
        inject_fault=inject_fault,
    )
    return Fault(
        name=f"config-{name}",
        invariant=Invariant.CONFIG_ADVANCES,
        inject_fault=inject_fault,
        seed=DETECTING_SEED,
        execute=execute,
    )


FAULTS = (
    _build_fault("equal-revision-adopted", _adopt_equal_revision),
    _build_fault("older-revision-adopted", _adopt_any_other_revision),
    _build_fault("digest-unchecked", _skip_digest_check),
    _build_fault("ready-on-first-value", _settle_on_first_value, FREQUENT_RESTARTS),
    _build_fault("ready-while-behind", _settle_while_behind, SLOW_PEERS),
    _build_fault("ready-without-list", _settle_without_list, FREQUENT_RESTARTS),
    _build_fault("request-never-repeated", _never_repeat_request),
    _build_fault("peers-never-asked", _ignore_heartbeats),
)
