"""Follower side of log replication and snapshot transfer."""

from collections.abc import Iterator
from typing import Any

from .actions import Send
from .messages import AppendReply, AppendRequest, SnapshotChunk, SnapshotReply
from .raft_replica import LocalReplica
from .raft_transfer import SnapshotReceiver


class Follower:
    """Handler of the leader's append requests and snapshot chunks.

    :param local: state of the local replica.
    """

    def __init__(self, local: LocalReplica) -> None:
        self._local = local
        self._receiver = SnapshotReceiver()

    def on_append(self, sender: str, request: AppendRequest) -> Iterator[Any]:
        """Append the entries if the log matches the entry before them."""
        if not self._matches(request):
            hint = self._conflict_hint(request.previous_index)
            yield self.refuse(sender, request, hint)
            return
        yield from self._local.accept(request)
        match_index = request.previous_index + len(request.entries)
        yield from self._local.commit_up_to(min(request.commit_index, match_index))
        yield Send(sender, self._build_reply(request, True, match_index))

    def refuse(self, sender: str, request: AppendRequest, hint: int = 0) -> Send:
        """Return a refusal of entries.

        :param hint: highest index at which the logs may match.
        """
        return Send(sender, self._build_reply(request, False, hint))

    def on_chunk(self, sender: str, chunk: SnapshotChunk) -> Iterator[Any]:
        """Add a snapshot chunk, and install the snapshot once it is complete."""
        if chunk.last_index <= self._local.commit_index:
            yield self.acknowledge(sender, chunk, chunk.total_bytes)
            return
        received_bytes = self._receiver.add_chunk(chunk)
        snapshot = self._receiver.take_complete()
        if snapshot is not None:
            yield from self._local.install(snapshot)
        yield self.acknowledge(sender, chunk, received_bytes)

    def acknowledge(
        self, sender: str, chunk: SnapshotChunk, received_bytes: int = 0
    ) -> Send:
        """Return the acknowledgement of a snapshot chunk.

        :param received_bytes: bytes of the snapshot received so far.
        """
        reply = SnapshotReply(
            term=self._local.term,
            follower_incarnation=self._local.identity.incarnation,
            last_index=chunk.last_index,
            received_bytes=received_bytes,
        )
        return Send(sender, reply)

    def _matches(self, request: AppendRequest) -> bool:
        log = self._local.log
        if request.previous_index <= log.snapshot.last_index:
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _conflict_hint(self, previous_index: int) -> int:
        log = self._local.log
        if previous_index > log.last_index:
            return log.last_index
        first = log.first_index_of_term(previous_index)
        return max(first - 1, self._local.commit_index)

    def _build_reply(
        self, request: AppendRequest, is_success: bool, match_index: int
    ) -> AppendReply:
        return AppendReply(
            term=self._local.term,
            follower_incarnation=self._local.identity.incarnation,
            is_success=is_success,
            match_index=match_index,
            round_number=request.round_number,
        )
