"""Costs of the control group: claims, snapshots, heartbeats, changes.

Usage::

    python benchmarks/control.py [--json_file=control.json]

Times are processor time of this process, the minimum of several rounds; sizes are
those of the wire format. Compare figures of the same run only.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import fire

from peridotfront import wire
from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.claims import Claims
from peridotfront.core.control_state import ControlState
from peridotfront.core.control_types import OperatorProposal
from peridotfront.core.controller import Controller
from peridotfront.core.messages import (
    Claim,
    ClaimBatch,
    ClaimRequest,
    ConfigChange,
    ConfigProposal,
    ControlSnapshot,
    Frame,
    Heartbeat,
    Outcome,
    OutcomeReport,
)
from peridotfront.core.raft import (
    AppendEntries,
    PersistAction,
    Raft,
    RaftState,
    RaftTiming,
)
from peridotfront.core.verdicts import Reason, Verdict

ROUNDS = 3
LEADER_CLAIMS = 2048
CLAIMS = 20_000
OUTCOME_STEPS = 3
BATCH_SIZES = (1, 16, 256)
CLAIM_COUNTS = (1000, 10_000, 100_000)
UPSTREAM_COUNTS = (10, 1000, 4100)
HOST_COUNTS = (6, 100, 390)
HEARTBEAT_ROUNDS = 20
CHANGE_ROUNDS = 10
TICK_MS = 10


@dataclass(frozen=True, slots=True)
class Figure:
    """Measured value."""

    name: str
    size: int
    value: float
    unit: str


def best_us(work: Callable[[], None], count: int, rounds: int = ROUNDS) -> float:
    """Return the minimum processor time of the rounds, in microseconds per item.

    :param work: function that processes all items.
    :param count: number of items.
    :param rounds: number of rounds.
    """
    times = []
    for _ in range(rounds):
        gc.collect()
        started_s = time.process_time()
        work()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6 / count


def claim_request(number: int) -> ClaimRequest:
    """Return the claim of a request as an entry host sends it."""
    key = f"client-account-{number % 3100}/payouts/{number:032x}"
    host = f"entry-{number % 390}"
    claim = Claim(key, number, 1, host, number % 390, "payout-server-1", False)
    return ClaimRequest(f"{host}-{number}", claim)


def outcome_report(number: int) -> OutcomeReport:
    """Return the outcome of a request, with a short recorded answer."""
    claim = claim_request(number).claim
    outcome = Outcome(Verdict.COMPLETED, Reason.NONE, 200, (), b"x" * 100, True)
    return OutcomeReport(
        claim.key, 1, outcome, claim.holder_host, claim.holder_incarnation
    )


def batches(count: int, size: int) -> list[ClaimBatch]:
    """Return batches that claim each key and then record its outcome."""
    command_batches = []
    for start in range(0, count, size):
        numbers = range(start, start + size)
        claims = tuple([claim_request(n) for n in numbers])
        command_batches.append(ClaimBatch(start, claims=claims))
        outcomes = tuple([outcome_report(n) for n in numbers])
        command_batches.append(ClaimBatch(start, outcomes=outcomes))
    return command_batches


def configuration(upstreams: int) -> str:
    """Return a configuration with a number of model engines."""
    sections = []
    for number in range(upstreams):
        sections.append(
            f"[upstream engine-{number}]\nkind = engine\n"
            f"data_centre = dc-{number % 12}\n"
            f"address = 10.{number // 250}.{number % 250}.1:8000\n"
            "models = llama-70b\nprefill_tokens_per_s = 4000\n"
        )
    return "\n".join(sections)


def measure_claims():
    """Yield the costs of a claim with its outcome, by batch size."""
    for size in BATCH_SIZES:
        command_batches = batches(CLAIMS, size)

        def apply_all(command_batches=command_batches):
            claims = Claims()
            for batch in command_batches:
                claims.apply(batch)

        def through_wire(command_batches=command_batches):
            for batch in command_batches[: 2 * len(command_batches) // 10]:
                wire.decode_command(wire.encode_command(batch))

        yield Figure("claim, state machine", size, best_us(apply_all, CLAIMS), "us")
        wire_us = best_us(through_wire, CLAIMS // 10)
        yield Figure("claim, encode and decode", size, wire_us, "us")
        encoded = sum([len(wire.encode_command(b)) for b in command_batches[:100]])
        claim_count = sum([len(b.claims) for b in command_batches[:100]])
        yield Figure("claim, log bytes", size, encoded / claim_count, "bytes")


def filled_state(claims: int, upstreams: int) -> ControlState:
    """Return a state with the given numbers of ended claims and upstreams."""
    state = ControlState()
    for batch in batches(claims, 100):
        state.apply(wire.decode_command(wire.encode_command(batch)))
    proposal = ConfigProposal("first", 0, "ann", configuration(upstreams))
    state.apply(ConfigChange(0, proposal))
    return state


def measure_snapshots():
    """Yield the size and time of snapshots, and the memory of claims."""
    for count in CLAIM_COUNTS:
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        state = filled_state(count, 0)
        gc.collect()
        used_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        yield Figure(
            "claims, memory per 1000", count, used_bytes * 1000 / count, "bytes"
        )
        yield from _snapshot_figures("snapshot of claims", count, state)
    for count in UPSTREAM_COUNTS:
        state = filled_state(0, count)
        yield from _snapshot_figures("snapshot of upstreams", count, state)


def _snapshot_figures(name: str, count: int, state: ControlState):
    data = wire.encode(state.snapshot())
    yield Figure(name, count, len(data), "bytes")
    encode_us = best_us(lambda: wire.encode(state.snapshot()), 1000)
    yield Figure(f"{name}, encode", count, encode_us, "ms")

    def restore():
        ControlState().restore(wire.decode(ControlSnapshot, data))

    yield Figure(f"{name}, restore", count, best_us(restore, 1000), "ms")


class SingleReplicaGroup:
    """Control group of one replica on a virtual clock."""

    def __init__(self, entry_hosts: int):
        self.hosts = tuple([f"entry-{n}" for n in range(entry_hosts)])
        raft = Raft("c1", 1, ("c1",), RaftState(), RaftTiming(), lambda: 0.5)
        snapshot_type = ControlSnapshot
        peers = ("c1", *self.hosts)
        self.role = Controller(
            "c1",
            raft,
            "dc",
            peers,
            wire.encode,
            lambda d: wire.decode(snapshot_type, d),
        )
        self.raft = raft
        self.now_ms = 0
        self.sequence = 0
        while not raft.is_leader:
            self.tick()

    def handle(self, event) -> list:
        """Return the actions that an event causes, except those that persist state."""
        actions = list(self.role.handle(event, self.now_ms))
        return [a for a in actions if not isinstance(a, PersistAction)]

    def tick(self) -> list:
        """Advance the clock by one tick and handle it."""
        self.now_ms += TICK_MS
        return self.handle(Tick())

    def send_heartbeats(self, version: int) -> list:
        """Deliver a heartbeat of every entry host, encoded and decoded as a frame."""
        self.sequence += 1
        actions = []
        for host in self.hosts:
            heartbeat = Heartbeat(
                "dc",
                "entry",
                self.sequence,
                version,
                False,
                "c1",
                reads_packed_config=True,
            )
            data = wire.encode(Frame(host, 1, (heartbeat,)))
            frame = wire.decode(Frame, data)
            actions += self.handle(Received(host, 1, frame.messages[0]))
        return actions


def encoded_bytes(actions: list) -> int:
    """Encode the frames that actions send and return their size in bytes."""
    sends = [a for a in actions if isinstance(a, Send)]
    return sum([len(wire.encode(Frame("c1", 1, (s.message,)))) for s in sends])


def measure_heartbeats():
    """Yield the leader's cost of the heartbeats from and to each host."""
    for count in HOST_COUNTS:
        group = SingleReplicaGroup(count)

        def exchange_heartbeats(group=group):
            for _ in range(HEARTBEAT_ROUNDS):
                group.send_heartbeats(0)
                group.now_ms += 150
                encoded_bytes(group.tick())

        per_host_us = best_us(exchange_heartbeats, count * HEARTBEAT_ROUNDS)
        yield Figure("heartbeat in and out, per host", count, per_host_us, "us")
        group.now_ms += 150
        per_host = encoded_bytes(group.tick()) / count
        yield Figure("heartbeat out, per host", count, per_host, "bytes")


class ThreeReplicaGroup:
    """Control group of three replicas that exchange frames in memory.

    It sums the leader's processor time and sent bytes.
    """

    def __init__(self):
        names = ("c1", "c2", "c3")
        self.now_ms = 0
        self.cpu_s = 0.0
        self.sent_bytes = 0
        self.roles = {}
        for number, name in enumerate(names):
            jitter = number / 10
            raft = Raft(
                name, number + 1, names, RaftState(), RaftTiming(), lambda j=jitter: j
            )
            self.roles[name] = Controller(
                name,
                raft,
                "dc",
                names,
                wire.encode,
                lambda data: wire.decode(ControlSnapshot, data),
            )
        self.leader = ""
        while not self.leader:
            self.step({})
            views = {n: r.view(self.now_ms) for n, r in self.roles.items()}
            self.leader = next((n for n, v in views.items() if v.is_leader), "")

    def step(self, frames: dict[str, bytes]) -> list:
        """Advance by one tick with frames for the leader.

        :param frames: encoded frames by their sender.
        :return: frames sent to other hosts.
        """
        self.now_ms += TICK_MS
        pending = [(self.leader, data) for data in frames.values()]
        pending += [(name, None) for name in self.roles]
        replies = []
        while pending:
            name, data = pending.pop(0)
            started_s = time.process_time()
            sent = self._handle(name, data)
            if name == self.leader:
                self.cpu_s += time.process_time() - started_s
                self.sent_bytes += sum([len(encoded) for _, encoded in sent])
            replies += [encoded for host, encoded in sent if host not in self.roles]
            pending += [frame for frame in sent if frame[0] in self.roles]
        return replies

    def _handle(self, name: str, data: bytes | None) -> list:
        role = self.roles[name]
        events = [Tick()]
        if data is not None:
            frame = wire.decode(Frame, data)
            events = [
                Received(frame.sender, frame.incarnation, m) for m in frame.messages
            ]
        by_host: dict[str, list] = {}
        for event in events:
            for action in role.handle(event, self.now_ms):
                if isinstance(action, AppendEntries):
                    self._store(action)
                elif isinstance(action, Send):
                    by_host.setdefault(action.to_host, []).append(action.message)
        return [
            (host, wire.encode(Frame(name, 1, tuple(messages))))
            for host, messages in by_host.items()
        ]

    def _store(self, action: AppendEntries) -> None:
        for entry in action.entries:
            wire.encode(entry)


def measure_leader():
    """Yield the leader's total cost of a claim with its outcome."""
    for in_flight in BATCH_SIZES:
        group = ThreeReplicaGroup()
        rounds = max(LEADER_CLAIMS // in_flight, 1)
        before = group.roles[group.leader].view(0).commit_index
        group.cpu_s = 0.0
        group.sent_bytes = 0
        for number in range(rounds):
            numbers = range(number * in_flight, (number + 1) * in_flight)
            for make in (_claim_of_one_host, outcome_report):
                messages = tuple([make(n) for n in numbers])
                frame = wire.encode(Frame("entry-0", 0, messages))
                group.step({"entry-0": frame})
                for _ in range(OUTCOME_STEPS):
                    group.step({})
        count = rounds * in_flight
        claims = group.roles[group.leader].state.claims
        if (len(claims), claims.open_count) != (count, 0):
            raise RuntimeError("some claims were not recorded or have no outcome")
        entries = group.roles[group.leader].view(0).commit_index - before
        yield Figure("claim, leader in all", in_flight, group.cpu_s * 1e6 / count, "us")
        yield Figure(
            "claim, leader's bytes out", in_flight, group.sent_bytes / count, "bytes"
        )
        yield Figure("claim, log entries", in_flight, entries / count, "entries")


def _claim_of_one_host(number: int) -> ClaimRequest:
    request = claim_request(number)
    claim = replace(request.claim, holder_host="entry-0", holder_incarnation=0)
    return replace(request, claim=claim)


def measure_changes():
    """Yield the leader's cost of a configuration change, sent in full to every host."""
    for upstreams in UPSTREAM_COUNTS:
        content = configuration(upstreams)
        for count in HOST_COUNTS:
            group = SingleReplicaGroup(count)
            group.send_heartbeats(0)
            sent = []

            def change(group=group, sent=sent, content=content):
                for _ in range(CHANGE_ROUNDS):
                    base = group.role.state.configuration.version
                    proposal = ConfigProposal(f"c{base}", base, "ann", content)
                    group.send_heartbeats(base)
                    group.now_ms += 300
                    actions = group.handle(OperatorProposal(base, proposal))
                    sent.append(encoded_bytes(actions))

            ms = best_us(change, CHANGE_ROUNDS, rounds=1) / 1000
            name = f"change of {upstreams} upstreams, by hosts"
            yield Figure(name, count, ms, "ms")
            yield Figure(name, count, max(sent), "bytes")


def main(json_file: str = ""):
    """Run all measurements and print a table.

    :param json_file: path of a file for the figures as JSON; empty writes none.
    """
    figures = []
    for measure in (
        measure_claims,
        measure_leader,
        measure_snapshots,
        measure_heartbeats,
        measure_changes,
    ):
        for figure in measure():
            print(
                f"{figure.name:45} {figure.size:8} {figure.value:14.2f} {figure.unit}"
            )
            figures.append(figure)
    if json_file:
        text = json.dumps([asdict(f) for f in figures], indent=1)
        Path(json_file).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main)
