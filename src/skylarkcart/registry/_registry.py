"""Published state, ordered by store revision, and the time of its confirmation."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.published import Configuration, RegisteredUpstream, UpstreamEntry
from skylarkcart.types import UpstreamId, ZoneId

# Entries that lapsed during an outage of the store are restored within two seconds of
# its recovery. An entry that is still missing after that is removed.
LAPSED_ENTRY_GRACE_MS = 2_000.0

# Removals kept for partial transfers. Instances with an older revision get the whole
# state.
MAX_REMOVAL_HISTORY = 512


class ClosedZone(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An availability zone whose upstreams get no new calls."""

    zone: ZoneId


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """The new value of a key, or its deletion if ``value`` is None.

    An entry that can't be decoded is treated as a deletion, as it can't be used.
    """

    key: str
    revision: int
    value: Configuration | UpstreamEntry | ClosedZone | None


class Removal(msgspec.Struct, frozen=True, kw_only=True):
    """A key that was deleted at a revision."""

    key: str
    revision: int


class PublishedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's entry and its revision."""

    revision: int
    entry: UpstreamEntry


class LapsedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that is missing since an outage of the store.

    Its upstream still gets calls for ``left_ms``.
    """

    entry: UpstreamEntry
    left_ms: float


class Published(msgspec.Struct, frozen=True, kw_only=True):
    """Published state, as transferred between instances.

    If ``since`` is 0, it holds the whole state at ``revision``. Otherwise it holds the
    changes after the revision ``since``, and ``configuration`` is None if unchanged.
    ``confirmed_age_ms`` is the time since the sender last knew it to be current,
    negative if it never did.
    """

    since: int
    revision: int
    configuration_revision: int
    configuration: Configuration | None
    closed_zones: tuple[ZoneId, ...]
    upstreams: tuple[PublishedEntry, ...]
    removals: tuple[Removal, ...]
    lapsed: tuple[LapsedEntry, ...]
    confirmed_age_ms: float = -1.0


class RegistryEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the published state, for the log."""

    name: str
    subject: str
    detail: str


class Registry:
    """The latest known published state, from the store or from other instances.

    ``confirmed_at`` is the latest time at which the state is known to have been
    current. The version of the configuration never decreases. ``upstreams`` holds the
    entries in the store and those that lapsed during an outage of the store and may be
    restored.
    """

    def __init__(self, *, on_event: Callable[[RegistryEvent], None]) -> None:
        self._event_handler = on_event
        self._revisions: dict[str, int] = {}
        self._entries: dict[UpstreamId, RegisteredUpstream] = {}
        self._lapsed: dict[UpstreamId, tuple[RegisteredUpstream, Millis]] = {}
        self._removals: collections.deque[Removal] = collections.deque()
        # Removals up to this revision are no longer in the history.
        self._removal_history_start = 0
        self._store_was_unreachable = False
        self._store_recovered_at = Millis(float("-inf"))
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
        """Replaces the state with the result of a full read."""
        changes_by_key = {_get_last_key_part(change.key): change for change in changes}
        for change in changes_by_key.values():
            self._apply_change(change, now)
        present = {
            change.value.upstream
            for change in changes_by_key.values()
            if isinstance(change.value, UpstreamEntry)
        }
        for upstream in set(self._entries) - present:
            self._remove_upstream(upstream, now)
        for zone in self.closed_zones - set(changes_by_key):
            self._reopen_zone(ZoneId(zone))
        self.revision = max(self.revision, revision)
        self._removals.clear()
        self._removal_history_start = self.revision

    def apply_changes(
        self, changes: Iterable[Change], *, revision: int, now: Millis
    ) -> None:
        """Applies the changes that a watch returned."""
        for change in changes:
            self._apply_change(change, now)
        self.revision = max(self.revision, revision)

    def adopt(self, published: Published, now: Millis) -> bool:
        """Applies the state of another instance and returns True if it is newer.

        A partial state is applied only if it starts at or before the own revision.
        """
        if published.revision <= self.revision or published.since > self.revision:
            return False
        if published.configuration is not None:
            self._configuration_revision = published.configuration_revision
            self._adopt_configuration(published.configuration)
        self._adopt_closed_zones(published.closed_zones)
        for known in published.upstreams:
            key = known.entry.upstream
            self._apply_change(
                Change(key=key, revision=known.revision, value=known.entry), now
            )
        for removal in published.removals:
            self._apply_change(
                Change(key=removal.key, revision=removal.revision, value=None), now
            )
        if published.since == 0:
            present = {known.entry.upstream for known in published.upstreams}
            for upstream in set(self._entries) - present:
                self._remove_upstream(upstream, now)
            self._removals.clear()
            self._removal_history_start = published.revision
        for lapsed in published.lapsed:
            self._adopt_lapsed_entry(lapsed, now)
        self.revision = published.revision
        self._store_was_unreachable = False
        return True

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
        """Records that the state was current at a time."""
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

    def record_store_outage(self) -> None:
        """Records an outage of the store, during which entries may lapse."""
        self._store_was_unreachable = True

    def record_store_response(self, now: Millis) -> None:
        """Records that the store has responded."""
        if self._store_was_unreachable:
            self._store_was_unreachable = False
            self._store_recovered_at = now

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
                if (revision := self._revisions[upstream]) > since
            ),
            removals=tuple(r for r in self._removals if r.revision > since > 0),
            lapsed=tuple(
                LapsedEntry(entry=known.entry, left_ms=expires_at - now)
                for known, expires_at in self._lapsed.values()
            ),
            confirmed_age_ms=(
                -1.0 if self.confirmed_at is None else self.get_age_ms(now)
            ),
        )

    def _apply_change(self, change: Change, now: Millis) -> None:
        key = _get_last_key_part(change.key)
        if change.revision <= self._revisions.get(key, 0):
            return
        if change.value is None:
            self._revisions.pop(key, None)
            self._append_removal(Removal(key=change.key, revision=change.revision))
            self._apply_deletion(key, now)
            return
        self._revisions[key] = change.revision
        match change.value:
            case Configuration() as configuration:
                self._configuration_revision = change.revision
                self._adopt_configuration(configuration)
            case UpstreamEntry() as entry:
                self._put_upstream(entry, now)
            case ClosedZone(zone=zone):
                self._close_zone(zone)

    def _apply_deletion(self, key: str, now: Millis) -> None:
        zone = ZoneId(key)
        if zone in self.closed_zones:
            self._reopen_zone(zone)
            return
        upstream = UpstreamId(key)
        if upstream in self._entries:
            self._remove_upstream(upstream, now)

    def _adopt_configuration(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        previous_version = "none" if current is None else str(current.version)
        self._emit_event(
            "configuration_adopted", configuration.version, f"after {previous_version}"
        )

    def _adopt_closed_zones(self, zones: Iterable[ZoneId]) -> None:
        closed = set(zones)
        for zone in closed - self.closed_zones:
            self._close_zone(zone)
        for zone in self.closed_zones - closed:
            self._reopen_zone(zone)

    def _put_upstream(self, entry: UpstreamEntry, now: Millis) -> None:
        self._lapsed.pop(entry.upstream, None)
        known = self._entries.get(entry.upstream)
        self._entries[entry.upstream] = RegisteredUpstream(
            entry=entry, first_seen_at=now
        )
        if known is None or known.entry.state is not entry.state:
            detail = f"{entry.state.value} for {entry.service} at {entry.address}"
            self._emit_event("upstream_entry", entry.upstream, detail)

    def _remove_upstream(self, upstream: UpstreamId, now: Millis) -> None:
        known = self._entries.pop(upstream)
        self._revisions.pop(upstream, None)
        grace_end = self._store_recovered_at + LAPSED_ENTRY_GRACE_MS
        if self._store_was_unreachable or now < grace_end:
            expires_at = Millis(grace_end)
            if self._store_was_unreachable:
                expires_at = Millis(now + LAPSED_ENTRY_GRACE_MS)
            self._lapsed[upstream] = (known, expires_at)
            self._emit_event(
                "upstream_lapsed",
                upstream,
                f"removed in {expires_at - now:.0f} ms unless restored",
            )
            return
        self._emit_event("upstream_gone", upstream, "entry removed")

    def _close_zone(self, zone: ZoneId) -> None:
        if zone not in self.closed_zones:
            self.closed_zones.add(zone)
            self._emit_event("zone_closed", zone, f"revision {self.revision}")

    def _reopen_zone(self, zone: ZoneId) -> None:
        self.closed_zones.discard(zone)
        self._emit_event("zone_reopened", zone, f"revision {self.revision}")

    def _append_removal(self, removal: Removal) -> None:
        self._removals.append(removal)
        if len(self._removals) > MAX_REMOVAL_HISTORY:
            self._removal_history_start = self._removals.popleft().revision

    def _emit_event(self, name: str, subject: object, detail: str) -> None:
        self._event_handler(
            RegistryEvent(name=name, subject=str(subject), detail=detail)
        )


def _get_last_key_part(key: str) -> str:
    """Returns the last part of a key, which is the id of an upstream or zone."""
    return key.rpartition("/")[2]
