"""Decodes items of the platform's store into changes of the published state."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from skylarkcart.errors import InvalidValueError
from skylarkcart.platform._documents import (
    decode_closed_zone,
    decode_configuration,
    decode_upstream,
)
from skylarkcart.platform._names import (
    CLOSED_ZONE_PREFIX,
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
)
from skylarkcart.published import StoredItem
from skylarkcart.registry import Change, ClosedZone


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
        try:
            change = _decode_item(item)
        except Exception as error:
            on_error(_describe_error(item, error))
            if item.key == CONFIGURATION_KEY:
                continue
            change = Change(key=item.key, revision=item.revision, value=None)
        if change is not None:
            changes.append(change)
    return changes


def _describe_error(item: StoredItem, error: Exception) -> InvalidValueError:
    if isinstance(error, InvalidValueError):
        return error
    return InvalidValueError(
        where=item.key,
        value=(item.value or b"")[:80],
        expected=f"a valid document: {error!r}",
    )


def _decode_item(item: StoredItem) -> Change | None:
    if item.key == CONFIGURATION_KEY:
        if item.value is None:
            return None
        value = decode_configuration(item.value)
    elif item.key.startswith(CLOSED_ZONE_PREFIX):
        value = None
        if item.value is not None:
            value = ClosedZone(zone=decode_closed_zone(item.key))
    elif item.key.startswith(UPSTREAM_PREFIX):
        value = None
        if item.value is not None:
            value = decode_upstream(item.key, item.value)
    else:
        return None
    return Change(key=item.key, revision=item.revision, value=value)
