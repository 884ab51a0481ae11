"""Pressure gauges by service."""

from sesameknot.clock import Clock
from sesameknot.policy.pressure import PressureGauge


class PressureGauges:
    """Gauges that are made on first use.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    calm_level, full_level : float
        Options of each gauge.
    """

    __slots__ = ("_gauges", "calm_level", "clock", "full_level")

    def __init__(self, *, clock: Clock, calm_level: float, full_level: float) -> None:
        self.clock = clock
        self.calm_level = calm_level
        self.full_level = full_level
        self._gauges: dict[str, PressureGauge] = {}

    def of(self, service: str) -> PressureGauge:
        """Return the gauge of ``service``."""
        gauge = self._gauges.get(service)
        if gauge is None:
            gauge = self._gauges[service] = PressureGauge(
                clock=self.clock,
                calm_level=self.calm_level,
                full_level=self.full_level,
            )
        return gauge
