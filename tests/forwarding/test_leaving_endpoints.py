"""Load on endpoints that say in their answers that they leave."""

from testtools.matchers import Equals, HasLength
from tornado.testing import gen_test

from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    FrontWorld,
    configuration,
)
from tests.virtual_time import VirtualTimeMixin

# Time after the first such answer from which the endpoint must get nothing.
LEAVE_LIMIT_S = 2.0


class LeavingEndpointTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    async def ask_often(self, front, *, duration_s, path=SAFE_PATH, interval_s=0.1):
        """Send requests one after the other and return the status codes."""
        codes = []
        for _ in range(round(duration_s / interval_s)):
            response = await self.ask(front, path, method="GET")
            codes.append(response.code)
            await self.pause(interval_s)
        return codes

    def runs_after(self, endpoint, limit_s):
        """Return the runs that an endpoint received after ``limit_s``."""
        return [run for run in endpoint.runs if run.received_s > limit_s]

    def now_s(self):
        return self.io_loop.asyncio_loop.time()

    @gen_test(timeout=60)
    async def test_endpoint_that_says_it_leaves_gets_no_more_work(self):
        """Guards against requests to an endpoint whose answers say that it leaves.

        The store lists it as ready all the while. The other one serves all callers.
        """
        leaving = self.add_endpoint("leaving", PLAIN_SERVICE, event_count=0)
        self.add_endpoint("other", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        await self.ask_often(front, duration_s=1.0)
        leaving.leaving = "1"
        said_s = self.now_s()
        codes = await self.ask_often(front, duration_s=8.0)
        self.assertThat(set(codes), Equals({200}))
        late = self.runs_after(leaving, said_s + LEAVE_LIMIT_S)
        self.assertThat(late, HasLength(0))

    @gen_test(timeout=60)
    async def test_refusal_of_a_leaving_endpoint_counts(self):
        """Guards against a notice that is missed because the answer is a refusal."""
        leaving = self.add_endpoint(
            "leaving", PLAIN_SERVICE, event_count=0, not_run=True, leaving="1"
        )
        self.add_endpoint("other", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        await self.ask_often(front, duration_s=8.0)
        times_s = leaving.refused_s
        self.assertThat(max(times_s) - min(times_s) < LEAVE_LIMIT_S, Equals(True))

    @gen_test(timeout=60)
    async def test_last_endpoint_serves_while_it_may(self):
        """Guards against callers refused while a leaving endpoint is all there is.

        It takes requests until the limit, and none after it, in an outage as well.
        """
        leaving = self.add_endpoint("leaving", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        leaving.leaving = "1"
        self.store.refuse_status = 503
        said_s = self.now_s()
        codes = await self.ask_often(front, duration_s=6.0)
        # A margin for requests that are under way at the limit.
        served_count = round(0.6 * LEAVE_LIMIT_S / 0.1)
        self.assertThat(set(codes[:served_count]), Equals({200}))
        self.assertThat(set(codes[-10:]), Equals({503}))
        late = self.runs_after(leaving, said_s + LEAVE_LIMIT_S)
        self.assertThat(late, HasLength(0))

    @gen_test(timeout=60)
    async def test_new_process_under_the_id_of_one_that_left_is_used(self):
        """Guards against an endpoint that is never used again after its restart."""
        leaving = self.add_endpoint("e", PLAIN_SERVICE, event_count=0, leaving="1")
        front = await self.start_front()
        await self.ask_often(front, duration_s=3.0)
        leaving.leaving = ""
        entry = self.store.get("servers", "e")["Spec"]
        self.store.put("servers", "e", {**entry, "born": 7000})
        await self.pause(2.0)
        codes = await self.ask_often(front, duration_s=1.0)
        self.assertThat(set(codes), Equals({200}))

    @gen_test(timeout=60)
    async def test_nonsense_instead_of_a_notice_harms_nothing(self):
        """Guards against a malformed notice that takes an endpoint out of use."""
        endpoint = self.add_endpoint("e", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        for value in ("0", "yes", "-1", "1.5", "9" * 3000, "1,1", "\xff"):
            endpoint.leaving = value
            codes = await self.ask_often(front, duration_s=1.0)
            self.assertThat(set(codes), Equals({200}))
            await self.pause(LEAVE_LIMIT_S)

    @gen_test(timeout=60)
    async def test_notice_of_a_stream_counts_for_the_next_stream(self):
        """Guards against notices that are read from plain answers only."""
        leaving = self.add_endpoint("leaving", MODEL_SERVICE, leaving="1")
        self.add_endpoint("other", MODEL_SERVICE)
        front = await self.start_front()
        codes = await self.ask_often(front, duration_s=6.0, path=STREAM_PATH)
        self.assertThat(set(codes), Equals({200}))
        first_s = leaving.runs[0].received_s if leaving.runs else self.now_s()
        late = self.runs_after(leaving, first_s + LEAVE_LIMIT_S)
        self.assertThat(late, HasLength(0))
