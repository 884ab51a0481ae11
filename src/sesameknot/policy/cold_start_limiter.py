"""Rate at which this host may use a cold endpoint."""

import functools
from collections.abc import Collection

from sesameknot.clock import Clock
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.policy.token_bucket import TokenBuckets

# Each host may send one request at once, so the number of hosts that use a cold
# endpoint stays below half of what it bears in a second.
HOSTS_PER_RATE = 0.5
# Cold endpoints for which the choice of hosts is kept; ranking all hosts for each
# request costs as much as the rest of the choice of an endpoint.
USERS_CACHE_COUNT = 256


@functools.lru_cache(maxsize=USERS_CACHE_COUNT)
def _users(endpoint_id: str, hosts: tuple[str, ...], count: int) -> frozenset[str]:
    return frozenset(rendezvous_order(endpoint_id, hosts)[:count])


class ColdStartLimiter:
    """Divides what a cold endpoint bears between a few hosts.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    host_id : str
        This host.

    Notes
    -----
    The hosts are picked by rendezvous hashing, so that they need not talk to each
    other, and so that the sum of their first requests stays bounded however many
    hosts there are.
    """

    __slots__ = ("_buckets", "host_id")

    def __init__(self, *, clock: Clock, host_id: str) -> None:
        self.host_id = host_id
        self._buckets = TokenBuckets(clock=clock, burst_s=0.0)

    def rate_per_s(
        self, endpoint_id: str, cold_rate_per_s: float, hosts: Collection[str]
    ) -> float:
        """Return this host's part of ``cold_rate_per_s``; 0 while no host is known."""
        if not hosts:
            return 0.0
        user_count = max(1, int(cold_rate_per_s * HOSTS_PER_RATE))
        users = _users(endpoint_id, tuple(hosts), user_count)
        return cold_rate_per_s / len(users) if self.host_id in users else 0.0

    def may_use(
        self, endpoint_id: str, cold_rate_per_s: float, hosts: Collection[str]
    ) -> bool:
        """Return whether a request could be sent to the endpoint now."""
        rate_per_s = self.rate_per_s(endpoint_id, cold_rate_per_s, hosts)
        return rate_per_s > 0.0 and not self._buckets.wait_s(endpoint_id, rate_per_s)

    def take(
        self, endpoint_id: str, cold_rate_per_s: float, hosts: Collection[str]
    ) -> bool:
        """Use up one request; return False if none is left now."""
        rate_per_s = self.rate_per_s(endpoint_id, cold_rate_per_s, hosts)
        return rate_per_s > 0.0 and self._buckets.take(endpoint_id, rate_per_s)
