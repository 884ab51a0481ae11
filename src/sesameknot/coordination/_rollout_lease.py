"""Lease on a roll-out: which controller may acquire it, and until when it is valid."""

import dataclasses
from collections.abc import Sequence
from typing import Any
from uuid import uuid4

from sesameknot.clock import Clock
from sesameknot.coordination.ownership import ranked_members
from sesameknot.errors import ConflictError, RouterError
from sesameknot.protocol.objects import StoredObject
from sesameknot.protocol.rollout_object import RolloutObject, rollout_from_value
from sesameknot.protocol.roster import RosterMember
from sesameknot.transport.platform_client import PlatformClient

PLACEMENT_KIND = "rollout"
RENEWALS_PER_LEASE = 3
# A paused or complete roll-out does not advance. Renewing its lease as often as that of
# a running one would send an object to all hosts every few seconds for days.
IDLE_LEASE_S = 60.0
IDLE_STATES = ("paused", "complete")


class LeaseLostError(RouterError):
    """Another controller holds the roll-out."""


class UnchangedTimer:
    """Measures on the monotonic clock for how long objects have not changed."""

    __slots__ = ("_clock", "_seen")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, tuple[int, float]] = {}

    def unchanged_s(self, stored: StoredObject) -> float:
        """Return for how many seconds ``stored`` has had its current version."""
        now_s = self._clock.monotonic_s()
        version, unchanged_since_s = self._seen.get(stored.key, (0, now_s))
        if version != stored.version:
            self._seen[stored.key] = (stored.version, now_s)
            return 0.0
        return now_s - unchanged_since_s


def takeover_wait_s(
    rollout: RolloutObject,
    host_id: str,
    members: Sequence[RosterMember],
    *,
    lease_s: float,
    margin_s: float,
) -> float | None:
    """Return how long the object must be unchanged before ``host_id`` may acquire it.

    The member that ranks first by rendezvous hashing may acquire it as soon as the
    lease has expired. Each following member waits one more lease duration and takes
    over only if the controllers before it are down.

    Parameters
    ----------
    rollout : RolloutObject
        The roll-out as it is stored.
    host_id : str
        Host of the controller that wants to acquire it.
    members : sequence of RosterMember
        Members of the roster.
    lease_s : float
        Duration of a lease.
    margin_s : float
        Additional wait after the lease of another holder.

    Returns
    -------
    float or None
        Time in seconds; None if ``host_id`` is not in the roster.
    """
    ranking = [
        member.host_id
        for member in ranked_members(PLACEMENT_KIND, rollout.key, members)
        if member.host_id != rollout.holder or member.host_id == host_id
    ]
    if host_id not in ranking:
        return None
    wait_s = ranking.index(host_id) * lease_s
    if rollout.holder:
        wait_s += rollout.lease_ms / 1000 + margin_s
    return wait_s


class RolloutLease:
    """Lease of this controller on one roll-out.

    Parameters
    ----------
    stored : StoredObject
        The object as this controller wrote it.
    host_id : str
        Name of this host.
    platform : PlatformClient
        The object API.
    clock : Clock
        Source of time.
    lease_s : float
        Duration of the lease.
    sent_s : float
        Monotonic time at which the write of ``stored`` was sent.
    taken_over : bool
        Whether the roll-out had a holder before, whose lease expired.
    """

    __slots__ = (
        "_clock",
        "_host_id",
        "_lease_s",
        "_platform",
        "_sent_s",
        "_written_lease_s",
        "acquired_s",
        "rollout",
        "stored",
        "taken_over",
    )

    def __init__(
        self,
        stored: StoredObject,
        *,
        host_id: str,
        platform: PlatformClient,
        clock: Clock,
        lease_s: float,
        sent_s: float,
        taken_over: bool,
    ) -> None:
        self._set_written(stored)
        self.taken_over = taken_over
        self.acquired_s = clock.monotonic_s()
        self._host_id = host_id
        self._platform = platform
        self._clock = clock
        self._lease_s = lease_s
        self._sent_s = sent_s

    @property
    def valid(self) -> bool:
        """Whether the lease has not expired, counted from sending its last write."""
        return self._clock.monotonic_s() - self._sent_s < self._written_lease_s

    @property
    def renewal_due(self) -> bool:
        """Whether a third of the lease has passed."""
        # An operator's write may change the state without renewing the lease, so the
        # written duration and that of the state can differ.
        lease_s = min(self._written_lease_s, self._lease_duration_s(self.rollout))
        age_s = self._clock.monotonic_s() - self._sent_s
        return age_s >= lease_s / RENEWALS_PER_LEASE

    def adopt_newer(self, seen: StoredObject | None) -> None:
        """Adopt the router's version of the object if it is newer.

        Raises
        ------
        LeaseLostError
            If another controller holds the roll-out.
        """
        if seen is not None and seen.version > self.stored.version:
            self._adopt(seen)

    async def write(self, **changes: Any) -> bool:
        """Write the roll-out with ``changes`` and renew the lease.

        Parameters
        ----------
        **changes
            New values of fields of the roll-out.

        Returns
        -------
        bool
            False if an operator changed the object meanwhile; nothing was written then.

        Raises
        ------
        LeaseLostError
            If another controller holds the roll-out.
        PlatformError
            If the platform does not answer; the write may have taken effect.
        """
        rollout = dataclasses.replace(self.rollout, **changes)
        value = dataclasses.replace(
            rollout,
            lease_ms=int(self._lease_duration_s(rollout) * 1000),
            updated_wall_ms=self._clock.wall_ms(),
        ).to_value()
        sent_s = self._clock.monotonic_s()
        try:
            stored = await self._platform.put_with_read_back(
                self.stored.key,
                value,
                expected_version=self.stored.version,
                write_id=new_write_id(self._host_id),
            )
        except ConflictError:
            await self._reread()
            return False
        self._set_written(stored)
        self._sent_s = sent_s
        return True

    async def _reread(self) -> None:
        current = await self._platform.get(self.stored.key)
        if current is None:
            raise LeaseLostError("roll-out object is deleted", peer=self.stored.key)
        self._adopt(current)

    def _adopt(self, stored: StoredObject) -> None:
        rollout = rollout_from_value(stored.value, key=stored.key)
        if (rollout.holder, rollout.fence) != (self._host_id, self.rollout.fence):
            raise LeaseLostError(
                f"roll-out is held by {rollout.holder!r} with fence {rollout.fence}",
                step="hold",
                peer=stored.key,
            )
        self.stored = stored
        self.rollout = rollout

    def _set_written(self, stored: StoredObject) -> None:
        self.stored = stored
        self.rollout = rollout_from_value(stored.value, key=stored.key)
        self._written_lease_s = self.rollout.lease_ms / 1000

    def _lease_duration_s(self, rollout: RolloutObject) -> float:
        idle = rollout.state in IDLE_STATES
        return max(self._lease_s, IDLE_LEASE_S) if idle else self._lease_s


def new_write_id(host_id: str) -> str:
    """Return a unique identifier for a write, which contains the host's name."""
    return f"controller-{host_id}/{uuid4().hex}"
