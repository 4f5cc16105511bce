"""Queues of slot requests by tier and model.

Each queue is fair among accounts; those of one account are ordered by goal or deadline.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice

from .messages import SlotRequest

INITIAL_QUANTUM_TOKENS = 64.0
QUANTUM_GAIN = 0.05


@dataclass(frozen=True, slots=True)
class Demand:
    """Total demand of a number of slot requests, or the rate of demand per ms."""

    slot_requests: float
    prompt_tokens: float
    output_tokens: float


@dataclass(slots=True)
class QueuedSlotRequest:
    """Slot request that waits in a queue.

    :param host: entry host that sent it and gets the grant or refusal.
    :param since_ms: time at which it was received.
    :param deadline_at_ms: time by which its answer must begin.
    :param is_scheduled_retry: whether it is a retry that arrived at its announced time.
    :param data_centre: data centre of the host; empty if it is not known.
    :param goal_at_ms: time by which it should be granted to meet its goal; None if it
        is late, or has no goal.
    :param output_weight: number of prompt tokens that an output token counts for.
    """

    slot_request: SlotRequest
    host: str
    since_ms: int
    deadline_at_ms: int
    is_scheduled_retry: bool = False
    goal_at_ms: int | None = None
    data_centre: str = ""
    output_weight: int = 1

    @property
    def order_ms(self) -> int:
        """Return the time that orders the slot requests of an account.

        It is the goal, or the deadline if the goal is missed or not given; for a
        scheduled retry it is the time at which it was received.
        """
        if self.is_scheduled_retry:
            return self.since_ms
        return self.deadline_at_ms if self.goal_at_ms is None else self.goal_at_ms

    @property
    def cost_tokens(self) -> int:
        """Return the tokens that count against the account's share."""
        output_tokens = self.slot_request.output_tokens * self.output_weight
        return max(1, self.slot_request.prompt_tokens + output_tokens)


@dataclass(slots=True)
class AccountQueue:
    """Queue of one account's slot requests, ordered by ``order_ms``."""

    weight: int
    deficit_tokens: float = 0.0
    queued_tokens: int = 0
    late_tokens: int = 0
    members: dict[str, QueuedSlotRequest] = field(default_factory=dict)
    late: dict[str, QueuedSlotRequest] = field(default_factory=dict)
    order_heap: list[tuple[int, int, str]] = field(default_factory=list)

    @property
    def load(self) -> float:
        """Return the queued tokens per unit of weight."""
        return self.queued_tokens / self.weight

    @property
    def punctual_load(self) -> float:
        """Return the queued tokens that can meet their goals per unit of weight."""
        return (self.queued_tokens - self.late_tokens) / self.weight

    def add(self, queued: QueuedSlotRequest, sequence: int) -> None:
        """Add a slot request; the sequence number keeps equal times in order."""
        request_id = queued.slot_request.request_id
        self.members[request_id] = queued
        self.queued_tokens += queued.cost_tokens
        if queued.goal_at_ms is None:
            self._add_late(queued)
        heappush(self.order_heap, (queued.order_ms, sequence, request_id))

    def requeue_late(self, queued: QueuedSlotRequest, sequence: int) -> None:
        """Reorder a slot request that can't meet its goal any more."""
        queued.goal_at_ms = None
        self._add_late(queued)
        heappush(
            self.order_heap, (queued.order_ms, sequence, queued.slot_request.request_id)
        )

    def discard(self, request_id: str) -> None:
        """Remove a slot request."""
        queued = self.members.pop(request_id)
        self.queued_tokens -= queued.cost_tokens
        if self.late.pop(request_id, None) is not None:
            self.late_tokens -= queued.cost_tokens

    def _add_late(self, queued: QueuedSlotRequest) -> None:
        self.late[queued.slot_request.request_id] = queued
        self.late_tokens += queued.cost_tokens

    def head(self) -> QueuedSlotRequest:
        """Return the slot request with the earliest ``order_ms``; it stays queued."""
        while True:
            order_ms, _, request_id = self.order_heap[0]
            queued = self.members.get(request_id)
            if queued is not None and queued.order_ms == order_ms:
                return queued
            heappop(self.order_heap)

    def newest(self) -> QueuedSlotRequest:
        """Return the newest slot request, preferably not a scheduled retry."""
        fresh = (
            queued
            for queued in reversed(self.members.values())
            if not queued.is_scheduled_retry
        )
        return next(fresh, None) or self.members[next(reversed(self.members))]


class FairQueue:
    """Queue of slot requests, fair among accounts by deficit round robin on tokens.

    :param get_weight: returns the weight of an account.
    """

    def __init__(self, get_weight: Callable[[str], int]):
        self._get_weight = get_weight
        self._accounts: OrderedDict[str, AccountQueue] = OrderedDict()
        self._account_names: dict[str, str] = {}
        self._load_heap: list[tuple[float, str]] = []
        self._deadline_heap: list[tuple[int, int, str]] = []
        self._goal_heap: list[tuple[int, str]] = []
        self._quantum_tokens = INITIAL_QUANTUM_TOKENS
        self._sequence = 0
        self.prefill_tokens = 0
        self.output_tokens = 0
        self._late_count = 0
        self._late_prefill_tokens = 0
        self._late_output_tokens = 0

    def __len__(self) -> int:
        return len(self._account_names)

    def __iter__(self) -> Iterator[QueuedSlotRequest]:
        for account in self._accounts.values():
            yield from account.members.values()

    @property
    def accounts(self) -> int:
        """Return the number of accounts with a queued slot request."""
        return len(self._accounts)

    def add(self, queued: QueuedSlotRequest) -> None:
        """Queue a slot request."""
        slot_request = queued.slot_request
        account = self._accounts.get(slot_request.client_account)
        if account is None:
            weight = max(1, self._get_weight(slot_request.client_account))
            account = AccountQueue(weight, float(queued.cost_tokens))
            self._accounts[slot_request.client_account] = account
        self._sequence += 1
        account.add(queued, self._sequence)
        self._account_names[slot_request.request_id] = slot_request.client_account
        excess_tokens = queued.cost_tokens - self._quantum_tokens
        self._quantum_tokens += excess_tokens * QUANTUM_GAIN
        self.prefill_tokens += slot_request.prompt_tokens
        self.output_tokens += slot_request.output_tokens
        if queued.goal_at_ms is None:
            self._count_late(slot_request, 1)
        heappush(self._load_heap, (-account.load, slot_request.client_account))
        entry = (queued.deadline_at_ms, self._sequence, slot_request.request_id)
        heappush(self._deadline_heap, entry)
        if queued.goal_at_ms is not None:
            heappush(self._goal_heap, (queued.goal_at_ms, slot_request.request_id))

    def demote_missed_goals(self, now_ms: int) -> None:
        """Move slot requests that missed their goal behind those that can meet it."""
        while self._goal_heap and self._goal_heap[0][0] <= now_ms:
            _, request_id = heappop(self._goal_heap)
            name = self._account_names.get(request_id)
            if name is None:
                continue
            account = self._accounts[name]
            queued = account.members[request_id]
            if queued.goal_at_ms is None:
                continue
            self._sequence += 1
            account.requeue_late(queued, self._sequence)
            self._count_late(queued.slot_request, 1)

    def discard(self, request_id: str) -> None:
        """Remove a slot request without a charge to its account."""
        name = self._account_names.pop(request_id)
        account = self._accounts[name]
        slot_request = account.members[request_id].slot_request
        if request_id in account.late:
            self._count_late(slot_request, -1)
        self.prefill_tokens -= slot_request.prompt_tokens
        self.output_tokens -= slot_request.output_tokens
        account.discard(request_id)
        if not account.members:
            del self._accounts[name]

    @property
    def demand(self) -> Demand:
        """Return the demand of all slot requests."""
        return Demand(len(self), self.prefill_tokens, self.output_tokens)

    @property
    def punctual_demand(self) -> Demand:
        """Return the demand of the slot requests that can meet their goals."""
        return Demand(
            len(self) - self._late_count,
            self.prefill_tokens - self._late_prefill_tokens,
            self.output_tokens - self._late_output_tokens,
        )

    def share_ahead(self, name: str) -> float:
        """Return the share of the punctual demand that is granted before an account's.

        All accounts get their turns, so one with little queued does not wait for all.
        """
        if len(self) == self._late_count:
            return 1.0
        own = self._accounts.get(name)
        if own is None or own.punctual_load == 0:
            return 0.0
        own_load = own.punctual_load
        loads = [account.punctual_load for account in self._accounts.values()]
        return sum(min(own_load, load) for load in loads) / sum(loads)

    def newest_late(self) -> QueuedSlotRequest | None:
        """Return the newest late slot request of the account with the highest load."""
        if self._late_count == 0:
            return None
        accounts = [account for account in self._accounts.values() if account.late]
        account = max(accounts, key=lambda account: account.load)
        return account.late[next(reversed(account.late))]

    def _count_late(self, slot_request: SlotRequest, count: int) -> None:
        self._late_count += count
        self._late_prefill_tokens += count * slot_request.prompt_tokens
        self._late_output_tokens += count * slot_request.output_tokens

    def head(self) -> QueuedSlotRequest | None:
        """Return the slot request whose turn it is; it stays queued."""
        while self._accounts:
            name, account = next(iter(self._accounts.items()))
            queued = account.head()
            if queued.cost_tokens <= account.deficit_tokens:
                return queued
            account.deficit_tokens += self._quantum_tokens * account.weight
            self._accounts.move_to_end(name)
        return None

    def candidates(self, limit: int) -> Iterator[QueuedSlotRequest]:
        """Yield the slot request whose turn it is, then others to grant instead.

        :param limit: maximum number of others from each account.
        """
        head = self.head()
        if head is None:
            return
        yield head
        for account in tuple(self._accounts.values()):
            for queued in tuple(islice(account.members.values(), limit)):
                if queued is not head:
                    yield queued

    def take(self, queued: QueuedSlotRequest) -> None:
        """Remove a slot request that was granted and charge its account."""
        account = self._accounts[queued.slot_request.client_account]
        account.deficit_tokens -= queued.cost_tokens
        self.discard(queued.slot_request.request_id)

    def most_urgent(self) -> QueuedSlotRequest | None:
        """Return the slot request with the earliest deadline of all accounts."""
        while self._deadline_heap:
            deadline_ms, _, request_id = self._deadline_heap[0]
            name = self._account_names.get(request_id)
            if name is not None:
                queued = self._accounts[name].members[request_id]
                if queued.deadline_at_ms == deadline_ms:
                    return queued
            heappop(self._deadline_heap)
        return None

    def victim(self) -> QueuedSlotRequest | None:
        """Return the newest slot request of the account with the highest load."""
        while self._load_heap:
            load, name = self._load_heap[0]
            account = self._accounts.get(name)
            if account is not None and -load == account.load:
                return account.newest()
            heappop(self._load_heap)
            if account is not None:
                heappush(self._load_heap, (-account.load, name))
        return None


class TierQueues:
    """Fair queues by tier and model.

    :param get_weight: returns the weight of an account.
    :param build_queue: returns an empty queue; by default a :class:`FairQueue`.
    """

    def __init__(
        self,
        get_weight: Callable[[str], int],
        build_queue: Callable[[], FairQueue] | None = None,
    ):
        self._build_queue = build_queue or (lambda: FairQueue(get_weight))
        self._queues: dict[int, dict[str, FairQueue]] = {}
        self._slot_requests: dict[str, QueuedSlotRequest] = {}

    def __len__(self) -> int:
        return len(self._slot_requests)

    def __iter__(self) -> Iterator[QueuedSlotRequest]:
        yield from tuple(self._slot_requests.values())

    def get(self, request_id: str) -> QueuedSlotRequest | None:
        """Return the queued slot request of a request id, if there is one."""
        return self._slot_requests.get(request_id)

    def add(self, queued: QueuedSlotRequest) -> None:
        """Queue a slot request."""
        slot_request = queued.slot_request
        queue = self._queue(slot_request.tier, slot_request.model)
        queue.add(queued)
        self._slot_requests[slot_request.request_id] = queued

    def take(self, queued: QueuedSlotRequest) -> None:
        """Remove a slot request that was granted."""
        self._queue(queued.slot_request.tier, queued.slot_request.model).take(queued)
        del self._slot_requests[queued.slot_request.request_id]

    def discard(self, queued: QueuedSlotRequest) -> None:
        """Remove a slot request that was refused or cancelled."""
        slot_request = queued.slot_request
        self._queue(slot_request.tier, slot_request.model).discard(
            slot_request.request_id
        )
        del self._slot_requests[slot_request.request_id]

    def tiers(self) -> list[int]:
        """Return the tiers with a queued slot request, highest first."""
        return sorted(
            tier
            for tier, models in self._queues.items()
            if any(len(queue) for queue in models.values())
        )

    def models(self, tier: int) -> list[tuple[str, FairQueue]]:
        """Return the models with a queued slot request of a tier, and their queues."""
        models = self._queues.get(tier, {})
        return [(model, queue) for model, queue in models.items() if len(queue)]

    def queue(self, tier: int, model: str) -> FairQueue | None:
        """Return the queue of a tier and model, or None if it was never used."""
        return self._queues.get(tier, {}).get(model)

    def ahead(self, tier: int, model: str) -> Demand:
        """Return the demand of the slot requests of a tier and all higher ones."""
        return _total(
            models[model].demand
            for other_tier, models in self._queues.items()
            if other_tier <= tier and model in models
        )

    def punctual_ahead(self, tier: int, model: str) -> Demand:
        """Return the demand of higher tiers, and of a tier's that can meet goals."""
        return _total(
            models[model].demand if other_tier < tier else models[model].punctual_demand
            for other_tier, models in self._queues.items()
            if other_tier <= tier and model in models
        )

    def has_lower(self, tier: int, model: str) -> bool:
        """Return whether a slot request of a lower tier waits for a model."""
        return any(
            other_tier > tier and len(models.get(model, ()))
            for other_tier, models in self._queues.items()
        )

    def _queue(self, tier: int, model: str) -> FairQueue:
        models = self._queues.setdefault(tier, {})
        if model not in models:
            models[model] = self._build_queue()
        return models[model]


def _total(demands: Iterator[Demand]) -> Demand:
    slot_requests = prompt_tokens = output_tokens = 0.0
    for demand in demands:
        slot_requests += demand.slot_requests
        prompt_tokens += demand.prompt_tokens
        output_tokens += demand.output_tokens
    return Demand(slot_requests, prompt_tokens, output_tokens)
