"""The replicated configuration: INI text, validated, as the core's ``Fleet``.

It holds the inventory of upstreams and services, the client accounts and the
policy. Operators propose it whole; it is checked here before it is proposed.
"""

import dataclasses
from typing import Annotated, Literal

from pydantic import Field

from .addresses import Address, Name
from .core.fleet import (
    AccountSpec,
    Fleet,
    Policy,
    ServiceSpec,
    UpstreamKind,
    UpstreamSpec,
)
from .exceptions import SettingsInvalid
from .ini import Fault, Ini, Section, Words

LOWEST_TIER = 5
DEFAULTS = Policy()
KNOWN_SECTIONS = {"upstream", "client_account", "service", "policy"}
TierNumber = Annotated[int, Field(ge=1, le=LOWEST_TIER)]


class UpstreamSection(Section):
    """Describes one upstream; see :class:`peridotfront.core.fleet.UpstreamSpec`.

    :param kind: a model engine or one host of a plain service.
    :param data_centre: where it runs.
    """

    name: Name
    kind: Literal["engine", "service"]
    data_centre: Name
    address: Address
    service: str = ""
    models: Words = ()
    is_leaving: bool = False
    prefill_tokens_per_s: int = Field(default=4000, ge=1)
    decode_tokens_per_s: int = Field(default=40, ge=1)
    kv_capacity_tokens: int = Field(default=60_000, ge=1)
    max_slots: int = Field(default=16, ge=1)
    honours_fencing: bool = False
    role: str = ""


class AccountSection(Section):
    """Describes a client account; see :class:`peridotfront.core.fleet.AccountSpec`.

    :param requests_per_s: bound on its requests, shared among live entry hosts.
    :param burst_requests: how many may arrive at once above that rate, shared alike.
    :param max_concurrent: bound on its requests in progress, shared alike.
    """

    name: Name
    key_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    highest_tier: TierNumber = 3
    weight: int = Field(default=1, ge=1)
    requests_per_s: int = Field(default=100, ge=1)
    burst_requests: int = Field(default=200, ge=1)
    max_concurrent: int = Field(default=200, ge=1)


class ServiceSection(Section):
    """Describes a plain service; see :class:`peridotfront.core.fleet.ServiceSpec`.

    :param tier: of all its calls.
    """

    name: Name
    non_idempotent_methods: Words = ("POST",)
    timeout_ms: int = Field(default=10_000, ge=1)
    tier: TierNumber = 1


class PolicySection(Section):
    """Holds the knobs of the policy; see :class:`peridotfront.core.fleet.Policy`.

    :param first_token_ms: the latest first token that counts as in time.
    :param poison_strikes: upstreams that may die on a request before it is refused
        for good.
    :param answer_buffer_bytes: of one answer that its caller has not read yet.
    :param replay_body_bytes: answers up to this size are recorded for repeats.
    :param claim_retention_ms: how long a key is remembered after its request ended.
    """

    prefill_weight: float = Field(default=DEFAULTS.prefill_weight, ge=0)
    max_queue_ms: int = Field(default=DEFAULTS.max_queue_ms, ge=1)
    first_token_ms: int = Field(default=DEFAULTS.first_token_ms, ge=1)
    slot_lease_ms: int = Field(default=DEFAULTS.slot_lease_ms, ge=100)
    suspect_after_ms: int = Field(default=DEFAULTS.suspect_after_ms, ge=50)
    poison_strikes: int = Field(default=DEFAULTS.poison_strikes, ge=1)
    answer_buffer_bytes: int = Field(default=DEFAULTS.answer_buffer_bytes, ge=1024)
    replay_body_bytes: int = Field(default=DEFAULTS.replay_body_bytes, ge=0)
    claim_retention_ms: int = Field(default=DEFAULTS.claim_retention_ms, ge=1000)
    token_gap_ms: float = Field(default=DEFAULTS.token_gap_ms, gt=0)
    settle_ms: int = Field(default=DEFAULTS.settle_ms, ge=0)
    prefix_block_tokens: int = Field(default=DEFAULTS.prefix_block_tokens, ge=1)
    engine_queue_ms: int = Field(default=DEFAULTS.engine_queue_ms, ge=0)
    headroom_ms: int = Field(default=DEFAULTS.headroom_ms, ge=0)
    overfill_ratio: float = Field(default=DEFAULTS.overfill_ratio, ge=1)
    urgent_ms: int = Field(default=DEFAULTS.urgent_ms, ge=0)
    preempts: bool = DEFAULTS.preempts
    affinity_ms: int = Field(default=DEFAULTS.affinity_ms, ge=0)
    learns_rates: bool = DEFAULTS.learns_rates
    learns_slots: bool = DEFAULTS.learns_slots
    evicts: bool = DEFAULTS.evicts
    max_backoff_ms: int = Field(default=DEFAULTS.max_backoff_ms, ge=100)
    died_backoff_ms: int = Field(default=DEFAULTS.died_backoff_ms, ge=0)
    slow_token_ms: float = Field(default=DEFAULTS.slow_token_ms, gt=0)
    preempt_lead_ms: int = Field(default=DEFAULTS.preempt_lead_ms, ge=0)
    weight_loads_per_min: int = Field(default=DEFAULTS.weight_loads_per_min, ge=1)
    weight_load_burst: int = Field(default=DEFAULTS.weight_load_burst, ge=1)


def parse_fleet(text: str, version: int = 0, source: str = "configuration") -> Fleet:
    """Check configuration text and return what it describes.

    :param text: the whole configuration as INI.
    :param version: the version under which it is in force.
    :return: the fleet as the core reads it.
    :rtype: Fleet
    :raises SettingsInvalid: with every fault.

    Usage::

        fleet = parse_rules(Path("rules.ini").read_text(), version=7)
    """
    ini = Ini.parse(text, source)
    faults = list(ini.unknown_sections(KNOWN_SECTIONS))
    upstreams = _named(ini, "upstream", UpstreamSection, UpstreamSpec, faults)
    accounts = _named(ini, "client_account", AccountSection, AccountSpec, faults)
    services = _named(ini, "service", ServiceSection, ServiceSpec, faults)
    policy = ini.read(PolicySection, "policy", faults)
    faults.extend(_unknown_services(upstreams, services))
    if faults:
        raise SettingsInvalid(source, tuple(faults))
    return Fleet(
        version=version,
        upstreams=upstreams,
        accounts=accounts,
        services=services,
        policy=Policy(**policy.model_dump()),
    )


def _named(ini: Ini, kind: str, model: type, spec: type, faults: list[Fault]) -> tuple:
    names = {f.name for f in dataclasses.fields(spec)}
    specs = []
    for section, name in ini.sections(kind):
        checked = ini.read(model, section, faults, name=name)
        if checked is None:
            continue
        values = {k: v for k, v in checked.model_dump().items() if k in names}
        if "kind" in values:
            values["kind"] = UpstreamKind(values["kind"])
        specs.append(spec(**values))
    return tuple(specs)


def _unknown_services(upstreams: tuple, services: tuple) -> list[Fault]:
    known = {service.name for service in services}
    faults = []
    for upstream in upstreams:
        is_service = upstream.kind is UpstreamKind.SERVICE
        if is_service and upstream.service not in known:
            section = f"upstream {upstream.name}"
            reason = "names no [service ...] section"
            faults.append(Fault(section, "service", upstream.service, reason))
    return faults
