"""Promises that the soak checks from what callers and endpoints saw."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from sesameknot.platform.standin import RecordedRun
from soak._caller import CallerAnswer

# A host is held to bounds in time after this long without a fault.
CONTACT_S = 3.0
LEAVE_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
CONFIGURATION_LIMIT_S = 2.0
# Clocks of callers, endpoints and hosts are read at different moments.
TOLERANCE_S = 0.3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True, kw_only=True)
class Asked:
    """One request of a caller."""

    request_id: str
    kind: str
    host_id: str
    sent_s: float
    calm: bool = False
    answer: CallerAnswer = field(default_factory=CallerAnswer)
    done_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class Bar:
    """A time after which an endpoint must get no more work, and until when."""

    endpoint_id: str
    from_s: float
    until_s: float = float("inf")
    what: str = ""


def expected_body(kind: str, event_count: int) -> bytes:
    """Return the whole answer of an endpoint."""
    if kind != "stream":
        return b"answer"
    return b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, event_count + 1)
    )


def find_violations(
    asked: Iterable[Asked],
    runs: dict[str, list[RecordedRun]],
    bars: Iterable[Bar],
    *,
    event_count: int,
) -> list[str]:
    """Return a line for each broken promise.

    Parameters
    ----------
    asked : iterable of Asked
        All requests.
    runs : dict of str to list of RecordedRun
        What each endpoint ran.
    bars : iterable of Bar
        Times after which endpoints must get no more work.
    event_count : int
        Events of a whole stream.
    """
    requests = {request.request_id: request for request in asked}
    counts = Counter(run.request_id for each in runs.values() for run in each)
    found = []
    for request in requests.values():
        found += _of_request(request, counts[request.request_id], event_count)
    for bar in bars:
        for run in runs.get(bar.endpoint_id, []):
            request = requests.get(run.request_id)
            late = bar.from_s + TOLERANCE_S < run.at_s < bar.until_s
            if late and request is not None and request.calm:
                found.append(
                    f"{run.request_id} reached {bar.endpoint_id} "
                    f"{run.at_s - bar.from_s:.2f} s after the limit: {bar.what}"
                )
    return found


def _of_request(request: Asked, run_count: int, event_count: int) -> list[str]:
    answer = request.answer
    found = []
    once = request.kind == "unsafe"
    if once and run_count > 1:
        found.append(f"{request.request_id} ran {run_count} times")
    if once and answer.status in NOT_RUN_STATUSES and run_count:
        found.append(f"{request.request_id} was refused as not run, and ran")
    if answer.whole and answer.status == 200:
        headers = answer.headers or {}
        if headers.get("x-request-id") != request.request_id:
            found.append(f"{request.request_id} got another request's answer")
        if not headers.get("x-server-stamp"):
            found.append(f"{request.request_id} got an answer without a receipt")
        if answer.body != expected_body(request.kind, event_count):
            found.append(f"{request.request_id} got a body that is not the whole one")
    return found
