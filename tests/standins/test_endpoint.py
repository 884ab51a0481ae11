"""Tests of the endpoint stand-in."""

import asyncio
import json

from testtools.matchers import Equals
from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.testing import bind_unused_port, gen_test

from sesameknot.standins.endpoint import EndpointStandin, EngineOptions, answer_text
from tests.support import LoopTestCase


class EndpointStandinTest(LoopTestCase):
    def _start(self, **options):
        standin = EndpointStandin(EngineOptions(**options))
        server = standin.server()
        sock, port = bind_unused_port()
        server.add_socket(sock)
        self.closing(server.stop)
        self.http = SimpleAsyncHTTPClient(force_instance=True, max_clients=100)
        self.closing(self.http.close)
        self.url = f"http://127.0.0.1:{port}"
        return standin.engine

    def _post(self, path, value=None, **headers):
        return self.http.fetch(
            self.url + path,
            method="POST",
            body=json.dumps(value or {}),
            headers={name.replace("_", "-"): text for name, text in headers.items()},
            raise_error=False,
        )

    def _chat(self, request_id="r1", **values):
        value = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
        return self._post(
            "/v1/chat/completions",
            value | values,
            X_Request_Id=request_id,
            X_Version="v1",
        )

    @gen_test
    async def test_a_stream_carries_the_predicted_text_and_usage(self):
        """Guards against an answer that tests cannot check to be whole."""
        self._start()
        response = await self._chat(stream=True, max_tokens=3)
        events = response.body.decode().removesuffix("\n\n").split("\n\n")
        self.assertThat(events[-1], Equals("data: [DONE]"))
        chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
        text = "".join(
            choice["delta"].get("content", "")
            for chunk in chunks
            for choice in chunk["choices"]
        )
        self.assertThat(text, Equals(answer_text("r1", "m", "v1", 3)))
        self.assertThat(chunks[-1]["usage"]["completion_tokens"], Equals(3))

    @gen_test
    async def test_too_much_load_while_cold_drops_every_connection(self):
        """Guards against a cold start that bears any load."""
        engine = self._start(cold_s=60.0, cold_slot_count=2, token_s=0.05)
        calls = [self._chat(f"r{n}") for n in range(3)]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        failed = [a for a in answers if isinstance(a, (HTTPClientError, OSError))]
        self.assertThat(len(failed), Equals(3))
        self.assertThat(engine.record.fall_count, Equals(1))
        self.assertThat(engine.record.largest_cold_count, Equals(3))

    @gen_test
    async def test_a_dropped_answer_was_executed_and_is_recorded(self):
        """Guards against a fault that also prevents the execution."""
        engine = self._start(kind="plain")
        await self._post("/standin/drop-answer", {"count": 1})
        with self.assertRaises(HTTPClientError):
            await self._post("/bookings", {"tonnes": 3}, Idempotency_Key="k1")
        answer = await self._post("/bookings", {"tonnes": 3}, Idempotency_Key="k1")
        self.assertThat(answer.code, Equals(200))
        sent = [(e.key, e.sent_whole) for e in engine.record.executions]
        self.assertThat(sent, Equals([("k1", False), ("k1", True)]))

    @gen_test
    async def test_an_order_with_an_old_fence_is_refused_only_with_fencing(self):
        """Guards against a stand-in that hides missing waits of a successor."""
        for fencing, expected in ((True, 409), (False, 200)):
            self._start(fencing=fencing, load_order_s=0.0)
            order = {"kind": "load", "model": "m", "version": "v2"}
            await self._post("/orders", order | {"fence": 5})
            answer = await self._post("/orders", order | {"fence": 4})
            self.assertThat(answer.code, Equals(expected))

    @gen_test
    async def test_published_load_lags(self):
        """Guards against load reports that are fresher than a real engine's."""
        engine = self._start(load_lag_s=60.0)
        engine.batch.running_count = 7
        engine.snapshot()
        load = json.loads((await self.http.fetch(self.url + "/load")).body)
        self.assertThat(load["running"], Equals(0))
