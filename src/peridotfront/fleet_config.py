"""Parsing and validation of the replicated configuration into the core's ``Fleet``.

The configuration is INI text with the inventory of upstreams and services, the
client accounts and the policy. Operators always propose the complete text,
which is validated here first.
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
DEFAULT_POLICY = Policy()
KNOWN_SECTIONS = {"upstream", "client_account", "service", "policy"}
TierNumber = Annotated[int, Field(ge=1, le=LOWEST_TIER)]


class UpstreamSection(Section):
    """Upstream; see :class:`peridotfront.core.fleet.UpstreamSpec`.

    :param kind: a model engine or one host of a plain service.
    :param data_centre: the data centre in which it runs.
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
    """Client account; see :class:`peridotfront.core.fleet.AccountSpec`.

    :param requests_per_s: rate limit of its requests, divided among the live entry
        hosts.
    :param burst_requests: requests that may arrive at once above that rate, divided
        likewise.
    :param max_concurrent: limit on its requests in progress, divided likewise.
    """

    name: Name
    key_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    highest_tier: TierNumber = 3
    weight: int = Field(default=1, ge=1)
    requests_per_s: int = Field(default=100, ge=1)
    burst_requests: int = Field(default=200, ge=1)
    max_concurrent: int = Field(default=200, ge=1)


class ServiceSection(Section):
    """Plain service; see :class:`peridotfront.core.fleet.ServiceSpec`.

    :param tier: tier of all its requests.
    """

    name: Name
    non_idempotent_methods: Words = ("POST",)
    timeout_ms: int = Field(default=10_000, ge=1)
    tier: TierNumber = 1


class PolicySection(Section):
    """Parameters of the policy; see :class:`peridotfront.core.fleet.Policy`.

    :param first_token_ms: time limit within which a first token counts as in time.
    :param poison_strikes: upstreams that may die on a request before it is refused
        permanently.
    :param answer_buffer_bytes: limit on the part of one answer that its caller has
        not read yet.
    :param replay_body_bytes: answers up to this size are recorded for repeated
        requests.
    :param claim_retention_ms: time for which a key is kept after its request ended.
    """

    prefill_weight: float = Field(default=DEFAULT_POLICY.prefill_weight, ge=0)
    max_queue_ms: int = Field(default=DEFAULT_POLICY.max_queue_ms, ge=1)
    first_token_ms: int = Field(default=DEFAULT_POLICY.first_token_ms, ge=1)
    slot_lease_ms: int = Field(default=DEFAULT_POLICY.slot_lease_ms, ge=100)
    suspect_after_ms: int = Field(default=DEFAULT_POLICY.suspect_after_ms, ge=50)
    poison_strikes: int = Field(default=DEFAULT_POLICY.poison_strikes, ge=1)
    answer_buffer_bytes: int = Field(
        default=DEFAULT_POLICY.answer_buffer_bytes, ge=1024
    )
    replay_body_bytes: int = Field(default=DEFAULT_POLICY.replay_body_bytes, ge=0)
    claim_retention_ms: int = Field(default=DEFAULT_POLICY.claim_retention_ms, ge=1000)
    token_gap_ms: float = Field(default=DEFAULT_POLICY.token_gap_ms, gt=0)
    settle_ms: int = Field(default=DEFAULT_POLICY.settle_ms, ge=0)
    prefix_block_tokens: int = Field(default=DEFAULT_POLICY.prefix_block_tokens, ge=1)
    engine_queue_ms: int = Field(default=DEFAULT_POLICY.engine_queue_ms, ge=0)
    headroom_ms: int = Field(default=DEFAULT_POLICY.headroom_ms, ge=0)
    overfill_ratio: float = Field(default=DEFAULT_POLICY.overfill_ratio, ge=1)
    urgent_ms: int = Field(default=DEFAULT_POLICY.urgent_ms, ge=0)
    preempts: bool = DEFAULT_POLICY.preempts
    affinity_ms: int = Field(default=DEFAULT_POLICY.affinity_ms, ge=0)
    sheds_by_goal: bool = DEFAULT_POLICY.sheds_by_goal
    learns_rates: bool = DEFAULT_POLICY.learns_rates
    learns_slots: bool = DEFAULT_POLICY.learns_slots
    evicts: bool = DEFAULT_POLICY.evicts
    max_backoff_ms: int = Field(default=DEFAULT_POLICY.max_backoff_ms, ge=100)
    died_backoff_ms: int = Field(default=DEFAULT_POLICY.died_backoff_ms, ge=0)
    slow_token_ms: float = Field(default=DEFAULT_POLICY.slow_token_ms, gt=0)
    preempt_lead_ms: int = Field(default=DEFAULT_POLICY.preempt_lead_ms, ge=0)
    weight_loads_per_min: int = Field(default=DEFAULT_POLICY.weight_loads_per_min, ge=1)
    weight_load_burst: int = Field(default=DEFAULT_POLICY.weight_load_burst, ge=1)


def parse_fleet(text: str, version: int = 0, source: str = "configuration") -> Fleet:
    """Parse and validate the text of a configuration.

    :param text: the complete configuration as INI text.
    :param version: version number of the configuration.
    :param source: name of the text for messages, such as the file's path.
    :return: the fleet as the core's type.
    :rtype: Fleet
    :raises SettingsInvalid: with all invalid values.

    Usage::

        fleet = parse_fleet(Path("rules.ini").read_text(), version=7)
    """
    ini = Ini.parse(text, source)
    faults = list(ini.unknown_sections(KNOWN_SECTIONS))
    upstreams = _read_named(ini, "upstream", UpstreamSection, UpstreamSpec, faults)
    accounts = _read_named(ini, "client_account", AccountSection, AccountSpec, faults)
    services = _read_named(ini, "service", ServiceSection, ServiceSpec, faults)
    policy = ini.read(PolicySection, "policy", faults)
    faults.extend(_find_unknown_services(upstreams, services))
    if faults:
        raise SettingsInvalid(source, tuple(faults))
    return Fleet(
        version=version,
        upstreams=upstreams,
        accounts=accounts,
        services=services,
        policy=Policy(**policy.model_dump()),
    )


def _read_named(
    ini: Ini, kind: str, model: type, spec_type: type, faults: list[Fault]
) -> tuple:
    field_names = {f.name for f in dataclasses.fields(spec_type)}
    specs = []
    for section, name in ini.sections(kind):
        parsed = ini.read(model, section, faults, name=name)
        if parsed is None:
            continue
        values = {k: v for k, v in parsed.model_dump().items() if k in field_names}
        if "kind" in values:
            values["kind"] = UpstreamKind(values["kind"])
        specs.append(spec_type(**values))
    return tuple(specs)


def _find_unknown_services(upstreams: tuple, services: tuple) -> list[Fault]:
    service_names = {service.name for service in services}
    faults = []
    for upstream in upstreams:
        is_service = upstream.kind is UpstreamKind.SERVICE
        if is_service and upstream.service not in service_names:
            section = f"upstream {upstream.name}"
            reason = "names no [service ...] section"
            faults.append(Fault(section, "service", upstream.service, reason))
    return faults
