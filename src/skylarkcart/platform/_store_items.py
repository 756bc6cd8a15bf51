"""Decodes items of the platform's store into changes of the published state."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from skylarkcart.errors import InvalidValueError
from skylarkcart.platform._documents import decode_configuration, decode_upstream
from skylarkcart.platform._names import (
    CLOSED_ZONE_PREFIX,
    CONFIGURATION_KEY as STORED_CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
)
from skylarkcart.published import Configuration, StoredItem, UpstreamEntry
from skylarkcart.registry import (
    CONFIGURATION_KEY,
    Change,
    ClosedZone,
    ItemKey,
    ItemKind,
    build_upstream_key,
    build_zone_key,
)
from skylarkcart.types import UpstreamId, ZoneId


def decode_items(
    items: Iterable[StoredItem], *, on_error: Callable[[InvalidValueError], None]
) -> list[Change]:
    """Decodes the items that are relevant to the gateway.

    A malformed upstream entry is treated as a deletion, because the upstream can't be
    used. A malformed configuration is skipped, so that the current one stays in force.
    Each malformed item is passed to ``on_error``. No item prevents the others from
    being decoded, whatever it contains.
    """
    changes = []
    for item in items:
        key = _decode_key(item.key)
        if key is None:
            continue
        try:
            value = _decode_value(key, item)
        except Exception as error:
            on_error(_describe_error(item, error))
            value = None
        if value is not None or key.kind is not ItemKind.CONFIGURATION:
            changes.append(Change(key=key, revision=item.revision, value=value))
    return changes


def _describe_error(item: StoredItem, error: Exception) -> InvalidValueError:
    if isinstance(error, InvalidValueError):
        return error
    return InvalidValueError(
        where=item.key,
        value=(item.value or b"")[:80],
        expected=f"a valid document: {error!r}",
    )


def _decode_key(key: str) -> ItemKey | None:
    """Decodes a key of the store, or returns None if the gateway doesn't use it.

    >>> _decode_key("op/evacuate/zone-a")
    ItemKey(kind=<ItemKind.CLOSED_ZONE: 'closed_zone'>, name='zone-a')
    """
    if key == STORED_CONFIGURATION_KEY:
        return CONFIGURATION_KEY
    if key.startswith(CLOSED_ZONE_PREFIX):
        return build_zone_key(ZoneId(key.removeprefix(CLOSED_ZONE_PREFIX)))
    if key.startswith(UPSTREAM_PREFIX):
        return build_upstream_key(UpstreamId(key.removeprefix(UPSTREAM_PREFIX)))
    return None


def _decode_value(
    key: ItemKey, item: StoredItem
) -> Configuration | UpstreamEntry | ClosedZone | None:
    if item.value is None:
        return None
    match key.kind:
        case ItemKind.CONFIGURATION:
            return decode_configuration(item.value)
        case ItemKind.CLOSED_ZONE:
            # The value of the item has no meaning.
            return ClosedZone(zone=ZoneId(key.name))
        case ItemKind.UPSTREAM:
            return decode_upstream(item.key, item.value)
