"""Steps for the data folder."""

import errno
import os
import stat
import tempfile
from pathlib import Path

from behave import given, then, when

from peridotfront import storage as storage_module
from peridotfront.core.messages import (
    HardState,
    LogEntry,
    Replica,
    Snapshot,
    StrikeBatch,
)
from peridotfront.core.raft import (
    AppendEntries,
    InstallSnapshot,
    RaftState,
    SaveHardState,
    TruncateLog,
)
from peridotfront.exceptions import DataFolderLocked, StorageDamaged, StorageFailed
from peridotfront.storage import Storage


class FaultyDisk:
    """Replacement for ``os.write`` and ``os.fsync`` with faults on request."""

    def __init__(self):
        self.syncs = 0
        self.calls = 0
        self.written_bytes = 0
        self.synced_names = []
        self.is_full = False
        self.sync_fails = False
        self.fail_at_call = 0
        self.write_limit_bytes = None

    def write(self, fd, data):
        self._count()
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")
        size = os.write(fd, data[: self.write_limit_bytes])
        self.written_bytes += size
        return size

    def sync(self, fd):
        self._count()
        if self.sync_fails:
            raise OSError(errno.EIO, "input/output error")
        self.syncs += 1
        os.fsync(fd)
        if stat.S_ISDIR(os.fstat(fd).st_mode):
            self.synced_names.append(set(os.listdir(fd)))

    def _count(self):
        self.calls += 1
        if self.calls == self.fail_at_call:
            raise OSError(errno.EIO, "input/output error")


def entry(index, term=1):
    return LogEntry(index, term, StrikeBatch(time_ms=index, reports=()))


def entries(first, last, term=1):
    return tuple([entry(index, term) for index in range(first, last + 1)])


def new_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name) / "data"


def open_storage(context):
    context.disk = FaultyDisk()
    context.storage = Storage.open(
        context.folder, context.disk.write, context.disk.sync
    )
    return context.storage


def reopen(context):
    context.storage.close()
    context.error = None
    try:
        open_storage(context)
    except (StorageDamaged, StorageFailed) as error:
        context.error = error


def segments(context):
    return sorted(context.folder.glob("segment-*"))


def close_at_end(context):
    context.add_cleanup(lambda: context.storage.close())


@given("an empty data folder")
def empty_folder(context):
    context.folder = new_folder(context)


@given("two data folders")
def two_folders(context):
    context.storages = [Storage.open(new_folder(context)) for _ in range(2)]


@given("a data folder with {count:d} entries")
def folder_with_entries(context, count):
    context.folder = new_folder(context)
    storage = open_storage(context)
    close_at_end(context)
    storage.apply_changes([SaveHardState(HardState(1, Replica("a", 5), True))])
    for item in entries(1, count):
        storage.apply_changes([AppendEntries((item,))])


@given("a data folder whose disk writes {count:d} bytes at a time")
def slow_disk(context, count):
    context.folder = new_folder(context)
    open_storage(context)
    close_at_end(context)
    context.disk.write_limit_bytes = count


@given("a data folder that starts a new segment at 2,000 bytes")
def small_segments(context):
    before = storage_module.SEGMENT_SIZE_BYTES
    storage_module.SEGMENT_SIZE_BYTES = 2000
    context.add_cleanup(setattr, storage_module, "SEGMENT_SIZE_BYTES", before)
    context.folder = new_folder(context)
    open_storage(context)
    close_at_end(context)


@given(
    "a data folder with {count:d} entries that was opened while another file was open"
)
def folder_opened_later(context, count):
    other_fd = os.open(os.devnull, os.O_RDONLY)
    folder_with_entries(context, count)
    os.close(other_fd)
    context.open_files = os.listdir("/proc/self/fd")


@given("a data folder with several segments and a snapshot")
def several_segments(context):
    small_segments(context)
    storage = context.storage
    storage.apply_changes([AppendEntries(entries(1, 5))])
    storage.apply_changes([InstallSnapshot(snapshot_of(3), entries(4, 5))])
    for item in entries(6, 300):
        storage.apply_changes([AppendEntries((item,))])
    assert len(segments(context)) > 3


def snapshot_of(index, term=1):
    return Snapshot(index, term, (Replica("a", 5),), (), b"state")


@given("a data folder with segments that contain votes only")
def segment_of_votes(context):
    small_segments(context)
    context.storage.apply_changes([AppendEntries(entries(1, 5))])
    for term in range(1, 200):
        hard_state = HardState(term, Replica("a", 5), True)
        context.storage.apply_changes([SaveHardState(hard_state)])
    assert len(segments(context)) > 3


@when("the storage is opened and closed and opened")
def opened_twice(context):
    context.first = open_storage(context).incarnation
    close_at_end(context)
    reopen(context)


@when("the storage is opened a second time")
def opened_concurrently(context):
    try:
        Storage.open(context.folder)
        context.error = None
    except DataFolderLocked as error:
        context.error = error


@when("the storage is opened again")
@then("the storage is opened again")
def opened_again(context):
    reopen(context)


@when("entries 4 to 5 are replaced by entries of term 2")
def entries_replaced(context):
    context.hard_state = HardState(2, None, True)
    context.storage.apply_changes(
        [
            SaveHardState(context.hard_state),
            TruncateLog(4),
            AppendEntries(entries(4, 5, 2)),
        ]
    )


@when("{count:d} changes are applied in one call")
def many_changes(context, count):
    context.disk.syncs = 0
    changes = [AppendEntries((entry(6 + i),)) for i in range(count)]
    context.storage.apply_changes(changes)


@when("{count:d} entries are written")
def entries_written(context, count):
    context.storage.apply_changes([AppendEntries(entries(1, count))])


def open_unsynced(context):
    """Open the folder without the cost of syncs, for steps that try many faults."""
    return Storage.open(context.folder, sync=lambda fd: None)


def cut_and_load(context, data, size):
    path = segments(context)[-1]
    path.write_bytes(data[:size])
    storage = open_unsynced(context)
    try:
        loaded = storage.state.entries
        storage.apply_changes([AppendEntries((entry(len(loaded) + 1, 7),))])
    finally:
        storage.close()
    reloaded = open_unsynced(context)
    reloaded.close()
    return loaded, reloaded.state.entries


@when("{count:d} more entries are written and the file is cut at any byte of them")
def torn_anywhere(context, count):
    path = segments(context)[-1]
    before = path.stat().st_size
    context.storage.apply_changes([AppendEntries(entries(6, 5 + count))])
    context.storage.close()
    data = path.read_bytes()
    context.loads = [cut_and_load(context, data, n) for n in range(before, len(data))]


@when("{count:d} more entries are written and the first of them is zeroed")
def torn_first(context, count):
    path = segments(context)[-1]
    before = path.stat().st_size
    context.storage.apply_changes([AppendEntries(entries(6, 5 + count))])
    data = bytearray(path.read_bytes())
    data[before : before + 30] = bytes(30)
    path.write_bytes(data)


@when("{count:d} more entries are written and any earlier byte is changed")
def bit_changed(context, count):
    path = segments(context)[-1]
    before = path.stat().st_size
    context.storage.apply_changes([AppendEntries(entries(6, 5 + count))])
    context.storage.close()
    data = path.read_bytes()
    context.errors = []
    for offset in range(before):
        changed = bytearray(data)
        changed[offset] ^= 4
        path.write_bytes(changed)
        context.errors.append(error_of_opening(context))


def error_of_opening(context):
    try:
        open_unsynced(context).close()
    except StorageDamaged as error:
        return error
    return None


def path_of(context, file):
    if file == "incarnation":
        return context.folder / "incarnation"
    if file == "snapshot":
        return next(context.folder.glob("snapshot-*"))
    return segments(context)[1]


@when('the file "{file}" is damaged')
def file_damaged(context, file):
    path = path_of(context, file)
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)


@when('the file "{file}" is removed')
def file_removed(context, file):
    is_all = file == "every segment"
    for path in segments(context) if is_all else [path_of(context, file)]:
        path.unlink()


@when("the disk is full")
def disk_full(context):
    context.disk.is_full = True


@when("the disk fails to sync")
def disk_fails(context):
    context.disk.sync_fails = True


@when("a snapshot of entry {index:d} is installed")
def snapshot_installed(context, index):
    tail = entries(index + 1, 5)
    context.storage.apply_changes([InstallSnapshot(snapshot_of(index), tail)])


@when("the disk fails at step {step:d} of installing a snapshot of entry 3")
def snapshot_fails(context, step):
    context.disk.calls = 0
    context.disk.fail_at_call = step
    try:
        snapshot_installed(context, 3)
        raise AssertionError("the disk did not fail")
    except StorageFailed:
        pass


@when(
    "a snapshot of entry {index:d} of term {term:d} is installed"
    " and only its file reached the disk"
)
def snapshot_of_other_term(context, index, term):
    old_segments = {path: path.read_bytes() for path in segments(context)}
    context.storage.apply_changes([InstallSnapshot(snapshot_of(index, term), ())])
    for path in segments(context):
        path.unlink()
    for path, data in old_segments.items():
        path.write_bytes(data)
    reopen(context)


@when("{count:d} entries are written with a snapshot after every {interval:d}")
def many_snapshots(context, count, interval):
    context.sizes = []
    for index in range(1, count + 1):
        context.storage.apply_changes([AppendEntries((entry(index),))])
        if index % interval == 0:
            context.sizes.append(folder_size(context))
            context.storage.apply_changes([InstallSnapshot(snapshot_of(index), ())])


def folder_size(context):
    return sum(path.stat().st_size for path in context.folder.iterdir())


@then("the incarnation is the same")
def same_incarnation(context):
    assert context.storage.incarnation == context.first > 0


@then("the state is empty")
def empty_state(context):
    assert context.storage.state == RaftState()


@then("their incarnations differ")
def different_incarnations(context):
    first, second = [storage.incarnation for storage in context.storages]
    for storage in context.storages:
        storage.close()
    assert first != second


@then("it raises DataFolderLocked")
def folder_is_locked(context):
    assert isinstance(context.error, DataFolderLocked)


@then("the entries are 1 to 5 with the terms {terms}")
def entries_with_terms(context, terms):
    loaded = context.storage.state.entries
    assert [e.index for e in loaded] == [1, 2, 3, 4, 5], loaded
    assert [e.term for e in loaded] == [int(term) for term in terms.split(", ")]


@then("the hard state is the last one written")
def last_hard_state(context):
    assert context.storage.state.hard_state == context.hard_state


@then("there was one sync")
def one_sync(context):
    assert context.disk.syncs == 1


@then("the first 5 entries are loaded and at most 3 more, without a gap")
def synced_part(context):
    all_entries = entries(1, 8)
    counts = [len(loaded) for loaded, _ in context.loads]
    assert min(counts) == 5
    assert max(counts) == 7
    assert all(loaded == all_entries[: len(loaded)] for loaded, _ in context.loads)


@then("the folder accepts and preserves new entries")
def new_entries_preserved(context):
    for loaded, reloaded in context.loads:
        assert reloaded == (*loaded, entry(len(loaded) + 1, 7))


@then("it raises StorageDamaged with the file and the offset")
def damaged_everywhere(context):
    path = str(segments(context)[-1])
    missed = [i for i, error in enumerate(context.errors) if error is None]
    assert missed == [], f"changes at these offsets were not detected: {missed}"
    assert {error.file for error in context.errors} == {path}
    offsets = [error.offset_bytes for error in context.errors]
    assert all(offset <= i for i, offset in enumerate(offsets))
    assert offsets == sorted(offsets)


@then("it raises StorageDamaged that names the {file}")
def damaged_file(context, file):
    assert isinstance(context.error, StorageDamaged), context.error
    expected = "incarnation" if file == "incarnation" else str(path_of(context, file))
    assert expected in context.error.file


@then("it raises StorageDamaged")
def damaged(context):
    assert isinstance(context.error, StorageDamaged), context.error


def write_error(context):
    try:
        context.storage.apply_changes([AppendEntries((entry(6),))])
    except StorageFailed as error:
        return error
    return None


@then("writing raises StorageFailed")
def write_fails(context):
    assert write_error(context) is not None


@then("writing raises StorageFailed even when the disk works again")
def write_still_fails(context):
    context.disk.is_full = False
    context.disk.sync_fails = False
    assert write_error(context) is not None


@then("the entries are 1 to 5 after a restart")
def synced_entries_left(context):
    reopen(context)
    assert context.storage.state.entries[:5] == entries(1, 5)


@then("the restart wrote the complete log again before its use")
def log_written_again(context):
    reopen(context)
    size = segments(context)[-1].stat().st_size
    assert context.disk.written_bytes == size > 0
    assert context.disk.syncs >= 2


@then("the snapshot is that of entry {index:d}, followed by entries {first:d} to 5")
def snapshot_and_tail(context, index, first):
    assert context.storage.state.snapshot == snapshot_of(index)
    assert context.storage.state.entries == entries(first, 5)


@then("the name of the snapshot was synced before that of the segment after it")
def names_synced_in_order(context):
    snapshot = path_of(context, "snapshot").name
    segment = segments(context)[-1].name
    listings = context.disk.synced_names
    assert any(snapshot in names and segment not in names for names in listings)
    assert {snapshot, segment, "incarnation"} <= listings[-1]


@then("the storage is closed without an error, and closes no file of others")
def closes_its_own(context):
    own = {"segment", "lock"}
    closed = len(context.open_files) - len(own)
    # One of these may get the number of a file that the storage has closed already.
    others = [os.open(os.devnull, os.O_RDONLY) for _ in range(len(own))]
    context.storage.close()
    for fd in others:
        os.fstat(fd)
        os.close(fd)
    left = os.listdir("/proc/self/fd")
    assert len(left) == closed, (context.open_files, left)


@then("one segment and one snapshot file are left")
def few_files(context):
    assert len(segments(context)) == 1
    assert len(list(context.folder.glob("snapshot-*"))) == 1


@then("the log from entry 4 on is loaded, after a snapshot or the entries before")
def complete_or_absent(context):
    assert context.error is None, context.error
    state = context.storage.state
    all_entries = entries(1, 5)
    if state.snapshot.last_index:
        assert state.snapshot == snapshot_of(3)
        assert state.entries == all_entries[3:]
    else:
        assert state.entries == all_entries
    assert state.hard_state == HardState(1, Replica("a", 5), True)


@then("the snapshot is that of entry {index:d}, followed by no entries")
def snapshot_alone(context, index):
    assert context.storage.state.snapshot.last_index == index
    assert context.storage.state.entries == ()


@then("the folder never held more than 40,000 bytes")
def bounded(context):
    assert max(context.sizes) <= 40_000, max(context.sizes)
