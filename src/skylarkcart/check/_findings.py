"""Findings of the check, with the rules and severities that they belong to."""

from __future__ import annotations

import enum

import msgspec


class Severity(enum.Enum):
    """An error makes requests fail or an entry useless; a warning may be meant."""

    ERROR = "error"
    WARNING = "warning"


class Rule(enum.Enum):
    """A rule of the check, with the severity of its findings."""

    SYNTAX = ("syntax", Severity.ERROR)
    TYPE = ("type", Severity.ERROR)
    UNKNOWN_FIELD = ("unknown-field", Severity.WARNING)
    UNUSED_FIELD = ("unused-field", Severity.WARNING)
    STALE_VERSION = ("stale-version", Severity.ERROR)
    DUPLICATE_NAME = ("duplicate-name", Severity.ERROR)
    INVALID_NUMBER = ("invalid-number", Severity.ERROR)

    HOST = ("host", Severity.ERROR)
    PREFIX = ("prefix", Severity.ERROR)
    UNREACHABLE_ROUTE = ("unreachable-route", Severity.ERROR)
    ROUTE_KIND = ("route-kind", Severity.ERROR)
    ROUTE_DESTINATION = ("route-destination", Severity.ERROR)
    UNKNOWN_SERVICE = ("unknown-service", Severity.ERROR)
    REPEATED_SERVICE = ("repeated-service", Severity.ERROR)
    UNSAFE_GATHER = ("unsafe-gather", Severity.ERROR)
    NO_RECORDS = ("no-records", Severity.ERROR)
    UNREACHABLE_COVERAGE = ("unreachable-coverage", Severity.ERROR)
    COMPLETE_COVERAGE = ("complete-coverage", Severity.WARNING)
    NO_WEIGHT = ("no-weight", Severity.ERROR)
    UNUSED_PART = ("unused-part", Severity.WARNING)
    TARGET_ABOVE_TIMEOUT = ("target-above-timeout", Severity.WARNING)
    NO_ATTEMPTS = ("no-attempts", Severity.ERROR)
    UNUSED_ATTEMPTS = ("unused-attempts", Severity.WARNING)
    NO_UPSTREAMS = ("no-upstreams", Severity.WARNING)
    PRIORITY_ORDER = ("priority-order", Severity.WARNING)

    UNUSED_SERVICE = ("unused-service", Severity.WARNING)
    SHARED_KEY = ("shared-key", Severity.ERROR)
    REPEATED_KEY = ("repeated-key", Severity.WARNING)
    EMPTY_KEY = ("empty-key", Severity.ERROR)
    NO_KEYS = ("no-keys", Severity.WARNING)
    BURST_BELOW_ONE = ("burst-below-one", Severity.WARNING)
    BURST_ABOVE_RATE = ("burst-above-rate", Severity.WARNING)
    UNUSED_BURST = ("unused-burst", Severity.WARNING)
    SHORT_IDLE_TIMEOUT = ("short-idle-timeout", Severity.WARNING)

    def __init__(self, label: str, severity: Severity) -> None:
        self.label = label
        self.severity = severity


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """A violated rule, and the path of the field that shows it.

    >>> print(Finding(rule=Rule.NO_KEYS, path="tenants[0]", detail="has no keys"))
    warning: tenants[0]: has no keys [no-keys]
    """

    rule: Rule
    path: str
    detail: str

    @property
    def severity(self) -> Severity:
        return self.rule.severity

    def __str__(self) -> str:
        place = f"{self.path}: " if self.path else ""
        return f"{self.severity.value}: {place}{self.detail} [{self.rule.label}]"


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A difference from the version in force, and what it means for requests."""

    subject: str
    change: str
    effect: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.change}; {self.effect}"
