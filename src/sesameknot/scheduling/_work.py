"""Estimate of the time for which a request occupies a slot of an endpoint."""

from dataclasses import dataclass

from sesameknot.scheduling._decay import DecayingSum

# Observations older than a few of these say little about the present endpoints.
OBSERVATION_DECAY_S = 30.0
# Observed time of a route from which on it outweighs the costs per token.
PRIOR_S = 3.0
# Work of a request without any stated tokens.
MIN_WORK_S = 0.01


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestSize:
    """Tokens of a request.

    Parameters
    ----------
    own_count : int
        Prompt tokens that no other request has.
    shared_count : int
        Prompt tokens that others may have, and that may be cached.
    output_count : int
        Upper limit of the generated tokens.
    """

    own_count: int = 0
    shared_count: int = 0
    output_count: int = 0


class WorkEstimator:
    """Estimates work from tokens, scaled by observed run times of each route.

    Parameters
    ----------
    prefill_ms_per_token, output_ms_per_token : float
        Initial costs of a prompt token that is not cached and of a generated one.
    uncached_share : float
        Share of the shared prompt tokens that count as not cached.
    """

    __slots__ = ("_observed_s", "_output_s", "_prefill_s", "_token_s", "_uncached")

    def __init__(
        self,
        *,
        prefill_ms_per_token: float,
        output_ms_per_token: float,
        uncached_share: float,
    ) -> None:
        self._prefill_s = prefill_ms_per_token / 1000.0
        self._output_s = output_ms_per_token / 1000.0
        self._uncached = uncached_share
        self._observed_s: dict[str, DecayingSum] = {}
        self._token_s: dict[str, DecayingSum] = {}

    def _by_tokens_s(self, size: RequestSize) -> float:
        uncached_count = size.own_count + self._uncached * size.shared_count
        prefill_s = uncached_count * self._prefill_s
        return max(MIN_WORK_S, prefill_s + size.output_count * self._output_s)

    def estimate_s(self, route: str, size: RequestSize, now_s: float) -> float:
        """Return the estimated time of a request of ``route``."""
        by_tokens_s = self._by_tokens_s(size)
        if route not in self._observed_s:
            return by_tokens_s
        observed_s = self._observed_s[route].value(now_s)
        token_s = self._token_s[route].value(now_s)
        return by_tokens_s * (PRIOR_S + observed_s) / (PRIOR_S + token_s)

    def observe(
        self, route: str, size: RequestSize, run_s: float, now_s: float
    ) -> None:
        """Record how long a request of ``route`` occupied a slot."""
        if route not in self._observed_s:
            self._observed_s[route] = DecayingSum(OBSERVATION_DECAY_S)
            self._token_s[route] = DecayingSum(OBSERVATION_DECAY_S)
        self._observed_s[route].add(run_s, now_s)
        self._token_s[route].add(self._by_tokens_s(size), now_s)
