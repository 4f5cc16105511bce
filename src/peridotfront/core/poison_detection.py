"""Detection of requests that crash the upstreams that run them."""

from collections import OrderedDict
from collections.abc import Iterable

MAX_FINGERPRINTS = 10_000


class PoisonDetector:
    """Counter of strikes by the fingerprint of a request's body.

    Strikes come from deaths of this cell's upstreams and from the control group; the
    larger number counts. A suspect that completes is cleared.

    :param limit: number of strikes at which a request is refused.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._local_strikes: OrderedDict[int, int] = OrderedDict()
        self._reported_strikes: OrderedDict[int, int] = OrderedDict()

    def strikes(self, fingerprint: int) -> int:
        """Return the number of strikes against a fingerprint."""
        return max(
            self._local_strikes.get(fingerprint, 0),
            self._reported_strikes.get(fingerprint, 0),
        )

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request must not share an upstream with a suspect."""
        return self.strikes(fingerprint) > 0

    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request must be refused permanently."""
        return self.strikes(fingerprint) >= self.limit

    def set_reported_strikes(self, fingerprint: int, strikes: int) -> None:
        """Set the strikes that the control group reported; 0 clears the request."""
        _store(self._reported_strikes, fingerprint, strikes)
        if strikes == 0:
            self._local_strikes.pop(fingerprint, None)

    def upstream_died(self, fingerprints: Iterable[int]) -> None:
        """Add a strike to each suspect that ran there, or to all if none is suspect.

        :param fingerprints: requests that the upstream was executing when it died.
        """
        executed = set(fingerprints)
        suspects = {
            fingerprint for fingerprint in executed if self.is_suspect(fingerprint)
        }
        for fingerprint in suspects or executed:
            _store(self._local_strikes, fingerprint, self.strikes(fingerprint) + 1)

    def completed(self, fingerprint: int) -> None:
        """Clear the strikes of a request that completed."""
        self._local_strikes.pop(fingerprint, None)
        self._reported_strikes.pop(fingerprint, None)

    def __len__(self) -> int:
        return len(self._local_strikes.keys() | self._reported_strikes.keys())


def _store(counts: OrderedDict[int, int], fingerprint: int, strikes: int) -> None:
    if strikes == 0:
        counts.pop(fingerprint, None)
        return
    counts[fingerprint] = strikes
    counts.move_to_end(fingerprint)
    if len(counts) > MAX_FINGERPRINTS:
        counts.popitem(last=False)
