"""Random changes, torn writes and restarts against the data folder."""

import copy
import errno
import os
import random
import sys
import tempfile
from pathlib import Path

from behave import then, when
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from peridotfront import storage as storage_module
from peridotfront.core.messages import HardState, LogEntry, NoOp, Replica, Snapshot
from peridotfront.core.raft import (
    AppendEntries,
    InstallSnapshot,
    RaftState,
    SaveHardState,
    TruncateLog,
)
from peridotfront.exceptions import StorageFailed
from peridotfront.storage import Storage

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from support.raft_group import Disk

CI_STEPS = 1000
TURNS_PER_RUN = 25
FUZZ_SEGMENT_SIZE_BYTES = 600


class TearingDisk:
    """Disk that loses power after a number of bytes, in a write or before a sync."""

    def __init__(self):
        self.bytes_left = None

    def write(self, fd, data):
        if self.bytes_left is None:
            return os.write(fd, data)
        size = os.write(fd, data[: self.bytes_left])
        self.bytes_left -= size
        if size < len(data):
            raise OSError(errno.EIO, "power lost")
        return size

    def sync(self, fd):
        if self.bytes_left == 0:
            raise OSError(errno.EIO, "power lost")


class Run:
    """One data folder with an oracle of its expected content."""

    def __init__(self, folder, number):
        self.folder = folder
        self.random = random.Random(number)
        self.oracle = Disk(0)
        self.term = 1
        self.open()

    def open(self):
        self.disk = TearingDisk()
        self.storage = Storage.open(self.folder, self.disk.write, self.disk.sync)

    def changes(self):
        """Return random changes for one call, each of a single record."""
        draft = copy.deepcopy(self.oracle)
        changes = []
        for _ in range(self.random.randint(1, 4)):
            change = self.change(draft)
            if change is not None:
                draft.run(change)
                changes.append(change)
        return changes

    def change(self, draft):
        base = draft.snapshot.last_index
        last = base + len(draft.entries)
        kind = self.random.choice(["append"] * 4 + ["hard", "truncate", "snapshot"])
        if kind == "append":
            return AppendEntries((LogEntry(last + 1, self.term, NoOp()),))
        if kind == "hard":
            self.term += 1
            return SaveHardState(HardState(self.term, Replica("a", 1), True))
        if last == base:
            return None
        index = self.random.randint(base + 1, last)
        if kind == "truncate":
            self.term += 1
            return TruncateLog(index)
        term = draft.entries[index - base - 1].term
        remaining = tuple(draft.entries[index - base :])
        if self.random.random() < 0.3:
            self.term += 1
            index, term, remaining = last + 5, self.term, ()
        return InstallSnapshot(Snapshot(index, term, (), (), b"x" * index), remaining)

    def turn(self):
        changes = self.changes()
        if self.random.random() < 0.7:
            self.storage.apply_changes(changes)
            for change in changes:
                self.oracle.run(change)
        else:
            self.torn_turn(changes)
        if self.random.random() < 0.3:
            self.restart([self.oracle])

    def torn_turn(self, changes):
        self.disk.bytes_left = self.random.randint(0, 400)
        allowed = [copy.deepcopy(self.oracle)]
        for change in changes:
            allowed.append(copy.deepcopy(allowed[-1]))
            allowed[-1].run(change)
        try:
            self.storage.apply_changes(changes)
            allowed = allowed[-1:]
        except StorageFailed:
            pass
        self.restart(allowed)

    def restart(self, allowed):
        self.storage.close()
        self.open()
        loaded = self.storage.state
        matching = [disk for disk in allowed if disk.load() == loaded]
        assert matching, f"{loaded} is none of {[disk.load() for disk in allowed]}"
        self.oracle = copy.deepcopy(matching[-1])


@when("random changes, torn writes and restarts are applied to a data folder")
def random_storage(context):
    before = storage_module.SEGMENT_SIZE_BYTES
    storage_module.SEGMENT_SIZE_BYTES = FUZZ_SEGMENT_SIZE_BYTES
    context.add_cleanup(setattr, storage_module, "SEGMENT_SIZE_BYTES", before)

    steps = os.environ.get("PERIDOTFRONT_FUZZ_STEPS")
    runs = max(1, int(steps or CI_STEPS) // TURNS_PER_RUN)

    @settings(max_examples=runs, phases=(Phase.generate,), derandomize=steps is None)
    @given(st.integers(min_value=0, max_value=2**32))
    def check(number):
        with tempfile.TemporaryDirectory() as folder:
            run = Run(folder, number)
            assert run.storage.state == RaftState()
            for _ in range(TURNS_PER_RUN):
                run.turn()
            run.storage.close()

    check()


@then("every restart loads all synced changes and at most a prefix of the others")
def nothing_lost(context):
    pass
