"""Replicated configuration with versions that only increase.

Either the group numbers the versions and accepts a change only if it is based on the
current version, or the operators number them and the highest version wins.
"""

import hashlib
from collections import OrderedDict, deque

from .config_packing import UpdatePacker
from .messages import (
    ChangeRecord,
    ChangeStatus,
    ConfigChange,
    ConfigProposal,
    ConfigRecord,
    ConfigResult,
    ConfigUpdate,
    ConfigurationSnapshot,
)

CHANGE_IDS_KEPT = 20_000
HISTORY_VERSIONS_KEPT = 1000
HISTORY_CONTENT_BYTES = 4_194_304
DIGEST_BYTES = 7
INITIAL_RECORD = ConfigRecord(version=0, change_id="", author="", time_ms=0, content="")


class Configuration:
    """State machine of the configuration, applied in the order of the replicated log.

    Every replica that applies the same entries holds the same state. If the group
    assigns the versions, a repeated change id gets its first result as long as it is
    among the last ``CHANGE_IDS_KEPT``. An older repeat is evaluated again: if the
    change was accepted, its base version is no longer current, so it is refused as a
    conflict and never applied twice.

    The history holds the last ``HISTORY_VERSIONS_KEPT`` versions. The content of the
    current version is always kept; older contents are dropped, oldest first, once
    all together exceed ``HISTORY_CONTENT_BYTES``.
    """

    def __init__(self):
        self._history: OrderedDict[int, ConfigRecord] = OrderedDict()
        self._changes: OrderedDict[str, ChangeRecord] = OrderedDict()
        self._content_bytes = 0
        self._versions_with_content: deque[int] = deque()
        self._packer = UpdatePacker()

    @property
    def current(self) -> ConfigRecord:
        """Return the current configuration; version 0 if there is none yet."""
        if not self._history:
            return INITIAL_RECORD
        return self._history[next(reversed(self._history))]

    @property
    def version(self) -> int:
        """Return the current version."""
        return self.current.version

    @property
    def history(self) -> tuple[ConfigRecord, ...]:
        """Return the versions in the history, oldest first."""
        return tuple(self._history.values())

    def apply(self, change: ConfigChange) -> ConfigResult:
        """Apply one committed change.

        :param change: committed change; changes must be applied in log order.
        :return: result of the change; the first result if it is a repeat.
        """
        proposal = change.proposal
        if proposal.version:
            return self._apply_numbered(change)
        digest = digest_of(proposal)
        earlier = self._changes.get(proposal.change_id)
        if earlier is not None:
            return _answer_repeat(earlier, digest, proposal)
        result = self._decide(change)
        self._changes[proposal.change_id] = ChangeRecord(digest, result)
        if len(self._changes) > CHANGE_IDS_KEPT:
            self._changes.popitem(last=False)
        return result

    def update(self, *, is_packed: bool = False) -> ConfigUpdate:
        """Return the message that sends the current version to a host.

        :param is_packed: whether the host reads compressed configurations.
        """
        current = self.current
        update = ConfigUpdate(
            version=current.version,
            change_id=current.change_id,
            author=current.author,
            content=current.content,
        )
        return self._packer.pack(update) if is_packed else update

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the whole state as one record."""
        changes = tuple(self._changes.values())
        return ConfigurationSnapshot(history=self.history, changes=changes)

    def restore(self, snapshot: ConfigurationSnapshot) -> None:
        """Replace the whole state with that of a snapshot."""
        self.__init__()
        for record in snapshot.history:
            self._history[record.version] = record
            self._content_bytes += len(record.content)
        for change in snapshot.changes:
            self._changes[change.result.change_id] = change
        versions_with_content = [
            r.version for r in snapshot.history if r.is_content_kept
        ]
        self._versions_with_content.extend(versions_with_content)

    def _apply_numbered(self, change: ConfigChange) -> ConfigResult:
        """Apply a change numbered by the operator; the highest version wins."""
        proposal = change.proposal
        current = self.current
        if proposal.version <= current.version:
            return ConfigResult(
                change_id=proposal.change_id,
                status=ChangeStatus.SUPERSEDED,
                version=current.version,
                author=current.author,
            )
        self._append(change, proposal.version)
        return ConfigResult(
            change_id=proposal.change_id,
            status=ChangeStatus.ACCEPTED,
            version=proposal.version,
            author=proposal.author,
        )

    def _decide(self, change: ConfigChange) -> ConfigResult:
        proposal = change.proposal
        current = self.current
        if proposal.base_version != current.version:
            return ConfigResult(
                change_id=proposal.change_id,
                status=ChangeStatus.CONFLICT,
                version=current.version,
                author=current.author,
                detail=f"the current version is not {proposal.base_version}",
            )
        self._append(change, current.version + 1)
        return ConfigResult(
            change_id=proposal.change_id,
            status=ChangeStatus.ACCEPTED,
            version=current.version + 1,
            author=proposal.author,
        )

    def _append(self, change: ConfigChange, version: int) -> None:
        proposal = change.proposal
        self._history[version] = ConfigRecord(
            version=version,
            change_id=proposal.change_id,
            author=proposal.author,
            time_ms=change.time_ms,
            content=proposal.content,
        )
        self._content_bytes += len(proposal.content)
        self._versions_with_content.append(version)
        self._drop_old_content()
        if len(self._history) > HISTORY_VERSIONS_KEPT:
            dropped_version, dropped_record = self._history.popitem(last=False)
            self._content_bytes -= len(dropped_record.content)
            if self._versions_with_content[0] == dropped_version:
                self._versions_with_content.popleft()

    def _drop_old_content(self) -> None:
        while (
            self._content_bytes > HISTORY_CONTENT_BYTES
            and len(self._versions_with_content) > 1
        ):
            old = self._history[self._versions_with_content.popleft()]
            self._content_bytes -= len(old.content)
            self._history[old.version] = ConfigRecord(
                version=old.version,
                change_id=old.change_id,
                author=old.author,
                time_ms=old.time_ms,
                content="",
                is_content_kept=False,
            )


def digest_of(proposal: ConfigProposal) -> int:
    """Return a digest of a proposal, equal in every process."""
    text = f"{proposal.base_version}\0{proposal.author}\0{proposal.content}"
    digest = hashlib.sha256(text.encode("utf-8", "surrogatepass")).digest()
    return int.from_bytes(digest[:DIGEST_BYTES], "big")


def _answer_repeat(
    earlier: ChangeRecord, digest: int, proposal: ConfigProposal
) -> ConfigResult:
    if earlier.digest == digest:
        return earlier.result
    return ConfigResult(
        change_id=proposal.change_id,
        status=ChangeStatus.INVALID,
        version=earlier.result.version,
        author=earlier.result.author,
        detail="the change id was used for another change",
    )
