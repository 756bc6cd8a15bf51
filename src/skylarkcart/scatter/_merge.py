"""Merges the records of the answered parts."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], *, top: int) -> bytes:
    """Returns the ``top`` greatest records of all bodies, in descending order.

    Records are compared as unsigned bytes, and duplicates are kept. An incomplete
    record at the end of a body is ignored.

    >>> merge_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"x"], top=2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))
