"""Plain forms of the rules that the scheduler computes at less cost."""

from contextlib import ExitStack, contextmanager
from unittest.mock import patch

from peridotfront.core import load_shedding
from peridotfront.core.headroom import OPEN_BACKLOG_SHARE, Headroom
from peridotfront.core.queues import FairQueue


def is_headroom_kept(headroom, upstream, predicted_prefix_tokens, slot_request):
    """Return whether a grant leaves headroom, by a look at each other upstream."""
    now_ms = headroom._now_ms
    capacity = upstream.capacity
    backlog_ms = capacity.backlog_ms(now_ms)
    prefill_ms = capacity.prefill_ms(
        slot_request.prompt_tokens - predicted_prefix_tokens
    )
    if backlog_ms + prefill_ms <= headroom._headroom_ms:
        return True
    if backlog_ms > 0:
        return False
    max_other_ms = headroom._headroom_ms * OPEN_BACKLOG_SHARE
    others = [other for other in headroom._upstreams if other is not upstream]
    return not others or any(
        not other.is_leaving and other.capacity.backlog_ms(now_ms) <= max_other_ms
        for other in others
    )


def find_lower_tier_slots(tier, upstreams):
    """Yield the slots of lower tiers, by a look at each slot."""
    for upstream in upstreams:
        if not upstream.is_leaving:
            slots = upstream.capacity.slots.values()
            yield from [slot for slot in slots if slot.slot_request.tier > tier]


def share_ahead(queue, name):
    """Return the share of the punctual demand before an account's, by all accounts."""
    tokens = {
        other: (account.queued_tokens - account.late_tokens) / account.weight
        for other, account in queue._accounts.items()
    }
    total_tokens = sum(tokens.values())
    if total_tokens <= 0:
        return 1.0
    own_tokens = tokens.get(name, 0.0)
    return sum(min(own_tokens, other) for other in tokens.values()) / total_tokens


RULES = (
    (Headroom, "is_kept", is_headroom_kept),
    (load_shedding, "lower_tier_slots", find_lower_tier_slots),
    (FairQueue, "share_ahead", share_ahead),
)


@contextmanager
def plain_rules(used):
    """Replace the rules by their plain forms.

    :param used: set to which the name of each plain rule is added that was asked.
    """
    with ExitStack() as stack:
        for owner, name, rule in RULES:
            stack.enter_context(patch.object(owner, name, _recorded(rule, used)))
        yield


def _recorded(rule, used):
    def ask(*arguments):
        used.add(rule.__name__)
        return rule(*arguments)

    return ask
