"""Options of an endpoint stand-in."""

from dataclasses import dataclass
from typing import Literal


@dataclass(slots=True, kw_only=True)
class EngineOptions:
    """Behaviour of one endpoint stand-in.

    Parameters
    ----------
    kind : {"model", "plain"}, default="model"
        Model engine or plain service.
    versions : tuple of str, default=()
        Loaded versions as ``model/version``; empty accepts every version.
    capacity_count : int, default=16
        Requests that run at a time when warm; others queue.
    cold_slot_count : int, default=2
        Requests that it bears at a time when cold.
    cold_s : float, default=0.0
        Duration of the cold start after the process starts or falls over.
    restart_s : float, default=0.2
        Time after falling over in which it answers 503.
    token_s : float, default=0.001
        Time per token of a request that runs alone.
    batch_slope : float, default=0.05
        Growth of the time per token for each further running request.
    prompt_char_s : float, default=0.0
        Time per character of the prompt that is not in the prefix cache.
    cold_factor : float, default=4.0
        Factor on all times while cold.
    load_lag_s : float, default=0.0
        Age of the published load.
    load_order_s : float, default=0.05
        Time to load a version.
    fencing : bool, default=False
        Whether orders with an old fence are refused.
    cache_block_count : int, default=256
        Size of the prefix cache in blocks.
    event_delay_s : float, default=0.0
        Delay of published cache events.
    event_gap_share : float, default=0.0
        Share of cache events that are never published.
    random_state : int, default=0
        Seed of the gaps.
    """

    kind: Literal["model", "plain"] = "model"
    versions: tuple[str, ...] = ()
    capacity_count: int = 16
    cold_slot_count: int = 2
    cold_s: float = 0.0
    restart_s: float = 0.2
    token_s: float = 0.001
    batch_slope: float = 0.05
    prompt_char_s: float = 0.0
    cold_factor: float = 4.0
    load_lag_s: float = 0.0
    load_order_s: float = 0.05
    fencing: bool = False
    cache_block_count: int = 256
    event_delay_s: float = 0.0
    event_gap_share: float = 0.0
    random_state: int = 0
