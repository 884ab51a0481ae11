"""Binary ``sesameknot-front``: the router on a host of the users' platform."""

import signal

# Before the event loop handles SIGHUP, its default action would end the process
# without a log line.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sesameknot.transport.early_listeners import EarlyListeners, open_early_listeners

_early_listeners = (
    open_early_listeners() if __name__ == "__main__" else EarlyListeners()
)

import asyncio
import dataclasses
import os
import sys
from pathlib import Path
from types import FrameType

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
# The host's settings file may change without a SIGHUP.
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


class HostSettingsWatcher:
    """Task that reloads the host's settings file periodically and after SIGHUP."""

    def __init__(self, path: Path, front: Front) -> None:
        self._path = path
        self._front = front
        self.reload_requested = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        # A handler of the event loop would be replaced by the default action, which
        # ends the process, when the loop closes.
        signal.signal(signal.SIGHUP, self._on_hangup)

    def _on_hangup(self, signal_number: int, frame: FrameType | None) -> None:
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self.reload_requested.set)

    async def run(self) -> None:
        """Apply changes until cancelled; an invalid file leaves the settings as is."""
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self.reload_requested.wait()
            except TimeoutError:
                pass
            self.reload_requested.clear()
            try:
                loaded = load_host_settings(self._path)
            except SettingsError as error:
                log.warning("settings_rejected", reason=str(error))
                continue
            current = self._front.host
            if loaded != current:
                self._front.reload(loaded)
                log.info("settings_reloaded", changed=_changed_fields(current, loaded))


def ignore_hangup() -> None:
    """Ignore SIGHUP until the process has ended.

    The interpreter replaces other handlers by the default action at its end.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _changed_fields(before: HostSettings, after: HostSettings) -> list[str]:
    names = [field.name for field in dataclasses.fields(HostSettings)]
    return [name for name in names if getattr(before, name) != getattr(after, name)]


async def _serve(path: Path, host: HostSettings, settings: FrontSettings) -> None:
    front = Front(host, settings, listeners=_early_listeners)
    stopped = stop_event()
    watch_task = asyncio.create_task(HostSettingsWatcher(path, front).run())
    try:
        await front.start()
        await stopped.wait()
        await front.shut_down()
    finally:
        watch_task.cancel()
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
    ignore_hangup()


def run() -> None:
    """Run the binary."""
    app.run(_main)


if __name__ == "__main__":
    run()
