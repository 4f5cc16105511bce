"""Messages that release slots."""

from .messages import Grant, Release, ReleaseCause, SlotRequest

UNSENT_CAUSES = (
    ReleaseCause.NOT_SENT,
    ReleaseCause.UNREACHABLE,
    ReleaseCause.RELAY_UNREACHABLE,
)
DELIVERED_NOT_EXECUTED_CAUSES = (ReleaseCause.OTHER_UPSTREAM, ReleaseCause.REJECTED)
NOT_EXECUTED_CAUSES = (*UNSENT_CAUSES, *DELIVERED_NOT_EXECUTED_CAUSES)


def build_release(
    slot_request: SlotRequest,
    upstream: str,
    cause: ReleaseCause,
    *,
    produced_tokens: int = 0,
    first_token_ms: int = -1,
    duration_ms: int = 0,
    is_end_certain: bool = True,
    rejections_per_s: float = -1.0,
) -> Release:
    """Return the message that releases the slot of a slot request.

    :param first_token_ms: time from the send to the first event; -1 if there was none.
    :param is_end_certain: whether the answer's end was more than its connection's end.
    :param rejections_per_s: rejections that the upstream bears in a second; negative if
        it names no number.
    """
    return Release(
        request_id=slot_request.request_id,
        cell=slot_request.cell,
        upstream=upstream,
        cause=cause,
        prompt_tokens=slot_request.prompt_tokens,
        cached_tokens=0,
        produced_tokens=produced_tokens,
        first_token_ms=first_token_ms,
        duration_ms=duration_ms,
        is_end_certain=is_end_certain,
        rejections_per_s=rejections_per_s,
    )


def build_unsent_release(grant: Grant) -> Release:
    """Return the message that releases a slot for which no request was sent."""
    return Release(
        request_id=grant.request_id,
        cell=grant.cell,
        upstream=grant.upstream,
        cause=ReleaseCause.NOT_SENT,
        prompt_tokens=0,
        cached_tokens=0,
        produced_tokens=0,
        first_token_ms=-1,
        duration_ms=0,
    )
