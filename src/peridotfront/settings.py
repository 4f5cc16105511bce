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
    """Names the process and says where it listens.

    :param name: of the host, unique in the deployment.
    :param data_centre: the host's data centre.
    :param listen_address: for peers.
    :param admin_address: for operators.
    :param admin_token: what operators show; at least 8 characters.
    """

    name: Name
    data_centre: Name
    listen_address: Address
    admin_address: Address
    admin_token: str = Field(min_length=8)


class PeerSection(Section):
    """Names another process of the deployment.

    :param role: the program that runs there.
    :param data_centre: its data centre.
    :param address: where it listens for peers.
    """

    role: Literal["entry", "control"]
    data_centre: Name
    address: Address


class TlsSection(Section):
    """Names the PEM files for TLS; empty paths together with ``is_off``.

    :param is_off: must be set plainly to run without TLS.
    :param ca_file: the authority that signed the certificates of all hosts.
    :param certificate_file: this host's certificate, shown to peers.
    :param key_file: its private key.
    :param caller_certificate_file: the certificate shown to callers; empty serves
        them without TLS.
    :param caller_key_file: its private key.
    """

    is_off: bool = False
    ca_file: str = ""
    certificate_file: str = ""
    key_file: str = ""
    caller_certificate_file: str = ""
    caller_key_file: str = ""


class PlatformSection(Section):
    """Says where the platform's list of live and leaving hosts lies.

    :param list_file: a JSON file; empty if there is none.
    """

    list_file: str = ""


class CallersSection(Section):
    """Holds the limits towards callers.

    :param listen_address: for callers.
    :param max_connections: open at once; more are refused.
    :param max_header_bytes: of one request.
    :param max_body_bytes: of one request.
    :param idle_timeout_ms: how long a connection may wait for its next request.
    :param request_timeout_ms: from the first byte of a request to its last.
    :param request_deadline_ms: until an answer must have begun.
    :param drain_grace_ms: how long new requests are still served after SIGTERM,
        while the balancer learns of it.
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
    """Names the folder for all durable state.

    :param data_folder: on a local disk, of this process alone.
    """

    data_folder: Path


class TimingSection(Section):
    """Holds the times of heartbeats and elections.

    :param heartbeat_ms: between two heartbeats of a host to each peer.
    :param leader_heartbeat_ms: between two heartbeats of the control leader to its
        replicas.
    :param host_timeout_ms: silence after which a host no longer counts as alive.
    :param election_timeout_ms: silence of the leader after which another is
        elected.
    :param claim_timeout_ms: until a claim that was not answered is given up.
    """

    heartbeat_ms: int = Field(default=400, ge=10)
    leader_heartbeat_ms: int = Field(default=150, ge=10)
    host_timeout_ms: int = Field(default=1500, ge=50)
    election_timeout_ms: int = Field(default=600, ge=50)
    claim_timeout_ms: int = Field(default=2000, ge=50)


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Holds the settings that every host's process has."""

    host: HostSection
    tls: TlsSection
    log: LogSection
    timing: TimingSection
    peers: tuple[Peer, ...]


@dataclass(frozen=True, slots=True)
class EntrySettings(HostSettings):
    """Holds all settings of an entry host's process."""

    callers: CallersSection
    platform: PlatformSection


@dataclass(frozen=True, slots=True)
class ControlSettings(HostSettings):
    """Holds all settings of a control host's process."""

    storage: StorageSection


def load_entry(text: str, source: str = "settings") -> EntrySettings:
    """Read the settings of an entry host.

    :raises SettingsInvalid: with every fault.
    """
    sections = {"callers": CallersSection, "platform": PlatformSection}
    return _load(EntrySettings, text, source, sections)


def load_control(text: str, source: str = "settings") -> ControlSettings:
    """Read the settings of a control host.

    :raises SettingsInvalid: with every fault.
    """
    return _load(ControlSettings, text, source, {"storage": StorageSection})


def _load(
    kind: type[HostSettings], text: str, source: str, own: dict[str, type[Section]]
) -> HostSettings:
    ini = Ini.parse(text, source)
    faults = list(ini.unknown_sections(SHARED_SECTIONS | own.keys()))
    settings = kind(
        host=ini.read(HostSection, "host", faults),
        tls=_read_tls(ini, faults),
        log=ini.read(LogSection, "log", faults),
        timing=ini.read(TimingSection, "timing", faults),
        peers=_read_peers(ini, faults),
        **{name: ini.read(model, name, faults) for name, model in own.items()},
    )
    if faults:
        raise SettingsInvalid(source, tuple(faults))
    return settings


def load_file(load, path: str, check_tls_files):
    """Load a settings file, or print its faults and exit.

    :param load: :func:`load_entry` or :func:`load_control`.
    :param check_tls_files: checks the files that ``[tls]`` names.
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
