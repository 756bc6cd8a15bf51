"""Finds responses of upstreams that are no answer, by their heads."""

from __future__ import annotations

import enum

MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599
INTERIM_STATUSES = range(100, 200)
STATUS_SWITCHING_PROTOCOLS = 101


class InvalidResponse(enum.Enum):
    """Why a response is no answer; the values appear in logs and metrics."""

    MALFORMED = "malformed"
    STATUS = "invalid_status"
    UPGRADE = "unrequested_upgrade"


def is_interim(status: int) -> bool:
    """Whether a response with this status precedes the answer."""
    return status in INTERIM_STATUSES


def find_invalidity(*, status: int) -> InvalidResponse | None:
    """Returns why a response with this head is no answer, or None.

    >>> find_invalidity(status=0)
    <InvalidResponse.STATUS: 'invalid_status'>
    """
    if status == STATUS_SWITCHING_PROTOCOLS:
        return InvalidResponse.UPGRADE
    if not is_interim(status) and not MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS:
        return InvalidResponse.STATUS
    return None
