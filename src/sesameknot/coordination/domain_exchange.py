"""Relay the store's changes and share loads between the hosts of a failure domain.

Two hosts of each failure domain, the relays, watch the store. The others poll one relay
for changes a few times a second, and both relays at longer intervals. A host whose
relays do not answer, or have had no recent answer from the store, watches the store
itself until a relay is up to date again. It does so in time to learn of a change within
the limit on its use, however the relays fail. The same messages carry each host's load
on the endpoints and the requests that crashed endpoints.

The relays are the first two hosts in an order that all hosts compute, without those
that are lost. Until the hosts agree that a relay is lost, those that it leaves without
an answer also call the hosts that come next.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._change_replies import (
    INLINE_LIMIT_BYTES,
    ChangeReplies,
    DeferredKinds,
)
from sesameknot.coordination._exchange_rounds import (
    calls_both_relays,
    calls_other_domains,
    pace_turn,
)
from sesameknot.coordination._load_reports import LoadReports
from sesameknot.coordination._pace_reports import PaceReports
from sesameknot.coordination._stored_records import stored_entry
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.coordination.relay_order import RelayOrder
from sesameknot.coordination.shared_findings import SharedFindings
from sesameknot.coordination.snapshot_exchange import SnapshotExchange
from sesameknot.coordination.store_follower import StoreFollower
from sesameknot.coordination.store_link import StoreLink
from sesameknot.policy.endpoint_pace import EndpointPace
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.protocol.messages import (
    DomainSync,
    DomainSyncReply,
    EndpointLoads,
    ObjectVersion,
)
from sesameknot.state.fleet_view import FleetView

EXCHANGE_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 0.3
# Replies are read at most this long after the call, unless this process was paused.
REPLY_AGE_LIMIT_S = 2.0 * CALL_TIMEOUT_S
# Part of the time within which a change must be in force that remains when a host whose
# relays failed asks the store itself: for its answer and requests that are being sent.
FALLBACK_MARGIN_S = 0.4
# The store's last answer to a relay may be older than its longest wait by this much.
PROBE_MARGIN_S = 0.4

log = structlog.get_logger(__name__)


class DomainExchange:
    """Task that exchanges with the relays, and serves other hosts as a relay.

    Parameters
    ----------
    view : FleetView
        Hosts, endpoints and loads.
    followers : sequence of StoreFollower
        Followers of this host.
    link : StoreLink
        Receives whether the store's changes are relayed.
    findings : SharedFindings
        What hosts tell each other of crashes and outages of endpoints.
    on_new_outage : callable
        Called when this host, a relay, learned of an outage that others need.
    snapshots : SnapshotExchange
        Passes on kinds that are too large for a reply.
    calls : HostCalls
        Calls other hosts.
    order : RelayOrder
        Tells which hosts are relays.
    host_id, domain : str
        Name of this host and its failure domain.
    clock : Clock
        Source of monotonic time.
    probe : StoreFollower
        Follower whose watch shows whether the store answers.
    apply_limit_s : float
        Time within which a change in the store must be in force.
    endpoint_pace : EndpointPace or None, default=None
        Time per event by endpoint, shared with the other hosts; None if it is not
        learnt.

    Attributes
    ----------
    relay_answered_s : float
        Monotonic time of the last answer of a relay that was up to date.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        followers: Sequence[StoreFollower],
        link: StoreLink,
        findings: SharedFindings,
        on_new_outage: Callable[[], None],
        snapshots: SnapshotExchange,
        calls: HostCalls,
        order: RelayOrder,
        host_id: str,
        domain: str,
        clock: Clock,
        probe: StoreFollower,
        apply_limit_s: float,
        endpoint_pace: EndpointPace | None = None,
    ) -> None:
        self._view = view
        self._followers = {follower.kind: follower for follower in followers}
        self._probe = probe
        self._default_wait_s = probe.timing.wait_s
        self.relay_answered_s = float("-inf")
        self._store_age_limit_s = apply_limit_s - FALLBACK_MARGIN_S
        probe_age_limit_s = self._store_age_limit_s - EXCHANGE_INTERVAL_S
        self._relay_wait_s = max(0.2, probe_age_limit_s - PROBE_MARGIN_S)
        self._fallback_timer: asyncio.TimerHandle | None = None
        self._link = link
        self._findings = findings
        self._on_new_outage = on_new_outage
        self._calls = calls
        self._order = order
        self._host_id = host_id
        self._domain = domain
        self._clock = clock
        paces = None
        if endpoint_pace is not None:
            paces = PaceReports(endpoint_pace, view=view, domain=domain, clock=clock)
        self._loads = LoadReports(view, paces=paces, clock=clock)
        self._with_paces = False
        self._snapshots = snapshots
        self._change_replies = ChangeReplies(self._followers, snapshots=snapshots)
        self._deferred = DeferredKinds(self._followers)
        self._checks = BackgroundTasks()

    async def run(self) -> None:
        """Exchange with other hosts until cancelled."""
        round_count = 0
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S * random.uniform(0.9, 1.1))
            relays = self._order.own_relays
            is_relay = self._host_id in relays or not relays
            self._with_paces = self._loads.paces_due(pace_turn(round_count))
            if self._with_paces:
                self._loads.refresh_paces(is_relay=is_relay)
            if is_relay:
                await self._exchange_as_relay(relays)
                if calls_other_domains(round_count) or self._is_cut_off:
                    await self._exchange_with_other_domains()
            else:
                call_both = calls_both_relays(round_count) or not self._link.relayed
                await self._exchange_with_relays(relays, call_both=call_both)
            self._check_hosts(is_relay=is_relay)
            round_count += 1
            self._loads.apply()

    def _check_hosts(self, *, is_relay: bool) -> None:
        """Call hosts that are lost, and those that should have called this relay.

        They are called beside the exchange, which must not wait for lost hosts.
        """
        watched_ids = self._order.hosts(self._domain) if is_relay else []
        due_ids = self._view.liveness.due_checks(
            host_id for host_id in watched_ids if host_id != self._host_id
        )
        for host_id in due_ids:
            self._checks.spawn(self._check_host(host_id))

    async def _check_host(self, host_id: str) -> None:
        # Loads stay out of it: they would count twice at a host that this one serves.
        request = DomainSync(host_id=self._host_id, outages_only=True)
        self._findings.add_to(request)
        await self._call(host_id, request)

    async def _exchange_as_relay(self, relays: list[str]) -> None:
        serves_hosts = self._loads.serves_hosts_besides(relays)
        wait_s = self._relay_wait_s if serves_hosts else self._default_wait_s
        if wait_s < self._probe.timing.wait_s:
            # The current watch waits longer and would return too late.
            self._link.interrupt()
        self._probe.timing.wait_s = wait_s
        self._set_relayed(False, reason="this host is a relay")
        others = [relay for relay in relays if relay != self._host_id]
        replies = await self._sync(
            others,
            loads=self._loads.own(with_paces=self._with_paces),
            versions=self._versions_if_cut_off(),
        )
        for relay, reply in replies.items():
            self._take_changes(relay, reply)

    @property
    def _is_cut_off(self) -> bool:
        """Whether the store does not answer this host.

        It may turn away single hosts; other relays then have the changes.
        """
        return any(follower.failing for follower in self._followers.values())

    def _versions_if_cut_off(self) -> list[ObjectVersion]:
        return self._versions() if self._is_cut_off and self._listed else []

    def _fall_back_at_age(self, store_age_ms: float) -> None:
        """Watch the store once what the relays told is too old.

        Rounds are too far apart for this when relays do not answer.
        """
        if self._fallback_timer is not None:
            self._fallback_timer.cancel()
        self._fallback_timer = asyncio.get_running_loop().call_later(
            self._store_age_limit_s - store_age_ms / 1000.0, self._fall_back
        )

    def _fall_back(self) -> None:
        self._set_relayed(False, reason="the relays' last answer is too old")

    def _set_relayed(self, relayed: bool, *, reason: str) -> None:
        if relayed != self._link.relayed:
            log.info("store_relay_changed", relayed=relayed, reason=reason)
        self._link.set_relayed(relayed)

    async def _exchange_with_relays(
        self, relays: list[str], *, call_both: bool
    ) -> None:
        self._probe.timing.wait_s = self._default_wait_s
        # Each relay is the first choice of half of the hosts.
        preferred = rendezvous_order(self._host_id, relays)
        called_relays = preferred if call_both else preferred[:1]
        up_to_date_count = await self._sync_relays(called_relays)
        if not up_to_date_count and not call_both:
            up_to_date_count = await self._sync_relays(preferred[1:])
        # They may rely on this host in turn, so it watches the store all the same.
        await self._sync_relays(self._order.substitutes())
        self._set_relayed(
            up_to_date_count > 0, reason=f"{up_to_date_count} relays are up to date"
        )

    async def _sync_relays(self, relays: list[str]) -> int:
        """Exchange with relays; return how many of them are up to date."""
        versions = self._versions() if self._listed else []
        loads = self._loads.own(with_paces=self._with_paces)
        replies = await self._sync(relays, loads=loads, versions=versions)
        store_ages_ms = []
        for relay, reply in replies.items():
            self._loads.add_relay(relay, reply.loads)
            if self._listed and self._is_up_to_date(reply):
                store_ages_ms.append(reply.store_age_ms)
                failed_s = (
                    self._clock.monotonic_s() - reply.store_failed_age_ms / 1000.0
                )
                self._view.store_failed_s = max(self._view.store_failed_s, failed_s)
                self._take_changes(relay, reply)
        if not store_ages_ms:
            return 0
        self.relay_answered_s = self._clock.monotonic_s()
        missing_age_ms = self._age_ms(self._deferred.missing_since_s())
        age_ms = max(min(store_ages_ms), missing_age_ms)
        self._fall_back_at_age(age_ms)
        return len(store_ages_ms) if age_ms <= self._store_age_limit_s * 1000.0 else 0

    def _take_changes(self, host_id: str, reply: DomainSyncReply) -> None:
        """Apply what a host knows beyond what this host does, however old it is."""
        if not self._listed or reply.store_era < self._known_era:
            return
        self._view.store.note_answer(age_s=reply.store_age_ms / 1000.0)
        self._apply_changes(reply)
        current_s = self._clock.monotonic_s() - reply.store_age_ms / 1000.0
        host = self._view.hosts.get(host_id)
        for version in reply.deferred:
            if self._deferred.note(version, current_s=current_s) and host is not None:
                self._snapshots.fetch(host.peer_address, version)

    @property
    def _listed(self) -> bool:
        return all(follower.listed for follower in self._followers.values())

    def _is_up_to_date(self, reply: DomainSyncReply) -> bool:
        """Return whether the store answered the relay lately, in the latest era."""
        age_limit_ms = self._store_age_limit_s * 1000.0
        return reply.store_era >= self._known_era and reply.store_age_ms <= age_limit_ms

    @property
    def _known_era(self) -> int:
        return max(follower.era for follower in self._followers.values())

    async def _exchange_with_other_domains(self) -> None:
        replies = await self._sync(
            self._order.contacts_in_other_domains(),
            loads=self._loads.domain(with_paces=self._with_paces),
            versions=self._versions_if_cut_off(),
        )
        for target, reply in replies.items():
            self._loads.add_relay(target, reply.loads)
            self._take_changes(target, reply)

    async def _sync(
        self,
        host_ids: Sequence[str],
        *,
        loads: EndpointLoads,
        versions: Sequence[ObjectVersion] = (),
    ) -> dict[str, DomainSyncReply]:
        """Call hosts concurrently, merge their findings and return the replies."""
        started_s = self._clock.boot_s()
        request = DomainSync(
            host_id=self._host_id,
            versions=list(versions),
            loads=loads,
            object_limit_bytes=INLINE_LIMIT_BYTES,
        )
        self._findings.add_to(request)
        results = await asyncio.gather(
            *(self._call(host, request) for host in host_ids)
        )
        if self._clock.boot_s() - started_s > REPLY_AGE_LIMIT_S:
            # This process was paused meanwhile, so the replies are as old as the pause.
            return {}
        replies = {
            host_id: reply
            for host_id, reply in zip(host_ids, results, strict=True)
            if reply is not None
        }
        for reply in replies.values():
            self._merge_findings(reply)
        return replies

    def _merge_findings(self, message: DomainSync | DomainSyncReply) -> None:
        has_new_outage = self._findings.merge(message)
        if has_new_outage and self._order.is_relay:
            # Relays pass it on to the hosts that they serve and to other relays.
            self._on_new_outage()

    async def _call(self, host_id: str, request: DomainSync) -> DomainSyncReply | None:
        return await self._calls.call(
            host_id, request, expect=DomainSyncReply, timeout_s=CALL_TIMEOUT_S
        )

    def _versions(self) -> list[ObjectVersion]:
        return [
            ObjectVersion(key=kind, version=follower.revision, era=follower.era)
            for kind, follower in self._followers.items()
        ]

    def _apply_changes(self, reply: DomainSyncReply) -> None:
        entries = [stored_entry(record) for record in reply.objects]
        for version in reply.versions:
            follower = self._followers.get(version.key)
            position = (version.era, version.version)
            if follower is None or position <= follower.position:
                continue
            kind_entries = [entry for entry in entries if entry.kind == version.key]
            if version.key in reply.whole_kinds:
                follower.adopt(kind_entries, version.version, era=version.era)
            else:
                follower.apply_relayed(kind_entries, version.version)

    async def answer(self, request: DomainSync) -> DomainSyncReply:
        """Answer another host; hosts of other failure domains only exchange loads."""
        self._view.liveness.note_answer(request.host_id)
        if request.outages_only:
            self._merge_findings(request)
            return DomainSyncReply()
        sender = self._view.hosts.get(request.host_id)
        same_domain = sender is None or sender.domain == self._domain
        add_report = self._loads.add_host if same_domain else self._loads.add_relay
        add_report(request.host_id, request.loads)
        self._merge_findings(request)
        loads = self._loads.answer(
            request.host_id,
            same_domain=same_domain,
            with_paces=request.loads.with_paces,
        )
        reply = DomainSyncReply(
            store_age_ms=self._store_age_ms(),
            store_failed_age_ms=self._age_ms(self._view.store_failed_s),
            store_era=min(follower.era for follower in self._followers.values()),
            loads=loads,
        )
        self._findings.add_to(reply)
        self._change_replies.add_changes(request, reply)
        return reply

    def close(self) -> None:
        """Cancel calls under way."""
        self._checks.cancel()

    def _store_age_ms(self) -> float:
        """Return the time since the store's last answer; infinite without a watch.

        It counts from the last answer to the probe, or from the first failed call or
        the last answer before a pause if that is earlier. One call that has just failed
        must not make all other hosts call the store, nor must a lost history.
        """
        followers = self._followers.values()
        if self._link.relayed:
            return float("inf")
        failing_since_s = min(follower.failing_since_s for follower in followers)
        complete_as_of_s = min(follower.complete_as_of_s for follower in followers)
        return self._age_ms(
            min(self._probe.last_answer_s, failing_since_s, complete_as_of_s)
        )

    def _age_ms(self, at_s: float) -> float:
        return (self._clock.monotonic_s() - at_s) * 1000.0
