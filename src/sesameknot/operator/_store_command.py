"""Command that shows what the users' platform holds of the system."""

from collections import Counter
from collections.abc import Callable

from sesameknot.errors import PlatformError
from sesameknot.operator._registry import command
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.results import ExitCode, Report, table
from sesameknot.platform import (
    CONFIGURATION_KIND,
    CRASH_KIND,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    HOST_KIND,
    ROLLOUT_KIND,
    EntryError,
    StoreClient,
    StoredEntry,
    decode_configuration,
    decode_crash_report,
    decode_endpoint,
    decode_host,
    decode_rollout,
)


@command("store", "IP:PORT", argument_counts=(1,))
async def show_store(context: OperatorContext, arguments: list[str]) -> Report:
    """Show versions, roll-outs, domains, hosts and refusals in the platform's store."""
    store = StoreClient(arguments[0])
    try:
        return await _report(store)
    except PlatformError as error:
        return Report(
            lines=[f"error: {error}"], exit_code=ExitCode.PLATFORM_UNAVAILABLE
        )
    finally:
        store.close()


async def _report(store: StoreClient) -> Report:
    lines: list[str] = []
    for entry in (await store.list(CONFIGURATION_KIND)).entries:
        lines.append(_text(entry, _configuration_line))
    endpoints = (await store.list(ENDPOINT_KIND)).entries
    counts: Counter[tuple[str, str, str, str]] = Counter()
    for entry in endpoints:
        try:
            found = decode_endpoint(entry)
        except EntryError as error:
            lines.append(f"error: {error}")
            continue
        counts[found.service, found.version, found.domain, str(found.state)] += 1
    rows = [[*key, count] for key, count in sorted(counts.items())]
    lines += table(["service", "version", "domain", "state", "endpoints"], rows)
    for entry in (await store.list(ROLLOUT_KIND)).entries:
        lines.append(_text(entry, _rollout_line))
    evacuated = [entry.name for entry in (await store.list(EVACUATION_KIND)).entries]
    lines.append(f"evacuated domains: {', '.join(sorted(evacuated)) or 'none'}")
    for entry in (await store.list(HOST_KIND)).entries:
        lines.append(_text(entry, _host_line))
    for entry in (await store.list(CRASH_KIND)).entries:
        lines.append(_text(entry, _crash_line))
    return Report(lines=lines, value={"endpoints": rows, "evacuated": evacuated})


def _text(entry: StoredEntry, describe: Callable[[StoredEntry], str]) -> str:
    try:
        return describe(entry)
    except EntryError as error:
        return f"error: {error}"


def _configuration_line(entry: StoredEntry) -> str:
    found = decode_configuration(entry)
    return (
        f"configuration {found.version} (revision {entry.revision}): "
        f"{len(found.routes)} routes, {len(found.customers)} customers"
    )


def _rollout_line(entry: StoredEntry) -> str:
    found = decode_rollout(entry)
    return (
        f"roll-out of {found.service} to {found.target_version}: {found.outcome}, "
        f"share {found.share:g}"
    )


def _host_line(entry: StoredEntry) -> str:
    found = decode_host(entry)
    return f"host {found.host_id} in {found.domain} at {found.peer_address}"


def _crash_line(entry: StoredEntry) -> str:
    found = decode_crash_report(entry)
    return f"refused {found.name}: {len(found.endpoint_ids)} endpoints crashed"
