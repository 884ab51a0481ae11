"""Stand-in of the service that rates answers."""

import json
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import xxhash
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from sesameknot.clock import Clock, SystemClock
from sesameknot.standins._answer_text import LOW_QUALITY_MARK
from sesameknot.standins.weight_store import WeightHandler, WeightStore

# A low-quality answer scores this share of its version's quality.
LOW_QUALITY_SHARE = 0.2
RATING_LIMIT_COUNT = 100_000


@dataclass(slots=True, kw_only=True)
class RatingOptions:
    """Behaviour of the rating service.

    Parameters
    ----------
    qualities : dict of str to float
        Mean score by ``model/version``.
    default_quality : float, default=0.9
        Mean score of other versions.
    noise : float, default=0.1
        Standard deviation of a score.
    delay_s : float, default=0.0
        Time until a score is published.
    gap_share : float, default=0.0
        Share of answers that are never rated.
    random_state : int, default=0
        Seed.
    """

    qualities: dict[str, float] = field(default_factory=dict)
    default_quality: float = 0.9
    noise: float = 0.1
    delay_s: float = 0.0
    gap_share: float = 0.0
    random_state: int = 0


@dataclass(slots=True, frozen=True)
class Rating:
    """One score between 0 and 1."""

    sequence: int
    model: str
    version: str
    request_id: str
    score: float
    visible_s: float


class RatingBook:
    """Scores of all answers.

    Parameters
    ----------
    options : RatingOptions
        Behaviour.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, options: RatingOptions, *, clock: Clock) -> None:
        self.options = options
        self._clock = clock
        self._ratings: list[Rating] = []
        self._sequence = 0

    def rate(self, model: str, version: str, request_id: str, text: str) -> None:
        """Rate one answer; the score depends on the seed and the request id."""
        self._sequence += 1
        key = xxhash.xxh3_64_intdigest(f"{model}/{version}/{request_id}".encode())
        rng = np.random.default_rng([self.options.random_state, key])
        if rng.random() < self.options.gap_share:
            return
        name = f"{model}/{version}"
        quality = self.options.qualities.get(name, self.options.default_quality)
        if text.startswith(LOW_QUALITY_MARK):
            quality *= LOW_QUALITY_SHARE
        score = float(np.clip(quality + rng.normal(0.0, self.options.noise), 0.0, 1.0))
        visible_s = self._clock.monotonic_s() + self.options.delay_s
        self._ratings.append(
            Rating(self._sequence, model, version, request_id, score, visible_s)
        )
        del self._ratings[:-RATING_LIMIT_COUNT]

    def published(self, since: int) -> list[Rating]:
        """Return the visible ratings after sequence ``since``."""
        now_s = self._clock.monotonic_s()
        return [r for r in self._ratings if r.sequence > since and r.visible_s <= now_s]


class RatingsHandler(RequestHandler):
    """Take answers and publish their scores."""

    def initialize(self, book: RatingBook) -> None:
        """Keep the book."""
        self.book = book

    def post(self) -> None:
        """Take one answer."""
        try:
            value = json.loads(self.request.body)
            fields = [value[n] for n in ("model", "version", "request_id", "text")]
        except (ValueError, KeyError, TypeError) as error:
            self.set_status(400)
            self.finish({"error": {"type": "invalid", "message": repr(error)}})
            return
        self.book.rate(*map(str, fields))
        self.set_status(202)
        self.finish({})

    def get(self) -> None:
        """Answer with the scores after ``since``."""
        ratings = self.book.published(int(self.get_query_argument("since", "0")))
        self.write(
            {
                "ratings": [
                    {
                        "sequence": r.sequence,
                        "model": r.model,
                        "version": r.version,
                        "request_id": r.request_id,
                        "score": r.score,
                    }
                    for r in ratings
                ]
            }
        )


class QualityHandler(RequestHandler):
    """Change the quality of a version."""

    def initialize(self, book: RatingBook) -> None:
        """Keep the book."""
        self.book = book

    def post(self) -> None:
        """Set ``quality`` of ``version`` (``model/version``)."""
        value = json.loads(self.request.body)
        self.book.options.qualities[str(value["version"])] = float(value["quality"])
        self.write({})


class RatingStandin:
    """The rating service and the weight store on one HTTP server.

    Parameters
    ----------
    options : RatingOptions
        Behaviour of the rating service.
    clock : Clock or None, default=None
        Source of monotonic time; the system's if None.
    weight_rate_per_s : float, default=5.0
        Rate limit of the weight store.
    """

    def __init__(
        self,
        options: RatingOptions,
        *,
        clock: Clock | None = None,
        weight_rate_per_s: float = 5.0,
    ) -> None:
        clock = clock or SystemClock()
        self.book = RatingBook(options, clock=clock)
        self.weights = WeightStore(clock, rate_per_s=weight_rate_per_s)

    def application(self) -> Application:
        """Return the web application."""
        book: dict[str, Any] = {"book": self.book}
        return Application(
            [
                (r"/ratings", RatingsHandler, book),
                (r"/standin/quality", QualityHandler, book),
                (r"/weights/(.+)", WeightHandler, {"store": self.weights}),
            ],
            log_function=lambda handler: None,
        )

    def server(self) -> HTTPServer:
        """Return an HTTP server that is not listening yet."""
        return HTTPServer(self.application())
