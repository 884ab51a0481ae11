"""Rate limit for requests to endpoints in cold start."""

import math
from collections.abc import Collection

from sesameknot.clock import Clock
from sesameknot.policy.rendezvous import first_in_order
from sesameknot.policy.token_bucket import TokenBuckets

# Hosts that use a cold endpoint, per request/s of its cold rate. Each host may send one
# request at once, so the initial burst stays within half a second's worth of that rate.
HOSTS_PER_REQUEST_RATE = 0.5


class ColdStartLimiter:
    """Divides the request rate of a cold endpoint among a few hosts.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    host_id : str
        Identifier of this host.

    Notes
    -----
    The hosts are chosen by rendezvous hashing. They need not communicate, and the sum
    of their first requests stays bounded regardless of the number of hosts.
    """

    __slots__ = ("_buckets", "host_id")

    def __init__(self, *, clock: Clock, host_id: str) -> None:
        self.host_id = host_id
        self._buckets = TokenBuckets(clock=clock, burst_s=0.0)

    def rate_per_s(
        self, endpoint_id: str, cold_rate_per_s: float, hosts: Collection[str]
    ) -> float:
        """Return this host's part of ``cold_rate_per_s``; 0 if it has none."""
        if not hosts:
            return 0.0
        host_count = max(1, int(cold_rate_per_s * HOSTS_PER_REQUEST_RATE))
        assigned = first_in_order(endpoint_id, tuple(hosts), host_count)
        return cold_rate_per_s / len(assigned) if self.host_id in assigned else 0.0

    def may_use(
        self, endpoint_id: str, cold_rate_per_s: float, hosts: Collection[str]
    ) -> bool:
        """Return whether the rate limit allows a request to the endpoint now."""
        return not self.wait_s(endpoint_id, cold_rate_per_s, hosts)

    def wait_s(
        self, endpoint_id: str, cold_rate_per_s: float, hosts: Collection[str]
    ) -> float:
        """Return the time until the rate limit allows a request; infinite if never."""
        rate_per_s = self.rate_per_s(endpoint_id, cold_rate_per_s, hosts)
        if not rate_per_s:
            return math.inf
        return self._buckets.wait_s(endpoint_id, rate_per_s)

    def take(
        self, endpoint_id: str, cold_rate_per_s: float, hosts: Collection[str]
    ) -> bool:
        """Take one request from the rate limit; return False if none is available."""
        rate_per_s = self.rate_per_s(endpoint_id, cold_rate_per_s, hosts)
        return rate_per_s > 0.0 and self._buckets.take(endpoint_id, rate_per_s)
