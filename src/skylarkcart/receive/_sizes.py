"""Sizes that follow from the memory and the descriptors of a process."""

from __future__ import annotations

import msgspec

BYTES_PER_MB = 1_000_000

# Fraction of a process's memory that it may use at its peak.
USABLE_FRACTION = 0.9

# Memory of the process without any connections: the interpreter, the published state
# and what is known of other instances.
PROCESS_MB = 64.0

# Resident bytes per byte in the account: the allocator's fragmentation, buffers that
# grow by an eighth beyond what they hold, and copies that exist for a moment.
ALLOCATION_FACTOR = 1.5

# Least part of the memory that the account may use, where the process itself needs
# nearly all of it.
MIN_ACCOUNT_FRACTION = 0.1

# Fraction of the memory that may hold bodies of upstreams' responses, and at most this
# part of the account.
UPSTREAM_FRACTION = 0.125
MAX_UPSTREAM_PART = 0.5

# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200

# Part of the other descriptors for connections of callers; the rest is for upstreams,
# other instances and the store.
CALLER_DESCRIPTORS_FRACTION = 0.75
MIN_CALLER_CONNECTIONS = 16


class CallerSizes(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes and connections that callers may make a process hold."""

    account_bytes: int
    max_connections: int


def derive_caller_sizes(*, memory_mb: float, max_descriptors: int) -> CallerSizes:
    """Derives the sizes from the limits of the process.

    >>> derive_caller_sizes(memory_mb=300.0, max_descriptors=4_100)
    CallerSizes(account_bytes=99833333, max_connections=2925)
    """
    account_bytes = _derive_total_bytes(memory_mb) - derive_upstream_bytes(memory_mb)
    usable_descriptors = max_descriptors - FILE_DESCRIPTORS
    return CallerSizes(
        account_bytes=account_bytes,
        max_connections=max(
            MIN_CALLER_CONNECTIONS,
            int(CALLER_DESCRIPTORS_FRACTION * usable_descriptors),
        ),
    )


def derive_upstream_bytes(memory_mb: float) -> int:
    """Returns how many bytes the bodies of upstreams' responses may hold.

    >>> derive_upstream_bytes(300.0)
    37500000
    """
    fraction_bytes = int(UPSTREAM_FRACTION * memory_mb * BYTES_PER_MB)
    return min(fraction_bytes, int(MAX_UPSTREAM_PART * _derive_total_bytes(memory_mb)))


def _derive_total_bytes(memory_mb: float) -> int:
    spare_mb = (USABLE_FRACTION * memory_mb - PROCESS_MB) / ALLOCATION_FACTOR
    return int(max(MIN_ACCOUNT_FRACTION * memory_mb, spare_mb) * BYTES_PER_MB)
