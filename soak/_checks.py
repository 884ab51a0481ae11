"""Checks of the fronts' guarantees on records of callers and endpoints."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from sesameknot.platform.standin import RecordedRun
from soak._caller import CallerAnswer

# Time limits are checked on a host only after it had no fault for this long.
SETTLE_TIME_S = 3.0
LEAVE_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
CONFIGURATION_LIMIT_S = 2.0
# Service whose endpoints are cold for a time after their start.
MODEL_SERVICE = "advisor"
COLD_S = 3.0
COLD_RATE_PER_S = 4.0
# What a cold endpoint may get within one second: the rate times the overage, and the
# slack. Faults that affect hosts don't change it.
COLD_OVERAGE = 1.5
COLD_SLACK_COUNT = 5
# Callers, endpoints and hosts read the clock at different moments of a request.
CLOCK_TOLERANCE_S = 0.3
VALID_STATUSES = range(200, 600)
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True, kw_only=True)
class SentRequest:
    """Request of a caller; ``undisturbed`` if no fault affected its front."""

    request_id: str
    kind: str
    host_id: str
    sent_s: float
    undisturbed: bool = False
    answer: CallerAnswer = field(default_factory=CallerAnswer)
    done_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class NoTrafficWindow:
    """Period in which an endpoint must receive no requests, and the reason."""

    endpoint_id: str
    start_s: float
    end_s: float = float("inf")
    reason: str = ""


def expected_body(kind: str, event_count: int) -> bytes:
    """Return the body of a complete answer to a request of ``kind``."""
    if kind != "stream":
        return b"answer"
    return b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, event_count + 1)
    )


def find_violations(
    sent_requests: Iterable[SentRequest],
    runs: dict[str, list[RecordedRun]],
    no_traffic_windows: Iterable[NoTrafficWindow],
    *,
    event_count: int,
) -> list[str]:
    """Return one line for each violated guarantee.

    Parameters
    ----------
    sent_requests : iterable of SentRequest
        All requests that callers sent.
    runs : dict of str to list of RecordedRun
        Requests that each endpoint ran, by endpoint.
    no_traffic_windows : iterable of NoTrafficWindow
        Periods in which endpoints must receive no requests.
    event_count : int
        Number of events in a complete stream.
    """
    requests = {request.request_id: request for request in sent_requests}
    run_counts = Counter(
        run.request_id for endpoint_runs in runs.values() for run in endpoint_runs
    )
    violations = []
    for request in requests.values():
        violations += _find_request_violations(
            request, run_counts[request.request_id], event_count
        )
    for window in no_traffic_windows:
        for run in runs.get(window.endpoint_id, []):
            request = requests.get(run.request_id)
            in_window = (
                window.start_s + CLOCK_TOLERANCE_S < run.received_s < window.end_s
            )
            if in_window and request is not None and request.undisturbed:
                violations.append(
                    f"{run.request_id} reached {window.endpoint_id} "
                    f"{run.received_s - window.start_s:.2f} s after the limit: "
                    f"{window.reason}"
                )
    return violations


def _find_request_violations(
    request: SentRequest, run_count: int, event_count: int
) -> list[str]:
    answer = request.answer
    violations = []
    at_most_once = request.kind == "unsafe"
    if at_most_once and run_count > 1:
        violations.append(f"{request.request_id} ran {run_count} times")
    if at_most_once and answer.status in NOT_RUN_STATUSES and run_count:
        violations.append(f"{request.request_id} was refused as not run, and ran")
    if answer.complete and answer.status not in VALID_STATUSES:
        violations.append(f"{request.request_id} got status {answer.status}")
    if answer.complete and answer.status == 200:
        headers = answer.headers or {}
        if headers.get("x-request-id") != request.request_id:
            violations.append(f"{request.request_id} got another request's answer")
        if not headers.get("x-server-stamp"):
            violations.append(f"{request.request_id} got an answer without a receipt")
        if answer.body != expected_body(request.kind, event_count):
            violations.append(
                f"{request.request_id} got a body that is not the whole one"
            )
    return violations


def find_cold_floods(
    cold_starts_s: dict[str, list[float]], runs: dict[str, list[RecordedRun]]
) -> list[str]:
    """Return one line for each cold endpoint that got too many requests in a second.

    Parameters
    ----------
    cold_starts_s : dict of str to list of float
        Times at which a cold process of an endpoint started, by endpoint.
    runs : dict of str to list of RecordedRun
        Requests that each endpoint ran, by endpoint.
    """
    allowed_count = COLD_RATE_PER_S * COLD_OVERAGE + COLD_SLACK_COUNT
    violations = []
    for endpoint_id, starts_s in cold_starts_s.items():
        for start_s in starts_s:
            most, from_s = count_cold_load(start_s, runs[endpoint_id])
            if most > allowed_count:
                violations.append(
                    f"cold {endpoint_id} got {most} requests in the second from "
                    f"{from_s - start_s:.2f} s after its start, "
                    f"{allowed_count:g} allowed"
                )
    return violations


def count_cold_load(start_s: float, runs: list[RecordedRun]) -> tuple[int, float]:
    """Return the most requests in one second after a cold start, and its beginning."""
    arrivals_s = [
        run.received_s for run in runs if start_s <= run.received_s < start_s + COLD_S
    ]
    return max(
        ((sum(a <= b < a + 1.0 for b in arrivals_s), a) for a in arrivals_s),
        default=(0, start_s),
    )
