"""Leader's view of the replication progress of its peers."""

from dataclasses import dataclass, field

from .messages import Snapshot


@dataclass(slots=True)
class Progress:
    """Replication progress of one peer.

    :param next_index: index of the next entry to send.
    :param contact_ms: time at which the latest round that the peer answered was sent;
        until it has answered one, time at which the leader began to send to it.
    :param match_index: index up to which the peer's log is known to match.
    :param round_number: latest heartbeat round that the peer answered.
    :param sent_index: last index of the request in flight; 0 if there is none.
    :param sent_ms: time at which the request or chunk in flight was sent.
    :param transfer: snapshot that is being sent; None if there is none.
    :param transferred_bytes: bytes of that snapshot acknowledged by the peer.
    :param caught_up_ms: time at which the peer first held all committed entries; None
        until then.
    """

    next_index: int
    contact_ms: float
    match_index: int = 0
    round_number: int = 0
    sent_index: int = 0
    sent_ms: float = 0
    transfer: Snapshot | None = None
    transferred_bytes: int = 0
    caught_up_ms: float | None = None

    def record_round(self, round_number: int, sent_ms: float | None) -> None:
        """Record that the peer answered a round.

        :param sent_ms: time at which the round was sent; None if no longer known.
        """
        if round_number <= self.round_number:
            return
        self.round_number = round_number
        if sent_ms is not None:
            self.contact_ms = sent_ms

    def record_match(self, match_index: int) -> None:
        """Record that the peer has synced the log up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.match_index >= self.sent_index:
            self.sent_index = 0
        if self.transfer and self.match_index >= self.transfer.last_index:
            self.transfer = None

    def record_caught_up(self, commit_index: int, now_ms: float) -> None:
        """Record when the peer first held all committed entries."""
        if self.caught_up_ms is None and self.match_index >= commit_index:
            self.caught_up_ms = now_ms

    def record_mismatch(self, hint: int) -> None:
        """Record that the peer's log differs and may match up to the hint.

        A hint below the acknowledged index comes from a delayed reply and is ignored.
        """
        if self.match_index <= hint < self.next_index - 1:
            self.next_index = hint + 1
            self.sent_index = 0

    def reset_in_flight(self) -> None:
        """Discard the request in flight, so that its entries are sent again."""
        if self.sent_index:
            self.sent_index = 0
            self.next_index = self.match_index + 1


@dataclass(slots=True)
class Rounds:
    """Heartbeat rounds: the current number and the send time of each."""

    current: int = 0
    sent_ms: dict[int, float] = field(default_factory=dict)

    def start(self, now_ms: float, max_age_ms: float) -> None:
        """Start a new round, and discard the send times older than ``max_age_ms``."""
        self.current += 1
        self.sent_ms[self.current] = now_ms
        for number in list(self.sent_ms):
            if self.sent_ms[number] >= now_ms - max_age_ms:
                break
            del self.sent_ms[number]
