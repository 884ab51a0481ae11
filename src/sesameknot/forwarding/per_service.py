"""One object for each service, created on first use."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class PerService(Generic[T]):
    """Objects by service name.

    Parameters
    ----------
    factory : callable
        Creates the object of a service.
    """

    __slots__ = ("_by_service", "factory")

    def __init__(self, factory: Callable[[], T]) -> None:
        self.factory = factory
        self._by_service: dict[str, T] = {}

    def get(self, service: str) -> T:
        """Return the object of ``service``, created if there is none."""
        item = self._by_service.get(service)
        if item is None:
            item = self._by_service[service] = self.factory()
        return item
