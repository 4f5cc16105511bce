"""Admission to the queues by goals.

It answers an overload that lasts. If all slot requests waited in the order of their
goals, each would be granted at the last moment, when its goal can't be met any more.
So only as many wait for their goals as can meet them. The others wait behind them, as
*late* ones, while they are expected to be served long before their deadlines.
"""

from collections.abc import Callable

from .drain_rate import DrainRate
from .placement import Upstream
from .queues import QueuedSlotRequest, TierQueues

# Who waits long in vain has lost the time to come back or to go elsewhere.
MAX_LATE_WAIT_SHARE = 0.5
# The rest of the time to a goal is for what the estimates miss.
MAX_PUNCTUAL_WAIT_SHARE = 0.8


class GoalAdmission:
    """Decisions which slot requests may meet their goals, and which wait too long.

    :param queues: queued slot requests.
    :param drain_rate: estimator of the queues' waiting times.
    :param candidates: returns the upstreams that serve a model.
    """

    def __init__(
        self,
        queues: TierQueues,
        drain_rate: DrainRate,
        candidates: Callable[[str], list[Upstream]],
    ):
        self._queues = queues
        self._drain_rate = drain_rate
        self._candidates = candidates

    def can_meet_goal(self, queued: QueuedSlotRequest, now_ms: int) -> bool:
        """Return whether a new slot request is expected to meet its goal."""
        if queued.goal_at_ms is None:
            return False
        slot_request = queued.slot_request
        tier, model = slot_request.tier, slot_request.model
        wait_ms = self._drain_rate.punctual_wait_ms(
            tier, model, self._candidates(model), now_ms
        )
        queue = self._queues.queue(tier, model)
        if queue is not None:
            wait_ms *= queue.share_ahead(slot_request.client_account)
        return wait_ms <= (queued.goal_at_ms - now_ms) * MAX_PUNCTUAL_WAIT_SHARE

    def find_excess(
        self, tier: int, model: str, now_ms: int
    ) -> tuple[QueuedSlotRequest, float] | None:
        """Return a late slot request that waits too long, and for how much too long.

        The excess is in milliseconds. Late requests of the account with the most
        queued work are chosen first, and the newest of them.
        """
        queue = self._queues.queue(tier, model)
        late = queue.newest_late()
        if late is None:
            return None
        wait_ms = self._drain_rate.late_wait_ms(
            tier, model, self._candidates(model), now_ms
        )
        max_wait_ms = (late.deadline_at_ms - now_ms) * MAX_LATE_WAIT_SHARE
        return (late, wait_ms - max_wait_ms) if wait_ms > max_wait_ms else None
