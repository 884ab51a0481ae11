"""Tests of crashing prompt parts at endpoints whose streams end with the connection.

The load: requests with one part come again and again and crash each endpoint that
begins to answer them. All streams are short and have neither a length nor chunks.
"""

from testtools.matchers import LessThan
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetEndpoint
from tests.front_world import (
    MODEL_SERVICE,
    STREAM_PATH,
    FrontWorld,
    configuration,
    server_entry,
)
from tests.virtual_time import VirtualTimeMixin

CRASHING_PART = "bad0"
ROUND_COUNT = 90
# Crashes until the part must be known, and runs that the users allow after that.
CRASH_LIMIT_COUNT = 5
LATE_LIMIT_COUNT = 3


class UnframedEndpoint(FleetEndpoint):
    """Endpoint whose streams have neither a length nor chunks."""

    async def _crash(self, request, run):
        stream = await self._begin(request)
        await stream.write(b"id: 1\nda")
        await self.stop()
        stream.close()

    async def _write_events(self, request, headers):
        stream = await self._begin(request)
        for number in range(1, self.event_count + 1):
            await stream.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        stream.close()

    async def _begin(self, request):
        stream = request.connection.detach()
        await stream.write(b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n")
        return stream


class UnframedPartTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        for number in range(30):
            endpoint = UnframedEndpoint(
                endpoint_id=f"e{number}", crash_part=CRASHING_PART
            )
            address = self.listen(endpoint.server())
            entry = server_entry(MODEL_SERVICE, address)
            self.store.put("servers", f"e{number}", entry)
            self.endpoints[f"e{number}"] = endpoint
        self.prompt_count = 0

    async def ask_with(self, front, part):
        """Send a request with a part that all share, ``part`` and one of its own."""
        self.prompt_count += 1
        prompt = f"5c1e:300,{part}:300,e{self.prompt_count:03x}:300"
        headers = {"X-Model": "large", "X-Prompt-Prefix": prompt}
        body = b"question %d" % self.prompt_count
        return await self.ask(front, STREAM_PATH, body=body, headers=headers)

    @gen_test(timeout=300)
    async def test_part_is_refused_although_no_answer_is_framed(self):
        """Guards against a refusal that is lifted every 10 s.

        A stream that ends with its connection may have been cut by a crash, so none of
        them showed that anything is answered.
        """
        front = await self.start_front()
        refused_sound_count = 0
        for number in range(ROUND_COUNT):
            sound = await self.ask_with(front, f"9{number % 5}")
            refused_sound_count += sound.code != 200
            await self.ask_with(front, CRASHING_PART)
            await self.pause(1.0)
        crashed_count = sum(
            any(CRASHING_PART in run.headers["X-Prompt-Prefix"] for run in e.runs)
            for e in self.endpoints.values()
        )
        limit_count = CRASH_LIMIT_COUNT + LATE_LIMIT_COUNT
        self.assertThat(crashed_count, LessThan(limit_count + 1))
        self.assertThat(refused_sound_count, LessThan(ROUND_COUNT // 2))
