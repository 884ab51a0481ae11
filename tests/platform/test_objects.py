"""Tests of the decoders of stored objects, headers and the node file."""

import asyncio
import contextlib
import json
import pathlib
import tempfile

import msgspec
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is
from tornado.httputil import HTTPHeaders

from sesameknot.errors import SettingsError
from sesameknot.platform import (
    AttemptMetadata,
    EntryError,
    StoredEntry,
    decode_configuration,
    decode_endpoint,
    decode_host,
    decode_rollout,
    encode_rollout_progress,
    headers_for_endpoint,
    load_host_settings,
    parse_answer_metadata,
    parse_request_metadata,
)
from sesameknot.platform._lenient_json import decode_json
from sesameknot.platform._store import _parse_entry
from sesameknot.protocol.fleet_records import EndpointState, RolloutOutcome
from tests.front_world import configuration, server_entry

# Decoding does not depend on time, so a slow machine must not fail these tests.
settings.register_profile(
    "decoders", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("decoders")
TEXT = st.text(alphabet="aZ09.:-/ {}\u00e9\u20ac\x00", max_size=8)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4)
    ),
    max_leaves=12,
)
FIELDS = [*server_entry("s", "1.2.3.4:5"), "Metadata", "Spec", "Status", "born"]


def stored_entry(spec, *, status=None, name="x"):
    """Return a stored entry with ``spec``."""
    return StoredEntry(kind="k", name=name, revision=3, spec=spec, status=status)


class DecodeTest(TestCase):
    @given(spec=JSON)
    def test_any_content_is_decoded_or_rejected(self, spec):
        """Guards against malformed entries that end the task which decodes them."""
        for decode in (
            decode_endpoint,
            decode_configuration,
            decode_rollout,
            decode_host,
        ):
            try:
                decode(stored_entry(spec))
            except EntryError as error:
                self.assertThat(error.peer, Equals("k/x"))

    @given(changes=st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=3))
    def test_any_field_of_an_endpoint_may_be_wrong(self, changes):
        """Guards against errors other than EntryError for a field of a wrong type."""
        spec = {**server_entry("s", "1.2.3.4:5"), **changes}
        with contextlib.suppress(EntryError):
            decode_endpoint(stored_entry(spec))

    @given(item=JSON)
    def test_any_item_of_a_list_is_read_or_left_out(self, item):
        """Guards against a list call that fails because of one malformed item."""
        _parse_entry("k", item)
        _parse_entry("k", {"Metadata": item, "Spec": item})

    @given(data=st.binary(max_size=60))
    def test_any_bytes_are_read_or_given_up(self, data):
        """Guards against errors on bytes that are not UTF-8 or not JSON."""
        asyncio.run(decode_json(data))

    @example(text="{[1]: 1}")
    @given(text=st.text(alphabet='[]{}",:1a\\ ', max_size=40))
    def test_any_text_of_json_symbols_is_read_or_given_up(self, text):
        """Guards against errors on text that is almost JSON, as a list as a key is."""
        asyncio.run(decode_json(text.encode()))

    @given(value=JSON)
    def test_value_beside_an_unreadable_one_is_read(self, value):
        """Guards against values that are changed because another can't be read."""
        text = f'[{{"Spec": {json.dumps(value)}}}, {{"Spec": {"9" * 5000}}}]'
        decoded = asyncio.run(decode_json(text.encode()))
        # As text, since NaN does not equal itself.
        expected = json.dumps([{"Spec": value}, {"Spec": None}])
        self.assertThat(json.dumps(decoded), Equals(expected))

    def test_endpoint(self):
        """Guards against wire fields that are decoded into the wrong attribute."""
        spec = server_entry(
            "s", "1.2.3.4:5", State="draining", ColdRemainingMs=1500, born=77
        )
        endpoint = decode_endpoint(stored_entry(spec, name="i-1"))
        self.assertThat(endpoint.endpoint_id, Equals("i-1"))
        self.assertThat(endpoint.state, Is(EndpointState.LEAVING))
        self.assertThat(endpoint.cold_remaining_s, Equals(1.5))
        self.assertThat(endpoint.started_ms, Equals(77))

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against matching a shorter route or one of another host."""
        spec = configuration()
        longer = dict(spec["Routes"][1], Name="longer", PathPrefix="/booking/x/")
        spec["Routes"].append(longer)
        decoded = decode_configuration(stored_entry(spec))
        self.assertThat(
            decoded.route("CALLERS.example", "/booking/x/1").name, Equals("longer")
        )
        self.assertThat(
            decoded.route("callers.example", "/booking/x").name, Equals("unsafe")
        )
        self.assertThat(decoded.route("other.example", "/booking/x"), Is(None))
        self.assertThat(decoded.route("callers.example", "/book"), Is(None))

    def test_progress_of_an_earlier_target_does_not_apply(self):
        """Guards against a second roll-out that begins in the middle of its course."""
        spec = {"Service": "s", "Target": "v3", "DurationS": 9.0}
        earlier = {"State": "succeeded", "Target": "v2", "Share": 1.0, "StartedMs": 5}
        order = decode_rollout(stored_entry(spec, status=earlier))
        self.assertThat(order, Equals(decode_rollout(stored_entry(spec))))

    def test_progress_of_a_rollout_survives_the_store(self):
        """Guards against a host that restarts a roll-out which is in progress."""
        spec = {"Service": "s", "Target": "v2", "DurationS": 12}
        order = decode_rollout(stored_entry(spec))
        self.assertThat(order.outcome, Is(RolloutOutcome.REQUESTED))
        status = {"State": "running", "Target": "v2", "Share": 0.5, "StartedMs": 9}
        order = decode_rollout(stored_entry(spec, status=status))
        self.assertThat(order.outcome, Is(RolloutOutcome.RUNNING))
        self.assertThat(encode_rollout_progress(order), Equals(status))
        later_order = decode_rollout(
            stored_entry({**spec, "Target": "v3"}, status=status)
        )
        self.assertThat(later_order.outcome, Is(RolloutOutcome.REQUESTED))


class HeaderTest(TestCase):
    @given(value=st.text(alphabet="aZ09.,:;*=-+e ", max_size=30))
    def test_any_header_value_is_read_or_counts_as_absent(self, value):
        """Guards against a malformed header that makes the request fail."""
        headers = HTTPHeaders()
        for name in ("X-Deadline-Ms", "X-Prompt-Prefix", "X-Token-Usage"):
            headers[name] = value.replace("\n", " ").replace("\r", " ")
        parse_request_metadata(headers)
        parse_answer_metadata(
            200, HTTPHeaders({"X-Confidence": headers["X-Deadline-Ms"]})
        )

    @given(value=TEXT | st.sampled_from(["nan", "inf", "-1", "1e9", "9" * 5000, "1,2"]))
    def test_malformed_limit_of_an_endpoint_changes_nothing(self, value):
        """Guards against nonsense that is taken as a limit, or fails the request."""
        answer = parse_answer_metadata(200, HTTPHeaders({"Server-Limit": value}))
        is_decimal = value.strip().replace(".", "", 1).isdecimal() and len(value) < 19
        if not is_decimal:
            self.assertThat(answer.notices.rate_limit_per_s, Is(None))
        if answer.notices.rate_limit_per_s is None:
            self.assertThat(len(answer.notices.malformed) > 0, Equals(True))

    def test_limit_of_an_endpoint_is_a_decimal_number(self):
        """Guards against a limit that is not understood."""
        rates = [
            parse_answer_metadata(200, HTTPHeaders({"Server-Limit": value}))
            for value in ("2.25", "0", " 12 ")
        ]
        self.assertThat(
            [r.notices.rate_limit_per_s for r in rates], Equals([2.25, 0.0, 12.0])
        )
        absent = parse_answer_metadata(200, HTTPHeaders())
        self.assertThat(absent.notices.malformed, Equals(()))

    def test_session_is_the_last_shared_part(self):
        """Guards against a session key that differs between a session's requests."""
        headers = HTTPHeaders({"X-Prompt-Prefix": "a:1,b:2,c:3"})
        self.assertThat(parse_request_metadata(headers).session_key, Equals("b"))

    def test_headers_of_the_connection_are_dropped(self):
        """Guards against forwarding headers that apply to one connection only."""
        received = HTTPHeaders(
            {"Connection": "close, X-Private", "X-Private": "1", "X-Kept": "2"}
        )
        attempt = AttemptMetadata(endpoint_id="i-1", time_left_ms=5)
        sent = headers_for_endpoint(received, attempt)
        self.assertThat(
            sorted(sent), Equals(["X-Deadline-Ms", "X-Expect-Instance", "X-Kept"])
        )


class NodeFileTest(TestCase):
    def test_wrong_value_is_named(self):
        """Guards against accepting an invalid file, or not naming the wrong field."""
        path = self._write_file({"Node": 3})
        error = self.assertRaises(SettingsError, load_host_settings, path)
        self.assertIn("Node", str(error))

    def test_unknown_fields_are_ignored(self):
        """Guards against a failing start when the platform adds a field."""
        node_file = {
            "Node": "n",
            "Ip": "10.0.0.1",
            "Zone": "a",
            "Region": "r",
            "Listen": {"Front": "10.0.0.1:1", "Ready": "10.0.0.1:2", "New": {}},
            "Platform": {"Address": "10.0.0.9:3"},
            "Bounds": {"GraceS": 4, "Other": True},
            "Later": [],
        }
        host_settings = load_host_settings(self._write_file(node_file))
        self.assertThat(host_settings.bounds.grace_s, Equals(4.0))
        self.assertThat(host_settings.store_address, Equals("10.0.0.9:3"))

    def _write_file(self, node_file):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "local.json"
        path.write_bytes(msgspec.json.encode(json.loads(json.dumps(node_file))))
        return path
