"""Requests under suspicion of crashing the upstreams that run them."""

from collections import OrderedDict
from collections.abc import Iterable

MAX_FINGERPRINTS = 10_000


class PoisonDetector:
    """Counts strikes by the fingerprint of the request's body.

    Strikes come from deaths seen in this cell and from the control group; the
    larger number counts. A suspect that completes is cleared.

    :param limit: a request with that many strikes is refused.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._seen: OrderedDict[int, int] = OrderedDict()
        self._told: OrderedDict[int, int] = OrderedDict()

    def strikes(self, fingerprint: int) -> int:
        """Return the strikes against a fingerprint."""
        return max(self._seen.get(fingerprint, 0), self._told.get(fingerprint, 0))

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request must not share an upstream with a suspect."""
        return self.strikes(fingerprint) > 0

    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request is to be refused for good."""
        return self.strikes(fingerprint) >= self.limit

    def tell(self, fingerprint: int, strikes: int) -> None:
        """Take in the strikes that the control group counts."""
        _store(self._told, fingerprint, strikes)
        if strikes == 0:
            self._seen.pop(fingerprint, None)

    def upstream_died(self, fingerprints: Iterable[int]) -> None:
        """Add a strike to the suspects that ran there, or to all without one."""
        ran = set(fingerprints)
        suspects = {one for one in ran if self.is_suspect(one)}
        for fingerprint in suspects or ran:
            _store(self._seen, fingerprint, self.strikes(fingerprint) + 1)

    def completed(self, fingerprint: int) -> None:
        """Clear a request that ran to its end."""
        self._seen.pop(fingerprint, None)
        self._told.pop(fingerprint, None)

    def __len__(self) -> int:
        return len(self._seen.keys() | self._told.keys())


def _store(book: OrderedDict[int, int], fingerprint: int, strikes: int) -> None:
    if strikes == 0:
        book.pop(fingerprint, None)
        return
    book[fingerprint] = strikes
    book.move_to_end(fingerprint)
    if len(book) > MAX_FINGERPRINTS:
        book.popitem(last=False)
