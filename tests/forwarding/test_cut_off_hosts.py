"""Load on hosts that reach no endpoint, but their callers and the other hosts."""

import asyncio

from testtools.matchers import Equals, HasLength
from tornado.testing import gen_test

from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    UNSAFE_PATH,
    FrontWorld,
    configuration,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

# Time after which callers of such a host must be served like those of the others.
CONTACT_S = 3.0
PATHS = (SAFE_PATH, UNSAFE_PATH, STREAM_PATH)
PROMPT = {"X-Model": "*", "X-Prompt-Prefix": "5c1e:400,91bd:400,e440:200"}


class CutOffHostTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.cut_off = set()
        # Whether connections of such a host hang instead of being refused.
        self.hang = False

    def endpoint_ports(self):
        """Return the ports of all endpoints."""
        entries = self.store.list("servers")
        return {int(e["Spec"]["Address"].rpartition(":")[2]) for e in entries}

    def add_endpoints(self):
        """Start three endpoints of each service."""
        for number in range(3):
            self.add_endpoint(f"p{number}", PLAIN_SERVICE, event_count=0)
            self.add_endpoint(f"m{number}", MODEL_SERVICE)

    async def start_hosts(self, count):
        """Start hosts that know each other and whose links can be cut."""
        fronts = [await self.start_front(f"host-{n}") for n in range(count)]
        for front in fronts:
            await front.directory.refresh()
            self.intercept(front)
        await eventually(lambda: all(len(f.view.hosts) == count for f in fronts))
        return fronts

    def intercept(self, front):
        """Let a host's connections to endpoints fail while it is in ``cut_off``."""
        client = front.endpoint_client
        for tcp_client in (client._http.tcp_client, client._probe_client):
            self._intercept_client(front, tcp_client)

    def _intercept_client(self, front, tcp_client):
        connect = tcp_client.connect

        async def connect_or_fail(host, port, *args, timeout=60.0, **options):
            if front in self.cut_off and port in self.endpoint_ports():
                if self.hang:
                    await asyncio.sleep(timeout)
                    raise TimeoutError
                raise ConnectionRefusedError(111, "Connection refused")
            return await connect(host, port, *args, **options)

        tcp_client.connect = connect_or_fail

    async def press(self, front, *, duration_s, rate_per_s=10.0, paths=PATHS):
        """Send requests to a host and return the responses."""
        tasks = []
        for number in range(round(rate_per_s * duration_s)):
            path = paths[number % len(paths)]
            headers = PROMPT if path == STREAM_PATH else None
            tasks.append(
                asyncio.create_task(
                    self.ask(front, path, headers=headers, deadline_ms=1000)
                )
            )
            await self.pause(1.0 / rate_per_s)
        return await asyncio.gather(*tasks)

    def run_count(self):
        """Return the runs of requests that may run once only."""
        runs = [run for e in self.endpoints.values() for run in e.runs]
        return sum(run.uri == UNSAFE_PATH for run in runs)

    async def check_served(self, fronts, cut):
        """Cut hosts off and check that their callers are served."""
        self.cut_off = set(cut)
        for front in cut:
            await self.press(front, duration_s=1.0)
        await self.pause(CONTACT_S - 1.0)
        before_count = self.run_count()
        for front in cut:
            responses = await self.press(front, duration_s=2.0)
            codes = [response.code for response in responses]
            self.assertThat(set(codes), Equals({200}))
        unsafe_count = 2.0 * 10.0 / len(PATHS) * len(cut)
        ran_count = self.run_count() - before_count
        self.assertThat(abs(ran_count - unsafe_count) <= len(cut), Equals(True))

    @gen_test(timeout=60)
    async def test_callers_are_served_where_connections_are_refused(self):
        """Guards against callers refused by a host that reaches no endpoint."""
        self.add_endpoints()
        fronts = await self.start_hosts(4)
        await self.check_served(fronts, fronts[:2])

    @gen_test(timeout=60)
    async def test_callers_are_served_where_connections_hang(self):
        """Guards against deadlines that pass while connections are being opened."""
        self.hang = True
        self.add_endpoints()
        fronts = await self.start_hosts(4)
        await self.check_served(fronts, fronts[:2])

    @gen_test(timeout=60)
    async def test_callers_are_served_while_most_hosts_are_cut_off(self):
        """Guards against requests that go from one such host to the next only."""
        self.add_endpoints()
        fronts = await self.start_hosts(6)
        await self.check_served(fronts, fronts[:5])

    @gen_test(timeout=60)
    async def test_host_serves_by_itself_again_after_the_cut(self):
        """Guards against a host that leaves its work to others for good."""
        self.add_endpoints()
        fronts = await self.start_hosts(2)
        await self.check_served(fronts, fronts[:1])
        self.cut_off = set()
        await self.pause(1.0)
        await fronts[1].close()
        responses = await self.press(fronts[0], duration_s=1.0)
        self.assertThat({r.code for r in responses}, Equals({200}))

    @gen_test(timeout=60)
    async def test_request_is_refused_at_once_when_no_host_reaches_an_endpoint(self):
        """Guards against requests that go round among hosts until their deadline."""
        self.add_endpoints()
        fronts = await self.start_hosts(4)
        self.cut_off = set(fronts)
        await self.press(fronts[0], duration_s=2.0)
        started_s = self.io_loop.asyncio_loop.time()
        response = await self.ask(fronts[0], UNSAFE_PATH)
        self.assertThat(response.code, Equals(503))
        elapsed_s = self.io_loop.asyncio_loop.time() - started_s
        self.assertThat(elapsed_s < 0.3, Equals(True), elapsed_s)

    @gen_test(timeout=60)
    async def test_unsafe_request_runs_once_when_the_other_hosts_are_killed(self):
        """Guards against a second run after the answer of another host was lost."""
        self.add_endpoints()
        for endpoint in self.endpoints.values():
            endpoint.delay_s = 0.5
        fronts = await self.start_hosts(3)
        self.cut_off = {fronts[0]}
        await self.press(fronts[0], duration_s=1.0)
        await self.pause(2.0)
        before_count = self.run_count()
        asked = asyncio.create_task(self.ask(fronts[0], UNSAFE_PATH))
        await self.pause(0.2)
        for front in fronts[1:]:
            await front.close()
        response = await asked
        self.assertThat(response.code, Equals(502))
        self.assertThat(self.run_count() - before_count, Equals(1))

    @gen_test(timeout=60)
    async def test_deadline_at_the_other_host_is_no_refusal(self):
        """Guards against 'not run' for a request that another host has sent on."""
        self.add_endpoints()
        for endpoint in self.endpoints.values():
            endpoint.silent = True
        fronts = await self.start_hosts(2)
        self.cut_off = {fronts[0]}
        response = await self.ask(fronts[0], UNSAFE_PATH, deadline_ms=1500)
        self.assertThat(self.run_count(), Equals(1))
        self.assertThat(response.code in (502, 504), Equals(True), response.code)

    @gen_test(timeout=60)
    async def test_host_that_is_leaving_is_not_the_last_one_asked(self):
        """Guards against callers refused since the first other host is stopping."""
        self.add_endpoints()
        fronts = await self.start_hosts(3)
        self.cut_off = {fronts[0]}
        await self.press(fronts[0], duration_s=1.0)
        await self.pause(2.0)
        fronts[1].drain.finish()
        responses = await self.press(fronts[0], duration_s=2.0)
        self.assertThat({r.code for r in responses}, Equals({200}))

    @gen_test(timeout=60)
    async def test_lost_links_are_no_evidence_of_crashes(self):
        """Guards against sound requests refused everywhere after a host was cut off.

        Its open connections are reset, and new ones are refused, as if the endpoints
        had crashed.
        """
        self.add_endpoints()
        for endpoint in self.endpoints.values():
            endpoint.cut_body = True
            endpoint.delay_s = 0.2
        fronts = await self.start_hosts(2)
        asked = [
            asyncio.create_task(self.ask(fronts[0], SAFE_PATH, body=b"same"))
            for _ in range(6)
        ]
        await self.pause(0.1)
        self.cut_off = {fronts[0]}
        await asyncio.gather(*asked)
        await self.pause(3.0)
        for front in fronts:
            self.assertThat(front.crash_guard.entries(), HasLength(0))

    @gen_test(timeout=60)
    async def test_cut_off_host_holds_no_endpoint_for_down(self):
        """Guards against a fleet that spares all endpoints because one link is cut.

        What a host finds out about endpoints is shared, and one that was down gets no
        more than a cold one.
        """
        self.add_endpoints()
        fronts = await self.start_hosts(4)
        for hang in (False, True):
            self.hang = hang
            self.cut_off = set(fronts[:2])
            for front in fronts[:2]:
                await self.press(front, duration_s=2.0)
            self.cut_off = set()
            await self.pause(1.0)
        cold_s = [
            front.view.cold_left_s(endpoint)
            for front in fronts
            for endpoint in front.view.endpoints.values()
        ]
        self.assertThat(max(cold_s), Equals(0.0))

    def silence_only(self, endpoint_id):
        """Let connections to one endpoint hang, for hosts in ``cut_off``."""
        address = self.store.get("servers", endpoint_id)["Spec"]["Address"]
        port = int(address.rpartition(":")[2])
        self.endpoint_ports = lambda: {port}
        self.hang = True

    @gen_test(timeout=60)
    async def test_endpoint_that_falls_silent_for_a_second_is_not_held_for_cold(self):
        """Guards against a sound endpoint that loses its load after a short silence."""
        self.add_endpoints()
        fronts = await self.start_hosts(4)
        self.silence_only("m0")
        self.cut_off = set(fronts)
        await asyncio.gather(
            *(self.press(f, duration_s=1.0, paths=(STREAM_PATH,)) for f in fronts)
        )
        self.cut_off = set()
        await self.pause(3.0)
        cold_s = [f.view.cold_left_s(f.view.endpoints["m0"]) for f in fronts]
        self.assertThat(max(cold_s), Equals(0.0))

    @gen_test(timeout=60)
    async def test_endpoint_that_stays_silent_is_held_for_cold_by_all(self):
        """Guards against the usual load on a process that crashed in silence."""
        self.add_endpoints()
        fronts = await self.start_hosts(4)
        self.silence_only("m0")
        self.cut_off = set(fronts[:2])
        await asyncio.gather(
            *(self.press(f, duration_s=4.0, paths=(STREAM_PATH,)) for f in fronts)
        )
        cold_s = [f.view.cold_left_s(f.view.endpoints["m0"]) for f in fronts]
        self.assertThat(min(cold_s) > 0.0, Equals(True))

    @gen_test(timeout=60)
    async def test_link_that_is_back_between_two_probes_shows_no_outage(self):
        """Guards against all endpoints taken for down as a host's cut ends."""
        self.add_endpoints()
        front, _ = await self.start_hosts(2)
        probes = front.ingress._runner.probes
        for hang in (False, True):
            self.hang = hang
            self.cut_off = {front}
            checks = [
                asyncio.create_task(probes.is_down(endpoint))
                for endpoint in front.view.endpoints.values()
            ]
            await self.pause(0.1 if hang else 0.0)
            self.cut_off = set()
            downs = await asyncio.gather(*checks)
            self.assertThat(downs, Equals([False] * len(downs)))
            self.assertThat(front.view.outages.ages_s(), Equals({}))
