"""Guards the load that upstreams report: four figures were once dropped as a whole."""

from __future__ import annotations

import pytest

from skylarkcart.exchange import ReportedLoad
from skylarkcart.platform._messages import decode_response


def decode(value: bytes) -> tuple[ReportedLoad | None, bytes | None]:
    response = decode_response(200, [(b"Server-Load", value)], b"")
    return response.load, response.invalid_load


def test_three_figures_state_no_work_factor() -> None:
    load = ReportedLoad(running=3, waiting=1, slots=4)
    assert decode(b"3, 1,4") == (load, None)


@pytest.mark.parametrize(
    ("figure", "work_factor"),
    [(b"100", 1.0), (b"87.5", 0.875), (b"0.001", 0.1), (b"9e9", 100.0)],
)
def test_fourth_figure_is_a_percentage(figure: bytes, work_factor: float) -> None:
    load = ReportedLoad(running=3, waiting=1, slots=4, work_factor=work_factor)
    assert decode(b"3,1,4," + figure) == (load, None)
    # A later version of an upstream may state more figures.
    assert decode(b"3,1,4," + figure + b",7") == (load, None)


def test_figures_are_bounded() -> None:
    """One absurd figure must not take an upstream out of use, or all others."""
    load, _ = decode(b"-5,99999999999,0,100")
    assert load == ReportedLoad(running=0, waiting=100_000, slots=1, work_factor=1.0)


@pytest.mark.parametrize(
    "value",
    [b"", b"1,2", b"a,b,c", b"1,2,3,", b"1,2,3,nan", b"1,2,3,inf", b"1,2,3,0"]
    + [b"1,2,3,-100", b"1,,3", b"\xff" * 200, b"9" * 5_000 + b",1,1,1"],
)
def test_unreadable_load_is_reported(value: bytes) -> None:
    """It was dropped in silence, so that nobody saw that no load was known."""
    assert decode(value) == (None, value[:80])
    response = decode_response(200, [(b"Server-Load", value)], b"")
    assert response.speaks_of_upstream
