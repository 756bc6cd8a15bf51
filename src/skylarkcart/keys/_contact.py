"""Decides whether a zone without contact to the platform serves an account."""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.declarations import AccountRow
from skylarkcart.types import PlatformLossPolicy, ZoneId

MILLISECONDS_PER_SECOND = 1000.0


class ContactHeartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="type",
    tag="keys.contact",
):
    """The time since the sender's zone last reached the platform; None if never."""

    zone: ZoneId
    age_ms: float | None = None


class PlatformContact:
    """Tracks the last contact of any member of this zone with the platform.

    Only readers call the platform; the other members learn of a contact from zone
    peers. Ages count from the time of the request, not of the response, so a contact
    may appear older than it is but never newer, even if messages are delayed.
    """

    def __init__(self, *, zone: ZoneId) -> None:
        self._zone = zone
        self._last_contact_at: Millis | None = None

    def observe_read(self, *, asked_at: Millis) -> None:
        """Records that the platform answered a call sent at ``asked_at``."""
        self._record_contact(asked_at)

    def observe_heartbeat(
        self, heartbeat: ContactHeartbeat, *, asked_at: Millis
    ) -> None:
        """Records the response of a peer to an exchange that started at ``asked_at``.

        Heartbeats from exchanges that the peer started have an unknown age and must not
        be passed in.
        """
        age_ms = heartbeat.age_ms
        if heartbeat.zone == self._zone and age_ms is not None and age_ms >= 0:
            self._record_contact(Millis(asked_at - age_ms))

    def heartbeat(self, now: Millis) -> ContactHeartbeat:
        """Returns the heartbeat to send to zone peers."""
        return ContactHeartbeat(zone=self._zone, age_ms=self.get_age_ms(now))

    def get_age_ms(self, now: Millis) -> float | None:
        """Returns the time since the last contact; None if there was none."""
        return None if self._last_contact_at is None else now - self._last_contact_at

    def may_serve(self, account: AccountRow, now: Millis) -> bool:
        """Returns whether requests of the account may be served now.

        A zone that never reached the platform refuses accounts that aren't configured
        to be served on platform loss.
        """
        if account.on_platform_loss is PlatformLossPolicy.SERVE:
            return True
        age_ms = self.get_age_ms(now)
        limit_ms = account.refuse_after_s * MILLISECONDS_PER_SECOND
        return age_ms is not None and age_ms < limit_ms

    def _record_contact(self, contact_at: Millis) -> None:
        if self._last_contact_at is None or contact_at > self._last_contact_at:
            self._last_contact_at = contact_at
