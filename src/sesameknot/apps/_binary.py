"""Entry point of binaries that take flags and no other arguments."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from absl import app


def run_with_flags(serve: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Parse the flags, reject other arguments and run ``serve``."""

    def main(argv: list[str]) -> None:
        if len(argv) > 1:
            raise app.UsageError(f"got {argv[1:]}, expected flags only")
        asyncio.run(serve())

    app.run(main)
