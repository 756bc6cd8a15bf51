"""Checks a configuration document, and compares it with the version in force."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from skylarkcart.check._changes import describe_changes
from skylarkcart.check._findings import Change, Finding, Rule, Severity
from skylarkcart.check._limit_rules import check_limits
from skylarkcart.check._route_rules import check_routes
from skylarkcart.platform._document_check import find_document_problems
from skylarkcart.platform._documents import decode_configuration
from skylarkcart.published import Configuration
from skylarkcart.types import ServiceId

_RULES = {rule.label: rule for rule in Rule}
_SEVERITY_ORDER = (Severity.ERROR, Severity.WARNING)


class CheckResult(msgspec.Struct, frozen=True, kw_only=True):
    """What the check found; ``version`` is None if the document can't be decoded."""

    version: int | None
    findings: tuple[Finding, ...]
    changes: tuple[Change, ...] = ()


def check_document(
    data: bytes,
    *,
    in_force: Configuration | None = None,
    upstreams: Mapping[ServiceId, int] | None = None,
) -> CheckResult:
    """Checks a document as the platform's store would hold it.

    >>> result = check_document(b'{"version": 3}')
    >>> result.version, result.findings
    (3, ())
    """
    problems = find_document_problems(data)
    findings = [
        Finding(
            rule=_RULES[problem.rule.value], path=problem.path, detail=problem.detail
        )
        for problem in problems
    ]
    if any(problem.rule.prevents_decoding for problem in problems):
        return CheckResult(version=None, findings=_sort(findings))
    configuration = decode_configuration(data)
    findings += check_routes(configuration, upstreams=upstreams)
    findings += check_limits(configuration)
    changes: list[Change] = []
    if in_force is not None:
        changes = describe_changes(in_force, configuration)
        findings += _check_version(in_force, configuration)
    return CheckResult(
        version=configuration.version,
        findings=_sort(findings),
        changes=tuple(changes),
    )


def _check_version(old: Configuration, new: Configuration) -> list[Finding]:
    if new.version > old.version:
        return []
    detail = f"is {new.version}, not above the version {old.version} in force"
    return [Finding(rule=Rule.STALE_VERSION, path="version", detail=detail)]


def _sort(findings: list[Finding]) -> tuple[Finding, ...]:
    """Orders errors before warnings and keeps the order of the document otherwise."""
    return tuple(
        sorted(findings, key=lambda finding: _SEVERITY_ORDER.index(finding.severity))
    )
