"""Binary ``sesameknot-front``: the router on a host of the users' platform."""

import signal

# Until the loop handles it, a SIGHUP would end the process without a word.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import dataclasses
import os
import sys
from pathlib import Path

import structlog
from absl import app, flags

from sesameknot.apps._logging import BoundedLogWriter, configure_logging
from sesameknot.apps._serving import stop_event
from sesameknot.errors import SettingsError
from sesameknot.front import Front
from sesameknot.platform import NODE_FILE_VARIABLE, load_host_settings
from sesameknot.settings.front import FrontSettings
from sesameknot.settings.host import HostSettings
from sesameknot.settings.loader import load_file

SETTINGS_EXIT_CODE = 2
# The settings file may change without a signal.
SETTINGS_POLL_S = 2.0

_SETTINGS = flags.DEFINE_string(
    "settings", "", "YAML file with the project's own settings; defaults without it."
)
_LOG_LEVEL = flags.DEFINE_enum(
    "log_level", "info", ["debug", "info", "warning", "error"], "Least severe lines."
)

log = structlog.get_logger(__name__)


def _node_file() -> Path:
    path = os.environ.get(NODE_FILE_VARIABLE)
    if not path:
        raise SettingsError(
            "is not set, expected the path of the host's settings file",
            step=NODE_FILE_VARIABLE,
        )
    return Path(path)


class _HostSettingsWatch:
    """Reads the host's settings file again when it may have changed."""

    def __init__(self, path: Path, front: Front) -> None:
        self._path = path
        self._front = front
        self._signalled = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._signalled.set)

    async def run(self) -> None:
        """Apply changes until cancelled; a wrong file leaves the settings as are."""
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._signalled.wait()
            except TimeoutError:
                pass
            self._signalled.clear()
            try:
                found = load_host_settings(self._path)
            except SettingsError as error:
                log.warning("settings_rejected", reason=str(error))
                continue
            present = self._front.host
            if found != present:
                self._front.reload(found)
                log.info("settings_reloaded", changed=_changed(present, found))


def _changed(before: HostSettings, after: HostSettings) -> list[str]:
    names = [field.name for field in dataclasses.fields(HostSettings)]
    return [name for name in names if getattr(before, name) != getattr(after, name)]


async def _serve(path: Path, host: HostSettings, settings: FrontSettings) -> None:
    front = Front(host, settings)
    stopped = stop_event()
    watch = asyncio.create_task(_HostSettingsWatch(path, front).run())
    try:
        await front.start()
        await stopped.wait()
        await front.shut_down()
    finally:
        watch.cancel()
        await front.close()


def _main(argv: list[str]) -> None:
    if len(argv) > 1:
        raise app.UsageError(f"got {argv[1:]}, expected flags only")
    try:
        path = _node_file()
        host = load_host_settings(path)
        settings = FrontSettings()
        if _SETTINGS.value:
            settings = load_file(Path(_SETTINGS.value), FrontSettings)
    except SettingsError as error:
        print(f"sesameknot-front: {error}", file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)
    writer = BoundedLogWriter(
        sys.stdout,
        lines_per_s=settings.log.lines_per_s,
        queue_count=settings.log.queue_count,
    )
    configure_logging(_LOG_LEVEL.value, writer=writer)
    asyncio.run(_serve(path, host, settings))


def run() -> None:
    """Run the binary."""
    app.run(_main)


if __name__ == "__main__":
    run()
