"""Disk that loses what was not synced when its host loses power."""

import errno
import itertools
import os
import shutil
from pathlib import Path

DATA_FOLDER = Path("host", "data")
MAX_READ_BYTES = 1 << 24


class PowerLost(OSError):
    """The host lost power within a write or before a sync."""


class PowerDisk:
    """Files of one host, whose synced state is known at each moment.

    Nothing is really synced. Each file that was created, renamed or removed since its
    folder was last synced may be kept or lost by itself, and bytes written since the
    last sync of a file may be present, missing or torn.

    :param root: existing folder that holds all files; what it has now is synced.
    :param random: source of randomness.

    ``data`` is the folder of the host's data, in a folder that doesn't exist at first.
    ``steps_left`` is the number of writes and syncs until the power is lost; None for
    never.
    """

    def __init__(self, root, random):
        self.root = root
        self.data = root / DATA_FOLDER
        self.steps_left = None
        self._random = random
        self._names = {}
        self._contents = {}
        self._held = {}
        for folder, _, files in os.walk(root):
            self._sync_folder(Path(folder))
            for name in files:
                self._sync_file(Path(folder, name))

    def write(self, fd, data):
        """Write bytes as ``os.write``, or a part of them if the power is lost."""
        if self._is_power_lost():
            os.write(fd, data[: self._random.randint(0, len(data))])
            raise PowerLost(errno.EIO, "power lost")
        return os.write(fd, data)

    def sync(self, fd):
        """Record the state of a file or folder as synced, unless the power is lost."""
        if self._is_power_lost():
            raise PowerLost(errno.EIO, "power lost")
        path = Path(os.readlink(f"/proc/self/fd/{fd}"))
        if path.is_dir():
            self._sync_folder(path)
        else:
            self._sync_file(path)

    def lose_power(self, root):
        """Return the disk that is left, in a new folder."""
        root.mkdir()
        self._copy_folder(self._inode_of(self.root), root)
        self.discard()
        return PowerDisk(root, self._random)

    def discard(self):
        """Close and delete all files."""
        for fd in self._held.values():
            os.close(fd)
        self._held.clear()
        shutil.rmtree(self.root)

    def _is_power_lost(self):
        if self.steps_left is None:
            return False
        self.steps_left -= 1
        return self.steps_left < 0

    def _sync_folder(self, path):
        self._names[self._inode_of(path)] = self._current_names(path)

    def _sync_file(self, path):
        self._contents[self._inode_of(path)] = path.read_bytes()

    def _current_names(self, path):
        return {name: self._inode_of(path / name) for name in sorted(os.listdir(path))}

    def _inode_of(self, path):
        """Return the number of a file or folder, which is held so that it stays."""
        inode = path.stat().st_ino
        if inode not in self._held:
            self._held[inode] = os.open(path, os.O_RDONLY)
        return inode

    def _copy_folder(self, inode, target):
        synced = self._names.get(inode, {})
        current = self._current_names(Path(f"/proc/self/fd/{self._held[inode]}"))
        for name in sorted(synced.keys() | current.keys()):
            child = self._random.choice([synced.get(name), current.get(name)])
            if child is not None:
                self._copy(child, target / name)

    def _copy(self, inode, target):
        path = Path(f"/proc/self/fd/{self._held[inode]}")
        if path.is_dir():
            target.mkdir()
            self._copy_folder(inode, target)
            return
        synced = self._contents.get(inode, b"")
        current = os.pread(self._held[inode], MAX_READ_BYTES, 0)
        target.write_bytes(self._torn(synced, current))

    def _torn(self, synced, current):
        """Return the synced bytes with any part of those written since."""
        if not current.startswith(synced):
            return current[: self._random.randint(0, len(current))]
        added = current[len(synced) :]
        kept = bytearray(added[: self._random.randint(0, len(added))])
        if kept and self._random.random() < 0.3:
            # The length reached the disk, but a page of the content did not.
            start = self._random.randrange(len(kept))
            kept[start:] = bytes(len(kept) - start)
        return synced + bytes(kept)


class DiskFolders:
    """Folders for the disks of one run.

    :param folder: folder in which they are created.
    """

    def __init__(self, folder):
        self._folder = Path(folder)
        self._numbers = itertools.count()

    def new_path(self):
        """Return the path of a folder that doesn't exist."""
        return self._folder / str(next(self._numbers))
