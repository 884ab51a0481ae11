"""Evidence that a new version fails more often than the stable one, on any route.

A version may be bad on one route only, and by little or much. Each route and the sum of
all routes are therefore tested against several risk ratios.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from sesameknot.policy.rollout_statistics import VersionSample

# Ratios of the new version's share of bad answers to the stable one's. Between two of
# them, the evidence for the nearer one is almost as strong as that for the true ratio.
RISK_RATIOS = (1.5, 2.0, 4.0, 8.0, 16.0, 32.0)
# Part of a sum of falling terms below which a term no longer matters.
NEGLIGIBLE_PART = 1e-9


class Fault(StrEnum):
    """What is wrong with an answer; each is compared apart, at its own base rate."""

    FAILED = "failed"
    SLOW = "slow"


@dataclass(slots=True, frozen=True, kw_only=True)
class VersionPair:
    """Answers and faulty answers of a new version and the stable one on one route.

    Parameters
    ----------
    new, stable : VersionSample
        Counters of the versions.
    route : str, default=""
        Name of the route; empty for the sum of all routes.
    fault : Fault, default=Fault.FAILED
        Fault that is counted.
    """

    new: VersionSample
    stable: VersionSample
    route: str = ""
    fault: Fault = Fault.FAILED


@dataclass(slots=True, frozen=True, kw_only=True)
class RouteEvidence:
    """Evidence against a version.

    Parameters
    ----------
    llr : float
        Log-likelihood ratio of "bad on some route" against "as good as the stable
        version on all of them".
    route, fault : str
        Route and fault that speak most against the version; the route is empty for the
        sum of all routes.
    """

    llr: float = -math.inf
    route: str = ""
    fault: str = ""


def evidence_against(pairs: Iterable[VersionPair]) -> RouteEvidence:
    """Return the evidence against the new version from all routes together.

    The ratios of all routes and risks are averaged. An average of likelihood ratios
    exceeds ``1 / alpha`` for a good version with probability ``alpha`` at most, however
    many there are and however often they are looked at.
    """
    ratios = {(pair.route, pair.fault): _mean_exp(_ratio_llrs(pair)) for pair in pairs}
    if not ratios:
        return RouteEvidence()
    route, fault = max(ratios, key=ratios.__getitem__)
    return RouteEvidence(llr=_mean_exp(ratios.values()), route=route, fault=fault)


def chance_of_failures(pairs: Iterable[VersionPair]) -> float:
    """Return the chance that a good version fails as often as this one on some route.

    It is Fisher's exact test of each route, times the number of routes. For a single
    decision it finds more than the evidence, which holds for any number of looks.
    """
    chances = [_fisher_tail(pair) for pair in pairs if pair.fault is Fault.FAILED]
    return min(1.0, len(chances) * min(chances, default=1.0))


def _fisher_tail(pair: VersionPair) -> float:
    """Return the chance of so many failures or more, given those of both versions."""
    new, stable = pair.new, pair.stable
    errors = new.error_count + stable.error_count
    requests = new.request_count + stable.request_count
    if new.error_count * requests <= errors * new.request_count:
        # No more than expected, so the chance is large.
        return 1.0
    all_ways = _log_comb(requests, errors)
    return _sum_falling(
        _log_comb(new.request_count, count)
        + _log_comb(stable.request_count, errors - count)
        - all_ways
        for count in range(new.error_count, min(errors, new.request_count) + 1)
    )


def _sum_falling(log_terms: Iterable[float]) -> float:
    """Return the sum of terms that fall, up to the first that no longer matters."""
    total = 0.0
    for log_term in log_terms:
        term = math.exp(log_term)
        total += term
        if term <= NEGLIGIBLE_PART * total:
            break
    return total


def _log_comb(total: int, chosen: int) -> float:
    """Return the logarithm of the number of ways to choose."""
    return (
        math.lgamma(total + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(total - chosen + 1)
    )


def misses_rise(pair: VersionPair, rise: float) -> float:
    """Return the chance that a version with ``rise`` has so few bad answers or fewer.

    Parameters
    ----------
    pair : VersionPair
        Answers of the versions on one route.
    rise : float
        Increase of the share of bad answers.
    """
    new, stable = pair.new, pair.stable
    base = stable.error_count / stable.request_count if stable.request_count else 0.0
    bad = base + rise
    if bad >= 1.0 or new.error_count >= new.request_count * bad:
        return 1.0
    return _sum_falling(
        _log_comb(new.request_count, count)
        + count * math.log(bad)
        + (new.request_count - count) * math.log(1.0 - bad)
        for count in range(new.error_count, -1, -1)
    )


def _ratio_llrs(pair: VersionPair) -> list[float]:
    """Return a log-likelihood ratio for each risk ratio.

    Conditional on the total of bad answers, the new version's share of them does not
    depend on the base rate, so noise in that rate raises no false alarms.
    """
    new, stable = pair.new, pair.stable
    errors = new.error_count + stable.error_count
    requests = new.request_count + stable.request_count
    if not errors or not new.request_count or not stable.request_count:
        return [0.0]
    return [
        new.error_count * math.log(ratio)
        + errors
        * math.log(requests / (new.request_count * ratio + stable.request_count))
        for ratio in RISK_RATIOS
    ]


def _mean_exp(llrs: Iterable[float]) -> float:
    """Return the logarithm of the mean of the ratios."""
    values = list(llrs)
    largest = max(values)
    total = sum(math.exp(value - largest) for value in values)
    return largest + math.log(total / len(values))
