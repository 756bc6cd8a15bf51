"""Validates a configuration and reports all invalid values at once.

The result depends only on the value, so all instances accept or reject it alike.
"""

from __future__ import annotations

import msgspec

from skylarkcart.config._rules import (
    COLUMN_RULES,
    ID_COLUMNS,
    ROW_RULES,
    TOP_LEVEL_RULES,
)
from skylarkcart.declarations import Configuration, Declaration
from skylarkcart.errors import InvalidValueError

# The salt is redacted too: its column is next to the hash, and a secret is easily
# entered there by mistake.
REDACTED_COLUMNS = ("salt", "secret_sha256")


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One invalid value.

    ``index`` is the row's position in ``table``, counted from 0. For a top-level field
    it is None and ``table`` is empty.
    """

    table: str = ""
    index: int | None = None
    row_id: str = ""
    column: str
    value: object
    expected: str

    @property
    def where(self) -> str:
        if self.index is None:
            return self.column
        return f"{self.table}[{self.index}] {self.row_id!r} {self.column}"

    def to_error(self, *, where: str | None = None) -> InvalidValueError:
        """Returns the finding as an error; ``where`` overrides its location."""
        return InvalidValueError(
            where=where or self.where,
            value=self.value,
            expected=self.expected,
        )


def check_configuration(configuration: Configuration) -> None:
    """Checks the constraints that the types cannot express.

    Raises:
        ExceptionGroup: of InvalidValueError, one for each invalid value.
    """
    _raise_if_any(find_errors(configuration))


def check_change(result: Configuration, changed_rows: Configuration) -> None:
    """Checks the result of applying a delta to a valid configuration.

    Args:
        result: the configuration after the change.
        changed_rows: ``result`` with only the rows that were set. The other rows are
            not checked again, which saves time with tables of thousands of rows.

    Raises:
        ExceptionGroup: of InvalidValueError, one for each invalid value.
    """
    _raise_if_any(_find_value_errors(changed_rows) + _find_unknown_accounts(result))


def find_errors(configuration: Configuration) -> list[Finding]:
    """Returns all invalid values in the order of the tables."""
    return _find_value_errors(configuration) + _find_unknown_accounts(configuration)


def _raise_if_any(findings: list[Finding]) -> None:
    if findings:
        raise ExceptionGroup(
            "invalid configuration", [finding.to_error() for finding in findings]
        )


def _find_value_errors(configuration: Configuration) -> list[Finding]:
    findings = _find_top_level_errors(configuration)
    for table in COLUMN_RULES:
        findings += _find_table_errors(table, getattr(configuration, table))
    return findings


def _find_top_level_errors(configuration: Configuration) -> list[Finding]:
    return [
        Finding(column=column, value=value, expected=rule.expected)
        for column, rule in TOP_LEVEL_RULES.items()
        if not rule.accepts(value := getattr(configuration, column))
    ]


def _find_table_errors(table: str, rows: tuple[Declaration, ...]) -> list[Finding]:
    findings: list[Finding] = []
    seen: set[str] = set()
    for index, row in enumerate(rows):
        row_id = getattr(row, ID_COLUMNS[table])
        findings += _find_row_errors(table, index, row_id, row)
        if row_id in seen:
            findings.append(
                _make_finding(table, index, row, ID_COLUMNS[table], "a unique id")
            )
        seen.add(row_id)
    return findings


def _find_row_errors(
    table: str, index: int, row_id: str, row: Declaration
) -> list[Finding]:
    findings = [
        _make_finding(table, index, row, column, rule.expected)
        for column, rule in COLUMN_RULES[table].items()
        if not rule.accepts(getattr(row, column))
    ]
    if findings:
        # A rule over several columns would report an invalid column a second time.
        return findings
    return [
        _make_finding(table, index, row, rule.column, rule.expected)
        for rule in ROW_RULES[table]
        if not rule.accepts(row)
    ]


def _find_unknown_accounts(configuration: Configuration) -> list[Finding]:
    known_accounts = {row.account for row in configuration.accounts}
    return [
        _make_finding("keys", index, row, "account", "an account of the accounts table")
        for index, row in enumerate(configuration.keys)
        if row.account not in known_accounts
    ]


def _make_finding(
    table: str, index: int, row: Declaration, column: str, expected: str
) -> Finding:
    return Finding(
        table=table,
        index=index,
        row_id=_redact(ID_COLUMNS[table], getattr(row, ID_COLUMNS[table])),
        column=column,
        value=_redact(column, getattr(row, column)),
        expected=expected,
    )


def _redact(column: str, value: object) -> object:
    """Returns the value as an error message may show it, without secrets.

    An operator may have entered a secret instead of its hash or the key id.
    """
    if column in REDACTED_COLUMNS:
        return f"<{len(str(value))} characters>"
    if column == "key_id" and "." in str(value):
        return str(value).partition(".")[0] + ".<redacted>"
    return value
