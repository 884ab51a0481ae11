"""The lease on a roll-out: who may take it, and what its holder may still do."""

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
# A paused or complete roll-out makes no steps; renewing it as often as a running one
# would spread an object to all hosts every few seconds for days.
IDLE_LEASE_S = 60.0
IDLE_STATES = ("paused", "complete")


class LostHoldError(RouterError):
    """Another controller holds the roll-out."""


class LeaseWatch:
    """Time for which objects have not changed, on this process's monotonic clock."""

    __slots__ = ("_clock", "_seen")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, tuple[int, float]] = {}

    def unchanged_s(self, stored: StoredObject) -> float:
        """Return how long ``stored`` has been seen at its version."""
        now_s = self._clock.monotonic_s()
        version, since_s = self._seen.get(stored.key, (0, now_s))
        if version != stored.version:
            self._seen[stored.key] = (stored.version, now_s)
            return 0.0
        return now_s - since_s


def takeover_wait_s(
    rollout: RolloutObject,
    host_id: str,
    members: Sequence[RosterMember],
    *,
    lease_s: float,
    margin_s: float,
) -> float | None:
    """Return how long the object must be unchanged before ``host_id`` may take it.

    The first member by rendezvous hashing may take it at once after the lease; each
    next one waits one more lease, in case the first one's controller is down.

    Returns
    -------
    float or None
        None if ``host_id`` is not in the roster.
    """
    order = [
        member.host_id
        for member in ranked_members(PLACEMENT_KIND, rollout.key, members)
        if member.host_id != rollout.holder or member.host_id == host_id
    ]
    if host_id not in order:
        return None
    wait_s = order.index(host_id) * lease_s
    if rollout.holder:
        wait_s += rollout.lease_ms / 1000 + margin_s
    return wait_s


class Hold:
    """One roll-out held by this controller.

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
        Whether another holder's lease had run out before.
    """

    __slots__ = (
        "_clock",
        "_host_id",
        "_lease_s",
        "_platform",
        "_sent_s",
        "_written_lease_s",
        "rollout",
        "stored",
        "taken_over",
        "taken_s",
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
        self._keep(stored)
        self.taken_over = taken_over
        self.taken_s = clock.monotonic_s()
        self._host_id = host_id
        self._platform = platform
        self._clock = clock
        self._lease_s = lease_s
        self._sent_s = sent_s

    @property
    def valid(self) -> bool:
        """Whether the lease runs, counted from when its last write was sent."""
        return self._clock.monotonic_s() - self._sent_s < self._written_lease_s

    @property
    def renewal_due(self) -> bool:
        """Whether a third of the lease has passed."""
        # An operator's write changes the state but not the lease of the last renewal.
        lease_s = min(self._written_lease_s, self._present_lease_s(self.rollout))
        age_s = self._clock.monotonic_s() - self._sent_s
        return age_s >= lease_s / RENEWALS_PER_LEASE

    def follow(self, seen: StoredObject | None) -> None:
        """Take over a newer object that the router knows.

        Raises
        ------
        LostHoldError
            If another controller holds the roll-out.
        """
        if seen is not None and seen.version > self.stored.version:
            self._adopt(seen)

    async def write(self, **changes: Any) -> bool:
        """Write the roll-out with ``changes`` and renew the lease.

        Returns
        -------
        bool
            False if an operator wrote in between; nothing was written then.

        Raises
        ------
        LostHoldError
            If another controller holds the roll-out.
        PlatformError
            If the platform does not answer; the write may have taken effect.
        """
        changed = dataclasses.replace(self.rollout, **changes)
        value = dataclasses.replace(
            changed,
            lease_ms=int(self._present_lease_s(changed) * 1000),
            updated_wall_ms=self._clock.wall_ms(),
        ).to_value()
        sent_s = self._clock.monotonic_s()
        try:
            stored = await self._platform.put_settled(
                self.stored.key,
                value,
                expected_version=self.stored.version,
                write_id=new_write_id(self._host_id),
            )
        except ConflictError:
            await self._read_back()
            return False
        self._keep(stored)
        self._sent_s = sent_s
        return True

    async def _read_back(self) -> None:
        present = await self._platform.get(self.stored.key)
        if present is None:
            raise LostHoldError("the object is deleted", peer=self.stored.key)
        self._adopt(present)

    def _adopt(self, stored: StoredObject) -> None:
        rollout = rollout_from_value(stored.value, key=stored.key)
        if (rollout.holder, rollout.fence) != (self._host_id, self.rollout.fence):
            raise LostHoldError(
                f"held by {rollout.holder!r} with fence {rollout.fence}",
                step="hold",
                peer=stored.key,
            )
        self.stored = stored
        self.rollout = rollout

    def _keep(self, stored: StoredObject) -> None:
        self.stored = stored
        self.rollout = rollout_from_value(stored.value, key=stored.key)
        self._written_lease_s = self.rollout.lease_ms / 1000

    def _present_lease_s(self, rollout: RolloutObject) -> float:
        idle = rollout.state in IDLE_STATES
        return max(self._lease_s, IDLE_LEASE_S) if idle else self._lease_s


def new_write_id(host_id: str) -> str:
    """Return a unique write identifier that names the controller."""
    return f"controller-{host_id}/{uuid4().hex}"
