"""Control role: one replica of the control group and its replicated state.

Only the leader answers for the group. Any other replica, and a leader without a
quorum, answers ``UNAVAILABLE`` immediately. It forwards no request, since the leader
that it knows may be partitioned as well. Hosts find the leader from the heartbeats of
all replicas; the heartbeat with the highest term is authoritative.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .actions import Log, Received, Send, Tick
from .claim_batcher import ClaimBatcher
from .claims import ClaimsResult
from .config_packing import transfer_ms
from .control_state import ControlState, Decode, Encode
from .control_types import (
    ClaimLimits,
    ConfigApplied,
    ControllerDump,
    ControlTiming,
    ControlView,
    HostView,
    OperatorClaimQuery,
    OperatorClaimResult,
    OperatorProposal,
    OperatorProposalResult,
    OperatorRollout,
    OperatorRolloutResult,
    OperatorStateQuery,
    OperatorStateResult,
    OperatorUnavailable,
)
from .crash_history import digest_of
from .host_table import HostState, HostTable
from .messages import (
    ChangeStatus,
    ClaimBatch,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    ConfigChange,
    ConfigProposal,
    ConfigQuery,
    ConfigResult,
    CrashBatch,
    CrashingParts,
    CrashReport,
    Heartbeat,
    KeyQuery,
    KeyReply,
    LogEntry,
    OrderIssued,
    OutcomeReport,
    PartsCleared,
    Replica,
    RolloutEnd,
    RolloutOrder,
    StrikeBatch,
    StrikeReport,
    StrikeUpdate,
)
from .messages.raft import RAFT_MESSAGES
from .orders import OrderCommitted, ProposeOrder
from .pending_proposals import PendingProposal, PendingProposals
from .raft_types import (
    Committed,
    ProposalDropped,
    Propose,
    Read,
    ReadFailed,
    ReadReady,
    Restore,
    RoleChanged,
)
from .rollouts.table import RolloutOrderResult
from .single_dispatch import dispatchmethod
from .snapshot_builder import SnapshotBuilder

CONTROL_ROLE = "control"
CLAIM_PART_BYTES = 200
UNCHANGED_LIMITS = ClaimLimits(retention_ms=0, idempotent_retention_ms=0, max_bytes=0)
COMMAND_BYTES = 64
MAX_CRASH_REPORTS = 1000
PARTS_RESEND_MS = 300


@dataclass(frozen=True, slots=True)
class _PendingRead:
    """Read that waits until Raft confirms the leadership.

    :param operation_id: identifier of the operator's operation; 0 for a query.
    :param key: key of the claim to read; None to read the whole state.
    :param query: query of an entry host; None for an operator's read.
    :param host: entry host that sent the query.
    """

    operation_id: int
    key: str | None = None
    query: KeyQuery | None = None
    host: str = ""


class Controller:
    """Service for claims, outcomes, proposals and reads on the replicated state.

    :param host: local host name.
    :param raft: local replica; only the controller passes events to it.
    :param data_centre: local data centre, for heartbeats.
    :param peers: all hosts of both roles; the local host is ignored.
    :param encode: encodes a snapshot, or a slice of one, to bytes; see
        :class:`~peridotfront.core.snapshot_builder.SnapshotBuilder`.
    :param decode: decodes such bytes to a snapshot.
    :param timing: timeouts and size limits.
    :param wall_clock_offset_ms: wall clock minus the clock of ``now_ms``, in
        milliseconds; used only to timestamp configurations for display.
    :param entry_hosts: entry hosts of the settings, which must confirm each version
        even if no heartbeat of them has arrived.
    """

    def __init__(
        self,
        host: str,
        raft: Any,
        data_centre: str,
        peers: tuple[str, ...],
        encode: Encode,
        decode: Decode,
        timing: ControlTiming | None = None,
        wall_clock_offset_ms: int = 0,
        entry_hosts: tuple[str, ...] = (),
    ):
        self._host = host
        self._raft = raft
        self._data_centre = data_centre
        self._peers = tuple([p for p in peers if p != host])
        self._encode = encode
        self._decode = decode
        self._timing = timing or ControlTiming()
        self._wall_clock_offset_ms = wall_clock_offset_ms
        self._entry_hosts = frozenset(entry_hosts)
        self._state = ControlState()
        self._hosts = HostTable(host, self._timing.host_timeout_ms)
        self._batcher = ClaimBatcher(self._timing)
        self._limits = UNCHANGED_LIMITS
        self._is_leader = False
        self._announced_version = 0
        self._leader_since_ms = 0
        self._replicated_clock_base_ms = 0
        self._sequence = 0
        self._heartbeat_sent_ms: int | None = None
        self._pending_reads: dict[int, _PendingRead] = {}
        self._next_read_id = 1
        self._pending_proposals = PendingProposals()
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        self._snapshot_due_bytes = self._timing.snapshot_bytes
        self._builder: SnapshotBuilder | None = None
        self._crash_reports: list[CrashReport | PartsCleared] = []

    @property
    def state(self) -> ControlState:
        """Return the state applied at this replica, which may be out of date."""
        return self._state

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle one event.

        :param event: a tick, a received message, an operator's operation, claim
            limits or a proposed order.
        :param now_ms: local monotonic clock.
        :return: actions to run in order.
        """
        yield from self._handle(event, now_ms)
        yield from self._announce_config(now_ms)
        yield from self._propose_batches(now_ms)
        self._start_snapshot()

    def snapshot(self) -> bytes:
        """Return the whole replicated state, encoded."""
        return self._encode(self._state.snapshot())

    def view(self, now_ms: int) -> ControlView:
        """Return the operator's view of this replica, which may be out of date."""
        state = self._state
        version = state.configuration.version
        hosts = [self._host_view(h, now_ms) for h in self._hosts.hosts()]
        return ControlView(
            host=self._host,
            current=state.configuration.current,
            history=state.configuration.history,
            hosts=tuple(hosts),
            laggards=self._hosts.laggards(version, self._entry_hosts),
            is_leader=self._raft.is_leader,
            leader=self._raft.leader or "",
            term=self._raft.term,
            commit_index=self._raft.commit_index,
            last_applied=self._raft.last_applied,
            voters=tuple(self._raft.voters),
            learners=tuple(self._raft.learners),
            claims=len(state.claims),
            open_claims=state.claims.open_count,
            claims_size_bytes=state.claims.size_bytes,
            struck_requests=len(state.strikes),
            rollouts=state.rollouts.records,
        )

    def dump(self, now_ms: int) -> ControllerDump:
        """Return the diagnostic state of this replica."""
        return ControllerDump(
            view=self.view(now_ms),
            queued=self._batcher.queued,
            batches_in_flight=self._batcher.in_flight,
            waiting_operators=len(self._pending_reads) + len(self._pending_proposals),
            entries_since_snapshot=self._entries_since_snapshot,
            bytes_since_snapshot=self._bytes_since_snapshot,
            orders=self._state.orders.orders,
        )

    def has_order_authority(self, now_ms: int) -> bool:
        """Return whether this host leads with a quorum now.

        :param now_ms: local monotonic clock, read immediately before the call.
        """
        return self._raft.holds_quorum(now_ms)

    # Events

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        yield from self._run_raft(event, now_ms)

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        yield from self._run_raft(event, now_ms)
        yield from self._send_heartbeats(now_ms)
        yield from self._expire_proposals(now_ms)
        yield from self._continue_snapshot()

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._on_message(event.message, event, now_ms)

    @_handle.register
    def _(self, event: ClaimLimits, now_ms: int) -> Iterator[Any]:
        self._limits = event
        yield from ()

    @_handle.register
    def _(self, event: OperatorStateQuery, now_ms: int) -> Iterator[Any]:
        yield from self._read(_PendingRead(event.operation_id), now_ms)

    @_handle.register
    def _(self, event: OperatorClaimQuery, now_ms: int) -> Iterator[Any]:
        yield from self._read(_PendingRead(event.operation_id, event.key), now_ms)

    @_handle.register
    def _(self, event: OperatorProposal, now_ms: int) -> Iterator[Any]:
        yield from self._propose_config(event.proposal, event.operation_id, "", now_ms)

    @_handle.register
    def _(self, event: ProposeOrder, now_ms: int) -> Iterator[Any]:
        yield from self._run_raft(Propose(event.order), now_ms)

    @_handle.register
    def _(self, event: OperatorRollout, now_ms: int) -> Iterator[Any]:
        pending = PendingProposal(
            event.order_id,
            event.operation_id,
            "",
            now_ms + self._timing.operator_timeout_ms,
            is_config=False,
        )
        if not self._is_leader:
            yield self._unavailable_result(pending)
            return
        self._pending_proposals.add(pending)
        order = RolloutOrder(
            event.order_id,
            event.service,
            event.version,
            event.period_ms,
            self.replicated_time_ms(now_ms),
        )
        yield from self._run_raft(Propose(order), now_ms)

    @_handle.register
    def _(self, event: RolloutEnd, now_ms: int) -> Iterator[Any]:
        yield from self._run_raft(Propose(event), now_ms)

    # Messages

    @dispatchmethod
    def _on_message(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        if isinstance(message, RAFT_MESSAGES):
            yield from self._run_raft(event, now_ms)

    @_on_message.register
    def _(self, message: KeyQuery, event: Received, now_ms: int) -> Iterator[Any]:
        pending = _PendingRead(operation_id=0, query=message, host=event.sender)
        yield from self._read(pending, now_ms)

    @_on_message.register
    def _(self, message: Heartbeat, event: Received, now_ms: int) -> Iterator[Any]:
        host = self._hosts.record(event.sender, event.incarnation, message, now_ms)
        if self._is_leader and message.role != CONTROL_ROLE:
            yield from self._send_update(host, now_ms)
            yield from self._send_active_strikes(host)
            yield from self._send_crashing_parts(host, now_ms)

    @_on_message.register
    def _(self, message: ConfigQuery, event: Received, now_ms: int) -> Iterator[Any]:
        if self._settled_version <= message.version:
            return
        host = self._hosts.get(event.sender)
        if host is None:
            yield Send(event.sender, self._state.configuration.update())
            return
        yield from self._send_once(host, message.reads_packed, now_ms)

    @_on_message.register
    def _(self, message: ClaimRequest, event: Received, now_ms: int) -> Iterator[Any]:
        if not _is_from_holder(message, event):
            yield Log("claim_of_other_holder", (("sender", event.sender),))
            return
        if not (self._is_leader and self._batcher.add_claim(message, now_ms)):
            yield _build_unavailable_reply(message)

    @_on_message.register
    def _(self, message: OutcomeReport, event: Received, now_ms: int) -> Iterator[Any]:
        if self._is_leader:
            report = replace(
                message,
                holder_host=event.sender,
                holder_incarnation=event.incarnation,
            )
            self._batcher.add_outcome(report, now_ms)
        yield from ()

    @_on_message.register
    def _(self, message: StrikeReport, event: Received, now_ms: int) -> Iterator[Any]:
        if self._is_leader:
            self._batcher.add_strikes(message, now_ms)
        yield from ()

    @_on_message.register(CrashReport)
    @_on_message.register(PartsCleared)
    def _(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        if self._is_leader and len(self._crash_reports) < MAX_CRASH_REPORTS:
            self._crash_reports.append(message)
        yield from ()

    @_on_message.register
    def _(self, message: ConfigProposal, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._propose_config(message, None, event.sender, now_ms)

    # Raft

    def _run_raft(self, event: Any, now_ms: int) -> Iterator[Any]:
        for action in self._raft.handle(event, now_ms):
            yield from self._on_raft_action(action, now_ms)

    @dispatchmethod
    def _on_raft_action(self, action: Any, now_ms: int) -> Iterator[Any]:
        yield action

    @_on_raft_action.register
    def _(self, action: Committed, now_ms: int) -> Iterator[Any]:
        yield from self._apply(action.entry, now_ms)

    @_on_raft_action.register
    def _(self, action: Restore, now_ms: int) -> Iterator[Any]:
        self._state.restore(self._decode(action.data))
        self._builder = None
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        yield Log("snapshot_restored", (("last_index", action.last_index),))

    @_on_raft_action.register
    def _(self, action: ReadReady, now_ms: int) -> Iterator[Any]:
        pending = self._pending_reads.pop(action.read_id, None)
        if pending is None:
            return
        if pending.query is not None:
            reply = self._state.claims.find(pending.query)
            yield Send(pending.host, KeyReply(reply))
            return
        if pending.key is None:
            yield OperatorStateResult(pending.operation_id, self.view(now_ms))
            return
        record = self._state.claims.lookup(pending.key)
        yield OperatorClaimResult(pending.operation_id, record)

    @_on_raft_action.register
    def _(self, action: ReadFailed, now_ms: int) -> Iterator[Any]:
        pending = self._pending_reads.pop(action.read_id, None)
        if pending is not None:
            yield self._read_unavailable(pending)

    @_on_raft_action.register
    def _(self, action: ProposalDropped, now_ms: int) -> Iterator[Any]:
        if isinstance(action.command, ConfigChange):
            yield from self._refuse_proposals(action.command.proposal.change_id)
        elif isinstance(action.command, RolloutOrder):
            yield from self._refuse_proposals(action.command.order_id)
        elif isinstance(action.command, ClaimBatch):
            self._batcher.on_committed(action.command)
            for request in action.command.claims:
                yield _build_unavailable_reply(request)

    @_on_raft_action.register
    def _(self, action: RoleChanged, now_ms: int) -> Iterator[Any]:
        self._heartbeat_sent_ms = None
        yield action
        is_leader = self._raft.is_leader
        if is_leader and not self._is_leader:
            self._leader_since_ms = now_ms
            self._replicated_clock_base_ms = max(
                self._state.claims.time_ms,
                self._state.crashes.time_ms,
                self._state.rollouts.time_ms,
            )
            for host in self._hosts.hosts():
                host.strikes_sent = False
            self._announced_version = 0
        if self._is_leader and not is_leader:
            yield from self._step_down()
        self._is_leader = is_leader

    def _announce_config(self, now_ms: int) -> Iterator[Any]:
        """Activate the newest configuration once all earlier terms are applied."""
        current = self._state.configuration.current
        is_new = current.version > self._announced_version
        if not (is_new and self._is_leader and self._raft.is_settled):
            return
        self._announced_version = current.version
        yield ConfigApplied(current.version, current.content)
        for host in self._hosts.live_entry_hosts(now_ms):
            yield from self._send_update(host, now_ms)

    def _step_down(self) -> Iterator[Any]:
        for request in self._batcher.reset():
            yield _build_unavailable_reply(request)
        self._crash_reports.clear()
        yield from self._refuse_proposals(None)
        for pending in self._pending_reads.values():
            yield self._read_unavailable(pending)
        self._pending_reads.clear()

    # Applying

    def _apply(self, entry: LogEntry, now_ms: int) -> Iterator[Any]:
        result = self._state.apply(entry.command)
        self._entries_since_snapshot += 1
        self._bytes_since_snapshot += _estimated_bytes(entry.command)
        yield from self._answer_command(entry.command, result, now_ms)

    @dispatchmethod
    def _answer_command(self, command: Any, result: Any, now_ms: int) -> Iterator[Any]:
        yield from ()

    @_answer_command.register
    def _(self, command: ClaimBatch, result: Any, now_ms: int) -> Iterator[Any]:
        self._batcher.on_committed(command)
        if self._is_leader:
            yield from self._answer_batch(command, result)

    @_answer_command.register
    def _(self, command: ConfigChange, result: Any, now_ms: int) -> Iterator[Any]:
        yield from self._answer_proposal(result)
        if result.status is ChangeStatus.ACCEPTED:
            fields = (("version", result.version), ("author", result.author))
            yield Log("configuration_applied", fields)

    @_answer_command.register
    def _(self, command: StrikeBatch, result: Any, now_ms: int) -> Iterator[Any]:
        if self._is_leader:
            for host in self._hosts.live_entry_hosts(now_ms):
                yield from self._send_strikes(host, result)

    @_answer_command.register
    def _(self, command: CrashBatch, result: Any, now_ms: int) -> Iterator[Any]:
        if self._is_leader:
            for host in self._hosts.live_entry_hosts(now_ms):
                yield from self._send_crashing_parts(host, now_ms)

    @_answer_command.register
    def _(self, command: OrderIssued, result: Any, now_ms: int) -> Iterator[Any]:
        if self._is_leader and command.term == self._raft.term:
            yield OrderCommitted(command)

    @_answer_command.register
    def _(self, command: RolloutOrder, result: Any, now_ms: int) -> Iterator[Any]:
        yield from self._answer_rollout_order(result)

    def _answer_rollout_order(self, result: RolloutOrderResult) -> Iterator[Any]:
        for pending in self._pending_proposals.take(result.order_id):
            yield OperatorRolloutResult(
                pending.operation_id, result.status, result.record
            )

    def _answer_batch(self, batch: ClaimBatch, result: ClaimsResult) -> Iterator[Any]:
        for report, ack in zip(batch.outcomes, result.acks, strict=True):
            yield Send(report.holder_host, ack)
        for request, reply in zip(batch.claims, result.replies, strict=True):
            yield Send(request.claim.holder_host, reply)

    def _answer_proposal(self, result: ConfigResult) -> Iterator[Any]:
        for pending in self._pending_proposals.take(result.change_id):
            if pending.operation_id is None:
                yield Send(pending.host, result)
            else:
                yield OperatorProposalResult(pending.operation_id, result)

    def _send_strikes(
        self, host: HostState, updates: tuple[StrikeUpdate, ...]
    ) -> Iterator[Any]:
        for update in updates:
            yield Send(host.host, update)

    def _send_active_strikes(self, host: HostState) -> Iterator[Any]:
        if not host.strikes_sent:
            host.strikes_sent = True
            yield from self._send_strikes(host, self._state.strikes.active())

    def _send_crashing_parts(self, host: HostState, now_ms: int) -> Iterator[Any]:
        """Send the parts that crash upstreams to a host that knows others."""
        groups = self._state.crashes.groups
        digest = digest_of(groups)
        is_known = host.heartbeat.crashing_parts_digest == digest
        if is_known or not self._raft.is_settled:
            return
        was_sent = host.parts_digest == digest
        if was_sent and now_ms - host.parts_sent_ms < PARTS_RESEND_MS:
            return
        host.parts_digest = digest
        host.parts_sent_ms = now_ms
        yield Send(host.host, CrashingParts(groups))

    # Configuration

    def _propose_config(
        self, proposal: ConfigProposal, operation_id: int | None, host: str, now_ms: int
    ) -> Iterator[Any]:
        deadline_ms = now_ms + self._timing.operator_timeout_ms
        pending = PendingProposal(proposal.change_id, operation_id, host, deadline_ms)
        if not self._is_leader:
            yield self._unavailable_result(pending)
            return
        self._pending_proposals.add(pending)
        change = ConfigChange(now_ms + self._wall_clock_offset_ms, proposal)
        yield from self._run_raft(Propose(change), now_ms)

    def _refuse_proposals(self, change_id: str | None) -> Iterator[Any]:
        for pending in self._pending_proposals.take(change_id):
            yield self._unavailable_result(pending)

    def _expire_proposals(self, now_ms: int) -> Iterator[Any]:
        for pending in self._pending_proposals.take_expired(now_ms):
            yield self._unavailable_result(pending)

    def _unavailable_result(self, pending: PendingProposal) -> Any:
        if not pending.is_config:
            return OperatorUnavailable(pending.operation_id, self._leader_hint())
        current = self._state.configuration.current
        result = ConfigResult(
            change_id=pending.change_id,
            status=ChangeStatus.UNAVAILABLE,
            version=current.version,
            author=current.author,
            detail="no leader with a quorum answered; repeat with the same change id",
        )
        if pending.operation_id is None:
            return Send(pending.host, result)
        return OperatorProposalResult(pending.operation_id, result, self._leader_hint())

    @property
    def _settled_version(self) -> int:
        """Return the version that may be announced; 0 while it may be out of date."""
        return self._state.configuration.version if self._raft.is_settled else 0

    def _send_update(self, host: HostState, now_ms: int) -> Iterator[Any]:
        """Send the whole configuration to a host that has an older version."""
        if host.heartbeat.config_version < self._settled_version:
            reads_packed = host.heartbeat.reads_packed_config
            yield from self._send_once(host, reads_packed, now_ms)

    def _send_once(
        self, host: HostState, reads_packed: bool, now_ms: int
    ) -> Iterator[Any]:
        """Send the whole configuration, unless a copy may still be on its way.

        A message with only the difference would save most of the bytes.
        """
        version = self._settled_version
        is_new = host.update_version < version
        wait_ms = self._timing.update_interval_ms if is_new else host.update_wait_ms
        if now_ms - host.update_sent_ms < wait_ms:
            return
        update = self._state.configuration.update(is_packed=reads_packed)
        host.update_sent_ms = now_ms
        host.update_version = version
        host.update_wait_ms = max(self._timing.update_retry_ms, transfer_ms(update))
        yield Send(host.host, update)

    # Claims

    def _propose_batches(self, now_ms: int) -> Iterator[Any]:
        if not self._is_leader:
            return
        while self._batcher.is_due(now_ms):
            parts = self._batcher.take()
            batch = ClaimBatch(
                time_ms=self.replicated_time_ms(now_ms),
                claims=parts.claims,
                outcomes=parts.outcomes,
                dead_holders=self._dead_holders(parts.claims, now_ms),
                retention_ms=self._limits.retention_ms,
                idempotent_retention_ms=self._limits.idempotent_retention_ms,
                max_bytes=self._limits.max_bytes,
            )
            self._batcher.on_proposed(batch)
            yield from self._run_raft(Propose(batch), now_ms)
        strikes = self._batcher.take_strikes()
        if strikes:
            batch = StrikeBatch(self.replicated_time_ms(now_ms), strikes)
            yield from self._run_raft(Propose(batch), now_ms)
        if self._crash_reports:
            yield from self._propose_crashes(now_ms)

    def _propose_crashes(self, now_ms: int) -> Iterator[Any]:
        reports = self._crash_reports
        self._crash_reports = []
        batch = CrashBatch(
            self.replicated_time_ms(now_ms),
            tuple([report for report in reports if isinstance(report, CrashReport)]),
            tuple([report for report in reports if isinstance(report, PartsCleared)]),
        )
        yield from self._run_raft(Propose(batch), now_ms)

    def replicated_time_ms(self, now_ms: int) -> int:
        """Return the time for the next command, on the replicated clock.

        It continues from the last command applied before this host became leader and
        advances with the local monotonic clock. The wall clock is not used.
        """
        return self._replicated_clock_base_ms + now_ms - self._leader_since_ms

    def _dead_holders(
        self, claims: tuple[ClaimRequest, ...], now_ms: int
    ) -> tuple[Replica, ...]:
        dead: dict[Replica, None] = {}
        for request in claims:
            record = self._state.claims.lookup(request.claim.key)
            if request.claim.epoch == 1 or record is None:
                continue
            claim = record.claim
            holder = Replica(claim.holder_host, claim.holder_incarnation)
            silent_ms = self._hosts.silent_ms(holder, self._leader_since_ms, now_ms)
            if silent_ms >= self._timing.take_over_silence_ms:
                dead[holder] = None
        return tuple(dead)

    # Heartbeats, reads and snapshots

    def _send_heartbeats(self, now_ms: int) -> Iterator[Any]:
        last_ms = self._heartbeat_sent_ms
        if last_ms is not None and now_ms - last_ms < self._timing.heartbeat_ms:
            return
        self._heartbeat_sent_ms = now_ms
        self._sequence += 1
        self._hosts.remove_silent(now_ms)
        heartbeat = self.heartbeat()
        for peer in self._peers:
            yield Send(peer, heartbeat)

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with this replica's state."""
        return Heartbeat(
            data_centre=self._data_centre,
            role=CONTROL_ROLE,
            sequence=self._sequence,
            config_version=self._settled_version,
            is_leaving=False,
            leader=self._leader_hint(),
            term=self._raft.term,
            control_hosts=self.control_hosts,
        )

    @property
    def is_settled(self) -> bool:
        """Return whether this leader has applied all entries of earlier terms."""
        return self._is_leader and self._raft.is_settled

    @property
    def control_hosts(self) -> tuple[str, ...]:
        """Return the hosts of all voters and learners, sorted by name."""
        members = (*self._raft.voters, *self._raft.learners)
        return tuple(sorted({replica.host for replica in members}))

    def live_entry_hosts(self, now_ms: int) -> int:
        """Return the number of entry hosts with recent heartbeats at this host."""
        return sum(1 for _ in self._hosts.live_entry_hosts(now_ms))

    def _read(self, pending: _PendingRead, now_ms: int) -> Iterator[Any]:
        if not self._is_leader:
            yield self._read_unavailable(pending)
            return
        read_id = self._next_read_id
        self._next_read_id += 1
        self._pending_reads[read_id] = pending
        yield from self._run_raft(Read(read_id), now_ms)

    def _read_unavailable(self, pending: _PendingRead) -> Any:
        if pending.query is None:
            return OperatorUnavailable(pending.operation_id, self._leader_hint())
        query = pending.query
        reply = ClaimReply(query.request_id, query.key, ClaimStatus.UNAVAILABLE)
        return Send(pending.host, KeyReply(reply))

    def _leader_hint(self) -> str:
        return self._raft.leader or ""

    def _host_view(self, state: HostState, now_ms: int) -> HostView:
        heartbeat = state.heartbeat
        return HostView(
            host=state.host,
            incarnation=state.incarnation,
            role=heartbeat.role,
            data_centre=heartbeat.data_centre,
            config_version=heartbeat.config_version,
            silent_ms=now_ms - state.last_seen_ms,
            is_alive=self._hosts.is_alive(state, now_ms),
            is_leaving=heartbeat.is_leaving,
        )

    def _start_snapshot(self) -> None:
        is_due = (
            self._entries_since_snapshot >= self._timing.snapshot_entries
            or self._bytes_since_snapshot >= self._snapshot_due_bytes
        )
        if not is_due or self._builder is not None:
            return
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        self._builder = SnapshotBuilder(
            self._raft.last_applied,
            self._state.snapshot(),
            self._encode,
            self._timing.snapshot_slice_records,
        )

    def _continue_snapshot(self) -> Iterator[Any]:
        if self._builder is None:
            return
        data = self._builder.encode_next()
        if data is None:
            return
        index = self._builder.index
        self._builder = None
        self._snapshot_due_bytes = max(self._timing.snapshot_bytes, len(data))
        yield from self._raft.compact(index, data)


def _is_from_holder(request: ClaimRequest, event: Received) -> bool:
    claim = request.claim
    return (
        claim.holder_host == event.sender
        and claim.holder_incarnation == event.incarnation
    )


def _build_unavailable_reply(request: ClaimRequest) -> Send:
    claim = request.claim
    reply = ClaimReply(request.request_id, claim.key, ClaimStatus.UNAVAILABLE)
    return Send(claim.holder_host, reply)


def _estimated_bytes(command: Any) -> int:
    """Return the estimated size of a command in bytes."""
    if isinstance(command, ConfigChange):
        return COMMAND_BYTES + len(command.proposal.content)
    if isinstance(command, ClaimBatch):
        part_count = len(command.claims) + len(command.outcomes)
        body_bytes = sum([len(o.outcome.body) for o in command.outcomes])
        return COMMAND_BYTES + CLAIM_PART_BYTES * part_count + body_bytes
    return COMMAND_BYTES
