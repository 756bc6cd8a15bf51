"""Entries of upstreams, those that lapsed, and processes that left in earlier eras."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.published import RegisteredUpstream, UpstreamEntry, UpstreamState
from skylarkcart.registry._departures import Departures
from skylarkcart.registry._messages import Departure, LapsedEntry, RegistryEvent
from skylarkcart.registry._outages import LAPSED_ENTRY_GRACE_MS
from skylarkcart.types import UpstreamId


class UpstreamEntries:
    """The entries in the store, and what is known of upstreams beside them.

    An entry that is missing since an outage of the store, or since an era began, has
    lapsed: its upstream still gets calls for a while. A process that left or was
    draining in an earlier era gets none, although a copy of the store lists it.
    """

    def __init__(self, *, on_event: Callable[[RegistryEvent], None]) -> None:
        self._event_handler = on_event
        self.stored: dict[UpstreamId, RegisteredUpstream] = {}
        self.lapsed: dict[UpstreamId, tuple[RegisteredUpstream, Millis]] = {}
        self.departures = Departures()

    @property
    def all(self) -> dict[UpstreamId, RegisteredUpstream]:
        """The upstreams that may get calls, and those that are draining."""
        lapsed = {upstream: known for upstream, (known, _) in self.lapsed.items()}
        if not self.departures.has_withheld:
            return self.stored | lapsed
        return {
            upstream: _drain(known) if self.departures.withholds(known.entry) else known
            for upstream, known in (self.stored | lapsed).items()
        }

    def put(self, entry: UpstreamEntry, now: Millis) -> None:
        """Records an entry of the store."""
        self.lapsed.pop(entry.upstream, None)
        self.departures.record_return(entry)
        known = self.stored.get(entry.upstream)
        self.stored[entry.upstream] = RegisteredUpstream(entry=entry, first_seen_at=now)
        if known is None or known.entry.state is not entry.state:
            detail = f"{entry.state.value} for {entry.service} at {entry.address}"
            self._emit_event("upstream_entry", entry.upstream, detail)

    def remove(self, upstream: UpstreamId, now: Millis, grace_end: Millis) -> None:
        """Records that the store holds no entry; it lapses until ``grace_end``."""
        known = self.stored.pop(upstream, None)
        if known is None:
            return
        if now < grace_end:
            # A newer process of the upstream may have lapsed when an era began.
            self.lapsed.setdefault(upstream, (known, grace_end))
            self._emit_event(
                "upstream_lapsed",
                upstream,
                f"removed in {grace_end - now:.0f} ms unless restored",
            )
            return
        if upstream not in self.lapsed:
            self.departures.record(known.entry)
            self._emit_event("upstream_gone", upstream, "entry removed")

    def drop(self, upstream: UpstreamId) -> None:
        """Drops an upstream whose address is now used by another one."""
        self.lapsed.pop(upstream, None)
        if self.stored.pop(upstream, None) is not None:
            self._emit_event(
                "upstream_gone", upstream, "address is used by another upstream"
            )

    def adopt_lapsed(self, lapsed: LapsedEntry, now: Millis) -> None:
        """Keeps an entry that lapsed at a peer for the time that is left to it.

        No entry is kept longer than one that lapses here, and one whose time has passed
        is not kept at all.
        """
        upstream = lapsed.entry.upstream
        if upstream in self.stored or not lapsed.left_ms > 0:
            return
        registered = RegisteredUpstream(entry=lapsed.entry, first_seen_at=now)
        left_ms = min(lapsed.left_ms, LAPSED_ENTRY_GRACE_MS)
        self.lapsed.setdefault(upstream, (registered, Millis(now + left_ms)))

    def list_lapsed(self, now: Millis) -> tuple[LapsedEntry, ...]:
        return tuple(
            LapsedEntry(entry=known.entry, left_ms=expires_at - now)
            for known, expires_at in self.lapsed.values()
        )

    def adopt_departures(
        self, departures: Iterable[Departure], *, ends_by: Millis, now: Millis
    ) -> None:
        """Adds the departures that a peer knows to those known here.

        Those of earlier eras withhold calls until a time at most. An upstream that is
        in the store has returned since it left in the current era.
        """
        for departure in departures:
            if departure.is_of_current_era:
                if departure.upstream not in self.stored:
                    self.departures.adopt_current(departure)
            else:
                self.departures.adopt(departure, ends_by=ends_by, now=now)

    def begin_era(
        self, now: Millis, *, withheld_until: Millis
    ) -> dict[UpstreamId, RegisteredUpstream]:
        """Withholds calls from those that left; returns the upstreams known so far.

        Entries that have lapsed may have been written again and lost again.
        """
        earlier = self.all
        self.departures.begin_era(
            (known.entry for known in earlier.values()), withheld_until
        )
        lapse_end = Millis(now + LAPSED_ENTRY_GRACE_MS)
        self.lapsed = {
            upstream: (known, lapse_end) for upstream, (known, _) in self.lapsed.items()
        }
        return earlier

    def compare_eras(
        self,
        earlier: dict[UpstreamId, RegisteredUpstream],
        now: Millis,
        *,
        withheld_until: Millis,
    ) -> None:
        """Compares the entries of a new era with the upstreams known before.

        An entry of an older process than the known one comes from a copy. The known
        process gets calls for as long as one whose entry is missing.
        """
        for upstream, known in earlier.items():
            registered = self.stored.get(upstream)
            if registered is None:
                continue
            if registered.entry == known.entry:
                # Its cold start goes on.
                self.stored[upstream] = known
            elif _is_older_process(registered.entry, known.entry):
                self.departures.withhold_before(known.entry, withheld_until)
                if known.entry.state is UpstreamState.READY:
                    lapse_end = Millis(now + LAPSED_ENTRY_GRACE_MS)
                    self.lapsed[upstream] = (known, lapse_end)
        for upstream, registered in self.stored.items():
            if self.departures.withholds(registered.entry):
                self._emit_event(
                    "upstream_withheld", upstream, "left in an earlier era"
                )

    def remove_expired(self, now: Millis) -> bool:
        """Drops what was kept until now and returns whether there was anything."""
        expired = [
            upstream
            for upstream, (_, expires_at) in self.lapsed.items()
            if expires_at <= now
        ]
        for upstream in expired:
            known, _ = self.lapsed.pop(upstream)
            if upstream not in self.stored:
                self.departures.record(known.entry)
            self._emit_event("upstream_gone", upstream, "lapsed and was not restored")
        return bool(self._release_withheld(now) or expired)

    def _release_withheld(self, now: Millis) -> list[UpstreamId]:
        released = self.departures.list_expired(now)
        for upstream in released:
            registered = self.stored.get(upstream)
            if registered is not None and self.departures.withholds(registered.entry):
                self._emit_event("upstream_released", upstream, "still in the store")
            self.departures.forget(upstream)
        return released

    def _emit_event(self, name: str, upstream: UpstreamId, detail: str) -> None:
        self._event_handler(RegistryEvent(name=name, subject=upstream, detail=detail))


def _drain(known: RegisteredUpstream) -> RegisteredUpstream:
    entry = msgspec.structs.replace(known.entry, state=UpstreamState.DRAINING)
    return msgspec.structs.replace(known, entry=entry)


def _is_older_process(entry: UpstreamEntry, known: UpstreamEntry) -> bool:
    """Whether an entry is of an older process; False if a start is not stated."""
    return None not in (entry.born_ms, known.born_ms) and entry.born_ms < known.born_ms
