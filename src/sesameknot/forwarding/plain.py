"""Forward requests whose answer is one body."""

from sesameknot.errors import TransportError
from sesameknot.forwarding.attempt import (
    SERVER_ERROR_STATUS,
    Attempt,
    NotSentError,
)
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.retry_policy import RetryPolicy
from sesameknot.platform import caller_headers


class PlainForwarder:
    """Serves requests with one body; the answer is read whole before it is sent.

    Parameters
    ----------
    retry_policy : RetryPolicy
        Shared rules.
    """

    def __init__(self, retry_policy: RetryPolicy) -> None:
        self._retry_policy = retry_policy

    async def serve(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        """Answer ``request``.

        Raises
        ------
        RequestEndedError
            If no endpoint's answer can be given.
        """
        self._retry_policy.retry_budgets.of(request.service).note_first()
        while True:
            known = self._retry_policy.next_endpoint(request, model=request.facts.model)
            first_answer_s = self._first_answer_s(request)
            try:
                with self._retry_policy.runner.open(
                    request,
                    known,
                    first_answer_s=first_answer_s,
                    progress_s=first_answer_s,
                ) as attempt:
                    await attempt.read_head()
                    body = await attempt.read_all()
                    if self._final(request, attempt):
                        attempt.succeeded()
                        headers = caller_headers(attempt.headers)
                        await caller.send_whole(attempt.status, headers, body)
                        return
                    attempt.succeeded("repeated")
            except (TransportError, NotSentError) as error:
                if caller.head_sent:
                    raise
                if not await self._retry_policy.may_follow(request, known, error):
                    raise self._retry_policy.ended(request, error.message) from error

    def _first_answer_s(self, request: ForwardedRequest) -> float:
        factor = self._retry_policy.settings.plain_answer_factor
        return self._retry_policy.wait_s(
            request, factor * request.route.latency_target_ms
        )

    def _final(self, request: ForwardedRequest, attempt: Attempt) -> bool:
        """Return whether the answer goes to the caller."""
        if attempt.facts.not_run:
            if self._retry_policy.may_resend(request):
                return False
            raise self._retry_policy.ended(request, "endpoints are full")
        if attempt.status < SERVER_ERROR_STATUS or not request.route.repeatable:
            return True
        return not (request.attempts_left and self._retry_policy.spend(request))
