"""Builds the components of a router that coordinate with other hosts."""

import asyncio
import contextlib
from dataclasses import dataclass

import numpy as np

from sesameknot.clock import Clock
from sesameknot.coordination._ping_content import PingProviders
from sesameknot.coordination.bill_writer import BillWriter
from sesameknot.coordination.claim_client import ClaimClient
from sesameknot.coordination.claim_owner import ClaimOwner
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
class SharedComponents:
    """Components that the other components use."""

    settings: RouterSettings
    clock: Clock
    random_generator: np.random.Generator
    platform: PlatformClient
    peer_client: PeerClient
    peer_server: PeerServer
    endpoint_client: EndpointClient
    object_store: ObjectStore
    crash_guard: CrashGuard
    endpoint_table: EndpointTable


@dataclass(slots=True)
class Coordination:
    """Components that coordinate with other hosts."""

    base: SharedComponents
    membership: Membership
    freshness: Freshness
    replication: Replication
    roster_keeper: RosterKeeper
    claim_owner: ClaimOwner
    claim_client: ClaimClient
    bill_writer: BillWriter
    grant_owner: GrantOwner
    grant_holder: GrantHolder

    def register(self) -> None:
        """Register the message handlers of all components with the peer server."""
        for component in (
            self.membership,
            self.replication,
            self.claim_owner,
            self.bill_writer,
            self.grant_owner,
            self.grant_holder,
        ):
            component.register(self.base.peer_server)

    def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the background tasks; ``stack`` stops them."""
        self.claim_owner.start()
        stack.callback(self.claim_owner.close)
        self.bill_writer.start()
        stack.push_async_callback(self.bill_writer.close)
        stack.push_async_callback(self.claim_client.close)
        for component in (
            self.membership,
            self.replication,
            self.roster_keeper,
            self.grant_owner,
            self.grant_holder,
        ):
            task = asyncio.create_task(component.run(), name=type(component).__name__)
            stack.callback(task.cancel)


def build_coordination(
    settings: RouterSettings, clock: Clock, stack: contextlib.AsyncExitStack
) -> Coordination:
    """Return the connected components; ``stack`` closes their resources."""
    base = _build_shared_components(settings, clock, stack)
    freshness = Freshness(
        clock,
        host_id=settings.host_id,
        stale_limit_s=settings.timing.stale_limit_s,
        on_platform_loss=settings.on_platform_loss,
    )
    membership = _build_membership(base, freshness)
    replication = Replication(
        settings,
        base.object_store,
        base.platform,
        base.peer_client,
        membership,
        freshness,
        clock=clock,
        random_state=base.random_generator,
    )
    roster_keeper = RosterKeeper(
        settings,
        base.object_store,
        base.platform,
        membership,
        freshness,
        clock=clock,
        random_state=base.random_generator,
        publish=replication.publish,
    )
    _connect_freshness(freshness, membership, roster_keeper)
    claim_owner, claim_client = _build_claims(base, membership, roster_keeper)
    grant_owner, grant_holder = _build_grants(
        base, membership, roster_keeper, freshness
    )
    coordination = Coordination(
        base=base,
        membership=membership,
        freshness=freshness,
        replication=replication,
        roster_keeper=roster_keeper,
        claim_owner=claim_owner,
        claim_client=claim_client,
        bill_writer=_build_bill_writer(base, membership),
        grant_owner=grant_owner,
        grant_holder=grant_holder,
    )
    coordination.register()
    return coordination


def _build_shared_components(
    settings: RouterSettings, clock: Clock, stack: contextlib.AsyncExitStack
) -> SharedComponents:
    platform = PlatformClient(settings.platform_url, token=settings.platform_token)
    stack.callback(platform.close)
    tls = settings.tls
    peer_client = PeerClient(
        settings.host_id, clock=clock, tls=client_context(tls) if tls else None
    )
    stack.callback(peer_client.close)
    endpoint_client = EndpointClient(clock=clock)
    stack.callback(endpoint_client.close)
    return SharedComponents(
        settings=settings,
        clock=clock,
        random_generator=np.random.default_rng(settings.random_state or None),
        platform=platform,
        peer_client=peer_client,
        peer_server=PeerServer(
            settings.host_id, tls=server_context(tls) if tls else None
        ),
        endpoint_client=endpoint_client,
        object_store=ObjectStore(),
        crash_guard=CrashGuard(
            clock=clock, limit_count=settings.requests.crash_limit_count
        ),
        endpoint_table=EndpointTable(clock=clock),
    )


def _build_membership(base: SharedComponents, freshness: Freshness) -> Membership:
    crash_exchange = CrashExchange(base.crash_guard)
    membership = Membership(
        base.settings,
        base.peer_client,
        clock=base.clock,
        random_state=base.random_generator,
        providers=PingProviders(
            digest=base.object_store.digest,
            config_age_ms=freshness.age_ms,
            crash_counts=crash_exchange.counts,
        ),
    )
    membership.on_observation(crash_exchange.observe)
    return membership


def _connect_freshness(
    freshness: Freshness, membership: Membership, roster_keeper: RosterKeeper
) -> None:
    freshness.roster_ids = lambda: [m.host_id for m in roster_keeper.roster.members]
    freshness.live_ids = lambda: [
        m.host_id for m in membership.live() if m.state == MemberState.ALIVE
    ]


def _build_claims(
    base: SharedComponents, membership: Membership, roster_keeper: RosterKeeper
) -> tuple[ClaimOwner, ClaimClient]:
    def adopt_roster(record: ObjectRecord) -> None:
        with contextlib.suppress(FrameError):
            base.object_store.merge([object_from_record(record)])

    owner = ClaimOwner(
        base.settings.host_id,
        membership.self_info.incarnation,
        clock=base.clock,
        roster=lambda: roster_keeper.roster,
        adopt_roster=adopt_roster,
        peers=base.peer_client,
        retention_s=base.settings.timing.claim_retention_s,
    )
    roster_keeper.subscribe(lambda _: owner.roster_changed())
    return owner, ClaimClient(
        local_owner=owner, peers=base.peer_client, clock=base.clock
    )


def _build_bill_writer(base: SharedComponents, membership: Membership) -> BillWriter:
    def replica_candidates() -> list[RosterMember]:
        return [
            RosterMember(m.host_id, m.incarnation, m.address, m.region, m.domain)
            for m in membership.live()
            if m.state == MemberState.ALIVE and m.host_id != base.settings.host_id
        ]

    def is_dead(host_id: str, incarnation: int) -> bool:
        member = membership.member(host_id)
        if member is None:
            # Dead hosts are removed from the member table after a while. Writing
            # the bills of a host that is alive is safe: batches merge by bill id.
            return True
        return member.state == MemberState.DEAD or member.incarnation > incarnation

    return BillWriter(
        base.settings.host_id,
        membership.self_info.incarnation,
        domain=base.settings.domain,
        clock=base.clock,
        platform=base.platform,
        peers=base.peer_client,
        replica_candidates=replica_candidates,
        is_dead=is_dead,
        host_count=lambda: len(membership.live()),
        flush_s=base.settings.timing.bill_flush_s,
    )


def _build_grants(
    base: SharedComponents,
    membership: Membership,
    roster_keeper: RosterKeeper,
    freshness: Freshness,
) -> tuple[GrantOwner, GrantHolder]:
    incarnation = membership.self_info.incarnation
    owner = GrantOwner(
        base.settings.host_id,
        incarnation,
        clock=base.clock,
        table=base.endpoint_table,
        roster=lambda: roster_keeper.roster,
        stale=lambda: not freshness.may_accept(),
        poll=base.endpoint_client.fetch_load,
        peers=base.peer_client,
        timing=base.settings.timing,
    )
    holder = GrantHolder(
        base.settings.host_id,
        incarnation,
        base.settings.peer_address,
        clock=base.clock,
        table=base.endpoint_table,
        roster=lambda: roster_keeper.roster,
        peers=base.peer_client,
        grant_owner=owner,
        timing=base.settings.timing,
    )
    return owner, holder
