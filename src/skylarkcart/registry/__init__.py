"""The latest state published by the platform that this instance knows."""

from __future__ import annotations

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
from skylarkcart.registry._registry import Registry
from skylarkcart.registry._retention import RetentionBounds, build_retention_bounds
from skylarkcart.types import NO_ERA, Era, StatePosition

__all__ = [
    "CONFIGURATION_KEY",
    "Change",
    "ClosedZone",
    "Era",
    "ItemKey",
    "ItemKind",
    "LapsedEntry",
    "NO_ERA",
    "Published",
    "PublishedEntry",
    "Registry",
    "RegistryEvent",
    "Removal",
    "RetentionBounds",
    "StatePosition",
    "build_retention_bounds",
    "build_upstream_key",
    "build_zone_key",
]
