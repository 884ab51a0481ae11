"""Registries that decorators fill with the variants of a behaviour."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from sesameknot.errors import SettingsError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named variants of one behaviour.

    Parameters
    ----------
    subject : str
        What the variants are, used in error messages.
    """

    __slots__ = ("_variants", "subject")

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self._variants: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds its target under ``name``."""

        def add(variant: T) -> T:
            if name in self._variants:
                raise ValueError(f"{self.subject} {name!r} is registered twice")
            self._variants[name] = variant
            return variant

        return add

    def get(self, name: str) -> T:
        """Return the variant called ``name``.

        Raises
        ------
        SettingsError
            If no variant has that name.
        """
        try:
            return self._variants[name]
        except KeyError:
            expected = ", ".join(sorted(self._variants))
            raise SettingsError(
                f"unknown {self.subject} {name!r}, expected one of: {expected}"
            ) from None

    def names(self) -> list[str]:
        """Return the names of all variants, sorted."""
        return sorted(self._variants)

    def __iter__(self) -> Iterator[str]:
        return iter(self.names())
