"""Constants and hashing shared by the modules of this package."""

from __future__ import annotations

import functools
import hashlib

from skylarkcart.clock import Millis
from skylarkcart.types import InstanceId

LEASE_MS = 2_000.0
QUARANTINE_MS = 2_000.0
RENEWAL_INTERVAL_MS = 250.0
SEEK_RETRY_INTERVAL_MS = 50.0
SILENCE_TIMEOUT_MS = 800.0
MAX_PAUSE_MS = LEASE_MS / 3

# With ticks every 50 ms, renewals are at most 300 ms apart. A holder whose last tick is
# 150 ms old sent its last two renewals within 750 ms, so no member that received one of
# them has reached the silence timeout of 800 ms.
MAX_TICK_AGE_MS = 150.0

# A member that has just joined or returned has not agreed to the holder yet; requiring
# its consent at once would end the holder's lease.
JOIN_GRACE_MS = 2 * RENEWAL_INTERVAL_MS

LEASE_DRIFT_RATIO = 0.01
# Clocks are slewed by at most 500 ppm, so the rates of two differ by at most 0.1%.
REFILL_DRIFT_RATIO = 0.001

GRANT_TTL_MS = 1_000.0
ACCOUNT_GROUPS = 16
MILLISECONDS_PER_SECOND = 1_000.0

NEVER = Millis(float("-inf"))


@functools.lru_cache(maxsize=65_536)
def hash_text(text: str) -> int:
    """Returns a 64-bit hash that is stable across processes."""
    digest = hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def find_group(key: str, groups: int) -> int:
    """Returns the group of an account or upstream."""
    return hash_text(f"group/{key}") % groups


def rank_candidate(space: str, group: int, instance: InstanceId) -> int:
    """Returns the rendezvous-hash rank of a candidate; the lowest rank wins."""
    return hash_text(f"{space}/{group}/{instance}")
