"""Evidence that ends and answers give on the pace of an upstream."""

from ..messages import ReleaseCause, SlotRequest

MAX_EXPECTED_RATIO = 5.0
MAX_ANSWER_SHARE_OF_DEADLINE = 0.5
FAILED_CAUSES = (
    ReleaseCause.UPSTREAM_DIED,
    ReleaseCause.UPSTREAM_ERROR,
    ReleaseCause.UPSTREAM_TIMEOUT,
    ReleaseCause.UNREACHABLE,
    ReleaseCause.OTHER_UPSTREAM,
    ReleaseCause.REJECTED,
)


def max_answer_ms(slot_request: SlotRequest, expected_ms: float) -> int:
    """Return the time from the grant after which the begin of an answer is late.

    :param expected_ms: usual time of such requests at the service; 0 if unknown.
    """
    if slot_request.goal_ms > 0:
        return slot_request.goal_ms
    if expected_ms > 0:
        return int(expected_ms * MAX_EXPECTED_RATIO)
    return int(slot_request.deadline_ms * MAX_ANSWER_SHARE_OF_DEADLINE)
