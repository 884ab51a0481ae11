"""Composition root of the router: builds it from its settings and runs it."""

import asyncio
import contextlib
from typing import Any

import structlog
from aioprometheus.collectors import Registry
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from sesameknot._wiring_coordination import Coordination, build_coordination
from sesameknot._wiring_requests import RequestPath, build_request_path
from sesameknot.clock import Clock, SystemClock
from sesameknot.coordination.freshness import Verdict
from sesameknot.policy.memory_budget import MemoryBudget
from sesameknot.protocol.messages import StatsReply, StatsRequest
from sesameknot.router.caller_handlers import CallerApi, ChatHandler, ServiceHandler
from sesameknot.router.drain import Drain
from sesameknot.router.operator_handlers import (
    HealthHandler,
    MetricsHandler,
    ObjectsHandler,
    OperatorApi,
    ReadyHandler,
    StatusHandler,
    TrafficHandler,
)
from sesameknot.settings.process import RouterSettings

EXPIRE_INTERVAL_S = 30.0
ROSTER_EXIT_LIMIT_S = 5.0
ROSTER_POLL_S = 0.05
BILL_DRAIN_LIMIT_S = 10.0
# Time in which peers copy the claims of a host that left the roster before it stops.
CLAIM_COPY_TIME_S = 1.0

log = structlog.get_logger(__name__)


class Router:
    """One router process.

    Parameters
    ----------
    settings : RouterSettings
        Identity, addresses and limits.
    clock : Clock or None, default=None
        Source of time; the system clock by default.
    """

    def __init__(self, settings: RouterSettings, *, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.drain = Drain()
        self.registry = Registry()
        self._stack = contextlib.AsyncExitStack()
        self._coordination: Coordination | None = None
        self._request_path: RequestPath | None = None

    @property
    def coordination(self) -> Coordination:
        """Components that coordinate with other hosts; set by :meth:`start`."""
        if self._coordination is None:
            raise RuntimeError("the router is not started")
        return self._coordination

    @property
    def request_path(self) -> RequestPath:
        """Components of the request path; set by :meth:`start`."""
        if self._request_path is None:
            raise RuntimeError("the router is not started")
        return self._request_path

    async def start(self) -> None:
        """Build all components, start the servers and the background tasks."""
        self._coordination = build_coordination(self.settings, self.clock, self._stack)
        self._request_path = build_request_path(
            self.settings,
            self.clock,
            self._coordination,
            self._stack,
            registry=self.registry,
            in_flight=lambda: self.drain.in_flight_count,
        )
        self.coordination.base.peer_server.handle(StatsRequest)(self._answer_stats)
        self._listen()
        self.coordination.start(self._stack)
        self._spawn("ratings", self.request_path.ratings.run())
        self._spawn("expire", self._expire_loop())
        log.info(
            "router_started",
            host=self.settings.host_id,
            domain=self.settings.domain,
            http=self.settings.http_address,
            peer=self.settings.peer_address,
        )

    async def _answer_stats(self, request: StatsRequest) -> StatsReply:
        return StatsReply(
            host_id=self.settings.host_id,
            incarnation=self.coordination.membership.self_info.incarnation,
            versions=self.request_path.traffic.all_stats(),
        )

    def _listen(self) -> None:
        ip, port = _split_address(self.settings.peer_address)
        self.coordination.base.peer_server.add_sockets(bind_sockets(port, ip))
        self._stack.push_async_callback(self.coordination.base.peer_server.close)
        server = HTTPServer(
            self._build_application(),
            xheaders=False,
            max_body_size=self.settings.requests.body_limit_bytes * 2,
            idle_connection_timeout=60.0,
        )
        ip, port = _split_address(self.settings.http_address)
        server.add_sockets(bind_sockets(port, ip))
        self._stack.push_async_callback(server.close_all_connections)
        self._stack.callback(server.stop)

    def _build_application(self) -> Application:
        caller = {"api": self._build_caller_api()}
        operator = {"api": self._build_operator_api()}
        return Application(
            [
                (r"/v1/chat/completions", ChatHandler, caller),
                (r"/services/([a-z0-9_-]+)/(.*)", ServiceHandler, caller),
                (r"/healthz", HealthHandler, operator),
                (r"/readyz", ReadyHandler, operator),
                (r"/metrics", MetricsHandler, operator),
                (r"/operator/status", StatusHandler, operator),
                (r"/operator/traffic", TrafficHandler, operator),
                (r"/operator/objects", ObjectsHandler, operator),
            ],
            log_function=lambda _: None,
        )

    def _build_caller_api(self) -> CallerApi:
        return CallerApi(
            serve_chat=self.request_path.chat.serve,
            serve_service=self.request_path.services.serve,
            drain=self.drain,
            refusal_reason=self._refusal_reason,
            observe_request=self.request_path.metrics.observe_request,
            body_limit_bytes=self.settings.requests.body_limit_bytes,
            body_budget=MemoryBudget(
                self.settings.requests.all_bodies_limit_bytes,
                small_bytes=self.settings.requests.small_body_bytes,
                small_share=self.settings.requests.small_body_share,
            ),
            default_deadline_s=self.settings.requests.default_deadline_s,
        )

    def _build_operator_api(self) -> OperatorApi:
        return OperatorApi(
            token_sha256=self.settings.operator_token_sha256,
            accept_objects=self.coordination.replication.publish,
            status=self._status,
            traffic=self.request_path.traffic.all_stats,
            unready_reason=self._unready_reason,
            refresh_metrics=self._refresh_metrics,
            registry=self.registry,
        )

    def _refusal_reason(self) -> str:
        """Return why new requests are refused, or an empty string."""
        if self.drain.refusing:
            return "host is shutting down"
        if not self.coordination.freshness.may_accept():
            return "configuration of this host may be outdated"
        return ""

    def _unready_reason(self) -> str:
        if self.drain.draining:
            return "leaving"
        if not self.coordination.roster_keeper.roster.members:
            return "no roster"
        if not self.request_path.catalogue.current.customers:
            return "no settings"
        return self._refusal_reason()

    def _status(self) -> dict[str, Any]:
        freshness = self.coordination.freshness
        age_ms = freshness.age_ms()
        return {
            "host_id": self.settings.host_id,
            "incarnation": self.coordination.membership.self_info.incarnation,
            "config_age_ms": age_ms if age_ms != float("inf") else -1.0,
            "verdict": freshness.verdict().value,
            "versions": {
                entry.key: entry.version
                for entry in self.coordination.base.object_store.versions()
            },
            "draining": self.drain.draining,
        }

    def _refresh_metrics(self) -> None:
        metrics = self.request_path.metrics
        metrics.in_flight.set({}, self.drain.in_flight_count)
        metrics.platform_calls.set({}, self.coordination.base.platform.call_count)
        if self.coordination.freshness.verdict() is not Verdict.STALE:
            metrics.config_age_s.set({}, self.coordination.freshness.age_s())

    async def _expire_loop(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self.request_path.crash_guard.expire()

    def _spawn(self, name: str, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine, name=name)
        self._stack.callback(task.cancel)

    async def shut_down(self) -> None:
        """Finish the requests in flight, hand over claims, write bills, then close."""
        self.drain.leave()
        log.info("shutdown_started", in_flight=self.drain.in_flight_count)
        await asyncio.sleep(self.settings.requests.drain_notice_s)
        self.drain.finish()
        idle = await self.drain.wait_idle(self.settings.requests.drain_limit_s)
        await self.coordination.membership.leave()
        unwritten = await self.coordination.bill_writer.drain(BILL_DRAIN_LIMIT_S)
        handed_over = await self._wait_until_off_roster()
        log.info(
            "shutdown_finished", idle=idle, unwritten=unwritten, handed_over=handed_over
        )
        await self.close()

    async def _wait_until_off_roster(self) -> bool:
        deadline_s = self.clock.monotonic_s() + ROSTER_EXIT_LIMIT_S
        while self.clock.monotonic_s() < deadline_s:
            roster = self.coordination.roster_keeper.roster
            if roster.member(self.settings.host_id) is None:
                await asyncio.sleep(CLAIM_COPY_TIME_S)
                return True
            if len(roster.members) == 1:
                return False
            await asyncio.sleep(ROSTER_POLL_S)
        return False

    async def close(self) -> None:
        """Close all components immediately."""
        await self._stack.aclose()


def _split_address(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
