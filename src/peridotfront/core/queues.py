"""Queues of wants: by tier, fair between accounts, by deadline inside one."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice

from .messages import SlotRequest

FIRST_QUANTUM_TOKENS = 64.0
QUANTUM_GAIN = 0.05


@dataclass(frozen=True, slots=True)
class Demand:
    """Is what a number of wants ask for."""

    wants: float
    prompt_tokens: float
    output_tokens: float


@dataclass(slots=True)
class QueuedSlotRequest:
    """Is a want that waits for a slot.

    :param host: the entry host that is owed the answer.
    :param since_ms: when it came in.
    :param deadline_at_ms: when its answer must have begun.
    :param is_booked: whether it came back at the time that it was told.
    :param goal_at_ms: when its answer should have begun; None if that has passed
        or was not told.
    """

    want: SlotRequest
    host: str
    since_ms: int
    deadline_at_ms: int
    is_booked: bool = False
    goal_at_ms: int | None = None

    @property
    def turn_ms(self) -> int:
        """Return the key that orders the wants of an account."""
        if self.is_booked:
            return self.since_ms
        return self.deadline_at_ms if self.goal_at_ms is None else self.goal_at_ms

    @property
    def cost_tokens(self) -> int:
        """Return the tokens that count against the account's share."""
        return max(1, self.want.prompt_tokens + self.want.output_tokens)


@dataclass(slots=True)
class AccountQueue:
    """Holds the queued wants of one account, earliest deadline first."""

    weight: int
    deficit_tokens: float = 0.0
    queued_tokens: int = 0
    members: dict[str, QueuedSlotRequest] = field(default_factory=dict)
    by_turn: list[tuple[int, int, str]] = field(default_factory=list)

    @property
    def load(self) -> float:
        """Return the queued tokens for each unit of weight."""
        return self.queued_tokens / self.weight

    def add(self, queued: QueuedSlotRequest, sequence: int) -> None:
        """Add a want; the sequence number keeps equal deadlines in order."""
        request_id = queued.want.request_id
        self.members[request_id] = queued
        self.queued_tokens += queued.cost_tokens
        heappush(self.by_turn, (queued.turn_ms, sequence, request_id))

    def requeue(self, queued: QueuedSlotRequest, sequence: int) -> None:
        """Give a want the turn that its changed goal calls for."""
        heappush(self.by_turn, (queued.turn_ms, sequence, queued.want.request_id))

    def discard(self, request_id: str) -> None:
        """Remove a want."""
        queued = self.members.pop(request_id)
        self.queued_tokens -= queued.cost_tokens

    def head(self) -> QueuedSlotRequest:
        """Return the want that came back as told, or has the earliest deadline."""
        while True:
            turn_ms, _, request_id = self.by_turn[0]
            queued = self.members.get(request_id)
            if queued is not None and queued.turn_ms == turn_ms:
                return queued
            heappop(self.by_turn)

    def newest(self) -> QueuedSlotRequest:
        """Return the want that came in last, if one can be of the unannounced."""
        fresh = (one for one in reversed(self.members.values()) if not one.is_booked)
        return next(fresh, None) or self.members[next(reversed(self.members))]


class FairQueue:
    """Shares the turns between accounts by deficit round robin on tokens.

    :param weight_of: returns the share of an account.
    """

    def __init__(self, weight_of: Callable[[str], int]):
        self._weight_of = weight_of
        self._accounts: OrderedDict[str, AccountQueue] = OrderedDict()
        self._account_of: dict[str, str] = {}
        self._heaviest: list[tuple[float, str]] = []
        self._by_deadline: list[tuple[int, int, str]] = []
        self._by_goal: list[tuple[int, str]] = []
        self._quantum_tokens = FIRST_QUANTUM_TOKENS
        self._sequence = 0
        self.prefill_tokens = 0
        self.output_tokens = 0

    def __len__(self) -> int:
        return len(self._account_of)

    def __iter__(self) -> Iterator[QueuedSlotRequest]:
        for account in self._accounts.values():
            yield from account.members.values()

    @property
    def accounts(self) -> int:
        """Return how many accounts have a want in the queue."""
        return len(self._accounts)

    def add(self, queued: QueuedSlotRequest) -> None:
        """Queue a want."""
        want = queued.want
        account = self._accounts.get(want.client_account)
        if account is None:
            weight = max(1, self._weight_of(want.client_account))
            account = AccountQueue(weight, float(queued.cost_tokens))
            self._accounts[want.client_account] = account
        self._sequence += 1
        account.add(queued, self._sequence)
        self._account_of[want.request_id] = want.client_account
        excess_tokens = queued.cost_tokens - self._quantum_tokens
        self._quantum_tokens += excess_tokens * QUANTUM_GAIN
        self.prefill_tokens += want.prompt_tokens
        self.output_tokens += want.output_tokens
        heappush(self._heaviest, (-account.load, want.client_account))
        entry = (queued.deadline_at_ms, self._sequence, want.request_id)
        heappush(self._by_deadline, entry)
        if queued.goal_at_ms is not None:
            heappush(self._by_goal, (queued.goal_at_ms, want.request_id))

    def demote_late(self, now_ms: int) -> None:
        """Let wants that missed their goal wait behind those that can make it."""
        while self._by_goal and self._by_goal[0][0] <= now_ms:
            _, request_id = heappop(self._by_goal)
            name = self._account_of.get(request_id)
            if name is None:
                continue
            account = self._accounts[name]
            queued = account.members[request_id]
            queued.goal_at_ms = None
            self._sequence += 1
            account.requeue(queued, self._sequence)

    def discard(self, request_id: str) -> None:
        """Remove a want without charge to its account."""
        name = self._account_of.pop(request_id)
        account = self._accounts[name]
        want = account.members[request_id].want
        self.prefill_tokens -= want.prompt_tokens
        self.output_tokens -= want.output_tokens
        account.discard(request_id)
        if not account.members:
            del self._accounts[name]

    def head(self) -> QueuedSlotRequest | None:
        """Return the want whose turn it is; it stays queued."""
        while self._accounts:
            name, account = next(iter(self._accounts.items()))
            queued = account.head()
            if queued.cost_tokens <= account.deficit_tokens:
                return queued
            account.deficit_tokens += self._quantum_tokens * account.weight
            self._accounts.move_to_end(name)
        return None

    def candidates(self, limit: int) -> Iterator[QueuedSlotRequest]:
        """Yield the want whose turn it is, then others that may go instead.

        :param limit: how many of each account.
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
        """Remove a want that was granted and charge its account."""
        account = self._accounts[queued.want.client_account]
        account.deficit_tokens -= queued.cost_tokens
        self.discard(queued.want.request_id)

    def most_urgent(self) -> QueuedSlotRequest | None:
        """Return the want with the earliest deadline of all accounts."""
        while self._by_deadline:
            deadline_ms, _, request_id = self._by_deadline[0]
            name = self._account_of.get(request_id)
            if name is not None:
                queued = self._accounts[name].members[request_id]
                if queued.deadline_at_ms == deadline_ms:
                    return queued
            heappop(self._by_deadline)
        return None

    def victim(self) -> QueuedSlotRequest | None:
        """Return the newest want of the account that queues most for its weight."""
        while self._heaviest:
            load, name = self._heaviest[0]
            account = self._accounts.get(name)
            if account is not None and -load == account.load:
                return account.newest()
            heappop(self._heaviest)
            if account is not None:
                heappush(self._heaviest, (-account.load, name))
        return None


class TierQueues:
    """Holds a fair queue for each tier and model.

    :param weight_of: returns the share of an account.
    """

    def __init__(self, weight_of: Callable[[str], int]):
        self._weight_of = weight_of
        self._queues: dict[int, dict[str, FairQueue]] = {}
        self._wants: dict[str, QueuedSlotRequest] = {}

    def __len__(self) -> int:
        return len(self._wants)

    def __iter__(self) -> Iterator[QueuedSlotRequest]:
        yield from tuple(self._wants.values())

    def get(self, request_id: str) -> QueuedSlotRequest | None:
        """Return the queued want of that id, if there is one."""
        return self._wants.get(request_id)

    def add(self, queued: QueuedSlotRequest) -> None:
        """Queue a want."""
        want = queued.want
        queue = self._queue(want.tier, want.model)
        queue.add(queued)
        self._wants[want.request_id] = queued

    def take(self, queued: QueuedSlotRequest) -> None:
        """Remove a want that was granted."""
        self._queue(queued.want.tier, queued.want.model).take(queued)
        del self._wants[queued.want.request_id]

    def discard(self, queued: QueuedSlotRequest) -> None:
        """Remove a want that was refused or withdrawn."""
        want = queued.want
        self._queue(want.tier, want.model).discard(want.request_id)
        del self._wants[want.request_id]

    def tiers(self) -> list[int]:
        """Return the tiers with a queued want, highest first."""
        return sorted(
            tier
            for tier, models in self._queues.items()
            if any(len(queue) for queue in models.values())
        )

    def models(self, tier: int) -> list[tuple[str, FairQueue]]:
        """Return the models with a queued want of that tier, and their queues."""
        models = self._queues.get(tier, {})
        return [(model, queue) for model, queue in models.items() if len(queue)]

    def queue(self, tier: int, model: str) -> FairQueue | None:
        """Return the queue of a tier and model if one was ever used."""
        return self._queues.get(tier, {}).get(model)

    def ahead(self, tier: int, model: str) -> Demand:
        """Return what the wants down to that tier ask for."""
        wants = prompt_tokens = output_tokens = 0
        for other, models in self._queues.items():
            if other <= tier and model in models:
                queue = models[model]
                wants += len(queue)
                prompt_tokens += queue.prefill_tokens
                output_tokens += queue.output_tokens
        return Demand(wants, prompt_tokens, output_tokens)

    def has_lower(self, tier: int, model: str) -> bool:
        """Return whether a want of a lower tier waits for that model."""
        return any(
            other > tier and len(models.get(model, ()))
            for other, models in self._queues.items()
        )

    def _queue(self, tier: int, model: str) -> FairQueue:
        models = self._queues.setdefault(tier, {})
        if model not in models:
            models[model] = FairQueue(self._weight_of)
        return models[model]
