"""Describes the differences between two configurations and their effects."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from skylarkcart.config._delta import index_rows
from skylarkcart.declarations import AccountRow, Configuration, ServiceRow, ZoneRow
from skylarkcart.types import ZoneState

MILLISECONDS_SUFFIX = " ms"
SECONDS_SUFFIX = " s"
PER_SECOND_SUFFIX = "/s"


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One difference: the changed row or field, the change and its effect."""

    subject: str
    change: str
    effect: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.change}; {self.effect}"


class _Column(msgspec.Struct, frozen=True, kw_only=True):
    """How to describe a changed column; ``effect`` gets old row, new row, context."""

    label: str
    unit: str = ""
    effect: Callable[[object, object, _Context], str]


class _Context(msgspec.Struct, frozen=True, kw_only=True):
    old: Configuration
    new: Configuration

    @property
    def revision(self) -> int:
        return self.new.revision


def describe_difference(old: Configuration, new: Configuration) -> list[Difference]:
    """Returns the differences between ``old`` and ``new`` in the order of the tables.

    Both configurations must be valid.
    """
    context = _Context(old=old, new=new)
    differences = [
        *_describe_max_instances(context),
        *_describe_rows(context, "accounts", _ACCOUNT_COLUMNS),
        *_describe_rows(context, "services", _SERVICE_COLUMNS),
        *_describe_rows(context, "zones", _ZONE_COLUMNS),
        *_describe_keys(context),
    ]
    if not differences or new.revision > old.revision:
        return differences
    return [_warn_of_stale_revision(context), *differences]


def _warn_of_stale_revision(context: _Context) -> Difference:
    return Difference(
        subject="revision",
        change=f"{context.old.revision} -> {context.new.revision}",
        effect="every instance ignores these changes until the revision is greater",
    )


def _describe_max_instances(context: _Context) -> Iterator[Difference]:
    old, new = context.old.max_instances, context.new.max_instances
    if old == new:
        return
    connections = ", ".join(
        f"{row.service} {row.connections // old} -> {row.connections // new}"
        for row in context.new.services
    )
    yield Difference(
        subject="max_instances",
        change=f"{old} -> {new}",
        effect=f"connections of one instance to each upstream: {connections or 'none'}",
    )


def _describe_rows(
    context: _Context, table: str, columns: dict[str, _Column]
) -> Iterator[Difference]:
    before, after = index_rows(context.old, table), index_rows(context.new, table)
    for row_id in sorted(before.keys() | after.keys()):
        old, new = before.get(row_id), after.get(row_id)
        if old is None:
            effect = _ADDITION_EFFECTS[table](new, context)
            yield Difference(subject=row_id, change=f"added to {table}", effect=effect)
        elif new is None:
            effect = _REMOVAL_EFFECTS[table](old, context)
            change = f"removed from {table}"
            yield Difference(subject=row_id, change=change, effect=effect)
        else:
            yield from _describe_row(row_id, old, new, columns, context)


def _describe_row(
    row_id: str,
    old: msgspec.Struct,
    new: msgspec.Struct,
    columns: dict[str, _Column],
    context: _Context,
) -> Iterator[Difference]:
    for name, column in columns.items():
        before, after = getattr(old, name), getattr(new, name)
        if before == after:
            continue
        yield Difference(
            subject=row_id,
            change=f"{column.label} {_format_value(before, column)} -> "
            f"{_format_value(after, column)}",
            effect=column.effect(old, new, context),
        )


def _format_value(value: object, column: _Column) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (int, float)):
        return f"{value:.12g}{column.unit}"
    return str(value.value)


def _describe_keys(context: _Context) -> Iterator[Difference]:
    before, after = index_rows(context.old, "keys"), index_rows(context.new, "keys")
    for key_id in sorted(before.keys() | after.keys()):
        old, new = before.get(key_id), after.get(key_id)
        if old == new:
            continue
        subject = f"key {key_id}"
        if old is None:
            change = f"added for {new.account}"
            effect = f"accepted by each instance from revision {context.revision} on"
        elif new is None:
            change = f"revoked from {old.account}"
            effect = _explain_revocation(context)
        else:
            change = f"replaced, {old.account} -> {new.account}"
            effect = f"the earlier key is {_explain_revocation(context)}"
        yield Difference(subject=subject, change=change, effect=effect)


def _explain_revocation(context: _Context) -> str:
    return (
        f"refused by each instance from revision {context.revision} on, also on open "
        "connections and for queued requests"
    )


def _explain_allocation_growth(old: object, new: object, context: _Context) -> str:
    return (
        "allocations that grow take effect after the zones whose allocations shrink "
        f"confirm revision {context.revision}"
    )


def _explain_allocation_reduction(old: object, new: object, context: _Context) -> str:
    return (
        "each zone's allocation shrinks as its instances adopt revision "
        f"{context.revision}; tokens above the smaller allocation are dropped"
    )


def _explain_rate(old: AccountRow, new: AccountRow, context: _Context) -> str:
    grows = new.rate_per_s > old.rate_per_s
    return (_explain_allocation_growth if grows else _explain_allocation_reduction)(
        old, new, context
    )


def _explain_burst(old: AccountRow, new: AccountRow, context: _Context) -> str:
    grows = new.burst > old.burst
    return (_explain_allocation_growth if grows else _explain_allocation_reduction)(
        old, new, context
    )


def _explain_state(old: ZoneRow, new: ZoneRow, context: _Context) -> str:
    if new.state is ZoneState.CLOSED:
        return (
            "it gets no new requests once instances adopt the revision; its entry "
            "instances report not ready"
        )
    if new.state is ZoneState.REMOVED:
        return (
            "the other zones take over its allocations without waiting for its "
            "confirmation; nothing may still be running there"
        )
    return (
        "its upstreams start cold and ramp up from one call; "
        + _explain_allocation_growth(old, new, context)
    )


def _explain_connections(old: ServiceRow, new: ServiceRow, context: _Context) -> str:
    per_instance = new.connections // context.new.max_instances
    if per_instance == 0:
        return "fewer than max_instances, so only selected instances send calls"
    return f"one instance keeps at most {per_instance} connections to each upstream"


def _per_instance_effect(effect: str) -> Callable[[object, object, _Context], str]:
    return lambda old, new, context: (
        f"{effect} at each instance from revision {context.revision} on"
    )


_ACCOUNT_COLUMNS = {
    "rate_per_s": _Column(label="rate", unit=PER_SECOND_SUFFIX, effect=_explain_rate),
    "burst": _Column(label="burst", effect=_explain_burst),
    "share": _Column(
        label="share", effect=_per_instance_effect("sets the weight in the fair queue")
    ),
    "on_platform_loss": _Column(
        label="on_platform_loss",
        effect=_per_instance_effect("applies while a zone cannot reach the platform"),
    ),
    "refuse_after_s": _Column(
        label="refuse_after",
        unit=SECONDS_SUFFIX,
        effect=_per_instance_effect("applies while a zone cannot reach the platform"),
    ),
}

_SERVICE_COLUMNS = {
    "open_to_all": _Column(
        label="open_to_all",
        effect=_per_instance_effect("decides whether a key is required"),
    ),
    "slots": _Column(
        label="slots",
        effect=_per_instance_effect("limits concurrent calls to a warm upstream"),
    ),
    "cold_slots": _Column(
        label="cold_slots",
        effect=_per_instance_effect("limits concurrent calls to a cold upstream"),
    ),
    "connections": _Column(label="connections", effect=_explain_connections),
    "connect_cost_ms": _Column(
        label="connect_cost",
        unit=MILLISECONDS_SUFFIX,
        effect=_per_instance_effect("paces new connections"),
    ),
    "answer_by_ms": _Column(
        label="answer_by",
        unit=MILLISECONDS_SUFFIX,
        effect=_per_instance_effect("applies to new queries"),
    ),
    "deadline_ms": _Column(
        label="deadline",
        unit=MILLISECONDS_SUFFIX,
        effect=_per_instance_effect("applies to new queries"),
    ),
    "prefer": _Column(
        label="prefer", effect=_per_instance_effect("applies to new queries")
    ),
    "extra_calls_ratio": _Column(
        label="extra_calls_ratio", effect=_per_instance_effect("limits hedged calls")
    ),
}

_ZONE_COLUMNS = {
    "state": _Column(label="state", effect=_explain_state),
    "weight": _Column(label="weight", effect=_explain_allocation_growth),
}

_ADDITION_EFFECTS = {
    "accounts": lambda row, context: (
        f"served from revision {context.revision} on, with an empty token bucket at "
        "first"
    ),
    "services": lambda row, context: "its upstreams are cold at first",
    "zones": lambda row, context: _explain_allocation_growth(None, row, context),
}

_REMOVAL_EFFECTS = {
    "accounts": lambda row, context: f"it is {_explain_revocation(context)}",
    "services": lambda row, context: "requests for it are refused",
    "zones": lambda row, context: (
        "the other zones' allocations grow only after it confirms revision "
        f"{context.revision}; set its state to removed if nothing runs there"
    ),
}
