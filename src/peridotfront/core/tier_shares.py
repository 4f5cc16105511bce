"""Share of the grants that each lower tier keeps.

It answers an overload by higher tiers alone, in which a kind of small requests of a lower
tier would get nothing, though it asks for little.
"""

from collections.abc import Iterable

LOWER_TIER_SHARE = 0.05
MAX_CREDIT_MS = 2000.0


class TierShares:
    """Credits of tiers, in milliseconds of one slot.

    A tier that waits while a higher one is granted slots gets a share of their time as
    credit, and goes first while it has any.
    """

    def __init__(self) -> None:
        self._credits_ms: dict[int, float] = {}

    def has_credit(self, tier: int) -> bool:
        """Return whether a tier goes before higher ones now."""
        return self._credits_ms.get(tier, 0.0) > 0

    def granted(self, tier: int, hold_ms: float, waiting: Iterable[int]) -> None:
        """Count a grant.

        :param hold_ms: time for which the slot is expected to be held.
        :param waiting: tiers with queued slot requests.
        """
        if self.has_credit(tier):
            credit_ms = self._credits_ms[tier] - hold_ms
            self._credits_ms[tier] = max(-MAX_CREDIT_MS, credit_ms)
        for other in waiting:
            if other > tier:
                credit_ms = self._credits_ms.get(other, 0.0)
                credit_ms += hold_ms * LOWER_TIER_SHARE
                self._credits_ms[other] = min(MAX_CREDIT_MS, credit_ms)
