"""Settings of the operators' command line: the hosts and the operator's identity."""

from dataclasses import dataclass
from typing import Literal

from pydantic import Field

from .addresses import Address, Name
from .admin_messages import Author
from .exceptions import SettingsInvalid
from .ini import Fault, Ini, Section
from .inventory import UPSTREAM_KEYS, Column

CTL_SECTIONS = {"operator", "host", "tls", "timing", "register"}
CONTROL_ROLE = "control"


class OperatorSection(Section):
    """Identity of the operator.

    :param author: the name recorded with every change.
    :param token: bearer token for each host whose section has no token; at least 8
        characters.
    """

    author: Author
    token: str = Field(min_length=8)


class AdminHostSection(Section):
    """Host of the deployment.

    :param role: the program that runs there.
    :param data_centre: the host's data centre.
    :param admin_address: the address at which it listens for operators.
    :param token: bearer token for this host, if it differs from the operator's.
    """

    role: Literal["entry", "control"]
    data_centre: Name
    admin_address: Address
    token: str = ""


class CtlTlsSection(Section):
    """TLS of the connections to the admin addresses.

    :param is_off: must be set explicitly to run without TLS.
    :param ca_file: PEM file of the authority that signed the hosts' certificates.
    """

    is_off: bool = False
    ca_file: str = ""


class CtlTimingSection(Section):
    """Time limits of commands.

    :param answer_timeout_ms: time limit for the answer of one host.
    :param leader_timeout_ms: time limit until a host has answered as the leader.
    """

    answer_timeout_ms: int = Field(default=2000, ge=50)
    leader_timeout_ms: int = Field(default=10_000, ge=50)


class RegisterSection(Section):
    """Column of the asset register for each key of an upstream."""

    name: str = "name"
    kind: str = "kind"
    data_centre: str = "data_centre"
    address: str = "address"
    service: str = "service"
    models: str = "models"
    is_leaving: str = "is_leaving"
    prefill_tokens_per_s: str = "prefill_tokens_per_s"
    decode_tokens_per_s: str = "decode_tokens_per_s"
    kv_capacity_tokens: str = "kv_capacity_tokens"
    max_slots: str = "max_slots"
    honours_fencing: str = "honours_fencing"
    role: str = "role"


@dataclass(frozen=True, slots=True)
class AdminHost:
    """Host that accepts operators' requests."""

    name: str
    role: str
    data_centre: str
    admin_address: str
    token: str


@dataclass(frozen=True, slots=True)
class CtlSettings:
    """All settings of the command line."""

    operator: OperatorSection
    tls: CtlTlsSection
    timing: CtlTimingSection
    columns: tuple[Column, ...]
    hosts: tuple[AdminHost, ...]

    @property
    def control_hosts(self) -> tuple[AdminHost, ...]:
        """Return the control hosts."""
        return tuple([host for host in self.hosts if host.role == CONTROL_ROLE])

    def host(self, name: str) -> AdminHost | None:
        """Return the host with the given name, or None."""
        return next((host for host in self.hosts if host.name == name), None)


def load_ctl(text: str, source: str = "settings") -> CtlSettings:
    """Read the settings of the command line.

    :raises SettingsInvalid: with all invalid values.
    """
    ini = Ini.parse(text, source)
    faults = list(ini.unknown_sections(CTL_SECTIONS))
    operator = ini.read(OperatorSection, "operator", faults)
    tls = ini.read(CtlTlsSection, "tls", faults)
    timing = ini.read(CtlTimingSection, "timing", faults)
    register = ini.read(RegisterSection, "register", faults)
    hosts = _read_hosts(ini, operator, faults)
    if tls is not None and not tls.is_off and not tls.ca_file:
        reason = "must name a PEM file unless is_off = true"
        faults.append(Fault("tls", "ca_file", "", reason))
    if not any(host.role == CONTROL_ROLE for host in hosts):
        faults.append(Fault("host ...", "role", "", "no host has the role control"))
    if faults:
        raise SettingsInvalid(source, tuple(faults))
    columns = [Column(getattr(register, key), key) for key in UPSTREAM_KEYS]
    return CtlSettings(operator, tls, timing, tuple(columns), hosts)


def _read_hosts(
    ini: Ini, operator: OperatorSection | None, faults: list[Fault]
) -> tuple[AdminHost, ...]:
    default_token = operator.token if operator else ""
    hosts = []
    for section, name in ini.sections("host"):
        host = ini.read(AdminHostSection, section, faults)
        if host is None:
            continue
        token = host.token or default_token
        hosts.append(
            AdminHost(name, host.role, host.data_centre, host.admin_address, token)
        )
    return tuple(hosts)
