"""Relay the store's changes and share loads between the hosts of a failure domain.

Two hosts of each failure domain, the relays, watch the store. The others ask one of
them a few times a second for what changed, and now and then the other one. A host whose
relays are silent, or have not heard from the store lately, watches the store itself
until they are back. With the same messages the hosts tell each other their load on the
endpoints and the requests that took endpoints down.
"""

import asyncio
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._stored_records import object_record, stored_entry
from sesameknot.coordination.crash_exchange import CrashExchange
from sesameknot.coordination.store_follower import StoreFollower, StoreLink
from sesameknot.errors import RouterError
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.protocol.messages import (
    DomainSync,
    DomainSyncReply,
    EndpointLoads,
    ObjectVersion,
)
from sesameknot.state.fleet_view import FleetView
from sesameknot.transport.peer_client import PeerClient

RELAY_COUNT = 2
PERIOD_S = 0.4
CALL_TIMEOUT_S = 0.3
# Left of the time in which a configuration must be in force, for calls and timers.
APPLY_MARGIN_S = 0.5
# The store's last answer to a relay may be this much older than its longest wait.
PROBE_MARGIN_S = 0.4
# Periods between two calls to the second relay while the first one is current. The
# second one must hear a host's load within its life.
SECOND_PERIOD_COUNT = 3
# Periods between two calls to the relays of other failure domains.
FAR_PERIOD_COUNT = 2
LOAD_LIFE_S = 2.0

log = structlog.get_logger(__name__)

Loads = dict[str, tuple[int, int]]


@dataclass(slots=True)
class _HeardLoads:
    loads: Loads
    heard_s: float


class DomainExchange:
    """Task that talks to the relays, and serves other hosts as a relay.

    Parameters
    ----------
    view : FleetView
        Hosts, endpoints and loads.
    followers : sequence of StoreFollower
        Followers of this host.
    link : StoreLink
        Told whether the store's changes are relayed.
    crashes : CrashExchange
        Requests that took endpoints down.
    peers : PeerClient
        Calls other hosts.
    host_id, domain : str
        This host and its failure domain.
    clock : Clock
        Source of monotonic time.
    probe : StoreFollower
        Follower whose watch shows whether the store answers.
    apply_limit_s : float
        Time in which a configuration must be in force.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        followers: Sequence[StoreFollower],
        link: StoreLink,
        crashes: CrashExchange,
        peers: PeerClient,
        host_id: str,
        domain: str,
        clock: Clock,
        probe: StoreFollower,
        apply_limit_s: float,
    ) -> None:
        self._view = view
        self._followers = {follower.kind: follower for follower in followers}
        self._probe = probe
        self._direct_wait_s = probe.pace.wait_s
        self._store_age_limit_s = apply_limit_s - PERIOD_S - APPLY_MARGIN_S
        self._relay_wait_s = max(0.2, self._store_age_limit_s - PROBE_MARGIN_S)
        self._link = link
        self._crashes = crashes
        self._peers = peers
        self._host_id = host_id
        self._domain = domain
        self._clock = clock
        self._near: dict[str, _HeardLoads] = {}
        self._far: dict[str, _HeardLoads] = {}

    def relays(self, domain: str) -> list[str]:
        """Return the hosts of a failure domain that watch the store for it."""
        hosts = [h.host_id for h in self._view.hosts.values() if h.domain == domain]
        return rendezvous_order(f"relay {domain}", hosts)[:RELAY_COUNT]

    async def run(self) -> None:
        """Exchange with the relays until cancelled."""
        round_count = 0
        while True:
            await asyncio.sleep(PERIOD_S * random.uniform(0.9, 1.1))
            relays = self.relays(self._domain)
            if self._host_id in relays or not relays:
                await self._be_relay(relays)
                if round_count % FAR_PERIOD_COUNT == 0:
                    await self._ask_far()
            else:
                both = round_count % SECOND_PERIOD_COUNT == 0
                await self._ask_relays(relays, both=both or not self._link.relayed)
            round_count += 1
            self._apply_loads()

    async def _be_relay(self, relays: list[str]) -> None:
        serving = any(
            self._fresh(heard) and host_id not in relays
            for host_id, heard in self._near.items()
        )
        wait_s = self._relay_wait_s if serving else self._direct_wait_s
        if wait_s < self._probe.pace.wait_s:
            # The watch that waits now would return too late.
            self._link.interrupt()
        self._probe.pace.wait_s = wait_s
        self._set_relayed(False, reason="this host is a relay")
        others = [relay for relay in relays if relay != self._host_id]
        await self._sync(others, loads=self._own_loads())

    def _set_relayed(self, relayed: bool, *, reason: str) -> None:
        if relayed != self._link.relayed:
            log.info("store_relay_changed", relayed=relayed, reason=reason)
        self._link.relay(relayed)

    async def _ask_relays(self, relays: list[str], *, both: bool) -> None:
        self._probe.pace.wait_s = self._direct_wait_s
        # Half of the hosts ask either relay first.
        preferred = rendezvous_order(self._host_id, relays)
        asked = preferred if both else preferred[:1]
        current = await self._sync_with(asked)
        if not current and not both:
            current = await self._sync_with(preferred[1:])
        self._set_relayed(current > 0, reason=f"{current} relays are current")

    async def _sync_with(self, relays: list[str]) -> int:
        """Exchange with relays; return how many of them heard the store lately."""
        listed = all(follower.listed for follower in self._followers.values())
        versions = self._versions() if listed else []
        replies = await self._sync(relays, loads=self._own_loads(), versions=versions)
        current = 0
        for relay, reply in replies.items():
            self._far[relay] = self._heard(reply.loads)
            if listed and reply.store_age_ms <= self._store_age_limit_s * 1000.0:
                current += 1
                self._take_objects(reply)
        return current

    async def _ask_far(self) -> None:
        domains = {host.domain for host in self._view.hosts.values()} - {self._domain}
        targets = [self.relays(domain)[0] for domain in sorted(domains)]
        replies = await self._sync(targets, loads=self._domain_loads(without=""))
        for target, reply in replies.items():
            self._far[target] = self._heard(reply.loads)

    async def _sync(
        self,
        host_ids: Sequence[str],
        *,
        loads: Loads,
        versions: Sequence[ObjectVersion] = (),
    ) -> dict[str, DomainSyncReply]:
        """Ask hosts at once, take their crash counts and return their answers."""
        request = DomainSync(
            host_id=self._host_id,
            versions=list(versions),
            loads=_columns(loads),
            crashes=self._crashes.counts(),
        )
        found = await asyncio.gather(*(self._ask(host, request) for host in host_ids))
        replies = {
            host_id: reply
            for host_id, reply in zip(host_ids, found, strict=True)
            if reply is not None
        }
        for reply in replies.values():
            self._crashes.merge(reply.crashes)
        return replies

    async def _ask(self, host_id: str, request: DomainSync) -> DomainSyncReply | None:
        host = self._view.hosts.get(host_id)
        if host is None:
            return None
        try:
            return await self._peers.call(
                host.peer_address,
                request,
                expect=DomainSyncReply,
                timeout_s=CALL_TIMEOUT_S,
            )
        except RouterError as error:
            log.info("peer_silent", peer=host_id, step=error.step, reason=error.message)
            return None

    def _versions(self) -> list[ObjectVersion]:
        return [
            ObjectVersion(key=kind, version=follower.revision)
            for kind, follower in self._followers.items()
        ]

    def _take_objects(self, reply: DomainSyncReply) -> None:
        now_s = self._clock.monotonic_s()
        failed_s = now_s - reply.store_failed_age_ms / 1000.0
        self._view.store_failed_s = max(self._view.store_failed_s, failed_s)
        entries = [stored_entry(record) for record in reply.objects]
        for version in reply.versions:
            follower = self._followers.get(version.key)
            if follower is None or version.version <= follower.revision:
                continue
            own = [entry for entry in entries if entry.kind == version.key]
            if version.key in reply.whole_kinds:
                follower.adopt(own, version.version)
            else:
                follower.relay(own, version.version)

    async def answer(self, request: DomainSync) -> DomainSyncReply:
        """Answer another host; from another failure domain only loads are asked."""
        sender = self._view.hosts.get(request.host_id)
        near = sender is None or sender.domain == self._domain
        heard = self._near if near else self._far
        heard[request.host_id] = self._heard(request.loads)
        self._crashes.merge(request.crashes)
        loads = self._domain_loads(without=request.host_id)
        if near:
            loads = _sum([loads, self._far_loads()])
        reply = DomainSyncReply(
            store_age_ms=self._store_age_ms(),
            store_failed_age_ms=self._age_ms(self._view.store_failed_s),
            loads=_columns(loads),
            crashes=self._crashes.counts(),
        )
        for version in request.versions:
            self._give_objects(version, reply)
        return reply

    def _give_objects(self, version: ObjectVersion, reply: DomainSyncReply) -> None:
        follower = self._followers.get(version.key)
        if follower is None or follower.revision <= version.version:
            return
        changes = follower.changes_since(version.version)
        if changes is None:
            reply.whole_kinds.append(version.key)
            changes = list(follower.entries.values())
        reply.versions.append(ObjectVersion(key=version.key, version=follower.revision))
        reply.objects += [object_record(entry) for entry in changes]

    def _store_age_ms(self) -> float:
        """Return the time since the store last answered for every kind.

        A call that failed a moment ago is no reason for all hosts to call the store.
        """
        followers = self._followers.values()
        if self._link.relayed or not all(f.listed for f in followers):
            return float("inf")
        lost_s = min(follower.lost_s for follower in followers)
        return self._age_ms(min(self._probe.answered_s, lost_s))

    def _age_ms(self, at_s: float) -> float:
        return (self._clock.monotonic_s() - at_s) * 1000.0

    def _heard(self, columns: EndpointLoads) -> _HeardLoads:
        loads = zip(columns.in_flight_counts, columns.pending_tokens, strict=False)
        by_endpoint = dict(zip(columns.endpoint_ids, loads, strict=False))
        return _HeardLoads(by_endpoint, self._clock.monotonic_s())

    def _own_loads(self) -> Loads:
        return {
            known.endpoint_id: (known.in_flight_count, known.pending_tokens)
            for known in self._view.endpoints.values()
            if known.in_flight_count
        }

    def _domain_loads(self, *, without: str) -> Loads:
        return _sum([self._own_loads(), *self._near_loads(without=without)])

    def _near_loads(self, *, without: str = "") -> list[Loads]:
        return [
            heard.loads
            for host_id, heard in self._near.items()
            if host_id != without and self._fresh(heard)
        ]

    def _far_loads(self) -> Loads:
        """Return the loads of other domains; of two reports for one the last counts."""
        latest: dict[str, _HeardLoads] = {}
        for host_id, heard in self._far.items():
            host = self._view.hosts.get(host_id)
            if host is None or not self._fresh(heard):
                continue
            present = latest.get(host.domain)
            if present is None or present.heard_s < heard.heard_s:
                latest[host.domain] = heard
        return _sum(heard.loads for heard in latest.values())

    def _fresh(self, heard: _HeardLoads) -> bool:
        return self._clock.monotonic_s() - heard.heard_s < LOAD_LIFE_S

    def _apply_loads(self) -> None:
        total = _sum([self._far_loads(), *self._near_loads()])
        for known in self._view.endpoints.values():
            known.other_in_flight_count, known.other_pending_tokens = total.get(
                known.endpoint_id, (0, 0)
            )


def _sum(parts: Iterable[Loads]) -> Loads:
    total: Loads = {}
    for part in parts:
        for endpoint_id, (in_flight, tokens) in part.items():
            known = total.get(endpoint_id, (0, 0))
            total[endpoint_id] = (known[0] + in_flight, known[1] + tokens)
    return total


def _columns(loads: Loads) -> EndpointLoads:
    return EndpointLoads(
        endpoint_ids=list(loads),
        in_flight_counts=[in_flight for in_flight, _ in loads.values()],
        pending_tokens=[tokens for _, tokens in loads.values()],
    )
