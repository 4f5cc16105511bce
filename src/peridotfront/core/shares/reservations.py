"""Retry times that reserve capacity for refused slot requests, by account."""

from collections import OrderedDict, deque

from ..messages import SlotRequest
from ..queues import QueuedSlotRequest
from ..retry_schedule import (
    EARLY_TOLERANCE_MS,
    MAX_SCHEDULED_RETRIES,
    RETENTION_MS,
    RetrySchedule,
)
from .account_shares import AccountShares

# The rest of an account's share is for its new requests.
MAX_RESERVED_SHARE = 0.5
# A caller is told at most a third of the time that it has left.
MAX_RETRY_AFTER_SHARE = 1 / 3

# A caller that returns at once finds the overload that it was refused for.
MIN_RETRY_MS = 100
# A retry that is granted later misses its goal, in place of one that meets it.
MAX_SHARE_OF_GOAL = 0.75

RetryKey = tuple[str, int, int]
Account = tuple[int, str, str]


class Reservations(RetrySchedule):
    """Schedule of retries in which each account has its own part of the capacity.

    A retry has a new request id. It is recognized by its account, tier and
    fingerprint. A refused slot request for which there is no capacity before its goal
    has no reservation. It is told the latest time, which the entry host cuts to a third
    of the time that the caller has left, and its retry counts as new work.

    :param shares: work and shares of the accounts.
    """

    def __init__(self, shares: AccountShares):
        super().__init__()
        self._shares = shares
        self._reserved_ms: OrderedDict[RetryKey, deque[int]] = OrderedDict()
        self._count = 0
        self._account_due_ms: dict[Account, float] = {}

    def __len__(self) -> int:
        return self._count

    def schedule_retry(
        self,
        queued: QueuedSlotRequest,
        *,
        now_ms: int,
        earliest_ms: float,
        interval_ms: float,
        latest_ms: float,
        takes_place: bool = True,
    ) -> int:
        """Reserve capacity for the retry of a refused slot request; return its time.

        :param earliest_ms: earliest time at which new work may be accepted. The retry
            need not wait for it, since it goes before new work.
        """
        slot_request = queued.slot_request
        name = slot_request.client_account
        account = (slot_request.tier, slot_request.model, name)
        share = self._shares.share_ratio(name) * MAX_RESERVED_SHARE
        last_due_ms = self._account_due_ms.get(account, 0.0)
        due_ms = max(now_ms + MIN_RETRY_MS, last_due_ms + interval_ms / share)
        if queued.is_scheduled_retry or due_ms > _latest_ms(queued, now_ms):
            return int(latest_ms)
        if takes_place:
            self._account_due_ms[account] = due_ms
            self._reserve(_key_of(slot_request), int(due_ms))
        return int(due_ms)

    def _reserve(self, key: RetryKey, due_ms: int) -> None:
        self._reserved_ms.setdefault(key, deque()).append(due_ms)
        self._reserved_ms.move_to_end(key)
        self._count += 1
        while self._count > MAX_SCHEDULED_RETRIES:
            _, lost = self._reserved_ms.popitem(last=False)
            self._count -= len(lost)

    def take_due(self, slot_request: SlotRequest, now_ms: int) -> bool:
        """Remove a reservation and return whether the retry arrived at its time."""
        key = _key_of(slot_request)
        reserved_ms = self._reserved_ms.get(key)
        if reserved_ms is None:
            return False
        while reserved_ms and reserved_ms[0] + RETENTION_MS <= now_ms:
            reserved_ms.popleft()
            self._count -= 1
        is_due = bool(reserved_ms) and reserved_ms[0] - EARLY_TOLERANCE_MS <= now_ms
        if is_due:
            reserved_ms.popleft()
            self._count -= 1
        if not reserved_ms:
            del self._reserved_ms[key]
        return is_due

    def expects_retries(self, queue: tuple[int, str], now_ms: int) -> bool:
        """Return False, since reservations leave room for new slot requests."""
        return False


def _latest_ms(queued: QueuedSlotRequest, now_ms: int) -> float:
    """Return the latest time at which a retry is worth a reservation."""
    latest_ms = now_ms + (queued.deadline_at_ms - now_ms) * MAX_RETRY_AFTER_SHARE
    goal_ms = queued.slot_request.goal_ms
    if goal_ms <= 0:
        return latest_ms
    return min(latest_ms, queued.since_ms + goal_ms * MAX_SHARE_OF_GOAL)


def _key_of(slot_request: SlotRequest) -> RetryKey:
    return slot_request.client_account, slot_request.tier, slot_request.fingerprint
