"""Tests of outages of endpoints that hosts tell each other."""

from testtools.matchers import Equals
from tornado.testing import gen_test

from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    FrontWorld,
    configuration,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

HOST_COUNT = 16
# Time within which all hosts must know of an outage: an endpoint that is away for less
# gets the usual load of some of them while it is cold.
NEWS_LIMIT_S = 0.25


class SharedOutagesTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        for number in range(3):
            self.add_endpoint(f"e{number}", MODEL_SERVICE)
        self.add_endpoint("p0", PLAIN_SERVICE)

    async def start_hosts(self):
        """Start hosts of two failure domains that all know each other."""
        fronts = [
            await self.start_front(f"host-{n}", domain="ab"[n % 2])
            for n in range(HOST_COUNT)
        ]
        await eventually(lambda: all(len(f.view.hosts) == HOST_COUNT for f in fronts))
        await self.pause(10.0)
        return fronts

    async def count_knowing_hosts(self, fronts, finder, endpoint_id):
        """Let one host find out that an endpoint is down; return how many know soon."""
        await self.endpoints[endpoint_id].stop()
        probes = finder.ingress._runner.probes
        probes.check_later(finder.view.endpoints[endpoint_id])
        await self.pause(NEWS_LIMIT_S)
        return sum(
            front.view.cold_left_s(front.view.endpoints[endpoint_id]) > 0.0
            for front in fronts
        )

    @gen_test(timeout=60)
    async def test_all_hosts_soon_know_what_one_of_them_found_out(self):
        """Guards against hosts that learn of an outage after the endpoint is back."""
        fronts = await self.start_hosts()
        for endpoint_id, finder in (("e0", fronts[0]), ("e1", fronts[-1])):
            count = await self.count_knowing_hosts(fronts, finder, endpoint_id)
            self.assertThat(count, Equals(HOST_COUNT))

    @gen_test(timeout=60)
    async def test_endpoints_that_no_host_asks_are_checked_after_an_outage(self):
        """Guards against a flood of an endpoint that went down beside another one."""
        fronts = await self.start_hosts()
        await self.endpoints["e1"].stop()
        await self.endpoints["e2"].stop()
        await self.count_knowing_hosts(fronts, fronts[0], "e0")
        # The checks begin when the first outage is known, and their results spread.
        await self.pause(NEWS_LIMIT_S)
        for endpoint_id in ("e1", "e2"):
            cold_s = [
                front.view.cold_left_s(front.view.endpoints[endpoint_id])
                for front in fronts
            ]
            self.assertThat(min(cold_s) > 0.0, Equals(True), endpoint_id)

    @gen_test(timeout=60)
    async def test_hosts_do_not_go_on_telling_each_other_of_an_outage(self):
        """Guards against rounds that follow each other because of old news."""
        fronts = await self.start_hosts()
        await self.count_knowing_hosts(fronts, fronts[0], "e0")
        # The second check of the host that found out.
        await self.pause(2.0)
        ages_s = [front.view.outages.ages_s() for front in fronts]
        reports = []
        for front in fronts:
            front.domain_exchange._on_new_outage = lambda: reports.append(1)
        await self.pause(2.0)
        self.assertThat(reports, Equals([]))
        for front, before_s in zip(fronts, ages_s, strict=True):
            (later_s,) = front.view.outages.ages_s().values()
            (earlier_s,) = before_s.values()
            self.assertThat(later_s - earlier_s > 1.9, Equals(True))
