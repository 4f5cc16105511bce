"""Data classes of the fleet's configuration, as the core reads it."""

from dataclasses import dataclass, field
from enum import StrEnum


class UpstreamKind(StrEnum):
    """Kind of an upstream: model engine or plain service."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Description of an upstream from the inventory.

    :param address: IP address and port.
    :param service: name of the plain service; empty for a model engine.
    :param models: models that a model engine has loaded.
    :param is_leaving: whether the operators or the inventory remove it.
    :param prefill_tokens_per_s: initial estimate; the actual rate is learned.
    :param decode_tokens_per_s: initial estimate of the rate of one stream.
    :param kv_capacity_tokens: memory for running requests and cached prefixes.
    :param max_slots: maximum number of concurrent requests.
    :param honours_fencing: whether it refuses orders with an old fencing token.
    :param role: role that a model engine should have; empty leaves its role.
    :param pool: name of its cell; empty for the cell of its data centre.
    :param software_version: version of its software; empty if unknown.
    :param lifetime: number that grows when it starts again under its name.
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
    software_version: str = ""
    lifetime: int = 0

    @property
    def cell(self) -> str:
        """Return the name of the cell to which this upstream belongs."""
        return self.pool or cell_name(self.data_centre, self.kind, self.service)


def cell_name(data_centre: str, kind: UpstreamKind, service: str = "") -> str:
    """Return the name of the cell for a kind of upstream in a data centre."""
    if kind is UpstreamKind.ENGINE:
        return f"{data_centre}/engines"
    return f"{data_centre}/{service}"


@dataclass(frozen=True, slots=True)
class AccountSpec:
    """Description of a client account.

    :param key_sha256: hex digest of its bearer key.
    :param highest_tier: highest tier that it may request; 1 is the highest of all.
    :param weight: relative share among the accounts of one tier.
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
    """Description of a plain service.

    :param non_idempotent_methods: HTTP methods whose calls run at most once.
    :param timeout_ms: time limit for one call.
    """

    name: str
    non_idempotent_methods: tuple[str, ...] = ("POST",)
    timeout_ms: int = 10_000
    tier: int = 1


@dataclass(frozen=True, slots=True)
class Policy:
    """Parameters of the placement policy.

    :param prefill_weight: cost of a second of repeated prefill relative to a second
        of waiting; above 1 favours cache hits over latency.
    :param max_queue_ms: longest wait in a queue; a slot request that is expected to
        wait longer is refused.
    :param slot_lease_ms: a slot lapses if its holder is silent for longer.
    :param suspect_after_ms: an upstream without progress for longer gets no new
        requests.
    :param token_gap_ms: longest time between two tokens that callers accept.
    :param settle_ms: time for which a new scheduler grants nothing and collects
        the held slots.
    :param prefix_block_tokens: prompt tokens of one prefix hash.
    :param engine_queue_ms: longest prefill backlog of an engine that gets a new
        request.
    :param headroom_ms: longest prefill backlog of an engine including the new
        request, for all but the highest tier; an idle engine may exceed it if no
        other engine serves the model or another one has headroom left.
    :param overfill_ratio: ratio by which an urgent request may exceed the learned
        slot limit.
    :param urgent_ms: a slot request with less time left is urgent.
    :param preempts: whether running requests may be preempted for urgent higher
        ones.
    :param evicts: whether lower slot requests are evicted from the queue when a
        higher one is not expected to begin in time; else the higher one waits
        before them.
    :param sheds_by_goal: whether slot requests are refused as soon as they can't meet
        their goals and would wait long; else only once they would miss deadlines.
    :param learns_rates: whether estimated rates, and slot limits with them, follow an
        engine's progress.
    :param learns_slots: whether slot limits follow an engine's progress; else all of
        ``max_slots`` are used.
    :param max_backoff_ms: longest time until a failed upstream is probed.
    :param died_backoff_ms: time until a healthy upstream that lost a connection is
        probed.
    :param slow_token_ms: holders count tokens with a longer gap as slow; less than
        ``token_gap_ms``, so that slots shrink before callers notice.
    :param preempt_lead_ms: a lower request is preempted for a slot request only when
        that one has less time left than this beside its own prefill.
    :param affinity_ms: longest time that a slot request waits for the upstream that
        holds its prefix.
    :param weight_loads_per_min: models a minute that all engines together are
        ordered to load from the weight store.
    :param weight_load_burst: number of weight loads that may start at the same time.
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
    sheds_by_goal: bool = False
    learns_rates: bool = True
    learns_slots: bool = True
    max_backoff_ms: int = 30_000
    died_backoff_ms: int = 1000
    slow_token_ms: float = 26.5
    weight_loads_per_min: int = 12
    weight_load_burst: int = 2


@dataclass(frozen=True, slots=True)
class Fleet:
    """Complete active configuration, as the core reads it."""

    version: int = 0
    upstreams: tuple[UpstreamSpec, ...] = ()
    accounts: tuple[AccountSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    policy: Policy = field(default_factory=Policy)
