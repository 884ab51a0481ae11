"""Memory that a router holds for bodies of callers' requests."""

import asyncio
import tracemalloc

from testtools.matchers import Equals, GreaterThan, LessThan
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.testing import gen_test
from tornado.web import Application

from sesameknot.policy.memory_budget import MemoryBudget
from sesameknot.router.caller_handlers import CallerApi, ServiceHandler
from sesameknot.router.drain import Drain
from tests.support import LoopTestCase, eventually

LARGE_BODY = bytes(700_000)
HEADERS = {"Authorization": "Bearer key", "Content-Type": "application/octet-stream"}


class RouterBodyMemoryTest(LoopTestCase):
    def setUp(self):
        super().setUp()
        self.budget = MemoryBudget(1_000_000, small_bytes=1_000, small_share=0.25)
        self.served = []
        self.may_answer = asyncio.Event()
        api = CallerApi(
            serve_chat=None,
            serve_service=self.serve_service,
            drain=Drain(),
            refusal_reason=str,
            observe_request=lambda *_: None,
            body_limit_bytes=4_000_000,
            body_budget=self.budget,
            default_deadline_s=30.0,
        )
        handlers = [(r"/services/([a-z]+)/(.*)", ServiceHandler, {"api": api})]
        server = HTTPServer(Application(handlers, log_function=lambda _: None))
        self.url = f"http://{self.listen(server)}/services/s/x"
        self.http = SimpleAsyncHTTPClient(force_instance=True)
        self.closing(self.http.close)

    async def serve_service(self, headers, request, sink):
        """Hold the request until the test lets it end."""
        self.served.append(len(request.body))
        await self.may_answer.wait()
        sink.start(200, {})
        await sink.write(b"done")

    def ask(self, body=None, body_producer=None):
        return self.http.fetch(
            self.url,
            method="POST",
            headers=HEADERS,
            body=body,
            body_producer=body_producer,
            raise_error=False,
        )

    @gen_test
    async def test_body_without_room_is_refused_as_not_run(self):
        """Guards against a router that holds as many bodies as callers send."""
        first = asyncio.ensure_future(self.ask(LARGE_BODY))
        await eventually(lambda: self.served)
        refused = await self.ask(LARGE_BODY)
        self.assertThat(refused.code, Equals(503))
        self.assertThat(refused.headers["X-Outcome"], Equals("not-run"))
        self.assertThat(float(refused.headers["Retry-After"]), GreaterThan(0.0))

        async def send_parts(write):
            for start in range(0, len(LARGE_BODY), 50_000):
                await write(LARGE_BODY[start : start + 50_000])

        in_chunks = await self.ask(body_producer=send_parts)
        self.assertThat(in_chunks.code, Equals(503))
        small = asyncio.ensure_future(self.ask(b"small"))
        await eventually(lambda: len(self.served) == 2)
        self.may_answer.set()
        codes = [answer.code for answer in await asyncio.gather(first, small)]
        self.assertThat(codes, Equals([200, 200]))
        self.assertThat(self.served, Equals([len(LARGE_BODY), 5]))
        await eventually(lambda: self.budget.used_bytes == 0)

    @gen_test
    async def test_memory_is_free_when_the_caller_leaves(self):
        """Guards against a budget that shrinks with each caller that leaves."""
        ip, _, port = self.url.split("/")[2].rpartition(":")
        _, writer = await asyncio.open_connection(ip, int(port))
        head = f"POST /services/s/x HTTP/1.1\r\nHost: x\r\nContent-Length: {700_000}"
        writer.write(head.encode() + b"\r\n\r\n" + bytes(1000))
        await eventually(lambda: self.budget.used_bytes == 700_000)
        writer.close()
        await eventually(lambda: self.budget.used_bytes == 0)

    @gen_test
    async def test_body_is_held_once_while_it_is_served(self):
        """Guards against parts that are kept beside the joined body."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        asked = asyncio.ensure_future(self.ask(LARGE_BODY))
        await eventually(lambda: self.served)
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertThat(held_bytes, LessThan(1.5 * len(LARGE_BODY)))
        self.may_answer.set()
        await asked
