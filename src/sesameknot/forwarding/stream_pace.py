"""Measurement of the pace of one stream, for its version and its endpoint."""

from sesameknot.forwarding.attempt import Attempt
from sesameknot.policy.endpoint_pace import EndpointPace
from sesameknot.state.attempt_counts import AttemptCounts

# Shorter streams are measured at their end, if they have this many gaps.
GAP_MIN_COUNT = 3


class StreamPace:
    """Measures the mean time between events for the version, and for the endpoint.

    For its version, a stream is measured as soon as it has run for the longest pause
    that its route wants between events, so that slow streams are counted as early as
    others. For its endpoint it is measured at its end, over all of its events, as a
    short slowdown then matters less. Streams of cold endpoints are not measured.

    Parameters
    ----------
    attempt : Attempt
        The attempt whose answer is the stream.
    attempt_counts : AttemptCounts
        Receives the time for the version.
    endpoint_pace : EndpointPace or None
        Receives the time for the endpoint; None if it is not learnt.
    """

    __slots__ = (
        "_attempt",
        "_attempt_counts",
        "_cold",
        "_endpoint_pace",
        "_event_count",
        "_first_event_s",
        "_first_load_share",
        "_last_event_s",
        "_measured",
    )

    def __init__(
        self,
        attempt: Attempt,
        *,
        attempt_counts: AttemptCounts,
        endpoint_pace: EndpointPace | None,
    ) -> None:
        self._attempt = attempt
        self._attempt_counts = attempt_counts
        self._endpoint_pace = endpoint_pace
        self._event_count = 0
        self._first_event_s = 0.0
        self._last_event_s = 0.0
        self._first_load_share = 0.0
        self._cold = False
        self._measured = False

    def events_received(self, count: int, now_s: float) -> None:
        """Note events that arrived together."""
        if not self._event_count:
            self._first_event_s = now_s
            self._first_load_share = self._attempt.endpoint.load_share
            self._cold = now_s < self._attempt.endpoint.cold_until_s
            self._measured = self._cold
        self._event_count += count
        self._last_event_s = now_s
        if now_s - self._first_event_s >= self._measuring_time_s:
            self._measure(now_s)

    def ended(self, now_s: float) -> None:
        """Note the end of the stream, whether whole or not."""
        waited_s = now_s - self._first_event_s
        if not self._event_count:
            return
        if self._event_count > GAP_MIN_COUNT or waited_s >= self._measuring_time_s:
            self._measure(now_s)
        if self._event_count > GAP_MIN_COUNT and not self._cold:
            self._measure_endpoint()

    @property
    def _measuring_time_s(self) -> float:
        route = self._attempt.request.route
        return (route.event_gap_ms or route.latency_target_ms) / 1000.0

    def _measure(self, now_s: float) -> None:
        if not self._measured:
            self._measured = True
            gap_count = max(1, self._event_count - 1)
            gap_s = (now_s - self._first_event_s) / gap_count
            entry = self._attempt.endpoint.entry
            self._attempt_counts.count_stream(
                entry.service, entry.version, self._attempt.model, gap_s=gap_s
            )

    def _measure_endpoint(self) -> None:
        if self._endpoint_pace is None:
            return
        endpoint = self._attempt.endpoint
        # Time after the last event says how the stream ended, not how fast it was.
        duration_s = self._last_event_s - self._first_event_s
        load_share = (self._first_load_share + endpoint.load_share) / 2.0
        self._endpoint_pace.observe(
            endpoint.entry.service,
            self._attempt.model,
            endpoint.incarnation_id,
            gap_s=duration_s / (self._event_count - 1),
            load_share=load_share,
        )
