"""One router's coordination parts among generated peers.

The peers exist only as messages: their pings, pushes and questions arrive at the rates
of a fleet in steady state, and their answers are made up. What the generator costs is
not counted, so the processor time is that of one host without its sockets.
"""

import asyncio
import contextlib
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import numpy as np
from tests.fakes import FakePlatform
from tests.virtual_hosts import VirtualWorld

from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._fan_out import DIRECT_PUSH_LIMIT_COUNT, subtrees
from sesameknot.coordination.freshness import Freshness
from sesameknot.coordination.membership import Membership, PingProviders
from sesameknot.coordination.ownership import choose_owners
from sesameknot.coordination.replication import WATCHERS_PER_REGION, Replication
from sesameknot.coordination.roster_keeper import RosterKeeper
from sesameknot.protocol._object_replication import LEAF_HOP_COUNT
from sesameknot.protocol.codec import Envelope, decode, encode
from sesameknot.protocol.messages import (
    Ack,
    Done,
    IndirectAck,
    IndirectPing,
    MemberInfo,
    MembersReply,
    MembersRequest,
    ObjectPush,
    ObjectSync,
    ObjectSyncReply,
    Ping,
)
from sesameknot.settings.process import RouterSettings
from sesameknot.state.object_store import ObjectStore

REGIONS = 2
DOMAINS = 4
OBJECT_COUNT = 100
OBJECT_BYTES = 2000
FRAME_HEADER_BYTES = 4

# A busy day has 434 failures, restarts and replacements in the fleet, one per 200 s.
# One member update per ping is far above that.
UPDATES_PER_PING = 1


@dataclass(slots=True)
class Load:
    """What one host spent over ``duration_s`` of virtual time."""

    duration_s: float = 0.0
    processor_s: float = 0.0
    size_bytes: int = 0
    message_count: int = 0
    platform_calls: int = 0


def member(index: int) -> MemberInfo:
    """Return the record of one generated peer."""
    return MemberInfo(
        host_id=f"host-{index:03d}",
        address=f"10.0.{index // 250}.{index % 250 + 1}:7000",
        http_address=f"10.0.{index // 250}.{index % 250 + 1}:80",
        region=f"region-{index % REGIONS}",
        domain=f"domain-{index % DOMAINS}",
        incarnation=1_000_000,
        state="alive",
    )


class GeneratedFleet:
    """Drive one host with the messages of ``host_count`` hosts.

    Parameters
    ----------
    host_count : int
        Hosts of the fleet, the measured one included.
    watcher : bool, default=False
        Whether the measured host is one that watches the platform.
    random_state : int, default=0
        Seed of all choices.
    """

    def __init__(
        self, host_count: int, *, watcher: bool = False, random_state: int = 0
    ) -> None:
        self.random = np.random.default_rng(random_state)
        self.world = VirtualWorld(random_state)
        self.load = Load()
        self.members = [member(index) for index in range(host_count)]
        self.by_address = {m.address: index for index, m in enumerate(self.members)}
        self.watchers = [
            m
            for region in sorted({m.region for m in self.members})
            for m in choose_owners(
                "watcher",
                region,
                [m for m in self.members if m.region == region],
                WATCHERS_PER_REGION,
            )
        ]
        watching = {m.host_id for m in self.watchers}
        self.own = next(m for m in self.members if (m.host_id in watching) is watcher)
        self._handlers: dict[type, Any] = {}
        self._background = BackgroundTasks()
        self._start_host()

    def handle(self, message_type: type) -> Any:
        """Take a handler, like ``PeerServer``."""

        def add(handler: Any) -> Any:
            self._handlers[message_type] = handler
            return handler

        return add

    def _start_host(self) -> None:
        clock, own = self.world.clock, self.own
        settings = RouterSettings(
            host_id=own.host_id,
            region=own.region,
            domain=own.domain,
            http_address=own.http_address,
            peer_address=own.address,
            platform_url="http://10.1.0.1:80",
            seeds=[m.address for m in self.members if m is not own][:2],
        )
        platform = FakePlatform()
        for number in range(OBJECT_COUNT):
            platform.write(f"settings/team-{number}", "x" * OBJECT_BYTES)
        self.platform = platform.client(own.host_id)
        self.store = ObjectStore()
        self.freshness = Freshness(clock, host_id=own.host_id)
        shared = {"clock": clock, "random_state": self.random}
        providers = PingProviders(
            digest=self.store.digest, config_age_ms=self.freshness.age_ms
        )
        self.membership = Membership(settings, self, providers=providers, **shared)
        parts = (self.membership, self.freshness)
        replication = Replication(
            settings, self.store, self.platform, self, *parts, **shared
        )
        keeper = RosterKeeper(
            settings,
            self.store,
            self.platform,
            *parts,
            publish=replication.publish,
            **shared,
        )
        self.membership.register(self)
        replication.register(self)
        loop = self.world.add(own.host_id, own.address)
        jobs = (self.membership.run, replication.run, keeper.run, self._generate)
        for job in jobs:
            loop.call_soon(lambda job=job: loop.create_task(job()))

    def run(self, duration_s: float, *, warm_up_s: float = 10.0) -> Load:
        """Let the host run, and return what it spent after the warm-up."""
        self.world.run_for(warm_up_s)
        self.load = Load(duration_s=duration_s)
        calls = self.platform.call_count
        started_s = time.process_time()
        self.world.run_for(duration_s)
        self.load.processor_s += time.process_time() - started_s
        self.load.platform_calls = self.platform.call_count - calls
        return self.load

    def close(self) -> None:
        """Stop the host."""
        self.world.close()

    # Client side, as the measured host sees it

    async def call(
        self, address: str, body: Any, *, expect: type, timeout_s: float = 1.0
    ) -> Any:
        """Answer a call of the measured host."""
        self._count(encode(Envelope(1, self.own.host_id, body)))
        with self._uncounted():
            answer = self._answer(self.by_address[address], body)
            payload = encode(Envelope(1, "peer", answer, True))
        await asyncio.sleep(0.002)
        self._count(payload)
        return decode(payload).body

    def close_idle(self) -> None:
        """Do nothing; there are no connections."""

    def _answer(self, index: int, body: Any) -> Any:
        match body:
            case Ping():
                return Ack(**self._content(index))
            case IndirectPing():
                return IndirectAck(reached=True)
            case MembersRequest():
                others = [m for m in self.members if m is not self.own]
                return MembersReply(members=others, config_age_ms=1000.0)
            case ObjectSync():
                return ObjectSyncReply(config_age_ms=1000.0, digest=self.store.digest())
            case ObjectPush():
                # The receiver of a push asks this host for its age.
                self._later(ObjectSync(digest=self.store.digest()))
                return Done(detail="0")
        raise TypeError(f"unexpected {type(body).__name__}")

    def _content(self, index: int) -> dict[str, Any]:
        chosen = self.random.integers(len(self.members), size=UPDATES_PER_PING)
        updates = []
        for changed in chosen:
            if self.members[changed] is not self.own:
                fresh = replace(
                    self.members[changed], sequence=self.members[changed].sequence + 1
                )
                self.members[changed] = fresh
                updates.append(fresh)
        return {
            "member": self.members[index],
            "updates": updates,
            "digest": self.store.digest(),
            "config_age_ms": 1500.0,
        }

    # Messages that reach the measured host

    async def _generate(self) -> None:
        jobs = [self._pings(), self._table_requests()]
        jobs += [self._beats(w) for w in self.watchers if w.host_id != self.own.host_id]
        await asyncio.gather(*jobs)

    async def _pings(self) -> None:
        while True:
            # Each of the other hosts pings this one once in as many seconds.
            await asyncio.sleep(float(self.random.exponential(1.0)))
            with self._uncounted():
                index = self._other()
                ping = Ping(**self._content(index))
            await self._deliver(ping)

    async def _table_requests(self) -> None:
        while True:
            await asyncio.sleep(max(10.0, 0.25 * len(self.members)))
            await self._deliver(MembersRequest(requester="peer"))

    async def _beats(self, watcher: MemberInfo) -> None:
        await asyncio.sleep(float(self.random.uniform(0.0, 1.0)))
        while True:
            with self._uncounted():
                push = self._beat(watcher)
            if push is not None:
                await self._deliver(push)
            await asyncio.sleep(1.0)

    def _beat(self, watcher: MemberInfo) -> ObjectPush | None:
        salt = int(self.random.integers(1 << 32))
        content = {
            "salt": salt,
            "digest": self.store.digest(),
            "config_age_ms": 1000.0,
        }
        if len(self.members) <= DIRECT_PUSH_LIMIT_COUNT + 1:
            return ObjectPush(host_id=watcher.host_id, **content)
        pending = [(watcher.host_id, "", 0)]
        while pending:
            name, sender, hop_count = pending.pop()
            for group in subtrees(
                self.members, name, salt=salt, hop_count=hop_count, sender_id=sender
            ):
                root, inner = group[0].host_id, len(group) > 1
                hop = hop_count + 1 if inner else LEAF_HOP_COUNT
                if root == self.own.host_id:
                    return ObjectPush(host_id=name, hop_count=hop, **content)
                if inner and any(m.host_id == self.own.host_id for m in group):
                    pending.append((root, name, hop))
        return None

    def _later(self, body: Any) -> None:
        self._background.spawn(self._deliver(body))

    async def _deliver(self, body: Any) -> None:
        with self._uncounted():
            payload = encode(Envelope(1, "peer", body))
        self._count(payload)
        message = decode(payload).body
        answer = await self._handlers[type(message)](message)
        self._count(encode(Envelope(1, self.own.host_id, answer, True)))

    def _other(self) -> int:
        while True:
            index = int(self.random.integers(len(self.members)))
            if self.members[index].host_id != self.own.host_id:
                return index

    def _count(self, payload: bytes) -> None:
        self.load.size_bytes += len(payload) + FRAME_HEADER_BYTES
        self.load.message_count += 1

    @contextlib.contextmanager
    def _uncounted(self) -> Iterator[None]:
        started_s = time.process_time()
        try:
            yield
        finally:
            self.load.processor_s -= time.process_time() - started_s
