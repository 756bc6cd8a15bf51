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

__all__ = [
    "CONFIGURATION_KEY",
    "Change",
    "ClosedZone",
    "ItemKey",
    "ItemKind",
    "LapsedEntry",
    "Published",
    "PublishedEntry",
    "Registry",
    "RegistryEvent",
    "Removal",
    "build_upstream_key",
    "build_zone_key",
]
