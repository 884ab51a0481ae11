"""Comparison of the pace of streams between the versions of a service.

Hosts count streams by the mean time between their events, on a logarithmic scale, while
the streams still run. Waiting for their end would leave out the slow ones, which are
still running when a roll-out is decided.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from sesameknot.policy.rollout_statistics import VersionSample

LEVEL_RATIO = 1.2
# Six levels: a stream is slow if it takes three times as long as usual between events.
SLOW_LEVEL_COUNT = 6
# Streams of the other versions that show what is usual for a model.
USUAL_MIN_COUNT = 10

_MIN_GAP_S = 1e-4


def pace_level(gap_s: float) -> int:
    """Return the level of a mean time between events."""
    return round(math.log(max(gap_s, _MIN_GAP_S)) / math.log(LEVEL_RATIO))


@dataclass(slots=True, frozen=True)
class PaceGroup:
    """Streams of one model whose events come at about the same pace."""

    model: str
    level: int
    stream_count: int


def compare_paces(
    new_groups: Iterable[PaceGroup], stable_groups: Iterable[PaceGroup]
) -> tuple[VersionSample, VersionSample]:
    """Return streams and slow streams of a new version and of the stable one.

    Parameters
    ----------
    new_groups, stable_groups : iterable of PaceGroup
        Streams of the versions.

    Returns
    -------
    tuple of VersionSample
        Streams as requests and slow ones as errors, of the new and the stable version.
        Each model is compared with itself.
    """
    new_by_model, stable_by_model = _by_model(new_groups), _by_model(stable_groups)
    new, stable = VersionSample(), VersionSample()
    for model, groups in stable_by_model.items():
        if _stream_count(groups) >= USUAL_MIN_COUNT:
            slow_level = _median_level(groups) + SLOW_LEVEL_COUNT
            new = _add(new, new_by_model[model], slow_level)
            stable = _add(stable, groups, slow_level)
    return new, stable


def _by_model(groups: Iterable[PaceGroup]) -> dict[str, list[PaceGroup]]:
    by_model: dict[str, list[PaceGroup]] = defaultdict(list)
    for group in groups:
        by_model[group.model].append(group)
    return by_model


def _stream_count(groups: Iterable[PaceGroup]) -> int:
    return sum(group.stream_count for group in groups)


def _median_level(groups: list[PaceGroup]) -> int:
    middle = _stream_count(groups) / 2.0
    passed_count = 0
    for group in sorted(groups, key=lambda group: group.level):
        passed_count += group.stream_count
        if passed_count >= middle:
            return group.level
    return 0


def _add(
    sample: VersionSample, groups: list[PaceGroup], slow_level: int
) -> VersionSample:
    slow_count = _stream_count(g for g in groups if g.level >= slow_level)
    return VersionSample(
        sample.request_count + _stream_count(groups), sample.error_count + slow_count
    )
