"""Messages between entry hosts and the scheduler of a cell.

A cell is a group of upstreams that one scheduler manages: the model engines or one
plain service of a data centre, or all upstreams of a routed service.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar

from ..verdicts import Reason


class ReleaseCause(StrEnum):
    """Reason why a slot was released.

    The request was not executed if the cause is one of these: ``NOT_SENT``;
    ``UNREACHABLE``, no connection to the upstream was opened; ``RELAY_UNREACHABLE``,
    none to the entry host that should relay it; ``OTHER_UPSTREAM``, a different
    upstream answered at the address; ``REJECTED``, the upstream refused it.
    """

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
    RELAY_UNREACHABLE = "relay_unreachable"
    RELAY_LOST = "relay_lost"


class LinkState(StrEnum):
    """What a host found out about its link to an upstream.

    ``SILENT`` is a link on which no answer comes in time, although a connection opens.
    """

    OPEN = "open"
    LOST = "lost"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request to the scheduler of a cell for a slot at one of its upstreams.

    :param tier: priority tier; 1 is the highest.
    :param prefix_hashes: chained hashes of the prompt's blocks, first to last.
    :param fingerprint: hash of the canonical body, to detect poison requests.
    :param deadline_ms: remaining time within which the answer must begin.
    :param goal_ms: remaining time within which the answer should begin; 0 if there is
        no such goal or it has passed.
    :param prefix_tokens: number of prompt tokens of each hash; empty if all blocks
        have the policy's block size.
    :param excluded: upstreams that must not be chosen.
    :param is_repeat: whether the request was delivered to an upstream before.
    :param allowance_units: units that the request uses of its account's allowance.
    :param stream_id: id of the caller's attempt that began the stream; empty if the
        request is no stream that may be resumed, or if the caller did not name it.
    :param is_resumed: whether the caller has events of the stream already.
    :param software_version: version that the upstream's software must have; empty for
        any, or for the version at which a resumed stream began if the sender does not
        know it.
    :param shared_parts: hashes of the parts of the prompt that other requests may
        have too, each by itself.
    :param route: name of the request's route; empty in requests of older builds.
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
    stream_id: str = ""
    is_resumed: bool = False
    software_version: str = ""
    shared_parts: tuple[int, ...] = ()
    route: str = ""


@dataclass(frozen=True, slots=True)
class Grant:
    """Grant of a slot at an upstream; it expires unless renewed or released.

    :param lease_ms: time after which the slot expires without a renewal.
    :param predicted_prefix_tokens: prompt tokens expected in the upstream's cache.
    :param address: address of the upstream, as IP address and port.
    :param software_version: version of the upstream's software; empty if unknown.
    :param relay: entry host through which the request has to be sent; empty if its
        host connects to the upstream by itself.
    """

    request_id: str
    cell: str
    upstream: str
    lease_ms: int
    predicted_prefix_tokens: int
    address: str = ""
    software_version: str = ""
    relay: str = ""


@dataclass(frozen=True, slots=True)
class SlotRefusal:
    """Refusal of a new or queued slot request; the request was not executed."""

    proto_name: ClassVar[str] = "Refuse"

    request_id: str
    cell: str
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class CancelSlotRequest:
    """Cancellation of a slot request that is no longer needed."""

    proto_name: ClassVar[str] = "CancelWant"

    request_id: str
    cell: str


@dataclass(frozen=True, slots=True)
class Preempt:
    """Request to the holder of a slot to end its request in favour of a higher tier."""

    request_id: str
    cell: str


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """Report of a slot in use to its (possibly new) scheduler; it renews the lease.

    Sent with the first token, and again within each third of the lease.

    :param produced_tokens: tokens produced so far.
    :param slow_tokens: tokens so far whose gap to the previous one exceeded the
        policy's ``slow_token_ms``; -1 if that was not measured.
    :param software_version: version of the upstream's software; empty if unknown.
    :param relay: entry host through which the request was sent; empty for none.
    :param token_age_ms: time since the last of the tokens arrived; None if unknown, as
        in reports of older builds.
    """

    slot_request: SlotRequest = field(metadata={"proto_name": "want"})
    upstream: str
    produced_tokens: int
    slow_tokens: int = -1
    software_version: str = ""
    relay: str = ""
    token_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Release:
    """Release of a slot, with the measurements of its request.

    :param first_token_ms: time from the dispatch to the first token; -1 if there was
        none.
    :param duration_ms: time from the dispatch to the end.
    :param cached_tokens: prompt tokens that the upstream had in its cache.
    :param slow_tokens: as in :class:`HeldSlot`.
    :param is_end_certain: whether the end of the answer was marked, by its length or
        in its body; else it is only the end of its connection.
    :param rejections_per_s: rejections in a second at which the upstream says that it
        falls over if there are more; negative if it says none. None, which is only
        read and never sent, if the sender's build doesn't know the field.
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
    is_end_certain: bool = True
    rejections_per_s: float | None = -1.0


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Reported state of an upstream; it may be seconds old.

    :param running: number of requests in execution.
    :param queued_prefill_tokens: prompt tokens that wait for prefill.
    :param cache_sequence: number of the last cache event included; a gap in the
        numbering lowers the trust in the cache model.
    :param cached_hashes: hashes of blocks that were added to the cache.
    :param evicted_hashes: hashes of blocks that were evicted from the cache.
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
    """Upstream in the platform's list.

    :param name: name of the upstream; one that starts again may keep it.
    :param service: service that it provides.
    :param address: IP address and port.
    :param slots: number of requests that it executes concurrently.
    :param is_leaving: whether it accepts no new requests.
    :param software_version: version of its software, not of its models; empty if
        unknown.
    :param lifetime: number that grows when it starts again under its name; 0 as long
        as no start was noticed.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    software_version: str = ""
    lifetime: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamsUpdate:
    """Full or incremental update of the list of upstreams, sent by a leader.

    :param version: version of the list after the update.
    :param base_version: version of the list that the update applies to; 0 if the
        update holds the whole list.
    :param changed: upstreams that are new or changed.
    :param gone: names of upstreams that are no longer listed.
    """

    version: int
    base_version: int
    changed: tuple[ListedUpstream, ...]
    gone: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Spending:
    """Earlier usage of an account's allowance at a host, for a new leader.

    :param units: used units of the allowance.
    :param age_ms: time since the usage.
    """

    client_account: str
    units: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class BegunStream:
    """Stream of which a caller has events, with the software version that began it.

    :param stream_id: id of the caller's attempt that began the stream.
    :param age_ms: time since one of its events was last passed on.
    """

    stream_id: str
    service: str
    software_version: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class StreamsBegun:
    """Streams that may be resumed, for a new leader or for the other replicas."""

    streams: tuple[BegunStream, ...]


@dataclass(frozen=True, slots=True)
class SentRepeats:
    """Number of earlier retries of a host at a service, for a new leader.

    :param count: number of retries.
    :param age_ms: time since the retries.
    """

    service: str
    count: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Limit that an upstream named, reported to the leader by the host that read it.

    :param requests_per_s: requests a second that it takes from all hosts together;
        negative if it names no limit any more.
    """

    upstream: str
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class NamedLimits:
    """All limits that upstreams have named, from the leader to all other hosts."""

    limits: tuple[NamedLimit, ...]


@dataclass(frozen=True, slots=True)
class LinkReport:
    """Report of an entry host to the leader on its link to an upstream."""

    upstream: str
    state: LinkState


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
    StreamsBegun,
    NamedLimit,
    NamedLimits,
    LinkReport,
)
