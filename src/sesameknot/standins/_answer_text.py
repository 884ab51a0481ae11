"""Answers that tests can predict."""

import xxhash

LOW_QUALITY_MARK = "um"


def answer_tokens(
    request_id: str,
    model: str,
    version: str,
    count: int,
    *,
    low_quality: bool = False,
) -> list[str]:
    """Return the tokens of an answer.

    Parameters
    ----------
    request_id, model, version : str
        What the answer depends on.
    count : int
        Number of tokens.
    low_quality : bool, default=False
        Whether the tokens carry the mark that the rating stand-in rates low.
    """
    mark = LOW_QUALITY_MARK if low_quality else "t"
    seed = f"{request_id}/{model}/{version}"
    return [_token(mark, seed, n) for n in range(count)]


def _token(mark: str, seed: str, position: int) -> str:
    number = xxhash.xxh3_64_intdigest(f"{seed}/{position}".encode()) % 100_000
    return f"{mark}{number:05d} "


def answer_text(request_id: str, model: str, version: str, count: int) -> str:
    """Return the whole text of a good answer."""
    return "".join(answer_tokens(request_id, model, version, count))


def service_receipt(request_id: str, path: str, body: bytes) -> str:
    """Return the receipt that a plain service puts into its answer."""
    content = f"{request_id}/{path}/".encode() + body
    return f"{xxhash.xxh3_64_intdigest(content):016x}"
