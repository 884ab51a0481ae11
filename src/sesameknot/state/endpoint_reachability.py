"""Whether this host can open connections to the endpoints of each service."""

import structlog

# Endpoints in a row that accept no connection before this host suspects its own link.
# A service with fewer of them is suspected once none accepts one.
FAILED_LIMIT_COUNT = 3

log = structlog.get_logger(__name__)


class EndpointReachability:
    """Results of this host's connection attempts, by service.

    A service is unreachable from the failure of several endpoints in a row until any of
    its endpoints accepts a connection.
    """

    __slots__ = ("_failed_ids", "_unreachable")

    def __init__(self) -> None:
        self._failed_ids: dict[str, set[str]] = {}
        self._unreachable: set[str] = set()

    @property
    def unreachable_services(self) -> frozenset[str]:
        """Services of which this host reaches no endpoint."""
        return frozenset(self._unreachable)

    def is_unreachable(self, service: str) -> bool:
        """Return whether this host reaches no endpoint of ``service``."""
        return service in self._unreachable

    def record_connected(self, service: str, *, endpoint_id: str) -> None:
        """Record that an endpoint of ``service`` accepted a connection."""
        self._failed_ids.pop(service, None)
        if service in self._unreachable:
            self._unreachable.discard(service)
            log.info("endpoints_reachable", service=service, endpoint=endpoint_id)

    def record_failure(
        self, service: str, *, endpoint_id: str, usable_count: int
    ) -> None:
        """Record that an endpoint accepted no connection.

        Parameters
        ----------
        usable_count : int
            Number of the service's endpoints that requests may be sent to.
        """
        failed_ids = self._failed_ids.setdefault(service, set())
        failed_ids.add(endpoint_id)
        if len(failed_ids) < min(FAILED_LIMIT_COUNT, max(1, usable_count)):
            return
        if service not in self._unreachable:
            self._unreachable.add(service)
            log.warning(
                "endpoints_unreachable", service=service, endpoints=sorted(failed_ids)
            )
