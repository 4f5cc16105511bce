"""Streams of frames between hosts, over gRPC.

Messages to the same peer that are queued in one loop iteration are sent in one
frame. Delivery is not guaranteed: messages to a slow or unreachable peer can be
lost, and the roles of the core resend the messages that matter.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
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
SILENCE_TIMEOUT_MS = 1500
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
RelayHandler = Callable[[AsyncIterator, grpc.aio.ServicerContext], AsyncIterator]


@dataclass(frozen=True, slots=True)
class Credentials:
    """gRPC credentials; both are None when TLS is off."""

    server: grpc.ServerCredentials | None = None
    channel: grpc.ChannelCredentials | None = None


class PeerSilent(Exception):
    """No frame of a peer has arrived for long, so that the connection may be dead."""


class PeerLink:
    """Outbound stream of frames to one peer, reopened whenever it ends.

    If messages were sent and no frame of the peer has arrived for
    ``SILENCE_TIMEOUT_MS``, the connection is replaced, since it may be dead. Whatever
    ends a connection, the link opens another one until it is stopped; a message that
    can't be encoded is left out.

    :param peer: the peer.
    :param sender: name of this host.
    :param incarnation: incarnation of this process.
    :param tls: credentials for the connection.

    ``sent_ms`` is when the last message was queued, on the monotonic clock.
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
        self._silent_since_ms: int | None = None
        self.sent_ms = now_ms()

    def mark_received(self) -> None:
        """Record that a frame of the peer has arrived."""
        self._silent_since_ms = None

    def start(self) -> None:
        """Start connecting and sending."""
        self._task = asyncio.create_task(self._run())

    def send(self, message: Message) -> None:
        """Queue a message; drop the oldest one if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.popleft()
            self.dropped_messages += 1
        self._queue.append(message)
        self.sent_ms = now_ms()
        if self._silent_since_ms is None:
            self._silent_since_ms = self.sent_ms
        self._wake.set()

    async def stop(self) -> None:
        """Close the stream."""
        if self._task is None:
            return
        # A cancellation that coincides with the end of a write or of the call is
        # lost, so it is repeated.
        while not self._task.done():
            self._task.cancel()
            await asyncio.wait((self._task,), timeout=CANCEL_INTERVAL_MS / 1000)

    async def _run(self) -> None:
        while True:
            try:
                async with self._channel() as channel:
                    await self._send_frames(channel)
            except PeerSilent:
                # The messages that wait were queued just now, and the peer may be well:
                # it had nothing to answer.
                continue
            except (grpc.RpcError, TimeoutError, asyncio.InvalidStateError):
                self._drop_queue()
            except Exception as error:
                # Nothing else restarts the link, so no error may end it.
                logs.write_rate_limited(
                    "peer_link_failed", peer=self.peer.name, detail=repr(error)
                )
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
                proto = self._next_frame()
                async with asyncio.timeout(WRITE_TIMEOUT_MS / 1000):
                    await call.write(proto)
        finally:
            call.cancel()

    def _next_frame(self) -> peridotfront_pb2.Frame:
        frame = Frame(self.sender, self.incarnation, self._take_batch())
        proto, errors = wire.write_frame(frame)
        self.dropped_messages += len(errors)
        for error in errors:
            logs.write_rate_limited(
                "message_unwritable", peer=self.peer.name, detail=str(error)
            )
        return proto

    def _check_silence(self) -> None:
        if self._silent_since_ms is None:
            return
        if now_ms() - self._silent_since_ms >= SILENCE_TIMEOUT_MS:
            self._silent_since_ms = now_ms()
            raise PeerSilent

    def _take_batch(self) -> tuple[Message, ...]:
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
    """gRPC servicer that passes on the frames of known peers.

    :param on_frame: function called with each frame.
    :param senders: names of the accepted hosts; None accepts all.
    :param requires_certificate: whether the peer's certificate must contain the
        sender's name.
    :param relay: handler of connections to upstreams for other hosts, if any.
    """

    def __init__(
        self,
        on_frame: FrameHandler,
        senders: frozenset[str] | None,
        requires_certificate: bool,
        relay: RelayHandler | None,
    ):
        self._relay = relay
        self._on_frame = on_frame
        self._senders = senders
        self._requires_certificate = requires_certificate

    async def Exchange(self, request_iterator, context):  # noqa: N802
        """Read the frames of one peer until its stream ends or a sender is refused."""
        with contextlib.suppress(asyncio.CancelledError):
            async for proto in request_iterator:
                if not self._is_authenticated(proto.sender, context):
                    logs.write("peer_unauthenticated", peer=proto.sender)
                    break
                self._on_frame(_read_frame(proto))
        return peridotfront_pb2.Received()

    async def Relay(self, request_iterator, context):  # noqa: N802
        """Pass on the bytes of another host's connection to an upstream."""
        if self._relay is None or self._requires_certificate:
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, "no relay here")
        relayed = self._relay(request_iterator, context)
        async with contextlib.aclosing(relayed):
            async for message in relayed:
                yield message

    def _is_authenticated(self, sender: str, context: grpc.aio.ServicerContext) -> bool:
        if self._senders is not None and sender not in self._senders:
            return False
        if not self._requires_certificate:
            return True
        return sender.encode() in (context.peer_identities() or ())


def _read_frame(proto: peridotfront_pb2.Frame) -> Frame:
    frame, errors = wire.read_frame(proto)
    for error in errors:
        logs.write_rate_limited("frame_invalid", peer=frame.sender, detail=str(error))
    return frame


class Transport:
    """Streams between a process and all its peers.

    :param name: name of this host.
    :param incarnation: random number of this start of the process.
    :param peers: the other processes of the deployment.
    :param on_frame: function called with each received frame.
    :param tls: credentials; without them the streams are not encrypted.
    :param allow_unlisted_peers: whether to exchange frames with hosts that are not
        in ``peers``; their names are the addresses at which they listen.
    :param relay: handler of connections to upstreams for other hosts, if any.

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
        relay: RelayHandler | None = None,
    ):
        self._relay = relay
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
        """Listen for peers and start connecting to them.

        :param listen_address: IP address and port; port 0 lets the kernel choose.
        :return: the port that the transport listens on.
        :raises RuntimeError: if the address can't be bound.
        """
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        requires_certificate = self._tls.server is not None
        senders = None if self._allow_unlisted_peers else frozenset(self.links)
        servicer = _Servicer(self._receive, senders, requires_certificate, self._relay)
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
        """Queue a message to a peer; log and drop it if the peer is unknown."""
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
        idle = [name for name, link in self.links.items() if link.sent_ms < oldest_ms]
        for name in idle:
            self._stopping.start(self.links.pop(name).stop())

    def _receive(self, frame: Frame) -> None:
        link = self.links.get(frame.sender)
        if link is not None:
            link.mark_received()
        self._on_frame(frame)

    async def stop(self) -> None:
        """Close all streams."""
        for link in self.links.values():
            await link.stop()
        if self._server is not None:
            await self._server.stop(grace=None)
