"""Guards against token duplication between issuer and grant store."""

from __future__ import annotations

import pytest

from skylarkcart.clock import Millis
from skylarkcart.limits import ZoneAllocation
from skylarkcart.limits._issuer import Issuer
from skylarkcart.limits._messages import GrantState
from skylarkcart.proof import _limits_scenarios as scenarios
from skylarkcart.types import AccountId, InstanceId

ACCOUNT = AccountId("museo-oro")
BUCKET_FULL_AT = Millis(10_000)


def build_issuer(*, burst=20, rate_per_ms=0.02):
    issuer = Issuer(instance=InstanceId("north-0"), incarnation="1")
    allocation = ZoneAllocation(burst=burst, rate_per_ms=rate_per_ms)
    issuer.configure({ACCOUNT: allocation}, Millis(0))
    issuer.open_bucket(ACCOUNT, Millis(0))
    return issuer


def issue_grant(issuer, tokens, now=BUCKET_FULL_AT):
    return issuer.grant(
        account=ACCOUNT,
        tokens=tokens,
        to=InstanceId("north-1"),
        lease_end=Millis(now + 500),
        now=now,
    )


@pytest.mark.parametrize(
    "run",
    [
        scenarios.run_new_holder,
        scenarios.run_idle_grants,
        scenarios.run_repeated_return,
        scenarios.run_late_expiry,
        scenarios.run_late_grant,
        scenarios.run_repeated_transfer,
        scenarios.run_increase_with_unaware_zone,
    ],
)
@pytest.mark.parametrize("seed", range(3))
def test_late_duplicate_and_lost_messages_create_no_tokens(run, seed):
    run(seed)


def test_grant_ends_with_the_lease():
    issuer = build_issuer()
    assert issue_grant(issuer, 5).ttl_ms == 500


def test_reordered_report_does_not_raise_outstanding_tokens():
    issuer = build_issuer()
    issued = issue_grant(issuer, 20)
    for remaining in (3, 12):
        state = GrantState(account=ACCOUNT, grant=issued.grant, remaining=remaining)
        issuer.record_report(state, BUCKET_FULL_AT)
    assert issuer.get_balance(ACCOUNT, Millis(BUCKET_FULL_AT + 499)) == pytest.approx(
        499 * 0.02 * 0.999
    )
    assert issue_grant(issuer, 20, Millis(BUCKET_FULL_AT + 499)).tokens == 9


def test_smaller_allocation_lowers_the_balance_at_once():
    issuer = build_issuer()
    issuer.configure(
        {ACCOUNT: ZoneAllocation(burst=4, rate_per_ms=0.01)}, BUCKET_FULL_AT
    )
    assert issuer.get_balance(ACCOUNT, BUCKET_FULL_AT) == 4
    issuer.configure(
        {ACCOUNT: ZoneAllocation(burst=20, rate_per_ms=0.01)}, BUCKET_FULL_AT
    )
    assert issuer.get_balance(ACCOUNT, BUCKET_FULL_AT) == 4


def test_return_above_a_smaller_allocation_is_dropped():
    issuer = build_issuer()
    issued = issue_grant(issuer, 20)
    issuer.configure(
        {ACCOUNT: ZoneAllocation(burst=4, rate_per_ms=0.01)}, BUCKET_FULL_AT
    )
    state = GrantState(account=ACCOUNT, grant=issued.grant, remaining=0, returned=20)
    issuer.record_report(state, BUCKET_FULL_AT)
    assert issuer.get_balance(ACCOUNT, BUCKET_FULL_AT) == 4
