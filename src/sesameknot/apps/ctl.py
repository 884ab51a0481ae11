"""Binary ``sesameknotctl``: the operators' command line.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid settings, 4 conflict with
another writer, 5 platform unavailable and nothing written, 6 accepted but not in
force on all hosts in time, 7 refused by the present state, 8 outcome of a write
unknown, 9 valid with warnings.
"""

import asyncio
import getpass
import json
import sys
from pathlib import Path

from absl import app, flags

from sesameknot.apps._tls_flags import peer_context
from sesameknot.clock import SystemClock
from sesameknot.errors import RouterError
from sesameknot.operator.commands import parse_base, run_command, usage_lines
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.errors import UsageError
from sesameknot.operator.fleet import RouterFleet
from sesameknot.operator.results import ExitCode, Report
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.platform_client import PlatformClient

_PLATFORM = flags.DEFINE_string(
    "platform", "http://127.0.0.1:8700", "Base URL of the platform."
)
_PLATFORM_TOKEN = flags.DEFINE_string(
    "platform_token_file", "", "File with the platform's bearer token."
)
_ROUTERS = flags.DEFINE_list(
    "routers", [], "HTTP addresses of routers, ip:port; more come from the roster."
)
_OPERATOR_TOKEN = flags.DEFINE_string(
    "operator_token_file", "", "File with the routers' operator token."
)
_OPERATOR = flags.DEFINE_string(
    "operator", "", "Name shown to other operators; the user name if empty."
)
_OUTPUT = flags.DEFINE_enum("output", "text", ["text", "json"], "Form of the output.")
_WAIT = flags.DEFINE_float(
    "wait_s", 10.0, "Time to wait until a change is in force.", lower_bound=0.0
)
_BASE = flags.DEFINE_multi_string(
    "base", [], "TEAM=VERSION that the files are based on; apply fails on another."
)
_CUSTOMER = flags.DEFINE_string("customer", "", "Customer whose bills are shown.")

_SUMMARY = flags.DEFINE_boolean(
    "summary", False, "Let explain summarise all requests in the log files."
)

_AGAINST = flags.DEFINE_string(
    "against", "", "Store ip:port or file that check compares a configuration with."
)


def _read_token(path: str) -> str:
    if not path:
        return ""
    try:
        return Path(path).read_text().strip()
    except OSError as error:
        raise UsageError(str(error), step=path) from error


async def _run(arguments: list[str]) -> Report:
    clock = SystemClock()
    operator = _OPERATOR.value or getpass.getuser()
    platform = PlatformClient(_PLATFORM.value, token=_read_token(_PLATFORM_TOKEN.value))
    fleet = RouterFleet(
        _ROUTERS.value,
        clock=clock,
        token=_read_token(_OPERATOR_TOKEN.value),
        peer=PeerClient(f"ctl-{operator}", clock=clock, tls=peer_context()),
    )
    context = OperatorContext(
        platform=platform,
        fleet=fleet,
        clock=clock,
        operator=operator,
        wait_s=_WAIT.value,
        base_versions=parse_base(_BASE.value),
        customer=_CUSTOMER.value,
        summary=_SUMMARY.value,
        against=_AGAINST.value,
    )
    try:
        return await run_command(context, arguments)
    finally:
        fleet.close()
        platform.close()


def _print(report: Report) -> None:
    if _OUTPUT.value == "json":
        print(json.dumps({"exit_code": report.exit_code, **report.value}))
        return
    for line in report.lines:
        stream = sys.stderr if line.startswith("error:") else sys.stdout
        print(line, file=stream)


def _main(argv: list[str]) -> int:
    try:
        report = asyncio.run(_run(argv[1:]))
    except RouterError as error:
        report = Report(lines=[f"error: {error}"], exit_code=ExitCode.USAGE)
    _print(report)
    if report.exit_code == ExitCode.USAGE:
        print("usage:", *usage_lines(), sep="\n  sesameknotctl ", file=sys.stderr)
    return int(report.exit_code)


def _parse_flags(argv: list[str]) -> list[str]:
    try:
        return app.parse_flags_with_usage(argv)
    except SystemExit as error:
        raise SystemExit(int(ExitCode.USAGE) if error.code else 0) from None


def run() -> None:
    """Run the binary."""
    app.run(_main, flags_parser=_parse_flags)


if __name__ == "__main__":
    run()
