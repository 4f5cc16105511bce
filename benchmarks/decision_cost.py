"""Processor time of one decision: ``python -m benchmarks.decision_cost``.

A decision is a want, its grant, the first token's message and the release. It is
measured with slots free, and with all slots in use and a queue of wants.
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


class Bench:
    """Drives one scheduler with a number of upstreams and accounts."""

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
        self.count = 0
        self.wants: dict[str, SlotRequest] = {}
        self.held: deque[Grant] = deque()
        self.step(Tick())
        self.now_ms = 1000

    def step(self, event) -> None:
        """Hand in an event and note the grants."""
        for action in self.scheduler.handle(event, self.now_ms):
            message = getattr(action, "message", None)
            if isinstance(message, Grant):
                self.held.append(message)

    def receive(self, message) -> None:
        """Hand in a message."""
        self.step(Received(HOST, 1, message))

    def want(self) -> None:
        """Ask for a slot."""
        self.count += 1
        group = self.count % 50
        want = SlotRequest(
            request_id=f"r{self.count}",
            cell=CELL,
            model="m",
            tier=1 + self.count % 3,
            client_account=f"a{self.count % self.accounts}",
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
            prefix_hashes=tuple(range(group * 1000, group * 1000 + BLOCKS)),
            fingerprint=self.count,
            deadline_ms=10**7,
        )
        self.wants[want.request_id] = want
        self.receive(want)

    def release(self) -> None:
        """Give the oldest slot back, after its first token."""
        grant = self.held.popleft()
        want = self.wants.pop(grant.request_id)
        self.receive(HeldSlot(want, grant.upstream, 1, 0))
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
        """Return the processor time of a want, a grant and a release."""
        start = time.process_time()
        for index in range(cycles):
            self.now_ms += index % 10 == 0
            self.want()
            self.release()
        return (time.process_time() - start) / cycles * 1e6

    def tick_us(self) -> float:
        """Return the processor time of a tick."""
        start = time.process_time()
        for _ in range(TICKS):
            self.now_ms += 10
            self.step(Tick())
        return (time.process_time() - start) / TICKS * 1e6


def measure(upstreams: int, accounts: int, cycles: int) -> tuple[float, float, float]:
    """Return the times with free slots, with a queue, and of a tick."""
    bench = Bench(upstreams, accounts)
    slots = upstreams * SLOTS
    for _ in range(slots // 3):
        bench.want()
    free_us = bench.cycle_us(cycles)
    for _ in range(int(slots * (2 / 3 + QUEUED_SHARE)) + accounts):
        bench.want()
    queued_us = bench.cycle_us(cycles)
    return free_us, queued_us, bench.tick_us()


def main(cycles: int = 300) -> None:
    """Print a table of the times.

    :param cycles: decisions that each figure is the mean of.
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
