"""Slots at warm endpoints whose owner is unavailable."""

from collections.abc import Callable

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.grant_owner import GrantOwner, earliest_sample_s
from sesameknot.errors import RouterError
from sesameknot.protocol.roster import Roster
from sesameknot.state.endpoint_table import EndpointTable

# Above this age of the state each router has at most one request in flight, so that an
# endpoint that turned cold gets no more than one from each.
FULL_COUNT_STATE_AGE_S = 1.0
# Above this age of the state nothing is sent: an endpoint that starts leaving must get
# no new requests after 3 s.
STATE_AGE_LIMIT_S = 2.0

log = structlog.get_logger(__name__)


class FallbackSlots:
    """Limit requests without a grant by the age of the endpoint's state.

    Parameters
    ----------
    grant_owner : GrantOwner
        Grant owner of this host; its poll function is used to refresh the state.
    table : EndpointTable
        States of the endpoints.
    roster : callable
        Returns the newest roster that this host knows.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        grant_owner: GrantOwner,
        *,
        table: EndpointTable,
        roster: Callable[[], Roster],
        clock: Clock,
    ) -> None:
        self.grant_owner = grant_owner
        self.table = table
        self.roster = roster
        self._clock = clock
        self._polling: set[str] = set()

    def slot_count(self, endpoint_id: str) -> int:
        """Return how many requests may be in flight if the endpoint is warm.

        With a recent state this is an equal part of the capacity for each router.
        """
        spec = self.table.spec(endpoint_id)
        age_s = self.table.state_age_s(endpoint_id)
        if spec is None or age_s > STATE_AGE_LIMIT_S:
            return 0
        if age_s > FULL_COUNT_STATE_AGE_S:
            return 1
        return max(1, spec.capacity_count // max(1, len(self.roster().members)))

    async def refresh(self, endpoint_id: str) -> None:
        """Poll the endpoint if its state is too old for the full count."""
        spec = self.table.spec(endpoint_id)
        if spec is None or endpoint_id in self._polling:
            return
        if self.table.state_age_s(endpoint_id) <= FULL_COUNT_STATE_AGE_S:
            return
        self._polling.add(endpoint_id)
        started_s = self._clock.monotonic_s()
        try:
            report = await self.grant_owner.poll(endpoint_id, spec.url)
        except RouterError as error:
            log.debug("endpoint_poll_failed", endpoint=endpoint_id, reason=str(error))
        else:
            self.table.record_report(
                report, as_of_s=earliest_sample_s(report, started_s)
            )
        finally:
            self._polling.discard(endpoint_id)
