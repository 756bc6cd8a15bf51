"""Fails each test that violates an invariant."""

from __future__ import annotations

import pytest

from skylarkcart import invariants


@pytest.fixture(autouse=True)
def strict_invariants():
    invariants.reset_violations()
    invariants.set_strict(True)
    yield
    invariants.set_strict(False)
    assert invariants.get_violation_counts() == {}
