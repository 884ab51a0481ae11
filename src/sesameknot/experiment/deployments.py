"""The two deployments as seeded workloads."""

from dataclasses import dataclass

import numpy as np


@dataclass(slots=True, frozen=True)
class RequestKind:
    """A kind of model request.

    Parameters
    ----------
    name : str
        Name of the kind.
    share : float
        Share of all requests.
    prompt_tokens, output_tokens : float
        Mean sizes.
    value : float
        Worth relative to other kinds.
    deadline_s : float
        Time in which the response must be complete.
    qualities : tuple of float
        True mean quality on each model of the deployment.
    """

    name: str
    share: float
    prompt_tokens: float
    output_tokens: float
    value: float
    deadline_s: float
    qualities: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Deployment:
    """One organisation's models, request kinds, hosts and endpoints.

    Parameters
    ----------
    models : tuple of str
        Cascade from cheap to costly.
    costs_per_token : tuple of float
        Micro-units per token of each model.
    kinds : tuple of RequestKind
        Request kinds; their shares add up to 1.
    domains : tuple of str
        Failure domains.
    endpoint_count, router_count : int
        Model servers and entry hosts; both are spread over the domains in turn.
    """

    name: str
    models: tuple[str, ...]
    costs_per_token: tuple[float, ...]
    kinds: tuple[RequestKind, ...]
    domains: tuple[str, ...]
    endpoint_count: int
    router_count: int

    def domain_of(self, index: int) -> str:
        """Return the failure domain of the endpoint at ``index``."""
        return self.domains[index % len(self.domains)]

    def priorities(self) -> list[int]:
        """Return the engine priority of each kind; more valuable kinds go first."""
        values = sorted({kind.value for kind in self.kinds})
        return [values.index(kind.value) for kind in self.kinds]


ASSOCIATION = Deployment(
    name="association",
    models=("advisor-small", "advisor-medium", "advisor-large"),
    costs_per_token=(1.0, 4.0, 15.0),
    kinds=(
        RequestKind("review", 0.2, 2400, 300, 2.0, 30.0, (0.55, 0.78, 0.90)),
        RequestKind("adjustment", 0.5, 400, 80, 8.0, 10.0, (0.83, 0.88, 0.92)),
        RequestKind("stock-note", 0.3, 150, 40, 1.0, 10.0, (0.74, 0.90, 0.93)),
    ),
    domains=("manzala", "burullus", "idku", "damietta"),
    endpoint_count=6,
    router_count=8,
)

COOPERATIVA = Deployment(
    name="cooperativa",
    models=("hilo-small", "hilo-medium", "hilo-large"),
    costs_per_token=(1.0, 3.0, 10.0),
    kinds=(
        RequestKind("pattern-note", 0.4, 600, 120, 2.0, 15.0, (0.70, 0.84, 0.91)),
        RequestKind("bride-answer", 0.4, 500, 100, 8.0, 10.0, (0.82, 0.87, 0.90)),
        RequestKind("order-summary", 0.2, 1600, 200, 1.0, 30.0, (0.60, 0.77, 0.88)),
    ),
    domains=("centro-a", "centro-b", "centro-c", "centro-d"),
    endpoint_count=9,
    router_count=9,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (ASSOCIATION, COOPERATIVA)}


@dataclass(slots=True, frozen=True)
class Workload:
    """Arrivals of a run, as arrays of equal length."""

    at_s: np.ndarray
    kind_index: np.ndarray
    prompt_tokens: np.ndarray
    output_tokens: np.ndarray
    session: np.ndarray


# A few large customers make up most of the sessions.
SESSION_COUNT = 400
SESSION_SKEW = 0.8


def draw_workload(
    deployment: Deployment,
    *,
    rate_per_s: float,
    count: int,
    random_generator: np.random.Generator,
) -> Workload:
    """Return Poisson arrivals with gamma-distributed sizes."""
    kinds = deployment.kinds
    shares = [kind.share for kind in kinds]
    kind_index = random_generator.choice(len(kinds), size=count, p=shares)
    popularity = np.arange(1, SESSION_COUNT + 1) ** -SESSION_SKEW
    return Workload(
        at_s=np.cumsum(random_generator.exponential(1.0 / rate_per_s, size=count)),
        kind_index=kind_index,
        prompt_tokens=_sizes(
            np.array([kind.prompt_tokens for kind in kinds])[kind_index],
            random_generator,
        ),
        output_tokens=_sizes(
            np.array([kind.output_tokens for kind in kinds])[kind_index],
            random_generator,
        ),
        session=random_generator.choice(
            SESSION_COUNT, size=count, p=popularity / popularity.sum()
        ),
    )


# Callers limit the tokens of a response, so that it can meet its deadline in a full
# batch; the same limit is taken for prompts.
SIZE_LIMIT_FACTOR = 2.0


def _sizes(means: np.ndarray, random_generator: np.random.Generator) -> np.ndarray:
    # Shape 4 gives a coefficient of variation of one half.
    sizes = random_generator.gamma(4.0, means / 4.0)
    return np.clip(sizes, 1, SIZE_LIMIT_FACTOR * means).astype(int)
