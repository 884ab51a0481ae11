"""SWIM-style membership: failure detection and dissemination of host states.

References
----------
.. [1] A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
   infection-style process group membership protocol", DSN 2002.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import numpy as np
import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._callbacks import notify
from sesameknot.coordination._gossip import GossipBuffer
from sesameknot.coordination._ping_content import PeerObservation, PingProviders
from sesameknot.coordination._sampling import sample
from sesameknot.coordination._suspicion import SuspicionTimers
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    Ack,
    IndirectAck,
    IndirectPing,
    MemberInfo,
    MembersReply,
    MembersRequest,
    Ping,
)
from sesameknot.settings.process import RouterSettings
from sesameknot.state.member_table import (
    LIVE_STATES,
    MemberState,
    MemberTable,
    precedence,
)
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer

# With fewer peers than this, three pings per heartbeat detect a failure in about 1 s.
SMALL_FLEET_LIMIT_COUNT = 9
SMALL_FLEET_PING_COUNT = 3
INDIRECT_PING_COUNT = 2
LEAVE_PEER_LIMIT_COUNT = 8
ANNOUNCE_PEER_LIMIT_COUNT = 27
ISOLATED_JOIN_COUNT = 8

# Long enough for a paused host to learn on resuming that it was declared dead.
DEAD_RETENTION_S = 60.0

# Interval at which dead and unknown hosts are contacted, to recover from a partition.
RECONNECT_S = 5.0

# Interval of full table reads; longer in a large fleet, as 380 records are about 40 KB.
TABLE_SYNC_S = 10.0
TABLE_SYNC_S_PER_HOST = 0.25

MemberCallback = Callable[[MemberInfo], None]
ObservationCallback = Callable[[PeerObservation], None]

log = structlog.get_logger(__name__)


class Membership:
    """Detect failed hosts and disseminate the states of all hosts.

    Parameters
    ----------
    settings : RouterSettings
        Identity, addresses, seeds and timing of this host.
    client : PeerClient
        Client for calls to peers.
    clock : Clock
        Source of time.
    random_state : numpy.random.Generator
        Source of the random choice of peers.
    providers : PingProviders or None, default=None
        Sources of the values that pings and acks carry besides member updates.
    """

    def __init__(
        self,
        settings: RouterSettings,
        client: PeerClient,
        *,
        clock: Clock,
        random_state: np.random.Generator,
        providers: PingProviders | None = None,
    ) -> None:
        self.settings = settings
        self.random_state = random_state
        self.providers = providers or PingProviders()
        self._client = client
        self._clock = clock
        self._table = MemberTable()
        self._gossip = GossipBuffer()
        self._own_record = MemberInfo(
            host_id=settings.host_id,
            address=settings.peer_address,
            http_address=settings.http_address,
            region=settings.region,
            domain=settings.domain,
            incarnation=clock.wall_ms(),
            state=MemberState.ALIVE,
        )
        self._join_addresses: set[str] = set(settings.seeds)
        self._probe_queue: list[str] = []
        self._timers = SuspicionTimers(
            clock,
            heartbeat_s=settings.timing.heartbeat_s,
            suspicion_s=settings.timing.suspicion_s,
            retention_s=DEAD_RETENTION_S,
        )
        self._member_callbacks: list[MemberCallback] = []
        self._observation_callbacks: list[ObservationCallback] = []
        self._background = BackgroundTasks()

    @property
    def self_info(self) -> MemberInfo:
        """Record of this host."""
        return self._own_record

    def live(self) -> list[MemberInfo]:
        """Return the alive and suspect hosts, with this one unless it is leaving."""
        own = [self._own_record] if self._own_record.state in LIVE_STATES else []
        return own + self._table.in_state(LIVE_STATES)

    def member(self, host_id: str) -> MemberInfo | None:
        """Return the record of ``host_id`` in any state, or None if unknown."""
        if host_id == self._own_record.host_id:
            return self._own_record
        return self._table.get(host_id)

    def subscribe(self, callback: MemberCallback) -> None:
        """Call ``callback`` with each changed record."""
        self._member_callbacks.append(callback)

    def on_observation(self, callback: ObservationCallback) -> None:
        """Call ``callback`` with the observation of each received ping and ack."""
        self._observation_callbacks.append(callback)

    def set_discovered_addresses(self, addresses: Iterable[str]) -> None:
        """Replace the addresses that are contacted besides the seeds."""
        self._join_addresses = set(self.settings.seeds) | set(addresses)

    def register(self, server: PeerServer) -> None:
        """Register the handlers of the membership messages."""
        server.handle(Ping)(self._handle_ping)
        server.handle(IndirectPing)(self._handle_indirect_ping)
        server.handle(MembersRequest)(self._handle_members_request)

    async def run(self) -> None:
        """Join the fleet and probe peers until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._probe_loop())
                group.create_task(self._reconnect_loop())
                group.create_task(self._table_sync_loop())
        finally:
            self._background.cancel()

    async def leave(self) -> int:
        """Announce that this host is leaving; return the number of acks."""
        self._update_own_record(
            sequence=self._own_record.sequence + 1, state=MemberState.LEAVING.value
        )
        return await self._announce(LEAVE_PEER_LIMIT_COUNT)

    async def announce(self) -> int:
        """Ping all peers, or a sample of a large fleet; return the number of acks.

        In a large fleet, heartbeats disseminate the updates to the remaining hosts.
        """
        return await self._announce(ANNOUNCE_PEER_LIMIT_COUNT)

    async def _announce(self, limit_count: int) -> int:
        peers = self._table.in_state(LIVE_STATES)
        targets = sample(self.random_state, peers, limit_count)
        acks = await asyncio.gather(*(self._ping(m.address) for m in targets))
        return sum(ack is not None for ack in acks)

    async def _probe_loop(self) -> None:
        while True:
            self._run_heartbeat()
            await asyncio.sleep(self.settings.timing.heartbeat_s)

    def _run_heartbeat(self) -> None:
        self._apply_timeouts()
        peer_count = len(self._table)
        for _ in range(
            min(peer_count, SMALL_FLEET_PING_COUNT)
            if peer_count < SMALL_FLEET_LIMIT_COUNT
            else 1
        ):
            target = self._next_target()
            if target is not None:
                self._background.spawn(self._probe(target))
        self._client.close_idle()

    def _next_target(self) -> MemberInfo | None:
        # Probing in a shuffled round bounds the time until each host is probed;
        # independent random choices leave some hosts unprobed for many heartbeats.
        for _ in range(2):
            while self._probe_queue:
                member = self._table.get(self._probe_queue.pop())
                if member is not None and member.state != MemberState.DEAD:
                    return member
            host_ids = [member.host_id for member in self._table.members()]
            order = self.random_state.permutation(len(host_ids))
            self._probe_queue = [host_ids[index] for index in order]
        return None

    async def _probe(self, member: MemberInfo) -> None:
        ack = await self._ping(member.address, member)
        if ack is not None and ack.member.host_id == member.host_id:
            entry = self._table.get(member.host_id)
            if entry is not None and entry.state == MemberState.LEAVING:
                self._timers.clear(entry.host_id)
            return
        if not await self._ping_indirectly(member):
            self._mark_suspect(member)

    def _mark_suspect(self, member: MemberInfo) -> None:
        entry = self._table.get(member.host_id)
        if entry is None or precedence(entry) != precedence(member):
            return
        if entry.state == MemberState.ALIVE:
            log.info(
                "member_suspect", peer=entry.host_id, incarnation=entry.incarnation
            )
            self._merge_update(replace(entry, state=MemberState.SUSPECT.value))
        else:
            self._timers.start_suspicion(entry.host_id)

    def _apply_timeouts(self) -> None:
        self._timers.tick()
        for host_id in self._timers.expired_suspects():
            member = self._table.get(host_id)
            self._timers.clear(host_id)
            if member is not None:
                log.info("member_dead", peer=host_id, incarnation=member.incarnation)
                self._merge_update(replace(member, state=MemberState.DEAD.value))
        for host_id in self._timers.pop_expired_dead():
            self._table.remove(host_id)

    async def _ping(self, address: str, target: MemberInfo | None = None) -> Ack | None:
        ping = Ping(**self._ping_content(target.host_id if target else ""))
        sent_s = self._clock.monotonic_s()
        timeout_s = self.settings.timing.ping_timeout_s
        try:
            ack = await self._client.call(
                address, ping, expect=Ack, timeout_s=timeout_s
            )
        except RouterError:
            return None
        self._process_content(ack, sent_s)
        return ack

    async def _ping_indirectly(self, member: MemberInfo) -> bool:
        peers = self._table.in_state([MemberState.ALIVE])
        helpers = [peer for peer in peers if peer.host_id != member.host_id]
        request = IndirectPing(
            target_host_id=member.host_id, target_address=member.address
        )
        chosen = sample(self.random_state, helpers, INDIRECT_PING_COUNT)
        results = await asyncio.gather(*(self._ask_helper(m, request) for m in chosen))
        return any(results)

    async def _ask_helper(self, helper: MemberInfo, request: IndirectPing) -> bool:
        # One ping timeout for the helper's own ping, the rest for the round trip to it.
        timeout_s = 1.5 * self.settings.timing.ping_timeout_s
        try:
            reply = await self._client.call(
                helper.address, request, expect=IndirectAck, timeout_s=timeout_s
            )
        except RouterError:
            return False
        return reply.reached

    def _ping_content(self, receiver_id: str) -> dict[str, Any]:
        updates = self._gossip.next_updates(len(self._table) + 1)
        entry = self._table.get(receiver_id)
        if entry is not None and entry.state != MemberState.ALIVE:
            # The receiver can refute a suspicion or its death only if it is told of it.
            updates.append(entry)
        return {
            "member": self._own_record,
            "updates": updates,
            "digest": self.providers.digest(),
            "config_age_ms": self.providers.config_age_ms(),
            "crashes": self.providers.crash_counts(),
        }

    async def _handle_ping(self, ping: Ping) -> Ack:
        self._process_content(ping, None)
        return Ack(**self._ping_content(ping.member.host_id))

    async def _handle_indirect_ping(self, request: IndirectPing) -> IndirectAck:
        ack = await self._ping(request.target_address)
        return IndirectAck(
            reached=ack is not None and ack.member.host_id == request.target_host_id
        )

    async def _handle_members_request(self, request: MembersRequest) -> MembersReply:
        return MembersReply(
            members=[self._own_record, *self._table.members()],
            config_age_ms=self.providers.config_age_ms(),
        )

    def _process_content(self, content: Ping | Ack, sent_s: float | None) -> None:
        self._merge_update(content.member)
        for update in content.updates:
            self._merge_update(update)
        observation = PeerObservation(
            host_id=content.member.host_id,
            address=content.member.address,
            digest=content.digest,
            config_age_ms=content.config_age_ms,
            sent_s=sent_s,
            crashes=content.crashes,
        )
        notify(self._observation_callbacks, observation)

    def _merge_update(self, member: MemberInfo) -> None:
        if member.host_id == self._own_record.host_id:
            self._refute(member)
        elif self._table.merge(member):
            self._update_timers(member)
            self._gossip.add(member)
            self._notify(member)

    def _update_timers(self, member: MemberInfo) -> None:
        host_id = member.host_id
        self._timers.clear(host_id)
        if member.state == MemberState.SUSPECT:
            self._timers.start_suspicion(host_id)
        elif member.state == MemberState.DEAD:
            self._timers.start_retention(host_id)

    def _refute(self, member: MemberInfo) -> None:
        own = self._own_record
        if member.incarnation > own.incarnation:
            log.warning("incarnation_raised", reported=member.incarnation)
            self._update_own_record(incarnation=member.incarnation + 1, sequence=0)
        elif precedence(member) > precedence(own):
            self._update_own_record(sequence=member.sequence + 1)

    def _update_own_record(self, **changes: Any) -> None:
        self._own_record = replace(self._own_record, **changes)
        self._gossip.add(self._own_record)
        self._notify(self._own_record)

    def _notify(self, member: MemberInfo) -> None:
        notify(self._member_callbacks, member)

    # Joining and table synchronisation

    async def _reconnect_loop(self) -> None:
        while True:
            isolated = not self._table.in_state(LIVE_STATES)
            count = ISOLATED_JOIN_COUNT if isolated else 1
            pause_s = self.settings.timing.heartbeat_s if isolated else RECONNECT_S
            addresses = sample(self.random_state, self._missing_addresses(), count)
            await asyncio.gather(*(self._contact(address) for address in addresses))
            await asyncio.sleep(pause_s)

    def _missing_addresses(self) -> list[str]:
        dead_addresses = [m.address for m in self._table.in_state([MemberState.DEAD])]
        joined = {m.address for m in self._table.members()} - set(dead_addresses)
        joined.add(self._own_record.address)
        return sorted((self._join_addresses | set(dead_addresses)) - joined)

    async def _contact(self, address: str) -> None:
        members = [m for m in self._table.members() if m.address == address]
        if await self._ping(address, members[0] if members else None) is not None:
            await self._sync_table(address)

    async def _table_sync_loop(self) -> None:
        while True:
            peer_count = len(self._table)
            interval_s = max(TABLE_SYNC_S, TABLE_SYNC_S_PER_HOST * peer_count)
            await asyncio.sleep(interval_s * self.random_state.uniform(0.75, 1.25))
            for peer in sample(
                self.random_state, self._table.in_state([MemberState.ALIVE]), 1
            ):
                await self._sync_table(peer.address)

    async def _sync_table(self, address: str) -> None:
        request = MembersRequest(requester=self._own_record.host_id)
        try:
            reply = await self._client.call(address, request, expect=MembersReply)
        except RouterError as error:
            log.debug("member_table_sync_failed", peer=address, reason=str(error))
            return
        for member in reply.members:
            self._merge_update(member)
