"""Simpler versions of grants, each without one of their rules.

The tests run them to show that the fault schedules detect a missing rule: without it
the endpoint runs more requests than it has slots.
"""

import math
from contextlib import AbstractContextManager
from unittest import mock

from sesameknot.coordination._endpoint_notices import EndpointNotices
from sesameknot.coordination._fallback_slots import FallbackSlots
from sesameknot.coordination._held_grant import HeldGrant
from sesameknot.coordination.grant_owner import GrantOwner
from sesameknot.state.grant_book import GrantBook


def holder_ignores_expiry() -> AbstractContextManager:
    """Let a holder send under an expired grant until it has a newer one."""
    in_flight_limit = HeldGrant.in_flight_limit

    def without_expiry(held, state, now_s, fallback_count):
        if held.seen_number:
            now_s = -math.inf
        return in_flight_limit(held, state, now_s, fallback_count)

    return mock.patch.object(HeldGrant, "in_flight_limit", without_expiry)


def successor_does_not_wait() -> AbstractContextManager:
    """Let a new owner grant without waiting for its predecessor's grants to expire."""
    take_over = GrantOwner._take_over

    def at_once(owner, endpoint_id):
        owned = take_over(owner, endpoint_id)
        owned.grants_from_s = owner._clock.monotonic_s()
        owned.book.unreported_count = 0
        return owned

    return mock.patch.object(GrantOwner, "_take_over", at_once)


def owner_ignores_staleness() -> AbstractContextManager:
    """Let an owner grant even if its roster may be outdated."""
    original_init = GrantOwner.__init__

    def never_stale(owner, *args, **options):
        original_init(owner, *args, **options | {"stale": lambda: False})

    return mock.patch.object(GrantOwner, "__init__", never_stale)


def expiry_frees_slots() -> AbstractContextManager:
    """Grant the slots of an expired grant again, as with a plain lease."""
    max_in_flight_count_of_others = GrantBook.max_in_flight_count_of_others

    def unexpired_only(book, key):
        now_s = book._clock.monotonic_s()
        for other, holder in book._holders.items():
            holder.grants = [g for g in holder.grants if g.expires_s > now_s]
            if other != key and not holder.grants:
                holder.in_flight_count = 0
        return max_in_flight_count_of_others(book, key)

    return mock.patch.object(GrantBook, "max_in_flight_count_of_others", unexpired_only)


def reports_replace_grants() -> AbstractContextManager:
    """Let a report replace grants that its sender had not received."""
    record_report = GrantBook.record_report

    def replace_all(book, report):
        if holder := book._holders.get(report.holder):
            holder.grants.clear()
            holder.seen_number = 0
        record_report(book, report)

    return mock.patch.object(GrantBook, "record_report", replace_all)


def unreported_requests_are_ignored() -> AbstractContextManager:
    """Let an owner count only requests that are reported to it."""

    def none_unreported(book, min_sampled_s):
        book.unreported_count = 0

    return mock.patch.object(GrantBook, "reset_unreported", none_unreported)


def polls_free_unexpired_grants() -> AbstractContextManager:
    """Let a poll lower the count of grants that have not expired."""
    record_poll = GrantBook.record_poll

    def at_any_time(book, running_count, sampled_s):
        record_poll(book, running_count, math.inf)

    return mock.patch.object(GrantBook, "record_poll", at_any_time)


def fallback_ignores_state_age() -> AbstractContextManager:
    """Let a router send without an owner, however old the endpoint's state is."""

    async def no_refresh(slots, endpoint_id):
        return

    return mock.patch.multiple(
        FallbackSlots, slot_count=lambda slots, endpoint_id: 1, refresh=no_refresh
    )


def outcomes_are_ignored() -> AbstractContextManager:
    """Infer no state from the outcomes of requests."""
    return mock.patch.object(EndpointNotices, "record_outcome")
