"""Checks a configuration of the platform before an operator sends it."""

from __future__ import annotations

from skylarkcart.check._check import CheckResult, check_document
from skylarkcart.check._findings import Change, Finding, Rule, Severity

__all__ = ["Change", "CheckResult", "Finding", "Rule", "Severity", "check_document"]
