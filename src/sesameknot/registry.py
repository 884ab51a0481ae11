"""Registry of named implementations, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from sesameknot.errors import SettingsError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named variants of one kind, such as a policy or a message.

    Parameters
    ----------
    variant_kind : str
        Noun for a variant in error messages, for example ``"message"``.
    """

    __slots__ = ("_variants", "variant_kind")

    def __init__(self, variant_kind: str) -> None:
        self.variant_kind = variant_kind
        self._variants: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under ``name``."""

        def decorate(variant: T) -> T:
            if name in self._variants:
                raise ValueError(f"{self.variant_kind} {name!r} is already registered")
            self._variants[name] = variant
            return variant

        return decorate

    def get(self, name: str) -> T:
        """Return the variant registered under ``name``.

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
                f"unknown {self.variant_kind} {name!r}, expected one of: {expected}"
            ) from None

    def names(self) -> list[str]:
        """Return the names of all variants, sorted."""
        return sorted(self._variants)

    def __iter__(self) -> Iterator[str]:
        return iter(self.names())
