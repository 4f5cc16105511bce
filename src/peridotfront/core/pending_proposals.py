"""Proposals at the leader that wait for their results."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PendingProposal:
    """Proposal that waits for its result.

    :param change_id: id of the proposed change or order.
    :param operation_id: identifier of the operator's operation; None for a proposal
        that a host sent.
    :param host: host that sent the proposal; empty for an operator's.
    :param is_config: whether it proposes a configuration.
    """

    change_id: str
    operation_id: int | None
    host: str
    deadline_ms: int
    is_config: bool = True


class PendingProposals:
    """Pending proposals, oldest first; several may have one id."""

    def __init__(self) -> None:
        self._proposals: list[PendingProposal] = []

    def __len__(self) -> int:
        return len(self._proposals)

    def add(self, proposal: PendingProposal) -> None:
        """Add a proposal."""
        self._proposals.append(proposal)

    def take(self, change_id: str | None) -> list[PendingProposal]:
        """Remove and return the proposals with an id; all if it is None."""
        return self._remove(
            [p for p in self._proposals if change_id in (None, p.change_id)]
        )

    def take_expired(self, now_ms: int) -> list[PendingProposal]:
        """Remove and return the proposals whose time limit has passed."""
        return self._remove([p for p in self._proposals if p.deadline_ms <= now_ms])

    def _remove(self, taken: list[PendingProposal]) -> list[PendingProposal]:
        self._proposals = [p for p in self._proposals if p not in taken]
        return taken
