"""Deliberate faults in the search and upstream decision logic; each must be caught."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

import msgspec

from skylarkcart.proof._search_runs import RunReport, run_simulation
from skylarkcart.proof._search_simulation import SimulationSettings
from skylarkcart.search import CallBudget, SearchExecution, ShardStatus
from skylarkcart.search._calls import CallsInFlight
from skylarkcart.search._merge import ShardPart, ShardPartCollection
from skylarkcart.types import ShardId
from skylarkcart.upstreams import ColdCause, Temperature, Upstream, UpstreamDirectory
from skylarkcart.upstreams._exchange import TemperatureExchange
from skylarkcart.upstreams._ramp import Ramp


class Patch(msgspec.Struct, frozen=True, kw_only=True):
    """Replacement of a class attribute."""

    owner: type
    attribute: str
    replacement: object


class ProofFault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault and the violations of which a run with it must find at least one."""

    name: str
    patches: tuple[Patch, ...]
    settings: SimulationSettings
    expected: frozenset[str]

    def run(self, seed: int) -> RunReport:
        """Runs with the fault until a violation is found, then removes the fault."""
        with self.insert():
            return run_simulation(self.name, self.settings, seed, stops_early=True)

    def is_detected(self, report: RunReport) -> bool:
        return bool(self.expected & report.violations.keys())

    @contextlib.contextmanager
    def insert(self) -> Iterator[None]:
        """Returns a context in which the decision logic has the fault."""
        with contextlib.ExitStack() as stack:
            for patch in self.patches:
                replaced = mock.patch.object(
                    patch.owner, patch.attribute, patch.replacement
                )
                stack.enter_context(replaced)
            yield


def _check_request_only(self, call, answer) -> str:
    return "" if answer.request_id == call.request_id else "other_request"


def _check_snapshot_only(self, call, answer) -> str:
    return "" if answer.snapshot == call.snapshot else "other_snapshot"


def _is_answered_or_failed(self: ShardPartCollection, shard: ShardId) -> bool:
    return shard in self._parts or shard in self._reasons


def _is_answered(self: ShardPartCollection, shard: ShardId) -> bool:
    return shard in self._parts


def _add_to_earlier_part(self: ShardPartCollection, part: ShardPart) -> None:
    """Adds the hits and total of a part to the earlier part of the same shard."""
    known = self._parts.get(part.result.shard)
    if part.result.status is ShardStatus.MISSING:
        return
    if known is not None:
        result = msgspec.structs.replace(
            part.result,
            hits=known.result.hits + part.result.hits,
            total=known.result.total + part.result.total,
        )
        part = msgspec.structs.replace(part, result=result)
    self._parts[part.result.shard] = part


def _keep_call(self: CallsInFlight, call):
    return self._calls.get(call)


_pin = SearchExecution._pin
_turn_cold = Upstream.turn_cold


def _pin_with_old_parts(self: SearchExecution, snapshot) -> None:
    old_parts = getattr(self, "_parts", None)
    _pin(self, snapshot)
    if old_parts is not None:
        self._parts._parts.update(
            {
                shard: part
                for shard, part in old_parts._parts.items()
                if shard in self._placements
            }
        )


def _ignore_refusal(self: Upstream, cause: ColdCause, now) -> None:
    if cause is not ColdCause.REFUSED:
        _turn_cold(self, cause, now)


def _ignore_return(self: Upstream, cause: ColdCause, now) -> None:
    if cause is not ColdCause.ZONE_RETURNED:
        _turn_cold(self, cause, now)


def _ignore_restart(self: Upstream, cause: ColdCause, now) -> None:
    """Ignores every sign of a restart: instance list, process id and connections."""


def _list_all_as_warm(self: TemperatureExchange, now) -> list[Upstream]:
    for upstream in self._upstreams.values():
        upstream.last_success_at = upstream.last_success_at or now
    return [u for u in self._upstreams.values() if u.process]


def _join_without_evidence(self: Ramp, evidence_at) -> bool:
    if self.temperature is not Temperature.COLD:
        return False
    self.temperature = Temperature.WARMING
    self.is_sole = False
    self.allowance = 1
    return True


def _build_fault(
    name: str,
    *patches: tuple[type, str, object],
    expected: tuple[str, ...],
    **settings: object,
) -> ProofFault:
    return ProofFault(
        name=name,
        patches=tuple(
            Patch(owner=owner, attribute=attribute, replacement=replacement)
            for owner, attribute, replacement in patches
        ),
        settings=SimulationSettings(**settings),
        expected=frozenset(expected),
    )


def _return_true(*args: object, **options: object) -> bool:
    return True


_IS_NOT_LEAVING: Callable[[UpstreamDirectory, Upstream], bool] = (
    lambda self, upstream: not upstream.is_leaving
)
_IS_IN_OPEN_ZONE: Callable[[UpstreamDirectory, Upstream], bool] = (
    lambda self, upstream: upstream.zone not in self._closed_zones
)
_ZONE_CLOSURE = {
    "duration_ms": 6_000.0,
    "zone_closed_at": 1_500.0,
    "zone_opened_at": 5_500.0,
}
_ZONE_RETURN = {
    "duration_ms": 5_000.0,
    "zone_closed_at": 2_500.0,
    "zone_opened_at": 3_500.0,
}

FAULTS = (
    _build_fault(
        "snapshot_not_checked",
        (SearchExecution, "_find_mismatch", _check_request_only),
        expected=("one_snapshot",),
        other_snapshot_ratio=0.01,
    ),
    _build_fault(
        "crossed_answer_accepted",
        (SearchExecution, "_find_mismatch", _check_snapshot_only),
        expected=("own_answer",),
        crossed_ratio=0.01,
    ),
    _build_fault(
        "failed_shard_covered",
        (ShardPartCollection, "is_covered", _is_answered_or_failed),
        expected=("true_coverage",),
        crossed_ratio=0.01,
    ),
    _build_fault(
        "partial_shard_covered",
        (ShardPartCollection, "is_covered", _is_answered),
        expected=("true_coverage",),
        partial_ratio=0.01,
    ),
    _build_fault(
        "shard_counted_twice",
        (ShardPartCollection, "add", _add_to_earlier_part),
        (CallsInFlight, "pop", _keep_call),
        expected=("true_coverage", "own_answer"),
        repeated_ratio=0.05,
    ),
    _build_fault(
        "partial_parts_joined",
        (ShardPartCollection, "add", _add_to_earlier_part),
        expected=("true_coverage", "own_answer"),
        partial_ratio=0.05,
    ),
    _build_fault(
        "old_parts_kept",
        (SearchExecution, "_pin", _pin_with_old_parts),
        expected=("one_snapshot", "own_answer"),
        snapshot_interval_ms=500.0,
    ),
    _build_fault(
        "hedge_budget_ignored",
        (CallBudget, "try_spend", _return_true),
        expected=("extra_calls",),
        slowdown_at=1_500.0,
    ),
    _build_fault(
        "cold_allowance_ignored",
        (Upstream, "max_calls", property(lambda self: self.connection_share)),
        expected=("cold_start",),
    ),
    _build_fault(
        "right_ignored",
        (UpstreamDirectory, "_may_send", _return_true),
        expected=("cold_start",),
    ),
    _build_fault(
        "restart_ignored",
        (Upstream, "turn_cold", _ignore_restart),
        expected=("cold_start",),
        restart_interval_ms=500.0,
    ),
    _build_fault(
        "cold_refusal_ignored",
        (Upstream, "turn_cold", _ignore_refusal),
        expected=("cold_start",),
        cold_interval_ms=500.0,
    ),
    _build_fault(
        "returned_zone_warm",
        (Upstream, "turn_cold", _ignore_return),
        expected=("cold_start",),
        searches_per_s=600.0,
        **_ZONE_RETURN,
    ),
    _build_fault(
        "cold_declared_warm",
        (TemperatureExchange, "_list_warm", _list_all_as_warm),
        (Ramp, "join", _join_without_evidence),
        expected=("cold_start",),
        restart_interval_ms=500.0,
    ),
    _build_fault(
        "closed_zone_used",
        (UpstreamDirectory, "_accepts_work", _IS_NOT_LEAVING),
        expected=("closed_zone",),
        **_ZONE_CLOSURE,
    ),
    _build_fault(
        "leaving_upstream_used",
        (UpstreamDirectory, "_accepts_work", _IS_IN_OPEN_ZONE),
        expected=("leaving_upstream",),
        drain_interval_ms=500.0,
    ),
)
