"""Closed availability zones, which do not reopen because an era begins."""

from __future__ import annotations

from collections.abc import Callable

from skylarkcart.clock import Millis
from skylarkcart.registry._messages import KeptZone, RegistryEvent
from skylarkcart.types import ZoneId


class ClosedZones:
    """The zones that the store closes, and those kept closed from an earlier era.

    An evacuation may be lost when the store is restored from a copy. Its zone stays
    closed until a time, unless the store closes it again and so decides on it.
    """

    def __init__(self, *, on_event: Callable[[RegistryEvent], None]) -> None:
        self._event_handler = on_event
        self.stored: set[ZoneId] = set()
        self._kept: dict[ZoneId, Millis] = {}
        # Zones that the store has closed or reopened in the current era.
        self._decided: set[ZoneId] = set()

    @property
    def all(self) -> set[ZoneId]:
        return self.stored | self._kept.keys()

    def begin_era(self, kept_until: Millis) -> None:
        """Keeps all closed zones until a time, as the store may have lost them."""
        self._kept = dict.fromkeys(self.all, kept_until)
        self.stored = set()
        self._decided = set()

    def close(self, zone: ZoneId) -> None:
        """Closes a zone that is closed in the store."""
        if zone not in self.all:
            self._emit_event("zone_closed", zone, "in the store")
        self._kept.pop(zone, None)
        self.stored.add(zone)
        self._decided.add(zone)

    def reopen(self, zone: ZoneId) -> None:
        """Reopens a zone whose evacuation the operators have taken back."""
        self._decided.add(zone)
        if zone in self.all:
            self.stored.discard(zone)
            self._kept.pop(zone, None)
            self._emit_event("zone_reopened", zone, "in the store")

    def keep(self, kept: KeptZone, until: Millis) -> None:
        """Closes a zone that a peer keeps closed from an earlier era.

        What the store has said of the zone since then counts more.
        """
        if kept.zone not in self.all and kept.zone not in self._decided:
            self._kept[kept.zone] = until
            self._emit_event("zone_closed", kept.zone, "kept by a peer")

    def log_kept(self, now: Millis) -> None:
        """Logs the zones that the store does not close any more."""
        for zone, until in self._kept.items():
            self._emit_event(
                "zone_kept_closed", zone, f"for {until - now:.0f} ms at most"
            )

    def remove_expired(self, now: Millis) -> bool:
        """Reopens zones that were not closed again; returns whether there are any."""
        expired = [zone for zone, until in self._kept.items() if until <= now]
        for zone in expired:
            del self._kept[zone]
            self._emit_event("zone_reopened", zone, "was not closed again")
        return bool(expired)

    def list_kept(self, now: Millis) -> tuple[KeptZone, ...]:
        return tuple(
            KeptZone(zone=zone, left_ms=until - now)
            for zone, until in self._kept.items()
        )

    def _emit_event(self, name: str, zone: ZoneId, detail: str) -> None:
        self._event_handler(RegistryEvent(name=name, subject=zone, detail=detail))
