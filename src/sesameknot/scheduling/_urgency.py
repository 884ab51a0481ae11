"""Rank of a request from the priorities of its customer and its route."""

# Ranks that endpoints tell apart are 0 to 9.
MAX_RANK = 9
# Route priorities that are told apart within one customer priority.
ROUTE_LEVEL_COUNT = 3


def urgency_rank(priority: int, route_priority: int) -> int:
    """Return the rank of a request; 0 is the most urgent.

    The customer's priority goes first. Most customers share one, so that the route's
    decides among their requests.

    Parameters
    ----------
    priority : int
        Priority of the request: the customer's, or the route's if it has none.
    route_priority : int
        Priority of the route.
    """
    route_level = min(max(0, route_priority), ROUTE_LEVEL_COUNT - 1)
    return min(MAX_RANK, ROUTE_LEVEL_COUNT * max(0, priority) + route_level)
