"""Test environment: front processes, a store and endpoints on loopback."""

import asyncio

from examples.local_deployment import reserve_port
from tornado.httpclient import HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sesameknot.front import Front
from sesameknot.platform.standin import FleetEndpoint, FleetStore
from sesameknot.settings.front import FrontSettings
from sesameknot.settings.host import HostBounds, HostSettings
from tests.support import LoopTestCase, eventually

HOST = "callers.example"
KEY = "key-1"
CUSTOMER = "barge-1"
MODEL_SERVICE = "advisor"
PLAIN_SERVICE = "dispatch"
STREAM_PATH = "/advice/x"
UNSAFE_PATH = "/booking/x"
SAFE_PATH = "/lookup/x"


def route(name, prefix, kind, service, **fields):
    """Return a route in the format of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Service": service,
        **fields,
    }


def configuration(version=1, *, routes=(), **fields):
    """Return a configuration with a streamed, an unsafe and a safe route."""
    return {
        "Version": version,
        "Routes": [
            route(
                "stream",
                "/advice/",
                "streaming",
                MODEL_SERVICE,
                Resumable=True,
                Sticky=True,
                MaxAttempts=3,
                Sizes=["small", "large"],
            ),
            route("unsafe", "/booking/", "unsafe", PLAIN_SERVICE, MaxAttempts=1),
            route("safe", "/lookup/", "safe", PLAIN_SERVICE, MaxAttempts=2),
            *routes,
        ],
        "Services": [
            {"Name": MODEL_SERVICE, "ColdS": 1.0, "ColdPerS": 4.0},
            {"Name": PLAIN_SERVICE},
        ],
        "Tenants": [{"Name": CUSTOMER, "ApiKeys": [KEY], "Priority": 2}],
        **fields,
    }


def server_entry(service, address, *, domain="a", version="v1", **fields):
    """Return an entry in the format that servers register."""
    return {
        "Service": service,
        "Address": address,
        "Zone": domain,
        "Version": version,
        "Slots": 4,
        "State": "ready",
        "ColdRemainingMs": 0,
        **fields,
    }


class FrontWorld(LoopTestCase):
    """Test case with a store, endpoints and front processes."""

    def setUp(self):
        super().setUp()
        self.store = FleetStore()
        self.store_address = self.listen(self.store.server())
        self.http = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)
        self.closing(self.http.close)
        self.endpoints = {}
        self._request_count = 0

    def add_endpoint(
        self, endpoint_id, service, *, domain="a", version="v1", **options
    ):
        """Start an endpoint and register it."""
        endpoint = FleetEndpoint(endpoint_id=endpoint_id, **options)
        # No other process may listen on the port after a crash of the endpoint.
        port = reserve_port()
        server = endpoint.server()
        server.listen(port, "127.0.0.1")
        self.closing(server.stop)
        address = f"127.0.0.1:{port}"
        entry = server_entry(service, address, domain=domain, version=version)
        self.store.put("servers", endpoint_id, entry)
        self.endpoints[endpoint_id] = endpoint
        return endpoint

    def host_settings(self, host_id="host-1", *, domain="a", seeds=(), **bounds):
        """Return settings with unused ports."""
        ports = [reserve_port() for _ in range(4)]
        return HostSettings(
            host_id=host_id,
            ip="127.0.0.1",
            region="r",
            domain=domain,
            domains={"a": "r", "b": "r"},
            caller_address=f"127.0.0.1:{ports[0]}",
            ready_address=f"127.0.0.1:{ports[1]}",
            peer_address=f"127.0.0.1:{ports[2]}",
            handover_address=f"127.0.0.1:{ports[3]}",
            seeds=tuple(seeds),
            store_address=self.store_address,
            bounds=HostBounds(
                **{"retry_ratio": 5.0, "retry_slack_count": 999, **bounds}
            ),
        )

    async def start_front(
        self, host_id="host-1", *, domain="a", settings=None, seeds=(), **bounds
    ):
        """Start a front process with the test's store and wait until it is ready."""
        host = self.host_settings(host_id, domain=domain, seeds=seeds, **bounds)
        return await self.start_front_with(host, settings=settings)

    async def start_front_with(
        self, host, *, settings=None, tcp_client=None, until_ready=True
    ):
        """Start a front process with settings of its host.

        ``tcp_client`` replaces the client that connects to other hosts. Without
        ``until_ready``, it may not be ready yet on return.
        """
        front = Front(
            host,
            settings or FrontSettings(metrics_port=reserve_port()),
            clock=self.make_clock(),
        )
        self.closing(lambda: self.io_loop.run_sync(front.close))
        if tcp_client is not None:
            front.peer_client._tcp = tcp_client
        await front.start()
        if until_ready and self.store.get("config", "main") is not None:
            await eventually(
                lambda: front.view.ready and (front.view.hosts or host.seeds)
            )
        return front

    async def ask(
        self,
        front,
        path,
        *,
        method="POST",
        body=b"question",
        headers=None,
        key=KEY,
        deadline_ms=3000,
        request_id=None,
        body_producer=None,
    ) -> HTTPResponse:
        """Send a caller's request and return the answer.

        ``body_producer`` sends the body in chunks instead of ``body``.
        """
        self._request_count += 1
        all_headers = HTTPHeaders(
            {
                "Host": HOST,
                "X-Request-Id": request_id or f"r{self._request_count}",
                "X-Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {key}",
            }
        )
        all_headers.update(headers or {})
        return await self.http.fetch(
            f"http://{front.host.caller_address}{path}",
            method=method,
            headers=all_headers,
            body=body if method != "GET" and body_producer is None else None,
            body_producer=body_producer,
            request_timeout=15.0,
            raise_error=False,
        )

    async def ready_status(self, front) -> int:
        """Return the status of the readiness check."""
        response = await self.http.fetch(
            f"http://{front.host.ready_address}/sesameknot/readyz", raise_error=False
        )
        return response.code

    async def pause(self, duration_s):
        """Wait for ``duration_s``."""
        await asyncio.sleep(duration_s)
