"""Processor, memory and network cost of control work, for docs/CAPACITY.md.

Usage::

    PYTHONPATH=src python -m benchmarks.capacity
"""

import asyncio
import hashlib
import json
import socket
import time
import tracemalloc

from peridotfront import wire
from peridotfront.addresses import Peer
from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.claim_client import ClaimClient
from peridotfront.core.config_follower import ConfigFollower
from peridotfront.core.dispatcher_events import Dispatch, DispatchEnded, RequestArrived
from peridotfront.core.entry_role import EntryRole
from peridotfront.core.fleet import UpstreamKind
from peridotfront.core.host_monitor import HostMonitor
from peridotfront.core.messages import (
    BegunStream,
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    ConfigUpdate,
    Frame,
    Grant,
    Heartbeat,
    HeldSlot,
    Outcome,
    OutcomeAck,
    OutcomeReport,
    Release,
    ReleaseCause,
    StreamsBegun,
)
from peridotfront.core.requests import Request
from peridotfront.core.scheduler_events import FleetChanged
from peridotfront.core.stream_origins import RETENTION_MS, StreamOrigins
from peridotfront.core.verdicts import Reason, Verdict
from peridotfront.fleet_config import parse_fleet
from peridotfront.transport import Transport

HOSTS = (6, 100, 390)
UPSTREAMS = (6, 100, 1000, 4100)
ACCOUNTS = (5, 500, 3100)
ENGINES_A_CELL = 10
ORIGINS = (1_500, 15_000, 150_000)
ROUNDS = 2000
FRAME_SIZES = (1, 8, 64)
FRAMES = 400
DONE = Outcome(Verdict.COMPLETED, Reason.NONE, 200)


def build_configuration(upstreams, accounts, cells=1):
    """Return a configuration with a number of upstreams, accounts and cells."""
    parts = [
        f"[upstream e{n}]\nkind = engine\ndata_centre = dc{n % cells}\n"
        f"address = 127.0.0.1:{n + 1}\nmodels = m1, m2, m3, m4, m5, m6\n"
        "max_slots = 64\nkv_capacity_tokens = 400000\n"
        for n in range(upstreams)
    ]
    for number in range(accounts):
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        parts.append(f"[client_account a{number}]\nkey_sha256 = {digest}\n")
    return "\n".join(parts)


def build_request(number, blocks, key=""):
    """Return a request whose prompt has a number of blocks of 64 tokens."""
    return Request(
        request_id=f"request-{number:016d}",
        key=key,
        fingerprint=number,
        client_account="a1",
        tier=1 + number % 5,
        kind=UpstreamKind.ENGINE,
        service="",
        model="m1",
        prompt_tokens=64 * blocks,
        output_tokens=100,
        prefix_hashes=tuple(range(2**62, 2**62 + blocks)),
        deadline_ms=30_000,
        is_idempotent=True,
    )


def build_entry_role(hosts, fleet):
    """Return an entry role that schedules its cell, in a cluster of the given size."""
    names = tuple(f"h{number}" for number in range(1, hosts))
    host_monitor = HostMonitor("h0", "dc0", names, 400, 1500)
    role = EntryRole(host_monitor, ConfigFollower(), ClaimClient("h0", 1), 1)
    list(role.handle(FleetChanged(fleet), 0))
    for name in names:
        list(role.handle(heartbeat_received(name), 1))
    for now_ms in range(0, 1000, 10):
        list(role.handle(Tick(), now_ms))
    return role


def heartbeat_received(name):
    """Return the event for a received heartbeat."""
    heartbeat = Heartbeat("dc1", "entry", 1, 1, False)
    return Received(name, 2, heartbeat)


def per_call_us(call, rounds=ROUNDS):
    """Return the mean processor time of a call, in microseconds."""
    started_s = time.process_time()
    for number in range(rounds):
        call(number)
    return (time.process_time() - started_s) / rounds * 1e6


def size_bytes(message):
    """Return the number of bytes that a message adds to a frame."""
    empty = wire.encode(Frame("entry-100", 1 << 61, ()))
    return len(wire.encode(Frame("entry-100", 1 << 61, (message,)))) - len(empty)


def message_sizes():
    """Return the sizes of the control messages, in bytes."""
    sizes = {}
    for blocks in (1, 8, 80):
        slot_request = build_request(1, blocks).build_slot_request("dc0/engines", 0)
        sizes[f"Want, {blocks} blocks"] = size_bytes(slot_request)
        sizes[f"HeldSlot, {blocks} blocks"] = size_bytes(
            HeldSlot(slot_request, "e1", 5)
        )
    sizes["Grant"] = size_bytes(Grant("request-1", "dc0/engines", "e1", 3000, 64))
    release = Release(
        "request-1", "dc0/engines", "e1", ReleaseCause.COMPLETED, 64, 0, 100, 50, 900
    )
    sizes["Release"] = size_bytes(release)
    key = "account-1/model/0123456789abcdef"
    claim = Claim(key, 1 << 62, 1, "entry-100", 1 << 61, "e1", True)
    claim_request = ClaimRequest("request-1", claim)
    sizes["ClaimRequest"] = size_bytes(claim_request)
    sizes["ClaimReply"] = size_bytes(
        ClaimReply("request-1", key, ClaimStatus.GRANTED, claim)
    )
    sizes["OutcomeReport, no body"] = size_bytes(OutcomeReport(key, 1, DONE))
    sizes["OutcomeAck"] = size_bytes(OutcomeAck(key, 1))
    begun = BegunStream("0123456789abcdef", "models-1", "v1.1", 50)
    sizes["StreamsBegun, 1 stream"] = size_bytes(StreamsBegun((begun,)))
    sizes["StreamsBegun, 25 streams"] = size_bytes(StreamsBegun((begun,) * 25))
    sizes["Heartbeat"] = size_bytes(heartbeat_received("h").message)
    for upstreams in UPSTREAMS:
        text = build_configuration(upstreams, 3100 if upstreams > 1000 else 5)
        update = ConfigUpdate(1, "change-1", "ann", text)
        sizes[f"ConfigUpdate, {upstreams} upstreams"] = size_bytes(update)
    return sizes


def request_cost(blocks):
    """Return the processor time of an entry role's work on a request.

    Encoding and decoding of messages are not included.
    """
    fleet = parse_fleet(build_configuration(ENGINES_A_CELL, 5), 1)
    role = build_entry_role(6, fleet)
    clock = {"now_ms": 10_000}

    def run(number):
        clock["now_ms"] += 1
        now_ms = clock["now_ms"]
        request = build_request(number, blocks)
        actions = list(role.handle(RequestArrived(request), now_ms))
        assert any(isinstance(action, Dispatch) for action in actions), actions
        ended = DispatchEnded(
            request.request_id, ReleaseCause.COMPLETED, DONE, 0, 100, 40
        )
        list(role.handle(ended, now_ms + 1))

    return per_call_us(run)


def heartbeat_cost(hosts):
    """Return processor time and memory for the heartbeats of a number of hosts."""
    fleet = parse_fleet(build_configuration(ENGINES_A_CELL, 5), 1)
    tracemalloc.start()
    role = build_entry_role(hosts, fleet)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    def receive_heartbeat(number):
        list(role.handle(heartbeat_received(f"h{1 + number % (hosts - 1)}"), 1001))

    def send_heartbeats(number):
        role.host_monitor.request_heartbeat()
        sends = list(role.handle(Tick(), 1002 + number))
        assert sum(isinstance(action, Send) for action in sends) >= hosts - 1

    return {
        "hear_us": round(per_call_us(receive_heartbeat), 1),
        "beat_to_all_us": round(per_call_us(send_heartbeats, 200), 1),
        "role_memory_kb": round(memory_bytes / 1024),
    }


def origin_cost(streams):
    """Return the cost of the origins of a number of streams.

    Each origin is as old as the retention when the next one is recorded, so that the
    number stays the same while it is measured.
    """
    interval_ms = RETENTION_MS / streams

    def begun(number):
        return BegunStream(f"{number:016x}", "models-1", f"v1.{number % 3}", 0)

    tracemalloc.start()
    origins = StreamOrigins()
    for number in range(streams):
        origins.record(begun(number), int(number * interval_ms))
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    def record(number):
        origins.record(begun(streams + number), int((streams + number) * interval_ms))

    record_us = per_call_us(record)
    assert len(origins) <= streams + 1, len(origins)
    return {"bytes": round(memory_bytes / streams), "record_us": round(record_us, 1)}


def configuration_cost(upstreams, accounts):
    """Return the time and memory to parse and apply a configuration."""
    text = build_configuration(
        upstreams, accounts, cells=max(1, upstreams // ENGINES_A_CELL)
    )
    tracemalloc.start()
    fleet = parse_fleet(text, 1)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    parse_ms = per_call_us(lambda _: parse_fleet(text, 1), 3) / 1000
    role = build_entry_role(6, fleet)
    apply_ms = per_call_us(lambda n: list(role.handle(FleetChanged(fleet), n)), 3)
    return {
        "text_kb": round(len(text) / 1024),
        "parse_ms": round(parse_ms, 1),
        "apply_ms": round(apply_ms / 1000, 2),
        "fleet_memory_kb": round(memory_bytes / 1024),
    }


async def frame_cost(messages):
    """Return the processor time of a frame for sender and receiver, in us.

    :param messages: number of messages sent together.
    """
    received = asyncio.Event()
    count = {"frames": 0}

    def on_frame(frame):
        count["frames"] += 1
        received.set()

    ports = [free_port(), free_port()]
    peers = [
        Peer(name, "entry", "dc", f"127.0.0.1:{port}")
        for name, port in zip("ab", ports, strict=True)
    ]
    sender = Transport("a", 1, peers, on_frame)
    receiver = Transport("b", 2, peers, on_frame)
    await sender.start(peers[0].address)
    await receiver.start(peers[1].address)
    slot_request = build_request(1, 8).build_slot_request("dc0/engines", 0)
    started_s = time.process_time()
    for _ in range(FRAMES):
        received.clear()
        for _ in range(messages):
            sender.send("b", slot_request)
        await received.wait()
    used_s = time.process_time() - started_s
    await sender.stop()
    await receiver.stop()
    return used_s / count["frames"] * 1e6


def free_port():
    """Return a free port chosen by the kernel."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def main():
    """Run all measurements and print them as JSON."""
    frames = {n: round(asyncio.run(frame_cost(n)), 1) for n in FRAME_SIZES}
    results = {
        "message_bytes": message_sizes(),
        "request_us": {b: round(request_cost(b), 1) for b in (1, 8, 80)},
        "frame_us, both ends": frames,
        "hosts": {n: heartbeat_cost(n) for n in HOSTS},
        "origins": {n: origin_cost(n) for n in ORIGINS},
        "upstreams": {n: configuration_cost(n, 5) for n in UPSTREAMS},
        "accounts": {n: configuration_cost(100, n) for n in ACCOUNTS},
        "target": configuration_cost(4100, 3100),
    }
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
