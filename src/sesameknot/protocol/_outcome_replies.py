"""Generic answers."""

from dataclasses import dataclass

from sesameknot.protocol._message_registry import message


@message("done")
@dataclass(slots=True, kw_only=True)
class Done:
    """The message was taken."""

    detail: str = ""


@message("failure")
@dataclass(slots=True, kw_only=True)
class Failure:
    """The message could not be handled."""

    message: str = ""
    step: str = ""
