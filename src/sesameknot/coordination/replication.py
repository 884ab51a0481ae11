"""Spread of platform objects to every router."""

import asyncio
import contextlib
from collections.abc import Iterable

import numpy as np
import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._backoff import Backoff
from sesameknot.coordination._fan_out import FanOut
from sesameknot.coordination._object_exchange import ObjectExchange
from sesameknot.coordination._object_records import objects_from_records
from sesameknot.coordination._ping_content import PeerObservation
from sesameknot.coordination._sampling import sample
from sesameknot.coordination.freshness import (
    DIRECT_SIGHT_LIMIT,
    SAMPLE_COUNT,
    Freshness,
)
from sesameknot.coordination.membership import Membership
from sesameknot.coordination.ownership import owners
from sesameknot.errors import PlatformError
from sesameknot.protocol._objects import LEAF_HOP_COUNT
from sesameknot.protocol.messages import Done, ObjectPush, ObjectSync
from sesameknot.protocol.objects import SPREAD_PREFIXES, StoredObject
from sesameknot.settings.process import RouterSettings
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer
from sesameknot.transport.platform_client import PlatformClient

WATCHERS_PER_REGION = 2
HOSTS_READ_S = 10.0

# Interval at which a host looks whether it is a watcher by now.
CHECK_S = 0.25

# A host asks peers for their age once its own exceeds this share of the stale limit.
# With the check interval and the ping timeout, a host without peers reads the platform
# itself before it becomes stale.
ASK_SHARE = 0.75
AGE_CHECK_S = 0.1

# Two rounds of questions fit the sight window, so one lost answer does not count.
ASK_INTERVAL_S = 1.2

# A push whose sender is fresher by less than this is not followed by a question.
AGE_GAIN_S = 0.25

# Exchanges that differing digests may start at a time.
EXCHANGE_LIMIT = 2

# Pause after a watch that returned early without news, so that a platform that does
# not wait is not called in a tight loop.
EARLY_ANSWER_S = 0.1

log = structlog.get_logger(__name__)


class Replication:
    """Read objects from the platform or from peers and pass them on.

    Parameters
    ----------
    settings : RouterSettings
        Identity and timing of this host.
    store : ObjectStore
        Objects of this host.
    platform : PlatformClient
        Client of the platform.
    client : PeerClient
        Client for calls to peers.
    membership : Membership
        Tells which hosts are live.
    freshness : Freshness
        Learns how recent the configuration is.
    clock : Clock
        Source of monotonic time.
    random_state : numpy.random.Generator
        Source of jitter and of tree shapes.

    Notes
    -----
    An age is adopted only from the answer to a question of this host, since only
    then the transit time is bounded. A push therefore makes its receiver ask the
    sender for its age.
    """

    def __init__(
        self,
        settings: RouterSettings,
        store: ObjectStore,
        platform: PlatformClient,
        client: PeerClient,
        membership: Membership,
        freshness: Freshness,
        *,
        clock: Clock,
        random_state: np.random.Generator,
    ) -> None:
        self.settings = settings
        self.random_state = random_state
        self._store = store
        self._platform = platform
        self._membership = membership
        self._freshness = freshness
        self._clock = clock
        self._background = BackgroundTasks()
        self._exchange = ObjectExchange(
            settings.host_id,
            store,
            freshness,
            client,
            clock=clock,
            probe_timeout_s=settings.timing.ping_timeout_s,
        )
        self._fan_out = FanOut(
            settings.host_id,
            store,
            freshness,
            client,
            live=membership.live,
            spawn=self._background.spawn,
            random_state=random_state,
            timeout_s=settings.timing.ping_timeout_s,
        )
        self._since: int | None = None
        self._recheck = asyncio.Event()
        self._reached: set[str] = {m.host_id for m in membership.live()}
        membership.on_observation(self._observe)

    def register(self, server: PeerServer) -> None:
        """Install the handlers of the object messages."""
        server.handle(ObjectPush)(self._handle_push)
        server.handle(ObjectSync)(self._exchange.answer)

    def is_watcher(self) -> bool:
        """Return whether this host is to watch the platform.

        Two hosts per region watch. While no peer makes this host fresh, only peers
        that answer count, since membership needs seconds to notice a partition. In
        a large fleet each host asks only some peers, so there that applies only to
        a host that gets no answer at all.
        """
        live = self._membership.live()
        if self._late():
            reached = self._reached
            if not reached or len(live) <= DIRECT_SIGHT_LIMIT:
                own_id = self.settings.host_id
                live = [m for m in live if m.host_id in reached or m.host_id == own_id]
        region = [member for member in live if member.region == self.settings.region]
        watchers = owners("watcher", self.settings.region, region, WATCHERS_PER_REGION)
        return any(member.host_id == self.settings.host_id for member in watchers)

    def publish(self, objects: Iterable[StoredObject]) -> None:
        """Take objects that this host wrote to the platform and push them."""
        newer = self._store.merge(objects)
        if newer:
            self._fan_out.publish(newer)

    async def run(self) -> None:
        """Keep the objects current until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch_loop())
                group.create_task(self._ask_loop())
                group.create_task(self._hosts_loop())
        finally:
            self._background.cancel()

    async def _watch_loop(self) -> None:
        backoff = Backoff(self.random_state)
        starting = True
        while True:
            if not starting and not self.is_watcher():
                await self._await_recheck()
                continue
            starting = False
            try:
                pause_s = await self._read_platform()
                backoff.reset()
            except PlatformError as error:
                pause_s = backoff.next_s()
                log.warning("platform_unread", step=error.step, reason=error.message)
            except Exception:
                pause_s = backoff.next_s()
                log.exception("platform_read_failed")
            await asyncio.sleep(pause_s)

    async def _await_recheck(self) -> None:
        self._recheck.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_S):
                await self._recheck.wait()

    async def _read_platform(self) -> float:
        """Make one list or watch call and return the pause before the next."""
        sent_s = self._clock.monotonic_s()
        if self._since is None:
            batch = await self._platform.list(SPREAD_PREFIXES)
        else:
            # A host that is about to become stale cannot wait for a change.
            wait_s = 0.0 if self._late() else self.settings.timing.watch_timeout_s
            batch = await self._platform.watch(
                SPREAD_PREFIXES, since=self._since, timeout_s=wait_s
            )
        if batch.reset:
            log.info("watch_reset", since=self._since)
            self._since = None
            return 0.0
        newer = self._store.merge(batch.objects)
        seen = max(self._since or 0, self._store.newest_version())
        if batch.version < seen:
            # The answer comes from a lagging replica, so it proves no freshness.
            self._fan_out.publish(newer)
            raise PlatformError(
                f"answer reaches version {batch.version}, expected at least {seen}",
                step="watch",
                peer="platform",
            )
        self._since = batch.version
        elapsed_s = self._clock.monotonic_s() - sent_s
        self._freshness.confirmed(elapsed_s)
        self._fan_out.publish(newer)
        early = not newer and elapsed_s < EARLY_ANSWER_S
        return EARLY_ANSWER_S if early else 0.0

    async def _hosts_loop(self) -> None:
        starting = True
        while True:
            if starting or self.is_watcher():
                await self._read_hosts()
            starting = False
            await asyncio.sleep(HOSTS_READ_S)

    async def _read_hosts(self) -> None:
        try:
            hosts = await self._platform.hosts()
        except Exception as error:
            log.info("platform_hosts_unread", reason=str(error))
            return
        self._membership.set_discovered_addresses(host.address for host in hosts)

    def _late(self) -> bool:
        return self._freshness.age_s() > ASK_SHARE * self._freshness.stale_limit_s

    async def _ask_loop(self) -> None:
        answer_s = self.settings.timing.ping_timeout_s
        while True:
            if not self._late():
                await asyncio.sleep(AGE_CHECK_S)
                continue
            asked_s = self._clock.monotonic_s()
            asked_ids = self._to_ask()
            for member in filter(None, map(self._membership.member, asked_ids)):
                self._background.spawn(self._exchange.run(member))
            await asyncio.sleep(answer_s)
            self._freshness.sampled(asked_ids)
            self._reached = self._freshness.answered_since(asked_s)
            self._recheck.set()
            await asyncio.sleep(max(0.0, ASK_INTERVAL_S - answer_s))

    def _to_ask(self) -> list[str]:
        """Return the roster's hosts, or a sample; all live ones before a roster.

        Dead hosts stay in the sample, since a side that has lost many would
        otherwise see a majority of the rest.
        """
        own_id = self.settings.host_id
        live_ids = {member.host_id for member in self._membership.live()} - {own_id}
        roster_ids = set(self._freshness.roster_ids()) - {own_id}
        if not roster_ids:
            return sample(self.random_state, sorted(live_ids), SAMPLE_COUNT)
        if len(roster_ids) <= DIRECT_SIGHT_LIMIT:
            return sorted(roster_ids & live_ids)
        return sample(self.random_state, sorted(roster_ids), SAMPLE_COUNT)

    def _observe(self, observation: PeerObservation) -> None:
        if observation.sent_s is None:
            return
        same = self._exchange.observe(
            observation.host_id,
            observation.digest,
            observation.config_age_ms,
            observation.sent_s,
        )
        if not same and self._exchange.running_count < EXCHANGE_LIMIT:
            peer = self._membership.member(observation.host_id)
            if peer is not None:
                self._background.spawn(self._exchange.run(peer))

    async def _handle_push(self, push: ObjectPush) -> Done:
        newer = self._store.merge(objects_from_records(push.objects, peer=push.host_id))
        self._background.spawn(self._follow_push(push, newer))
        return Done(detail=str(len(newer)))

    async def _follow_push(self, push: ObjectPush, newer: list[StoredObject]) -> None:
        # Objects do not wait for the question to a sender that may be gone by now.
        if newer:
            self._forward(push, newer)
        gain_s = self._freshness.age_s() - push.config_age_ms / 1000.0
        sender = self._membership.member(push.host_id)
        if sender is not None and (
            gain_s > AGE_GAIN_S or push.digest != self._store.digest()
        ):
            await self._exchange.run(sender)
        if not newer:
            self._forward(push, [])

    def _forward(self, push: ObjectPush, objects: list[StoredObject]) -> None:
        if push.hop_count < LEAF_HOP_COUNT:
            self._fan_out.forward(push, objects)
