"""Merges the records of parts."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], *, top: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Records compare byte by byte, and equal ones all count. What remains of a body after
    its last whole record is no record.

    >>> merge_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"x"], top=2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))
