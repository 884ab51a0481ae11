"""Requests for a model that endpoints do not run, and addresses that others have."""

from testtools.matchers import Equals, HasLength
from tornado.testing import gen_test

from sesameknot.state.fleet_view import MISDIRECTED_LIFE_S
from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    FrontWorld,
    configuration,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

MODELS = ("small", "large")
ENDPOINT_COUNT = 5
REFUSAL_LIMIT_COUNT = 2


class UnsuitedRequestTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    async def ask_for(self, front, model, path=SAFE_PATH):
        """Send a request that names ``model`` and return the status code."""
        response = await self.ask(front, path, headers={"X-Model": model})
        return response.code

    def refused_counts(self):
        return [endpoint.refused_count for endpoint in self.endpoints.values()]

    @gen_test(timeout=60)
    async def test_model_that_a_route_lacks_is_refused_at_once(self):
        """Guards against one caller that takes all model endpoints out of use."""
        for number in range(ENDPOINT_COUNT):
            self.add_endpoint(f"m{number}", MODEL_SERVICE, models=MODELS)
        front = await self.start_front()
        for _ in range(ENDPOINT_COUNT):
            code = await self.ask_for(front, "medium", STREAM_PATH)
            self.assertThat(code, Equals(421))
        self.assertThat(sum(self.refused_counts()), Equals(0))
        for model in ("*", *MODELS):
            code = await self.ask_for(front, model, STREAM_PATH)
            self.assertThat(code, Equals(200))

    async def check_endpoints_stay_in_use(self, **options):
        for number in range(ENDPOINT_COUNT):
            self.add_endpoint(
                f"p{number}", PLAIN_SERVICE, event_count=0, models=MODELS, **options
            )
        front = await self.start_front()
        codes = [await self.ask_for(front, "medium") for _ in range(10)]
        answered = [await self.ask_for(front, "small") for _ in range(10)]
        self.assertThat(answered, Equals([200] * 10))
        return codes

    @gen_test(timeout=60)
    async def test_endpoints_that_lack_a_model_stay_in_use(self):
        """Guards against a refusal for its model that passes for another endpoint's."""
        codes = await self.check_endpoints_stay_in_use()
        self.assertThat(codes, Equals([421] * len(codes)))
        refused_count = sum(self.refused_counts())
        self.assertThat(refused_count, Equals(REFUSAL_LIMIT_COUNT * len(codes)))

    @gen_test(timeout=60)
    async def test_endpoints_that_do_not_name_themselves_stay_in_use(self):
        """Guards against endpoints out of use on a refusal that may have two causes."""
        codes = await self.check_endpoints_stay_in_use(identified=False)
        self.assertThat(set(codes), Equals({503}))

    @gen_test(timeout=60)
    async def test_endpoint_with_the_model_is_found(self):
        """Guards against a refusal by one endpoint that ends the request."""
        for number in range(2):
            models = MODELS if number else ("small",)
            self.add_endpoint(f"p{number}", PLAIN_SERVICE, event_count=0, models=models)
        front = await self.start_front()
        codes = [await self.ask_for(front, "large") for _ in range(6)]
        self.assertThat(codes, Equals([200] * 6))

    async def start_with_reused_address(self):
        """Start a host whose only endpoint's address another endpoint has."""
        other = self.add_endpoint("new", PLAIN_SERVICE, event_count=0, models=MODELS)
        entry = self.store.get("servers", "new")["Spec"]
        self.store.remove("servers", "new")
        self.store.put("servers", "old", entry)
        front = await self.start_front()
        return front, other

    @gen_test(timeout=60)
    async def test_reused_address_is_left_alone_for_a_while(self):
        """Guards against requests that go to an address in vain, or never again."""
        front, other = await self.start_with_reused_address()
        for _ in range(3):
            self.assertThat(await self.ask_for(front, "small"), Equals(503))
        self.assertThat(other.refused_count, Equals(1))
        self.assertThat(other.runs, HasLength(0))
        other.endpoint_id = "old"
        await self.pause(MISDIRECTED_LIFE_S)
        self.assertThat(await self.ask_for(front, "small"), Equals(200))

    @gen_test(timeout=60)
    async def test_endpoint_at_a_new_address_is_used_at_once(self):
        """Guards against an endpoint that is avoided for its earlier address."""
        front, _ = await self.start_with_reused_address()
        await self.ask_for(front, "small")
        moved = self.add_endpoint("old", PLAIN_SERVICE, event_count=0)
        address = self.store.get("servers", "old")["Spec"]["Address"]
        view = front.view
        await eventually(lambda: view.endpoints["old"].entry.address == address)
        self.assertThat(await self.ask_for(front, "small"), Equals(200))
        self.assertThat(moved.runs, HasLength(1))
