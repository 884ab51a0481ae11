"""Passive health checks: ejection of endpoints at which this host's attempts fail."""

from dataclasses import dataclass

from sesameknot.clock import Clock

# Weight of one result in the exponential moving average of failures.
RESULT_WEIGHT = 0.25
FAILURE_SHARE_LIMIT = 0.7
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0


@dataclass(slots=True)
class EndpointHealth:
    """Results of this host's attempts at one endpoint.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    failure_share : float, default=0.0
        Exponential moving average of failures, between 0 and 1.
    ejection_count : int, default=0
        Ejections since the last answer; each doubles the duration, up to a limit.
    ejected_until_s : float, default=0.0
        Monotonic time at which the latest ejection ends.
    """

    clock: Clock
    failure_share: float = 0.0
    ejection_count: int = 0
    ejected_until_s: float = 0.0

    @property
    def ejected(self) -> bool:
        """Whether requests should avoid the endpoint at present."""
        return self.clock.monotonic_s() < self.ejected_until_s

    def succeeded(self) -> None:
        """Record an answer, which ends an ejection."""
        self.failure_share *= 1.0 - RESULT_WEIGHT
        self.ejection_count = 0
        self.ejected_until_s = 0.0

    def failed(self) -> None:
        """Record an attempt that failed after the request was sent."""
        self.failure_share += RESULT_WEIGHT * (1.0 - self.failure_share)
        if self.failure_share > FAILURE_SHARE_LIMIT:
            self._eject()

    def unreachable(self) -> None:
        """Record a connection that could not be opened.

        The endpoint is ejected at once: in a large fleet a host meets each endpoint
        rarely, so that every further attempt would delay another request.
        """
        self.failure_share += RESULT_WEIGHT * (1.0 - self.failure_share)
        self._eject()

    def _eject(self) -> None:
        now_s = self.clock.monotonic_s()
        if now_s < self.ejected_until_s:
            return
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**self.ejection_count)
        self.ejection_count += 1
        self.ejected_until_s = now_s + duration_s
