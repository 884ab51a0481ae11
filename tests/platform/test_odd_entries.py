"""Tests of entries of the store that another writer left unreadable or out of range."""

import asyncio
import json
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals, Not
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.testing import gen_test

from sesameknot.errors import RouterError
from sesameknot.platform import (
    EntryError,
    StoreClient,
    StoredEntry,
    _lenient_json,
    decode_endpoint,
    decode_host,
)
from sesameknot.platform._lenient_json import STEP_COUNT, decode_json
from tests.front_world import PLAIN_SERVICE, SAFE_PATH, FrontWorld, configuration
from tests.front_world import server_entry as make_entry
from tests.support import LoopTestCase, eventually
from tests.virtual_time import VirtualTimeMixin

NESTING_DEPTH = 100_000
# What json.dumps can't write, as another writer's bytes.
ODD_VALUES = {
    "nested arrays": "[" * NESTING_DEPTH + "]" * NESTING_DEPTH,
    "nested objects": '{"a":' * NESTING_DEPTH + "1" + "}" * NESTING_DEPTH,
    "moderately nested": "[" * 900 + "]" * 900,
    "number of 5,000 digits": "9" * 5000,
    "number beyond the range": "1e400",
}
# As large as the store takes a value.
VALUE_LIMIT_BYTES = 1_000_000
LARGE_VALUES = {
    "nested arrays": "[" * 490_000 + "]" * 490_000,
    "nested arrays of two": "[1," * 240_000 + "1" + "]" * 240_000,
    "nested objects": '{"a":' * 160_000 + "1" + "}" * 160_000,
    "empty arrays and a long number": "[" + "[]," * 300_000 + "9" * 5000 + "]",
    "empty strings and a long number": "[" + '"",' * 300_000 + "9" * 5000 + "]",
    "quotes and a long number": '["' + '\\"' * 400_000 + '",' + "9" * 5000 + "]",
}
ODD_ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:\u00b2",
    "127.0.0.1:-1",
    "127.0.0.1",
    "nowhere:80",
]
ODD_FIELDS = [
    {"Slots": -5},
    {"Slots": 2**70},
    {"ColdRemainingMs": float("inf")},
    {"ColdRemainingMs": float("nan")},
    {"born": 2**70},
]


def stored_entry(spec):
    """Return a stored entry with ``spec``."""
    return StoredEntry(kind="k", name="x", revision=3, spec=spec)


def item_text(name, spec_text):
    """Return an object of the store as its JSON."""
    return f'{{"Metadata": {{"Name": "{name}", "Revision": 3}}, "Spec": {spec_text}}}'


class OddFieldTest(TestCase):
    def test_address_out_of_range_is_rejected(self):
        """Guards against addresses that no socket takes, so that connecting fails."""
        for address in ODD_ADDRESSES:
            for decode, spec in (
                (decode_endpoint, make_entry("s", address)),
                (decode_host, {"Address": address, "Zone": "a"}),
            ):
                with self.subTest(address=address[:40], decode=decode.__name__):
                    self.assertRaises(EntryError, decode, stored_entry(spec))

    def test_handover_address_out_of_range_is_rejected(self):
        """Guards against a host that others can't hand requests over to."""
        spec = {"Address": "1.2.3.4:5", "Zone": "a", "HandoverAddress": "1.2.3.4:99999"}
        self.assertRaises(EntryError, decode_host, stored_entry(spec))

    def test_number_out_of_range_is_rejected(self):
        """Guards against counts and times that later arithmetic does not expect."""
        for fields in ODD_FIELDS:
            with self.subTest(fields=str(fields)[:60]):
                spec = make_entry("s", "1.2.3.4:5", **fields)
                self.assertRaises(EntryError, decode_endpoint, stored_entry(spec))


class OddListTest(LoopTestCase):
    async def answer_names(self, body_text, call):
        """Return the names in the store's answer ``body_text`` to a call."""

        def answer(request: HTTPServerRequest) -> None:
            body = body_text.encode()
            request.connection.write_headers(
                ResponseStartLine("HTTP/1.1", 200, "OK"),
                HTTPHeaders({"Content-Length": str(len(body))}),
                body,
            )
            request.connection.finish()

        store = StoreClient(self.listen(HTTPServer(answer)))
        self.closing(store.close)
        batch = await call(store)
        return {entry.name for entry in batch.entries}

    @gen_test(timeout=30)
    async def test_odd_entry_of_a_list_does_not_hide_the_others(self):
        """Guards against a list that is given up because of one entry."""
        for label, value in ODD_VALUES.items():
            items = [item_text("a", "{}"), item_text("b", value), item_text("c", "{}")]
            body = f'{{"Items": [{", ".join(items)}], "AsOf": 7}}'
            names = await self.answer_names(body, lambda store: store.list("servers"))
            self.assertThat(names & {"a", "c"}, Equals({"a", "c"}), label)

    @gen_test(timeout=30)
    async def test_odd_entry_of_a_watch_does_not_hide_the_others(self):
        """Guards against a watch that fails again and again because of one entry."""
        for label, value in ODD_VALUES.items():
            events = [
                f'{{"Object": {item_text(name, text)}, "Tombstone": false}}'
                for name, text in (("a", "{}"), ("b", value))
            ]
            body = f'{{"events": [{", ".join(events)}], "AsOf": 7}}'
            names = await self.answer_names(
                body,
                lambda store: store.watch(
                    "servers", since_revision=1, wait_s=0.1, margin_s=5.0
                ),
            )
            self.assertThat(names, Contains("a"), label)

    @gen_test(timeout=30)
    async def test_answer_that_is_cut_is_an_error(self):
        """Guards against an answer whose rest is missing and that passes for whole."""
        body = f'{{"Items": [{item_text("a", "{}")}, {{"Metadata"'
        try:
            await self.answer_names(body, lambda store: store.list("servers"))
        except RouterError:
            return
        self.fail("a cut answer was accepted")


class LargeOddValueTest(LoopTestCase):
    async def read_beside_a_task(self, text):
        """Return the value of ``text`` and how often another task ran meanwhile."""
        turn_count = 0

        async def take_turns():
            nonlocal turn_count
            while True:
                await asyncio.sleep(0)
                turn_count += 1

        task = asyncio.create_task(take_turns())
        await asyncio.sleep(0)
        value = await decode_json(text.encode())
        task.cancel()
        return value, turn_count

    @gen_test(timeout=60)
    async def test_members_beside_a_large_odd_value_hold(self):
        """Guards against a large value that hides the others."""
        for label, large in LARGE_VALUES.items():
            self.assertLess(len(large), VALUE_LIMIT_BYTES, label)
            value, _ = await self.read_beside_a_task(
                f'[{{"Spec": {large}, "b": 2}}, 3]'
            )
            self.assertThat(value[0]["b"], Equals(2), label)
            self.assertThat(value[1], Equals(3), label)

    @gen_test(timeout=60)
    async def test_large_odd_value_is_tried_once(self):
        """Guards against an entry that delays the others by as often as it is tried."""
        text = LARGE_VALUES["empty arrays and a long number"]
        body = (
            f'{{"events": [{{"Object": {item_text("a", "{}")}}}, '
            f'{{"Object": {item_text("b", text)}}}], "AsOf": 7}}'
        )
        with mock.patch.object(_lenient_json, "_decoder") as decoder:
            decoder.raw_decode.side_effect = json.JSONDecoder().raw_decode
            value, _ = await self.read_beside_a_task(body)
        names = [event["Object"]["Metadata"]["Name"] for event in value["events"]]
        self.assertThat(names, Equals(["a", "b"]))
        tried = [call.args for call in decoder.raw_decode.call_args_list]
        large_count = sum(
            given_text[start : start + len(text)] == text for given_text, start in tried
        )
        self.assertThat(large_count, Equals(1))
        self.assertLess(len(tried), 30)

    @gen_test(timeout=60)
    async def test_other_tasks_run_while_a_large_odd_value_is_read(self):
        """Guards against an event loop that one entry holds up for seconds."""
        depth = 250_000
        _, turn_count = await self.read_beside_a_task(
            '{"Spec": ' + "[1," * depth + "1" + "]" * depth + "}"
        )
        self.assertGreaterEqual(turn_count, depth // STEP_COUNT)

    @gen_test(timeout=10)
    async def test_string_without_an_end_is_read_once(self):
        """Guards against a search that begins anew at each quote of a long string."""
        value, _ = await self.read_beside_a_task('["' + '\\"' * 400_000)
        self.assertIsNone(value)


class OddEntryInServiceTest(VirtualTimeMixin, FrontWorld):
    """Hosts that follow lists into which another writer puts odd entries."""

    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0)

    def odd_specs(self):
        """Return contents of entries, as Python values."""
        nested = []
        for _ in range(900):
            nested = [nested]
        yield nested
        yield {**make_entry(PLAIN_SERVICE, "127.0.0.1:1"), "Slots": nested}
        yield float("inf")
        for address in ODD_ADDRESSES:
            yield make_entry(PLAIN_SERVICE, address)
            yield {"Address": address, "Zone": "a"}
        for fields in ODD_FIELDS:
            yield make_entry(PLAIN_SERVICE, "127.0.0.1:1", **fields)

    @gen_test(timeout=120)
    async def test_hosts_follow_their_lists_beside_odd_entries(self):
        """Guards against hosts that end, or stop to follow, because of one entry."""
        fronts = [await self.start_front(f"host-{number}") for number in range(4)]
        for front in fronts:
            await front.directory.refresh()
        await eventually(lambda: sum(f.store_link.relayed for f in fronts) == 2)
        for kind in ("servers", "sesameknot-hosts", "evacuations", "rollouts"):
            for number, spec in enumerate(self.odd_specs()):
                name = f"odd-{number}"
                self.store.put(kind, name, spec)
                await self.pause(0.1)
            for front in fronts:
                await front.directory.refresh()
            await self.pause(1.0)
            for number, _ in enumerate(self.odd_specs()):
                self.store.remove(kind, f"odd-{number}")
        self.add_endpoint("e2", PLAIN_SERVICE, event_count=0)
        self.store.put("config", "main", configuration(7))
        await eventually(
            lambda: all(
                f.view.configuration.version == 7 and "e2" in f.view.endpoints
                for f in fronts
            ),
            limit_s=3.0,
        )
        for front in fronts:
            self.assertThat(set(front.view.hosts), Not(Contains("odd-1")))
            response = await self.ask(front, SAFE_PATH)
            self.assertThat(response.code, Equals(200))

    @gen_test(timeout=120)
    async def test_hosts_go_on_beside_a_large_odd_entry(self):
        """Guards against hosts that read one answer of the store again and again."""
        fronts = [await self.start_front(f"host-{number}") for number in range(2)]
        self.add_endpoint("e2", PLAIN_SERVICE, event_count=0)
        for number, text in enumerate(LARGE_VALUES.values()):
            self.store.put_text("servers", f"odd-{number}", text)
            await self.pause(0.2)
        self.add_endpoint("e3", PLAIN_SERVICE, event_count=0)
        await eventually(
            lambda: all("e3" in front.view.endpoints for front in fronts), limit_s=3.0
        )
        for front in fronts:
            response = await self.ask(front, SAFE_PATH)
            self.assertThat(response.code, Equals(200))

    @gen_test(timeout=60)
    async def test_starting_host_reads_lists_with_odd_entries(self):
        """Guards against a host that can't start, or pass its lists on to others."""
        for number, spec in enumerate(self.odd_specs()):
            json.dumps(spec)
            self.store.put("servers", f"odd-{number}", spec)
        first = await self.start_front("host-1")
        second = await self.start_front("host-2", seeds=[first.host.peer_address])
        for front in (first, second):
            await eventually(lambda f=front: "e1" in f.view.endpoints, limit_s=3.0)
            response = await self.ask(front, SAFE_PATH)
            self.assertThat(response.code, Equals(200))
