"""Guards against a configuration that reverts to an older revision."""

from __future__ import annotations

import msgspec

from skylarkcart.config import OfferOutcome, RevisionStore
from skylarkcart.declarations import AccountRow, Configuration
from skylarkcart.types import AccountId


def encode_revision(revision: int, *, rate_per_s: float = 10.0) -> bytes:
    row = AccountRow(
        account=AccountId("museo-oro"), rate_per_s=rate_per_s, burst=20, share=1.0
    )
    configuration = Configuration(
        revision=revision,
        max_instances=12,
        accounts=(row,),
        services=(),
        zones=(),
        keys=(),
    )
    return msgspec.json.encode(configuration)


def test_stale_read_does_not_restore_an_older_revision():
    store = RevisionStore()
    store.offer(encode_revision(7))
    assert store.offer(encode_revision(6)).outcome is OfferOutcome.STALE
    assert store.revision == 7


def test_same_revision_with_different_content_is_rejected():
    store = RevisionStore()
    store.offer(encode_revision(7))
    offer = store.offer(encode_revision(7, rate_per_s=11.0))
    assert offer.outcome is OfferOutcome.CONFLICTING
    assert store.current.accounts[0].rate_per_s == 10.0


def test_invalid_value_does_not_replace_the_last_valid_one():
    store = RevisionStore()
    store.offer(encode_revision(7))
    offer = store.offer(encode_revision(8, rate_per_s=-1.0))
    assert offer.outcome is OfferOutcome.INVALID
    assert "-1.0" in offer.detail
    assert store.revision == 7
