"""Tests of the codec of peer messages."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.errors import FrameError
from sesameknot.protocol import messages
from sesameknot.protocol.codec import Envelope, decode, encode


class CodecTest(TestCase):
    def test_every_message_survives_a_round_trip(self):
        """Guards against a field whose name differs in the schema and the class."""
        for name in messages.__all__:
            body = getattr(messages, name)()
            if name in _NESTED_RECORDS:
                continue
            envelope = Envelope(call_id=3, sender="a", body=body)
            self.assertThat(decode(encode(envelope)), Equals(envelope))

    def test_nested_records_keep_their_values(self):
        """Guards against lists of records that lose entries or values."""
        record = messages.ObjectRecord(key="domains/idku", version=9, value=b"{}")
        envelope = Envelope(1, "a", messages.ObjectPush(objects=[record, record]))
        self.assertThat(decode(encode(envelope)), Equals(envelope))

    @given(st.binary(max_size=400))
    def test_random_bytes_never_escape_as_another_error(self, data):
        """Guards against a malformed frame that ends the task of a connection."""
        try:
            decode(data)
        except FrameError:
            return

    @given(st.integers(0, 80), st.integers(0, 255))
    def test_a_changed_byte_never_escapes_as_another_error(self, position, value):
        """Guards against a corrupt message that raises anything but FrameError."""
        body = messages.ClaimWrite(table="key", key="k" * 30, value=b"x" * 30)
        data = bytearray(encode(Envelope(1, "host-1", body)))
        data[position % len(data)] = value
        try:
            decode(bytes(data))
        except FrameError:
            return


_NESTED_RECORDS = {
    name
    for name in messages.__all__
    if dataclasses.is_dataclass(getattr(messages, name))
    and getattr(messages, name).__module__.endswith("_records")
}
