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
        "_complete",
        "_first_event_s",
        "_model",
        "_request",
        "_started_s",
        "_times",
    )

    def __init__(
        self, times: AnswerTimes, request: ForwardedRequest, *, model: str, clock: Clock
    ) -> None:
        self._times = times
        self._request = request
        self._model = model
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._first_event_s: float | None = None
        self._complete = False

    def first_event(self, now_s: float) -> None:
        """Record the first event; later ones do nothing."""
        if self._first_event_s is None and self._model:
            self._first_event_s = now_s
            self._times.observe_first_event(*self._key, now_s - self._started_s)

    def answer_dropped(self, head_s: float) -> None:
        """Record an answer that is dropped at its head, which counts as an event."""
        self.first_event(head_s)
        self._model = ""

    def answer_ended(self) -> None:
        """Record the end of a complete answer."""
        self._complete = True

    def attempt_ended(self) -> None:
        """Record the times of the attempt, whether its answer is complete or not."""
        if not self._model:
            return
        now_s = self._clock.monotonic_s()
        if self._first_event_s is None:
            self._times.observe_wait_without_event(*self._key, now_s - self._started_s)
            return
        observe_rest = (
            self._times.observe_rest
            if self._complete
            else self._times.observe_unfinished_rest
        )
        rest_s = now_s - self._first_event_s
        observe_rest(self._request.route.name, self._model, rest_s)

    @property
    def _key(self) -> tuple[str, str, int]:
        request = self._request
        return request.service, self._model, request.metadata.prompt_token_count
