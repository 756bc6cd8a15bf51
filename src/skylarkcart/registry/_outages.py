"""Outages of the store, during which upstreams can't renew their entries."""

from __future__ import annotations

from skylarkcart.clock import Millis

# Entries that lapsed during an outage of the store are restored within two seconds of
# its recovery. An entry that is still missing after that is removed.
LAPSED_ENTRY_GRACE_MS = 2_000.0


class StoreOutages:
    """The latest outage of the store, as far as this instance knows.

    An outage lasts from a failed call to the first time at which the store is known to
    have responded, to this instance or to another one. An instance that stops calling
    the store after a failed call learns of the recovery from others.

    >>> outages = StoreOutages()
    >>> outages.record_failure(Millis(1_000))
    >>> outages.record_response(Millis(4_000))
    >>> outages.get_grace_end(Millis(9_000))
    6000.0
    """

    def __init__(self) -> None:
        self._failed_at: Millis | None = None
        self._recovered_at = Millis(float("-inf"))

    def record_failure(self, now: Millis) -> None:
        """Records a call that failed."""
        self._failed_at = now

    def record_response(self, at: Millis) -> None:
        """Records that the store responded at a time, which may be in the past."""
        if self._failed_at is not None and at > self._failed_at:
            self._failed_at = None
            self._recovered_at = at

    def get_grace_end(self, now: Millis) -> Millis:
        """Returns the time until which a missing entry may be restored.

        It is in the past if there was no recent outage.
        """
        last_outage_at = self._recovered_at if self._failed_at is None else now
        return Millis(last_outage_at + LAPSED_ENTRY_GRACE_MS)
