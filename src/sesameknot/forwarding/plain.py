"""Forwarding of requests whose answer is a single body."""

from functools import partial

from sesameknot.errors import TransportError
from sesameknot.forwarding.attempt import (
    SERVER_ERROR_STATUS,
    Attempt,
    NotSentError,
)
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.retry_policy import RetryPolicy
from sesameknot.platform import headers_for_caller
from sesameknot.state.known_endpoint import KnownEndpoint


class PlainForwarder:
    """Forwards requests; reads each answer completely before it is sent on.

    Parameters
    ----------
    retry_policy : RetryPolicy
        Picks endpoints and limits retries.
    """

    def __init__(self, retry_policy: RetryPolicy) -> None:
        self._retry_policy = retry_policy

    async def forward(
        self, request: ForwardedRequest, caller: CallerConnection
    ) -> None:
        """Send the answer to ``request``.

        Raises
        ------
        RequestEndedError
            If there is no endpoint's answer to send.
        """
        self._retry_policy.retry_budgets.get(request.service).record_request()
        while True:
            endpoint = await self._retry_policy.next_endpoint(
                request, model=request.metadata.model
            )
            answer_timeout_s = self._answer_timeout_s(request, endpoint)
            try:
                with self._retry_policy.runner.open(
                    request,
                    endpoint,
                    first_byte_timeout_s=answer_timeout_s,
                    progress_timeout_s=answer_timeout_s,
                    claim_retry=partial(
                        self._retry_policy.claim_retry, request, endpoint
                    ),
                ) as attempt:
                    await attempt.read_head()
                    # The head of a refusal says all; its body may be cut.
                    refused = attempt.metadata.not_run
                    body = b"" if refused else await attempt.read_all()
                    if self._is_final(request, attempt):
                        attempt.record_answer()
                        self._note_sound(request, attempt)
                        break
                    attempt.record_answer("repeated")
            except (TransportError, NotSentError) as error:
                if not await self._retry_policy.may_retry(request, endpoint, error):
                    raise self._retry_policy.ended_error(
                        request, error.message
                    ) from error
        # However slowly the caller reads, the endpoint and the body's memory are free.
        request.release_body()
        answers = self._retry_policy.runner.answer_buffer
        headers = headers_for_caller(attempt.headers)
        await caller.send_counted(answers, attempt.status, headers, body)

    def _note_sound(self, request: ForwardedRequest, attempt: Attempt) -> None:
        """Tell the crash detector of an answer that its endpoint completed.

        A server error may have come before the request began to run.
        """
        if attempt.status >= SERVER_ERROR_STATUS:
            return
        crash_detector = self._retry_policy.crash_detector
        if attempt.ends_with_connection:
            crash_detector.check_answer(request, attempt.endpoint)
        else:
            crash_detector.record_answer(request)

    def _answer_timeout_s(
        self, request: ForwardedRequest, endpoint: KnownEndpoint
    ) -> float:
        factor = self._retry_policy.settings.plain_answer_factor
        return self._retry_policy.attempt_timeout_s(
            request, endpoint, factor * request.route.latency_target_ms
        )

    def _is_final(self, request: ForwardedRequest, attempt: Attempt) -> bool:
        """Return whether the answer is sent to the caller; False means a retry."""
        if attempt.metadata.not_run:
            if self._retry_policy.may_resend(request):
                return False
            raise self._retry_policy.ended_error(request, "endpoints are full")
        if attempt.status < SERVER_ERROR_STATUS or not request.route.repeatable:
            return True
        return not (
            request.has_attempts_left and self._retry_policy.spend_retry(request)
        )
