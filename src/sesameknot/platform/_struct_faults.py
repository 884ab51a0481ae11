"""All faults of a JSON value for a record type, each with its path.

A conversion ends at the first fault; these functions go on with the next field.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, get_args, get_origin

import msgspec

# Longest text of a given value in a message.
GIVEN_LIMIT_CHARS = 80
_EXPECTED = re.compile(r"Expected (.*?)(?:, got .*)?(?: - at .*)?$")
_CONTAINER_NAMES = {dict: "object", list: "array"}


@dataclass(slots=True, frozen=True)
class ValueFault:
    """A value that cannot be read: its path, what was given and what was expected."""

    path: str
    given: str
    expected: str


def struct_faults(
    value: Any, struct_type: type[msgspec.Struct], path: str
) -> Iterator[ValueFault]:
    """Yield the faults of ``value`` as a record of class ``struct_type``."""
    if not isinstance(value, dict):
        yield ValueFault(path, given_text(value), "`object`")
        return
    for field in msgspec.structs.fields(struct_type):
        field_path = f"{path}.{field.encode_name}"
        if field.encode_name in value:
            yield from _value_faults(value[field.encode_name], field.type, field_path)
        elif field.required:
            yield ValueFault(field_path, "nothing", "a value")


def _value_faults(value: Any, value_type: Any, path: str) -> Iterator[ValueFault]:
    structs = [t for t in (value_type, *get_args(value_type)) if _is_struct(t)]
    if get_origin(value_type) is list and isinstance(value, list):
        (item_type,) = get_args(value_type)
        for index, item in enumerate(value):
            yield from _value_faults(item, item_type, f"{path}[{index}]")
    elif structs and isinstance(value, dict):
        yield from struct_faults(value, structs[0], path)
    else:
        try:
            msgspec.convert(value, value_type)
        except msgspec.ValidationError as error:
            match = _EXPECTED.search(str(error))
            expected = match[1] if match else str(error)
            yield ValueFault(path, given_text(value), expected)


def _is_struct(value_type: Any) -> bool:
    return isinstance(value_type, type) and issubclass(value_type, msgspec.Struct)


def given_text(value: Any) -> str:
    """Return a short text of a JSON value; of an object or array, only its kind."""
    kind = _CONTAINER_NAMES.get(type(value))
    if kind is not None:
        return f"{kind} of {len(value)}"
    text = repr(value)
    if len(text) > GIVEN_LIMIT_CHARS:
        return text[:GIVEN_LIMIT_CHARS] + "..."
    return text
