"""Sinks that apply the store's objects to the fleet view, one for each kind."""

from collections.abc import Callable, Sequence
from dataclasses import replace as replace_fields

import structlog

from sesameknot.coordination.store_follower import ObjectSink
from sesameknot.platform import (
    CONFIGURATION_KIND,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    ROLLOUT_KIND,
    EntryError,
    StoredEntry,
    decode_configuration,
    decode_endpoint,
    decode_rollout,
)
from sesameknot.protocol.fleet_records import EndpointEntry
from sesameknot.registry import Registry
from sesameknot.state.fleet_view import FleetView

log = structlog.get_logger(__name__)

SinkFactory = Callable[[FleetView], ObjectSink]
SINKS: Registry[SinkFactory] = Registry("object sink")


@SINKS.register(CONFIGURATION_KIND)
def configuration_sink(view: FleetView) -> ObjectSink:
    """Return the sink that applies configurations."""

    def apply(entries: Sequence[StoredEntry]) -> None:
        for entry in entries:
            if entry.deleted:
                continue
            try:
                configuration = decode_configuration(entry)
            except EntryError as error:
                _log_rejected(error)
                continue
            if view.set_configuration(configuration):
                log.info(
                    "configuration_applied",
                    version=configuration.version,
                    revision=entry.revision,
                    routes=len(configuration.routes),
                )

    return ObjectSink(replace=apply, change=apply)


@SINKS.register(ENDPOINT_KIND)
def endpoint_sink(view: FleetView) -> ObjectSink:
    """Return the sink that updates the endpoints."""

    def replace(entries: Sequence[StoredEntry]) -> None:
        view.replace_endpoints(
            endpoint
            for entry in entries
            if not entry.deleted and (endpoint := _decoded_endpoint(entry)) is not None
        )
        log.info("endpoints_listed", count=len(view.endpoints))

    def change(entries: Sequence[StoredEntry]) -> None:
        for entry in entries:
            endpoint = None if entry.deleted else _decoded_endpoint(entry)
            may_have_expired = False
            if endpoint is None:
                may_have_expired = view.remove_endpoint(entry.name)
            else:
                view.put_endpoint(endpoint)
            log.info(
                "endpoint_changed",
                endpoint=entry.name,
                revision=entry.revision,
                state=str(endpoint.state) if endpoint else "gone",
                may_have_expired=may_have_expired,
                cold_s=endpoint.cold_remaining_s if endpoint else None,
                started_ms=endpoint.started_ms if endpoint else None,
                version=endpoint.version if endpoint else None,
            )

    return ObjectSink(replace=replace, change=change)


def _decoded_endpoint(entry: StoredEntry) -> EndpointEntry | None:
    try:
        return decode_endpoint(entry)
    except EntryError as error:
        _log_rejected(error)
        return None


@SINKS.register(EVACUATION_KIND)
def evacuation_sink(view: FleetView) -> ObjectSink:
    """Return the sink that updates the evacuated failure domains."""

    def replace(entries: Sequence[StoredEntry]) -> None:
        listed = {entry.name for entry in entries if not entry.deleted}
        if view.restored_recently:
            view.unlisted_domains = view.evacuated_domains - listed
        apply(listed | view.unlisted_domains)

    def change(entries: Sequence[StoredEntry]) -> None:
        domains = set(view.evacuated_domains)
        for entry in entries:
            view.unlisted_domains.discard(entry.name)
            if entry.deleted:
                domains.discard(entry.name)
            else:
                domains.add(entry.name)
        apply(domains)

    def apply(domains: set[str]) -> None:
        if domains != view.evacuated_domains:
            log.info("evacuations_changed", domains=sorted(domains))
        view.set_evacuated(domains)

    return ObjectSink(replace=replace, change=change)


@SINKS.register(ROLLOUT_KIND)
def rollout_sink(view: FleetView) -> ObjectSink:
    """Return the sink that updates the roll-out orders."""

    def replace(entries: Sequence[StoredEntry]) -> None:
        listed = {entry.name for entry in entries if not entry.deleted}
        unlisted = set(view.rollouts) - listed
        if view.restored_recently:
            view.unlisted_rollouts = unlisted
        for service in unlisted - view.unlisted_rollouts:
            del view.rollouts[service]
        change(entries)
        view.rollouts_listed = True

    def change(entries: Sequence[StoredEntry]) -> None:
        for entry in entries:
            view.unlisted_rollouts.discard(entry.name)
            if entry.deleted:
                view.rollouts.pop(entry.name, None)
                log.info("rollout_removed", service=entry.name)
                continue
            try:
                order = decode_rollout(entry)
            except EntryError as error:
                _log_rejected(error)
                continue
            known = view.rollouts.get(order.service)
            view.unsaved_rollouts.discard(order.service)
            if (
                view.restored_recently
                and known is not None
                and known.is_ahead_of(order)
            ):
                order = replace_fields(known, revision=order.revision)
                view.unsaved_rollouts.add(order.service)
            view.rollouts[order.service] = order
            log.info(
                "rollout_changed",
                service=order.service,
                target=order.target_version,
                outcome=str(order.outcome),
                share=order.share,
                revision=order.revision,
                unsaved=order.service in view.unsaved_rollouts,
            )

    return ObjectSink(replace=replace, change=change)


def _log_rejected(error: EntryError) -> None:
    log.warning("entry_rejected", entry=error.peer, reason=error.message)
