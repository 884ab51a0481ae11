"""Upper bound on the age of the configuration, and what follows from it."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Literal

from sesameknot.clock import Clock
from sesameknot.coordination._majority import holds_majority

# A report says nothing about a peer once it is older than this: a paused host would
# otherwise trust what it saw before the pause.
SIGHT_WINDOW_S = 2.5

# Each host of a roster up to this size is asked directly during an outage. Above it
# the messages would grow with the square of the hosts, and a sample is asked. With
# 16 hosts, a side with a quarter of the roster takes itself for the majority in less
# than 1 of 100 rounds.
DIRECT_SIGHT_LIMIT = 27
SAMPLE_COUNT = 16


# Beyond this count, reports out of the window are dropped at each new one.
REPORT_LIMIT = 64


class Verdict(Enum):
    """What the age of the configuration allows."""

    FRESH = "fresh"
    PLATFORM_OUTAGE = "platform-outage"
    STALE = "stale"


@dataclass(slots=True, frozen=True)
class _Report:
    config_age_s: float
    sent_s: float
    same_config: bool


def _nobody() -> Iterable[str]:
    return ()


class Freshness:
    """Decide whether the configuration is recent enough to accept work.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    host_id : str
        This host.
    stale_limit_s : float, default=3.0
        Age up to which the configuration is fresh.
    on_platform_loss : {"serve", "refuse"}, default="serve"
        Whether to accept work when the platform is down for all hosts.
    roster_ids : callable
        Host ids of the present roster.
    live_ids : callable
        Hosts that membership holds for alive, without suspects.

    Notes
    -----
    A majority of the roster is in sight if so many of its hosts (this one included)
    answered within ``SIGHT_WINDOW_S`` and have the same configuration. For a roster
    above ``DIRECT_SIGHT_LIMIT`` the hosts that membership holds for alive count, if
    more than half of a random sample of the roster answered so. Membership alone
    needs seconds to notice a partition.
    """

    __slots__ = (
        "_clock",
        "_confirmed_s",
        "_reports",
        "_sample",
        "host_id",
        "live_ids",
        "on_platform_loss",
        "roster_ids",
        "stale_limit_s",
    )

    def __init__(
        self,
        clock: Clock,
        *,
        host_id: str,
        stale_limit_s: float = 3.0,
        on_platform_loss: Literal["serve", "refuse"] = "serve",
        roster_ids: Callable[[], Iterable[str]] = _nobody,
        live_ids: Callable[[], Iterable[str]] = _nobody,
    ) -> None:
        self.host_id = host_id
        self.stale_limit_s = stale_limit_s
        self.on_platform_loss = on_platform_loss
        self.roster_ids = roster_ids
        self.live_ids = live_ids
        self._clock = clock
        self._confirmed_s = -math.inf
        self._reports: dict[str, _Report] = {}
        self._sample: frozenset[str] = frozenset()

    def confirmed(self, age_s: float) -> bool:
        """Note that the configuration is at most ``age_s`` old; tell if that is news.

        Parameters
        ----------
        age_s : float
            Time since the platform read that the configuration reflects was sent.
        """
        confirmed_s = self._clock.monotonic_s() - age_s
        if confirmed_s <= self._confirmed_s:
            return False
        self._confirmed_s = confirmed_s
        return True

    def peer_reported(
        self, host_id: str, config_age_s: float, *, sent_s: float, same_config: bool
    ) -> None:
        """Note what a peer answered about its configuration.

        Parameters
        ----------
        host_id : str
            The peer.
        config_age_s : float
            Age of its configuration when it answered.
        sent_s : float
            Monotonic time at which the question was sent.
        same_config : bool
            Whether its configuration equals that of this host.
        """
        held = self._reports.get(host_id)
        if held is None or sent_s >= held.sent_s:
            self._reports[host_id] = _Report(config_age_s, sent_s, same_config)
        if len(self._reports) > REPORT_LIMIT:
            self._recent()

    def sampled(self, host_ids: Iterable[str]) -> None:
        """Note the peers that were last asked, once their time to answer has passed."""
        self._sample = frozenset(host_ids)

    def age_s(self) -> float:
        """Return the upper bound on the age; infinite before the first read."""
        return self._clock.monotonic_s() - self._confirmed_s

    def age_ms(self) -> float:
        """Return the upper bound on the age in milliseconds."""
        return self.age_s() * 1000.0

    def answered_since(self, since_s: float) -> set[str]:
        """Return the peers that answered a question sent at ``since_s`` or later."""
        return {
            host_id
            for host_id, report in self._recent().items()
            if report.sent_s >= since_s
        }

    def verdict(self) -> Verdict:
        """Return what the age and the peers in sight allow."""
        if self.age_s() <= self.stale_limit_s:
            return Verdict.FRESH
        if math.isinf(self._confirmed_s):
            return Verdict.STALE
        if any(age_s <= self.stale_limit_s for age_s in self._peer_ages().values()):
            return Verdict.STALE
        return Verdict.PLATFORM_OUTAGE if self._sees_majority() else Verdict.STALE

    def may_accept(self) -> bool:
        """Return whether new work may be accepted."""
        verdict = self.verdict()
        if verdict is Verdict.PLATFORM_OUTAGE:
            return self.on_platform_loss == "serve"
        return verdict is Verdict.FRESH

    def _sees_majority(self) -> bool:
        roster = set(self.roster_ids())
        agreeing = {
            host_id for host_id, report in self._recent().items() if report.same_config
        }
        seen = agreeing | {self.host_id}
        if len(roster) <= DIRECT_SIGHT_LIMIT:
            return holds_majority(roster, seen)
        if 2 * len(self._sample & agreeing & roster) <= len(self._sample):
            return False
        return holds_majority(roster, {*self.live_ids(), self.host_id})

    def _recent(self) -> dict[str, _Report]:
        limit_s = self._clock.monotonic_s() - SIGHT_WINDOW_S
        self._reports = {
            host_id: report
            for host_id, report in self._reports.items()
            if report.sent_s >= limit_s
        }
        return self._reports

    def _peer_ages(self) -> dict[str, float]:
        now_s = self._clock.monotonic_s()
        return {
            host_id: report.config_age_s + now_s - report.sent_s
            for host_id, report in self._recent().items()
        }
