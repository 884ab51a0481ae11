"""Part of the composition root: builds the followers of the store's objects."""

from sesameknot.clock import Clock
from sesameknot.coordination.fleet_sinks import SINKS
from sesameknot.coordination.store_follower import StoreFollower, WatchTiming
from sesameknot.coordination.store_link import StoreLink
from sesameknot.platform import CONFIGURATION_KIND, ENDPOINT_KIND, StoreClient
from sesameknot.settings.front import StoreSettings
from sesameknot.settings.host import HostSettings
from sesameknot.state.fleet_view import FleetView


def build_followers(
    settings: StoreSettings,
    *,
    host: HostSettings,
    view: FleetView,
    store: StoreClient,
    link: StoreLink,
    clock: Clock,
) -> list[StoreFollower]:
    """Return a follower for each kind of object that a front process uses."""
    # Changes of endpoints are batched over a part of the time for leaving.
    gather_s = settings.gather_part * host.bounds.endpoint_leave_ms / 1000.0
    followers = []
    for kind in SINKS:
        probing = kind == CONFIGURATION_KIND
        timing = WatchTiming(
            wait_s=settings.probe_wait_s if probing else settings.watch_wait_s,
            gather_s=gather_s if kind == ENDPOINT_KIND else 0.0,
        )
        follower = StoreFollower(
            kind,
            store=store,
            sink=SINKS.get(kind)(view),
            link=link,
            timing=timing,
            settings=settings,
            clock=clock,
            probing=probing,
        )
        followers.append(follower)
    return followers
