"""Published state, ordered by store revision, and the time of its confirmation.

A change is applied only if it is newer than the whole state and than what is known of
its key, whichever way it arrives: from a full read, a watch or another instance. The
state at a revision includes all changes up to it, so that a result which arrives late
never undoes a newer change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set

from skylarkcart.clock import Millis
from skylarkcart.published import Configuration, RegisteredUpstream, UpstreamEntry
from skylarkcart.registry._messages import (
    CONFIGURATION_KEY,
    Change,
    ClosedZone,
    ItemKey,
    ItemKind,
    LapsedEntry,
    Published,
    PublishedEntry,
    RegistryEvent,
    Removal,
    build_upstream_key,
    build_zone_key,
)
from skylarkcart.registry._outages import LAPSED_ENTRY_GRACE_MS, StoreOutages
from skylarkcart.types import UpstreamId, ZoneId

# Removals kept for partial transfers. Instances with an older revision get the whole
# state.
MAX_REMOVAL_HISTORY = 512

# Without a configuration, the current one stays in force.
_REMOVABLE_KINDS = frozenset({ItemKind.CLOSED_ZONE, ItemKind.UPSTREAM})


class Registry:
    """The latest known published state, from the store or from other instances.

    ``confirmed_at`` is the latest time at which the state is known to have been
    current. The version of the configuration never decreases. ``upstreams`` holds the
    entries in the store and those that lapsed during an outage of the store and may be
    restored.
    """

    def __init__(self, *, on_event: Callable[[RegistryEvent], None]) -> None:
        self._event_handler = on_event
        # Revisions of the items that exist.
        self._revisions: dict[ItemKey, int] = {}
        self._entries: dict[UpstreamId, RegisteredUpstream] = {}
        self._lapsed: dict[UpstreamId, tuple[RegisteredUpstream, Millis]] = {}
        # Revisions of the latest removals, oldest first.
        self._removals: dict[ItemKey, int] = {}
        # Removals up to this revision are no longer in the history.
        self._removal_history_start = 0
        self._outages = StoreOutages()
        self.revision = 0
        self._configuration_revision = 0
        self.configuration: Configuration | None = None
        self.closed_zones: set[ZoneId] = set()
        self.confirmed_at: Millis | None = None

    @property
    def upstreams(self) -> dict[UpstreamId, RegisteredUpstream]:
        lapsed = {upstream: known for upstream, (known, _) in self._lapsed.items()}
        return lapsed | self._entries

    def apply_snapshot(
        self, changes: Iterable[Change], *, revision: int, now: Millis
    ) -> None:
        """Replaces the state with the result of a full read.

        ``revision`` is the store's revision when the read began; changes may be newer.
        A read that is not newer than the known state is ignored: while its pages
        arrived, another instance has passed on a later state.
        """
        if revision <= self.revision:
            self._emit_event(
                "full_read_ignored",
                revision,
                f"the state is known at revision {self.revision}",
            )
            return
        grace_end = self._outages.get_grace_end(now)
        present = set()
        for change in changes:
            if change.value is not None:
                present.add(change.key)
            self._apply_change(change, now, grace_end=grace_end)
        for change in self._list_missing(_REMOVABLE_KINDS, present, revision):
            self._apply_change(change, now, grace_end=grace_end)
        self.revision = revision
        self._clear_removals()

    def apply_changes(
        self, changes: Iterable[Change], *, revision: int, now: Millis
    ) -> None:
        """Applies the changes that a watch returned."""
        grace_end = self._outages.get_grace_end(now)
        for change in changes:
            self._apply_change(change, now, grace_end=grace_end)
        self.revision = max(self.revision, revision)

    def adopt(self, published: Published, now: Millis) -> bool:
        """Applies the state of another instance and returns True if it is newer.

        A partial state is applied only if it starts at or before the own revision. Of
        the entries that it doesn't hold, only those lapsed that it lists as such: the
        sender knows whether the store was unavailable when they were removed.
        """
        if published.revision <= self.revision or published.since > self.revision:
            return False
        for change in self._list_adopted_changes(published):
            self._apply_change(change, now, grace_end=now)
        for lapsed in published.lapsed:
            self._adopt_lapsed_entry(lapsed, now)
        self.revision = published.revision
        if published.since == 0:
            self._clear_removals()
        return True

    def _list_adopted_changes(self, published: Published) -> list[Change]:
        changes = [
            Change(
                key=build_upstream_key(known.entry.upstream),
                revision=known.revision,
                value=known.entry,
            )
            for known in published.upstreams
        ]
        changes += [
            Change(
                key=build_zone_key(zone),
                revision=published.revision,
                value=ClosedZone(zone=zone),
            )
            for zone in published.closed_zones
        ]
        present = {change.key for change in changes}
        # The closed zones are complete also in a partial state.
        complete = {ItemKind.CLOSED_ZONE} if published.since else _REMOVABLE_KINDS
        changes += self._list_missing(complete, present, published.revision)
        changes += [
            Change(key=removal.key, revision=removal.revision, value=None)
            for removal in published.removals
        ]
        if published.configuration is not None:
            configuration = Change(
                key=CONFIGURATION_KEY,
                revision=published.configuration_revision,
                value=published.configuration,
            )
            changes.append(configuration)
        return changes

    def _list_missing(
        self, kinds: Set[ItemKind], present: Set[ItemKey], revision: int
    ) -> list[Change]:
        """Returns the removals of items that do not exist at a revision."""
        return [
            Change(key=key, revision=revision, value=None)
            for key in self._revisions
            if key.kind in kinds and key not in present
        ]

    def _adopt_lapsed_entry(self, lapsed: LapsedEntry, now: Millis) -> None:
        """Keeps an entry that lapsed at a peer for the time that is left to it.

        No entry is kept longer than one that lapses here, and one whose time has passed
        is not kept at all.
        """
        upstream = lapsed.entry.upstream
        if upstream in self._entries or not lapsed.left_ms > 0:
            return
        registered = RegisteredUpstream(entry=lapsed.entry, first_seen_at=now)
        left_ms = min(lapsed.left_ms, LAPSED_ENTRY_GRACE_MS)
        self._lapsed.setdefault(upstream, (registered, Millis(now + left_ms)))

    def confirm(self, at: Millis) -> None:
        """Records that the state was current at a time.

        The store responded then, to this instance or to the one that confirms it.
        """
        self._outages.record_response(at)
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def confirm_adopted(self, published: Published, *, requested_at: Millis) -> None:
        """Records that the adopted state was current when its sender confirmed it.

        The sender described the state after the request for it. The state was therefore
        current at the time of the request less the age that the sender states.
        """
        age_ms = published.confirmed_age_ms
        # Also False for NaN and infinity.
        if published.revision == self.revision and 0 <= age_ms < float("inf"):
            self.confirm(Millis(requested_at - age_ms))

    def record_store_outage(self, now: Millis) -> None:
        """Records an outage of the store, during which entries may lapse."""
        self._outages.record_failure(now)

    def record_store_response(self, now: Millis) -> None:
        """Records that the store has responded."""
        self._outages.record_response(now)

    def remove_expired(self, now: Millis) -> bool:
        """Drops expired lapsed entries and returns whether there were any."""
        expired = [
            upstream
            for upstream, (_, expires_at) in self._lapsed.items()
            if expires_at <= now
        ]
        for upstream in expired:
            del self._lapsed[upstream]
            self._emit_event("upstream_gone", upstream, "lapsed and was not restored")
        return bool(expired)

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Drops an upstream whose address is now used by another one."""
        self._lapsed.pop(upstream, None)
        if self._entries.pop(upstream, None) is not None:
            self._emit_event(
                "upstream_gone", upstream, "address is used by another upstream"
            )

    def get_age_ms(self, now: Millis) -> float:
        """Returns the time since the state was last known to be current."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def build_published(self, *, since: int, now: Millis) -> Published:
        """Returns the state that an instance at the revision ``since`` is missing."""
        if since < self._removal_history_start:
            since = 0
        return Published(
            since=since,
            revision=self.revision,
            configuration_revision=self._configuration_revision,
            configuration=(
                self.configuration if self._configuration_revision > since else None
            ),
            closed_zones=tuple(self.closed_zones),
            upstreams=tuple(
                PublishedEntry(revision=revision, entry=known.entry)
                for upstream, known in self._entries.items()
                if (revision := self._revisions[build_upstream_key(upstream)]) > since
            ),
            removals=tuple(
                Removal(key=key, revision=revision)
                for key, revision in self._removals.items()
                if revision > since > 0
            ),
            lapsed=tuple(
                LapsedEntry(entry=known.entry, left_ms=expires_at - now)
                for known, expires_at in self._lapsed.values()
            ),
            confirmed_age_ms=(
                -1.0 if self.confirmed_at is None else self.get_age_ms(now)
            ),
        )

    def _apply_change(self, change: Change, now: Millis, *, grace_end: Millis) -> None:
        """Applies a change; an upstream that it removes is kept until ``grace_end``."""
        if change.revision <= self._get_known_revision(change.key):
            return
        if change.value is None:
            self._revisions.pop(change.key, None)
            self._record_removal(change.key, change.revision)
            self._apply_deletion(change.key, now, grace_end)
            return
        self._revisions[change.key] = change.revision
        self._removals.pop(change.key, None)
        match change.value:
            case Configuration() as configuration:
                self._configuration_revision = change.revision
                self._adopt_configuration(configuration)
            case UpstreamEntry() as entry:
                self._put_upstream(entry, now)
            case ClosedZone(zone=zone):
                self._close_zone(zone)

    def _get_known_revision(self, key: ItemKey) -> int:
        """Returns the revision up to which all changes of a key are known."""
        return max(
            self.revision, self._revisions.get(key, 0), self._removals.get(key, 0)
        )

    def _apply_deletion(self, key: ItemKey, now: Millis, grace_end: Millis) -> None:
        match key.kind:
            case ItemKind.CLOSED_ZONE:
                self._reopen_zone(ZoneId(key.name))
            case ItemKind.UPSTREAM:
                self._remove_upstream(UpstreamId(key.name), now, grace_end)

    def _adopt_configuration(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        previous_version = "none" if current is None else str(current.version)
        self._emit_event(
            "configuration_adopted", configuration.version, f"after {previous_version}"
        )

    def _put_upstream(self, entry: UpstreamEntry, now: Millis) -> None:
        self._lapsed.pop(entry.upstream, None)
        known = self._entries.get(entry.upstream)
        self._entries[entry.upstream] = RegisteredUpstream(
            entry=entry, first_seen_at=now
        )
        if known is None or known.entry.state is not entry.state:
            detail = f"{entry.state.value} for {entry.service} at {entry.address}"
            self._emit_event("upstream_entry", entry.upstream, detail)

    def _remove_upstream(
        self, upstream: UpstreamId, now: Millis, grace_end: Millis
    ) -> None:
        known = self._entries.pop(upstream, None)
        if known is None:
            return
        if now < grace_end:
            self._lapsed[upstream] = (known, grace_end)
            self._emit_event(
                "upstream_lapsed",
                upstream,
                f"removed in {grace_end - now:.0f} ms unless restored",
            )
            return
        self._emit_event("upstream_gone", upstream, "entry removed")

    def _close_zone(self, zone: ZoneId) -> None:
        if zone not in self.closed_zones:
            self.closed_zones.add(zone)
            self._emit_event("zone_closed", zone, f"revision {self.revision}")

    def _reopen_zone(self, zone: ZoneId) -> None:
        if zone in self.closed_zones:
            self.closed_zones.remove(zone)
            self._emit_event("zone_reopened", zone, f"revision {self.revision}")

    def _record_removal(self, key: ItemKey, revision: int) -> None:
        self._removals.pop(key, None)
        self._removals[key] = revision
        if len(self._removals) > MAX_REMOVAL_HISTORY:
            oldest = next(iter(self._removals))
            self._removal_history_start = max(
                self._removal_history_start, self._removals.pop(oldest)
            )

    def _clear_removals(self) -> None:
        """Forgets removals, after a state that did not list them."""
        self._removals.clear()
        self._removal_history_start = self.revision

    def _emit_event(self, name: str, subject: object, detail: str) -> None:
        self._event_handler(
            RegistryEvent(name=name, subject=str(subject), detail=detail)
        )
