"""Cost of a leader's decision: ``python -m benchmarks.leader_cost``.

A decision is a slot request, its grant or refusal, the message of the first token and
the release. It is measured through the schedulers of all services, with free slots,
with waiting slot requests, and beyond the capacity, where each new one is refused.
"""

import time
from collections import deque
from collections.abc import Iterator

import fire

from peridotfront.core.actions import Received, Tick
from peridotfront.core.crash_guard import CrashGuard
from peridotfront.core.crash_history import CrashHistory
from peridotfront.core.messages import (
    Grant,
    HeldSlot,
    ListedUpstream,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
)
from peridotfront.core.routes import (
    EngineProperties,
    RoutedAccount,
    RoutedService,
    RoutingConfig,
)
from peridotfront.core.service_schedulers import ServiceSchedulers, SharedLimits
from peridotfront.core.stream_origins import StreamOrigins
from peridotfront.core.upstream_limits import UpstreamLimits

from .instruction_count import InstructionCounter

UPSTREAMS = (6, 39, 150, 400)
WAITING = (0, 100, 1000, 5000)
ACCOUNTS = (5, 3100)
SLOTS = 6
SERVICE = "models"
HOST = "entry"
PROMPT_TOKENS = 2000
# A prompt that takes longer to process than lower tiers may keep an engine busy.
LONG_PROMPT_TOKENS = 20_000
OUTPUT_TOKENS = 20
TIERS = 3
GOAL_MS = 25_000
DEADLINE_MS = 30_000
LATE_GOAL_MS = 1
LATE_DEADLINE_MS = 200
USED_SHARE = 0.5
REQUESTS_PER_MS = 10


class LeaderLoad:
    """Leader with a number of upstreams of one service, under load.

    :param upstreams: number of upstreams.
    :param accounts: number of client accounts.
    :param prompt_tokens: length of each prompt.
    :param lowest_tier: lowest tier of the requests.
    :param slots: slots of each upstream.
    """

    def __init__(
        self,
        upstreams: int,
        accounts: int = 5,
        prompt_tokens: int = PROMPT_TOKENS,
        lowest_tier: int = TIERS,
        slots: int = SLOTS,
    ):
        self.now_ms = 0
        self.slots = upstreams * slots
        self.grants: deque[Grant] = deque()
        self.refused = 0
        self.waiting = 0
        self.accounts = accounts
        self._prompt_tokens = prompt_tokens
        self._lowest_tier = lowest_tier
        self._count = 0
        self._slot_requests: dict[str, SlotRequest] = {}
        guard = CrashGuard(CrashHistory())
        self.schedulers = ServiceSchedulers(
            SharedLimits(), StreamOrigins(), guard, UpstreamLimits()
        )
        self._configure(upstreams, slots)
        self._step(Tick())
        self.now_ms = 1000

    def _configure(self, upstreams: int, slots: int) -> None:
        service = RoutedService(SERVICE, EngineProperties(64, 10**6))
        names = [f"a{number}" for number in range(self.accounts)]
        routing = RoutingConfig(
            version=1,
            services=(service,),
            accounts=tuple([RoutedAccount(name, ()) for name in names]),
        )
        listed = [
            ListedUpstream(f"u{number}", SERVICE, "", "", slots, False)
            for number in range(upstreams)
        ]
        tuple(self.schedulers.apply_routing(routing, 0))
        tuple(self.schedulers.apply_upstreams(tuple(listed), 0))

    def _step(self, event) -> None:
        for action in self.schedulers.handle(event, self.now_ms):
            message = getattr(action, "message", None)
            if isinstance(message, Grant):
                self.grants.append(message)
                self.waiting -= 1
            elif isinstance(message, SlotRefusal):
                self._slot_requests.pop(message.request_id)
                self.refused += 1
                self.waiting -= 1

    def _receive(self, message) -> None:
        self._step(Received(HOST, 1, message))

    def request(self, goal_ms: int = GOAL_MS, deadline_ms: int = DEADLINE_MS) -> None:
        """Send a slot request."""
        self._count += 1
        slot_request = SlotRequest(
            request_id=f"r{self._count}",
            cell=SERVICE,
            model="",
            tier=self._lowest_tier - self._count % self._lowest_tier,
            client_account=f"a{self._count % self.accounts}",
            prompt_tokens=self._prompt_tokens,
            output_tokens=OUTPUT_TOKENS,
            prefix_hashes=(),
            fingerprint=self._count,
            deadline_ms=deadline_ms,
            goal_ms=goal_ms,
        )
        self._slot_requests[slot_request.request_id] = slot_request
        self.waiting += 1
        self._receive(slot_request)

    def release(self) -> None:
        """Report the first token of the oldest grant and release its slot."""
        grant = self.grants.popleft()
        slot_request = self._slot_requests.pop(grant.request_id)
        self._receive(HeldSlot(slot_request, grant.upstream, 1))
        release = Release(
            request_id=grant.request_id,
            cell=SERVICE,
            upstream=grant.upstream,
            cause=ReleaseCause.COMPLETED,
            prompt_tokens=slot_request.prompt_tokens,
            cached_tokens=0,
            produced_tokens=OUTPUT_TOKENS,
            first_token_ms=20,
            duration_ms=100,
            slow_tokens=0,
        )
        self._receive(release)

    def fill(self, waiting: int) -> None:
        """Take all slots and let some slot requests wait, or take half of the slots.

        Fewer may wait, since the leader refuses those that would wait too long.
        """
        requests = self.slots + waiting if waiting else int(self.slots * USED_SHARE)
        for _ in range(requests):
            self._advance()
            self.request()
            self._report_newest()

    def _report_newest(self) -> None:
        """Report the first token of the newest grant, so that its prefill ends."""
        if self.grants:
            grant = self.grants[-1]
            slot_request = self._slot_requests[grant.request_id]
            self._receive(HeldSlot(slot_request, grant.upstream, 1))

    def _advance(self) -> None:
        self.now_ms += self._count % REQUESTS_PER_MS == 0

    def decide(self) -> None:
        """Run one decision."""
        self._advance()
        self.request()
        self.release()

    def refuse(self) -> None:
        """Send a slot request that has to be refused at once."""
        self._advance()
        self.request(goal_ms=LATE_GOAL_MS, deadline_ms=LATE_DEADLINE_MS)


def time_us(work, repeats: int) -> float:
    """Return the mean processor time of a piece of work, in microseconds."""
    start_s = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - start_s) / repeats * 1e6


def measure(work, repeats: int) -> tuple[float, float]:
    """Return the processor time of a piece of work in us, and its instructions."""
    used_us = time_us(work, repeats)
    count = InstructionCounter().run(lambda: [work() for _ in range(10)])
    return used_us, count / 10


def build_loads(upstreams: int) -> Iterator[tuple[str, LeaderLoad]]:
    """Yield the kind and state of each measurement."""
    for accounts in ACCOUNTS:
        for waiting in WAITING:
            load = LeaderLoad(upstreams, accounts)
            load.fill(waiting)
            yield "decision", load
    load = LeaderLoad(upstreams, prompt_tokens=LONG_PROMPT_TOKENS)
    load.fill(0)
    yield "long", load
    load = LeaderLoad(upstreams)
    load.fill(load.slots)
    yield "refusal", load


def main(repeats: int = 100) -> None:
    """Print a table of the costs.

    :param repeats: number of decisions over which each figure is averaged.
    """
    print("kind     upstreams accounts waiting       us  instructions", flush=True)
    for upstreams in UPSTREAMS:
        for kind, load in build_loads(upstreams):
            waiting = load.waiting
            work = load.refuse if kind == "refusal" else load.decide
            used_us, count = measure(work, repeats)
            print(
                f"{kind:9}{upstreams:9}{load.accounts:9}{waiting:8}"
                f"{used_us:9.0f}{count:14.0f}",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(main)
