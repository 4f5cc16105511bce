"""Steps for the streams of frames between two processes."""

import asyncio
import contextlib
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from support.authority import Authority
from support.deployment import free_port

from peridotfront.addresses import Peer
from peridotfront.core.messages import JoinRequest
from peridotfront.tls import peer_channel_credentials, peer_server_credentials
from peridotfront.transport import Credentials, Transport

ACCEPT_TIMEOUT_S = 3.0
DROP_WAIT_S = 1.0


def credentials(context, name):
    if context.authority is None:
        return Credentials()
    certificate, key = context.authority.issue(name, "127.0.0.1")
    files = (certificate, key, context.authority.file)
    return Credentials(
        server=peer_server_credentials(*files),
        channel=peer_channel_credentials(*files),
    )


def peer(name, port):
    return Peer(name, "entry", "dc", f"127.0.0.1:{port}")


@given('a host "a" that knows the peers "b" and "c", with TLS {state}')
def receiving_host(context, state):
    folder = Path(tempfile.mkdtemp())
    context.authority = Authority(folder) if state == "on" else None
    context.port = free_port()


@when('a process with the certificate of "{owner}" sends it a frame as "{sender}"')
def send_frame(context, owner, sender):
    context.frames = asyncio.run(exchange(context, owner, sender))


async def exchange(context, owner, sender):
    frames = []
    received = asyncio.Event()

    def on_frame(frame):
        frames.append(frame)
        received.set()

    peers = [peer("b", free_port()), peer("c", free_port())]
    receiver = Transport("a", 1, peers, on_frame, credentials(context, "a"))
    await receiver.start(f"127.0.0.1:{context.port}")
    target = [peer("a", context.port)]
    tls = credentials(context, owner)
    process = Transport(sender, 2, target, lambda frame: None, tls)
    await process.start(f"127.0.0.1:{free_port()}")
    process.send("a", JoinRequest(7))
    is_authenticated = owner == sender and sender in ("b", "c")
    limit_s = ACCEPT_TIMEOUT_S if is_authenticated else DROP_WAIT_S
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(received.wait(), limit_s)
    await process.stop()
    await receiver.stop()
    return frames


@then("the frame is {fate}")
def check_fate(context, fate):
    senders = [frame.sender for frame in context.frames]
    assert bool(senders) == (fate == "accepted"), senders


@when('"b" sends it a message, and another one {pause_s:d} s later')
def send_after_pause(context, pause_s):
    context.arrivals_s = asyncio.run(arrivals_after_pause(context, pause_s))


async def arrivals_after_pause(context, pause_s):
    """Return the times from each message to its arrival."""
    arrived_s = []
    receiver = Transport(
        "a",
        1,
        [peer("b", free_port())],
        lambda frame: arrived_s.append(time.monotonic()),
    )
    await receiver.start(f"127.0.0.1:{context.port}")
    sender = Transport("b", 2, [peer("a", context.port)], lambda frame: None)
    await sender.start(f"127.0.0.1:{free_port()}")
    sent_s = []
    for _ in range(2):
        sent_s.append(time.monotonic())
        sender.send("a", JoinRequest(7))
        await asyncio.sleep(pause_s)
    await sender.stop()
    await receiver.stop()
    assert len(arrived_s) == len(sent_s), arrived_s
    return [arrived - sent for arrived, sent in zip(arrived_s, sent_s, strict=True)]


@then("both arrive, the second one within {limit_ms:d} ms")
def check_arrivals(context, limit_ms):
    assert context.arrivals_s[1] <= limit_ms / 1000, context.arrivals_s
