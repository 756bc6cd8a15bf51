"""Changes of the published state, and the state that instances pass to each other."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from skylarkcart.published import Configuration, UpstreamEntry
from skylarkcart.types import NO_ERA, Era, StatePosition, UpstreamId, ZoneId


class ItemKind(enum.Enum):
    """What an item of the store describes."""

    CONFIGURATION = "configuration"
    CLOSED_ZONE = "closed_zone"
    UPSTREAM = "upstream"


class ItemKey(msgspec.Struct, frozen=True, array_like=True):
    """The key of an item. Items of different kinds may have the same name."""

    kind: ItemKind
    name: str


CONFIGURATION_KEY = ItemKey(ItemKind.CONFIGURATION, "")


def build_zone_key(zone: ZoneId) -> ItemKey:
    return ItemKey(ItemKind.CLOSED_ZONE, zone)


def build_upstream_key(upstream: UpstreamId) -> ItemKey:
    return ItemKey(ItemKind.UPSTREAM, upstream)


class ClosedZone(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An availability zone whose upstreams get no new calls."""

    zone: ZoneId


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """The new value of a key, or its deletion if ``value`` is None.

    An entry that can't be decoded is treated as a deletion, as it can't be used.
    """

    key: ItemKey
    revision: int
    value: Configuration | UpstreamEntry | ClosedZone | None


class Removal(msgspec.Struct, frozen=True, kw_only=True):
    """A key that was deleted at a revision."""

    key: ItemKey
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


class KeptConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration that stays in force for ``left_ms`` after its era has ended."""

    configuration: Configuration
    left_ms: float


class KeptZone(msgspec.Struct, frozen=True, kw_only=True):
    """An availability zone that stays closed for ``left_ms``, though its era ended."""

    zone: ZoneId
    left_ms: float


# Time left of a departure of the store's current era.
CURRENT_ERA = -1.0


class Departure(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream whose processes that started up to ``born_ms`` have left.

    Without ``born_ms``, all have. They get no new calls for ``left_ms``; if that is
    negative, the departure is of the store's current era.
    """

    upstream: UpstreamId
    born_ms: int | None
    left_ms: float

    @property
    def is_of_current_era(self) -> bool:
        return self.left_ms == CURRENT_ERA


class Published(msgspec.Struct, frozen=True, kw_only=True):
    """Published state, as transferred between instances.

    If ``since`` is 0, it holds the whole state at ``revision``. Otherwise it holds the
    changes after the revision ``since``, and ``configuration`` is None if unchanged.
    ``closed_zones`` are always all closed zones. ``confirmed_age_ms`` is the time since
    the sender last knew the state to be current, negative if it never did.

    Revisions are those of an ``era`` of the store. The whole state, and one that was
    asked for it, also carries what the sender keeps from earlier eras, which the store
    may have lost.
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
    era: Annotated[Era, msgspec.Meta(ge=NO_ERA, le=2**63 - 1)] = NO_ERA
    kept_configuration: KeptConfiguration | None = None
    kept_zones: tuple[KeptZone, ...] = ()
    departures: tuple[Departure, ...] = ()

    @property
    def position(self) -> StatePosition:
        return StatePosition(self.era, self.revision)

    @property
    def is_ambiguous(self) -> bool:
        """Whether a configuration in it leaves open whether requests need keys."""
        kept = self.kept_configuration
        configurations = (self.configuration, kept and kept.configuration)
        return any(known is not None and known.is_ambiguous for known in configurations)


class RegistryEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the published state, for the log."""

    name: str
    subject: str
    detail: str
