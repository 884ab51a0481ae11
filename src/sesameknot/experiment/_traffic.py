"""Traffic of a roll-out in steps of time: callers, errors and late ratings."""

import numpy as np

from sesameknot.clock import ManualClock
from sesameknot.experiment.deployments import SESSION_SKEW
from sesameknot.experiment.settings import ExposureSettings
from sesameknot.policy.rollout_statistics import VersionSample
from sesameknot.policy.version_choice import in_rollout

TICK_S = 30.0
CALLER_COUNT = 2000
ERROR_RATE = 0.01
MEAN_QUALITY = 0.82
RATING_CONCENTRATION = 6.0
# Roll-outs differ by the hash of the new version's name; a few names suffice.
NAME_COUNT = 16

_memberships: dict[tuple[int, float], np.ndarray] = {}


def members(name_index: int, share: float) -> np.ndarray:
    """Return which callers get the new version at a share."""
    key = (name_index, share)
    if key not in _memberships:
        _memberships[key] = np.array(
            [
                in_rollout("model", f"v{name_index}", f"caller-{i}", share)
                for i in range(CALLER_COUNT)
            ]
        )
    return _memberships[key]


class _Counters:
    """Requests, errors and ratings of one version."""

    __slots__ = ("_due", "values")

    def __init__(self, tick_count: int) -> None:
        self.values = np.zeros(5)
        self._due = np.zeros((tick_count + 1, 3))

    def add(
        self,
        tick: int,
        requests: int,
        *,
        quality: float,
        error_rate: float,
        rating_share: float,
        settings: ExposureSettings,
        random_generator: np.random.Generator,
    ) -> None:
        """Add the requests of a tick and the ratings that are due in it."""
        self.values[0] += requests
        self.values[1] += random_generator.binomial(requests, error_rate)
        count = random_generator.binomial(requests, rating_share)
        if count:
            ratings = random_generator.beta(
                RATING_CONCENTRATION * quality,
                RATING_CONCENTRATION * (1.0 - quality),
                size=count,
            )
            delay_s = random_generator.exponential(settings.rating_delay_s, size=count)
            due = tick + (delay_s / TICK_S).astype(int)
            due = np.minimum(due, len(self._due) - 1)
            rows = np.stack([np.ones(count), ratings, ratings * ratings], axis=1)
            np.add.at(self._due, due, rows)
        self.values[2:] += self._due[tick]

    def sample(self) -> VersionSample:
        """Return the counters so far."""
        requests, errors, ratings, total, squares = self.values.tolist()
        return VersionSample(int(requests), int(errors), int(ratings), total, squares)


class RolloutTraffic:
    """Traffic on a new and a stable version.

    Parameters
    ----------
    settings : ExposureSettings
        Rates and how bad the new version is.
    bad : bool
        Whether the new version is bad.
    trial : int
        Number of the trial.
    tick_count : int
        Most steps of time.
    """

    __slots__ = (
        "_first_request_s",
        "_generator",
        "_new",
        "_popularity",
        "_stable",
        "_time_on_new_s",
        "bad",
        "clock",
        "name_index",
        "settings",
        "tick",
    )

    def __init__(
        self, settings: ExposureSettings, *, bad: bool, trial: int, tick_count: int
    ) -> None:
        self.settings = settings
        self.bad = bad
        self.tick = 0
        self.clock = ManualClock(0.0)
        self.name_index = trial % NAME_COUNT
        seed = [settings.random_state, trial, int(bad)]
        self._generator = np.random.default_rng(seed)
        popularity = self._generator.permutation(
            np.arange(1, CALLER_COUNT + 1) ** -SESSION_SKEW
        )
        self._popularity = popularity / popularity.sum()
        # A caller has met the new version once it has been on it for this long.
        rates_per_s = self._popularity * settings.requests_per_s
        self._first_request_s = self._generator.exponential(1.0 / rates_per_s)
        self._time_on_new_s = np.zeros(CALLER_COUNT)
        self._new = _Counters(tick_count)
        self._stable = _Counters(tick_count)

    @property
    def now_s(self) -> float:
        """Time since the roll-out began."""
        return self.clock.monotonic_s()

    @property
    def new(self) -> VersionSample:
        """Counters of the new version."""
        return self._new.sample()

    @property
    def stable(self) -> VersionSample:
        """Counters of the stable version."""
        return self._stable.sample()

    @property
    def exposed_count(self) -> int:
        """Callers that have had a response of the new version."""
        return int((self._time_on_new_s >= self._first_request_s).sum())

    def advance(self, share: float, *, rating_share: float) -> None:
        """Serve one step of time with a share on the new version.

        Parameters
        ----------
        share : float
            Share of the callers on the new version.
        rating_share : float
            Share of the new version's answers that are rated.
        """
        settings = self.settings
        on_new = members(self.name_index, share)
        self._time_on_new_s[on_new] += TICK_S
        new_share = float(self._popularity[on_new].sum())
        expected = settings.requests_per_s * TICK_S
        drop = settings.quality_drop if self.bad else 0.0
        rise = settings.error_rise if self.bad else 0.0
        self._new.add(
            self.tick,
            int(self._generator.poisson(expected * new_share)),
            quality=MEAN_QUALITY - drop,
            error_rate=ERROR_RATE + rise,
            rating_share=rating_share,
            settings=settings,
            random_generator=self._generator,
        )
        self._stable.add(
            self.tick,
            int(self._generator.poisson(expected * max(0.0, 1.0 - new_share))),
            quality=MEAN_QUALITY,
            error_rate=ERROR_RATE,
            rating_share=settings.rating_share,
            settings=settings,
            random_generator=self._generator,
        )
        self.tick += 1
        self.clock.advance(TICK_S)
