"""Guards against configuration changes that are lost, reverted or too large."""

from __future__ import annotations

import msgspec
import pytest

from skylarkcart.config import (
    MAX_VALUE_BYTES,
    ChangeDelta,
    ChangeRequest,
    ConfigAgent,
    OfferOutcome,
    RevisionHeartbeat,
    WholeValue,
    check_configuration,
    decode_configuration,
    encode_compact,
    encode_rows,
    select_readers,
)
from skylarkcart.declarations import AccountRow, Configuration, KeyRow, ServiceRow


def build_configuration(
    revision: int, *, accounts: int = 3, changed_rate: float = 10.0
):
    rows = [
        AccountRow(account=f"member-{index:04}", rate_per_s=10, burst=20, share=1)
        for index in range(accounts)
    ]
    rows[1] = msgspec.structs.replace(rows[1], rate_per_s=changed_rate)
    keys = [
        KeyRow(
            key_id=f"member-{index:04}-{key_number}",
            account=f"member-{index:04}",
            salt=f"{index:032x}",
            secret_sha256=f"{index * 2 + key_number:064x}",
        )
        for index in range(accounts)
        for key_number in range(2)
    ]
    return Configuration(
        revision=revision,
        max_instances=12,
        accounts=tuple(rows),
        services=(),
        zones=(),
        keys=tuple(keys),
    )


def start_agent(name: str, configuration: Configuration | None = None) -> ConfigAgent:
    agent = ConfigAgent(instance=name, now=0)
    if configuration:
        agent.offer_published(encode_compact(configuration), 0)
    return agent


def exchange(newer: ConfigAgent, older: ConfigAgent, now: float = 0):
    [request] = older.handle("newer", newer.heartbeat(), now)
    [answer] = newer.handle("older", request.message, now)
    older.handle("newer", answer.message, now)
    return answer.message


def test_one_changed_row_among_5000_accounts_is_sent_as_small_delta():
    newer = start_agent("newer", build_configuration(1, accounts=5000))
    older = start_agent("older", build_configuration(1, accounts=5000))
    changed = build_configuration(2, accounts=5000, changed_rate=20.0)
    newer.offer_published(encode_compact(changed), 0)
    answer = exchange(newer, older)
    assert isinstance(answer, ChangeDelta)
    assert len(msgspec.json.encode(answer)) < 400
    assert older.current == newer.current and older.digest == newer.digest


def test_value_of_5000_accounts_with_two_keys_fits_the_platform_limit():
    configuration = build_configuration(1, accounts=5000)
    value = encode_compact(configuration)
    assert len(value) <= MAX_VALUE_BYTES < len(encode_rows(configuration))
    assert decode_configuration(value) == configuration


def test_deltas_merge_over_revisions_and_unknown_base_gets_whole_value():
    older = start_agent("older", build_configuration(1))
    unrelated = start_agent("unrelated", build_configuration(1, changed_rate=99.0))
    newer = start_agent("newer", build_configuration(1))
    for revision in (2, 5, 9):
        configuration = build_configuration(
            revision, accounts=revision, changed_rate=revision
        )
        newer.offer_published(encode_rows(configuration), 0)
    assert isinstance(exchange(newer, older), ChangeDelta)
    assert isinstance(exchange(newer, unrelated), WholeValue)
    assert older.digest == unrelated.digest == newer.digest


def test_delta_with_wrong_digest_is_rejected_and_whole_value_requested():
    older = start_agent("older", build_configuration(1))
    delta = ChangeDelta(from_revision=1, revision=2, digest="0" * 64, max_instances=9)
    [answer] = older.handle("peer", delta, 0)
    assert answer.message.whole
    assert older.revision == 1


def test_late_and_repeated_messages_do_not_restore_an_older_revision():
    agent = start_agent("agent", build_configuration(3))
    older = start_agent("older", build_configuration(2))
    [whole] = older.handle("agent", ChangeRequest(revision=0, digest=""), 0)
    assert agent.handle("older", whole.message, 0) == []
    assert agent.handle("older", older.heartbeat(), 0) == []
    offer = agent.offer_published(encode_rows(build_configuration(2)), 0)
    assert offer.outcome is OfferOutcome.STALE
    assert agent.revision == 3


def test_slow_peer_does_not_block_requests_to_other_peers():
    agent = start_agent("agent", build_configuration(1))
    newer = RevisionHeartbeat(revision=2, digest="f" * 64)
    assert agent.handle("slow", newer, 0)
    assert agent.handle("other", newer, 249) == []
    [request] = agent.handle("other", newer, 250)
    assert request.to == "other"


def test_same_revision_with_two_contents_reports_one_conflict():
    agent = start_agent("agent", build_configuration(1))
    other = start_agent("other", build_configuration(1, changed_rate=99.0))
    for now in (0, 250):
        agent.handle("other", other.heartbeat(), now)
    assert len(agent.conflicts) == 1


def test_new_instance_is_not_ready_after_a_stale_read():
    fresh = start_agent("fresh", build_configuration(1))
    fresh.observe_peers(peers=["newer"], was_listed=True)
    assert not fresh.is_ready(60_000)
    newer = start_agent("newer", build_configuration(2))
    [request] = fresh.handle("newer", newer.heartbeat(), 60_000)
    assert not fresh.is_ready(60_000)
    [answer] = newer.handle("fresh", request.message, 60_000)
    fresh.handle("newer", answer.message, 60_000)
    assert fresh.is_ready(60_000)


def test_new_instance_waits_at_most_two_seconds_for_a_dead_peer():
    fresh = start_agent("fresh", build_configuration(1))
    fresh.observe_peers(peers=["settled", "dead"], was_listed=True)
    settled = start_agent("settled", build_configuration(1))
    settled.observe_peers(peers=[], was_listed=True)
    assert settled.is_ready(0)
    fresh.handle("settled", settled.heartbeat(), 100)
    assert not fresh.is_ready(1_999)
    assert fresh.is_ready(2_000)


def test_two_readers_are_selected_and_stay_when_another_member_leaves():
    members = [f"entry-{index}" for index in range(9)]
    readers = select_readers(members)
    others = [member for member in members if member not in readers]
    assert select_readers(members[::-1]) == readers
    assert select_readers([*readers, *others[1:]]) == readers
    assert len(readers) == 2


def test_all_invalid_values_are_reported_at_once():
    account = AccountRow(
        account="Museo", rate_per_s=float("nan"), burst=0, share=1, refuse_after_s=-1
    )
    service = ServiceRow(
        service="night-search",
        slots=2,
        cold_slots=3,
        connections=30,
        connect_cost_ms=6,
        answer_by_ms=90,
        deadline_ms=80,
    )
    key = KeyRow(key_id="a.b", account="nobody", salt="XY", secret_sha256="12")
    configuration = Configuration(
        revision=0,
        max_instances=1,
        accounts=(account,),
        services=(service,),
        zones=(),
        keys=(key,),
    )
    with pytest.raises(ExceptionGroup) as caught:
        check_configuration(configuration)
    columns = [error.where.split()[-1] for error in caught.value.exceptions]
    assert columns == [
        "revision",
        "account",
        "rate_per_s",
        "burst",
        "refuse_after_s",
        "cold_slots",
        "answer_by_ms",
        "key_id",
        "salt",
        "secret_sha256",
        "account",
    ]


def test_instance_that_hears_no_peer_trusts_the_platform_only_if_configured():
    cautious = start_agent("cautious", build_configuration(1))
    trusting = ConfigAgent(instance="trusting", now=0, alone_after_ms=30_000)
    trusting.offer_published(encode_compact(build_configuration(1)), 0)
    for agent in (cautious, trusting):
        agent.observe_peers(peers=["lost"], was_listed=True)
    assert not trusting.is_ready(29_999)
    assert trusting.is_ready(30_000)
    assert not cautious.is_ready(1e9)
