"""Compares the era that a response of the store states with the known one."""

from __future__ import annotations

from skylarkcart.gateway._core import Core
from skylarkcart.platform._store import HistoryLostError, StoreError
from skylarkcart.platform._store_era import StatedEra
from skylarkcart.types import NO_ERA, Era

MAX_ERA_LINES_PER_SECOND = 2


class EarlierEraError(StoreError):
    """The store, or the part of it that responded, is of an era that has ended."""


class EraCheck:
    """Decides which era a response is of, and logs what is unusual about it."""

    def __init__(self, *, core: Core) -> None:
        self._core = core
        self._latest: Era = NO_ERA

    def resolve(self, stated: StatedEra, *, known: Era) -> Era:
        """Returns the era of a response to a request that was sent in a known era.

        A response that states no usable era is taken to be of the known one. Its
        revisions are still ordered within that era.

        Raises:
            EarlierEraError: the response is of an earlier era.
        """
        era = stated.era
        if era is None:
            if stated.text or known != NO_ERA:
                self._log("store_era_unreadable", stated.text, known)
            return known
        if era < known:
            self._log("store_era_earlier", era, known)
            raise EarlierEraError(f"the store states era {era}, known is era {known}")
        if known != NO_ERA and era > known + 1:
            self._log("store_era_skipped", era, known)
        if self._latest not in (NO_ERA, era):
            self._core.log.write("store_era_stated", stated=era, before=self._latest)
        self._latest = era
        return era

    def check_unchanged(self, stated: StatedEra, *, known: Era) -> None:
        """Checks that a response to a watch is of the era that was watched.

        Raises:
            EarlierEraError: the response is of an earlier era.
            HistoryLostError: the response is of a later era.
        """
        era = self.resolve(stated, known=known)
        if era != known:
            raise HistoryLostError(f"the store states era {era}, watched was {known}")

    def _log(self, event: str, stated: object, known: Era) -> None:
        self._core.log_warning(
            event, stated=stated, known=known, limit=MAX_ERA_LINES_PER_SECOND
        )
