"""Tests of parsing chat requests, chunks and the HTTP bodies of engines."""

import json

from hypothesis import example, given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals

from sesameknot.errors import FrameError, RequestError
from sesameknot.protocol.chat import (
    ChatMessage,
    ChatRequest,
    SseParser,
    Usage,
    build_request,
    build_usage_chunk,
    parse_answer,
    parse_chunk,
    parse_request,
)
from sesameknot.protocol.orders import (
    parse_cache_events,
    parse_engine_state,
    parse_load,
)

FIELDS = ["model", "messages", "role", "content", "type", "text", "stream"]
FIELDS += ["max_tokens", "choices", "delta", "message", "finish_reason", "usage"]
FIELDS += ["prompt_tokens", "state", "running", "queued", "age_ms", "events", "hash"]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(FIELDS) | st.text(max_size=4), inner)
    ),
    max_leaves=12,
)
PARSERS = (
    parse_request,
    parse_chunk,
    parse_answer,
    parse_engine_state,
    parse_cache_events,
    lambda body: parse_load("e1", body),
    SseParser().feed,
)


class ChatTest(TestCase):
    @given(st.binary(max_size=200) | JSON.map(lambda v: json.dumps(v).encode()))
    @example(b"[" * 200_000)
    @example(b'{"model":"m","messages":[{"role":"u","content":"\\ud800"}]}')
    @example(b'{"model":"\xff"}')
    def test_random_input_raises_no_other_error(self, body):
        """Guards against malformed input that ends a task with an unexpected error."""
        for parse in PARSERS:
            try:
                parse(body)
            except (RequestError, FrameError):
                continue

    def test_a_request_survives_a_round_trip_with_unknown_fields(self):
        """Guards against engine options that the router drops from requests."""
        request = ChatRequest(
            model="m",
            messages=(ChatMessage("user", "hi"),),
            max_tokens=4,
            extra={"temperature": 0.5},
        )
        self.assertThat(parse_request(build_request(request)), Equals(request))

    def test_errors_name_path_and_expectation(self):
        """Guards against error messages that do not tell the caller what to change."""
        body = b'{"model": "m", "messages": [{"role": "user", "content": 3}]}'
        with self.assertRaises(RequestError) as caught:
            parse_request(body)
        self.assertThat(str(caught.exception), Contains("$.messages[0].content"))
        with self.assertRaises(RequestError) as caught:
            parse_request(body, body_limit_bytes=10)
        self.assertThat(caught.exception.status, Equals(413))

    @given(st.lists(st.integers(1, 40), max_size=8), st.sampled_from([b"\n", b"\r\n"]))
    def test_events_do_not_depend_on_how_bytes_are_split(self, cuts, newline):
        """Guards against a chunk that is lost if an event is split over two reads."""
        event = build_usage_chunk("r", "m", Usage(1, 2)).replace(b"\n", newline)
        data = event * 2 + b"data: [DONE]" + newline * 2
        parser = SseParser()
        events = []
        for cut in cuts:
            events += parser.feed(data[:cut])
            data = data[cut:]
        events += parser.feed(data)
        chunks = [parse_chunk(event) for event in events]
        self.assertThat([chunk and chunk.usage for chunk in chunks[:2]], Equals(USAGES))
        self.assertThat(chunks[2:], Equals([None]))

    def test_an_endless_event_is_refused(self):
        """Guards against an endpoint that exhausts memory with an unbounded event."""
        parser = SseParser(event_limit_bytes=100)
        with self.assertRaises(FrameError):
            parser.feed(b"data: " + b"x" * 200)


USAGES = [Usage(1, 2), Usage(1, 2)]
