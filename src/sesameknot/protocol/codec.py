"""Cap'n Proto codec of envelopes."""

import dataclasses
import functools
import re
import types
import typing
from dataclasses import dataclass
from importlib import resources
from typing import Any

import capnp

import sesameknot.protocol.messages  # noqa: F401 - registers the messages
from sesameknot.errors import FrameError
from sesameknot.protocol._message_registry import FIELD_BY_CLASS, MESSAGES

capnp.remove_import_hook()

# Cap'n Proto counts traversed words of 8 bytes. The limit bounds the work that a
# malicious or corrupt frame can cause.
TRAVERSAL_LIMIT_WORDS = 1_000_000
NESTING_LIMIT = 16

_SCHEMA = capnp.load(
    str(resources.files("sesameknot.protocol").joinpath("schema/peer.capnp"))
)


@dataclass(slots=True)
class Envelope:
    """A message with its call id and sender.

    Parameters
    ----------
    call_id : int
        Identifier of the call, unique on its connection.
    sender : str
        Host id of the sender.
    body : object
        Instance of a registered message class.
    is_reply : bool, default=False
        Whether the message is the reply to the call ``call_id``.
    """

    call_id: int
    sender: str
    body: Any
    is_reply: bool = False


@dataclass(slots=True)
class UnsupportedMessage:
    """Body of a message of a kind that this build does not know."""


def encode(envelope: Envelope) -> bytes:
    """Return the packed bytes of ``envelope``."""
    field_name = FIELD_BY_CLASS[type(envelope.body)]
    fields = {
        "callId": envelope.call_id,
        "sender": envelope.sender,
        "isReply": envelope.is_reply,
        field_name: _to_wire(envelope.body),
    }
    return _SCHEMA.Envelope.new_message(**fields).to_bytes_packed()


def decode(data: bytes, *, peer: str = "") -> Envelope:
    """Return the envelope in ``data``.

    A message of a kind that only a later build knows has an ``UnsupportedMessage``.

    Raises
    ------
    FrameError
        If ``data`` is not a valid envelope.
    """
    try:
        reader = _SCHEMA.Envelope.from_bytes_packed(
            data,
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        )
        body = _read_body(reader)
        return Envelope(reader.callId, reader.sender, body, reader.isReply)
    except (capnp.KjException, ValueError, RuntimeError, UnicodeDecodeError) as error:
        raise FrameError(
            f"malformed message of {len(data)} bytes: {error}",
            step="decode",
            peer=peer,
        ) from error


def _read_body(reader: Any) -> Any:
    try:
        field_name = str(reader.which())
    except capnp.KjException:
        # The union's tag is of a later schema; the other fields are as here.
        return UnsupportedMessage()
    return _read_record(getattr(reader, field_name), MESSAGES.get(field_name))


@functools.cache
def _field_names(cls: type) -> tuple[tuple[str, str], ...]:
    return tuple(
        (f.name, re.sub(r"_(\w)", lambda m: m.group(1).upper(), f.name))
        for f in dataclasses.fields(cls)
    )


@functools.cache
def _field_layouts(cls: type) -> tuple[tuple[str, str, str, type], ...]:
    hints = typing.get_type_hints(cls)
    layouts = []
    for name, wire_name in _field_names(cls):
        hint = hints[name]
        if isinstance(hint, types.GenericAlias):
            (item_type,) = typing.get_args(hint)
            kind = "records" if dataclasses.is_dataclass(item_type) else "list"
            layouts.append((name, wire_name, kind, item_type))
        else:
            kind = "record" if dataclasses.is_dataclass(hint) else "value"
            layouts.append((name, wire_name, kind, hint))
    return tuple(layouts)


def _to_wire(value: Any) -> Any:
    if isinstance(value, list):
        return [_to_wire(item) for item in value]
    if dataclasses.is_dataclass(value):
        return {
            wire_name: _to_wire(getattr(value, name))
            for name, wire_name in _field_names(type(value))
        }
    return value


def _read_record(reader: Any, cls: type) -> Any:
    values = {}
    for name, wire_name, kind, item_type in _field_layouts(cls):
        raw = getattr(reader, wire_name)
        if kind == "value":
            values[name] = raw
        elif kind == "list":
            values[name] = list(raw)
        elif kind == "record":
            values[name] = _read_record(raw, item_type)
        else:
            values[name] = [_read_record(entry, item_type) for entry in raw]
    return cls(**values)
