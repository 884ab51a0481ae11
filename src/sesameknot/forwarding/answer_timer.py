"""Measurement of the time that one attempt needs for its answer."""

from sesameknot.clock import Clock
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.policy.answer_times import AnswerTimes


class AnswerTimer:
    """Measures the times to the first event and to the end of one attempt's answer.

    Parameters
    ----------
    times : AnswerTimes
        Receives the times.
    request : ForwardedRequest
        The request.
    model : str
        Model that is asked; nothing is measured if it is empty.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        "_clock",
        "_first_event_s",
        "_model",
        "_request",
        "_started_s",
        "_times",
    )

    def __init__(
        self, times: AnswerTimes, request: ForwardedRequest, model: str, *, clock: Clock
    ) -> None:
        self._times = times
        self._request = request
        self._model = model
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._first_event_s: float | None = None

    def first_event(self, now_s: float) -> None:
        """Record the first event, or the head of an answer that is dropped at it."""
        if self._first_event_s is None and self._model:
            self._first_event_s = now_s
            self._times.observe_first_event(*self._key, now_s - self._started_s)

    def answer_ended(self) -> None:
        """Record the end of a complete answer."""
        if self._first_event_s is not None:
            rest_s = self._clock.monotonic_s() - self._first_event_s
            self._times.observe_rest(self._request.route.name, self._model, rest_s)

    def attempt_ended(self) -> None:
        """Record the end of the attempt, which may have no event."""
        if self._first_event_s is None and self._model:
            waited_s = self._clock.monotonic_s() - self._started_s
            self._times.observe_wait_without_event(*self._key, waited_s)

    @property
    def _key(self) -> tuple[str, str, int]:
        request = self._request
        return request.service, self._model, request.metadata.prompt_token_count
