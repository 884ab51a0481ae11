"""Majority of a roster."""

from collections.abc import Collection, Iterable


def holds_majority(roster_ids: Iterable[str], seen_ids: Collection[str]) -> bool:
    """Return whether ``seen_ids`` contain a majority of ``roster_ids``.

    Of two equal halves, the one with the lowest host id counts as the majority. An
    empty roster has no majority.
    """
    roster = set(roster_ids)
    seen = roster.intersection(seen_ids)
    if 2 * len(seen) == len(roster):
        return bool(roster) and min(roster) in seen
    return 2 * len(seen) > len(roster)
