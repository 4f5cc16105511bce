"""What the core knows of the fleet from the configuration in force."""

from dataclasses import dataclass, field
from enum import StrEnum


class UpstreamKind(StrEnum):
    """Tells model engines from plain services."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Describes an upstream as the inventory does.

    :param address: IP number and port.
    :param service: name of the plain service; empty for a model engine.
    :param models: the models that a model engine has loaded.
    :param is_leaving: whether the operators or the inventory take it out.
    :param prefill_tokens_per_s: first estimate; the true rate is learned.
    :param decode_tokens_per_s: of one stream; first estimate.
    :param kv_capacity_tokens: memory for running requests and cached prefixes.
    :param max_slots: how many requests may run at once.
    :param honours_fencing: whether it refuses orders with an old fencing token.
    :param role: that a model engine is to have; empty leaves it as it is.
    :param pool: the cell that schedules it; empty for the one of its data centre.
    """

    name: str
    kind: UpstreamKind
    data_centre: str
    address: str
    service: str = ""
    models: tuple[str, ...] = ()
    is_leaving: bool = False
    prefill_tokens_per_s: int = 4000
    decode_tokens_per_s: int = 40
    kv_capacity_tokens: int = 60_000
    max_slots: int = 16
    honours_fencing: bool = False
    role: str = ""
    pool: str = ""

    @property
    def cell(self) -> str:
        """Return the name of the cell that schedules this upstream."""
        return self.pool or cell_name(self.data_centre, self.kind, self.service)


def cell_name(data_centre: str, kind: UpstreamKind, service: str = "") -> str:
    """Return the name of the cell for a kind of upstream in a data centre."""
    if kind is UpstreamKind.ENGINE:
        return f"{data_centre}/engines"
    return f"{data_centre}/{service}"


@dataclass(frozen=True, slots=True)
class AccountSpec:
    """Describes a client account.

    :param key_sha256: hex digest of its bearer key.
    :param highest_tier: the highest tier it may ask for; 1 is the highest of all.
    :param weight: share among the accounts of one tier.
    """

    name: str
    key_sha256: str
    highest_tier: int = 3
    weight: int = 1
    requests_per_s: int = 100
    burst_requests: int = 200
    max_concurrent: int = 200


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Describes a plain service.

    :param non_idempotent_methods: HTTP methods whose calls run at most once.
    :param timeout_ms: for one call.
    """

    name: str
    non_idempotent_methods: tuple[str, ...] = ("POST",)
    timeout_ms: int = 10_000
    tier: int = 1


@dataclass(frozen=True, slots=True)
class Policy:
    """Holds the knobs of the placement policy.

    :param prefill_weight: what a second of repeated prefill counts against a
        second of waiting; above 1 favours cache hits over latency.
    :param max_queue_ms: a want that would wait longer is refused at once.
    :param slot_lease_ms: a slot whose holder is silent for longer lapses.
    :param suspect_after_ms: an upstream that shows no progress for longer gets no
        new work.
    :param token_gap_ms: the longest time between two tokens that callers accept.
    :param settle_ms: a new scheduler only listens for this long.
    :param prefix_block_tokens: prompt tokens behind one prefix hash.
    :param engine_queue_ms: prefill that may stand before a new request at an engine.
    :param headroom_ms: the same bound for all but the highest tier.
    :param overfill_ratio: how far an urgent request may exceed the learned slots.
    :param urgent_ms: a want with less patience left is urgent.
    :param preempts: whether running requests may be cut for urgent higher ones.
    :param evicts: whether lower wants are taken out of the queue when a higher one
        is not expected to begin in time; else the higher one waits before them.
    :param learns_rates: whether rates and slots follow what an engine does.
    :param learns_slots: whether the slots do; else all of ``max_slots`` are used.
    :param max_backoff_ms: until an upstream that failed is tried again, at most.
    :param died_backoff_ms: until one to which a connection broke is tried again.
    :param slow_token_ms: holders count tokens that come later as slow; less than
        ``token_gap_ms``, so that slots shrink before callers notice.
    :param preempt_lead_ms: a lower request is cut for a want only when the want has
        less patience left than this beside its own prefill.
    :param affinity_ms: how long a want may wait for the upstream that holds its
        prefix.
    :param weight_loads_per_min: models that engines are ordered to load from the
        weight store, all together.
    :param weight_load_burst: how many of these loads may come at once.
    """

    prefill_weight: float = 1.0
    max_queue_ms: int = 30_000
    first_token_ms: int = 1500
    slot_lease_ms: int = 3000
    suspect_after_ms: int = 2000
    poison_strikes: int = 2
    answer_buffer_bytes: int = 1_048_576
    replay_body_bytes: int = 16_384
    claim_retention_ms: int = 86_400_000
    token_gap_ms: float = 27.0
    settle_ms: int = 300
    prefix_block_tokens: int = 64
    engine_queue_ms: int = 200
    headroom_ms: int = 400
    overfill_ratio: float = 1.0
    urgent_ms: int = 500
    preempts: bool = True
    evicts: bool = True
    preempt_lead_ms: int = 100
    affinity_ms: int = 1000
    learns_rates: bool = True
    learns_slots: bool = True
    max_backoff_ms: int = 30_000
    died_backoff_ms: int = 1000
    slow_token_ms: float = 26.5
    weight_loads_per_min: int = 12
    weight_load_burst: int = 2


@dataclass(frozen=True, slots=True)
class Fleet:
    """Is the whole configuration in force, as the core reads it."""

    version: int = 0
    upstreams: tuple[UpstreamSpec, ...] = ()
    accounts: tuple[AccountSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    policy: Policy = field(default_factory=Policy)
