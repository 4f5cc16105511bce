"""Leader side of the protocol: replication, reads and membership changes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .actions import Log, Send
from .messages import (
    AppendReply,
    AppendRequest,
    Command,
    LogEntry,
    MembershipChange,
    NoOp,
    Replica,
    SnapshotChunk,
    SnapshotReply,
)
from .raft_membership import (
    MemberStatus,
    add_learner,
    is_member,
    is_superseded,
    next_change,
    quorum_value,
)
from .raft_progress import Progress, Rounds
from .raft_replica import LocalReplica
from .raft_sizes import estimated_bytes
from .raft_types import PeerDump, ReadFailed, ReadReady

RESEND_HEARTBEATS = 2


@dataclass(frozen=True, slots=True)
class PendingRead:
    """Read that waits until the given heartbeat round or a later one is confirmed."""

    read_id: int
    round_number: int


class Leadership:
    """Leader's state during one term.

    :param local: state of the local replica.
    :param now_ms: time of the election, on the local monotonic clock.
    """

    def __init__(self, local: LocalReplica, now_ms: float) -> None:
        self._local = local
        self._rounds = Rounds()
        self._progress: dict[Replica, Progress] = {}
        self._reads: list[PendingRead] = []
        self._heartbeat_due_ms = now_ms
        self._sync_progress(now_ms)

    def begin(
        self, initial_members: MembershipChange | None, now_ms: float
    ) -> Iterator:
        """Append the first entry of the term and start replication.

        :param initial_members: members of a new group, appended before that entry;
            None if the group exists.
        """
        if initial_members is not None:
            yield from self._append(initial_members, now_ms)
            yield Log("raft_bootstrapped", (("term", self._local.term),))
        yield from self._append(NoOp(), now_ms)
        yield from self._start_round(now_ms)
        yield from self._advance_commit(now_ms)

    def has_quorum(self, now_ms: float) -> bool:
        """Return whether a majority answered within the election timeout."""
        contact_times_ms = [
            now_ms if voter == self._local.identity else self._contact_ms(voter)
            for voter in self._local.log.membership.voters
        ]
        cutoff_ms = now_ms - self._local.timing.election_timeout_ms
        return quorum_value(contact_times_ms) > cutoff_ms

    def tick(self, now_ms: float) -> Iterator:
        """Send the heartbeat that is due and propose the next membership change."""
        if now_ms < self._heartbeat_due_ms:
            return
        self._expire_requests(now_ms)
        yield from self._start_round(now_ms)
        yield from self._advance_membership(now_ms)

    def propose(self, command: Command, now_ms: float) -> Iterator:
        """Append a command and replicate it."""
        yield from self._append(command, now_ms)
        yield from self._replicate(now_ms)
        yield from self._advance_commit(now_ms)

    def read(self, read_id: int, now_ms: float) -> Iterator:
        """Queue a read until a heartbeat round that starts later is confirmed."""
        self._reads.append(PendingRead(read_id, self._rounds.current + 1))
        if self._confirmed_round() == self._rounds.current:
            yield from self._start_round(now_ms)
        yield from self._answer_reads()

    def fail_reads(self) -> Iterator[ReadFailed]:
        """Fail all pending reads at the end of the leadership."""
        for read in self._reads:
            yield ReadFailed(read.read_id)
        self._reads = []

    def on_append_reply(
        self, peer: Replica, reply: AppendReply, now_ms: float
    ) -> Iterator:
        """Update a peer's progress and send it the next entries."""
        progress = self._progress.get(peer)
        if progress is None:
            return
        sent_ms = self._rounds.sent_ms.get(reply.round_number)
        progress.record_round(reply.round_number, sent_ms)
        if reply.is_success:
            progress.record_match(reply.match_index)
            progress.record_caught_up(self._local.commit_index, now_ms)
        else:
            progress.record_mismatch(reply.match_index)
        yield from self._advance_commit(now_ms)
        yield from self._send_entries(peer, progress, now_ms)

    def on_snapshot_reply(
        self, peer: Replica, reply: SnapshotReply, now_ms: float
    ) -> Iterator:
        """Update a peer's snapshot transfer and send it the next chunk."""
        progress = self._progress.get(peer)
        if progress is None or progress.transfer is None:
            return
        snapshot = progress.transfer
        if reply.last_index != snapshot.last_index:
            return
        if reply.received_bytes < len(snapshot.data):
            if reply.received_bytes != progress.transferred_bytes:
                progress.transferred_bytes = reply.received_bytes
                yield self._next_chunk(peer, progress, now_ms)
            return
        progress.record_match(snapshot.last_index)
        yield from self._send_entries(peer, progress, now_ms)

    def on_join(self, joiner: Replica, now_ms: float) -> Iterator:
        """Add a replica as learner if it may join."""
        membership = self._local.log.membership
        if is_member(membership, joiner) or not self._may_change_members():
            return
        if not self._may_join(joiner):
            yield Log("raft_join_refused", (("host", joiner.host),))
            return
        yield from self._change_members(add_learner(membership, joiner), now_ms)

    def _may_join(self, joiner: Replica) -> bool:
        local = self._local
        if joiner.host == local.identity.host:
            return False
        if local.policy.allows_unlisted_hosts:
            return True
        voters = [voter.host for voter in local.log.membership.voters]
        return joiner.host in (*local.peer_hosts, *voters)

    def dump(self, now_ms: float) -> tuple[PeerDump, ...]:
        """Return the progress of all peers for diagnostics."""
        return tuple(
            [
                PeerDump(
                    replica=replica,
                    match_index=progress.match_index,
                    next_index=progress.next_index,
                    silent_ms=int(now_ms - progress.contact_ms),
                    snapshot_bytes_sent=progress.transferred_bytes,
                )
                for replica, progress in self._progress.items()
            ]
        )

    @property
    def pending_reads(self) -> int:
        """Return the number of pending reads."""
        return len(self._reads)

    def _append(self, command: Command, now_ms: float) -> Iterator:
        local = self._local
        entry = LogEntry(local.log.last_index + 1, local.term, command)
        yield from local.append((entry,))
        if isinstance(command, MembershipChange):
            self._sync_progress(now_ms)

    def _sync_progress(self, now_ms: float) -> None:
        membership = self._local.log.membership
        members = [*membership.voters, *membership.learners]
        next_index = self._local.log.last_index + 1
        self._progress = {
            member: self._progress.get(member) or Progress(next_index, now_ms)
            for member in members
            if member != self._local.identity
        }

    def _contact_ms(self, voter: Replica) -> float:
        return self._progress[voter].contact_ms

    def _advance_commit(self, now_ms: float) -> Iterator:
        log = self._local.log
        matches = [
            log.last_index
            if voter == self._local.identity
            else self._progress[voter].match_index
            for voter in log.membership.voters
        ]
        index = quorum_value(matches)
        if log.term_at(index) == self._local.term:
            yield from self._local.commit_up_to(index)
        yield from self._continue_reads(now_ms)

    def _continue_reads(self, now_ms: float) -> Iterator:
        yield from self._answer_reads()
        if not self._reads:
            return
        is_idle = self._confirmed_round() == self._rounds.current
        if is_idle and self._reads[-1].round_number > self._rounds.current:
            yield from self._start_round(now_ms)
            yield from self._answer_reads()

    def _answer_reads(self) -> Iterator[ReadReady]:
        if not self._has_committed_own_term():
            return
        confirmed = self._confirmed_round()
        while self._reads and self._reads[0].round_number <= confirmed:
            yield ReadReady(self._reads.pop(0).read_id)

    def _confirmed_round(self) -> int:
        rounds = [
            self._rounds.current
            if voter == self._local.identity
            else self._progress[voter].round_number
            for voter in self._local.log.membership.voters
        ]
        return quorum_value(rounds)

    def _has_committed_own_term(self) -> bool:
        local = self._local
        return local.log.term_at(local.commit_index) == local.term

    def _may_change_members(self) -> bool:
        is_change_committed = (
            self._local.log.membership_index <= self._local.commit_index
        )
        return is_change_committed and self._has_committed_own_term()

    def _advance_membership(self, now_ms: float) -> Iterator:
        if not self._may_change_members():
            return
        local = self._local
        statuses = [
            self._member_status(r, p, now_ms) for r, p in self._progress.items()
        ]
        change = next_change(local.log.membership, statuses, local.policy)
        if change is not None:
            yield from self._change_members(change, now_ms)

    def _member_status(
        self, replica: Replica, progress: Progress, now_ms: float
    ) -> MemberStatus:
        silent_ms = now_ms - progress.contact_ms
        return MemberStatus(
            replica=replica,
            contact_ms=progress.contact_ms,
            silent_ms=silent_ms,
            is_live=silent_ms < self._local.timing.election_timeout_ms,
            caught_up_ms=progress.caught_up_ms,
            is_caught_up=progress.match_index >= self._local.commit_index,
        )

    def _change_members(self, change: MembershipChange, now_ms: float) -> Iterator:
        election_timeout_ms = self._local.timing.election_timeout_ms
        silent = [
            replica
            for replica, progress in self._progress.items()
            if now_ms - progress.contact_ms >= election_timeout_ms
        ]
        fields = (
            ("voters", _format_replicas(change.voters)),
            ("learners", _format_replicas(change.learners)),
            ("silent", _format_replicas(silent)),
        )
        yield Log("raft_members_changed", fields)
        yield from self.propose(change, now_ms)

    def _expire_requests(self, now_ms: float) -> None:
        limit_ms = RESEND_HEARTBEATS * self._local.timing.heartbeat_ms
        for progress in self._progress.values():
            if now_ms - progress.sent_ms >= limit_ms:
                progress.reset_in_flight()

    def _start_round(self, now_ms: float) -> Iterator[Send]:
        timing = self._local.timing
        self._rounds.start(now_ms, timing.election_timeout_ms)
        self._heartbeat_due_ms = now_ms + timing.heartbeat_ms
        for peer, progress in self._progress.items():
            sends = tuple(self._send_entries(peer, progress, now_ms))
            yield from sends
            if not any(isinstance(send.message, AppendRequest) for send in sends):
                yield Send(peer.host, self._build_heartbeat(progress))

    def _replicate(self, now_ms: float) -> Iterator[Send]:
        for peer, progress in self._progress.items():
            yield from self._send_entries(peer, progress, now_ms)

    def _may_send_entries(self, peer: Replica, progress: Progress) -> bool:
        if progress.sent_index or progress.next_index > self._local.log.last_index:
            return False
        return not is_superseded(self._local.log.membership, peer)

    def _send_entries(
        self, peer: Replica, progress: Progress, now_ms: float
    ) -> Iterator[Send]:
        if not self._may_send_entries(peer, progress):
            return
        log = self._local.log
        previous_term = log.term_at(progress.next_index - 1)
        if previous_term is None:
            yield from self._send_snapshot(peer, progress, now_ms)
            return
        entries = self._entries_from(progress.next_index)
        yield Send(peer.host, self._build_request(progress.next_index - 1, entries))
        progress.next_index += len(entries)
        progress.sent_index = progress.next_index - 1
        progress.sent_ms = now_ms

    def _entries_from(self, index: int) -> tuple[LogEntry, ...]:
        timing = self._local.timing
        entries = self._local.log.entries(index, timing.max_entries_per_append)
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += estimated_bytes(entry.command)
            if count and size_bytes > timing.max_append_bytes:
                return entries[:count]
        return entries

    def _send_snapshot(
        self, peer: Replica, progress: Progress, now_ms: float
    ) -> Iterator[Send]:
        if progress.transfer is None:
            progress.transfer = self._local.log.snapshot
            progress.transferred_bytes = 0
        yield self._next_chunk(peer, progress, now_ms)

    def _next_chunk(self, peer: Replica, progress: Progress, now_ms: float) -> Send:
        snapshot = progress.transfer
        progress.sent_index = snapshot.last_index
        progress.sent_ms = now_ms
        offset = progress.transferred_bytes
        chunk = SnapshotChunk(
            term=self._local.term,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            offset_bytes=offset,
            total_bytes=len(snapshot.data),
            data=snapshot.data[offset : offset + self._local.timing.max_chunk_bytes],
            voters=snapshot.voters,
            learners=snapshot.learners,
        )
        return Send(peer.host, chunk)

    def _build_heartbeat(self, progress: Progress) -> AppendRequest:
        is_probe = progress.sent_index == 0
        previous_index = progress.next_index - 1 if is_probe else progress.match_index
        if self._local.log.term_at(previous_index) is None:
            previous_index = 0
        return self._build_request(previous_index, ())

    def _build_request(
        self, previous_index: int, entries: tuple[LogEntry, ...]
    ) -> AppendRequest:
        log = self._local.log
        return AppendRequest(
            term=self._local.term,
            leader_incarnation=self._local.identity.incarnation,
            previous_index=previous_index,
            previous_term=log.term_at(previous_index) or 0,
            entries=entries,
            commit_index=self._local.commit_index,
            round_number=self._rounds.current,
        )


def _format_replicas(replicas: Iterable[Replica]) -> str:
    return ",".join([f"{r.host}/{r.incarnation}" for r in replicas])
