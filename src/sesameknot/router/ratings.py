"""Client of the rating service: sends a sample of answers and polls the scores."""

import asyncio
import json
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np
import structlog
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sesameknot.policy.rollout_statistics import balanced_rating_share

PENDING_LIMIT_COUNT = 5_000
POLL_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 5.0
QUEUE_LIMIT_COUNT = 1_000
# Scores become visible out of order, so each poll requests this many of the newest
# sequence numbers again.
REREAD_COUNT = 200

log = structlog.get_logger(__name__)


@dataclass(slots=True, frozen=True)
class RatedAnswer:
    """An answer that is a candidate for a rating."""

    request_id: str
    team: str
    model: str
    version: str
    kind: str
    cascade: str
    cost_microunits: int
    text: str


class RatingClient:
    """Send a sample of answers to the rating service and report their scores.

    Parameters
    ----------
    url : str
        Base URL of the rating service; ratings are disabled if it is empty.
    rating_share : float
        Share of the answers that are sent.
    rollout_share : callable
        Returns the traffic share of an answer's version while it is being rolled out,
        and 1 for other versions. Answers of a version with a small share are sent more
        often, so that the verdict on a roll-out rests on enough ratings.
    generator : numpy.random.Generator
        Source of randomness for the sample.
    on_rating : callable
        Called with a rated answer and its score between 0 and 1.
    """

    def __init__(
        self,
        url: str,
        *,
        rating_share: float,
        rollout_share: Callable[[RatedAnswer], float],
        generator: np.random.Generator,
        on_rating: Callable[[RatedAnswer, float], None],
    ) -> None:
        self.url = url.rstrip("/")
        self.rating_share = rating_share
        self.rollout_share = rollout_share
        self._generator = generator
        self._on_rating = on_rating
        self._pending: OrderedDict[str, RatedAnswer] = OrderedDict()
        self._queue: asyncio.Queue[RatedAnswer] = asyncio.Queue(QUEUE_LIMIT_COUNT)
        self._newest_sequence = 0
        self._http = SimpleAsyncHTTPClient(force_instance=True)

    def offer(self, answer: RatedAnswer) -> None:
        """Queue the answer for the rating service if it is sampled."""
        if not self.url:
            return
        sample_share = balanced_rating_share(
            self.rating_share, self.rollout_share(answer)
        )
        if self._generator.random() >= sample_share:
            return
        if self._queue.full():
            log.info("rating_dropped", request_id=answer.request_id, step="queue")
            return
        self._queue.put_nowait(answer)

    async def run(self) -> None:
        """Send queued answers and poll for scores until cancelled."""
        if not self.url:
            return
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_queued())
            group.create_task(self._poll_scores())

    async def _send_queued(self) -> None:
        while True:
            answer = await self._queue.get()
            body = {
                "request_id": answer.request_id,
                "model": answer.model,
                "version": answer.version,
                "kind": answer.kind,
                "text": answer.text,
            }
            if await self._fetch("POST", "/ratings", json.dumps(body)) is None:
                continue
            self._pending[answer.request_id] = answer
            while len(self._pending) > PENDING_LIMIT_COUNT:
                self._pending.popitem(last=False)

    async def _poll_scores(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            after_sequence = max(0, self._newest_sequence - REREAD_COUNT)
            reply = await self._fetch("GET", f"/ratings?since={after_sequence}", None)
            if reply is not None:
                self._report_scores(reply)

    def _report_scores(self, reply: Any) -> None:
        try:
            for entry in reply["ratings"]:
                answer = self._pending.pop(entry["request_id"], None)
                self._newest_sequence = max(
                    self._newest_sequence, int(entry["sequence"])
                )
                if answer is not None:
                    self._on_rating(answer, float(entry["score"]))
        except (KeyError, TypeError, ValueError) as error:
            log.warning("ratings_rejected", peer=self.url, reason=repr(error))

    async def _fetch(self, method: str, path: str, body: str | None) -> Any:
        request = HTTPRequest(
            self.url + path, method=method, body=body, request_timeout=CALL_TIMEOUT_S
        )
        try:
            response = await self._http.fetch(request)
            return json.loads(response.body)
        except (HTTPClientError, OSError, ValueError) as error:
            log.info("rating_service_failed", step=method, reason=str(error))
            return None

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()
