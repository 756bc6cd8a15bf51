"""Row-level deltas between two configurations."""

from __future__ import annotations

import collections

import msgspec

from skylarkcart.config._messages import ChangeDelta
from skylarkcart.config._rules import ID_COLUMNS
from skylarkcart.declarations import Configuration, Declaration

# At 2,300 changes a day, 64 deltas cover about 40 minutes without contact.
MAX_KEPT_DELTAS = 64


def compute_delta(
    old: Configuration, new: Configuration, *, digest: str
) -> ChangeDelta:
    """Returns the delta that turns ``old`` into ``new``: rows to set and to remove.

    Args:
        digest: the digest of ``new``.
    """
    changes: dict[str, tuple] = {}
    for table in ID_COLUMNS:
        before, after = index_rows(old, table), index_rows(new, table)
        changes[table] = tuple(
            row for row_id, row in after.items() if before.get(row_id) != row
        )
        changes[f"removed_{table}"] = tuple(
            row_id for row_id in before if row_id not in after
        )
    return ChangeDelta(
        from_revision=old.revision,
        revision=new.revision,
        digest=digest,
        max_instances=new.max_instances,
        **changes,
    )


def apply_delta(base: Configuration, delta: ChangeDelta) -> Configuration:
    """Returns ``base`` with the delta applied; does not validate the result."""
    tables = {}
    for table in ID_COLUMNS:
        rows = index_rows(base, table)
        for row_id in getattr(delta, f"removed_{table}"):
            rows.pop(row_id, None)
        for row in getattr(delta, table):
            rows[getattr(row, ID_COLUMNS[table])] = row
        tables[table] = tuple(rows.values())
    return msgspec.structs.replace(
        base, revision=delta.revision, max_instances=delta.max_instances, **tables
    )


def select_changed_rows(result: Configuration, delta: ChangeDelta) -> Configuration:
    """Returns ``result`` with only the rows that the delta sets."""
    tables = {table: getattr(delta, table) for table in ID_COLUMNS}
    return msgspec.structs.replace(result, **tables)


def index_rows(configuration: Configuration, table: str) -> dict[str, Declaration]:
    """Returns the rows of a table, keyed by id."""
    column = ID_COLUMNS[table]
    return {getattr(row, column): row for row in getattr(configuration, table)}


class DeltaHistory:
    """The latest deltas, merged on demand from any revision in the history.

    Keeps only the changed rows, not the older configurations.
    """

    def __init__(self) -> None:
        self._deltas: collections.deque[ChangeDelta] = collections.deque(
            maxlen=MAX_KEPT_DELTAS
        )
        self._base_digests: collections.deque[str] = collections.deque(
            maxlen=MAX_KEPT_DELTAS
        )

    def add(self, delta: ChangeDelta, *, base_digest: str) -> None:
        """Appends a delta that starts at the revision where the last one ended."""
        self._deltas.append(delta)
        self._base_digests.append(base_digest)

    def merge_since(self, revision: int, digest: str) -> ChangeDelta | None:
        """Returns one delta from ``revision`` to the newest, or None if not kept."""
        for index, delta in enumerate(self._deltas):
            if delta.from_revision == revision and self._base_digests[index] == digest:
                return _merge(list(self._deltas)[index:])
        return None


def _merge(deltas: list[ChangeDelta]) -> ChangeDelta:
    tables: dict[str, tuple] = {}
    for table, column in ID_COLUMNS.items():
        latest: dict[str, Declaration | None] = {}
        for delta in deltas:
            latest.update(dict.fromkeys(getattr(delta, f"removed_{table}")))
            latest.update({getattr(row, column): row for row in getattr(delta, table)})
        tables[table] = tuple(row for row in latest.values() if row is not None)
        tables[f"removed_{table}"] = tuple(
            row_id for row_id, row in latest.items() if row is None
        )
    return msgspec.structs.replace(
        deltas[-1], from_revision=deltas[0].from_revision, **tables
    )
