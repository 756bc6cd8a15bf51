"""Compares the era that a response of the store states with the known one."""

from __future__ import annotations

from skylarkcart.gateway._core import Core
from skylarkcart.platform._store import HistoryLostError, StoreError
from skylarkcart.platform._store_era import StatedEra
from skylarkcart.types import NO_ERA, Era

MAX_ERA_LINES_PER_SECOND = 2


class EarlierEraError(StoreError):
    """The store, or the part of it that responded, is of an era that has ended."""


def resolve_era(core: Core, stated: StatedEra, *, known: Era) -> Era:
    """Returns the era of a response to a request that was sent in a known era.

    A response that states no usable era is taken to be of the known one. Its revisions
    are still ordered within that era.

    Raises:
        EarlierEraError: the response is of an earlier era.
    """
    era = stated.era
    if era is None:
        if stated.text or known != NO_ERA:
            _log(core, "store_era_unreadable", stated.text, known)
        return known
    if era < known:
        _log(core, "store_era_earlier", era, known)
        raise EarlierEraError(f"the store states era {era}, known is era {known}")
    if known != NO_ERA and era > known + 1:
        _log(core, "store_era_skipped", era, known)
    return era


def check_watched_era(core: Core, stated: StatedEra, *, watched: Era) -> None:
    """Checks that a response to a watch is of the era that was watched.

    Raises:
        EarlierEraError: the response is of an earlier era.
        HistoryLostError: the response is of a later era.
    """
    era = resolve_era(core, stated, known=watched)
    if era != watched:
        raise HistoryLostError(f"the store states era {era}, watched was era {watched}")


def _log(core: Core, event: str, stated: object, known: Era) -> None:
    core.log_warning(event, stated=stated, known=known, limit=MAX_ERA_LINES_PER_SECOND)
