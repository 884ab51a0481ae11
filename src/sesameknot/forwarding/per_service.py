"""One object for each service, made on first use."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class PerService(Generic[T]):
    """Objects by the name of their service.

    Parameters
    ----------
    make : callable
        Makes the object of a service.
    """

    __slots__ = ("_made", "make")

    def __init__(self, make: Callable[[], T]) -> None:
        self.make = make
        self._made: dict[str, T] = {}

    def of(self, service: str) -> T:
        """Return the object of ``service``."""
        found = self._made.get(service)
        if found is None:
            found = self._made[service] = self.make()
        return found
