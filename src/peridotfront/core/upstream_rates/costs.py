"""Cost of a placement, from the speeds of upstreams and the load of a service."""

from enum import Enum, auto
from typing import Any

from .loads import FULL_LOAD_SHARE, ServiceLoads

# A first token that misses its goal is worth little, however late it is.
LATE_COST_MS = 400.0
LATE_WEIGHT = 3.0
# Share of the hold time that the caller notices while its answer runs.
HOLD_WEIGHT = 0.05
# Cost of a slot of usual speed when none is free; a faster one costs more.
SLOT_COST_MS = 60.0
MAX_SPEED_RATIO = 4.0
# Equal upstreams differ by the load that they have, which must be spread.
EQUAL_SPEED_RATIO = 2.0
MAX_GOAL_WAIT_SHARE = 0.5
# Longer waits behind local requests made some miss their goals in an overload.
MAX_ORDER_WAIT_SHARE = 0.125
# Prompts and answers take about so many bytes a token, with their framing.
PROMPT_TOKEN_BYTES = 4
OUTPUT_TOKEN_BYTES = 30
REMOTE_DELAY_MS = 15.0
# Wait that a byte between data centres is worth.
REMOTE_BYTE_MS = 0.004
ROOM_COST_MS = 150.0
MAX_LOCAL_WAIT_MS = 100.0


class Wait(Enum):
    """Whether a request waits rather than takes the best upstream.

    ``IF_WANTED`` leaves the upstream to other requests, but not idle.
    """

    NO = auto()
    YES = auto()
    IF_WANTED = auto()


class PlacementCosts:
    """Costs of the placements of a service's requests.

    :param loads: load of the service's upstreams.
    """

    def __init__(self, loads: ServiceLoads):
        self._loads = loads

    def cost_ms(
        self, capacity: Any, queued: Any, first_token_ms: float, now_ms: int
    ) -> float:
        """Return the cost of a placement, without that of the link.

        :param capacity: capacity of the upstream.
        :param queued: queued slot request.
        :param first_token_ms: expected time to the first token there.
        """
        hold_ms = first_token_ms + queued.slot_request.output_tokens * capacity.gap_ms
        cost_ms = first_token_ms + hold_ms * HOLD_WEIGHT + self._slot_cost_ms(capacity)
        end_ms = _goal_end_ms(queued)
        if end_ms is None:
            return cost_ms
        late_ms = now_ms + first_token_ms - end_ms
        if late_ms > 0:
            cost_ms += LATE_COST_MS + late_ms * LATE_WEIGHT
        return cost_ms

    def _slot_cost_ms(self, capacity: Any) -> float:
        """Return the cost of the work that the slot could do for others."""
        scarcity = self._loads.scarcity
        if not scarcity:
            return 0.0
        ratio = self._loads.usual_step_ms / capacity.speed.step_ms(FULL_LOAD_SHARE)
        if 1 / EQUAL_SPEED_RATIO < ratio < EQUAL_SPEED_RATIO:
            ratio = 1.0
        return SLOT_COST_MS * scarcity * min(MAX_SPEED_RATIO, ratio)

    def remote_cost_ms(self, queued: Any) -> float:
        """Return the cost of a placement in another data centre."""
        cost_ms = _link_cost_ms(queued)
        if self._loads.has_room(queued.data_centre):
            cost_ms += ROOM_COST_MS
        return cost_ms

    def wait(
        self, queued: Any, first_token_ms: float, data_centre: str, now_ms: int
    ) -> Wait:
        """Return whether a request waits rather than takes the best upstream.

        It waits for a bounded time, and only if it may be in time afterwards.

        :param first_token_ms: expected time to the first token at that upstream.
        :param data_centre: data centre of that upstream.
        """
        end_ms = _goal_end_ms(queued)
        if end_ms is None:
            return Wait.NO
        waited_ms = now_ms - queued.since_ms
        is_late = now_ms + first_token_ms > end_ms
        max_wait_ms = queued.slot_request.goal_ms * MAX_GOAL_WAIT_SHARE
        if not is_late:
            local_ms = self._max_local_wait_ms(queued, data_centre)
            max_wait_ms = min(max_wait_ms, local_ms)
        if waited_ms >= max_wait_ms or not self._is_in_time_later(
            queued, end_ms, now_ms
        ):
            return Wait.NO
        if is_late or self._loads.has_room(data_centre):
            return Wait.YES
        return Wait.IF_WANTED

    def _max_local_wait_ms(self, queued: Any, data_centre: str) -> float:
        """Return the longest wait for a local slot that the bytes are worth.

        Work moves at once only from a data centre without room to one with room:
        between two that are full, it would displace the other's own.
        """
        if queued.data_centre in ("", data_centre):
            return 0.0
        loads = self._loads
        if not loads.has_room(data_centre):
            # The wait costs no capacity, since others take the slot.
            return queued.slot_request.goal_ms * MAX_ORDER_WAIT_SHARE
        if not loads.has_room(queued.data_centre):
            return 0.0
        return min(MAX_LOCAL_WAIT_MS, _link_cost_ms(queued))

    def _is_in_time_later(self, queued: Any, end_ms: int, now_ms: int) -> bool:
        """Return whether a fast upstream would be in time once it has a free slot."""
        loads = self._loads
        prefill_ms = queued.slot_request.prompt_tokens * loads.min_prompt_token_ms
        return now_ms + loads.slot_wait_ms + prefill_ms <= end_ms


def _goal_end_ms(queued: Any) -> int | None:
    """Return the time by which the first token should be there."""
    goal_ms = queued.slot_request.goal_ms
    return queued.since_ms + goal_ms if goal_ms > 0 else None


def _link_cost_ms(queued: Any) -> float:
    """Return the wait that the bytes between data centres are worth."""
    slot_request = queued.slot_request
    prompt_bytes = slot_request.prompt_tokens * PROMPT_TOKEN_BYTES
    answer_bytes = slot_request.output_tokens * OUTPUT_TOKEN_BYTES
    return REMOTE_DELAY_MS + (prompt_bytes + answer_bytes) * REMOTE_BYTE_MS
