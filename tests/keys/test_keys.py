"""Guards against requests for the wrong account or with a revoked key."""

from __future__ import annotations

import pytest
from absl import logging
from hypothesis import given, settings, strategies as st

from skylarkcart.declarations import AccountRow, KeyRow
from skylarkcart.keys import (
    ContactHeartbeat,
    KeyDirectory,
    PlatformContact,
    hash_secret,
)
from skylarkcart.types import PlatformLossPolicy

SECRET = "for-tests-only-0123456789"
SALT = "00" * 16


def build_key_row(key_id: str, account: str, *, secret: str = SECRET) -> KeyRow:
    return KeyRow(
        key_id=key_id,
        account=account,
        salt=SALT,
        secret_sha256=hash_secret(SALT, secret),
    )


KEY_ROWS = (build_key_row("k1", "museo-oro"), build_key_row("k2", "small"))
DIRECTORY = KeyDirectory(keys=KEY_ROWS)
HEADER = f"Bearer k1.{SECRET}"


def test_key_authenticates_only_its_own_account():
    assert DIRECTORY.authenticate(HEADER).account == "museo-oro"
    assert DIRECTORY.authenticate(f"Bearer k2.{SECRET}").account == "small"
    assert DIRECTORY.authenticate(f"Bearer k3.{SECRET}") is None


@settings(derandomize=True, max_examples=500)
@given(st.none() | st.text() | st.text().map(lambda text: f"Bearer {text}"))
def test_invalid_header_is_refused_without_an_exception(header):
    assert DIRECTORY.authenticate(header) is None


@settings(derandomize=True, max_examples=500)
@given(
    st.integers(0, len(HEADER)),
    st.integers(0, len(HEADER)),
    st.text(st.characters(exclude_categories=()), max_size=3),
)
def test_altered_header_is_refused(start, length, text):
    altered = HEADER[:start] + text + HEADER[start + length :]
    if altered != HEADER:
        assert DIRECTORY.authenticate(altered) is None


@pytest.mark.parametrize(
    "rows",
    [
        (build_key_row("k2", "small"),),
        (build_key_row("k1", "small"),),
        (build_key_row("k1", "museo-oro", secret="another"),),
    ],
    ids=["revoked", "given to another account", "secret replaced"],
)
def test_queued_request_with_revoked_key_is_found(rows):
    queued = [DIRECTORY.authenticate(HEADER)]
    assert DIRECTORY.find_revoked(queued) == ()
    assert KeyDirectory(keys=rows).find_revoked(queued) == tuple(queued)


def test_secret_is_not_in_repr_or_log(caplog):
    accepted = DIRECTORY.authenticate(HEADER)
    logging.error("event=test accepted=%r directory=%r", accepted, DIRECTORY)
    assert "event=test" in caplog.text
    shown = caplog.text + repr(accepted) + repr(DIRECTORY) + repr(KEY_ROWS)
    assert SECRET not in shown
    assert KEY_ROWS[0].secret_sha256 not in repr(accepted) + repr(DIRECTORY)


def build_account(refuse_after_s: float) -> AccountRow:
    return AccountRow(
        account="small",
        rate_per_s=1,
        burst=1,
        share=1,
        on_platform_loss=PlatformLossPolicy.REFUSE,
        refuse_after_s=refuse_after_s,
    )


def test_account_is_refused_after_its_zone_loses_the_platform():
    contact, account = PlatformContact(zone="a"), build_account(30)
    assert not contact.may_serve(account, 0), "the zone never reached the platform"
    contact.observe_read(asked_at=1_000)
    assert contact.may_serve(account, 30_999)
    assert not contact.may_serve(account, 31_000)
    served = AccountRow(account="small", rate_per_s=1, burst=1, share=1)
    assert contact.may_serve(served, 9_999_000)


def test_contact_age_from_a_zone_peer_counts_from_the_request():
    reader, contact = PlatformContact(zone="a"), PlatformContact(zone="a")
    reader.observe_read(asked_at=0)
    contact.observe_heartbeat(reader.heartbeat(5_000), asked_at=4_000)
    assert contact.get_age_ms(4_000) == 5_000
    contact.observe_heartbeat(ContactHeartbeat(zone="b", age_ms=0), asked_at=4_000)
    contact.observe_heartbeat(ContactHeartbeat(zone="a", age_ms=9), asked_at=-9_000)
    assert (
        contact.get_age_ms(4_000) == 5_000
    ), "heartbeats of other zones and late responses must be ignored"
