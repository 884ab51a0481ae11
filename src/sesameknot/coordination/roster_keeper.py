"""The current roster, read from the object store, and proposals to change it."""

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

# Each host in rank order gets this time to propose a due change before the next one may
# propose too, so that a proposer without a link to the platform does not block changes.
PROPOSER_TURN_S = 5.0

# A roster member that membership does not know is removed after this time. The delay
# gives a proposer that has just joined time to learn of it; a host that died before the
# proposer started never becomes known.
UNKNOWN_MEMBER_GRACE_S = 10.0

RosterCallback = Callable[[Roster], None]
Publish = Callable[[Iterable[StoredObject]], None]

log = structlog.get_logger(__name__)


class RosterKeeper:
    """Provide the current roster and change it when this host is the proposer.

    Parameters
    ----------
    settings : RouterSettings
        Identity and timing of this host.
    store : ObjectStore
        Store of the roster object.
    platform : PlatformClient
        Client that reads and writes the roster object.
    membership : Membership
        States of the hosts that this host knows.
    freshness : Freshness
        Verdict on whether the configuration, and so the roster, is recent.
    clock : Clock
        Source of monotonic time.
    random_state : numpy.random.Generator
        Source of jitter.
    publish : callable
        Pushes objects that this host wrote to peers.
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
        self._seen_version = 0
        self._roster_changed_s = clock.monotonic_s()
        self._change_due_since_s: float | None = None
        self._unknown_since_s: dict[str, float] = {}
        self._write_numbers = itertools.count(1)
        self._callbacks: list[RosterCallback] = []
        store.subscribe(ROSTER_KEY, self._apply_objects)

    @property
    def roster(self) -> Roster:
        """The last valid roster; version 0 without members before the first one."""
        return self._roster

    def subscribe(self, callback: RosterCallback) -> None:
        """Call ``callback`` with each new roster."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Propose changes until cancelled."""
        while True:
            pause_s = self.settings.timing.roster_change_s
            try:
                await self.propose_if_due()
                self._backoff.reset()
            except PlatformError as error:
                pause_s += self._backoff.next_s()
                log.warning(
                    "roster_proposal_failed", step=error.step, reason=error.message
                )
            except Exception:
                pause_s += self._backoff.next_s()
                log.exception("roster_proposal_error")
            await asyncio.sleep(pause_s)

    async def propose_if_due(self) -> bool:
        """Change the roster if a change is due and it is this host's turn to propose.

        Returns
        -------
        bool
            Whether the roster was changed.

        Raises
        ------
        PlatformError
            If the platform cannot be reached.
        """
        members = self._target_members()
        if set(members) == set(self._roster.members) or not members:
            self._change_due_since_s = None
            return False
        now_s = self._clock.monotonic_s()
        if self._change_due_since_s is None:
            self._change_due_since_s = now_s
        if not self._may_propose(now_s - self._change_due_since_s):
            return False
        return await self._propose(members)

    def _target_members(self) -> list[RosterMember]:
        target = {m.host_id: m for m in map(_roster_member, self._alive_members())}
        for member in self._roster.members:
            if member.host_id not in target and self._is_retained(member):
                target[member.host_id] = member
        return sorted(target.values(), key=lambda member: member.host_id)

    def _alive_members(self) -> list[MemberInfo]:
        live = self._membership.live()
        return [member for member in live if member.state == MemberState.ALIVE]

    def _is_retained(self, member: RosterMember) -> bool:
        """Return whether a roster member that is not alive stays in the roster."""
        host_id = member.host_id
        info = self._membership.member(host_id)
        if info is not None:
            self._unknown_since_s.pop(host_id, None)
            return info.state == MemberState.SUSPECT
        now_s = self._clock.monotonic_s()
        since_s = self._unknown_since_s.setdefault(host_id, now_s)
        return now_s - since_s < UNKNOWN_MEMBER_GRACE_S

    def _may_propose(self, due_s: float) -> bool:
        own_id = self.settings.host_id
        alive = self._alive_members()
        ranked_ids = [m.host_id for m in ranked_members("proposer", ROSTER_KEY, alive)]
        if own_id not in ranked_ids:
            return False
        if due_s < ranked_ids.index(own_id) * PROPOSER_TURN_S:
            return False
        since_change_s = self._clock.monotonic_s() - self._roster_changed_s
        if since_change_s < self.settings.timing.roster_change_s:
            return False
        if self._freshness.verdict() is not Verdict.FRESH:
            return False
        roster_ids = [member.host_id for member in self._roster.members]
        # Compared by host id, so that a restarted host counts: as it is visible, it is
        # not on the other side of a partition.
        return not roster_ids or holds_majority(roster_ids, set(ranked_ids))

    async def _propose(self, members: list[RosterMember]) -> bool:
        current = self._roster
        roster = Roster(
            members=tuple(members),
            previous=current.members,
            previous_version=current.version,
        )
        own = self._membership.self_info
        write_id = f"{own.host_id}.{own.incarnation}.{next(self._write_numbers)}"
        try:
            stored = await self._platform.put_with_read_back(
                ROSTER_KEY,
                roster.to_value(),
                expected_version=current.version,
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

    def _apply_objects(self, objects: list[StoredObject]) -> None:
        for stored in objects:
            if stored.key != ROSTER_KEY or stored.version <= self._seen_version:
                continue
            self._seen_version = stored.version
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
            self._roster_changed_s = self._clock.monotonic_s()
            self._change_due_since_s = None
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
