"""Times and request rate of a roll-out's order, as one host sees them."""

import math
from dataclasses import dataclass

from sesameknot.protocol.fleet_records import RolloutOrder

# Requests are counted for this long before their rate counts as known.
RATE_MIN_S = 1.0


@dataclass(slots=True, frozen=True)
class ExposureLimit:
    """Requests that a bad version may get during its roll-out.

    Parameters
    ----------
    share : float
        Share of all requests for the service in that time.
    slack_count : float
        Requests in addition to the share.
    """

    share: float
    slack_count: float = 0.0

    def share_of(self, request_count: float) -> float:
        """Return the limit as a share of ``request_count`` requests."""
        if request_count <= 0.0:
            return 1.0
        return self.share + self.slack_count / request_count


class OrderTiming:
    """Monotonic times of one order as this host has seen it.

    Attributes
    ----------
    target_version : str
        Version that the order names.
    started_s : float
        Start of the roll-out, or the estimate of it.
    first_seen_s : float
        Time at which this host received the order.
    share : float
        Last share that the store reported.
    share_changed_s : float
        Time at which this host received that share.
    undecided_logged : bool
        Whether the log says that the answers do not decide the roll-out in its time.
    """

    __slots__ = (
        "_counted_from",
        "first_seen_s",
        "share",
        "share_changed_s",
        "started_s",
        "target_version",
        "undecided_logged",
    )

    def __init__(self, order: RolloutOrder, started_s: float, now_s: float) -> None:
        self.target_version = order.target_version
        self.started_s = started_s
        self.first_seen_s = now_s
        self.share = order.share
        self.share_changed_s = now_s
        self.undecided_logged = False
        # Time and count of the first look at the counters.
        self._counted_from: tuple[float, int] | None = None

    def expected_request_count(
        self, request_count: int, now_s: float, *, duration_s: float
    ) -> float:
        """Return how many requests the service gets in the duration of the order.

        Parameters
        ----------
        request_count : int
            Requests that were counted up to ``now_s``.

        Returns
        -------
        float
            Infinite while the rate of the requests is not known.
        """
        if self._counted_from is None:
            self._counted_from = now_s, request_count
        since_s, since_count = self._counted_from
        if now_s - since_s < RATE_MIN_S:
            return math.inf
        rate_per_s = max(0, request_count - since_count) / (now_s - since_s)
        return rate_per_s * duration_s
