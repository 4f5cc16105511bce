"""Messages between entry hosts and the scheduler of a cell of upstreams."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar

from ..verdicts import Reason


class ReleaseCause(StrEnum):
    """Names why a slot was given back."""

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    CALLER_GONE = "caller_gone"
    UNREACHABLE = "unreachable"
    OTHER_UPSTREAM = "other_upstream"
    UPSTREAM_DIED = "upstream_died"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    OUT_OF_TIME = "out_of_time"
    REJECTED = "rejected"
    PREEMPTED = "preempted"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Asks the scheduler of a cell for a slot at one of its upstreams.

    :param tier: 1 is the highest.
    :param prefix_hashes: chained hashes of the prompt's blocks, first to last.
    :param fingerprint: hash of the canonical body, for poison requests.
    :param deadline_ms: time left until the answer must have begun.
    :param goal_ms: time left until the answer should have begun; 0 if there is no
        such time, or it has passed.
    :param prefix_tokens: prompt tokens behind each hash; empty if all stand for
        blocks of the policy's size.
    :param excluded: upstreams that must not be chosen.
    :param is_repeat: whether the request was sent to another upstream before.
    :param allowance_units: what the request takes of its account's allowance.
    """

    proto_name: ClassVar[str] = "Want"

    request_id: str
    cell: str
    model: str
    tier: int
    client_account: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    fingerprint: int
    deadline_ms: int
    goal_ms: int = 0
    prefix_tokens: tuple[int, ...] = ()
    excluded: tuple[str, ...] = ()
    is_repeat: bool = False
    allowance_units: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Gives a slot at an upstream; it lapses unless confirmed or released.

    :param lease_ms: how long the slot is held without a word of the holder.
    :param predicted_prefix_tokens: prompt tokens expected in the cache there.
    :param address: of the upstream, IP number and port.
    """

    request_id: str
    cell: str
    upstream: str
    lease_ms: int
    predicted_prefix_tokens: int
    address: str = ""


@dataclass(frozen=True, slots=True)
class SlotRefusal:
    """Refuses a want, or takes a queued one back; the request did not run."""

    proto_name: ClassVar[str] = "Refuse"

    request_id: str
    cell: str
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class CancelSlotRequest:
    """Withdraws a want that is no longer needed."""

    proto_name: ClassVar[str] = "CancelWant"

    request_id: str
    cell: str


@dataclass(frozen=True, slots=True)
class Preempt:
    """Asks the holder of a slot to end its request for a higher tier."""

    request_id: str
    cell: str


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """Tells a (new) scheduler of a slot that is in use; renews its lease.

    Sent with the first token, and again within each third of the lease.

    :param slow_tokens: tokens so far that came later after the one before than the
        policy's ``slow_token_ms``; -1 if that was not measured.
    """

    slot_request: SlotRequest = field(metadata={"proto_name": "want"})
    upstream: str
    produced_tokens: int
    slow_tokens: int = -1


@dataclass(frozen=True, slots=True)
class Release:
    """Gives a slot back with what was measured.

    :param first_token_ms: from dispatch to first token; -1 if there was none.
    :param duration_ms: from dispatch to the end.
    :param cached_tokens: prompt tokens that the upstream had in its cache.
    :param slow_tokens: as in ``HeldSlot``.
    """

    request_id: str
    cell: str
    upstream: str
    cause: ReleaseCause
    prompt_tokens: int
    cached_tokens: int
    produced_tokens: int
    first_token_ms: int
    duration_ms: int
    slow_tokens: int = -1


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Passes on what an upstream said of itself; it may be seconds old.

    :param cache_sequence: number of the last cache event included; a gap in the
        numbering lowers the trust in the cache model.
    """

    upstream: str
    cell: str
    is_alive: bool
    is_leaving: bool
    running: int
    queued_prefill_tokens: int
    used_kv_tokens: int
    capacity_kv_tokens: int
    cache_sequence: int
    cached_hashes: tuple[int, ...] = ()
    evicted_hashes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """Is an upstream as the platform's list names it.

    :param name: of this start of the upstream; a restart gets another one.
    :param service: that it serves.
    :param address: IP number and port.
    :param slots: requests that it works on at once.
    :param is_leaving: whether it takes no new work.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class UpstreamsUpdate:
    """Brings the upstreams that a leader knows, or what changed among them.

    :param version: of the list after the update.
    :param base_version: of the list that the update applies to; 0 if the update
        holds the whole list.
    :param changed: upstreams that are new or differ.
    :param gone: names of upstreams that are no longer listed.
    """

    version: int
    base_version: int
    changed: tuple[ListedUpstream, ...]
    gone: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Spending:
    """Tells a new leader what an account spent at a host before.

    :param age_ms: how long ago.
    """

    client_account: str
    units: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class SentRepeats:
    """Tells a new leader how many repeats a host sent to a service before.

    :param age_ms: how long ago.
    """

    service: str
    count: int
    age_ms: int


CELL_MESSAGES = (
    SlotRequest,
    Grant,
    SlotRefusal,
    CancelSlotRequest,
    Preempt,
    HeldSlot,
    Release,
    UpstreamReport,
    UpstreamsUpdate,
    Spending,
    SentRepeats,
)
