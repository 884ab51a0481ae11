"""Tests of prompt parts that crash the endpoints which answer requests with them.

The load: requests of all customers and hosts share one part of their prompts, are no
two alike otherwise, and crash each endpoint that begins to answer. Sound requests share
their key and their other parts.
"""

from testtools.matchers import Equals, LessThan
from tornado.testing import gen_test

from tests.front_world import MODEL_SERVICE, STREAM_PATH, FrontWorld, configuration
from tests.virtual_time import VirtualTimeMixin

# Crashes after which requests with the part must not reach endpoints.
CRASH_LIMIT_COUNT = 5
# Time after which no host may send requests with the part.
REFUSED_WITHIN_S = 3.0
CRASHING_PART = "bad0"
FIRST_PART = "5c1e"
# Parts that sound and crashing requests share.
OTHER_PARTS = ("91bd", "91be", "91bf")


class CrashingPromptPartTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.prompt_count = 0

    def add_engines(self, count, **options):
        """Start engines that the part crashes."""
        for number in range(count):
            self.add_endpoint(
                f"e{number}",
                MODEL_SERVICE,
                crash_part=CRASHING_PART,
                confidences={"small": 90, "large": 90},
                **options,
            )

    def crashed(self):
        """Return the endpoints that ran a crashing request."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if any(
                CRASHING_PART in run.headers["X-Prompt-Prefix"] for run in endpoint.runs
            )
        ]

    async def ask_with(self, front, *part_ids):
        """Send a request of its own with these parts and a last one of its own."""
        self.prompt_count += 1
        part_ids = [FIRST_PART, *part_ids, f"e{self.prompt_count:03x}"]
        headers = {
            "X-Model": "*",
            "X-Token-Usage": "1000,80",
            "X-Prompt-Prefix": ",".join(f"{part_id}:300" for part_id in part_ids),
        }
        body = b"question %d" % self.prompt_count
        return await self.ask(front, STREAM_PATH, body=body, headers=headers)

    async def start_hosts(self, count, *, domains="a"):
        """Start hosts that know each other, in these failure domains in turn."""
        fronts = [
            await self.start_front(f"host-{n}", domain=domains[n % len(domains)])
            for n in range(count)
        ]
        for front in fronts:
            await front.directory.refresh()
        return fronts

    @gen_test(timeout=30)
    async def test_crashing_part_is_refused_and_sound_requests_are_answered(self):
        """Guards against requests that crash endpoints and are no two alike."""
        self.add_engines(20)
        (front,) = await self.start_hosts(1)
        for part in OTHER_PARTS:
            response = await self.ask_with(front, part)
            self.assertThat(response.code, Equals(200))
        for number in range(12):
            other_part = OTHER_PARTS[number % len(OTHER_PARTS)]
            await self.ask_with(front, other_part, CRASHING_PART)
            response = await self.ask_with(front, other_part)
            self.assertThat(response.code, Equals(200))
        self.assertThat(len(self.crashed()), LessThan(CRASH_LIMIT_COUNT + 1))

    @gen_test(timeout=30)
    async def test_crashing_part_is_refused_at_all_hosts(self):
        """Guards against hosts that learn of the part by crashes of their own."""
        self.add_engines(30)
        fronts = await self.start_hosts(4)
        for number in range(12):
            other_part = OTHER_PARTS[number % len(OTHER_PARTS)]
            await self.ask_with(fronts[number % 4], other_part, CRASHING_PART)
            # Some rounds of the exchange between the hosts.
            await self.pause(1.5)
        self.assertThat(len(self.crashed()), LessThan(CRASH_LIMIT_COUNT + 1))
        for front in fronts:
            response = await self.ask_with(front, OTHER_PARTS[0])
            self.assertThat(response.code, Equals(200))

    @gen_test(timeout=60)
    async def test_part_is_known_in_all_failure_domains_in_time(self):
        """Guards against counts that stay in the failure domain of the crashes."""
        self.add_engines(30)
        fronts = await self.start_hosts(9, domains="abc")
        await self.pause(2.0)
        for number in range(4):
            other_part = OTHER_PARTS[number % len(OTHER_PARTS)]
            await self.ask_with(fronts[0], other_part)
            await self.ask_with(fronts[0], other_part, CRASHING_PART)
        crashed_count = len(self.crashed())
        await self.pause(REFUSED_WITHIN_S)
        for front in fronts:
            response = await self.ask_with(front, OTHER_PARTS[0], CRASHING_PART)
            self.assertThat(response.code, Equals(503))
        self.assertThat(len(self.crashed()), Equals(crashed_count))

    @gen_test(timeout=30)
    async def test_endpoints_that_crash_after_a_dropped_answer_are_counted(self):
        """Guards against a part that crashes two endpoints for each one counted."""
        self.add_engines(20, crash_after_head_s=0.05)
        for endpoint in self.endpoints.values():
            endpoint.confidences = {"small": 10, "large": 90}
        (front,) = await self.start_hosts(1)
        await self.ask_with(front, OTHER_PARTS[0])
        for _ in range(8):
            await self.ask_with(front, OTHER_PARTS[0], CRASHING_PART)
            await self.pause(1.0)
        self.assertThat(len(self.crashed()), LessThan(CRASH_LIMIT_COUNT + 1))

    @gen_test(timeout=30)
    async def test_link_is_not_judged_by_endpoints_that_are_known_to_be_down(self):
        """Guards against a crash that is not counted as other endpoints crashed too.

        A host counts no outage while none of a few others accepts a connection, as its
        own link may be to blame.
        """
        self.add_engines(7)
        (front,) = await self.start_hosts(1)
        probes = front.ingress._runner.probes
        endpoints = list(front.view.endpoints.values())
        for endpoint in endpoints[:5]:
            front.view.outages.observe(endpoint.incarnation_id)
        await self.pause(1.0)
        for _ in range(50):
            asked = probes._sample_others(endpoints[5])
            self.assertIn(endpoints[6], asked)

    @gen_test(timeout=30)
    async def test_refused_part_stays_refused_after_all_hosts_were_killed(self):
        """Guards against crashes that are needed again after a kill of all hosts."""
        self.add_engines(20)
        (front,) = await self.start_hosts(1)
        for _ in range(2):
            await self.ask_with(front, OTHER_PARTS[0])
            await self.ask_with(front, OTHER_PARTS[0], CRASHING_PART)
        await self.pause(1.0)
        await front.close()
        started = await self.start_front("host-9")
        await self.pause(0.5)
        for _ in range(4):
            await self.ask_with(started, OTHER_PARTS[0], CRASHING_PART)
        response = await self.ask_with(started, OTHER_PARTS[0])
        self.assertThat(response.code, Equals(200))
        self.assertThat(len(self.crashed()), LessThan(CRASH_LIMIT_COUNT + 1))
