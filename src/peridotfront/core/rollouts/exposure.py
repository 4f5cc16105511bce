"""Limit on the requests that an unproven software version may get.

It is counted in requests, over all hosts together, against all requests of the service
since the order. Retries, resumed streams and second sends count too.
"""

from dataclasses import dataclass

# Requests that hosts send without the leader's knowledge, and grants in flight, use
# the rest.
USED_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Limits on what a bad version may do, for all hosts together.

    :param share: share of the requests of a service that an unproven version may get;
        0 if there are no rollouts.
    :param slack: requests beyond that share.
    """

    share: float = 0.0
    slack: float = 0.0


class Exposure:
    """Counter of the requests of one rollout.

    :param limits: limits on an unproven version.
    :param requests: requests of the service since the order.
    :param exposed: those among them that the new version got.
    :param is_complete: whether the counts are those since the order. If not, the slack
        counts as used.
    """

    def __init__(
        self,
        limits: RolloutLimits,
        requests: int = 0,
        exposed: int = 0,
        *,
        is_complete: bool = True,
    ):
        self.requests = requests
        self.exposed = exposed
        self._share = limits.share * USED_SHARE
        self._slack = limits.slack * USED_SHARE if is_complete else 0.0

    def count(self, is_new_version: bool) -> None:
        """Count a request that is sent."""
        self.requests += 1
        self.exposed += is_new_version

    def available(self, usable: float) -> int:
        """Return how many more requests the unproven version may get now.

        :param usable: part of the limit that may be used now, from 0 to 1.
        """
        limit = (self._share * self.requests + self._slack) * usable
        return max(0, int(limit) - self.exposed)
