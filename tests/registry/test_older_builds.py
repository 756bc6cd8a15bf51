"""Guards against state of older builds that can be read in two ways."""

from __future__ import annotations

import msgspec
import pytest

from skylarkcart.clock import Millis
from skylarkcart.published import Account
from skylarkcart.registry import CONFIGURATION_KEY, Change, Published
from skylarkcart.types import AccountId
from tests.registry.test_registry import build_configuration, build_registry

ACCOUNT = Account(
    account=AccountId("museum"), keys=("k",), priority=0, rate_per_s=0, burst=0
)


def encode_as_older_build(accounts: tuple[Account, ...]) -> bytes:
    """Returns the state of a build that does not send whether keys are required."""
    registry = build_registry()
    configuration = msgspec.structs.replace(build_configuration(5), accounts=accounts)
    change = Change(key=CONFIGURATION_KEY, revision=1, value=configuration)
    registry.apply_changes([change], revision=1, now=Millis(0))
    state = msgspec.to_builtins(registry.build_published(since=0, now=Millis(0)))
    del state["configuration"]["requires_keys"]
    return msgspec.msgpack.encode(state)


@pytest.mark.parametrize("accounts", [(), (ACCOUNT,)])
def test_state_that_leaves_open_whether_keys_are_needed_is_not_used(accounts) -> None:
    """Older builds send no accounts for an empty list as well as for none stated.

    Taken as none stated, all routes would be open to every caller; taken as an empty
    list, all requests would get 401.
    """
    state = msgspec.msgpack.decode(encode_as_older_build(accounts), type=Published)
    receiver = build_registry()
    assert receiver.adopt(state, Millis(0)) == bool(accounts)
    assert (receiver.configuration is not None) == bool(accounts)


def test_state_is_used_whose_configuration_an_older_build_does_not_repeat() -> None:
    state = msgspec.msgpack.decode(encode_as_older_build(()), type=Published)
    state = msgspec.structs.replace(state, configuration=None)
    assert build_registry().adopt(state, Millis(0))
