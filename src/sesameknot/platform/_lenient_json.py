"""Decoding of JSON in which single values cannot be read.

Another writer may have stored bytes that are not UTF-8, values that are nested too
deeply to be read, or numbers that are too long. The values around them still hold.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

import msgspec

# An answer of the store holds a list of events, each with an object and its content.
SPLIT_LEVEL_COUNT = 5
# Deeper values can be read, but not written again with more levels around them.
NESTING_LIMIT = 100

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_OPENING = "[{"
_CLOSING = "]}"


def decode_json(data: bytes) -> Any:
    """Return the value in ``data``, with None in place of what cannot be read.

    None is also returned if the text around such a value is malformed.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return _decode_text(data.decode("utf-8", "replace"), SPLIT_LEVEL_COUNT)


def _decode_text(text: str, level_count: int) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return _decode_members(text, level_count - 1) if level_count else None


def _decode_members(text: str, level_count: int) -> Any:
    """Return an array or object whose members are decoded one by one."""
    text = text.strip()
    if not text or text[0] not in _OPENING:
        return None
    try:
        members = [member for member in _split(text[1:], ",") if member.strip()]
    except ValueError:
        return None
    if text[0] == "[":
        return [_decode_text(member, level_count) for member in members]
    content = {}
    for member in members:
        key_text, *value_text = _split(member, ":")
        key = _decode_text(key_text, 0)
        if isinstance(key, str) and len(value_text) == 1:
            content[key] = _decode_text(value_text[0], level_count)
    return content


def _split(text: str, separator: str) -> Iterator[str]:
    """Yield the pieces of ``text`` between separators outside of nested values.

    Raises
    ------
    ValueError
        If a nested value does not end, or text follows the end of this one.
    """
    depth = 0
    start = 0
    for token in _TOKEN.finditer(text):
        symbol = token.group()
        if symbol in _OPENING:
            depth += 1
        elif symbol in _CLOSING:
            depth -= 1
        elif symbol == separator and depth == 0:
            yield text[start : token.start()]
            start = token.end()
        if depth < 0:
            if text[token.end() :].strip():
                raise ValueError("text after the end of a value")
            yield text[start : token.start()]
            return
    if depth or separator == ",":
        raise ValueError("a value does not end")
    yield text[start:]


def is_nested_deeply(value: Any) -> bool:
    """Return whether a decoded value has more than ``NESTING_LIMIT`` levels."""
    values = [value]
    for _ in range(NESTING_LIMIT):
        values = [
            inner
            for outer in values
            if isinstance(outer, (dict, list))
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, (dict, list))
        ]
        if not values:
            return False
    return True
