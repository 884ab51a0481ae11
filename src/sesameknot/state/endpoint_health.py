"""What this host has itself seen of endpoints' failures."""

from dataclasses import dataclass

from sesameknot.clock import Clock

# Weight of one result in the failure share.
RESULT_WEIGHT = 0.25
# Connections that must fail in a row before an endpoint is ejected.
CONNECT_FAILURE_LIMIT_COUNT = 2
FAILURE_SHARE_LIMIT = 0.7
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0


@dataclass(slots=True)
class EndpointHealth:
    """Results of this host's attempts at one endpoint.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    clock: Clock
    failure_share: float = 0.0
    connect_failure_count: int = 0
    ejection_count: int = 0
    ejected_until_s: float = 0.0

    @property
    def ejected(self) -> bool:
        """Whether the endpoint is to be left alone for now."""
        return self.clock.monotonic_s() < self.ejected_until_s

    def succeeded(self) -> None:
        """Count an answer."""
        self.failure_share *= 1.0 - RESULT_WEIGHT
        self.connect_failure_count = 0
        self.ejection_count = 0
        self.ejected_until_s = 0.0

    def failed(self) -> None:
        """Count an attempt that the endpoint failed after the request was sent."""
        self.failure_share += RESULT_WEIGHT * (1.0 - self.failure_share)
        if self.failure_share > FAILURE_SHARE_LIMIT:
            self._eject()

    def unreachable(self) -> None:
        """Count a connection that could not be opened."""
        self.failure_share += RESULT_WEIGHT * (1.0 - self.failure_share)
        self.connect_failure_count += 1
        if self.connect_failure_count >= CONNECT_FAILURE_LIMIT_COUNT:
            self._eject()

    def _eject(self) -> None:
        now_s = self.clock.monotonic_s()
        if now_s < self.ejected_until_s:
            return
        duration_s = min(
            LONGEST_EJECTION_S, FIRST_EJECTION_S * 2.0**self.ejection_count
        )
        self.ejection_count += 1
        self.ejected_until_s = now_s + duration_s
