"""Tests of peer messages between processes of this build and of released ones.

``released/`` holds the schema of each commit that may run beside this build.
"""

import itertools
import pathlib
import re
import tempfile

import capnp
from testtools import TestCase
from testtools.matchers import Equals

import sesameknot.protocol.codec
from sesameknot.protocol._message_registry import MESSAGES
from sesameknot.protocol.codec import Envelope, decode, encode
from sesameknot.protocol.messages import DomainSync, DomainSyncReply, ObjectVersion

RELEASED = sorted((pathlib.Path(__file__).parent / "released").glob("*.capnp"))
CURRENT = (
    pathlib.Path(sesameknot.protocol.codec.__file__).parent / "schema" / "peer.capnp"
)
FILE_ID = re.compile(r"^@0x[0-9a-f]+;", re.MULTILINE)
STRUCT = re.compile(r"^struct (\w+) \{(.*?)^\}", re.MULTILINE | re.DOTALL)
# Each load in this process needs another file id.
_file_numbers = itertools.count()
FIELD = re.compile(r"(\w+) @(\d+) :([^;]+);")


def load_schema(text):
    """Load a schema under a file id of its own.

    A second schema under the same id aborts the process.
    """
    number = next(_file_numbers)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / f"schema{number}.capnp"
        path.write_text(FILE_ID.sub(f"@0x9f00000000000{number:03x};", text, count=1))
        return capnp.load(str(path))


def struct_fields(text):
    """Return the fields of each struct, as (name, number, type)."""
    return {name: set(FIELD.findall(body)) for name, body in STRUCT.findall(text)}


def schema_with_new_kind():
    """Return a schema of a later build, with a kind that this one does not know."""
    text = CURRENT.read_text()
    numbers = [int(number) for _, number, _ in struct_fields(text)["Envelope"]]
    last = f"@{max(numbers)} :"
    line = next(line for line in text.splitlines() if last in line and "Reply" in line)
    text = text.replace(line, f"{line}\n    later @{max(numbers) + 1} :Later;")
    return load_schema(text + "\nstruct Later { text @0 :Text; }\n")


class CompatibilityTest(TestCase):
    def test_schema_only_grows(self):
        """Guards against a field whose number or type changed since a release."""
        current = struct_fields(CURRENT.read_text())
        self.assertThat(len(RELEASED), Equals(6))
        for path in RELEASED:
            for name, fields in struct_fields(path.read_text()).items():
                self.assertThat(fields - current.get(name, set()), Equals(set()), name)

    def test_released_builds_read_the_messages_of_this_one(self):
        """Guards against a message that an older process takes for malformed."""
        for path in RELEASED:
            schema = load_schema(path.read_text())
            kinds = {name for name, _, _ in struct_fields(path.read_text())["Envelope"]}
            for kind in kinds & set(MESSAGES):
                data = encode(Envelope(7, "host-1", MESSAGES.get(kind)()))
                reader = schema.Envelope.from_bytes_packed(data)
                self.assertThat(str(reader.which()), Equals(kind))
                self.assertThat(reader.callId, Equals(7))

    def test_messages_of_released_builds_are_read(self):
        """Guards against a field that a process of an older build does not send."""
        for path in RELEASED:
            schema = load_schema(path.read_text())
            kinds = {name for name, _, _ in struct_fields(path.read_text())["Envelope"]}
            for kind in kinds & set(MESSAGES):
                message = schema.Envelope.new_message(callId=7, sender="host-1")
                message.init(kind)
                envelope = decode(message.to_bytes_packed())
                self.assertThat(type(envelope.body), Equals(MESSAGES.get(kind)))

    def test_released_builds_take_all_objects_in_the_reply(self):
        """Guards against kinds that are deferred to a host that never fetches them."""
        for path in RELEASED:
            schema = load_schema(path.read_text())
            message = schema.Envelope.new_message(callId=7, sender="host-1")
            message.init("domainSync").hostId = "host-1"
            request = decode(message.to_bytes_packed()).body
            self.assertThat(request, Equals(DomainSync(host_id="host-1")))
            self.assertThat(request.object_limit_bytes, Equals(0))

    def test_fields_of_this_build_do_not_disturb_released_ones(self):
        """Guards against a reply whose new fields hide the others."""
        reply = DomainSyncReply(
            store_age_ms=5.0, deferred=[ObjectVersion(key="config", version=3)]
        )
        data = encode(Envelope(7, "host-1", reply, is_reply=True))
        for path in RELEASED:
            schema = load_schema(path.read_text())
            reader = schema.Envelope.from_bytes_packed(data)
            self.assertThat(reader.domainSyncReply.storeAgeMs, Equals(5.0))
            self.assertThat(reader.isReply, Equals(True))

    def test_unknown_kind_keeps_call_and_sender(self):
        """Guards against a message of a later build that passes for malformed."""
        message = schema_with_new_kind().Envelope.new_message(callId=7, sender="host-1")
        message.init("later").text = "news"
        envelope = decode(message.to_bytes_packed())
        self.assertThat(envelope.call_id, Equals(7))
        self.assertThat(envelope.sender, Equals("host-1"))
        self.assertThat(type(envelope.body).__name__, Equals("UnsupportedMessage"))
