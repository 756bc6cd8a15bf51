"""Writes the places of configuration fields as operators know them."""

from __future__ import annotations

_SECTIONS = {"accounts": "tenants"}
_FIELDS = {
    "account": "name",
    "accounts": "tenants",
    "cold_calls_per_s": "coldPerS",
    "cold_start_ms": "coldStartS",
    "gathering": "gather",
    "is_idempotent": "kind",
    "is_public": "public",
    "keys": "apiKeys",
    "max_connections": "maxConns",
    "service": "name",
    "shares": "split",
    "top_records": "topK",
}


def format_path(
    section: str,
    *,
    index: int | None = None,
    field: str | None = None,
    position: int | None = None,
) -> str:
    """Returns the path of a field of the decoded configuration in its document.

    >>> format_path("accounts", index=1, field="keys", position=0)
    'tenants[1].apiKeys[0]'
    >>> format_path("limits", field="idle_timeout_ms")
    'limits.idleTimeoutMs'
    """
    path = _SECTIONS.get(section, section)
    if index is not None:
        path += f"[{index}]"
    if field is not None:
        path += f".{_FIELDS.get(field) or _to_camel_case(field)}"
    if position is not None:
        path += f"[{position}]"
    return path


def _to_camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(word.title() for word in others)
