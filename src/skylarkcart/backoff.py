"""Exponential backoff."""

from __future__ import annotations

# Keeps the delay within the range of a float after any number of failures.
_MAX_DOUBLINGS = 32


def compute_backoff_ms(
    failures: int, *, initial_ms: float, max_ms: float = float("inf")
) -> float:
    """Returns the delay after a number of consecutive failures.

    >>> [compute_backoff_ms(n, initial_ms=100.0, max_ms=300.0) for n in (1, 2, 3)]
    [100.0, 200.0, 300.0]
    """
    doublings = min(max(0, failures - 1), _MAX_DOUBLINGS)
    return min(max_ms, initial_ms * 2**doublings)
