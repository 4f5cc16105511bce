"""A leader's view of how far each peer has come."""

from dataclasses import dataclass, field

from .messages import Snapshot


@dataclass(slots=True)
class Progress:
    """Holds how far a peer has come.

    :param contact_ms: when the latest round that it answered was sent.
    :param sent_index: last index of the request in flight; 0 for none.
    :param sent_ms: when the request or piece in flight was sent.
    :param transfer: the snapshot that is being sent, if any.
    :param transferred_bytes: how much of it the peer has.
    """

    next_index: int
    contact_ms: float
    match_index: int = 0
    round_number: int = 0
    sent_index: int = 0
    sent_ms: float = 0
    transfer: Snapshot | None = None
    transferred_bytes: int = 0

    def note_round(self, round_number: int, sent_ms: float | None) -> None:
        """Take in that the peer answered a round, and when that was sent."""
        if round_number <= self.round_number:
            return
        self.round_number = round_number
        if sent_ms is not None:
            self.contact_ms = sent_ms

    def note_match(self, match_index: int) -> None:
        """Take in that the peer holds the log up to an index, synced."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.match_index >= self.sent_index:
            self.sent_index = 0
        if self.transfer and self.match_index >= self.transfer.last_index:
            self.transfer = None

    def step_back(self, hint: int) -> None:
        """Take in that the peer's log differs, and may match up to the hint.

        A hint below what the peer has acknowledged is an answer that came late.
        """
        if self.match_index <= hint < self.next_index - 1:
            self.next_index = hint + 1
            self.sent_index = 0

    def send_again(self) -> None:
        """Give up what is in flight."""
        if self.sent_index:
            self.sent_index = 0
            self.next_index = self.match_index + 1


@dataclass(slots=True)
class Rounds:
    """Numbers the heartbeat rounds and keeps when each was sent."""

    current: int = 0
    sent_ms: dict[int, float] = field(default_factory=dict)

    def start(self, now_ms: float, horizon_ms: float) -> None:
        """Open a new round, and forget those older than the horizon."""
        self.current += 1
        self.sent_ms[self.current] = now_ms
        for number in list(self.sent_ms):
            if self.sent_ms[number] >= now_ms - horizon_ms:
                break
            del self.sent_ms[number]
