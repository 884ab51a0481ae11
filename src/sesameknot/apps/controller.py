"""Binary ``sesameknot-controller``: runs roll-outs beside the router of its host."""

import asyncio
import contextlib
import sys
from pathlib import Path

from absl import app, flags

from sesameknot.apps._logging import configure_logging
from sesameknot.apps._rollout_decision import SequentialDecision
from sesameknot.apps._serving import stop_event
from sesameknot.clock import SystemClock
from sesameknot.coordination.rollout_runner import RolloutRunner
from sesameknot.coordination.router_view import RouterView
from sesameknot.errors import SettingsError
from sesameknot.settings.loader import load_file
from sesameknot.settings.process import ControllerSettings
from sesameknot.transport.endpoint_client import EndpointClient
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.platform_client import PlatformClient
from sesameknot.transport.tls import client_context

# Timeout of an order to an engine; a graceful stop waits this long at most for an
# order already sent.
ORDER_TIMEOUT_S = 30.0

_SETTINGS = flags.DEFINE_string("settings", None, "YAML file with the settings.")
_LOG_LEVEL = flags.DEFINE_enum(
    "log_level", "info", ["debug", "info", "warning", "error"], "Least severe lines."
)


async def serve(settings: ControllerSettings) -> None:
    """Run roll-outs until SIGINT or SIGTERM."""
    clock = SystemClock()
    tls = client_context(settings.tls) if settings.tls else None
    stopped = stop_event()
    with contextlib.ExitStack() as stack:
        peer_client = PeerClient(f"controller-{settings.host_id}", clock=clock, tls=tls)
        stack.callback(peer_client.close)
        platform = PlatformClient(settings.platform_url, token=settings.platform_token)
        stack.callback(platform.close)
        endpoint_client = EndpointClient(clock=clock)
        stack.callback(endpoint_client.close)
        runner = RolloutRunner(
            settings.host_id,
            view=RouterView(settings.router_address, peer=peer_client),
            platform=platform,
            engine_client=endpoint_client,
            decision=SequentialDecision(clock),
            clock=clock,
            lease_s=settings.timing.lease_s,
            margin_s=settings.timing.margin_s,
            order_timeout_s=ORDER_TIMEOUT_S,
        )
        await _run_until(runner, stopped)


async def _run_until(runner: RolloutRunner, stopped: asyncio.Event) -> None:
    run_task = asyncio.create_task(runner.run())
    stop_task = asyncio.create_task(stopped.wait())
    await asyncio.wait((run_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
    stop_task.cancel()
    if run_task.done():
        run_task.result()
    run_task.cancel()
    await asyncio.wait((run_task,))
    await runner.release()


def _main(argv: list[str]) -> int:
    if len(argv) > 1 or not _SETTINGS.value:
        print("error: expected --settings FILE and no arguments", file=sys.stderr)
        return 2
    configure_logging(_LOG_LEVEL.value)
    try:
        settings = load_file(Path(_SETTINGS.value), ControllerSettings)
        asyncio.run(serve(settings))
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        return 3
    return 0


def run() -> None:
    """Run the binary."""
    app.run(_main)


if __name__ == "__main__":
    run()
