"""Forward requests whose answer is one body."""

from sesameknot.errors import TransportError
from sesameknot.forwarding.attempt import (
    SERVER_ERROR_STATUS,
    Attempt,
    NotSentError,
)
from sesameknot.forwarding.attempt_loop import AttemptLoop
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.platform import headers_for_caller


class PlainForwarder:
    """Serves requests with one body; the answer is read whole before it is sent.

    Parameters
    ----------
    loop : AttemptLoop
        Shared rules.
    """

    def __init__(self, loop: AttemptLoop) -> None:
        self._loop = loop

    async def serve(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        """Answer ``request``.

        Raises
        ------
        RequestEndedError
            If no endpoint's answer can be given.
        """
        self._loop.budgets.of(request.service).note_first()
        while True:
            known = self._loop.next_target(request, model=request.facts.model)
            first_answer_s = self._first_answer_s(request)
            try:
                with self._loop.runner.open(
                    request,
                    known,
                    first_answer_s=first_answer_s,
                    progress_s=first_answer_s,
                ) as attempt:
                    await attempt.read_head()
                    body = await attempt.read_all()
                    if self._final(request, attempt):
                        attempt.succeeded()
                        headers = headers_for_caller(attempt.headers)
                        await caller.send_whole(attempt.status, headers, body)
                        return
                    attempt.succeeded("repeated")
            except (TransportError, NotSentError) as error:
                if caller.head_sent:
                    raise
                if not await self._loop.may_follow(request, known, error):
                    raise self._loop.ended(request, error.message) from error

    def _first_answer_s(self, request: ForwardedRequest) -> float:
        factor = self._loop.settings.plain_answer_factor
        return self._loop.wait_s(request, factor * request.route.latency_target_ms)

    def _final(self, request: ForwardedRequest, attempt: Attempt) -> bool:
        """Return whether the answer goes to the caller."""
        if attempt.facts.not_run:
            if self._loop.may_resend(request):
                return False
            raise self._loop.ended(request, "endpoints are full")
        if attempt.status < SERVER_ERROR_STATUS or not request.route.repeatable:
            return True
        return not (request.attempts_left and self._loop.spend(request))
