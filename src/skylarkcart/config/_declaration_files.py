"""Reads the operators' declarations from a directory of CSV files.

The directory holds ``accounts.csv``, ``services.csv``, ``zones.csv`` and ``keys.csv``,
whose columns are the fields of the row types, and ``fleet.toml`` with ``revision`` and
``max_instances``. Lines that start with ``#`` are comments. An empty cell takes the
column's default. All errors are reported at once.
"""

from __future__ import annotations

import csv
import enum
import tomllib
import typing
from collections.abc import Iterator
from pathlib import Path

import msgspec

from skylarkcart.config._checks import Finding, find_errors
from skylarkcart.config._rules import COLUMN_RULES, ROW_RULES, TOP_LEVEL_RULES
from skylarkcart.declarations import (
    AccountRow,
    Configuration,
    KeyRow,
    ServiceRow,
    ZoneRow,
)
from skylarkcart.errors import InvalidValueError
from skylarkcart.types import ZoneState

FLEET_FILE = "fleet.toml"
COMMENT_PREFIX = "#"

ROW_TYPES = {
    "accounts": AccountRow,
    "services": ServiceRow,
    "zones": ZoneRow,
    "keys": KeyRow,
}
# Without rows in each of these tables no request can be served, so an empty file is
# taken for a mistake.
REQUIRED_TABLES = ("accounts", "services", "zones")


def read_declarations(directory: Path) -> Configuration:
    """Reads and checks the files in ``directory``.

    Raises:
        ExceptionGroup: of InvalidValueError, one for each error; ``where`` names the
            file, the row (as a line number) and the column.
    """
    table_readers = {table: _TableFileReader(directory, table) for table in ROW_TYPES}
    fleet_reader = _FleetFileReader(directory)
    configuration = Configuration(
        **fleet_reader.values,
        **{table: tuple(reader.rows) for table, reader in table_readers.items()},
    )
    errors = list(fleet_reader.errors)
    for reader in table_readers.values():
        errors += reader.errors
    for finding in find_errors(configuration):
        errors += _to_errors(finding, table_readers, fleet_reader)
    errors += _check_open_zone(table_readers["zones"])
    if errors:
        raise ExceptionGroup(f"invalid declarations in {directory}", errors)
    return configuration


def _to_errors(
    finding: Finding,
    table_readers: dict[str, _TableFileReader],
    fleet_reader: _FleetFileReader,
) -> list[InvalidValueError]:
    if finding.index is not None:
        return table_readers[finding.table].to_errors(finding)
    if finding.column in fleet_reader.unreadable:
        return []
    return [finding.to_error(where=f"{FLEET_FILE}, {finding.column}")]


def _check_open_zone(zones: _TableFileReader) -> list[InvalidValueError]:
    if zones.errors or not zones.rows:
        return []
    if any(row.state is ZoneState.OPEN for row in zones.rows):
        return []
    states = ", ".join(row.state.value for row in zones.rows)
    where = f"{zones.file}, column state"
    expected = "at least one open zone"
    return [InvalidValueError(where=where, value=states, expected=expected)]


class _FleetFileReader:
    """Reads ``fleet.toml`` and uses a placeholder for a field that it cannot read."""

    def __init__(self, directory: Path) -> None:
        self.errors: list[InvalidValueError] = []
        self.unreadable: set[str] = set()
        fields = self._load(directory / FLEET_FILE)
        self.values = {field: self._convert(fields, field) for field in TOP_LEVEL_RULES}
        for field in fields.keys() - TOP_LEVEL_RULES.keys():
            self._add_error(
                f", {field}", fields[field], f"one of {', '.join(TOP_LEVEL_RULES)}"
            )

    def _load(self, path: Path) -> dict[str, object]:
        try:
            return tomllib.loads(path.read_text(encoding="utf-8"))
        except OSError as error:
            self._add_error("", error.strerror, "a readable file")
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            self._add_error("", str(error), "TOML in UTF-8")
        self.unreadable |= TOP_LEVEL_RULES.keys()
        return {}

    def _convert(self, fields: dict[str, object], field: str) -> int:
        if field in self.unreadable:
            return 1
        try:
            return msgspec.convert(fields[field], int)
        except KeyError:
            self._add_error(f", {field}", None, TOP_LEVEL_RULES[field].expected)
        except msgspec.ValidationError:
            self._add_error(
                f", {field}", fields[field], TOP_LEVEL_RULES[field].expected
            )
        self.unreadable.add(field)
        return 1

    def _add_error(self, suffix: str, value: object, expected: str) -> None:
        where = f"{FLEET_FILE}{suffix}"
        self.errors.append(
            InvalidValueError(where=where, value=value, expected=expected)
        )


class _TableFileReader:
    """Reads one CSV file.

    A cell that cannot be read gets a placeholder, so that checks across rows and tables
    still see every row. Findings about placeholders are dropped.
    """

    def __init__(self, directory: Path, table: str) -> None:
        self.file = f"{table}.csv"
        self.rows: list[msgspec.Struct] = []
        self.errors: list[InvalidValueError] = []
        self._table = table
        self._type = ROW_TYPES[table]
        self._types = typing.get_type_hints(self._type)
        self._fields = {f.name: f for f in msgspec.structs.fields(self._type)}
        self._lines: list[int] = []
        self._unreadable: set[tuple[int, str]] = set()
        self._read(directory / self.file)

    def to_errors(self, finding: Finding) -> list[InvalidValueError]:
        """Returns the finding as an error with its row and column in the file.

        The list is empty if the finding is about a placeholder.
        """
        unreadable = {
            column for index, column in self._unreadable if index == finding.index
        }
        row_rules = {rule.expected for rule in ROW_RULES[self._table]}
        if finding.column in unreadable:
            return []
        if unreadable and finding.expected in row_rules:
            return []
        line = self._lines[finding.index]
        return [finding.to_error(where=self._describe_cell(line, finding.column))]

    def _read(self, path: Path) -> None:
        try:
            text = path.read_text(encoding="utf-8-sig")
        except OSError as error:
            self._add_error(self.file, error.strerror, "a readable file")
            return
        except UnicodeDecodeError as error:
            self._add_error(self.file, str(error), "text in UTF-8")
            return
        try:
            self._read_lines(_split_cells(text))
        except csv.Error as error:
            self._add_error(self.file, str(error), "comma-separated values")
        if not self.rows and not self.errors and self._table in REQUIRED_TABLES:
            self._add_error(self.file, "no rows", "at least one row")

    def _read_lines(self, lines: Iterator[tuple[int, list[str]]]) -> None:
        line, header = next(lines, (1, []))
        if not self._check_header(line, header):
            return
        for line, cells in lines:
            if len(cells) != len(header):
                self._add_error(
                    f"{self.file}, row {line}",
                    f"{len(cells)} cells",
                    f"{len(header)} cells, one for each column",
                )
                continue
            self._add_row(line, dict(zip(header, cells, strict=True)))

    def _check_header(self, line: int, header: list[str]) -> bool:
        error_count = len(self.errors)
        expected = ", ".join(self._fields)
        for position, column in enumerate(header):
            if column not in self._fields:
                self._add_error(
                    self._describe_cell(line, column), column, f"one of {expected}"
                )
            elif column in header[:position]:
                self._add_error(
                    self._describe_cell(line, column), column, "each column once"
                )
        for column, field in self._fields.items():
            if field.required and column not in header:
                self._add_error(
                    self._describe_cell(line, column), "no column", "this column"
                )
        return len(self.errors) == error_count

    def _add_row(self, line: int, cells: dict[str, str]) -> None:
        self._lines.append(line)
        values = {
            column: self._convert(line, column, text)
            for column, text in cells.items()
            if text or self._fields[column].required
        }
        self.rows.append(self._type(**values))

    def _convert(self, line: int, column: str, text: str) -> object:
        column_type = _get_base_type(self._types[column])
        if text:
            try:
                return msgspec.convert(text, column_type, strict=False)
            except msgspec.ValidationError:
                pass
        self._unreadable.add((len(self._lines) - 1, column))
        self._add_error(
            self._describe_cell(line, column),
            text,
            self._describe_expected(column, column_type),
        )
        return (
            f"unreadable-{line}"
            if column_type is str
            else _make_placeholder(column_type)
        )

    def _describe_expected(self, column: str, column_type: type) -> str:
        if column_type is bool:
            return "true or false"
        if issubclass(column_type, enum.Enum):
            return "one of " + ", ".join(member.value for member in column_type)
        return COLUMN_RULES[self._table][column].expected

    def _describe_cell(self, line: int, column: str) -> str:
        return f"{self.file}, row {line}, column {column}"

    def _add_error(self, where: str, value: object, expected: str) -> None:
        self.errors.append(
            InvalidValueError(where=where, value=value, expected=expected)
        )


def _split_cells(text: str) -> Iterator[tuple[int, list[str]]]:
    """Yields the line number and cells of each line except blanks and comments."""
    # Comments become blank lines, which keeps the line numbers of the reader right.
    lines = (
        "" if line.startswith(COMMENT_PREFIX) else line for line in text.splitlines()
    )
    reader = csv.reader(lines, strict=True, skipinitialspace=True)
    for cells in reader:
        if cells:
            yield reader.line_num, [cell.strip() for cell in cells]


def _get_base_type(column_type: object) -> type:
    """Returns the type that a ``NewType`` wraps, or the type itself."""
    return getattr(column_type, "__supertype__", column_type)


def _make_placeholder(column_type: type) -> object:
    if issubclass(column_type, enum.Enum):
        return next(iter(column_type))
    return column_type(1)
