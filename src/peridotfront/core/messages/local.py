"""Messages between the entry hosts of a data centre that is cut off."""

from dataclasses import dataclass

from .control import ClaimReply, ClaimRequest, OutcomeReport


@dataclass(frozen=True, slots=True)
class LocalClaimRequest:
    """Asks the first registrar of a key for a local claim.

    :param attempt: as the caller counts; above 1 it repeats an earlier request.
    """

    request: ClaimRequest
    attempt: int


@dataclass(frozen=True, slots=True)
class LocalClaimReply:
    """Answers a :class:`LocalClaimRequest`."""

    reply: ClaimReply


@dataclass(frozen=True, slots=True)
class LocalClaimCopy:
    """Brings a local claim to the second registrar before it is granted."""

    request: ClaimRequest


@dataclass(frozen=True, slots=True)
class LocalClaimCopied:
    """Answers a :class:`LocalClaimCopy` with what stands at the second registrar."""

    reply: ClaimReply


@dataclass(frozen=True, slots=True)
class LocalOutcome:
    """Tells both registrars of a key how its request ended."""

    report: OutcomeReport


LOCAL_MESSAGES = (
    LocalClaimRequest,
    LocalClaimReply,
    LocalClaimCopy,
    LocalClaimCopied,
    LocalOutcome,
)
