"""The replicated configuration: compare-and-set on a version that only grows."""

import hashlib
from collections import OrderedDict

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
BLANK = ConfigRecord(version=0, change_id="", author="", time_ms=0, content="")


class Configuration:
    """Applies configuration changes in the order of the replicated log.

    Every replica that applies the same entries holds the same state. A repeated
    change id gets its first outcome as long as it is among the last
    ``CHANGE_IDS_KEPT``. A repeat older than that is judged anew: if the change
    was accepted, its base version is gone for good, so that it is refused as a
    conflict and is never applied twice.

    The history names the last ``HISTORY_VERSIONS_KEPT`` versions. The content
    of the current one is always kept; older contents go, oldest first, once all
    together exceed ``HISTORY_CONTENT_BYTES``.
    """

    def __init__(self):
        self._history: OrderedDict[int, ConfigRecord] = OrderedDict()
        self._changes: OrderedDict[str, ChangeRecord] = OrderedDict()
        self._content_bytes = 0
        self._oldest_content = 1

    @property
    def current(self) -> ConfigRecord:
        """Return the configuration in force; version 0 is the blank one."""
        if not self._history:
            return BLANK
        return self._history[next(reversed(self._history))]

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.current.version

    @property
    def history(self) -> tuple[ConfigRecord, ...]:
        """Return the versions that are kept, oldest first."""
        return tuple(self._history.values())

    def apply(self, change: ConfigChange) -> ConfigResult:
        """Apply one committed change.

        :param change: the proposal, in the order of the log.
        :return: what became of it; the first outcome if it is a repeat.
        :rtype: ConfigResult
        """
        proposal = change.proposal
        digest = digest_of(proposal)
        known = self._changes.get(proposal.change_id)
        if known is not None:
            return _repeat(known, digest, proposal)
        result = self._decide(change)
        self._changes[proposal.change_id] = ChangeRecord(digest, result)
        if len(self._changes) > CHANGE_IDS_KEPT:
            self._changes.popitem(last=False)
        return result

    def update(self) -> ConfigUpdate:
        """Return the message that brings the current version to a host."""
        current = self.current
        return ConfigUpdate(
            version=current.version,
            change_id=current.change_id,
            author=current.author,
            content=current.content,
        )

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the whole state as one record."""
        changes = tuple(self._changes.values())
        return ConfigurationSnapshot(history=self.history, changes=changes)

    def restore(self, snapshot: ConfigurationSnapshot) -> None:
        """Replace the whole state by that of a snapshot."""
        self.__init__()
        for record in snapshot.history:
            self._history[record.version] = record
            self._content_bytes += len(record.content)
        for change in snapshot.changes:
            self._changes[change.result.change_id] = change
        kept = [r.version for r in snapshot.history if r.is_content_kept]
        self._oldest_content = min(kept, default=1)

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
        self._drop_old_content(version)
        if len(self._history) > HISTORY_VERSIONS_KEPT:
            _, dropped = self._history.popitem(last=False)
            self._content_bytes -= len(dropped.content)
            self._oldest_content = max(self._oldest_content, dropped.version + 1)

    def _drop_old_content(self, newest: int) -> None:
        while (
            self._content_bytes > HISTORY_CONTENT_BYTES
            and self._oldest_content < newest
        ):
            old = self._history[self._oldest_content]
            self._content_bytes -= len(old.content)
            self._history[old.version] = ConfigRecord(
                version=old.version,
                change_id=old.change_id,
                author=old.author,
                time_ms=old.time_ms,
                content="",
                is_content_kept=False,
            )
            self._oldest_content += 1


def digest_of(proposal: ConfigProposal) -> int:
    """Return a digest of a proposal that is the same in every process."""
    text = f"{proposal.base_version}\0{proposal.author}\0{proposal.content}"
    digest = hashlib.sha256(text.encode("utf-8", "surrogatepass")).digest()
    return int.from_bytes(digest[:DIGEST_BYTES], "big")


def _repeat(known: ChangeRecord, digest: int, proposal: ConfigProposal) -> ConfigResult:
    if known.digest == digest:
        return known.result
    return ConfigResult(
        change_id=proposal.change_id,
        status=ChangeStatus.INVALID,
        version=known.result.version,
        author=known.result.author,
        detail="the change id was used for another change",
    )
