"""Guards against an account that loses bytes, overflows, or refuses in calm."""

from __future__ import annotations

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.receive import (
    Account,
    Activity,
    Refusal,
    Share,
    derive_caller_sizes,
    derive_upstream_bytes,
)

LARGEST = 300_000
SIZE = 1_000_000
ADDRESSES = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
sizes = strategies.one_of(
    strategies.sampled_from([0, 8_192, LARGEST]), strategies.integers(0, LARGEST)
)


class AccountMachine(RuleBasedStateMachine):
    """Any order of opens, bytes, activities, ends and evictions."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(start=Millis(1_000))
        self.account = Account(size=SIZE, max_connections=12)
        self.account.fit_largest_request(LARGEST)
        self.shares: list[Share] = []
        self.evicted = 0

    def open(self, address: str) -> Share | None:
        def give_way(reason: Refusal) -> None:
            (evicted,) = (share for share in self.shares if not share.is_open)
            # A request in progress never gives way.
            assert evicted.activity is not Activity.HANDLING
            self.shares.remove(evicted)
            self.evicted += 1

        share = self.account.open(address, give_way=give_way, now=self.clock.now())
        if share is not None:
            self.shares.append(share)
        return share

    @rule(address=strategies.sampled_from(ADDRESSES))
    def open_connection(self, address: str) -> None:
        self.open(address)

    @rule(
        index=strategies.integers(0, 20),
        size=sizes,
        activity=strategies.sampled_from(Activity),
    )
    def change(self, index: int, size: int, activity: Activity) -> None:
        if not self.shares:
            return
        share = self.shares[index % len(self.shares)]
        before = share.bytes_held
        share.begin(activity, self.clock.now())
        is_set = self.account.try_set(share, size, now=self.clock.now())
        assert share.bytes_held == (size if is_set else before)
        # What shrinks always fits.
        assert is_set or size > before

    @rule(index=strategies.integers(0, 20), size=strategies.integers(0, 5_000))
    def make_progress(self, index: int, size: int) -> None:
        if self.shares:
            share = self.shares[index % len(self.shares)]
            share.record_progress(size, self.clock.now())

    @rule(index=strategies.integers(0, 20))
    def end(self, index: int) -> None:
        if self.shares:
            share = self.shares.pop(index % len(self.shares))
            self.account.close(share)
            self.account.close(share)

    @rule(delta_ms=strategies.sampled_from([1.0, 100.0, 600.0]))
    def wait(self, delta_ms: float) -> None:
        self.clock.advance(delta_ms)

    @rule(address=strategies.sampled_from(ADDRESSES))
    def largest_request_is_admitted_when_the_rest_is_idle(self, address: str) -> None:
        for share in self.shares:
            share.begin(Activity.IDLE, self.clock.now())
            assert self.account.try_set(share, 8_192, now=self.clock.now())
        # A search without a result is not repeated at once.
        self.clock.advance(100.0)
        share = self.open(address)
        assert share is not None
        share.begin(Activity.RECEIVING, self.clock.now())
        assert self.account.try_set(share, LARGEST, now=self.clock.now())

    @invariant()
    def holds_what_its_shares_hold(self) -> None:
        held = sum(share.bytes_held for share in self.shares)
        assert self.account.held == held <= self.account.size
        assert set(self.account.shares) == set(self.shares)
        assert len(self.shares) <= self.account.max_connections

    def teardown(self) -> None:
        for share in self.shares:
            self.account.close(share)
        assert self.account.held == 0
        assert not self.account.shares


TestAccount = AccountMachine.TestCase
TestAccount.settings = settings(max_examples=100, deadline=None)


class Connections:
    """Connections of an account that record in which order they give way."""

    def __init__(self, *, size: int = 1_000_000) -> None:
        self.clock = ManualClock(start=Millis(1_000))
        self.account = Account(size=size, max_connections=100)
        self.closed: list[str] = []

    def add(
        self, name: str, size: int, *, address: str = "a", activity=Activity.RECEIVING
    ) -> Share:
        share = self.account.open(
            address,
            give_way=lambda reason: self.closed.append(name),
            now=self.clock.now(),
        )
        share.begin(activity, self.clock.now())
        assert self.account.try_set(share, size, now=self.clock.now())
        return share

    def ask(self, size: int, *, address: str = "a") -> bool:
        share = self.account.open(
            address, give_way=self.closed.append, now=self.clock.now()
        )
        share.begin(Activity.RECEIVING, self.clock.now())
        return self.account.try_set(share, size, now=self.clock.now())


def test_body_that_stands_still_gives_way_before_one_that_moves() -> None:
    connections = Connections()
    connections.add("still", 300_000)
    moving = connections.add("moving", 400_000)
    connections.clock.advance(600.0)
    moving.record_progress(10_000, connections.clock.now())
    assert connections.ask(200_000)
    assert connections.closed == ["still"]


def test_single_bytes_are_no_progress() -> None:
    connections = Connections()
    dripping = connections.add("dripping", 700_000)
    for _ in range(20):
        connections.clock.advance(100.0)
        dripping.record_progress(1, connections.clock.now())
    assert connections.ask(200_000)
    assert connections.closed == ["dripping"]


def test_moving_body_does_not_give_way_to_the_same_address() -> None:
    connections = Connections()
    connections.add("moving", 700_000)
    assert not connections.ask(200_000)
    assert connections.closed == []


def test_address_with_many_connections_gives_way_to_the_first_of_another() -> None:
    connections = Connections()
    for number in range(7):
        connections.add(f"moving-{number}", 100_000)
    assert connections.ask(100_000, address="b")
    assert len(connections.closed) == 1
    # The last address would then hold more than the one that gave way.
    connections.clock.advance(100.0)
    assert not connections.ask(400_000, address="b")


def test_request_in_progress_keeps_its_memory() -> None:
    connections = Connections()
    connections.add("running", 700_000, activity=Activity.HANDLING)
    connections.clock.advance(60_000.0)
    assert not connections.ask(200_000)


def test_small_requests_fit_while_large_ones_use_up_their_part() -> None:
    connections = Connections()
    connections.add("large", 700_000)
    assert not connections.ask(100_000)
    assert connections.ask(50_000)


def test_connections_that_sent_nothing_close_first() -> None:
    connections = Connections()
    used = connections.add("used", 100, activity=Activity.IDLE)
    used.has_sent_request = True
    for number in range(99):
        connections.clock.advance(1.0)
        connections.add(f"unused-{number}", 100, activity=Activity.IDLE)
    connections.clock.advance(1_000.0)
    connections.add("new", 100)
    assert connections.closed[:2] == ["unused-0", "unused-1"]
    assert "used" not in connections.closed


def test_new_connections_stay_open_longer_than_idle_ones() -> None:
    """Their first requests may be on the way, as in a wave of reconnections."""
    connections = Connections()
    for number in range(60):
        kept = connections.add(f"kept-{number}", 100, activity=Activity.IDLE)
        kept.has_sent_request = True
    connections.clock.advance(10_000.0)
    for number in range(40):
        connections.add(f"fresh-{number}", 100, activity=Activity.IDLE)
    connections.add("new", 100)
    assert connections.closed
    assert all(name.startswith("kept") for name in connections.closed)


def test_idle_connections_close_before_a_response_is_cut() -> None:
    connections = Connections()
    sending = connections.add("sending", 100, activity=Activity.SENDING)
    sending.has_sent_request = True
    for number in range(99):
        kept = connections.add(f"kept-{number}", 100, activity=Activity.IDLE)
        kept.has_sent_request = True
    connections.clock.advance(10_000.0)
    connections.add("new", 100)
    assert connections.closed and "sending" not in connections.closed


def test_account_leaves_room_for_the_process() -> None:
    """Nine tenths of the memory hold the process and what the account counts."""
    for memory_mb in (160.0, 200.0, 300.0, 552.0):
        sizes = derive_caller_sizes(memory_mb=memory_mb, max_descriptors=4_100)
        counted = sizes.account_bytes + derive_upstream_bytes(memory_mb)
        assert 64e6 + 1.5 * counted <= 0.9e6 * memory_mb
        assert 200 + sizes.max_connections < 4_100
