"""Processor time of a scheduling decision: ``python -m benchmarks.decision_cost``.

A decision is a slot request, its grant, the message of the first token and the
release. It is measured with free slots, and with all slots in use and queued slot
requests.
"""

import time
from collections import deque

import fire

from peridotfront.core.actions import Received, Tick
from peridotfront.core.fleet import AccountSpec, Fleet, UpstreamKind, UpstreamSpec
from peridotfront.core.messages import (
    Grant,
    HeldSlot,
    Release,
    ReleaseCause,
    SlotRequest,
)
from peridotfront.core.scheduler import CellScheduler

UPSTREAMS = (6, 10, 100, 1000)
ACCOUNTS = (5, 500, 3100)
SLOTS = 16
BLOCKS = 30
PROMPT_TOKENS = 2000
OUTPUT_TOKENS = 100
TICKS = 200
QUEUED_SHARE = 0.25
HOST = "entry"
CELL = "dc/engines"


class SchedulerBenchmark:
    """Scheduler with a number of upstreams and accounts, under measurement."""

    def __init__(self, upstreams: int, accounts: int):
        specs = tuple(
            UpstreamSpec(
                name=f"e{index}",
                kind=UpstreamKind.ENGINE,
                data_centre="dc",
                address="",
                models=("m",),
                max_slots=SLOTS,
                prefill_tokens_per_s=10**9,
                kv_capacity_tokens=10**6,
            )
            for index in range(upstreams)
        )
        names = tuple(AccountSpec(f"a{index}", "") for index in range(accounts))
        self.scheduler = CellScheduler(CELL, Fleet(1, specs, names))
        self.accounts = accounts
        self.now_ms = 0
        self.request_count = 0
        self.slot_requests: dict[str, SlotRequest] = {}
        self.grants: deque[Grant] = deque()
        self.step(Tick())
        self.now_ms = 1000

    def step(self, event) -> None:
        """Handle an event and collect the grants."""
        for action in self.scheduler.handle(event, self.now_ms):
            message = getattr(action, "message", None)
            if isinstance(message, Grant):
                self.grants.append(message)

    def receive(self, message) -> None:
        """Handle a message of the entry host."""
        self.step(Received(HOST, 1, message))

    def request_slot(self) -> None:
        """Send a slot request."""
        self.request_count += 1
        group = self.request_count % 50
        slot_request = SlotRequest(
            request_id=f"r{self.request_count}",
            cell=CELL,
            model="m",
            tier=1 + self.request_count % 3,
            client_account=f"a{self.request_count % self.accounts}",
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
            prefix_hashes=tuple(range(group * 1000, group * 1000 + BLOCKS)),
            fingerprint=self.request_count,
            deadline_ms=10**7,
        )
        self.slot_requests[slot_request.request_id] = slot_request
        self.receive(slot_request)

    def release(self) -> None:
        """Report the first token of the oldest grant and release its slot."""
        grant = self.grants.popleft()
        slot_request = self.slot_requests.pop(grant.request_id)
        self.receive(HeldSlot(slot_request, grant.upstream, 1, 0))
        release = Release(
            request_id=grant.request_id,
            cell=CELL,
            upstream=grant.upstream,
            cause=ReleaseCause.COMPLETED,
            prompt_tokens=PROMPT_TOKENS,
            cached_tokens=grant.predicted_prefix_tokens,
            produced_tokens=OUTPUT_TOKENS,
            first_token_ms=20,
            duration_ms=100,
            slow_tokens=0,
        )
        self.receive(release)

    def cycle_us(self, cycles: int) -> float:
        """Return the mean processor time of a decision, in microseconds."""
        start = time.process_time()
        for index in range(cycles):
            self.now_ms += index % 10 == 0
            self.request_slot()
            self.release()
        return (time.process_time() - start) / cycles * 1e6

    def tick_us(self) -> float:
        """Return the mean processor time of a tick, in microseconds."""
        start = time.process_time()
        for _ in range(TICKS):
            self.now_ms += 10
            self.step(Tick())
        return (time.process_time() - start) / TICKS * 1e6


def measure(upstreams: int, accounts: int, cycles: int) -> tuple[float, float, float]:
    """Return the times of a decision with free slots and with a queue, and of a tick.

    All times are in microseconds.
    """
    benchmark = SchedulerBenchmark(upstreams, accounts)
    slots = upstreams * SLOTS
    for _ in range(slots // 3):
        benchmark.request_slot()
    free_us = benchmark.cycle_us(cycles)
    for _ in range(int(slots * (2 / 3 + QUEUED_SHARE)) + accounts):
        benchmark.request_slot()
    queued_us = benchmark.cycle_us(cycles)
    return free_us, queued_us, benchmark.tick_us()


def main(cycles: int = 300) -> None:
    """Print a table of the times.

    :param cycles: number of decisions over which each figure is averaged.
    """
    print("upstreams accounts  free us  queued us  tick us")
    for upstreams in UPSTREAMS:
        for accounts in ACCOUNTS:
            free_us, queued_us, tick_us = measure(upstreams, accounts, cycles)
            print(
                f"{upstreams:9}{accounts:9}{free_us:9.0f}{queued_us:11.0f}"
                f"{tick_us:9.0f}"
            )


if __name__ == "__main__":
    fire.Fire(main)
