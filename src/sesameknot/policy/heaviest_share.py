"""Choice of the heaviest requests for endpoints that limit how many they take."""

import bisect
from collections import deque

# Recent requests among which a request is ranked.
SAMPLE_COUNT = 100
MIN_SHARE = 0.02
# The share settles where two of three permits that are asked for are granted.
GRANTED_STEP = 0.01
DENIED_STEP = 0.02


class HeaviestShare:
    """Tells whether a request is among the heaviest for which permits suffice.

    An endpoint that limits the number of its requests has time for long ones, while
    the endpoints without a limit are busier than usual.
    """

    __slots__ = ("_recent", "_share")

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self._share = 1.0

    def admits(self, work: float) -> bool:
        """Record a request and return whether a permit is worth asking for.

        Parameters
        ----------
        work : float
            Work of the request, in any unit that all requests share.
        """
        self._recent.append(work)
        ordered = sorted(self._recent)
        not_lighter_count = len(ordered) - bisect.bisect_right(ordered, work)
        return not_lighter_count < self._share * len(ordered)

    def record_permit(self, *, granted: bool) -> None:
        """Adapt the share to a permit that was asked for."""
        step = GRANTED_STEP if granted else -DENIED_STEP
        self._share = min(1.0, max(MIN_SHARE, self._share + step))
