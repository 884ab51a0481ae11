"""Partition of a service's endpoints by model."""

import math
from collections.abc import Collection, Sequence

from sesameknot.clock import Clock
from sesameknot.policy.rendezvous import unit_hash

# Time constant of the exponential decay of a run's weight.
RUN_DECAY_S = 8.0


class ModelPartition:
    """Divides endpoints among models by the server time that each model takes.

    A run of a large model delays all runs in the same batch, and a cached prompt serves
    only the model that it was cached for, so models should run on separate endpoints.
    All hosts use the same order of endpoints; the work that they measure differs
    slightly.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_updated_s", "_work_by_model", "clock")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self._work_by_model: dict[str, float] = {}
        self._updated_s = clock.monotonic_s()

    def record_run(self, model: str, work: float) -> None:
        """Record a run and its ``work``, in any unit that all models share."""
        now_s = self.clock.monotonic_s()
        decay_factor = math.exp((self._updated_s - now_s) / RUN_DECAY_S)
        for name in self._work_by_model:
            self._work_by_model[name] *= decay_factor
        self._updated_s = now_s
        self._work_by_model[model] = self._work_by_model.get(model, 0.0) + work

    def preferred_endpoint_ids(
        self, model: str, models: Sequence[str], endpoint_ids: Collection[str]
    ) -> set[str]:
        """Return the ids of the endpoints that should run ``model``, at least one.

        Parameters
        ----------
        models : sequence of str
            All models of the route, from the smallest to the largest.
        """
        total_work = sum(self._work_by_model.get(name, 0.0) for name in models)
        endpoint_count = len(endpoint_ids)
        if model not in models or total_work <= 0.0 or endpoint_count < len(models):
            return set(endpoint_ids)
        index = models.index(model)
        preceding_work = sum(
            self._work_by_model.get(name, 0.0) for name in models[:index]
        )
        start = round(endpoint_count * preceding_work / total_work)
        end = round(
            endpoint_count
            * (preceding_work + self._work_by_model.get(model, 0.0))
            / total_work
        )
        # Each model keeps at least one endpoint, even if it is rarely used.
        start = min(start, endpoint_count - 1)
        end = min(endpoint_count, max(end, start + 1))
        ordered_ids = sorted(endpoint_ids, key=lambda name: unit_hash("model", name))
        return set(ordered_ids[start:end])
