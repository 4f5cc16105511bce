"""Queue of slot requests that grants and refuses by the accounts' shares."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import islice

from ..queues import AccountQueue, FairQueue, QueuedSlotRequest
from .account_shares import AccountShares


class ShareQueue(FairQueue):
    """Queue in which the account furthest below its share is granted first.

    Retries that come at their announced time go before all others, in the order in
    which they come, and are refused last.

    :param get_weight: returns the weight of an account.
    :param shares: work and shares of the accounts.
    """

    def __init__(self, get_weight: Callable[[str], int], shares: AccountShares):
        super().__init__(get_weight)
        self._shares = shares
        self._retries: OrderedDict[str, QueuedSlotRequest] = OrderedDict()

    def add(self, queued: QueuedSlotRequest) -> None:
        """Queue a slot request."""
        super().add(queued)
        slot_request = queued.slot_request
        self._shares.waits(slot_request.client_account, queued.cost_tokens)
        if queued.is_scheduled_retry:
            self._retries[slot_request.request_id] = queued

    def discard(self, request_id: str) -> None:
        """Remove a slot request."""
        name = self._account_names[request_id]
        queued = self._accounts[name].members[request_id]
        self._shares.waits(name, -queued.cost_tokens)
        self._retries.pop(request_id, None)
        super().discard(request_id)

    def head(self) -> QueuedSlotRequest | None:
        """Return the slot request whose turn it is; it stays queued."""
        if self._retries:
            return next(iter(self._retries.values()))
        if not self._accounts:
            return None
        return self._accounts[min(self._accounts, key=self._shares.load)].head()

    def candidates(self, limit: int) -> Iterator[QueuedSlotRequest]:
        """Yield the slot request whose turn it is, then others to grant instead.

        :param limit: maximum number of others from each account.
        """
        head = self.head()
        if head is None:
            return
        yield head
        retries = tuple(islice(self._retries.values(), 1, limit))
        yield from retries
        tried = {head.slot_request.request_id}
        tried.update(retry.slot_request.request_id for retry in retries)
        for name in sorted(self._accounts, key=self._shares.load):
            account = self._accounts[name]
            yield from _untried(account, tried, limit)

    def share_ahead(self, name: str) -> float:
        """Return the share of the punctual demand that is granted before an account's.

        That is what lifts the others to the load that the account has with its own. An
        account above its share also waits for what arrives of others meanwhile.
        """
        if len(self) == self._late_count:
            return 1.0
        own = self._accounts.get(name)
        own_load = self._shares.load(name)
        if own is not None:
            own_load += own.punctual_load
        ahead = total = 0.0
        for other_name, other in self._accounts.items():
            load = other.punctual_load
            room = max(0.0, own_load - self._shares.load(other_name))
            ahead += min(load, room) * other.weight
            total += load * other.weight
        if not total:
            return 0.0
        if own is not None and self._shares.is_above(name):
            own_work = own.punctual_load * own.weight
            ahead = max(ahead, own_work / self._shares.share_ratio(name))
        return ahead / total

    def newest_late(self) -> QueuedSlotRequest | None:
        """Return the newest late slot request of the account furthest above its share.

        :return: None if it has none. Those of other accounts are granted before what
            makes this account wait.
        """
        if not self._late_count:
            return None
        found = self.victim()
        if found is None or found.is_scheduled_retry:
            return None
        return _newest_fresh(self._accounts[found.slot_request.client_account].late)

    def victim(self) -> QueuedSlotRequest | None:
        """Return the slot request to refuse, of the account furthest above its share.

        It is the account's newest. A scheduled retry is chosen only if nothing else
        waits.
        """
        newest = {
            name: _newest_fresh(account.members)
            for name, account in self._accounts.items()
        }
        name = self._furthest_above(newest)
        if name is None:
            return next(reversed(self._retries.values()), None)
        return newest[name]

    def _furthest_above(
        self, newest: dict[str, QueuedSlotRequest | None]
    ) -> str | None:
        """Return the account furthest above its share of those with a slot request."""
        names = [name for name, queued in newest.items() if queued is not None]
        return max(names, key=self._shares.claimed_load, default=None)


def _untried(
    account: AccountQueue, tried: set[str], limit: int
) -> Iterator[QueuedSlotRequest]:
    """Yield an account's next slot request, then the oldest others."""
    head = account.head()
    if head.slot_request.request_id not in tried:
        yield head
    for queued in tuple(islice(account.members.values(), limit)):
        if queued is not head and queued.slot_request.request_id not in tried:
            yield queued


def _newest_fresh(
    members: dict[str, QueuedSlotRequest],
) -> QueuedSlotRequest | None:
    """Return the newest slot request that is not a scheduled retry."""
    fresh = (
        queued for queued in reversed(members.values()) if not queued.is_scheduled_retry
    )
    return next(fresh, None)
