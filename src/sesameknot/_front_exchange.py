"""Part of the composition root: builds the exchange between front hosts."""

from collections.abc import Sequence

from sesameknot.clock import Clock
from sesameknot.coordination.domain_exchange import DomainExchange
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.coordination.outage_spread import OutageSpread
from sesameknot.coordination.relay_order import RelayOrder
from sesameknot.coordination.shared_findings import SharedFindings
from sesameknot.coordination.snapshot_exchange import SnapshotExchange
from sesameknot.coordination.store_follower import StoreFollower
from sesameknot.coordination.store_link import StoreLink
from sesameknot.platform import CONFIGURATION_KIND
from sesameknot.policy.endpoint_pace import EndpointPace
from sesameknot.settings.host import HostBounds, HostSettings
from sesameknot.state.fleet_view import FleetView


def build_exchange(
    *,
    host: HostSettings,
    view: FleetView,
    followers: Sequence[StoreFollower],
    link: StoreLink,
    findings: SharedFindings,
    snapshots: SnapshotExchange,
    calls: HostCalls,
    order: RelayOrder,
    endpoint_pace: EndpointPace | None,
    clock: Clock,
) -> tuple[DomainExchange, OutageSpread]:
    """Return the tasks that exchange with other hosts, and pass on outages at once."""
    by_kind = {follower.kind: follower for follower in followers}
    spread = OutageSpread(
        view=view,
        findings=findings,
        calls=calls,
        host_id=host.host_id,
        domain=host.domain,
        order=order,
    )
    exchange = DomainExchange(
        view=view,
        followers=followers,
        link=link,
        findings=findings,
        on_new_outage=spread.pass_on,
        snapshots=snapshots,
        calls=calls,
        order=order,
        host_id=host.host_id,
        domain=host.domain,
        clock=clock,
        probe=by_kind[CONFIGURATION_KIND],
        apply_limit_s=_change_limit_s(host.bounds),
        endpoint_pace=endpoint_pace,
    )
    return exchange, spread


def _change_limit_s(bounds: HostBounds) -> float:
    """Return the time within which every change in the store must be in force."""
    return min(bounds.configuration_apply_ms, bounds.endpoint_leave_ms) / 1000.0
