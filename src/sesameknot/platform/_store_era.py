"""Count of the times that the store came back from a copy."""

import re

import structlog

ERA_HEADER = "Store-Era"
ERA_PATTERN = re.compile(r"[0-9]{1,15}", re.ASCII)
# The count rises by one each time; a host that was cut off may miss several.
STEP_LIMIT_COUNT = 16
# Answers in a row with the same unlikely count after which it is taken.
CONFIRMING_ANSWER_COUNT = 3
# Longest part of a malformed value that is logged.
MALFORMED_VALUE_LIMIT_CHARS = 40

log = structlog.get_logger(__name__)


class StoreEra:
    """Follows the era header in the store's answers.

    A value that is no number, or that neither stays nor rises a little, is logged and
    not taken, unless several answers in a row agree on it.

    Attributes
    ----------
    value : int
        Count in the answers; 0 while none was given.
    """

    __slots__ = ("_unlikely_count", "_unlikely_value", "value")

    def __init__(self) -> None:
        self.value = 0
        self._unlikely_value = 0
        self._unlikely_count = 0

    def observe(self, header: str | None) -> None:
        """Apply the header of an answer; None if it has none."""
        if header is None:
            return
        if not ERA_PATTERN.fullmatch(header):
            self._log_malformed(header)
            return
        era = int(header)
        if era == self.value:
            self._unlikely_count = 0
            return
        if not self.value or self.value < era <= self.value + STEP_LIMIT_COUNT:
            self._take(era)
            return
        same = era == self._unlikely_value
        self._unlikely_count = self._unlikely_count + 1 if same else 1
        self._unlikely_value = era
        if self._unlikely_count >= CONFIRMING_ANSWER_COUNT:
            self._take(era)
        else:
            self._log_malformed(header)

    def _take(self, era: int) -> None:
        if self.value:
            log.warning("store_restored", era=era, before=self.value)
        self.value = era
        self._unlikely_count = 0

    def _log_malformed(self, header: str) -> None:
        log.warning(
            "store_era_malformed",
            value=repr(header[:MALFORMED_VALUE_LIMIT_CHARS]),
            era=self.value,
        )
