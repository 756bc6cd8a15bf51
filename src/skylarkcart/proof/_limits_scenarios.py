"""Short scenarios, in each of which one injected fault exceeds rate or burst.

A scenario takes a seed, which varies its times or amounts, and checks ``RATE_LIMIT``.
"""

from __future__ import annotations

import random

from skylarkcart.clock import Millis
from skylarkcart.declarations import AccountRow, Configuration, ZoneRow
from skylarkcart.invariants import Invariant, check
from skylarkcart.limits import AllocationTracker, ZoneAllocation
from skylarkcart.limits._grant_store import GrantStore
from skylarkcart.limits._issuer import Grant, Issuer
from skylarkcart.limits._messages import GrantState
from skylarkcart.limits._released import ReleasedBalances
from skylarkcart.proof._ledger import Ledger, Limit
from skylarkcart.proof._limits_harness import RightsHarness
from skylarkcart.types import AccountId, InstanceId, ZoneId

ACCOUNT = AccountId("museo-oro")
HOLDER = InstanceId("holder")
RECEIVER = InstanceId("receiver")
BURST_TOKENS = 20
RATE_PER_MS = 0.02
LEASE_END = Millis(1e9)  # Later than the end of each scenario.
BUCKET_FILL_MS = 2_000.0


class _TokenHarness:
    """A holder's issuer, a receiver's grant store, and a one-account ledger."""

    def __init__(self) -> None:
        self.now = Millis(0)
        self.ledger = Ledger()
        limit = Limit(burst=BURST_TOKENS, rate_per_ms=RATE_PER_MS)
        self.ledger.set_limits({ACCOUNT: limit}, self.now)
        self.grant_store = GrantStore(now=self.now)
        self.grant_store.configure({ACCOUNT: BURST_TOKENS})
        self.issuer = self.start_issuer("1")

    def start_issuer(self, incarnation: str, *, balance: float = 0.0) -> Issuer:
        issuer = Issuer(instance=HOLDER, incarnation=incarnation)
        allocation = ZoneAllocation(burst=BURST_TOKENS, rate_per_ms=RATE_PER_MS)
        issuer.configure({ACCOUNT: allocation}, self.now)
        issuer.open_bucket(ACCOUNT, self.now, balance=balance)
        return issuer

    def advance(self, duration_ms: float) -> None:
        self.now = Millis(self.now + duration_ms)

    def grant(self, tokens: int) -> Grant | None:
        return self.issuer.grant(
            account=ACCOUNT,
            tokens=tokens,
            to=RECEIVER,
            lease_end=LEASE_END,
            now=self.now,
        )

    def add_grant(self, grant: Grant | None, *, requested_at: Millis) -> None:
        if grant is not None:
            self.grant_store.add_grant(
                grant=grant.grant,
                account=ACCOUNT,
                issuer=HOLDER,
                tokens=grant.tokens,
                ttl_ms=grant.ttl_ms,
                requested_at=requested_at,
                now=self.now,
            )

    def grant_and_accept(self, tokens: int) -> None:
        """Grants tokens and accepts the grant without delay."""
        self.add_grant(self.grant(tokens), requested_at=self.now)

    def spend_balance(self) -> None:
        while self.issuer.take_token(ACCOUNT, self.now):
            self.ledger.record_spent_token(ACCOUNT, self.now)

    def spend_grants(self) -> None:
        while self.grant_store.take_token(ACCOUNT, self.now):
            self.ledger.record_spent_token(ACCOUNT, self.now)


def run_new_holder(seed: int) -> None:
    """A holder spends its burst, and the next holder starts soon after."""
    bench = _TokenHarness()
    bench.advance(BUCKET_FILL_MS)
    bench.spend_balance()
    bench.advance(random.Random(seed).uniform(0, 500))
    bench.issuer = bench.start_issuer("2")
    bench.spend_balance()


def run_idle_grants(seed: int) -> None:
    """A grant stays unspent for a time in which the bucket could refill."""
    bench = _TokenHarness()
    bench.advance(BUCKET_FILL_MS)
    bench.grant_and_accept(random.Random(seed).randint(BURST_TOKENS // 2, BURST_TOKENS))
    bench.advance(900)
    bench.spend_balance()
    bench.spend_grants()


def run_repeated_return(seed: int) -> None:
    """The report that returns a grant arrives three times."""
    bench = _TokenHarness()
    bench.advance(BUCKET_FILL_MS)
    bench.grant_and_accept(random.Random(seed).randint(BURST_TOKENS // 2, BURST_TOKENS))
    grants = {grant for grants in _list_outstanding_grants(bench) for grant in grants}
    bench.grant_store.return_recalled_grants(grants)
    states: list[GrantState] = []
    for reported in bench.grant_store.take_reports().values():
        states += reported
    for state in states * 3:
        bench.issuer.record_report(state, bench.now)
        bench.spend_balance()


def _list_outstanding_grants(bench: _TokenHarness) -> list[list[str]]:
    return list(bench.issuer.list_outstanding(bench.now).values())


def run_late_expiry(seed: int) -> None:
    """A grant is spent just before it expires, and no report reaches the issuer."""
    bench = _TokenHarness()
    bench.advance(BUCKET_FILL_MS)
    bench.grant_and_accept(BURST_TOKENS)
    bench.advance(random.Random(seed).uniform(900, 980))
    bench.spend_grants()
    bench.advance(110)
    bench.spend_balance()


def run_late_grant(seed: int) -> None:
    """A grant arrives late, and the issuer's bucket refills before it is spent."""
    bench = _TokenHarness()
    bench.advance(BUCKET_FILL_MS)
    requested_at = bench.now
    grant = bench.grant(BURST_TOKENS)
    bench.advance(random.Random(seed).uniform(850, 950))
    bench.add_grant(grant, requested_at=requested_at)
    bench.advance(800)
    bench.spend_balance()
    bench.spend_grants()


def run_repeated_transfer(seed: int) -> None:
    """Two candidates ask for the same released balance, one after the other."""
    bench = _TokenHarness()
    bench.advance(BUCKET_FILL_MS)
    released_balances = ReleasedBalances()
    balance = bench.issuer.get_balance(ACCOUNT, bench.now)
    released_balances.record(ACCOUNT, balance, LEASE_END)
    for incarnation in ("2", "3"):
        transfers = released_balances.pop(set(range(16)), bench.now)
        tokens = sum(transfer.tokens for transfer in transfers)
        bench.issuer = bench.start_issuer(incarnation, balance=tokens)
        bench.spend_balance()
        bench.advance(random.Random(seed).uniform(1, 20))


def run_increase_with_unaware_zone(seed: int) -> None:
    """A zone's allocation increases while another zone lacks the revision."""
    zones = [ZoneId(name) for name in ("north", "east", "south", "west")]
    trackers = {zone: AllocationTracker(zone=zone) for zone in zones}
    rng = random.Random(seed)
    heavy_zone, unaware_zone = rng.sample(zones, 2)
    for zone, tracker in trackers.items():
        tracker.adopt(_build_weighted_configuration(1, zones, heavy_zone=None))
        tracker.record_settled(1)
        if zone != unaware_zone:
            tracker.adopt(
                _build_weighted_configuration(2, zones, heavy_zone=heavy_zone)
            )
    burst = sum(tracker.current[ACCOUNT].burst for tracker in trackers.values())
    check(
        burst <= BURST_TOKENS,
        Invariant.RATE_LIMIT,
        f"the bursts of the allocations sum to {burst}, "
        f"expected at most {BURST_TOKENS}",
    )


def _build_weighted_configuration(
    revision: int, zones: list[ZoneId], *, heavy_zone: ZoneId | None
) -> Configuration:
    row = AccountRow(
        account=ACCOUNT, rate_per_s=RATE_PER_MS * 1_000, burst=BURST_TOKENS, share=1.0
    )
    return Configuration(
        revision=revision,
        max_instances=12,
        accounts=(row,),
        services=(),
        zones=tuple(
            ZoneRow(zone=zone, weight=5.0 if zone == heavy_zone else 1.0)
            for zone in zones
        ),
        keys=(),
    )


# Rights. Members A and C don't know each other unless a scenario says so; M knows both.


def run_two_candidates(seed: int) -> None:
    """Two candidates with different instance lists seek the same right."""
    bench = RightsHarness()
    bench.start("M", known_members="AC", is_introduced=False)
    bench.start("A", known_members="M")
    bench.run(random.Random(seed).uniform(0, 200))
    bench.start("C", known_members="M")
    bench.run(6_000)


def run_late_consent(seed: int) -> None:
    """The last consent to a holder arrives late, and further renewals are refused."""
    bench = _build_bench_with_holder(seed)
    bench.delays["M", "A"] = random.Random(seed).uniform(100, 140)
    bench.start("C", known_members="M").set_revision(2, settled=False)
    bench.run(3_000)
    bench.rights[InstanceId("M")].set_revision(2, settled=False)
    bench.run(4_000)


def run_member_restart(seed: int) -> None:
    """A member restarts and loses the record of its agreement."""
    bench = _build_bench_with_holder(seed)
    bench.start("C", known_members="M")
    bench.run(3_000 + random.Random(seed).uniform(0, 250))
    bench.start("M", known_members="AC", is_introduced=False)
    bench.delays["A", "M"] = None
    bench.run(300)
    del bench.delays["A", "M"]
    bench.run(4_000)


def run_candidate_with_incomplete_list(seed: int) -> None:
    """A candidate starts before its instance list contains the other members."""
    bench = _build_bench_with_holder(seed)
    rights = bench.start("C")
    bench.run(random.Random(seed).uniform(200, 1_500))
    rights.observe_members([InstanceId("M")], bench.now)
    bench.run(4_000)


def run_paused_holder(seed: int) -> None:
    """A holder pauses while an unknown instance replaces the only other member."""
    bench = RightsHarness()
    bench.start("A", known_members="M")
    bench.start("M", known_members="A", is_introduced=False)
    bench.run(3_000)
    bench.pause("A", 10_000)
    bench.stop("M")
    bench.start("C", known_members="A")
    bench.delays["C", "A"] = None
    bench.run(10_000 + random.Random(seed).uniform(200, 1_500))
    bench.delays.clear()
    bench.rights[InstanceId("A")].observe_members([InstanceId("C")], bench.now)
    bench.run(4_000)


def run_older_revision(seed: int) -> None:
    """A holder keeps an older revision while the member adopts a newer one."""
    bench = _build_bench_with_holder(seed)
    bench.rights[InstanceId("M")].set_revision(2, settled=False)
    bench.run(2_050)
    check(
        not bench.holds("A"),
        Invariant.RATE_LIMIT,
        "the holder with revision 1 holds the right, expected its lease to have ended",
    )


def _build_bench_with_holder(seed: int) -> RightsHarness:
    """Returns a bench in which A holds the right with M's consent."""
    bench = RightsHarness()
    bench.start("M", known_members="A", is_introduced=False)
    bench.run(random.Random(seed).uniform(0, 300))
    bench.start("A", known_members="M").set_revision(1, settled=False)
    bench.run(3_000)
    return bench
