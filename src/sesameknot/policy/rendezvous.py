"""Rendezvous hashing: agreement between hosts without messages."""

from collections.abc import Iterable

import xxhash

HASH_RANGE = float(2**64)


def key_hash(*parts: str) -> int:
    """Return a number of 64 bits that all hosts compute alike."""
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def unit_hash(*parts: str) -> float:
    """Return a number from 0 to below 1 that all hosts compute alike."""
    return key_hash(*parts) / HASH_RANGE


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in the order in which they are responsible for ``key``."""
    return sorted(names, key=lambda name: unit_hash(key, name), reverse=True)
