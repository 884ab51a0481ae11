"""Replies that carry only the outcome of a call."""

from dataclasses import dataclass

from sesameknot.protocol._message_registry import message


@message("done")
@dataclass(slots=True, kw_only=True)
class Done:
    """The message was handled."""

    detail: str = ""


@message("failure")
@dataclass(slots=True, kw_only=True)
class Failure:
    """The message could not be handled; ``step`` names where it failed."""

    message: str = ""
    step: str = ""
