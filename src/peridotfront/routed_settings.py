"""Start-up settings of a process that finds its control group through seeds."""

from dataclasses import dataclass
from pathlib import Path

from pydantic import Field

from .core.allowances import AllowanceLimits
from .core.raft_types import DEFAULT_TOLERATED_LOSSES
from .core.retry_budgets import RetryLimits
from .core.rollouts.exposure import RolloutLimits
from .core.scheduling_options import SchedulingOptions
from .core.service_schedulers import SharedLimits
from .exceptions import SettingsInvalid
from .ini import Fault, Ini, Section, Words
from .listeners import BYTES_PER_KIB, ConnectionLimits

MS_PER_S = 1000


class HostSection(Section):
    """Host of the process."""

    name: str
    data_centre: str
    ip: str


class ListenSection(Section):
    """Addresses at which the process listens; empty for those it doesn't serve.

    :param callers: address for callers' requests.
    :param readiness: address for the load balancer's readiness checks.
    :param operators: address for operators' requests.
    :param first_peer_port: first of the ports for other hosts.
    :param peers: address for other hosts' connections, if it differs from the address
        by which they know this host.
    :param metrics_port: port for metrics.
    """

    callers: str = ""
    readiness: str = ""
    operators: str = ""
    first_peer_port: int
    peers: str = ""
    metrics_port: int = 0


class GroupSection(Section):
    """Control hosts that are known at the start.

    :param seeds: their addresses for operators' requests.
    :param is_first_start: whether the whole deployment starts for the first
        time.
    :param tolerated_losses: number of control hosts whose disks may be lost at the same
        time; the group keeps at least twice as many voters and one.
    """

    seeds: Words = ()
    is_first_start: bool = False
    tolerated_losses: int = Field(default=DEFAULT_TOLERATED_LOSSES, ge=0)


class StorageSection(Section):
    """Data folder; empty on hosts without a disk."""

    data_folder: str = ""


class UpstreamListSection(Section):
    """List of upstreams.

    :param address: IP address and port of the list.
    :param calls_per_s: limit on the calls of all hosts together.
    """

    address: str
    calls_per_s: float = Field(default=10.0, gt=0)


class RetriesSection(Section):
    """Limits on the retries of each service by all hosts together.

    :param ratio: retries for each first send within the window.
    :param slack: number of retries beyond these.
    :param window_s: length of the window.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: float = 10.0


class AllowancesSection(Section):
    """Limits on how far all hosts together may exceed an account's allowance.

    :param over_ratio: excess as a ratio of the units that rate and burst allow in a
        window.
    :param slack: excess in units beyond that ratio.
    :param window_s: length of the window.
    """

    over_ratio: float = 0.0
    slack: float = 0.0
    window_s: float = 8.0


class RolloutsSection(Section):
    """Limits on a software version that a rollout has not proven yet.

    :param share: share of the requests of its service that it may get, over all hosts;
        0 if operators order no rollouts.
    :param slack: number of requests beyond that share.
    """

    share: float = Field(default=0.0, ge=0, le=1)
    slack: float = Field(default=0.0, ge=0)


class SchedulingSection(Section):
    """Options of the scheduling.

    :param finds_pace: whether an upstream that has just started or recovered is sent as
        much as its answers show that it can take.
    :param shares_accounts: whether client accounts get fair shares of all capacity, and
        of the slots in use.
    :param learns_speeds: whether placement goes by the learned speed of each upstream.
    """

    finds_pace: bool = False
    shares_accounts: bool = False
    learns_speeds: bool = False


class ConnectionsSection(Section):
    """Limits on callers that keep to no limits; others never meet them.

    :param max_connections: limit on the open connections of a listener.
    :param max_requests: limit on the requests in progress of a listener.
    :param max_held_kib: limit on the bytes in progress of all listeners together, of
        requests and of answers that callers have not read.
    """

    max_connections: int = Field(default=3000, ge=1)
    max_requests: int = Field(default=3000, ge=1)
    max_held_kib: int = Field(default=65_536, ge=1)


class ShutdownSection(Section):
    """Time limit for the shutdown of a process.

    :param grace_s: time from SIGTERM until the process is killed.
    """

    grace_s: float = 8.0


@dataclass(frozen=True, slots=True)
class RoutedSettings:
    """All settings of a process."""

    host: HostSection
    listen: ListenSection
    group: GroupSection
    storage: StorageSection
    upstream_list: UpstreamListSection
    retries: RetriesSection
    allowances: AllowancesSection
    rollouts: RolloutsSection
    scheduling: SchedulingSection
    connections: ConnectionsSection
    shutdown: ShutdownSection

    @property
    def name(self) -> str:
        """Return the name by which peers know the host: its IP address and port."""
        return f"{self.host.ip}:{self.listen.first_peer_port}"

    @property
    def peer_address(self) -> str:
        """Return the address at which connections of other hosts are accepted."""
        return self.listen.peers or self.name

    @property
    def metrics_address(self) -> tuple[str, int]:
        """Return the IP address and port at which metrics are served."""
        return self.host.ip, self.listen.metrics_port

    @property
    def grace_ms(self) -> int:
        """Return the time from SIGTERM until the process is killed."""
        return int(self.shutdown.grace_s * MS_PER_S)

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """Return the seeds' host names; they listen at the same port as this host."""
        port = self.listen.first_peer_port
        return tuple([f"{s.rpartition(':')[0]}:{port}" for s in self.group.seeds])

    @property
    def connection_limits(self) -> ConnectionLimits:
        """Return the limits on the connections of callers."""
        section = self.connections
        return ConnectionLimits(
            section.max_connections,
            section.max_requests,
            section.max_held_kib * BYTES_PER_KIB,
        )

    @property
    def shared_limits(self) -> SharedLimits:
        """Return the limits that all hosts share, as the core's type."""
        retries = self.retries
        window_ms = int(retries.window_s * MS_PER_S)
        allowances = self.allowances
        return SharedLimits(
            RetryLimits(retries.ratio, retries.slack, window_ms),
            AllowanceLimits(
                allowances.over_ratio,
                allowances.slack,
                int(allowances.window_s * MS_PER_S),
            ),
            RolloutLimits(self.rollouts.share, self.rollouts.slack),
            SchedulingOptions(**self.scheduling.model_dump()),
        )


SECTIONS = {
    "host": HostSection,
    "listen": ListenSection,
    "group": GroupSection,
    "storage": StorageSection,
    "upstream_list": UpstreamListSection,
    "retries": RetriesSection,
    "allowances": AllowancesSection,
    "rollouts": RolloutsSection,
    "scheduling": SchedulingSection,
    "connections": ConnectionsSection,
    "shutdown": ShutdownSection,
}


def load_settings(path: Path) -> RoutedSettings:
    """Read a settings file.

    :raises SettingsInvalid: with all invalid values, or if the file cannot be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(str(path), (Fault("", "", "", str(error)),)) from error
    ini = Ini.parse(text, str(path))
    faults: list[Fault] = []
    sections = {name: ini.read(model, name, faults) for name, model in SECTIONS.items()}
    if faults:
        raise SettingsInvalid(str(path), tuple(faults))
    return RoutedSettings(**sections)
