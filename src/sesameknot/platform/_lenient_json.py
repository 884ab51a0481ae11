"""Decoding of JSON in which single values cannot be read.

Another writer may have stored bytes that are not UTF-8, values that are nested too
deeply to be read, or numbers that are too long. The values around them still hold.
"""

import asyncio
import json
import re
from typing import Any

import msgspec

# An answer of the store holds a list of events, each with an object.
SPLIT_LEVEL_COUNT = 4
# Parts of an object that are read as a whole or not at all. Other writers determine
# them, so looking for readable members in them would cost as much as they are large.
CONTENT_KEYS = frozenset({"Metadata", "Spec", "Status"})
# Deeper values can be read, but not written again with more levels around them.
NESTING_LIMIT = 100
# Steps after which other tasks run before an unreadable value is read on.
STEP_COUNT = 5000

# A string without an end takes the rest of the text, so that it is read only once.
_STRING = r'"(?:[^"\\]++|\\.)*+(?:"|\Z)'
# Brackets in a row are one step, since most of a deeply nested value consists of them.
_NESTING = re.compile(_STRING + r"|[\[{]++|[\]}]++", re.DOTALL)
_SCALAR = re.compile(_STRING + r"|[^\[\]{},:\s]++", re.DOTALL)
_SPACE = re.compile(r"\s*+")
_OPENING = "[{"

_decoder = json.JSONDecoder()


class _MalformedError(ValueError):
    """The text around a value is malformed."""


async def decode_json(data: bytes) -> Any:
    """Return the value in ``data``, with None in place of what cannot be read.

    None is also returned if the text around such a value is malformed. Other tasks run
    while a value that cannot be read is skipped.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        await asyncio.sleep(0)
        return await _LenientReader(data.decode("utf-8", "replace")).read()


class _LenientReader:
    """Reads the outer levels of a text, and the values in them one by one."""

    __slots__ = ("_position", "_step_count", "_text")

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0
        self._step_count = 0

    async def read(self) -> Any:
        """Return the value of the whole text; None if it is malformed."""
        try:
            value = await self._value(SPLIT_LEVEL_COUNT)
            self._skip_space()
        except _MalformedError:
            return None
        return value if self._position == len(self._text) else None

    async def _value(self, level_count: int) -> Any:
        """Read one value; None if it, and not the text after it, is unreadable."""
        if level_count > 0 and self._next_symbol() in _OPENING:
            return await self._members(level_count - 1)
        self._skip_space()
        start = self._position
        try:
            value, self._position = _decoder.raw_decode(self._text, start)
        except (ValueError, RecursionError):
            # The failed try may have taken as long as reading a large value.
            await asyncio.sleep(0)
            await self._skip_value()
            return None
        # What ends inside a word, such as a number that goes on, is no whole value.
        if self._next_symbol() not in ",:]}":
            self._position = start
            await self._skip_value()
            return None
        return value

    async def _members(self, level_count: int) -> Any:
        """Read an array or object whose members are read one by one."""
        is_list = self._take("[")
        if not is_list:
            self._take("{")
        items: list[Any] = []
        members: dict[str, Any] = {}
        closing = "]" if is_list else "}"
        if self._take(closing):
            return items if is_list else members
        while True:
            await self._count_step()
            key = None if is_list else await self._key()
            is_content = isinstance(key, str) and key in CONTENT_KEYS
            value = await self._value(0 if is_content else level_count)
            if is_list:
                items.append(value)
            elif isinstance(key, str):
                members[key] = value
            if self._take(closing):
                return items if is_list else members
            if not self._take(","):
                raise _MalformedError

    async def _key(self) -> Any:
        key = await self._value(0)
        if not self._take(":"):
            raise _MalformedError
        return key

    async def _skip_value(self) -> None:
        """Go to the end of a value without reading it."""
        if self._next_symbol() not in _OPENING:
            if (scalar := _SCALAR.match(self._text, self._position)) is not None:
                self._position = scalar.end()
            return
        depth = 0
        for token in _NESTING.finditer(self._text, self._position):
            symbols = token.group()
            if symbols[0] in _OPENING:
                depth += len(symbols)
            elif symbols[0] in "]}":
                if len(symbols) >= depth:
                    self._position = token.start() + depth
                    return
                depth -= len(symbols)
            await self._count_step()
        raise _MalformedError

    async def _count_step(self) -> None:
        self._step_count += 1
        if self._step_count % STEP_COUNT == 0:
            await asyncio.sleep(0)

    def _next_symbol(self) -> str:
        """Return the next character after white space; a comma at the text's end."""
        self._skip_space()
        return self._text[self._position : self._position + 1] or ","

    def _take(self, symbol: str) -> bool:
        """Go past ``symbol`` if it comes next."""
        self._skip_space()
        taken = self._text.startswith(symbol, self._position)
        self._position += taken
        return taken

    def _skip_space(self) -> None:
        if (space := _SPACE.match(self._text, self._position)) is not None:
            self._position = space.end()


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
