"""A query tier over many shards.

The public names are those that an embedding program needs. Import everything else from
the subpackage that defines it.
"""

from __future__ import annotations

from skylarkcart.clock import Clock, ManualClock, Millis, SystemClock
from skylarkcart.errors import (
    InvalidValueError,
    RequestRefusedError,
    SkylarkcartError,
)
from skylarkcart.verdict import RunVerdict

__all__ = [
    "Clock",
    "InvalidValueError",
    "ManualClock",
    "Millis",
    "RequestRefusedError",
    "RunVerdict",
    "SkylarkcartError",
    "SystemClock",
]
