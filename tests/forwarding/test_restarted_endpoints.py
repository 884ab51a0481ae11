"""Load on endpoints that start again under the identifier that they had."""

import asyncio

from examples.local_deployment import reserve_port
from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetEndpoint
from tests.front_world import (
    MODEL_SERVICE,
    STREAM_PATH,
    FrontWorld,
    configuration,
    server_entry,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

COLD_S = 3.0
COLD_RATE_PER_S = 4.0
# What the users allow a cold endpoint in a second.
ALLOWED_COUNT = 1.5 * COLD_RATE_PER_S + 5
# Requests per second with a part that makes one endpoint the best choice for them.
HOT_RATE_PER_S = 24.0
HOT_PROMPT = {"X-Model": "*", "X-Prompt-Prefix": "5c1e:20000,e440:200"}
# Time from the start of a process until the store has its entry.
REGISTRATION_LAG_S = 0.2
HOST_COUNT = 16


def most_in_a_second(times_s):
    """Return the largest number of times within one second."""
    return max((sum(a <= b < a + 1.0 for b in times_s) for a in times_s), default=0)


class RestartedEndpointTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        service = {"Name": MODEL_SERVICE, "ColdS": COLD_S, "ColdPerS": COLD_RATE_PER_S}
        self.store.put("config", "main", configuration(Services=[service]))
        self._ports = {}
        for number in range(4):
            self._add_restartable(f"e{number}")

    def _add_restartable(self, endpoint_id):
        endpoint = FleetEndpoint(endpoint_id=endpoint_id, confidences={"small": 90})
        self._ports[endpoint_id] = reserve_port()
        endpoint.server().listen(self._ports[endpoint_id], "127.0.0.1")
        self.closing(lambda: self.io_loop.run_sync(endpoint.stop))
        self.endpoints[endpoint_id] = endpoint
        self._register(endpoint_id, started_ms=1000)

    def _register(self, endpoint_id, *, started_ms, cold_remaining_ms=0):
        entry = server_entry(
            MODEL_SERVICE,
            f"127.0.0.1:{self._ports[endpoint_id]}",
            born=started_ms,
            ColdRemainingMs=cold_remaining_ms,
        )
        self.store.put("servers", endpoint_id, entry)

    async def _start_hosts(self, count):
        """Start hosts of two failure domains that all know each other."""
        fronts = [
            await self.start_front(f"host-{n}", domain="ab"[n % 2])
            for n in range(count)
        ]
        await eventually(lambda: all(len(f.view.hosts) == count for f in fronts))
        await self.pause(20.0)
        return fronts

    async def _press(self, fronts, *, duration_s):
        """Send requests with the hot prompt to the hosts in turn."""
        tasks = []
        for number in range(round(HOT_RATE_PER_S * duration_s)):
            front = fronts[number % len(fronts)]
            tasks.append(
                asyncio.create_task(self.ask(front, STREAM_PATH, headers=HOT_PROMPT))
            )
            await self.pause(1.0 / HOT_RATE_PER_S)
        return await asyncio.gather(*tasks)

    async def _find_hot_endpoint(self, fronts):
        """Return the endpoint that gets the requests with the hot prompt."""
        await self._press(fronts, duration_s=2.0)
        endpoint = max(self.endpoints.values(), key=lambda e: len(e.runs))
        self.assertThat(len(endpoint.runs) > ALLOWED_COUNT, Equals(True))
        return endpoint

    async def _restart(self, endpoint, *, down_s):
        """Stop the endpoint and another one, start both again and register them.

        The other one registers first, so that relays pause before they fetch the entry
        of the endpoint.
        """
        other = next(e for e in self.endpoints.values() if e is not endpoint)
        await endpoint.stop()
        await other.stop()
        await self.pause(down_s)
        for stopped in (endpoint, other):
            stopped.start_again(self._ports[stopped.endpoint_id])
        self._register_again(other, cold_s=COLD_S)
        await self.pause(REGISTRATION_LAG_S)
        self._register_again(endpoint, cold_s=COLD_S - REGISTRATION_LAG_S)

    def _register_again(self, endpoint, *, cold_s):
        self._register(
            endpoint.endpoint_id,
            started_ms=1000 + round(endpoint.started_s[-1] * 1000),
            cold_remaining_ms=1000 * cold_s,
        )

    def _check_cold_load(self, endpoint):
        started_s = endpoint.started_s[-1]
        arrivals_s = [
            run.received_s
            for run in endpoint.runs
            if started_s <= run.received_s < started_s + COLD_S
        ]
        most = most_in_a_second(arrivals_s)
        self.assertThat(most <= ALLOWED_COUNT, Equals(True), f"{most} in a second")

    def _check_answered(self, responses):
        codes = [response.code for response in responses]
        self.assertThat(codes, Equals([200] * len(codes)))

    @gen_test(timeout=60)
    async def test_endpoint_that_is_down_for_a_moment_is_spared(self):
        """Guards against a flood of an endpoint that hardly any host was refused by."""
        fronts = await self._start_hosts(HOST_COUNT)
        endpoint = await self._find_hot_endpoint(fronts)
        restart = asyncio.create_task(self._restart(endpoint, down_s=0.3))
        self._check_answered(await self._press(fronts, duration_s=4.0))
        await restart
        self._check_cold_load(endpoint)

    @gen_test(timeout=60)
    async def test_hosts_without_requests_learn_of_the_crash_from_others(self):
        """Guards against a flood by hosts that did not meet the crash themselves."""
        fronts = await self._start_hosts(HOST_COUNT)
        endpoint = await self._find_hot_endpoint(fronts)
        restart = asyncio.create_task(self._restart(endpoint, down_s=1.2))
        self._check_answered(await self._press(fronts[:2], duration_s=1.2))
        self._check_answered(await self._press(fronts[2:], duration_s=3.0))
        await restart
        self._check_cold_load(endpoint)

    @gen_test(timeout=60)
    async def test_requests_whose_connections_are_being_opened_are_counted(self):
        """Guards against requests that reach the endpoint after its outage is known."""
        fronts = await self._start_hosts(HOST_COUNT)
        endpoint = await self._find_hot_endpoint(fronts)
        for front in fronts:
            self._delay_connections(front)
        before_count = len(endpoint.runs)
        tasks = [
            asyncio.create_task(self.ask(front, STREAM_PATH, headers=HOT_PROMPT))
            for front in fronts * 3
        ]
        await self.pause(0.1)
        for front in fronts:
            known = front.view.endpoints[endpoint.endpoint_id]
            front.view.outages.observe(known.incarnation_id)
        self._check_answered(await asyncio.gather(*tasks))
        sent_count = len(endpoint.runs) - before_count
        self.assertThat(sent_count <= ALLOWED_COUNT, Equals(True), f"{sent_count}")

    def _delay_connections(self, front):
        connect = front.endpoint_client._http.tcp_client.connect

        async def connect_later(*args, **options):
            await asyncio.sleep(0.2)
            return await connect(*args, **options)

        front.endpoint_client._http.tcp_client.connect = connect_later
