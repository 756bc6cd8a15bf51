"""Faults injected into the limits slice, each of which must be detected.

A fault is injected by patching the decision objects. It is detected if an invariant
fails in the fault's scenario, which passes without the fault.
"""

from __future__ import annotations

import contextlib
import functools
from collections.abc import Callable
from unittest import mock

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.limits import _allocation, _issuer, _rights
from skylarkcart.limits._agreements import Agreements
from skylarkcart.limits._allocation import AllocationTracker
from skylarkcart.limits._grant_store import GrantStore
from skylarkcart.limits._issuer import Issuer
from skylarkcart.limits._messages import ConsentResponse, GrantState, OutgoingMessage
from skylarkcart.limits._released import ReleasedBalances
from skylarkcart.limits._rights import Rights
from skylarkcart.proof._limits_scenarios import (
    run_candidate_with_incomplete_list,
    run_idle_grants,
    run_increase_with_unaware_zone,
    run_late_consent,
    run_late_expiry,
    run_late_grant,
    run_member_restart,
    run_new_holder,
    run_older_revision,
    run_paused_holder,
    run_repeated_return,
    run_repeated_transfer,
    run_two_candidates,
)
from skylarkcart.proof._registry import Fault, violates_invariant
from skylarkcart.types import AccountId, InstanceId

Patch = contextlib.AbstractContextManager[object]


def _patch(target: object, name: str, replacement: object) -> Patch:
    return mock.patch.object(target, name, replacement)


def _open_with_full_bucket(
    self: Issuer, account: AccountId, now: Millis, *, balance: float = 0.0
) -> None:
    allocation = self._allocations.get(account, _allocation.NO_ALLOCATION)
    self._buckets[account] = _issuer._Bucket(
        allocation=allocation, balance=allocation.burst, now=now
    )


def _grant_without_debit(
    self: Issuer,
    bucket: _issuer._Bucket,
    grant: str,
    tokens: int,
    to: InstanceId,
    expires_at: Millis,
) -> None:
    bucket.outstanding[grant] = _issuer._Outstanding(
        to=to, tokens=tokens, expires_at=expires_at
    )


def _count_lease_from_receipt(
    original: Callable[..., list[OutgoingMessage]],
    self: Rights,
    sender: InstanceId,
    message: ConsentResponse,
    now: Millis,
) -> list[OutgoingMessage]:
    if message.attempt in self._sent_at:
        self._sent_at[message.attempt] = now
    return original(self, sender, message, now)


def _insert_lease_count_from_receipt() -> Patch:
    original = Rights.handle_consent

    def handle_consent(
        self: Rights, sender: InstanceId, message: ConsentResponse, now: Millis
    ) -> list[OutgoingMessage]:
        return _count_lease_from_receipt(original, self, sender, message, now)

    return _patch(Rights, "handle_consent", handle_consent)


def _adopt_increase_at_once(
    original: Callable[..., None], self: AllocationTracker, configuration: object
) -> None:
    original(self, configuration)
    self.current = dict(self._get_target())


def _insert_increase_at_once() -> Patch:
    original = AllocationTracker.adopt

    def adopt(self: AllocationTracker, configuration: object) -> None:
        _adopt_increase_at_once(original, self, configuration)

    return _patch(AllocationTracker, "adopt", adopt)


def _report_without_closing_grant(self: Issuer, state: GrantState, now: Millis) -> None:
    bucket = self._buckets.get(state.account)
    if bucket is None:
        return
    bucket.refill(now)
    grant = bucket.outstanding.get(state.grant)
    if grant is not None:
        grant.tokens = min(grant.tokens, state.remaining)
        bucket.balance = min(bucket.balance + state.returned, bucket.allocation.burst)


def _expire_before_minting(self: _issuer._Bucket, now: Millis) -> None:
    for grant, outstanding in list(self.outstanding.items()):
        if outstanding.expires_at <= now:
            del self.outstanding[grant]


def _keep_popped_balances(
    original: Callable[..., tuple[object, ...]],
) -> Callable[..., tuple[object, ...]]:
    @functools.wraps(original)
    def pop(self: ReleasedBalances, groups: set[int], now: Millis) -> object:
        balances = dict(self._balances)
        transfers = original(self, groups, now)
        self._balances = balances
        return transfers

    return pop


def _insert_unnoticed_pause() -> Patch:
    stack = contextlib.ExitStack()
    stack.enter_context(_patch(Rights, "_handle_pause", lambda self, now: None))
    stack.enter_context(_patch(_rights, "MAX_TICK_AGE_MS", float("inf")))
    return stack


def _add_grant_from_receipt(original: Callable[..., bool]) -> Callable[..., bool]:
    @functools.wraps(original)
    def add_grant(self: GrantStore, **arguments: object) -> bool:
        return original(self, **{**arguments, "requested_at": arguments["now"]})

    return add_grant


def _insert_older_revision() -> Patch:
    original = Rights.handle_renew

    def handle_renew(
        self: Rights, sender: InstanceId, message: object, now: Millis
    ) -> object:
        message_with_own_revision = msgspec.structs.replace(
            message, revision=self._revision
        )
        return original(self, sender, message_with_own_revision, now)

    return _patch(Rights, "handle_renew", handle_renew)


def _build_fault(
    name: str, scenario: Callable[[int], None], insert: Callable[[], Patch]
) -> Fault:
    def is_detected(seed: int, steps: int) -> bool:
        return violates_invariant(functools.partial(scenario, seed))

    return Fault(name=f"limits/{name}", insert=insert, is_detected=is_detected)


def _replace_attribute(
    target: object, name: str, replacement: object
) -> Callable[[], Patch]:
    return functools.partial(_patch, target, name, replacement)


LIMITS_FAULTS = (
    _build_fault(
        "restart with a full bucket",
        run_new_holder,
        _replace_attribute(Issuer, "open_bucket", _open_with_full_bucket),
    ),
    _build_fault(
        "grant not debited",
        run_idle_grants,
        _replace_attribute(Issuer, "_debit", _grant_without_debit),
    ),
    _build_fault(
        "outstanding not counted",
        run_idle_grants,
        _replace_attribute(_issuer._Bucket, "count_outstanding", lambda self: 0),
    ),
    _build_fault(
        "doubled report raises a balance",
        run_repeated_return,
        _replace_attribute(Issuer, "record_report", _report_without_closing_grant),
    ),
    _build_fault(
        "minting for the time before an expiry",
        run_late_expiry,
        _replace_attribute(_issuer._Bucket, "_expire_grants", _expire_before_minting),
    ),
    _build_fault(
        "expired grant spent",
        run_late_grant,
        _replace_attribute(GrantStore, "_is_unexpired", lambda self, held, now: True),
    ),
    _build_fault(
        "grant counted from receipt",
        run_late_grant,
        _replace_attribute(
            GrantStore, "add_grant", _add_grant_from_receipt(GrantStore.add_grant)
        ),
    ),
    _build_fault(
        "consent given to two candidates",
        run_two_candidates,
        _replace_attribute(
            Agreements, "_has_no_conflict", lambda self, group, candidate, now: True
        ),
    ),
    _build_fault(
        "right counted from receipt",
        run_late_consent,
        _insert_lease_count_from_receipt,
    ),
    _build_fault(
        "quarantine of candidates skipped",
        run_candidate_with_incomplete_list,
        _replace_attribute(
            Rights,
            "is_eligible",
            lambda self, now: self._introduced and not self._leaving,
        ),
    ),
    _build_fault(
        "quarantine of members skipped",
        run_member_restart,
        _replace_attribute(
            Agreements, "_may_agree_to_new_candidate", lambda self, group, now: True
        ),
    ),
    _build_fault("pause not noticed", run_paused_holder, _insert_unnoticed_pause),
    _build_fault(
        "consent to an older revision", run_older_revision, _insert_older_revision
    ),
    _build_fault(
        "increase applied at once",
        run_increase_with_unaware_zone,
        _insert_increase_at_once,
    ),
    _build_fault(
        "balance passed on twice",
        run_repeated_transfer,
        _replace_attribute(
            ReleasedBalances, "pop", _keep_popped_balances(ReleasedBalances.pop)
        ),
    ),
)
