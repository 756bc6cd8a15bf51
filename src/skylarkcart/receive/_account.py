"""The account of bytes that connections hold, and which of them give way."""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable

from skylarkcart.clock import Millis
from skylarkcart.receive._memory import Memory

# Requests above this size may not use the last part of the account, which is kept for
# the others.
LARGE_BYTES = 65_536
LARGE_REQUESTS_FRACTION = 0.75

# A connection that made no progress for this time has stalled.
STALL_MS = 500.0

# A new connection that has sent no request for this time is unused; the first request
# of a younger one may be on its way.
UNUSED_MS = 1_000.0

# Fewer received bytes than this are no progress.
MIN_PROGRESS_BYTES = 4_096

# When room is short, so much more is freed at once, so that the search for connections
# that give way is rare.
FREED_FRACTION = 1 / 16

# After a search without a result, the next one is made this much later.
SEARCH_INTERVAL_MS = 20.0

# Limits whose last search is remembered; their number changes with the configuration.
MAX_SEARCH_TIMES = 8

# Requests of the largest size that must fit at the same time.
MIN_LARGEST_REQUESTS = 2


class Activity(enum.Enum):
    """What a connection does."""

    IDLE = "idle"
    RECEIVING = "receiving"
    HANDLING = "handling"
    SENDING = "sending"


class Refusal(enum.Enum):
    """Why a connection or a request does not get what it needs."""

    MEMORY = "memory_exhausted"
    DESCRIPTORS = "descriptors_exhausted"


# The order in which connections that have stalled give way: a response that is cut was
# run by an upstream already.
_ACTIVITIES = (Activity.RECEIVING, Activity.IDLE, Activity.SENDING, Activity.HANDLING)


class Share:
    """What one connection holds of the account.

    ``give_way`` is called when the connection must close to make room; its bytes have
    been released by then.
    """

    __slots__ = (
        "address",
        "activity",
        "bytes_held",
        "give_way",
        "has_sent_request",
        "is_open",
        "progressed_at",
        "_pending_progress",
    )

    def __init__(
        self, *, address: str, give_way: Callable[[Refusal], None], now: Millis
    ) -> None:
        self.address = address
        self.give_way = give_way
        self.activity = Activity.IDLE
        self.bytes_held = 0
        self.has_sent_request = False
        self.is_open = True
        self.progressed_at = now
        self._pending_progress = 0

    def record_progress(self, size: int, now: Millis) -> None:
        """Records received or sent bytes; a few of them are no progress yet."""
        self._pending_progress += size
        if self._pending_progress >= MIN_PROGRESS_BYTES:
            self._pending_progress = 0
            self.progressed_at = now

    def begin(self, activity: Activity, now: Millis) -> None:
        """Starts another activity, which counts as progress."""
        if activity is not self.activity:
            self.activity = activity
            self._pending_progress = 0
            self.progressed_at = now

    def has_stalled(self, now: Millis) -> bool:
        return now - self.progressed_at >= STALL_MS


class Account(Memory):
    """Bytes and connections, never more than the size and the limit.

    >>> account = Account(size=1_000_000, max_connections=10)
    >>> share = account.open("10.0.0.1", give_way=print, now=Millis(0))
    >>> account.try_set(share, 600_000, now=Millis(0))
    True
    >>> account.close(share)
    >>> account.held
    0
    """

    def __init__(self, *, size: int, max_connections: int) -> None:
        super().__init__(size=size)
        self._given_size = size
        self.max_connections = max_connections
        # Ordered, so that the oldest of equal connections gives way.
        self.shares: dict[Share, None] = {}
        # By limit, as there may be room for a small request but not for a large one.
        self._search_at: dict[int, Millis] = {}

    def fit_largest_request(self, size: int) -> None:
        """Makes the account large enough for two of the largest legal requests."""
        needed = int(MIN_LARGEST_REQUESTS * size / LARGE_REQUESTS_FRACTION) + 1
        self.size = max(self._given_size, needed, self.held)

    def open(
        self, address: str, *, give_way: Callable[[Refusal], None], now: Millis
    ) -> Share | None:
        """Adds a connection, or returns None if no other one can give way for it."""
        if len(self.shares) >= self.max_connections and not self._free_connections(now):
            return None
        share = Share(address=address, give_way=give_way, now=now)
        self.shares[share] = None
        return share

    def close(self, share: Share) -> None:
        """Removes a connection and all that it holds."""
        if share.is_open:
            share.is_open = False
            self.shares.pop(share, None)
            self.held -= share.bytes_held
            share.bytes_held = 0

    def try_set(self, share: Share, size: int, *, now: Millis) -> bool:
        """Changes what a connection holds; returns False if the growth doesn't fit."""
        if not share.is_open:
            return False
        growth = size - share.bytes_held
        if growth > 0:
            limit = self.size
            # What is being sent was run already.
            if size > LARGE_BYTES and share.activity is not Activity.SENDING:
                limit = int(LARGE_REQUESTS_FRACTION * limit)
            if self.held + growth > limit and not self._free_bytes(
                share, growth, limit, now
            ):
                return False
        self.held += growth
        share.bytes_held = size
        return True

    def _free_bytes(self, share: Share, growth: int, limit: int, now: Millis) -> bool:
        """Lets other connections give way until ``growth`` fits with some room."""
        if growth > limit or now < self._search_at.get(limit, now):
            return False
        excess = self.held + growth - limit
        freeable = self._list_by_priority(share, growth, now)
        if sum(victim.bytes_held for victim in freeable) < excess:
            if len(self._search_at) > MAX_SEARCH_TIMES:
                self._search_at.clear()
            self._search_at[limit] = Millis(now + SEARCH_INTERVAL_MS)
            return False
        target = limit - growth - int(FREED_FRACTION * self.size)
        for victim in freeable:
            if self.held <= target:
                break
            # Moving connections give way only for what is needed.
            if not _may_give_way(victim, now) and self.held + growth <= limit:
                break
            self._evict(victim, Refusal.MEMORY)
        return self.held + growth <= limit

    def _list_by_priority(self, asking: Share, growth: int, now: Millis) -> list[Share]:
        """Lists the connections that may give way, the first one first."""
        by_address: collections.Counter[str] = collections.Counter()
        for share in self.shares:
            by_address[share.address] += share.bytes_held
        own = by_address[asking.address] + growth
        candidates = sorted(
            (
                share
                for share in self.shares
                if share is not asking and share.activity is not Activity.HANDLING
            ),
            key=lambda share: (
                not _may_give_way(share, now),
                _ACTIVITIES.index(share.activity),
                -by_address[share.address],
                -share.bytes_held,
                share.progressed_at,
            ),
        )
        result = []
        for share in candidates:
            rest = by_address[share.address] - share.bytes_held
            # Moving ones give way only while their address still holds as much as the
            # asking one.
            if _may_give_way(share, now) or (
                share.address != asking.address and rest >= own
            ):
                by_address[share.address] = rest
                result.append(share)
        return result

    def _free_connections(self, now: Millis) -> bool:
        """Closes some of the connections that are least in use."""
        by_address = collections.Counter(share.address for share in self.shares)
        candidates = sorted(
            (share for share in self.shares if _may_give_way(share, now)),
            key=lambda share: (
                share.activity is not Activity.IDLE,
                share.has_sent_request or now - share.progressed_at < UNUSED_MS,
                -by_address[share.address],
                share.progressed_at,
            ),
        )
        count = max(1, int(FREED_FRACTION * self.max_connections))
        for victim in candidates[:count]:
            self._evict(victim, Refusal.DESCRIPTORS)
        return len(self.shares) < self.max_connections

    def _evict(self, share: Share, reason: Refusal) -> None:
        self.close(share)
        share.give_way(reason)


def _may_give_way(share: Share, now: Millis) -> bool:
    """Whether a connection may close without losing a request that moves."""
    if share.activity is Activity.HANDLING:
        return False
    return share.activity is Activity.IDLE or share.has_stalled(now)
