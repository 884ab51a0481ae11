"""Local view of a front host: configuration, endpoints, domains and roll-outs."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from sesameknot.clock import Clock
from sesameknot.protocol.configuration import Configuration
from sesameknot.protocol.fleet_records import (
    EndpointEntry,
    EndpointState,
    HostEntry,
    RolloutOrder,
)
from sesameknot.state.endpoint_health import EndpointHealth
from sesameknot.state.endpoint_limits import EndpointLimits
from sesameknot.state.endpoint_outages import EndpointOutages
from sesameknot.state.host_liveness import HostLiveness
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.state.store_availability import (
    LAPSE_GRACE_S,
    RECENT_OUTAGE_S,
    StoreAvailability,
)
from sesameknot.state.version_filter import VersionFilter, versions_for_session

# An endpoint of a new version may belong to a roll-out whose order this host has not
# received yet.
NEW_VERSION_DEFER_S = 4.0
# A request that is sent within this share of the time for leaving arrives within it.
LEAVE_SEND_SHARE = 0.8
# Time after which a request shows again whether another endpoint has the address.
MISDIRECTED_LIFE_S = 10.0
# The entry of an endpoint whose address was reused may stay in the store for a while,
# and one that was removed may come back with a copy of the store that is seconds old.
GONE_RETENTION_S = 30.0


@dataclass(slots=True)
class FleetView:
    """Local view of one host, updated by the tasks that follow the store.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    entry_life_s : float
        Time after which the store removes the entry of a silent endpoint.
    endpoint_leave_s : float
        Time within which hosts must stop sending requests to a leaving endpoint.

    Attributes
    ----------
    configuration : Configuration or None
        Configuration in force.
    configuration_applied_s : float
        Monotonic time at which it was put in force.
    endpoints_listed, rollouts_listed : bool
        Whether the objects of the kind were listed at least once.
    endpoints_listed_s : float
        Monotonic time of the last complete list of endpoints.
    endpoints : dict
        Endpoints by identifier.
    evacuated_domains : set of str
        Failure domains that operators have evacuated.
    rollouts : dict
        Roll-out orders by service.
    unsaved_rollouts : set of str
        Services whose roll-out has gone on further than the store's copy says.
    unlisted_domains, unlisted_rollouts : set of str
        Evacuations and orders that the store's copy lacks. They stay in force until
        they have been written again, or had time to be.
    hosts : dict
        Front hosts by name, as the store lists them. Shares that must be safe even if
        hosts do not hear each other are divided by these; see :attr:`live_hosts`.
    liveness : HostLiveness
        Which of the hosts are lost.
    loads_applied_s : float
        Monotonic time at which the loads of other hosts were last updated.
    peer_loads_s : float
        Monotonic time of the last report of loads by another host.
    store_failed_s : float
        Monotonic time of the last failed call to the store, of this host or a relay.
    store : StoreAvailability
        Outages of the store.
    store_restored_s : float
        Monotonic time at which this host noticed that the store came from a copy.
    endpoint_limits : EndpointLimits
        Request rates that endpoints named in their answers.
    outages : EndpointOutages
        When endpoints were last down.
    """

    clock: Clock
    entry_life_s: float = 3.6
    endpoint_leave_s: float = 2.0
    configuration: Configuration | None = None
    configuration_applied_s: float = 0.0
    endpoints_listed: bool = False
    endpoints_listed_s: float = float("-inf")
    endpoints: dict[str, KnownEndpoint] = field(default_factory=dict)
    evacuated_domains: set[str] = field(default_factory=set)
    rollouts_listed: bool = False
    rollouts: dict[str, RolloutOrder] = field(default_factory=dict)
    unsaved_rollouts: set[str] = field(default_factory=set)
    unlisted_domains: set[str] = field(default_factory=set)
    unlisted_rollouts: set[str] = field(default_factory=set)
    hosts: dict[str, HostEntry] = field(default_factory=dict)
    loads_applied_s: float = float("-inf")
    peer_loads_s: float = float("-inf")
    store_failed_s: float = float("-inf")
    store_restored_s: float = float("-inf")
    liveness: HostLiveness = field(init=False)
    endpoint_limits: EndpointLimits = field(init=False)
    outages: EndpointOutages = field(init=False)
    store: StoreAvailability = field(init=False)
    # What the last answer of an endpoint of each service said.
    _overload_limits_per_s: dict[str, float | None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.store = StoreAvailability(self.clock, self.entry_life_s)
        self.liveness = HostLiveness(self.clock)
        self.endpoint_limits = EndpointLimits(self.clock)
        restart_shown_s = self.entry_life_s + self.endpoint_leave_s
        self.outages = EndpointOutages(self.clock, restart_shown_s)

    @property
    def ready(self) -> bool:
        """Whether everything that serving requests needs was listed."""
        return (
            self.configuration is not None
            and self.endpoints_listed
            and self.rollouts_listed
        )

    @property
    def live_hosts(self) -> dict[str, HostEntry]:
        """Listed hosts that are not lost: those that can be given something to do."""
        lost_ids = self.liveness.lost_ids
        return {name: h for name, h in self.hosts.items() if name not in lost_ids}

    def replace_hosts(self, hosts: dict[str, HostEntry]) -> None:
        """Apply a complete list of hosts."""
        # What is known of a host does not hold for another one under its name.
        unchanged = {n for n, host in hosts.items() if self.hosts.get(n) == host}
        self.liveness.retain(unchanged)
        self.hosts = hosts

    def set_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force; return False if it is not newer."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.configuration_applied_s = self.clock.monotonic_s()
        return True

    def note_store_failure(self, *, timed_out: bool) -> None:
        """Record that a call to the store failed now."""
        self.store_failed_s = self.clock.monotonic_s()
        self.store.note_failure(timed_out=timed_out)

    def note_store_restored(self) -> None:
        """Record that the store came back from a copy.

        Its operators and endpoints write again what the copy lacks.
        """
        self.store_restored_s = self.clock.monotonic_s()

    @property
    def rewritten_by_s(self) -> float:
        """Monotonic time by which the store holds again what its copy lacked."""
        return self.store_restored_s + self.entry_life_s + LAPSE_GRACE_S

    @property
    def restored_recently(self) -> bool:
        """Whether the store may still lack what was written before it came back."""
        return self.clock.monotonic_s() < self.rewritten_by_s

    def forget_unlisted(self) -> None:
        """Drop what the store's copy lacks once it had time to be written again."""
        if self.restored_recently:
            return
        if self.unlisted_domains:
            self.set_evacuated(self.evacuated_domains - self.unlisted_domains)
            self.unlisted_domains = set()
        for service in self.unlisted_rollouts:
            self.rollouts.pop(service, None)
        self.unlisted_rollouts = set()

    def replace_endpoints(self, entries: Iterable[EndpointEntry]) -> None:
        """Apply a complete list of endpoints."""
        listed = {entry.endpoint_id: entry for entry in entries}
        in_first_list = not self.endpoints_listed
        for entry in listed.values():
            self.put_endpoint(entry, in_first_list=in_first_list)
        for endpoint_id in set(self.endpoints) - set(listed):
            self.remove_endpoint(endpoint_id)
        self.endpoints_listed = True
        self.endpoints_listed_s = self.clock.monotonic_s()

    def put_endpoint(
        self, entry: EndpointEntry, *, in_first_list: bool = False
    ) -> None:
        """Apply a new or changed entry.

        Parameters
        ----------
        entry : EndpointEntry
            Registration of the endpoint.
        in_first_list : bool, default=False
            Whether the entry is part of the first list. Its endpoints may have run for
            long, so they count neither as just started nor as a new version.
        """
        now_s = self.clock.monotonic_s()
        endpoint = self.endpoints.get(entry.endpoint_id)
        if endpoint is not None and endpoint.entry.started_ms > entry.started_ms > 0:
            # Delayed entry of an earlier incarnation.
            return
        restarted = endpoint is None or endpoint.entry.started_ms != entry.started_ms
        cold_s = entry.cold_remaining_s
        if restarted and not in_first_list:
            cold_s = max(cold_s, self._cold_s(entry.service))
        if endpoint is not None and restarted:
            # Running attempts keep the earlier record. Most of them reached the new
            # process, whose slow answers while cold must not count against its version.
            endpoint.cold_until_s = max(endpoint.cold_until_s, now_s + cold_s)
        if endpoint is None or restarted:
            endpoint = KnownEndpoint(entry, EndpointHealth(self.clock))
            if not in_first_list and self._is_new_version(entry):
                endpoint.deferred_until_s = now_s + NEW_VERSION_DEFER_S
            self.endpoints[entry.endpoint_id] = endpoint
        doubted = endpoint.contradicts_leaving(entry, now_s=now_s)
        doubted_until_s = self.rewritten_by_s if self.restored_recently else 0.0
        endpoint.doubted_until_s = doubted_until_s if doubted else 0.0
        if endpoint.entry.address != entry.address:
            endpoint.misdirected_until_s = 0.0
        endpoint.entry = entry
        endpoint.gone_at_s = None
        endpoint.cold_until_s = max(endpoint.cold_until_s, now_s + cold_s)

    def _is_new_version(self, entry: EndpointEntry) -> bool:
        now_s = self.clock.monotonic_s()
        return not any(
            other.entry.service == entry.service
            and other.entry.version == entry.version
            and other.deferred_until_s <= now_s
            for other in self.endpoints.values()
        )

    def remove_endpoint(self, endpoint_id: str) -> bool:
        """Record that an entry no longer exists.

        After an outage of the store, endpoints that still run register again within
        ``LAPSE_GRACE_S`` and stay usable until then.

        Returns
        -------
        bool
            Whether the endpoint stays usable for that time.
        """
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.gone_at_s is not None:
            return False
        now_s = self.clock.monotonic_s()
        may_be_lost = (
            self.store.entries_may_have_expired
            or now_s - self.store_restored_s < RECENT_OUTAGE_S
        )
        if endpoint.entry.state is EndpointState.READY and may_be_lost:
            endpoint.gone_at_s = (
                now_s + LAPSE_GRACE_S
                if self.restored_recently
                else self.store.lapse_end_s(now_s, leave_s=self.endpoint_leave_s)
            )
            return endpoint.gone_at_s > now_s
        endpoint.gone_at_s = now_s
        return False

    def note_overload_limit(
        self, endpoint: KnownEndpoint, limit_per_s: float | None
    ) -> None:
        """Record the overload limit that an answer names; None if it names none."""
        endpoint.overload_limit_known = True
        endpoint.overload_limit_per_s = limit_per_s
        self._overload_limits_per_s[endpoint.entry.service] = limit_per_s

    def overload_limit_per_s(self, endpoint: KnownEndpoint) -> float | None:
        """Return the refusals per second beyond which an endpoint falls over, if any.

        Until its first answer, it is taken to bear what an endpoint of its service said
        last: all hosts could send to it at once before it says anything.
        """
        if endpoint.overload_limit_known:
            return endpoint.overload_limit_per_s
        return self._overload_limits_per_s.get(endpoint.entry.service)

    def note_leaving(self, endpoint: KnownEndpoint) -> bool:
        """Record that an endpoint's answer says that it leaves.

        It holds until another process registers as the endpoint, whatever the store
        says meanwhile.

        Returns
        -------
        bool
            Whether this is news.
        """
        if endpoint.leaving_since_s is not None:
            return False
        endpoint.leaving_since_s = self.clock.monotonic_s()
        return True

    def note_misdirected(self, endpoint: KnownEndpoint) -> None:
        """Record that another endpoint answers at this one's address for now."""
        endpoint.misdirected_until_s = self.clock.monotonic_s() + MISDIRECTED_LIFE_S

    def forget_outdated(self) -> None:
        """Drop what is not needed any more."""
        self.forget_gone()
        self.forget_unlisted()
        self.endpoint_limits.expire()
        self.outages.expire()

    def forget_gone(self) -> None:
        """Drop endpoints that have been gone for a while and run no attempt."""
        now_s = self.clock.monotonic_s()
        for endpoint_id, endpoint in list(self.endpoints.items()):
            if endpoint.gone_at_s is None or endpoint.in_flight_count:
                continue
            if now_s - endpoint.gone_at_s > GONE_RETENTION_S:
                del self.endpoints[endpoint_id]

    def set_evacuated(self, domains: set[str]) -> None:
        """Apply the failure domains that operators have evacuated.

        Endpoints of a domain that returns to service count as cold, because they may
        have become cold shortly before.
        """
        now_s = self.clock.monotonic_s()
        returned_domains = self.evacuated_domains - domains
        self.evacuated_domains = domains
        for endpoint in self.endpoints.values():
            if endpoint.entry.domain in returned_domains:
                cold_s = self._cold_s(endpoint.entry.service)
                endpoint.cold_until_s = max(endpoint.cold_until_s, now_s + cold_s)

    def cold_left_s(self, endpoint: KnownEndpoint) -> float:
        """Return the time for which an endpoint is or may be cold; 0 if it is not.

        One that was down may have started again since.
        """
        cold_s = self._cold_s(endpoint.entry.service)
        may_be_until_s = self.outages.cold_until_s(endpoint.incarnation_id, cold_s)
        until_s = max(endpoint.cold_until_s, may_be_until_s)
        return max(0.0, until_s - self.clock.monotonic_s())

    def _cold_s(self, service: str) -> float:
        if self.configuration is None:
            return 0.0
        return self.configuration.service(service).cold_s

    def may_send(self, endpoint: KnownEndpoint) -> bool:
        """Return whether an endpoint may receive a new request now."""
        return endpoint.leaving_since_s is None and self._is_registered(endpoint)

    def _is_registered(self, endpoint: KnownEndpoint) -> bool:
        """Return whether the store's objects let an endpoint be used."""
        entry = endpoint.entry
        if entry.state is not EndpointState.READY:
            return False
        if entry.domain in self.evacuated_domains:
            return False
        now_s = self.clock.monotonic_s()
        if now_s < max(endpoint.doubted_until_s, endpoint.misdirected_until_s):
            return False
        return endpoint.gone_at_s is None or now_s < endpoint.gone_at_s

    def _still_serves(self, endpoint: KnownEndpoint) -> bool:
        """Return whether an endpoint that leaves may get requests if need be."""
        if endpoint.leaving_since_s is None or not self._is_registered(endpoint):
            return False
        elapsed_s = self.clock.monotonic_s() - endpoint.leaving_since_s
        return elapsed_s < LEAVE_SEND_SHARE * self.endpoint_leave_s

    def allowed_versions(self, service: str, session_position: float) -> VersionFilter:
        """Return the versions of ``service`` that a session may use now.

        The parameter is the one of :func:`versions_for_session`.
        """
        return versions_for_session(self.rollouts.get(service), session_position)

    def usable(self, service: str, versions: VersionFilter) -> list[KnownEndpoint]:
        """Return the endpoints of ``service`` that a request may use now.

        Endpoints of an excluded version are used if there are no others, which happens
        on a host that has not received the end of a roll-out.
        """
        available = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.entry.service == service and self.may_send(endpoint)
        ]
        allowed = [
            endpoint
            for endpoint in available
            if versions.allows(endpoint.entry.version)
        ]
        if service not in self.rollouts:
            now_s = self.clock.monotonic_s()
            allowed = [
                endpoint for endpoint in allowed if endpoint.deferred_until_s <= now_s
            ]
        if not allowed:
            allowed = self._last_resort(service, versions)
        return allowed or ([] if versions.only else available)

    def usable_count(self, service: str) -> int:
        """Return the number of endpoints of ``service`` that may get requests."""
        return sum(
            endpoint.entry.service == service and self.may_send(endpoint)
            for endpoint in self.endpoints.values()
        )

    @property
    def uneven_count(self) -> int:
        """Number of endpoints whose time per event differs from the mean."""
        return sum(e.relative_event_time != 1.0 for e in self.endpoints.values())

    def _last_resort(
        self, service: str, versions: VersionFilter
    ) -> list[KnownEndpoint]:
        """Return endpoints that leave, which are better than an excluded version."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.entry.service == service
            and versions.allows(endpoint.entry.version)
            and self._still_serves(endpoint)
        ]
