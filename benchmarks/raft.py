"""Measures the replicated log: throughput, size, restart, processor time.

All replicas run in this process, each with its own data folder; messages pass
through the wire format but no socket.

Usage::

    python benchmarks/raft.py                 # text and JSON to the screen
    python benchmarks/raft.py --output r.json # JSON to a file as well
"""

import json
import os
import random
import statistics
import tempfile
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import fire

from peridotfront import wire
from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.messages import (
    AppendRequest,
    Claim,
    ClaimBatch,
    ClaimRequest,
    Frame,
    LogEntry,
)
from peridotfront.core.raft import (
    AppendEntries,
    Committed,
    PersistAction,
    Propose,
    Raft,
    RaftTiming,
)
from peridotfront.storage import Storage

BATCHES = (1, 16, 256)
REPLICAS = (3, 5)
RESTART_ENTRIES = (500, 5_000, 50_000)
REPEATS = 3
SECONDS_PER_RUN = 1.0
RAW_SYNCS = 200
RAW_SYNC_BYTES = 200
TICK_MS = 10
NS_PER_US = 1000


@dataclass(frozen=True)
class Throughput:
    """Proposals that were committed with sync on every replica.

    :param per_raw_sync: proposals a second over bare appends with sync a second,
        measured in the same run.
    """

    replicas: int
    batch: int
    proposals_per_s: float
    lowest_per_s: float
    highest_per_s: float
    per_raw_sync: float
    syncs_per_proposal: float
    processor_us_per_proposal: float


@dataclass(frozen=True)
class RequestCost:
    """Processor time of one AppendRequest with one entry."""

    replicas: int
    leader_us_per_proposal: float
    follower_us: float
    encode_us: float
    decode_us: float
    size_bytes: float


@dataclass(frozen=True)
class Restart:
    """Time to open a data folder and build a replica on it."""

    entries: int
    restart_ms: float
    bytes_per_entry: float


@dataclass
class Meter:
    """Sums processor time and counts by name."""

    total_ns: dict[str, int] = field(default_factory=dict)
    count: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, spent_ns: int) -> None:
        """Add one measured call."""
        self.total_ns[name] = self.total_ns.get(name, 0) + spent_ns
        self.count[name] = self.count.get(name, 0) + 1

    def mean_us(self, name: str) -> float:
        """Return the mean of the calls."""
        return self.total_ns[name] / max(1, self.count[name]) / NS_PER_US


class Member:
    """One replica with its storage."""

    def __init__(self, host: str, hosts: tuple[str, ...], folder: Path) -> None:
        self.host = host
        self.syncs = 0
        self.storage = Storage.open(folder, sync=self.sync)
        timing = RaftTiming()
        jitter = random.Random(host).random
        identity = self.storage.incarnation
        self.raft = Raft(host, identity, hosts, self.storage.state, timing, jitter)

    def sync(self, fd: int) -> None:
        """Sync a file and count it."""
        self.syncs += 1
        os.fsync(fd)


class Group:
    """Replicas that exchange messages without a network."""

    def __init__(self, count: int, folder: Path) -> None:
        hosts = tuple([f"host{i}" for i in range(count)])
        self.members = {h: Member(h, hosts, folder / h) for h in hosts}
        self.meter = Meter()
        self.committed = 0
        self._tick_due = 0.0
        self._queue: deque[tuple[str, Received]] = deque()

    def elect(self) -> Member:
        """Tick until there is a leader, and return it."""
        while True:
            self.tick()
            for member in self.members.values():
                if member.raft.is_leader and member.raft.commit_index >= 2:
                    return member
            time.sleep(TICK_MS / 1000)

    def turn(self, member: Member, events: list) -> None:
        """Handle events, sync once, and pass on what is to be sent."""
        now_ms = time.monotonic() * 1000
        actions = []
        for event in events:
            start_ns = time.thread_time_ns()
            actions += member.raft.handle(event, now_ms)
            self.meter.add(name_of(event), time.thread_time_ns() - start_ns)
        changes = [a for a in actions if isinstance(a, PersistAction)]
        if changes:
            member.storage.apply_changes(changes)
        for action in actions:
            if isinstance(action, Send):
                self.send(member, action)
            elif isinstance(action, Committed) and member.raft.is_leader:
                self.committed += 1

    def send(self, member: Member, action: Send) -> None:
        """Pass a message on through the wire format."""
        frame = Frame(member.host, 1, (action.message,))
        start_ns = time.thread_time_ns()
        data = wire.encode(frame)
        encoded_ns = time.thread_time_ns()
        message = wire.decode(Frame, data).messages[0]
        decoded_ns = time.thread_time_ns()
        if isinstance(message, AppendRequest) and message.entries:
            self.meter.add("encode", encoded_ns - start_ns)
            self.meter.add("decode", decoded_ns - encoded_ns)
            self.meter.add("size", len(data) * NS_PER_US)
        self._queue.append((action.to_host, Received(member.host, 1, message)))

    def deliver(self) -> None:
        """Deliver until no message is left, all of a host in one turn."""
        while self._queue:
            due: dict[str, list] = {}
            while self._queue:
                host, event = self._queue.popleft()
                due.setdefault(host, []).append(event)
            for host, events in due.items():
                self.turn(self.members[host], events)

    def commit(self, leader: Member, commands: list) -> None:
        """Propose commands in one turn, and go on until all are committed."""
        goal = self.committed + len(commands)
        self.turn(leader, [Propose(command) for command in commands])
        self.deliver()
        self.tick()
        if self.committed < goal:
            raise RuntimeError("a proposal was not committed at once")

    def tick(self) -> None:
        """Tick all replicas if it is time to."""
        now = time.monotonic()
        if now < self._tick_due:
            return
        self._tick_due = now + TICK_MS / 1000
        for member in self.members.values():
            self.turn(member, [Tick()])
        self.deliver()

    def close(self) -> None:
        """Close all data folders."""
        for member in self.members.values():
            member.storage.close()


def name_of(event: object) -> str:
    """Return the name under which the handling of an event is summed."""
    if not isinstance(event, Received):
        return type(event).__name__
    message = event.message
    if isinstance(message, AppendRequest) and message.entries:
        return "AppendRequest with entries"
    return type(message).__name__


def command(number: int) -> ClaimBatch:
    """Return a command with one claim, as for one request."""
    claim = Claim(
        key=f"account/payout/{number:032x}",
        fingerprint=number,
        epoch=1,
        holder_host="entry-1",
        holder_incarnation=123456789012345678,
        upstream="payout-1",
        is_idempotent=False,
    )
    return ClaimBatch(1, (ClaimRequest(f"{number:032x}", claim),))


def raw_syncs_per_s(folder: Path) -> float:
    """Return how often a second a small append to a file can be synced."""
    fd = os.open(folder / "raw", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    start = time.perf_counter()
    for _ in range(RAW_SYNCS):
        os.write(fd, bytes(RAW_SYNC_BYTES))
        os.fsync(fd)
    os.close(fd)
    return RAW_SYNCS / (time.perf_counter() - start)


def measure_throughput(replicas: int, batch: int) -> Throughput:
    """Commit batches for a while, several times over."""
    rates = []
    raw_rates = []
    syncs = proposals = processor_ns = 0
    for _ in range(REPEATS):
        with tempfile.TemporaryDirectory() as folder:
            raw_rates.append(raw_syncs_per_s(Path(folder)))
            group = Group(replicas, Path(folder))
            leader = group.elect()
            syncs -= sum(m.syncs for m in group.members.values())
            start = time.perf_counter()
            start_ns = time.process_time_ns()
            done = 0
            while time.perf_counter() - start < SECONDS_PER_RUN:
                group.commit(leader, [command(done + i) for i in range(batch)])
                done += batch
            rates.append(done / (time.perf_counter() - start))
            processor_ns += time.process_time_ns() - start_ns
            syncs += sum(m.syncs for m in group.members.values())
            proposals += done
            group.close()
    return Throughput(
        replicas=replicas,
        batch=batch,
        proposals_per_s=round(statistics.median(rates), 1),
        lowest_per_s=round(min(rates), 1),
        highest_per_s=round(max(rates), 1),
        per_raw_sync=round(statistics.median(rates) / statistics.median(raw_rates), 3),
        syncs_per_proposal=round(syncs / proposals, 3),
        processor_us_per_proposal=round(processor_ns / proposals / NS_PER_US, 1),
    )


def measure_request(replicas: int) -> RequestCost:
    """Commit one entry at a time, and take the processor time apart."""
    with tempfile.TemporaryDirectory() as folder:
        group = Group(replicas, Path(folder))
        leader = group.elect()
        group.meter = Meter()
        for number in range(1000):
            group.commit(leader, [command(number)])
        group.close()
    meter = group.meter
    leader_ns = meter.total_ns["Propose"] + meter.total_ns["AppendReply"]
    return RequestCost(
        replicas=replicas,
        leader_us_per_proposal=round(leader_ns / 1000 / NS_PER_US, 1),
        follower_us=round(meter.mean_us("AppendRequest with entries"), 1),
        encode_us=round(meter.mean_us("encode"), 1),
        decode_us=round(meter.mean_us("decode"), 1),
        size_bytes=round(meter.mean_us("size"), 1),
    )


def measure_restart(entries: int) -> Restart:
    """Write a log, and time how long it takes to come back with it."""
    with tempfile.TemporaryDirectory() as folder:
        storage = Storage.open(folder)
        for first in range(1, entries + 1, 100):
            indexes = range(first, min(first + 100, entries + 1))
            batch = tuple([LogEntry(i, 1, command(i)) for i in indexes])
            storage.apply_changes([AppendEntries(batch)])
        storage.close()
        size = sum(path.stat().st_size for path in Path(folder).glob("segment-*"))
        times_ms = sorted(restart_times_ms(folder))
    return Restart(
        entries=entries,
        restart_ms=round(statistics.median(times_ms), 1),
        bytes_per_entry=round(size / entries, 1),
    )


def restart_times_ms(folder: str) -> Iterator[float]:
    """Yield how long each of several restarts took."""
    for _ in range(REPEATS):
        start = time.perf_counter()
        storage = Storage.open(folder)
        raft = Raft(
            "a", storage.incarnation, ("a",), storage.state, RaftTiming(), float
        )
        list(raft.handle(Tick(), 0))
        yield (time.perf_counter() - start) * 1000
        storage.close()


def table(rows: list) -> str:
    """Return rows of one kind as text."""
    names = list(asdict(rows[0]))
    lines = [names, *[[str(v) for v in asdict(row).values()] for row in rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    padded = [
        [cell.rjust(width) for cell, width in zip(line, widths, strict=True)]
        for line in lines
    ]
    return "\n".join(["  ".join(line) for line in padded])


def main(output: str = "") -> None:
    """Run all measurements.

    :param output: a file for the JSON; empty for the screen alone.
    """
    results = {
        "throughput": [measure_throughput(n, b) for n in REPLICAS for b in BATCHES],
        "requests": [measure_request(n) for n in REPLICAS],
        "restarts": [measure_restart(count) for count in RESTART_ENTRIES],
    }
    for name, rows in results.items():
        print(f"{name}\n{table(rows)}\n")
    plain = {name: [asdict(row) for row in rows] for name, rows in results.items()}
    text = json.dumps(plain, indent=2)
    print(text)
    if output:
        Path(output).write_text(text + "\n")


if __name__ == "__main__":
    fire.Fire(main)
