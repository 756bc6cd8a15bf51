"""When a process that starts stops waiting for the state of its peers."""

from __future__ import annotations

import msgspec
import pytest

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.fleet import encode_report
from skylarkcart.gateway._peers import PeerLink
from skylarkcart.gateway._reader import StoreReader
from tests.gateway.test_hostile_messages import FakeTransport, build_core, build_report
from tests.gateway.test_task_errors import read_lines


@pytest.mark.parametrize(
    ("revisions", "is_first_start", "expected"),
    [
        ((), False, False),
        ((0, 0), False, True),
        ((0, 7), False, False),
        ((0, 0), True, False),
    ],
)
def test_restart_of_all_instances_is_recognised(
    revisions: tuple[int, ...], is_first_start: bool, expected: bool
) -> None:
    """If all processes were ended, no peer has state, and waiting refuses callers.

    Without a peer nothing is known, and at the first start of all, the instances leave
    reading to the first ones.
    """
    core = build_core(ManualClock(start=Millis(5_000)))
    core.settings = msgspec.structs.replace(
        core.settings, is_first_start=is_first_start
    )
    link = PeerLink(core=core, incarnation=1)
    link.connection_made(FakeTransport())
    for number, revision in enumerate(revisions):
        report = build_report(instance=f"gateway-{number + 2}", revision=revision)
        link.datagram_received(encode_report(report), ("10.0.0.2", 1))
    assert StoreReader(core=core)._is_restart_of_all() is expected


def test_log_tells_what_peers_had_stated_when_the_wait_ended() -> None:
    """An instance that heard nobody with state looked like one that ignored a peer."""
    core = build_core(ManualClock(start=Millis(5_000)))
    link = PeerLink(core=core, incarnation=1)
    link.connection_made(FakeTransport())
    report = build_report(instance="gateway-2", revision=7, era=2)
    link.datagram_received(encode_report(report), ("10.0.0.2", 1))
    StoreReader(core=core)._log_start()
    (line,) = read_lines(core, "wait_for_peers_ended")
    assert (line["era"], line["revision"]) == (-1, 1)
    assert line["peers"] == {"gateway-2": [2, 7]}
