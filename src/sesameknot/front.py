"""Composition root of the front process: builds and runs its components."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

import structlog
from aioprometheus.collectors import Registry
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from sesameknot._front_exchange import build_exchange
from sesameknot._front_followers import build_followers
from sesameknot._front_listeners import FrontListeners
from sesameknot._front_memory import build_body_admission
from sesameknot._front_request_path import RequestPathBuilder
from sesameknot._front_rollouts import build_rollout_coordinator
from sesameknot._front_shutdown import finish_requests
from sesameknot.clock import Clock, SystemClock
from sesameknot.coordination.crash_archive import CrashArchive
from sesameknot.coordination.crash_exchange import CrashExchange
from sesameknot.coordination.endpoint_permits import EndpointPermits
from sesameknot.coordination.endpoint_slots import EndpointSlots
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.coordination.host_directory import HostDirectory
from sesameknot.coordination.pause_guard import PauseGuard
from sesameknot.coordination.peer_snapshot import PeerSnapshot
from sesameknot.coordination.reachability_check import ReachabilityCheck
from sesameknot.coordination.relay_order import RelayOrder
from sesameknot.coordination.shared_findings import SharedFindings
from sesameknot.coordination.snapshot_exchange import SnapshotExchange
from sesameknot.coordination.store_link import StoreLink
from sesameknot.forwarding.ingress import Ingress
from sesameknot.forwarding.status_pages import StatusPages
from sesameknot.platform import StoreClient
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.endpoint_pace import EndpointPace
from sesameknot.policy.prompt_part_guard import PromptPartGuard
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.protocol.fleet_records import HostEntry
from sesameknot.protocol.messages import (
    DomainSync,
    EndpointPermitRequest,
    EndpointSlotRequest,
    ObjectSync,
    SnapshotPartRequest,
    StatsReply,
    StatsRequest,
)
from sesameknot.router.drain import Drain
from sesameknot.router.metrics import RouterMetrics
from sesameknot.settings.front import FrontSettings
from sesameknot.settings.host import HostSettings
from sesameknot.state.attempt_counts import AttemptCounts
from sesameknot.state.endpoint_reachability import EndpointReachability
from sesameknot.state.fleet_view import FleetView
from sesameknot.transport.caller_server import CallerConnections, RequestCallback
from sesameknot.transport.early_listeners import EarlyListeners
from sesameknot.transport.endpoint_client import EndpointClient
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer
from sesameknot.transport.request_body import RequestBody

CLEANUP_INTERVAL_S = 1.0
# The platform removes the entry of an endpoint that is silent for so many heartbeats.
ENTRY_LIFE_BEATS_COUNT = 3
# Idle timeout of callers' connections until the first configuration sets it.
INITIAL_IDLE_TIMEOUT_S = 60.0
# Number of crashed endpoints at which a request is refused; one of them may have
# failed for another reason.
CRASH_LIMIT_COUNT = 3

log = structlog.get_logger(__name__)


class Front:
    """One front process.

    Parameters
    ----------
    host : HostSettings
        Identity, addresses and operational limits.
    settings : FrontSettings
        Settings of the front process.
    clock : Clock or None, default=None
        Source of time; the system clock by default.
    listeners : EarlyListeners or None, default=None
        Sockets that listen already; the others are opened at the start.
    """

    def __init__(
        self,
        host: HostSettings,
        settings: FrontSettings,
        *,
        clock: Clock | None = None,
        listeners: EarlyListeners | None = None,
    ) -> None:
        self.host = host
        self.settings = settings
        self.clock = clock or SystemClock()
        self._stack = contextlib.AsyncExitStack()
        self._listeners = FrontListeners(listeners or EarlyListeners(), self._stack)
        self.drain = Drain()
        self.registry = Registry()
        self.metrics = RouterMetrics(self.registry)
        self.view = FleetView(
            self.clock,
            entry_life_s=ENTRY_LIFE_BEATS_COUNT * host.heartbeat_s,
            endpoint_leave_s=host.bounds.endpoint_leave_ms / 1000.0,
        )
        self.attempt_counts = AttemptCounts()
        self.endpoint_pace = (
            EndpointPace(clock=self.clock) if settings.placement.learn_pace else None
        )
        self.reachability = EndpointReachability()
        self.store_link = StoreLink(
            on_failure=self.view.note_store_failure,
            on_answer=self.view.store.note_answer,
            on_restored=self.view.note_store_restored,
        )
        self._caller_server: HTTPServer | None = None
        self.body_admission = build_body_admission(
            host, settings, drain=self.drain, metrics=self.metrics
        )
        self._caller_connections = self._track_connections(self._accept)
        self._build()
        self._peer_connections = self._track_connections(
            self.ingress.accept_handed_over
        )

    def _track_connections(self, on_request: RequestCallback) -> CallerConnections:
        """Return the delegate of a server whose requests this host's stop finishes."""
        connections = CallerConnections(
            on_request,
            body_policy=self.body_admission,
            track_request=self.drain.track_request,
        )
        self.drain.on_close(connections.stop)
        return connections

    def _build(self) -> None:
        settings = self.settings
        self.store = StoreClient(
            self.host.store_address, timeout_s=settings.store.call_timeout_s
        )
        self._stack.callback(self.store.close)
        self.endpoint_client = EndpointClient(clock=self.clock)
        self._stack.callback(self.endpoint_client.close)
        self.reachability_check = ReachabilityCheck(
            reachability=self.reachability, view=self.view, client=self.endpoint_client
        )
        self.peer_client = PeerClient(self.host.host_id, clock=self.clock)
        self._stack.callback(self.peer_client.close)
        self.host_calls = HostCalls(
            view=self.view, peers=self.peer_client, clock=self.clock
        )
        self.relay_order = RelayOrder(
            view=self.view, host_id=self.host.host_id, domain=self.host.domain
        )
        self.directory = HostDirectory(
            store=self.store,
            view=self.view,
            own_host=HostEntry(
                host_id=self.host.host_id,
                peer_address=self.host.peer_address,
                domain=self.host.domain,
                handover_address=self.host.handover_address,
            ),
            settings=settings.store,
            order=self.relay_order,
            clock=self.clock,
        )
        self.endpoint_permits = EndpointPermits(
            view=self.view,
            calls=self.host_calls,
            host_id=self.host.host_id,
            joined_s=lambda: self.directory.joined_s,
            settle_s=self.directory.settle_s,
            leaving=lambda: self.drain.draining,
            clock=self.clock,
        )
        self._stack.callback(self.endpoint_permits.close)
        self.endpoint_slots = EndpointSlots(
            view=self.view,
            calls=self.host_calls,
            host_id=self.host.host_id,
            clock=self.clock,
        )
        self._stack.callback(self.endpoint_slots.close)
        self.followers = build_followers(
            settings.store,
            host=self.host,
            view=self.view,
            store=self.store,
            link=self.store_link,
            clock=self.clock,
        )
        self.snapshots = SnapshotExchange(self.followers, peers=self.peer_client)
        self._stack.callback(self.snapshots.close)
        self.peer_snapshot = PeerSnapshot(
            followers=self.followers,
            snapshots=self.snapshots,
            peers=self.peer_client,
            addresses=self._other_addresses,
        )
        self.crash_guard = CrashGuard(
            clock=self.clock,
            limit_count=CRASH_LIMIT_COUNT,
            place=self._place_of_this_host,
        )
        self.part_guard = PromptPartGuard(clock=self.clock)
        self.crash_archive = CrashArchive(
            {"request": self.crash_guard, "part": self.part_guard},
            store=self.store,
            settings=settings.store,
            host_count=lambda: len(self.view.hosts),
            store_answers=self._store_answers,
            clock=self.clock,
        )
        self.domain_exchange, self.outage_spread = build_exchange(
            host=self.host,
            view=self.view,
            followers=self.followers,
            link=self.store_link,
            findings=SharedFindings(
                crashes=CrashExchange(self.crash_guard),
                part_crashes=CrashExchange(self.part_guard),
                view=self.view,
            ),
            snapshots=self.snapshots,
            calls=self.host_calls,
            order=self.relay_order,
            endpoint_pace=self.endpoint_pace,
            clock=self.clock,
        )
        self._stack.callback(self.domain_exchange.close)
        self.rollout_coordinator = build_rollout_coordinator(
            self.settings.rollouts,
            host=self.host,
            view=self.view,
            store=self.store,
            calls=self.host_calls,
            attempt_counts=self.attempt_counts,
            clock=self.clock,
        )
        self.pause_guard = PauseGuard(
            clock=self.clock,
            confirmed_s=self._information_confirmed_s,
            on_resume=self.store_link.interrupt,
        )
        self.ingress = self._build_ingress()
        self._status_pages = StatusPages(
            view=self.view,
            drain=self.drain,
            metrics=self.metrics,
            body_budget=self.body_admission.budget,
            store_call_count=lambda: self.store.call_count,
            clock=self.clock,
        )

    def _place_of_this_host(self, fingerprint: int) -> tuple[int, int]:
        """Return this host's place for a request in doubt, and the number of hosts."""
        hosts = {*self.view.live_hosts, self.host.host_id}
        order = rendezvous_order(f"{fingerprint:016x}", hosts)
        return order.index(self.host.host_id), len(order)

    def _information_confirmed_s(self) -> float:
        """Return when a relay or the store last told what this host knows."""
        relay_answered_s = self.domain_exchange.relay_answered_s
        return max(relay_answered_s, self.store_link.probe_answered_s)

    def _store_answers(self) -> bool:
        """Return whether the store has answered since its last known failure."""
        return self._information_confirmed_s() > self.view.store_failed_s

    def _other_addresses(self) -> list[str]:
        """Return peer addresses of other hosts, seeds first."""
        listed_addresses = [host.peer_address for host in self.view.hosts.values()]
        addresses = dict.fromkeys([*self.host.seeds, *listed_addresses])
        return [address for address in addresses if address != self.host.peer_address]

    def _build_ingress(self) -> Ingress:
        return RequestPathBuilder(
            host=self.host,
            settings=self.settings,
            view=self.view,
            client=self.endpoint_client,
            attempt_counts=self.attempt_counts,
            endpoint_pace=self.endpoint_pace,
            crash_guard=self.crash_guard,
            part_guard=self.part_guard,
            metrics=self.metrics,
            permits=self.endpoint_permits,
            slots=self.endpoint_slots,
            reachability=self.reachability,
            pause_guard=self.pause_guard,
            on_outage=self.outage_spread.pass_on,
            clock=self.clock,
            stack=self._stack,
        ).build(self.drain)

    async def start(self) -> None:
        """Start the servers and the background tasks."""
        await self._listen()
        for follower in self.followers:
            self._spawn(f"follow {follower.kind}", follower.run())
        self._spawn("snapshot", self.peer_snapshot.run())
        self._spawn("exchange", self.domain_exchange.run())
        self._spawn("outages", self.outage_spread.run())
        self._spawn("hosts", self.directory.run())
        self._spawn("crash reports", self.crash_archive.run())
        self._spawn("rollouts", self.rollout_coordinator.run())
        self._spawn("pauses", self.pause_guard.run())
        self._spawn("forget", self._cleanup_loop())
        self._spawn("reachability", self.reachability_check.run())
        log.info(
            "front_started",
            host=self.host.host_id,
            domain=self.host.domain,
            callers=self.host.caller_address,
            store=self.host.store_address,
        )

    async def _listen(self) -> None:
        peer_server = PeerServer(self.host.host_id)
        peer_server.handle(StatsRequest)(self._answer_stats)
        peer_server.handle(ObjectSync)(self.peer_snapshot.answer)
        peer_server.handle(DomainSync)(self.domain_exchange.answer)
        peer_server.handle(SnapshotPartRequest)(self.snapshots.answer)
        peer_server.handle(EndpointPermitRequest)(self.endpoint_permits.answer)
        peer_server.handle(EndpointSlotRequest)(self.endpoint_slots.answer)
        peer_server.add_sockets(self._listeners.bind(self.host.peer_address))
        self._stack.push_async_callback(peer_server.close)
        self._caller_server = HTTPServer(
            self._caller_connections,
            idle_connection_timeout=INITIAL_IDLE_TIMEOUT_S,
        )
        self.drain.on_close(self._caller_server.stop)
        self._listeners.serve(self._caller_server, self.host.caller_address)
        if self.host.handover_address:
            peer_request_server = HTTPServer(self._peer_connections)
            self.drain.on_close(peer_request_server.stop)
            self._listeners.serve(peer_request_server, self.host.handover_address)
        self._listeners.serve(
            HTTPServer(self._status_pages.answer_ready), self.host.ready_address
        )
        metrics_address = f"{self.host.ip}:{self.settings.metrics_port}"
        self._listeners.serve(
            HTTPServer(self._status_pages.answer_metrics), metrics_address
        )
        self._listeners.close()

    def _accept(self, request: HTTPServerRequest, body: RequestBody) -> None:
        self._apply_caller_limits()
        self.ingress.accept(request, body)

    def _apply_caller_limits(self) -> None:
        configuration = self.view.configuration
        if configuration is None or self._caller_server is None:
            return
        parameters = self._caller_server.conn_params
        parameters.header_timeout = configuration.limits.idle_timeout_s
        parameters.max_body_size = configuration.limits.body_bytes

    async def _answer_stats(self, request: StatsRequest) -> StatsReply:
        return StatsReply(
            host_id=self.host.host_id,
            versions=self.attempt_counts.records(),
            orders=self.rollout_coordinator.order_ages(),
            paces=self.attempt_counts.pace_records(),
        )

    async def _cleanup_loop(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self.view.forget_outdated()
            self.endpoint_permits.expire()
            self.endpoint_slots.expire()
            self.crash_guard.expire()
            self.part_guard.expire()
            self.peer_client.close_idle()

    def _spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(_log_failure)
        # The stack keeps a reference to the task; the event loop has only a weak one.
        self._stack.callback(task.cancel)

    def reload(self, host: HostSettings) -> None:
        """Apply changed settings of the host.

        The store's address, the seeds and the grace time take effect immediately;
        listening addresses and settings that components were built with take effect at
        the next start.
        """
        if host.store_address != self.host.store_address:
            self.store.redirect(host.store_address)
            # Watches that wait at the previous address would miss later changes.
            self.store_link.interrupt()
        self.host = host

    async def shut_down(self) -> None:
        """Stop accepting requests, finish those in flight, then close."""
        await finish_requests(
            drain=self.drain,
            ingress=self.ingress,
            connections=[self._caller_connections, self._peer_connections],
            deregister=self.directory.deregister,
            grace_s=self.host.bounds.grace_s,
            clock=self.clock,
        )
        await self.close()

    async def close(self) -> None:
        """Close all components immediately."""
        await self._stack.aclose()


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("task_failed", task=task.get_name(), reason=repr(task.exception()))
