"""Events and actions of the gateway role."""

from dataclasses import dataclass

from .messages import Grant, LinkState, Release, SlotRefusal, SlotRequest


@dataclass(frozen=True, slots=True)
class SlotRequested:
    """Event: a request needs a slot."""

    slot_request: SlotRequest


@dataclass(frozen=True, slots=True)
class SlotRequestCancelled:
    """Event: a request no longer needs the slot that it requested."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SlotProgress:
    """Event: the upstream has produced more tokens for a request.

    :param produced_tokens: tokens since the dispatch.
    """

    request_id: str
    produced_tokens: int


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """Event: an upstream said in an answer that it is leaving."""

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamBusy:
    """Event: an upstream rejected a request and wants no other one for some time.

    :param retry_after_ms: time for which it wants no requests of this host.
    """

    upstream: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class UpstreamLimitRead:
    """Event: an answer told the limit of its upstream, or that it has none.

    :param requests_per_s: requests a second that it takes from all hosts together;
        negative if it has no limit.
    :param sent_ms: time at which the request was sent that it answered.
    """

    upstream: str
    requests_per_s: float
    sent_ms: int


@dataclass(frozen=True, slots=True)
class LinkChecked:
    """Event: this host found out about its own link to an upstream."""

    upstream: str
    state: LinkState


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """Event: this host is about to stop."""


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """Event: a request releases its slot."""

    release: Release


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """Event: the seed hosts in the settings have changed."""

    control_hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """Action: a slot was granted to a request.

    :param is_own: whether this host granted it by itself, without a leader.
    """

    grant: Grant
    is_own: bool


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """Action: a slot was refused to a request, which was not executed.

    :param is_own: whether this host refused it by itself, without a leader.
    """

    refusal: SlotRefusal
    is_own: bool
