"""Part of the composition root: builds the followers of the store's objects."""

from sesameknot.clock import Clock
from sesameknot.coordination.fleet_sinks import SINKS
from sesameknot.coordination.store_follower import (
    RETRY_JITTER,
    StoreFollower,
    WatchTiming,
)
from sesameknot.coordination.store_link import StoreLink
from sesameknot.platform import CONFIGURATION_KIND, ENDPOINT_KIND, StoreClient
from sesameknot.settings.front import StoreSettings
from sesameknot.settings.host import HostSettings
from sesameknot.state.fleet_view import FleetView

# Time that an answer of the store takes.
ANSWER_TIME_S = 0.1


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
            wait_s=_probe_wait_s(settings, view) if probing else settings.watch_wait_s,
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


def _probe_wait_s(settings: StoreSettings, view: FleetView) -> float:
    """Return the wait of the watch that shows whether the store answers.

    A connection may go silent while others work. From the last answer before it until
    the first on a new connection, less time must pass than an outage of the store takes
    in which entries expire: the endpoint of an entry that expired stays in use.
    """
    # The next watch waits no longer than the pause before it.
    next_answer_s = (RETRY_JITTER + 1.0) * settings.retry_min_s + ANSWER_TIME_S
    noticed_s = settings.watch_margin_s + next_answer_s
    longest_s = view.store.shortest_expiring_outage_s - noticed_s
    return max(settings.retry_min_s, min(settings.probe_wait_s, longest_s))
