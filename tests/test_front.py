"""Tests of the front process: changes in the store, roll-outs and shutdown."""

import asyncio
import dataclasses

from testtools.matchers import Equals, GreaterThan, HasLength, LessThan
from tornado.httpclient import HTTPClientError
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetStore
from tests.front_world import (
    CUSTOMER,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    STREAM_PATH,
    UNSAFE_PATH,
    FrontWorld,
    configuration,
    route,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin


class FollowTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    @gen_test
    async def test_new_configuration_is_in_force_and_never_reverts(self):
        """Guards against new routes that are not served and a return to old ones."""
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        added = route("added", "/added/", "unsafe", PLAIN_SERVICE)
        self.store.put("config", "main", configuration(5, routes=[added]))
        await eventually(lambda: front.view.configuration.version == 5, limit_s=2.0)
        response = await self.ask(front, "/added/x")
        self.assertThat(response.code, Equals(200))
        self.store.put("config", "main", configuration(3))
        await self.pause(0.2)
        self.assertThat(front.view.configuration.version, Equals(5))

    @gen_test
    async def test_unreadable_entries_name_no_endpoint_and_harm_no_other(self):
        """Guards against malformed entries that stop the processing of valid ones."""
        self.add_endpoint("good", PLAIN_SERVICE, event_count=0)
        for number, content in enumerate(
            [None, "text", 7, [], {"Service": 3}, {"State": "odd"}, {"Address": {}}]
        ):
            self.store.put("servers", f"bad{number}", content)
        front = await self.start_front()
        self.assertThat(front.view.endpoints, HasLength(1))
        self.store.put("servers", "late", {"Service": PLAIN_SERVICE, "Address": 1})
        self.store.put("evacuations", "b", {})
        await eventually(lambda: front.view.evacuated_domains == {"b"}, limit_s=2.0)
        response = await self.ask(front, UNSAFE_PATH)
        self.assertThat(response.code, Equals(200))

    @gen_test
    async def test_leaving_endpoint_gets_no_more_work(self):
        """Guards against requests to endpoints that announced their shutdown."""
        leaving = self.add_endpoint("leaving", PLAIN_SERVICE, event_count=0)
        staying = self.add_endpoint("staying", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        entry = dict(self.store.get("servers", "leaving")["Spec"], State="draining")
        self.store.put("servers", "leaving", entry)
        leaving_entry = front.view.endpoints["leaving"]
        await eventually(lambda: not front.view.may_send(leaving_entry), limit_s=2.0)
        for _ in range(8):
            await self.ask(front, UNSAFE_PATH)
        self.assertThat(leaving.runs, HasLength(0))
        self.assertThat(staying.runs, HasLength(8))

    @gen_test
    async def test_evacuated_domain_gets_no_work(self):
        """Guards against requests to a failure domain that operators evacuated."""
        away = self.add_endpoint("away", PLAIN_SERVICE, event_count=0, domain="a")
        self.add_endpoint("here", PLAIN_SERVICE, event_count=0, domain="b")
        front = await self.start_front()
        self.store.put("evacuations", "a", {})
        await eventually(lambda: front.view.evacuated_domains, limit_s=2.0)
        for _ in range(8):
            response = await self.ask(front, UNSAFE_PATH)
            self.assertThat(response.code, Equals(200))
        self.assertThat(away.runs, HasLength(0))

    @gen_test
    async def test_store_outage_is_no_reason_to_refuse(self):
        """Guards against refusals in an outage and missed changes after it."""
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        self.store.refuse_status = 503
        self.store.put("config", "main", configuration(7))
        await self.pause(0.5)
        response = await self.ask(front, UNSAFE_PATH)
        self.assertThat(response.code, Equals(200))
        self.store.refuse_status = 0
        await eventually(lambda: front.view.configuration.version == 7, limit_s=5.0)

    @gen_test
    async def test_host_that_starts_in_an_outage_learns_from_another(self):
        """Guards against a restarted host that refuses until the store is back."""
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0)
        first = await self.start_front()
        self.store.refuse_status = 503
        second = await self.start_front("host-2", seeds=[first.host.peer_address])
        response = await self.ask(second, UNSAFE_PATH)
        self.assertThat(response.code, Equals(200))
        self.store.refuse_status = 0
        self.store.put("config", "main", configuration(7))
        await eventually(lambda: second.view.configuration.version == 7, limit_s=5.0)

    @gen_test(timeout=30)
    async def test_host_that_starts_in_an_outage_takes_the_newest_information(self):
        """Guards against a restart that brings back an endpoint and a withdrawn key.

        The seed that is asked first was cut off from the store earlier than the other.
        """
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0)
        self.add_endpoint("e2", PLAIN_SERVICE, event_count=0)
        outdated = await self.start_front("host-1")
        current = await self.start_front("host-2")
        silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        self.closing(silent.close)
        outdated.store.redirect(f"127.0.0.1:{silent.sockets[0].getsockname()[1]}")
        outdated.store_link.interrupt()
        entry = self.store.get("servers", "e1")["Spec"]
        self.store.put("servers", "e1", {**entry, "State": "draining"})
        tenants = [{"Name": CUSTOMER, "ApiKeys": ["key-2"]}]
        self.store.put("config", "main", configuration(2, Tenants=tenants))
        await eventually(lambda: current.view.configuration.version == 2)
        self.assertThat(outdated.view.configuration.version, Equals(1))
        self.store.refuse_status = 503
        seeds = [outdated.host.peer_address, current.host.peer_address]
        restarted = await self.start_front("host-3", seeds=seeds)
        response = await self.ask(restarted, UNSAFE_PATH)
        self.assertThat(response.code, Equals(401))
        response = await self.ask(restarted, UNSAFE_PATH, key="key-2")
        self.assertThat(response.code, Equals(200))
        self.assertThat(self.endpoints["e1"].runs, HasLength(0))

    @gen_test
    async def test_lost_history_leads_to_a_new_list(self):
        """Guards against missed changes that the store dropped from its history."""
        front = await self.start_front()
        self.store.refuse_status = 503
        await self.pause(0.3)
        self.store.put("evacuations", "b", {})
        self.store.drop_history()
        self.store.refuse_status = 0
        await eventually(lambda: front.view.evacuated_domains == {"b"}, limit_s=6.0)

    @gen_test(timeout=30)
    async def test_lost_history_of_one_kind_ends_the_waits_of_all(self):
        """Guards against waiting for changes that the store dropped unreported."""
        front = await self.start_front()
        self.store.withhold_changes = True
        self.store.put("evacuations", "b", {})
        await self.pause(0.1)
        self.store.drop_history()
        self.store.withhold_changes = False
        await eventually(lambda: front.view.evacuated_domains == {"b"}, limit_s=8.0)

    @gen_test
    async def test_cold_endpoint_gets_no_more_than_it_bears(self):
        """Guards against overload of an endpoint that has just started."""
        front = await self.start_front()
        endpoint = self.add_endpoint("cold", MODEL_SERVICE, confidences={"small": 90})
        await eventually(lambda: front.view.endpoints, limit_s=2.0)
        answers = await asyncio.gather(
            *(self.ask(front, STREAM_PATH) for _ in range(30))
        )
        self.assertThat(len(endpoint.runs), LessThan(4 * 1.5 + 5))
        self.assertThat(len(endpoint.runs), GreaterThan(0))
        refused = [a for a in answers if a.code == 503]
        self.assertThat(len(refused), GreaterThan(15))


class RolloutTest(FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        for number in range(2):
            self.add_endpoint(f"old{number}", PLAIN_SERVICE, event_count=0)

    def start_rollout(self, duration_s=3.0):
        for number in range(2):
            self.add_endpoint(
                f"new{number}", PLAIN_SERVICE, event_count=0, version="v2"
            )
        self.store.put(
            "rollouts",
            PLAIN_SERVICE,
            {"Service": PLAIN_SERVICE, "Target": "v2", "DurationS": duration_s},
        )

    def rollout_state(self):
        status = self.store.get("rollouts", PLAIN_SERVICE)["Status"] or {}
        return status.get("State")

    async def send_until(self, fronts, condition):
        while not condition():
            await asyncio.gather(*(self.ask(front, UNSAFE_PATH) for front in fronts))
            await asyncio.sleep(0.01)

    @gen_test(timeout=20)
    async def test_good_version_succeeds_in_time(self):
        """Guards against a roll-out that no host completes."""
        fronts = [await self.start_front(f"host-{n}") for n in range(2)]
        self.start_rollout()
        await asyncio.wait_for(
            self.send_until(fronts, lambda: self.rollout_state() == "succeeded"), 6.0
        )
        old_count = len(self.endpoints["old0"].runs)
        await eventually(
            lambda: all(f.view.rollouts[PLAIN_SERVICE].share >= 1.0 for f in fronts)
        )
        for front in fronts:
            self.assertThat((await self.ask(front, UNSAFE_PATH)).code, Equals(200))
        self.assertThat(len(self.endpoints["old0"].runs), Equals(old_count))

    @gen_test(timeout=20)
    async def test_bad_version_is_rolled_back_after_few_requests(self):
        """Guards against exposure of many callers to a bad version."""
        fronts = [await self.start_front(f"host-{n}") for n in range(2)]
        self.start_rollout()
        for number in range(2):
            self.endpoints[f"new{number}"].status = 500
        await asyncio.wait_for(
            self.send_until(fronts, lambda: self.rollout_state() == "rolled_back"), 6.0
        )
        new_count = sum(len(self.endpoints[f"new{n}"].runs) for n in range(2))
        total_count = sum(len(e.runs) for e in self.endpoints.values())
        self.assertThat(new_count, LessThan(0.15 * total_count + 30))

    @gen_test(timeout=20)
    async def test_slow_version_is_rolled_back(self):
        """Guards against a version that answers correctly but several times slower."""
        fronts = [await self.start_front(f"host-{n}") for n in range(2)]
        self.start_rollout()
        for number in range(2):
            self.endpoints[f"new{number}"].delay_s = 0.3
        await asyncio.wait_for(
            self.send_until(fronts, lambda: self.rollout_state() == "rolled_back"), 6.0
        )

    @gen_test(timeout=20)
    async def test_version_that_turns_bad_at_full_share_is_rolled_back(self):
        """Guards against a version that fails only under its full load."""
        fronts = [await self.start_front(f"host-{n}") for n in range(2)]
        self.start_rollout(duration_s=4.0)

        def has_full_share():
            return all(f.view.rollouts[PLAIN_SERVICE].share >= 1.0 for f in fronts)

        await eventually(lambda: all(f.view.rollouts for f in fronts))
        await asyncio.wait_for(self.send_until(fronts, has_full_share), 6.0)
        for number in range(2):
            self.endpoints[f"new{number}"].status = 500
        await asyncio.wait_for(
            self.send_until(fronts, lambda: self.rollout_state() == "rolled_back"), 4.0
        )

    @gen_test(timeout=20)
    async def test_store_that_loses_answers_does_not_stop_the_roll_out(self):
        """Guards against a step that is repeated or skipped after a lost answer."""
        fronts = [await self.start_front()]
        self.store.lose_write_answers = True
        self.start_rollout()
        await asyncio.wait_for(
            self.send_until(fronts, lambda: self.rollout_state() == "succeeded"), 8.0
        )


class ReloadTest(FrontWorld):
    @gen_test
    async def test_moved_store_is_followed(self):
        """Guards against a host that keeps watching the store's previous address."""
        self.store.put("config", "main", configuration())
        front = await self.start_front()
        new_store = FleetStore()
        new_store.revision = self.store.revision
        new_store.put("config", "main", configuration(9))
        address = self.listen(new_store.server())
        front.reload(dataclasses.replace(front.host, store_address=address))
        await eventually(lambda: front.view.configuration.version == 9, limit_s=4.0)


class StopTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    @gen_test(timeout=20)
    async def test_shutdown_finishes_requests_and_takes_no_late_ones(self):
        """Guards against aborted requests, whether in flight or accepted too late."""
        self.add_endpoint(
            "e1",
            MODEL_SERVICE,
            confidences={"small": 90},
            event_count=40,
            event_gap_s=0.05,
        )
        front = await self.start_front(grace_s=5.0)
        running = asyncio.create_task(self.ask(front, STREAM_PATH))
        await eventually(lambda: self.endpoints["e1"].runs)
        stop = asyncio.create_task(front.shut_down())
        await self.pause(0.1)
        self.assertThat(await self.ready_status(front), Equals(503))
        response = await running
        self.assertThat(response.body.count(b"piece"), Equals(40))
        await eventually(lambda: front.drain.refusing, limit_s=4.0)
        try:
            late = await self.ask(front, STREAM_PATH)
            self.assertThat(late.code, Equals(503))
        except (HTTPClientError, OSError):
            pass
        await stop
        self.assertThat(self.endpoints["e1"].runs, HasLength(1))

    @gen_test(timeout=20)
    async def test_short_requests_are_served_until_the_grace_time_ends(self):
        """Guards against refusals while the remaining grace time is enough."""
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0)
        self.add_endpoint(
            "e2",
            MODEL_SERVICE,
            confidences={"small": 90},
            event_count=27,
            event_gap_s=0.1,
        )
        front = await self.start_front(grace_s=5.0)
        running = asyncio.create_task(self.ask(front, STREAM_PATH))
        await eventually(lambda: self.endpoints["e2"].runs)
        stop = asyncio.create_task(front.shut_down())
        await eventually(lambda: front.drain.refusing, limit_s=4.0)
        short = await self.ask(front, UNSAFE_PATH, deadline_ms=500)
        long = await self.ask(front, STREAM_PATH)
        self.assertThat((short.code, long.code), Equals((200, 503)))
        await running
        await stop

    @gen_test(timeout=20)
    async def test_idle_connections_are_closed_at_shutdown(self):
        """Guards against requests on persistent connections long after SIGTERM."""
        front = await self.start_front()
        ip, port = front.host.caller_address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"GET /none/ HTTP/1.1\r\nHost: callers.example\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        await front.shut_down()
        async with asyncio.timeout(1.0):
            await reader.read()
        writer.close()
