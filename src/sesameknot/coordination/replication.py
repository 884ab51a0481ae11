"""Replication of platform objects to all routers."""

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
    FULL_POLL_LIMIT_COUNT,
    POLL_SAMPLE_COUNT,
    Freshness,
)
from sesameknot.coordination.membership import Membership
from sesameknot.coordination.ownership import choose_owners
from sesameknot.errors import PlatformError
from sesameknot.protocol._object_replication import LEAF_HOP_COUNT
from sesameknot.protocol.messages import Done, ObjectPush, ObjectSync
from sesameknot.protocol.objects import REPLICATED_PREFIXES, StoredObject
from sesameknot.settings.process import RouterSettings
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer
from sesameknot.transport.platform_client import PlatformClient

WATCHERS_PER_REGION = 2
HOST_LIST_INTERVAL_S = 10.0

# Longest interval at which a host checks whether it has become a watcher.
WATCHER_CHECK_S = 0.25

# A host polls peers for their configuration age once its own exceeds this share of the
# stale limit. The rest of the limit leaves time for the age check interval and the ping
# timeout, so that a host without reachable peers reads the platform before it is stale.
POLL_AGE_SHARE = 0.75
AGE_CHECK_S = 0.1

# Two polls fit into the report window, so that one lost reply makes no difference.
POLL_INTERVAL_S = 1.2

# A push triggers an exchange with its sender only if that would reduce the
# configuration age by more than this, or if the digests differ.
AGE_GAIN_MIN_S = 0.25

# Limit on concurrent exchanges that are triggered by differing digests.
EXCHANGE_LIMIT_COUNT = 2

# A watch reply without changes that arrives sooner than this is followed by a pause of
# this length, so that a platform that does not wait is not called in a tight loop.
EARLY_REPLY_S = 0.1

log = structlog.get_logger(__name__)


class Replication:
    """Read objects from the platform or from peers and forward them.

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
        Source of the live hosts.
    freshness : Freshness
        Receives the age of the configuration.
    clock : Clock
        Source of monotonic time.
    random_state : numpy.random.Generator
        Source of the jitter and of the salts of fan-out trees.

    Notes
    -----
    A configuration age is adopted only from the reply to a request of this host, since
    only then the transit time has an upper bound. The receiver of a push therefore
    requests the age of its sender.
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
        self._watch_version: int | None = None
        self._poll_finished = asyncio.Event()
        self._reachable_ids: set[str] = {m.host_id for m in membership.live()}
        membership.on_observation(self._observe)

    def register(self, server: PeerServer) -> None:
        """Register the handlers of the object messages."""
        server.handle(ObjectPush)(self._handle_push)
        server.handle(ObjectSync)(self._exchange.handle_sync)

    def is_watcher(self) -> bool:
        """Return whether this host is one of those that watch the platform.

        Two live hosts per region are watchers. Once the configuration of this host is
        close to the stale limit, only peers that replied to the last poll are counted
        as live, since membership takes seconds to detect a partition. In a large fleet,
        where a host polls only a sample, this applies only if no peer replied.
        """
        live = self._membership.live()
        if self._is_near_stale():
            reachable_ids = self._reachable_ids
            if not reachable_ids or len(live) <= FULL_POLL_LIMIT_COUNT:
                own_id = self.settings.host_id
                live = [
                    m for m in live if m.host_id in reachable_ids or m.host_id == own_id
                ]
        region_members = [m for m in live if m.region == self.settings.region]
        watchers = choose_owners(
            "watcher", self.settings.region, region_members, WATCHERS_PER_REGION
        )
        return any(member.host_id == self.settings.host_id for member in watchers)

    def publish(self, objects: Iterable[StoredObject]) -> None:
        """Store objects that this host wrote to the platform and push them."""
        newer = self._store.merge(objects)
        if newer:
            self._fan_out.publish(newer)

    async def run(self) -> None:
        """Keep the objects up to date until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch_loop())
                group.create_task(self._poll_loop())
                group.create_task(self._host_list_loop())
        finally:
            self._background.cancel()

    async def _watch_loop(self) -> None:
        backoff = Backoff(self.random_state)
        is_first = True
        while True:
            if not is_first and not self.is_watcher():
                await self._wait_for_poll()
                continue
            is_first = False
            try:
                pause_s = await self._read_platform()
                backoff.reset()
            except PlatformError as error:
                pause_s = backoff.next_s()
                log.warning(
                    "platform_read_failed", step=error.step, reason=error.message
                )
            except Exception:
                pause_s = backoff.next_s()
                log.exception("platform_read_unexpected_error")
            await asyncio.sleep(pause_s)

    async def _wait_for_poll(self) -> None:
        self._poll_finished.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WATCHER_CHECK_S):
                await self._poll_finished.wait()

    async def _read_platform(self) -> float:
        """Make one list or watch call; return the pause before the next in seconds."""
        sent_s = self._clock.monotonic_s()
        if self._watch_version is None:
            batch = await self._platform.list(REPLICATED_PREFIXES)
        else:
            # A host that is about to become stale must not wait for a change.
            wait_s = (
                0.0 if self._is_near_stale() else self.settings.timing.watch_timeout_s
            )
            batch = await self._platform.watch(
                REPLICATED_PREFIXES, since=self._watch_version, timeout_s=wait_s
            )
        if batch.reset:
            log.info("watch_reset", since=self._watch_version)
            self._watch_version = None
            return 0.0
        newer = self._store.merge(batch.objects)
        known_version = max(self._watch_version or 0, self._store.newest_version())
        if batch.version < known_version:
            # The reply is from a lagging replica and is no evidence of freshness.
            self._fan_out.publish(newer)
            raise PlatformError(
                f"reply has version {batch.version}, expected at least {known_version}",
                step="watch",
                peer="platform",
            )
        self._watch_version = batch.version
        elapsed_s = self._clock.monotonic_s() - sent_s
        self._freshness.confirm_age(elapsed_s)
        self._fan_out.publish(newer)
        is_early = not newer and elapsed_s < EARLY_REPLY_S
        return EARLY_REPLY_S if is_early else 0.0

    async def _host_list_loop(self) -> None:
        is_first = True
        while True:
            if is_first or self.is_watcher():
                await self._read_host_list()
            is_first = False
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    async def _read_host_list(self) -> None:
        try:
            hosts = await self._platform.hosts()
        except Exception as error:
            log.info("host_list_read_failed", reason=str(error))
            return
        self._membership.set_discovered_addresses(host.address for host in hosts)

    def _is_near_stale(self) -> bool:
        return self._freshness.age_s() > POLL_AGE_SHARE * self._freshness.stale_limit_s

    async def _poll_loop(self) -> None:
        reply_timeout_s = self.settings.timing.ping_timeout_s
        while True:
            if not self._is_near_stale():
                await asyncio.sleep(AGE_CHECK_S)
                continue
            poll_started_s = self._clock.monotonic_s()
            polled_ids = self._ids_to_poll()
            for member in filter(None, map(self._membership.member, polled_ids)):
                self._background.spawn(self._exchange.run(member))
            await asyncio.sleep(reply_timeout_s)
            self._freshness.record_poll(polled_ids)
            self._reachable_ids = self._freshness.ids_replied_since(poll_started_s)
            self._poll_finished.set()
            await asyncio.sleep(max(0.0, POLL_INTERVAL_S - reply_timeout_s))

    def _ids_to_poll(self) -> list[str]:
        """Return the ids of the hosts to poll for their configuration age.

        These are the live hosts of the roster or, in a large fleet, a random sample
        of the roster. Before there is a roster, they are a sample of the live hosts.
        A sample of the roster includes dead hosts; otherwise a partition that is cut
        off from many hosts would see a majority among the remaining ones.
        """
        own_id = self.settings.host_id
        live_ids = {member.host_id for member in self._membership.live()} - {own_id}
        roster_ids = set(self._freshness.roster_ids()) - {own_id}
        if not roster_ids:
            return sample(self.random_state, sorted(live_ids), POLL_SAMPLE_COUNT)
        if len(roster_ids) <= FULL_POLL_LIMIT_COUNT:
            return sorted(roster_ids & live_ids)
        return sample(self.random_state, sorted(roster_ids), POLL_SAMPLE_COUNT)

    def _observe(self, observation: PeerObservation) -> None:
        if observation.sent_s is None:
            return
        in_sync = self._exchange.record_reply(
            observation.host_id,
            observation.digest,
            observation.config_age_ms,
            observation.sent_s,
        )
        if not in_sync and self._exchange.running_count < EXCHANGE_LIMIT_COUNT:
            peer = self._membership.member(observation.host_id)
            if peer is not None:
                self._background.spawn(self._exchange.run(peer))

    async def _handle_push(self, push: ObjectPush) -> Done:
        newer = self._store.merge(objects_from_records(push.objects, peer=push.host_id))
        self._background.spawn(self._process_push(push, newer))
        return Done(detail=str(len(newer)))

    async def _process_push(self, push: ObjectPush, newer: list[StoredObject]) -> None:
        # New objects are forwarded first; an exchange with a dead sender delays them.
        if newer:
            self._forward(push, newer)
        age_gain_s = self._freshness.age_s() - push.config_age_ms / 1000.0
        sender = self._membership.member(push.host_id)
        if sender is not None and (
            age_gain_s > AGE_GAIN_MIN_S or push.digest != self._store.digest()
        ):
            await self._exchange.run(sender)
        if not newer:
            self._forward(push, [])

    def _forward(self, push: ObjectPush, objects: list[StoredObject]) -> None:
        if push.hop_count < LEAF_HOP_COUNT:
            self._fan_out.forward(push, objects)
