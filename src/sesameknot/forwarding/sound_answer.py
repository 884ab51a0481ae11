"""Recognition of streamed answers that crash no endpoint."""

from sesameknot.forwarding.attempt import Attempt
from sesameknot.forwarding.crash_detector import CRASH_DELAY_LIMIT_S, CrashDetector

# A prompt part that crashes endpoints does so well within this time of the first event.
SOUND_AFTER_S = 2.0 * CRASH_DELAY_LIMIT_S


class SoundAnswerWatch:
    """Tells the crash detector once that an attempt's answer is sound.

    Parameters
    ----------
    attempt : Attempt
        The attempt.
    crash_detector : CrashDetector
        Counts sound answers by prompt part.
    """

    __slots__ = ("_attempt", "_crash_detector", "_first_event_s", "_recorded")

    def __init__(self, attempt: Attempt, crash_detector: CrashDetector) -> None:
        self._attempt = attempt
        self._crash_detector = crash_detector
        self._first_event_s: float | None = None
        self._recorded = False

    def event_received(self, now_s: float) -> None:
        """Note an event; an answer that goes on long enough is sound."""
        if self._first_event_s is None:
            self._first_event_s = now_s
        elif now_s - self._first_event_s > SOUND_AFTER_S:
            self._record()

    def answer_ended(self) -> None:
        """Note the regular end of the answer.

        An endpoint that crashes may end its connection like one that has finished, so
        an answer that ends with the connection shows nothing.
        """
        if self._first_event_s is not None and not self._attempt.ends_with_connection:
            self._record()

    def _record(self) -> None:
        if not self._recorded:
            self._recorded = True
            self._crash_detector.record_answer(self._attempt.request)
