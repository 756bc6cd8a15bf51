"""Finds the errors of a configuration document, each with the path of its field."""

from __future__ import annotations

import enum
import typing
from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import UnsetType

from skylarkcart.errors import DECODING_ERRORS, InvalidValueError
from skylarkcart.platform._documents import ConfigurationDocument, decode_configuration

ROUTE_KINDS = ("safe", "unsafe")
DESTINATIONS = ("service", "split", "gather")
GATHER_FIELDS = ("topK", "minCoverage")

# Fields of the platform's documents that instances don't use, by section.
_UNUSED_FIELDS = {"services": {"healthPath", "protocol", "tls"}}


class DocumentRule(enum.Enum):
    """What a document violates."""

    SYNTAX = "syntax"
    TYPE = "type"
    UNKNOWN_FIELD = "unknown-field"
    KIND = "route-kind"
    ATTEMPTS = "no-attempts"
    DESTINATION = "route-destination"
    UNUSED_FIELD = "unused-field"

    @property
    def prevents_decoding(self) -> bool:
        return self in (DocumentRule.SYNTAX, DocumentRule.TYPE)


class DocumentProblem(msgspec.Struct, frozen=True, kw_only=True):
    """A fault of a document at a path such as ``routes[2].topK``."""

    rule: DocumentRule
    path: str
    detail: str


def find_document_problems(data: bytes) -> list[DocumentProblem]:
    """Returns the faults of a document that its fields show one by one.

    Decoding stops at the first fault, and replaces some values without one.

    >>> (problem,) = find_document_problems(b'{"version": "7"}')
    >>> problem.path, problem.detail
    ('version', 'Expected `int`, got `str`')
    """
    try:
        document = msgspec.json.decode(data, type=dict)
    except DECODING_ERRORS as error:
        return [_build_problem(DocumentRule.SYNTAX, "", f"no document: {error}")]
    problems = list(_check_struct(document, ConfigurationDocument, ""))
    if not any(problem.rule.prevents_decoding for problem in problems):
        problems += _check_decoding(data)
    return problems + list(_check_routes(document))


def _check_decoding(data: bytes) -> Iterator[DocumentProblem]:
    """Reports an error that the check of single fields does not find."""
    try:
        decode_configuration(data)
    except InvalidValueError as error:
        yield _build_problem(DocumentRule.TYPE, "", error.expected)


def _check_struct(
    document: dict[str, Any], document_type: type, path: str
) -> Iterator[DocumentProblem]:
    fields = msgspec.structs.fields(document_type)
    for field in fields:
        place = _join(path, field.encode_name)
        if field.encode_name in document:
            expected = _get_type_if_present(field.type)
            yield from _check_value(document[field.encode_name], expected, place)
        elif field.required:
            yield _build_problem(DocumentRule.TYPE, place, "is missing")
    known = {field.encode_name for field in fields}
    known |= _UNUSED_FIELDS.get(path.partition("[")[0], set())
    for name in sorted(document.keys() - known):
        yield _build_problem(
            DocumentRule.UNKNOWN_FIELD, _join(path, name), "is no known field"
        )


def _get_type_if_present(field_type: Any) -> Any:
    """Returns the type of a field's value where the field may be left out."""
    types = [item for item in typing.get_args(field_type) if item is not UnsetType]
    is_optional = UnsetType in typing.get_args(field_type)
    return types[0] if is_optional and len(types) == 1 else field_type


def _check_value(value: Any, expected: Any, path: str) -> Iterator[DocumentProblem]:
    if typing.get_origin(expected) is tuple and isinstance(value, list):
        item_type = typing.get_args(expected)[0]
        for index, item in enumerate(value):
            yield from _check_value(item, item_type, f"{path}[{index}]")
        return
    is_struct = isinstance(expected, type) and issubclass(expected, msgspec.Struct)
    if is_struct and isinstance(value, dict):
        yield from _check_struct(value, expected, path)
        return
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        yield _build_problem(DocumentRule.TYPE, path, str(error))


def _check_routes(document: dict[str, Any]) -> Iterator[DocumentProblem]:
    routes = document.get("routes")
    for index, route in enumerate(routes if isinstance(routes, list) else ()):
        if isinstance(route, dict):
            yield from _check_route(route, f"routes[{index}]")


def _check_route(route: dict[str, Any], path: str) -> Iterator[DocumentProblem]:
    """Reports values that decoding replaces or drops."""
    kind, attempts = route.get("kind"), route.get("maxAttempts", 1)
    if isinstance(kind, str) and kind not in ROUTE_KINDS:
        detail = f"is {kind!r} and would count as unsafe; expected safe or unsafe"
        yield _build_problem(DocumentRule.KIND, f"{path}.kind", detail)
    if isinstance(attempts, int) and attempts < 1:
        detail = f"is {attempts} and would count as 1"
        yield _build_problem(DocumentRule.ATTEMPTS, f"{path}.maxAttempts", detail)
    destinations = [name for name in DESTINATIONS if route.get(name)]
    if len(destinations) != 1:
        stated = " and ".join(destinations) or "nothing"
        detail = f"states {stated}; expected one of service, split and gather"
        yield _build_problem(DocumentRule.DESTINATION, path, detail)
    for name in GATHER_FIELDS:
        if route.get(name) and "gather" not in destinations:
            detail = "has no effect without gather"
            yield _build_problem(DocumentRule.UNUSED_FIELD, f"{path}.{name}", detail)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _build_problem(rule: DocumentRule, path: str, detail: str) -> DocumentProblem:
    return DocumentProblem(rule=rule, path=path, detail=detail)
