"""Figures of a benchmark, printed as ``name value unit bound ok|over``."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Figure:
    """One measured value.

    Parameters
    ----------
    name : str
        What was measured, without spaces.
    value : float
        Measured value.
    unit : str
        Unit, ``-`` for a ratio.
    at_most, at_least : float or None, default=None
        Bound from the stated target; without any, the figure does not gate.
    """

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    @property
    def within(self) -> bool:
        """Whether the value is within its bound."""
        if self.at_most is not None and self.value > self.at_most:
            return False
        return self.at_least is None or self.value >= self.at_least

    @property
    def bound(self) -> str:
        """The bound as text; ``-`` without one."""
        if self.at_most is not None:
            return f"<={self.at_most:g}"
        return f">={self.at_least:g}" if self.at_least is not None else "-"

    def line(self) -> str:
        """Return the printed line."""
        verdict = "ok" if self.within else "over"
        return f"{self.name} {self.value:.4f} {self.unit} {self.bound} {verdict}"


def report(figures: list[Figure]) -> bool:
    """Print the figures and return whether all are within their bounds."""
    for figure in figures:
        print(figure.line(), flush=True)
    return all(figure.within for figure in figures)
