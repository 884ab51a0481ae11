"""Idempotency keys: claim them, replay stored answers and settle the claims."""

import msgspec
import structlog

from sesameknot.coordination.claim_client import ClaimClient, ClaimOutcome
from sesameknot.errors import RequestError
from sesameknot.router.call import NOT_RUN, UNKNOWN, AnswerSink, Call, StoredAnswer
from sesameknot.state.claim_table import IDEMPOTENCY_TABLE, ClaimState

_FINGERPRINT_BYTES = 8
REPLAYED_HEADER = "X-Replayed"

log = structlog.get_logger(__name__)


class IdempotencyKeys:
    """Claim the idempotency key of a call before it runs and settle it afterwards.

    Parameters
    ----------
    claims : ClaimClient
        Claims of keys, on which a quorum of hosts agrees.
    """

    __slots__ = ("_claims",)

    def __init__(self, claims: ClaimClient) -> None:
        self._claims = claims

    async def claim(self, call: Call, *, idempotent: bool) -> StoredAnswer | None:
        """Claim the idempotency key of ``call``, if it has one.

        Parameters
        ----------
        call : Call
            Call to run; its ``bill_id`` and ``claimant`` are set.
        idempotent : bool
            Whether the request may run again if the outcome of an earlier one with
            the same key is unknown.

        Returns
        -------
        StoredAnswer or None
            Answer to an earlier request with the key; None if the call must run.

        Raises
        ------
        RequestError
            If the call must not run.
        """
        call.bill_id = call.request_id
        if not call.idempotency_key:
            return None
        outcome = await self._claims.claim_or_wait(
            IDEMPOTENCY_TABLE,
            _claim_key(call),
            call.fingerprint.to_bytes(_FINGERPRINT_BYTES, "big"),
            call.deadline_s,
        )
        log.info(
            "idempotency_claim",
            request_id=call.request_id,
            customer=call.customer_name,
            status=outcome.status,
            reason=outcome.reason,
        )
        if outcome.status == "claimed":
            call.claimant = call.bill_id = outcome.claimant
            return None
        if outcome.status == "done":
            return _decode_answer(call, outcome.value)
        return self._check_rerun(call, outcome, idempotent=idempotent)

    def _check_rerun(
        self, call: Call, outcome: ClaimOutcome, *, idempotent: bool
    ) -> None:
        if outcome.status == "not-run":
            raise RequestError(
                "no quorum of hosts took the idempotency key",
                status=503,
                outcome=NOT_RUN,
                error_type="claim-unavailable",
                step="claim",
                retry_after_s=1.0,
            )
        if idempotent and outcome.claimant:
            # An idempotent request may run again. The rerun keeps the bill id of the
            # first run, so that the customer is billed once.
            call.bill_id = outcome.claimant
            return
        raise RequestError(
            f"an earlier request with this key may have run ({outcome.reason})",
            status=409,
            outcome=UNKNOWN,
            error_type="outcome-unknown",
            step="claim",
        )

    async def store_answer(self, call: Call, answer: StoredAnswer) -> None:
        """Settle the claim as done and store the whole answer with it."""
        if call.claimant:
            value = msgspec.msgpack.encode(answer)
            await self._settle(call, ClaimState.DONE, value)

    async def settle_failed(self, call: Call) -> None:
        """Release the claim if the call did not run; else settle it as unknown."""
        if call.claimant:
            state = ClaimState.UNKNOWN if call.may_have_run else ClaimState.RELEASED
            await self._settle(call, state, b"")

    async def _settle(self, call: Call, state: ClaimState, value: bytes) -> None:
        settled = await self._claims.settle(
            IDEMPOTENCY_TABLE, _claim_key(call), state, value, claimant=call.claimant
        )
        if not settled:
            log.warning(
                "idempotency_claim_unsettled",
                request_id=call.request_id,
                state=state.value,
            )


async def replay(answer: StoredAnswer, sink: AnswerSink) -> None:
    """Send a stored answer to the caller of a later request."""
    sink.start(answer.status, {**answer.headers, REPLAYED_HEADER: "true"})
    await sink.write(answer.body)


def _claim_key(call: Call) -> str:
    return f"{call.customer_name}/{call.idempotency_key}"


def _decode_answer(call: Call, value: bytes) -> StoredAnswer:
    try:
        answer = msgspec.msgpack.decode(value, type=StoredAnswer)
    except msgspec.MsgspecError as error:
        raise RequestError(
            f"stored answer is malformed: {error}",
            status=409,
            outcome=UNKNOWN,
            error_type="outcome-unknown",
            step="replay",
        ) from error
    if answer.fingerprint != call.fingerprint:
        raise RequestError(
            "idempotency key was used for another request",
            status=422,
            outcome=NOT_RUN,
            error_type="key-reused",
            step="claim",
        )
    return answer
