"""Limit on the memory that a host holds for the bodies of requests."""


class MemoryReservation:
    """Bytes that one body holds; :meth:`MemoryBudget.reservation` creates it.

    Attributes
    ----------
    size_bytes : int
        Bytes reserved now.
    """

    __slots__ = ("_budget", "size_bytes")

    def __init__(self, budget: "MemoryBudget") -> None:
        self._budget = budget
        self.size_bytes = 0

    def hold(self, size_bytes: int) -> bool:
        """Reserve ``size_bytes`` in all; return False if a limit does not allow it."""
        budget = self._budget
        used_bytes = budget.used_bytes + size_bytes - self.size_bytes
        if size_bytes > self.size_bytes and used_bytes > budget.limit_for(size_bytes):
            return False
        budget.used_bytes = used_bytes
        self.size_bytes = size_bytes
        return True

    def release(self) -> None:
        """Give back all bytes."""
        self._budget.used_bytes -= self.size_bytes
        self.size_bytes = 0


class MemoryBudget:
    """Bytes that all bodies may take, of which large ones leave a part to small ones.

    Parameters
    ----------
    limit_bytes : int
        Most bytes at a time.
    small_bytes : int, default=0
        Size up to which a body is small.
    small_share : float, default=0.0
        Share of the limit that is left to small bodies.

    Attributes
    ----------
    used_bytes : int
        Bytes that are reserved now.
    """

    __slots__ = ("large_limit_bytes", "limit_bytes", "small_bytes", "used_bytes")

    def __init__(
        self, limit_bytes: int, *, small_bytes: int = 0, small_share: float = 0.0
    ) -> None:
        self.limit_bytes = limit_bytes
        self.large_limit_bytes = int(limit_bytes * (1.0 - small_share))
        self.small_bytes = small_bytes
        self.used_bytes = 0

    def limit_for(self, size_bytes: int) -> int:
        """Return how much may be used after a body of this size is added."""
        if size_bytes <= self.small_bytes:
            return self.limit_bytes
        return self.large_limit_bytes

    def reservation(self) -> MemoryReservation:
        """Return an empty reservation, which its owner must release."""
        return MemoryReservation(self)
