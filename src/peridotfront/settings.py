"""Start-up settings of one process: its name, addresses, peers and files."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from pydantic import Field

from .addresses import Address, Name, Peer
from .exceptions import SettingsInvalid
from .ini import Fault, Ini, Section
from .log_settings import LogSection

SHARED_SECTIONS = {"host", "tls", "log", "timing", "peer"}


class HostSection(Section):
    """Name and addresses of the process.

    :param name: name of the host, unique in the deployment.
    :param data_centre: the host's data centre.
    :param listen_address: address for peers' connections.
    :param admin_address: address for operators' requests.
    :param admin_token: bearer token of operators' requests; at least 8 characters.
    """

    name: Name
    data_centre: Name
    listen_address: Address
    admin_address: Address
    admin_token: str = Field(min_length=8)


class PeerSection(Section):
    """Another process of the deployment.

    :param role: the program that runs there.
    :param data_centre: the peer's data centre.
    :param address: address at which it listens for peers.
    """

    role: Literal["entry", "control"]
    data_centre: Name
    address: Address


class TlsSection(Section):
    """PEM files for TLS; the first three are required unless ``is_off`` is set.

    :param is_off: must be set explicitly to run without TLS.
    :param ca_file: the authority that signed the certificates of all hosts.
    :param certificate_file: this host's certificate, presented to peers.
    :param key_file: private key of this host's certificate.
    :param caller_certificate_file: certificate presented to callers; if empty, they
        are served without TLS.
    :param caller_key_file: private key of the certificate for callers.
    """

    is_off: bool = False
    ca_file: str = ""
    certificate_file: str = ""
    key_file: str = ""
    caller_certificate_file: str = ""
    caller_key_file: str = ""


class PlatformSection(Section):
    """Location of the platform's list of live and leaving hosts.

    :param list_file: path of a JSON file; empty if there is none.
    """

    list_file: str = ""


class CallersSection(Section):
    """Address and limits of callers' connections.

    :param listen_address: address for callers' connections.
    :param max_connections: limit on open connections; further ones are refused.
    :param max_header_bytes: limit on the header of one request.
    :param max_body_bytes: limit on the body of one request.
    :param idle_timeout_ms: time that a connection may wait for its next request.
    :param request_timeout_ms: time limit from the first byte of a request to its last.
    :param request_deadline_ms: time that a request may wait for its dispatch; callers
        can set a lower limit.
    :param drain_grace_ms: time after SIGTERM during which new requests are still
        served, until the load balancer has noticed the shutdown.
    """

    listen_address: Address
    max_connections: int = Field(default=1000, ge=1)
    max_header_bytes: int = Field(default=16_384, ge=1024)
    max_body_bytes: int = Field(default=8_388_608, ge=1024)
    idle_timeout_ms: int = Field(default=60_000, ge=100)
    request_timeout_ms: int = Field(default=15_000, ge=100)
    request_deadline_ms: int = Field(default=30_000, ge=100)
    drain_grace_ms: int = Field(default=2000, ge=0)


class StorageSection(Section):
    """Folder for all durable state.

    :param data_folder: path on a local disk, used by this process alone.
    """

    data_folder: Path


class TimingSection(Section):
    """Intervals and timeouts of heartbeats, elections and claims.

    :param heartbeat_ms: interval of a host's heartbeats to each peer.
    :param leader_heartbeat_ms: interval of the control leader's heartbeats to its
        replicas.
    :param host_timeout_ms: time without a heartbeat after which a host no longer
        counts as alive.
    :param election_timeout_ms: time without a message of the leader after which
        another is elected.
    :param claim_timeout_ms: time after which an unanswered claim is abandoned.
    """

    heartbeat_ms: int = Field(default=400, ge=10)
    leader_heartbeat_ms: int = Field(default=150, ge=10)
    host_timeout_ms: int = Field(default=1500, ge=50)
    election_timeout_ms: int = Field(default=600, ge=50)
    claim_timeout_ms: int = Field(default=2000, ge=50)


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings that the processes of all hosts share."""

    host: HostSection
    tls: TlsSection
    log: LogSection
    timing: TimingSection
    peers: tuple[Peer, ...]


@dataclass(frozen=True, slots=True)
class EntrySettings(HostSettings):
    """All settings of an entry host's process."""

    callers: CallersSection
    platform: PlatformSection


@dataclass(frozen=True, slots=True)
class ControlSettings(HostSettings):
    """All settings of a control host's process."""

    storage: StorageSection


def load_entry(text: str, source: str = "settings") -> EntrySettings:
    """Read the settings of an entry host.

    :raises SettingsInvalid: with all invalid values.
    """
    sections = {"callers": CallersSection, "platform": PlatformSection}
    return _load(EntrySettings, text, source, sections)


def load_control(text: str, source: str = "settings") -> ControlSettings:
    """Read the settings of a control host.

    :raises SettingsInvalid: with all invalid values.
    """
    return _load(ControlSettings, text, source, {"storage": StorageSection})


def _load(
    settings_type: type[HostSettings],
    text: str,
    source: str,
    role_sections: dict[str, type[Section]],
) -> HostSettings:
    ini = Ini.parse(text, source)
    faults = list(ini.unknown_sections(SHARED_SECTIONS | role_sections.keys()))
    settings = settings_type(
        host=ini.read(HostSection, "host", faults),
        tls=_read_tls(ini, faults),
        log=ini.read(LogSection, "log", faults),
        timing=ini.read(TimingSection, "timing", faults),
        peers=_read_peers(ini, faults),
        **{
            name: ini.read(model, name, faults) for name, model in role_sections.items()
        },
    )
    if faults:
        raise SettingsInvalid(source, tuple(faults))
    return settings


def load_file(load, path: str, check_tls_files):
    """Load a settings file, or print its faults and exit with code 2.

    :param load: :func:`load_entry` or :func:`load_control`.
    :param path: path of the settings file.
    :param check_tls_files: function that checks the files that ``[tls]`` names.
    """
    try:
        settings = load(Path(path).read_text(encoding="utf-8"), path)
        check_tls_files(settings.tls, path)
        return settings
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
    raise SystemExit(SettingsInvalid.exit_code)


def _read_peers(ini: Ini, faults: list[Fault]) -> tuple[Peer, ...]:
    peers = []
    for section, name in ini.sections("peer"):
        peer = ini.read(PeerSection, section, faults)
        if peer is not None:
            peers.append(Peer(name, peer.role, peer.data_centre, peer.address))
    return tuple(peers)


def _read_tls(ini: Ini, faults: list[Fault]) -> TlsSection | None:
    tls = ini.read(TlsSection, "tls", faults)
    if tls is None or tls.is_off:
        return tls
    for key in ("ca_file", "certificate_file", "key_file"):
        if not getattr(tls, key):
            reason = "must name a PEM file unless is_off = true"
            faults.append(Fault("tls", key, "", reason))
    return tls
