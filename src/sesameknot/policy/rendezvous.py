"""Rendezvous hashing, by which hosts agree without communication."""

import functools
from collections.abc import Iterable

import xxhash

HASH_RANGE = float(2**64)
# Keys whose first hosts are cached; ranking all hosts for each request costs as much as
# the rest of the endpoint choice.
ORDER_CACHE_COUNT = 512


def key_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same on all hosts."""
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def unit_hash(*parts: str) -> float:
    """Return a hash from 0 to below 1 that is the same on all hosts."""
    return key_hash(*parts) / HASH_RANGE


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in their order of responsibility for ``key``."""
    return sorted(names, key=lambda name: unit_hash(key, name), reverse=True)


@functools.lru_cache(maxsize=ORDER_CACHE_COUNT)
def first_in_order(key: str, names: tuple[str, ...], count: int) -> list[str]:
    """Return the first ``count`` of ``names`` in their order for ``key``."""
    return rendezvous_order(key, names)[:count]
