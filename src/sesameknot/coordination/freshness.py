"""Upper bound on the age of the configuration, and the verdict that follows."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Literal

from sesameknot.clock import Clock
from sesameknot.coordination._majority import holds_majority

# Reports older than this are ignored. Otherwise a paused host would, on resuming, trust
# reports from before the pause.
REPORT_WINDOW_S = 2.5

# During an outage, each host polls all other hosts of a roster up to this size. In a
# larger roster the message count would grow with the square of the host count, so a
# random sample is polled. With a sample of 16, a partition with a quarter of the roster
# takes itself for the majority in less than 1 of 100 polls.
FULL_POLL_LIMIT_COUNT = 27
POLL_SAMPLE_COUNT = 16


# Above this number of reports, each new one triggers the removal of expired ones.
REPORT_LIMIT_COUNT = 64


class Verdict(Enum):
    """Whether the configuration is recent enough, and if not, for which reason."""

    FRESH = "fresh"
    PLATFORM_OUTAGE = "platform-outage"
    STALE = "stale"


@dataclass(slots=True, frozen=True)
class _PeerReport:
    config_age_s: float
    sent_s: float
    same_config: bool


def _no_ids() -> Iterable[str]:
    return ()


class Freshness:
    """Decide whether the configuration is recent enough to accept requests.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    host_id : str
        Id of this host.
    stale_limit_s : float, default=3.0
        Highest age of a fresh configuration.
    on_platform_loss : {"serve", "refuse"}, default="serve"
        Whether to accept requests while no host can reach the platform.
    roster_ids : callable
        Returns the host ids of the current roster.
    live_ids : callable
        Returns the ids of the hosts that are alive and not suspected.

    Notes
    -----
    A platform outage is assumed only while a majority of the roster is reachable. A
    host counts as reachable if it replied within ``REPORT_WINDOW_S`` and has the same
    configuration; this host always counts. In a roster above
    ``FULL_POLL_LIMIT_COUNT``, the hosts that membership considers alive are counted
    instead, provided that more than half of a random sample of the roster replied
    with the same configuration. Membership alone takes seconds to detect a partition.
    """

    __slots__ = (
        "_clock",
        "_confirmed_s",
        "_polled_ids",
        "_reports",
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
        roster_ids: Callable[[], Iterable[str]] = _no_ids,
        live_ids: Callable[[], Iterable[str]] = _no_ids,
    ) -> None:
        self.host_id = host_id
        self.stale_limit_s = stale_limit_s
        self.on_platform_loss = on_platform_loss
        self.roster_ids = roster_ids
        self.live_ids = live_ids
        self._clock = clock
        self._confirmed_s = -math.inf
        self._reports: dict[str, _PeerReport] = {}
        self._polled_ids: frozenset[str] = frozenset()

    def confirm_age(self, age_s: float) -> bool:
        """Record that the configuration is at most ``age_s`` old.

        Parameters
        ----------
        age_s : float
            Time since the platform read was sent that the configuration reflects.

        Returns
        -------
        bool
            Whether this lowers the upper bound on the age.
        """
        confirmed_s = self._clock.monotonic_s() - age_s
        if confirmed_s <= self._confirmed_s:
            return False
        self._confirmed_s = confirmed_s
        return True

    def record_report(
        self, host_id: str, config_age_s: float, *, sent_s: float, same_config: bool
    ) -> None:
        """Record the state of a peer's configuration from its reply.

        Parameters
        ----------
        host_id : str
            Host id of the peer.
        config_age_s : float
            Age of the peer's configuration when it replied.
        sent_s : float
            Monotonic time at which the request was sent.
        same_config : bool
            Whether the peer's configuration equals that of this host.
        """
        previous = self._reports.get(host_id)
        if previous is None or sent_s >= previous.sent_s:
            self._reports[host_id] = _PeerReport(config_age_s, sent_s, same_config)
        if len(self._reports) > REPORT_LIMIT_COUNT:
            self._recent_reports()

    def record_poll(self, host_ids: Iterable[str]) -> None:
        """Record the peers of the last poll, once its reply timeout has passed."""
        self._polled_ids = frozenset(host_ids)

    def age_s(self) -> float:
        """Return the upper bound on the age; infinite before the first read."""
        return self._clock.monotonic_s() - self._confirmed_s

    def age_ms(self) -> float:
        """Return the upper bound on the age in milliseconds."""
        return self.age_s() * 1000.0

    def ids_replied_since(self, since_s: float) -> set[str]:
        """Return the peers that replied to a request sent at or after ``since_s``."""
        return {
            host_id
            for host_id, report in self._recent_reports().items()
            if report.sent_s >= since_s
        }

    def verdict(self) -> Verdict:
        """Return the verdict from the age and the reports of peers."""
        if self.age_s() <= self.stale_limit_s:
            return Verdict.FRESH
        if math.isinf(self._confirmed_s):
            return Verdict.STALE
        if any(age_s <= self.stale_limit_s for age_s in self._peer_ages_s().values()):
            return Verdict.STALE
        return Verdict.PLATFORM_OUTAGE if self._reaches_majority() else Verdict.STALE

    def may_accept(self) -> bool:
        """Return whether new requests may be accepted."""
        verdict = self.verdict()
        if verdict is Verdict.PLATFORM_OUTAGE:
            return self.on_platform_loss == "serve"
        return verdict is Verdict.FRESH

    def _reaches_majority(self) -> bool:
        roster = set(self.roster_ids())
        agreeing_ids = {
            host_id
            for host_id, report in self._recent_reports().items()
            if report.same_config
        }
        reachable_ids = agreeing_ids | {self.host_id}
        if len(roster) <= FULL_POLL_LIMIT_COUNT:
            return holds_majority(roster, reachable_ids)
        if 2 * len(self._polled_ids & agreeing_ids & roster) <= len(self._polled_ids):
            return False
        return holds_majority(roster, {*self.live_ids(), self.host_id})

    def _recent_reports(self) -> dict[str, _PeerReport]:
        cutoff_s = self._clock.monotonic_s() - REPORT_WINDOW_S
        self._reports = {
            host_id: report
            for host_id, report in self._reports.items()
            if report.sent_s >= cutoff_s
        }
        return self._reports

    def _peer_ages_s(self) -> dict[str, float]:
        now_s = self._clock.monotonic_s()
        return {
            host_id: report.config_age_s + now_s - report.sent_s
            for host_id, report in self._recent_reports().items()
        }
