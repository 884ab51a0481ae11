"""Register this host in the store and read the list of front hosts.

Entries don't expire. A host removes its own at a planned stop, and the first relay of a
failure domain those of hosts that have been lost for long.
"""

import asyncio
import random

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.relay_order import RelayOrder
from sesameknot.errors import PlatformError
from sesameknot.platform import (
    HOST_KIND,
    EntryBatch,
    EntryConflictError,
    EntryError,
    StoreClient,
    decode_host,
    encode_host,
)
from sesameknot.protocol.fleet_records import HostEntry
from sesameknot.settings.front import StoreSettings
from sesameknot.state.fleet_view import FleetView

# Interval of the first refresh. Hosts that start together find few others in the list
# at first, so the interval doubles from here to its usual length.
INITIAL_INTERVAL_S = 1.0
# Relative jitter of the refresh interval.
INTERVAL_JITTER = 0.2
# A lost host's entry is removed after this time, which is longer than freezes and cuts
# usually last. A host that lives all the same adds its entry again.
LOST_ENTRY_LIFE_S = 60.0
# A stale copy of the list may be older than the store by this.
STALE_COPY_AGE_S = 3.0

log = structlog.get_logger(__name__)


class HostDirectory:
    """Task that registers this host and refreshes the list of front hosts.

    The list is read from a stale copy, at a tenth of the price of a consistent read,
    and may be seconds old.

    Parameters
    ----------
    store : StoreClient
        The store.
    view : FleetView
        View that receives the list.
    own_host : HostEntry
        This host.
    settings : StoreSettings
        Refresh interval and pauses after failures.
    order : RelayOrder
        Tells whether this host is the first relay, which removes the entries of lost
        hosts.
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    joined_s : float
        Monotonic time at which this host was added to the list; minus infinity if it
        was in the list before this process started.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        view: FleetView,
        own_host: HostEntry,
        settings: StoreSettings,
        order: RelayOrder,
        clock: Clock,
    ) -> None:
        self._store = store
        self._view = view
        self._own_host = own_host
        self._settings = settings
        self._order = order
        self._clock = clock
        self._registered_s: float | None = None
        self._deregistered = False
        self.joined_s = float("-inf")

    @property
    def settle_s(self) -> float:
        """Time in which all hosts learn of a host that was added to the list."""
        interval_s = self._settings.host_list_interval_s
        return (1.0 + INTERVAL_JITTER) * interval_s + STALE_COPY_AGE_S

    async def run(self) -> None:
        """Register this host, then refresh the list until cancelled."""
        interval_s = INITIAL_INTERVAL_S
        while True:
            pause_s = interval_s
            interval_s = min(self._settings.host_list_interval_s, 2.0 * interval_s)
            try:
                if self._registered_s is None and not self._deregistered:
                    await self._register()
                await self.refresh()
            except PlatformError as error:
                log.info("host_list_failed", step=error.step, reason=error.message)
                if self._registered_s is None:
                    pause_s = self._settings.retry_max_s
            jitter = random.uniform(1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER)
            await asyncio.sleep(pause_s * jitter)

    async def _register(self) -> None:
        content = encode_host(self._own_host)
        try:
            await self._store.create(HOST_KIND, self._own_host.host_id, content)
            self.joined_s = self._clock.monotonic_s()
        except EntryConflictError as error:
            # An earlier process of this host did not remove its entry. An unchanged one
            # is kept, which saves a call of each host after a power-off of all.
            if error.entry is None or error.entry.spec != content:
                await self._store.replace(HOST_KIND, self._own_host.host_id, content)
        self._registered_s = self._clock.monotonic_s()

    async def refresh(self) -> None:
        """Read the list once.

        Raises
        ------
        PlatformError
            If the store does not answer.
        """
        previous_count = len(self._view.hosts)
        changes = await self._store.list(HOST_KIND, allow_stale=previous_count > 1)
        hosts = {self._own_host.host_id: self._own_host}
        for entry in changes.entries:
            try:
                host = decode_host(entry)
            except EntryError as error:
                log.warning("entry_rejected", entry=error.peer, reason=error.message)
                continue
            hosts[host.host_id] = host
        self._check_registration(changes)
        if set(hosts) != set(self._view.hosts):
            log.info("hosts_changed", count=len(hosts), before=previous_count)
        self._view.replace_hosts(hosts)
        await self._remove_lost(changes)

    async def _remove_lost(self, changes: EntryBatch) -> None:
        """Remove the entries of hosts of this domain that have been lost for long."""
        if self._deregistered or not self._order.is_first_relay:
            return
        for entry in changes.entries:
            host = self._view.hosts.get(entry.name)
            lost_s = self._view.liveness.lost_s(entry.name)
            if host is None or host.domain != self._own_host.domain:
                continue
            if lost_s < LOST_ENTRY_LIFE_S:
                continue
            # The entry may have been replaced since the stale copy was made.
            removed = await self._store.delete(
                HOST_KIND, entry.name, revision=entry.revision
            )
            log.info(
                "host_entry_removed",
                host=entry.name,
                lost_s=round(lost_s),
                removed=removed,
            )

    def _check_registration(self, changes: EntryBatch) -> None:
        """Register again next time if the store has lost this host's entry.

        It loses what was written last when it comes back from a copy.
        """
        if self._registered_s is None or self._deregistered:
            return
        if any(entry.name == self._own_host.host_id for entry in changes.entries):
            return
        if self._clock.monotonic_s() - self._registered_s > STALE_COPY_AGE_S:
            log.warning("host_entry_lost", host=self._own_host.host_id)
            self._registered_s = None

    async def deregister(self) -> None:
        """Remove this host's entry; a failure is only logged."""
        self._deregistered = True
        try:
            await self._store.delete(HOST_KIND, self._own_host.host_id)
        except PlatformError as error:
            log.info("host_entry_not_removed", reason=error.message)
