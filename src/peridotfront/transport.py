"""Streams of frames between hosts, over gRPC.

Messages that are due to the same peer in one turn of the loop leave in one
frame. Delivery is not promised: a peer that is slow or away loses messages, and
the roles of the core send again what matters.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import grpc

from . import logs, wire
from .addresses import Peer
from .core.messages import Frame, Message
from .proto import peridotfront_pb2, peridotfront_pb2_grpc
from .runtime import BackgroundTasks, now_ms

MAX_QUEUED_MESSAGES = 10_000
MAX_FRAME_MESSAGES = 512
MAX_FRAME_BYTES = 16 * 1024 * 1024
RECONNECT_MS = 200
SILENCE_MS = 1500
CONNECT_MS = 1000
IDLE_LINK_MS = 30_000
WRITE_TIMEOUT_MS = 2000
CANCEL_INTERVAL_MS = 100
KEEPALIVE_MS = 2000
CHANNEL_OPTIONS = (
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MS),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.min_reconnect_backoff_ms", CONNECT_MS),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
)

FrameHandler = Callable[[Frame], None]


@dataclass(frozen=True, slots=True)
class Credentials:
    """Holds gRPC credentials; both are None when TLS is off."""

    server: grpc.ServerCredentials | None = None
    channel: grpc.ChannelCredentials | None = None


class PeerLink:
    """Sends frames to one peer and connects again whenever the stream ends.

    A peer that was sent something and is not heard for ``SILENCE_MS`` gets a new
    connection, since the old one may have gone silent for good.
    """

    def __init__(self, peer: Peer, sender: str, incarnation: int, tls: Credentials):
        self.peer = peer
        self.sender = sender
        self.incarnation = incarnation
        self.dropped_messages = 0
        self._tls = tls
        self._queue: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._unheard_since_ms: int | None = None
        self.sent_ms = now_ms()

    def heard(self) -> None:
        """Note that a frame of the peer has arrived."""
        self._unheard_since_ms = None

    def start(self) -> None:
        """Start to connect and to send."""
        self._task = asyncio.create_task(self._run())

    def send(self, message: Message) -> None:
        """Queue a message; the oldest ones are dropped when the queue is full."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.popleft()
            self.dropped_messages += 1
        self._queue.append(message)
        self.sent_ms = now_ms()
        if self._unheard_since_ms is None:
            self._unheard_since_ms = self.sent_ms
        self._wake.set()

    async def stop(self) -> None:
        """Close the stream."""
        if self._task is None:
            return
        # A cancellation that meets the end of a write or of the call gets lost.
        while not self._task.done():
            self._task.cancel()
            await asyncio.wait((self._task,), timeout=CANCEL_INTERVAL_MS / 1000)

    async def _run(self) -> None:
        while True:
            async with self._channel() as channel:
                try:
                    await self._send_frames(channel)
                except (grpc.RpcError, TimeoutError, asyncio.InvalidStateError):
                    self._drop_queue()
            await asyncio.sleep(RECONNECT_MS / 1000)

    def _channel(self) -> grpc.aio.Channel:
        address = self.peer.address
        if self._tls.channel is None:
            return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        options = (*CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", self.peer.name))
        return grpc.aio.secure_channel(address, self._tls.channel, options=options)

    async def _send_frames(self, channel: grpc.aio.Channel) -> None:
        call = peridotfront_pb2_grpc.PeerStub(channel).Exchange(wait_for_ready=True)
        try:
            while True:
                await self._wake.wait()
                self._check_silence()
                frame = Frame(self.sender, self.incarnation, self._take())
                write = call.write(wire.to_proto(frame))
                await asyncio.wait_for(write, WRITE_TIMEOUT_MS / 1000)
        finally:
            call.cancel()

    def _check_silence(self) -> None:
        if self._unheard_since_ms is None:
            return
        if now_ms() - self._unheard_since_ms >= SILENCE_MS:
            self._unheard_since_ms = now_ms()
            raise TimeoutError("the peer is silent")

    def _take(self) -> tuple[Message, ...]:
        count = min(len(self._queue), MAX_FRAME_MESSAGES)
        messages = tuple([self._queue.popleft() for _ in range(count)])
        if not self._queue:
            self._wake.clear()
        return messages

    def _drop_queue(self) -> None:
        self.dropped_messages += len(self._queue)
        self._queue.clear()
        self._wake.clear()


class _Servicer(peridotfront_pb2_grpc.PeerServicer):
    """Hands on the frames of known peers.

    :param senders: the host names that are heard; None for all.
    :param is_verified: whether a sender must be named by its certificate.
    """

    def __init__(
        self,
        on_frame: FrameHandler,
        senders: frozenset[str] | None,
        is_verified: bool,
    ):
        self._on_frame = on_frame
        self._senders = senders
        self._is_verified = is_verified

    async def Exchange(self, request_iterator, context):  # noqa: N802
        """Read the frames of one peer until its stream ends or it is refused."""
        with contextlib.suppress(asyncio.CancelledError):
            async for proto in request_iterator:
                if not self._is_genuine(proto.sender, context):
                    logs.write("peer_unauthenticated", peer=proto.sender)
                    break
                self._on_frame(wire.from_proto(Frame, proto))
        return peridotfront_pb2.Received()

    def _is_genuine(self, sender: str, context: grpc.aio.ServicerContext) -> bool:
        if self._senders is not None and sender not in self._senders:
            return False
        if not self._is_verified:
            return True
        return sender.encode() in (context.peer_identities() or ())


class Transport:
    """Connects a process with all its peers.

    :param name: the own host name.
    :param incarnation: drawn anew at each start.
    :param peers: the other processes of the deployment.
    :param on_frame: called with each frame that arrives.
    :param tls: credentials; without them the streams are not encrypted.
    :param allow_unlisted_peers: whether hosts that ``peers`` doesn't name are heard and
        sent to; their names are the addresses at which they listen.

    Usage::

        transport = Transport("entry-1", 42, peers, on_frame)
        await transport.start("127.0.0.1:7001")
        transport.send("control-1", message)
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        peers: Iterable[Peer],
        on_frame: FrameHandler,
        tls: Credentials | None = None,
        allow_unlisted_peers: bool = False,
    ):
        self.name = name
        self._incarnation = incarnation
        self._allow_unlisted_peers = allow_unlisted_peers
        self._tls = tls or Credentials()
        self._on_frame = on_frame
        self.links = {
            peer.name: PeerLink(peer, name, incarnation, self._tls)
            for peer in peers
            if peer.name != name
        }
        self._server: grpc.aio.Server | None = None
        self._stopping = BackgroundTasks()

    async def start(self, listen_address: str) -> int:
        """Listen for peers and start to connect to them.

        :param listen_address: IP number and port; port 0 lets the kernel pick.
        :return: the port.
        :raises RuntimeError: if the address can't be bound.
        """
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        is_verified = self._tls.server is not None
        senders = None if self._allow_unlisted_peers else frozenset(self.links)
        servicer = _Servicer(self._receive, senders, is_verified)
        peridotfront_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        if self._tls.server is None:
            port = self._server.add_insecure_port(listen_address)
        else:
            port = self._server.add_secure_port(listen_address, self._tls.server)
        await self._server.start()
        for link in self.links.values():
            link.start()
        return port

    def send(self, to_host: str, message: Message) -> None:
        """Queue a message to a peer; unknown peers are ignored."""
        link = self.links.get(to_host)
        if link is None and self._allow_unlisted_peers:
            link = self._open_link(to_host)
        if link is None:
            logs.write("peer_unknown", peer=to_host)
            return
        link.send(message)

    def _open_link(self, address: str) -> PeerLink:
        self._drop_idle_links()
        peer = Peer(address, "", "", address)
        link = PeerLink(peer, self.name, self._incarnation, self._tls)
        self.links[address] = link
        link.start()
        return link

    def _drop_idle_links(self) -> None:
        oldest_ms = now_ms() - IDLE_LINK_MS
        idle = [name for name, one in self.links.items() if one.sent_ms < oldest_ms]
        for name in idle:
            self._stopping.start(self.links.pop(name).stop())

    def _receive(self, frame: Frame) -> None:
        link = self.links.get(frame.sender)
        if link is not None:
            link.heard()
        self._on_frame(frame)

    async def stop(self) -> None:
        """Close all streams."""
        for link in self.links.values():
            await link.stop()
        if self._server is not None:
            await self._server.stop(grace=None)
