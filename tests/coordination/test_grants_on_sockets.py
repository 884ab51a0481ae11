"""Integration test of grants, endpoint client and endpoint stand-in on loopback."""

import asyncio

from testtools.matchers import Equals, GreaterThan
from tornado.testing import bind_unused_port, gen_test

from sesameknot.clock import SystemClock
from sesameknot.coordination.grant_holder import GrantError, GrantHolder, SlotOutcome
from sesameknot.coordination.grant_owner import GrantOwner
from sesameknot.protocol.chat import ChatMessage, ChatRequest, build_request
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.settings.process import TimingSettings
from sesameknot.standins.endpoint import EndpointStandin, EngineOptions, answer_text
from sesameknot.state.endpoint_table import EndpointSpec, EndpointTable
from sesameknot.transport.endpoint_client import EndpointCall, EndpointClient
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer
from tests.support import LoopTestCase

TIMING = TimingSettings(stale_limit_s=0.1, endpoint_poll_s=0.1)
BODY = build_request(
    ChatRequest(
        model="m", messages=(ChatMessage("user", "hi"),), stream=True, max_tokens=5
    )
)


class GrantsOnSocketsTest(LoopTestCase):
    def _endpoint(self):
        standin = EndpointStandin(EngineOptions(cold_s=3600.0, token_s=0.005))
        server = standin.server()
        sock, port = bind_unused_port()
        server.add_socket(sock)
        self.closing(server.stop)
        self.spec = EndpointSpec(
            endpoint_id="e1", url=f"http://127.0.0.1:{port}", cold_slot_count=2
        )
        return standin.engine

    def _routers(self, count):
        servers = [PeerServer(f"r{n}") for n in range(count)]
        members = tuple(
            RosterMember(f"r{n}", 1, self.listen(server), "region", f"d{n}")
            for n, server in enumerate(servers)
        )
        roster = Roster(version=1, members=members)
        pairs = zip(members, servers, strict=True)
        return [self._router(member, server, roster) for member, server in pairs]

    def _router(self, member, server, roster):
        clock = SystemClock()
        client = PeerClient(member.host_id, clock=clock)
        self.closing(client.close)
        table = EndpointTable(clock=clock)
        table.configure([self.spec])
        shared = {
            "clock": clock,
            "table": table,
            "roster": lambda: roster,
            "peers": client,
            "timing": TIMING,
        }
        owner = GrantOwner(
            member.host_id,
            1,
            stale=lambda: False,
            poll=self.endpoints.fetch_load,
            **shared,
        )
        holder = GrantHolder(
            member.host_id, 1, member.address, grant_owner=owner, **shared
        )
        for component in (owner, holder):
            component.register(server)
            task = asyncio.create_task(component.run())
            self.closing(task.cancel)
        return holder

    async def _send(self, holder, request_id):
        """Send a request under a grant; return the answer's text, empty if not sent."""
        slot = await holder.acquire_any(["e1"], timeout_s=20.0)
        if slot is None:
            return ""
        call = EndpointCall(
            url=self.spec.url,
            path="/v1/chat/completions",
            headers={"X-Request-Id": request_id, "X-Version": "v1"},
            body=BODY,
            before_send=slot.check,
        )
        try:
            async with self.endpoints.stream(call) as stream:
                holder.observe("e1", stream.load)
                text = "".join([chunk.text async for chunk in stream])
        except GrantError:
            slot.release(SlotOutcome.NOT_SENT)
            return ""
        slot.release(SlotOutcome.DONE)
        return text

    @gen_test(timeout=60)
    async def test_a_cold_endpoint_serves_three_routers_within_its_slots(self):
        """Guards against components that do not work together on real connections."""
        engine = self._endpoint()
        self.endpoints = EndpointClient(clock=SystemClock())
        self.closing(self.endpoints.close)
        holders = self._routers(3)
        names = [f"q{n}" for n in range(18)]
        texts = await asyncio.gather(
            *(self._send(holders[n % 3], name) for n, name in enumerate(names))
        )
        answered = {n: t for n, t in zip(names, texts, strict=True) if t}
        expected = {name: answer_text(name, "m", "v1", 5) for name in answered}
        self.assertThat(answered, Equals(expected))
        self.assertThat(len(answered), GreaterThan(5))
        self.assertThat(engine.record.fall_count, Equals(0))
        self.assertThat(max(engine.record.largest_cold_count, 2), Equals(2))
