"""Measures the replicated log: throughput, size, restart, processor time.

All replicas run in this process, each with its own data folder; messages are encoded
and decoded, but not sent over a socket.

Usage::

    python benchmarks/raft.py                 # print tables and JSON
    python benchmarks/raft.py --output r.json # write JSON to a file as well
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
    """Rate of proposals that were committed with sync on every replica.

    :param per_raw_sync: proposals per second over raw appends with sync per second,
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
    """Processor time of committing one entry, and the size of its AppendRequest."""

    replicas: int
    leader_us_per_proposal: float
    follower_us: float
    encode_us: float
    decode_us: float
    size_bytes: float


@dataclass(frozen=True)
class Restart:
    """Time to open a data folder and create a replica from it."""

    entries: int
    restart_ms: float
    bytes_per_entry: float


@dataclass
class Meter:
    """Processor time and number of calls by name."""

    total_ns: dict[str, int] = field(default_factory=dict)
    count: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, spent_ns: int) -> None:
        """Record a call."""
        self.total_ns[name] = self.total_ns.get(name, 0) + spent_ns
        self.count[name] = self.count.get(name, 0) + 1

    def mean_us(self, name: str) -> float:
        """Return the mean of the calls in microseconds."""
        return self.total_ns[name] / max(1, self.count[name]) / NS_PER_US


class Replica:
    """Replica with its storage."""

    def __init__(self, host: str, hosts: tuple[str, ...], folder: Path) -> None:
        self.host = host
        self.syncs = 0
        self.storage = Storage.open(folder, sync=self.sync)
        timing = RaftTiming()
        jitter = random.Random(host).random
        identity = self.storage.incarnation
        self.raft = Raft(host, identity, hosts, self.storage.state, timing, jitter)

    def sync(self, fd: int) -> None:
        """Sync a file and count the sync."""
        self.syncs += 1
        os.fsync(fd)


class Group:
    """Group of replicas that exchange messages without a network."""

    def __init__(self, count: int, folder: Path) -> None:
        hosts = tuple([f"host{i}" for i in range(count)])
        self.members = {h: Replica(h, hosts, folder / h) for h in hosts}
        self.meter = Meter()
        self.committed = 0
        self._next_tick_s = 0.0
        self._queue: deque[tuple[str, Received]] = deque()

    def elect(self) -> Replica:
        """Tick until a leader is elected, and return it."""
        while True:
            self.tick()
            for replica in self.members.values():
                if replica.raft.is_leader and replica.raft.commit_index >= 2:
                    return replica
            time.sleep(TICK_MS / 1000)

    def handle_events(self, replica: Replica, events: list) -> None:
        """Handle events, persist all changes in one call, and send the messages."""
        now_ms = time.monotonic() * 1000
        actions = []
        for event in events:
            start_ns = time.thread_time_ns()
            actions += replica.raft.handle(event, now_ms)
            self.meter.add(event_name(event), time.thread_time_ns() - start_ns)
        changes = [a for a in actions if isinstance(a, PersistAction)]
        if changes:
            replica.storage.apply_changes(changes)
        for action in actions:
            if isinstance(action, Send):
                self.send(replica, action)
            elif isinstance(action, Committed) and replica.raft.is_leader:
                self.committed += 1

    def send(self, replica: Replica, action: Send) -> None:
        """Encode and decode a message and queue it for its receiver."""
        frame = Frame(replica.host, 1, (action.message,))
        start_ns = time.thread_time_ns()
        data = wire.encode(frame)
        encoded_ns = time.thread_time_ns()
        message = wire.decode(Frame, data).messages[0]
        decoded_ns = time.thread_time_ns()
        if isinstance(message, AppendRequest) and message.entries:
            self.meter.add("encode", encoded_ns - start_ns)
            self.meter.add("decode", decoded_ns - encoded_ns)
            self.meter.add("size", len(data) * NS_PER_US)
        self._queue.append((action.to_host, Received(replica.host, 1, message)))

    def deliver(self) -> None:
        """Deliver all messages; a host handles its pending ones together."""
        while self._queue:
            events_by_host: dict[str, list] = {}
            while self._queue:
                host, event = self._queue.popleft()
                events_by_host.setdefault(host, []).append(event)
            for host, events in events_by_host.items():
                self.handle_events(self.members[host], events)

    def commit(self, leader: Replica, commands: list) -> None:
        """Propose commands together and deliver all messages.

        :raises RuntimeError: if a command is not committed by then.
        """
        target_count = self.committed + len(commands)
        self.handle_events(leader, [Propose(command) for command in commands])
        self.deliver()
        self.tick()
        if self.committed < target_count:
            raise RuntimeError(
                "a proposal was not committed after all messages were delivered"
            )

    def tick(self) -> None:
        """Tick all replicas if a tick is due."""
        now_s = time.monotonic()
        if now_s < self._next_tick_s:
            return
        self._next_tick_s = now_s + TICK_MS / 1000
        for replica in self.members.values():
            self.handle_events(replica, [Tick()])
        self.deliver()

    def close(self) -> None:
        """Close all data folders."""
        for replica in self.members.values():
            replica.storage.close()


def event_name(event: object) -> str:
    """Return the name under which an event's processor time is recorded."""
    if not isinstance(event, Received):
        return type(event).__name__
    message = event.message
    if isinstance(message, AppendRequest) and message.entries:
        return "AppendRequest with entries"
    return type(message).__name__


def build_command(number: int) -> ClaimBatch:
    """Return a command with the claim of one request."""
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
    """Return the rate of small appends to a file with sync."""
    fd = os.open(folder / "raw", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    start_s = time.perf_counter()
    for _ in range(RAW_SYNCS):
        os.write(fd, bytes(RAW_SYNC_BYTES))
        os.fsync(fd)
    os.close(fd)
    return RAW_SYNCS / (time.perf_counter() - start_s)


def measure_throughput(replicas: int, batch: int) -> Throughput:
    """Commit batches for a fixed time, several times."""
    rates = []
    raw_rates = []
    syncs = proposals = processor_ns = 0
    for _ in range(REPEATS):
        with tempfile.TemporaryDirectory() as folder:
            raw_rates.append(raw_syncs_per_s(Path(folder)))
            group = Group(replicas, Path(folder))
            leader = group.elect()
            syncs -= sum(m.syncs for m in group.members.values())
            start_s = time.perf_counter()
            start_ns = time.process_time_ns()
            done = 0
            while time.perf_counter() - start_s < SECONDS_PER_RUN:
                group.commit(leader, [build_command(done + i) for i in range(batch)])
                done += batch
            rates.append(done / (time.perf_counter() - start_s))
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
    """Commit entries one at a time and measure processor time by message type."""
    with tempfile.TemporaryDirectory() as folder:
        group = Group(replicas, Path(folder))
        leader = group.elect()
        group.meter = Meter()
        for number in range(1000):
            group.commit(leader, [build_command(number)])
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
    """Write a log and measure the time of a restart with it."""
    with tempfile.TemporaryDirectory() as folder:
        storage = Storage.open(folder)
        for first in range(1, entries + 1, 100):
            indexes = range(first, min(first + 100, entries + 1))
            batch = tuple([LogEntry(i, 1, build_command(i)) for i in indexes])
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
    """Yield the duration of each of several restarts in ms."""
    for _ in range(REPEATS):
        start_s = time.perf_counter()
        storage = Storage.open(folder)
        raft = Raft(
            "a", storage.incarnation, ("a",), storage.state, RaftTiming(), float
        )
        list(raft.handle(Tick(), 0))
        yield (time.perf_counter() - start_s) * 1000
        storage.close()


def format_table(rows: list) -> str:
    """Format rows of one class as a table."""
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

    :param output: path of a file for the JSON; empty only prints it.
    """
    results = {
        "throughput": [measure_throughput(n, b) for n in REPLICAS for b in BATCHES],
        "requests": [measure_request(n) for n in REPLICAS],
        "restarts": [measure_restart(count) for count in RESTART_ENTRIES],
    }
    for name, rows in results.items():
        print(f"{name}\n{format_table(rows)}\n")
    plain = {name: [asdict(row) for row in rows] for name, rows in results.items()}
    text = json.dumps(plain, indent=2)
    print(text)
    if output:
        Path(output).write_text(text + "\n")


if __name__ == "__main__":
    fire.Fire(main)
