"""Build the parts that act together with other hosts."""

import asyncio
import contextlib
from dataclasses import dataclass

import numpy as np

from sesameknot.clock import Clock
from sesameknot.coordination._ping_content import PingProviders
from sesameknot.coordination.bill_writer import BillWriter
from sesameknot.coordination.claim_owner import ClaimOwner
from sesameknot.coordination.claims import Claims
from sesameknot.coordination.crash_exchange import CrashExchange
from sesameknot.coordination.freshness import Freshness
from sesameknot.coordination.grant_holder import GrantHolder
from sesameknot.coordination.grant_owner import GrantOwner
from sesameknot.coordination.membership import Membership
from sesameknot.coordination.replication import Replication
from sesameknot.coordination.roster_keeper import RosterKeeper
from sesameknot.errors import FrameError
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.protocol.messages import ObjectRecord
from sesameknot.protocol.object_records import object_from_record
from sesameknot.protocol.roster import RosterMember
from sesameknot.settings.process import RouterSettings
from sesameknot.state.endpoint_table import EndpointTable
from sesameknot.state.member_table import MemberState
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.endpoint_client import EndpointClient
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer
from sesameknot.transport.platform_client import PlatformClient
from sesameknot.transport.tls import client_context, server_context


@dataclass(slots=True)
class Coordination:
    """Parts that act together with other hosts."""

    generator: np.random.Generator
    platform: PlatformClient
    peer_client: PeerClient
    peer_server: PeerServer
    endpoint_client: EndpointClient
    store: ObjectStore
    crash_guard: CrashGuard
    endpoint_table: EndpointTable
    membership: Membership
    freshness: Freshness
    replication: Replication
    roster_keeper: RosterKeeper
    claim_owner: ClaimOwner
    claims: Claims
    bill_writer: BillWriter
    grant_owner: GrantOwner
    grant_holder: GrantHolder

    def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start all tasks; ``stack`` stops them."""
        self.claim_owner.start()
        stack.callback(self.claim_owner.close)
        self.bill_writer.start()
        stack.push_async_callback(self.bill_writer.close)
        stack.push_async_callback(self.claims.close)
        for part in (
            self.membership,
            self.replication,
            self.roster_keeper,
            self.grant_owner,
            self.grant_holder,
        ):
            task = asyncio.create_task(part.run(), name=type(part).__name__)
            stack.callback(task.cancel)


def build_coordination(
    settings: RouterSettings, clock: Clock, stack: contextlib.AsyncExitStack
) -> Coordination:
    """Return the connected parts; ``stack`` closes what they hold open."""
    generator = np.random.default_rng(settings.random_state or None)
    platform = PlatformClient(settings.platform_url, token=settings.platform_token)
    stack.callback(platform.close)
    tls = settings.tls
    client = PeerClient(
        settings.host_id, clock=clock, tls=client_context(tls) if tls else None
    )
    stack.callback(client.close)
    endpoint_client = EndpointClient(clock=clock)
    stack.callback(endpoint_client.close)
    server = PeerServer(settings.host_id, tls=server_context(tls) if tls else None)

    store = ObjectStore()
    crash_guard = CrashGuard(
        clock=clock, limit_count=settings.requests.crash_limit_count
    )
    crashes = CrashExchange(crash_guard)
    freshness = Freshness(
        clock,
        host_id=settings.host_id,
        stale_limit_s=settings.timing.stale_limit_s,
        on_platform_loss=settings.on_platform_loss,
    )
    membership = Membership(
        settings,
        client,
        clock=clock,
        random_state=generator,
        providers=PingProviders(
            digest=store.digest,
            config_age_ms=freshness.age_ms,
            crash_counts=crashes.counts,
        ),
    )
    membership.on_observation(crashes.observe)
    replication = Replication(
        settings,
        store,
        platform,
        client,
        membership,
        freshness,
        clock=clock,
        random_state=generator,
    )
    roster_keeper = RosterKeeper(
        settings,
        store,
        platform,
        membership,
        freshness,
        clock=clock,
        random_state=generator,
        publish=replication.publish,
    )
    freshness.roster_ids = lambda: [m.host_id for m in roster_keeper.roster.members]
    freshness.live_ids = lambda: [
        m.host_id for m in membership.live() if m.state == MemberState.ALIVE
    ]
    table = EndpointTable(clock=clock)
    claim_owner, claims = _claims(
        settings, clock, client, store, membership, roster_keeper
    )
    grant_owner, grant_holder = _grants(
        settings,
        clock,
        client,
        table,
        membership,
        roster_keeper,
        freshness,
        endpoint_client,
    )
    parts = Coordination(
        generator=generator,
        platform=platform,
        peer_client=client,
        peer_server=server,
        endpoint_client=endpoint_client,
        store=store,
        crash_guard=crash_guard,
        endpoint_table=table,
        membership=membership,
        freshness=freshness,
        replication=replication,
        roster_keeper=roster_keeper,
        claim_owner=claim_owner,
        claims=claims,
        bill_writer=_bill_writer(settings, clock, client, platform, membership),
        grant_owner=grant_owner,
        grant_holder=grant_holder,
    )
    for part in (
        membership,
        replication,
        claim_owner,
        parts.bill_writer,
        grant_owner,
        grant_holder,
    ):
        part.register(server)
    return parts


def _claims(
    settings: RouterSettings,
    clock: Clock,
    client: PeerClient,
    store: ObjectStore,
    membership: Membership,
    roster_keeper: RosterKeeper,
) -> tuple[ClaimOwner, Claims]:
    def adopt(record: ObjectRecord) -> None:
        with contextlib.suppress(FrameError):
            store.merge([object_from_record(record)])

    owner = ClaimOwner(
        settings.host_id,
        membership.self_info.incarnation,
        clock=clock,
        roster=lambda: roster_keeper.roster,
        adopt=adopt,
        peers=client,
        retention_s=settings.timing.claim_retention_s,
    )
    roster_keeper.subscribe(lambda _: owner.roster_changed())
    return owner, Claims(local=owner, peers=client, clock=clock)


def _bill_writer(
    settings: RouterSettings,
    clock: Clock,
    client: PeerClient,
    platform: PlatformClient,
    membership: Membership,
) -> BillWriter:
    def candidates() -> list[RosterMember]:
        return [
            RosterMember(m.host_id, m.incarnation, m.address, m.region, m.domain)
            for m in membership.live()
            if m.state == MemberState.ALIVE and m.host_id != settings.host_id
        ]

    def is_dead(host_id: str, incarnation: int) -> bool:
        member = membership.member(host_id)
        if member is None:
            # Dead hosts are forgotten after a while; writing their bills is safe
            # even if the host is alive, because batches merge by bill id.
            return True
        return member.state == MemberState.DEAD or member.incarnation > incarnation

    return BillWriter(
        settings.host_id,
        membership.self_info.incarnation,
        domain=settings.domain,
        clock=clock,
        platform=platform,
        peers=client,
        candidates=candidates,
        is_dead=is_dead,
        host_count=lambda: len(membership.live()),
        flush_s=settings.timing.bill_flush_s,
    )


def _grants(
    settings: RouterSettings,
    clock: Clock,
    client: PeerClient,
    table: EndpointTable,
    membership: Membership,
    roster_keeper: RosterKeeper,
    freshness: Freshness,
    endpoint_client: EndpointClient,
) -> tuple[GrantOwner, GrantHolder]:
    incarnation = membership.self_info.incarnation
    owner = GrantOwner(
        settings.host_id,
        incarnation,
        clock=clock,
        table=table,
        roster=lambda: roster_keeper.roster,
        stale=lambda: not freshness.may_accept(),
        poll=endpoint_client.load,
        peers=client,
        timing=settings.timing,
    )
    holder = GrantHolder(
        settings.host_id,
        incarnation,
        settings.peer_address,
        clock=clock,
        table=table,
        roster=lambda: roster_keeper.roster,
        peers=client,
        owner=owner,
        timing=settings.timing,
    )
    return owner, holder
