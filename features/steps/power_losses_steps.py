"""Steps for control groups whose hosts lose power at the same moment."""

import os
import random
import tempfile

from behave import given, then, when
from support.power_group import FinalFault
from support.power_loss import DiskFolders, PowerDisk

from peridotfront import storage as storage_module
from peridotfront.core.messages import LogEntry, NoOp
from peridotfront.core.raft import AppendEntries
from peridotfront.storage import Storage

# Small segments, so that many are begun.
SEGMENT_SIZE_BYTES = 600
ENTRY = LogEntry(1, 1, NoOp())


@when("{count:d} control groups live through faults and a last loss of power and disks")
def play_lives(context, count):
    size_bytes = storage_module.SEGMENT_SIZE_BYTES
    storage_module.SEGMENT_SIZE_BYTES = SEGMENT_SIZE_BYTES
    first = int(os.environ.get("PERIDOTFRONT_POWER_SEED", "0"))
    runs = int(os.environ.get("PERIDOTFRONT_POWER_RUNS", count))
    try:
        context.lives = [play_life(seed) for seed in range(first, first + runs)]
    finally:
        storage_module.SEGMENT_SIZE_BYTES = size_bytes


def play_life(seed):
    with tempfile.TemporaryDirectory() as folder:
        life = FinalFault(seed, folder)
        try:
            life.play()
        except Exception as error:
            error.add_note(f"seed {seed}")
            raise
        return life


@then("every acknowledged change is on every host and is read back")
def nothing_lost(context):
    assert all(life.is_read_back for life in context.lives)


@then("disks were lost, and hosts that are no voters lost power")
def all_faults_occurred(context):
    assert any(life.lost_disks for life in context.lives)
    assert any(life.learners for life in context.lives)


@given("a data folder in folders that don't exist yet")
def new_folders(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.folders = DiskFolders(context.folder.name)


@when("an entry is stored and the host loses power, {runs:d} times")
def store_and_lose_power(context, runs):
    context.loaded = [load_after_loss(context.folders, seed) for seed in range(runs)]


def load_after_loss(folders, seed):
    """Return the entries that are left after a loss of power."""
    root = folders.new_path()
    root.mkdir()
    disk = PowerDisk(root, random.Random(seed))
    storage = Storage.open(disk.data, disk.write, disk.sync)
    storage.apply_changes([AppendEntries((ENTRY,))])
    storage.close()
    disk = disk.lose_power(folders.new_path())
    storage = Storage.open(disk.data, disk.write, disk.sync)
    storage.close()
    disk.discard()
    return storage.state.entries


@then("the entry is still stored each time")
def still_stored(context):
    stored = sum(entries == (ENTRY,) for entries in context.loaded)
    assert stored == len(context.loaded), f"{stored} of {len(context.loaded)}"
