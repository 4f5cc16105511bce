"""Events and actions of the role of a gateway."""

from dataclasses import dataclass

from .messages import Grant, Release, SlotRefusal, SlotRequest


@dataclass(frozen=True, slots=True)
class SlotRequested:
    """Event: a request needs a slot."""

    want: SlotRequest


@dataclass(frozen=True, slots=True)
class SlotRequestCancelled:
    """Event: a request no longer needs the slot that it asked for."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SlotProgress:
    """Event: a request got more of its answer.

    :param produced_tokens: since its start.
    """

    request_id: str
    produced_tokens: int


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """Event: a request gives its slot back."""

    release: Release


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """Event: changed settings name other control hosts."""

    control_hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """Action: a request has its slot.

    :param is_own: whether this host granted it to itself, without a leader.
    """

    grant: Grant
    is_own: bool


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """Action: a request gets no slot; it did not run.

    :param is_own: whether this host refused it by itself, without a leader.
    """

    refuse: SlotRefusal
    is_own: bool
