"""Published state, ordered by era and revision, and the time of its confirmation.

A change is applied only if it is newer than the whole state and than what is known of
its key, whichever way it arrives: from a full read, a watch or another instance. The
state at a revision includes all changes up to it, so that a result which arrives late
never undoes a newer change.

Revisions are compared within an era of the store. Whole state of a later era replaces
the state as a whole; state of an earlier era, and changes of another era, are ignored.
What is kept from earlier eras lies beside the state of the store.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set

from skylarkcart.clock import Millis
from skylarkcart.published import Configuration, RegisteredUpstream, UpstreamEntry
from skylarkcart.registry._closed_zones import ClosedZones
from skylarkcart.registry._configuration import ConfigurationInForce
from skylarkcart.registry._kept_digests import KeptDigests, compute_digest
from skylarkcart.registry._messages import (
    Change,
    ClosedZone,
    ItemKey,
    ItemKind,
    Published,
    PublishedEntry,
    RegistryEvent,
    Removal,
    build_upstream_key,
)
from skylarkcart.registry._outages import LAPSED_ENTRY_GRACE_MS, StoreOutages
from skylarkcart.registry._retention import RetentionBounds
from skylarkcart.registry._transfer import list_changes
from skylarkcart.registry._upstreams import UpstreamEntries
from skylarkcart.types import NO_ERA, Era, StatePosition, UpstreamId, ZoneId

# Removals kept for partial transfers. Instances with an older revision get the whole
# state.
MAX_REMOVAL_HISTORY = 512

# Without a configuration, the current one stays in force.
_REMOVABLE_KINDS = frozenset({ItemKind.CLOSED_ZONE, ItemKind.UPSTREAM})


class Registry:
    """The latest known published state, from the store or from other instances.

    ``confirmed_at`` is the latest time at which the state is known to have been
    current. The version of the configuration never decreases within an era.
    ``upstreams`` holds the entries in the store and those that lapsed during an outage
    of the store and may be restored; those of processes that left in an earlier era
    are draining.
    """

    def __init__(
        self,
        *,
        on_event: Callable[[RegistryEvent], None],
        retention: RetentionBounds,
    ) -> None:
        self._event_handler = on_event
        self._retention = retention
        # Revisions of the items that exist.
        self._revisions: dict[ItemKey, int] = {}
        self._upstreams = UpstreamEntries(on_event=on_event)
        # Revisions of the latest removals, oldest first.
        self._removals: dict[ItemKey, int] = {}
        # Removals up to this revision are no longer in the history.
        self._removal_history_start = 0
        self._outages = StoreOutages()
        self.era = NO_ERA
        self.revision = 0
        self._configuration = ConfigurationInForce(on_event=on_event)
        self._closed_zones = ClosedZones(on_event=on_event)
        # When this process learned of the era.
        self._era_began_at = Millis(float("-inf"))
        self._kept_digests = KeptDigests()
        self.confirmed_at: Millis | None = None
        # Whether nothing can be missing here that peers keep from earlier eras, and the
        # latest confirmation at a time when that was so.
        self.has_surveyed_peers = True
        self._confirmed_before_era: Millis | None = None

    @property
    def position(self) -> StatePosition:
        return StatePosition(self.era, self.revision)

    @property
    def configuration(self) -> Configuration | None:
        return self._configuration.current

    @property
    def closed_zones(self) -> set[ZoneId]:
        return self._closed_zones.all

    @property
    def upstreams(self) -> dict[UpstreamId, RegisteredUpstream]:
        return self._upstreams.all

    def apply_snapshot(
        self,
        changes: Iterable[Change],
        *,
        revision: int,
        now: Millis,
        era: Era = NO_ERA,
    ) -> None:
        """Replaces the state with the result of a full read.

        ``revision`` is the store's revision when the read began; changes may be newer.
        A read that is not newer than the known state is ignored: while its pages
        arrived, another instance has passed on a later state.
        """
        if StatePosition(era, revision) <= self.position:
            self._emit_event(
                "full_read_ignored",
                f"{era}:{revision}",
                f"the state is known at revision {self.revision} of era {self.era}",
            )
            return
        earlier = self._begin_era(era, now)
        grace_end = self._outages.get_grace_end(now)
        if era != NO_ERA and earlier:
            grace_end = max(grace_end, Millis(now + LAPSED_ENTRY_GRACE_MS))
        present = set()
        for change in changes:
            if change.value is not None:
                present.add(change.key)
            self._apply_change(change, now, grace_end=grace_end)
        for change in self._list_missing(_REMOVABLE_KINDS, present, revision):
            self._apply_change(change, now, grace_end=grace_end)
        self.revision = revision
        self._clear_removals()
        self._compare_eras(earlier, now)

    def apply_changes(
        self,
        changes: Iterable[Change],
        *,
        revision: int,
        now: Millis,
        era: Era = NO_ERA,
    ) -> None:
        """Applies the changes that a watch returned, if the state is of their era."""
        if era != self.era:
            self._emit_event(
                "changes_ignored",
                f"{era}:{revision}",
                f"the state is known at revision {self.revision} of era {self.era}",
            )
            return
        grace_end = self._outages.get_grace_end(now)
        for change in changes:
            self._apply_change(change, now, grace_end=grace_end)
        self.revision = max(self.revision, revision)

    def adopt(self, published: Published, now: Millis) -> bool:
        """Applies the state of another instance and returns whether it brings anything.

        A partial state is applied only if it starts at or before the own revision of
        the same era. Of the entries that it doesn't hold, only those lapsed that it
        lists as such: the sender knows whether the store was unavailable when they were
        removed. If an era begins, entries lapse that it doesn't list as departed. State
        that leaves open whether requests need keys is ignored.

        What the peer keeps from earlier eras is taken over from state of the same era
        at any position.
        """
        if published.is_ambiguous:
            self._emit_event(
                "state_ignored",
                f"{published.era}:{published.revision}",
                "an older build does not tell whether requests need keys",
            )
            return False
        is_same_era = published.era == self.era
        if published.position <= self.position:
            return is_same_era and self._adopt_kept(published, now)
        if published.since and not (is_same_era and published.since <= self.revision):
            return False
        earlier = self._begin_era(published.era, now)
        departed = {departure.upstream for departure in published.departures}
        lapse_end = Millis(now + LAPSED_ENTRY_GRACE_MS) if earlier else now
        for change in self._list_adopted_changes(published):
            grace_end = now if change.key.name in departed else lapse_end
            self._apply_change(change, now, grace_end=grace_end)
        for lapsed in published.lapsed:
            self._upstreams.adopt_lapsed(lapsed, now)
        self.revision = published.revision
        if published.since == 0:
            self._clear_removals()
        self._adopt_kept(published, now)
        self._compare_eras(earlier, now)
        return True

    def _begin_era(self, era: Era, now: Millis) -> dict[UpstreamId, RegisteredUpstream]:
        """Prepares for whole state of a later era and returns the upstreams known.

        Does nothing within an era. Revisions of the era before are forgotten, since the
        store gives them out again.
        """
        if era == self.era:
            return {}
        if self.revision:
            self._emit_event(
                "store_era_began",
                era,
                f"the state was known at revision {self.revision} of era {self.era}",
            )
        bounds = self._retention
        earlier = self._upstreams.begin_era(
            now, withheld_until=Millis(now + bounds.departure_ms)
        )
        self._configuration.begin_era(Millis(now + bounds.configuration_ms))
        self._closed_zones.begin_era(Millis(now + bounds.closed_zone_ms))
        self._revisions = {
            key: 0 for key in self._revisions if key.kind is ItemKind.UPSTREAM
        }
        self._removals.clear()
        self._removal_history_start = self.revision = 0
        self.era = era
        self._era_began_at = now
        if self.has_surveyed_peers:
            self._confirmed_before_era = self.confirmed_at
        self.has_surveyed_peers = False
        self._kept_digests.begin_era()
        return earlier

    def _compare_eras(
        self, earlier: dict[UpstreamId, RegisteredUpstream], now: Millis
    ) -> None:
        """Compares the state of a new era with what was known before."""
        if earlier:
            withheld_until = Millis(now + self._retention.departure_ms)
            self._upstreams.compare_eras(earlier, now, withheld_until=withheld_until)
            self._closed_zones.log_kept(now)

    def _adopt_kept(self, published: Published, now: Millis) -> bool:
        """Takes over what a peer keeps from earlier eras; returns whether it is new.

        Nothing is kept for longer than if this instance had known it when the era
        began: a peer that learned of the era later must not renew what has expired
        here.
        """
        before = self.compute_kept_digest(now)
        withheld = [known for known in published.departures if known.left_ms > 0]
        self._kept_digests.add(
            compute_digest(published.kept_configuration, published.kept_zones, withheld)
        )
        bounds, began_at = self._retention, self._era_began_at
        kept = published.kept_configuration
        if kept is not None:
            until = min(now + kept.left_ms, began_at + bounds.configuration_ms)
            if until > now:
                self._configuration.keep(kept.configuration, Millis(until))
        for zone in published.kept_zones:
            until = min(now + zone.left_ms, began_at + bounds.closed_zone_ms)
            if until > now:
                self._closed_zones.keep(zone, Millis(until))
        self._upstreams.adopt_departures(
            published.departures,
            ends_by=Millis(began_at + bounds.departure_ms),
            now=now,
        )
        return self.compute_kept_digest(now) != before

    def compute_kept_digest(self, now: Millis) -> int:
        """Returns the digest of what is kept from earlier eras, or 0 for nothing."""
        digest = compute_digest(
            self._configuration.get_kept(now),
            self._closed_zones.list_kept(now),
            self._upstreams.departures.list_withheld(now),
        )
        self._kept_digests.add(digest)
        return digest

    def lacks_kept(self, digest: int, now: Millis) -> bool:
        """Whether a peer that states a digest may keep what is missing here."""
        bounds = self._retention
        longest_ms = max(
            bounds.configuration_ms, bounds.closed_zone_ms, bounds.departure_ms
        )
        is_over = now >= self._era_began_at + longest_ms
        return not is_over and not self._kept_digests.knows(digest)

    def _list_adopted_changes(self, published: Published) -> list[Change]:
        changes = list_changes(published)
        present = {change.key for change in changes if change.value is not None}
        # The closed zones are complete also in a partial state.
        complete = {ItemKind.CLOSED_ZONE} if published.since else _REMOVABLE_KINDS
        return [*changes, *self._list_missing(complete, present, published.revision)]

    def _list_missing(
        self, kinds: Set[ItemKind], present: Set[ItemKey], revision: int
    ) -> list[Change]:
        """Returns the removals of items that do not exist at a revision."""
        return [
            Change(key=key, revision=revision, value=None)
            for key in self._revisions
            if key.kind in kinds and key not in present
        ]

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
        if published.position == self.position and 0 <= age_ms < float("inf"):
            self.confirm(Millis(requested_at - age_ms))

    def record_store_outage(self, now: Millis) -> None:
        """Records an outage of the store, during which entries may lapse."""
        self._outages.record_failure(now)

    def record_store_response(self, now: Millis) -> None:
        """Records that the store has responded."""
        self._outages.record_response(now)

    def remove_expired(self, now: Millis) -> bool:
        """Drops what was kept until now and returns whether there was anything."""
        results = [
            part.remove_expired(now)
            for part in (self._upstreams, self._closed_zones, self._configuration)
        ]
        return any(results)

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Drops an upstream whose address is now used by another one."""
        self._upstreams.drop(upstream)

    def get_age_ms(self, now: Millis) -> float:
        """Returns the time since the state was last known to be current."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def record_survey(self) -> None:
        """Records that all that peers keep from earlier eras is known here."""
        self.has_surveyed_peers = True

    def get_key_age_ms(self, now: Millis) -> float:
        """Returns the time since all withdrawn keys were known to be missing here.

        A restored store does not confirm that: it may lack a version that only peers
        have seen. Until they have been surveyed, the confirmations of earlier eras
        count.
        """
        if self.has_surveyed_peers:
            return self.get_age_ms(now)
        confirmed_at = self._confirmed_before_era
        return float("inf") if confirmed_at is None else now - confirmed_at

    def build_published(
        self,
        *,
        since: int,
        now: Millis,
        era: Era = NO_ERA,
        includes_kept: bool = False,
    ) -> Published:
        """Returns the state that an instance at a revision of an era is missing.

        What is kept from earlier eras is included in a whole state, and in another one
        if it is asked for.
        """
        if era != self.era or since < self._removal_history_start:
            since = 0
        configuration = self._configuration
        includes_kept = includes_kept or since == 0
        return Published(
            since=since,
            revision=self.revision,
            configuration_revision=configuration.revision,
            configuration=(
                configuration.stored if configuration.revision > since else None
            ),
            closed_zones=tuple(self._closed_zones.stored),
            upstreams=tuple(
                PublishedEntry(revision=revision, entry=known.entry)
                for upstream, known in self._upstreams.stored.items()
                if (revision := self._revisions[build_upstream_key(upstream)]) > since
            ),
            removals=tuple(
                Removal(key=key, revision=revision)
                for key, revision in self._removals.items()
                if revision > since > 0
            ),
            lapsed=self._upstreams.list_lapsed(now),
            confirmed_age_ms=(
                -1.0 if self.confirmed_at is None else self.get_age_ms(now)
            ),
            era=self.era,
            kept_configuration=configuration.get_kept(now) if includes_kept else None,
            kept_zones=self._closed_zones.list_kept(now) if includes_kept else (),
            departures=(
                self._upstreams.departures.list_departures(now) if includes_kept else ()
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
                self._configuration.offer(
                    configuration, revision=change.revision, now=now
                )
            case UpstreamEntry() as entry:
                self._upstreams.put(entry, now)
            case ClosedZone(zone=zone):
                self._closed_zones.close(zone)

    def _get_known_revision(self, key: ItemKey) -> int:
        """Returns the revision up to which all changes of a key are known."""
        return max(
            self.revision, self._revisions.get(key, 0), self._removals.get(key, 0)
        )

    def _apply_deletion(self, key: ItemKey, now: Millis, grace_end: Millis) -> None:
        match key.kind:
            case ItemKind.CLOSED_ZONE:
                self._closed_zones.reopen(ZoneId(key.name))
            case ItemKind.UPSTREAM:
                self._upstreams.remove(UpstreamId(key.name), now, grace_end)

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
