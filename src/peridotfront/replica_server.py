"""Carries out what the role of a replica of the control group decides."""

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
from .runtime import StopSignal, now_ms
from .storage import Storage

EXIT_STORAGE = 3
EXIT_INTERNAL_ERROR = 70

SendMessage = Callable[[str, Any], None]
ActionHandler = Callable[[Any], None]


class ReplicaRole(Protocol):
    """Is what a replica server drives."""

    def handle(self, event: Any, now_ms: int) -> Any:
        """Take an event and yield what the program has to do."""


class ReplicaServer:
    """Feeds events to a role and carries out its actions.

    All events of one turn of the loop are handled before the disk is synced, so
    that they share one sync; what they send leaves only after it.

    :param role: decides.
    :param storage: the data folder.
    :param send: sends a message to another host.
    :param handlers: carry out actions that only some programs know, by their type.
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
        self._tickets = count(1)
        self._waiting: dict[int, asyncio.Future] = {}
        self.failed: asyncio.Future = asyncio.get_running_loop().create_future()

    def on_frame(self, frame: Frame) -> None:
        """Queue the messages of one frame."""
        for message in frame.messages:
            self.feed(Received(frame.sender, frame.incarnation, message))

    def tick(self) -> None:
        """Tell the role that time has passed."""
        self.feed(Tick())

    def feed(self, event: Any) -> None:
        """Queue an event for the end of this turn of the loop."""
        self._events.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._turn)

    async def read(self) -> ControlView:
        """Return the state that stands, confirmed by a quorum.

        :raises NotLeader: if this host cannot tell.
        """
        return await self._ask(OperatorStateQuery)

    async def claim(self, key: str) -> ClaimRecord | None:
        """Return the claim of a key, None if there is none.

        :raises NotLeader: if this host cannot tell.
        """
        return await self._ask(
            lambda operation_id: OperatorClaimQuery(operation_id, key)
        )

    async def propose(self, proposal: ConfigProposal) -> ConfigResult:
        """Propose a configuration.

        :raises NotLeader: if this host does not lead, or lost its quorum.
        """
        return await self._ask(
            lambda operation_id: OperatorProposal(operation_id, proposal)
        )

    def on_role_changed(self, action: RoleChanged) -> None:
        """Be told that the role, the term or the leader changed."""

    async def _ask(self, make_event: Callable[[int], Any]) -> Any:
        operation_id = next(self._tickets)
        future = asyncio.get_running_loop().create_future()
        self._waiting[operation_id] = future
        try:
            self.feed(make_event(operation_id))
            return await future
        finally:
            del self._waiting[operation_id]

    def _turn(self) -> None:
        self._is_scheduled = False
        if self.failed.done():
            return
        events, self._events = self._events, []
        actions: list[Any] = []
        try:
            for event in events:
                actions.extend(self._role.handle(event, now_ms()))
            changes = [one for one in actions if isinstance(one, PersistAction)]
            if changes:
                self._storage.apply_changes(changes)
            for action in actions:
                if not isinstance(action, PersistAction):
                    self._run(action)
        except Exception as error:
            # A replica that can't write, or is in doubt, must not answer.
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
    """Open a data folder, or say what is wrong with it and exit.

    :param is_first_start: whether the whole deployment starts for the first time.
    """
    try:
        storage = Storage.open(folder, is_first_start=is_first_start)
    except (DataFolderLocked, StorageDamaged, StorageFailed, OSError) as error:
        logs.write("storage_damaged", detail=str(error))
        raise SystemExit(EXIT_STORAGE) from error
    logs.write("storage_opened", incarnation=storage.incarnation)
    return storage


async def wait_for_shutdown(server: ReplicaServer, stop: StopSignal) -> int:
    """Wait until a signal comes or the replica fails.

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
