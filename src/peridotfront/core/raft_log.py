"""In-memory log of one replica, with the memberships that its entries define."""

from collections.abc import Iterable
from dataclasses import dataclass

from .messages import LogEntry, MembershipChange, Snapshot
from .raft_sizes import estimated_bytes


@dataclass(frozen=True, slots=True)
class IndexedMembership:
    """Membership with the index of the log entry that sets it."""

    index: int
    membership: MembershipChange


class RaftLog:
    """Log entries after a snapshot, and a few before it for slow peers.

    :param snapshot: last snapshot; index 0 means that there is none.
    :param entries: entries after the snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: Iterable[LogEntry] = ()) -> None:
        self._restart(snapshot)
        self.append(tuple(entries))

    def _restart(self, snapshot: Snapshot) -> None:
        members = MembershipChange(snapshot.voters, snapshot.learners)
        self.snapshot = snapshot
        self._base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._entries: list[LogEntry] = []
        self._memberships = [IndexedMembership(snapshot.last_index, members)]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or 0."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or 0."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> MembershipChange:
        """Return the membership set by the last membership entry, committed or not."""
        return self._memberships[-1].membership

    @property
    def membership_index(self) -> int:
        """Return the index of the entry that sets :attr:`membership`."""
        return self._memberships[-1].index

    def membership_at(self, index: int) -> MembershipChange:
        """Return the membership as of an index at or after the snapshot."""
        memberships = [m.membership for m in self._memberships if m.index <= index]
        return memberships[-1]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the entry is not in memory."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index, which must be in memory."""
        return self._entries[index - self._base_index - 1]

    def entries(self, from_index: int, limit: int | None = None) -> tuple:
        """Return the entries from an index on.

        :param from_index: index of an entry in memory, or of the one after the last.
        :param limit: maximum number of entries; None for no limit.
        """
        start = from_index - self._base_index - 1
        stop = None if limit is None else start + limit
        return tuple(self._entries[start:stop])

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in memory with the same term as a given entry."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term and index - 1 > self._base_index:
            index -= 1
        return index

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries that directly follow the last one."""
        self._entries.extend(entries)
        for entry in entries:
            if isinstance(entry.command, MembershipChange):
                self._memberships.append(IndexedMembership(entry.index, entry.command))

    def truncate(self, from_index: int) -> None:
        """Remove all entries from an index on."""
        del self._entries[from_index - self._base_index - 1 :]
        self._memberships = [m for m in self._memberships if m.index < from_index]

    def compact(self, index: int, data: bytes, trailing_entries: int) -> Snapshot:
        """Replace the entries up to an index with a snapshot.

        :param index: index of the last entry included; it must be in memory.
        :param data: encoded state.
        :param trailing_entries: number of entries up to the index to keep in memory.
        """
        members = self.membership_at(index)
        term = self.term_at(index)
        self.snapshot = Snapshot(index, term, members.voters, members.learners, data)
        later_memberships = [m for m in self._memberships if m.index > index]
        self._memberships = [IndexedMembership(index, members), *later_memberships]
        self._discard_before(index - trailing_entries)
        return self.snapshot

    def count_before(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return how many entries in memory up to an index fit into limits."""
        first_index = max(self._base_index + 1, index - max_entries + 1)
        entries = self.entries(first_index, index - first_index + 1)
        size_bytes = 0
        for count, entry in enumerate(reversed(entries)):
            size_bytes += estimated_bytes(entry.command)
            if size_bytes > max_bytes:
                return count
        return len(entries)

    def _discard_before(self, index: int) -> None:
        if index <= self._base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term

    def install(self, snapshot: Snapshot) -> tuple[LogEntry, ...]:
        """Replace the log with a snapshot, and return the entries kept after it."""
        is_known = self.term_at(snapshot.last_index) == snapshot.last_term
        kept_entries = self.entries(snapshot.last_index + 1) if is_known else ()
        self._restart(snapshot)
        self.append(kept_entries)
        return kept_entries
