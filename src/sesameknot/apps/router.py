"""Binary ``sesameknot-router``: the router on an entry host."""

import asyncio
import sys
from pathlib import Path

from absl import app, flags

from sesameknot.apps._logging import configure_logging
from sesameknot.apps._serving import stop_event
from sesameknot.errors import SettingsError
from sesameknot.settings.loader import load_file
from sesameknot.settings.process import RouterSettings
from sesameknot.wiring import Router

SETTINGS_EXIT_CODE = 2

_SETTINGS = flags.DEFINE_string(
    "settings", None, "YAML file with the settings of this router.", required=True
)
_LOG_LEVEL = flags.DEFINE_enum(
    "log_level", "info", ["debug", "info", "warning", "error"], "Least severe lines."
)


async def _serve(settings: RouterSettings) -> None:
    router = Router(settings)
    stopped = stop_event()
    try:
        await router.start()
        print(f"listening on {settings.http_address}", flush=True)
        await stopped.wait()
        await router.shut_down()
    finally:
        await router.close()


def _main(argv: list[str]) -> None:
    if len(argv) > 1:
        raise app.UsageError(f"got {argv[1:]}, expected flags only")
    configure_logging(_LOG_LEVEL.value)
    try:
        settings = load_file(Path(_SETTINGS.value), RouterSettings)
    except SettingsError as error:
        print(f"sesameknot-router: {error}", file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)
    asyncio.run(_serve(settings))


def run() -> None:
    """Run the binary."""
    app.run(_main)


if __name__ == "__main__":
    run()
