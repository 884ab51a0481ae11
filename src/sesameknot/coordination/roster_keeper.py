"""The roster: read it from the object store and propose changes to it."""

import asyncio
import itertools
from collections.abc import Callable, Iterable

import numpy as np
import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._backoff import Backoff
from sesameknot.coordination._callbacks import notify
from sesameknot.coordination._majority import holds_majority
from sesameknot.coordination.freshness import Freshness, Verdict
from sesameknot.coordination.membership import Membership
from sesameknot.coordination.ownership import ranked_members
from sesameknot.errors import ConflictError, PlatformError, RouterError
from sesameknot.protocol.messages import MemberInfo
from sesameknot.protocol.objects import ROSTER_KEY, StoredObject
from sesameknot.protocol.roster import Roster, RosterMember, roster_from_value
from sesameknot.settings.process import RouterSettings
from sesameknot.state.member_table import MemberState
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.platform_client import PlatformClient

# The next host in rank proposes once a change is due for this long, so that a
# proposer without a link to the platform does not freeze the roster.
PROPOSER_PATIENCE_S = 5.0

# A roster member that membership does not know is removed after this time: the
# proposer may have joined only now, or the host died before the proposer started.
UNKNOWN_GRACE_S = 10.0

RosterCallback = Callable[[Roster], None]
Publish = Callable[[Iterable[StoredObject]], None]

log = structlog.get_logger(__name__)


class RosterKeeper:
    """Hold the present roster and change it when this host is the proposer.

    Parameters
    ----------
    settings : RouterSettings
        Identity and timing of this host.
    store : ObjectStore
        Holds the roster object.
    platform : PlatformClient
        Client of the platform.
    membership : Membership
        Tells which hosts are alive, leaving or dead.
    freshness : Freshness
        Tells whether the roster held is recent.
    clock : Clock
        Source of monotonic time.
    random_state : numpy.random.Generator
        Source of jitter.
    publish : callable
        Takes objects that this host wrote, to push them to peers.
    """

    def __init__(
        self,
        settings: RouterSettings,
        store: ObjectStore,
        platform: PlatformClient,
        membership: Membership,
        freshness: Freshness,
        *,
        clock: Clock,
        random_state: np.random.Generator,
        publish: Publish,
    ) -> None:
        self.settings = settings
        self.random_state = random_state
        self.publish = publish
        self._store = store
        self._platform = platform
        self._membership = membership
        self._freshness = freshness
        self._clock = clock
        self._backoff = Backoff(random_state, first_s=0.5, limit_s=5.0)
        self._roster = Roster()
        self._held_version = 0
        self._changed_s = clock.monotonic_s()
        self._due_since_s: float | None = None
        self._unknown_since_s: dict[str, float] = {}
        self._write_numbers = itertools.count(1)
        self._callbacks: list[RosterCallback] = []
        store.subscribe(ROSTER_KEY, self._take)

    @property
    def roster(self) -> Roster:
        """The last well-formed roster; version 0 and no members before the first."""
        return self._roster

    def subscribe(self, callback: RosterCallback) -> None:
        """Call ``callback`` with each new roster."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Propose changes until cancelled."""
        while True:
            pause_s = self.settings.timing.roster_change_s
            try:
                await self.step()
                self._backoff.reset()
            except PlatformError as error:
                pause_s += self._backoff.next_s()
                log.warning("roster_unchanged", step=error.step, reason=error.message)
            except Exception:
                pause_s += self._backoff.next_s()
                log.exception("roster_step_failed")
            await asyncio.sleep(pause_s)

    async def step(self) -> bool:
        """Change the roster if a change is due and this host's turn has come.

        Returns
        -------
        bool
            Whether the roster was changed.

        Raises
        ------
        PlatformError
            If the platform cannot be reached.
        """
        members = self._wanted()
        if set(members) == set(self._roster.members) or not members:
            self._due_since_s = None
            return False
        now_s = self._clock.monotonic_s()
        if self._due_since_s is None:
            self._due_since_s = now_s
        if not self._may_propose(now_s - self._due_since_s):
            return False
        return await self._propose(members)

    def _wanted(self) -> list[RosterMember]:
        wanted = {m.host_id: m for m in map(_roster_member, self._alive())}
        for member in self._roster.members:
            if member.host_id not in wanted and self._stays(member):
                wanted[member.host_id] = member
        return sorted(wanted.values(), key=lambda member: member.host_id)

    def _alive(self) -> list[MemberInfo]:
        live = self._membership.live()
        return [member for member in live if member.state == MemberState.ALIVE]

    def _stays(self, member: RosterMember) -> bool:
        """Return whether a roster member that is not alive keeps its place."""
        host_id = member.host_id
        known = self._membership.member(host_id)
        if known is not None:
            self._unknown_since_s.pop(host_id, None)
            return known.state == MemberState.SUSPECT
        now_s = self._clock.monotonic_s()
        since_s = self._unknown_since_s.setdefault(host_id, now_s)
        return now_s - since_s < UNKNOWN_GRACE_S

    def _may_propose(self, due_s: float) -> bool:
        own_id = self.settings.host_id
        alive = self._alive()
        order = [m.host_id for m in ranked_members("proposer", ROSTER_KEY, alive)]
        if own_id not in order:
            return False
        if due_s < order.index(own_id) * PROPOSER_PATIENCE_S:
            return False
        since_change_s = self._clock.monotonic_s() - self._changed_s
        if since_change_s < self.settings.timing.roster_change_s:
            return False
        if self._freshness.verdict() is not Verdict.FRESH:
            return False
        roster_ids = [member.host_id for member in self._roster.members]
        # A restarted host counts by its id: were it on the other side of a
        # partition, it would not be in sight.
        return not roster_ids or holds_majority(roster_ids, set(order))

    async def _propose(self, members: list[RosterMember]) -> bool:
        present = self._roster
        roster = Roster(
            members=tuple(members),
            previous=present.members,
            previous_version=present.version,
        )
        own = self._membership.self_info
        write_id = f"{own.host_id}.{own.incarnation}.{next(self._write_numbers)}"
        try:
            stored = await self._platform.put_settled(
                ROSTER_KEY,
                roster.to_value(),
                expected_version=present.version,
                write_id=write_id,
            )
        except ConflictError as error:
            log.info("roster_conflict", version=error.version)
            await self._reload()
            return False
        log.info("roster_changed", version=stored.version, hosts=len(members))
        self.publish([stored])
        return True

    async def _reload(self) -> None:
        stored = await self._platform.get(ROSTER_KEY)
        if stored is not None:
            self._store.merge([stored])

    def _take(self, objects: list[StoredObject]) -> None:
        for stored in objects:
            if stored.key != ROSTER_KEY or stored.version <= self._held_version:
                continue
            self._held_version = stored.version
            try:
                roster = (
                    Roster()
                    if stored.deleted
                    else roster_from_value(stored.value, stored.version)
                )
            except RouterError as error:
                log.warning("roster_malformed", reason=error.message)
                continue
            self._roster = roster
            self._changed_s = self._clock.monotonic_s()
            self._due_since_s = None
            self._unknown_since_s.clear()
            notify(self._callbacks, roster)


def _roster_member(member: MemberInfo) -> RosterMember:
    return RosterMember(
        host_id=member.host_id,
        incarnation=member.incarnation,
        address=member.address,
        region=member.region,
        domain=member.domain,
    )
