"""Guards against misread declarations and against reporting one error at a time."""

from __future__ import annotations

import msgspec
import pytest

from skylarkcart.config import describe_difference, read_declarations
from skylarkcart.types import PlatformLossPolicy, ZoneState

FILES = {
    "fleet.toml": "revision = 7\nmax_instances = 12\n",
    "accounts.csv": "# Members\naccount,rate_per_s,burst,share,on_platform_loss,"
    "refuse_after_s\nmuseo-oro,10,20,1,,\nsmall,2,4,1,refuse,30\n",
    "services.csv": "service,slots,cold_slots,connections,connect_cost_ms,"
    "answer_by_ms,deadline_ms\nnight-search,3,1,30,6,60,80\n",
    "zones.csv": "zone,state,weight\nzone-a,,1\nzone-b,closed,0.5\n",
    "keys.csv": f"key_id,account,salt,secret_sha256\nk1,small,{'0' * 32},{'a' * 64}\n",
}


def write_files(directory, **changes):
    for name, text in FILES.items():
        text = changes.get(name.partition(".")[0], text)
        if text is not None:
            (directory / name).write_text(text, encoding="utf-8")
    return directory


def read_errors(directory):
    with pytest.raises(ExceptionGroup) as caught:
        read_declarations(directory)
    return [str(error) for error in caught.value.exceptions]


def test_files_are_read_with_defaults_and_comments(tmp_path):
    configuration = read_declarations(write_files(tmp_path))
    assert [row.rate_per_s for row in configuration.accounts] == [10.0, 2.0]
    assert configuration.accounts[1].on_platform_loss is PlatformLossPolicy.REFUSE
    assert [row.state for row in configuration.zones] == [
        ZoneState.OPEN,
        ZoneState.CLOSED,
    ]


def test_every_error_is_reported_with_its_location(tmp_path):
    errors = read_errors(
        write_files(
            tmp_path,
            fleet="revision = 0\nsize = 3\n",
            accounts="account,rate_per_s,burst,share\n\n"
            "museo,fast,0,1\nmuseo,1,1,inf\n",
            services="service,slots,cold_slots,connections,connect_cost_ms,"
            "answer_by_ms,deadline_ms,colour\nnight,1,1,1,1,1,1,red\n",
            zones="zone,state,weight\nzone-a,ajar,1\nzone-b\n",
            keys=None,
        )
    )
    assert errors == [
        "fleet.toml, max_instances: got None, expected an integer from 1 to 2147483647",
        "fleet.toml, size: got 3, expected one of revision, max_instances",
        "accounts.csv, row 3, column rate_per_s: got 'fast', "
        "expected a finite number above zero",
        "services.csv, row 1, column colour: got 'colour', expected one of service, "
        "open_to_all, slots, cold_slots, connections, connect_cost_ms, answer_by_ms, "
        "deadline_ms, prefer, extra_calls_ratio",
        "zones.csv, row 2, column state: got 'ajar', "
        "expected one of open, closed, removed",
        "zones.csv, row 3: got '1 cells', expected 3 cells, one for each column",
        "keys.csv: got 'No such file or directory', expected a readable file",
        "fleet.toml, revision: got 0, "
        "expected an integer from 1 to 9223372036854775807",
        "accounts.csv, row 3, column burst: got 0, "
        "expected an integer from 1 to 2147483647",
        "accounts.csv, row 4, column share: got inf, "
        "expected a finite number above zero",
        "accounts.csv, row 4, column account: got 'museo', expected a unique id",
    ]


def test_unreadable_account_row_causes_no_second_error_for_its_key(tmp_path):
    accounts = "account,rate_per_s,burst,share\nsmall,fast,1,1\n"
    assert len(read_errors(write_files(tmp_path, accounts=accounts))) == 1


def test_secret_in_the_wrong_column_is_not_shown_in_errors(tmp_path):
    secret = "s3cr3t-value-put-by-mistake"
    keys = (
        "key_id,account,salt,secret_sha256\n"
        f"k1.{secret},small,{secret},{secret}\nk2,small,{'0' * 32},{secret}\n"
    )
    errors = read_errors(write_files(tmp_path, keys=keys))
    assert len(errors) == 4
    assert secret not in "".join(errors)


def test_difference_describes_the_effect_on_the_fleet(tmp_path):
    old = read_declarations(write_files(tmp_path))
    changed_account = msgspec.structs.replace(old.accounts[0], rate_per_s=20.0)
    closed_zone = msgspec.structs.replace(old.zones[0], state=ZoneState.CLOSED)
    new = msgspec.structs.replace(
        old,
        revision=8,
        accounts=(changed_account, *old.accounts[1:]),
        zones=(closed_zone, *old.zones[1:]),
        keys=(),
    )
    lines = [str(difference) for difference in describe_difference(old, new)]
    assert lines == [
        "museo-oro: rate 10/s -> 20/s; "
        "allocations that grow take effect after the zones whose allocations shrink "
        "confirm revision 8",
        "zone-a: state open -> closed; it gets no new requests once instances adopt "
        "the revision; its entry instances report not ready",
        "key k1: revoked from small; refused by each instance from revision 8 on, "
        "also on open connections and for queued requests",
    ]
    assert describe_difference(old, old) == []


def test_changes_without_a_greater_revision_are_warned_about(tmp_path):
    old = read_declarations(write_files(tmp_path))
    new = msgspec.structs.replace(old, max_instances=40)
    first, second = describe_difference(old, new)
    assert "ignores these changes" in first.effect
    assert "night-search 2 -> 0" in second.effect
