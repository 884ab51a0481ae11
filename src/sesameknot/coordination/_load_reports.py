"""Loads on endpoints, as hosts report them to each other."""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameknot.protocol.messages import EndpointLoads

# Requests in flight and pending prompt tokens, by endpoint.
Loads = dict[str, tuple[int, int]]


@dataclass(slots=True)
class LoadReport:
    """Loads that another host reported, and the monotonic time of the report."""

    loads: Loads
    received_s: float


def sum_loads(all_loads: Iterable[Loads]) -> Loads:
    """Return the sum of several hosts' loads."""
    total: Loads = {}
    for loads in all_loads:
        for endpoint_id, (in_flight, tokens) in loads.items():
            subtotal = total.get(endpoint_id, (0, 0))
            total[endpoint_id] = (subtotal[0] + in_flight, subtotal[1] + tokens)
    return total


def load_columns(loads: Loads) -> EndpointLoads:
    """Return the message record of ``loads``."""
    return EndpointLoads(
        endpoint_ids=list(loads),
        in_flight_counts=[in_flight for in_flight, _ in loads.values()],
        pending_tokens=[tokens for _, tokens in loads.values()],
    )


def parse_loads(columns: EndpointLoads) -> Loads:
    """Return the loads of a message record."""
    loads = zip(columns.in_flight_counts, columns.pending_tokens, strict=False)
    return dict(zip(columns.endpoint_ids, loads, strict=False))
