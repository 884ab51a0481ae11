"""Which endpoints of a service should run which model."""

import math
from collections.abc import Collection, Sequence

from sesameknot.clock import Clock
from sesameknot.policy.rendezvous import unit_hash

# Time after which a run has lost about two thirds of its weight.
RUN_LIFE_S = 8.0


class ModelPartition:
    """Divides endpoints between models by the server time that each model takes.

    A run of a large model delays all runs in the same batch, and a cached prompt serves
    the same model only, so models are better kept apart. All hosts rank the endpoints
    alike; their measured shares differ a little.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_updated_s", "_work", "clock")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self._work: dict[str, float] = {}
        self._updated_s = clock.monotonic_s()

    def record_run(self, model: str, work: float) -> None:
        """Count a run that takes ``work``, in any unit that is the same for all."""
        now_s = self.clock.monotonic_s()
        factor = math.exp((self._updated_s - now_s) / RUN_LIFE_S)
        for name in self._work:
            self._work[name] *= factor
        self._updated_s = now_s
        self._work[model] = self._work.get(model, 0.0) + work

    def preferred_endpoint_ids(
        self, model: str, models: Sequence[str], endpoint_ids: Collection[str]
    ) -> set[str]:
        """Return the endpoints that should run ``model``, at least one of them.

        Parameters
        ----------
        models : sequence of str
            All models of the route, from the smallest to the largest.
        """
        total = sum(self._work.get(name, 0.0) for name in models)
        count = len(endpoint_ids)
        if model not in models or total <= 0.0 or count < len(models):
            return set(endpoint_ids)
        index = models.index(model)
        before = sum(self._work.get(name, 0.0) for name in models[:index])
        first = round(count * before / total)
        last = round(count * (before + self._work.get(model, 0.0)) / total)
        # Each model keeps one endpoint, also if it is hardly used.
        first = min(first, count - 1)
        last = min(count, max(last, first + 1))
        ranked = sorted(endpoint_ids, key=lambda name: unit_hash("model", name))
        return set(ranked[first:last])
