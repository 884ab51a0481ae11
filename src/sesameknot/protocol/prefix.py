"""Hashes of prompt prefixes, equal to those that engines report for their caches."""

from collections.abc import Iterable

import xxhash

BLOCK_CHARS = 64
# Typical length of a token in European languages.
CHARS_PER_TOKEN = 4
BLOCK_LIMIT_COUNT = 64


def prefix_hashes(messages: Iterable[tuple[str, str]]) -> list[int]:
    """Return one hash per complete block, over the prompt up to the end of the block.

    Parameters
    ----------
    messages : iterable of (role, content)
        Messages of a chat request in order.

    Returns
    -------
    list of int
        At most ``BLOCK_LIMIT_COUNT`` hashes; equal leading hashes mean equal text.
    """
    text = "".join(f"{role}\0{content}\0" for role, content in messages)
    hashes: list[int] = []
    prefix_hash = 0
    for end in range(BLOCK_CHARS, len(text) + 1, BLOCK_CHARS):
        if len(hashes) == BLOCK_LIMIT_COUNT:
            break
        block = text[end - BLOCK_CHARS : end].encode("utf-8", "surrogatepass")
        prefix_hash = xxhash.xxh3_64_intdigest(block, seed=prefix_hash)
        hashes.append(prefix_hash)
    return hashes
