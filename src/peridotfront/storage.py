"""Data folder of a control host: log segments, snapshots and an identity.

Files in the folder:

- ``lock``: locked by the process that uses the folder;
- ``incarnation``: random identity of this folder;
- ``founding``: marker that the folder existed at the deployment's first start;
- ``segment-N``: records of the log, numbered without gaps;
- ``snapshot-N``: state of the state machine after entry N.

Damage to the last record of the log can't be distinguished from a torn write and
is truncated.
"""

import contextlib
import fcntl
import os
import secrets
from collections.abc import Callable, Iterator
from functools import singledispatchmethod
from pathlib import Path

from google.protobuf.message import DecodeError

from . import wire
from .core.messages import (
    HardState,
    LogEntry,
    LogStart,
    Replica,
    Snapshot,
    StorageRecord,
    Truncation,
)
from .core.raft_types import (
    AppendEntries,
    InstallSnapshot,
    PersistAction,
    RaftState,
    SaveHardState,
    TruncateLog,
)
from .exceptions import DataFolderLocked, StorageDamaged, StorageFailed
from .records import FramedRecord, frame, is_torn, read_frame, read_frames

INCARNATION_BITS = 62
SEGMENT_SIZE_BYTES = 8 * 1024 * 1024
LOG_START_BYTES = 256
FOUNDING_FILE = "founding"
INCARNATION_FILE = "incarnation"
TEMPORARY_SUFFIX = ".tmp"

Write = Callable[[int, bytes], int]
Sync = Callable[[int], None]


class Storage:
    """Durable storage of a replica's state; created by :meth:`open`.

    :param folder: path of the data folder, which must be locked.
    :param lock_fd: file descriptor of the lock file.
    :param write: function that writes bytes to a file descriptor, as ``os.write``.
    :param sync: function that syncs a file descriptor, as ``os.fsync``.

    ``incarnation`` is the identity of the folder, ``state`` the state that was
    loaded, and ``may_bootstrap`` tells whether the replica may form a new group.
    """

    def __init__(self, folder: Path, lock_fd: int, write: Write, sync: Sync) -> None:
        self._folder = folder
        self._lock_fd = lock_fd
        self._files = SyncedFiles(folder, write, sync)
        self._segment_fd = -1
        self._segment_number = 0
        self._segment_bytes = 0
        self._batch = 0
        self._pending: list[StorageRecord] = []
        self._has_failed = False
        self.incarnation = 0
        self.may_bootstrap = False
        self.state = RaftState()
        self._hard_state = self.state.hard_state

    @classmethod
    def open(
        cls,
        folder: Path | str,
        write: Write = os.write,
        sync: Sync = os.fsync,
        *,
        is_first_start: bool = False,
    ) -> "Storage":
        """Open a data folder; create it if it doesn't exist.

        :param folder: path of the folder.
        :param write: function that writes bytes, as ``os.write``.
        :param sync: function that syncs a file descriptor, as ``os.fsync``.
        :param is_first_start: whether the whole deployment starts for the first
            time; a folder that existed then may bootstrap a group after a restart,
            too.
        :return: the storage; its ``state`` is the state that was loaded.
        :raises DataFolderLocked: if another process has locked the folder.
        :raises StorageDamaged: if a file is damaged.
        :raises StorageFailed: if the folder can't be read or written.
        """
        path = Path(folder)
        try:
            _create_folder(path, sync)
            storage = cls(path, _lock(path), write, sync)
        except OSError as error:
            raise StorageFailed(f"{path}: {error}") from error
        try:
            storage._load()
            storage._load_founding(is_first_start)
        except OSError as error:
            storage.close()
            raise StorageFailed(f"{path}: {error}") from error
        except StorageDamaged:
            storage.close()
            raise
        return storage

    def apply_changes(self, changes: list[PersistAction]) -> None:
        """Write changes in order and sync them once.

        :raises StorageFailed: if a write or a sync fails, and at every later call.
        """
        if self._has_failed:
            raise StorageFailed("an earlier write failed")
        try:
            for change in changes:
                self._run(change)
            self._flush()
        except OSError as error:
            self._has_failed = True
            raise StorageFailed(f"{self._folder}: {error}") from error

    def close(self) -> None:
        """Close all files and unlock the folder."""
        for fd in (self._segment_fd, self._lock_fd):
            if fd >= 0:
                os.close(fd)
        self._segment_fd = -1
        self._lock_fd = -1
        self._has_failed = True

    @singledispatchmethod
    def _run(self, change: PersistAction) -> None:
        raise TypeError(f"unexpected action: {type(change).__name__}")

    @_run.register
    def _(self, change: SaveHardState) -> None:
        self._hard_state = change.hard_state
        self._pending.append(StorageRecord(hard_state=change.hard_state))

    @_run.register
    def _(self, change: AppendEntries) -> None:
        self._pending += [StorageRecord(entry=entry) for entry in change.entries]

    @_run.register
    def _(self, change: TruncateLog) -> None:
        truncation = Truncation(change.from_index)
        self._pending.append(StorageRecord(truncation=truncation))

    @_run.register
    def _(self, change: InstallSnapshot) -> None:
        self._flush()
        snapshot = change.snapshot
        record = frame(wire.encode(StorageRecord(snapshot=snapshot)), 0, True)
        self._files.replace(_snapshot_name(snapshot.last_index), record)
        self._begin_segment(snapshot, change.entries)
        self._drop_files_before(self._segment_number, snapshot.last_index)

    def _flush(self) -> None:
        if not self._pending:
            return
        data = self._encode_pending()
        if self._segment_bytes >= SEGMENT_SIZE_BYTES or self._segment_fd < 0:
            self._open_segment(self._segment_number + 1)
        self._files.append(self._segment_fd, data)
        self._segment_bytes += len(data)

    def _encode_pending(self) -> bytes:
        self._batch += 1
        bodies = [wire.encode(record) for record in self._pending]
        self._pending = []
        last = len(bodies) - 1
        frames = [frame(body, self._batch, i == last) for i, body in enumerate(bodies)]
        return b"".join(frames)

    def _begin_segment(self, snapshot: Snapshot, entries: tuple[LogEntry, ...]) -> None:
        start = LogStart(snapshot.last_index, snapshot.last_term)
        self._pending.append(StorageRecord(log_start=start))
        self._pending.append(StorageRecord(hard_state=self._hard_state))
        self._pending += [StorageRecord(entry=entry) for entry in entries]
        name = _segment_name(self._segment_number + 1)
        self._files.replace(name, self._encode_pending())
        self._open_segment(self._segment_number + 1)

    def _open_segment(self, number: int) -> None:
        if self._segment_fd >= 0:
            os.close(self._segment_fd)
            self._segment_fd = -1
        self._segment_fd = self._files.open_to_append(_segment_name(number))
        self._segment_number = number
        self._segment_bytes = os.fstat(self._segment_fd).st_size

    def _rewrite_segment(self, number: int, valid_bytes: int) -> None:
        """Write the last segment again, without a torn tail.

        After a failed sync the page cache may hold bytes that a second sync reports
        as written although they are not on the disk.
        """
        name = _segment_name(number)
        data = (self._folder / name).read_bytes()
        self._files.replace(name, data[:valid_bytes])
        self._open_segment(number)

    def _drop_files_before(self, segment_number: int, snapshot_index: int) -> None:
        for number, path in _numbered_files(self._folder, "segment"):
            if number < segment_number:
                path.unlink()
        for index, path in _numbered_files(self._folder, "snapshot"):
            if index < snapshot_index:
                path.unlink()

    def _load(self) -> None:
        for path in self._folder.glob(f"*{TEMPORARY_SUFFIX}"):
            path.unlink()
        self._load_incarnation()
        loader = _Loader(self._folder)
        self.state = loader.load()
        self._hard_state = self.state.hard_state
        self._batch = loader.batch
        self._segment_number = loader.segment_number
        if loader.segment_number:
            self._rewrite_segment(loader.segment_number, loader.valid_bytes)
        self._files.sync_folder()
        if loader.is_snapshot_newer:
            self._begin_segment(self.state.snapshot, self.state.entries)
            loader.first_segment_number = self._segment_number
        self._drop_files_before(
            loader.first_segment_number, self.state.snapshot.last_index
        )

    def _load_incarnation(self) -> None:
        path = self._folder / INCARNATION_FILE
        if path.exists():
            record = read_frame(path.read_bytes(), 0)
            if record is None:
                raise StorageDamaged(str(path), 0, "the checksum does not match")
            self.incarnation = wire.decode(Replica, record.body).incarnation
            return
        if _numbered_files(self._folder, "segment") or _numbered_files(
            self._folder, "snapshot"
        ):
            raise StorageDamaged(str(path), 0, "the file is missing but a log exists")
        self.incarnation = secrets.randbits(INCARNATION_BITS) or 1
        body = wire.encode(Replica("", self.incarnation))
        self._files.replace(path.name, frame(body, 0, True))

    def _load_founding(self, is_first_start: bool) -> None:
        path = self._folder / FOUNDING_FILE
        if is_first_start and not path.exists():
            self._files.replace(path.name, b"")
        self.may_bootstrap = path.exists()


class SyncedFiles:
    """Durable writes to the files of one folder.

    :param folder: path of the folder.
    :param write: function that writes bytes to a file descriptor, as ``os.write``.
    :param sync: function that syncs a file descriptor, as ``os.fsync``.
    """

    def __init__(self, folder: Path, write: Write, sync: Sync) -> None:
        self._folder = folder
        self._write = write
        self.sync = sync

    def append(self, fd: int, data: bytes) -> None:
        """Write bytes to an open file and sync it."""
        self._write_all(fd, data)
        self.sync(fd)

    def replace(self, name: str, data: bytes) -> None:
        """Create or replace a file atomically."""
        temporary = self._folder / f"{name}{TEMPORARY_SUFFIX}"
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.append(fd, data)
        finally:
            os.close(fd)
        os.rename(temporary, self._folder / name)
        self.sync_folder()

    def open_to_append(self, name: str) -> int:
        """Open a file to append to it and sync the folder, in case the file is new."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        fd = os.open(self._folder / name, flags, 0o600)
        try:
            self.sync_folder()
        except OSError:
            os.close(fd)
            raise
        return fd

    def sync_folder(self) -> None:
        """Sync the folder, which holds the names of the files."""
        _sync_folder(self._folder, self.sync)

    def _write_all(self, fd: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._write(fd, view) :]


class _Loader:
    """Loader of a replica's state from a data folder.

    After :meth:`load`, ``batch`` is the number of the last valid batch,
    ``first_segment_number`` and ``segment_number`` are those of the first and the last
    segment of the log, and ``valid_bytes`` is the length of the valid records in the
    last segment. ``is_snapshot_newer`` tells whether the snapshot is newer than the
    start of the log, since the process ended before it began a new segment.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._hard_state = HardState()
        self._entries: list[LogEntry] = []
        self._start = LogStart(0, 0)
        self._file = ""
        self._is_batch_complete = True
        self.batch = 0
        self.is_snapshot_newer = False
        self.segment_number = 0
        self.first_segment_number = 0
        self.valid_bytes = 0

    def load(self) -> RaftState:
        """Load the state.

        :raises StorageDamaged: if a file is damaged or missing.
        """
        snapshot = self._load_snapshot()
        segments = self._current_segments()
        if snapshot.last_index and not segments:
            detail = "a snapshot exists but the log is missing"
            raise StorageDamaged(str(self._folder), 0, detail)
        for position, (number, path) in enumerate(segments):
            self._check_segment_number(number, path)
            is_last = position == len(segments) - 1
            for record in self._read_segment(path, is_last):
                self._apply_record(record)
        entries = self._entries_after(snapshot)
        self.is_snapshot_newer = snapshot.last_index > self._start.last_index
        return RaftState(self._hard_state, snapshot, entries)

    def _load_snapshot(self) -> Snapshot:
        files = _numbered_files(self._folder, "snapshot")
        if not files:
            return Snapshot()
        path = files[-1][1]
        record = read_frame(path.read_bytes(), 0)
        if record is None:
            raise StorageDamaged(str(path), 0, "the checksum does not match")
        return wire.decode(StorageRecord, record.body).snapshot

    def _current_segments(self) -> list[tuple[int, Path]]:
        segments = _numbered_files(self._folder, "segment")
        for position in range(len(segments) - 1, 0, -1):
            if _starts_log(segments[position][1]):
                segments = segments[position:]
                break
        if segments:
            self.first_segment_number = segments[0][0]
        return segments

    def _check_segment_number(self, number: int, path: Path) -> None:
        if self.segment_number and number != self.segment_number + 1:
            detail = f"segment {self.segment_number + 1} is missing before it"
            raise StorageDamaged(str(path), 0, detail)
        if not self.segment_number and number != 1 and not _starts_log(path):
            raise StorageDamaged(str(path), 0, "the segments before it are missing")
        self.segment_number = number

    def _read_segment(self, path: Path, is_last: bool) -> Iterator[FramedRecord]:
        self._file = str(path)
        data = path.read_bytes()
        self.valid_bytes = 0
        for record in read_frames(data):
            if record.batch < self.batch:
                detail = "a batch is older than the one before it"
                raise StorageDamaged(self._file, record.offset_bytes, detail)
            self.batch = record.batch
            self._is_batch_complete = record.is_last
            self.valid_bytes = record.end_bytes
            yield record
        if self.valid_bytes == len(data):
            return
        torn_batch = self.batch + 1 if self._is_batch_complete else self.batch
        if not is_last or not is_torn(data, self.valid_bytes, torn_batch):
            detail = "the record is invalid but later records are valid"
            raise StorageDamaged(self._file, self.valid_bytes, detail)

    def _apply_record(self, framed: FramedRecord) -> None:
        try:
            record = wire.decode(StorageRecord, framed.body)
        except DecodeError as error:
            raise StorageDamaged(self._file, framed.offset_bytes, str(error)) from error
        if record.hard_state is not None:
            self._hard_state = record.hard_state
        if record.log_start is not None:
            self._start = record.log_start
            self._entries = []
        if record.truncation is not None:
            self._truncate(record.truncation.from_index)
        if record.entry is not None:
            self._append(record.entry, framed.offset_bytes)

    def _truncate(self, from_index: int) -> None:
        kept_count = max(0, from_index - self._start.last_index - 1)
        del self._entries[kept_count:]

    def _append(self, entry: LogEntry, offset_bytes: int) -> None:
        expected = self._start.last_index + len(self._entries) + 1
        if entry.index != expected:
            detail = f"found entry {entry.index} instead of entry {expected}"
            raise StorageDamaged(self._file, offset_bytes, detail)
        self._entries.append(entry)

    def _entries_after(self, snapshot: Snapshot) -> tuple[LogEntry, ...]:
        start = self._start
        if snapshot.last_index < start.last_index:
            detail = f"the snapshot of entry {start.last_index} is missing"
            raise StorageDamaged(self._file, 0, detail)
        if snapshot.last_index == start.last_index:
            return tuple(self._entries)
        position = snapshot.last_index - start.last_index
        if position > len(self._entries):
            return ()
        if self._entries[position - 1].term != snapshot.last_term:
            return ()
        return tuple(self._entries[position:])


def _create_folder(path: Path, sync: Sync) -> None:
    """Create a folder and its missing parents, so that they outlive a power loss.

    The file with the identity is written after this, so that a folder which has one is
    in its parent for good.
    """
    if (path / INCARNATION_FILE).exists():
        return
    missing = [folder for folder in (path, *path.parents) if not folder.exists()]
    for folder in reversed(missing):
        folder.mkdir(exist_ok=True)
        _sync_folder(folder.parent, sync)
    if missing:
        return
    # Another process may have created it and ended before it synced the parent. A
    # parent that can't be read was not written by this program.
    with contextlib.suppress(PermissionError):
        _sync_folder(path.parent, sync)


def _sync_folder(path: Path, sync: Sync) -> None:
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync(fd)
    finally:
        os.close(fd)


def _lock(folder: Path) -> int:
    fd = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(fd)
        raise DataFolderLocked(f"{folder} is in use by another process") from error
    return fd


def _starts_log(path: Path) -> bool:
    with path.open("rb") as file:
        first = read_frame(file.read(LOG_START_BYTES), 0)
    if first is None:
        return False
    return wire.decode(StorageRecord, first.body).log_start is not None


def _numbered_files(folder: Path, kind: str) -> list[tuple[int, Path]]:
    paths = folder.glob(f"{kind}-*[0-9]")
    return sorted([(int(path.name.split("-")[1]), path) for path in paths])


def _segment_name(number: int) -> str:
    return f"segment-{number:012d}"


def _snapshot_name(index: int) -> str:
    return f"snapshot-{index:020d}"
