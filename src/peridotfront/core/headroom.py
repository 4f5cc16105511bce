"""Headroom that requests of lower tiers leave for those of the highest tier."""

from itertools import islice
from typing import Any

from .fleet import Policy
from .messages import SlotRequest

OPEN_BACKLOG_SHARE = 0.5
# The upstream of a choice is open itself.
OPEN_UPSTREAMS = 2


class Headroom:
    """Headroom of a model's upstreams, as of one placement.

    A prompt that keeps an upstream busy for long may begin only while another upstream
    is open to the highest tier. The upstreams are searched for these at most once.

    :param policy: active parameters of the policy.
    :param upstreams: upstreams among which one is chosen.
    """

    def __init__(self, policy: Policy, upstreams: list[Any], now_ms: int):
        self._headroom_ms = policy.headroom_ms
        self._upstreams = upstreams
        self._now_ms = now_ms
        self._has_open_others: bool | None = None

    def is_kept(
        self, upstream: Any, predicted_prefix_tokens: int, slot_request: SlotRequest
    ) -> bool:
        """Return whether a grant at an engine leaves enough headroom.

        :param predicted_prefix_tokens: prompt tokens that its cache is expected to
            hold.
        """
        capacity = upstream.capacity
        backlog_ms = capacity.backlog_ms(self._now_ms)
        prefill_ms = capacity.prefill_ms(
            slot_request.prompt_tokens - predicted_prefix_tokens
        )
        if backlog_ms + prefill_ms <= self._headroom_ms:
            return True
        if backlog_ms > 0:
            return False
        if self._has_open_others is None:
            self._has_open_others = self._find_open_others()
        return self._has_open_others

    def _find_open_others(self) -> bool:
        """Return whether upstreams are open beside any one that is idle."""
        if len(self._upstreams) == 1:
            return True
        max_backlog_ms = self._headroom_ms * OPEN_BACKLOG_SHARE
        found = (
            upstream
            for upstream in self._upstreams
            if not upstream.is_leaving
            and upstream.capacity.backlog_ms(self._now_ms) <= max_backlog_ms
        )
        return len(tuple(islice(found, OPEN_UPSTREAMS))) == OPEN_UPSTREAMS
