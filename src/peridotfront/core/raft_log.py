"""The replicated log of one replica in memory, with the members it defines."""

from collections.abc import Iterable
from dataclasses import dataclass

from .messages import LogEntry, MembershipChange, Snapshot


@dataclass(frozen=True, slots=True)
class MembershipAt:
    """Pairs a membership with the index of the entry that sets it."""

    index: int
    membership: MembershipChange


class RaftLog:
    """Holds the entries after a snapshot, and a few before it for slow peers.

    :param snapshot: the last snapshot; one with index 0 stands for none.
    :param entries: the entries that follow it.
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
        self._memberships = [MembershipAt(snapshot.last_index, members)]

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
        """Return the members that the last such entry sets, committed or not."""
        return self._memberships[-1].membership

    @property
    def membership_index(self) -> int:
        """Return the index of the entry that sets :attr:`membership`."""
        return self._memberships[-1].index

    def membership_at(self, index: int) -> MembershipChange:
        """Return the members as of an entry at or after the snapshot."""
        known = [m.membership for m in self._memberships if m.index <= index]
        return known[-1]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it isn't held."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def entry(self, index: int) -> LogEntry:
        """Return the entry with an index that is held."""
        return self._entries[index - self._base_index - 1]

    def entries(self, from_index: int, limit: int | None = None) -> tuple:
        """Return the entries from an index on that is held or the next one."""
        start = from_index - self._base_index - 1
        stop = None if limit is None else start + limit
        return tuple(self._entries[start:stop])

    def first_index_of_term(self, index: int) -> int:
        """Return the first held index with the same term as a held entry."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term and index - 1 > self._base_index:
            index -= 1
        return index

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries that follow the last one."""
        self._entries.extend(entries)
        for entry in entries:
            if isinstance(entry.command, MembershipChange):
                self._memberships.append(MembershipAt(entry.index, entry.command))

    def truncate(self, from_index: int) -> None:
        """Remove all entries from an index on."""
        del self._entries[from_index - self._base_index - 1 :]
        self._memberships = [m for m in self._memberships if m.index < from_index]

    def compact(self, index: int, data: bytes, trailing_entries: int) -> Snapshot:
        """Take a snapshot up to an index that is held.

        :param trailing_entries: how many entries before it stay in memory.
        """
        members = self.membership_at(index)
        term = self.term_at(index)
        self.snapshot = Snapshot(index, term, members.voters, members.learners, data)
        later = [m for m in self._memberships if m.index > index]
        self._memberships = [MembershipAt(index, members), *later]
        self._drop_before(index - trailing_entries)
        return self.snapshot

    def _drop_before(self, index: int) -> None:
        if index <= self._base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term

    def install(self, snapshot: Snapshot) -> tuple[LogEntry, ...]:
        """Replace the log by a snapshot, and return the entries that stay."""
        is_known = self.term_at(snapshot.last_index) == snapshot.last_term
        kept = self.entries(snapshot.last_index + 1) if is_known else ()
        self._restart(snapshot)
        self.append(kept)
        return kept
