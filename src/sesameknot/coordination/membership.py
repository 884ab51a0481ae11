"""SWIM-style membership: which hosts are alive.

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

# Up to this many hosts, three pings per heartbeat detect a failure in about a second.
FEW_HOSTS = 9
PINGS_FEW_HOSTS = 3
INDIRECT_PINGS = 2
LEAVE_ANNOUNCEMENTS = 8
ANNOUNCEMENT_LIMIT = 27
CONTACTS_ALONE = 8

# A dead host is remembered so long that a paused one learns of its death on waking.
DEAD_RETENTION_S = 60.0

# Interval at which hosts that are not live are tried again, to heal a partition.
RECONNECT_S = 5.0

# Full tables are exchanged at this interval, and less often in a large fleet: 380
# records are about 40 KB.
TABLE_SYNC_S = 10.0
TABLE_SYNC_S_PER_HOST = 0.25

MemberCallback = Callable[[MemberInfo], None]
ObservationCallback = Callable[[PeerObservation], None]

log = structlog.get_logger(__name__)


class Membership:
    """Detect failed hosts and tell others of them.

    Parameters
    ----------
    settings : RouterSettings
        Identity, addresses, seeds and timing of this host.
    client : PeerClient
        Client for calls to peers.
    clock : Clock
        Source of time.
    random_state : numpy.random.Generator
        Chooses the peers to ping.
    providers : PingProviders or None, default=None
        Sources of what pings carry besides member updates.
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
        self._self = MemberInfo(
            host_id=settings.host_id,
            address=settings.peer_address,
            http_address=settings.http_address,
            region=settings.region,
            domain=settings.domain,
            incarnation=clock.wall_ms(),
            state=MemberState.ALIVE,
        )
        self._candidates: set[str] = set(settings.seeds)
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
        return self._self

    def live(self) -> list[MemberInfo]:
        """Return alive and suspect hosts; this host too, unless it is leaving."""
        own = [self._self] if self._self.state in LIVE_STATES else []
        return own + self._table.in_state(LIVE_STATES)

    def member(self, host_id: str) -> MemberInfo | None:
        """Return the record of ``host_id`` in whatever state, or None."""
        if host_id == self._self.host_id:
            return self._self
        return self._table.get(host_id)

    def subscribe(self, callback: MemberCallback) -> None:
        """Call ``callback`` with each record that changes."""
        self._member_callbacks.append(callback)

    def on_observation(self, callback: ObservationCallback) -> None:
        """Call ``callback`` with what each ping and answer tells about a peer."""
        self._observation_callbacks.append(callback)

    def join(self, addresses: Iterable[str]) -> None:
        """Add peer addresses to try, for example from the platform's host list."""
        self._candidates = set(self.settings.seeds) | set(addresses)

    def register(self, server: PeerServer) -> None:
        """Install the handlers of the membership messages."""
        server.handle(Ping)(self._handle_ping)
        server.handle(IndirectPing)(self._handle_indirect_ping)
        server.handle(MembersRequest)(self._handle_members_request)

    async def run(self) -> None:
        """Join and probe until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._probe_loop())
                group.create_task(self._reconnect_loop())
                group.create_task(self._table_sync_loop())
        finally:
            self._background.cancel()

    async def leave(self) -> int:
        """Announce that this host leaves; return how many peers acknowledged."""
        self._change_self(
            sequence=self._self.sequence + 1, state=MemberState.LEAVING.value
        )
        return await self._announce(LEAVE_ANNOUNCEMENTS)

    async def announce(self) -> int:
        """Send what pings carry to peers now; return how many acknowledged.

        All peers of a small deployment are told, and some of a large fleet, from
        which the news spreads with the heartbeats.
        """
        return await self._announce(ANNOUNCEMENT_LIMIT)

    async def _announce(self, limit: int) -> int:
        peers = self._table.in_state(LIVE_STATES)
        chosen = sample(self.random_state, peers, limit)
        answers = await asyncio.gather(*(self._ping(m.address) for m in chosen))
        return sum(answer is not None for answer in answers)

    async def _probe_loop(self) -> None:
        while True:
            self._beat()
            await asyncio.sleep(self.settings.timing.heartbeat_s)

    def _beat(self) -> None:
        self._expire()
        known = len(self._table)
        for _ in range(min(known, PINGS_FEW_HOSTS) if known < FEW_HOSTS else 1):
            target = self._next_target()
            if target is not None:
                self._background.spawn(self._probe(target))
        self._client.close_idle()

    def _next_target(self) -> MemberInfo | None:
        # A shuffled round bounds the time until each host is probed; independent
        # random choices leave some hosts unprobed for many heartbeats.
        for _ in range(2):
            while self._probe_queue:
                member = self._table.get(self._probe_queue.pop())
                if member is not None and member.state != MemberState.DEAD:
                    return member
            hosts = [member.host_id for member in self._table.members()]
            order = self.random_state.permutation(len(hosts))
            self._probe_queue = [hosts[index] for index in order]
        return None

    async def _probe(self, member: MemberInfo) -> None:
        ack = await self._ping(member.address, member)
        if ack is not None and ack.member.host_id == member.host_id:
            held = self._table.get(member.host_id)
            if held is not None and held.state == MemberState.LEAVING:
                self._timers.clear(held.host_id)
            return
        if not await self._ping_indirectly(member):
            self._suspect(member)

    def _suspect(self, member: MemberInfo) -> None:
        held = self._table.get(member.host_id)
        if held is None or precedence(held) != precedence(member):
            return
        if held.state == MemberState.ALIVE:
            log.info("member_suspect", peer=held.host_id, incarnation=held.incarnation)
            self._learn(replace(held, state=MemberState.SUSPECT.value))
        else:
            self._timers.start(held.host_id)

    def _expire(self) -> None:
        self._timers.tick()
        for host_id in self._timers.overdue():
            member = self._table.get(host_id)
            self._timers.clear(host_id)
            if member is not None:
                log.info("member_dead", peer=host_id, incarnation=member.incarnation)
                self._learn(replace(member, state=MemberState.DEAD.value))
        for host_id in self._timers.take_forgettable():
            self._table.forget(host_id)

    async def _ping(self, address: str, target: MemberInfo | None = None) -> Ack | None:
        ping = Ping(**self._content(target.host_id if target else ""))
        sent_s = self._clock.monotonic_s()
        timeout_s = self.settings.timing.ping_timeout_s
        try:
            ack = await self._client.call(
                address, ping, expect=Ack, timeout_s=timeout_s
            )
        except RouterError:
            return None
        self._take(ack, sent_s)
        return ack

    async def _ping_indirectly(self, member: MemberInfo) -> bool:
        peers = self._table.in_state([MemberState.ALIVE])
        helpers = [peer for peer in peers if peer.host_id != member.host_id]
        request = IndirectPing(
            target_host_id=member.host_id, target_address=member.address
        )
        chosen = sample(self.random_state, helpers, INDIRECT_PINGS)
        answers = await asyncio.gather(*(self._ask(peer, request) for peer in chosen))
        return any(answers)

    async def _ask(self, helper: MemberInfo, request: IndirectPing) -> bool:
        # The helper needs one ping timeout; the rest is for the way to it and back.
        timeout_s = 1.5 * self.settings.timing.ping_timeout_s
        try:
            answer = await self._client.call(
                helper.address, request, expect=IndirectAck, timeout_s=timeout_s
            )
        except RouterError:
            return False
        return answer.reached

    def _content(self, receiver_id: str) -> dict[str, Any]:
        updates = self._gossip.take(len(self._table) + 1)
        held = self._table.get(receiver_id)
        if held is not None and held.state != MemberState.ALIVE:
            # The receiver must learn that it is thought dead, or it never refutes.
            updates.append(held)
        return {
            "member": self._self,
            "updates": updates,
            "digest": self.providers.digest(),
            "config_age_ms": self.providers.config_age_ms(),
            "crashes": self.providers.crash_counts(),
        }

    async def _handle_ping(self, ping: Ping) -> Ack:
        self._take(ping, None)
        return Ack(**self._content(ping.member.host_id))

    async def _handle_indirect_ping(self, request: IndirectPing) -> IndirectAck:
        ack = await self._ping(request.target_address)
        return IndirectAck(
            reached=ack is not None and ack.member.host_id == request.target_host_id
        )

    async def _handle_members_request(self, request: MembersRequest) -> MembersReply:
        return MembersReply(
            members=[self._self, *self._table.members()],
            config_age_ms=self.providers.config_age_ms(),
        )

    def _take(self, content: Ping | Ack, sent_s: float | None) -> None:
        self._learn(content.member)
        for update in content.updates:
            self._learn(update)
        observation = PeerObservation(
            host_id=content.member.host_id,
            address=content.member.address,
            digest=content.digest,
            config_age_ms=content.config_age_ms,
            sent_s=sent_s,
            crashes=content.crashes,
        )
        notify(self._observation_callbacks, observation)

    def _learn(self, member: MemberInfo) -> None:
        if member.host_id == self._self.host_id:
            self._refute(member)
        elif self._table.merge(member):
            self._track(member)
            self._gossip.add(member)
            self._notify(member)

    def _track(self, member: MemberInfo) -> None:
        host_id = member.host_id
        self._timers.clear(host_id)
        if member.state == MemberState.SUSPECT:
            self._timers.start(host_id)
        elif member.state == MemberState.DEAD:
            self._timers.dead(host_id)

    def _refute(self, member: MemberInfo) -> None:
        own = self._self
        if member.incarnation > own.incarnation:
            log.warning("incarnation_raised", reported=member.incarnation)
            self._change_self(incarnation=member.incarnation + 1, sequence=0)
        elif precedence(member) > precedence(own):
            self._change_self(sequence=member.sequence + 1)

    def _change_self(self, **changes: Any) -> None:
        self._self = replace(self._self, **changes)
        self._gossip.add(self._self)
        self._notify(self._self)

    def _notify(self, member: MemberInfo) -> None:
        notify(self._member_callbacks, member)

    # Joining

    async def _reconnect_loop(self) -> None:
        while True:
            alone = not self._table.in_state(LIVE_STATES)
            count = CONTACTS_ALONE if alone else 1
            pause_s = self.settings.timing.heartbeat_s if alone else RECONNECT_S
            contacts = sample(self.random_state, self._absent(), count)
            await asyncio.gather(*(self._contact(address) for address in contacts))
            await asyncio.sleep(pause_s)

    def _absent(self) -> list[str]:
        dead = [m.address for m in self._table.in_state([MemberState.DEAD])]
        present = {m.address for m in self._table.members()} - set(dead)
        present.add(self._self.address)
        return sorted((self._candidates | set(dead)) - present)

    async def _contact(self, address: str) -> None:
        dead = [m for m in self._table.members() if m.address == address]
        if await self._ping(address, dead[0] if dead else None) is not None:
            await self._sync_table(address)

    async def _table_sync_loop(self) -> None:
        while True:
            hosts = len(self._table)
            interval_s = max(TABLE_SYNC_S, TABLE_SYNC_S_PER_HOST * hosts)
            await asyncio.sleep(interval_s * self.random_state.uniform(0.75, 1.25))
            for peer in sample(
                self.random_state, self._table.in_state([MemberState.ALIVE]), 1
            ):
                await self._sync_table(peer.address)

    async def _sync_table(self, address: str) -> None:
        request = MembersRequest(requester=self._self.host_id)
        try:
            reply = await self._client.call(address, request, expect=MembersReply)
        except RouterError as error:
            log.debug("member_table_unread", peer=address, reason=str(error))
            return
        for member in reply.members:
            self._learn(member)
