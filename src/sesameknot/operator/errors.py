"""Errors of the operators' tool."""

from sesameknot.errors import PlatformError, RouterError


class UsageError(RouterError):
    """A command was called with the wrong arguments."""


class RefusedError(RouterError):
    """The present state does not allow the change; nothing was written."""


class OutcomeUnknownError(PlatformError):
    """A write may or may not have taken effect."""
