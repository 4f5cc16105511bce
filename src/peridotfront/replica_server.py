"""Server of a replica of the control group: executes the actions of its role."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from itertools import count
from pathlib import Path
from typing import Any, Protocol

from . import logs
from .core.actions import Log, Received, Send, Tick
from .core.control_types import (
    ControlView,
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
from .core.messages import (
    ChangeStatus,
    ClaimRecord,
    ConfigProposal,
    ConfigResult,
    Frame,
)
from .core.raft_types import PersistAction, Role, RoleChanged
from .exceptions import DataFolderLocked, NotLeader, StorageDamaged, StorageFailed
from .metrics import Metrics
from .runtime import StopSignal, new_request_id, now_ms
from .storage import Storage

EXIT_STORAGE = 3
EXIT_INTERNAL_ERROR = 70

SendMessage = Callable[[str, Any], None]
ActionHandler = Callable[[Any], None]


class ReplicaRole(Protocol):
    """Interface of the role that a replica server runs."""

    def handle(self, event: Any, now_ms: int) -> Any:
        """Handle an event and yield the actions to execute."""


class ReplicaServer:
    """Server that feeds events to a role and executes its actions.

    All events of one loop iteration are handled before the disk is synced, so that
    they share one sync; their messages are sent only after it.

    :param role: role whose actions are executed.
    :param storage: storage for the changes that the role persists.
    :param send: function that sends a message to another host.
    :param metrics: metrics of this host.
    :param handlers: handlers, by type, of the actions that only some programs have.

    ``leader`` is the leader's host name; empty if none is known. ``failed`` is a future
    that gets the exception after which the replica stopped.
    """

    def __init__(
        self,
        role: ReplicaRole,
        storage: Storage,
        send: SendMessage,
        metrics: Metrics,
        handlers: dict[type, ActionHandler],
    ):
        self.leader = ""
        self._role = role
        self._storage = storage
        self._send = send
        self._metrics = metrics
        self._handlers = handlers
        self._events: list[Any] = []
        self._is_scheduled = False
        self._operation_ids = count(1)
        self._waiting: dict[int, asyncio.Future] = {}
        self.failed: asyncio.Future = asyncio.get_running_loop().create_future()

    def on_frame(self, frame: Frame) -> None:
        """Queue the messages of one frame."""
        for message in frame.messages:
            self.feed(Received(frame.sender, frame.incarnation, message))

    def tick(self) -> None:
        """Queue a tick for the role."""
        self.feed(Tick())

    def feed(self, event: Any) -> None:
        """Queue an event for the next iteration of the loop."""
        self._events.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._process_events)

    async def read(self) -> ControlView:
        """Return the committed state, confirmed by a quorum.

        :raises NotLeader: if this host can't confirm the state.
        """
        return await self._await_result(OperatorStateQuery)

    async def claim(self, key: str) -> ClaimRecord | None:
        """Return the claim of a key, or None if there is none.

        :raises NotLeader: if this host can't confirm the state.
        """
        return await self._await_result(
            lambda operation_id: OperatorClaimQuery(operation_id, key)
        )

    async def propose(self, proposal: ConfigProposal) -> ConfigResult:
        """Propose a configuration.

        :raises NotLeader: if this host is not the leader, or lost its quorum.
        """
        return await self._await_result(
            lambda operation_id: OperatorProposal(operation_id, proposal)
        )

    async def start_rollout(
        self, service: str, version: str, period_ms: int
    ) -> OperatorRolloutResult:
        """Order the rollout of a software version and return the committed result.

        :raises NotLeader: if this host is not the leader, or lost its quorum; the order
            may still be accepted.
        """
        order_id = new_request_id()
        return await self._await_result(
            lambda operation_id: OperatorRollout(
                operation_id, order_id, service, version, period_ms
            )
        )

    def on_role_changed(self, action: RoleChanged) -> None:
        """Handle a change of the role, the term or the leader; does nothing here."""

    async def _await_result(self, make_event: Callable[[int], Any]) -> Any:
        operation_id = next(self._operation_ids)
        future = asyncio.get_running_loop().create_future()
        self._waiting[operation_id] = future
        try:
            self.feed(make_event(operation_id))
            return await future
        finally:
            del self._waiting[operation_id]

    def _process_events(self) -> None:
        self._is_scheduled = False
        if self.failed.done():
            return
        events, self._events = self._events, []
        actions: list[Any] = []
        try:
            for event in events:
                actions.extend(self._role.handle(event, now_ms()))
            changes = [
                action for action in actions if isinstance(action, PersistAction)
            ]
            if changes:
                self._storage.apply_changes(changes)
            for action in actions:
                if not isinstance(action, PersistAction):
                    self._run(action)
        except Exception as error:
            # After a failed write or an internal error a replica must not answer.
            self.failed.set_exception(error)

    @singledispatchmethod
    def _run(self, action: Any) -> None:
        handler = self._handlers.get(type(action))
        if handler is None:
            raise TypeError(f"unexpected action {action!r}")
        handler(action)

    @_run.register
    def _(self, action: Send) -> None:
        self._send(action.to_host, action.message)

    @_run.register
    def _(self, action: Log) -> None:
        logs.write(action.event, **dict(action.fields))

    @_run.register
    def _(self, action: RoleChanged) -> None:
        self.leader = action.leader
        self._metrics.set_is_leader(action.role is Role.LEADER)
        self.on_role_changed(action)
        logs.write(
            "leader_changed", role=action.role, term=action.term, leader=action.leader
        )

    @_run.register
    def _(self, action: OperatorStateResult) -> None:
        self._resolve(action.operation_id, action.view)

    @_run.register
    def _(self, action: OperatorClaimResult) -> None:
        self._resolve(action.operation_id, action.record)

    @_run.register
    def _(self, action: OperatorProposalResult) -> None:
        if action.result.status is ChangeStatus.UNAVAILABLE:
            self._reject(action.operation_id, NotLeader(action.leader))
            return
        self._resolve(action.operation_id, action.result)

    @_run.register
    def _(self, action: OperatorRolloutResult) -> None:
        self._resolve(action.operation_id, action)

    @_run.register
    def _(self, action: OperatorUnavailable) -> None:
        self._reject(action.operation_id, NotLeader(action.leader))

    def _resolve(self, operation_id: int, value: Any) -> None:
        future = self._waiting.get(operation_id)
        if future is not None and not future.done():
            future.set_result(value)

    def _reject(self, operation_id: int, error: Exception) -> None:
        future = self._waiting.get(operation_id)
        if future is not None and not future.done():
            future.set_exception(error)


def open_storage(folder: Path | str, *, is_first_start: bool = False) -> Storage:
    """Open a data folder; if it can't be used, log the fault and exit.

    :param folder: path of the data folder.
    :param is_first_start: whether the whole deployment starts for the first time.
    :raises SystemExit: with ``EXIT_STORAGE`` if the folder can't be used.
    """
    try:
        storage = Storage.open(folder, is_first_start=is_first_start)
    except (DataFolderLocked, StorageDamaged, StorageFailed, OSError) as error:
        logs.write("storage_damaged", detail=str(error))
        raise SystemExit(EXIT_STORAGE) from error
    logs.write("storage_opened", incarnation=storage.incarnation)
    return storage


async def wait_for_shutdown(server: ReplicaServer, stop: StopSignal) -> int:
    """Wait for a stop signal or a failure of the replica.

    :return: the exit code of the process.
    """
    stopped = asyncio.ensure_future(stop.wait())
    waiting = (stopped, server.failed)
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if not server.failed.done():
        return 0
    error = server.failed.exception()
    if isinstance(error, StorageFailed):
        logs.write("storage_failed", detail=repr(error))
        return EXIT_STORAGE
    logs.write("internal_error", detail=repr(error))
    return EXIT_INTERNAL_ERROR
